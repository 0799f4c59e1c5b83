#include "carobloom/gateway/metrics.h"

#include "carobloom/common/counters.h"

static const http_limits_t LIMITS = {
    .head_max = 8192,
    .body_max = 0,
    .head_us = 3 * G_USEC_PER_SEC,
    .idle_us = 30 * G_USEC_PER_SEC,
    .connections = 16,
    .buffered_max = 0,
};

static char *
page_text(const metrics_source_t *source, str_t target)
{
    for (gsize i = 0; i < source->page_count; i++) {
        const metrics_page_t *page = &source->pages[i];
        if (str_equal(target, str_from_cstr(page->path))) {
            return page->text(source->user);
        }
    }
    return NULL;
}

static void
handle_request(http_exchange_t *exchange, void *user)
{
    str_t target = http_head_target(http_exchange_head(exchange));
    char *text = str_equal(target, STR("/metrics")) ? counters_text()
                                                    : page_text(user, target);
    http_exchange_answer(exchange, text != NULL ? 200 : 404,
                         STR("Content-Type: text/plain\r\n"),
                         str_from_cstr(text));
    g_free(text);
}

static void
ignore_event(http_exchange_t *exchange, void *user)
{
    (void)exchange;
    (void)user;
}

static const http_server_ops_t OPS = {
    .request = handle_request, .gone = ignore_event, .drained = ignore_event};

http_server_t *
metrics_server_create(poller_t *poller, timers_t *timers, const char *address,
                      const metrics_source_t *source)
{
    return http_server_create(poller, timers, address, &LIMITS, &OPS,
                              (void *)source);
}
