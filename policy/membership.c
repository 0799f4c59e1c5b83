#include "carobloom/policy/membership.h"

#include <string.h>

#include "carobloom/common/codec.h"

#define RECORD_TYPE "(tuytssssbb)"
#define MESSAGE_TYPE "(yttuta(tuytssssbb))"
enum {
    PIGGYBACKED_RECORDS_MAX = 8,
    RELAYED_PINGS_MAX = 4096,
    SEEDS_PER_PERIOD_MAX = 3,
    INDIRECT_PINGS = 2,      /* members asked to ping a silent target */
    TRANSMISSION_FACTOR = 3, /* a change is sent factor * log2(n + 1) times */
};

typedef enum {
    GOSSIP_PING,
    GOSSIP_ACK,
    GOSSIP_PING_REQUEST, /* ping `target` for the sender */
    GOSSIP_JOIN,         /* requests all records */
    GOSSIP_SYNC,         /* all records */
    GOSSIP_KIND_COUNT,
} gossip_kind_t;

typedef struct {
    member_record_t record;
    gint64 changed_us;
    guint transmissions_left;
} member_t;

/* A ping that is not acknowledged yet. */
typedef struct {
    guint64 target;
    gint64 sent_us;
    gboolean indirect; /* indirect pings were requested */
} pending_ping_t;

struct membership {
    membership_settings_t settings;
    GRand *rand;
    member_t *self;
    GHashTable *members;   /* id -> member_t, self included */
    GPtrArray *ping_order; /* member ids, shuffled each round */
    guint next_ping;
    GPtrArray *seeds;
    guint next_seed;
    GPtrArray *outbox;
    gint64 now_us;
    gint64 next_period_us;
    guint32 sequence;
    pending_ping_t pending_ping; /* target 0: none */
    GHashTable *relayed_pings;   /* sequence -> id of the requester */
    gboolean changed;
    guint64 version;
    guint64 newest_version;
    guint64 newest_version_member;
};

static void
message_free(gpointer data)
{
    membership_message_t *message = data;
    g_bytes_unref(message->bytes);
    g_free(message);
}

static GPtrArray *
outbox_create(void)
{
    return g_ptr_array_new_with_free_func(message_free);
}

membership_t *
membership_create(const member_record_t *self,
                  const membership_settings_t *settings, gint64 now_us)
{
    membership_t *m = g_new0(membership_t, 1);
    m->settings = *settings;
    m->rand = g_rand_new_with_seed((guint32)settings->seed);
    m->members =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    m->ping_order = g_ptr_array_new();
    m->seeds = g_ptr_array_new_with_free_func(g_free);
    m->relayed_pings = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    m->outbox = outbox_create();
    m->now_us = now_us;
    m->next_period_us = now_us;
    m->self = g_new0(member_t, 1);
    m->self->record = *self;
    g_hash_table_insert(m->members, &m->self->record.id, m->self);
    m->changed = TRUE;
    return m;
}

void
membership_destroy(membership_t *m)
{
    g_rand_free(m->rand);
    g_hash_table_unref(m->members);
    g_hash_table_unref(m->relayed_pings);
    g_ptr_array_unref(m->ping_order);
    g_ptr_array_unref(m->seeds);
    g_ptr_array_unref(m->outbox);
    g_free(m);
}

void
membership_add_seed(membership_t *m, const char *address)
{
    g_ptr_array_add(m->seeds, g_strdup(address));
}

/* ---- serializing and sending ---- */

static GVariant *
record_variant(const member_record_t *r)
{
    return g_variant_new(RECORD_TYPE, r->id, r->incarnation_number,
                         (guchar)r->state, r->started, r->name, r->region,
                         r->data_centre, r->address, r->control, r->draining);
}

/* How often one change is sent, so that it likely reaches every member. */
static guint
transmission_limit(const membership_t *m)
{
    guint n = g_hash_table_size(m->members) + 1;
    guint log2 = g_bit_storage(n);
    return TRANSMISSION_FACTOR * log2;
}

