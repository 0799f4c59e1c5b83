/* Tests that a voter's folder is taken after a loss of power at any moment,
 * and again after the next one, with all that was acknowledged. */
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "carobloom/common/disk.h"
#include "carobloom/process/log_store.h"
#include "check.h"
#include "disk_loss.h"
#include "fleet.h"

enum {
    HISTORIES = 300,
    LOSSES = 6,      /* of each history */
    OPERATIONS = 40, /* between two losses, at most */
    SYNCS_MAX = 60,  /* the same, at most */
};

/* ---- the disk ---- */

static guint syncs_left; /* 0: power is not lost */

static int
sync_or_lose_power(int fd)
{
    if (syncs_left > 0 && --syncs_left == 0) {
        _exit(0);
    }
    disk_loss_record(fd);
    return 0;
}

/* In place of the program's own. */
int
disk_sync(int fd)
{
    return sync_or_lose_power(fd);
}

int
disk_sync_data(int fd)
{
    return sync_or_lose_power(fd);
}

/* ---- a voter that uses its folder ---- */

typedef struct {
    GRand *rand;
    log_store_t *store;
    voter_hard_state_t hard;
    voter_snapshot_t snapshot;
    replica_log_t log;
    const char *journal; /* path: what may be found after a loss */
} voter_disk_t;

static char *
state_text(const voter_disk_t *d)
{
    GString *text = g_string_new(NULL);
    g_string_printf(
        text, "term %lu vote %lu snapshot %lu of %lu entries",
        (unsigned long)d->hard.term, (unsigned long)d->hard.voted_for,
        (unsigned long)d->snapshot.index, (unsigned long)d->snapshot.term);
    for (guint64 i = d->log.base_index + 1;
         i <= replica_log_last_index(&d->log); i++) {
        g_string_append_printf(text, " %lu:%lu", (unsigned long)i,
                               (unsigned long)replica_log_term(&d->log, i));
    }
    return g_string_free(text, FALSE);
}

/* A line for each state that may be found: the acknowledged one, and the one
 * that is being written. */
static void
journal_write(const voter_disk_t *d, const char *acknowledged)
{
    char *text = state_text(d);
    char *lines = g_strdup_printf("%s\n%s\n", acknowledged, text);
    g_file_set_contents(d->journal, lines, -1, NULL);
    g_free(lines);
    g_free(text);
}

static void
entry_add(voter_disk_t *d)
{
    GBytes *data = g_bytes_new_static("some command", 12);
    log_entry_t entry = {.index = replica_log_last_index(&d->log) + 1,
                         .term = MAX(d->hard.term, 1),
                         .kind = ENTRY_COMMAND,
                         .data = data};
    replica_log_append(&d->log, &entry);
    g_bytes_unref(data);
}

static int
append(voter_disk_t *d, const char *before, char **why)
{
    guint64 from = replica_log_last_index(&d->log) + 1;
    /* Entries of a leader that was deposed are replaced. */
    if (g_rand_int_range(d->rand, 0, 4) == 0 && from > d->log.base_index + 2) {
        from -= 1 + g_rand_int(d->rand) % MIN(from - d->log.base_index - 1, 4);
        replica_log_truncate(&d->log, from);
    }
    for (gint i = g_rand_int_range(d->rand, 1, 4); i > 0; i--) {
        entry_add(d);
    }
    journal_write(d, before);
    return log_store_append(d->store, &d->log, from, why);
}

static int
vote(voter_disk_t *d, const char *before, char **why)
{
    d->hard.term += (guint64)g_rand_int_range(d->rand, 1, 3);
    d->hard.voted_for = (guint64)g_rand_int_range(d->rand, 0, 4);
    journal_write(d, before);
    return log_store_hard(d->store, &d->hard, why);
}

static int
compact(voter_disk_t *d, const char *before, char **why)
{
    guint64 count = replica_log_last_index(&d->log) - d->log.base_index;
    if (count == 0) {
        return STORE_OK;
    }
    guint64 index = d->log.base_index + 1 + g_rand_int(d->rand) % count;
    d->snapshot.index = index;
    d->snapshot.term = replica_log_term(&d->log, index);
    replica_log_compact(&d->log, index, d->snapshot.term);
    journal_write(d, before);
    return log_store_snapshot(d->store, &d->snapshot, &d->log, why);
}

/* A snapshot of a leader, in place of the log. */
static int
install(voter_disk_t *d, const char *before, char **why)
{
    if (d->hard.term <= replica_log_last_term(&d->log)) {
        return STORE_OK; /* the leader would send entries */
    }
    d->snapshot.index = d->log.base_index + 1 + g_rand_int(d->rand) % 12;
    d->snapshot.term = d->hard.term;
    replica_log_truncate(&d->log, d->log.base_index + 1);
    replica_log_compact(&d->log, d->snapshot.index, d->snapshot.term);
    journal_write(d, before);
    return log_store_snapshot(d->store, &d->snapshot, &d->log, why);
}

