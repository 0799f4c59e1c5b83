#include "carobloom/policy/lifecycle.h"

typedef gboolean (*guard_t)(const lifecycle_t *lifecycle);

static gboolean
guard_repeatable(const lifecycle_t *lifecycle)
{
    return lifecycle->repeatable;
}

static gboolean
guard_claimed(const lifecycle_t *lifecycle)
{
    return lifecycle->claimed;
}

static gboolean
guard_retry(const lifecycle_t *lifecycle)
{
    return lifecycle->retry_allowed &&
           lifecycle->attempts < lifecycle->attempts_max;
}

static gboolean
guard_repeat(const lifecycle_t *lifecycle)
{
    return lifecycle->repeatable && guard_retry(lifecycle);
}

static gboolean
guard_resume(const lifecycle_t *lifecycle)
{
    return lifecycle->repeatable && lifecycle->resume &&
           guard_retry(lifecycle);
}

static gboolean
guard_resumable(const lifecycle_t *lifecycle)
{
    return lifecycle->repeatable && lifecycle->resume;
}

/* One transition: in `state`, on `event`, if `guard` allows it, go to `next`.
 * The first row that matches is applied. */
typedef struct {
    lifecycle_state_t state;
    lifecycle_event_t event;
    guard_t guard;
    const char *guard_name;
    lifecycle_state_t next;
    outcome_t outcome;
    lifecycle_command_t commands[LIFECYCLE_COMMANDS_MAX];
} transition_t;

#define IF(name) .guard = guard_##name, .guard_name = #name
#define DO(...) .commands = {__VA_ARGS__}
#define CLAIM LIFECYCLE_COMMAND_CLAIM
#define SUBMIT LIFECYCLE_COMMAND_SUBMIT
#define WITHDRAW LIFECYCLE_COMMAND_WITHDRAW
#define DISPATCH LIFECYCLE_COMMAND_DISPATCH
#define ABORT LIFECYCLE_COMMAND_ABORT
#define SETTLE_COMPLETE LIFECYCLE_COMMAND_SETTLE_COMPLETE
#define SETTLE_FAILED LIFECYCLE_COMMAND_SETTLE_FAILED
#define SETTLE_CANCELLED LIFECYCLE_COMMAND_SETTLE_CANCELLED
#define RELEASE LIFECYCLE_COMMAND_RELEASE
#define KEEP LIFECYCLE_COMMAND_KEEP
#define ANSWER LIFECYCLE_COMMAND_ANSWER
#define DETACH LIFECYCLE_COMMAND_DETACH