/* Adds records of members with transmissions left, up to `max_records`. */
static void
add_pending_changes(membership_t *m, GVariantBuilder *records,
                    guint max_records)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->members);
    while (max_records > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;
        if (member->transmissions_left > 0) {
            member->transmissions_left--;
            max_records--;
            g_variant_builder_add_value(records,
                                        record_variant(&member->record));
        }
    }
}

static void
add_all_records(membership_t *m, GVariantBuilder *records)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_variant_builder_add_value(
            records, record_variant(&((member_t *)value)->record));
    }
}

/* Adds a message to the outbox. Pings and acks carry `subject`, if it is not
 * NULL, and pending changes. */
static membership_message_t *
enqueue_message_about(membership_t *m, const char *address, guint64 to,
                      gossip_kind_t kind, guint32 sequence, guint64 target,
                      gboolean include_self, const member_record_t *subject)
{
    GVariantBuilder records;
    g_variant_builder_init(&records, G_VARIANT_TYPE("a" RECORD_TYPE));
    if (kind == GOSSIP_SYNC) {
        add_all_records(m, &records);
    }
    else if (kind == GOSSIP_JOIN) {
        g_variant_builder_add_value(&records,
                                    record_variant(&m->self->record));
    }
    else {
        if (include_self) {
            g_variant_builder_add_value(&records,
                                        record_variant(&m->self->record));
        }
        if (subject != NULL) {
            g_variant_builder_add_value(&records, record_variant(subject));
        }
        add_pending_changes(m, &records, PIGGYBACKED_RECORDS_MAX);
    }
    membership_message_t *message = g_new0(membership_message_t, 1);
    g_strlcpy(message->address, address, sizeof(message->address));
    message->to = to;
    message->bytes = codec_write(g_variant_new(
        "(yttuta" RECORD_TYPE ")", (guchar)kind, m->self->record.id, target,
        sequence, m->version, &records));
    g_ptr_array_add(m->outbox, message);
    return message;
}

static membership_message_t *
enqueue_message(membership_t *m, const char *address, guint64 to,
                gossip_kind_t kind, guint32 sequence, guint64 target)
{
    return enqueue_message_about(m, address, to, kind, sequence, target, FALSE,
                                 NULL);
}

/* ---- changes ---- */

/* Schedules the member's record for gossip. */
static void
queue_change(membership_t *m, member_t *member)
{
    member->transmissions_left = transmission_limit(m);
    member->changed_us = m->now_us;
    m->changed = TRUE;
}

static void
set_state(membership_t *m, member_t *member, member_state_t state)
{
    if (member->record.state != state) {
        member->record.state = state;
        queue_change(m, member);
    }
}

/* Refutes a claim about this member: raises its incarnation number above the
 * claim's. */
static void
refute(membership_t *m, const member_record_t *claim)
{
    if (claim->state == MEMBER_ALIVE &&
        claim->incarnation_number <= m->self->record.incarnation_number) {
        return;
    }
    if (claim->incarnation_number >= m->self->record.incarnation_number &&
        m->self->record.state != MEMBER_LEFT) {
        m->self->record.incarnation_number = claim->incarnation_number + 1;
        queue_change(m, m->self);
    }
}

/* Declares earlier processes of the same instance dead. */
static void
mark_superseded(membership_t *m, const member_record_t *newer)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;
        if (member->record.id != newer->id && member != m->self &&
            strcmp(member->record.name, newer->name) == 0 &&
            member->record.started < newer->started) {
            set_state(m, member, MEMBER_DEAD);
        }
    }
}

/* Whether a received record replaces the known one. */
static gboolean
record_overrides(const member_record_t *known, const member_record_t *r)
{
    if (known->state == MEMBER_LEFT || known->state == MEMBER_DEAD) {
        /* Only a higher incarnation number, which only the member itself can
         * raise, revives a dead member. */
        return r->state == MEMBER_ALIVE &&
               r->incarnation_number > known->incarnation_number &&
               known->state == MEMBER_DEAD;
    }
    if (r->state >= MEMBER_DEAD) {
        return r->incarnation_number >= known->incarnation_number;
    }
    if (r->incarnation_number != known->incarnation_number) {
        return r->incarnation_number > known->incarnation_number;
    }
    return r->state > known->state;
}

