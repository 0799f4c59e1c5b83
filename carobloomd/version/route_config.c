#include "carobloom/version/route_config.h"

#include <string.h>

/* Text that a lookup puts together: hosts and paths longer than this have no
 * route. Heads are bounded at 16 KiB by the configurations met so far. */
enum { PLACE_MAX = 2048 };

static void
share_clear(gpointer data)
{
    g_free(((route_share_t *)data)->service);
}

static void
route_free(gpointer data)
{
    route_t *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_array_unref(route->shares);
    g_free(route);
}

static void
place_clear(gpointer data)
{
    g_free(((engine_place_t *)data)->data_centre);
}

void
engine_offer_add_place(engine_offer_t *offer, const char *data_centre,
                       double price)
{
    engine_place_t place = {.data_centre = g_strdup(data_centre),
                            .price = price};
    if (offer->places == NULL) {
        offer->places = g_array_new(FALSE, FALSE, sizeof(engine_place_t));
        g_array_set_clear_func(offer->places, place_clear);
    }
    g_array_append_val(offer->places, place);
}

static void
service_free(gpointer data)
{
    service_t *service = data;
    g_clear_pointer(&service->offer.places, g_array_unref);
    g_free(service->name);
    g_free(service->health_path);
    g_free(service);
}

static void
team_free(gpointer data)
{
    team_t *team = data;
    g_free(team->name);
    g_strfreev(team->keys);
    g_free(team);
}

route_config_t *
route_config_create(void)
{
    route_config_t *config = g_new0(route_config_t, 1);
    g_atomic_ref_count_init(&config->references);
    config->routes = g_ptr_array_new_with_free_func(route_free);
    config->services = g_ptr_array_new_with_free_func(service_free);
    config->teams = g_ptr_array_new_with_free_func(team_free);
    config->by_place =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    config->by_service = g_hash_table_new(g_str_hash, g_str_equal);
    config->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    return config;
}

route_config_t *
route_config_ref(route_config_t *config)
{
    g_atomic_ref_count_inc(&config->references);
    return config;
}

void
route_config_unref(route_config_t *config)
{
    if (!g_atomic_ref_count_dec(&config->references)) {
        return;
    }
    g_hash_table_unref(config->by_place);
    g_hash_table_unref(config->by_service);
    g_hash_table_unref(config->by_key);
    g_ptr_array_unref(config->routes);
    g_ptr_array_unref(config->services);
    g_ptr_array_unref(config->teams);
    g_free(config);
}

route_t *
route_config_add_route(route_config_t *config)
{
    route_t *route = g_new0(route_t, 1);
    route->shares = g_array_new(FALSE, FALSE, sizeof(route_share_t));
    g_array_set_clear_func(route->shares, share_clear);
    g_ptr_array_add(config->routes, route);
    return route;
}

void
route_add_share(route_t *route, char *service, guint weight)
{
    route_share_t share = {.service = service, .weight = weight};
    g_array_append_val(route->shares, share);
    route->weight_sum += weight;
}

service_t *
route_config_add_service(route_config_t *config)
{
    service_t *service = g_new0(service_t, 1);
    g_ptr_array_add(config->services, service);
    return service;
}

team_t *
route_config_add_team(route_config_t *config)
{
    team_t *team = g_new0(team_t, 1);
    g_ptr_array_add(config->teams, team);
    return team;
}

static char *
check_services(route_config_t *config)
{
    for (guint i = 0; i < config->services->len; i++) {
        service_t *service = config->services->pdata[i];
        if (!g_hash_table_insert(config->by_service, service->name, service)) {
            return g_strdup_printf("services.%u: %s is there twice", i,
                                   service->name);
        }
    }
    return NULL;
}

