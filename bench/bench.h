/* Measurements with regression bounds: ratios within one run, or counts. */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include "harness.h"

/* One measured figure; `bound` of 0 means it is only printed. */
typedef struct {
    const char *name;
    double value;
    const char *unit;
    double bound;
    gboolean at_least; /* the bound is a least, else a most */
} figure_t;

/* Prints it; FALSE when it breaks its bound. Collects it for the table. */
gboolean figure_print(const figure_t *figure);

/* Processor time in seconds and resident memory in bytes of an instance. */
double process_cpu(site_t *site, guint at);
double process_memory(site_t *site, guint at);

/* What a load of streams came to. */
typedef struct {
    guint complete;
    guint64 tokens;
    double seconds;
    double first_p50_ms;
    double first_p95_ms;
    double first_p99_ms;
} load_t;

/* Runs `total` streamed chats of `tokens` each, `open` at once, against an
 * address, or several with commas between, in turn. It only counts, so that it
 * is not what is measured. */
load_t load_run(const char *address, guint total, guint open, int tokens);
double percentile(GArray *values, double q);

/* Each returns FALSE when a bound is broken. */
gboolean bench_decisions(void);
gboolean bench_streams(void);
gboolean bench_claims(void);
gboolean bench_gateway(void);
gboolean bench_gossip(void);
gboolean bench_changes(void);

/* Slopes, for docs/CAPACITY.md. */
typedef struct {
    double decision_us; /* at 300 endpoints, 10,000 waiting */
    double cpu_request_us;
    double cpu_token_us;
    double memory_stream_bytes;
    double memory_base_bytes;
    double gossip_bytes_s; /* sent an instance, at rest */
    double gossip_cpu_s;   /* of a core, an instance at rest */
    double member_bytes;   /* memory for each other instance */
    double ticket_bytes;   /* control sent and received a request */
    double claim_ms;
    double change_ms;
    double change_bytes;
    double document_bytes_team;
    double endpoint_bytes; /* memory of an announced endpoint */
    double report_bytes;   /* control for one load report */
} slopes_t;

extern slopes_t slopes;

#endif
