/* Which control instance an entry instance asks for a new configuration. One
 * is asked at a time: if all of them sent it at once, they would fill a narrow
 * link for seconds. Pure. */
#ifndef CAROBLOOM_POLICY_CONFIG_SOURCE_H
#define CAROBLOOM_POLICY_CONFIG_SOURCE_H

#include <glib.h>

/* A control instance, as an entry instance sees it. */
typedef struct {
    /* It answers, no answer of it is overdue, and what it sent last could be
     * applied. */
    gboolean usable;
    gboolean leads; /* its last answer confirmed the configuration */
    /* The poll in flight there asks for the configuration and is not overdue.
     */
    gboolean asked;
    gboolean local;  /* in the same data centre */
    guint64 version; /* newest that it reported; 0: none */
    gint64 asked_us; /* when it was last asked; 0: never */
} config_source_t;

/* Whether the next poll at `sources[at]` asks for the configuration. */
gboolean config_source_asks(const config_source_t *sources, guint count,
                            guint at);
/* Returns the index of the control instance to ask at once, since another one
 * that was asked does not deliver the configuration. -1: none, since none is
 * usable, or one that has the newest known version is asked already. */
gint config_source_substitute(const config_source_t *sources, guint count);

#endif
