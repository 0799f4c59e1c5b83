#include "soak_parts.h"

enum { FIRST_PARTS = 3, MIDDLE_PARTS = 8, BAD_PART = 0xbad };

static char *
field(guint first, guint middle, guint last)
{
    return g_strdup_printf("Prompt-Prefix: f%u:120,%x:80,%x:30\r\n", first,
                           middle, last);
}

char *
soak_parts_sound(GRand *random)
{
    return field((guint)g_rand_int_range(random, 0, FIRST_PARTS),
                 (guint)g_rand_int_range(random, 1, MIDDLE_PARTS + 1),
                 g_rand_int(random));
}

char *
soak_parts_bad(guint number)
{
    return field(number % FIRST_PARTS, BAD_PART, number);
}
