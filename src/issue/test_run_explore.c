/* Exhaustive exploration of short histories of an issuance.
 *
 * Every sequence of events up to a depth is played on real tables, with two
 * tokens, two hosts and a restart. After each event three things are checked:
 * a token runs at most once; a token that somebody was told "not run" of
 * does not run before or after; and an answer is the token's own.
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

/* What the world knows of one token. */
typedef struct Issuance {
    RunToken token;
    int host;           /* owner */
    int executions;     /* runs that a backend server got */
    gboolean is_open;   /* a run was begun and has not ended */
    gboolean is_denied; /* somebody was told "not run" */
    PoolHandle handle;
    int process; /* number of the process in which the run is open */
    int runs;    /* answers made, so that each has a body of its own */
    char body[16];
    gboolean has_body;
} Issuance;

typedef struct World {
    RunTable *tables[HOSTS];
    int processes[HOSTS]; /* number of the running process; rises at restart */
    ClockMs now;
    ClockMs stale_now; /* what a paused thread has read */
    Issuance issuances[TOKENS];
    uint64_t executed;
    uint64_t answered;
    uint64_t denied;
    uint64_t unknown;
} World;

typedef enum Event {
    PRESENT_0,
    PRESENT_1,
    PRESENT_STALE, /* token 0, by a thread that was paused */
    PRESENT_OTHER_TEAM,
    PRESENT_0_AT_OTHER,
    FINISH_0,
    FINISH_1,
    LOSE_0,
    ABORT_0,
    LATE_FINISH_0, /* an end that comes again with another body */
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
mint(World *world, int index)
{
    Issuance *issuance = &world->issuances[index];

    RunTable_Mint(world->tables[0], TEAM, ROUTE, 1, world->now,
                  &issuance->token);
}

static void
open_world(World *world)
{
    *world = (World){.now = 10, .stale_now = 10};
    for (int host = 0; host < HOSTS; host++) {
        world->tables[host] = create_table(host, 0);
    }
    for (int i = 0; i < TOKENS; i++) {
        mint(world, i);
    }
}

static void
close_world(World *world)
{
    for (int host = 0; host < HOSTS; host++) {
        RunTable_Destroy(world->tables[host]);
    }
}

/* The backend server gets the request. */
static const char *
execute(World *world, Issuance *issuance)
{
    issuance->executions++;
    world->executed++;
    if (issuance->executions > 1) {
        return "the token ran twice";
    }
    return issuance->is_denied ? "the token ran after \"not run\"" : NULL;
}

static const char *
deny(World *world, Issuance *issuance)
{
    issuance->is_denied = TRUE;
    world->denied++;
    if (issuance->executions > 0) {
        return "\"not run\" was said of a token that ran";
    }
    return issuance->is_open ? "\"not run\" was said of an open run" : NULL;
}

static const char *
check_answer(World *world, Issuance *issuance, RunAnswer *answer)
{
    const RunAnswer_desc *view = RunAnswer_Get(answer);
    const char *fault = NULL;

    world->answered++;
    if (!issuance->has_body || view->body_bytes != strlen(issuance->body) ||
        memcmp(view->body, issuance->body, view->body_bytes) != 0) {
        fault = "the answer is not the token's own";
    }
    if (view->run == RUN_YES && issuance->executions == 0) {
        fault = "the answer is of a run that did not take place";
    }
    RunAnswer_Unref(answer);
    return fault;
}

static const char *
present(World *world, int index, int host, uint64_t team, ClockMs now)
{
    Issuance *issuance = &world->issuances[index];
    RunBegin found = RunTable_Begin(world->tables[host], &issuance->token,
                                    team, ROUTE, now);

    switch (found.action) {
    case RUN_EXECUTE:
        if (issuance->is_open) {
            return "a second run was begun";
        }
        if (host != 0) {
            return "a host that did not mint the token runs it";
        }
        issuance->is_open = TRUE;
        issuance->handle = found.handle;
        issuance->process = world->processes[host];
        return issuance->is_denied ? "begun after \"not run\"" : NULL;
    case RUN_ANSWER:
        return check_answer(world, issuance, found.answer);
    case RUN_REFUSE:
        if (found.run == RUN_NO && found.result != RESULT_TOKEN_OTHER_TEAM &&
            found.result != RESULT_FULL) {
            return deny(world, issuance);
        }
        world->unknown += found.run == RUN_UNKNOWN;
        return NULL;
    default:
        return NULL;
    }
}

static const char *
finish(World *world, int index, RunState run)
{
    Issuance *issuance = &world->issuances[index];
    const char *fault = execute(world, issuance);
    RunAnswer *answer;

    issuance->is_open = FALSE;
    /* After a restart the run ends without a table that knows it. */
    if (issuance->process != world->processes[0]) {
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
    if (RunTable_Finish(world->tables[0], issuance->handle, answer,
                        world->now) != RESULT_OK) {
        fault = "the end of an open run was refused";
    }
    RunAnswer_Unref(answer);
    return fault;
}

static const char *
abort_run(World *world, Issuance *issuance)
{
    issuance->is_open = FALSE;
    if (issuance->process == world->processes[0]) {
        RunTable_Abort(world->tables[0], issuance->handle, world->now);
    }
    return deny(world, issuance);
}

static const char *
finish_late(World *world, Issuance *issuance)
{
    RunAnswer *answer = RunAnswer_Create(
        &(RunAnswer_desc){.run = RUN_YES, .body = "late", .body_bytes = 4});
    Result result = RunTable_Finish(world->tables[0], issuance->handle, answer,
                                    world->now);

    RunAnswer_Unref(answer);
    return result == RESULT_OK ? "a second end was accepted" : NULL;
}

static const char *
void_token(World *world, int index, int host)
{
    Issuance *issuance = &world->issuances[index];

    switch (RunTable_Void(world->tables[host], &issuance->token, world->now)) {
    case RUN_TOKEN_VOID:
        return deny(world, issuance);
    case RUN_TOKEN_DONE:
        return issuance->executions == 0 ? "done without a run" : NULL;
    default:
        return NULL;
    }
}

static void
hand_over(World *world)
{
    GPtrArray *chunks = RunTable_HandOver(world->tables[0], 64, world->now);

    for (guint i = 0; i < chunks->len; i++) {
        gsize bytes;
        gconstpointer data = g_bytes_get_data(chunks->pdata[i], &bytes);

        RunTable_Adopt(world->tables[1], data, bytes, world->now);
    }
    g_ptr_array_unref(chunks);
}

static void
restart(World *world)
{
    RunTable_Destroy(world->tables[0]);
    world->processes[0]++;
    world->tables[0] = create_table(0, world->processes[0]);
    /* The new process mints tokens with the same serials. */
    for (int i = 0; i < TOKENS; i++) {
        RunToken other;

        RunTable_Mint(world->tables[0], TEAM, ROUTE, 1, world->now, &other);
    }
}

static gboolean
is_possible(const World *world, Event event)
{
    const Issuance *first = &world->issuances[0];

    switch (event) {
    case FINISH_0:
    case LOSE_0:
    case ABORT_0:
        return first->is_open;
    case FINISH_1:
        return world->issuances[1].is_open;
    case LATE_FINISH_0:
        return !first->is_open && first->handle != POOL_NONE &&
               first->process == world->processes[0];
    default:
        return TRUE;
    }
}

/* Returns a fault, or NULL. */
static const char *
play(World *world, Event event)
{
    Issuance *first = &world->issuances[0];

    world->now++;
    switch (event) {
    case PRESENT_0:
        return present(world, 0, 0, TEAM, world->now);
    case PRESENT_1:
        return present(world, 1, 0, TEAM, world->now);
    case PRESENT_STALE:
        return present(world, 0, 0, TEAM, world->stale_now);
    case PRESENT_OTHER_TEAM:
        return present(world, 0, 0, TEAM + 1, world->now);
    case PRESENT_0_AT_OTHER:
        return present(world, 0, 1, TEAM, world->now);
    case FINISH_0:
        return finish(world, 0, RUN_YES);
    case FINISH_1:
        return finish(world, 1, RUN_YES);
    case LOSE_0:
        return finish(world, 0, RUN_UNKNOWN);
    case ABORT_0:
        return abort_run(world, first);
    case LATE_FINISH_0:
        return finish_late(world, first);
    case VOID_0:
        return void_token(world, 0, 0);
    case VOID_0_AT_OTHER:
        return void_token(world, 0, 1);
    case EXPIRE:
        world->now += VALIDITY_MS + KEEP_MS;
        RunTable_Expire(world->tables[0], world->now);
        RunTable_Expire(world->tables[1], world->now);
        return NULL;
    case DRAIN:
        RunTable_Drain(world->tables[0]);
        return NULL;
    case HAND_OVER:
        hand_over(world);
        return NULL;
    default:
        restart(world);
        return NULL;
    }
}

typedef struct Totals {
    uint64_t histories;
    uint64_t executed;
    uint64_t answered;
    uint64_t denied;
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

/* Plays the events; FALSE if they cannot take place or show a fault, so that
 * no longer history needs to begin with them. */
static gboolean
play_all(const Event *events, int count, Totals *totals)
{
    World world;
    gboolean is_whole = TRUE;

    open_world(&world);
    for (int i = 0; is_whole && i < count; i++) {
        const char *fault = NULL;

        is_whole = is_possible(&world, events[i]);
        if (is_whole) {
            fault = play(&world, events[i]);
        }
        if (fault != NULL) {
            report(events, i + 1, fault);
            is_whole = FALSE;
        }
    }
    if (is_whole) {
        totals->histories++;
        totals->executed += world.executed;
        totals->answered += world.answered;
        totals->denied += world.denied;
        totals->unknown += world.unknown;
    }
    close_world(&world);
    return is_whole;
}

static void
explore(Event *events, int count, int depth, Totals *totals)
{
    for (int event = 0; event < EVENT_COUNT && !g_test_failed(); event++) {
        events[count] = event;
        if (play_all(events, count + 1, totals) && count + 1 < depth) {
            explore(events, count + 1, depth, totals);
        }
    }
}

/* Guards against any order of events that leads to a second run, to a "not
 * run" that is false, or to the answer of another token. */
static void
test_explore(void)
{
    Event events[MAX_DEPTH];
    Totals totals = {0};

    explore(events, 0, g_test_slow() ? MAX_DEPTH : MAX_DEPTH - 1, &totals);
    g_test_message("%" G_GUINT64_FORMAT " histories: %" G_GUINT64_FORMAT
                   " runs, %" G_GUINT64_FORMAT
                   " repeated answers, %" G_GUINT64_FORMAT
                   " times \"not run\", %" G_GUINT64_FORMAT " times unknown",
                   totals.histories, totals.executed, totals.answered,
                   totals.denied, totals.unknown);
    /* An exploration that reached none of these would prove nothing. */
    g_assert_cmpuint(totals.histories, >, 100000);
    g_assert_cmpuint(totals.executed, >, 10000);
    g_assert_cmpuint(totals.answered, >, 1000);
    g_assert_cmpuint(totals.denied, >, 10000);
    g_assert_cmpuint(totals.unknown, >, 10000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/issue/explore", test_explore);
    return g_test_run();
}
