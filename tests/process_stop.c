/* Tests of graceful stops of daemons in mode "platform", while callers go on
 * using their open connections until the process has ended. */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "site.h"

#define HOSTS 3
#define SLOTS 5 /* of each backend server */
#define GRACE_MS 6000
#define KEYS "[\"" SITE_KEY "\"]"

/* Time in which a request that cannot be served is refused. */
#define REFUSAL_MS 250

/* A request that is sent at a time after the SIGTERM of its host. */
typedef struct Request {
    Site *site;
    ClockMs start; /* time of SIGTERM */
    ClockMs at_ms;
    int host; /* receives it */
    const char *method;
    const char *path;
    gboolean must_be_served;
    SiteReply reply;
    ClockMs took_ms;
    char id[SITE_ID_BYTES];
    pthread_t thread;
} Request;

static void *
send_request(void *context)
{
    Request *request = context;
    ClockMs sent;

    while (Clock_Now() < request->start + request->at_ms) {
        g_usleep(1000);
    }
    sent = Clock_Now();
    request->reply =
        Site_RequestPooled(request->site, request->host, request->method,
                           request->path, SITE_KEY, request->id);
    request->took_ms = Clock_Now() - sent;
    return NULL;
}

/* Sends all requests, each at its time, and waits for their answers. */
static void
send_all(Request *requests, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        pthread_create(&requests[i].thread, NULL, send_request, &requests[i]);
    }
    for (size_t i = 0; i < count; i++) {
        pthread_join(requests[i].thread, NULL);
    }
}

static void
check(const Request *request)
{
    const SiteReply *reply = &request->reply;

    g_test_message("%s %s at %" G_GINT64_FORMAT " ms: result %d status %d "
                   "after %" G_GINT64_FORMAT " ms, Retry-After %s",
                   request->method, request->path, request->at_ms,
                   (int)reply->result, reply->status, request->took_ms,
                   reply->retry_after);
    if (reply->result == RESULT_CONNECT_FAILED && !request->must_be_served) {
        return;
    }
    g_assert_cmpint(reply->result, ==, RESULT_OK);
    if (reply->status == 503 && !request->must_be_served) {
        g_assert_cmpint(request->took_ms, <=, REFUSAL_MS);
        g_assert_false(Site_HasRun(request->site, request->id));
        return;
    }
    g_assert_cmpint(reply->status, ==, 200);
    g_assert_true(reply->is_signed);
    g_assert_true(reply->matches);
}

static void
set_work(Site *site, int work_ms)
{
    for (int host = 0; host < HOSTS; host++) {
        Site_SetWorkMs(site, host, work_ms);
    }
}

static Site *
make_site(int work_ms)
{
    static const SiteHost_desc place = {.data_centre = "n1"};
    Site *site = Site_Create();

    Site_Configure(site, 1, KEYS, 0);
    for (int i = 0; i < HOSTS; i++) {
        Site_SetWorkMs(site, Site_AddHost(site, &place), work_ms);
    }
    Site_AwaitReady(site);
    return site;
}

/* Guards against a request that is taken late in a stop, passed on, and cut at
 * the end of the grace period: it must be served, or refused at once as not
 * run. */
static void
test_late_requests(void)
{
    static const struct {
        ClockMs at_ms;
        gboolean must_be_served;
    } times[] = {{500, TRUE},   {1500, TRUE},  {2600, FALSE}, {3200, FALSE},
                 {3700, FALSE}, {4200, FALSE}, {4600, FALSE}, {5100, FALSE}};
    static const struct {
        const char *method;
        const char *path;
    } kinds[] = {{"GET", "/read/1"}, {"POST", "/issue/1"}};
    enum { COUNT = G_N_ELEMENTS(times) * G_N_ELEMENTS(kinds) };
    Request requests[COUNT];
    Site *site = make_site(300);
    ClockMs start = Clock_Now();
    /* Keeps the process running until shortly before the end. */
    Request longest = {.site = site,
                       .method = "POST",
                       .path = "/issue/1",
                       .must_be_served = TRUE};

    /* Opens the connections that are used during the stop. */
    for (size_t i = 0; i < COUNT; i++) {
        requests[i] = (Request){.site = site,
                                .start = start,
                                .method = kinds[i % 2].method,
                                .path = kinds[i % 2].path,
                                .must_be_served = TRUE};
    }
    send_all(requests, COUNT);
    set_work(site, 4700);
    longest.start = Clock_Now();
    pthread_create(&longest.thread, NULL, send_request, &longest);
    g_usleep(200000);
    set_work(site, 1200);
    start = Clock_Now();
    for (size_t i = 0; i < COUNT; i++) {
        check(&requests[i]);
        requests[i].start = start;
        requests[i].at_ms = times[i / 2].at_ms;
        requests[i].must_be_served = times[i / 2].must_be_served;
    }
    Site_Signal(site, 0, SIGTERM);
    send_all(requests, COUNT);
    pthread_join(longest.thread, NULL);
    check(&longest);
    g_assert_true(
        Site_AwaitExit(site, 0, MAX(start + GRACE_MS - Clock_Now(), 0)));
    for (size_t i = 0; i < COUNT; i++) {
        check(&requests[i]);
    }
    g_assert_cmpuint(Site_MaxRunsPerId(site), ==, 1);
    Site_Destroy(site);
}

