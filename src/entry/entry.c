#include "entry/entry.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "entry/entry_internal.h"
#include "owner/owner_wire.h"

/* Maximum number of redirects of one request. An owner that refuses a request
 * because its backend server is leaving, removed or ejected does so at almost
 * no cost. Therefore such refusals are not charged to the retry budget, but
 * their number is limited. */
#define MAX_REDIRECTS 4

/* Adds a line to the ring buffer of explanations; takes ownership. */
static void
add_record(Entry *entry, char *line)
{
    pthread_mutex_lock(&entry->lock);
    g_free(entry->records[entry->next_record]);
    entry->records[entry->next_record] = line;
    entry->next_record = (entry->next_record + 1) % ENTRY_RECORDS;
    pthread_mutex_unlock(&entry->lock);
}

void
Entry_ExplainMatching(Entry *entry, const char *text, unsigned max,
                      GString *out)
{
    unsigned found = 0;
    unsigned index;
    const char *record;
    char hash[20];

    /* The lines contain hosts and backend servers as hashes of their names,
     * because member records carry no names. */
    g_snprintf(hash, sizeof(hash), "=%016" G_GINT64_MODIFIER "x",
               Rng_HashString(text));
    pthread_mutex_lock(&entry->lock);
    for (unsigned i = 1; i <= ENTRY_RECORDS && found < max; i++) {
        index = (entry->next_record + ENTRY_RECORDS - i) % ENTRY_RECORDS;
        record = entry->records[index];
        if (record != NULL &&
            (strstr(record, text) != NULL || strstr(record, hash) != NULL)) {
            g_string_append_printf(out, "%s\n", record);
            found++;
        }
    }
    pthread_mutex_unlock(&entry->lock);
}

/* Finds or adds the record of a service. Called with the lock held. */
static EntryService *
service_record(Entry *entry, uint64_t service)
{
    Retry_desc retry = {.budget_percent = (uint32_t)Settings_Read(
                            &entry->desc.settings->retry_budget_percent)};
    EntryService *record = g_hash_table_lookup(entry->services, &service);

    if (record == NULL) {
        record = g_new0(EntryService, 1);
        record->service = service;
        record->teams =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
        RetryBudget_Init(&record->budget, &retry, Clock_Now());
        g_hash_table_insert(entry->services, &record->service, record);
    }
    return record;
}

static void
free_service(gpointer data)
{
    EntryService *record = data;

    g_hash_table_destroy(record->teams);
    g_free(record);
}

/* Whether the team may use one more of the service's threads (`limit`). The
 * last eighth is reserved for teams that use less than a quarter, so that the
 * burst of one team does not block the others. Called with the lock held. */
static gboolean
has_room(const EntryService *record, uint64_t team, unsigned limit)
{
    const EntryTeam *used = g_hash_table_lookup(record->teams, &team);

    return record->in_flight < limit - limit / 8 ||
           (record->in_flight < limit &&
            (used == NULL || used->in_flight < limit / 4));
}

/* Counts a request of the team. This function and the next one are called with
 * the lock held. */
static void
add_team(EntryService *record, uint64_t team)
{
    EntryTeam *used = g_hash_table_lookup(record->teams, &team);

    if (used == NULL) {
        used = g_new0(EntryTeam, 1);
        used->team = team;
        g_hash_table_insert(record->teams, &used->team, used);
    }
    used->in_flight++;
}

static void
remove_team(EntryService *record, uint64_t team)
{
    EntryTeam *used = g_hash_table_lookup(record->teams, &team);

    if (--used->in_flight == 0) {
        g_hash_table_remove(record->teams, &team);
    }
}

/* Counts the request in its service, if a thread may be used for it. */
static Result
add_to_service(EntryRequest *request)
{
    Entry *entry = request->entry;
    unsigned limit = (unsigned)entry->desc.settings->entry_threads / 2;
    Result result = RESULT_OK;
    EntryService *record;

    pthread_mutex_lock(&entry->lock);
    record = service_record(entry, request->service);
    if (!has_room(record, request->team_hash, MAX(limit, 1))) {
        result = RESULT_OVERLOADED;
    }
    else {
        record->in_flight++;
        add_team(record, request->team_hash);
        RetryBudget_Request(&record->budget, Clock_Now());
    }
    pthread_mutex_unlock(&entry->lock);
    return result;
}

