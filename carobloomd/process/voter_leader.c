#include <jansson.h>
#include <string.h>

#include "carobloom/common/codec.h"
#include "carobloom/common/fields.h"
#include "carobloom/common/log.h"
#include "carobloom/version/document.h"
#include "voter_state.h"

/* An order is given only while the lease outlasts its latest arrival. */
static const gint64 ORDER_LATEST_US = 150 * 1000;
/* A new leader lets the old one's lease and its last order pass. */
static const gint64 ORDER_QUIET_US = 800 * 1000;
enum { LOADS_AT_ONCE = 1, HISTORY_SHOWN = 200 };

static void
reply_to(voter_task_t *v, guint64 member, const wire_reply_t *reply)
{
    if (member == v->process->member) {
        voter_calls_reply(v, member, reply);
        return;
    }
    voter_send(v, member, WIRE_VOTER_REPLY, wire_reply_write(reply));
}

/* The leader's name, for who asked the wrong voter. */
static void
reply_not_leader(voter_task_t *v, guint64 member, guint64 call)
{
    const voter_member_t *leader =
        v->core
            ? voter_config_find(voter_config(v->core), voter_leader(v->core))
            : NULL;
    wire_reply_t reply = {.call = call,
                          .result = REPLY_NOT_LEADER,
                          .text = (char *)(leader ? leader->name : "")};
    reply_to(v, member, &reply);
}

/* ---- proposals ---- */

static gint64
wall_ms(void)
{
    return g_get_real_time() / 1000;
}

static void
propose(voter_task_t *v, guint64 member, guint64 call, GBytes *command)
{
    guint64 index;
    int result =
        voter_propose(v->core, command, &index, g_get_monotonic_time());
    g_bytes_unref(command);
    if (result != VOTER_OK) {
        reply_not_leader(v, member, call);
        return;
    }
    owed_t *owed = g_new(owed_t, 1);
    *owed = (owed_t){.index = index,
                     .term = voter_term(v->core),
                     .member = member,
                     .call = call};
    g_hash_table_replace(v->owed, &owed->index, owed);
    v->turn_due = TRUE;
}