/* Guards against a request whose head arrives early in a stop and whose body
 * arrives late: it must be refused, not passed on and cut at the end. */
static void
test_late_body(void)
{
    enum { HEAD_AT_MS = 1500, BODY_AFTER_MS = 1500, WORK_MS = 2500 };
    Site *site = make_site(4700);
    Request longest = {.site = site,
                       .method = "POST",
                       .path = "/issue/1",
                       .start = Clock_Now(),
                       .must_be_served = TRUE};
    char id[SITE_ID_BYTES];
    SiteReply reply;

    pthread_create(&longest.thread, NULL, send_request, &longest);
    g_usleep(200000);
    set_work(site, WORK_MS);
    Site_Signal(site, 0, SIGTERM);
    g_usleep(HEAD_AT_MS * 1000);
    reply =
        Site_UploadSlowly(site, 0, "/issue/1", SITE_KEY, BODY_AFTER_MS, id);
    g_test_message("result %d status %d Retry-After %s", (int)reply.result,
                   reply.status, reply.retry_after);
    g_assert_cmpint(reply.result, ==, RESULT_OK);
    g_assert_cmpint(reply.status, ==, 503);
    g_assert_false(Site_HasRun(site, id));
    pthread_join(longest.thread, NULL);
    check(&longest);
    g_assert_true(Site_AwaitExit(site, 0, GRACE_MS));
    Site_Destroy(site);
}

/* Guards against a stop that refuses connections while requests run: their
 * calls, which end before the stop does, would fail, and with them the
 * requests. */
static void
test_calls_in_stop(void)
{
    enum { CALLS = 8, EVERY_MS = 200 };
    Site *site = make_site(4000);
    Request calls[CALLS];
    Request running = {.site = site,
                       .method = "POST",
                       .path = "/issue/1",
                       .start = Clock_Now(),
                       .must_be_served = TRUE};

    pthread_create(&running.thread, NULL, send_request, &running);
    g_usleep(200000);
    set_work(site, 100);
    Site_SetDeadline(site, 600);
    Site_Signal(site, 0, SIGTERM);
    for (int i = 0; i < CALLS; i++) {
        calls[i] = (Request){.site = site,
                             .method = "GET",
                             .path = "/open/1",
                             .start = Clock_Now(),
                             .at_ms = 2000 + i * EVERY_MS,
                             .must_be_served = TRUE};
    }
    send_all(calls, CALLS);
    for (int i = 0; i < CALLS; i++) {
        check(&calls[i]);
    }
    pthread_join(running.thread, NULL);
    check(&running);
    g_assert_true(Site_AwaitExit(site, 0, GRACE_MS));
    Site_Destroy(site);
}

/* Guards against a request that reaches an owner 2 s after the SIGTERM of the
 * owner, of the host that received it, or of both in one, and that is cut at
 * the end: the last runs took so long that it cannot be expected to end
 * before. */
