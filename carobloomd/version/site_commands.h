/* Private to the site state: how its commands lie in the log.
 *
 * site_state.c     applies them
 * site_commands.c  writes them */
#ifndef CAROBLOOMD_VERSION_SITE_COMMANDS_H
#define CAROBLOOMD_VERSION_SITE_COMMANDS_H

/* A command: its kind, the time of its writer in ms, its body. */
#define COMMAND_TYPE "(yxv)"
/* Bodies, by kind. */
#define SUBMIT_TYPE "(stssttay)"
#define CLAIM_TYPE "(ssttx)"
#define FINISH_TYPE "(sstisay)"
#define ORDER_TYPE "(sss)"
#define ORDER_DONE_TYPE "(ti)"

#endif
