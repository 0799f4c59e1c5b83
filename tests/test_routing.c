/* Decisions of the routing gateway without a socket or a clock (routes and
 * repeats), and the formats of the platform. */
#include <math.h>
#include <string.h>

#include "../carobloomd/gateway/event_stream.h"
#include "carobloom/common/fields.h"
#include "carobloom/gateway/settings.h"
#include "carobloom/gateway/sync_wire.h"
#include "carobloom/http/reader.h"
#include "carobloom/policy/directory.h"
#include "carobloom/policy/instance_count.h"
#include "carobloom/version/route_config.h"
#include "carobloom/version/text_delta.h"
#include "check.h"
#include "leases.h"
#include "platform.h"

enum { SECOND = 1000000 };

/* ---- the configuration ---- */

#define SERVICES                                                              \
    "\"Services\":[{\"Name\":\"a\",\"HealthPath\":\"/h\",\"Engine\":"         \
    "{\"Slots\":4}},{\"Name\":\"b\"}]"
#define ROUTE(prefix, more)                                                   \
    "{\"Name\":\"r\",\"Host\":\"H.example\",\"PathPrefix\":\"" prefix "\","   \
    "\"Kind\":\"safe\",\"TimeoutMs\":100" more "}"

typedef struct {
    const char *name;
    const char *text;
    const char *fault; /* text of the error; NULL: valid */
} config_case_t;

static const config_case_t CONFIG_CASES[] = {
    {"sound",
     "{\"Version\":3," SERVICES
     ",\"Routes\":[" ROUTE("/x/", ",\"Service\":\"a\"") "]}",
     NULL},
    {"split",
     "{\"Version\":3," SERVICES ",\"Routes\":[" ROUTE(
         "/x/", ",\"Split\":[{\"Service\":\"a\",\"Weight\":0},"
                "{\"Service\":\"b\",\"Weight\":2}]") "]}",
     NULL},
    {"cut short", "{\"Version\":3," SERVICES ",\"Rou", "line 1"},
    {"not an object", "[]", "an object is required"},
    {"no version", "{" SERVICES ",\"Routes\":[]}", "Version"},
    {"no routes", "{\"Version\":3," SERVICES "}", "Routes"},
    {"unknown service",
     "{\"Version\":3," SERVICES
     ",\"Routes\":[" ROUTE("/x/", ",\"Service\":\"c\"") "]}",
     "there is no service c"},
    {"same place",
     "{\"Version\":3," SERVICES
     ",\"Routes\":[" ROUTE("/x/", ",\"Service\":\"a\"") "," ROUTE(
         "/x/", ",\"Service\":\"b\"") "]}",
     "there twice"},
    {"no weight",
     "{\"Version\":3," SERVICES ",\"Routes\":[" ROUTE(
         "/x/", ",\"Split\":[{\"Service\":\"a\",\"Weight\":0}]") "]}",
     "add up to 0"},
    {"no timeout",
     "{\"Version\":3," SERVICES ",\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
     "\"PathPrefix\":\"/x/\",\"Service\":\"a\",\"TimeoutMs\":0}]}",
     "timeout"},
    {"a prefix without a slash",
     "{\"Version\":3," SERVICES
     ",\"Routes\":[" ROUTE("/x", ",\"Service\":\"a\"") "]}",
     "slash"},
    {"shared key",
     "{\"Version\":3," SERVICES ",\"Routes\":[],\"Tenants\":["
     "{\"Name\":\"t\",\"ApiKeys\":[\"k\"]},"
     "{\"Name\":\"u\",\"ApiKeys\":[\"k\"]}]}",
     "shares a key"},
    {"a negative timeout",
     "{\"Version\":3," SERVICES ",\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
     "\"PathPrefix\":\"/x/\",\"Service\":\"a\",\"TimeoutMs\":-1}]}",
     "Routes.0.TimeoutMs"},
};

static void
test_config_faults(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(CONFIG_CASES); i++) {
        const config_case_t *c = &CONFIG_CASES[i];
        route_config_t *config;
        char *fault = NULL;
        int result =
            platform_config_decode(str_from_cstr(c->text), &config, &fault);
        if ((result == PLATFORM_OK) != (c->fault == NULL)) {
            printf("%s: %s\n", c->name, fault ? fault : "sound");
        }
        CU_ASSERT_EQUAL(result == PLATFORM_OK, c->fault == NULL);
        CU_ASSERT(c->fault == NULL ||
                  (fault != NULL && strstr(fault, c->fault) != NULL));
        g_free(fault);
        g_clear_pointer(&config, route_config_unref);
    }
}

typedef struct {
    const char *name;
    const char *scale;
    guint data_centres;
    guint min_engines;
    guint max_engines;
    double reclaimable_price;
} offer_case_t;

