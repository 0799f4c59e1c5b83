#include "site_commands.h"

#include "carobloom/common/codec.h"
#include "carobloom/version/site_state.h"

static GBytes *
command_write(site_command_t kind, gint64 time_ms, GVariant *body)
{
    return codec_write(
        g_variant_new(COMMAND_TYPE, (guchar)kind, time_ms, body));
}

GBytes *
site_submit_write(gint64 time_ms, const char *change, guint64 base,
                  const char *author, const char *note, const splice_t *splice)
{
    GVariant *inserted =
        g_variant_new_from_bytes(G_VARIANT_TYPE("ay"), splice->inserted, TRUE);
    return command_write(SITE_SUBMIT, time_ms,
                         g_variant_new("(stsstt@ay)", change, base, author,
                                       note, splice->prefix, splice->removed,
                                       inserted));
}

GBytes *
site_claim_write(gint64 time_ms, const char *team, const char *key,
                 guint64 digest, guint64 holder, gint64 keep_s)
{
    return command_write(
        SITE_CLAIM, time_ms,
        g_variant_new(CLAIM_TYPE, team, key, digest, holder, keep_s));
}

GBytes *
site_finish_write(gint64 time_ms, const char *team, const char *key,
                  guint64 holder, int status, const char *type, GBytes *answer)
{
    GBytes *empty = g_bytes_new(NULL, 0);
    GVariant *array = g_variant_new_from_bytes(G_VARIANT_TYPE("ay"),
                                               answer ? answer : empty, TRUE);
    GBytes *bytes =
        command_write(SITE_FINISH, time_ms,
                      g_variant_new("(sstis@ay)", team, key, holder,
                                    (gint32)status, type ? type : "", array));
    g_bytes_unref(empty);
    return bytes;
}

GBytes *
site_order_write(gint64 time_ms, const char *address, const char *verb,
                 const char *value)
{
    return command_write(SITE_ORDER, time_ms,
                         g_variant_new(ORDER_TYPE, address, verb, value));
}

GBytes *
site_order_done_write(gint64 time_ms, guint64 fence, int status)
{
    return command_write(
        SITE_ORDER_DONE, time_ms,
        g_variant_new(ORDER_DONE_TYPE, fence, (gint32)status));
}
