#include "carobloom/policy/lifecycle.h"

typedef gboolean (*guard_t)(const life_t *life);

static gboolean
guard_repeatable(const life_t *life)
{
    return life->repeatable;
}

static gboolean
guard_claimed(const life_t *life)
{
    return life->claimed;
}

static gboolean
guard_retry(const life_t *life)
{
    return life->retry_allowed && life->attempts < life->attempts_max;
}

static gboolean
guard_repeat(const life_t *life)
{
    return life->repeatable && guard_retry(life);
}

static gboolean
guard_resume(const life_t *life)
{
    return life->repeatable && life->resume && guard_retry(life);
}

static gboolean
guard_resumable(const life_t *life)
{
    return life->repeatable && life->resume;
}

/* One row: in `state`, on `event`, if `guard` allows, go to `next`. The first
 * row that fits is taken. */
typedef struct {
    life_state_t state;
    life_event_t event;
    guard_t guard;
    const char *guard_name;
    life_state_t next;
    outcome_t outcome;
    life_command_t commands[LIFE_COMMANDS_MAX];
} transition_t;

#define IF(name) .guard = guard_##name, .guard_name = #name
#define DO(...) .commands = {__VA_ARGS__}
#define CLAIM LIFE_COMMAND_CLAIM
#define SUBMIT LIFE_COMMAND_SUBMIT
#define WITHDRAW LIFE_COMMAND_WITHDRAW
#define DISPATCH LIFE_COMMAND_DISPATCH
#define ABORT LIFE_COMMAND_ABORT
#define SETTLE_COMPLETE LIFE_COMMAND_SETTLE_COMPLETE
#define SETTLE_FAILED LIFE_COMMAND_SETTLE_FAILED
#define SETTLE_CANCELLED LIFE_COMMAND_SETTLE_CANCELLED
#define RELEASE LIFE_COMMAND_RELEASE
#define KEEP LIFE_COMMAND_KEEP
#define ANSWER LIFE_COMMAND_ANSWER
#define DETACH LIFE_COMMAND_DETACH