static const offer_case_t OFFER_CASES[] = {
    {"whole",
     "{\"Min\":1,\"Max\":60,\"BootS\":4.0,\"SpotPrice\":0.22,"
     "\"ZonePrices\":{\"za\":1.0,\"zb\":0.8}}",
     2, 1, 60, 0.22},
    {"one price",
     "{\"Min\":2,\"Max\":9,\"BootS\":4,\"ZonePrices\":{\"za\":1}}", 1, 2, 9,
     0},
    {"none", "null", 0, 0, 0, 0},
    {"nothing allowed", "{\"Max\":0,\"ZonePrices\":{\"za\":1}}", 0, 0, 0, 0},
    {"a maximum as text", "{\"Max\":\"9\",\"ZonePrices\":{\"za\":1}}", 0, 0, 0,
     0},
    {"prices that are none", "{\"Max\":9,\"ZonePrices\":{\"za\":\"x\"}}", 0, 0,
     9, 0},
    {"minimum above the maximum",
     "{\"Min\":20,\"Max\":9,\"ZonePrices\":{\"za\":1}}", 1, 9, 9, 0},
};

/* Guards against a configuration that is refused for its offer of engines: an
 * unusable offer is left out, and the configuration stays valid. */
static void
test_engine_offers(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(OFFER_CASES); i++) {
        const offer_case_t *c = &OFFER_CASES[i];
        char *text = g_strdup_printf(
            "{\"Version\":3,\"Services\":[{\"Name\":\"a\",\"Scale\":%s}],"
            "\"Routes\":[]}",
            c->scale);
        route_config_t *config = NULL;
        char *fault = NULL;
        CU_ASSERT_EQUAL(
            platform_config_decode(str_from_cstr(text), &config, &fault),
            PLATFORM_OK);
        const engine_offer_t *offer =
            &route_config_service(config, "a")->offer;
        guint data_centres = offer->places != NULL ? offer->places->len : 0;
        if (data_centres != c->data_centres || offer->most != c->max_engines) {
            printf("%s: %u data centres\n", c->name, data_centres);
        }
        CU_ASSERT_EQUAL(data_centres, c->data_centres);
        CU_ASSERT_EQUAL(offer->least, c->min_engines);
        CU_ASSERT_EQUAL(offer->most, c->max_engines);
        CU_ASSERT_EQUAL(offer->reclaimable_price, c->reclaimable_price);
        route_config_unref(config);
        g_free(text);
    }
}

/* ---- calls to the platform ---- */

