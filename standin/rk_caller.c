/* rk-caller: stand-in for callers and load generator.
 *
 * Usage: rk-caller --entry 127.0.0.1:8000 --key KEY --path /permits/1
 *            --rate 100 --count 1000 --issuances 10 --tokens
 * It sends look-ups (GET) and issuances (POST) and prints a JSON summary.
 *
 * With a rate (open loop), request i is due at start + i / rate whatever
 * happened to earlier ones, and its latency is measured from that time, so a
 * stall shows in all requests that were due during it. With rate 0 (closed
 * loop) each connection sends a request when the previous one has ended.
 *
 * Each issuance has a unique X-Nonce that retries keep. With --tokens it also
 * has a run token that was fetched in advance, and after a broken connection
 * or an unknown outcome it is retried at the next entry with this token.
 * Without a token it is retried only if no connection could be opened. With
 * --check (admin addresses of all rk-backend), the outcomes are compared with
 * the executions at the end.
 */
#include <argp.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/result.h"
#include "base/rng.h"
#include "rk_http.h"

#define MAX_ENTRIES 64
#define MAX_COUNT 5000000
#define MAX_DURATION_S 600
#define MAX_CONNECTIONS 512
#define TOKENS_PER_FETCH 20

/* Outcome of an issuance or a look-up as the caller sees it. */
typedef enum Verdict {
    VERDICT_NONE,
    VERDICT_OK,      /* status 2xx that passed the checks */
    VERDICT_REFUSED, /* other status, reported as "not run" */
    VERDICT_FAILED,  /* other status, reported as "run" */
    VERDICT_UNKNOWN, /* other status, without "run" or "not run" */
    VERDICT_LOST,    /* no answer */
    VERDICT_WRONG,   /* status 2xx that failed a check */
    VERDICT_COUNT
} Verdict;

static volatile sig_atomic_t is_stopped;

static const char *const verdict_names[VERDICT_COUNT] = {
    "none", "ok", "refused", "failed", "unknown", "lost", "wrong"};

typedef struct Record {
    int64_t due_us; /* planned send time, since the start */
    int64_t latency_us;
    int result;
    int status;
    int attempts;
    gboolean may_run; /* an earlier attempt may have run or still run */
    RunState run;
    Verdict verdict;
    gboolean is_issuance;
} Record;

typedef struct Caller {
    char *entries[MAX_ENTRIES];
    size_t entry_count;
    char *checks[MAX_ENTRIES];
    size_t check_count;
    const char *key;
    gboolean use_bearer;
    const char *path;
    const char *issue_path;
    const char *extra_headers;
    const char *csv;
    double rate;
    double issuances_percent;
    int64_t count;
    int64_t duration_us;
    int64_t timeout_us;
    int connections;
    int max_retries;
    int deadline_ms; /* sent as Radishknot-Deadline-Ms; 0 = not sent */
    size_t body_bytes;
    gboolean use_tokens;
    gboolean stay; /* change the entry only after a failure */
    uint64_t seed;

    char *body;
    int64_t start_us;
    Record *records;
    atomic_int_least64_t next; /* index of the next request */
    atomic_int_least64_t retries;
    atomic_int_least64_t late;      /* requests sent over 5 ms late */
    atomic_int_least64_t unchecked; /* answers without checksum or nonce */
    atomic_int_least64_t token_failures;
} Caller;

typedef struct Worker {
    Caller *caller;
    pthread_t thread;
    HttpConnection connections[MAX_ENTRIES];
    size_t entry; /* index of the current entry */
    GQueue tokens;
} Worker;

static const struct argp_option options[] = {
    {"entry", 'e', "IP:PORT", 0, "Entry address; may be repeated", 0},
    {"check", 'C', "IP:PORT", 0, "Admin address of an rk-backend", 0},
    {"key", 'k', "KEY", 0, "Key", 0},
    {"bearer", 'B', NULL, 0, "Send the key as Authorization: Bearer", 0},
    {"path", 'p', "PATH", 0, "Path of look-ups", 0},
    {"issue-path", 'P', "PATH", 0, "Path of issuances", 0},
    {"header", 'H', "LINE", 0, "One more header line", 0},
    {"rate", 'r', "R", 0, "Requests/s (0 = closed loop)", 0},
    {"count", 'n', "N", 0, "Number of requests", 0},
    {"duration", 'd', "S", 0, "Maximum duration in seconds", 0},
    {"timeout-ms", 't', "MS", 0, "Timeout of one answer", 0},
    {"connections", 'c', "N", 0, "Connections", 0},
    {"repeats", 'R', "N", 0, "Maximum retries of a request", 0},
    {"deadline-ms", 'D', "MS", 0, "Radishknot-Deadline-Ms", 0},
    {"body-bytes", 'b', "N", 0, "Size of the body of issuances", 0},
    {"issuances", 'i', "PERCENT", 0, "Share of issuances", 0},
    {"tokens", 'T', NULL, 0, "Fetch run tokens in advance", 0},
    {"stay", 's', NULL, 0, "Change the entry only after a failure", 0},
    {"csv", 'o', "FILE", 0, "Write a CSV line for each request", 0},
    {"seed", 'S', "N", 0, "Seed of the mix and of the nonces", 0},
    {0}};

