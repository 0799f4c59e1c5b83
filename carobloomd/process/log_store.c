#include "carobloom/process/log_store.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include "carobloom/common/codec.h"
#include "carobloom/common/disk.h"
#include "carobloom/policy/voter_codec.h"

#define ASIDE_SUFFIX ".damaged"
#define ENTRIES_TYPE "a(ttyay)"
#define SNAPSHOT_TYPE "(tta(tbs)ay)"
enum { FRAME_HEADER = 16, FRAME_MAX = 256 * 1024 * 1024 };
static const guint32 FRAME_MAGIC = 0x6c626c63; /* "clbl" */

/* The frame's head on the disk, little-endian. */
typedef struct {
    guint32 magic;
    guint32 length;
    guint64 checksum;
} frame_t;

struct log_store {
    char *folder;
    int folder_fd;
    int log_fd;
    guint64 log_bytes;
};

static int
fail(char **why, int error, const char *what)
{
    if (why) {
        *why = g_strdup_printf("%s: %s", what, g_strerror(errno));
    }
    return error;
}

static char *
path_of(const log_store_t *s, const char *name)
{
    return g_build_filename(s->folder, name, NULL);
}

/* ---- small files, replaced whole ---- */

static gboolean
write_all(int fd, const void *data, gsize length)
{
    const char *at = data;
    while (length > 0) {
        gssize wrote = write(fd, at, length);
        if (wrote < 0 && errno == EINTR) {
            continue;
        }
        if (wrote <= 0) {
            return FALSE;
        }
        at += wrote;
        length -= (gsize)wrote;
    }
    return TRUE;
}

static frame_t
frame_of(const void *data, gsize length)
{
    return (frame_t){
        .magic = GUINT32_TO_LE(FRAME_MAGIC),
        .length = GUINT32_TO_LE((guint32)length),
        .checksum = GUINT64_TO_LE(XXH3_64bits(data, length)),
    };
}