static int
operate(voter_disk_t *d, char **why)
{
    char *before = state_text(d);
    int result;
    switch (g_rand_int_range(d->rand, 0, 10)) {
    case 0:
    case 1:
        result = vote(d, before, why);
        break;
    case 2:
        result = compact(d, before, why);
        break;
    case 3:
        result = install(d, before, why);
        break;
    default:
        result = append(d, before, why);
        break;
    }
    g_free(before);
    return result;
}

static int
disk_open(voter_disk_t *d, const char *folder, char **why)
{
    store_state_t state;
    int result = log_store_open(folder, &d->store, &state, why);
    if (result != STORE_OK) {
        return result;
    }
    d->hard = state.hard;
    d->snapshot = (voter_snapshot_t){.index = state.snapshot.index,
                                     .term = state.snapshot.term};
    replica_log_init(&d->log);
    replica_log_compact(&d->log, state.snapshot.index, state.snapshot.term);
    for (guint i = 0; i < state.entries->len; i++) {
        replica_log_append(&d->log, state.entries->pdata[i]);
    }
    store_state_clear(&state);
    return STORE_OK;
}

static void
disk_close(voter_disk_t *d)
{
    log_store_close(d->store);
    replica_log_clear(&d->log);
}

/* Uses the folder until power is lost. Does not return. */
static void
live(const char *folder, const char *journal, guint seed)
{
    voter_disk_t d = {.rand = g_rand_new_with_seed(seed), .journal = journal};
    char *why = NULL;
    int result = disk_open(&d, folder, &why);
    syncs_left = 1 + g_rand_int(d.rand) % SYNCS_MAX;
    for (int i = 0; i < OPERATIONS && result == STORE_OK; i++) {
        result = operate(&d, &why);
        char *text = state_text(&d);
        journal_write(&d, text);
        g_free(text);
    }
    _exit(result == STORE_OK ? 0 : 1);
}

static void
live_and_wait(const char *folder, const char *journal, guint seed)
{
    int status = -1;
    pid_t child = fork();
    if (child == 0) {
        live(folder, journal, seed);
    }
    waitpid(child, &status, 0);
    CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

/* ---- what is found ---- */

/* Loses power and opens the folder; prints what is wrong. The state found,
 * freed with g_free, or NULL. */
static char *
lose_and_open(const char *folder, GRand *rand, guint seed)
{
    voter_disk_t d = {0};
    char *why = NULL;
    disk_loss_apply(folder, rand);
    int result = disk_open(&d, folder, &why);
    if (result != STORE_OK) {
        printf("seed %u: %s\n", seed, why);
        g_free(why);
        return NULL;
    }
    char *text = state_text(&d);
    disk_close(&d);
    return text;
}

/* Whether each loss of a history left an acknowledged state, or the one that
 * was being written, and the next loss left it as it was. */
static gboolean
history_holds(guint seed)
{
    char *root = fleet_folder_create();
    char *folder = g_build_filename(root, "data", NULL);
    char *journal = g_build_filename(root, "journal", NULL);
    GRand *rand = g_rand_new_with_seed(seed);
    gboolean holds = TRUE;
    g_setenv("CAROBLOOM_DISK", folder, TRUE);
    for (guint i = 0; i < LOSSES && holds; i++) {
        char *lines = NULL;
        live_and_wait(folder, journal, g_rand_int(rand));
        char *first = lose_and_open(folder, rand, seed);
        char *second = lose_and_open(folder, rand, seed);
        if (first != NULL &&
            g_file_get_contents(journal, &lines, NULL, NULL)) {
            char *line = g_strconcat(first, "\n", NULL);
            holds = strstr(lines, line) != NULL;
            g_free(line);
        }
        holds = holds && first != NULL && g_strcmp0(first, second) == 0;
        if (!holds) {
            printf("seed %u, loss %u: found \"%s\", then \"%s\", of:\n%s",
                   seed, i, first, second, lines);
        }
        g_free(lines);
        g_free(first);
        g_free(second);
    }
    g_rand_free(rand);
    g_free(journal);
    g_free(folder);
    fleet_folder_remove(root);
    g_free(root);
    return holds;
}

static void
test_losses_of_power(void)
{
    const char *only_seed = g_getenv("STORE_SEED");
    guint broken = 0;
    for (guint seed = 1; seed <= HISTORIES; seed++) {
        if (only_seed == NULL || (guint)atoi(only_seed) == seed) {
            broken += !history_holds(seed);
        }
    }
    CU_ASSERT_EQUAL(broken, 0);
}

static const test_case_t cases[] = {
    {"a folder is taken after losses of power", test_losses_of_power},
};

CHECK_MAIN("log_store", cases)
