#include <stdio.h>

#include "carobloom/common/fields.h"
#include "carobloom/common/jsonc.h"
#include "carobloom/version/document.h"
#include "command.h"

/* Checks a site document in a file, with the place of each fault. */
result_t
command_check(const context_t *context)
{
    if (context->argc != 1) {
        return result_error(2, "check: needs the FILE of a site document");
    }
    const char *path = context->argv[0];
    char *text = NULL;
    gsize length = 0;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, &length, &error)) {
        result_t result = result_error(2, "%s", error->message);
        g_error_free(error);
        return result;
    }
    str_t all = {.data = text, .length = length};
    GPtrArray *faults = faults_create();
    document_t *document = document_parse(all, 1, faults);
    for (guint i = 0; i < faults->len; i++) {
        const fault_t *fault = faults->pdata[i];
        printf("%s:%d: %s%s%s\n", path, jsonc_line(all, fault->path),
               fault->path, *fault->path ? ": " : "", fault->text);
    }
    gboolean ok = document != NULL;
    if (ok) {
        printf("%s: no faults, %u classes\n", path,
               document_class_count(document));
    }
    guint count = faults->len;
    document_unref(document);
    faults_destroy(faults);
    g_free(text);
    return ok ? RESULT_OK : result_error(1, "%u faults", count);
}
