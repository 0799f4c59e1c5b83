#include "carobloom/policy/voter_codec.h"

#include "carobloom/common/codec.h"

#define CONFIG_TYPE "a(tbs)"
#define MESSAGE_TYPE "(ytttttttba(ttyay)a(tbs)ay)"

static GVariant *
config_variant(const voter_config_t *config)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(CONFIG_TYPE));
    for (guint i = 0; i < config->count; i++) {
        const voter_member_t *m = &config->members[i];
        g_variant_builder_add(&b, "(tbs)", m->id, m->learner, m->name);
    }
    return g_variant_builder_end(&b);
}

static gboolean
config_from_iter(GVariantIter *iter, voter_config_t *config)
{
    *config = (voter_config_t){0};
    if (g_variant_iter_n_children(iter) > VOTER_MEMBERS_MAX) {
        return FALSE;
    }
    guint64 id;
    gboolean learner;
    const char *name;
    while (g_variant_iter_next(iter, "(tb&s)", &id, &learner, &name)) {
        voter_member_t *m = &config->members[config->count++];
        *m = (voter_member_t){.id = id, .learner = learner};
        g_strlcpy(m->name, name, sizeof(m->name));
    }
    return TRUE;
}

GBytes *
voter_config_write(const voter_config_t *config)
{
    return codec_write(config_variant(config));
}

gboolean
voter_config_read(GBytes *bytes, voter_config_t *config)
{
    GVariant *v = codec_read(bytes, CONFIG_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariantIter iter;
    g_variant_iter_init(&iter, v);
    gboolean ok = config_from_iter(&iter, config);
    g_variant_unref(v);
    return ok;
}

static GVariant *
bytes_variant(GBytes *bytes)
{
    if (bytes == NULL) {
        return g_variant_new_array(G_VARIANT_TYPE_BYTE, NULL, 0);
    }
    return g_variant_new_from_bytes(G_VARIANT_TYPE("ay"), bytes, TRUE);
}

GBytes *
voter_message_write(const voter_message_t *m)
{
    GVariantBuilder entries;
    g_variant_builder_init(&entries, G_VARIANT_TYPE("a(ttyay)"));
    for (guint i = 0; m->entries && i < m->entries->len; i++) {
        const log_entry_t *e = m->entries->pdata[i];
        g_variant_builder_add(&entries, "(tty@ay)", e->index, e->term,
                              (guchar)e->kind, bytes_variant(e->data));
    }
    return codec_write(
        g_variant_new("(ytttttttba(ttyay)@a(tbs)@ay)", (guchar)m->kind,
                      m->from, m->to, m->term, m->index, m->log_term,
                      m->commit_index, m->send_time_us, m->granted, &entries,
                      config_variant(&m->config), bytes_variant(m->snapshot)));
}

static GBytes *
bytes_of(GVariant *array)
{
    GBytes *bytes = g_variant_get_data_as_bytes(array);
    g_variant_unref(array);
    return bytes;
}

static void
free_entry(gpointer data)
{
    log_entry_free(data);
}

static GPtrArray *
read_entries(GVariantIter *iter, guint64 previous)
{
    GPtrArray *entries = g_ptr_array_new_with_free_func(free_entry);
    log_entry_t e;
    guchar kind;
    GVariant *data;
    gboolean ok = TRUE;
    while (ok && g_variant_iter_next(iter, "(tty@ay)", &e.index, &e.term,
                                     &kind, &data)) {
        log_entry_t *entry = g_new(log_entry_t, 1);
        *entry = (log_entry_t){.index = e.index,
                               .term = e.term,
                               .kind = (entry_kind_t)kind,
                               .data = bytes_of(data)};
        g_ptr_array_add(entries, entry);
        /* Entry indices must follow the previous one without a gap. */
        ok = kind < ENTRY_KIND_COUNT && entry->index == ++previous;
    }
    if (!ok) {
        g_ptr_array_unref(entries);
        return NULL;
    }
    return entries;
}

voter_message_t *
voter_message_read(GBytes *bytes)
{
    GVariant *v = codec_read(bytes, MESSAGE_TYPE);
    if (v == NULL) {
        return NULL;
    }
    voter_message_t *m = g_new0(voter_message_t, 1);
    guchar kind;
    GVariantIter *entries;
    GVariantIter *config;
    GVariant *snapshot;
    g_variant_get(v, "(ytttttttba(ttyay)a(tbs)@ay)", &kind, &m->from, &m->to,
                  &m->term, &m->index, &m->log_term, &m->commit_index,
                  &m->send_time_us, &m->granted, &entries, &config, &snapshot);
    m->kind = (voter_message_kind_t)kind;
    m->entries = read_entries(entries, m->index);
    m->snapshot = bytes_of(snapshot);
    gboolean ok = kind < VOTER_MESSAGE_KIND_COUNT && m->entries != NULL &&
                  config_from_iter(config, &m->config);
    g_variant_iter_free(entries);
    g_variant_iter_free(config);
    g_variant_unref(v);
    if (!ok) {
        voter_message_free(m);
        return NULL;
    }
    return m;
}
