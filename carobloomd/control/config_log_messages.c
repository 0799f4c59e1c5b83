#include "carobloom/gateway/usage_wire.h"
#include "config_log_state.h"

static void
put_free(message_t *message)
{
    g_bytes_unref(((config_put_message_t *)message)->text);
    g_free(message);
}

static void
envelope_free(message_t *message)
{
    config_envelope_message_t *m = (config_envelope_message_t *)message;
    g_free(m->to);
    g_bytes_unref(m->envelope);
    g_free(m);
}

void
message_free_plain(message_t *message)
{
    g_free(message);
}

static void
applied_free(message_t *message)
{
    g_bytes_unref(((config_applied_message_t *)message)->text);
    g_free(message);
}

message_t *
config_put_message(guint64 call, guint64 version, GBytes *text)
{
    config_put_message_t *m = g_new0(config_put_message_t, 1);
    *m = (config_put_message_t){.base = {CONFIG_LOG_PUT, put_free},
                                .call = call,
                                .version = version,
                                .text = text};
    return &m->base;
}

message_t *
config_envelope_message(config_log_message_t type, const char *to,
                        GBytes *envelope)
{
    config_envelope_message_t *m = g_new0(config_envelope_message_t, 1);
    *m = (config_envelope_message_t){.base = {(int)type, envelope_free},
                                     .to = g_strdup(to),
                                     .envelope = envelope};
    return &m->base;
}

static void
bytes_free(message_t *message)
{
    g_bytes_unref(((config_bytes_message_t *)message)->bytes);
    g_free(message);
}

message_t *
config_bytes_message(config_log_message_t type, GBytes *bytes)
{
    config_bytes_message_t *m = g_new0(config_bytes_message_t, 1);
    *m = (config_bytes_message_t){.base = {(int)type, bytes_free},
                                  .bytes = bytes};
    return &m->base;
}

message_t *
config_hand_over_message(void)
{
    message_t *m = g_new0(message_t, 1);
    *m = (message_t){CONFIG_LOG_HAND_OVER, message_free_plain};
    return m;
}

static void
seeds_free(message_t *message)
{
    g_strfreev(((config_seeds_message_t *)message)->seeds);
    g_free(message);
}

message_t *
config_seeds_message(char **seeds)
{
    config_seeds_message_t *m = g_new0(config_seeds_message_t, 1);
    *m = (config_seeds_message_t){.base = {CONFIG_LOG_SEEDS, seeds_free},
                                  .seeds = g_strdupv(seeds)};
    return &m->base;
}

void
config_log_send(config_log_t *log, const char *to, GBytes *message)
{
    voter_envelope_t envelope = {
        .from = log->self, .id = log->id, .message = message};
    task_send(log->owner,
              config_envelope_message(CONFIG_LOG_SEND, to,
                                      voter_envelope_write(&envelope)));
}

void
config_log_send_result(config_log_t *log, guint64 call, gboolean durable)
{
    config_result_message_t *m = g_new0(config_result_message_t, 1);
    *m = (config_result_message_t){
        .base = {CONFIG_LOG_RESULT, message_free_plain},
        .call = call,
        .durable = durable};
    task_send(log->owner, &m->base);
}

void
config_log_publish_config(config_log_t *log)
{
    if (log->state.text == NULL) {
        return;
    }
    config_applied_message_t *m = g_new0(config_applied_message_t, 1);
    *m = (config_applied_message_t){.base = {CONFIG_LOG_APPLIED, applied_free},
                                    .log_id = log->state.log_id,
                                    .version = log->state.version,
                                    .text = g_bytes_ref(log->state.text)};
    task_send(log->owner, &m->base);
}

void
config_log_publish_usage(config_log_t *log)
{
    GBytes *ledger = usage_ledger_write(log->state.usage);
    task_send(log->owner, config_bytes_message(CONFIG_LOG_USAGE, ledger));
}
