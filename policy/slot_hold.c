#include "carobloom/policy/slot_hold.h"

enum {
    MS = 1000,
    /* An endpoint drops an abandoned request once it sees the connection
     * close. */
    COOLING_US = 300 * MS,
    /* Unused slots are kept for the next requests of this instance. */
    IDLE_US = 250 * MS,
    /* Short requests use a slot several times before it is returned, which
     * bounds the messages. Those that are less urgent than others that wait do
     * so for a shorter time. */
    REUSE_US = 250 * MS,
    REUSE_LESS_URGENT_US = 150 * MS,
    WAIT_MIN_US = 50 * MS,
    WAIT_MAX_US = 500 * MS,
    WAIT_DEFAULT_US = 250 * MS,
};

slot_rule_kind_t
slot_rule_kind(const slot_times_t *t)
{
    /* The grantor notices later than this instance that they have lost touch,
     * and what it reserves then has to be returned by others first. */
    gint64 alone_us = t->granted_until_us == 0
                          ? t->begun_us + t->lifetime_us
                          : t->granted_until_us + t->lifetime_us / 2;
    if (t->now_us < t->granted_until_us) {
        return SLOT_RULE_GRANTED;
    }
    if (t->now_us < t->loads_until_us) {
        return SLOT_RULE_LOADS;
    }
    return t->now_us < alone_us ? SLOT_RULE_AWAITED : SLOT_RULE_ALONE;
}

const char *
slot_rule_name(slot_rule_kind_t kind)
{
    static const char *const NAMES[] = {
        [SLOT_RULE_NONE] = "none",       [SLOT_RULE_LOADS] = "loads",
        [SLOT_RULE_GRANTED] = "granted", [SLOT_RULE_AWAITED] = "awaited",
        [SLOT_RULE_ALONE] = "alone",
    };
    return NAMES[kind];
}

static guint
cooling(const slot_hold_t *h, gint64 now_us)
{
    return now_us < h->cooling_until_us ? h->cooling : 0;
}

guint
slot_hold_free(const slot_hold_t *h, guint running, gint64 now_us)
{
    guint used = running + cooling(h, now_us);
    return h->held - MIN(h->held, used);
}

/* Without a grantor each instance has an even share of the slots. Where that
 * is none, instances send one request each now and then, at times that are
 * spread so that endpoints turn away fewer than they allow. */
static gboolean
allows_alone(const slot_hold_t *h, const slot_rule_t *rule, guint slots,
             guint running)
{
    guint share = slots / MAX(rule->instances, 1);
    if (share > 0) {
        return running < share;
    }
    return h != NULL && running == 0 && h->trial_us != 0 &&
           rule->now_us >= h->trial_us;
}

gboolean
slot_hold_allows(const slot_hold_t *h, const slot_rule_t *rule, guint slots,
                 guint running)
{
    if (rule->any) {
        return TRUE;
    }
    switch (rule->kind) {
    case SLOT_RULE_GRANTED:
        return h != NULL && slot_hold_free(h, running, rule->now_us) > 0;
    case SLOT_RULE_AWAITED:
        return FALSE;
    case SLOT_RULE_ALONE:
        return allows_alone(h, rule, slots, running);
    case SLOT_RULE_NONE:
    case SLOT_RULE_LOADS:
        break;
    }
    return TRUE;
}

static void
set_held(slot_hold_t *h, guint held)
{
    h->is_changed = h->is_changed || h->held != held;
    h->held = held;
}

guint
slot_hold_sent(const slot_hold_t *h, gint64 now_us)
{
    gint64 seconds = now_us / G_USEC_PER_SEC - h->sent_s;
    if (seconds > 1) {
        return 0;
    }
    return seconds == 1 ? h->sent[1] : h->sent[0] + h->sent[1];
}

static void
count_sent(slot_hold_t *h, gint64 now_us)
{
    gint64 second = now_us / G_USEC_PER_SEC;
    if (second != h->sent_s) {
        h->sent[0] = second == h->sent_s + 1 ? h->sent[1] : 0;
        h->sent[1] = 0;
        h->sent_s = second;
    }
    h->sent[1]++;
}

void
slot_hold_begin(slot_hold_t *h, guint running, gint64 now_us)
{
    count_sent(h, now_us);
    h->used_us = now_us;
    /* More than were granted run where the endpoint has just become brittle,
     * or no grantor answers. */
    set_held(h, MAX(h->held, running + cooling(h, now_us)));
}

void
slot_hold_end(slot_hold_t *h, gboolean is_abandoned, gint64 now_us)
{
    h->used_us = now_us;
    if (is_abandoned) {
        h->cooling = cooling(h, now_us) + 1;
        h->cooling_until_us = now_us + COOLING_US;
    }
}

void
slot_hold_grant(slot_hold_t *h, guint count, gint64 now_us)
{
    h->held += count; /* the grantor knows */
    h->granted_us = now_us;
    h->used_us = now_us;
}

gboolean
slot_hold_may_reuse(const slot_hold_t *h, gboolean is_less_urgent,
                    gint64 now_us)
{
    gint64 reuse_us = is_less_urgent ? REUSE_LESS_URGENT_US : REUSE_US;
    return now_us - h->granted_us < reuse_us;
}

guint
slot_hold_return(slot_hold_t *h, guint running, gboolean is_scarce,
                 gint64 now_us)
{
    guint unused = slot_hold_free(h, running, now_us);
    if (unused == 0 || (!is_scarce && now_us - h->used_us < IDLE_US)) {
        return 0;
    }
    set_held(h, h->held - unused);
    return unused;
}

gint64
slot_wait_us(gint64 target_ms)
{
    return target_ms > 0 ? CLAMP(target_ms * MS / 2, (gint64)WAIT_MIN_US,
                                 (gint64)WAIT_MAX_US)
                         : (gint64)WAIT_DEFAULT_US;
}
