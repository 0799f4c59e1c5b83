#include "carobloom/gateway/helper_wire.h"

#include "carobloom/common/codec.h"

#define REQUEST_TYPE "(ssstb)"
#define INFO_TYPE "(ssst)"
#define ANSWER_TYPE "a" INFO_TYPE

GBytes *
helpers_request_write(const helpers_request_t *r)
{
    return codec_write(g_variant_new(REQUEST_TYPE, r->self.instance,
                                     r->self.address, r->self.data_centre,
                                     r->self.token, r->can_help));
}

gboolean
helpers_request_read(GBytes *bytes, helpers_request_t *r)
{
    *r = (helpers_request_t){0};
    GVariant *v = codec_read(bytes, REQUEST_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, REQUEST_TYPE, &r->self.instance, &r->self.address,
                  &r->self.data_centre, &r->self.token, &r->can_help);
    g_variant_unref(v);
    return TRUE;
}

void
helpers_request_clear(helpers_request_t *r)
{
    helper_info_clear(&r->self);
}

GBytes *
helpers_answer_write(const GPtrArray *infos)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(ANSWER_TYPE));
    for (guint i = 0; i < infos->len; i++) {
        const helper_info_t *info = infos->pdata[i];
        g_variant_builder_add(&b, INFO_TYPE, info->instance, info->address,
                              info->data_centre, info->token);
    }
    return codec_write(g_variant_builder_end(&b));
}

static void
info_clear(gpointer data)
{
    helper_info_clear(data);
}

GArray *
helpers_answer_read(GBytes *bytes)
{
    GVariant *list = codec_read(bytes, ANSWER_TYPE);
    GVariantIter iter;
    helper_info_t info;
    if (list == NULL) {
        return NULL;
    }
    if (g_variant_iter_init(&iter, list) > HELPERS_MAX) {
        g_variant_unref(list);
        return NULL;
    }
    GArray *infos = g_array_new(FALSE, FALSE, sizeof(helper_info_t));
    g_array_set_clear_func(infos, info_clear);
    while (g_variant_iter_next(&iter, INFO_TYPE, &info.instance, &info.address,
                               &info.data_centre, &info.token)) {
        g_array_append_val(infos, info);
    }
    g_variant_unref(list);
    return infos;
}
