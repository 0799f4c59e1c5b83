#include "disk_loss.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* ---- what is synced ---- */

static char *
shadow_of(const char *folder)
{
    return g_strconcat(folder, ".synced", NULL);
}

static char *
shadow_path(const char *folder, guint64 inode)
{
    return g_strdup_printf("%s.synced/%" G_GUINT64_FORMAT, folder, inode);
}

static char *
names_path(const char *folder)
{
    return g_strconcat(folder, ".synced/names", NULL);
}

/* A GHashTable of name -> inode, of the regular files. */
static GHashTable *
names_now(const char *folder)
{
    GHashTable *names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;
    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        struct stat status;
        char *path = g_build_filename(folder, name, NULL);
        if (stat(path, &status) == 0 && S_ISREG(status.st_mode)) {
            guint64 inode = status.st_ino;
            g_hash_table_insert(names, g_strdup(name),
                                g_memdup2(&inode, sizeof(inode)));
        }
        g_free(path);
    }
    g_clear_pointer(&dir, g_dir_close);
    return names;
}

static GHashTable *
names_synced(const char *folder)
{
    GHashTable *names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    char *path = names_path(folder);
    char *text = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        char **lines = g_strsplit(text, "\n", -1);
        for (int i = 0; lines[i] != NULL; i++) {
            char *space = strrchr(lines[i], ' ');
            if (space != NULL) {
                guint64 inode = g_ascii_strtoull(space + 1, NULL, 10);
                *space = '\0';
                g_hash_table_insert(names, g_strdup(lines[i]),
                                    g_memdup2(&inode, sizeof(inode)));
            }
        }
        g_strfreev(lines);
    }
    g_free(text);
    g_free(path);
    return names;
}

/* Replaced whole, so that a kill leaves the one or the other. */
static void
put(const char *path, const char *bytes, gsize length)
{
    char *fresh = g_strdup_printf("%s.%d", path, (int)getpid());
    FILE *file = fopen(fresh, "we");
    if (file != NULL) {
        if (length > 0) {
            fwrite(bytes, 1, length, file);
        }
        fclose(file);
        g_rename(fresh, path);
    }
    g_free(fresh);
}

static void
record_names(const char *folder)
{
    GHashTable *names = names_now(folder);
    GString *text = g_string_new(NULL);
    GHashTableIter iter;
    gpointer name;
    gpointer inode;
    g_hash_table_iter_init(&iter, names);
    while (g_hash_table_iter_next(&iter, &name, &inode)) {
        g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n",
                               (char *)name, *(guint64 *)inode);
    }
    char *path = names_path(folder);
    put(path, text->str, text->len);
    g_free(path);
    g_string_free(text, TRUE);
    g_hash_table_unref(names);
}

static void
record_file(const char *folder, const char *path, guint64 inode)
{
    char *bytes = NULL;
    gsize length;
    if (g_file_get_contents(path, &bytes, &length, NULL)) {
        char *to = shadow_path(folder, inode);
        put(to, bytes, length);
        g_free(to);
        g_free(bytes);
    }
}

void
disk_loss_record(int fd)
{
    const char *folder = g_getenv("CAROBLOOM_DISK");
    char *link = g_strdup_printf("/proc/self/fd/%d", fd);
    char *path = g_file_read_link(link, NULL);
    struct stat status;
    if (folder != NULL && path != NULL && fstat(fd, &status) == 0 &&
        g_str_has_prefix(path, folder)) {
        char *shadow = shadow_of(folder);
        g_mkdir(shadow, 0700);
        g_free(shadow);
        if (S_ISDIR(status.st_mode)) {
            record_names(folder);
        }
        else {
            record_file(folder, path, status.st_ino);
        }
    }
    g_free(path);
    g_free(link);
}

/* ---- the loss ---- */

/* Bytes of a file, NULL where there are none. */
static GBytes *
read_bytes(const char *path)
{
    char *bytes;
    gsize length;
    if (!g_file_get_contents(path, &bytes, &length, NULL)) {
        return NULL;
    }
    return g_bytes_new_take(bytes, length);
}

static gsize
common_prefix(GBytes *a, GBytes *b)
{
    gsize a_length;
    gsize b_length;
    const char *x = g_bytes_get_data(a, &a_length);
    const char *y = g_bytes_get_data(b, &b_length);
    gsize at = 0;
    while (at < MIN(a_length, b_length) && x[at] == y[at]) {
        at++;
    }
    return at;
}

