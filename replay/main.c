/* replay [--policy NAME] [--trace NAME]: the traces under the policies. */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "replay.h"

static const char *const TRACES[] = {"qalbi-sale", "garantia-month-end"};

static void
print_result(json_t *result)
{
    printf("%-16s %9.0f %6.2f%% %8.0f  ",
           json_string_value(json_object_get(result, "policy")),
           json_number_value(json_object_get(result, "goodput")),
           100 * json_number_value(json_object_get(result, "waste")),
           json_number_value(json_object_get(result, "bytes_s_instance")));
    size_t index;
    json_t *c;
    json_array_foreach(json_object_get(result, "classes"), index, c)
    {
        printf(" %s %.2f%%/%.1fs%s%s",
               json_string_value(json_object_get(c, "class")),
               100 * json_number_value(json_object_get(c, "attainment")),
               json_number_value(json_object_get(c, "longest_wait_s")),
               json_integer_value(json_object_get(c, "refused")) ? " r" : "",
               json_is_true(json_object_get(c, "within_bound")) ? "" : "!");
    }
    printf("\n");
}

static void
run_trace(const char *name, const char *only, json_t *all)
{
    char *path =
        g_strdup_printf("%s/replay/traces/%s.jsonc", SOURCE_ROOT, name);
    trace_t *trace = trace_load(path);
    g_free(path);
    if (trace == NULL) {
        exit(1);
    }
    for (int faults = 0; faults < 2; faults++) {
        printf("\n%s, %s faults: %u requests, peak demand %.1f times "
               "capacity\n%-16s %9s %7s %8s   class attainment/longest "
               "wait (r: some refused, !: over its bound)\n",
               trace->name, faults ? "with" : "without", trace->requests->len,
               trace->offered, "policy", "goodput/s", "waste", "B/s/inst");
        for (guint i = 0; policy_at(i); i++) {
            const policy_ops_t *ops = policy_at(i);
            if (only && strcmp(ops->name, only) != 0) {
                continue;
            }
            json_t *result = world_run(trace, ops, faults);
            print_result(result);
            fflush(stdout);
            json_array_append_new(all, result);
        }
    }
    trace_destroy(trace);
}

int
main(int argc, char **argv)
{
    struct arg_str *policy = arg_str0("p", "policy", "NAME", "only this one");
    struct arg_str *trace = arg_str0("t", "trace", "NAME", "only this one");
    struct arg_str *out = arg_str0("o", "out", "FILE", "results as JSON");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(20);
    void *table[] = {policy, trace, out, help, end};
    int faults = arg_parse(argc, argv, table);
    if (faults > 0 || help->count > 0) {
        arg_print_errors(stderr, end, "replay");
        arg_print_glossary(stdout, table, "  %-20s %s\n");
        return faults > 0 ? 2 : 0;
    }
    json_t *all = json_array();
    for (guint i = 0; i < G_N_ELEMENTS(TRACES); i++) {
        if (trace->count == 0 || strcmp(trace->sval[0], TRACES[i]) == 0) {
            run_trace(TRACES[i], policy->count ? policy->sval[0] : NULL, all);
        }
    }
    json_dump_file(all, out->count ? out->sval[0] : "build/replay.json",
                   JSON_INDENT(1) | JSON_REAL_PRECISION(9));
    json_decref(all);
    arg_freetable(table, G_N_ELEMENTS(table));
    return 0;
}
