/* A site of real processes: 3 voters and 6 more instances on loopback. */
#include <signal.h>
#include <string.h>

#include "check.h"
#include "harness.h"

enum { INSTANCES = 9, VOTERS = 3 };

static gboolean
all_at_version(site_t *site, guint64 version)
{
    for (int i = 0; i < WAIT_MS / 50; i++) {
        gboolean all = TRUE;
        for (guint k = 0; k < site->count && all; k++) {
            all = !site->instances[k].process ||
                  site_version(site, k) >= version;
        }
        if (all) {
            return TRUE;
        }
        sleep_ms(50);
    }
    return FALSE;
}

static void
test_change_is_in_force_everywhere(void)
{
    site_t *site = site_up(INSTANCES, VOTERS);
    CU_ASSERT(all_at_version(site, 1));
    char *second = site_sample_with_weight(2);
    answer_t *a = site_submit(site, 7, "second", 1, second);
    if (a->status != 200) {
        printf("%u %s\n", a->status, a->body);
    }
    CU_ASSERT_EQUAL(a->status, 200);
    CU_ASSERT(strstr(a->body, "\"version\":2") != NULL);
    answer_free(a);
    CU_ASSERT(all_at_version(site, 2));
    /* Sent again, elsewhere: the first answer, no new version. */
    a = site_submit(site, 4, "second", 1, second);
    CU_ASSERT_EQUAL(a->status, 200);
    CU_ASSERT(strstr(a->body, "\"version\":2") != NULL);
    CU_ASSERT(strstr(a->body, "\"repeated\":true") != NULL);
    answer_free(a);
    /* A stale base: a conflict that shows what changed. */
    char *third = site_sample_with_weight(3);
    a = site_submit(site, 1, "third", 1, third);
    CU_ASSERT_EQUAL(a->status, 409);
    CU_ASSERT(strstr(a->body, "teams.workshop") != NULL);
    answer_free(a);
    /* Faults are listed with their place. */
    a = site_submit(site, 3, "bad", 2,
                    "{\"classes\":[{\"tier\":9}],"
                    "\"teams\":[],\"extra\":1}");
    CU_ASSERT_EQUAL(a->status, 400);
    CU_ASSERT(strstr(a->body, "classes.0") != NULL);
    CU_ASSERT(strstr(a->body, "extra") != NULL);
    answer_free(a);
    g_free(second);
    g_free(third);
    site_destroy(site);
}

static const test_case_t cases[] = {
    {"a change is in force everywhere", test_change_is_in_force_everywhere},
};

CHECK_MAIN("site", cases)
