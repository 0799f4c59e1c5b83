/* capacity: measures the slopes and works out docs/CAPACITY.md's table. */
#include <stdio.h>

#include "bench.h"
#include "carobloom/policy/membership.h"
#include "carobloom/process/wire.h"

/* The size to design for, from the users' letter. */
enum {
    NODES = 320,
    SET_ASIDE = 9,
    SERVERS = 1800,
    REGIONS = 3,
    MODELS = 10,
    REQUESTS_S = 4200,
    TOKENS_S = 940000,
    TEAMS = 18000,
    CHANGES_DAY = 6900,
    RESTARTS_DAY = 190 + 23,
    /* ZeroMQ's message with CURVE: command, nonce, box; and its flags. */
    FRAME_BYTES = 17 + 33 + 2,
    GOSSIP_A_TURN = 2,
};
static const double PERIOD_S = 0.4;      /* of gossip */
static const double BUDGET_BYTES = 3072; /* a second a node */
static const double BUDGET_CORE = 0.041;
static const double BUDGET_MEMORY = 128.0 * 1048576;
static const double DAY_S = 86400;

static gsize
size_and_free(GBytes *bytes)
{
    gsize size = g_bytes_get_size(bytes);
    g_bytes_unref(bytes);
    return size;
}

static double
ticket_bytes(void)
{
    wire_ticket_t t = {0};
    wire_decision_t d = {.address = (char *)"127.0.0.1:50000",
                         .protocol = (char *)"openai"};
    wire_settle_t s = {0};
    return (double)(size_and_free(wire_ticket_write(&t)) +
                    size_and_free(wire_decision_write(&d)) +
                    size_and_free(wire_settle_write(&s)) + 3 * FRAME_BYTES);
}

static double
load_bytes(guint count)
{
    GArray *loads = g_array_new(FALSE, TRUE, sizeof(wire_load_t));
    g_array_set_size(loads, count);
    double bytes = (double)size_and_free(wire_loads_write(loads));
    g_array_unref(loads);
    return bytes;
}

/* A ping or an ack without news, as it is on the wire. */
static double
ping_bytes(void)
{
    member_record_t self = {.id = 1, .name = "a", .address = "127.0.0.1:1"};
    member_record_t other = {.id = 2, .name = "b", .address = "127.0.0.1:2"};
    membership_settings_t settings = {.period_us = 1,
                                      .suspicion_us = 1 << 30,
                                      .dead_expiry_us = 1 << 30,
                                      .seed = 1};
    membership_t *a = membership_create(&self, &settings, 0);
    membership_t *b = membership_create(&other, &settings, 0);
    membership_add_seed(b, "127.0.0.1:1");
    double bytes = 0;
    for (gint64 now = 0; now < 200; now++) {
        membership_tick(a, now);
        membership_tick(b, now);
        GPtrArray *from_b = membership_take_messages(b);
        GPtrArray *from_a = membership_take_messages(a);
        for (guint i = 0; i < from_b->len; i++) {
            const membership_message_t *m = from_b->pdata[i];
            membership_receive(a, m->bytes, now);
        }
        for (guint i = 0; i < from_a->len; i++) {
            const membership_message_t *m = from_a->pdata[i];
            bytes = (double)g_bytes_get_size(m->bytes);
            membership_receive(b, m->bytes, now);
        }
        g_ptr_array_unref(from_a);
        g_ptr_array_unref(from_b);
    }
    membership_destroy(a);
    membership_destroy(b);
    return bytes + FRAME_BYTES;
}

static void
row(const char *what, double value, const char *unit, double budget,
    const char *how)
{
    printf("| %-38s | %10.1f %-8s | %8.0f | %-6s | %s |\n", what, value, unit,
           budget,
           budget <= 0       ? ""
           : value <= budget ? "held"
                             : "BROKEN",
           how);
}

