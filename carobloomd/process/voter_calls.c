#include <jansson.h>
#include <string.h>

#include "carobloom/common/log.h"
#include "carobloom/version/document.h"
#include "voter_state.h"

static const gint64 AGAIN_US = 250 * 1000;

static void
send_question(voter_task_t *v, question_t *q)
{
    q->sent_us = g_get_monotonic_time();
    char **voters = v->process->settings->voters;
    guint64 target = v->leader_member;
    if (voter_alone(v)) {
        target = v->process->member;
    }
    if (target == 0 ||
        (target != v->process->member && voter_member(v, target) == NULL)) {
        guint count = g_strv_length(voters);
        const member_info_t *m =
            voter_member_named(v, voters[v->next_voter++ % count]);
        target = m ? m->id : 0;
    }
    if (target == v->process->member) {
        wire_call_t call;
        if (wire_call_read(q->bytes, &call)) {
            voter_leader_call(v, target, &call);
            wire_call_clear(&call);
        }
        return;
    }
    if (target != 0) {
        voter_send(v, target, WIRE_VOTER_CALL, g_bytes_ref(q->bytes));
    }
}

void
voter_calls_ask(voter_task_t *v, const wire_call_t *call, question_t *question)
{
    question->call = call->call;
    question->kind = call->kind;
    question->bytes = wire_call_write(call);
    question->asked_us = g_get_monotonic_time();
    g_hash_table_replace(v->questions, &question->call, question);
    send_question(v, question);
}

static void
reply_json(const question_t *q, int status, json_t *root)
{
    reply_send(q->http, q->http_call, status, root);
}

/* ---- answers, by what was asked ---- */

/* Both sides of a conflict: what others changed since the base, and what this
 * submission would. */
static void
answer_conflict(voter_task_t *v, const question_t *q, guint64 version)
{
    str_t mine = {.data = q->text, .length = q->length};
    str_t present = {.data = v->text, .length = v->length};
    gsize length = 0;
    char *base =
        v->state ? site_state_text_at(v->state, q->base, &length) : NULL;
    str_t from = base ? (str_t){.data = base, .length = length} : present;
    char *theirs = base ? document_difference(from, present) : g_strdup("");
    char *yours = document_difference(from, mine);
    reply_json(q, 409,
               json_pack("{s:s, s:I, s:I, s:s, s:s, s:b}", "state", "conflict",
                         "version", (json_int_t)version, "base",
                         (json_int_t)q->base, "theirs", theirs, "yours", yours,
                         "base_known", (int)(base != NULL)));
    g_free(base);
    g_free(theirs);
    g_free(yours);
}

static void
answer_submit(voter_task_t *v, const question_t *q, const wire_reply_t *reply)
{
    if (reply->result == REPLY_REFUSED) {
        json_t *root = json_loads(reply->text, 0, NULL);
        reply_json(q, 400, root ? root : json_object());
        return;
    }
    if (reply->outcome == SITE_CONFLICT) {
        answer_conflict(v, q, reply->version);
        return;
    }
    reply_json(q, 200,
               json_pack("{s:s, s:I, s:b}", "state", "accepted", "version",
                         (json_int_t)reply->version, "repeated",
                         (int)(reply->outcome == SITE_REPEATED)));
}

static claim_state_t
claim_state(site_outcome_t outcome)
{
    switch (outcome) {
    case SITE_OK:
        return CLAIM_WON;
    case SITE_HELD:
        return CLAIM_HELD;
    case SITE_ANSWERED:
        return CLAIM_ANSWERED;
    case SITE_MISMATCH:
        return CLAIM_MISMATCH;
    case SITE_UNKNOWN:
        return CLAIM_UNKNOWN;
    default:
        return CLAIM_FULL;
    }
}

static void
send_claimed(const question_t *q, claim_state_t state,
             const wire_reply_t *reply)
{
    gboolean kept = reply && reply->body && g_bytes_get_size(reply->body) > 0;
    task_send(q->http,
              MESSAGE(claimed_message_t,
                      .base = {HTTP_CLAIMED, claimed_message_free},
                      .call = q->http_call, .state = state,
                      .status = reply ? reply->status : 0,
                      .content_type = g_strdup(reply ? reply->type : NULL),
                      .answer = kept ? g_bytes_ref(reply->body) : NULL));
}

static void
answer_sync(voter_task_t *v, const wire_reply_t *reply)
{
    if (v->state == NULL) {
        voter_take_steps(v, reply->body);
        v->confirmed = v->confirmed || v->version >= reply->version;
    }
    else if (site_state_version(v->state) >= reply->version) {
        v->confirmed = TRUE;
        voter_publish(v, site_state_version(v->state),
                      site_state_text(v->state));
    }
}

static void
answer_history(const question_t *q, const wire_reply_t *reply)
{
    json_t *root = json_loads(reply->text, 0, NULL);
    reply_json(q, 200, root ? root : json_object());
}

void
voter_calls_reply(voter_task_t *v, guint64 member, const wire_reply_t *reply)
{
    question_t *q = g_hash_table_lookup(v->questions, &reply->call);
    if (q == NULL) {
        return; /* answered already */
    }
    if (reply->result == REPLY_NOT_LEADER) {
        const member_info_t *leader = voter_member_named(v, reply->text);
        gboolean news =
            leader && leader->id != member && leader->id != v->leader_member;
        v->leader_member = leader && leader->id != member ? leader->id : 0;
        if (news && member != v->process->member) {
            send_question(v, q);
        }
        return; /* asked again before long */
    }
    v->leader_member = member;
    switch (q->kind) {
    case CALL_SUBMIT:
        answer_submit(v, q, reply);
        break;
    case CALL_CLAIM:
        send_claimed(q, claim_state((site_outcome_t)reply->outcome), reply);
        break;
    case CALL_SYNC:
        answer_sync(v, reply);
        break;
    case CALL_HISTORY:
        answer_history(q, reply);
        break;
    case CALL_ORDER:
        reply_json(q, 200,
                   json_pack("{s:s, s:I}", "state", "ordered", "fence",
                             (json_int_t)reply->version));
        break;
    default:
        break;
    }
    g_hash_table_remove(v->questions, &reply->call);
}

/* Nobody could answer in time. */
static void
give_up(const question_t *q)
{
    if (q->kind == CALL_CLAIM) {
        send_claimed(q, CLAIM_NO_QUORUM, NULL);
    }
    else if (q->http != NULL) {
        reply_json(q, 503,
                   json_pack("{s:s, s:s}", "state", "unknown", "text",
                             "No quorum of voters answered in time. Send the "
                             "same change again: it is applied at most "
                             "once."));
    }
}

void
voter_calls_tick(voter_task_t *v)
{
    gint64 now = g_get_monotonic_time();
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, v->questions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        question_t *q = value;
        if (now > q->until_us) {
            give_up(q);
            g_hash_table_iter_remove(&iter);
        }
        else if (now - q->sent_us > AGAIN_US) {
            g_ptr_array_add(due, (gpointer)q->call);
        }
    }
    for (guint i = 0; i < due->len; i++) {
        guint64 call = (guint64)due->pdata[i];
        question_t *q = g_hash_table_lookup(v->questions, &call);
        if (q != NULL) {
            if (now - q->asked_us > 2 * AGAIN_US) {
                v->leader_member = 0; /* it may be gone: ask another */
            }
            send_question(v, q);
        }
    }
    g_ptr_array_unref(due);
}
