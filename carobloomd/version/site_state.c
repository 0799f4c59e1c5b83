#include "carobloom/version/site_state.h"

#include <string.h>

#include "carobloom/common/codec.h"
#include "site_commands.h"

#define STATE_TYPE "(xtaya(tsssx)a(sttxixsay)a(tsssbi))"
enum { CLAIM_OVERHEAD = 200, CLAIM_RUNNING = 0, EXPIRE_A_COMMAND = 64 };

/* A claim. `status` is CLAIM_RUNNING, -1 (not known) or an HTTP status. */
typedef struct {
    char *name; /* team, newline, key */
    guint64 digest;
    guint64 holder;
    gint64 expires_ms;
    int status;
    gint64 keep_ms;
    char *type;
    GBytes *answer;
    GList link; /* in order of expiry time given at its claim */
} claim_t;

/* What a command or a snapshot may claim at most: sums stay in range. */
enum { KEEP_S_MAX = 2592000 };
static const gint64 TIME_MS_MAX = (gint64)1 << 52;

struct site_state {
    gint64 now_ms; /* never goes back */
    guint64 version;
    char *text;
    gsize length;
    GQueue changes;        /* site_change_t */
    GHashTable *by_change; /* change id -> site_change_t */
    GHashTable *claims;    /* name -> claim_t */
    GQueue claim_order;    /* claim_t, oldest first */
    gsize claim_bytes;
    GQueue orders; /* site_order_t */
    GQueue deltas; /* site_delta_t, not part of the snapshot */
};

/* ---- life ---- */

static void
change_free(gpointer data)
{
    site_change_t *c = data;
    g_free(c->change);
    g_free(c->author);
    g_free(c->note);
    g_free(c);
}

static void
claim_free(gpointer data)
{
    claim_t *c = data;
    g_free(c->name);
    g_free(c->type);
    g_bytes_unref(c->answer);
    g_free(c);
}

static void
order_free(gpointer data)
{
    site_order_t *o = data;
    g_free(o->address);
    g_free(o->verb);
    g_free(o->value);
    g_free(o);
}

static void
delta_free(gpointer data)
{
    site_delta_t *d = data;
    splice_clear(&d->splice);
    g_bytes_unref(d->replaced);
    g_free(d);
}

site_state_t *
site_state_create(void)
{
    site_state_t *s = g_new0(site_state_t, 1);
    s->text = g_strdup("");
    s->by_change = g_hash_table_new(g_str_hash, g_str_equal);
    s->claims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, claim_free);
    return s;
}

static void
site_state_clear(site_state_t *s)
{
    g_hash_table_unref(s->by_change);
    g_hash_table_unref(s->claims);
    g_queue_clear_full(&s->changes, change_free);
    g_queue_clear_full(&s->orders, order_free);
    g_queue_clear_full(&s->deltas, delta_free);
    g_free(s->text);
}

void
site_state_destroy(site_state_t *s)
{
    site_state_clear(s);
    g_free(s);
}

static void
site_state_reset(site_state_t *s)
{
    site_state_clear(s);
    site_state_t *fresh = site_state_create();
    *s = *fresh;
    g_free(fresh);
}

/* ---- the document ---- */

static void
add_change(site_state_t *s, site_change_t *change)
{
    g_queue_push_tail(&s->changes, change);
    g_hash_table_insert(s->by_change, change->change, change);
    if (s->changes.length > SITE_CHANGES_MAX) {
        site_change_t *oldest = g_queue_pop_head(&s->changes);
        if (g_hash_table_lookup(s->by_change, oldest->change) == oldest) {
            g_hash_table_remove(s->by_change, oldest->change);
        }
        change_free(oldest);
    }
}