static char *
check_route(route_config_t *config, guint i)
{
    route_t *route = config->routes->pdata[i];
    gsize length = strlen(route->prefix);
    if (route->prefix[0] != '/' || route->prefix[length - 1] != '/') {
        return g_strdup_printf("routes.%u: the prefix %s must begin and end "
                               "with a slash",
                               i, route->prefix);
    }
    if (route->timeout_ms <= 0) {
        return g_strdup_printf("routes.%u: the timeout must be above 0", i);
    }
    if (route->weight_sum == 0) {
        return g_strdup_printf("routes.%u: the weights add up to 0", i);
    }
    for (guint j = 0; j < route->shares->len; j++) {
        const char *name =
            g_array_index(route->shares, route_share_t, j).service;
        if (!g_hash_table_contains(config->by_service, name)) {
            return g_strdup_printf("routes.%u: there is no service %s", i,
                                   name);
        }
    }
    char *host = g_ascii_strdown(route->host, -1);
    char *place = g_strconcat(host, " ", route->prefix, NULL);
    g_free(host);
    if (!g_hash_table_insert(config->by_place, place, route)) {
        return g_strdup_printf("routes.%u: host %s and prefix %s are there "
                               "twice",
                               i, route->host, route->prefix);
    }
    return NULL;
}

static char *
check_team(route_config_t *config, guint i)
{
    team_t *team = config->teams->pdata[i];
    for (guint j = 0; team->keys[j] != NULL; j++) {
        team_t *other = g_hash_table_lookup(config->by_key, team->keys[j]);
        if (other != NULL && other != team) {
            return g_strdup_printf("teams.%u: shares a key with %s", i,
                                   other->name);
        }
        g_hash_table_insert(config->by_key, team->keys[j], team);
    }
    return NULL;
}

int
route_config_finish(route_config_t *config, char **fault)
{
    char *text = check_services(config);
    for (guint i = 0; text == NULL && i < config->routes->len; i++) {
        text = check_route(config, i);
    }
    for (guint i = 0; text == NULL && i < config->teams->len; i++) {
        text = check_team(config, i);
    }
    *fault = text;
    return text == NULL ? ROUTE_CONFIG_OK : ROUTE_CONFIG_INVALID;
}

const route_t *
route_config_match(const route_config_t *config, str_t host, str_t target)
{
    char place[PLACE_MAX];
    gsize path = 0;
    gsize colon = 0;
    while (colon < host.length && host.data[colon] != ':') {
        colon++;
    }
    while (path < target.length && target.data[path] != '?' &&
           target.data[path] != '#') {
        path++;
    }
    if (colon + path + 2 > sizeof(place)) {
        return NULL;
    }
    for (gsize i = 0; i < colon; i++) {
        place[i] = g_ascii_tolower(host.data[i]);
    }
    place[colon] = ' ';
    memcpy(place + colon + 1, target.data, path);
    for (gsize end = path; end > 0; end--) {
        if (target.data[end - 1] != '/') {
            continue;
        }
        place[colon + 1 + end] = '\0';
        const route_t *route = g_hash_table_lookup(config->by_place, place);
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}

const service_t *
route_config_service(const route_config_t *config, const char *name)
{
    return g_hash_table_lookup(config->by_service, name);
}

const team_t *
route_config_team(const route_config_t *config, str_t key)
{
    char *text = str_dup(key);
    const team_t *team = strlen(text) == key.length
                             ? g_hash_table_lookup(config->by_key, text)
                             : NULL;
    g_free(text);
    return team;
}

const char *
route_pick(const route_t *route, guint draw)
{
    for (guint i = 0; i < route->shares->len; i++) {
        const route_share_t *share =
            &g_array_index(route->shares, route_share_t, i);
        if (draw < share->weight) {
            return share->service;
        }
        draw -= share->weight;
    }
    return g_array_index(route->shares, route_share_t, 0).service;
}

gboolean
route_repeatable(const route_t *route)
{
    return route->kind == ROUTE_IDEMPOTENT ||
           (route->kind == ROUTE_STREAM && route->resumable);
}
