/* An intrusive, indexed binary heap: least key first, ties by `tie`. */
#ifndef CAROBLOOM_POLICY_HEAP_H
#define CAROBLOOM_POLICY_HEAP_H

#include <glib.h>

/* The first member of what is kept in a heap. `index` is -1 outside. */
typedef struct {
    double key;
    guint64 tie;
    gssize index;
} heap_node_t;

typedef struct {
    GPtrArray *nodes;
} heap_t;

void heap_init(heap_t *heap);
void heap_clear(heap_t *heap);
void heap_push(heap_t *heap, heap_node_t *node);
/* Puts `node` right after its key changed. */
void heap_update(heap_t *heap, heap_node_t *node);
void heap_remove(heap_t *heap, heap_node_t *node);
heap_node_t *heap_peek(const heap_t *heap);
guint heap_size(const heap_t *heap);

#endif