static void
test_duty_calls(void)
{
    duty_stamp_t stamp = {
        .host = "10.0.0.9:80", .holder = "core-1", .token = 12};
    usage_window_t *w = usage_window_create(353445120);
    usage_window_add(w, "t", 412);
    GString *usage = platform_usage_encode(&stamp, w);
    CU_ASSERT_PTR_NOT_NULL(strstr(usage->str, "POST /usage HTTP/1.1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(usage->str, "Duty-Holder: core-1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(usage->str, "Fencing-Token: 12\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(
        usage->str, "\r\n\r\n{\"Window\":353445120,\"Counts\":{\"t\":412}}"));
    engine_order_t order = {
        .service = "a", .data_centre = "za", .count = 6, .reclaimable = TRUE};
    GString *scale = platform_order_encode(&stamp, &order);
    CU_ASSERT_PTR_NOT_NULL(strstr(scale->str,
                                  "{\"Service\":\"a\",\"Zone\":\"za\","
                                  "\"Desired\":6,\"Spot\":true}"));
    order.reclaimable = FALSE;
    g_string_free(scale, TRUE);
    scale = platform_order_encode(&stamp, &order);
    CU_ASSERT_PTR_NULL(strstr(scale->str, "Spot"));
    g_string_free(scale, TRUE);
    g_string_free(usage, TRUE);
    usage_window_free(w);
    char *const sound[] = {"metering", "autoscale", NULL};
    char *const unknown[] = {"metering", "sing", NULL};
    duty_set_t set;
    CU_ASSERT_EQUAL(platform_duties_decode(sound, &set), PLATFORM_OK);
    CU_ASSERT(set.any && set.usage && set.capacity);
    CU_ASSERT_EQUAL(platform_duties_decode(NULL, &set), PLATFORM_OK);
    CU_ASSERT_FALSE(set.any);
    CU_ASSERT_EQUAL(platform_duties_decode(unknown, &set),
                    PLATFORM_ERROR_FIELD);
}

static route_config_t *
sample_config(void)
{
    static const char TEXT[] =
        "{\"Version\":9," SERVICES ",\"Routes\":["
        "{\"Name\":\"short\",\"Host\":\"h.example\",\"PathPrefix\":\"/x/\","
        "\"Kind\":\"safe\",\"TimeoutMs\":100,\"Service\":\"a\"},"
        "{\"Name\":\"long\",\"Host\":\"h.example\",\"PathPrefix\":\"/x/y/\","
        "\"Kind\":\"stream\",\"Resumable\":true,\"TimeoutMs\":100,"
        "\"Split\":[{\"Service\":\"a\",\"Weight\":3},"
        "{\"Service\":\"b\",\"Weight\":1}]},"
        "{\"Name\":\"once\",\"Host\":\"o.example\",\"PathPrefix\":\"/\","
        "\"Kind\":\"unsafe\",\"Public\":true,\"TimeoutMs\":100,"
        "\"Service\":\"b\"}],"
        "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k1\",\"k2\"],"
        "\"Priority\":1}]}";
    route_config_t *config = NULL;
    char *fault = NULL;
    platform_config_decode(str_from_cstr(TEXT), &config, &fault);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    return config;
}

typedef struct {
    const char *host;
    const char *target;
    const char *route; /* NULL: no match */
} match_case_t;

static const match_case_t MATCH_CASES[] = {
    {"h.example", "/x/1", "short"},    {"H.Example:80", "/x/", "short"},
    {"h.example", "/x/y/1", "long"},   {"h.example", "/x/y", "short"},
    {"h.example", "/x/yy/1", "short"}, {"h.example", "/x?a=/y/", NULL},
    {"h.example", "/", NULL},          {"o.example", "/any/where", "once"},
    {"h.exampl", "/x/1", NULL},        {"", "/x/1", NULL},
};

static void
test_match(void)
{
    route_config_t *config = sample_config();
    for (gsize i = 0; i < G_N_ELEMENTS(MATCH_CASES); i++) {
        const match_case_t *c = &MATCH_CASES[i];
        const route_t *route = route_config_match(
            config, str_from_cstr(c->host), str_from_cstr(c->target));
        CU_ASSERT_EQUAL(route != NULL, c->route != NULL);
        if (route != NULL && c->route != NULL) {
            CU_ASSERT_STRING_EQUAL(route->name, c->route);
        }
    }
    CU_ASSERT_PTR_NOT_NULL(route_config_team(config, STR("k2")));
    CU_ASSERT_PTR_NULL(route_config_team(config, STR("k3")));
    CU_ASSERT_PTR_NULL(route_config_team(config, STR("k2\0x")));
    CU_ASSERT_PTR_NULL(route_config_team(config, (str_t){0}));
    route_config_unref(config);
}

static void
test_shares_and_kinds(void)
{
    route_config_t *config = sample_config();
    const route_t *split = config->routes->pdata[1];
    guint to_a = 0;
    for (guint draw = 0; draw < split->weight_sum; draw++) {
        to_a += strcmp(route_pick(split, draw), "a") == 0;
    }
    CU_ASSERT_EQUAL(to_a, 3);
    CU_ASSERT_EQUAL(split->weight_sum, 4);
    CU_ASSERT(route_repeatable(config->routes->pdata[0]));
    CU_ASSERT(route_repeatable(split));
    CU_ASSERT_FALSE(route_repeatable(config->routes->pdata[2]));
    route_config_unref(config);
}

/* ---- settings ---- */

#define PARTS "\"address\":\"127.0.0.1\",\"peers_port\":7,\"seeds\":[]"

typedef struct {
    const char *name;
    const char *text;
    const char *fault; /* text of the error; NULL: valid */
} settings_case_t;

static const settings_case_t SETTINGS_CASES[] = {
    {"entry",
     "{\"instance\":\"e\",\"data_centre\":\"d\",\"gateway\":{" PARTS
     ",\"callers\":\"127.0.0.1:1\",\"probe\":\"127.0.0.1:2\"}}",
     NULL},
    {"no role",
     "{\"instance\":\"e\",\"data_centre\":\"d\",\"gateway\":{" PARTS "}}",
     "needs"},
    {"control without a folder",
     "{\"instance\":\"e\",\"data_centre\":\"d\",\"gateway\":{" PARTS
     ",\"control\":\"127.0.0.1:1\"}}",
     "needs a folder"},
    {"not trusted",
     "{\"instance\":\"e\",\"data_centre\":\"d\",\"gateway\":{"
     "\"address\":\"10.0.0.1\",\"peers_port\":7,\"seeds\":[],"
     "\"callers\":\"127.0.0.1:1\"}}",
     "plain text"},
    {"an address that is none",
     "{\"instance\":\"e\",\"data_centre\":\"d\",\"gateway\":{" PARTS
     ",\"callers\":\"somewhere\"}}",
     "IP:PORT"},
    {"an unknown key",
     "{\"instance\":\"e\",\"data_centre\":\"d\",\"gateway\":{" PARTS
     ",\"calers\":\"127.0.0.1:1\"}}",
     "unknown key"},
    {"cut short", "{\"instance\":\"e\",", "line 1"},
};

static void
test_settings(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(SETTINGS_CASES); i++) {
        const settings_case_t *c = &SETTINGS_CASES[i];
        GPtrArray *faults = faults_create();
        gateway_settings_t *settings = NULL;
        gateway_settings_parse(str_from_cstr(c->text), &settings, faults);
        gboolean found = FALSE;
        for (guint j = 0; j < faults->len; j++) {
            const fault_t *fault = faults->pdata[j];
            found |= c->fault != NULL && strstr(fault->text, c->fault);
        }
        if ((settings != NULL) != (c->fault == NULL) ||
            (c->fault != NULL && !found)) {
            printf("%s\n", c->name);
        }
        CU_ASSERT_EQUAL(settings != NULL, c->fault == NULL);
        CU_ASSERT(c->fault == NULL || found);
        if (settings != NULL) {
            gateway_settings_destroy(settings);
        }
        faults_destroy(faults);
    }
}

