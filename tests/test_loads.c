/* Tests what instances know about each other's requests in flight: messages,
 * the choice of the control instance to report to, sums, and the age of the
 * loads. Uses no sockets. */
#include <string.h>

#include "carobloom/gateway/load_wire.h"
#include "carobloom/policy/collector.h"
#include "carobloom/policy/load_delta.h"
#include "carobloom/policy/load_sum.h"
#include "carobloom/policy/rendezvous.h"
#include "check.h"

enum { MS = 1000, SECOND = 1000 * MS };

static GArray *
loads_of(guint64 endpoint, guint running)
{
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    endpoint_load_t load = {.endpoint = endpoint,
                            .running = running,
                            .prompt_tokens = 90000,
                            .waiting_tokens = 7000,
                            .long_running = 1,
                            .long_waiting = 6000};
    g_array_append_val(loads, load);
    return loads;
}

/* ---- messages ---- */

static void
check_load(const GArray *loads)
{
    CU_ASSERT_EQUAL_FATAL(loads->len, 1);
    const endpoint_load_t *load = &g_array_index(loads, endpoint_load_t, 0);
    CU_ASSERT_EQUAL(load->endpoint, 77);
    CU_ASSERT_EQUAL(load->running, 3);
    CU_ASSERT_EQUAL(load->prompt_tokens, 90000);
    CU_ASSERT_EQUAL(load->waiting_tokens, 7000);
    CU_ASSERT_EQUAL(load->long_running, 1);
    CU_ASSERT_EQUAL(load->long_waiting, 6000);
}

/* Truncated or changed bytes are rejected or read as some message, without a
 * crash. */
static void
damage(GBytes *bytes, gboolean (*read)(GBytes *bytes))
{
    enum { TIMES = 3000 };
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    GRand *random = g_rand_new_with_seed(5);
    guint refused = 0;
    for (int i = 0; i < TIMES; i++) {
        char *copy = g_memdup2(data, length);
        copy[g_rand_int_range(random, 0, (gint)length)] ^=
            (char)(1 << g_rand_int_range(random, 0, 8));
        GBytes *changed = g_bytes_new_take(
            copy, (gsize)g_rand_int_range(random, 0, (gint)length + 1));
        refused += !read(changed);
        g_bytes_unref(changed);
    }
    CU_ASSERT(refused > TIMES / 2);
    g_rand_free(random);
}

static gboolean
read_report(GBytes *bytes)
{
    load_report_t report;
    gboolean sound = load_report_read(bytes, &report);
    if (sound) {
        load_report_clear(&report);
    }
    return sound;
}

static gboolean
read_answer(GBytes *bytes)
{
    load_answer_t answer;
    gboolean sound = load_answer_read(bytes, &answer);
    if (sound) {
        load_answer_clear(&answer);
    }
    return sound;
}

static gboolean
read_sums(GBytes *bytes)
{
    load_sums_t sums;
    gboolean sound = load_sums_read(bytes, &sums);
    if (sound) {
        load_sums_clear(&sums);
    }
    return sound;
}

static GArray *
parts_of(guint64 first, guint count)
{
    GArray *parts = g_array_new(FALSE, FALSE, sizeof(part_copy_t));
    for (guint64 i = first; i < first + count; i++) {
        part_copy_t copy = {.part = i, .endpoint = 77};
        g_array_append_val(parts, copy);
    }
    return parts;
}

static void
check_parts(const GArray *parts, guint64 first, guint count)
{
    CU_ASSERT_EQUAL_FATAL(parts->len, count);
    for (guint i = 0; i < count; i++) {
        const part_copy_t *copy = &g_array_index(parts, part_copy_t, i);
        CU_ASSERT_EQUAL(copy->part, first + i);
        CU_ASSERT_EQUAL(copy->endpoint, 77);
    }
}

