/* carobloom: the operators' client. It reads and orders; the site document is
 * changed through the console alone. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

enum { EXIT_USAGE = 2 };

/* Sorted by name. */
static const struct {
    const char *name;
    result_t (*handle)(const context_t *context);
    const char *help;
} COMMANDS[] = {
    {"capacity", command_capacity,
     "engines wanted, ordered and present, of a control instance"},
    {"check", command_check, "FILE: check a site document, say all faults"},
    {"document", command_document,
     "[status]: print the document, or who is behind"},
    {"drain", command_drain, "let the instance finish and end"},
    {"dump", command_dump, "the whole state of the instance, as JSON"},
    {"endpoints", command_endpoints,
     "the pools it owns, or of an entry instance its endpoints"},
    {"history", command_history, "who changed the document, when"},
    {"order", command_order,
     "ADDRESS VERB VALUE: load-model, load-adapter, set-version, set-role"},
    {"status", command_status, "the instance, its voter and its peers"},
    {"usage", command_usage,
     "requests by team and window, of a control instance"},
};

static void
print_help(void **table)
{
    printf("Usage: carobloom");
    arg_print_syntax(stdout, table, "\n");
    arg_print_glossary(stdout, table, "  %-24s %s\n");
    printf("Commands:\n");
    for (gsize i = 0; i < G_N_ELEMENTS(COMMANDS); i++) {
        printf("  %-10s %s\n", COMMANDS[i].name, COMMANDS[i].help);
    }
}

static int
run(const char *name, const context_t *context)
{
    gsize at = 0;
    while (at < G_N_ELEMENTS(COMMANDS) &&
           strcmp(COMMANDS[at].name, name) != 0) {
        at++;
    }
    if (at == G_N_ELEMENTS(COMMANDS)) {
        fprintf(stderr, "carobloom: no command is named %s; see --help\n",
                name);
        return EXIT_USAGE;
    }
    result_t result = COMMANDS[at].handle(context);
    if (result.error != NULL) {
        fprintf(stderr, "carobloom: %s\n", result.error);
        g_free(result.error);
    }
    return result.code;
}

int
main(int argc, char **argv)
{
    struct arg_str *address = arg_str0(
        "a", "address", "IP:PORT", "an operators' listener (127.0.0.1:8082)");
    struct arg_str *key =
        arg_str0("k", "key", "KEY", "operator key (or CAROBLOOM_KEY)");
    struct arg_lit *tls = arg_lit0("t", "tls", "speak TLS");
    struct arg_lit *json = arg_lit0("j", "json", "print JSON");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_lit *version = arg_lit0("V", "version", "show the version");
    struct arg_str *words = arg_strn(NULL, NULL, "COMMAND", 0, 8, NULL);
    struct arg_end *end = arg_end(20);
    void *table[] = {address, key, tls, json, help, version, words, end};
    int faults = arg_parse(argc, argv, table);
    int code = 0;
    if (help->count > 0) {
        print_help(table);
    }
    else if (version->count > 0) {
        printf("carobloom %s\n", CAROBLOOM_VERSION);
    }
    else if (faults > 0 || words->count == 0) {
        arg_print_errors(stderr, end, "carobloom");
        fprintf(stderr, "carobloom: see --help\n");
        code = EXIT_USAGE;
    }
    else {
        const char *from_env = getenv("CAROBLOOM_KEY");
        context_t context = {
            .address = address->count ? address->sval[0] : "127.0.0.1:8082",
            .key = key->count ? key->sval[0]
                   : from_env ? from_env
                              : "",
            .tls = tls->count > 0,
            .json = json->count > 0,
            .argc = words->count - 1,
            .argv = (char **)words->sval + 1,
        };
        code = run(words->sval[0], &context);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
