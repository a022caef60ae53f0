#include "owner/owner_port.h"

#include <pthread.h>
#include <string.h>

#include "base/counter.h"

#define MAX_ATTEMPTS 16384
#define ATTEMPT_RETENTION_MS 30000

typedef struct Attempt {
    OwnerAttempt id;
    ClockMs ended; /* time at which it was answered or voided */
    OwnerAttemptState state;
} Attempt;

struct OwnerPort {
    OwnerPort_desc desc;
    HttpServer *server;
    pthread_mutex_t lock;
    GHashTable *attempts; /* &Attempt.id -> Attempt */
    GQueue order;         /* Attempt that is answered or void, oldest first */
};

/* Called with the lock held. */
static void
evict_old(OwnerPort *port, ClockMs now)
{
    Attempt *oldest = g_queue_peek_head(&port->order);

    while (oldest != NULL && (oldest->ended < now - ATTEMPT_RETENTION_MS ||
                              port->order.length > MAX_ATTEMPTS)) {
        g_queue_pop_head(&port->order);
        g_hash_table_remove(port->attempts, &oldest->id);
        oldest = g_queue_peek_head(&port->order);
    }
}

/* Called with the lock held. */
static Attempt *
add_attempt(OwnerPort *port, OwnerAttempt id)
{
    Attempt *attempt = g_new0(Attempt, 1);

    attempt->id = id;
    attempt->state = OWNER_ATTEMPT_RUNNING;
    g_hash_table_insert(port->attempts, &attempt->id, attempt);
    return attempt;
}

/* From now on the attempt may be dropped after its time of retention. Called
 * with the lock held. */
static void
retire_attempt(OwnerPort *port, Attempt *attempt, OwnerAttemptState state,
               ClockMs now)
{
    attempt->state = state;
    attempt->ended = now;
    g_queue_push_tail(&port->order, attempt);
    evict_old(port, now);
}

/* Returns FALSE if the attempt was voided or is a duplicate. */
static gboolean
begin_attempt(OwnerPort *port, OwnerAttempt id)
{
    gboolean is_new;

    pthread_mutex_lock(&port->lock);
    is_new = g_hash_table_lookup(port->attempts, &id) == NULL;
    if (is_new) {
        (void)add_attempt(port, id);
    }
    pthread_mutex_unlock(&port->lock);
    return is_new;
}

static void
end_attempt(OwnerPort *port, OwnerAttempt id)
{
    Attempt *attempt;

    pthread_mutex_lock(&port->lock);
    attempt = g_hash_table_lookup(port->attempts, &id);
    if (attempt != NULL) {
        retire_attempt(port, attempt, OWNER_ATTEMPT_ANSWERED, Clock_Now());
    }
    pthread_mutex_unlock(&port->lock);
}

OwnerAttemptState
OwnerPort_QueryAttempt(OwnerPort *port, OwnerAttempt id, ClockMs now)
{
    OwnerAttemptState state;
    Attempt *attempt;

    pthread_mutex_lock(&port->lock);
    attempt = g_hash_table_lookup(port->attempts, &id);
    if (attempt != NULL) {
        state = attempt->state;
    }
    else if (port->order.length >= MAX_ATTEMPTS) {
        state = OWNER_ATTEMPT_UNKNOWN;
    }
    else {
        state = OWNER_ATTEMPT_VOID;
        retire_attempt(port, add_attempt(port, id), state, now);
    }
    pthread_mutex_unlock(&port->lock);
    return state;
}

static void
serve_call(OwnerPort *port, HttpRequest *request, OwnerWireCall *decoded)
{
    HttpAnswer answer = {0};
    OwnerReply reply = {0};
    HttpCancel *cancel;

    if (!begin_attempt(port, decoded->attempt)) {
        reply.result = RESULT_REQUEST_ID_VOID;
        reply.run = RUN_NO;
    }
    else {
        cancel = HttpCancel_Create();
        decoded->call.cancel = cancel;
        HttpRequest_OnDisconnect(request, HttpCancel_Trigger, cancel);
        Owner_Execute(port->desc.owner, &decoded->call, &reply);
        HttpRequest_OnDisconnect(request, NULL, NULL);
        HttpCancel_Destroy(cancel);
        end_attempt(port, decoded->attempt);
    }
    OwnerWire_EncodeReply(&reply, decoded->call.request_id, decoded->attempt,
                          &answer);
    HttpRequest_Respond(request, &answer);
}

static gboolean
is_peer_path(const HttpRequest *request)
{
    return strncmp(HttpRequest_Path(request), "/peer/", 6) == 0 &&
           HttpHeaders_Get(HttpRequest_Headers(request),
                           "Radishknot-Attempt") == NULL;
}

static void
serve(void *context, HttpRequest *request)
{
    OwnerPort *port = context;
    char *target = HttpRequest_Target(request);
    HttpAnswer answer = {0};
    OwnerWireCall decoded;
    size_t body_bytes;
    const char *body = HttpRequest_Body(request, &body_bytes);
    Result result = OwnerWire_DecodeCall(
        HttpRequest_Method(request), target, HttpRequest_Headers(request),
        body, body_bytes, port->desc.secret, port->desc.secret_bytes,
        HttpRequest_Arrived(request), &decoded);

    if (result == RESULT_OK) {
        serve_call(port, request, &decoded);
    }
    else if (result == RESULT_REQUEST_INVALID && is_peer_path(request) &&
             port->desc.peer_handler != NULL) {
        port->desc.peer_handler(port->desc.peer_context, request);
    }
    else {
        Counter_Refusal(result);
        HttpAnswer_SetRefusal(&answer, result, RUN_NO, NULL, NULL);
        HttpRequest_Respond(request, &answer);
    }
    OwnerWire_ClearCall(&decoded);
    g_free(target);
}

void
OwnerPort_SignPeer(const char *method, const char *target, const void *body,
                   size_t body_bytes, const void *secret, size_t secret_bytes,
                   HttpHeaders *headers)
{
    char *mac = _OwnerWire_ComputeMac(method, target, headers, body,
                                      body_bytes, secret, secret_bytes);

    HttpHeaders_Add(headers, "Radishknot-Mac", mac);
    g_free(mac);
}

OwnerPort *
OwnerPort_Create(const OwnerPort_desc *desc, GError **error)
{
    OwnerPort *port = g_new0(OwnerPort, 1);
    HttpServer_desc server = {.address = desc->address,
                              .worker_threads = desc->threads,
                              .max_body_bytes = desc->max_body_bytes,
                              .handler = serve,
                              .context = port};

    port->desc = *desc;
    port->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&port->order);
    pthread_mutex_init(&port->lock, NULL);
    port->server = HttpServer_Create(&server, error);
    if (port->server == NULL) {
        OwnerPort_Destroy(port);
        return NULL;
    }
    return port;
}

uint16_t
OwnerPort_Number(const OwnerPort *port)
{
    return HttpServer_Port(port->server);
}

gboolean
OwnerPort_Drain(OwnerPort *port, ClockMs until)
{
    return HttpServer_Drain(port->server, until);
}

gboolean
OwnerPort_AwaitReceipt(OwnerPort *port, ClockMs until)
{
    return HttpServer_AwaitReceipt(port->server, until);
}

void
OwnerPort_Destroy(OwnerPort *port)
{
    if (port == NULL) {
        return;
    }
    HttpServer_Destroy(port->server);
    g_queue_clear(&port->order);
    g_hash_table_destroy(port->attempts);
    pthread_mutex_destroy(&port->lock);
    g_free(port);
}