/* clang-format off */
static const transition_t transitions[] = {
    {LIFE_NEW, LIFE_EVENT_ADMIT, IF(repeatable), .next = LIFE_QUEUED, DO(SUBMIT)},
    {LIFE_NEW, LIFE_EVENT_ADMIT, .next = LIFE_CLAIMING, DO(CLAIM)},
    {LIFE_NEW, LIFE_EVENT_CALLER_LEFT, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ANSWER)},

    {LIFE_CLAIMING, LIFE_EVENT_CLAIM_WON, .next = LIFE_QUEUED, DO(SUBMIT)},
    {LIFE_CLAIMING, LIFE_EVENT_CLAIM_LOST, .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ANSWER)},
    {LIFE_CLAIMING, LIFE_EVENT_CLAIM_FAILED, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(RELEASE, ANSWER)},
    {LIFE_CLAIMING, LIFE_EVENT_CALLER_LEFT, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(RELEASE, ANSWER)},
    {LIFE_CLAIMING, LIFE_EVENT_EXPIRED, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(RELEASE, ANSWER)},

    {LIFE_QUEUED, LIFE_EVENT_GRANT, .next = LIFE_CONNECTING, DO(DISPATCH)},
    {LIFE_QUEUED, LIFE_EVENT_REFUSE, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(RELEASE, ANSWER)},
    {LIFE_QUEUED, LIFE_EVENT_REFUSE, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ANSWER)},
    {LIFE_QUEUED, LIFE_EVENT_CALLER_LEFT, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(WITHDRAW, RELEASE, ANSWER)},
    {LIFE_QUEUED, LIFE_EVENT_CALLER_LEFT, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(WITHDRAW, ANSWER)},
    {LIFE_QUEUED, LIFE_EVENT_EXPIRED, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(WITHDRAW, RELEASE, ANSWER)},
    {LIFE_QUEUED, LIFE_EVENT_EXPIRED, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(WITHDRAW, ANSWER)},

    {LIFE_CONNECTING, LIFE_EVENT_WRITING, .next = LIFE_SENT},
    {LIFE_CONNECTING, LIFE_EVENT_BROKEN, IF(retry), .next = LIFE_QUEUED, DO(ABORT, SETTLE_FAILED, SUBMIT)},
    {LIFE_CONNECTING, LIFE_EVENT_BROKEN, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_FAILED, RELEASE, ANSWER)},
    {LIFE_CONNECTING, LIFE_EVENT_BROKEN, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_FAILED, ANSWER)},
    {LIFE_CONNECTING, LIFE_EVENT_PREEMPT, IF(repeatable), .next = LIFE_QUEUED, DO(ABORT, SETTLE_CANCELLED, SUBMIT)},
    {LIFE_CONNECTING, LIFE_EVENT_CALLER_LEFT, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_CANCELLED, RELEASE, ANSWER)},
    {LIFE_CONNECTING, LIFE_EVENT_CALLER_LEFT, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_CANCELLED, ANSWER)},
    {LIFE_CONNECTING, LIFE_EVENT_EXPIRED, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_CANCELLED, RELEASE, ANSWER)},
    {LIFE_CONNECTING, LIFE_EVENT_EXPIRED, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_CANCELLED, ANSWER)},

    {LIFE_SENT, LIFE_EVENT_PART, .next = LIFE_STREAMING},
    {LIFE_SENT, LIFE_EVENT_END, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_COMPLETE, DO(SETTLE_COMPLETE, KEEP, ANSWER)},
    {LIFE_SENT, LIFE_EVENT_END, .next = LIFE_DONE, .outcome = OUTCOME_COMPLETE, DO(SETTLE_COMPLETE, ANSWER)},
    {LIFE_SENT, LIFE_EVENT_NOT_RUN, IF(retry), .next = LIFE_QUEUED, DO(ABORT, SETTLE_FAILED, SUBMIT)},
    {LIFE_SENT, LIFE_EVENT_NOT_RUN, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_FAILED, RELEASE, ANSWER)},
    {LIFE_SENT, LIFE_EVENT_NOT_RUN, .next = LIFE_DONE, .outcome = OUTCOME_NOT_RUN, DO(ABORT, SETTLE_FAILED, ANSWER)},
    {LIFE_SENT, LIFE_EVENT_BROKEN, IF(repeat), .next = LIFE_QUEUED, DO(ABORT, SETTLE_FAILED, SUBMIT)},
    {LIFE_SENT, LIFE_EVENT_BROKEN, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, KEEP, ANSWER)},
    {LIFE_SENT, LIFE_EVENT_BROKEN, .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, ANSWER)},
    {LIFE_SENT, LIFE_EVENT_PREEMPT, IF(repeatable), .next = LIFE_QUEUED, DO(ABORT, SETTLE_CANCELLED, SUBMIT)},
    {LIFE_SENT, LIFE_EVENT_CALLER_LEFT, IF(claimed), .next = LIFE_SENT, DO(DETACH)},
    {LIFE_SENT, LIFE_EVENT_CALLER_LEFT, .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_CANCELLED, ANSWER)},
    {LIFE_SENT, LIFE_EVENT_EXPIRED, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, KEEP, ANSWER)},
    {LIFE_SENT, LIFE_EVENT_EXPIRED, .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, ANSWER)},

    {LIFE_STREAMING, LIFE_EVENT_PART, .next = LIFE_STREAMING},
    {LIFE_STREAMING, LIFE_EVENT_END, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_COMPLETE, DO(SETTLE_COMPLETE, KEEP, ANSWER)},
    {LIFE_STREAMING, LIFE_EVENT_END, .next = LIFE_DONE, .outcome = OUTCOME_COMPLETE, DO(SETTLE_COMPLETE, ANSWER)},
    {LIFE_STREAMING, LIFE_EVENT_BROKEN, IF(resume), .next = LIFE_QUEUED, DO(ABORT, SETTLE_FAILED, SUBMIT)},
    {LIFE_STREAMING, LIFE_EVENT_BROKEN, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, KEEP, ANSWER)},
    {LIFE_STREAMING, LIFE_EVENT_BROKEN, .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, ANSWER)},
    {LIFE_STREAMING, LIFE_EVENT_PREEMPT, IF(resumable), .next = LIFE_QUEUED, DO(ABORT, SETTLE_CANCELLED, SUBMIT)},
    {LIFE_STREAMING, LIFE_EVENT_CALLER_LEFT, IF(claimed), .next = LIFE_STREAMING, DO(DETACH)},
    {LIFE_STREAMING, LIFE_EVENT_CALLER_LEFT, .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_CANCELLED, ANSWER)},
    {LIFE_STREAMING, LIFE_EVENT_EXPIRED, IF(claimed), .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, KEEP, ANSWER)},
    {LIFE_STREAMING, LIFE_EVENT_EXPIRED, .next = LIFE_DONE, .outcome = OUTCOME_UNKNOWN, DO(ABORT, SETTLE_FAILED, ANSWER)},
};
/* clang-format on */