static void
test_sums_message(void)
{
    load_sums_t sums = {.from = "10.0.0.1:7000",
                        .data_centre = "amman-1",
                        .sequence = 12,
                        .base = 11,
                        .loads = loads_of(77, 3),
                        .parts = parts_of(9, 2)};
    load_sums_t read;
    GBytes *bytes = load_sums_write(&sums);
    CU_ASSERT_FATAL(load_sums_read(bytes, &read));
    CU_ASSERT_STRING_EQUAL(read.from, "10.0.0.1:7000");
    CU_ASSERT_EQUAL(read.sequence, 12);
    CU_ASSERT_EQUAL(read.base, 11);
    check_load(read.loads);
    check_parts(read.parts, 9, 2);
    load_sums_clear(&read);
    damage(bytes, read_sums);
    g_bytes_unref(bytes);
    /* Loads that are not sorted are rejected. */
    endpoint_load_t again = {.endpoint = 77, .running = 1};
    g_array_append_val(sums.loads, again);
    bytes = load_sums_write(&sums);
    CU_ASSERT_FALSE(load_sums_read(bytes, &read));
    g_bytes_unref(bytes);
    g_array_unref(sums.loads);
    g_array_unref(sums.parts);
}

static void
test_messages(void)
{
    load_report_t report = {.from = "entry-1",
                            .loads = loads_of(77, 3),
                            .parts = parts_of(9, 2),
                            .parts_received = 41};
    load_answer_t answer = {.report_interval_ms = 250,
                            .loads = report.loads,
                            .parts = report.parts,
                            .parts_received = 43};
    load_report_t reported;
    load_answer_t answered;
    GBytes *question = load_report_write(&report);
    GBytes *reply = load_answer_write(&answer);
    CU_ASSERT_FATAL(load_report_read(question, &reported));
    CU_ASSERT_STRING_EQUAL(reported.from, "entry-1");
    check_load(reported.loads);
    check_parts(reported.parts, 9, 2);
    CU_ASSERT_EQUAL(reported.parts_received, 41);
    CU_ASSERT_FATAL(load_answer_read(reply, &answered));
    CU_ASSERT_EQUAL(answered.report_interval_ms, 250);
    check_load(answered.loads);
    check_parts(answered.parts, 9, 2);
    CU_ASSERT_EQUAL(answered.parts_received, 43);
    damage(question, read_report);
    damage(reply, read_answer);
    load_report_clear(&reported);
    load_answer_clear(&answered);
    g_array_unref(report.loads);
    g_array_unref(report.parts);
    g_bytes_unref(question);
    g_bytes_unref(reply);
}

/* ---- feed of sent parts ---- */

static void
add_parts(part_feed_t *feed, guint64 first, guint count)
{
    GArray *parts = parts_of(first, count);
    part_feed_add(feed, parts);
    g_array_unref(parts);
}

/* Each reader gets the records added since its last read, up to the number
 * kept. A reader that has received more than were added, from another instance
 * or before a restart, gets all of them. */
static void
test_part_feed(void)
{
    static const struct {
        guint added;
        guint64 received;
        guint64 first; /* of the records returned */
        guint count;
    } CASES[] = {
        {0, 0, 0, 0},
        {0, 7, 0, 0},
        {5, 0, 0, 5},
        {5, 3, 3, 2},
        {5, 5, 0, 0},
        {5, 6, 0, 5},
        {PART_FEED_MAX + 3, 0, 3, PART_FEED_MAX},
        {PART_FEED_MAX + 3, 1, 3, PART_FEED_MAX},
        {PART_FEED_MAX + 3, PART_FEED_MAX + 1, PART_FEED_MAX + 1, 2},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
        part_feed_t *feed = part_feed_create();
        guint64 received = CASES[i].received;
        add_parts(feed, 0, CASES[i].added);
        GArray *reported = part_feed_since(feed, &received);
        check_parts(reported, CASES[i].first, CASES[i].count);
        CU_ASSERT_EQUAL(received, CASES[i].added);
        g_array_unref(reported);
        part_feed_destroy(feed);
    }
}

/* ---- choice of the control instance to report to ---- */

enum { COLLECTORS = 9 };

