#include "carobloom/process/voter_task.h"

#include <jansson.h>
#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/fields.h"
#include "carobloom/common/log.h"
#include "carobloom/version/document.h"
#include "voter_state.h"

static const gint64 TICK_US = 20 * 1000;
static const gint64 TICK_OTHERS_US = 100 * 1000; /* where nobody votes */
static const gint64 SUBMIT_PATIENCE_US = 5 * G_USEC_PER_SEC;
static const gint64 CLAIM_PATIENCE_US = 3 * G_USEC_PER_SEC;
static const gint64 FINISH_PATIENCE_US = 600 * (gint64)G_USEC_PER_SEC;
static const gint64 SYNC_PATIENCE_US = 1 * G_USEC_PER_SEC;

/* ---- small helpers ---- */

gboolean
voter_alone(const voter_task_t *v)
{
    char **voters = v->process->settings->voters;
    guint count = voters ? g_strv_length(voters) : 0;
    return count == 0 || (count == 1 && v->votes);
}

const member_info_t *
voter_member(const voter_task_t *v, guint64 id)
{
    for (guint i = 0; i < v->members->len; i++) {
        const member_info_t *m = &g_array_index(v->members, member_info_t, i);
        if (m->id == id) {
            return m;
        }
    }
    return NULL;
}

const member_info_t *
voter_member_named(const voter_task_t *v, const char *name)
{
    for (guint i = 0; i < v->members->len; i++) {
        const member_info_t *m = &g_array_index(v->members, member_info_t, i);
        if (strcmp(m->name, name) == 0) {
            return m;
        }
    }
    return NULL;
}

void
voter_send(voter_task_t *v, guint64 member, wire_kind_t kind, GBytes *bytes)
{
    if (v->process->peers == NULL) {
        g_bytes_unref(bytes);
        return;
    }
    task_send(v->process->peers,
              MESSAGE(wire_message_t, .base = {PEERS_SEND, wire_message_free},
                      .member = member, .kind = (guint8)kind, .bytes = bytes));
}

/* ---- the document in force here ---- */

static void
tell_version(voter_task_t *v)
{
    if (v->process->peers != NULL) {
        task_send(v->process->peers,
                  MESSAGE(version_message_t,
                          .base = {PEERS_VERSION, message_free},
                          .version = v->version));
    }
    wire_call_t ack = {.kind = CALL_ACK,
                       .version = v->version,
                       .name = v->process->settings->instance};
    if (v->leader_member != 0 && v->leader_member != v->process->member) {
        voter_send(v, v->leader_member, WIRE_VOTER_CALL,
                   wire_call_write(&ack));
    }
}

void
voter_publish(voter_task_t *v, guint64 version, str_t text)
{
    if (version <= v->version) {
        return; /* never back to an older one */
    }
    GPtrArray *faults = faults_create();
    document_t *document = document_parse(text, version, faults);
    if (document == NULL) {
        log_error(LOG_PART_DOCUMENT, "Version %lu is not valid here.",
                  (unsigned long)version);
        faults_destroy(faults);
        return;
    }
    faults_destroy(faults);
    g_free(v->text);
    v->text = str_dup(text);
    v->length = text.length;
    v->version = version;
    process_publish_document(v->process, document);
    document_unref(document);
    log_info(LOG_PART_DOCUMENT, "Version %lu is in force.",
             (unsigned long)version);
    tell_version(v);
}

/* Takes steps that follow on what is here; others are asked for later. */
void
voter_take_steps(voter_task_t *v, GBytes *bytes)
{
    GArray *steps = wire_steps_read(bytes);
    for (guint i = 0; steps && i < steps->len; i++) {
        const wire_step_t *s = &g_array_index(steps, wire_step_t, i);
        if (s->version <= v->version) {
            continue;
        }
        if (s->base == 0 && s->prefix == 0 && s->removed == 0) {
            /* The whole text. */
            gsize size;
            const char *data = g_bytes_get_data(s->inserted, &size);
            voter_publish(v, s->version, (str_t){data, size});
            continue;
        }
        if (s->base != v->version) {
            break;
        }
        splice_t splice = {.prefix = s->prefix,
                           .removed = s->removed,
                           .inserted = s->inserted};
        gsize length;
        char *text =
            splice_apply((str_t){v->text, v->length}, &splice, &length);
        if (text != NULL) {
            voter_publish(v, s->version, (str_t){text, length});
            g_free(text);
        }
    }
    g_clear_pointer(&steps, g_array_unref);
}

static gboolean
asked_already(const voter_task_t *v, call_kind_t kind)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, v->questions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((question_t *)value)->kind == kind) {
            return TRUE;
        }
    }
    return FALSE;
}