static void
note_transition(life_t *life, const transition_t *t)
{
    life->state = t->next;
    if (t->outcome != OUTCOME_NONE) {
        life->outcome = t->outcome;
    }
    if (t->event == LIFE_EVENT_CLAIM_WON) {
        life->claimed = TRUE;
    }
    if (t->event == LIFE_EVENT_GRANT) {
        life->attempts++;
    }
    if (t->event == LIFE_EVENT_PREEMPT) {
        life->attempts--; /* not the endpoint's fault: no attempt is used */
    }
}

life_step_t
life_apply(life_t *life, life_event_t event)
{
    life_step_t step = {0};
    for (gsize i = 0; i < G_N_ELEMENTS(transitions); i++) {
        const transition_t *t = &transitions[i];
        if (t->state != life->state || t->event != event) {
            continue;
        }
        if (t->guard != NULL && !t->guard(life)) {
            continue;
        }
        for (int c = 0; c < LIFE_COMMANDS_MAX; c++) {
            step.commands[c] = t->commands[c];
        }
        note_transition(life, t);
        return step;
    }
    return step;
}

const char *
life_state_name(life_state_t state)
{
    static const char *const names[LIFE_STATE_COUNT] = {
        "new", "claiming", "queued", "connecting", "sent", "streaming", "done",
    };
    return names[state];
}

const char *
life_event_name(life_event_t event)
{
    static const char *const names[LIFE_EVENT_COUNT] = {
        "admit",  "claim won", "claim lost",  "claim failed", "grant",
        "refuse", "writing",   "part",        "end",          "not run",
        "broken", "preempt",   "caller left", "expired",
    };
    return names[event];
}

const char *
life_command_name(life_command_t command)
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
life_table_markdown(void)
{
    GString *out = g_string_new("| state | event | if | next | outcome | "
                                "commands |\n|---|---|---|---|---|---|\n");
    for (gsize i = 0; i < G_N_ELEMENTS(transitions); i++) {
        const transition_t *t = &transitions[i];
        g_string_append_printf(
            out, "| %s | %s | %s | %s | %s |", life_state_name(t->state),
            life_event_name(t->event), t->guard_name ? t->guard_name : "",
            life_state_name(t->next),
            t->outcome ? outcome_name(t->outcome) : "");
        for (int c = 0; c < LIFE_COMMANDS_MAX && t->commands[c]; c++) {
            g_string_append_printf(out, "%s %s", c ? "," : "",
                                   life_command_name(t->commands[c]));
        }
        g_string_append(out, " |\n");
    }
    return g_string_free(out, FALSE);
}