/* clang-format off */
static const transition_t transitions[] = {
    {LIFECYCLE_NEW, LIFECYCLE_EVENT_ADMIT, IF(repeatable), .next = LIFECYCLE_QUEUED, DO(SUBMIT)},
    {LIFECYCLE_NEW, LIFECYCLE_EVENT_ADMIT, .next = LIFECYCLE_CLAIMING, DO(CLAIM)},
    {LIFECYCLE_NEW, LIFECYCLE_EVENT_CALLER_LEFT, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ANSWER)},

    {LIFECYCLE_CLAIMING, LIFECYCLE_EVENT_CLAIM_WON, .next = LIFECYCLE_QUEUED, DO(SUBMIT)},
    {LIFECYCLE_CLAIMING, LIFECYCLE_EVENT_CLAIM_LOST, .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ANSWER)},
    {LIFECYCLE_CLAIMING, LIFECYCLE_EVENT_CLAIM_FAILED, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(RELEASE, ANSWER)},
    {LIFECYCLE_CLAIMING, LIFECYCLE_EVENT_CALLER_LEFT, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(RELEASE, ANSWER)},
    {LIFECYCLE_CLAIMING, LIFECYCLE_EVENT_EXPIRED, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(RELEASE, ANSWER)},

    {LIFECYCLE_QUEUED, LIFECYCLE_EVENT_GRANT, .next = LIFECYCLE_CONNECTING, DO(DISPATCH)},
    {LIFECYCLE_QUEUED, LIFECYCLE_EVENT_REFUSE, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(RELEASE, ANSWER)},
    {LIFECYCLE_QUEUED, LIFECYCLE_EVENT_REFUSE, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ANSWER)},
    {LIFECYCLE_QUEUED, LIFECYCLE_EVENT_CALLER_LEFT, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(WITHDRAW, RELEASE, ANSWER)},
    {LIFECYCLE_QUEUED, LIFECYCLE_EVENT_CALLER_LEFT, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(WITHDRAW, ANSWER)},
    {LIFECYCLE_QUEUED, LIFECYCLE_EVENT_EXPIRED, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(WITHDRAW, RELEASE, ANSWER)},
    {LIFECYCLE_QUEUED, LIFECYCLE_EVENT_EXPIRED, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(WITHDRAW, ANSWER)},

    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_WRITING, .next = LIFECYCLE_SENT},
    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_BROKEN, IF(retry), .next = LIFECYCLE_QUEUED, DO(ABORT, SETTLE_FAILED, SUBMIT)},
    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_BROKEN, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_FAILED, RELEASE, ANSWER)},
    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_BROKEN, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_FAILED, ANSWER)},
    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_PREEMPT, IF(repeatable), .next = LIFECYCLE_QUEUED, DO(ABORT, SETTLE_CANCELLED, SUBMIT)},
    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_CALLER_LEFT, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_CANCELLED, RELEASE, ANSWER)},
    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_CALLER_LEFT, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_CANCELLED, ANSWER)},
    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_EXPIRED, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_CANCELLED, RELEASE, ANSWER)},
    {LIFECYCLE_CONNECTING, LIFECYCLE_EVENT_EXPIRED, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_CANCELLED, ANSWER)},

    {LIFECYCLE_SENT, LIFECYCLE_EVENT_PART, .next = LIFECYCLE_STREAMING},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_END, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_COMPLETE, DO(SETTLE_COMPLETE, KEEP, ANSWER)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_END, .next = LIFECYCLE_DONE, .outcome = OUTCOME_COMPLETE, DO(SETTLE_COMPLETE, ANSWER)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_NOT_RUN, IF(retry), .next = LIFECYCLE_QUEUED, DO(ABORT, SETTLE_FAILED, SUBMIT)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_NOT_RUN, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_FAILED, RELEASE, ANSWER)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_NOT_RUN, .next = LIFECYCLE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_FAILED, ANSWER)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_BROKEN, IF(repeat), .next = LIFECYCLE_QUEUED, DO(ABORT, SETTLE_FAILED, SUBMIT)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_BROKEN, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, KEEP, ANSWER)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_BROKEN, .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, ANSWER)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_PREEMPT, IF(repeatable), .next = LIFECYCLE_QUEUED, DO(ABORT, SETTLE_CANCELLED, SUBMIT)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_CALLER_LEFT, IF(claimed), .next = LIFECYCLE_SENT, DO(DETACH)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_CALLER_LEFT, .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_CANCELLED, ANSWER)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_EXPIRED, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, KEEP, ANSWER)},
    {LIFECYCLE_SENT, LIFECYCLE_EVENT_EXPIRED, .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, ANSWER)},

    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_PART, .next = LIFECYCLE_STREAMING},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_END, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_COMPLETE, DO(SETTLE_COMPLETE, KEEP, ANSWER)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_END, .next = LIFECYCLE_DONE, .outcome = OUTCOME_COMPLETE, DO(SETTLE_COMPLETE, ANSWER)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_BROKEN, IF(resume), .next = LIFECYCLE_QUEUED, DO(ABORT, SETTLE_FAILED, SUBMIT)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_BROKEN, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, KEEP, ANSWER)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_BROKEN, .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, ANSWER)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_PREEMPT, IF(resumable), .next = LIFECYCLE_QUEUED, DO(ABORT, SETTLE_CANCELLED, SUBMIT)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_CALLER_LEFT, IF(claimed), .next = LIFECYCLE_STREAMING, DO(DETACH)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_CALLER_LEFT, .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_CANCELLED, ANSWER)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_EXPIRED, IF(claimed), .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, KEEP, ANSWER)},
    {LIFECYCLE_STREAMING, LIFECYCLE_EVENT_EXPIRED, .next = LIFECYCLE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, ANSWER)},
};
/* clang-format on */