static void
add_delta(site_state_t *s, const splice_t *splice)
{
    site_delta_t *d = g_new0(site_delta_t, 1);
    *d = (site_delta_t){
        .version = s->version + 1,
        .splice = *splice,
        .replaced = g_bytes_new(s->text + splice->prefix, splice->removed),
    };
    g_bytes_ref(d->splice.inserted);
    g_queue_push_tail(&s->deltas, d);
    if (s->deltas.length > SITE_DELTAS_MAX) {
        delta_free(g_queue_pop_head(&s->deltas));
    }
}

static GBytes *
take_bytes(GVariant *array)
{
    GBytes *bytes = g_variant_get_data_as_bytes(array);
    g_variant_unref(array);
    return bytes;
}

/* Turns a whole text into the step from the present one. */
static void
splice_resolve(const site_state_t *s, splice_t *splice)
{
    if (splice->removed != SITE_WHOLE) {
        return;
    }
    gsize length;
    const char *data = g_bytes_get_data(splice->inserted, &length);
    splice_t step = splice_between(site_state_text(s),
                                   (str_t){.data = data, .length = length});
    g_bytes_unref(splice->inserted);
    *splice = step;
}

static void
apply_submit(site_state_t *s, GVariant *body, site_result_t *result)
{
    const char *change;
    const char *author;
    const char *note;
    guint64 base;
    splice_t splice;
    GVariant *inserted;
    g_variant_get(body, "(&st&s&stt@ay)", &change, &base, &author, &note,
                  &splice.prefix, &splice.removed, &inserted);
    splice.inserted = take_bytes(inserted);
    const site_change_t *known = site_state_find_change(s, change);
    gsize length = 0;
    char *text = NULL;
    result->version = s->version;
    if (known != NULL) {
        result->outcome = SITE_REPEATED;
        result->version = known->version;
    }
    else if (base != s->version) {
        result->outcome = SITE_CONFLICT;
    }
    else {
        splice_resolve(s, &splice);
        text = splice_apply((str_t){.data = s->text, .length = s->length},
                            &splice, &length);
        result->outcome = text ? SITE_OK : SITE_CONFLICT;
    }
    if (text != NULL) {
        add_delta(s, &splice);
        g_free(s->text);
        s->text = text;
        s->length = length;
        s->version++;
        result->version = s->version;
        site_change_t *made = g_new0(site_change_t, 1);
        *made = (site_change_t){.version = s->version,
                                .change = g_strdup(change),
                                .author = g_strdup(author),
                                .note = g_strdup(note),
                                .time_ms = s->now_ms};
        add_change(s, made);
    }
    splice_clear(&splice);
}

/* ---- claims ---- */

static gsize
claim_size(const claim_t *c)
{
    return CLAIM_OVERHEAD + strlen(c->name) + g_bytes_get_size(c->answer);
}

static void
remove_claim(site_state_t *s, claim_t *c)
{
    s->claim_bytes -= claim_size(c);
    g_queue_unlink(&s->claim_order, &c->link);
    g_hash_table_remove(s->claims, c->name);
}

/* Lets old claims go, a few with each command. Those at the front expire
 * first, near enough: retention differs by class, so a long one may hold
 * shorter ones behind it back a little. */
static void
expire_claims(site_state_t *s)
{
    for (int i = 0; i < EXPIRE_A_COMMAND && s->claim_order.length > 0; i++) {
        claim_t *c = s->claim_order.head->data;
        if (c->expires_ms > s->now_ms) {
            /* Look at it again after the others. */
            g_queue_unlink(&s->claim_order, &c->link);
            g_queue_push_tail_link(&s->claim_order, &c->link);
            return;
        }
        remove_claim(s, c);
    }
}

static char *
claim_name(const char *team, const char *key)
{
    return g_strconcat(team, "\n", key, NULL);
}

static void
claim_add(site_state_t *s, claim_t *c)
{
    c->link.data = c;
    g_hash_table_replace(s->claims, c->name, c);
    g_queue_push_tail_link(&s->claim_order, &c->link);
    s->claim_bytes += claim_size(c);
}

