/* Tests of the run table: decisions, limits, hand-over, threads. */
#include <glib.h>
#include <string.h>

#include "issue/run_table.h"

#define TEAM 11
#define ROUTE 12
#define VALIDITY_MS 1000
#define KEEP_MS 100

static RunTable *
create_table(uint64_t owner, uint64_t incarnation)
{
    return RunTable_Create(&(RunTable_desc){.owner = owner,
                                            .incarnation = incarnation,
                                            .max_runs = 64,
                                            .max_answer_bytes = 512,
                                            .max_kept_bytes = 16384,
                                            .validity_ms = VALIDITY_MS,
                                            .keep_ms = KEEP_MS});
}

static RunAnswer *
create_answer(const char *body, RunState run)
{
    RunHeader header = {"Content-Type", "text/plain"};

    return RunAnswer_Create(&(RunAnswer_desc){
        .status = run == RUN_YES ? 200 : 502,
        .result = run == RUN_YES ? RESULT_OK : RESULT_OUTCOME_UNKNOWN,
        .run = run,
        .headers = &header,
        .header_count = 1,
        .body = body,
        .body_bytes = strlen(body)});
}

static RunToken
mint(RunTable *table, ClockMs now)
{
    RunToken token;

    g_assert_cmpint(RunTable_Mint(table, TEAM, ROUTE, 1, now, &token), ==,
                    RESULT_OK);
    return token;
}

static RunBegin
begin(RunTable *table, const RunToken *token, ClockMs now)
{
    return RunTable_Begin(table, token, TEAM, ROUTE, now);
}

static void
finish(RunTable *table, PoolHandle handle, const char *body, RunState run,
       ClockMs now)
{
    RunAnswer *answer = create_answer(body, run);

    g_assert_cmpint(RunTable_Finish(table, handle, answer, now), ==,
                    RESULT_OK);
    RunAnswer_Unref(answer);
}

/* Presents the token and checks a decision without an answer. */
static PoolHandle
expect(RunTable *table, const RunToken *token, ClockMs now, RunAction action,
       Result result)
{
    RunBegin found = begin(table, token, now);

    g_assert_cmpint(found.action, ==, action);
    g_assert_cmpint(found.result, ==, result);
    return found.handle;
}

static void
expect_body(RunTable *table, const RunToken *token, const char *body,
            ClockMs now)
{
    RunBegin found = begin(table, token, now);

    g_assert_cmpint(found.action, ==, RUN_ANSWER);
    g_assert_cmpmem(RunAnswer_Get(found.answer)->body,
                    RunAnswer_Get(found.answer)->body_bytes, body,
                    strlen(body));
    RunAnswer_Unref(found.answer);
}

/* What happened to the token before the event. */
typedef enum Step {
    STEP_NONE,
    STEP_RUNNING,
    STEP_DONE,
    STEP_LOST,
    STEP_ABORTED,
    STEP_VOIDED,
    STEP_COUNT
} Step;

typedef enum Event {
    EVENT_PRESENT,
    EVENT_OTHER_TEAM,
    EVENT_OTHER_ROUTE,
    EVENT_VOID,
    EVENT_EXPIRY,      /* presented after expiry, record dropped */
    EVENT_LATE_RECORD, /* presented after expiry, record kept */
    EVENT_STALE_CLOCK, /* record dropped, presented with an older time */
    EVENT_DRAIN,
    EVENT_HAND_OVER, /* presented at the successor */
    EVENT_HAND_OVER_VOID,
    EVENT_HAND_OVER_EXPIRED, /* expired before the hand-over */
    EVENT_RESTART,           /* presented to the next incarnation */
    EVENT_COUNT
} Event;

typedef struct Expected {
    RunAction action;
    Result result;
    RunState run;
    RunTokenState state; /* expected state, for the two void events */
} Expected;

#define EXECUTE                                \
    {                                          \
        RUN_EXECUTE, RESULT_OK, RUN_UNKNOWN, 0 \
    }
#define ANSWER                            \
    {                                     \
        RUN_ANSWER, RESULT_OK, RUN_YES, 0 \
    }