static void
remove_from_service(EntryRequest *request)
{
    Entry *entry = request->entry;
    EntryService *record;

    pthread_mutex_lock(&entry->lock);
    record = service_record(entry, request->service);
    record->in_flight--;
    remove_team(record, request->team_hash);
    pthread_mutex_unlock(&entry->lock);
}

static Result
take_rate_token(EntryRequest *request)
{
    int64_t started = Clock_NowMicroseconds();
    Result result = RateService_TakeToken(
        request->entry->desc.rate, request->team_hash, &request->limit,
        request->deadline, &request->rate_token);

    Counter_Observe(HISTOGRAM_ENTRY_RATE, Clock_NowMicroseconds() - started);
    request->has_rate_token = result == RESULT_OK;
    return result;
}

/* Confirms the rate token immediately before the first attempt. If it is no
 * longer valid because the process was paused since it was taken, takes
 * another one. */
static Result
use_rate_token(EntryRequest *request)
{
    Result result = RESULT_OK;

    while (request->has_rate_token) {
        request->has_rate_token = FALSE;
        result = RateService_UseToken(request->entry->desc.rate,
                                      &request->rate_token);
        if (result == RESULT_OK) {
            return RESULT_OK;
        }
        result = take_rate_token(request);
    }
    return result;
}

static gboolean
is_redirect(const OwnerReply *reply)
{
    return reply->run == RUN_NO &&
           (reply->result == RESULT_BACKEND_SERVER_LEAVING ||
            reply->result == RESULT_BACKEND_SERVER_EJECTED ||
            reply->result == RESULT_NO_BACKEND_SERVER ||
            reply->result == RESULT_SHUTTING_DOWN ||
            reply->result == RESULT_CONNECTION_SILENT);
}

/* Decides whether to make another attempt. Waits for the backoff that overload
 * requires, if any. */
static gboolean
prepare_retry(EntryRequest *request, const OwnerReply *reply)
{
    Entry *entry = request->entry;
    RetryInput input = {
        .result = reply->result,
        .run = (RunState)atomic_load(&request->run),
        .idempotent = request->idempotent,
        .issuance = request->issuance,
        .other_target = TRUE,
        .attempts = request->attempts - request->redirects,
        .route_retries = request->retries,
        .time_left_ms = request->deadline - Clock_Now(),
    };
    RetryDecision decision;

    if (reply->result == RESULT_OK || HttpRequest_IsOver(request->http) ||
        (request->is_caller_token && request->issuance)) {
        return FALSE;
    }
    if (is_redirect(reply) && request->redirects < MAX_REDIRECTS &&
        input.time_left_ms > 0) {
        request->redirects++;
        return TRUE;
    }
    pthread_mutex_lock(&entry->lock);
    decision = Retry_Decide(&service_record(entry, request->service)->budget,
                            NULL, &input, Clock_Now(), &entry->rng);
    pthread_mutex_unlock(&entry->lock);
    if (decision.reason != RETRY_AGAIN) {
        Log_Append(request->trace, sizeof(request->trace), "; final %s",
                   Retry_ReasonName(decision.reason));
        return FALSE;
    }
    Counter_Retry(reply->result);
    if (decision.backoff_ms > 0) {
        g_usleep((gulong)decision.backoff_ms * 1000);
    }
    return TRUE;
}

/* Makes one attempt at a request that is not an issuance. */
static void
run_attempt(EntryRequest *request, OwnerReply *reply)
{
    EntryTarget target;

    reply->result = _Entry_ChooseTarget(request, &target);
    if (reply->result != RESULT_OK) {
        return;
    }
    _Entry_Attempt(request, &target, reply);
    if (reply->result != RESULT_OK) {
        _Entry_Exclude(request, &target);
    }
}

/* Makes attempts until one is final. The reply is that of the last attempt; if
 * no backend server was left for a retry, it stays that of the one before. */