static question_t *
question_create(gint64 patience_us, task_t *http, guint64 http_call)
{
    question_t *q = g_new0(question_t, 1);
    q->until_us = g_get_monotonic_time() + patience_us;
    q->http = http;
    q->http_call = http_call;
    return q;
}

/* Asks the leader for what is newer, which also confirms what is here. */
static void
ask_sync(voter_task_t *v)
{
    if (asked_already(v, CALL_SYNC)) {
        return;
    }
    wire_call_t call = {.call = ++v->last_call,
                        .kind = CALL_SYNC,
                        .version = v->version,
                        .name = v->process->settings->instance};
    voter_calls_ask(v, &call, question_create(SYNC_PATIENCE_US, NULL, 0));
}

/* ---- questions of this instance's callers and operators ---- */

static void
ask(voter_task_t *v, call_kind_t kind, GBytes *body, question_t *question)
{
    wire_call_t call = {.call = ++v->last_call,
                        .kind = kind,
                        .body = body,
                        .name = v->process->settings->instance};
    voter_calls_ask(v, &call, question);
    g_clear_pointer(&body, g_bytes_unref);
}

static void
handle_submit(voter_task_t *v, submit_message_t *m)
{
    str_t present = {.data = v->text ? v->text : "", .length = v->length};
    str_t wanted = {.data = m->text, .length = m->length};
    /* The step is against the base; where that is not here, the whole text
     * goes to the leader, marked as such. */
    gboolean have_base = m->base_version == v->version;
    splice_t splice =
        splice_between(have_base ? present : (str_t){"", 0}, wanted);
    if (!have_base) {
        splice.removed = SITE_WHOLE;
    }
    question_t *q = question_create(SUBMIT_PATIENCE_US, m->http, m->call);
    q->base = m->base_version;
    q->text = g_steal_pointer(&m->text);
    q->length = m->length;
    ask(v, CALL_SUBMIT,
        site_submit_write(0, m->change, m->base_version, m->author,
                          m->note ? m->note : "", &splice),
        q);
    splice_clear(&splice);
}

static void
handle_claim(voter_task_t *v, const claim_message_t *m)
{
    ask(v, CALL_CLAIM,
        site_claim_write(0, m->team, m->key, m->digest, m->holder, m->keep_s),
        question_create(CLAIM_PATIENCE_US, m->http, m->call));
}

static void
handle_finish(voter_task_t *v, const claim_message_t *m)
{
    ask(v, CALL_FINISH,
        site_finish_write(0, m->team, m->key, m->holder, m->status,
                          m->content_type, m->answer),
        question_create(FINISH_PATIENCE_US, NULL, 0));
}

static void
handle_order(voter_task_t *v, const order_message_t *m)
{
    ask(v, CALL_ORDER, site_order_write(0, m->address, m->verb, m->value),
        question_create(SUBMIT_PATIENCE_US, m->http, m->call));
}

static void
handle_history(voter_task_t *v, const ask_message_t *m)
{
    ask(v, CALL_HISTORY, NULL,
        question_create(SUBMIT_PATIENCE_US, m->http, m->call));
}

/* ---- the dump ---- */

static json_t *
core_dump(const voter_task_t *v)
{
    static const char *const roles[] = {"follower", "candidate", "leader"};
    json_t *members = json_array();
    const voter_config_t *config = voter_config(v->core);
    for (guint i = 0; i < config->count; i++) {
        char id[20];
        g_snprintf(id, sizeof(id), "%016lx",
                   (unsigned long)config->members[i].id);
        json_array_append_new(
            members,
            json_pack("{s:s, s:s, s:b}", "name", config->members[i].name, "id",
                      id, "learner", (int)config->members[i].learner));
    }
    return json_pack("{s:s, s:I, s:I, s:I, s:I, s:o, s:b}", "role",
                     roles[voter_role(v->core)], "term",
                     (json_int_t)voter_term(v->core), "commit",
                     (json_int_t)voter_commit_index(v->core), "applied",
                     (json_int_t)v->last_applied, "log_bytes",
                     (json_int_t)(v->store ? log_store_bytes(v->store) : 0),
                     "members", members, "failed", (int)v->failed);
}

static void
handle_dump(voter_task_t *v, const ask_message_t *m)
{
    json_t *root =
        json_pack("{s:I, s:b, s:i, s:i, s:o}", "version",
                  (json_int_t)v->version, "confirmed", (int)v->confirmed,
                  "questions", (int)g_hash_table_size(v->questions), "claims",
                  v->state ? (int)site_state_claims(v->state) : 0, "voter",
                  v->core ? core_dump(v) : json_null());
    reply_send(m->http, m->call, 200, root);
}

/* ---- messages and time ---- */

