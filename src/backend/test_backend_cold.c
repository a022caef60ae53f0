/* Tests of the owner of a cold backend server. */
#include <glib.h>

#include "backend/test_script.h"

#define PER_S 20
#define OVERAGE 1.5
#define SLACK 2
#define MAX_CALLERS 40

/* An owner that has an announcement, but no configuration yet. */
static void
open_cold(Fixture *fixture, double overage, ClockMs cold_ms)
{
    fixture->cold_overage = overage;
    fixture->cold_slack = SLACK;
    fixture->cold_ms = cold_ms;
    fixture->slots = 8;
    open_fixture(fixture);
}

static void
announce_cold(const Fixture *fixture, int64_t sequence, ClockMs cold_ms)
{
    BackendAnnouncement next =
        announcement(fixture, "i1", 100, sequence, FALSE);

    next.cold_ms = cold_ms;
    g_assert_true(Backend_Announce(fixture->backend, &next));
}

static void
set_rate(const Fixture *fixture, double per_s)
{
    Backend_SetColdRate(fixture->backend,
                        &(BackendColdRate){.per_s = per_s, .start_ms = 60000});
}

/* Runs a request that accepts this wait. */
static BackendReply
run_one(const Fixture *fixture, ClockMs max_wait_ms)
{
    BackendCall call = make_call();
    BackendReply reply;

    call.max_wait_ms = max_wait_ms;
    Backend_Run(fixture->backend, &call, &reply);
    HttpAnswer_Clear(&reply.answer);
    return reply;
}

static ClockMs
cold_wait(const Fixture *fixture)
{
    RosterReport report;

    Backend_GetReport(fixture->backend, &report);
    return report.cold_wait_ms;
}

typedef struct Caller {
    pthread_t thread;
    const Fixture *fixture;
    ClockMs max_wait_ms;
    BackendReply reply;
} Caller;

static void *
run_caller(void *context)
{
    Caller *caller = context;

    caller->reply = run_one(caller->fixture, caller->max_wait_ms);
    return NULL;
}

/* Starts requests that accept this wait, on threads. */
static void
start_callers(const Fixture *fixture, Caller *callers, guint count,
              ClockMs max_wait_ms)
{
    for (guint i = 0; i < count; i++) {
        callers[i] = (Caller){.fixture = fixture, .max_wait_ms = max_wait_ms};
        pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]);
    }
}

/* Guards against a cold backend server that gets all that wait at once,
 * against waiting requests that are not woken when their turn comes, and
 * against a refusal without the time of the next turn. */
static void
test_turns(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK}};
    Caller callers[MAX_CALLERS];
    ClockMs began;
    guint served = 0;

    open_cold(&fixture, OVERAGE, 60000);
    set_rate(&fixture, PER_S);
    began = Clock_Now();
    start_callers(&fixture, callers, MAX_CALLERS, 500);
    for (guint i = 0; i < MAX_CALLERS; i++) {
        const BackendReply *reply = &callers[i].reply;

        pthread_join(callers[i].thread, NULL);
        served += reply->result == RESULT_OK;
        if (reply->result != RESULT_OK) {
            g_assert_cmpint(reply->result, ==, RESULT_BACKEND_SERVER_BUSY);
            g_assert_cmpint(reply->run, ==, RUN_NO);
            g_assert_cmpint(reply->report.cold_wait_ms, >, 400);
        }
    }
    g_test_message("%u of %u served in %" G_GINT64_FORMAT " ms", served,
                   MAX_CALLERS, Clock_Now() - began);
    /* Ten turns in 500 ms. */
    g_assert_cmpuint(served, >=, 8);
    g_assert_cmpuint(served, <=, PER_S * (Clock_Now() - began) / 1000 + 4);
    g_assert_cmpint(g_atomic_int_get(&fixture.script.requests), ==, served);
    announce_cold(&fixture, 2, 0);
    g_assert_cmpint(run_one(&fixture, 0).result, ==, RESULT_OK);
    close_fixture(&fixture);
}

/* Guards against a burst by a process that has been started in place of one
 * that was killed: its backend server has announced itself, and the
 * configuration has not arrived. Also guards against a bound where there is
 * none. */