/* Writes one frame to a new file beside, syncs, and renames it into place. */
static int
file_replace(log_store_t *s, const char *name, GBytes *body, char **why)
{
    char *path = path_of(s, name);
    char *fresh = g_strconcat(path, ".new", NULL);
    gsize length;
    const void *data = g_bytes_get_data(body, &length);
    frame_t frame = frame_of(data, length);
    int fd = open(fresh, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    gboolean ok = fd >= 0 && write_all(fd, &frame, sizeof(frame)) &&
                  write_all(fd, data, length) && disk_sync(fd) == 0;
    if (fd >= 0) {
        ok = close(fd) == 0 && ok;
    }
    ok = ok && rename(fresh, path) == 0 && disk_sync(s->folder_fd) == 0;
    int result = ok ? STORE_OK : fail(why, STORE_ERROR_WRITE, path);
    g_free(path);
    g_free(fresh);
    return result;
}

/* The body of a one-frame file; NULL in `body` when there is none. */
static int
file_read(log_store_t *s, const char *name, GBytes **body, char **why)
{
    char *path = path_of(s, name);
    char *data = NULL;
    gsize length = 0;
    *body = NULL;
    if (!g_file_test(path, G_FILE_TEST_EXISTS)) {
        g_free(path);
        return STORE_OK;
    }
    if (!g_file_get_contents(path, &data, &length, NULL)) {
        int error = fail(why, STORE_ERROR_READ, path);
        g_free(path);
        return error;
    }
    int result = STORE_ERROR_DAMAGED;
    if (length >= FRAME_HEADER) {
        frame_t frame;
        memcpy(&frame, data, sizeof(frame));
        frame_t wanted = frame_of(data + FRAME_HEADER, length - FRAME_HEADER);
        if (memcmp(&frame, &wanted, sizeof(frame)) == 0) {
            *body = g_bytes_new(data + FRAME_HEADER, length - FRAME_HEADER);
            result = STORE_OK;
        }
    }
    if (result != STORE_OK) {
        *why = g_strdup_printf("%s: damaged", path);
    }
    g_free(data);
    g_free(path);
    return result;
}

/* ---- the owner's file ---- */

static const char KEPT_FILE[] = "kept";

int
log_store_keep(log_store_t *s, GBytes *body, char **why)
{
    return file_replace(s, KEPT_FILE, body, why);
}

int
log_store_kept(log_store_t *s, GBytes **body, char **why)
{
    return file_read(s, KEPT_FILE, body, why);
}

/* ---- identity and hard state ---- */

int
log_store_set_id(log_store_t *s, guint64 id, char **why)
{
    GBytes *body = codec_write(g_variant_new("(t)", id));
    int result = file_replace(s, "identity", body, why);
    g_bytes_unref(body);
    return result;
}

static int
identity_load(log_store_t *s, store_state_t *state, char **why)
{
    GBytes *body;
    int result = file_read(s, "identity", &body, why);
    if (result != STORE_OK) {
        return result;
    }
    if (body == NULL) {
        state->id = (guint64)g_random_int() << 32 | g_random_int();
        return log_store_set_id(s, state->id, why);
    }
    GVariant *v = codec_read(body, "(t)");
    g_bytes_unref(body);
    if (v == NULL) {
        *why = g_strdup("identity: malformed");
        return STORE_ERROR_DAMAGED;
    }
    g_variant_get(v, "(t)", &state->id);
    g_variant_unref(v);
    return STORE_OK;
}

int
log_store_hard(log_store_t *s, const voter_hard_state_t *hard, char **why)
{
    GBytes *body =
        codec_write(g_variant_new("(tt)", hard->term, hard->voted_for));
    int result = file_replace(s, "hard", body, why);
    g_bytes_unref(body);
    return result;
}

static int
hard_load(log_store_t *s, store_state_t *state, char **why)
{
    GBytes *body;
    int result = file_read(s, "hard", &body, why);
    if (result != STORE_OK || body == NULL) {
        return result;
    }
    GVariant *v = codec_read(body, "(tt)");
    g_bytes_unref(body);
    if (v == NULL) {
        *why = g_strdup("hard: malformed");
        return STORE_ERROR_DAMAGED;
    }
    g_variant_get(v, "(tt)", &state->hard.term, &state->hard.voted_for);
    g_variant_unref(v);
    state->empty = FALSE;
    return STORE_OK;
}

/* ---- snapshot ---- */

static GBytes *
snapshot_bytes(const voter_snapshot_t *snapshot)
{
    GBytes *config = voter_config_write(&snapshot->config);
    GVariant *members = codec_read(config, "a(tbs)");
    GBytes *empty = g_bytes_new(NULL, 0);
    GVariant *data = g_variant_new_from_bytes(
        G_VARIANT_TYPE("ay"), snapshot->data ? snapshot->data : empty, TRUE);
    GBytes *bytes = codec_write(g_variant_new(
        "(tt@a(tbs)@ay)", snapshot->index, snapshot->term, members, data));
    g_variant_unref(members);
    g_bytes_unref(config);
    g_bytes_unref(empty);
    return bytes;
}

static int
snapshot_load(log_store_t *s, store_state_t *state, char **why)
{
    GBytes *body;
    int result = file_read(s, "snapshot", &body, why);
    if (result != STORE_OK || body == NULL) {
        return result;
    }
    GVariant *v = codec_read(body, SNAPSHOT_TYPE);
    g_bytes_unref(body);
    if (v == NULL) {
        *why = g_strdup("snapshot: malformed");
        return STORE_ERROR_DAMAGED;
    }
    GVariant *members;
    GVariant *data;
    g_variant_get(v, "(tt@a(tbs)@ay)", &state->snapshot.index,
                  &state->snapshot.term, &members, &data);
    GBytes *config = codec_write(members);
    voter_config_read(config, &state->snapshot.config);
    g_bytes_unref(config);
    g_variant_unref(members);
    state->snapshot.data = g_variant_get_data_as_bytes(data);
    g_variant_unref(data);
    g_variant_unref(v);
    state->empty = FALSE;
    return STORE_OK;
}

/* ---- the log ---- */

static void
entry_free(gpointer data)
{
    log_entry_free(data);
}

static gboolean
frame_entries(GBytes *body, GPtrArray *out)
{
    GVariant *v = codec_read(body, ENTRIES_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariantIter iter;
    g_variant_iter_init(&iter, v);
    log_entry_t e;
    guchar kind;
    GVariant *data;
    while (g_variant_iter_next(&iter, "(tty@ay)", &e.index, &e.term, &kind,
                               &data)) {
        log_entry_t *entry = g_new(log_entry_t, 1);
        *entry = (log_entry_t){.index = e.index,
                               .term = e.term,
                               .kind = (entry_kind_t)kind,
                               .data = g_variant_get_data_as_bytes(data)};
        g_variant_unref(data);
        g_ptr_array_add(out, entry);
    }
    g_variant_unref(v);
    return TRUE;
}

/* The length of the good frame at `at`, or 0. */
static gsize
frame_at(const char *data, gsize length, gsize at)
{
    frame_t frame;
    if (length - at < FRAME_HEADER) {
        return 0;
    }
    memcpy(&frame, data + at, sizeof(frame));
    gsize size = GUINT32_FROM_LE(frame.length);
    if (GUINT32_FROM_LE(frame.magic) != FRAME_MAGIC || size > FRAME_MAX ||
        size > length - at - FRAME_HEADER) {
        return 0;
    }
    frame_t wanted = frame_of(data + at + FRAME_HEADER, size);
    return memcmp(&frame, &wanted, sizeof(frame)) == 0 ? FRAME_HEADER + size
                                                       : 0;
}

static gboolean
good_frame_after(const char *data, gsize length, gsize at)
{
    for (gsize i = at + 1; i + FRAME_HEADER <= length; i++) {
        if (frame_at(data, length, i) > 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Takes a frame's entries; those it repeats from an index on are replaced. */
static gboolean
take_frame(GPtrArray *entries, GBytes *body)
{
    GPtrArray *fresh = g_ptr_array_new();
    gboolean ok = frame_entries(body, fresh) && fresh->len > 0;
    for (guint i = 0; i < fresh->len; i++) {
        log_entry_t *entry = fresh->pdata[i];
        const log_entry_t *first =
            entries->len > 0 ? entries->pdata[0] : entry;
        guint64 place = entry->index - first->index;
        if (!ok || entry->index < first->index || place > entries->len) {
            ok = FALSE; /* a gap */
            log_entry_free(entry);
            continue;
        }
        g_ptr_array_set_size(entries, (gint)place);
        g_ptr_array_add(entries, entry);
    }
    g_ptr_array_unref(fresh);
    return ok;
}

/* Leaves the entries after the snapshot. A log that has another entry where
 * the snapshot ends is the one that the snapshot replaced: power was lost
 * before the log was rewritten, and nothing of it holds. Returns FALSE where
 * entries are missing in between. */
static gboolean
entries_follow_snapshot(store_state_t *state, gboolean *replaced)
{
    const voter_snapshot_t *snapshot = &state->snapshot;
    GPtrArray *entries = state->entries;
    const log_entry_t *first = entries->len > 0 ? entries->pdata[0] : NULL;
    *replaced = FALSE;
    if (first == NULL || first->index == snapshot->index + 1) {
        return TRUE;
    }
    if (first->index > snapshot->index) {
        return FALSE;
    }
    guint64 covered = snapshot->index - first->index + 1;
    const log_entry_t *last =
        covered <= entries->len ? entries->pdata[covered - 1] : NULL;
    *replaced = last == NULL || last->term != snapshot->term;
    g_ptr_array_remove_range(entries, 0,
                             *replaced ? entries->len : (guint)covered);
    return TRUE;
}

/* Reads the frames of the log file; `at` gets where the good ones end. */
static int
frames_load(store_state_t *state, const char *path, const char *data,
            gsize length, gsize *at, char **why)
{
    while (*at < length) {
        gsize size = frame_at(data, length, *at);
        if (size == 0 && good_frame_after(data, length, *at)) {
            *why = g_strdup_printf("%s: damaged at byte %zu of %zu", path, *at,
                                   length);
            return STORE_ERROR_DAMAGED;
        }
        if (size == 0) {
            return STORE_OK;
        }
        GBytes *body =
            g_bytes_new(data + *at + FRAME_HEADER, size - FRAME_HEADER);
        gboolean taken = take_frame(state->entries, body);
        g_bytes_unref(body);
        if (!taken) {
            *why = g_strdup_printf("%s: entries do not follow at byte %zu",
                                   path, *at);
            return STORE_ERROR_DAMAGED;
        }
        *at += size;
    }
    return STORE_OK;
}

static int
log_load(log_store_t *s, store_state_t *state, char **why)
{
    char *path = path_of(s, "log");
    char *data = NULL;
    gsize length = 0;
    gsize at = 0;
    gboolean replaced = FALSE;
    int result = STORE_OK;
    if (g_file_test(path, G_FILE_TEST_EXISTS) &&
        !g_file_get_contents(path, &data, &length, NULL)) {
        result = fail(why, STORE_ERROR_READ, path);
    }
    if (result == STORE_OK) {
        result = frames_load(state, path, data, length, &at, why);
    }
    if (result == STORE_OK && !entries_follow_snapshot(state, &replaced)) {
        *why = g_strdup_printf("%s: entries do not follow the snapshot", path);
        result = STORE_ERROR_DAMAGED;
    }
    if (result == STORE_OK) {
        state->empty = state->empty && state->entries->len == 0;
        at = replaced ? 0 : at;
        state->cut_bytes = length - at;
        s->log_bytes = at;
        s->log_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (s->log_fd < 0 || ftruncate(s->log_fd, (off_t)at) != 0 ||
            disk_sync(s->log_fd) != 0 || disk_sync(s->folder_fd) != 0) {
            result = fail(why, STORE_ERROR_WRITE, path);
        }
    }
    g_free(data);
    g_free(path);
    return result;
}

static GBytes *
entries_bytes(const replica_log_t *log, guint64 from)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(ENTRIES_TYPE));
    for (guint64 i = from; i <= replica_log_last_index(log); i++) {
        const log_entry_t *e = replica_log_get(log, i);
        GVariant *data =
            g_variant_new_from_bytes(G_VARIANT_TYPE("ay"), e->data, TRUE);
        g_variant_builder_add(&b, "(tty@ay)", e->index, e->term,
                              (guchar)e->kind, data);
    }
    return codec_write(g_variant_builder_end(&b));
}

/* Appends one frame and syncs; a failure leaves the file as it was, if the
 * disk lets us. */
static int
frame_append(log_store_t *s, GBytes *body, char **why)
{
    gsize length;
    const void *data = g_bytes_get_data(body, &length);
    frame_t frame = frame_of(data, length);
    gboolean ok = lseek(s->log_fd, (off_t)s->log_bytes, SEEK_SET) >= 0 &&
                  write_all(s->log_fd, &frame, sizeof(frame)) &&
                  write_all(s->log_fd, data, length) &&
                  disk_sync_data(s->log_fd) == 0;
    if (!ok) {
        int result = fail(why, STORE_ERROR_WRITE, "log");
        if (ftruncate(s->log_fd, (off_t)s->log_bytes) != 0) {
            errno = 0; /* told already; the next open cuts it */
        }
        return result;
    }
    s->log_bytes += sizeof(frame) + length;
    return STORE_OK;
}

int
log_store_append(log_store_t *s, const replica_log_t *log, guint64 from,
                 char **why)
{
    /* Entries that replace earlier ones follow them: reading takes the later
     * frame for an index. So nothing acknowledged is ever cut. */
    if (from > replica_log_last_index(log)) {
        return STORE_OK;
    }
    GBytes *body = entries_bytes(log, from);
    int result = frame_append(s, body, why);
    g_bytes_unref(body);
    return result;
}

int
log_store_snapshot(log_store_t *s, const voter_snapshot_t *snapshot,
                   const replica_log_t *log, char **why)
{
    GBytes *body = snapshot_bytes(snapshot);
    int result = file_replace(s, "snapshot", body, why);
    g_bytes_unref(body);
    if (result != STORE_OK) {
        return result;
    }
    /* The old log is harmless beside the new snapshot: what it holds up to
     * there is skipped, and all of it if its last entry there is another one
     * than the snapshot's. A crash before the rename loses nothing. */
    char *path = path_of(s, "log");
    char *fresh = g_strconcat(path, ".new", NULL);
    int old = s->log_fd;
    s->log_fd = open(fresh, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    s->log_bytes = 0;
    if (s->log_fd < 0) {
        result = fail(why, STORE_ERROR_WRITE, fresh);
    }
    else if (replica_log_last_index(log) > snapshot->index) {
        result = log_store_append(s, log, snapshot->index + 1, why);
    }
    else if (disk_sync(s->log_fd) != 0) {
        result = fail(why, STORE_ERROR_WRITE, fresh);
    }
    if (result == STORE_OK &&
        (rename(fresh, path) != 0 || disk_sync(s->folder_fd) != 0)) {
        result = fail(why, STORE_ERROR_WRITE, path);
    }
    close(old);
    g_free(path);
    g_free(fresh);
    return result;
}

guint64
log_store_bytes(const log_store_t *s)
{
    return s->log_bytes;
}

/* ---- life ---- */

int
log_store_set_aside(const char *folder, char **why)
{
    static const char *const NAMES[] = {"identity", "hard", "snapshot", "log"};
    int folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder_fd < 0) {
        return fail(why, STORE_ERROR_OPEN, folder);
    }
    int result = STORE_OK;
    for (gsize i = 0; i < G_N_ELEMENTS(NAMES) && result == STORE_OK; i++) {
        char *path = g_build_filename(folder, NAMES[i], NULL);
        char *aside = g_strconcat(path, ASIDE_SUFFIX, NULL);
        if (rename(path, aside) != 0 && errno != ENOENT) {
            result = fail(why, STORE_ERROR_WRITE, path);
        }
        g_free(aside);
        g_free(path);
        /* Each is lost for good before the next: what is left without the
         * identity belongs to nobody. */
        if (result == STORE_OK && disk_sync(folder_fd) != 0) {
            result = fail(why, STORE_ERROR_WRITE, folder);
        }
    }
    close(folder_fd);
    return result;
}

/* What can not be expected to pass. */
static int
folder_error(void)
{
    return errno == EACCES || errno == EPERM || errno == ENOTDIR ||
                   errno == EEXIST || errno == EROFS || errno == ENOENT
               ? STORE_ERROR_OPEN
               : STORE_ERROR_READ;
}

/* A folder that was just made is lost with the power unless its parent is
 * synced. */
static int
folder_make(const char *folder, char **why)
{
    if (g_file_test(folder, G_FILE_TEST_IS_DIR)) {
        return STORE_OK;
    }
    char *parent = g_path_get_dirname(folder);
    int result = g_mkdir_with_parents(folder, 0700) == 0
                     ? STORE_OK
                     : fail(why, folder_error(), folder);
    int fd = open(parent, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (result == STORE_OK && (fd < 0 || disk_sync(fd) != 0)) {
        result = fail(why, STORE_ERROR_WRITE, parent);
    }
    if (fd >= 0) {
        close(fd);
    }
    g_free(parent);
    return result;
}

void
store_state_clear(store_state_t *state)
{
    g_clear_pointer(&state->entries, g_ptr_array_unref);
    g_clear_pointer(&state->snapshot.data, g_bytes_unref);
}

int
log_store_open(const char *folder, log_store_t **store, store_state_t *state,
               char **why)
{
    log_store_t *s = g_new0(log_store_t, 1);
    s->folder = g_strdup(folder);
    s->log_fd = -1;
    *state = (store_state_t){
        .empty = TRUE, .entries = g_ptr_array_new_with_free_func(entry_free)};
    int result = folder_make(folder, why);
    s->folder_fd = result == STORE_OK
                       ? open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC)
                       : -1;
    if (result == STORE_OK && s->folder_fd < 0) {
        result = fail(why, folder_error(), folder);
    }
    if (result == STORE_OK && flock(s->folder_fd, LOCK_EX | LOCK_NB) != 0) {
        result = fail(why, STORE_ERROR_BUSY, "another process uses it");
    }
    if (result == STORE_OK) {
        char *aside = path_of(s, "identity" ASIDE_SUFFIX);
        state->set_aside = g_file_test(aside, G_FILE_TEST_EXISTS);
        g_free(aside);
        result = identity_load(s, state, why);
    }
    if (result == STORE_OK) {
        result = hard_load(s, state, why);
    }
    if (result == STORE_OK) {
        result = snapshot_load(s, state, why);
    }
    if (result == STORE_OK) {
        result = log_load(s, state, why);
    }
    if (result != STORE_OK) {
        store_state_clear(state);
        log_store_close(s);
        return result;
    }
    *store = s;
    return STORE_OK;
}

void
log_store_close(log_store_t *s)
{
    if (s->log_fd >= 0) {
        close(s->log_fd);
    }
    if (s->folder_fd >= 0) {
        close(s->folder_fd);
    }
    g_free(s->folder);
    g_free(s);
}
