/* Private to the links to control instances.
 *
 * control_link.c  polls, and what their answers bring
 * config_fetch.c  which of them are asked for the configuration */
#ifndef CAROBLOOMD_GATEWAY_CONTROL_LINK_STATE_H
#define CAROBLOOMD_GATEWAY_CONTROL_LINK_STATE_H

#include "carobloom/gateway/inner_line.h"
#include "entry_state.h"

struct control_link {
    entry_t *entry;
    char *address;
    char *data_centre; /* from the answers; NULL: no answer yet */
    guint source;      /* index in the directory */
    inner_line_t *line;
    guint64 timer;    /* of the next poll */
    gint64 polled_us; /* clock_boot_us of the poll in flight */
    gint64 retry_us;
    gint64 answered_us; /* of the last answer, on the timers' clock; 0: none */
    gint64 listed_us;   /* last listed by a control instance */
    gboolean lost;
    guint64 epoch;
    guint64 cursor;
    guint64 quarantine_cursor;
    guint64 limit_cursor;
    gboolean more;         /* leases remain after its last answer */
    gboolean leads;        /* its last answer confirmed the configuration */
    guint64 version;       /* the newest that it reported */
    gboolean asks_config;  /* the poll in flight asks for the configuration */
    gboolean asks_next;    /* the next poll will */
    gint64 asked_us;       /* when it was last asked */
    gboolean overdue;      /* the answer to the poll in flight is */
    guint64 overdue_timer; /* 0: no poll is in flight, or it is overdue */
    gint64 overdue_since_us; /* 0: the time for its answer is not over */
    gsize received; /* bytes of the answer, when it was last looked at */
    /* It is not asked for the configuration before: it did not deliver one, or
     * one that can't be used. */
    gint64 barred_until_us;
};

/* control_link.c */
void control_link_poll(control_link_t *link);
gboolean control_link_is_local(const control_link_t *link);
/* What it reported was of another log. */
void control_link_forget_version(control_link_t *link);

/* config_fetch.c */
/* Whether the next poll asks for the configuration. */
gboolean config_fetch_asks(const control_link_t *link);
/* A poll was sent that may be held for `wait_ms`. */
void config_fetch_start_poll(control_link_t *link, guint32 wait_ms);
/* The poll in flight has ended. Returns whether another control instance has
 * to be asked for the configuration if this one did not answer. */
gboolean config_fetch_end_poll(control_link_t *link);
/* Asks another control instance for the configuration at once, since `link`,
 * which is not usable, does not deliver it. An instance that has none yet
 * waits for the next poll: where all start together, more polls would only
 * delay the answers. */
void config_fetch_elsewhere(control_link_t *link, const char *why);
/* The configuration that `link` brought can't be used: the next one is asked
 * for whole, and elsewhere. */
void config_fetch_reject(control_link_t *link);
/* Records which version a control instance has, and when it became known that
 * a newer one than that in force exists. */
void config_fetch_record_version(control_link_t *link, guint64 version);

#endif
