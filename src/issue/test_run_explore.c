/* Exhaustive exploration of short histories of issuances.
 *
 * Every sequence of events up to a given length is run on real tables, with
 * two tokens, two hosts and a restart. Three properties are checked after each
 * event: a token runs at most once; a token that was reported as "not run" has
 * not run and does not run later; and an answer belongs to the token that was
 * presented.
 *
 * The depth is 5 events, 6 with -m slow.
 */
#include <glib.h>
#include <string.h>

#include "issue/run_table.h"

#define TEAM 1
#define ROUTE 2
#define VALIDITY_MS 1000
#define KEEP_MS 100
#define TOKENS 2
#define HOSTS 2
#define MAX_DEPTH 6

/* A token and what really happened to it. */
typedef struct Issuance {
    RunToken token;
    int host;         /* owner */
    int executions;   /* number of requests at the backend server */
    gboolean is_open; /* a run was begun and has not ended */
    gboolean is_reported_not_run; /* "not run" was reported */
    PoolHandle handle;
    int process; /* number of the process that began the run */
    int runs;    /* number of answers made; makes each body unique */
    char body[16];
    gboolean has_body;
} Issuance;

typedef struct Simulation {
    RunTable *tables[HOSTS];
    int processes[HOSTS]; /* number of the current process of each host */
    ClockMs now;
    ClockMs stale_now; /* time that a paused thread has read */
    Issuance issuances[TOKENS];
    uint64_t executed;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
} Simulation;

typedef enum Event {
    PRESENT_0,
    PRESENT_1,
    PRESENT_STALE, /* token 0, with the old time of a paused thread */
    PRESENT_OTHER_TEAM,
    PRESENT_0_AT_OTHER,
    FINISH_0,
    FINISH_1,
    LOSE_0,
    ABORT_0,
    LATE_FINISH_0, /* duplicate finish with another body */
    VOID_0,
    VOID_0_AT_OTHER,
    EXPIRE,
    DRAIN,
    HAND_OVER,
    RESTART,
    EVENT_COUNT
} Event;

static const char *const event_names[EVENT_COUNT] = {
    "present 0",
    "present 1",
    "present 0 with a stale time",
    "other team",
    "present 0 at the other host",
    "finish 0",
    "finish 1",
    "lose 0",
    "abort 0",
    "late finish 0",
    "void 0",
    "void 0 at the other host",
    "expire",
    "drain",
    "hand over",
    "restart"};

static RunTable *
create_table(int host, int process)
{
    return RunTable_Create(
        &(RunTable_desc){.owner = (uint64_t)host + 1,
                         .incarnation = (uint64_t)process + 1,
                         .max_runs = 16,
                         .max_answer_bytes = 256,
                         .max_kept_bytes = 4096,
                         .validity_ms = VALIDITY_MS,
                         .keep_ms = KEEP_MS});
}

static void
mint(Simulation *simulation, int index)
{
    Issuance *issuance = &simulation->issuances[index];

    RunTable_Mint(simulation->tables[0], TEAM, ROUTE, 1, simulation->now,
                  &issuance->token);
}

static void
open_simulation(Simulation *simulation)
{
    *simulation = (Simulation){.now = 10, .stale_now = 10};
    for (int host = 0; host < HOSTS; host++) {
        simulation->tables[host] = create_table(host, 0);
    }
    for (int i = 0; i < TOKENS; i++) {
        mint(simulation, i);
    }
}

static void
close_simulation(Simulation *simulation)
{
    for (int host = 0; host < HOSTS; host++) {
        RunTable_Destroy(simulation->tables[host]);
    }
}

/* Records that the backend server received the request. */
static const char *
execute(Simulation *simulation, Issuance *issuance)
{
    issuance->executions++;
    simulation->executed++;
    if (issuance->executions > 1) {
        return "the token ran twice";
    }
    return issuance->is_reported_not_run ? "the token ran after \"not run\""
                                         : NULL;
}

static const char *
report_not_run(Simulation *simulation, Issuance *issuance)
{
    issuance->is_reported_not_run = TRUE;
    simulation->not_run++;
    if (issuance->executions > 0) {
        return "\"not run\" was reported for a token that ran";
    }
    return issuance->is_open ? "\"not run\" was reported for a run in progress"
                             : NULL;
}

static const char *
check_answer(Simulation *simulation, Issuance *issuance, RunAnswer *answer)
{
    const RunAnswer_desc *view = RunAnswer_Get(answer);
    const char *fault = NULL;

    simulation->answered++;
    if (!issuance->has_body || view->body_bytes != strlen(issuance->body) ||
        memcmp(view->body, issuance->body, view->body_bytes) != 0) {
        fault = "the answer belongs to another token";
    }
    if (view->run == RUN_YES && issuance->executions == 0) {
        fault = "the answer reports a run that did not take place";
    }
    RunAnswer_Unref(answer);
    return fault;
}

