#include "rpc/rpc.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <urcu.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "rpc/client.h"
#include "rpc/seal.h"
#include "rpc/server.h"
#include "rpc/session.h"

#define MAX_WORKERS 16
#define DEFAULT_WORKERS 2
/* A ping-request waits up to 300 ms. When half of the fleet is unreachable, a
 * host receives 1.5 ping-requests per second, which occupy half of one
 * thread. */
#define PING_REQUEST_THREADS 2
#define MAX_JOBS 1024
/* More than the host ids of a fleet of 7,400 hosts, including failed and
 * replaced hosts. */
#define DEFAULT_PEERS 10240
/* Size of the ONC RPC header before the argument. */
#define CALL_BYTES 40
/* Number of invalid replies (wrong MAC, old session, reply to another request)
 * after which a call fails with RESULT_RPC_TIMEOUT. */
#define MAX_INVALID_REPLIES 8

/* A message queued for a handler. */
typedef struct Job {
    RpcReplyAddress reply_to;
    RpcHeader header;
    GByteArray *body;
} Job;

enum {
    POOL_NONE = -1,
    POOL_PING_REQUESTS, /* ping-requests, which wait for a third host */
    POOL_WORKERS,       /* kinds from RPC_FIRST_WORKER_KIND */
    POOL_COUNT
};

/* Threads that run handlers, behind a bounded queue. */
typedef struct WorkerPool {
    Rpc *rpc;
    pthread_mutex_t lock;
    pthread_cond_t added;
    GQueue jobs;
    gboolean is_stopping;
    uint32_t wanted_threads;
    uint32_t thread_count;
    pthread_t threads[MAX_WORKERS];
} WorkerPool;

typedef struct Handler {
    RpcHandler function;
    void *context;
} Handler;

struct Rpc {
    uint64_t host;
    RpcSecret secret;
    RpcServer *server;
    RpcClient *client;
    Handler handlers[RPC_KIND_LIMIT];

    uint64_t incarnation;         /* atomic */
    uint64_t sequence;            /* atomic; last one used */
    uint64_t refused_incarnation; /* atomic */
    gboolean is_stopped;          /* atomic */

    pthread_mutex_t session_lock;
    RpcSession *session;

    WorkerPool pools[POOL_COUNT];
};

static uint64_t
load(const uint64_t *value)
{
    return __atomic_load_n(value, __ATOMIC_ACQUIRE);
}

static void
raise_to(uint64_t *value, uint64_t min)
{
    uint64_t found = load(value);

    while (found < min &&
           !__atomic_compare_exchange_n(value, &found, min, FALSE,
                                        __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE)) {
    }
}

static void
refuse(const char *reason, const RpcHeader *header)
{
    Counter_Add(COUNTER_RPC_REFUSED, 1);
    Log_Event(LOG_RPC_REFUSED,
              "reason=%s sender=%016" PRIx64 " incarnation=%" PRIu64
              " kind=%u",
              reason, (uint64_t)header->sender,
              (uint64_t)header->sender_incarnation, header->kind);
}

/* Sends the reply to a request, with its MAC. */
static void
send_reply(Rpc *rpc, const RpcReplyAddress *reply_to, const RpcHeader *request,
           Result result, const GByteArray *body)
{
    RpcSealed reply = {
        .header = {.direction = RPC_REPLY,
                   .sender = rpc->host,
                   .sender_incarnation = load(&rpc->incarnation),
                   .receiver = request->sender,
                   .receiver_incarnation = request->sender_incarnation,
                   .sequence = request->sequence,
                   .kind = request->kind,
                   .result = (u_int)result},
        .body = {.body_len = body->len, .body_val = (char *)body->data}};

    RpcSeal_SetMac(&rpc->secret, &reply);
    RpcServer_Send(rpc->server, reply_to, &reply);
}