static void
test_sample_settings(void)
{
    GPtrArray *faults = faults_create();
    gateway_settings_t *settings = NULL;
    CU_ASSERT_EQUAL(gateway_settings_load(SOURCE_ROOT "/samples/gateway.jsonc",
                                          &settings, faults),
                    GATEWAY_SETTINGS_OK);
    CU_ASSERT_EQUAL(faults->len, 0);
    CU_ASSERT_PTR_NOT_NULL(settings);
    if (settings != NULL) {
        CU_ASSERT_DOUBLE_EQUAL(settings->revoke_ms, 5000, 0.1);
        gateway_settings_destroy(settings);
    }
    faults_destroy(faults);
}

/* ---- requests ---- */

static int
ignore_head(void *user)
{
    (void)user;
    return 0;
}

static int
ignore_body(void *user, str_t bytes)
{
    (void)user;
    (void)bytes;
    return 0;
}

static const reader_ops_t IGNORE_OPS = {.head = ignore_head,
                                        .body = ignore_body};

static void
read_head(http_reader_t *reader, const char *text)
{
    gsize used;
    http_reader_init(reader, TRUE, 4096, &IGNORE_OPS, NULL);
    CU_ASSERT_EQUAL(http_reader_feed(reader, str_from_cstr(text), &used),
                    READER_OK);
    CU_ASSERT(reader->complete);
}

typedef struct {
    const char *name;
    const char *fields;
    guint count;
    guint64 last;
} prompt_case_t;

static const prompt_case_t PROMPTS[] = {
    {"none", "Model: m\r\n", 0, 0},
    {"one", "Prompt-Prefix: 5c1e07a2:800\r\n", 1, 0x5c1e07a2},
    {"upper case, spaces", "Prompt-Prefix: a:1, B:2,0C:3\r\n", 3, 0xc},
    {"malformed after the second", "Prompt-Prefix: a:1,b:2,x\r\n", 2, 0xb},
    {"two fields", "Prompt-Prefix: a:1\r\nPrompt-Prefix: b:2\r\n", 2, 0xb},
    {"more than placement looks at",
     "Prompt-Prefix: 1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1,9:1,a:1,b:1,c:1,d:1,e:1,"
     "f:1,10:1,11:1,12:1\r\n",
     18, 0x12},
};

static void
test_prompt_parts(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(PROMPTS); i++) {
        const prompt_case_t *c = &PROMPTS[i];
        http_reader_t reader;
        char *text =
            g_strdup_printf("GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", c->fields);
        read_head(&reader, text);
        GArray *ids = platform_request_part_ids(&reader.head);
        guint count = ids != NULL ? ids->len : 0;
        if (count != c->count) {
            printf("%s: %u parts\n", c->name, count);
        }
        CU_ASSERT_EQUAL(count, c->count);
        CU_ASSERT(count == 0 ||
                  g_array_index(ids, guint64, count - 1) == c->last);
        g_clear_pointer(&ids, g_array_unref);
        http_reader_clear(&reader);
        g_free(text);
    }
}

/* Guards against forged fields. Fields that a client may not set are not
 * forwarded; its other fields are. */
