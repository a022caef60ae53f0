/* bench_path: end-to-end latency, and goodput with one gray server.
 *
 * Prints CSV: case,rate_per_s,sent,ok,p50_us,p99_us,p999_us,max_us. Arrivals
 * are scheduled in advance (open loop) and latency is measured from the
 * scheduled time.
 *
 * Usage: bench_path [COUNT] [RATE], default 6,000 requests at 300/s.
 */
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../tests/fleet.h"
#include "base/clock.h"

typedef struct Load {
    char count[32];
    char rate[32];
    int rate_per_s;
} Load;

static void
print_summary(const char *name, int rate, json_t *summary)
{
    json_t *latency = json_object_get(summary, "latency_us");

    printf("%s,%d,%d,%d,%d,%d,%d,%d\n", name, rate,
           Fleet_Number(summary, "sent"), Fleet_Number(summary, "ok"),
           (int)json_integer_value(json_object_get(latency, "p50")),
           (int)json_integer_value(json_object_get(latency, "p99")),
           (int)json_integer_value(json_object_get(latency, "p99.9")),
           (int)json_integer_value(json_object_get(latency, "max")));
    fflush(stdout);
}

/* Runs rk-caller against the first `daemons` entries. */
static void
measure(Fleet *fleet, const char *name, const Load *load, int daemons)
{
    const char *arguments[] = {
        "--path=/permits/1", load->count, load->rate, "--connections=32",
        "--duration=60",     "--stay",    NULL};
    int saved_count = fleet->daemon_count;
    FleetProcess *caller;
    json_t *summary;

    fleet->daemon_count = daemons;
    caller = Fleet_StartCaller(fleet, FALSE, arguments);
    fleet->daemon_count = saved_count;
    summary = Fleet_AwaitCaller(caller);
    print_summary(name, load->rate_per_s, summary);
    json_decref(summary);
}

#define DIRECT_THREADS 32

/* A thread of the direct measurement. It sends every DIRECT_THREADS-th
 * request. */
typedef struct Direct {
    HttpClient *client;
    struct sockaddr_in address;
    const Load *load;
    int64_t start_us;
    int first;
    int count;
    int64_t *latency_us; /* latency of each request; -1: failed */
} Direct;

static void *
call_directly(void *context)
{
    Direct *direct = context;
    HttpHeaders headers = {0};
    HttpCall call = {.address = direct->address,
                     .method = "GET",
                     .target = "/permits/1",
                     .headers = &headers};

    HttpHeaders_Add(&headers, "Radishknot-Request-Id", "1");
    for (int i = direct->first; i < direct->count; i += DIRECT_THREADS) {
        int64_t due =
            direct->start_us + (int64_t)i * 1000000 / direct->load->rate_per_s;
        int64_t early = due - Clock_NowMicroseconds();
        HttpAnswer answer = {0};
        gboolean sent;

        if (early > 0) {
            g_usleep((gulong)early);
        }
        call.deadline = Clock_Now() + 10000;
        direct->latency_us[i] =
            HttpClient_Call(direct->client, &call, &answer, &sent) == RESULT_OK
                ? Clock_NowMicroseconds() - due
                : -1;
        HttpAnswer_Clear(&answer);
    }
    HttpHeaders_Clear(&headers);
    return NULL;
}

static int
compare_latencies(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return left < right ? -1 : left > right;
}

static void
measure_direct(Fleet *fleet, const Load *load)
{
    int count = atoi(load->count + strlen("--count="));
    int64_t *latency = g_new0(int64_t, count);
    pthread_t threads[DIRECT_THREADS];
    Direct direct[DIRECT_THREADS];
    Direct shared = {.client = fleet->client,
                     .load = load,
                     .start_us = Clock_NowMicroseconds() + 100000,
                     .count = count,
                     .latency_us = latency};

    shared.address.sin_family = AF_INET;
    shared.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    shared.address.sin_port = htons((uint16_t)fleet->servers[0]->port);
    for (int i = 0; i < DIRECT_THREADS; i++) {
        direct[i] = shared;
        direct[i].first = i;
        pthread_create(&threads[i], NULL, call_directly, &direct[i]);
    }
    for (int i = 0; i < DIRECT_THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    qsort(latency, (size_t)count, sizeof(latency[0]), compare_latencies);
    printf("direct to the backend server,%d,%d,%d,%d,%d,%d,%d\n",
           load->rate_per_s, count, latency[0] < 0 ? -1 : count,
           (int)latency[count / 2], (int)latency[count * 99 / 100],
           (int)latency[count * 999 / 1000], (int)latency[count - 1]);
    fflush(stdout);
    g_free(latency);
}

/* Starts a fleet with `servers` backend servers, all on the last daemon or,
 * if `spread`, distributed over all daemons. */
static Fleet *
start(int daemons, int servers, gboolean spread, int service_ms)
{
    Fleet *fleet = Fleet_Create();

    for (int i = 0; i < daemons; i++) {
        Fleet_AddDaemon(fleet, NULL);
    }
    for (int i = 0; i < servers; i++) {
        Fleet_AddServer(
            fleet, spread ? i % daemons : daemons - 1,
            &(FleetServer_desc){.service_ms = service_ms, .slots = 50});
    }
    Fleet_ApplyDefault(fleet, servers);
    Fleet_AwaitReady(fleet);
    return fleet;
}

static void
measure_added_latency(const Load *load)
{
    Fleet *fleet = start(1, 1, FALSE, 1);

    measure_direct(fleet, load);
    measure(fleet, "entry and owner on one host", load, 1);
    Fleet_Destroy(fleet);
    fleet = start(2, 1, FALSE, 1);
    measure(fleet, "entry and owner on two hosts", load, 1);
    Fleet_Destroy(fleet);
}

static void
measure_gray_server(const Load *load)
{
    Fleet *fleet = start(3, 12, TRUE, 4);

    measure(fleet, "12 servers all well", load, 3);
    Fleet_Post(fleet, fleet->servers[4]->admin_port, "/v1/faults",
               "{\"slow_factor\":10}");
    measure(fleet, "12 servers one 10x slow", load, 3);
    Fleet_Post(fleet, fleet->servers[4]->admin_port, "/v1/faults",
               "{\"slow_factor\":1,\"hang\":true}");
    measure(fleet, "12 servers one hangs", load, 3);
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    Load load = {.rate_per_s = argc > 2 ? atoi(argv[2]) : 300};

    g_snprintf(load.count, sizeof(load.count), "--count=%d",
               argc > 1 ? atoi(argv[1]) : 6000);
    g_snprintf(load.rate, sizeof(load.rate), "--rate=%d", load.rate_per_s);
    printf("case,rate_per_s,sent,ok,p50_us,p99_us,p999_us,max_us\n");
    measure_added_latency(&load);
    measure_gray_server(&load);
    return 0;
}