#define LOST                                               \
    {                                                      \
        RUN_ANSWER, RESULT_OUTCOME_UNKNOWN, RUN_UNKNOWN, 0 \
    }
#define WAIT                                           \
    {                                                  \
        RUN_WAIT, RESULT_STILL_RUNNING, RUN_UNKNOWN, 0 \
    }
#define REFUSE(result, run)                       \
    {                                             \
        RUN_REFUSE, RESULT_##result, RUN_##run, 0 \
    }
#define STATE(state)                                     \
    {                                                    \
        RUN_REFUSE, RESULT_OK, RUN_NO, RUN_TOKEN_##state \
    }

/* clang-format off */
static const Expected expectations[EVENT_COUNT][STEP_COUNT] = {
    /* none, running, done, lost, aborted, voided */
    [EVENT_PRESENT] = {EXECUTE, WAIT, ANSWER, LOST, REFUSE(TOKEN_VOID, NO),
                       REFUSE(TOKEN_VOID, NO)},
    [EVENT_OTHER_TEAM] = {REFUSE(TOKEN_OTHER_TEAM, NO),
                          REFUSE(TOKEN_OTHER_TEAM, NO),
                          REFUSE(TOKEN_OTHER_TEAM, NO),
                          REFUSE(TOKEN_OTHER_TEAM, NO),
                          REFUSE(TOKEN_OTHER_TEAM, NO),
                          REFUSE(TOKEN_OTHER_TEAM, NO)},
    [EVENT_OTHER_ROUTE] = {REFUSE(TOKEN_OTHER_TEAM, NO),
                           REFUSE(TOKEN_OTHER_TEAM, NO),
                           REFUSE(TOKEN_OTHER_TEAM, NO),
                           REFUSE(TOKEN_OTHER_TEAM, NO),
                           REFUSE(TOKEN_OTHER_TEAM, NO),
                           REFUSE(TOKEN_OTHER_TEAM, NO)},
    [EVENT_VOID] = {STATE(VOID), STATE(RUNNING), STATE(DONE), STATE(UNKNOWN),
                    STATE(VOID), STATE(VOID)},
    [EVENT_EXPIRY] = {REFUSE(TOKEN_EXPIRED, UNKNOWN), WAIT,
                      REFUSE(TOKEN_EXPIRED, UNKNOWN),
                      REFUSE(TOKEN_EXPIRED, UNKNOWN),
                      REFUSE(TOKEN_EXPIRED, UNKNOWN),
                      REFUSE(TOKEN_EXPIRED, UNKNOWN)},
    [EVENT_LATE_RECORD] = {REFUSE(TOKEN_EXPIRED, UNKNOWN), WAIT, ANSWER, LOST,
                           REFUSE(TOKEN_VOID, NO), REFUSE(TOKEN_VOID, NO)},
    [EVENT_STALE_CLOCK] = {REFUSE(TOKEN_EXPIRED, UNKNOWN), WAIT,
                           REFUSE(TOKEN_EXPIRED, UNKNOWN),
                           REFUSE(TOKEN_EXPIRED, UNKNOWN),
                           REFUSE(TOKEN_EXPIRED, UNKNOWN),
                           REFUSE(TOKEN_EXPIRED, UNKNOWN)},
    [EVENT_DRAIN] = {REFUSE(SHUTTING_DOWN, NO), WAIT, ANSWER, LOST,
                     REFUSE(TOKEN_VOID, NO), REFUSE(TOKEN_VOID, NO)},
    [EVENT_HAND_OVER] = {REFUSE(TOKEN_VOID, NO),
                         REFUSE(OUTCOME_UNKNOWN, UNKNOWN), ANSWER, LOST,
                         REFUSE(TOKEN_VOID, NO), REFUSE(TOKEN_VOID, NO)},
    [EVENT_HAND_OVER_VOID] = {STATE(VOID), STATE(UNKNOWN), STATE(DONE),
                              STATE(UNKNOWN), STATE(VOID), STATE(VOID)},
    [EVENT_HAND_OVER_EXPIRED] = {REFUSE(TOKEN_EXPIRED, UNKNOWN),
                                 REFUSE(OUTCOME_UNKNOWN, UNKNOWN),
                                 REFUSE(TOKEN_EXPIRED, UNKNOWN),
                                 REFUSE(TOKEN_EXPIRED, UNKNOWN),
                                 REFUSE(TOKEN_EXPIRED, UNKNOWN),
                                 REFUSE(TOKEN_EXPIRED, UNKNOWN)},
    [EVENT_RESTART] = {REFUSE(OUTCOME_UNKNOWN, UNKNOWN),
                       REFUSE(OUTCOME_UNKNOWN, UNKNOWN),
                       REFUSE(OUTCOME_UNKNOWN, UNKNOWN),
                       REFUSE(OUTCOME_UNKNOWN, UNKNOWN),
                       REFUSE(OUTCOME_UNKNOWN, UNKNOWN),
                       REFUSE(OUTCOME_UNKNOWN, UNKNOWN)},
};
/* clang-format on */

