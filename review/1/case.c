/* Hosts are stopped and started in turn. A host that is being stopped takes a
 * request that may run once, and passes it on to a worker whose own daemon got
 * its SIGTERM two seconds before. That daemon takes the run up, and ends while
 * the worker is at work. */
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "record.h"
#include "site.h"

/* Hosts 0 and 1 have workers of the service "desk", the others of another. */
#define OWNERS 2
#define HOSTS 5

/* Bounds of the deployment. */
#define GRACE_MS 6000
#define LOSS_SLACK_MS 200

/* The class of requests: work as in the site file. */
#define DEADLINE_MS 5000
#define WORK_MS 320
#define WORK_SPREAD 0.3
#define LONG_WORK_MS 2200 /* one in 100 takes five times as long, 2.3 s at most */

/* Ordinary requests: one client at each host of the other service. */
#define CLIENT_PERIOD_MS 200
#define MAX_REQUESTS 4000

/* Times since the roll begins. */
#define GAP_MS 2000
#define RESTART_AFTER_MS 1000
#define LONG_REQUEST_MS (2 * GAP_MS + 1700)
#define END_MS 13000

#define NEVER INT64_MAX

typedef struct Request {
    Site *site;
    int host;
    ClockMs sent;
    ClockMs ended;
    ClockMs work_ms;
    SiteReply reply;
    SiteRun run; /* when the client got its answer; count 0: none */
    char id[SITE_ID_BYTES];
    pthread_t thread;
} Request;

static Request requests[MAX_REQUESTS];
static atomic_int request_count;
static ClockMs stopped[HOSTS]; /* time of the SIGTERM */
static atomic_bool stopping;

static void *
run_request(void *context)
{
    Request *request = context;
    char path[64];

    g_snprintf(path, sizeof(path), "/refund/work-%" G_GINT64_FORMAT,
               request->work_ms);
    request->sent = Record_Now();
    request->reply =
        Site_RequestAs(request->site, request->host, "POST", path, SITE_KEY,
                       request->id);
    request->ended = Record_Now();
    (void)Site_GetRun(request->site, request->id, &request->run);
    return NULL;
}

static void
start_request(Site *site, int host, ClockMs work_ms)
{
    int number = atomic_fetch_add(&request_count, 1);
    Request *request = &requests[number];

    if (number >= MAX_REQUESTS) {
        exit(CASE_NOT_RUN);
    }
    *request = (Request){.site = site, .host = host, .work_ms = work_ms};
    pthread_create(&request->thread, NULL, run_request, request);
}

/* Work with the spread of the class; the long tail is left out. */
static ClockMs
draw_work(GRand *random)
{
    double sum = 0;

    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(random);
    }
    return (ClockMs)(WORK_MS * exp(WORK_SPREAD * (sum - 6)));
}

typedef struct Client {
    Site *site;
    int host;
    pthread_t thread;
} Client;

/* Sends requests while the host is ready; two misses in a row take it out. */
static void *
run_client(void *context)
{
    Client *client = context;
    GRand *random = g_rand_new_with_seed((guint32)client->host);
    ClockMs next_look = Record_Now();
    int misses = 0;

    while (!atomic_load(&stopping)) {
        if (Record_Now() >= next_look) {
            misses = Site_IsReady(client->site, client->host) ? 0 : misses + 1;
            next_look += 1000;
        }
        if (misses < 2) {
            start_request(client->site, client->host, draw_work(random));
        }
        g_usleep(CLIENT_PERIOD_MS * 1000);
    }
    g_rand_free(random);
    return NULL;
}

typedef struct Stop {
    Site *site;
    int host;
    ClockMs at;
    pthread_t thread;
} Stop;

static void *
run_stop(void *context)
{
    Stop *stop = context;

    Record_SleepUntil(stop->at);
    stopped[stop->host] = Record_Now();
    Site_Signal(stop->site, stop->host, SIGTERM);
    Record_Line("daemon %d gets SIGTERM", stop->host);
    if (!Site_AwaitExit(stop->site, stop->host, GRACE_MS)) {
        Record_Line("daemon %d gets SIGKILL after the grace period",
                    stop->host);
        Site_Signal(stop->site, stop->host, SIGKILL);
        (void)Site_AwaitExit(stop->site, stop->host, GRACE_MS);
    }
    Record_Line("daemon %d has ended", stop->host);
    g_usleep(RESTART_AFTER_MS * 1000);
    Site_Restart(stop->site, stop->host);
    Record_Line("daemon %d is started again", stop->host);
    return NULL;
}

/* Whether the request was broken off against the rule: its host got SIGTERM,
 * its worker was at work, and no excuse of the rule applies. */