static const char *
present(Simulation *simulation, int index, int host, uint64_t team,
        ClockMs now)
{
    Issuance *issuance = &simulation->issuances[index];
    RunBegin found = RunTable_Begin(simulation->tables[host], &issuance->token,
                                    team, ROUTE, now);

    switch (found.action) {
    case RUN_EXECUTE:
        if (issuance->is_open) {
            return "a second run was begun";
        }
        if (host != 0) {
            return "a host other than the token's owner runs it";
        }
        issuance->is_open = TRUE;
        issuance->handle = found.handle;
        issuance->process = simulation->processes[host];
        return issuance->is_reported_not_run ? "begun after \"not run\""
                                             : NULL;
    case RUN_ANSWER:
        return check_answer(simulation, issuance, found.answer);
    case RUN_REFUSE:
        if (found.run == RUN_NO && found.result != RESULT_TOKEN_OTHER_TEAM &&
            found.result != RESULT_FULL) {
            return report_not_run(simulation, issuance);
        }
        simulation->unknown += found.run == RUN_UNKNOWN;
        return NULL;
    default:
        return NULL;
    }
}

static const char *
finish(Simulation *simulation, int index, RunState run)
{
    Issuance *issuance = &simulation->issuances[index];
    const char *fault = execute(simulation, issuance);
    RunAnswer *answer;

    issuance->is_open = FALSE;
    /* After a restart no table has a record of the run. */
    if (issuance->process != simulation->processes[0]) {
        return fault;
    }
    g_snprintf(issuance->body, sizeof(issuance->body), "t%d-r%d", index,
               ++issuance->runs);
    issuance->has_body = TRUE;
    answer = RunAnswer_Create(
        &(RunAnswer_desc){.status = 200,
                          .run = run,
                          .body = issuance->body,
                          .body_bytes = strlen(issuance->body)});
    if (RunTable_Finish(simulation->tables[0], issuance->handle, answer,
                        simulation->now) != RESULT_OK) {
        fault = "the end of a run in progress was refused";
    }
    RunAnswer_Unref(answer);
    return fault;
}

static const char *
abort_run(Simulation *simulation, Issuance *issuance)
{
    issuance->is_open = FALSE;
    if (issuance->process == simulation->processes[0]) {
        RunTable_Abort(simulation->tables[0], issuance->handle,
                       simulation->now);
    }
    return report_not_run(simulation, issuance);
}

static const char *
finish_late(Simulation *simulation, Issuance *issuance)
{
    RunAnswer *answer = RunAnswer_Create(
        &(RunAnswer_desc){.run = RUN_YES, .body = "late", .body_bytes = 4});
    Result result = RunTable_Finish(simulation->tables[0], issuance->handle,
                                    answer, simulation->now);

    RunAnswer_Unref(answer);
    return result == RESULT_OK ? "a second end of the run was accepted" : NULL;
}

static const char *
void_token(Simulation *simulation, int index, int host)
{
    Issuance *issuance = &simulation->issuances[index];

    switch (RunTable_Void(simulation->tables[host], &issuance->token,
                          simulation->now)) {
    case RUN_TOKEN_VOID:
        return report_not_run(simulation, issuance);
    case RUN_TOKEN_DONE:
        return issuance->executions == 0 ? "done without a run" : NULL;
    default:
        return NULL;
    }
}

static void
hand_over(Simulation *simulation)
{
    GPtrArray *chunks =
        RunTable_HandOver(simulation->tables[0], 64, simulation->now);

    for (guint i = 0; i < chunks->len; i++) {
        gsize bytes;
        gconstpointer data = g_bytes_get_data(chunks->pdata[i], &bytes);

        RunTable_Adopt(simulation->tables[1], data, bytes, simulation->now);
    }
    g_ptr_array_unref(chunks);
}

static void
restart(Simulation *simulation)
{
    RunTable_Destroy(simulation->tables[0]);
    simulation->processes[0]++;
    simulation->tables[0] = create_table(0, simulation->processes[0]);
    /* The new process mints tokens with the same serials as the old one. */
    for (int i = 0; i < TOKENS; i++) {
        RunToken other;

        RunTable_Mint(simulation->tables[0], TEAM, ROUTE, 1, simulation->now,
                      &other);
    }
}

static gboolean
is_possible(const Simulation *simulation, Event event)
{
    const Issuance *first = &simulation->issuances[0];

    switch (event) {
    case FINISH_0:
    case LOSE_0:
    case ABORT_0:
        return first->is_open;
    case FINISH_1:
        return simulation->issuances[1].is_open;
    case LATE_FINISH_0:
        return !first->is_open && first->handle != POOL_NONE &&
               first->process == simulation->processes[0];
    default:
        return TRUE;
    }
}

