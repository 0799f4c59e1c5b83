#include "carobloom/gateway/leaving_wire.h"

#include "carobloom/common/codec.h"

#define REPORT_TYPE "a(sx)"

static void
incarnation_clear(gpointer incarnation)
{
    g_free(((incarnation_t *)incarnation)->endpoint);
}

GArray *
incarnations_create(void)
{
    GArray *incarnations = g_array_new(FALSE, FALSE, sizeof(incarnation_t));
    g_array_set_clear_func(incarnations, incarnation_clear);
    return incarnations;
}

void
incarnations_add(GArray *incarnations, const char *endpoint, gint64 started_ms)
{
    incarnation_t incarnation = {.endpoint = g_strdup(endpoint),
                                 .started_ms = started_ms};
    g_array_append_val(incarnations, incarnation);
}

GBytes *
leaving_report_write(const GArray *incarnations)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(REPORT_TYPE));
    for (guint i = 0; i < incarnations->len; i++) {
        const incarnation_t *incarnation =
            &g_array_index(incarnations, incarnation_t, i);
        g_variant_builder_add(&b, "(sx)", incarnation->endpoint,
                              incarnation->started_ms);
    }
    return codec_write(g_variant_builder_end(&b));
}

GArray *
leaving_report_read(GBytes *bytes)
{
    GVariant *list = codec_read(bytes, REPORT_TYPE);
    if (list == NULL) {
        return NULL;
    }
    GVariantIter iter;
    const char *endpoint;
    gint64 started_ms;
    GArray *incarnations = incarnations_create();
    gboolean valid = g_variant_iter_init(&iter, list) <= LEAVING_REPORT_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(&sx)", &endpoint, &started_ms)) {
        incarnations_add(incarnations, endpoint, started_ms);
    }
    if (!valid) {
        g_clear_pointer(&incarnations, g_array_unref);
    }
    g_variant_unref(list);
    return incarnations;
}
