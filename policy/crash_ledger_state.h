/* Private to the crash ledger: its state, shared by the files that keep it.
 *
 * crash_ledger.c     reported ends and answers, expiry, probes
 * crash_suspects.c   suspects, and the weight of their ends
 * crash_orders.c     quarantines and watches, as they are published
 * crash_judgement.c  which suspect is the cause */
#ifndef CAROBLOOM_POLICY_CRASH_LEDGER_STATE_H
#define CAROBLOOM_POLICY_CRASH_LEDGER_STATE_H

#include "carobloom/policy/crash_ledger.h"

enum {
    US_PER_MS = 1000,
    /* Ends after which a request is the cause. One may be coincidence, and so
     * may two if the caller retries at once; each further end costs an
     * endpoint and all requests that run there. */
    CAUSE_ENDS_MIN = 3,
    /* Two suspects that share this many ends are rivals: only a further end
     * can tell which is the cause. */
    RIVAL_SHARED_ENDS_MIN = 2,
    /* Rivals are quarantined together after this many ends. After its third
     * end, the cause is then sent three more times, the most that operators
     * accept: once at the fourth end, and in two probes. */
    RIVALS_QUARANTINE_ENDS_MIN = 4,
    /* A request is confirmed as the cause after this many probes during which
     * its endpoint ended. One may be coincidence, and would leave a wrong
     * request quarantined. */
    FAILED_PROBES_MIN = 2,
    /* Duration of a probe; there is one at a time. Within it the caller
     * retries, the request is answered or cut off, and all control instances
     * learn the outcome. */
    PROBE_US = 3000 * US_PER_MS,
    /* A part is confirmed as the cause after this many ends without an answer,
     * which are the most that operators accept, and needs no probe then. */
    CONFIRMED_PART_ENDS = 5,
    /* A part whose ends include those of quarantined requests needs this many
     * ends besides those of one of them: one may be coincidence. A suspect
     * that explains so many more ends than a narrower one is the cause,
     * otherwise the narrower one.
     */
    PART_FURTHER_ENDS_MIN = 2,
    /* Parts that share their ends with more others than this are not singled
     * out, and wait for the next end. */
    PART_RIVALS_MAX = 4,
    /* Ends within this time count as one for a part, unless a request with it
     * was sent from one to the next: endpoints that are killed together run
     * nearly all parts that are in use. */
    PART_TOGETHER_US = 200 * US_PER_MS,
    /* Parts at this many ends are watched. */
    WATCH_ENDS_MIN = 2,
    WATCHED_MAX = 256,
    /* A quarantined part that is not uncertain is probed again after this
     * time, and after twice the time for each such probe that failed:
     * endpoints may have been mended. No more probes may fail than these:
     * operators accept three sends, and one may be under way. */
    RECHECK_US = 30000 * US_PER_MS,
    PART_PROBES_MAX = 2,
    /* Weight of an end: half if the response had been streaming for long,
     * because a request that crashes its endpoint does so as it begins. */
    WEIGHT_BEGINNING = 2,
    WEIGHT_LONG = 1,
    PART_FURTHER_WEIGHT = PART_FURTHER_ENDS_MIN * WEIGHT_BEGINNING,
    /* Delay between reaching the threshold and the evaluation, in which the
     * other entry instances report what ran there as well. A tenth of the
     * three seconds within which all instances must know the result. */
    EVALUATION_DELAY_US = 300 * US_PER_MS,
    /* Memory bounds: 64,000 suspects of 400 bytes, 25 MB. The requests of an
     * end may include those that waited as well as those in slots. */
    SUSPECTS_MAX = 65536,
    ENDS_MAX = 128,
    END_REQUESTS_MAX = 256,
    END_PARTS_MAX = 1024,
    QUARANTINED_MAX = 4096,
    SUSPECT_ENDS_MIN = 2,    /* allocated */
    SUSPECT_ENDS_MAX = 32,   /* per suspect; the oldest are dropped */
    ORDER_ENDPOINTS_MAX = 4, /* endpoints listed in an order */
};

/* A request with prompt parts that ran on an endpoint as it ended. */
typedef struct {
    guint64 request;
    GArray *parts; /* guint64, fingerprints in the order of the prompt */
} end_run_t;

/* The end of an endpoint. */
typedef struct {
    char *key; /* id and incarnation */
    char *endpoint;
    char *service;
    gint64 recorded_us;
    GArray *fingerprints; /* guint64, of the suspects that ran there */
    guint requests;       /* how many of these are requests */
    GArray *runs;         /* end_run_t */
    guint64 cause;        /* suspect quarantined as its cause; 0: none yet */
} end_record_t;

typedef struct {
    end_record_t *end;
    run_stage_t stage;
} suspect_end_t;

/* What the last order for a suspect said. */
typedef enum {
    PUBLISHED_NOTHING,
    PUBLISHED_WATCH,
    PUBLISHED_QUARANTINE, /* or its release */
} published_t;