static guint64
hash_of(const char *kind, guint n)
{
    char name[32];
    g_snprintf(name, sizeof(name), "%s-%u", kind, n);
    return hash_text(str_from_cstr(name));
}

/* Control instances, of which the first `local_count` are local. Those in the
 * bits of `unreachable` do not answer. */
static void
collectors_fill(collector_t *collectors, guint local_count, guint unreachable)
{
    for (guint i = 0; i < COLLECTORS; i++) {
        collectors[i] = (collector_t){.hash = hash_of("control", i),
                                      .local = i < local_count,
                                      .reachable = !(unreachable & 1u << i)};
    }
}

typedef struct {
    const char *name;
    guint local_count;
    guint unreachable; /* bits */
    guint allowed;     /* bits: the instances that may be chosen */
} collector_case_t;

static const collector_case_t COLLECTOR_CASES[] = {
    {"local instances first", 2, 0, 0x3},
    {"the other local instance", 2, 0x1, 0x2},
    {"a remote instance if no local one answers", 2, 0x3, 0x1fc},
    {"no local instances", 0, 0, 0x1ff},
    {"the only instance that answers", 3, 0xff, 0x100},
    {"no instance answers", 3, 0x1ff, 0},
};

static void
test_collectors(void)
{
    enum { ENTRIES = 100 };
    for (gsize i = 0; i < G_N_ELEMENTS(COLLECTOR_CASES); i++) {
        const collector_case_t *c = &COLLECTOR_CASES[i];
        collector_t collectors[COLLECTORS];
        guint chosen = 0;
        collectors_fill(collectors, c->local_count, c->unreachable);
        for (guint n = 0; n < ENTRIES; n++) {
            gssize at =
                collector_pick(collectors, COLLECTORS, hash_of("entry", n));
            chosen |= at >= 0 ? 1u << at : 0;
        }
        if (chosen != c->allowed) {
            printf("%s: %x\n", c->name, chosen);
        }
        CU_ASSERT_EQUAL(chosen, c->allowed); /* all of these and no other */
    }
}

/* Entry instances are spread evenly over the control instances. If one of
 * these stops answering, only its own entry instances move. */
static void
test_collectors_even(void)
{
    enum { ENTRIES = 900, MEAN = ENTRIES / COLLECTORS };
    collector_t all[COLLECTORS];
    collector_t fewer[COLLECTORS];
    guint counts[COLLECTORS] = {0};
    collectors_fill(all, 0, 0);
    collectors_fill(fewer, 0, 1);
    for (guint n = 0; n < ENTRIES; n++) {
        guint64 key = hash_of("entry", n);
        gssize at = collector_pick(all, COLLECTORS, key);
        counts[at]++;
        CU_ASSERT(at == 0 || collector_pick(fewer, COLLECTORS, key) == at);
    }
    for (guint i = 0; i < COLLECTORS; i++) {
        CU_ASSERT(counts[i] > MEAN * 7 / 10 && counts[i] < MEAN * 13 / 10);
    }
}

/* ---- sums ---- */

static guint
running_in(const load_sum_t *sum)
{
    GArray *all = load_sum_all(sum);
    guint running = 0;
    for (guint i = 0; i < all->len; i++) {
        running += g_array_index(all, endpoint_load_t, i).running;
    }
    g_array_unref(all);
    return running;
}

static void
report(load_sum_t *sum, const char *from, guint running, gint64 at_us)
{
    GArray *loads = loads_of(77, running);
    load_sum_report(sum, from, loads, at_us);
    g_array_unref(loads);
}

static void
test_sums(void)
{
    load_sum_t *sum = load_sum_create();
    report(sum, "a", 3, 0);
    report(sum, "b", 4, 100 * MS);
    CU_ASSERT_EQUAL(running_in(sum), 7);
    CU_ASSERT(load_sum_clear_changed(sum));
    CU_ASSERT_FALSE(load_sum_clear_changed(sum));
    report(sum, "a", 1, 200 * MS);
    CU_ASSERT_EQUAL(running_in(sum), 5);
    load_sum_expire(sum, 150 * MS); /* the report of b expires */
    CU_ASSERT_EQUAL(running_in(sum), 1);
    CU_ASSERT(load_sum_clear_changed(sum));
    CU_ASSERT_EQUAL(load_sum_reporters(sum), 1);
    load_sum_destroy(sum);
}