/* Runs the handler, caches its reply and sends it. */
static void
run_handler(Rpc *rpc, const RpcReplyAddress *reply_to, const RpcHeader *header,
            const GByteArray *body)
{
    const Handler *handler = &rpc->handlers[header->kind];
    GByteArray *reply = g_byte_array_new();
    RpcPeer sender = {.host = header->sender,
                      .incarnation = header->sender_incarnation,
                      .ip = reply_to->ip,
                      .port = reply_to->port};
    Result result = handler->function(handler->context, &sender, body, reply);

    if (reply->len > RPC_MAX_BODY_BYTES) {
        g_byte_array_set_size(reply, 0);
        result = RESULT_TOO_LARGE;
    }
    pthread_mutex_lock(&rpc->session_lock);
    RpcSession_Store(rpc->session, header->sender, header->sender_incarnation,
                     header->sequence, result, reply);
    pthread_mutex_unlock(&rpc->session_lock);
    send_reply(rpc, reply_to, header, result, reply);
    g_byte_array_unref(reply);
}

static GByteArray *
copy_body(const RpcSealed *message)
{
    GByteArray *body = g_byte_array_sized_new(message->body.body_len);

    if (message->body.body_len > 0) {
        g_byte_array_append(body, (const guint8 *)message->body.body_val,
                            message->body.body_len);
    }
    return body;
}

/* Checks what needs no session: MAC and direction. Returns FALSE if the
 * message must be dropped. */
static gboolean
is_request(Rpc *rpc, const RpcSealed *message)
{
    if (!RpcSeal_IsValid(&rpc->secret, message)) {
        refuse("mac", &message->header);
        return FALSE;
    }
    if (message->header.direction != RPC_REQUEST) {
        refuse("direction", &message->header);
        return FALSE;
    }
    return TRUE;
}

/* Returns RESULT_OK if the message is addressed to this incarnation of this
 * host and its kind has a handler. */
static Result
check_receiver(const Rpc *rpc, const RpcHeader *header)
{
    if ((header->receiver != 0 && header->receiver != rpc->host) ||
        (header->receiver_incarnation != 0 &&
         header->receiver_incarnation != load(&rpc->incarnation))) {
        return RESULT_RPC_WRONG_RECEIVER;
    }
    if (header->kind >= RPC_KIND_LIMIT ||
        rpc->handlers[header->kind].function == NULL) {
        return RESULT_RPC_UNKNOWN_KIND;
    }
    return RESULT_OK;
}

static void
send_refusal(Rpc *rpc, const RpcReplyAddress *reply_to,
             const RpcHeader *header, Result result, GByteArray *body)
{
    u_quad_t known;

    refuse(Result_Name(result), header);
    if (result == RESULT_RPC_OLD_SESSION) {
        pthread_mutex_lock(&rpc->session_lock);
        known = RpcSession_GetIncarnation(rpc->session, header->sender);
        pthread_mutex_unlock(&rpc->session_lock);
        (void)Rpc_Encode(body, (xdrproc_t)xdr_u_quad_t, &known);
    }
    send_reply(rpc, reply_to, header, result, body);
}

/* Returns the pool that handles a kind; POOL_NONE means the server thread. */
static int
pool_of(uint32_t kind)
{
    if (kind == RPC_KIND_PING_REQUEST) {
        return POOL_PING_REQUESTS;
    }
    return kind >= RPC_FIRST_WORKER_KIND ? POOL_WORKERS : POOL_NONE;
}

static void
enqueue(WorkerPool *pool, const RpcReplyAddress *reply_to,
        const RpcSealed *message)
{
    Job *job = g_new0(Job, 1);

    *job = (Job){.reply_to = *reply_to,
                 .header = message->header,
                 .body = copy_body(message)};
    pthread_mutex_lock(&pool->lock);
    g_queue_push_tail(&pool->jobs, job);
    pthread_cond_signal(&pool->added);
    pthread_mutex_unlock(&pool->lock);
}

static gboolean
is_queue_full(WorkerPool *pool)
{
    gboolean is_full;

    pthread_mutex_lock(&pool->lock);
    is_full = g_queue_get_length(&pool->jobs) >= MAX_JOBS;
    pthread_mutex_unlock(&pool->lock);
    return is_full;
}

