/* The console's page, held in the program: no outside assets. */
#ifndef CAROBLOOM_CONNECTION_CONSOLE_H
#define CAROBLOOM_CONNECTION_CONSOLE_H

#include "carobloom/common/str.h"

str_t console_page(void);
str_t console_script(void);
str_t console_style(void);

#endif
