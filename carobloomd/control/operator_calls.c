#include <jansson.h>
#include <string.h>

#include "carobloom/common/event_log.h"
#include "control_state.h"
#include "platform.h"

/* An operator's change that waits for the log to commit it. */
typedef struct {
    guint64 call;
    guint64 version;
    http_exchange_t *exchange; /* NULL after the operator disconnected */
} pending_put_t;

/* Redirects the operator to the leader, or asks for a retry when none is
 * known. */
static void
redirect_to_leader(control_t *c, http_exchange_t *exchange)
{
    const char *leader = c->view.leader;
    const char *port = strrchr(c->settings->control, ':');
    const char *colon = strrchr(leader, ':');
    if (colon == NULL || strcmp(leader, c->self) == 0 || !c->view.in_quorum) {
        http_exchange_answer(exchange, 503, STR("Retry-After: 0.3\r\n"),
                             STR("{\"error\":\"no leader is known\"}"));
        return;
    }
    str_t target = http_head_target(http_exchange_head(exchange));
    char *fields = g_strdup_printf("Location: http://%.*s%s%.*s\r\n",
                                   (int)(colon - leader), leader, port,
                                   (int)target.length, target.data);
    http_exchange_answer(exchange, 307, str_from_cstr(fields), STR(""));
    g_free(fields);
}

static void
log_put(const control_t *c, guint64 version, const char *outcome)
{
    if (event_log_begin(EVENT_STATE, "config_put")) {
        event_log_number("version", (gint64)version);
        event_log_number("held_version", (gint64)control_newest_version(c));
        event_log_number("term", (gint64)c->view.term);
        event_log_cstr("outcome", outcome);
        event_log_end();
    }
}

static void
propose(control_t *c, http_exchange_t *exchange, guint64 version, str_t body)
{
    pending_put_t *put = g_new0(pending_put_t, 1);
    *put = (pending_put_t){
        .call = ++c->last_call, .version = version, .exchange = exchange};
    g_hash_table_insert(c->pending_puts, &put->call, put);
    http_exchange_set_data(exchange, put);
    if (task_send(c->log_task,
                  config_put_message(put->call, version,
                                     g_bytes_new(body.data, body.length))) !=
        TASK_OK) {
        http_exchange_set_data(exchange, NULL);
        g_hash_table_remove(c->pending_puts, &put->call);
        answer_json(exchange, 503, "{\"error\":\"the log is busy\"}");
    }
}

void
handle_config_put(control_t *c, http_exchange_t *exchange)
{
    route_config_t *config;
    char *fault = NULL;
    str_t body = http_exchange_body(exchange);
    if (platform_config_decode(body, &config, &fault) != PLATFORM_OK) {
        log_put(c, 0, fault);
        json_t *error = json_pack("{s:s}", "error", fault);
        char *text = json_dumps(error, JSON_COMPACT);
        answer_json(exchange, 400, text);
        free(text);
        json_decref(error);
        g_free(fault);
        return;
    }
    guint64 version = config->version;
    route_config_unref(config);
    if (!c->view.leads || !control_may_read(c)) {
        redirect_to_leader(c, exchange);
        return;
    }
    if (control_newest(c) != NULL && version <= control_newest_version(c)) {
        log_put(c, version, "not newer, acknowledged");
        answer_json(exchange, 200, "{}");
        return;
    }
    propose(c, exchange, version, body);
}

void
handle_put_result(control_t *c, const config_result_message_t *m)
{
    pending_put_t *put = g_hash_table_lookup(c->pending_puts, &m->call);
    if (put == NULL) {
        return;
    }
    log_put(c, put->version, m->durable ? "durable" : "not known");
    if (put->exchange != NULL) {
        http_exchange_set_data(put->exchange, NULL);
        answer_json(put->exchange, m->durable ? 200 : 503, "{}");
    }
    g_hash_table_remove(c->pending_puts, &m->call);
}

void
handle_config_get(control_t *c, http_exchange_t *exchange)
{
    const committed_config_t *newest = control_newest(c);
    if (!control_may_read(c)) {
        redirect_to_leader(c, exchange);
        return;
    }
    if (newest == NULL) {
        answer_json(exchange, 503, "{\"error\":\"no configuration yet\"}");
        return;
    }
    http_exchange_answer(exchange, 200,
                         STR("Content-Type: application/json\r\n"),
                         str_from_bytes(newest->text));
}

void
operator_disconnected(http_exchange_t *exchange)
{
    pending_put_t *put = http_exchange_data(exchange);
    if (put != NULL) {
        put->exchange = NULL;
    }
}