/* Handles a decoded message on the server thread. */
static void
receive(void *context, const RpcSealed *message,
        const RpcReplyAddress *reply_to)
{
    Rpc *rpc = context;
    const RpcHeader *header = &message->header;
    int pool = pool_of(header->kind);
    GByteArray *body;
    Result result;
    RpcAcceptance acceptance;

    Counter_Add(COUNTER_RPC_RECEIVED, 1);
    Counter_Add(COUNTER_RPC_BYTES_RECEIVED,
                CALL_BYTES + RPC_SEAL_BYTES +
                    (message->body.body_len + 3) / 4 * 4);
    if (!is_request(rpc, message)) {
        return;
    }
    /* The message is dropped before the session records its sequence number,
     * so that its retransmission is accepted. */
    if (pool != POOL_NONE && is_queue_full(&rpc->pools[pool])) {
        refuse("queue", header);
        return;
    }
    body = g_byte_array_new();
    result = check_receiver(rpc, header);
    if (result != RESULT_OK) {
        send_refusal(rpc, reply_to, header, result, body);
        g_byte_array_unref(body);
        return;
    }
    pthread_mutex_lock(&rpc->session_lock);
    acceptance = RpcSession_Accept(rpc->session, Clock_Now(), header->sender,
                                   header->sender_incarnation,
                                   header->sequence, &result, body);
    pthread_mutex_unlock(&rpc->session_lock);
    if (acceptance == RPC_ACCEPT_REFUSE) {
        send_refusal(rpc, reply_to, header, result, body);
    }
    else if (acceptance == RPC_ACCEPT_DUPLICATE) {
        Counter_Add(COUNTER_RPC_REPEATS, 1);
        send_reply(rpc, reply_to, header, result, body);
    }
    else if (acceptance == RPC_ACCEPT_RUN) {
        if (pool != POOL_NONE) {
            enqueue(&rpc->pools[pool], reply_to, message);
        }
        else {
            g_byte_array_unref(body);
            body = copy_body(message);
            run_handler(rpc, reply_to, header, body);
        }
    }
    g_byte_array_unref(body);
}

static void *
work(void *context)
{
    WorkerPool *pool = context;
    Job *job;

    rcu_register_thread();
    pthread_mutex_lock(&pool->lock);
    for (;;) {
        job = g_queue_pop_head(&pool->jobs);
        if (job == NULL && pool->is_stopping) {
            break;
        }
        if (job == NULL) {
            pthread_cond_wait(&pool->added, &pool->lock);
            continue;
        }
        pthread_mutex_unlock(&pool->lock);
        run_handler(pool->rpc, &job->reply_to, &job->header, job->body);
        g_byte_array_unref(job->body);
        g_free(job);
        pthread_mutex_lock(&pool->lock);
    }
    pthread_mutex_unlock(&pool->lock);
    rcu_unregister_thread();
    return NULL;
}

static void
create_pool(WorkerPool *pool, Rpc *rpc, uint32_t threads)
{
    pool->rpc = rpc;
    pool->wanted_threads = MIN(threads, MAX_WORKERS);
    pthread_mutex_init(&pool->lock, NULL);
    pthread_cond_init(&pool->added, NULL);
    g_queue_init(&pool->jobs);
}

static gboolean
start_pool(WorkerPool *pool, GError **error)
{
    while (pool->thread_count < pool->wanted_threads) {
        int status = pthread_create(&pool->threads[pool->thread_count], NULL,
                                    work, pool);

        if (status != 0) {
            return Result_SetError(error, RESULT_IO,
                                   "cannot start a thread: %s",
                                   strerror(status));
        }
        pool->thread_count++;
    }
    return TRUE;
}

/* Runs the queued jobs and ends the threads. */
static void
stop_pool(WorkerPool *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->is_stopping = TRUE;
    pthread_cond_broadcast(&pool->added);
    pthread_mutex_unlock(&pool->lock);
    while (pool->thread_count > 0) {
        pthread_join(pool->threads[--pool->thread_count], NULL);
    }
}

static void
destroy_pool(WorkerPool *pool)
{
    pthread_cond_destroy(&pool->added);
    pthread_mutex_destroy(&pool->lock);
}