static error_t
parse_number_option(int key, const char *argument, Caller *caller)
{
    double value = argument != NULL ? strtod(argument, NULL) : 0;

    switch (key) {
    case 'r':
        caller->rate = value;
        break;
    case 'n':
        caller->count = CLAMP((int64_t)value, 0, MAX_COUNT);
        break;
    case 'd':
        caller->duration_us = (int64_t)(CLAMP(value, 0, MAX_DURATION_S) * 1e6);
        break;
    case 't':
        caller->timeout_us = (int64_t)(CLAMP(value, 1, 600000) * 1000);
        break;
    case 'c':
        caller->connections = CLAMP((int)value, 1, MAX_CONNECTIONS);
        break;
    case 'R':
        caller->max_retries = CLAMP((int)value, 0, 100);
        break;
    case 'D':
        caller->deadline_ms = (int)value;
        break;
    case 'b':
        caller->body_bytes = (size_t)CLAMP(value, 0, 16 << 20);
        break;
    case 'i':
        caller->issuances_percent = value;
        break;
    case 'S':
        caller->seed = (uint64_t)value;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    Caller *caller = state->input;

    switch (key) {
    case 'e':
        if (caller->entry_count < MAX_ENTRIES) {
            caller->entries[caller->entry_count++] = argument;
        }
        break;
    case 'C':
        if (caller->check_count < MAX_ENTRIES) {
            caller->checks[caller->check_count++] = argument;
        }
        break;
    case 'k':
        caller->key = argument;
        break;
    case 'B':
        caller->use_bearer = TRUE;
        break;
    case 'p':
        caller->path = argument;
        break;
    case 'P':
        caller->issue_path = argument;
        break;
    case 'H':
        caller->extra_headers = argument;
        break;
    case 'T':
        caller->use_tokens = TRUE;
        break;
    case 's':
        caller->stay = TRUE;
        break;
    case 'o':
        caller->csv = argument;
        break;
    case ARGP_KEY_END:
        if (caller->entry_count == 0) {
            argp_error(state, "--entry is missing");
        }
        break;
    default:
        return parse_number_option(key, argument, caller);
    }
    return 0;
}

static void
sleep_until(int64_t due_us)
{
    for (;;) {
        int64_t left_us = due_us - g_get_monotonic_time();

        if (left_us <= 0 || is_stopped) {
            return;
        }
        g_usleep((gulong)MIN(left_us, 100000));
    }
}

static void
add_key(const Caller *caller, GString *headers)
{
    if (caller->key != NULL) {
        g_string_append_printf(headers, "%s%s\r\n",
                               caller->use_bearer ? "Authorization: Bearer "
                                                  : "Radishknot-Key: ",
                               caller->key);
    }
    if (caller->extra_headers != NULL) {
        g_string_append_printf(headers, "%s\r\n", caller->extra_headers);
    }
}

/* Returns a run token, which the caller frees, or NULL if none is available.
 * Fetches tokens from the worker's entry when the worker has none left. */
static char *
take_token(Worker *worker)
{
    Caller *caller = worker->caller;
    GString *headers;
    HttpReply reply;
    char *path;
    char *escaped;
    json_t *root = NULL;

    if (!g_queue_is_empty(&worker->tokens)) {
        return g_queue_pop_head(&worker->tokens);
    }
    headers = g_string_new(NULL);
    add_key(caller, headers);
    escaped = g_uri_escape_string(caller->issue_path, NULL, FALSE);
    path = g_strdup_printf("/radishknot/v1/run-tokens?path=%s&count=%d",
                           escaped, TOKENS_PER_FETCH);
    if (Http_Send(&worker->connections[worker->entry], "POST", path,
                  headers->str, "", 0,
                  g_get_monotonic_time() + caller->timeout_us,
                  &reply) == HTTP_ANSWERED &&
        reply.status == 200) {
        size_t index;
        json_t *token;

        root = json_loadb((char *)reply.body->data, reply.body->len, 0, NULL);
        json_array_foreach(json_object_get(root, "tokens"), index, token)
        {
            if (json_is_string(token)) {
                g_queue_push_tail(&worker->tokens,
                                  g_strdup(json_string_value(token)));
            }
        }
    }
    json_decref(root);
    Http_FreeReply(&reply);
    g_string_free(headers, TRUE);
    g_free(escaped);
    g_free(path);
    if (g_queue_is_empty(&worker->tokens)) {
        atomic_fetch_add(&caller->token_failures, 1);
    }
    return g_queue_pop_head(&worker->tokens);
}

static void
format_nonce(const Caller *caller, int64_t index, char nonce[40])
{
    g_snprintf(nonce, 40, "n%016" G_GINT64_MODIFIER "x-%" G_GINT64_FORMAT,
               Rng_Mix(caller->seed, 0x6e6f6e6365), index);
}

/* Returns whether a 2xx answer is complete and belongs to this request. */
static gboolean
is_full_answer(Caller *caller, const HttpReply *reply, const char *nonce)
{
    const char *echo = Http_Header(reply, "x-nonce");
    const char *checksum = Http_Header(reply, "x-checksum");
    const char *id = Http_Header(reply, "radishknot-request-id");
    gboolean is_valid = reply->has_length && id != NULL;

    if (echo == NULL || checksum == NULL) {
        atomic_fetch_add(&caller->unchecked, 1);
    }
    if (echo != NULL && strcmp(echo, nonce) != 0) {
        is_valid = FALSE;
    }
    if (checksum != NULL) {
        char *computed = g_compute_checksum_for_data(
            G_CHECKSUM_SHA256, reply->body->data, reply->body->len);

        is_valid = is_valid && strcmp(checksum, computed) == 0;
        g_free(computed);
    }
    /* rk-backend also includes the nonce in the body. */
    return is_valid && reply->body->len > 0 &&
           memmem(reply->body->data, reply->body->len, nonce, strlen(nonce)) !=
               NULL;
}

static void
classify_answer(Caller *caller, const HttpReply *reply, const char *nonce,
                Record *record)
{
    const char *result = Http_Header(reply, "radishknot-result");
    const char *run = Http_Header(reply, "radishknot-run");

    record->status = reply->status;
    record->result = result != NULL ? (int)strtol(result, NULL, 10) : -1;
    record->run = Result_RunFromName(run != NULL ? run : "");
    if (reply->status >= 200 && reply->status < 300) {
        record->verdict =
            is_full_answer(caller, reply, nonce) ? VERDICT_OK : VERDICT_WRONG;
    }
    else if (record->run == RUN_NO) {
        record->verdict = VERDICT_REFUSED;
    }
    else {
        record->verdict =
            record->run == RUN_YES ? VERDICT_FAILED : VERDICT_UNKNOWN;
    }
}

/* Corrects the verdict for earlier attempts. A refusal applies only to its own
 * attempt: after an attempt with unknown outcome, no refusal but TOKEN_VOID
 * proves that the issuance was not and will not be run. */
static void
apply_earlier_attempts(Record *record, HttpOutcome outcome)
{
    gboolean is_proof = record->verdict == VERDICT_OK ||
                        record->verdict == VERDICT_FAILED ||
                        (record->verdict == VERDICT_REFUSED &&
                         record->result == RESULT_TOKEN_VOID);

    if (record->may_run && !is_proof && record->verdict != VERDICT_WRONG) {
        record->run = RUN_UNKNOWN;
        if (record->verdict == VERDICT_REFUSED) {
            record->verdict = VERDICT_UNKNOWN;
        }
    }
    record->may_run =
        record->may_run || record->verdict == VERDICT_UNKNOWN ||
        (record->verdict == VERDICT_LOST && outcome != HTTP_NOT_SENT);
}

static HttpOutcome
send_once(Worker *worker, const char *token, const char *nonce, Record *record)
{
    Caller *caller = worker->caller;
    GString *headers = g_string_new(NULL);
    HttpReply reply;
    HttpOutcome outcome;

    add_key(caller, headers);
    g_string_append_printf(headers, "X-Nonce: %s\r\n", nonce);
    if (token != NULL) {
        g_string_append_printf(headers, "Radishknot-Run-Token: %s\r\n", token);
    }
    if (caller->deadline_ms > 0) {
        g_string_append_printf(headers, "Radishknot-Deadline-Ms: %d\r\n",
                               caller->deadline_ms);
    }
    record->attempts++;
    outcome = Http_Send(
        &worker->connections[worker->entry],
        record->is_issuance ? "POST" : "GET",
        record->is_issuance ? caller->issue_path : caller->path, headers->str,
        caller->body, record->is_issuance ? caller->body_bytes : 0,
        g_get_monotonic_time() + caller->timeout_us, &reply);
    if (outcome == HTTP_ANSWERED) {
        classify_answer(caller, &reply, nonce, record);
    }
    else {
        record->verdict = VERDICT_LOST;
        record->run = outcome == HTTP_NOT_SENT ? RUN_NO : RUN_UNKNOWN;
    }
    apply_earlier_attempts(record, outcome);
    Http_FreeReply(&reply);
    g_string_free(headers, TRUE);
    return outcome;
}

static void
next_entry(Worker *worker)
{
    worker->entry = (worker->entry + 1) % worker->caller->entry_count;
}

/* An issuance may be retried only with its token, or if the connection could
 * not be opened. */
static gboolean
may_retry(const Record *record, const char *token, HttpOutcome outcome)
{
    if (outcome == HTTP_NOT_SENT) {
        return TRUE;
    }
    if (record->is_issuance && token == NULL) {
        return FALSE;
    }
    return record->verdict == VERDICT_LOST ||
           (record->is_issuance && record->verdict == VERDICT_UNKNOWN);
}

/* A void token is never run, and an issuance refused by a daemon that is
 * shutting down was not run if no earlier attempt may have run it. Both can be
 * retried with a new token. */
static gboolean
needs_new_token(const Record *record)
{
    return record->is_issuance && record->verdict == VERDICT_REFUSED &&
           (record->result == RESULT_TOKEN_VOID ||
            (record->result == RESULT_SHUTTING_DOWN && !record->may_run));
}

static void
send_request(Worker *worker, int64_t index)
{
    Caller *caller = worker->caller;
    Record *record = &caller->records[index];
    HttpOutcome outcome;
    char nonce[40];
    char *token = NULL;

    format_nonce(caller, index, nonce);
    if (record->is_issuance && caller->use_tokens) {
        token = take_token(worker);
    }
    outcome = send_once(worker, token, nonce, record);
    for (int i = 0; i < caller->max_retries && !is_stopped; i++) {
        if (token != NULL && needs_new_token(record)) {
            /* The other fetched tokens belong to the same owner. */
            g_queue_clear_full(&worker->tokens, g_free);
            g_free(token);
            token = take_token(worker);
            record->may_run = FALSE;
        }
        else if (!may_retry(record, token, outcome)) {
            break;
        }
        atomic_fetch_add(&caller->retries, 1);
        next_entry(worker);
        if (record->verdict == VERDICT_UNKNOWN) {
            g_usleep(20000);
        }
        outcome = send_once(worker, token, nonce, record);
    }
    g_free(token);
    if (!caller->stay || record->verdict == VERDICT_LOST) {
        next_entry(worker);
    }
    record->latency_us =
        g_get_monotonic_time() - caller->start_us - record->due_us;
}

static void *
run_worker(void *context)
{
    Worker *worker = context;
    Caller *caller = worker->caller;

    for (;;) {
        int64_t index = atomic_fetch_add(&caller->next, 1);
        int64_t now_us;
        Record *record;

        if (index >= caller->count || is_stopped) {
            return NULL;
        }
        record = &caller->records[index];
        if (caller->rate > 0) {
            record->due_us = (int64_t)((double)index * 1e6 / caller->rate);
        }
        else {
            record->due_us = g_get_monotonic_time() - caller->start_us;
        }
        if (record->due_us > caller->duration_us) {
            return NULL;
        }
        sleep_until(caller->start_us + record->due_us);
        now_us = g_get_monotonic_time() - caller->start_us;
        /* After the maximum duration the remaining requests are skipped, so
         * that the run ends in bounded time even if every answer is slow. */
        if (now_us > caller->duration_us + caller->timeout_us || is_stopped) {
            return NULL;
        }
        if (now_us - record->due_us > 5000) {
            atomic_fetch_add(&caller->late, 1);
        }
        send_request(worker, index);
    }
}

static void
run_workers(Caller *caller)
{
    Worker *workers = g_new0(Worker, caller->connections);

    caller->start_us = g_get_monotonic_time();
    for (int i = 0; i < caller->connections; i++) {
        workers[i].caller = caller;
        workers[i].entry = (size_t)i % MAX(caller->entry_count, 1);
        g_queue_init(&workers[i].tokens);
        for (size_t e = 0; e < caller->entry_count; e++) {
            Http_Open(&workers[i].connections[e], caller->entries[e]);
        }
        pthread_create(&workers[i].thread, NULL, run_worker, &workers[i]);
    }
    for (int i = 0; i < caller->connections; i++) {
        pthread_join(workers[i].thread, NULL);
        for (size_t e = 0; e < caller->entry_count; e++) {
            Http_Close(&workers[i].connections[e]);
        }
        g_queue_clear_full(&workers[i].tokens, g_free);
    }
    g_free(workers);
}

/* Sums the executions of each nonce. Returns FALSE if a read failed. */
static gboolean
fetch_executions(const Caller *caller, GHashTable *executions)
{
    gboolean is_complete = TRUE;

    for (size_t i = 0; i < caller->check_count; i++) {
        HttpConnection connection;
        HttpReply reply;
        json_t *root = NULL;
        const char *nonce;
        json_t *count;

        Http_Open(&connection, caller->checks[i]);
        if (Http_Send(&connection, "GET", "/v1/executions", "", "", 0,
                      g_get_monotonic_time() + 10000000,
                      &reply) == HTTP_ANSWERED) {
            root =
                json_loadb((char *)reply.body->data, reply.body->len, 0, NULL);
        }
        is_complete = is_complete && root != NULL;
        json_object_foreach(json_object_get(root, "nonces"), nonce, count)
        {
            gsize sum =
                GPOINTER_TO_SIZE(g_hash_table_lookup(executions, nonce)) +
                (gsize)json_integer_value(count);

            g_hash_table_insert(executions, g_strdup(nonce),
                                GSIZE_TO_POINTER(sum));
        }
        json_decref(root);
        Http_FreeReply(&reply);
        Http_Close(&connection);
    }
    return is_complete;
}

/* Compares the verdicts with the executions on the backend servers. */
static json_t *
check_executions(const Caller *caller)
{
    GHashTable *executions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    gboolean is_complete = fetch_executions(caller, executions);
    int duplicated = 0;
    int missing = 0;
    int false_not_run = 0;
    int unknown_run = 0;
    json_t *root;

    for (int64_t i = 0; i < caller->count; i++) {
        const Record *record = &caller->records[i];
        char nonce[40];
        gsize count;

        if (!record->is_issuance || record->verdict == VERDICT_NONE) {
            continue;
        }
        format_nonce(caller, i, nonce);
        count = GPOINTER_TO_SIZE(g_hash_table_lookup(executions, nonce));
        duplicated += count > 1;
        missing += record->verdict == VERDICT_OK && count == 0;
        false_not_run += record->verdict == VERDICT_REFUSED && count > 0;
        unknown_run += (record->verdict == VERDICT_UNKNOWN ||
                        record->verdict == VERDICT_LOST) &&
                       count > 0;
    }
    root = json_pack("{s:b, s:i, s:i, s:i, s:i}", "complete", is_complete,
                     "duplicated", duplicated, "ok_but_not_run", missing,
                     "false_not_run", false_not_run, "unknown_that_ran",
                     unknown_run);
    g_hash_table_unref(executions);
    return root;
}

static int
compare_int64(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return left < right ? -1 : left > right;
}

static json_t *
encode_latencies(const Caller *caller)
{
    static const struct {
        const char *name;
        double share;
    } quantiles[] = {{"p50", 0.5},
                     {"p90", 0.9},
                     {"p99", 0.99},
                     {"p99.9", 0.999},
                     {"max", 1.0}};
    int64_t *values = g_new(int64_t, (gsize)caller->count + 1);
    size_t count = 0;
    json_t *root = json_object();

    for (int64_t i = 0; i < caller->count; i++) {
        if (caller->records[i].verdict == VERDICT_OK) {
            values[count++] = caller->records[i].latency_us;
        }
    }
    qsort(values, count, sizeof(values[0]), compare_int64);
    for (size_t i = 0; i < G_N_ELEMENTS(quantiles) && count > 0; i++) {
        size_t rank = (size_t)(quantiles[i].share * (double)count);

        json_object_set_new(root, quantiles[i].name,
                            json_integer(values[MIN(rank, count - 1)]));
    }
    g_free(values);
    return root;
}

static void
increment(json_t *counts, const char *name)
{
    json_int_t count = json_integer_value(json_object_get(counts, name));

    json_object_set_new(counts, name, json_integer(count + 1));
}

static json_t *
summarize(Caller *caller, double seconds)
{
    int64_t verdicts[VERDICT_COUNT] = {0};
    int64_t sent = 0;
    json_t *root = json_object();
    json_t *results = json_object();
    json_t *runs = json_object();

    for (int64_t i = 0; i < caller->count; i++) {
        const Record *record = &caller->records[i];
        char number[16];

        verdicts[record->verdict]++;
        if (record->verdict == VERDICT_NONE) {
            continue;
        }
        sent++;
        increment(runs, Result_RunName(record->run));
        if (record->verdict != VERDICT_LOST) {
            g_snprintf(number, sizeof(number), "%d", record->result);
            increment(results, number);
        }
    }
    json_object_set_new(root, "sent", json_integer(sent));
    for (int v = VERDICT_OK; v < VERDICT_COUNT; v++) {
        json_object_set_new(root, verdict_names[v], json_integer(verdicts[v]));
    }
    json_object_set_new(root, "results", results);
    json_object_set_new(root, "runs", runs);
    json_object_set_new(root, "repeats",
                        json_integer(atomic_load(&caller->retries)));
    json_object_set_new(root, "late",
                        json_integer(atomic_load(&caller->late)));
    json_object_set_new(root, "unchecked",
                        json_integer(atomic_load(&caller->unchecked)));
    json_object_set_new(root, "token_failures",
                        json_integer(atomic_load(&caller->token_failures)));
    json_object_set_new(root, "seconds", json_real(seconds));
    json_object_set_new(root, "latency_us", encode_latencies(caller));
    if (caller->check_count > 0) {
        json_object_set_new(root, "executions", check_executions(caller));
    }
    return root;
}

static void
write_csv(const Caller *caller)
{
    FILE *file = fopen(caller->csv, "w");

    if (file == NULL) {
        perror(caller->csv);
        return;
    }
    fprintf(file, "index,due_us,latency_us,issuance,attempts,status,result,"
                  "run,verdict,nonce\n");
    for (int64_t i = 0; i < caller->count; i++) {
        const Record *record = &caller->records[i];
        char nonce[40];

        if (record->verdict == VERDICT_NONE) {
            continue;
        }
        format_nonce(caller, i, nonce);
        fprintf(file,
                "%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT
                ",%d,%d,%d,%d,%s,%s,%s\n",
                i, record->due_us, record->latency_us, record->is_issuance,
                record->attempts, record->status, record->result,
                Result_RunName(record->run), verdict_names[record->verdict],
                nonce);
    }
    fclose(file);
}

static Caller the_caller = {.path = "/",
                            .issue_path = "/",
                            .count = 1000,
                            .duration_us = 60000000,
                            .timeout_us = 10000000,
                            .connections = 16,
                            .max_retries = 3,
                            .seed = 1};

static void
stop_on_signal(int signal_number)
{
    (void)signal_number;
    is_stopped = 1;
}

int
main(int argc, char **argv)
{
    const struct argp parser = {
        options, parse_option, NULL, "Stand-in for callers.",
        NULL,    NULL,         NULL};
    Caller *caller = &the_caller;
    json_t *summary;
    Rng rng;

    argp_parse(&parser, argc, argv, 0, NULL, caller);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, stop_on_signal);
    signal(SIGINT, stop_on_signal);
    caller->body = g_strnfill(MAX(caller->body_bytes, 1), 'b');
    caller->records = g_new0(Record, (gsize)caller->count + 1);
    Rng_Seed(&rng, caller->seed);
    for (int64_t i = 0; i < caller->count; i++) {
        caller->records[i].is_issuance =
            Rng_Unit(&rng) * 100.0 < caller->issuances_percent;
    }
    run_workers(caller);
    summary = summarize(
        caller, (double)(g_get_monotonic_time() - caller->start_us) / 1e6);
    json_dumpf(summary, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
    printf("\n");
    json_decref(summary);
    if (caller->csv != NULL) {
        write_csv(caller);
    }
    g_free(caller->records);
    g_free(caller->body);
    return 0;
}