static void
apply_transition(lifecycle_t *lifecycle, const transition_t *t)
{
    lifecycle->state = t->next;
    if (t->outcome != OUTCOME_NONE) {
        lifecycle->outcome = t->outcome;
    }
    if (t->event == LIFECYCLE_EVENT_CLAIM_WON) {
        lifecycle->claimed = TRUE;
    }
    if (t->event == LIFECYCLE_EVENT_GRANT) {
        lifecycle->attempts++;
    }
    if (t->event == LIFECYCLE_EVENT_PREEMPT) {
        lifecycle->attempts--; /* does not count: the endpoint did not fail */
    }
}

lifecycle_step_t
lifecycle_apply(lifecycle_t *lifecycle, lifecycle_event_t event)
{
    lifecycle_step_t step = {0};
    for (gsize i = 0; i < G_N_ELEMENTS(transitions); i++) {
        const transition_t *t = &transitions[i];
        if (t->state != lifecycle->state || t->event != event) {
            continue;
        }
        if (t->guard != NULL && !t->guard(lifecycle)) {
            continue;
        }
        for (int c = 0; c < LIFECYCLE_COMMANDS_MAX; c++) {
            step.commands[c] = t->commands[c];
        }
        apply_transition(lifecycle, t);
        return step;
    }
    return step;
}

const char *
lifecycle_state_name(lifecycle_state_t state)
{
    static const char *const names[LIFECYCLE_STATE_COUNT] = {
        "new", "claiming", "queued", "connecting", "sent", "streaming", "done",
    };
    return names[state];
}

const char *
lifecycle_event_name(lifecycle_event_t event)
{
    static const char *const names[LIFECYCLE_EVENT_COUNT] = {
        "admit",  "claim won", "claim lost",  "claim failed", "grant",
        "refuse", "writing",   "part",        "end",          "not run",
        "broken", "preempt",   "caller left", "expired",
    };
    return names[event];
}

const char *
lifecycle_command_name(lifecycle_command_t command)
{
    static const char *const names[] = {
        "none",
        "claim",
        "submit",
        "withdraw",
        "dispatch",
        "abort",
        "settle complete",
        "settle failed",
        "settle cancelled",
        "release",
        "keep",
        "answer",
        "detach",
    };
    return names[command];
}

const char *
outcome_name(outcome_t outcome)
{
    static const char *const names[] = {"none", "complete", "not-run",
                                        "unknown"};
    return names[outcome];
}

char *
lifecycle_table_markdown(void)
{
    GString *out = g_string_new("| state | event | if | next | outcome | "
                                "commands |\n|---|---|---|---|---|---|\n");
    for (gsize i = 0; i < G_N_ELEMENTS(transitions); i++) {
        const transition_t *t = &transitions[i];
        g_string_append_printf(
            out, "| %s | %s | %s | %s | %s |", lifecycle_state_name(t->state),
            lifecycle_event_name(t->event), t->guard_name ? t->guard_name : "",
            lifecycle_state_name(t->next),
            t->outcome ? outcome_name(t->outcome) : "");
        for (int c = 0; c < LIFECYCLE_COMMANDS_MAX && t->commands[c]; c++) {
            g_string_append_printf(out, "%s %s", c ? "," : "",
                                   lifecycle_command_name(t->commands[c]));
        }
        g_string_append(out, " |\n");
    }
    return g_string_free(out, FALSE);
}