Rpc *
Rpc_Create(const Rpc_desc *desc, GError **error)
{
    RpcServer_desc server = {.address = desc->address != NULL ? desc->address
                                                              : "127.0.0.1",
                             .port = desc->port,
                             .receive = receive};
    Rpc *rpc;

    if (desc->host == 0 || desc->secret_bytes < 16) {
        Result_SetError(error, RESULT_SETTINGS_INVALID,
                        "the host id is 0 or the fleet secret is shorter than "
                        "16 bytes");
        return NULL;
    }
    rpc = g_new0(Rpc, 1);
    rpc->host = desc->host;
    rpc->incarnation = desc->incarnation;
    create_pool(&rpc->pools[POOL_PING_REQUESTS], rpc, PING_REQUEST_THREADS);
    create_pool(&rpc->pools[POOL_WORKERS], rpc,
                desc->workers == 0 ? DEFAULT_WORKERS : desc->workers);
    rpc->secret.bytes = g_memdup2(desc->secret, desc->secret_bytes);
    rpc->secret.length = desc->secret_bytes;
    rpc->session = RpcSession_Create(desc->max_peers != 0 ? desc->max_peers
                                                          : DEFAULT_PEERS,
                                     desc->_accept_old_sessions);
    rpc->client =
        RpcClient_Create(desc->handles != 0 ? desc->handles : 64,
                         desc->retransmit_ms != 0 ? desc->retransmit_ms : 150);
    pthread_mutex_init(&rpc->session_lock, NULL);
    server.context = rpc;
    rpc->server = RpcServer_Create(&server, error);
    if (rpc->server == NULL) {
        Rpc_Destroy(rpc);
        return NULL;
    }
    return rpc;
}

uint16_t
Rpc_GetPort(const Rpc *rpc)
{
    return RpcServer_GetPort(rpc->server);
}

void
Rpc_Handle(Rpc *rpc, uint32_t kind, RpcHandler handler, void *context)
{
    g_assert(kind < RPC_KIND_LIMIT);
    rpc->handlers[kind] = (Handler){.function = handler, .context = context};
}

gboolean
Rpc_Start(Rpc *rpc, GError **error)
{
    return start_pool(&rpc->pools[POOL_PING_REQUESTS], error) &&
           start_pool(&rpc->pools[POOL_WORKERS], error) &&
           RpcServer_Start(rpc->server, error);
}

void
Rpc_Stop(Rpc *rpc)
{
    __atomic_store_n(&rpc->is_stopped, TRUE, __ATOMIC_RELEASE);
    RpcServer_Stop(rpc->server);
    stop_pool(&rpc->pools[POOL_PING_REQUESTS]);
    stop_pool(&rpc->pools[POOL_WORKERS]);
}

void
Rpc_Destroy(Rpc *rpc)
{
    if (rpc == NULL) {
        return;
    }
    if (rpc->server != NULL) {
        Rpc_Stop(rpc);
    }
    RpcServer_Destroy(rpc->server);
    RpcClient_Destroy(rpc->client);
    RpcSession_Destroy(rpc->session);
    destroy_pool(&rpc->pools[POOL_PING_REQUESTS]);
    destroy_pool(&rpc->pools[POOL_WORKERS]);
    pthread_mutex_destroy(&rpc->session_lock);
    memset(rpc->secret.bytes, 0, rpc->secret.length);
    g_free(rpc->secret.bytes);
    g_free(rpc);
}

/* Returns TRUE if the reply has a valid MAC, belongs to the request and is not
 * of an old session. */
static gboolean
is_reply_to(Rpc *rpc, const RpcSealed *reply, const RpcHeader *request)
{
    const RpcHeader *header = &reply->header;
    gboolean is_current;

    if (!RpcSeal_IsValid(&rpc->secret, reply)) {
        refuse("reply-mac", header);
        return FALSE;
    }
    if (header->direction != RPC_REPLY || header->receiver != rpc->host ||
        header->receiver_incarnation != request->sender_incarnation ||
        header->sequence != request->sequence ||
        header->kind != request->kind ||
        (request->receiver != 0 && header->sender != request->receiver &&
         header->result != RESULT_RPC_WRONG_RECEIVER)) {
        refuse("reply-to-another-request", header);
        return FALSE;
    }
    pthread_mutex_lock(&rpc->session_lock);
    is_current = RpcSession_RecordIncarnation(
        rpc->session, Clock_Now(), header->sender, header->sender_incarnation);
    pthread_mutex_unlock(&rpc->session_lock);
    if (!is_current) {
        refuse("reply-of-old-session", header);
    }
    return is_current;
}

