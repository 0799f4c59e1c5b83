/* A configuration that a control instance sent: rebuilt from the one in force,
 * and put in force. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/version/text_delta.h"
#include "entry_state.h"

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

gboolean
entry_apply_update(entry_t *e, const sync_answer_t *answer,
                   const char *control)
{
    char *fault = NULL;
    if (answer->delta == NULL ||
        (e->config != NULL && answer->version <= e->config->version)) {
        return TRUE;
    }
    /* Another answer changed the configuration since the poll was sent. */
    if (answer->base != 0 &&
        (e->config == NULL || e->config->version != answer->base)) {
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
