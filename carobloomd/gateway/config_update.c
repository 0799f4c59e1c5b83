/* A configuration that a control instance sent: rebuilt from the one in force,
 * and put in force. */
#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/version/text_delta.h"
#include "control_link_state.h"

enum {
    /* Another log is followed if the one known was not confirmed for so long:
     * two leaders of different logs at a time are a mistake of whoever started
     * them, and the first is kept. */
    LOG_GONE_US = 1000 * 1000,
};

/* Logs that the configuration that an answer brought can't be used. */
static void
log_fault(const entry_t *e, const sync_answer_t *answer, const char *control,
          const char *why)
{
    counter_add(counter_get("config_faults_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_STATE, "config_not_applied")) {
        event_log_cstr("control", control);
        event_log_number("config_version",
                         e->config ? (gint64)e->config->version : 0);
        event_log_number("newer_version", (gint64)answer->version);
        event_log_number("base_version", (gint64)answer->base);
        event_log_cstr("why", why);
        event_log_end();
    }
}

/* Returns the new text, or NULL if the difference does not fit. */
static GBytes *
updated_text(const entry_t *e, const sync_answer_t *answer)
{
    str_t base = answer->base != 0 ? str_from_bytes(e->text) : STR("");
    return text_delta_apply(base, answer->delta);
}

guint64
entry_known_version(const entry_t *e)
{
    return e->config == NULL || e->is_of_other_log ? 0 : e->config->version;
}

/* To a log that was founded after all control instances had lost theirs. Its
 * versions may start again. */
static void
switch_log(entry_t *e, const sync_answer_t *answer, const char *control)
{
    if (event_log_begin(EVENT_STATE, "config_log_changed")) {
        event_log_cstr("control", control);
        event_log_number("config_version", (gint64)e->config->version);
        event_log_number("new_version", (gint64)answer->version);
        event_log_number("config_age_ms", entry_config_age_ms(e));
        event_log_end();
    }
    e->log_id = answer->log_id;
    e->is_of_other_log = TRUE;
    e->confirmed_us = 0;
    e->newer_config_since_us = 0;
    for (guint i = 0; i < e->links->len; i++) {
        control_link_forget_version(e->links->pdata[i]);
    }
}

gboolean
entry_follow_log(entry_t *e, const sync_answer_t *answer, const char *control)
{
    if (answer->version == 0) {
        /* A leader whose log has no configuration confirms none. */
        return !answer->confirmed || e->config == NULL;
    }
    if (e->config == NULL) {
        e->log_id = answer->log_id;
    }
    if (!answer->has_log_id || answer->log_id == e->log_id) {
        return TRUE;
    }
    gint64 age_us = clock_boot_us() - e->confirmed_us;
    if (!answer->confirmed || age_us < (gint64)LOG_GONE_US) {
        return FALSE;
    }
    switch_log(e, answer, control);
    return TRUE;
}

gboolean
entry_apply_update(entry_t *e, const sync_answer_t *answer,
                   const char *control)
{
    char *fault = NULL;
    if (answer->delta == NULL || answer->version <= entry_known_version(e)) {
        return TRUE;
    }
    /* Another answer changed the configuration since the poll was sent. */
    if (answer->base != 0 && entry_known_version(e) != answer->base) {
        return TRUE;
    }
    GBytes *text = updated_text(e, answer);
    if (text == NULL) {
        log_fault(e, answer, control, "the difference does not fit");
        return FALSE;
    }
    gboolean applied = entry_apply_config(e, answer->version, text, &fault);
    if (!applied) {
        log_fault(e, answer, control, fault);
    }
    g_free(fault);
    g_bytes_unref(text);
    return applied;
}