static void
test_request_fields(void)
{
    http_reader_t reader;
    read_head(&reader,
              "POST /x/1?q=2 HTTP/1.1\r\nHost: h.example\r\n"
              "Request-Id: abc\r\nAuthorization: Bearer secret\r\n"
              "Deadline-Ms: 900\r\nTenant: forged\r\nHold: 1\r\n"
              "Pin-Ms: 9\r\nKv-From: 1.2.3.4:5/x\r\nKv-Backup: y\r\n"
              "Kv-Fetch: 6.6.6.6:6\r\n"
              "Request-Priority: 0\r\nExpect-Instance: other\r\n"
              "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Own: 2\r\n"
              "Prompt-Prefix: 5c1e07a2:800, 91bd3f06:410\r\n"
              "Token-Counts: 1460,80\r\nModel: m\r\n"
              "Content-Length: 0\r\n\r\n");
    request_info_t info;
    platform_request_decode(&reader.head, &info);
    CU_ASSERT(str_equal(info.id, STR("abc")));
    CU_ASSERT(str_equal(info.key, STR("secret")));
    CU_ASSERT_EQUAL(info.deadline_ms, 900);
    CU_ASSERT_EQUAL(info.prompt_tokens, 1460);
    CU_ASSERT_EQUAL(info.part_count, 2);
    CU_ASSERT_EQUAL(info.parts[1].id, 0x91bd3f06);
    CU_ASSERT_EQUAL(info.parts[1].tokens, 410);
    forward_info_t forward = {.deadline_ms = 500,
                              .instance = "i-1",
                              .team = "t",
                              .priority = 3,
                              .fetch_from = "10.0.0.9:80"};
    GString *bytes =
        platform_request_encode(&reader.head, STR("body"), &forward);
    CU_ASSERT(g_str_has_prefix(bytes->str, "POST /x/1?q=2 HTTP/1.1\r\n"));
    static const char *const FORWARDED[] = {
        "\r\nRequest-Id: abc\r\n",
        "\r\nX-Own: 2\r\n",
        "\r\nModel: m\r\n",
        "\r\nTenant: t\r\n",
        "\r\nExpect-Instance: i-1\r\n",
        "\r\nDeadline-Ms: 500\r\n",
        "\r\nRequest-Priority: 3\r\n",
        "\r\nKv-Fetch: 10.0.0.9:80\r\n",
        "\r\nContent-Length: 4\r\n\r\nbody",
    };
    static const char *const DROPPED[] = {
        "secret",  "forged", "Hold",  "Pin-Ms",     "Kv-From", "Kv-Backup",
        "6.6.6.6", "other",  "X-Hop", "Connection", "900",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(FORWARDED); i++) {
        CU_ASSERT_PTR_NOT_NULL(strstr(bytes->str, FORWARDED[i]));
    }
    for (gsize i = 0; i < G_N_ELEMENTS(DROPPED); i++) {
        CU_ASSERT_PTR_NULL(strstr(bytes->str, DROPPED[i]));
    }
    g_string_free(bytes, TRUE);
    http_reader_clear(&reader);
}

/* ---- events ---- */

typedef struct {
    GString *ids;
    gsize bytes;
} events_t;

static void
record_event(str_t bytes, guint64 id, void *user)
{
    events_t *events = user;
    events->bytes += bytes.length;
    g_string_append_printf(events->ids, "%d ", (int)id);
}

static void
test_events(void)
{
    static const char TEXT[] = "id: 1\ndata: a\n\n"
                               "data: x\nid:22\n\n"
                               "weight-versions: 2\r\nid: 3\r\n\r\n"
                               ": comment\n\n"
                               "id: 4\nda";
    for (gsize step = 1; step < sizeof(TEXT); step++) {
        events_t events = {.ids = g_string_new(NULL)};
        event_stream_t stream;
        event_stream_init(&stream);
        for (gsize at = 0; at < sizeof(TEXT) - 1; at += step) {
            str_t piece = {.data = TEXT + at,
                           .length = MIN(step, sizeof(TEXT) - 1 - at)};
            event_stream_feed(&stream, piece, record_event, &events);
        }
        CU_ASSERT_STRING_EQUAL(events.ids->str, "1 22 3 -1 ");
        CU_ASSERT_EQUAL(events.bytes, sizeof(TEXT) - 1 - strlen("id: 4\nda"));
        CU_ASSERT_FALSE(event_stream_at_boundary(&stream));
        event_stream_clear(&stream);
        g_string_free(events.ids, TRUE);
    }
}

/* ---- limits in answers ---- */

typedef struct {
    const char *fields;
    answer_field_t field;
    double limit;
} limit_case_t;

static const limit_case_t LIMIT_CASES[] = {
    {"", ANSWER_FIELD_ABSENT, 0},
    {"Server-Limit: 3.4\r\n", ANSWER_FIELD_VALID, 3.4},
    {"server-limit: 12\r\n", ANSWER_FIELD_VALID, 12},
    {"Server-Limit:   0.4  \r\n", ANSWER_FIELD_VALID, 0.4},
    {"Server-Limit: 0\r\n", ANSWER_FIELD_VALID, 0},
    {"Server-Limit: 999999999999\r\n", ANSWER_FIELD_VALID, LIMIT_RATE_MAX},
    {"Server-Limit:\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: -1\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: +1\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: nan\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: 1e9\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: 3,4\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: 3.4.1\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: .4\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: 4.\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: 1 2\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: 9999999999999\r\n", ANSWER_FIELD_MALFORMED, 0},
    {"Server-Limit: 4\r\nServer-Limit: 4\r\n", ANSWER_FIELD_MALFORMED, 0},
};

