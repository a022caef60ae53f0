#include "tool/load_report.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define NAME_BYTES 64

/* One service in one second. */
typedef struct Row {
    char service[NAME_BYTES];
    int second; /* of the day, UTC */
    guint requests;
    guint calls;
    guint served;
    guint refused; /* not run: 429 and 503 */
    guint failed;
    guint failed_calls;
    guint attempts; /* that reached a backend server */
    guint retries;  /* of these, beyond the first of each request */
    guint far;      /* owners asked in another region */
    gint64 longest_refusal_ms;
    guint most_waiting; /* at one owner */
    gint64 longest_queue_ms;
} Row;

/* All requests of a service with the same result. */
typedef struct Outcome {
    char key[4 * NAME_BYTES]; /* service, kind, result, run state, status */
    GArray *times;            /* gint64, ms */
} Outcome;

struct LoadReport {
    GHashTable *rows;     /* "service second" -> Row */
    GHashTable *outcomes; /* key -> Outcome */
};

static void
free_outcome(gpointer data)
{
    Outcome *outcome = data;

    g_array_unref(outcome->times);
    g_free(outcome);
}

LoadReport *
LoadReport_Create(void)
{
    LoadReport *report = g_new0(LoadReport, 1);

    report->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    report->outcomes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_outcome);
    return report;
}

void
LoadReport_Destroy(LoadReport *report)
{
    if (report != NULL) {
        g_hash_table_destroy(report->rows);
        g_hash_table_destroy(report->outcomes);
        g_free(report);
    }
}

/* Copies the value of " name=value"; FALSE if there is none. */
static gboolean
read_field(const char *text, const char *name, char *value)
{
    char pattern[32];
    const char *start;
    size_t length;

    (void)snprintf(pattern, sizeof(pattern), " %s=", name);
    start = strstr(text, pattern);
    if (start == NULL) {
        return FALSE;
    }
    start += strlen(pattern);
    length = strcspn(start, " \r\n");
    g_strlcpy(value, start, MIN(length + 1, NAME_BYTES));
    return TRUE;
}

static gint64
read_number(const char *text, const char *name)
{
    char value[NAME_BYTES];

    return read_field(text, name, value) ? g_ascii_strtoll(value, NULL, 10)
                                         : 0;
}

/* Finds a time such as 2026-12-04T17:20:15.250Z and returns its second of the
 * day; -1 if there is none. */
static int
read_second(const char *line)
{
    int hours;
    int minutes;
    int seconds;

    for (const char *mark = strchr(line, 'T'); mark != NULL;
         mark = strchr(mark + 1, 'T')) {
        if (mark > line && g_ascii_isdigit(mark[-1]) &&
            sscanf(mark, "T%2d:%2d:%2d", &hours, &minutes, &seconds) == 3) {
            return (hours * 60 + minutes) * 60 + seconds;
        }
    }
    return -1;
}

static Row *
find_row(LoadReport *report, const char *service, int second)
{
    char *key = g_strdup_printf("%s %06d", service, second);
    Row *row = g_hash_table_lookup(report->rows, key);

    if (row != NULL) {
        g_free(key);
        return row;
    }
    row = g_new0(Row, 1);
    g_strlcpy(row->service, service, sizeof(row->service));
    row->second = second;
    g_hash_table_insert(report->rows, key, row);
    return row;
}

static void
add_outcome(LoadReport *report, const char *key, gint64 ms)
{
    Outcome *outcome = g_hash_table_lookup(report->outcomes, key);

    if (outcome == NULL) {
        outcome = g_new0(Outcome, 1);
        g_strlcpy(outcome->key, key, sizeof(outcome->key));
        outcome->times = g_array_new(FALSE, FALSE, sizeof(gint64));
        g_hash_table_insert(report->outcomes, outcome->key, outcome);
    }
    g_array_append_val(outcome->times, ms);
}

static guint
count_text(const char *text, const char *wanted)
{
    guint count = 0;

    while ((text = strstr(text, wanted)) != NULL) {
        count++;
        text += strlen(wanted);
    }
    return count;
}

