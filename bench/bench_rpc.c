/* bench_rpc: latency and CPU time of RPC calls on loopback, and the memory of
 * the sessions of 7,400 peers. */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "rpc/rpc.h"
#include "rpc/session.h"

#define CALLS 5000
#define THREADS 4
#define PEERS 7400
#define DRAW_BYTES 100

static const char secret[] = "sixteen bytes or more";

typedef struct Caller {
    Rpc *rpc;
    RpcPeer to;
    uint32_t kind;
    guint bytes;
    int64_t times[CALLS];
} Caller;

static Result
echo(void *context, const RpcPeer *sender, const GByteArray *body,
     GByteArray *reply)
{
    (void)context;
    (void)sender;
    g_byte_array_append(reply, body->data, body->len);
    return RESULT_OK;
}

static Rpc *
start(uint64_t host)
{
    Rpc_desc desc = {.host = host,
                     .incarnation = 1,
                     .secret = secret,
                     .secret_bytes = sizeof(secret)};
    Rpc *rpc = Rpc_Create(&desc, NULL);

    if (rpc == NULL) {
        exit(1);
    }
    Rpc_Handle(rpc, RPC_KIND_PING, echo, NULL);
    Rpc_Handle(rpc, RPC_KIND_DRAW, echo, NULL);
    if (!Rpc_Start(rpc, NULL)) {
        exit(1);
    }
    return rpc;
}

static int
compare_times(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

static void *
call(void *context)
{
    Caller *caller = context;
    GByteArray *body = g_byte_array_new();

    g_byte_array_set_size(body, caller->bytes);
    memset(body->data, 0, body->len);
    for (int i = 0; i < CALLS; i++) {
        int64_t begin = Clock_NowMicroseconds();

        if (Rpc_Call(caller->rpc, &caller->to, caller->kind, body, NULL,
                     2000) != RESULT_OK) {
            printf("a call failed\n");
        }
        caller->times[i] = Clock_NowMicroseconds() - begin;
    }
    g_byte_array_unref(body);
    return NULL;
}

static void
measure_calls(Rpc *client, RpcPeer to, uint32_t kind, guint bytes, int threads)
{
    Caller *callers = g_new0(Caller, threads);
    pthread_t ids[THREADS];
    struct timespec before;
    struct timespec after;
    int64_t begin = Clock_NowMicroseconds();
    int64_t cpu;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &before);
    for (int i = 0; i < threads; i++) {
        callers[i] =
            (Caller){.rpc = client, .to = to, .kind = kind, .bytes = bytes};
        pthread_create(&ids[i], NULL, call, &callers[i]);
    }
    for (int i = 0; i < threads; i++) {
        pthread_join(ids[i], NULL);
    }
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &after);
    cpu = (after.tv_sec - before.tv_sec) * 1000000 +
          (after.tv_nsec - before.tv_nsec) / 1000;
    begin = Clock_NowMicroseconds() - begin;
    qsort(callers[0].times, CALLS, sizeof(int64_t), compare_times);
    printf(
        "kind %2u, %4u bytes, %d threads: half of the calls within %4" PRId64
        " us, 99%% within %4" PRId64 " us, %6.0f calls/s, CPU %3.0f us a "
        "call (both sides)\n",
        kind, bytes, threads, callers[0].times[CALLS / 2],
        callers[0].times[CALLS * 99 / 100],
        1e6 * CALLS * threads / (double)begin, (double)cpu / CALLS / threads);
    g_free(callers);
}

static void
measure_sessions(void)
{
    RpcSession *session = RpcSession_Create(10240, FALSE);
    GByteArray *reply = g_byte_array_new();
    Result result;

    printf("sessions: empty %.2f MB",
           (double)RpcSession_GetBytes(session) / 1e6);
    for (uint64_t host = 1; host <= PEERS; host++) {
        (void)RpcSession_Accept(session, 1000, host * 0x9e3779b97f4a7c15, 1, 1,
                                &result, reply);
    }
    printf(", one message from each of %d peers %.2f MB", PEERS,
           (double)RpcSession_GetBytes(session) / 1e6);
    for (uint64_t sequence = 2; sequence < 12; sequence++) {
        for (uint64_t host = 1; host <= PEERS; host++) {
            (void)RpcSession_Accept(session, 1000 + (ClockMs)sequence * 500,
                                    host * 0x9e3779b97f4a7c15, 1, sequence,
                                    &result, reply);
        }
    }
    printf(", 2 messages/s from each %.2f MB\n",
           (double)RpcSession_GetBytes(session) / 1e6);
    g_byte_array_unref(reply);
    RpcSession_Destroy(session);
}

int
main(void)
{
    Rpc *server = start(1);
    Rpc *client = start(2);
    RpcPeer to = {.host = 1, .ip = 0x7f000001, .port = Rpc_GetPort(server)};

    measure_sessions();
    measure_calls(client, to, RPC_KIND_PING, DRAW_BYTES, 1);
    measure_calls(client, to, RPC_KIND_DRAW, DRAW_BYTES, 1);
    measure_calls(client, to, RPC_KIND_DRAW, DRAW_BYTES, THREADS);
    measure_calls(client, to, RPC_KIND_PING, RPC_MAX_BODY_BYTES, 1);
    Rpc_Stop(client);
    Rpc_Stop(server);
    Rpc_Destroy(client);
    Rpc_Destroy(server);
    return 0;
}