#define STEP_MS 900 /* time of the steps, before the token expires */
#define AFTER_MS (VALIDITY_MS + KEEP_MS + 1)

static void
do_step(RunTable *table, const RunToken *token, Step step)
{
    RunBegin run = {0};

    if (step == STEP_NONE) {
        return;
    }
    if (step == STEP_VOIDED) {
        g_assert_cmpint(RunTable_Void(table, token, STEP_MS), ==,
                        RUN_TOKEN_VOID);
        return;
    }
    run = begin(table, token, STEP_MS);
    g_assert_cmpint(run.action, ==, RUN_EXECUTE);
    if (step == STEP_DONE) {
        finish(table, run.handle, "own", RUN_YES, STEP_MS + 50);
    }
    else if (step == STEP_LOST) {
        finish(table, run.handle, "lost", RUN_UNKNOWN, STEP_MS + 50);
    }
    else if (step == STEP_ABORTED) {
        g_assert_cmpint(RunTable_Abort(table, run.handle, STEP_MS + 50), ==,
                        RESULT_OK);
    }
}

static void
adopt_all(RunTable *from, RunTable *to, size_t chunk_bytes, ClockMs from_now,
          ClockMs to_now)
{
    GPtrArray *chunks = RunTable_HandOver(from, chunk_bytes, from_now);

    for (guint i = 0; i < chunks->len; i++) {
        gsize bytes;
        gconstpointer data = g_bytes_get_data(chunks->pdata[i], &bytes);

        g_assert_cmpint(RunTable_Adopt(to, data, bytes, to_now), ==,
                        RESULT_OK);
    }
    g_ptr_array_unref(chunks);
}

static RunBegin
do_event(RunTable *table, RunTable *other, RunTable *restarted,
         const RunToken *token, Event event, RunTokenState *state)
{
    switch (event) {
    case EVENT_OTHER_TEAM:
        return RunTable_Begin(table, token, TEAM + 1, ROUTE, STEP_MS + 60);
    case EVENT_OTHER_ROUTE:
        return RunTable_Begin(table, token, TEAM, ROUTE + 1, STEP_MS + 60);
    case EVENT_VOID:
        *state = RunTable_Void(table, token, STEP_MS + 60);
        return (RunBegin){.action = RUN_REFUSE, .run = RUN_NO};
    case EVENT_EXPIRY:
        RunTable_Expire(table, AFTER_MS);
        return begin(table, token, AFTER_MS);
    case EVENT_LATE_RECORD:
        return begin(table, token, AFTER_MS);
    case EVENT_STALE_CLOCK:
        RunTable_Expire(table, AFTER_MS);
        return begin(table, token, STEP_MS);
    case EVENT_DRAIN:
        RunTable_Drain(table);
        return begin(table, token, STEP_MS + 60);
    case EVENT_HAND_OVER:
        /* The successor's clock differs greatly from the previous owner's. */
        adopt_all(table, other, 0, STEP_MS + 60, 5000000);
        return begin(other, token, 5000010);
    case EVENT_HAND_OVER_VOID:
        adopt_all(table, other, 0, STEP_MS + 60, 5000000);
        *state = RunTable_Void(other, token, 5000010);
        return (RunBegin){.action = RUN_REFUSE, .run = RUN_NO};
    case EVENT_HAND_OVER_EXPIRED:
        RunTable_Expire(table, AFTER_MS);
        adopt_all(table, other, 0, AFTER_MS, 10);
        return begin(other, token, 20);
    case EVENT_RESTART:
        /* The next incarnation numbers its tokens from 1 again. */
        mint(restarted, 0);
        return begin(restarted, token, STEP_MS + 60);
    default:
        return begin(table, token, STEP_MS + 60);
    }
}