static gboolean
add_request(LoadReport *report, const char *line, int second)
{
    const char *end = strrchr(line, ']');
    const char *tail = end != NULL ? end : line;
    char service[NAME_BYTES];
    char team[NAME_BYTES];
    char result[NAME_BYTES];
    char run[NAME_BYTES];
    char key[4 * NAME_BYTES];
    gint64 status = read_number(tail, "status");
    gint64 ms = read_number(tail, "ms");
    guint attempts = (guint)read_number(line, "attempts");
    gboolean is_call;
    Row *row;

    if (!read_field(line, "service", service) ||
        !read_field(line, "team", team) ||
        !read_field(tail, "result", result) || !read_field(tail, "run", run)) {
        return FALSE;
    }
    is_call = strcmp(team, "-") == 0;
    row = find_row(report, service, second);
    row->requests += !is_call;
    row->calls += is_call;
    row->attempts += attempts;
    row->retries += attempts > 1 ? attempts - 1 : 0;
    row->far += count_text(line, " tier=3 ");
    if (status < 400) {
        row->served++;
    }
    else if (status == 429 || status == 503) {
        row->refused++;
        row->longest_refusal_ms = MAX(row->longest_refusal_ms, ms);
    }
    else {
        row->failed++;
    }
    row->failed_calls += is_call && status >= 500;
    (void)snprintf(key, sizeof(key), "%s %s %s run=%s %" PRId64, service,
                   is_call ? "call" : "request", result, run, status);
    add_outcome(report, key, ms);
    return TRUE;
}

/* CALL_RUN lines do not name the service, which is that of the owner's host;
 * the queues are therefore summed under the name of the host. */
static gboolean
add_call(LoadReport *report, const char *line, int second)
{
    char host[NAME_BYTES];
    const char *mark = strchr(line, 'Z');
    Row *row;

    if (mark == NULL || sscanf(mark, "Z %63s", host) != 1) {
        return FALSE;
    }
    row = find_row(report, host, second);
    row->attempts += strstr(line, " run=no") == NULL;
    row->most_waiting =
        MAX(row->most_waiting, (guint)read_number(line, "waiting"));
    row->longest_queue_ms =
        MAX(row->longest_queue_ms, read_number(line, "queue_ms"));
    return TRUE;
}

gboolean
LoadReport_AddLine(LoadReport *report, const char *line)
{
    int second = read_second(line);

    if (second < 0) {
        return FALSE;
    }
    if (strstr(line, " REQUEST_ENDED:") != NULL) {
        return add_request(report, line, second);
    }
    return strstr(line, " CALL_RUN:") != NULL &&
           add_call(report, line, second);
}

static int
compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static int
compare_times(gconstpointer a, gconstpointer b)
{
    gint64 left = *(const gint64 *)a;
    gint64 right = *(const gint64 *)b;

    return (left > right) - (left < right);
}

static void
print_row(const Row *row, GString *text)
{
    g_string_append_printf(
        text,
        "%02d:%02d:%02d %-24s %5u %5u %6u %7u %6u %8u %8u %7u %4u %8" PRId64
        " %7u %8" PRId64 "\n",
        row->second / 3600, row->second / 60 % 60, row->second % 60,
        row->service, row->requests, row->calls, row->served, row->refused,
        row->failed, row->failed_calls, row->attempts, row->retries, row->far,
        row->longest_refusal_ms, row->most_waiting, row->longest_queue_ms);
}

void
LoadReport_Print(const LoadReport *report, GString *text)
{
    GList *keys =
        g_list_sort(g_hash_table_get_keys(report->rows), compare_keys);

    g_string_append(text,
                    "time     service or host          reqs calls served "
                    "refused failed f.calls  attempts retries  far held.ms "
                    "waiting queue.ms\n");
    for (GList *key = keys; key != NULL; key = key->next) {
        print_row(g_hash_table_lookup(report->rows, key->data), text);
    }
    g_list_free(keys);
    g_string_append(text, "\ncount  median ms  longest ms  service, kind, "
                          "result, run state, status\n");
    keys = g_list_sort(g_hash_table_get_keys(report->outcomes), compare_keys);
    for (GList *key = keys; key != NULL; key = key->next) {
        const Outcome *outcome =
            g_hash_table_lookup(report->outcomes, key->data);
        GArray *times = outcome->times;

        g_array_sort(times, compare_times);
        g_string_append_printf(
            text, "%5u %10" PRId64 " %11" PRId64 "  %s\n", times->len,
            g_array_index(times, gint64, times->len / 2),
            g_array_index(times, gint64, times->len - 1), outcome->key);
    }
    g_list_free(keys);
}
