/* Intrusive, indexed binary heap: the node with the lowest key first, equal
 * keys by the lowest `tie`. */
#ifndef CAROBLOOM_POLICY_HEAP_H
#define CAROBLOOM_POLICY_HEAP_H

#include <glib.h>

/* First member of a struct that is kept in a heap. `index` is the position in
 * the heap, -1 outside. */
typedef struct {
    double key;
    guint64 tie;
    gssize index;
} heap_node_t;

typedef struct {
    GPtrArray *nodes;
} heap_t;

/* Creates and frees an empty heap. The nodes are owned by the caller. */
void heap_init(heap_t *heap);
void heap_clear(heap_t *heap);
void heap_push(heap_t *heap, heap_node_t *node);
/* Moves `node` to its position after its key changed. */
void heap_update(heap_t *heap, heap_node_t *node);
void heap_remove(heap_t *heap, heap_node_t *node);
/* The first node, NULL if the heap is empty. */
heap_node_t *heap_peek(const heap_t *heap);
guint heap_size(const heap_t *heap);

#endif