static void
check_crossed_answer(RunAnswer *answer, Step step)
{
    const RunAnswer_desc *view = RunAnswer_Get(answer);
    const char *body = step == STEP_DONE ? "own" : "lost";

    g_assert_cmpmem(view->body, view->body_bytes, body, strlen(body));
    g_assert_cmpuint(view->header_count, ==, 1);
    g_assert_cmpstr(view->headers[0].name, ==, "Content-Type");
    g_assert_cmpstr(view->headers[0].value, ==, "text/plain");
    g_assert_cmpint(view->status, ==, step == STEP_DONE ? 200 : 502);
    RunAnswer_Unref(answer);
}

/* Guards against a second run, a false report of "not run" or another token's
 * answer: tests every combination of a step and an event. */
static void
test_crossed(gconstpointer data)
{
    Step step = GPOINTER_TO_INT(data) % STEP_COUNT;
    Event event = GPOINTER_TO_INT(data) / STEP_COUNT;
    const Expected *expected = &expectations[event][step];
    RunTable *table = create_table(1, 1);
    RunTable *other = create_table(2, 1);
    RunTable *restarted = create_table(1, 2);
    RunToken token = mint(table, 0);
    RunTokenState state = RUN_TOKEN_FRESH;
    RunBegin found;

    do_step(table, &token, step);
    found = do_event(table, other, restarted, &token, event, &state);
    g_assert_cmpint(found.action, ==, expected->action);
    g_assert_cmpint(found.result, ==, expected->result);
    g_assert_cmpint(found.run, ==, expected->run);
    g_assert_cmpint(state, ==, expected->state);
    if (found.action == RUN_ANSWER) {
        check_crossed_answer(found.answer, step);
    }
    RunTable_Destroy(table);
    RunTable_Destroy(other);
    RunTable_Destroy(restarted);
}

/* Guards against a late end of a run that changes a recorded answer. */
static void
test_late_end(void)
{
    RunTable *table = create_table(1, 1);
    RunToken token = mint(table, 0);
    RunBegin run = begin(table, &token, 1);
    RunAnswer *late = create_answer("late", RUN_YES);
    RunBegin again;

    finish(table, run.handle, "own", RUN_YES, 2);
    g_assert_cmpint(RunTable_Finish(table, run.handle, late, 3), ==,
                    RESULT_NOT_FOUND);
    g_assert_cmpint(RunTable_Abort(table, run.handle, 3), ==,
                    RESULT_NOT_FOUND);
    again = begin(table, &token, 4);
    g_assert_cmpint(again.action, ==, RUN_ANSWER);
    g_assert_cmpmem(RunAnswer_Get(again.answer)->body, 3, "own", 3);
    RunAnswer_Unref(again.answer);
    RunAnswer_Unref(late);
    RunTable_Destroy(table);
}

