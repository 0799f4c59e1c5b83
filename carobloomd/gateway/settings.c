#include "carobloom/gateway/settings.h"

#include "carobloom/common/fields.h"
#include "carobloom/common/jsonc.h"
#include "carobloom/process/settings.h"
#include "platform.h"

enum { NAME_BYTES_MAX = 128 };

typedef struct {
    gateway_settings_t settings;
    json_t *gateway;
} root_t;

#define ROOT_FIELD(k, t, m, ...)                                              \
    {                                                                         \
        .key = #k, .type = t, .offset = offsetof(root_t, m), __VA_ARGS__      \
    }
#define GATEWAY_FIELD(k, t, ...)                                              \
    {                                                                         \
        .key = #k, .type = t, .offset = offsetof(gateway_settings_t, k),      \
        __VA_ARGS__                                                           \
    }

static const char *const CAPACITY_MODES[] = {"model", "off", "share", NULL};

static const field_t ROOT_FIELDS[] = {
    ROOT_FIELD(instance, FIELD_STRING, settings.instance, .required = TRUE,
               .min = 1, .max = NAME_BYTES_MAX),
    ROOT_FIELD(data_centre, FIELD_STRING, settings.data_centre,
               .required = TRUE, .min = 1, .max = NAME_BYTES_MAX),
    ROOT_FIELD(region, FIELD_STRING, settings.region, .max = NAME_BYTES_MAX,
               .fallback = "default"),
    ROOT_FIELD(data_folder, FIELD_STRING, settings.data_folder, .max = 4096),
    ROOT_FIELD(gateway, FIELD_JSON, gateway, .required = TRUE),
};

static const field_t GATEWAY_FIELDS[] = {
    GATEWAY_FIELD(address, FIELD_STRING, .required = TRUE, .min = 1,
                  .max = 64),
    GATEWAY_FIELD(bind, FIELD_STRING, .max = 64),
    GATEWAY_FIELD(callers, FIELD_STRING, .max = 64),
    GATEWAY_FIELD(probe, FIELD_STRING, .max = 64),
    GATEWAY_FIELD(control, FIELD_STRING, .max = 64),
    GATEWAY_FIELD(metrics, FIELD_STRING, .max = 64),
    GATEWAY_FIELD(trusted_network, FIELD_BOOL, .fallback = "false"),
    GATEWAY_FIELD(founding, FIELD_BOOL, .fallback = "false"),
    GATEWAY_FIELD(peers_port, FIELD_INT, .required = TRUE, .min = 0,
                  .max = 65535),
    GATEWAY_FIELD(seeds, FIELD_STRINGS, .required = TRUE, .max = 16),
    GATEWAY_FIELD(disk_losses, FIELD_INT, .min = 0, .max = 100,
                  .fallback = "1"),
    GATEWAY_FIELD(memory_mb, FIELD_NUMBER, .min = 32, .max = 1e6,
                  .fallback = "256"),
    GATEWAY_FIELD(descriptors, FIELD_NUMBER, .min = 64, .max = 1e6,
                  .fallback = "4096"),
    GATEWAY_FIELD(heartbeat_ms, FIELD_NUMBER, .min = 50, .max = 60000,
                  .fallback = "1000"),
    GATEWAY_FIELD(grace_s, FIELD_NUMBER, .min = 0.5, .max = 3600,
                  .fallback = "8"),
    GATEWAY_FIELD(revoke_ms, FIELD_NUMBER, .min = 0, .max = 3600000,
                  .fallback = "0"),
    GATEWAY_FIELD(retry_ratio, FIELD_NUMBER, .min = 0, .max = 10,
                  .fallback = "0.2"),
    GATEWAY_FIELD(retry_window_s, FIELD_NUMBER, .min = 0.1, .max = 3600,
                  .fallback = "10"),
    GATEWAY_FIELD(retry_slack, FIELD_NUMBER, .min = 0, .max = 100000,
                  .fallback = "10"),
    GATEWAY_FIELD(crash_memory_s, FIELD_NUMBER, .min = 10, .max = 86400,
                  .fallback = "600"),
    GATEWAY_FIELD(platform, FIELD_STRING, .max = 64),
    GATEWAY_FIELD(duties, FIELD_STRINGS, .max = 16),
    GATEWAY_FIELD(duty_lease_ms, FIELD_NUMBER, .min = 0, .max = 600000,
                  .fallback = "3000"),
    GATEWAY_FIELD(duty_calls_per_s, FIELD_NUMBER, .min = 0.1, .max = 100000,
                  .fallback = "10"),
    GATEWAY_FIELD(usage_window_s, FIELD_NUMBER, .min = 0.1, .max = 86400,
                  .fallback = "60"),
    GATEWAY_FIELD(usage_due_s, FIELD_NUMBER, .min = 0.1, .max = 86400,
                  .fallback = "60"),
    GATEWAY_FIELD(capacity, FIELD_STRING, .choices = CAPACITY_MODES, .min = 1,
                  .max = 16, .fallback = "model"),
    GATEWAY_FIELD(capacity_floor, FIELD_NUMBER, .min = 0, .max = 100000,
                  .fallback = "1"),
    GATEWAY_FIELD(capacity_ceiling, FIELD_NUMBER, .min = 0, .max = 100000,
                  .fallback = "0"),
    GATEWAY_FIELD(capacity_reclaimable, FIELD_NUMBER, .min = 0, .max = 1,
                  .fallback = "1"),
};