/* What was written since the sync, cut short or with a hole. */
static GBytes *
tear(GBytes *synced, GBytes *written, GRand *rand)
{
    gsize length;
    const char *data = g_bytes_get_data(written, &length);
    gsize from = common_prefix(synced, written);
    if (from >= length) {
        return g_bytes_ref(written);
    }
    gsize at = from + g_rand_int(rand) % (length - from);
    if (g_rand_boolean(rand)) {
        return g_bytes_new(data, at);
    }
    char *holed = g_memdup2(data, length);
    gsize end = at + g_rand_int(rand) % (length - at) + 1;
    /* The first write after a sync, as well as any later one. */
    gsize begin = g_rand_boolean(rand) ? from : at;
    memset(holed + begin, 0, end - begin);
    return g_bytes_new_take(holed, length);
}

/* Where files may be found under `inode`: still in the folder, or only as they
 * were synced. */
static GBytes *
content_of(const char *folder, guint64 inode, const char *linked,
           gboolean all_gone, GRand *rand)
{
    char *shadow = shadow_path(folder, inode);
    char *path =
        linked != NULL ? g_build_filename(folder, linked, NULL) : NULL;
    GBytes *synced = read_bytes(shadow);
    GBytes *written = path != NULL ? read_bytes(path) : NULL;
    g_free(shadow);
    g_free(path);
    if (synced == NULL) {
        synced = g_bytes_new(NULL, 0);
    }
    if (written == NULL) {
        return synced;
    }
    GBytes *found;
    switch (all_gone ? 0 : g_rand_int_range(rand, 0, 4)) {
    case 0:
        found = g_bytes_ref(synced);
        break;
    case 1:
        found = g_bytes_ref(written);
        break;
    default:
        found = tear(synced, written, rand);
        break;
    }
    g_bytes_unref(synced);
    g_bytes_unref(written);
    return found;
}

static const char *
name_of(GHashTable *names, guint64 inode)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, names);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        if (*(guint64 *)value == inode) {
            return name;
        }
    }
    return NULL;
}

/* A GHashTable of name -> GBytes: a state after the loss. */
static GHashTable *
draw_state(const char *folder, GRand *rand)
{
    GHashTable *synced = names_synced(folder);
    GHashTable *now = names_now(folder);
    GHashTable *found = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_bytes_unref);
    gboolean all_gone = g_rand_int_range(rand, 0, 4) == 0;
    GList *names = g_hash_table_get_keys(now);
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, synced);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (!g_hash_table_contains(now, name)) {
            names = g_list_prepend(names, name);
        }
    }
    /* The same draws for the same seed. */
    names = g_list_sort(names, (GCompareFunc)strcmp);
    for (GList *l = names; l != NULL; l = l->next) {
        gboolean keep = !all_gone && g_rand_boolean(rand);
        const guint64 *inode =
            g_hash_table_lookup(keep ? now : synced, l->data);
        if (inode != NULL) {
            g_hash_table_insert(found, g_strdup(l->data),
                                content_of(folder, *inode,
                                           name_of(now, *inode), all_gone,
                                           rand));
        }
    }
    g_list_free(names);
    g_hash_table_unref(synced);
    g_hash_table_unref(now);
    return found;
}

static void
clear_folder(const char *folder)
{
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;
    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(folder, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    g_clear_pointer(&dir, g_dir_close);
}

void
disk_loss_apply(const char *folder, GRand *rand)
{
    GHashTable *found = draw_state(folder, rand);
    char *shadow = shadow_of(folder);
    GHashTableIter iter;
    gpointer name;
    gpointer bytes;
    clear_folder(folder);
    clear_folder(shadow);
    g_hash_table_iter_init(&iter, found);
    while (g_hash_table_iter_next(&iter, &name, &bytes)) {
        gsize length;
        const char *data = g_bytes_get_data(bytes, &length);
        char *path = g_build_filename(folder, name, NULL);
        struct stat status;
        put(path, data, length);
        if (stat(path, &status) == 0) {
            record_file(folder, path, status.st_ino);
        }
        g_free(path);
    }
    record_names(folder);
    g_free(shadow);
    g_hash_table_unref(found);
}