/* Guards against accepting tokens that this incarnation never minted. */
static void
test_never_minted(void)
{
    RunTable *table = create_table(1, 1);
    RunToken token = mint(table, 0);
    RunToken later = token;
    RunToken longer = token;
    RunToken zero = token;

    later.serial++;
    longer.valid_until++;
    zero.serial = 0;
    g_assert_cmpint(begin(table, &later, 1).result, ==, RESULT_TOKEN_INVALID);
    g_assert_cmpint(begin(table, &zero, 1).result, ==, RESULT_TOKEN_INVALID);
    /* The table's time is 1 by now, so 1001 is a possible end of validity. */
    longer.valid_until++;
    g_assert_cmpint(begin(table, &longer, 1).result, ==, RESULT_TOKEN_INVALID);
    g_assert_cmpint(RunTable_Void(table, &longer, 1), ==, RUN_TOKEN_UNKNOWN);
    g_assert_cmpint(begin(table, &token, 1).action, ==, RUN_EXECUTE);
    RunTable_Destroy(table);
}

/* Guards against a full table that drops records still needed, or that has no
 * room left to void fresh tokens, so that "not run" cannot be reported. */
static void
test_full(void)
{
    RunTable *table = RunTable_Create(&(RunTable_desc){
        .owner = 1, .incarnation = 1, .max_runs = 16, .validity_ms = 1000});
    RunToken tokens[20];
    int voided = 0;

    for (int i = 0; i < 20; i++) {
        tokens[i] = mint(table, 0);
        if (i < 14) {
            finish(table, expect(table, &tokens[i], 1, RUN_EXECUTE, RESULT_OK),
                   "own", RUN_YES, 2);
        }
        else {
            expect(table, &tokens[i], 1, RUN_REFUSE, RESULT_FULL);
        }
    }
    for (int i = 14; i < 20; i++) {
        RunTokenState state = RunTable_Void(table, &tokens[i], 3);

        voided += state == RUN_TOKEN_VOID;
        g_assert_true(state == RUN_TOKEN_VOID || state == RUN_TOKEN_FRESH);
    }
    g_assert_cmpint(voided, ==, 2);
    for (int i = 0; i < 14; i++) {
        expect_body(table, &tokens[i], "own", 4);
    }
    g_assert_cmpuint(RunTable_Expire(table, 70000), ==, 16);
    RunTable_Destroy(table);
}

/* Guards against kept answers that exceed the limit, and against a second run
 * of a token whose answer was too large to keep. */
static void
test_kept_bytes(void)
{
    RunTable *table = RunTable_Create(&(RunTable_desc){.owner = 1,
                                                       .incarnation = 1,
                                                       .max_runs = 64,
                                                       .max_answer_bytes = 400,
                                                       .max_kept_bytes = 1000,
                                                       .validity_ms = 1000});
    char *large = g_strnfill(400, 'a');
    RunToken first = mint(table, 0);
    RunToken second = mint(table, 0);
    RunToken third = mint(table, 0);
    PoolHandle run = expect(table, &first, 1, RUN_EXECUTE, RESULT_OK);
    PoolHandle other = expect(table, &second, 1, RUN_EXECUTE, RESULT_OK);
    RunTableStats stats;

    expect(table, &third, 1, RUN_REFUSE, RESULT_FULL);
    finish(table, run, large, RUN_YES, 2);
    expect(table, &first, 3, RUN_REFUSE, RESULT_ANSWER_NOT_KEPT);
    g_assert_cmpint(begin(table, &first, 3).run, ==, RUN_YES);
    finish(table, other, "small", RUN_YES, 2);
    RunTable_GetStats(table, &stats);
    g_assert_cmpuint(stats.kept_bytes, >, 5);
    g_assert_cmpuint(stats.kept_bytes, <, 400);
    expect(table, &third, 4, RUN_EXECUTE, RESULT_OK);
    RunTable_Expire(table, 70000);
    RunTable_GetStats(table, &stats);
    g_assert_cmpuint(stats.kept_bytes, ==, 400);
    g_assert_cmpuint(stats.running, ==, 1);
    g_free(large);
    RunTable_Destroy(table);
}

static RunToken
run_one(RunTable *table, const char *body, ClockMs now)
{
    RunToken token = mint(table, now);

    finish(table, begin(table, &token, now).handle, body, RUN_YES, now);
    return token;
}