static void
check_late_at_owner(int entry, int stopping)
{
    enum { ROUNDS = 2, WORK_MS = 2500, LONG_MS = 4800 };
    Site *site = Site_Create();
    Request requests[ROUNDS * SLOTS];
    Request last = {.site = site,
                    .at_ms = 2000,
                    .host = entry,
                    .method = "POST",
                    .path = "/issue/1"};

    Site_Configure(site, 1, KEYS, 0);
    Site_AddHost(site, &(SiteHost_desc){.service = "other"});
    Site_SetWorkMs(site, Site_AddHost(site, &(SiteHost_desc){0}), WORK_MS);
    Site_AwaitReady(site);
    for (int i = 0; i < ROUNDS * SLOTS; i++) {
        requests[i] = last;
        requests[i].start = Clock_Now();
        requests[i].at_ms = i / SLOTS * (WORK_MS + 200);
        requests[i].must_be_served = TRUE;
    }
    send_all(requests, ROUNDS * SLOTS);
    for (int i = 0; i < ROUNDS * SLOTS; i++) {
        check(&requests[i]);
    }
    Site_SetWorkMs(site, 1, LONG_MS);
    last.start = Clock_Now();
    Site_Signal(site, stopping, SIGTERM);
    send_all(&last, 1);
    check(&last);
    g_assert_true(Site_AwaitExit(site, stopping,
                                 MAX(last.start + GRACE_MS - Clock_Now(), 0)));
    Site_Destroy(site);
}

static void
test_late_at_owner(void)
{
    check_late_at_owner(0, 1);
}

static void
test_late_from_entry(void)
{
    check_late_at_owner(0, 0);
}

static void
test_late_at_both(void)
{
    check_late_at_owner(1, 1);
}

/* Guards against a second attempt at a request from before SIGTERM that begins
 * late in the stop and is cut at the end: here 0.3 s before the end, at a
 * backend server that needs 0.4 s on average. */
static void
test_late_second_attempt(void)
{
    enum { FIRST_MS = 5400, STOP_AT_MS = 500, SECOND_MS = 2000 };
    Site *site = make_site(FIRST_MS);
    Request request = {.site = site, .method = "GET", .path = "/patient/1"};
    unsigned runs = 0;

    Site_SetDeadline(site, 9000);
    for (int host = 0; host < HOSTS; host++) {
        Site_SetFailing(site, host, 100);
    }
    request.start = Clock_Now();
    pthread_create(&request.thread, NULL, send_request, &request);
    g_usleep(STOP_AT_MS * 1000);
    Site_Signal(site, 0, SIGTERM);
    set_work(site, SECOND_MS);
    pthread_join(request.thread, NULL);
    for (int host = 0; host < HOSTS; host++) {
        runs += Site_Runs(site, host);
    }
    g_test_message("status %d after %" G_GINT64_FORMAT " ms, %u runs",
                   request.reply.status, request.took_ms, runs);
    g_assert_cmpint(request.reply.status, ==, 500);
    g_assert_cmpint(request.took_ms, <=, FIRST_MS + REFUSAL_MS);
    g_assert_cmpuint(runs, ==, 1);
    g_assert_true(Site_AwaitExit(site, 0, GRACE_MS));
    Site_Destroy(site);
}

/* Guards against a closed connection instead of an answer, for a request that
 * must not run twice and whose run outlasts the stop. */
static void
test_outlasting_run(void)
{
    enum { WORK_MS = 8000 };
    Site *site = Site_Create();
    Request request = {.site = site, .method = "POST", .path = "/commit/1"};

    Site_Configure(site, 1, KEYS, 0);
    Site_SetWorkMs(site, Site_AddHost(site, &(SiteHost_desc){0}), WORK_MS);
    Site_AwaitReady(site);
    Site_SetDeadline(site, 9000);
    request.start = Clock_Now();
    pthread_create(&request.thread, NULL, send_request, &request);
    g_usleep(200000);
    Site_Signal(site, 0, SIGTERM);
    pthread_join(request.thread, NULL);
    g_test_message("result %d status %d after %" G_GINT64_FORMAT " ms",
                   (int)request.reply.result, request.reply.status,
                   request.took_ms);
    g_assert_cmpint(request.reply.result, ==, RESULT_OK);
    g_assert_cmpint(request.reply.status, ==, 502);
    g_assert_true(Site_AwaitExit(site, 0, GRACE_MS));
    Site_Destroy(site);
}

/* Guards against an answer that comes late, or not before the process is
 * killed, because the quota counts are handed over first, to hosts that do not
 * reply: here all others are suspended just before. One of the hosts has the
 * counts. */
