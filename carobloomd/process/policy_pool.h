/* Private to the policy task: one pool that this instance owns. */
#ifndef CAROBLOOMD_PROCESS_POLICY_POOL_H
#define CAROBLOOMD_PROCESS_POLICY_POOL_H

#include <jansson.h>

#include "carobloom/process/messages.h"
#include "carobloom/process/wire.h"

/* An endpoint of an owned pool. */
typedef struct {
    guint64 id;
    endpoint_info_t info;
    gint64 seen_us;
} endpoint_record_t;

typedef struct {
    guint64 id; /* hash of its name */
    char *name; /* known once an endpoint announced it */
    scheduler_t *scheduler;
    GHashTable *endpoints; /* id -> endpoint_record_t */
    gint64 owned_us;
} pool_t;

pool_t *pool_create(guint64 id, const document_t *document, gint64 now_us);
void pool_destroy(pool_t *pool);
/* Takes a full announcement. */
void pool_endpoint_put(pool_t *pool, endpoint_info_t *info, gint64 now_us);
/* Takes a load delta; FALSE when the endpoint is not known here. */
gboolean pool_endpoint_load(pool_t *pool, const wire_load_t *load,
                            gint64 now_us);
void pool_endpoint_leave(pool_t *pool, guint64 id);
/* Removes endpoints silent for three intervals; returns how many. */
guint pool_expire(pool_t *pool, gint64 now_us);
json_t *pool_dump(const pool_t *pool, const document_t *document);

#endif