/* Control bytes a second, sent and received, of one entry instance. */
static double
entry_bytes(double ticket, double ping)
{
    double entries = NODES - SET_ASIDE;
    double tickets = REQUESTS_S / entries * ticket;
    double gossip = GOSSIP_A_TURN * 2 / PERIOD_S * ping;
    double servers = SERVERS / entries;
    /* Each server's load goes to one owner; those of one flush and owner
     * share a message. */
    double loads =
        servers * load_bytes(1) + MIN(servers, MODELS) * FRAME_BYTES;
    double changes = CHANGES_DAY / DAY_S * 2 * 150;
    double news = RESTARTS_DAY / DAY_S * 2 * 30 * 140;
    printf("  tickets %.0f, gossip %.0f, loads %.0f, changes %.1f, members' "
           "news %.1f bytes/s\n",
           tickets, gossip, loads, changes, news);
    return tickets + gossip + loads + changes + news;
}

static void
print_table(void)
{
    double ticket = ticket_bytes();
    double ping = ping_bytes();
    double control = SET_ASIDE;
    printf("\nmeasured on the wire: %.0f bytes for a request's ticket, grant "
           "and settlement; %.0f for a ping or ack; %.0f for one load\n",
           ticket, ping, load_bytes(1));
    printf("worked out for an entry instance:\n");
    double entry = entry_bytes(ticket, ping);
    printf(
        "\n| %-38s | %19s | %8s | %-6s | mechanism |\n|---|---|---|---|---|\n",
        "at 320 nodes, 1,800 servers", "worked out", "budget", "");
    row("entry: control, sent and received", entry, "B/s", BUDGET_BYTES,
        "tickets to the pool's owner; no endpoint table");
    row("entry: processor for control",
        100 * (slopes.gossip_cpu_s +
               REQUESTS_S / (double)(NODES - SET_ASIDE) * 3 * 20e-6),
        "% core", 100 * BUDGET_CORE, "gossip, 3 messages a request");
    row("entry: memory for control",
        (slopes.memory_base_bytes + NODES * slopes.member_bytes +
         TEAMS * slopes.document_bytes_team) /
            1048576,
        "MB", BUDGET_MEMORY / 1048576, "members, document");
    double data = TOKENS_S / (double)(NODES - SET_ASIDE);
    row("entry: processor for streams",
        100 *
            (data * slopes.cpu_token_us + REQUESTS_S /
                                              (double)(NODES - SET_ASIDE) *
                                              slopes.cpu_request_us) /
            1e6,
        "% core", 0, "not control; libsoup and GLib's loop");
    double pools = REGIONS * MODELS / control;
    row("owner (set aside): pools", pools, "pools", 0,
        "rendezvous over the region's control members");
    row("owner (set aside): control",
        REQUESTS_S / control * ticket +
            SERVERS / control * (load_bytes(1) + FRAME_BYTES),
        "B/s", 0, "of the 9 that are set aside");
    row("owner (set aside): processor for decisions",
        100 * REQUESTS_S / control * (slopes.decision_us + 60) / 1e6, "% core",
        100, "one scheduler a pool");
    row("leader (set aside): a change", NODES * (150.0 + FRAME_BYTES), "B", 0,
        "a step to each instance");
    row("leader (set aside): changes",
        CHANGES_DAY / DAY_S * NODES * 2 * (150.0 + FRAME_BYTES), "B/s", 0,
        "steps and acks");
    row("change in force everywhere, p99", slopes.change_ms, "ms", 10000,
        "measured at 9 instances with kills");
    row("claim, p50 with 3 voters", slopes.claim_ms, "ms", 0,
        "two commits and the call");
}

int
main(void)
{
    gboolean ok = bench_decisions();
    ok &= bench_claims();
    ok &= bench_changes();
    ok &= bench_gossip();
    ok &= bench_streams();
    print_table();
    printf(ok ? "\nall bounds of the measurements held\n"
              : "\na bound of a measurement is BROKEN\n");
    return 0;
}
