#include "rpc/client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/counter.h"
#include "rpc/seal.h"

#define MAX_DATAGRAM_BYTES 8192
/* Sizes of the ONC RPC headers before the argument and before the result. */
#define CALL_BYTES 40
#define REPLY_BYTES 24

typedef struct Handle {
    CLIENT *rpc; /* NULL: free slot */
    uint32_t ip;
    uint16_t port;
    gboolean is_busy;
    uint64_t used; /* value of RpcClient.uses at the last use */
} Handle;

struct RpcClient {
    pthread_mutex_t lock;
    pthread_cond_t released;
    int retransmit_ms;
    uint32_t max_handles;
    uint64_t uses;
    Handle *handles;
};

RpcClient *
RpcClient_Create(uint32_t max_handles, int retransmit_ms)
{
    RpcClient *client = g_new0(RpcClient, 1);

    client->max_handles = max_handles;
    client->retransmit_ms = retransmit_ms;
    client->handles = g_new0(Handle, max_handles);
    pthread_mutex_init(&client->lock, NULL);
    Condition_Init(&client->released);
    return client;
}

void
RpcClient_Destroy(RpcClient *client)
{
    if (client == NULL) {
        return;
    }
    for (uint32_t i = 0; i < client->max_handles; i++) {
        if (client->handles[i].rpc != NULL) {
            clnt_destroy(client->handles[i].rpc);
        }
    }
    pthread_cond_destroy(&client->released);
    pthread_mutex_destroy(&client->lock);
    g_free(client->handles);
    g_free(client);
}

static struct timeval
timeval_of(int milliseconds)
{
    return (struct timeval){.tv_sec = milliseconds / 1000,
                            .tv_usec = (milliseconds % 1000) * 1000};
}

static CLIENT *
open_handle(const RpcClient *client, uint32_t ip, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port),
                                  .sin_addr.s_addr = htonl(ip)};
    struct netbuf to = {
        .maxlen = sizeof(address), .len = sizeof(address), .buf = &address};
    struct timeval retransmit = timeval_of(client->retransmit_ms);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    CLIENT *rpc;

    if (fd < 0) {
        return NULL;
    }
    rpc = clnt_dg_create(fd, &to, RPC_PROGRAM, RPC_VERSION, MAX_DATAGRAM_BYTES,
                         MAX_DATAGRAM_BYTES);
    if (rpc == NULL) {
        close(fd);
        return NULL;
    }
    clnt_control(rpc, CLSET_FD_CLOSE, NULL);
    clnt_control(rpc, CLSET_RETRY_TIMEOUT, (char *)&retransmit);
    return rpc;
}

/* Returns an idle handle of the address, else the slot for a new one: a free
 * slot or the least recently used idle handle. NULL if all are in use. Called
 * with the lock held. */
static Handle *
find_idle(RpcClient *client, uint32_t ip, uint16_t port)
{
    Handle *best = NULL;

    for (uint32_t i = 0; i < client->max_handles; i++) {
        Handle *handle = &client->handles[i];

        if (handle->is_busy) {
            continue;
        }
        if (handle->rpc != NULL && handle->ip == ip && handle->port == port) {
            return handle;
        }
        if (best == NULL || handle->used < best->used) {
            best = handle;
        }
    }
    return best;
}

/* Waits until *deadline (CLOCK_MONOTONIC) for an idle handle and marks it as
 * in use. */
static Handle *
acquire_handle(RpcClient *client, uint32_t ip, uint16_t port,
               const struct timespec *deadline)
{
    CLIENT *unused = NULL;
    Handle *handle;
    int status = 0;

    pthread_mutex_lock(&client->lock);
    handle = find_idle(client, ip, port);
    while (handle == NULL && status == 0) {
        status =
            pthread_cond_timedwait(&client->released, &client->lock, deadline);
        handle = find_idle(client, ip, port);
    }
    if (handle != NULL) {
        handle->is_busy = TRUE;
        handle->used = ++client->uses;
        if (handle->ip != ip || handle->port != port) {
            unused = handle->rpc;
            handle->rpc = NULL;
            handle->ip = ip;
            handle->port = port;
        }
    }
    pthread_mutex_unlock(&client->lock);
    if (unused != NULL) {
        clnt_destroy(unused);
    }
    if (handle != NULL && handle->rpc == NULL) {
        handle->rpc = open_handle(client, ip, port);
    }
    return handle;
}

/* Late replies to a call that failed would arrive at the socket and take the
 * time of the next calls: after a failure it is closed. */
static void
release_handle(RpcClient *client, Handle *handle, gboolean failed)
{
    if (failed && handle->rpc != NULL) {
        clnt_destroy(handle->rpc);
        handle->rpc = NULL;
    }
    pthread_mutex_lock(&client->lock);
    handle->used = handle->rpc != NULL ? handle->used : 0;
    handle->is_busy = FALSE;
    pthread_cond_signal(&client->released);
    pthread_mutex_unlock(&client->lock);
}

static struct timespec
deadline_after(int milliseconds)
{
    struct timespec deadline;

    clock_gettime(CLOCK_MONOTONIC, &deadline);
    deadline.tv_sec += milliseconds / 1000;
    deadline.tv_nsec += (milliseconds % 1000) * 1000000L;
    if (deadline.tv_nsec >= 1000000000L) {
        deadline.tv_sec++;
        deadline.tv_nsec -= 1000000000L;
    }
    return deadline;
}

gboolean
RpcClient_Exchange(RpcClient *client, const RpcExchange *exchange,
                   RpcSealed *reply)
{
    struct timespec deadline = deadline_after(exchange->timeout_ms);
    ClockMs start = Clock_Now();
    Handle *handle =
        acquire_handle(client, exchange->ip, exchange->port, &deadline);
    ClockMs left = exchange->timeout_ms - (Clock_Now() - start);
    RpcSealed *request = exchange->request;
    enum clnt_stat status = RPC_FAILED;

    if (handle == NULL) {
        return FALSE;
    }
    if (handle->rpc != NULL && left > 0) {
        exchange->seal(exchange->context, request);
        Counter_Add(COUNTER_RPC_SENT, 1);
        Counter_Add(COUNTER_RPC_BYTES_SENT,
                    CALL_BYTES + RPC_SEAL_BYTES +
                        (request->body.body_len + 3) / 4 * 4);
        status = clnt_call(handle->rpc, RPC_CALL, (xdrproc_t)xdr_RpcSealed,
                           (caddr_t)request, (xdrproc_t)xdr_RpcSealed,
                           (caddr_t)reply, timeval_of((int)left));
    }
    release_handle(client, handle, status != RPC_SUCCESS);
    if (status != RPC_SUCCESS) {
        xdr_free((xdrproc_t)xdr_RpcSealed, reply);
        return FALSE;
    }
    Counter_Add(COUNTER_RPC_RECEIVED, 1);
    Counter_Add(COUNTER_RPC_BYTES_RECEIVED,
                REPLY_BYTES + RPC_SEAL_BYTES +
                    (reply->body.body_len + 3) / 4 * 4);
    return TRUE;
}
