/* Slots of brittle endpoints: grants them to entry instances while this
 * instance leads. */
#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/gateway/slot_wire.h"
#include "control_state.h"

enum { MS = 1000 };

/* A poll of an entry instance that waits for news. */
typedef struct {
    control_t *control;
    http_exchange_t *exchange;
    char *from;
    guint64 timer;
} slot_poll_t;

/* Time in which this machine is suspended counts. */
static gint64
slots_now(void)
{
    return clock_boot_us();
}

/* ---- polls ---- */

/* Removes the poll from the table, which frees it. */
static http_exchange_t *
poll_take(control_t *c, slot_poll_t *poll)
{
    http_exchange_t *exchange = poll->exchange;
    timers_cancel(c->timers, poll->timer);
    http_exchange_set_data(exchange, NULL);
    g_hash_table_remove(c->slot_polls, poll->from);
    return exchange;
}

static void
poll_free(gpointer data)
{
    slot_poll_t *poll = data;
    g_free(poll->from);
    g_free(poll);
}

GHashTable *
slot_polls_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, poll_free);
}

gboolean
slot_poll_disconnected(control_t *c, http_exchange_t *exchange)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->slot_polls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        slot_poll_t *poll = value;
        if (poll->exchange == exchange) {
            if (c->slots != NULL) {
                slot_quota_end_poll(c->slots, poll->from);
            }
            poll_take(c, poll);
            return TRUE;
        }
    }
    return FALSE;
}

static void
answer_slots(control_t *c, http_exchange_t *exchange, slot_answer_t *answer)
{
    answer->epoch = c->slots_epoch;
    answer->pace = slot_quota_pace(c->slots);
    GBytes *encoded = slot_answer_write(answer);
    slot_answer_clear(answer);
    http_exchange_answer(exchange, 200, STR(""), str_from_bytes(encoded));
    g_bytes_unref(encoded);
}

static void
refuse_slots(http_exchange_t *exchange)
{
    answer_json(exchange, 503, "{\"error\":\"grants no slots\"}");
}

static void
poll_answer(control_t *c, slot_poll_t *poll)
{
    slot_answer_t answer = {.is_used = TRUE};
    slot_news_init(&answer.news);
    slot_quota_collect(c->slots, poll->from, &answer.news, slots_now());
    for (guint i = 0; i < answer.news.grants->len; i++) {
        counter_add(counter_get("slots_granted_total", NULL, FALSE),
                    g_array_index(answer.news.grants, slot_grant_t, i).count);
    }
    answer_slots(c, poll_take(c, poll), &answer);
}

static void
on_poll_timeout(void *data)
{
    slot_poll_t *poll = data;
    poll->timer = 0;
    poll_answer(poll->control, poll);
}

/* Answers the polls of instances with news. */
static void
answer_ready_polls(control_t *c)
{
    const char *name = slot_quota_next_ready(c->slots, slots_now());
    while (name != NULL) {
        slot_poll_t *poll = g_hash_table_lookup(c->slot_polls, name);
        if (poll != NULL) {
            poll_answer(c, poll);
        }
        else {
            slot_quota_end_poll(c->slots, name);
        }
        name = slot_quota_next_ready(c->slots, slots_now());
    }
}

static void
poll_create(control_t *c, http_exchange_t *exchange, const char *from)
{
    slot_poll_t *poll = g_hash_table_lookup(c->slot_polls, from);
    if (poll != NULL) { /* of a connection that the instance gave up */
        refuse_slots(poll_take(c, poll));
    }
    poll = g_new0(slot_poll_t, 1);
    *poll = (slot_poll_t){
        .control = c, .exchange = exchange, .from = g_strdup(from)};
    guint wait_ms = slot_quota_pace(c->slots).poll_ms;
    poll->timer = timers_subscribe(c->timers, wait_ms * (gint64)MS, 0,
                                   on_poll_timeout, poll);
    g_hash_table_insert(c->slot_polls, poll->from, poll);
}

