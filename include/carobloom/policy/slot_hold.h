/* Slots of one brittle endpoint that an entry instance holds, and whether it
 * may send a request there. Pure. */
#ifndef CAROBLOOM_POLICY_SLOT_HOLD_H
#define CAROBLOOM_POLICY_SLOT_HOLD_H

#include "carobloom/policy/brittle.h"

enum { SLOT_RANKS = 10 };

typedef struct {
    guint64 endpoint; /* hash of its id and start */
    guint64 service;  /* hash of its name */
    guint slots;      /* of the endpoint */
    guint held;
    /* Slots of abandoned requests, at which the endpoint may still work. */
    guint cooling;
    gint64 cooling_until_us;
    gint64 used_us;    /* when a request last began or ended there */
    gint64 granted_us; /* when a slot was last granted */
    gint64 trial_us;   /* next send without a grantor */
    guint sent[2];     /* requests in the second before this one, and in it */
    gint64 sent_s;     /* this second */
    guint refused_total;
    guint refused;       /* requests turned away since the last report */
    gboolean is_changed; /* since the last report */
    gboolean is_avoided; /* slots were returned since requests can't be sent
                            there; until the next report */
} slot_hold_t;

/* How an instance decides whether it may send to brittle endpoints. */
typedef enum {
    SLOT_RULE_NONE,    /* the endpoints are not brittle */
    SLOT_RULE_LOADS,   /* by the loads of the others: no slots granted yet */
    SLOT_RULE_GRANTED, /* only in slots that it holds */
    SLOT_RULE_AWAITED, /* not at all: the grantor is about to answer */
    SLOT_RULE_ALONE,   /* by an even share: no grantor answers */
} slot_rule_kind_t;

typedef struct {
    slot_rule_kind_t kind;
    guint instances; /* that may send there */
    gint64 now_us;
    /* Ignores which slots are held, to find the endpoint to ask for. */
    gboolean any;
} slot_rule_t;

/* What the rule follows from, for endpoints that are brittle. */
typedef struct {
    gint64 now_us;
    gint64 begun_us;         /* when they became so */
    gint64 loads_until_us;   /* the loads of the others are used until then */
    gint64 granted_until_us; /* for which slots were granted; 0: never */
    gint64 lifetime_us;      /* of slots, since the grantor's last answer */
} slot_times_t;

slot_rule_kind_t slot_rule_kind(const slot_times_t *times);
/* Name of a kind, for people. */
const char *slot_rule_name(slot_rule_kind_t kind);
/* Whether one more request may be sent to an endpoint at which `running`
 * requests of this instance run. `hold` may be NULL. */
gboolean slot_hold_allows(const slot_hold_t *hold, const slot_rule_t *rule,
                          guint slots, guint running);
/* Number of held slots without a request. */
guint slot_hold_free(const slot_hold_t *hold, guint running, gint64 now_us);
/* Number of requests sent there in this second and the one before. */
guint slot_hold_sent(const slot_hold_t *hold, gint64 now_us);
/* Records that a request of this instance begins. */
void slot_hold_begin(slot_hold_t *hold, guint running, gint64 now_us);
/* Records that a request of this instance ended. `is_abandoned`: the endpoint
 * may not know yet. */
void slot_hold_end(slot_hold_t *hold, gboolean is_abandoned, gint64 now_us);
/* Records `count` slots granted. */
void slot_hold_grant(slot_hold_t *hold, guint count, gint64 now_us);
/* Returns slots that are not in use: at once where others wait for them,
 * unless the instance may use them again, else after a while. Returns their
 * number. */
guint slot_hold_return(slot_hold_t *hold, guint running, gboolean is_scarce,
                       gint64 now_us);
/* Whether a slot that others wait for may be used for one more request, which
 * may be less urgent than those. */
gboolean slot_hold_may_reuse(const slot_hold_t *hold, gboolean is_less_urgent,
                             gint64 now_us);
/* Time that a request may wait for a slot. `target_ms`: its latency objective;
 * 0: none. */
gint64 slot_wait_us(gint64 target_ms);

#endif