static void
handle_wire(voter_task_t *v, const wire_message_t *m)
{
    wire_call_t call;
    wire_reply_t reply;
    switch ((wire_kind_t)m->kind) {
    case WIRE_VOTER:
        voter_log_wire(v, m);
        v->turn_due = TRUE;
        break;
    case WIRE_VOTER_CALL:
        if (wire_call_read(m->bytes, &call)) {
            voter_leader_call(v, m->member, &call);
            wire_call_clear(&call);
        }
        break;
    case WIRE_VOTER_REPLY:
        if (wire_reply_read(m->bytes, &reply)) {
            voter_calls_reply(v, m->member, &reply);
            wire_reply_clear(&reply);
        }
        break;
    case WIRE_DOCUMENT:
        /* A voter has its own copy of the log. */
        if (v->state == NULL && v->confirmed) {
            v->leader_member = m->member;
            voter_take_steps(v, m->bytes);
        }
        break;
    case WIRE_FOUND:
        voter_log_found(v, m);
        break;
    default:
        break;
    }
}

static void
handle_members(voter_task_t *v, const members_message_t *m)
{
    g_array_unref(v->members);
    v->members = g_array_ref(m->members);
    if (voter_member(v, v->leader_member) == NULL) {
        v->leader_member = 0;
    }
}

static void
handle_version(voter_task_t *v, const version_message_t *m)
{
    if (m->version > v->version && v->state == NULL) {
        ask_sync(v);
    }
}

static void
turn(void *data)
{
    voter_task_t *v = data;
    voter_log_turn(v);
}

void
voter_task_handle(void *state, message_t *message)
{
    voter_task_t *v = state;
    switch ((message_type_t)message->type) {
    case VOTER_WIRE:
        handle_wire(v, (wire_message_t *)message);
        break;
    case VOTER_SUBMIT:
        handle_submit(v, (submit_message_t *)message);
        break;
    case VOTER_CLAIM:
        handle_claim(v, (claim_message_t *)message);
        break;
    case VOTER_FINISH:
        handle_finish(v, (claim_message_t *)message);
        break;
    case VOTER_ORDER:
        handle_order(v, (order_message_t *)message);
        break;
    case VOTER_ORDER_DONE:
        voter_leader_order_done(v, (engine_message_t *)message);
        break;
    case VOTER_HISTORY:
        handle_history(v, (ask_message_t *)message);
        break;
    case VOTER_DUMP:
        handle_dump(v, (ask_message_t *)message);
        break;
    case VOTER_MEMBERS:
        handle_members(v, (members_message_t *)message);
        break;
    case VOTER_VERSION:
        handle_version(v, (version_message_t *)message);
        break;
    case VOTER_HANDOVER:
        if (v->core) {
            voter_step_down(v->core, g_get_monotonic_time());
            voter_log_turn(v);
        }
        break;
    default:
        break;
    }
    /* One turn for all messages that wait: their entries share a sync. */
    if (v->turn_due) {
        v->turn_due = FALSE;
        timers_subscribe(task_timers(v->process->voter), 0, 0, turn, v);
    }
}

static void
tick(void *data)
{
    voter_task_t *v = data;
    if (v->votes) {
        voter_log_tick(v);
        voter_leader_tick(v);
    }
    if (!v->confirmed) {
        ask_sync(v);
    }
    voter_calls_tick(v);
}

void
voter_task_begin(void *state)
{
    voter_task_t *v = state;
    gint64 period_us = v->votes ? TICK_US : TICK_OTHERS_US;
    timers_subscribe(task_timers(v->process->voter), 0, period_us, tick, v);
}

void
voter_task_end(void *state)
{
    (void)state;
}

static void
question_free(gpointer data)
{
    question_t *q = data;
    g_bytes_unref(q->bytes);
    g_free(q->text);
    g_free(q);
}

voter_task_t *
voter_task_create(process_t *process)
{
    const settings_t *s = process->settings;
    voter_task_t *v = g_new0(voter_task_t, 1);
    v->process = process;
    v->members = g_array_new(FALSE, TRUE, sizeof(member_info_t));
    v->owed = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    v->questions = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         question_free);
    v->acks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    v->ordering =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    v->candidates = voter_candidates_create();
    gboolean none = s->voters == NULL || s->voters[0] == NULL;
    v->votes =
        none || g_strv_contains((const char *const *)s->voters, s->instance);
    if (v->votes && !voter_log_open(v)) {
        voter_task_destroy(v);
        return NULL;
    }
    return v;
}

void
voter_task_destroy(voter_task_t *v)
{
    voter_log_close(v);
    g_array_unref(v->members);
    g_hash_table_unref(v->owed);
    g_hash_table_unref(v->questions);
    g_hash_table_unref(v->acks);
    g_hash_table_unref(v->ordering);
    g_hash_table_unref(v->candidates);
    g_free(v->text);
    g_free(v);
}