/* What a second claim under a known name is told. */
static void
claim_known(const claim_t *c, guint64 digest, guint64 holder,
            site_result_t *result)
{
    if (c->digest != digest) {
        result->outcome = SITE_MISMATCH;
    }
    else if (c->status == CLAIM_RUNNING) {
        /* The holder's own, sent again because the answer was lost. */
        result->outcome = c->holder == holder ? SITE_OK : SITE_HELD;
    }
    else if (c->status < 0) {
        result->outcome = SITE_UNKNOWN;
    }
    else {
        result->outcome = SITE_ANSWERED;
        result->status = c->status;
        result->content_type = c->type;
        result->answer = c->answer;
    }
}

static void
apply_claim(site_state_t *s, GVariant *body, site_result_t *result)
{
    const char *team;
    const char *key;
    guint64 digest;
    guint64 holder;
    gint64 keep_s;
    g_variant_get(body, "(&s&sttx)", &team, &key, &digest, &holder, &keep_s);
    keep_s = CLAMP(keep_s, 0, KEEP_S_MAX);
    expire_claims(s);
    char *name = claim_name(team, key);
    claim_t *known = g_hash_table_lookup(s->claims, name);
    if (known && known->expires_ms <= s->now_ms) {
        remove_claim(s, known);
        known = NULL;
    }
    if (known != NULL) {
        claim_known(known, digest, holder, result);
        g_free(name);
        return;
    }
    if (g_hash_table_size(s->claims) >= SITE_CLAIMS_MAX ||
        s->claim_bytes >= SITE_CLAIM_BYTES_MAX) {
        result->outcome = SITE_FULL;
        g_free(name);
        return;
    }
    claim_t *c = g_new0(claim_t, 1);
    *c = (claim_t){.name = name,
                   .digest = digest,
                   .holder = holder,
                   .keep_ms = keep_s * 1000,
                   .expires_ms = s->now_ms + keep_s * 1000,
                   .status = CLAIM_RUNNING,
                   .type = g_strdup(""),
                   .answer = g_bytes_new(NULL, 0)};
    claim_add(s, c);
    result->outcome = SITE_OK;
}

static void
apply_finish(site_state_t *s, GVariant *body, site_result_t *result)
{
    const char *team;
    const char *key;
    const char *type;
    guint64 holder;
    gint32 status;
    GVariant *array;
    g_variant_get(body, "(&s&sti&s@ay)", &team, &key, &holder, &status, &type,
                  &array);
    GBytes *answer = take_bytes(array);
    char *name = claim_name(team, key);
    claim_t *c = g_hash_table_lookup(s->claims, name);
    result->outcome = SITE_OK;
    if (c && c->holder == holder && c->status == CLAIM_RUNNING) {
        if (status == CLAIM_RUNNING) {
            remove_claim(s, c);
        }
        else {
            s->claim_bytes -= claim_size(c);
            c->status = status;
            c->expires_ms = s->now_ms + c->keep_ms;
            g_free(c->type);
            c->type = g_strdup(type);
            if (s->claim_bytes + g_bytes_get_size(answer) <
                SITE_CLAIM_BYTES_MAX) {
                g_bytes_unref(c->answer);
                c->answer = g_bytes_ref(answer);
            }
            s->claim_bytes += claim_size(c);
        }
    }
    g_free(name);
    g_bytes_unref(answer);
}

/* ---- orders ---- */

static void
apply_order(site_state_t *s, guint64 index, GVariant *body,
            site_result_t *result)
{
    site_order_t *o = g_new0(site_order_t, 1);
    o->fence = index;
    g_variant_get(body, ORDER_TYPE, &o->address, &o->verb, &o->value);
    g_queue_push_tail(&s->orders, o);
    if (s->orders.length > SITE_ORDERS_MAX) {
        order_free(g_queue_pop_head(&s->orders));
    }
    result->outcome = SITE_OK;
    result->fence = index;
}

