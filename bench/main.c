/* bench [NAME …]: the measurements, each with its bounds. */
#include <stdio.h>
#include <string.h>

#include "bench.h"

static const struct {
    const char *name;
    gboolean (*run)(void);
} BENCHES[] = {
    {"changes", bench_changes},     {"claims", bench_claims},
    {"decisions", bench_decisions}, {"gateway", bench_gateway},
    {"gossip", bench_gossip},       {"streams", bench_streams},
};

int
main(int argc, char **argv)
{
    gboolean ok = TRUE;
    for (gsize i = 0; i < G_N_ELEMENTS(BENCHES); i++) {
        gboolean wanted = argc < 2;
        for (int k = 1; k < argc; k++) {
            wanted |= strcmp(argv[k], BENCHES[i].name) == 0;
        }
        if (wanted) {
            ok &= BENCHES[i].run();
        }
    }
    printf(ok ? "all bounds held\n" : "a bound is BROKEN\n");
    return ok ? 0 : 1;
}
