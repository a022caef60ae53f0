/* bench_issue: cost of run tokens, of the run table and of the key search.
 *
 * Usage: bench_issue [ANSWER_BYTES]
 * Prints the time of each step in nanoseconds (median of 5 rounds), the memory
 * of kept answers, the fill level of a table at 30 issuances/s (300
 * requests/s, 10% issuances), 85/s and 100/s over 20 simulated minutes, and
 * the time of a hand-over.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "issue/run_table.h"
#include "key/key.h"

#define ROUNDS 5
#define COUNT 20000
#define TEAM 1
#define ROUTE 2
#define LARGE_LIMIT_BYTES ((size_t)1 << 30)

static const char secret[] = "0123456789abcdef0123456789abcdef";
static RunToken tokens[COUNT];
static PoolHandle handles[COUNT];
static char texts[COUNT][RUN_TOKEN_TEXT_BYTES];
static size_t answer_bytes = 1024;

/* max_kept_bytes 0 means the default limit. */
static RunTable *
create_table(uint64_t owner, size_t max_kept_bytes)
{
    return RunTable_Create(&(RunTable_desc){
        .owner = owner, .incarnation = 1, .max_kept_bytes = max_kept_bytes});
}

static RunAnswer *
create_answer(void)
{
    static const RunHeader headers[] = {
        {"Content-Type", "application/json"},
        {"X-Checksum",
         "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
        {"Radishknot-Request-Id", "0123456789abcdef-0000000000000001"}};
    char *body = g_strnfill(answer_bytes, 'a');
    RunAnswer *answer = RunAnswer_Create(
        &(RunAnswer_desc){.status = 200,
                          .run = RUN_YES,
                          .headers = headers,
                          .header_count = G_N_ELEMENTS(headers),
                          .body = body,
                          .body_bytes = answer_bytes});

    g_free(body);
    return answer;
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return left < right ? -1 : left > right;
}

static void
print_median(const char *name, double rounds[ROUNDS])
{
    qsort(rounds, ROUNDS, sizeof(rounds[0]), compare_doubles);
    printf("%-34s %8.0f ns  (%.0f to %.0f)\n", name, rounds[ROUNDS / 2],
           rounds[0], rounds[ROUNDS - 1]);
}

static double
nanoseconds_each(int64_t start_us)
{
    return (double)(g_get_monotonic_time() - start_us) * 1000.0 / COUNT;
}

typedef enum Step {
    MINT,
    FORMAT,
    VERIFY,
    BEGIN,
    ANSWER,
    FINISH,
    DUPLICATE,
    VOID,
    EXPIRE_NONE,
    STEP_COUNT
} Step;

static const char *const step_names[STEP_COUNT] = {
    "mint (without text)",
    "format with MAC",
    "verify MAC",
    "begin",
    "copy the answer (RunAnswer_Create)",
    "finish",
    "repeat (same answer)",
    "void of a done token",
    "expire, for each kept record"};

static void
do_step(RunTable *table, Step step, int i, RunAnswer **answers)
{
    RunToken token;
    RunBegin found;

    switch (step) {
    case MINT:
        RunTable_Mint(table, TEAM, ROUTE, 1, 1, &tokens[i]);
        break;
    case FORMAT:
        RunToken_Format(&tokens[i], secret, sizeof(secret) - 1, texts[i]);
        break;
    case VERIFY:
        if (RunToken_Verify(texts[i], secret, sizeof(secret) - 1, &token) !=
            RESULT_OK) {
            abort();
        }
        break;
    case BEGIN:
        handles[i] = RunTable_Begin(table, &tokens[i], TEAM, ROUTE, 2).handle;
        /* Abort the run at once, because each open run reserves 64 KiB. */
        RunTable_Abort(table, handles[i], 2);
        break;
    case ANSWER:
        answers[i] = create_answer();
        break;
    case FINISH:
        RunTable_Finish(table, handles[i], answers[i], 3);
        RunAnswer_Unref(answers[i]);
        break;
    case DUPLICATE:
        found = RunTable_Begin(table, &tokens[i], TEAM, ROUTE, 4);
        if (found.action != RUN_ANSWER) {
            abort();
        }
        RunAnswer_Unref(found.answer);
        break;
    case VOID:
        RunTable_Void(table, &tokens[i], 5);
        break;
    default:
        if (i == 0) {
            RunTable_Expire(table, 6);
        }
        break;
    }
}

static double
time_step(RunTable *table, Step step, RunAnswer **answers)
{
    int64_t start_us = g_get_monotonic_time();

    for (int i = 0; i < COUNT; i++) {
        do_step(table, step, i, answers);
    }
    return nanoseconds_each(start_us);
}

/* Finishes each run before the next begins, as under a load with few open
 * runs. */
static double
time_runs(RunTable *table, RunAnswer *answer)
{
    int64_t start_us = g_get_monotonic_time();

    for (int i = 0; i < COUNT; i++) {
        RunBegin run = RunTable_Begin(table, &tokens[i], TEAM, ROUTE, 2);

        if (run.action != RUN_EXECUTE) {
            abort();
        }
        RunTable_Finish(table, run.handle, answer, 3);
    }
    return nanoseconds_each(start_us);
}

static void
measure_steps(void)
{
    static double rounds[STEP_COUNT + 1][ROUNDS];
    RunAnswer **answers = g_new0(RunAnswer *, COUNT);

    for (int round = 0; round < ROUNDS; round++) {
        RunTable *table = create_table(1, LARGE_LIMIT_BYTES);
        RunTable *aborted = create_table(1, LARGE_LIMIT_BYTES);
        RunAnswer *answer = create_answer();

        for (Step step = MINT; step <= VERIFY; step++) {
            rounds[step][round] = time_step(table, step, answers);
        }
        time_step(aborted, MINT, answers);
        rounds[BEGIN][round] = time_step(aborted, BEGIN, answers);
        rounds[ANSWER][round] = time_step(table, ANSWER, answers);
        rounds[FINISH][round] = time_runs(table, answer);
        for (Step step = DUPLICATE; step <= EXPIRE_NONE; step++) {
            rounds[step][round] = time_step(table, step, answers);
        }
        for (int i = 0; i < COUNT; i++) {
            RunAnswer_Unref(answers[i]);
        }
        RunAnswer_Unref(answer);
        RunTable_Destroy(table);
        RunTable_Destroy(aborted);
    }
    for (Step step = MINT; step < STEP_COUNT; step++) {
        print_median(step == BEGIN    ? "begin and abort"
                     : step == FINISH ? "begin and finish"
                                      : step_names[step],
                     rounds[step]);
    }
    g_free(answers);
}

static size_t
used_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static void
measure_memory(void)
{
    size_t before = used_bytes();
    RunTable *table = create_table(1, LARGE_LIMIT_BYTES);
    size_t empty = used_bytes() - before;
    RunTableStats stats;
    size_t full;

    for (int i = 0; i < COUNT; i++) {
        RunAnswer *answer = create_answer();
        RunBegin run;

        RunTable_Mint(table, TEAM, ROUTE, 1, 1, &tokens[i]);
        run = RunTable_Begin(table, &tokens[i], TEAM, ROUTE, 2);
        RunTable_Finish(table, run.handle, answer, 3);
        RunAnswer_Unref(answer);
    }
    full = used_bytes() - before;
    RunTable_GetStats(table, &stats);
    printf("empty table of %u records: %zu bytes\n", stats.capacity, empty);
    printf("%u kept answers with a body of %zu bytes: %.0f bytes each "
           "(counted as %.0f)\n",
           stats.done, answer_bytes, (double)(full - empty) / stats.done,
           (double)stats.kept_bytes / stats.done);
    RunTable_Destroy(table);
}

/* Fills a table at a constant rate and expires records every second. */
static void
measure_size(double per_second)
{
    RunTable *table = create_table(1, 0);
    RunAnswer *answer = create_answer();
    RunTableStats stats;
    uint32_t peak_records = 0;
    uint64_t peak_kept_bytes = 0;
    uint64_t refused = 0;
    double due_ms = 0;

    for (ClockMs now = 0; now < 1200000; now++) {
        while (due_ms <= (double)now) {
            RunToken token;
            RunBegin run;

            RunTable_Mint(table, TEAM, ROUTE, 1, now, &token);
            run = RunTable_Begin(table, &token, TEAM, ROUTE, now);
            if (run.action == RUN_EXECUTE) {
                RunTable_Finish(table, run.handle, answer, now);
            }
            else {
                refused++;
            }
            due_ms += 1000.0 / per_second;
        }
        if (now % 1000 == 0) {
            RunTable_GetStats(table, &stats);
            peak_records = MAX(peak_records, stats.done);
            peak_kept_bytes = MAX(peak_kept_bytes, stats.kept_bytes);
            RunTable_Expire(table, now);
        }
    }
    printf("%.0f issuances/s for 20 min: at most %u records, %.1f MiB of "
           "answers, %" G_GUINT64_FORMAT " refused\n",
           per_second, peak_records, (double)peak_kept_bytes / (1 << 20),
           refused);
    RunAnswer_Unref(answer);
    RunTable_Destroy(table);
}

static void
measure_hand_over(void)
{
    RunTable *from = create_table(1, LARGE_LIMIT_BYTES);
    RunTable *to = create_table(2, LARGE_LIMIT_BYTES);
    RunAnswer *answer = create_answer();
    GPtrArray *chunks;
    size_t bytes = 0;
    int64_t start_us;
    int64_t middle_us;
    int64_t end_us;

    /* The successor already holds as many records of its own. */
    for (int i = 0; i < 18000; i++) {
        RunTable_Mint(to, TEAM, ROUTE, 1, 1, &tokens[i]);
        RunTable_Finish(to,
                        RunTable_Begin(to, &tokens[i], TEAM, ROUTE, 2).handle,
                        answer, 3);
    }
    for (int i = 0; i < 18000; i++) {
        RunTable_Mint(from, TEAM, ROUTE, 1, 1, &tokens[i]);
        RunTable_Finish(
            from, RunTable_Begin(from, &tokens[i], TEAM, ROUTE, 2).handle,
            answer, 3);
    }
    start_us = g_get_monotonic_time();
    chunks = RunTable_HandOver(from, 0, 4);
    middle_us = g_get_monotonic_time();
    for (guint i = 0; i < chunks->len; i++) {
        gsize size;
        gconstpointer data = g_bytes_get_data(chunks->pdata[i], &size);

        bytes += size;
        if (RunTable_Adopt(to, data, size, 4) != RESULT_OK) {
            abort();
        }
    }
    end_us = g_get_monotonic_time();
    printf("hand-over of 18000 answers: %u chunks, %.1f MiB, %.1f ms to "
           "write, %.1f ms to adopt\n",
           chunks->len, (double)bytes / (1 << 20),
           (double)(middle_us - start_us) / 1000.0,
           (double)(end_us - middle_us) / 1000.0);
    g_ptr_array_unref(chunks);
    RunAnswer_Unref(answer);
    RunTable_Destroy(from);
    RunTable_Destroy(to);
}

/* Measures the search for a misplaced key in a request. A body with percent
 * signs is searched twice: raw and decoded. */
static void
measure_key(void)
{
    static const char key[] = "norte-4f9a+zQ0123456789abcdef==";
    char *plain = g_strnfill(16384, 'n');
    char *encoded = g_strnfill(16384, 'n');
    KeyHeader headers[] = {{"Radishknot-Key", key},
                           {"Accept", "*/*"},
                           {"Cookie", "session=0123456789abcdef"},
                           {"User-Agent", "radishknot-bench/1"}};
    KeyRequest request = {.headers = headers,
                          .header_count = G_N_ELEMENTS(headers),
                          .path = "/permits/2026/000123",
                          .query = "a=1&b=2"};
    static double rounds[3][ROUNDS];

    encoded[100] = '%';
    encoded[101] = '4';
    encoded[102] = '1';
    for (int round = 0; round < ROUNDS; round++) {
        for (int kind = 0; kind < 3; kind++) {
            int64_t start_us = g_get_monotonic_time();

            request.body = kind == 2 ? encoded : plain;
            request.body_bytes = kind == 0 ? 0 : 16384;
            for (int i = 0; i < COUNT; i++) {
                if (Key_IsMisplaced(key, &request)) {
                    abort();
                }
            }
            rounds[kind][round] = nanoseconds_each(start_us);
        }
    }
    print_median("key search, no body", rounds[0]);
    print_median("key search, 16 KiB body", rounds[1]);
    print_median("key search, 16 KiB, percent signs", rounds[2]);
    g_free(plain);
    g_free(encoded);
}

int
main(int argc, char **argv)
{
    if (argc > 1) {
        answer_bytes = strtoul(argv[1], NULL, 10);
    }
    measure_steps();
    measure_memory();
    measure_size(30);
    measure_size(85);
    measure_size(100);
    measure_hand_over();
    measure_key();
    return 0;
}
