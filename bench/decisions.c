/* The cost of a decision, and how it grows. */
#include <stdio.h>

#include "bench.h"
#include "carobloom/policy/scheduler.h"

enum { ROUNDS = 20000, CLASSES = 12, TEAMS = 18000 };

static void
submit_one(scheduler_t *s, GRand *rand, guint64 id, guint i, gint64 now,
           GArray *actions)
{
    ticket_t t = {.id = id,
                  .class_index = 4 + i % (CLASSES - 4),
                  .team = (guint64)g_rand_int_range(rand, 1, TEAMS),
                  .team_weight = 1,
                  .prompt_tokens = 500,
                  .prefix = (guint64)g_rand_int_range(rand, 1, 5000),
                  .arrived_us = now};
    scheduler_submit(s, &t, now, actions);
}

/* Time of one settle, grant and submit with so many endpoints and waiting. */
static double
decision_us(guint endpoints, guint waiting)
{
    class_spec_t classes[CLASSES];
    for (guint i = 0; i < CLASSES; i++) {
        classes[i] = (class_spec_t){.tier = (int)(i / 2),
                                    .min_share = 0.02,
                                    .weight = 1,
                                    .first_token_us = 1000000,
                                    .deadline_us = 3600000000LL,
                                    .max_wait_us = 600000000,
                                    .queue_limit = 1000000,
                                    .typical_tokens = 100,
                                    .resume = i >= 6,
                                    .protect = i < 4};
    }
    scheduler_t *s = scheduler_create(classes, CLASSES);
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(action_t));
    GRand *rand = g_rand_new_with_seed(5);
    gint64 now = 1000000;
    for (guint i = 0; i < endpoints; i++) {
        endpoint_set_put(scheduler_endpoints(s), i + 1, 8, now);
    }
    guint64 id = 0;
    guint fill = endpoints * 8 + waiting;
    for (guint i = 0; i < fill; i++) {
        submit_one(s, rand, ++id, i, now, actions);
    }
    GQueue running = G_QUEUE_INIT;
    for (guint i = 0; i < actions->len; i++) {
        const action_t *a = &g_array_index(actions, action_t, i);
        g_queue_push_tail(&running, (gpointer)a->ticket);
    }
    gint64 started = g_get_monotonic_time();
    for (guint i = 0; i < ROUNDS; i++) {
        now += 100;
        g_array_set_size(actions, 0);
        guint64 done = (guint64)g_queue_pop_head(&running);
        settlement_t settlement = {
            .result = SETTLE_COMPLETE, .tokens = 100, .token_us = 20000};
        scheduler_settle(s, done, &settlement, now, actions);
        submit_one(s, rand, ++id, i, now, actions);
        for (guint k = 0; k < actions->len; k++) {
            const action_t *a = &g_array_index(actions, action_t, k);
            if (a->type == ACTION_GRANT) {
                g_queue_push_tail(&running, (gpointer)a->ticket);
            }
        }
    }
    double us = (double)(g_get_monotonic_time() - started) / ROUNDS;
    g_queue_clear(&running);
    g_rand_free(rand);
    g_array_unref(actions);
    scheduler_destroy(s);
    return us;
}

gboolean
bench_decisions(void)
{
    printf("decisions (settle, grant and submit of one request)\n");
    double small = decision_us(30, 1000);
    double usual = decision_us(300, 10000);
    double large = decision_us(1800, 100000);
    slopes.decision_us = usual;
    gboolean ok = TRUE;
    figure_print(&(figure_t){"30 endpoints, 1,000 waiting", small, "us"});
    figure_print(&(figure_t){"300 endpoints, 10,000 waiting", usual, "us"});
    figure_print(&(figure_t){"1,800 endpoints, 100,000 waiting", large, "us"});
    /* log(10,000)/log(1,000) is 1.33; the rest is for caches. */
    ok &= figure_print(&(figure_t){"growth for ten times as much",
                                   usual / small, "times", 3});
    ok &= figure_print(&(figure_t){"growth for ten times as much again",
                                   large / usual, "times", 4});
    return ok;
}