/* The list of faults as JSON. */
static char *
faults_text(const GPtrArray *faults)
{
    json_t *list = json_array();
    for (guint i = 0; i < faults->len; i++) {
        const fault_t *f = faults->pdata[i];
        json_array_append_new(
            list, json_pack("{s:s, s:s}", "path", f->path, "text", f->text));
    }
    json_t *root = json_pack("{s:s, s:o}", "state", "refused", "faults", list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static char *
splice_whole(const splice_t *splice, gsize *length)
{
    const char *data = g_bytes_get_data(splice->inserted, length);
    return g_strndup(data ? data : "", *length);
}

/* Checks a submitted document in full. TRUE when it may be proposed; else it
 * was answered. */
static gboolean
submit_check(voter_task_t *v, guint64 member, guint64 call, const char *change,
             guint64 base, const splice_t *splice)
{
    const site_change_t *known = site_state_find_change(v->state, change);
    if (known != NULL || base != site_state_version(v->state)) {
        return TRUE; /* applying it gives the first answer, or a conflict */
    }
    gsize length;
    char *text =
        splice->removed == SITE_WHOLE
            ? splice_whole(splice, &length)
            : splice_apply(site_state_text(v->state), splice, &length);
    GPtrArray *faults = faults_create();
    document_t *d =
        text ? document_parse((str_t){text, length}, base + 1, faults) : NULL;
    gboolean ok = d != NULL || text == NULL;
    if (!ok) {
        char *list = faults_text(faults);
        wire_reply_t reply = {
            .call = call, .result = REPLY_REFUSED, .text = list};
        reply_to(v, member, &reply);
        free(list);
    }
    document_unref(d);
    faults_destroy(faults);
    g_free(text);
    return ok;
}

/* Commands come as they will stand in the log but for their time, which is
 * the leader's. */
static GBytes *
stamp(GBytes *body, site_command_t wanted)
{
    GVariant *v =
        g_variant_new_from_bytes(G_VARIANT_TYPE("(yxv)"), body, FALSE);
    g_variant_ref_sink(v);
    guchar kind;
    gint64 time_ms;
    GVariant *inner;
    g_variant_get(v, "(yxv)", &kind, &time_ms, &inner);
    GBytes *stamped = NULL;
    if (kind == (guchar)wanted && g_variant_is_normal_form(v)) {
        stamped = codec_write(g_variant_new("(yxv)", kind, wall_ms(), inner));
    }
    g_variant_unref(inner);
    g_variant_unref(v);
    return stamped;
}

static gboolean
submit_is_valid(voter_task_t *v, guint64 member, const wire_call_t *call)
{
    GVariant *outer =
        g_variant_new_from_bytes(G_VARIANT_TYPE("(yxv)"), call->body, FALSE);
    g_variant_ref_sink(outer);
    GVariant *inner;
    g_variant_get(outer, "(yxv)", NULL, NULL, &inner);
    gboolean ok = g_variant_is_of_type(inner, G_VARIANT_TYPE("(stssttay)"));
    if (ok) {
        const char *change;
        guint64 base;
        splice_t splice;
        GVariant *inserted;
        g_variant_get(inner, "(&stsstt@ay)", &change, &base, NULL, NULL,
                      &splice.prefix, &splice.removed, &inserted);
        splice.inserted = g_variant_get_data_as_bytes(inserted);
        ok = submit_check(v, member, call->call, change, base, &splice);
        g_variant_unref(inserted);
        splice_clear(&splice);
    }
    g_variant_unref(inner);
    g_variant_unref(outer);
    return ok;
}

/* ---- reads, under the lease ---- */

static void
answer_sync(voter_task_t *v, guint64 member, const wire_call_t *call)
{
    GArray *steps = wire_steps_create();
    guint64 version = site_state_version(v->state);
    GPtrArray *deltas = site_state_deltas(v->state, call->version);
    for (guint i = 0; deltas && i < deltas->len; i++) {
        const site_delta_t *d = deltas->pdata[i];
        wire_step_t step = {.version = d->version,
                            .base = d->version - 1,
                            .prefix = d->splice.prefix,
                            .removed = d->splice.removed,
                            .inserted = g_bytes_ref(d->splice.inserted)};
        g_array_append_val(steps, step);
    }
    if (deltas == NULL && version > 0) {
        str_t text = site_state_text(v->state);
        wire_step_t step = {.version = version,
                            .inserted = g_bytes_new(text.data, text.length)};
        g_array_append_val(steps, step);
    }
    g_clear_pointer(&deltas, g_ptr_array_unref);
    GBytes *body = wire_steps_write(steps);
    wire_reply_t reply = {
        .call = call->call, .version = version, .body = body};
    reply_to(v, member, &reply);
    g_bytes_unref(body);
    g_array_unref(steps);
}

static json_t *
behind_list(voter_task_t *v)
{
    json_t *list = json_array();
    guint64 version = site_state_version(v->state);
    for (guint i = 0; i < v->members->len; i++) {
        const member_info_t *m = &g_array_index(v->members, member_info_t, i);
        guint64 *acked = g_hash_table_lookup(v->acks, m->name);
        if (m->id != v->process->member &&
            (acked == NULL || *acked < version)) {
            json_array_append_new(
                list, json_pack("{s:s, s:I}", "instance", m->name, "version",
                                (json_int_t)(acked ? *acked : 0)));
        }
    }
    return list;
}

static json_t *
changes_list(const voter_task_t *v)
{
    json_t *list = json_array();
    const GQueue *changes = site_state_changes(v->state);
    int shown = 0;
    for (GList *l = changes->tail; l && shown < HISTORY_SHOWN;
         l = l->prev, shown++) {
        const site_change_t *c = l->data;
        json_array_append_new(
            list, json_pack("{s:I, s:s, s:s, s:s, s:I}", "version",
                            (json_int_t)c->version, "change", c->change,
                            "author", c->author, "note", c->note, "time_ms",
                            (json_int_t)c->time_ms));
    }
    return list;
}

static json_t *
orders_list(const voter_task_t *v)
{
    json_t *list = json_array();
    for (GList *l = site_state_orders(v->state)->tail; l; l = l->prev) {
        const site_order_t *o = l->data;
        json_array_append_new(
            list, json_pack("{s:I, s:s, s:s, s:s, s:b, s:i}", "fence",
                            (json_int_t)o->fence, "address", o->address,
                            "verb", o->verb, "value", o->value, "done",
                            (int)o->done, "status", o->status));
    }
    return list;
}

static void
answer_history(voter_task_t *v, guint64 member, const wire_call_t *call)
{
    json_t *root =
        json_pack("{s:I, s:s, s:o, s:o, s:o}", "version",
                  (json_int_t)site_state_version(v->state), "leader",
                  v->process->settings->instance, "behind", behind_list(v),
                  "changes", changes_list(v), "orders", orders_list(v));
    char *text = json_dumps(root, JSON_COMPACT);
    wire_reply_t reply = {.call = call->call,
                          .version = site_state_version(v->state),
                          .text = text};
    reply_to(v, member, &reply);
    free(text);
    json_decref(root);
}

static void
note_ack(voter_task_t *v, const wire_call_t *call)
{
    guint64 *version = g_new(guint64, 1);
    *version = call->version;
    g_hash_table_replace(v->acks, g_strdup(call->name), version);
}

static void
take_command(voter_task_t *v, guint64 member, const wire_call_t *call,
             site_command_t command)
{
    GBytes *stamped = stamp(call->body, command);
    if (stamped != NULL) {
        propose(v, member, call->call, stamped);
    }
}

void
voter_leader_call(voter_task_t *v, guint64 member, const wire_call_t *call)
{
    if (call->kind == CALL_ACK) {
        note_ack(v, call);
        return;
    }
    gint64 now = g_get_monotonic_time();
    /* All questions need the lease: a leader that was cut off must not even
     * check a document against what it believes to be the newest. */
    if (v->core == NULL || v->failed || !voter_may_read(v->core, now)) {
        reply_not_leader(v, member, call->call);
        return;
    }
    switch (call->kind) {
    case CALL_SUBMIT:
        if (submit_is_valid(v, member, call)) {
            take_command(v, member, call, SITE_SUBMIT);
        }
        break;
    case CALL_CLAIM:
        take_command(v, member, call, SITE_CLAIM);
        break;
    case CALL_FINISH:
        take_command(v, member, call, SITE_FINISH);
        break;
    case CALL_ORDER:
        take_command(v, member, call, SITE_ORDER);
        break;
    case CALL_SYNC:
        answer_sync(v, member, call);
        break;
    case CALL_HISTORY:
        answer_history(v, member, call);
        break;
    default:
        break;
    }
}

/* ---- after an entry is applied ---- */

/* A new version goes to every instance at once, as a step. */
static void
push_step(voter_task_t *v)
{
    guint64 version = site_state_version(v->state);
    GPtrArray *deltas = site_state_deltas(v->state, version - 1);
    if (deltas == NULL) {
        return;
    }
    const site_delta_t *d = deltas->pdata[0];
    GArray *steps = wire_steps_create();
    wire_step_t step = {.version = version,
                        .base = version - 1,
                        .prefix = d->splice.prefix,
                        .removed = d->splice.removed,
                        .inserted = g_bytes_ref(d->splice.inserted)};
    g_array_append_val(steps, step);
    GBytes *bytes = wire_steps_write(steps);
    for (guint i = 0; i < v->members->len; i++) {
        const member_info_t *m = &g_array_index(v->members, member_info_t, i);
        if (m->id != v->process->member) {
            voter_send(v, m->id, WIRE_DOCUMENT, g_bytes_ref(bytes));
        }
    }
    g_bytes_unref(bytes);
    g_array_unref(steps);
    g_ptr_array_unref(deltas);
}

void
voter_leader_applied(voter_task_t *v, const log_entry_t *entry,
                     const site_result_t *result)
{
    gboolean leads = voter_role(v->core) == ROLE_LEADER;
    if (leads && result->command == SITE_SUBMIT &&
        result->outcome == SITE_OK) {
        push_step(v);
    }
    owed_t *owed = g_hash_table_lookup(v->owed, &entry->index);
    if (owed == NULL) {
        return;
    }
    if (owed->term == entry->term) {
        guint64 version =
            result->command == SITE_ORDER ? result->fence : result->version;
        wire_reply_t reply = {
            .call = owed->call,
            .outcome = (gint32)result->outcome,
            .version = version,
            .status = result->status,
            .type = (char *)result->content_type,
            .body = result->answer,
        };
        reply_to(v, owed->member, &reply);
    }
    g_hash_table_remove(v->owed, &entry->index);
}

void
voter_leader_lost(voter_task_t *v)
{
    /* Who waits asks again and is sent to the new leader. */
    g_hash_table_remove_all(v->owed);
    g_hash_table_remove_all(v->acks);
    g_hash_table_remove_all(v->ordering);
}

/* ---- orders to engines ---- */

static gboolean
needs_weights(const char *verb)
{
    return strcmp(verb, "set-role") != 0;
}

static void
give_order(voter_task_t *v, const site_order_t *order, gint64 now)
{
    guint64 *fence = g_new(guint64, 1);
    *fence = order->fence;
    g_hash_table_add(v->ordering, fence);
    log_info(LOG_PART_VOTER, "Order %lu: %s %s at %s.",
             (unsigned long)order->fence, order->verb, order->value,
             order->address);
    task_send(
        v->process->http[0],
        MESSAGE(engine_message_t, .base = {HTTP_ORDER, engine_message_free},
                .fence = order->fence, .address = g_strdup(order->address),
                .verb = g_strdup(order->verb), .value = g_strdup(order->value),
                .latest_us = now + ORDER_LATEST_US));
}

/* A later order for the same engine and verb makes an earlier one void. */
static gboolean
superseded(const GList *link)
{
    const site_order_t *o = link->data;
    for (const GList *l = link->next; l; l = l->next) {
        const site_order_t *later = l->data;
        if (strcmp(later->address, o->address) == 0 &&
            strcmp(later->verb, o->verb) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

void
voter_leader_tick(voter_task_t *v)
{
    gint64 now = g_get_monotonic_time();
    if (v->core == NULL || v->failed ||
        !voter_may_read(v->core, now + ORDER_LATEST_US) ||
        (!voter_alone(v) && now - v->led_since_us < ORDER_QUIET_US)) {
        return;
    }
    guint loads = g_hash_table_size(v->ordering);
    for (GList *l = site_state_orders(v->state)->head; l; l = l->next) {
        const site_order_t *o = l->data;
        if (o->done || superseded(l) ||
            g_hash_table_contains(v->ordering, &o->fence)) {
            continue;
        }
        if (needs_weights(o->verb) && loads >= LOADS_AT_ONCE) {
            continue;
        }
        give_order(v, o, now);
        loads++;
    }
}

void
voter_leader_order_done(voter_task_t *v, const engine_message_t *m)
{
    g_hash_table_remove(v->ordering, &m->fence);
    if (v->core == NULL || v->failed || m->status == 0) {
        return; /* it may have arrived: it is given again */
    }
    guint64 index;
    GBytes *command = site_order_done_write(wall_ms(), m->fence, m->status);
    voter_propose(v->core, command, &index, g_get_monotonic_time());
    g_bytes_unref(command);
    v->turn_due = TRUE;
}