/* A request that ran on an endpoint as it ended, or a part of one. */
typedef struct {
    guint64 fingerprint;
    char *service; /* of a part, NULL: a request; a ref-counted string */
    guint64 part;
    published_t published;
    gint64 watched_until_us;
    gboolean was_quarantined; /* before it was watched */
    suspect_end_t *ends;
    guint count;
    guint capacity;  /* of `ends` */
    gint64 due_us;   /* when it is evaluated; 0: below the threshold */
    gint64 since_us; /* time of its first end */
    gint64 quarantined_until_us; /* 0: not quarantined */
    gint64 probation_until_us;   /* after a quarantine, one end is enough */
    gboolean uncertain;          /* quarantined, but may not be the cause */
    gboolean confirmed;          /* by probes that failed, or by its ends */
    guint failed_probes;         /* probes during which an endpoint ended */
    guint failed_rechecks;       /* of these, while it was not uncertain */
    gint64 probed_us;            /* time of its last probe or quarantine */
    guint probes;
    gint64 order_expires_us; /* its order is published until then */
    guint64 order_cursor;    /* ledger cursor at its last order; 0: none */
    char *endpoints;         /* listed in the order */
    GList *link;             /* in `orders` */
} suspect_t;

struct crash_ledger {
    gint64 retention_us;
    GHashTable *ends;     /* key -> end_record_t */
    GQueue by_age;        /* end_record_t, the oldest at the head */
    GHashTable *suspects; /* fingerprint -> suspect_t */
    GHashTable *due;      /* set of suspect_t to be evaluated */
    GQueue orders;        /* suspect_t, the last changed at the tail */
    guint64 cursor;
    guint quarantined;
    guint quarantined_parts;
    guint watched;
    suspect_t *probing; /* uncertain suspect being probed, or NULL */
    gint64 probe_end_us;
};

/* crash_suspects.c */
/* Returns NULL if there is none. */
suspect_t *suspect_find(const crash_ledger_t *l, guint64 fingerprint);
suspect_t *suspect_find_or_create(crash_ledger_t *l, guint64 fingerprint);
/* Removes a suspect without ends and without an order. */
void suspect_remove_unused(crash_ledger_t *l, suspect_t *s);
/* Returns -1 if the suspect did not run at the end. */
gint suspect_end_index(const suspect_t *s, const end_record_t *end);
void suspect_drop_end(suspect_t *s, guint index);
/* Drops the oldest end if there are too many. */
void suspect_add_end(suspect_t *s, suspect_end_t end);
gboolean suspect_is_part(const suspect_t *s);
/* Whether the run is of the request, or has the part. */
gboolean end_run_has(const end_run_t *run, guint64 fingerprint);
/* Returns whether one request at the end was or had both. */
gboolean end_has_run_of_both(const end_record_t *end, guint64 a, guint64 b);
/* Weight of the ends without another cause. */
guint suspect_own_weight(const suspect_t *s);
/* Weight of the ends that the suspect explains: those without another cause,
 * and for a part also those whose cause ran with it. */
guint suspect_weight(const suspect_t *s);
/* Whether the ends that it explains are enough to quarantine it. */
gboolean suspect_is_over_threshold(const suspect_t *s, gint64 now_us);
/* Whether a part needs no probe. */
gboolean suspect_is_confirmed_by_ends(const crash_ledger_t *l,
                                      const suspect_t *s);
void suspect_schedule_evaluation(crash_ledger_t *l, suspect_t *s,
                                 gint64 now_us);

/* crash_orders.c */
/* Publishes the state of the suspect. */
void suspect_update_order(crash_ledger_t *l, suspect_t *s, gint64 now_us);
/* Publishes that a part is watched, as long as its ends are kept. */
void suspect_watch(crash_ledger_t *l, suspect_t *s, gint64 now_us);
/* Publishes that a part is no longer watched. */
void suspect_end_watch(crash_ledger_t *l, suspect_t *s, gint64 now_us);
/* Ends the uncertainty about a suspect, whether or not it is the cause. */
void suspect_clear_uncertain(crash_ledger_t *l, suspect_t *s);
void suspect_release(crash_ledger_t *l, suspect_t *s, gint64 now_us);
void suspect_quarantine(crash_ledger_t *l, suspect_t *s, gint64 until_us,
                        gint64 now_us);
/* Quarantines a suspect and records it as the cause of its ends. */
void suspect_quarantine_as_cause(crash_ledger_t *l, suspect_t *s,
                                 gint64 now_us);
/* Confirms an uncertain suspect as the cause, and releases uncertain suspects
 * that were only at its ends. A confirmed suspect doesn't become uncertain
 * again while it is quarantined: otherwise the cause could be sent a fourth
 * time. */
void suspect_confirm(crash_ledger_t *l, suspect_t *s, gint64 now_us);
/* Returns the ids of its ends' endpoints; free it with g_free. */
char *suspect_endpoint_list(const suspect_t *s);

/* crash_judgement.c */
/* Evaluates the suspect with the highest weight first, because ends that it
 * caused no longer count for the others. */
void crash_ledger_evaluate_due(crash_ledger_t *l, gint64 now_us);

#endif
