/* Tests of base: pool, counters, conditions and results; the pages in docs
 * match the lists. */
#include <glib.h>
#include <string.h>

#include "base/condition.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/pool.h"
#include "base/result.h"
#include "base/rng.h"

/* Guards against a handle to a removed record that returns the record added
 * later in the same slot. */
static void
test_pool_stale_handle(void)
{
    Pool *pool = Pool_Create(sizeof(int), 2);
    void *record;
    PoolHandle first = Pool_Add(pool, &record);
    PoolHandle second;

    g_assert_cmpuint(first, !=, POOL_NONE);
    Pool_Remove(pool, first);
    second = Pool_Add(pool, &record);
    g_assert_null(Pool_Get(pool, first));
    g_assert_true(Pool_Get(pool, second) == record);
    Pool_Remove(pool, first);
    g_assert_cmpuint(Pool_Count(pool), ==, 1);
    g_assert_cmpuint(Pool_Add(pool, &record), !=, POOL_NONE);
    g_assert_cmpuint(Pool_Add(pool, &record), ==, POOL_NONE);
    Pool_Destroy(pool);
}

/* Guards against quantiles that are off by more than one bucket. */
static void
test_histogram(void)
{
    for (int i = 1; i <= 1000; i++) {
        Counter_Observe(HISTOGRAM_ENTRY_TOTAL, i);
    }
    g_assert_cmpint(Counter_Quantile(HISTOGRAM_ENTRY_TOTAL, 0.5), >=, 500);
    g_assert_cmpint(Counter_Quantile(HISTOGRAM_ENTRY_TOTAL, 0.5), <=, 563);
    g_assert_cmpint(Counter_Quantile(HISTOGRAM_ENTRY_TOTAL, 0.99), >=, 990);
    g_assert_cmpint(Counter_Quantile(HISTOGRAM_ENTRY_TOTAL, 0.99), <=, 1114);
}

/* Guards against a wait that returns too early, and against one that treats an
 * end time in the past as a future time. */
static void
test_condition(void)
{
    static const ClockMs waits[] = {-1500, 0, 20, 1020};
    pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t condition;

    Condition_Init(&condition);
    for (size_t i = 0; i < G_N_ELEMENTS(waits); i++) {
        gint64 end = g_get_monotonic_time() + waits[i] * 1000;

        pthread_mutex_lock(&lock);
        while (Condition_Wait(&condition, &lock, waits[i])) {
        }
        pthread_mutex_unlock(&lock);
        g_assert_cmpint(g_get_monotonic_time(), >=, end);
    }
    pthread_cond_destroy(&condition);
}

static void
collect_result(void *context, Result result, const char *name, int http_status,
               const char *text)
{
    g_string_append_printf(context, "| %d | `%s` | %d | %s |\n", (int)result,
                           name, http_status, text);
}

static void
collect_event(void *context, LogEvent event, const char *name,
              const char *level, const char *text)
{
    g_string_append_printf(context, "| %d | `%s` | %s | %s |\n", (int)event,
                           name, level, text);
}

/* Guards against a page in docs that is out of date with its list. If the
 * environment variable RADISHKNOT_WRITE_DOCS is set, rewrites the page. */
static void
check_page(const char *file, const char *head, GString *rows)
{
    char *path = g_build_filename(SOURCE_DIRECTORY, "docs", file, NULL);
    char *expected = g_strconcat(head, rows->str, NULL);
    char *found = NULL;

    if (g_getenv("RADISHKNOT_WRITE_DOCS") != NULL) {
        g_assert_true(g_file_set_contents(path, expected, -1, NULL));
    }
    g_assert_true(g_file_get_contents(path, &found, NULL, NULL));
    g_assert_cmpstr(found, ==, expected);
    g_free(found);
    g_free(expected);
    g_free(path);
}

static void
test_docs(void)
{
    GString *rows = g_string_new(NULL);

    Result_ForEach(collect_result, rows);
    check_page("results.md",
               "# Result codes\n\nGenerated from `src/base/result_list.h` by "
               "`make docs`.\n\n| number | name | HTTP status | meaning |\n"
               "|---|---|---|---|\n",
               rows);
    g_string_truncate(rows, 0);
    Log_ForEach(collect_event, rows);
    check_page("events.md",
               "# Log events\n\nGenerated from `src/base/log_list.h` by "
               "`make docs`.\n\n| number | name | level | meaning |\n"
               "|---|---|---|---|\n",
               rows);
    g_string_free(rows, TRUE);
}

static void
add_event(void *context, LogEvent event, const char *name, const char *level,
          const char *text)
{
    (void)level;
    (void)text;
    g_hash_table_insert(context, g_strdup(name), GINT_TO_POINTER((int)event));
}

/* Guards against an operators' page that refers to an event, a result or a
 * metric that does not exist. */
static void
test_operations_page(void)
{
    GHashTable *events =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char *path =
        g_build_filename(SOURCE_DIRECTORY, "docs", "OPERATIONS.md", NULL);
    char *page = NULL;
    GRegex *numbered = g_regex_new("E([0-9]+) ([A-Z_]+):", 0, 0, NULL);
    GRegex *metric = g_regex_new("reason=\"([A-Z_]+)\"", 0, 0, NULL);
    GMatchInfo *match;
    GString *metrics = g_string_new(NULL);

    Log_ForEach(add_event, events);
    Counter_Write(metrics);
    g_assert_true(g_file_get_contents(path, &page, NULL, NULL));
    g_regex_match(numbered, page, 0, &match);
    g_assert_true(g_match_info_matches(match));
    for (; g_match_info_matches(match); g_match_info_next(match, NULL)) {
        char *number = g_match_info_fetch(match, 1);
        char *name = g_match_info_fetch(match, 2);

        g_assert_cmpint(GPOINTER_TO_INT(g_hash_table_lookup(events, name)), ==,
                        g_ascii_strtoll(number, NULL, 10));
        g_free(number);
        g_free(name);
    }
    g_match_info_free(match);
    g_regex_match(metric, page, 0, &match);
    for (; g_match_info_matches(match); g_match_info_next(match, NULL)) {
        char *text = g_match_info_fetch(match, 0);

        g_assert_nonnull(strstr(metrics->str, text));
        g_free(text);
    }
    g_match_info_free(match);
    g_regex_unref(numbered);
    g_regex_unref(metric);
    g_string_free(metrics, TRUE);
    g_free(page);
    g_free(path);
    g_hash_table_destroy(events);
}

/* Guards against look-ups of results that give a wrong name, exit code or run
 * state, or that find a number which is not in the list. */
static void
test_result_numbers(void)
{
    Result result;

    g_assert_true(Result_FromNumber(170, &result));
    g_assert_cmpstr(Result_Name(result), ==, "KEY_MISSING");
    g_assert_false(Result_FromNumber(99, &result));
    g_assert_cmpint(Result_ExitCode(RESULT_OK), ==, 0);
    g_assert_cmpint(Result_ExitCode(RESULT_INTERNAL), ==, 1);
    g_assert_cmpint(Result_RunFromName("no"), ==, RUN_NO);
    g_assert_cmpint(Result_RunFromName("nonsense"), ==, RUN_UNKNOWN);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/base/pool/stale-handle", test_pool_stale_handle);
    g_test_add_func("/base/counter/histogram", test_histogram);
    g_test_add_func("/base/condition", test_condition);
    g_test_add_func("/base/result/numbers", test_result_numbers);
    g_test_add_func("/base/docs", test_docs);
    g_test_add_func("/base/operations-page", test_operations_page);
    return g_test_run();
}