/* Copies the body of a valid reply to the caller and returns its result. */
static Result
take_reply(Rpc *rpc, const RpcSealed *message, GByteArray *reply)
{
    u_quad_t known = 0;
    Result result;
    GByteArray *body;

    if (!Result_FromNumber((int)message->header.result, &result)) {
        result = RESULT_INTERNAL;
    }
    body = copy_body(message);
    if (result == RESULT_RPC_OLD_SESSION &&
        Rpc_Decode(body, (xdrproc_t)xdr_u_quad_t, &known)) {
        raise_to(&rpc->refused_incarnation, known);
    }
    if (reply != NULL && body->len > 0) {
        g_byte_array_append(reply, body->data, body->len);
    }
    g_byte_array_unref(body);
    return result;
}

/* Sets the sequence number and MAC of a request. A request that is sent again
 * keeps its sequence number. */
static void
seal_request(void *context, RpcSealed *request)
{
    Rpc *rpc = context;

    if (request->header.sequence == 0) {
        request->header.sequence =
            __atomic_add_fetch(&rpc->sequence, 1, __ATOMIC_RELAXED);
    }
    RpcSeal_SetMac(&rpc->secret, request);
}

Result
Rpc_CallWithResponder(Rpc *rpc, const RpcPeer *peer, uint32_t kind,
                      const GByteArray *body, GByteArray *reply,
                      int timeout_ms, RpcPeer *responder)
{
    ClockMs deadline = Clock_Now() + timeout_ms;
    RpcSealed request = {
        .header = {.direction = RPC_REQUEST,
                   .sender = rpc->host,
                   .sender_incarnation = load(&rpc->incarnation),
                   .receiver = peer->host,
                   .receiver_incarnation = peer->incarnation,
                   .kind = kind}};
    RpcExchange exchange = {.ip = peer->ip,
                            .port = peer->port,
                            .request = &request,
                            .seal = seal_request,
                            .context = rpc};
    Result result;

    if (body != NULL && body->len > RPC_MAX_BODY_BYTES) {
        return RESULT_TOO_LARGE;
    }
    if (body != NULL) {
        request.body.body_len = body->len;
        request.body.body_val = (char *)body->data;
    }
    for (int i = 0; i < MAX_INVALID_REPLIES; i++) {
        RpcSealed message = {.header = {0}};

        exchange.timeout_ms = (int)(deadline - Clock_Now());
        if (exchange.timeout_ms <= 0 ||
            __atomic_load_n(&rpc->is_stopped, __ATOMIC_ACQUIRE) ||
            !RpcClient_Exchange(rpc->client, &exchange, &message)) {
            break;
        }
        if (!is_reply_to(rpc, &message, &request.header)) {
            xdr_free((xdrproc_t)xdr_RpcSealed, &message);
            continue;
        }
        if (responder != NULL) {
            *responder =
                (RpcPeer){.host = message.header.sender,
                          .incarnation = message.header.sender_incarnation,
                          .ip = peer->ip,
                          .port = peer->port};
        }
        result = take_reply(rpc, &message, reply);
        xdr_free((xdrproc_t)xdr_RpcSealed, &message);
        return result;
    }
    return RESULT_RPC_TIMEOUT;
}

RpcPeer
Rpc_PeerAt(const struct sockaddr_in *address)
{
    return (RpcPeer){.ip = ntohl(address->sin_addr.s_addr),
                     .port = ntohs(address->sin_port)};
}

Result
Rpc_Call(Rpc *rpc, const RpcPeer *peer, uint32_t kind, const GByteArray *body,
         GByteArray *reply, int timeout_ms)
{
    return Rpc_CallWithResponder(rpc, peer, kind, body, reply, timeout_ms,
                                 NULL);
}

void
Rpc_RecordIncarnation(Rpc *rpc, uint64_t host, uint64_t incarnation)
{
    pthread_mutex_lock(&rpc->session_lock);
    (void)RpcSession_RecordIncarnation(rpc->session, Clock_Now(), host,
                                       incarnation);
    pthread_mutex_unlock(&rpc->session_lock);
}

uint64_t
Rpc_GetRefusedIncarnation(const Rpc *rpc)
{
    return load(&rpc->refused_incarnation);
}

void
Rpc_SetIncarnation(Rpc *rpc, uint64_t incarnation)
{
    __atomic_store_n(&rpc->incarnation, incarnation, __ATOMIC_RELEASE);
}

uint64_t
Rpc_GetIncarnation(const Rpc *rpc)
{
    return load(&rpc->incarnation);
}
