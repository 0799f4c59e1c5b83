/* Gossip membership over a simulated network. */
#include <string.h>

#include "carobloom/policy/membership.h"
#include "check.h"

enum { NODES = 12, PERIOD_US = 1000, RUN_TICKS = 400 };

typedef struct {
    membership_t *node[NODES];
    gboolean cut[NODES][NODES];
    guint count;
    gint64 now_us;
    guint64 bytes;
} network_t;

static void
net_add(network_t *net, guint64 started)
{
    guint index = net->count++;
    member_record_t self = {.id = 1000 * started + index + 1,
                            .started = started};
    membership_settings_t settings = {.period_us = PERIOD_US,
                                      .suspicion_us = 5 * PERIOD_US,
                                      .dead_expiry_us = 100000 * PERIOD_US,
                                      .seed = index};
    g_snprintf(self.name, sizeof(self.name), "n%u", index);
    g_snprintf(self.address, sizeof(self.address), "%u", index);
    net->node[index] = membership_create(&self, &settings, net->now_us);
}

static void
deliver(network_t *net, guint from)
{
    GPtrArray *messages = membership_take_messages(net->node[from]);
    for (guint i = 0; i < messages->len; i++) {
        const membership_message_t *message = messages->pdata[i];
        guint to = (guint)atoi(message->address);
        net->bytes += g_bytes_get_size(message->bytes);
        if (to < net->count && !net->cut[from][to]) {
            membership_receive(net->node[to], message->bytes, net->now_us);
        }
    }
    g_ptr_array_unref(messages);
}

static void
net_run(network_t *net, int ticks)
{
    for (int t = 0; t < ticks; t++) {
        net->now_us += PERIOD_US / 4;
        for (guint i = 0; i < net->count; i++) {
            membership_tick(net->node[i], net->now_us);
        }
        for (int round = 0; round < 3; round++) {
            for (guint i = 0; i < net->count; i++) {
                deliver(net, i);
            }
        }
    }
}

static guint
count_alive(network_t *net, guint index)
{
    GArray *list = membership_list(net->node[index]);
    guint alive = 0;
    for (guint i = 0; i < list->len; i++) {
        alive += g_array_index(list, member_record_t, i).state == MEMBER_ALIVE;
    }
    g_array_unref(list);
    return alive;
}

static void
net_clear(network_t *net)
{
    for (guint i = 0; i < net->count; i++) {
        membership_destroy(net->node[i]);
    }
}

static network_t
net_create_joined(guint count)
{
    network_t net = {.now_us = 1};
    for (guint i = 0; i < count; i++) {
        net_add(&net, 1);
        membership_add_seed(net.node[i], "0");
        membership_add_seed(net.node[i], "1");
    }
    net_run(&net, RUN_TICKS);
    return net;
}

static void
set_node_cut(network_t *net, guint index, gboolean cut)
{
    for (guint i = 0; i < net->count; i++) {
        net->cut[index][i] = cut;
        net->cut[i][index] = cut;
    }
}

static void
test_all_members_join(void)
{
    network_t net = net_create_joined(NODES);
    for (guint i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(count_alive(&net, i), NODES);
    }
    net_clear(&net);
}

static void
test_dead_member_detected_and_rejoins(void)
{
    network_t net = net_create_joined(NODES);
    set_node_cut(&net, 5, TRUE);
    net_run(&net, RUN_TICKS);
    for (guint i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(count_alive(&net, i), i == 5 ? 1 : NODES - 1);
    }
    set_node_cut(&net, 5, FALSE);
    net_run(&net, 2 * RUN_TICKS);
    for (guint i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(count_alive(&net, i), NODES);
    }
    net_clear(&net);
}

/* With one link down, indirect pings keep both members alive. */
static void
test_one_link_down(void)
{
    network_t net = net_create_joined(NODES);
    net.cut[3][7] = net.cut[7][3] = TRUE;
    net_run(&net, 2 * RUN_TICKS);
    CU_ASSERT(count_alive(&net, 0) == NODES);
    net_clear(&net);
}

/* A ping from a member that the target does not know gets no ack, so the retry
 * must carry the sender's record. Otherwise, when seeds are restarted in turn
 * and send incomplete member lists, the member left out receives no changes
 * for two minutes. */
static void
test_unknown_member_sends_its_record(void)
{
    network_t net = {.now_us = 1};
    for (guint i = 0; i < 3; i++) {
        net_add(&net, 1);
    }
    /* Node 2 sends node 1's record to node 0, but not 0's record to node 1. */
    membership_add_seed(net.node[1], "2");
    net.cut[0][1] = net.cut[1][0] = TRUE;
    net_run(&net, RUN_TICKS);
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
    {"all members join", test_all_members_join},
    {"dead members are detected and rejoin",
     test_dead_member_detected_and_rejoins},
    {"one link down", test_one_link_down},
    {"an unknown member introduces itself",
     test_unknown_member_sends_its_record},
};

CHECK_MAIN("membership", cases)