static gboolean
is_lost(const Request *request)
{
    ClockMs stop = stopped[request->host];
    gboolean in_stop = request->ended >= stop &&
                       request->sent <= stop + GRACE_MS + 1000;
    gboolean is_excused = request->ended >= stop + GRACE_MS * 5 / 6 &&
                          request->sent <= stop + 3000;

    return in_stop && !is_excused && !request->reply.is_signed &&
           request->run.count > 0 && request->run.at_work > 0 &&
           request->ended - request->sent < DEADLINE_MS - LOSS_SLACK_MS;
}

static int
judge(void)
{
    int count = atomic_load(&request_count);
    int lost = 0;

    for (int i = 0; i < count; i++) {
        const Request *request = &requests[i];

        Record_Line("request %s sent at %.3f s to host %d (%d ms of work): "
                    "%s %d at %.3f s%s; runs %d, at worker %d%s",
                    request->id, (double)request->sent / 1000, request->host,
                    (int)request->work_ms,
                    request->reply.result == RESULT_OK ? "status"
                                                       : "no answer",
                    request->reply.status, (double)request->ended / 1000,
                    request->reply.is_signed ? ", signed" : "",
                    request->run.count,
                    request->run.count > 0 ? request->run.host : -1,
                    request->run.at_work > 0 ? ", at work" : "");
        if (is_lost(request)) {
            lost++;
            Record_Line("LOST: request %s was given up %.3f s after the "
                        "SIGTERM of host %d, while its worker was at work",
                        request->id,
                        (double)(request->ended - stopped[request->host]) /
                            1000,
                        request->host);
        }
    }
    return lost;
}

static void
configure(Site *site)
{
    json_t *value = json_pack(
        "{s:s, s:{s:{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i}}, "
        "s:{s:{s:[s], s:i, s:i}}}",
        "version", "00000001", "routes", "refund", "host", SITE_HOST_HEADER,
        "path_prefix", "/refund/", "kind", "non_idempotent", "service", "desk",
        "timeout", "5000ms", "target_latency", "1000ms", "priority", 1,
        "attempts", 3, "tenants", "crews", "api_keys", SITE_KEY, "rate_per_s",
        0, "burst", 0);

    ObjectServer_Write(Site_Store(site), "config", "main", value);
}

int
main(int argc, char **argv)
{
    static const char settings[] =
        "\"quota_window_ms\":\"5s\",\"quota_overage\":0.1,\"quota_slack\":20,"
        "\"retry_ratio\":0.2,\"retry_slack\":64,\"retry_window_ms\":\"10s\","
        "\"max_body_bytes\":16777216,\"memory_mb\":260,";
    gboolean trouble;
    Site *site;
    Client clients[HOSTS];
    Stop stops[HOSTS];
    ClockMs begin;
    int lost;

    Record_Open(argc, argv);
    trouble = Record_HasTrouble();
    site = Site_Create();
    configure(site);
    Site_SetDeadline(site, DEADLINE_MS);
    for (int i = 0; i < HOSTS; i++) {
        SiteHost_desc desc = {.data_centre = "n1",
                              .service = i < OWNERS ? "desk" : "front",
                              .settings = settings};

        stopped[i] = NEVER - 2 * GRACE_MS;
        (void)Site_AddHost(site, &desc);
    }
    Site_AwaitReady(site);
    Record_Line("%d hosts are ready; trouble %d", HOSTS, trouble);
    for (int i = OWNERS; i < HOSTS; i++) {
        clients[i] = (Client){.site = site, .host = i};
        pthread_create(&clients[i].thread, NULL, run_client, &clients[i]);
    }
    g_usleep(10 * 1000 * 1000);

    begin = Record_Now();
    for (int i = 0; trouble && i < HOSTS; i++) {
        stops[i] =
            (Stop){.site = site, .host = i, .at = begin + i * GAP_MS};
        pthread_create(&stops[i].thread, NULL, run_stop, &stops[i]);
    }
    Record_SleepUntil(begin + LONG_REQUEST_MS);
    Record_Line("the client at host %d sends a request that needs %d ms",
                OWNERS, LONG_WORK_MS);
    start_request(site, OWNERS, LONG_WORK_MS);
    Record_SleepUntil(begin + END_MS);
    atomic_store(&stopping, TRUE);
    for (int i = OWNERS; i < HOSTS; i++) {
        pthread_join(clients[i].thread, NULL);
    }
    for (int i = 0; trouble && i < HOSTS; i++) {
        pthread_join(stops[i].thread, NULL);
    }
    for (int i = 0; i < atomic_load(&request_count); i++) {
        pthread_join(requests[i].thread, NULL);
    }
    lost = judge();
    Record_Line("%d requests lost", lost);
    Site_Destroy(site);
    Record_Close();
    return lost > 0 ? CASE_BROKEN : CASE_HELD;
}
