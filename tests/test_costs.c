/* What an instance spends as the fleet grows: counted at two sizes, not timed.
 * Each case fails when a cost of one instance grows with the number of
 * endpoints or of instances. */
#include "carobloom/policy/directory.h"
#include "check.h"
#include "leases.h"

enum {
    SMALL = 1000,  /* endpoints */
    LARGE = 10000, /* ten times as many */
};

static char *
endpoint_name(guint n)
{
    return g_strdup_printf("i-%08x", n * 2654435761u);
}

/* A directory that was told of so many endpoints of service "s". */
static directory_t *
directory_of(guint endpoints)
{
    directory_t *d = directory_create(drop_nothing);
    for (guint i = 0; i < endpoints; i++) {
        char *id = endpoint_name(i);
        char *address = g_strdup_printf("10.0.%u.%u:80", i / 256, i % 256);
        endpoint_lease_t lease = lease_of(id, 1, LEASE_READY);
        lease.address = address;
        directory_update(d, 0, &lease, 0);
        g_free(id);
        g_free(address);
    }
    return d;
}

/* ---- memory ---- */

enum {
    ENDPOINT_BYTES = 320, /* of one that never served */
    PART_BYTES = 2 * 1024 * 1024,
};

/* Bytes for prompt parts after each endpoint was sent `parts` of its own. */
static gsize
part_bytes(guint endpoints, guint parts)
{
    directory_t *d = directory_of(endpoints);
    const GPtrArray *list = directory_service(d, "s");
    gsize bytes = 0;
    for (guint i = 0; i < list->len; i++) {
        endpoint_t *e = list->pdata[i];
        for (guint64 part = 1; part <= parts; part++) {
            directory_note_part(d, e, part);
        }
        bytes += e->parts.count * sizeof(*e->parts.places);
    }
    directory_destroy(d);
    return bytes;
}

static void
test_memory(void)
{
    CU_ASSERT(sizeof(endpoint_t) <= ENDPOINT_BYTES);
    CU_ASSERT_EQUAL(part_bytes(SMALL, 0), 0);
    CU_ASSERT(part_bytes(SMALL, 1000) <= PART_BYTES);
    CU_ASSERT(part_bytes(LARGE, 1000) <= PART_BYTES);
}

/* With few endpoints as many parts are remembered of each as ever. */
static void
test_memory_of_few(void)
{
    CU_ASSERT_EQUAL(part_bytes(200, 1000), 200 * 512 * sizeof(guint64));
}

static const test_case_t CASES[] = {
    {"memory for prompt parts is bounded", test_memory},
    {"few endpoints: all parts are remembered", test_memory_of_few},
};

CHECK_MAIN("costs", CASES)