static void
decode_answer(const char *status, const char *fields, answer_info_t *answer)
{
    http_reader_t reader;
    gsize used;
    char *text = g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: 0\r\n%s\r\n",
                                 status, fields);
    http_reader_init(&reader, FALSE, 4096, &IGNORE_OPS, NULL);
    http_reader_feed(&reader, str_from_cstr(text), &used);
    platform_answer_decode(&reader.head, answer);
    http_reader_clear(&reader);
    g_free(text);
}

static void
test_limit_field(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(LIMIT_CASES); i++) {
        const limit_case_t *c = &LIMIT_CASES[i];
        answer_info_t answer;
        decode_answer("200 OK", c->fields, &answer);
        if (answer.limit_field != c->field) {
            printf("%s: %d\n", c->fields, answer.limit_field);
        }
        CU_ASSERT_EQUAL(answer.limit_field, c->field);
        if (c->field == ANSWER_FIELD_VALID) {
            CU_ASSERT(fabs(answer.limit - c->limit) < 1e-9);
        }
    }
}

/* ---- rest and leaving in answers ---- */

static const char UNAVAILABLE[] = "503 Service Unavailable";

typedef struct {
    const char *status;
    const char *fields;
    answer_field_t field;
    double rest_s;
} rest_case_t;

static const rest_case_t REST_CASES[] = {
    {UNAVAILABLE, "", ANSWER_FIELD_ABSENT, 0},
    {UNAVAILABLE, "Retry-After: 3\r\n", ANSWER_FIELD_VALID, 3},
    {UNAVAILABLE, "retry-after:  0.25 \r\n", ANSWER_FIELD_VALID, 0.25},
    {UNAVAILABLE, "Retry-After: 0\r\n", ANSWER_FIELD_VALID, 0},
    {UNAVAILABLE, "Retry-After: 9999999\r\n", ANSWER_FIELD_VALID, REST_MAX_S},
    {UNAVAILABLE, "Retry-After:\r\n", ANSWER_FIELD_MALFORMED, 0},
    {UNAVAILABLE, "Retry-After: -1\r\n", ANSWER_FIELD_MALFORMED, 0},
    {UNAVAILABLE, "Retry-After: nan\r\n", ANSWER_FIELD_MALFORMED, 0},
    {UNAVAILABLE, "Retry-After: 1e9\r\n", ANSWER_FIELD_MALFORMED, 0},
    {UNAVAILABLE, "Retry-After: 3, 4\r\n", ANSWER_FIELD_MALFORMED, 0},
    {UNAVAILABLE, "Retry-After: 3\r\nRetry-After: 3\r\n",
     ANSWER_FIELD_MALFORMED, 0},
    {UNAVAILABLE, "Retry-After: Thu, 03 Dec 2026 18:20:00 GMT\r\n",
     ANSWER_FIELD_MALFORMED, 0},
    {"429 Too Many Requests", "Retry-After: 3\r\n", ANSWER_FIELD_ABSENT, 0},
    {"200 OK", "Retry-After: 3\r\n", ANSWER_FIELD_ABSENT, 0},
};

static void
test_rest_field(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(REST_CASES); i++) {
        const rest_case_t *c = &REST_CASES[i];
        answer_info_t answer;
        decode_answer(c->status, c->fields, &answer);
        if (answer.rest_field != c->field) {
            printf("%s %s: %d\n", c->status, c->fields, answer.rest_field);
        }
        CU_ASSERT_EQUAL(answer.rest_field, c->field);
        if (c->field == ANSWER_FIELD_VALID) {
            CU_ASSERT(fabs(answer.rest_s - c->rest_s) < 1e-9);
        }
    }
}

static const struct {
    const char *status;
    const char *fields;
    answer_field_t field;
} LEAVING_CASES[] = {
    {"200 OK", "", ANSWER_FIELD_ABSENT},
    {"200 OK", "Server-Leaving: 1\r\n", ANSWER_FIELD_VALID},
    {"500 Error", "server-leaving:  1 \r\n", ANSWER_FIELD_VALID},
    {UNAVAILABLE, "Server-Leaving: 1\r\nServer-Leaving: 1\r\n",
     ANSWER_FIELD_VALID},
    {"200 OK", "Server-Leaving: 0\r\n", ANSWER_FIELD_MALFORMED},
    {"200 OK", "Server-Leaving:\r\n", ANSWER_FIELD_MALFORMED},
    {"200 OK", "Server-Leaving: 1, 1\r\n", ANSWER_FIELD_MALFORMED},
    {"200 OK", "Server-Leaving: 1\r\nServer-Leaving: 0\r\n",
     ANSWER_FIELD_MALFORMED},
};

