#include "http/http_client.h"
#include "soak.h"

/* Share of the requests of Callers_CallHome() that go to the caller's host,
 * in percent. */
#define HOME_PERCENT 75

#define IDLE_TIMES 5 /* mean pause, in service times */

void *
Callers_CallRandom(void *context)
{
    Caller *caller = context;
    Soak *soak = caller->soak;
    Rng rng;

    Rng_Seed(&rng, (uint64_t)caller->number + 77);
    while (!atomic_load(&soak->stopping)) {
        int host = (int)Rng_Below(&rng, (uint64_t)soak->hosts);
        int key = (int)Rng_Below(&rng, KEYS);
        gboolean non_idempotent = Rng_Below(&rng, 2) == 0;
        gboolean at_home = !non_idempotent && Rng_Below(&rng, 3) == 0;
        ClockMs sent = Clock_Now();
        ClockMs stopping_since = atomic_load(&soak->stopping_since[host]);
        char id[SITE_ID_BYTES];
        SiteReply reply =
            Site_RequestAs(soak->site, host, non_idempotent ? "POST" : "GET",
                           non_idempotent ? "/issue/1"
                           : at_home      ? "/home/1"
                                          : "/read/1",
                           soak_keys[key], id);

        Checks_Reply(soak, &reply, id, key, sent);
        if (at_home) {
            Checks_Region(soak, id);
        }
        /* Counts as aborted only on a connection opened for the request. */
        if (stopping_since > 0 && sent < stopping_since + 2000 &&
            reply.result != RESULT_OK &&
            reply.result != RESULT_CONNECT_FAILED &&
            !reply.may_reuse_connection) {
            Soak_ReportViolation(soak, "a graceful stop aborted a request", id,
                                 NULL);
        }
        g_usleep(20000);
    }
    return NULL;
}

/* Requests of --long-runs. */
#define LONG_PERCENT 2
#define LONG_WORK_MS 2300

/* Mean service time of the run. It varies by a quarter, so that the owners of
 * the backend servers can expect it. */
static int
get_work_ms(const Soak *soak)
{
    static const int work_ms[] = {1500, 500, 900, 1300};

    return work_ms[soak->seed % G_N_ELEMENTS(work_ms)];
}

/* Work of a request, from `mean_ms` and its neighbourhood. */
static int
draw_work_ms(const Soak *soak, int mean_ms, Rng *rng)
{
    int work_ms = mean_ms * 3 / 4 + (int)Rng_Below(rng, (uint64_t)mean_ms / 2);

    return soak->has_long_runs && Rng_Below(rng, 100) < LONG_PERCENT
               ? LONG_WORK_MS
               : work_ms;
}

/* Pauses between two requests, while the connection is open and idle. Each
 * host's callers keep its backend server, of 5 slots, about full: 30 callers
 * that use 1 slot in 1 + IDLE_TIMES of their time. */
static void
pause_caller(const Soak *soak, Rng *rng)
{
    ClockMs end =
        Clock_Now() +
        (ClockMs)Rng_Below(rng, (uint64_t)get_work_ms(soak) * 2 * IDLE_TIMES);

    while (Clock_Now() < end && !atomic_load(&soak->stopping)) {
        g_usleep(20000);
    }
}

void *
Callers_CallHome(void *context)
{
    Caller *caller = context;
    Soak *soak = caller->soak;
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    int mean_ms = get_work_ms(soak);
    Rng rng;

    Rng_Seed(&rng, soak->seed * 1000 + (uint64_t)caller->number);
    pause_caller(soak, &rng);
    while (!atomic_load(&soak->stopping)) {
        gboolean at_home = Rng_Below(&rng, 100) < HOME_PERCENT;
        int host = at_home ? caller->number % soak->hosts
                           : (int)Rng_Below(&rng, (uint64_t)soak->hosts);
        gboolean non_idempotent = Rng_Below(&rng, 2) == 0;
        char *path =
            g_strdup_printf("%s/work-%d", non_idempotent ? "/issue" : "/read",
                            draw_work_ms(soak, mean_ms, &rng));
        ClockMs sent = Clock_Now();
        char id[SITE_ID_BYTES];
        SiteReply reply = Site_RequestWith(soak->site, client, host,
                                           non_idempotent ? "POST" : "GET",
                                           path, soak_keys[0], id);

        Checks_Reply(soak, &reply, id, 0, sent);
        Checks_PlannedReply(soak, &reply, id, host, sent);
        g_free(path);
        pause_caller(soak, &rng);
    }
    HttpClient_Destroy(client);
    return NULL;
}