static Result
adopt(RunTable *to, GPtrArray *chunks, guint index, ClockMs now)
{
    gsize bytes;
    gconstpointer data = g_bytes_get_data(chunks->pdata[index], &bytes);

    return RunTable_Adopt(to, data, bytes, now);
}

/* Mints and runs ten tokens, whose answers have the bodies n0 to n9. */
static void
run_ten(RunTable *table, RunToken tokens[10])
{
    for (int i = 0; i < 10; i++) {
        char body[8];

        g_snprintf(body, sizeof(body), "n%d", i);
        tokens[i] = run_one(table, body, 1);
    }
}

/* Guards against a successor that reports a token that ran as void, because a
 * chunk is still missing or arrived twice. */
static void
test_chunks(void)
{
    RunTable *from = create_table(1, 1);
    RunTable *to = create_table(2, 1);
    RunToken tokens[10];
    RunToken unused = mint(from, 0);
    GPtrArray *chunks;
    guint last;

    run_ten(from, tokens);
    chunks = RunTable_HandOver(from, 300, 2);
    last = chunks->len - 1;
    g_assert_cmpuint(last, >, 2);
    for (guint i = 0; i <= last; i++) {
        expect(to, &unused, 100, RUN_REFUSE, RESULT_OUTCOME_UNKNOWN);
        if (i < last) {
            g_assert_cmpint(adopt(to, chunks, last, 100), ==,
                            RESULT_NOT_FOUND);
        }
        g_assert_cmpint(adopt(to, chunks, i, 100), ==, RESULT_OK);
        g_assert_cmpint(adopt(to, chunks, i, 100), ==, RESULT_OK);
    }
    g_ptr_array_unref(chunks);
    expect(to, &unused, 100, RUN_REFUSE, RESULT_TOKEN_VOID);
    for (int i = 0; i < 10; i++) {
        char body[8];

        g_snprintf(body, sizeof(body), "n%d", i);
        expect_body(to, &tokens[i], body, 101);
    }
    RunTable_Expire(to, 100 + VALIDITY_MS);
    expect_body(to, &tokens[0], "n0", 101);
    RunTable_Expire(to, 100 + 2 * VALIDITY_MS);
    expect(to, &tokens[0], 101, RUN_REFUSE, RESULT_OUTCOME_UNKNOWN);
    RunTable_Destroy(from);
    RunTable_Destroy(to);
}

/* Guards against a truncated or corrupt chunk that makes the successor read
 * outside the chunk or run a token. */
static void
test_broken_chunk(void)
{
    RunTable *from = create_table(1, 1);
    RunToken tokens[10];
    GPtrArray *chunks;
    gsize bytes;
    guint8 *copy;

    run_ten(from, tokens);
    chunks = RunTable_HandOver(from, 0, 2);
    copy = g_memdup2(g_bytes_get_data(chunks->pdata[0], NULL),
                     g_bytes_get_size(chunks->pdata[0]));
    bytes = g_bytes_get_size(chunks->pdata[0]);
    for (gsize i = 0; i < bytes; i++) {
        RunTable *to = create_table(2, 1);
        RunBegin found;

        g_assert_cmpint(RunTable_Adopt(to, copy, i, 100), ==,
                        RESULT_MALFORMED);
        copy[i] ^= 0x81;
        RunTable_Adopt(to, copy, bytes, 100);
        found = begin(to, &tokens[0], 101);
        g_assert_cmpint(found.action, !=, RUN_EXECUTE);
        RunAnswer_Unref(found.answer);
        copy[i] ^= 0x81;
        RunTable_Destroy(to);
    }
    g_free(copy);
    g_ptr_array_unref(chunks);
    RunTable_Destroy(from);
}

/* Guards against a hand-over that stays incomplete because the previous owner
 * started it again. */