static void
test_answer_before_handover(void)
{
    enum { WORK_MS = 9000, ABANDON_MS = 5200, SLACK_MS = 100 };
    enum { SUSPEND_MS = 5000, RATE = 100 };

    for (int host = 0; host < HOSTS; host++) {
        Site *site = make_site(10);
        Request request = {
            .site = site, .host = host, .method = "GET", .path = "/patient/1"};
        ClockMs stopped;

        Site_Configure(site, 2, KEYS, RATE);
        g_usleep(1000000); /* in force on all hosts */
        Site_SetDeadline(site, WORK_MS);
        set_work(site, WORK_MS);
        request.start = Clock_Now();
        pthread_create(&request.thread, NULL, send_request, &request);
        g_usleep(300000);
        stopped = Clock_Now();
        Site_Signal(site, host, SIGTERM);
        g_usleep(SUSPEND_MS * 1000);
        for (int i = 0; i < HOSTS; i++) {
            if (i != host) {
                (void)Site_Request(site, i, "GET", "/read/work-10", SITE_KEY);
            }
        }
        for (int i = 0; i < HOSTS; i++) {
            if (i != host) {
                Site_Signal(site, i, SIGSTOP);
            }
        }
        pthread_join(request.thread, NULL);
        g_test_message("host %d: status %d, %" G_GINT64_FORMAT
                       " ms after SIGTERM",
                       host, request.reply.status, Clock_Now() - stopped);
        g_assert_cmpint(request.reply.result, ==, RESULT_OK);
        g_assert_cmpint(Clock_Now() - stopped, <=, ABANDON_MS + SLACK_MS);
        g_assert_true(Site_AwaitExit(site, host, GRACE_MS));
        for (int i = 0; i < HOSTS; i++) {
            if (i != host) {
                Site_Signal(site, i, SIGCONT);
            }
        }
        Site_Destroy(site);
    }
}

/* Guards against a backend server that no caller can use for seconds, since
 * its owner, which still waits for a long run, refuses short ones that would
 * end before the stop does. In a roll of the fleet most owners are in this
 * state at once. Also guards against a late run that is taken up and cut
 * because earlier ones were short: it is refused once the time in which its
 * answer is due is not left. */
static void
test_short_at_owner(void)
{
    enum { COUNT = 10, EVERY_MS = 100, WORK_MS = 50, LONG_MS = 4700 };
    enum { LATE_MS = 3500, LATE_WORK_MS = 2500 };
    Site *site = Site_Create();
    Request requests[COUNT];
    Request longest = {.site = site,
                       .method = "POST",
                       .path = "/issue/1",
                       .must_be_served = TRUE};
    Request late = {
        .site = site, .at_ms = LATE_MS, .method = "POST", .path = "/issue/1"};

    Site_Configure(site, 1, KEYS, 0);
    Site_AddHost(site, &(SiteHost_desc){.service = "other"});
    Site_SetWorkMs(site, Site_AddHost(site, &(SiteHost_desc){0}), WORK_MS);
    Site_AwaitReady(site);
    for (int i = 0; i < COUNT; i++) {
        requests[i] = longest;
        requests[i].start = Clock_Now();
        requests[i].at_ms = i * EVERY_MS;
    }
    send_all(requests, COUNT);
    Site_SetWorkMs(site, 1, LONG_MS);
    longest.start = Clock_Now();
    pthread_create(&longest.thread, NULL, send_request, &longest);
    g_usleep(200000);
    Site_SetWorkMs(site, 1, WORK_MS);
    Site_Signal(site, 1, SIGTERM);
    for (int i = 0; i < COUNT; i++) {
        check(&requests[i]);
        requests[i].start = Clock_Now();
        requests[i].at_ms = 2100 + i * EVERY_MS;
    }
    late.start = Clock_Now();
    send_all(requests, COUNT);
    for (int i = 0; i < COUNT; i++) {
        check(&requests[i]);
    }
    Site_SetWorkMs(site, 1, LATE_WORK_MS);
    send_all(&late, 1);
    check(&late);
    g_assert_cmpint(late.reply.status, ==, 503);
    pthread_join(longest.thread, NULL);
    check(&longest);
    g_assert_true(Site_AwaitExit(site, 1, GRACE_MS));
    Site_Destroy(site);
}