static void
test_leaving_field(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(LEAVING_CASES); i++) {
        answer_info_t answer;
        decode_answer(LEAVING_CASES[i].status, LEAVING_CASES[i].fields,
                      &answer);
        CU_ASSERT_EQUAL(answer.leaving_field, LEAVING_CASES[i].field);
    }
}

/* ---- deltas of configurations ---- */

/* Returns a configuration with this many routes; `changed` alters one in the
 * middle. */
static char *
config_text(guint version, guint routes, gboolean changed)
{
    GString *text = g_string_new(NULL);
    GRand *random = g_rand_new_with_seed(11);
    g_string_append_printf(text, "{\"Version\":%u,\"Routes\":[", version);
    for (guint i = 0; i < routes; i++) {
        g_string_append_printf(
            text,
            "%s{\"Name\":\"r-%08x\",\"Host\":\"h.example\",\"PathPrefix\":"
            "\"/%08x/\",\"Kind\":\"safe\",\"TimeoutMs\":%d,\"Service\":"
            "\"a\"}",
            i > 0 ? "," : "", g_rand_int(random), g_rand_int(random),
            changed && i == routes / 2 ? 7 : 1000);
    }
    g_string_append(text, "],\"Services\":[{\"Name\":\"a\"}]}");
    g_rand_free(random);
    return g_string_free(text, FALSE);
}

typedef struct {
    const char *name;
    guint routes_before;
    guint routes_after;
    gboolean changed;
    gsize max_bytes; /* of the delta */
} delta_case_t;

static const delta_case_t DELTA_CASES[] = {
    {"one of many changed", 1400, 1400, TRUE, 600},
    {"many more", 20, 1400, FALSE, 60000},
    {"many fewer", 1400, 20, FALSE, 600},
    {"from nothing", 0, 1400, FALSE, 60000},
    {"nothing but the version", 350, 350, FALSE, 600},
};

static void
test_delta(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(DELTA_CASES); i++) {
        const delta_case_t *c = &DELTA_CASES[i];
        char *before = c->routes_before > 0
                           ? config_text(7, c->routes_before, FALSE)
                           : g_strdup("");
        char *after = config_text(9, c->routes_after, c->changed);
        GBytes *delta =
            text_delta_between(str_from_cstr(before), str_from_cstr(after));
        if (g_bytes_get_size(delta) > c->max_bytes) {
            printf("%s: %zu bytes\n", c->name, g_bytes_get_size(delta));
        }
        CU_ASSERT(g_bytes_get_size(delta) <= c->max_bytes);
        GBytes *text = text_delta_apply(str_from_cstr(before), delta);
        CU_ASSERT_PTR_NOT_NULL_FATAL(text);
        gsize length;
        const char *data = g_bytes_get_data(text, &length);
        CU_ASSERT(str_equal((str_t){.data = data, .length = length},
                            str_from_cstr(after)));
        /* A delta of another text, or a truncated one, is refused. */
        CU_ASSERT(c->routes_before == 0 ||
                  text_delta_apply(STR("other"), delta) == NULL);
        GBytes *cut =
            g_bytes_new_from_bytes(delta, 0, g_bytes_get_size(delta) / 2);
        CU_ASSERT_PTR_NULL(text_delta_apply(str_from_cstr(before), cut));
        g_bytes_unref(cut);
        g_bytes_unref(text);
        g_bytes_unref(delta);
        g_free(before);
        g_free(after);
    }
}

/* ---- messages between instances ---- */

/* What instances read that know no log ids. */
static gboolean
is_of_type(GBytes *bytes, const char *type)
{
    GVariant *v = g_variant_ref_sink(
        g_variant_new_from_bytes(G_VARIANT_TYPE(type), bytes, FALSE));
    gboolean normal = g_variant_is_normal_form(v);
    g_variant_unref(v);
    return normal;
}

#define EARLIER_REQUEST_TYPE "(stttttubb)"
#define EARLIER_ANSWER_TYPE "(ttbbbttbaybayassuta(tstbbxxsubus)ta(tbd))"

static void
test_sync_request(void)
{
    for (int bits = 0; bits < 2; bits++) {
        sync_request_t request = {
            .instance = "entry-1",
            .has_log_id = bits,
            .log_id = 8,
            .version = 4,
            .epoch = 5,
            .cursor = 6,
            .wait_ms = 200,
            .wants_config = bits,
            .more = !bits,
        };
        sync_request_t read;
        GBytes *bytes = sync_request_write(&request);
        CU_ASSERT_FATAL(sync_request_read(bytes, &read));
        CU_ASSERT_STRING_EQUAL(read.instance, "entry-1");
        CU_ASSERT_EQUAL(read.has_log_id, request.has_log_id);
        CU_ASSERT_EQUAL(read.log_id, bits ? 8 : 0);
        CU_ASSERT_EQUAL(is_of_type(bytes, EARLIER_REQUEST_TYPE), !bits);
        CU_ASSERT_EQUAL(read.version, 4);
        CU_ASSERT_EQUAL(read.epoch, 5);
        CU_ASSERT_EQUAL(read.cursor, 6);
        CU_ASSERT_EQUAL(read.wait_ms, 200);
        CU_ASSERT_EQUAL(read.wants_config, request.wants_config);
        CU_ASSERT_EQUAL(read.more, request.more);
        sync_request_clear(&read);
        g_bytes_unref(bytes);
    }
}