static void
test_configuration(void)
{
    static const struct {
        double overage;
        ClockMs cold_ms;
        gboolean is_bound;
    } cases[] = {{OVERAGE, 60000, TRUE},
                 {OVERAGE, BACKEND_COLD_UNSTATED, TRUE},
                 {OVERAGE, 0, FALSE},
                 {0, 60000, FALSE},
                 {0, BACKEND_COLD_UNSTATED, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {.script = {.answer = ANSWER_OK}};
        Result first =
            cases[i].is_bound ? RESULT_BACKEND_SERVER_BUSY : RESULT_OK;
        gboolean is_stated = cases[i].cold_ms != BACKEND_COLD_UNSTATED;

        open_cold(&fixture, cases[i].overage, cases[i].cold_ms);
        g_assert_cmpint(run_one(&fixture, 1900).result, ==, first);
        set_rate(&fixture, PER_S);
        /* An instance that says nothing was started long ago. */
        g_assert_cmpint(run_one(&fixture, 0).result, ==,
                        is_stated ? first : RESULT_OK);
        g_assert_cmpint(run_one(&fixture, 200).result, ==, RESULT_OK);
        set_rate(&fixture, 0);
        g_assert_cmpint(run_one(&fixture, 0).result, ==, RESULT_OK);
        g_assert_cmpint(cold_wait(&fixture), ==, 0);
        close_fixture(&fixture);
    }
}

/* Guards against an answer's header that is ignored, against a malformed one
 * that counts, and against one that ends what an announcement has stated. */
static void
test_header(void)
{
    static const struct {
        const char *value;
        gboolean is_cold;
    } cases[] = {{"5000", TRUE},     {"3600000", TRUE},
                 {"3600001", FALSE}, {"-5", FALSE},
                 {"5s", FALSE},      {"0", FALSE},
                 {"1e3", FALSE},     {"2.5", FALSE},
                 {"", FALSE},        {"+5000", FALSE},

                 {"nan", FALSE},     {"18446744073709551617", FALSE}};
    BackendReply reply;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {.script = {.answer = ANSWER_OK}};
        char *answer = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
                                       "X-Signature: s\r\nX-Cold: %s\r\n"
                                       "Content-Length: 2\r\n\r\nok",
                                       cases[i].value);

        atomic_store(&fixture.script.answer, answer);
        open_cold(&fixture, OVERAGE, 0);
        set_rate(&fixture, PER_S);
        reply = run_one(&fixture, 0);
        g_test_message("\"%s\"", cases[i].value);
        g_assert_cmpint(reply.report.cold_wait_ms > 0, ==, cases[i].is_cold);
        announce_cold(&fixture, 2, 60000);
        g_assert_cmpint(run_one(&fixture, 100).result, ==, RESULT_OK);
        g_assert_cmpint(cold_wait(&fixture), >, 0);
        close_fixture(&fixture);
        g_free(answer);
    }
}

/* Guards against a request that goes on waiting when its backend server
 * becomes cold meanwhile and its turn comes too late. */
static void
test_cold_while_waiting(void)
{
    Fixture fixture = {.script = {.answer = ANSWER_OK, .gated = TRUE}};
    Caller callers[MAX_CALLERS / 2];
    guint refused = 0;

    open_cold(&fixture, OVERAGE, 0);
    set_rate(&fixture, 2);
    start_callers(&fixture, callers, G_N_ELEMENTS(callers), 1900);
    while (g_atomic_int_get(&fixture.script.requests) < 8) {
        g_usleep(1000);
    }
    announce_cold(&fixture, 2, 60000);
    g_usleep(150000);
    g_atomic_int_set(&fixture.script.opened, 1000);
    for (guint i = 0; i < G_N_ELEMENTS(callers); i++) {
        pthread_join(callers[i].thread, NULL);
        if (callers[i].reply.result == RESULT_BACKEND_SERVER_BUSY) {
            refused++;
            g_assert_cmpint(callers[i].reply.queue_ms, <, 1000);
        }
    }
    /* Two turns a second, and at most two seconds. */
    g_assert_cmpuint(refused, >=, 8);
    close_fixture(&fixture);
}

/* Guards against a backend server that gets all requests at once after an
 * evacuation, and against one that stays cold after it has announced itself.
 */
static void
test_treated_as_cold(void)
{
    static const struct {
        double overage;
        double per_s;
        guint at_once; /* requests that are served without a wait */
        gboolean is_cold_later;
    } cases[] = {{OVERAGE, PER_S, 0, TRUE},
                 {OVERAGE, 0, 4, FALSE},
                 {0, PER_S, 4, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {.script = {.answer = ANSWER_OK}};
        guint served = 0;

        open_cold(&fixture, cases[i].overage, 0);
        set_rate(&fixture, cases[i].per_s);
        Backend_TreatAsCold(fixture.backend);
        while (run_one(&fixture, 0).result == RESULT_OK) {
            served++;
        }
        g_assert_cmpuint(served, ==, cases[i].at_once);
        g_assert_cmpint(run_one(&fixture, 1100).result, ==, RESULT_OK);
        g_assert_cmpint(cold_wait(&fixture) > 0, ==, cases[i].is_cold_later);
        announce_cold(&fixture, 2, i % 2 == 0 ? 0 : BACKEND_COLD_UNSTATED);
        g_assert_cmpint(cold_wait(&fixture), ==, 0);
        g_assert_cmpint(run_one(&fixture, 0).result, ==, RESULT_OK);
        close_fixture(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend-cold/turns", test_turns);
    g_test_add_func("/backend-cold/configuration", test_configuration);
    g_test_add_func("/backend-cold/header", test_header);
    g_test_add_func("/backend-cold/while-waiting", test_cold_while_waiting);
    g_test_add_func("/backend-cold/evacuation", test_treated_as_cold);
    return g_test_run();
}