/* Executes one event. Returns the fault found, or NULL. */
static const char *
execute_event(Simulation *simulation, Event event)
{
    Issuance *first = &simulation->issuances[0];

    simulation->now++;
    switch (event) {
    case PRESENT_0:
        return present(simulation, 0, 0, TEAM, simulation->now);
    case PRESENT_1:
        return present(simulation, 1, 0, TEAM, simulation->now);
    case PRESENT_STALE:
        return present(simulation, 0, 0, TEAM, simulation->stale_now);
    case PRESENT_OTHER_TEAM:
        return present(simulation, 0, 0, TEAM + 1, simulation->now);
    case PRESENT_0_AT_OTHER:
        return present(simulation, 0, 1, TEAM, simulation->now);
    case FINISH_0:
        return finish(simulation, 0, RUN_YES);
    case FINISH_1:
        return finish(simulation, 1, RUN_YES);
    case LOSE_0:
        return finish(simulation, 0, RUN_UNKNOWN);
    case ABORT_0:
        return abort_run(simulation, first);
    case LATE_FINISH_0:
        return finish_late(simulation, first);
    case VOID_0:
        return void_token(simulation, 0, 0);
    case VOID_0_AT_OTHER:
        return void_token(simulation, 0, 1);
    case EXPIRE:
        simulation->now += VALIDITY_MS + KEEP_MS;
        RunTable_Expire(simulation->tables[0], simulation->now);
        RunTable_Expire(simulation->tables[1], simulation->now);
        return NULL;
    case DRAIN:
        RunTable_Drain(simulation->tables[0]);
        return NULL;
    case HAND_OVER:
        hand_over(simulation);
        return NULL;
    default:
        restart(simulation);
        return NULL;
    }
}

typedef struct Totals {
    uint64_t histories;
    uint64_t executed;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
} Totals;

static void
report(const Event *events, int count, const char *fault)
{
    g_test_message("fault: %s, after:", fault);
    for (int i = 0; i < count; i++) {
        g_test_message("  %s", event_names[events[i]]);
    }
    g_test_fail();
}

/* Executes the events. Returns FALSE if one of them is impossible or shows a
 * fault; then no longer history with this prefix needs to be explored. */
static gboolean
execute_events(const Event *events, int count, Totals *totals)
{
    Simulation simulation;
    gboolean is_valid = TRUE;

    open_simulation(&simulation);
    for (int i = 0; is_valid && i < count; i++) {
        const char *fault = NULL;

        is_valid = is_possible(&simulation, events[i]);
        if (is_valid) {
            fault = execute_event(&simulation, events[i]);
        }
        if (fault != NULL) {
            report(events, i + 1, fault);
            is_valid = FALSE;
        }
    }
    if (is_valid) {
        totals->histories++;
        totals->executed += simulation.executed;
        totals->answered += simulation.answered;
        totals->not_run += simulation.not_run;
        totals->unknown += simulation.unknown;
    }
    close_simulation(&simulation);
    return is_valid;
}

static void
explore(Event *events, int count, int depth, Totals *totals)
{
    for (int event = 0; event < EVENT_COUNT && !g_test_failed(); event++) {
        events[count] = event;
        if (execute_events(events, count + 1, totals) && count + 1 < depth) {
            explore(events, count + 1, depth, totals);
        }
    }
}

/* Guards against any order of events that leads to a second run, to a false
 * report of "not run", or to the answer of another token. */
static void
test_explore(void)
{
    Event events[MAX_DEPTH];
    Totals totals = {0};

    explore(events, 0, g_test_slow() ? MAX_DEPTH : MAX_DEPTH - 1, &totals);
    g_test_message("%" G_GUINT64_FORMAT " histories: %" G_GUINT64_FORMAT
                   " runs, %" G_GUINT64_FORMAT
                   " kept answers, %" G_GUINT64_FORMAT
                   " \"not run\", %" G_GUINT64_FORMAT " unknown outcomes",
                   totals.histories, totals.executed, totals.answered,
                   totals.not_run, totals.unknown);
    /* Without these cases the exploration would prove nothing. */
    g_assert_cmpuint(totals.histories, >, 100000);
    g_assert_cmpuint(totals.executed, >, 10000);
    g_assert_cmpuint(totals.answered, >, 1000);
    g_assert_cmpuint(totals.not_run, >, 10000);
    g_assert_cmpuint(totals.unknown, >, 10000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/issue/explore", test_explore);
    return g_test_run();
}