static void
run_request(EntryRequest *request, OwnerReply *reply)
{
    OwnerReply next;

    memset(reply, 0, sizeof(*reply));
    reply->result = use_rate_token(request);
    if (reply->result != RESULT_OK) {
        return;
    }
    do {
        memset(&next, 0, sizeof(next));
        if (request->issuance) {
            _Entry_RunIssuance(request, &next);
        }
        else {
            run_attempt(request, &next);
        }
        if (next.result == RESULT_NO_BACKEND_SERVER && request->attempts > 0 &&
            reply->result != RESULT_OK) {
            HttpAnswer_Clear(&next.answer);
            return;
        }
        HttpAnswer_Clear(&reply->answer);
        *reply = next;
    } while (prepare_retry(request, reply));
}

static void
add_token(EntryRequest *request, HttpAnswer *answer)
{
    const char *token = atomic_load(&request->token_text);

    if (token != NULL) {
        HttpHeaders_Add(&answer->headers, "Radishknot-Run-Token", token);
    }
}

/* Fills the answer to the caller: the backend server's answer or a refusal. */
static void
fill_answer(EntryRequest *request, OwnerReply *reply, HttpAnswer *answer)
{
    RunState run = reply->result == RESULT_OK
                       ? reply->run
                       : (RunState)atomic_load(&request->run);

    if (reply->result == RESULT_OK ||
        reply->result == RESULT_BACKEND_SERVER_ERROR) {
        answer->status = reply->answer.status;
        for (size_t i = 0; i < reply->answer.headers.count; i++) {
            const HttpHeader *header = &reply->answer.headers.items[i];

            if (!OwnerWire_IsReservedHeader(header->name)) {
                HttpHeaders_Add(&answer->headers, header->name, header->value);
            }
        }
        HttpAnswer_TakeBody(answer, &reply->answer);
        HttpHeaders_Add(&answer->headers, "Radishknot-Request-Id",
                        request->id);
        HttpHeaders_AddNumber(&answer->headers, "Radishknot-Result",
                              (int)reply->result);
        HttpHeaders_Add(&answer->headers, "Radishknot-Run",
                        Result_RunName(run));
    }
    else {
        HttpAnswer_SetRefusal(answer, reply->result, run, request->id, NULL);
        if (answer->status == 503 || answer->status == 429) {
            HttpHeaders_Add(&answer->headers, "Retry-After", "1");
        }
    }
    add_token(request, answer);
}

/* Records the explanation of a request that was refused or took more than one
 * attempt. */
static void
explain(EntryRequest *request, const OwnerReply *reply)
{
    char *time;
    GDateTime *date;

    if (reply->result == RESULT_OK && request->attempts <= 1) {
        return;
    }
    date = g_date_time_new_now_utc();
    time = g_date_time_format(date, "%Y-%m-%dT%H:%M:%SZ");
    add_record(request->entry,
               g_strdup_printf(
                   "%s %s team=%s route=%s %s run=%s%s", time, request->id,
                   request->team, request->route, Result_Name(reply->result),
                   Result_RunName((RunState)atomic_load(&request->run)),
                   request->trace));
    g_free(time);
    g_date_time_unref(date);
}

static void
respond(EntryRequest *request, OwnerReply *reply)
{
    HttpAnswer answer = {0};

    if (request->has_rate_token) {
        RateService_ReturnToken(request->entry->desc.rate,
                                &request->rate_token);
        request->has_rate_token = FALSE;
    }
    explain(request, reply);
    if (reply->result == RESULT_OK) {
        Counter_Add(COUNTER_ENTRY_ANSWERS, 1);
    }
    else {
        Counter_Refusal(reply->result);
    }
    fill_answer(request, reply, &answer);
    HttpAnswer_Clear(&reply->answer);
    HttpRequest_Respond(request->http, &answer);
}

