#include "carobloom/common/timers.h"

typedef struct {
    guint64 id;
    gint64 due_us;
    gint64 period_us;
    timer_fn_t fn;
    void *data;
} timer_item_t;

struct timers {
    GSequence *queue;  /* timer_item_t by due time, then id */
    GHashTable *by_id; /* id -> GSequenceIter */
    gint64 now_us;
    guint64 last_id;
};

static gint
item_compare(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    const timer_item_t *x = a;
    const timer_item_t *y = b;
    if (x->due_us != y->due_us) {
        return x->due_us < y->due_us ? -1 : 1;
    }
    return x->id < y->id ? -1 : x->id > y->id;
}

timers_t *
timers_create(gint64 now_us)
{
    timers_t *timers = g_new0(timers_t, 1);
    timers->queue = g_sequence_new(g_free);
    timers->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, NULL);
    timers->now_us = now_us;
    return timers;
}

void
timers_destroy(timers_t *timers)
{
    g_hash_table_unref(timers->by_id);
    g_sequence_free(timers->queue);
    g_free(timers);
}

static void
insert(timers_t *timers, timer_item_t *item)
{
    GSequenceIter *at =
        g_sequence_insert_sorted(timers->queue, item, item_compare, NULL);
    g_hash_table_insert(timers->by_id, &item->id, at);
}

guint64
timers_subscribe(timers_t *timers, gint64 delay_us, gint64 period_us,
                 timer_fn_t fn, void *data)
{
    timer_item_t *item = g_new0(timer_item_t, 1);
    *item = (timer_item_t){
        .id = ++timers->last_id,
        .due_us = timers->now_us + MAX(delay_us, 0),
        .period_us = period_us,
        .fn = fn,
        .data = data,
    };
    insert(timers, item);
    return item->id;
}

void
timers_cancel(timers_t *timers, guint64 id)
{
    GSequenceIter *at = g_hash_table_lookup(timers->by_id, &id);
    if (at == NULL) {
        return;
    }
    g_hash_table_remove(timers->by_id, &id);
    g_sequence_remove(at);
}

void
timers_set_now(timers_t *timers, gint64 now_us)
{
    timers->now_us = MAX(timers->now_us, now_us);
}

guint
timers_advance_some(timers_t *timers, gint64 now_us, guint most)
{
    guint ran = 0;
    timers_set_now(timers, now_us);
    while (ran < most) {
        GSequenceIter *first = g_sequence_get_begin_iter(timers->queue);
        if (g_sequence_iter_is_end(first)) {
            return ran;
        }
        timer_item_t item = *(timer_item_t *)g_sequence_get(first);
        if (item.due_us > now_us) {
            return ran;
        }
        g_hash_table_remove(timers->by_id, &item.id);
        g_sequence_remove(first);
        if (item.period_us > 0) {
            timer_item_t *again = g_new0(timer_item_t, 1);
            *again = item;
            /* A late tick is run once, not once for each period missed. */
            again->due_us =
                MAX(item.due_us + item.period_us, timers->now_us + 1);
            insert(timers, again);
        }
        item.fn(item.data);
        ran++;
    }
    return ran;
}

guint
timers_advance(timers_t *timers, gint64 now_us)
{
    return timers_advance_some(timers, MAX(now_us, timers->now_us), G_MAXUINT);
}

gint64
timers_next(const timers_t *timers)
{
    GSequenceIter *first = g_sequence_get_begin_iter(timers->queue);
    if (g_sequence_iter_is_end(first)) {
        return G_MAXINT64;
    }
    return ((const timer_item_t *)g_sequence_get(first))->due_us;
}

gint64
timers_now(const timers_t *timers)
{
    return timers->now_us;
}