static void
test_hand_over_restarted(void)
{
    RunTable *from = create_table(1, 1);
    RunTable *to = create_table(2, 1);
    RunToken tokens[10];
    RunToken open = mint(from, 0);
    PoolHandle handle;
    GPtrArray *chunks;

    run_ten(from, tokens);
    handle = expect(from, &open, 1, RUN_EXECUTE, RESULT_OK);
    adopt_all(from, to, 0, 2, 100);
    expect(to, &open, 101, RUN_REFUSE, RESULT_OUTCOME_UNKNOWN);
    finish(from, handle, "open", RUN_YES, 3);
    chunks = RunTable_HandOver(from, 300, 4);
    g_assert_cmpint(adopt(to, chunks, 0, 102), ==, RESULT_OK);
    expect(to, &tokens[9], 103, RUN_REFUSE, RESULT_OUTCOME_UNKNOWN);
    for (guint i = 1; i < chunks->len; i++) {
        g_assert_cmpint(adopt(to, chunks, i, 104), ==, RESULT_OK);
    }
    expect_body(to, &open, "open", 105);
    expect_body(to, &tokens[9], "n9", 105);
    g_ptr_array_unref(chunks);
    RunTable_Destroy(from);
    RunTable_Destroy(to);
}

/* Guards against losing the adopted answers when the successor stops as well,
 * and against confusing equal serials of two hosts. */
static void
test_second_hand_over(void)
{
    RunTable *first = create_table(1, 1);
    RunTable *second = create_table(2, 1);
    RunTable *third = create_table(3, 1);
    RunToken of_first = run_one(first, "first", 1);
    RunToken of_second = run_one(second, "second", 1);
    RunToken unused = mint(first, 1);

    adopt_all(first, second, 0, 2, 100);
    adopt_all(second, third, 0, 110, 7000);
    expect_body(third, &of_first, "first", 7001);
    expect_body(third, &of_second, "second", 7001);
    g_assert_cmpint(begin(third, &unused, 7001).result, ==, RESULT_TOKEN_VOID);
    RunTable_Expire(third, 7000 + 2 * VALIDITY_MS);
    g_assert_cmpint(begin(third, &unused, 7001).result, ==,
                    RESULT_OUTCOME_UNKNOWN);
    RunTable_Destroy(first);
    RunTable_Destroy(second);
    RunTable_Destroy(third);
}

/* Guards against keeping a hand-over of which only a part fits. */
static void
test_adopt_full(void)
{
    RunTable *from = create_table(1, 1);
    RunTable *to = RunTable_Create(&(RunTable_desc){
        .owner = 2, .incarnation = 1, .max_runs = 16, .validity_ms = 1000});
    RunToken tokens[20];
    RunTableStats stats;
    GPtrArray *chunks;
    Result result = RESULT_OK;

    for (int i = 0; i < 20; i++) {
        tokens[i] = run_one(from, "a", 1);
    }
    chunks = RunTable_HandOver(from, 300, 2);
    for (guint i = 0; i < chunks->len && result == RESULT_OK; i++) {
        result = adopt(to, chunks, i, 10);
    }
    g_ptr_array_unref(chunks);
    g_assert_cmpint(result, ==, RESULT_FULL);
    g_assert_cmpint(begin(to, &tokens[0], 11).result, ==,
                    RESULT_OUTCOME_UNKNOWN);
    RunTable_GetStats(to, &stats);
    g_assert_cmpuint(stats.adopted, ==, 0);
    g_assert_cmpuint(stats.predecessors, ==, 0);
    g_assert_cmpuint(stats.kept_bytes, ==, 0);
    RunTable_Destroy(from);
    RunTable_Destroy(to);
}

#define THREADS 8
#define THREAD_TOKENS 300

typedef struct Shared {
    RunTable *table;
    RunToken tokens[THREAD_TOKENS];
    gint executions[THREAD_TOKENS];
    gint refused;
} Shared;