/* Sums follow the reports as these are replaced, renewed and expired. */
static void
test_load_sum(void)
{
    load_sum_t *s = load_sum_create();
    endpoint_load_t loads[] = {{1, 4, 400, 40}, {2, 3, 300, 30}};
    GArray *mine = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    GArray *theirs = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    g_array_append_vals(mine, loads, 2);
    g_array_append_vals(theirs, loads, 1);
    load_sum_report(s, "a", mine, SECOND);
    load_sum_report(s, "b", theirs, 2 * SECOND);
    load_sum_report(s, "b", theirs, 3 * SECOND);
    GArray *all = load_sum_all(s);
    endpoint_load_t total = {0};
    for (guint i = 0; i < all->len; i++) {
        const endpoint_load_t *l = &g_array_index(all, endpoint_load_t, i);
        total.running += l->running;
        total.prompt_tokens += l->prompt_tokens;
        total.waiting_tokens += l->waiting_tokens;
    }
    CU_ASSERT_EQUAL(all->len, 2);
    CU_ASSERT_EQUAL(total.running, 11);
    CU_ASSERT_EQUAL(total.prompt_tokens, 1100);
    CU_ASSERT_EQUAL(total.waiting_tokens, 110);
    g_array_unref(all);
    load_sum_expire(s, 2 * SECOND);
    CU_ASSERT_EQUAL(load_sum_reporters(s), 1);
    all = load_sum_all(s);
    CU_ASSERT_EQUAL_FATAL(all->len, 1);
    CU_ASSERT_EQUAL(g_array_index(all, endpoint_load_t, 0).running, 4);
    g_array_unref(all);
    g_array_unref(mine);
    g_array_unref(theirs);
    load_sum_destroy(s);
}

/* ---- ages ---- */

/* The loads that each instance gets about every other one are no older than
 * the bound. Simulated with the report intervals that the control instances
 * ask for, from random start times. */
typedef struct {
    guint entries;
    guint controls;
    guint bound_ms;    /* on the oldest load */
    guint calls_per_s; /* maximum at the busiest control instance */
} age_case_t;

static const age_case_t AGE_CASES[] = {
    {3, 1, 220, 40},
    {30, 5, 310, 80},
    {300, 9, 320, 450},
    {1000, 9, 500, 700},
};

enum {
    SUMS_MS = 50, /* between control instances */
    STEP_MS = 5,
    PLAYED_MS = 5000,
    TRIP_MS = 5, /* between two instances */
};

typedef struct {
    const age_case_t *c;
    guint *collector; /* of each entry instance */
    guint reporters[COLLECTORS];
    guint calls[COLLECTORS];
    gint64 *due;      /* time of each entry instance's next report */
    gint64 *known;    /* at the collector: time of the loads known about each
                         entry instance */
    gint64 *reported; /* the same at the other control instances */
    gint64 oldest_ms;
} ages_t;

static void
ages_init(ages_t *a, const age_case_t *c)
{
    collector_t all[COLLECTORS];
    GRand *random = g_rand_new_with_seed(3);
    *a = (ages_t){.c = c,
                  .collector = g_new0(guint, c->entries),
                  .due = g_new0(gint64, c->entries),
                  .known = g_new0(gint64, c->entries),
                  .reported = g_new0(gint64, c->entries)};
    collectors_fill(all, 0, ~0u << c->controls);
    for (guint n = 0; n < c->entries; n++) {
        gssize at = collector_pick(all, COLLECTORS, hash_of("entry", n));
        a->collector[n] = (guint)at;
        a->reporters[at]++;
    }
    for (guint n = 0; n < c->entries; n++) {
        gint interval =
            (gint)collector_report_interval_ms(a->reporters[a->collector[n]]);
        a->due[n] = g_rand_int_range(random, 0, interval);
    }
    g_rand_free(random);
}

