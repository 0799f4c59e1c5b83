/* The line of the event log on how a request ended. */
#include "carobloom/common/event_log.h"
#include "forward_state.h"

enum { MS = 1000 };

/* How far the latest send had come. */
static const char *
stage(const forward_t *f)
{
    const request_send_t *s = f->send;
    if (f->waiter.is_waiting) {
        return "waits for a slot";
    }
    if (s->call == NULL) {
        return "not sent";
    }
    if (!client_call_sent(s->call)) {
        return s->in_tunnel ? "tunnel opens" : "connects";
    }
    return s->first_event_us != 0 || f->head_sent ? "answering" : "sent";
}

static void
append_endpoint(GString *names, const request_send_t *s)
{
    if (s->call == NULL) {
        return;
    }
    g_string_append_printf(names, "%s%s", names->len > 0 ? " " : "",
                           s->endpoint != NULL ? s->endpoint->id : "?");
}

/* What is ended with the request because its caller has left, and how late
 * that became known. */
static void
log_under_way(const forward_t *f)
{
    GString *names = g_string_new(NULL);
    append_endpoint(names, f->send);
    for (guint i = 0; f->silent != NULL && i < f->silent->len; i++) {
        append_endpoint(names, f->silent->pdata[i]);
    }
    event_log_cstr("stage", stage(f));
    event_log_cstr("sends_ended", names->str);
    event_log_number("in_tunnel", f->send->in_tunnel);
    event_log_number("close_waited_ms", http_exchange_quiet_ms(f->exchange));
    g_string_free(names, TRUE);
}

void
forward_log_outcome(forward_t *f, guint status, const char *reason)
{
    gboolean success = status < 400;
    if (!event_log_begin(success ? EVENT_ROUTINE : EVENT_FAILURE, "request")) {
        return;
    }
    event_log_text("request", f->info.id);
    event_log_number("status", status);
    event_log_cstr("reason", reason);
    event_log_cstr("route", f->route ? f->route->name : "");
    event_log_cstr("team", f->team ? f->team->name : "");
    event_log_cstr("service", f->service ? f->service : "");
    event_log_cstr("endpoint", f->last_endpoint);
    event_log_number("config_version",
                     f->config ? (gint64)f->config->version : 0);
    event_log_number("config_age_ms", entry_config_age_ms(f->entry));
    if (f->entry->confirmed_by != NULL) {
        event_log_cstr("config_control", f->entry->confirmed_by);
    }
    if (f->entry->newer_config_since_us != 0) {
        event_log_number("newer_config_ms", entry_newer_config_ms(f->entry));
    }
    event_log_number("loads_age_ms",
                     (forward_now(f) - f->entry->loads_received_us) / MS);
    event_log_number("sends", f->sends);
    event_log_number("runs", f->runs);
    event_log_number("refusals", f->refusals);
    event_log_number("elapsed_ms", (forward_now(f) - f->started_us) / MS);
    if (!success && f->route != NULL) {
        forward_log_fingerprint(f);
    }
    if (f->quarantined != NULL) {
        gint64 now = forward_now(f);
        event_log_cstr("endpoints_ended", f->quarantined->endpoints);
        event_log_number("held_since_ms",
                         (now - f->quarantined->since_us) / MS);
        event_log_number("held_for_ms", (f->quarantined->until_us - now) / MS);
        event_log_number("held_part", quarantined_is_part(f->quarantined));
    }
    if (f->placement_counts.known > 0) {
        event_log_number("endpoints", f->placement_counts.known);
        event_log_number("unusable", f->placement_counts.unusable);
        event_log_number("resting", f->placement_counts.resting);
        event_log_number("tried", f->placement_counts.tried);
        event_log_number("full", f->placement_counts.full);
        event_log_number("limited", f->placement_counts.limited);
        event_log_number("no_place", f->placement_counts.no_slot);
        event_log_number("prompt_tokens", f->info.prompt_tokens);
    }
    if (f->first_output_us != 0) {
        event_log_number("first_ms",
                         (f->first_output_us - f->started_us) / MS);
        event_log_number("longest_pause_ms", f->longest_pause_us / MS);
    }
    if (f->sends > 0) {
        event_log_number("found_running", f->send->running_at_send);
        event_log_number("found_waiting", f->send->waiting_tokens_at_send);
    }
    if (status == 499) {
        log_under_way(f);
    }
    event_log_end();
}
