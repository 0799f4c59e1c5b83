/* Small helpers over CUnit: every program lists its cases in one table. */
#ifndef TESTS_CHECK_H
#define TESTS_CHECK_H

#include <CUnit/Basic.h>
#include <glib.h>

typedef struct {
    const char *name;
    void (*run)(void);
} test_case_t;

static inline int
check_run(const char *suite, const test_case_t *cases, gsize count)
{
    CU_initialize_registry();
    CU_pSuite s = CU_add_suite(suite, NULL, NULL);
    for (gsize i = 0; i < count; i++) {
        const char *only = g_getenv("TEST_ONLY"); /* to look at one case */
        if (only == NULL || g_str_equal(only, cases[i].name)) {
            CU_add_test(s, cases[i].name, cases[i].run);
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures ? 1 : 0;
}

#define CHECK_MAIN(suite, cases)                                              \
    int main(void)                                                            \
    {                                                                         \
        return check_run(suite, cases, G_N_ELEMENTS(cases));                  \
    }

#endif