/* Another member reported `member` as alive, which is dead here with the same
 * incarnation number. Sends `member` its own dead record, so that it refutes
 * the record if it is alive. */
static void
notify_declared_dead(membership_t *m, const member_t *member)
{
    const member_record_t *r = &member->record;
    enqueue_message_about(m, r->address, r->id, GOSSIP_PING, ++m->sequence, 0,
                          TRUE, r);
}

static void
merge_record(membership_t *m, const member_record_t *r)
{
    if (r->id == m->self->record.id) {
        refute(m, r);
        return;
    }
    member_t *member = g_hash_table_lookup(m->members, &r->id);
    if (member == NULL) {
        if (r->state >= MEMBER_DEAD ||
            g_hash_table_size(m->members) >= MEMBERSHIP_MEMBERS_MAX) {
            return;
        }
        member = g_new0(member_t, 1);
        member->record = *r;
        g_hash_table_insert(m->members, &member->record.id, member);
        mark_superseded(m, r);
        queue_change(m, member);
        return;
    }
    if (record_overrides(&member->record, r)) {
        member->record = *r;
        queue_change(m, member);
    }
    else if (member->record.state == MEMBER_DEAD && r->state == MEMBER_ALIVE &&
             r->incarnation_number == member->record.incarnation_number) {
        notify_declared_dead(m, member);
    }
}

/* ---- pinging ---- */

static void
shuffle_order(membership_t *m)
{
    g_ptr_array_set_size(m->ping_order, 0);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;
        if (member != m->self && member->record.state <= MEMBER_SUSPECT) {
            g_ptr_array_add(m->ping_order, (gpointer)member->record.id);
        }
    }
    for (guint i = m->ping_order->len; i > 1; i--) {
        guint k = (guint)g_rand_int_range(m->rand, 0, (gint)i);
        gpointer swap = m->ping_order->pdata[i - 1];
        m->ping_order->pdata[i - 1] = m->ping_order->pdata[k];
        m->ping_order->pdata[k] = swap;
    }
    m->next_ping = 0;
}

/* The next member to ping, each once per round; NULL when there is none. */
static member_t *
next_target(membership_t *m)
{
    for (int rounds = 0; rounds < 2; rounds++) {
        while (m->next_ping < m->ping_order->len) {
            guint64 id = (guint64)m->ping_order->pdata[m->next_ping++];
            member_t *member = g_hash_table_lookup(m->members, &id);
            if (member && member->record.state <= MEMBER_SUSPECT) {
                return member;
            }
        }
        shuffle_order(m);
    }
    return NULL;
}

/* `retry` is for a target that did not acknowledge. The connection may be
 * broken, so a new one is opened. The target may also not know this member and
 * so be unable to reply, so this member's record is included. */
static void
ping(membership_t *m, const member_t *target, gboolean retry)
{
    membership_message_t *message =
        enqueue_message_about(m, target->record.address, target->record.id,
                              GOSSIP_PING, ++m->sequence, 0, retry, NULL);
    message->reconnect = retry;
}

/* Pings the target again over a new connection, and asks other members to ping
 * it too. */
static void
request_indirect_pings(membership_t *m, member_t *target)
{
    m->pending_ping.indirect = TRUE;
    ping(m, target, TRUE);
    for (int i = 0; i < INDIRECT_PINGS; i++) {
        member_t *helper = next_target(m);
        if (helper && helper != target) {
            enqueue_message(m, helper->record.address, helper->record.id,
                            GOSSIP_PING_REQUEST, m->sequence,
                            target->record.id);
        }
    }
}

/* Suspects the target of the last ping if it is not acknowledged. */
static void
suspect_unanswered(membership_t *m)
{
    if (m->pending_ping.target != 0) {
        member_t *member =
            g_hash_table_lookup(m->members, &m->pending_ping.target);
        if (member && member->record.state == MEMBER_ALIVE) {
            set_state(m, member, MEMBER_SUSPECT);
        }
    }
    m->pending_ping = (pending_ping_t){0};
}

static void
start_ping(membership_t *m)
{
    suspect_unanswered(m);
    member_t *target = next_target(m);
    if (target != NULL) {
        m->pending_ping = (pending_ping_t){.target = target->record.id,
                                           .sent_us = m->now_us};
        ping(m, target, FALSE);
    }
}

