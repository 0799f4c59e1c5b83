#include "log_state.h"

#include "carobloom/common/codec.h"
#include "carobloom/gateway/usage_wire.h"

/* The first field of a command is either one of these kinds or the version
 * of a configuration, whose text follows. Logs that were written before
 * these kinds existed contain only configurations. */
static const guint64 KIND_USAGE = G_MAXUINT64;
static const guint64 KIND_SNAPSHOT = G_MAXUINT64 - 1;
static const guint64 KIND_LOG_ID = G_MAXUINT64 - 2;
/* A snapshot of a log that has an id: a command with the id for its kind. */
static const guint64 KIND_LOG_SNAPSHOT = G_MAXUINT64 - 3;

#define COMMAND_TYPE "(tay)"
#define LOG_ID_TYPE "(t)"
#define SNAPSHOT_TYPE "(tayay)" /* version, text, usage */

static GBytes *
command_write(guint64 kind, GBytes *bytes)
{
    return codec_write(g_variant_new("(t@ay)", kind, codec_bytes(bytes)));
}

GBytes *
log_config_command(guint64 version, GBytes *text)
{
    return command_write(version, text);
}

GBytes *
log_usage_command(GBytes *command)
{
    return command_write(KIND_USAGE, command);
}

GBytes *
log_id_command(guint64 log_id)
{
    GBytes *bytes = codec_write(g_variant_new(LOG_ID_TYPE, log_id));
    GBytes *command = command_write(KIND_LOG_ID, bytes);
    g_bytes_unref(bytes);
    return command;
}

void
log_state_init(log_state_t *s)
{
    *s = (log_state_t){.usage = usage_ledger_create()};
}

void
log_state_clear(log_state_t *s)
{
    g_clear_pointer(&s->text, g_bytes_unref);
    g_clear_pointer(&s->usage, usage_ledger_destroy);
}

static guint
apply_config(log_state_t *s, guint64 version, GBytes *text)
{
    if (s->text != NULL && version <= s->version) {
        return 0;
    }
    g_clear_pointer(&s->text, g_bytes_unref);
    s->version = version;
    s->text = g_bytes_ref(text);
    return LOG_STATE_CONFIG;
}

/* Two leaders may propose one: the first that is committed counts. */
static void
apply_log_id(log_state_t *s, GBytes *bytes)
{
    GVariant *v = codec_read(bytes, LOG_ID_TYPE);
    if (v == NULL) {
        return;
    }
    if (s->log_id == 0) {
        g_variant_get(v, LOG_ID_TYPE, &s->log_id);
    }
    g_variant_unref(v);
}

static guint
apply_snapshot(log_state_t *s, GBytes *snapshot)
{
    GVariant *v = codec_read(snapshot, SNAPSHOT_TYPE);
    if (v == NULL) {
        return 0;
    }
    guint64 version;
    GVariant *text;
    GVariant *usage;
    g_variant_get(v, "(t@ay@ay)", &version, &text, &usage);
    GBytes *text_bytes = codec_take_bytes(text);
    GBytes *usage_bytes = codec_take_bytes(usage);
    guint changed = 0;
    if (g_bytes_get_size(text_bytes) > 0) {
        changed = apply_config(s, version, text_bytes);
    }
    usage_ledger_t *ledger = usage_ledger_read(usage_bytes);
    if (ledger != NULL) {
        usage_ledger_destroy(s->usage);
        s->usage = ledger;
        changed |= LOG_STATE_USAGE;
    }
    g_bytes_unref(text_bytes);
    g_bytes_unref(usage_bytes);
    g_variant_unref(v);
    return changed;
}

static guint
apply_log_snapshot(log_state_t *s, GBytes *snapshot)
{
    GVariant *v = codec_read(snapshot, COMMAND_TYPE);
    if (v == NULL) {
        return 0;
    }
    GVariant *content;
    g_variant_get(v, "(t@ay)", &s->log_id, &content);
    GBytes *bytes = codec_take_bytes(content);
    guint changed = apply_snapshot(s, bytes);
    g_bytes_unref(bytes);
    g_variant_unref(v);
    return changed;
}

guint
log_state_apply(log_state_t *s, GBytes *command)
{
    GVariant *v = codec_read(command, COMMAND_TYPE);
    if (v == NULL) {
        return 0;
    }
    guint64 kind;
    GVariant *variant;
    guint changed = 0;
    g_variant_get(v, "(t@ay)", &kind, &variant);
    GBytes *bytes = codec_take_bytes(variant);
    if (kind == KIND_USAGE) {
        changed = usage_command_apply(s->usage, bytes) ? LOG_STATE_USAGE : 0;
    }
    else if (kind == KIND_SNAPSHOT) {
        changed = apply_snapshot(s, bytes);
    }
    else if (kind == KIND_LOG_SNAPSHOT) {
        changed = apply_log_snapshot(s, bytes);
    }
    else if (kind == KIND_LOG_ID) {
        apply_log_id(s, bytes);
    }
    else {
        changed = apply_config(s, kind, bytes);
    }
    g_bytes_unref(bytes);
    g_variant_unref(v);
    return changed;
}

GBytes *
log_state_snapshot(const log_state_t *s)
{
    GBytes *usage = usage_ledger_write(s->usage);
    GBytes *snapshot = codec_write(g_variant_new(
        "(t@ay@ay)", s->version, codec_bytes(s->text), codec_bytes(usage)));
    guint64 kind = KIND_SNAPSHOT;
    if (s->log_id != 0) {
        GBytes *plain = snapshot;
        snapshot = command_write(s->log_id, plain);
        kind = KIND_LOG_SNAPSHOT;
        g_bytes_unref(plain);
    }
    GBytes *command = command_write(kind, snapshot);
    g_bytes_unref(snapshot);
    g_bytes_unref(usage);
    return command;
}