static void
ages_clear(ages_t *a)
{
    g_free(a->collector);
    g_free(a->due);
    g_free(a->known);
    g_free(a->reported);
}

/* Instance `n` reports and gets an answer, which ages until its next
 * report. */
static void
ages_report(ages_t *a, guint n, gint64 now_ms)
{
    guint at = a->collector[n];
    a->due[n] = now_ms + collector_report_interval_ms(a->reporters[at]);
    a->calls[at]++;
    a->known[n] = now_ms - TRIP_MS;
    for (guint o = 0; now_ms > PLAYED_MS / 2 && o < a->c->entries; o++) {
        gint64 was_so = a->collector[o] == at ? a->known[o] : a->reported[o];
        a->oldest_ms = MAX(a->oldest_ms, a->due[n] + TRIP_MS - was_so);
    }
}

static guint
ages_busiest(const ages_t *a)
{
    guint busiest = 0;
    for (guint at = 0; at < COLLECTORS; at++) {
        busiest = MAX(busiest, a->calls[at] * 1000 / PLAYED_MS);
    }
    return busiest;
}

static void
test_ages(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(AGE_CASES); i++) {
        const age_case_t *c = &AGE_CASES[i];
        ages_t a;
        ages_init(&a, c);
        for (gint64 now = 0; now < PLAYED_MS; now += STEP_MS) {
            for (guint n = 0; n < c->entries; n++) {
                if (now >= a.due[n]) {
                    ages_report(&a, n, now);
                }
            }
            if (now % SUMS_MS == 0) {
                memcpy(a.reported, a.known, sizeof(*a.known) * c->entries);
            }
        }
        printf("%u instances: oldest %u ms, busiest %u calls/s; ", c->entries,
               (guint)a.oldest_ms, ages_busiest(&a));
        CU_ASSERT(a.oldest_ms <= c->bound_ms);
        CU_ASSERT(ages_busiest(&a) <= c->calls_per_s);
        ages_clear(&a);
    }
}

/* ---- changes of sums ---- */

enum { ENDPOINTS = 200 }; /* of the simulations below */

/* One control instance sends loads to another, and messages get lost. */
typedef struct {
    load_sum_t *sender;
    load_sum_t *receiver;
    load_delta_t *delta;
    guint64 sequence;
    guint reported; /* loads in all messages */
} exchange_t;

static void
exchange_init(exchange_t *t)
{
    *t = (exchange_t){.sender = load_sum_create(),
                      .receiver = load_sum_create(),
                      .delta = load_delta_create()};
}

static void
exchange_clear(exchange_t *t)
{
    load_sum_destroy(t->sender);
    load_sum_destroy(t->receiver);
    load_delta_destroy(t->delta);
}

typedef enum {
    DELIVERY_ACKNOWLEDGED,
    DELIVERY_LOST,           /* the message is lost */
    DELIVERY_UNACKNOWLEDGED, /* the message arrives, but the acknowledgement is
                                lost */
    DELIVERIES,
} delivery_t;

/* Sends one message; whether the receiver applied it. */
static gboolean
exchange_once(exchange_t *t, delivery_t delivery)
{
    GArray *loads = load_sum_sorted(t->sender);
    GArray *changes = load_delta_changes(t->delta, loads);
    guint64 base = load_delta_base(t->delta);
    load_delta_sent(t->delta, loads, ++t->sequence, 0);
    t->reported += changes->len;
    gboolean applied = delivery != DELIVERY_LOST &&
                       load_sum_apply_changes(t->receiver, "a", changes,
                                              t->sequence, base, SECOND);
    if (applied && delivery == DELIVERY_ACKNOWLEDGED) {
        load_delta_acknowledged(t->delta);
    }
    else {
        load_delta_lost(t->delta);
    }
    g_array_unref(changes);
    g_array_unref(loads);
    return applied;
}