static void
apply_order_done(site_state_t *s, GVariant *body, site_result_t *result)
{
    guint64 fence;
    gint32 status;
    g_variant_get(body, ORDER_DONE_TYPE, &fence, &status);
    for (GList *l = s->orders.head; l; l = l->next) {
        site_order_t *o = l->data;
        if (o->fence == fence) {
            o->done = TRUE;
            o->status = status;
        }
    }
    result->outcome = SITE_OK;
}

/* ---- applying ---- */

static const char *
body_type(guchar kind)
{
    static const char *const types[] = {
        [SITE_SUBMIT] = SUBMIT_TYPE,         [SITE_CLAIM] = CLAIM_TYPE,
        [SITE_FINISH] = FINISH_TYPE,         [SITE_ORDER] = ORDER_TYPE,
        [SITE_ORDER_DONE] = ORDER_DONE_TYPE,
    };
    return kind < G_N_ELEMENTS(types) ? types[kind] : NULL;
}

gboolean
site_state_apply(site_state_t *s, guint64 index, GBytes *command,
                 site_result_t *result)
{
    *result = (site_result_t){0};
    GVariant *v = codec_read(command, COMMAND_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    guchar kind;
    gint64 time_ms;
    GVariant *body;
    g_variant_get(v, COMMAND_TYPE, &kind, &time_ms, &body);
    g_variant_unref(v);
    const char *type = body_type(kind);
    gboolean ok = type && g_variant_is_of_type(body, G_VARIANT_TYPE(type));
    s->now_ms = CLAMP(time_ms, s->now_ms, TIME_MS_MAX);
    result->command = (site_command_t)kind;
    switch (ok ? kind : 0) {
    case SITE_SUBMIT:
        apply_submit(s, body, result);
        break;
    case SITE_CLAIM:
        apply_claim(s, body, result);
        break;
    case SITE_FINISH:
        apply_finish(s, body, result);
        break;
    case SITE_ORDER:
        apply_order(s, index, body, result);
        break;
    case SITE_ORDER_DONE:
        apply_order_done(s, body, result);
        break;
    default:
        break;
    }
    g_variant_unref(body);
    return ok;
}

/* ---- snapshot ---- */

GBytes *
site_state_snapshot(const site_state_t *s)
{
    GVariantBuilder changes;
    GVariantBuilder claims;
    GVariantBuilder orders;
    g_variant_builder_init(&changes, G_VARIANT_TYPE("a(tsssx)"));
    g_variant_builder_init(&claims, G_VARIANT_TYPE("a(sttxixsay)"));
    g_variant_builder_init(&orders, G_VARIANT_TYPE("a(tsssbi)"));
    for (GList *l = s->changes.head; l; l = l->next) {
        const site_change_t *c = l->data;
        g_variant_builder_add(&changes, "(tsssx)", c->version, c->change,
                              c->author, c->note, c->time_ms);
    }
    for (GList *l = s->claim_order.head; l; l = l->next) {
        const claim_t *c = l->data;
        g_variant_builder_add(
            &claims, "(sttxixs@ay)", c->name, c->digest, c->holder,
            c->expires_ms, c->status, c->keep_ms, c->type,
            g_variant_new_from_bytes(G_VARIANT_TYPE("ay"), c->answer, TRUE));
    }
    for (GList *l = s->orders.head; l; l = l->next) {
        const site_order_t *o = l->data;
        g_variant_builder_add(&orders, "(tsssbi)", o->fence, o->address,
                              o->verb, o->value, o->done, o->status);
    }
    GVariant *text =
        g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, s->text, s->length, 1);
    return codec_write(g_variant_new("(xt@aya(tsssx)a(sttxixsay)a(tsssbi))",
                                     s->now_ms, s->version, text, &changes,
                                     &claims, &orders));
}

