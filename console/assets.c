/* The console's files, taken into the program as they are. */
#include "carobloom/connection/console.h"

#define ASSET(name, file)                                                     \
    __asm__(".section .rodata\n"                                              \
            ".global asset_" #name "\n"                                       \
            ".global asset_" #name "_end\n"                                   \
            "asset_" #name ":\n"                                              \
            ".incbin \"" CONSOLE_DIR "/" file "\"\n"                          \
            "asset_" #name "_end:\n"                                          \
            ".byte 0\n"                                                       \
            ".previous\n");                                                   \
    extern const char asset_##name[];                                         \
    extern const char asset_##name##_end[]

ASSET(page, "console.html");
ASSET(script, "console.js");
ASSET(style, "console.css");

static str_t
asset(const char *start, const char *end)
{
    return (str_t){.data = start, .length = (gsize)(end - start)};
}

str_t
console_page(void)
{
    return asset(asset_page, asset_page_end);
}

str_t
console_script(void)
{
    return asset(asset_script, asset_script_end);
}

str_t
console_style(void)
{
    return asset(asset_style, asset_style_end);
}