/* ---- messages ---- */

/* Batches of an earlier grantor have numbers of their own. */
static slot_requester_t
requester_of(const control_t *c, const slot_message_t *m)
{
    gboolean is_known = m->epoch == c->slots_epoch;
    return (slot_requester_t){.name = m->from,
                              .incarnation = m->incarnation,
                              .sequence = m->sequence,
                              .instances = m->instances,
                              .applied = is_known ? m->applied : 0};
}

/* Reads a message if this instance grants slots; otherwise answers it. A
 * leader that may have been replaced must not grant beside the new one. */
static gboolean
read_message(control_t *c, http_exchange_t *exchange, slot_message_t *message)
{
    GBytes *bytes = posted_bytes(exchange);
    gboolean valid = slot_message_read(bytes, message);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return FALSE;
    }
    if (c->slots == NULL || c->draining || !control_may_read(c)) {
        slot_message_clear(message);
        refuse_slots(exchange);
        return FALSE;
    }
    return TRUE;
}

void
handle_slots(control_t *c, http_exchange_t *exchange)
{
    slot_message_t message;
    if (!read_message(c, exchange, &message)) {
        return;
    }
    slot_answer_t answer = {0};
    slot_requester_t requester = requester_of(c, &message);
    /* Only a full report is of use to a grantor that does not know the sender.
     */
    gboolean is_known =
        message.epoch == c->slots_epoch || message.report.is_full;
    answer.is_used =
        is_known &&
        slot_quota_report(c->slots, &requester, &message.report, slots_now());
    slot_news_init(&answer.news);
    slot_quota_fill_state(c->slots, &answer.news, slots_now());
    slot_message_clear(&message);
    answer_slots(c, exchange, &answer);
    counter_add(counter_get("slot_reports_total", NULL, FALSE), 1);
    answer_ready_polls(c);
}

void
handle_slot_poll(control_t *c, http_exchange_t *exchange)
{
    slot_message_t message;
    if (!read_message(c, exchange, &message)) {
        return;
    }
    slot_requester_t requester = requester_of(c, &message);
    if (message.epoch != c->slots_epoch ||
        !slot_quota_poll(c->slots, &requester, slots_now())) {
        slot_answer_t answer = {.is_used = FALSE};
        slot_news_init(&answer.news);
        answer_slots(c, exchange, &answer);
    }
    else {
        poll_create(c, exchange, message.from);
        answer_ready_polls(c);
    }
    slot_message_clear(&message);
}

/* ---- begin and end ---- */

void
slot_polls_refuse_all(control_t *c)
{
    GHashTableIter iter;
    gpointer value;
    while (g_hash_table_size(c->slot_polls) > 0) {
        g_hash_table_iter_init(&iter, c->slot_polls);
        g_hash_table_iter_next(&iter, NULL, &value);
        refuse_slots(poll_take(c, value));
    }
}

void
slot_grants_apply_view(control_t *c)
{
    gboolean grants = c->view.leads;
    if (c->slots != NULL && (!grants || c->slots_term != c->view.term)) {
        slot_polls_refuse_all(c);
        g_clear_pointer(&c->slots, slot_quota_destroy);
        control_log_granting(c, "slot_grants_ended");
    }
    if (c->slots == NULL && grants) {
        c->slots = slot_quota_create(slots_now());
        c->slots_term = c->view.term;
        c->slots_epoch = (guint64)g_random_int() << 32 | g_random_int() | 1;
        control_log_granting(c, "slot_grants_begun");
    }
}

void
slot_grants_expire(control_t *c)
{
    if (c->slots != NULL) {
        slot_quota_expire(c->slots, slots_now());
        answer_ready_polls(c);
    }
}

void
slot_grants_dump(const control_t *c, GString *text)
{
    if (c->slots != NULL) {
        slot_quota_dump(c->slots, text, slots_now());
    }
}
