#include "carobloom/policy/heap.h"

void
heap_init(heap_t *heap)
{
    heap->nodes = g_ptr_array_new();
}

void
heap_clear(heap_t *heap)
{
    g_ptr_array_unref(heap->nodes);
    heap->nodes = NULL;
}

static gboolean
node_before(const heap_node_t *a, const heap_node_t *b)
{
    return a->key < b->key || (a->key == b->key && a->tie < b->tie);
}

static void
set_node(heap_t *heap, gsize at, heap_node_t *node)
{
    heap->nodes->pdata[at] = node;
    node->index = (gssize)at;
}

static void
sift_up(heap_t *heap, gsize at, heap_node_t *node)
{
    while (at > 0) {
        heap_node_t *parent = heap->nodes->pdata[(at - 1) / 2];
        if (!node_before(node, parent)) {
            break;
        }
        set_node(heap, at, parent);
        at = (at - 1) / 2;
    }
    set_node(heap, at, node);
}

static void
sift_down(heap_t *heap, gsize at, heap_node_t *node)
{
    gsize count = heap->nodes->len;
    for (;;) {
        gsize child = 2 * at + 1;
        if (child >= count) {
            break;
        }
        if (child + 1 < count && node_before(heap->nodes->pdata[child + 1],
                                             heap->nodes->pdata[child])) {
            child++;
        }
        if (!node_before(heap->nodes->pdata[child], node)) {
            break;
        }
        set_node(heap, at, heap->nodes->pdata[child]);
        at = child;
    }
    set_node(heap, at, node);
}

void
heap_push(heap_t *heap, heap_node_t *node)
{
    g_ptr_array_add(heap->nodes, node);
    sift_up(heap, heap->nodes->len - 1, node);
}

void
heap_update(heap_t *heap, heap_node_t *node)
{
    gsize at = (gsize)node->index;
    sift_up(heap, at, node);
    sift_down(heap, (gsize)node->index, node);
}

void
heap_remove(heap_t *heap, heap_node_t *node)
{
    gsize at = (gsize)node->index;
    heap_node_t *last = heap->nodes->pdata[heap->nodes->len - 1];
    g_ptr_array_set_size(heap->nodes, (gint)heap->nodes->len - 1);
    node->index = -1;
    if (last == node) {
        return;
    }
    set_node(heap, at, last);
    heap_update(heap, last);
}

heap_node_t *
heap_peek(const heap_t *heap)
{
    return heap->nodes->len ? heap->nodes->pdata[0] : NULL;
}

guint
heap_size(const heap_t *heap)
{
    return heap->nodes->len;
}