static void
serve_request(EntryRequest *request)
{
    OwnerReply reply = {0};

    reply.result = _Entry_ReadRequest(request);
    if (reply.result == RESULT_OK &&
        strncmp(HttpRequest_Path(request->http), "/radishknot/", 12) == 0) {
        if (strcmp(HttpRequest_Path(request->http),
                   "/radishknot/v1/run-tokens") == 0) {
            _Entry_ServeRunTokens(request);
            return;
        }
        reply.result = RESULT_ROUTE_UNKNOWN;
    }
    if (reply.result == RESULT_OK) {
        reply.result = take_rate_token(request);
    }
    if (reply.result == RESULT_OK) {
        reply.result = add_to_service(request);
        if (reply.result == RESULT_OK) {
            run_request(request, &reply);
            remove_from_service(request);
        }
    }
    respond(request, &reply);
}

static void
free_request(gpointer data)
{
    _Entry_ClearRequest(data);
}

static void
handle(void *context, HttpRequest *http)
{
    Entry *entry = context;
    EntryRequest *request = g_new0(EntryRequest, 1);
    int64_t started = Clock_NowMicroseconds();

    Counter_Add(COUNTER_ENTRY_REQUESTS, 1);
    request->entry = entry;
    request->http = http;
    atomic_store(&request->run, RUN_NO);
    pthread_mutex_lock(&entry->lock);
    g_snprintf(request->id, sizeof(request->id),
               "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
               entry->desc.host, Rng_Next(&entry->rng));
    pthread_mutex_unlock(&entry->lock);
    HttpRequest_SetData(http, request, free_request);
    serve_request(request);
    Counter_Observe(HISTOGRAM_ENTRY_TOTAL, Clock_NowMicroseconds() - started);
}

/* Fills the answer to a request that the handler does not answer: at the
 * deadline, while the handler may still be running in another thread, or when
 * the request was refused before the handler ran. */
static void
refuse(void *context, HttpRequest *http, Result result, HttpAnswer *answer)
{
    EntryRequest *request = HttpRequest_Data(http);
    RunState run = RUN_NO;

    (void)context;
    Counter_Refusal(result);
    if (request != NULL) {
        run = (RunState)atomic_load(&request->run);
    }
    HttpAnswer_SetRefusal(answer, result, run, request ? request->id : NULL,
                          NULL);
    if (request != NULL) {
        add_token(request, answer);
    }
}

Entry *
Entry_Create(const Entry_desc *desc, GError **error)
{
    Entry *entry = g_new0(Entry, 1);
    const Settings *settings = desc->settings;
    Route_desc route = {.seed = Rng_ProcessSeed()};
    HttpServer_desc server = {
        .address = desc->address,
        .worker_threads = (unsigned)settings->entry_threads,
        .max_body_bytes = (size_t)settings->max_body_bytes,
        .tls_certificate_pem = desc->tls_certificate_pem,
        .tls_key_pem = desc->tls_key_pem,
        .handler = handle,
        .refuser = refuse,
        .context = entry,
    };

    entry->desc = *desc;
    pthread_mutex_init(&entry->lock, NULL);
    Rng_Seed(&entry->rng, Rng_ProcessSeed());
    entry->services =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_service);
    entry->route = Route_Create(&route);
    entry->watch = EntryWatch_Create(desc->rpc, &settings->silence_ms);
    entry->server = HttpServer_Create(&server, error);
    if (entry->server == NULL) {
        Entry_Destroy(entry);
        return NULL;
    }
    return entry;
}

uint16_t
Entry_Port(const Entry *entry)
{
    return HttpServer_Port(entry->server);
}

gboolean
Entry_Drain(Entry *entry, ClockMs until)
{
    return HttpServer_Drain(entry->server, until);
}

gboolean
Entry_AwaitReceipt(Entry *entry, ClockMs until)
{
    return HttpServer_AwaitReceipt(entry->server, until);
}

void
Entry_Destroy(Entry *entry)
{
    if (entry == NULL) {
        return;
    }
    HttpServer_Destroy(entry->server);
    EntryWatch_Destroy(entry->watch);
    Route_Destroy(entry->route);
    g_hash_table_destroy(entry->services);
    for (unsigned i = 0; i < ENTRY_RECORDS; i++) {
        g_free(entry->records[i]);
    }
    pthread_mutex_destroy(&entry->lock);
    g_free(entry);
}
