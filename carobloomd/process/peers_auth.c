#include "peers_auth.h"

#include <string.h>
#include <zmq.h>

enum { PART_BYTES = 256, PARTS_MAX = 8, CURVE_KEY_BYTES = 32 };

struct peers_auth {
    void *socket;
    GThread *thread;
    guint8 public_key[CURVE_KEY_BYTES];
};

/* A ZAP request, part by part (version, id, domain, address, identity,
 * mechanism, key). */
typedef struct {
    char parts[PARTS_MAX][PART_BYTES];
    int sizes[PARTS_MAX];
    int count;
} zap_request_t;

static gboolean
zap_read(void *socket, zap_request_t *request)
{
    *request = (zap_request_t){0};
    int more = 1;
    while (more) {
        char scratch[PART_BYTES];
        gboolean kept = request->count < PARTS_MAX;
        char *into = kept ? request->parts[request->count] : scratch;
        int size = zmq_recv(socket, into, PART_BYTES, 0);
        if (size < 0) {
            return FALSE; /* the context ends */
        }
        if (kept) {
            request->sizes[request->count++] = MIN(size, PART_BYTES);
        }
        size_t length = sizeof(more);
        zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &length);
    }
    return TRUE;
}

static void
zap_answer(void *socket, const zap_request_t *request, gboolean allow)
{
    zmq_send(socket, "1.0", 3, ZMQ_SNDMORE);
    zmq_send(socket, request->parts[1], (size_t)request->sizes[1],
             ZMQ_SNDMORE);
    zmq_send(socket, allow ? "200" : "400", 3, ZMQ_SNDMORE);
    zmq_send(socket, allow ? "OK" : "NO", 2, ZMQ_SNDMORE);
    zmq_send(socket, "", 0, ZMQ_SNDMORE);
    zmq_send(socket, "", 0, 0);
}

static gpointer
zap_run(gpointer data)
{
    peers_auth_t *auth = data;
    zap_request_t request;
    while (zap_read(auth->socket, &request)) {
        gboolean allow =
            request.count >= 7 && request.sizes[6] == CURVE_KEY_BYTES &&
            memcmp(request.parts[6], auth->public_key, CURVE_KEY_BYTES) == 0;
        zap_answer(auth->socket, &request, allow);
    }
    zmq_close(auth->socket);
    return NULL;
}

peers_auth_t *
peers_auth_create(const settings_t *settings, void *context)
{
    if (settings->peers.public_key == NULL) {
        return NULL;
    }
    peers_auth_t *auth = g_new0(peers_auth_t, 1);
    zmq_z85_decode(auth->public_key, settings->peers.public_key);
    auth->socket = zmq_socket(context, ZMQ_REP);
    zmq_bind(auth->socket, "inproc://zeromq.zap.01");
    auth->thread = g_thread_new("zap", zap_run, auth);
    return auth;
}

void
peers_auth_destroy(peers_auth_t *auth)
{
    /* The context is shut down by now, which ends the thread. */
    if (auth != NULL) {
        g_thread_join(auth->thread);
        g_free(auth);
    }
}

void
peers_auth_server(const settings_t *settings, void *socket)
{
    if (settings->peers.secret_key == NULL) {
        return;
    }
    int on = 1;
    zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &on, sizeof(on));
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, settings->peers.secret_key,
                   strlen(settings->peers.secret_key));
    zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "carobloom", strlen("carobloom"));
}

void
peers_auth_client(const settings_t *settings, void *socket)
{
    if (settings->peers.secret_key == NULL) {
        return;
    }
    const char *public_key = settings->peers.public_key;
    const char *secret_key = settings->peers.secret_key;
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, public_key,
                   strlen(public_key));
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, public_key,
                   strlen(public_key));
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, secret_key,
                   strlen(secret_key));
}