static gpointer
present_all(gpointer data)
{
    Shared *shared = data;

    for (int i = 0; i < THREAD_TOKENS; i++) {
        RunBegin run = begin(shared->table, &shared->tokens[i], Clock_Now());
        char body[16];

        g_snprintf(body, sizeof(body), "n%d", i);
        if (run.action == RUN_EXECUTE) {
            g_atomic_int_inc(&shared->executions[i]);
            g_thread_yield();
            finish(shared->table, run.handle, body, RUN_YES, Clock_Now());
            continue;
        }
        if (run.action == RUN_WAIT) {
            run = RunTable_Await(shared->table, &shared->tokens[i], TEAM,
                                 ROUTE, Clock_Now() + 60000);
        }
        if (run.action == RUN_ANSWER) {
            g_assert_cmpmem(RunAnswer_Get(run.answer)->body,
                            RunAnswer_Get(run.answer)->body_bytes, body,
                            strlen(body));
            RunAnswer_Unref(run.answer);
        }
        else {
            g_atomic_int_inc(&shared->refused);
        }
    }
    return NULL;
}

/* Guards against two threads that run the same token, and against a waiter
 * that misses the end of the run. */
static void
test_threads(void)
{
    static Shared shared;
    GThread *threads[THREADS];

    shared.table =
        RunTable_Create(&(RunTable_desc){.owner = 1, .incarnation = 1});
    for (int i = 0; i < THREAD_TOKENS; i++) {
        shared.tokens[i] = mint(shared.table, Clock_Now());
    }
    for (int i = 0; i < THREADS; i++) {
        threads[i] = g_thread_new("presenter", present_all, &shared);
    }
    for (int i = 0; i < THREADS; i++) {
        g_thread_join(threads[i]);
    }
    for (int i = 0; i < THREAD_TOKENS; i++) {
        g_assert_cmpint(shared.executions[i], ==, 1);
    }
    g_assert_cmpint(shared.refused, ==, 0);
    g_assert_true(RunTable_AwaitIdle(shared.table, Clock_Now()));
    RunTable_Destroy(shared.table);
}

/* Guards against a wait beyond its deadline. */
static void
test_await_deadline(void)
{
    RunTable *table = create_table(1, 1);
    RunToken token = mint(table, 0);
    RunToken fresh = mint(table, 0);
    RunBegin run = begin(table, &token, 1);
    RunBegin found;

    found = RunTable_Await(table, &token, TEAM, ROUTE, Clock_Now() + 20);
    g_assert_cmpint(found.action, ==, RUN_WAIT);
    g_assert_cmpint(found.result, ==, RESULT_STILL_RUNNING);
    g_assert_cmpint(found.run, ==, RUN_UNKNOWN);
    g_assert_false(RunTable_AwaitIdle(table, Clock_Now() + 5));
    found = RunTable_Await(table, &fresh, TEAM, ROUTE, Clock_Now() + 20);
    g_assert_cmpint(found.action, ==, RUN_REFUSE);
    g_assert_cmpint(RunTable_Abort(table, run.handle, 2), ==, RESULT_OK);
    found = RunTable_Await(table, &token, TEAM, ROUTE, CLOCK_NEVER);
    g_assert_cmpint(found.result, ==, RESULT_TOKEN_VOID);
    g_assert_true(RunTable_AwaitIdle(table, CLOCK_NEVER));
    RunTable_Destroy(table);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (int i = 0; i < EVENT_COUNT * STEP_COUNT; i++) {
        char *path = g_strdup_printf("/issue/crossed/event-%d/step-%d",
                                     i / STEP_COUNT, i % STEP_COUNT);

        g_test_add_data_func(path, GINT_TO_POINTER(i), test_crossed);
        g_free(path);
    }
    g_test_add_func("/issue/late-end", test_late_end);
    g_test_add_func("/issue/never-minted", test_never_minted);
    g_test_add_func("/issue/full", test_full);
    g_test_add_func("/issue/kept-bytes", test_kept_bytes);
    g_test_add_func("/issue/hand-over/chunks", test_chunks);
    g_test_add_func("/issue/hand-over/broken", test_broken_chunk);
    g_test_add_func("/issue/hand-over/again", test_hand_over_restarted);
    g_test_add_func("/issue/hand-over/second", test_second_hand_over);
    g_test_add_func("/issue/hand-over/full", test_adopt_full);
    g_test_add_func("/issue/threads", test_threads);
    g_test_add_func("/issue/await-deadline", test_await_deadline);
    return g_test_run();
}