static void
check_sync_wire(guint leases, gboolean has_log_id)
{
    endpoint_lease_t lease = lease_of("e", 7, LEASE_DRAINING);
    sync_answer_t answer = {.epoch = 3,
                            .cursor = 9,
                            .more = TRUE,
                            .confirmed = TRUE,
                            .has_log_id = has_log_id,
                            .log_id = 7,
                            .version = 4,
                            .base = 2,
                            .delta = g_bytes_new("text", 4),
                            .leases = g_ptr_array_new(),
                            .controls = g_ptr_array_new(),
                            .data_centre = "dc-2",
                            .entries = 8};
    for (guint i = 0; i < leases; i++) {
        g_ptr_array_add(answer.leases, &lease);
    }
    g_ptr_array_add(answer.controls, "10.0.0.1:7000");
    GBytes *bytes = sync_answer_write(&answer);
    sync_answer_t read;
    CU_ASSERT_FATAL(sync_answer_read(bytes, &read));
    CU_ASSERT_EQUAL(read.base, 2);
    CU_ASSERT(g_bytes_equal(read.delta, answer.delta));
    CU_ASSERT_EQUAL_FATAL(read.leases->len, leases);
    CU_ASSERT_EQUAL(
        ((endpoint_lease_t *)read.leases->pdata[leases - 1])->state,
        LEASE_DRAINING);
    CU_ASSERT_STRING_EQUAL(read.controls->pdata[0], "10.0.0.1:7000");
    CU_ASSERT_EQUAL(read.epoch, 3);
    CU_ASSERT_EQUAL(read.cursor, 9);
    CU_ASSERT_EQUAL(read.confirmed, TRUE);
    CU_ASSERT_EQUAL(read.full, FALSE);
    CU_ASSERT_EQUAL(read.more, TRUE);
    CU_ASSERT_EQUAL(read.has_log_id, has_log_id);
    CU_ASSERT_EQUAL(read.log_id, has_log_id ? 7 : 0);
    CU_ASSERT_EQUAL(is_of_type(bytes, EARLIER_ANSWER_TYPE), !has_log_id);
    CU_ASSERT_EQUAL(read.version, 4);
    CU_ASSERT_EQUAL(read.entries, 8);
    CU_ASSERT_STRING_EQUAL(read.data_centre, "dc-2");
    sync_answer_clear(&read);
    /* Truncated or changed bytes are refused or read as some answer, without
     * any other effect. */
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    GRand *random = g_rand_new_with_seed(5);
    for (int i = 0; i < 5000; i++) {
        char *copy = g_memdup2(data, length);
        copy[g_rand_int_range(random, 0, (gint)length)] ^=
            (char)(1 << g_rand_int_range(random, 0, 8));
        GBytes *changed = g_bytes_new_take(
            copy, (gsize)g_rand_int_range(random, 0, (gint)length + 1));
        if (sync_answer_read(changed, &read)) {
            sync_answer_clear(&read);
        }
        g_bytes_unref(changed);
    }
    g_rand_free(random);
    g_bytes_unref(bytes);
    g_bytes_unref(answer.delta);
    g_ptr_array_unref(answer.leases);
    g_ptr_array_unref(answer.controls);
}

/* A few leases are written unpacked, many are packed. */
static void
test_sync_wire(void)
{
    for (int has_log_id = 0; has_log_id < 2; has_log_id++) {
        check_sync_wire(1, has_log_id);
        check_sync_wire(40, has_log_id);
    }
}

static const test_case_t CASES[] = {
    {"faults of a configuration are named", test_config_faults},
    {"the longest prefix of the host matches", test_match},
    {"shares and kinds", test_shares_and_kinds},
    {"engines that may be ordered", test_engine_offers},
    {"calls to the platform", test_duty_calls},
    {"faults of settings are named", test_settings},
    {"the sample settings have none", test_sample_settings},
    {"a client sets only what is its own", test_request_fields},
    {"all parts of a prompt are read", test_prompt_parts},
    {"events are separated however they arrive", test_events},
    {"limits that answers announce", test_limit_field},
    {"rest that answers ask for", test_rest_field},
    {"answers of endpoints that leave", test_leaving_field},
    {"differences of configurations", test_delta},
    {"sync requests are read as written", test_sync_request},
    {"sync replies are read as written", test_sync_wire},
};

CHECK_MAIN("routing", CASES)
