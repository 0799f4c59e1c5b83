/* Settings of one process, from a JSON file with comments.
 *
 * samples/settings.jsonc documents every key. */
#ifndef CAROBLOOM_PROCESS_SETTINGS_H
#define CAROBLOOM_PROCESS_SETTINGS_H

#include <glib.h>

#include "carobloom/common/str.h"

enum {
    SETTINGS_OK = 0,
    SETTINGS_ERROR_READ = -1,  /* the file can not be read */
    SETTINGS_ERROR_FAULTS = -2 /* it has faults; all are listed */
};

/* One listener. `certificate` and `key` are PEM files, both or neither. */
typedef struct {
    char *address;
    char *certificate;
    char *key;
} listener_settings_t;

typedef struct {
    char *name;
    char *sha256; /* of the operator's key */
} operator_settings_t;

typedef struct {
    char *address;
    char **seeds;
    char *public_key; /* Z85, 40 characters; the whole site shares one pair */
    char *secret_key;
} peers_settings_t;

typedef struct {
    char *instance;
    char *data_centre;
    char *region;
    gboolean control;  /* may own pools; where none may, all do */
    char *data_folder; /* NULL: no disk */
    char **voters;     /* names; empty: this instance alone */
    gint64 http_threads;
    gint64 connections;
    gint64 drain_notice_ms; /* not ready for so long before listeners close */
    char *log_form;
    char *log_level;
    listener_settings_t callers;
    listener_settings_t platform;
    listener_settings_t operators;
    GArray *operator_keys; /* operator_settings_t */
    peers_settings_t peers;
} settings_t;

/* Reads a file; `faults` get "line N: path: text" ready to print. */
int settings_load(const char *path, settings_t **settings, GPtrArray *faults);
/* The same from memory. */
int settings_parse(str_t text, settings_t **settings, GPtrArray *faults);
void settings_destroy(settings_t *settings);
/* Parses "host:port"; FALSE unless the host is an IP number. */
gboolean address_parse(const char *text, char **host, guint16 *port);
gboolean address_is_loopback(const char *text);

#endif