gboolean
gateway_settings_is(str_t text)
{
    json_t *root = jsonc_parse(text, &(jsonc_error_t){0});
    gboolean is = json_object_get(root, "gateway") != NULL;
    json_decref(root);
    return is;
}

static void
check_listener(const char *key, const char *address, GPtrArray *faults)
{
    char *host = NULL;
    guint16 port;
    if (address != NULL && *address != '\0' &&
        !address_parse(address, &host, &port)) {
        faults_add(faults, "gateway", key, "must be IP:PORT");
    }
    g_free(host);
}

static void
check_duties(const gateway_settings_t *s, GPtrArray *faults)
{
    duty_set_t duties;
    if (platform_duties_decode(s->duties, &duties) != PLATFORM_OK) {
        faults_add(faults, "gateway", "duties", "contains an unknown duty");
    }
    if (duties.any && (s->platform == NULL || *s->platform == '\0')) {
        faults_add(faults, "gateway", "platform",
                   "is required when duties are set");
    }
}

/* Checks what depends on more than one setting. */
static void
check_combinations(const gateway_settings_t *s, GPtrArray *faults)
{
    gboolean entry = s->callers != NULL && *s->callers != '\0';
    gboolean control = s->control != NULL && *s->control != '\0';
    check_listener("callers", s->callers, faults);
    check_listener("probe", s->probe, faults);
    check_listener("control", s->control, faults);
    check_listener("metrics", s->metrics, faults);
    check_listener("platform", s->platform, faults);
    check_duties(s, faults);
    if (!entry && !control) {
        faults_add(faults, "gateway", NULL,
                   "needs \"callers\" or \"control\"");
    }
    if (control && (s->data_folder == NULL || *s->data_folder == '\0')) {
        faults_add(faults, NULL, "data_folder",
                   "a control instance needs a folder");
    }
    if (!s->trusted_network && s->address != NULL &&
        !g_str_has_prefix(s->address, "127.")) {
        faults_add(faults, "gateway", "trusted_network",
                   "must be true when the address is not loopback: "
                   "instances communicate in plain text");
    }
}

int
gateway_settings_parse(str_t text, gateway_settings_t **settings,
                       GPtrArray *faults)
{
    jsonc_error_t error;
    *settings = NULL;
    json_t *json = jsonc_parse(text, &error);
    if (json == NULL) {
        faults_add(faults, NULL, NULL, "line %d, column %d: %s", error.line,
                   error.column, error.text);
        return GATEWAY_SETTINGS_ERROR_FAULTS;
    }
    root_t root = {0};
    fields_read(json, "", ROOT_FIELDS, G_N_ELEMENTS(ROOT_FIELDS), &root,
                faults);
    if (root.gateway != NULL) {
        fields_read(root.gateway, "gateway", GATEWAY_FIELDS,
                    G_N_ELEMENTS(GATEWAY_FIELDS), &root.settings, faults);
        check_combinations(&root.settings, faults);
    }
    json_decref(root.gateway);
    json_decref(json);
    gateway_settings_t *s = g_memdup2(&root.settings, sizeof(root.settings));
    if (faults->len > 0) {
        faults_add_lines(faults, text);
        gateway_settings_destroy(s);
        return GATEWAY_SETTINGS_ERROR_FAULTS;
    }
    *settings = s;
    return GATEWAY_SETTINGS_OK;
}

int
gateway_settings_load(const char *path, gateway_settings_t **settings,
                      GPtrArray *faults)
{
    gsize length = 0;
    char *text = faults_read_file(path, &length, faults);
    if (text == NULL) {
        return GATEWAY_SETTINGS_ERROR_READ;
    }
    int result = gateway_settings_parse(
        (str_t){.data = text, .length = length}, settings, faults);
    g_free(text);
    return result;
}

char *
gateway_settings_inner_listener(const gateway_settings_t *s)
{
    const char *ip =
        s->bind != NULL && *s->bind != '\0' ? s->bind : s->address;
    return g_strdup_printf("%s:%d", ip, (int)s->peers_port);
}

repeat_limits_t
gateway_settings_repeat_limits(const gateway_settings_t *s)
{
    return (repeat_limits_t){
        .window_us = (gint64)(s->retry_window_s * G_USEC_PER_SEC),
        .ratio = s->retry_ratio,
        .slack = s->retry_slack,
    };
}

void
gateway_settings_destroy(gateway_settings_t *s)
{
    root_t root = {.settings = *s};
    fields_clear(ROOT_FIELDS, G_N_ELEMENTS(ROOT_FIELDS), &root);
    fields_clear(GATEWAY_FIELDS, G_N_ELEMENTS(GATEWAY_FIELDS), s);
    g_free(s);
}