static void
check_in_sync(const exchange_t *t)
{
    GArray *sender = load_sum_sorted(t->sender);
    GArray *receiver = load_sum_sorted(t->receiver);
    CU_ASSERT_EQUAL_FATAL(sender->len, receiver->len);
    for (guint i = 0; i < sender->len; i++) {
        CU_ASSERT(
            endpoint_load_equal(&g_array_index(sender, endpoint_load_t, i),
                                &g_array_index(receiver, endpoint_load_t, i)));
    }
    g_array_unref(sender);
    g_array_unref(receiver);
}

/* An entry instance reports requests at `busy` random endpoints. */
static void
report_some(load_sum_t *sum, GRand *random, guint busy)
{
    char name[16];
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    g_snprintf(name, sizeof(name), "e%d", g_rand_int_range(random, 0, 5));
    for (guint i = 0; i < busy; i++) {
        endpoint_load_t load = {
            .endpoint = 1 + i * ENDPOINTS / busy + g_rand_int(random) % 2,
            .running = 1 + g_rand_int(random) % 3,
            .waiting_tokens = g_rand_int(random) % 2 * 6000};
        g_array_append_val(loads, load);
    }
    load_sum_report(sum, name, loads, SECOND);
    g_array_unref(loads);
}

/* Whichever messages are lost, an applied message brings the receiver in sync
 * with the sender. */
static void
test_changes(void)
{
    GRand *random = g_rand_new_with_seed(31);
    exchange_t t;
    exchange_init(&t);
    for (guint i = 0; i < 2000; i++) {
        report_some(t.sender, random, (guint)g_rand_int_range(random, 1, 40));
        if (i % 97 == 0) { /* the receiver restarts */
            load_sum_destroy(t.receiver);
            t.receiver = load_sum_create();
        }
        if (i % 131 == 0) { /* the sender restarts */
            load_delta_destroy(t.delta);
            t.delta = load_delta_create();
        }
        if (exchange_once(
                &t, (delivery_t)g_rand_int_range(random, 0, DELIVERIES))) {
            check_in_sync(&t);
        }
    }
    CU_ASSERT(exchange_once(&t, DELIVERY_ACKNOWLEDGED) ||
              exchange_once(&t, DELIVERY_ACKNOWLEDGED));
    check_in_sync(&t);
    exchange_clear(&t);
    g_rand_free(random);
}

/* Changes to a message other than the last one received are not applied. */
static void
test_changes_of_another_base(void)
{
    load_sum_t *s = load_sum_create();
    GArray *loads = loads_of(77, 3);
    CU_ASSERT_FALSE(load_sum_apply_changes(s, "a", loads, 2, 1, SECOND));
    CU_ASSERT_EQUAL(running_in(s), 0);
    CU_ASSERT(load_sum_apply_changes(s, "a", loads, 1, 0, SECOND));
    CU_ASSERT_FALSE(load_sum_apply_changes(s, "a", loads, 3, 2, SECOND));
    CU_ASSERT(load_sum_apply_changes(s, "a", loads, 2, 1, SECOND));
    CU_ASSERT_EQUAL(running_in(s), 3);
    load_sum_expire(s, 2 * SECOND);
    CU_ASSERT_EQUAL(running_in(s), 0);
    CU_ASSERT_FALSE(load_sum_apply_changes(s, "a", loads, 3, 2, SECOND));
    g_array_unref(loads);
    load_sum_destroy(s);
}

/* Loads sent in 20 messages with `busy` endpoints, of which ten change. */
static guint
loads_sent(guint busy)
{
    exchange_t t;
    exchange_init(&t);
    for (guint i = 0; i < 20; i++) {
        GArray *loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
        for (guint n = 0; n < busy; n++) {
            endpoint_load_t load = {.endpoint = n + 1,
                                    .running = 1 + (n < 10 ? i : 0)};
            g_array_append_val(loads, load);
        }
        load_sum_report(t.sender, "e", loads, SECOND);
        g_array_unref(loads);
        CU_ASSERT(exchange_once(&t, DELIVERY_ACKNOWLEDGED));
        check_in_sync(&t);
    }
    guint reported = t.reported;
    exchange_clear(&t);
    return reported;
}

