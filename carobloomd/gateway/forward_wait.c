/* Requests that wait for a slot of a brittle endpoint. */
#include "carobloom/common/counters.h"
#include "carobloom/policy/placement.h"
#include "forward_state.h"

static void
on_slot(void *user)
{
    forward_send(user);
}

gboolean
forward_wait_for_slot(forward_t *f, placement_request_t *request,
                      const placement_counts_t *counts)
{
    entry_t *e = f->entry;
    slot_service_t *slots = &f->service_state->slots;
    slot_rule_kind_t rule = request->slot_rule.kind;
    const GPtrArray *endpoints = directory_service(e->directory, f->service);
    gint64 now = forward_now(f);
    if (rule != SLOT_RULE_GRANTED && rule != SLOT_RULE_AWAITED) {
        return FALSE;
    }
    if (f->slot_wait_until_us == 0) {
        f->slot_wait_until_us =
            now + slot_link_wait_us(e->slot_link, f->route->target_ms);
        counter_add(counter_get("slot_waits_total", NULL, FALSE), 1);
    }
    request->slot_rule.any = TRUE;
    const endpoint_t *wanted =
        endpoints != NULL ? placement_pick(endpoints, request, now).endpoint
                          : NULL;
    if (wanted == NULL || now >= f->slot_wait_until_us || e->refusing) {
        return FALSE;
    }
    f->placement_counts = *counts;
    f->waiter.want.rank = (guint32)forward_priority(f);
    f->waiter.since_us = f->started_us;
    f->waiter.until_us = f->slot_wait_until_us;
    f->waiter.resume = on_slot;
    f->waiter.user = f;
    slot_link_wait(e->slot_link, f->service, slots, wanted, &f->waiter);
    forward_set_timer(f);
    return TRUE;
}

void
forward_give_up_slot(forward_t *f)
{
    slot_link_end_wait(&f->service_state->slots, &f->waiter);
    counter_add(counter_get("slot_waits_ended_total", NULL, FALSE), 1);
    forward_record_unplaced(f, &f->placement_counts);
    forward_fail(f, placement_reason(&f->placement_counts));
}
