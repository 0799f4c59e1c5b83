/* Who is alive, over a network that the test holds in its hands. */
#include <string.h>

#include "carobloom/policy/membership.h"
#include "check.h"

enum { NODES = 12, PERIOD_US = 1000, RUN = 400 };

typedef struct {
    membership_t *node[NODES];
    gboolean cut[NODES][NODES];
    guint count;
    gint64 now;
    guint64 bytes;
} net_t;

static void
net_add(net_t *net, guint64 started)
{
    guint at = net->count++;
    member_record_t self = {.id = 1000 * started + at + 1, .started = started};
    membership_settings_t settings = {.period_us = PERIOD_US,
                                      .suspicion_us = 5 * PERIOD_US,
                                      .dead_expiry_us = 100000 * PERIOD_US,
                                      .seed = at};
    g_snprintf(self.name, sizeof(self.name), "n%u", at);
    g_snprintf(self.address, sizeof(self.address), "%u", at);
    net->node[at] = membership_create(&self, &settings, net->now);
}

static void
deliver(net_t *net, guint from)
{
    GPtrArray *sends = membership_take_messages(net->node[from]);
    for (guint i = 0; i < sends->len; i++) {
        const membership_message_t *s = sends->pdata[i];
        guint to = (guint)atoi(s->address);
        net->bytes += g_bytes_get_size(s->bytes);
        if (to < net->count && !net->cut[from][to]) {
            membership_receive(net->node[to], s->bytes, net->now);
        }
    }
    g_ptr_array_unref(sends);
}

static void
net_run(net_t *net, int ticks)
{
    for (int t = 0; t < ticks; t++) {
        net->now += PERIOD_US / 4;
        for (guint i = 0; i < net->count; i++) {
            membership_tick(net->node[i], net->now);
        }
        for (int round = 0; round < 3; round++) {
            for (guint i = 0; i < net->count; i++) {
                deliver(net, i);
            }
        }
    }
}

static guint
alive_seen(net_t *net, guint at)
{
    GArray *list = membership_list(net->node[at]);
    guint alive = 0;
    for (guint i = 0; i < list->len; i++) {
        alive += g_array_index(list, member_record_t, i).state == MEMBER_ALIVE;
    }
    g_array_unref(list);
    return alive;
}

static void
net_clear(net_t *net)
{
    for (guint i = 0; i < net->count; i++) {
        membership_destroy(net->node[i]);
    }
}

static net_t
net_joined(guint count)
{
    net_t net = {.now = 1};
    for (guint i = 0; i < count; i++) {
        net_add(&net, 1);
        membership_add_seed(net.node[i], "0");
        membership_add_seed(net.node[i], "1");
    }
    net_run(&net, RUN);
    return net;
}

static void
cut_node(net_t *net, guint at, gboolean cut)
{
    for (guint i = 0; i < net->count; i++) {
        net->cut[at][i] = cut;
        net->cut[i][at] = cut;
    }
}

static void
test_all_meet(void)
{
    net_t net = net_joined(NODES);
    for (guint i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(alive_seen(&net, i), NODES);
    }
    net_clear(&net);
}

static void
test_dead_is_found_and_comes_back(void)
{
    net_t net = net_joined(NODES);
    cut_node(&net, 5, TRUE);
    net_run(&net, RUN);
    for (guint i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(alive_seen(&net, i), i == 5 ? 1 : NODES - 1);
    }
    cut_node(&net, 5, FALSE);
    net_run(&net, 2 * RUN);
    for (guint i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(alive_seen(&net, i), NODES);
    }
    net_clear(&net);
}

/* One link down: the helpers' pings keep both alive. */
static void
test_one_link_down(void)
{
    net_t net = net_joined(NODES);
    net.cut[3][7] = net.cut[7][3] = TRUE;
    net_run(&net, 2 * RUN);
    CU_ASSERT(alive_seen(&net, 0) == NODES);
    net_clear(&net);
}

/* A member that another does not know can not be answered by it. It happened
 * when seeds were restarted in turn and handed on lists with a gap: the one
 * left out heard of no change for two minutes. */
static void
test_unknown_introduces_itself(void)
{
    net_t net = {.now = 1};
    for (guint i = 0; i < 3; i++) {
        net_add(&net, 1);
    }
    /* 2 tells 0 of 1, while 1 is never told of 0. */
    membership_add_seed(net.node[1], "2");
    net.cut[0][1] = net.cut[1][0] = TRUE;
    net_run(&net, RUN);
    net.cut[2][1] = TRUE;
    membership_add_seed(net.node[0], "2");
    net_run(&net, 8);
    CU_ASSERT(membership_find(net.node[0], 1002) != NULL);
    CU_ASSERT(membership_find(net.node[1], 1001) == NULL);
    net.cut[2][0] = net.cut[0][2] = net.cut[1][2] = TRUE;
    net.cut[0][1] = net.cut[1][0] = FALSE;
    net_run(&net, 12);
    CU_ASSERT(membership_find(net.node[1], 1001) != NULL);
    net_clear(&net);
}

static const test_case_t cases[] = {
    {"all meet", test_all_meet},
    {"the dead are found and come back", test_dead_is_found_and_comes_back},
    {"one link down", test_one_link_down},
    {"an unknown member introduces itself", test_unknown_introduces_itself},
};

CHECK_MAIN("membership", cases)