static void
test_changes_cost(void)
{
    CU_ASSERT_EQUAL(loads_sent(100), 100 + 19 * 10);
    CU_ASSERT_EQUAL(loads_sent(1000), 1000 + 19 * 10);
}

/* Of more busy endpoints than fit into a report, the busiest are reported;
 * otherwise all are. */
static void
test_busiest(void)
{
    static const struct {
        guint busy;
        guint reported;
    } COUNTS[] = {{0, 0},
                  {1, 1},
                  {BUSIEST_LOADS_MAX, BUSIEST_LOADS_MAX},
                  {BUSIEST_LOADS_MAX + 1, BUSIEST_LOADS_MAX},
                  {10 * BUSIEST_LOADS_MAX, BUSIEST_LOADS_MAX}};
    for (gsize i = 0; i < G_N_ELEMENTS(COUNTS); i++) {
        load_sum_t *s = load_sum_create();
        GArray *loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
        for (guint n = 1; n <= COUNTS[i].busy; n++) {
            endpoint_load_t load = {.endpoint = n, .running = n};
            g_array_append_val(loads, load);
        }
        load_sum_report(s, "a", loads, SECOND);
        GArray *reported = load_sum_busiest(s, SECOND);
        CU_ASSERT_EQUAL(reported->len, COUNTS[i].reported);
        for (guint n = 0; n < reported->len; n++) {
            const endpoint_load_t *l =
                &g_array_index(reported, endpoint_load_t, n);
            CU_ASSERT(l->running > COUNTS[i].busy - COUNTS[i].reported);
        }
        g_array_unref(reported);
        g_array_unref(loads);
        load_sum_destroy(s);
    }
}

/* A prompt that waits to be read makes an endpoint busier than a few streams
 * do. Reports that arrive between two sorts take effect with the next one. */
static void
test_busiest_order(void)
{
    load_sum_t *s = load_sum_create();
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    for (guint n = 1; n <= BUSIEST_LOADS_MAX; n++) {
        endpoint_load_t load = {.endpoint = n, .running = 3};
        g_array_append_val(loads, load);
    }
    load_sum_report(s, "a", loads, SECOND);
    g_array_unref(load_sum_busiest(s, SECOND));
    GArray *waits = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    endpoint_load_t load = {
        .endpoint = 9999, .running = 1, .waiting_tokens = 7000};
    g_array_append_val(waits, load);
    load_sum_report(s, "b", waits, SECOND);
    GArray *reported = load_sum_busiest(s, SECOND + MS);
    CU_ASSERT(g_array_index(reported, endpoint_load_t, 0).endpoint != 9999);
    g_array_unref(reported);
    reported = load_sum_busiest(s, SECOND + 50 * MS);
    CU_ASSERT_EQUAL(reported->len, BUSIEST_LOADS_MAX);
    CU_ASSERT_EQUAL(g_array_index(reported, endpoint_load_t, 0).endpoint,
                    9999);
    g_array_unref(reported);
    g_array_unref(loads);
    g_array_unref(waits);
    load_sum_destroy(s);
}

static const test_case_t CASES[] = {
    {"messages decode to what was encoded", test_messages},
    {"sums decode to what was encoded", test_sums_message},
    {"each sent part is reported once", test_part_feed},
    {"choice of the control instance to report to", test_collectors},
    {"reports spread evenly over control instances", test_collectors_even},
    {"sums follow reports", test_sums},
    {"loads are summed", test_load_sum},
    {"reported loads are recent with any number of instances", test_ages},
    {"changes of sums, some messages lost", test_changes},
    {"changes since an unknown message are refused",
     test_changes_of_another_base},
    {"only changes are sent", test_changes_cost},
    {"the busiest endpoints are reported", test_busiest},
    {"order of busy endpoints, and interval of sorting", test_busiest_order},
};

CHECK_MAIN("loads", CASES)