static void
restore_lists(site_state_t *s, GVariantIter *changes, GVariantIter *claims,
              GVariantIter *orders)
{
    site_change_t change;
    while (g_variant_iter_next(changes, "(tsssx)", &change.version,
                               &change.change, &change.author, &change.note,
                               &change.time_ms)) {
        add_change(s, g_memdup2(&change, sizeof(change)));
    }
    claim_t claim = {0};
    GVariant *answer;
    while (g_variant_iter_next(claims, "(sttxixs@ay)", &claim.name,
                               &claim.digest, &claim.holder, &claim.expires_ms,
                               &claim.status, &claim.keep_ms, &claim.type,
                               &answer)) {
        claim.answer = take_bytes(answer);
        claim.keep_ms = CLAMP(claim.keep_ms, 0, KEEP_S_MAX * (gint64)1000);
        claim_add(s, g_memdup2(&claim, sizeof(claim)));
    }
    site_order_t order;
    while (g_variant_iter_next(orders, "(tsssbi)", &order.fence,
                               &order.address, &order.verb, &order.value,
                               &order.done, &order.status)) {
        g_queue_push_tail(&s->orders, g_memdup2(&order, sizeof(order)));
    }
}

gboolean
site_state_restore(site_state_t *s, GBytes *snapshot)
{
    site_state_reset(s);
    if (g_bytes_get_size(snapshot) == 0) {
        return TRUE;
    }
    GVariant *v = codec_read(snapshot, STATE_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *text;
    GVariantIter *changes;
    GVariantIter *claims;
    GVariantIter *orders;
    g_variant_get(v, "(xt@aya(tsssx)a(sttxixsay)a(tsssbi))", &s->now_ms,
                  &s->version, &text, &changes, &claims, &orders);
    s->now_ms = CLAMP(s->now_ms, 0, TIME_MS_MAX);
    const void *data = g_variant_get_fixed_array(text, &s->length, 1);
    g_free(s->text);
    s->text = g_strndup(data ? data : "", s->length);
    restore_lists(s, changes, claims, orders);
    g_variant_unref(text);
    g_variant_iter_free(changes);
    g_variant_iter_free(claims);
    g_variant_iter_free(orders);
    g_variant_unref(v);
    return TRUE;
}

/* ---- reading ---- */

guint64
site_state_version(const site_state_t *s)
{
    return s->version;
}

str_t
site_state_text(const site_state_t *s)
{
    return (str_t){.data = s->text, .length = s->length};
}

const GQueue *
site_state_changes(const site_state_t *s)
{
    return &s->changes;
}

const GQueue *
site_state_orders(const site_state_t *s)
{
    return &s->orders;
}

const site_change_t *
site_state_find_change(const site_state_t *s, const char *change)
{
    return g_hash_table_lookup(s->by_change, change);
}

GPtrArray *
site_state_deltas(const site_state_t *s, guint64 version)
{
    GPtrArray *list = g_ptr_array_new();
    for (GList *l = s->deltas.head; l; l = l->next) {
        site_delta_t *d = l->data;
        if (d->version > version) {
            g_ptr_array_add(list, d);
        }
    }
    if (version > s->version || list->len != s->version - version) {
        g_ptr_array_unref(list);
        return NULL;
    }
    return list;
}

char *
site_state_text_at(const site_state_t *s, guint64 version, gsize *length)
{
    if (version > s->version || s->version - version > s->deltas.length) {
        return NULL;
    }
    char *text = g_strndup(s->text, s->length);
    *length = s->length;
    for (GList *l = s->deltas.tail; l; l = l->prev) {
        const site_delta_t *d = l->data;
        if (d->version <= version) {
            break;
        }
        splice_t back = {.prefix = d->splice.prefix,
                         .removed = g_bytes_get_size(d->splice.inserted),
                         .inserted = d->replaced};
        char *before = splice_apply((str_t){.data = text, .length = *length},
                                    &back, length);
        g_free(text);
        text = before;
        if (text == NULL) {
            return NULL;
        }
    }
    return text;
}

guint
site_state_claims(const site_state_t *s)
{
    return g_hash_table_size(s->claims);
}

gsize
site_state_claim_bytes(const site_state_t *s)
{
    return s->claim_bytes;
}