/* Declares members dead whose suspicion timed out, and removes members that
 * died or left more than dead_expiry_us ago. */
static void
expire_members(membership_t *m)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;
        gint64 age = m->now_us - member->changed_us;
        if (member->record.state == MEMBER_SUSPECT &&
            age > m->settings.suspicion_us) {
            set_state(m, member, MEMBER_DEAD);
        }
        else if (member != m->self && member->record.state >= MEMBER_DEAD &&
                 age > m->settings.dead_expiry_us) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static gboolean
address_is_alive(membership_t *m, const char *address)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_record_t *r = &((member_t *)value)->record;
        if (r->state == MEMBER_ALIVE && strcmp(r->address, address) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Sends a join to seeds that are not alive here, a few per period. Contacting
 * all seeds after the start keeps separate groups from forming. Later the
 * joins reconnect the two halves of a partition that lasted longer than
 * dead_expiry_us, after which each half has removed the members of the other.
 */
static void
join_seeds(membership_t *m)
{
    guint joins_sent = 0;
    for (guint i = 0; i < m->seeds->len && joins_sent < SEEDS_PER_PERIOD_MAX;
         i++) {
        const char *seed = m->seeds->pdata[m->next_seed++ % m->seeds->len];
        if (!address_is_alive(m, seed)) {
            enqueue_message(m, seed, 0, GOSSIP_JOIN, ++m->sequence, 0);
            joins_sent++;
        }
    }
}

void
membership_tick(membership_t *m, gint64 now_us)
{
    m->now_us = MAX(m->now_us, now_us);
    if (m->pending_ping.target != 0 && !m->pending_ping.indirect &&
        m->now_us - m->pending_ping.sent_us > m->settings.period_us / 2) {
        member_t *target =
            g_hash_table_lookup(m->members, &m->pending_ping.target);
        if (target != NULL) {
            request_indirect_pings(m, target);
        }
    }
    expire_members(m);
    if (m->now_us < m->next_period_us) {
        return;
    }
    m->next_period_us = m->now_us + m->settings.period_us;
    join_seeds(m);
    start_ping(m);
}

/* ---- receiving ---- */

static void
record_contact(membership_t *m, guint64 id, guint64 version)
{
    if (m->pending_ping.target == id) {
        m->pending_ping = (pending_ping_t){0};
    }
    if (version > m->newest_version) {
        m->newest_version = version;
        m->newest_version_member = id;
    }
}

static void
handle_ack(membership_t *m, guint64 from, guint32 sequence, guint64 target)
{
    guint64 acked = target ? target : from;
    if (m->pending_ping.target == acked) {
        m->pending_ping = (pending_ping_t){0};
    }
    guint64 *requester =
        g_hash_table_lookup(m->relayed_pings, GUINT_TO_POINTER(sequence));
    if (requester == NULL || target != 0) {
        return;
    }
    member_t *member = g_hash_table_lookup(m->members, requester);
    if (member != NULL) {
        enqueue_message(m, member->record.address, *requester, GOSSIP_ACK, 0,
                        from);
    }
    g_hash_table_remove(m->relayed_pings, GUINT_TO_POINTER(sequence));
}

static void
handle_ping_request(membership_t *m, guint64 from, guint64 target)
{
    member_t *member = g_hash_table_lookup(m->members, &target);
    if (member == NULL) {
        return;
    }
    if (g_hash_table_size(m->relayed_pings) > RELAYED_PINGS_MAX) {
        g_hash_table_remove_all(m->relayed_pings);
    }
    ping(m, member, FALSE);
    g_hash_table_insert(m->relayed_pings, GUINT_TO_POINTER(m->sequence),
                        g_memdup2(&from, sizeof(from)));
}

static gboolean
read_record(GVariantIter *iter, member_record_t *r)
{
    guchar state;
    const char *name;
    const char *region;
    const char *data_centre;
    const char *address;
    *r = (member_record_t){0};
    if (!g_variant_iter_next(iter, "(tuyt&s&s&s&sbb)", &r->id,
                             &r->incarnation_number, &state, &r->started,
                             &name, &region, &data_centre, &address,
                             &r->control, &r->draining)) {
        return FALSE;
    }
    r->state = (member_state_t)MIN(state, MEMBER_LEFT);
    g_strlcpy(r->name, name, sizeof(r->name));
    g_strlcpy(r->region, region, sizeof(r->region));
    g_strlcpy(r->data_centre, data_centre, sizeof(r->data_centre));
    g_strlcpy(r->address, address, sizeof(r->address));
    return TRUE;
}

static void
handle_request(membership_t *m, gossip_kind_t kind, guint64 from,
               guint32 sequence, guint64 target)
{
    member_t *sender = g_hash_table_lookup(m->members, &from);
    if (sender == NULL) {
        return;
    }
    const char *address = sender->record.address;
    if (kind == GOSSIP_PING) {
        enqueue_message(m, address, from, GOSSIP_ACK, sequence, 0);
    }
    else if (kind == GOSSIP_JOIN) {
        enqueue_message(m, address, from, GOSSIP_SYNC, sequence, 0);
    }
    else if (kind == GOSSIP_PING_REQUEST) {
        handle_ping_request(m, from, target);
    }
}

gboolean
membership_receive(membership_t *m, GBytes *bytes, gint64 now_us)
{
    m->now_us = MAX(m->now_us, now_us);
    GVariant *v = codec_read(bytes, MESSAGE_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    guchar kind;
    guint64 from;
    guint64 target;
    guint32 sequence;
    guint64 version;
    GVariantIter *records;
    g_variant_get(v, MESSAGE_TYPE, &kind, &from, &target, &sequence, &version,
                  &records);
    member_record_t r;
    while (read_record(records, &r)) {
        merge_record(m, &r);
    }
    g_variant_iter_free(records);
    g_variant_unref(v);
    if (kind >= GOSSIP_KIND_COUNT || from == m->self->record.id) {
        return FALSE;
    }
    record_contact(m, from, version);
    if (kind == GOSSIP_ACK) {
        handle_ack(m, from, sequence, target);
    }
    handle_request(m, (gossip_kind_t)kind, from, sequence, target);
    return TRUE;
}

/* ---- self ---- */

static void
ping_some_members(membership_t *m)
{
    for (guint i = 0; i < 2 * INDIRECT_PINGS; i++) {
        member_t *target = next_target(m);
        if (target != NULL) {
            ping(m, target, FALSE);
        }
    }
}

void
membership_leave(membership_t *m, gint64 now_us)
{
    m->now_us = MAX(m->now_us, now_us);
    m->self->record.incarnation_number++;
    set_state(m, m->self, MEMBER_LEFT);
    ping_some_members(m);
}

void
membership_set_draining(membership_t *m, gint64 now_us)
{
    m->now_us = MAX(m->now_us, now_us);
    m->self->record.incarnation_number++;
    m->self->record.draining = TRUE;
    queue_change(m, m->self);
    ping_some_members(m);
}

void
membership_set_config_version(membership_t *m, guint64 version)
{
    m->version = version;
    if (version >= m->newest_version) {
        m->newest_version = version;
        m->newest_version_member = m->self->record.id;
    }
}

guint64
membership_newest_config_version(const membership_t *m, guint64 *member)
{
    *member = m->newest_version_member;
    return m->newest_version;
}

GPtrArray *
membership_take_messages(membership_t *m)
{
    GPtrArray *messages = m->outbox;
    m->outbox = outbox_create();
    return messages;
}

gboolean
membership_take_changed(membership_t *m)
{
    gboolean changed = m->changed;
    m->changed = FALSE;
    return changed;
}

static gint
compare_by_name(gconstpointer a, gconstpointer b)
{
    return strcmp(((const member_record_t *)a)->name,
                  ((const member_record_t *)b)->name);
}

GArray *
membership_list(const membership_t *m)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(member_record_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_append_val(list, ((member_t *)value)->record);
    }
    g_array_sort(list, compare_by_name);
    return list;
}

const member_record_t *
membership_find(const membership_t *m, guint64 id)
{
    const member_t *member = g_hash_table_lookup(m->members, &id);
    return member ? &member->record : NULL;
}