/* Guards against a running attempt that is cut for a retry which no other
 * backend server takes: here all others drain. The host begins to stop after
 * the time at which the first attempt is given up. */
static void
test_retry_not_taken(void)
{
    enum { WORK_MS = 3000, STOP_AT_MS = 2000 };
    Site *site = make_site(100);
    Request request = {.site = site,
                       .method = "GET",
                       .path = "/read/1",
                       .must_be_served = TRUE};

    for (int host = 1; host < HOSTS; host++) {
        Site_Drain(site, host);
    }
    Site_SetWorkMs(site, 0, WORK_MS);
    g_usleep(1000000); /* the watches report the removed entries */
    request.start = Clock_Now();
    pthread_create(&request.thread, NULL, send_request, &request);
    g_usleep(STOP_AT_MS * 1000);
    Site_Signal(site, 0, SIGTERM);
    pthread_join(request.thread, NULL);
    check(&request);
    g_assert_true(Site_AwaitExit(site, 0, GRACE_MS));
    Site_Destroy(site);
}

/* Guards against an answer of the first backend server that waits until a
 * second one, which is slower, has ended. */
static void
test_first_answers(void)
{
    enum { FIRST_MS = 1800, SECOND_MS = 4000, SLACK_MS = 400 };
    Site *site = make_site(100);
    Request request = {.site = site,
                       .method = "GET",
                       .path = "/read/1",
                       .must_be_served = TRUE};

    set_work(site, FIRST_MS);
    request.start = Clock_Now();
    pthread_create(&request.thread, NULL, send_request, &request);
    g_usleep(1000000); /* the first run has begun, the second one has not */
    set_work(site, SECOND_MS);
    pthread_join(request.thread, NULL);
    check(&request);
    g_assert_cmpint(request.took_ms, <=, FIRST_MS + SLACK_MS);
    Site_Destroy(site);
}

/* Sends a request whose second attempt fails while the first one lasts for
 * first_ms. */
static void
check_second_fails(int first_ms, int status)
{
    Site *site = make_site(100);
    Request request = {.site = site, .method = "GET", .path = "/read/1"};

    set_work(site, first_ms);
    request.start = Clock_Now();
    pthread_create(&request.thread, NULL, send_request, &request);
    g_usleep(1000000); /* the first run has begun, the second one has not */
    set_work(site, 0);
    for (int host = 0; host < HOSTS; host++) {
        Site_SetFailing(site, host, 100);
    }
    g_usleep(1000000); /* the second run has ended, the first one has not */
    for (int host = 0; host < HOSTS; host++) {
        Site_SetFailing(site, host, 0);
    }
    pthread_join(request.thread, NULL);
    g_test_message("status %d after %" G_GINT64_FORMAT " ms",
                   request.reply.status, request.took_ms);
    g_assert_cmpint(request.reply.result, ==, RESULT_OK);
    g_assert_cmpint(request.reply.status, ==, status);
    g_assert_true(request.reply.is_signed);
    Site_Destroy(site);
}

/* Guards against a second backend server's error answer that gets lost while
 * the first one goes on until the deadline, and against one that is delivered
 * although the first one answers well. */
static void
test_second_fails(void)
{
    check_second_fails(5500, 500);
    check_second_fails(3000, 200);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stop/late-requests", test_late_requests);
    g_test_add_func("/stop/late-body", test_late_body);
    g_test_add_func("/stop/calls", test_calls_in_stop);
    g_test_add_func("/stop/late-at-owner", test_late_at_owner);
    g_test_add_func("/stop/late-from-entry", test_late_from_entry);
    g_test_add_func("/stop/late-at-both", test_late_at_both);
    g_test_add_func("/stop/late-second-attempt", test_late_second_attempt);
    g_test_add_func("/stop/outlasting-run", test_outlasting_run);
    g_test_add_func("/stop/answer-before-handover",
                    test_answer_before_handover);
    g_test_add_func("/stop/short-at-owner", test_short_at_owner);
    g_test_add_func("/stop/retry-not-taken", test_retry_not_taken);
    g_test_add_func("/stop/first-answers", test_first_answers);
    g_test_add_func("/stop/second-fails", test_second_fails);
    return g_test_run();
}
