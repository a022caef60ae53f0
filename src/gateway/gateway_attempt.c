#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "gateway/full_service.h"
#include "gateway/gateway_internal.h"
#include "gateway/peer_wire.h"
#include "roster/exploration.h"

/* Maximum number of times that owners are asked to run one request; refusals
 * count, too. */
#define MAX_ROUNDS 12

/* Maximum number of owners that are asked for a retry and refuse it because of
 * the service's retry limit. Each owner keeps a part of its own, so the next
 * one may have some left. */
#define MAX_LIMIT_REFUSALS 2

/* Timeout of the first attempt at a request that can be retried: this share of
 * the route's latency target, but at least this many mean service times, plus
 * the expected wait for a slot. It leaves time for a second attempt. */
#define ATTEMPT_TIMEOUT_SHARE 0.75
#define MIN_ATTEMPT_SERVICE_TIMES 3

/* Minimum time before the deadline at which a retry is still sent. */
#define MIN_RETRY_MS 50

/* Connect timeouts. The round trip to another region takes about ten times as
 * long as within the region. */
#define CONNECT_SAME_REGION_MS 250
#define CONNECT_OTHER_REGION_MS 500

/* Maximum transit time of an owner's answer. The call to the owner times out
 * this long after the request's deadline. */
#define ANSWER_TRANSIT_MS 20

#define SECONDS_PER_MINUTE 60

/* A pooled connection to an owner that was idle for longer is not used for a
 * request that must not run twice. */
#define MAX_IDLE_MS 4000

static gboolean
contains_host(const uint64_t *hosts, uint32_t count, uint64_t host)
{
    for (uint32_t i = 0; i < count; i++) {
        if (hosts[i] == host) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
add_host(uint64_t *hosts, uint32_t *count, uint64_t host)
{
    if (*count < ROSTER_MAX_EXCLUDED && !contains_host(hosts, *count, host)) {
        hosts[(*count)++] = host;
    }
}

/* Returns this host's share of the fleet's retry budget for a service. The
 * retries per minute are divided evenly among the known hosts. */
static RetryBudget *
find_budget(Gateway *gateway, uint64_t service, ClockMs now)
{
    RetryBudget *budget = g_hash_table_lookup(gateway->budgets, &service);
    Retry_desc desc = _Gateway_BudgetDesc(gateway);

    if (budget == NULL) {
        budget = g_new0(RetryBudget, 1);
        RetryBudget_Init(budget, &desc, now);
        g_hash_table_insert(gateway->budgets,
                            g_memdup2(&service, sizeof(service)), budget);
    }
    budget->desc.min_per_minute = desc.min_per_minute;
    return budget;
}

/* Probability that the request is a call of a run that was a retry. */
static double
retried_share(const GatewayRequest *request)
{
    if (request->team != NULL) {
        return 0;
    }
    return request->parent.is_known
               ? request->parent.retry_share
               : Backend_RetryShare(request->gateway->desc.backend);
}

/* Tells the owner of the backend server that makes the call what is known of
 * the called service. */
static void
note_called(const GatewayRequest *request, double usage, ClockMs now)
{
    const Gateway *gateway = request->gateway;
    RosterLoad load;

    Roster_ServiceLoad(gateway->desc.roster,
                       request->destination->service_hash, now, &load);
    Backend_NoteCalled(gateway->desc.backend, request->route->hash,
                       &(CalledState){.reports = load.reports,
                                      .slots = load.slots,
                                      .in_flight = load.in_flight,
                                      .waiting = load.waiting,
                                      .limit_usage = usage});
}

static void
count_request(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    RetryBudget *budget;
    double retry_share = retried_share(request);
    RetryRates rates;
    double coverage = Roster_RetryRates(
        gateway->desc.roster, request->destination->service_hash, now, &rates);
    double slack =
        coverage * gateway->desc.retry_per_minute / SECONDS_PER_MINUTE;
    double refill =
        RetryRates_Refill(&rates, gateway->desc.retry_ratio, slack);
    double usage = RetryRates_Usage(&rates, gateway->desc.retry_ratio, slack);

    if (request->team == NULL) {
        note_called(request, usage, now);
    }

    pthread_mutex_lock(&gateway->lock);
    budget = find_budget(gateway, request->destination->service_hash, now);
    RetryBudget_SetRefill(budget, refill, now);
    request->is_calm = rates.per_s > 0 && usage < RETRY_CALM_USAGE;
    request->is_retried_call = Rng_Unit(&gateway->rng) < retry_share;
    RetryBudget_Request(budget, now);
    if (retry_share > 0) {
        /* A call made by a request that is a retry counts as a retry, too. */
        RetryBudget_Debit(budget, retry_share, now);
    }
    pthread_mutex_unlock(&gateway->lock);
}

/* Decides whether another attempt may be sent to a backend server, and debits
 * the budget if so. */
static RetryReason
decide_retry(GatewayRequest *request, const BackendReply *reply)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    RetryInput input = {.result = reply->result,
                        .run = reply->run,
                        .idempotent = request->route->idempotent,
                        .issuance = !request->route->idempotent,
                        .other_target = TRUE,
                        .attempts = request->attempts,
                        .route_retries = MAX(request->route->attempts, 1) - 1,
                        .time_left_ms =
                            request->deadline - now - MIN_RETRY_MS};
    RetryDecision decision;

    pthread_mutex_lock(&gateway->lock);
    decision = Retry_Decide(
        find_budget(gateway, request->destination->service_hash, now), NULL,
        &input, now, &gateway->rng);
    pthread_mutex_unlock(&gateway->lock);
    if (decision.reason == RETRY_AGAIN) {
        request->has_taken_retry = TRUE;
        Counter_Retry(reply->result);
    }
    return decision.reason;
}

/* Whether the request can be retried if the next attempt fails. */
static gboolean
can_retry(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    gboolean available;

    if (!_Gateway_AllowsRetry(request)) {
        return FALSE;
    }
    pthread_mutex_lock(&gateway->lock);
    available = RetryBudget_HasRetry(
        find_budget(gateway, request->destination->service_hash, now), now);
    pthread_mutex_unlock(&gateway->lock);
    return available;
}

static gboolean
choose(GatewayRequest *request, RosterChoice *choice)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    RosterQuery query;
    RosterReport own;

    Counter_Add(COUNTER_ROUTE_REGIONS_CHANGED,
                GatewayRegions_Read(&request->regions, gateway->desc.catalog,
                                    &request->regions_check.key));
    request->can_retry = can_retry(request);
    _Gateway_MakeQuery(request, now, &query);
    _Gateway_OwnReport(gateway, &own);
    Roster_Report(gateway->desc.roster, gateway->host, &own, now);
    return Roster_Choose(gateway->desc.roster, &query, now, choice);
}

static void
set_limits(GatewayRequest *request, const RosterChoice *choice)
{
    BackendCall *call = &request->call;
    ClockMs now = Clock_Now();
    PlacementRequest placement = {
        .failure_cost = Placement_FailureCost(request->can_retry),
        .time_left_ms = request->target_time - now};
    PlacementAsk ask = {
        .other_cost = choice->other_cost,
        .asked_before =
            contains_host(request->asked, request->asked_count, choice->host),
        .risky_owners = request->risky_owners,
        .deadline_ms = request->deadline - now};
    PlacementLimits limits = Placement_Limits(&placement, &ask);

    call->explore_idle_ms = choice->explore_idle_ms;
    request->has_explored =
        request->has_explored || choice->explore_idle_ms > 0;
    call->max_risk =
        Roster_RiskAt(request->gateway->desc.roster, limits.max_fail_share);
    call->max_wait_ms =
        FullService_WaitLimit(choice, limits.max_wait_ms, ask.deadline_ms);
}

static void try_owners(GatewayRequest *request, BackendReply *reply);

/* Debits the budget for a retry; FALSE if it is used up. */
static gboolean
take_retry(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    gboolean taken;

    pthread_mutex_lock(&gateway->lock);
    taken = RetryBudget_TakeRetry(
        find_budget(gateway, request->destination->service_hash, now), now);
    pthread_mutex_unlock(&gateway->lock);
    return taken;
}

/* Returns the retry that was taken if it has not reached a backend server. */
static void
return_unused_retry(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;

    if (request->has_taken_retry) {
        pthread_mutex_lock(&gateway->lock);
        RetryBudget_ReturnRetry(find_budget(
            gateway, request->destination->service_hash, Clock_Now()));
        pthread_mutex_unlock(&gateway->lock);
        request->has_taken_retry = FALSE;
    }
}

/* Takes over what the copy `other` of the request has learned. */
static void
merge_request(GatewayRequest *request, GatewayRequest *other)
{
    request->attempts = other->attempts - 1;
    request->has_explored = request->has_explored || other->has_explored;
    request->full_offers = other->full_offers;
    request->risky_owners = other->risky_owners;
    memcpy(request->excluded, other->excluded, sizeof(request->excluded));
    request->excluded_count = other->excluded_count;
    memcpy(request->asked, other->asked, sizeof(request->asked));
    request->asked_count = other->asked_count;
    request->backlog_ms = other->backlog_ms;
    request->maybe_run = request->maybe_run || other->maybe_run;
    memcpy(request->trace, other->trace, sizeof(request->trace));
    if (other->failure.status != 0) {
        HttpAnswer_Clear(&request->failure);
        HttpAnswer_Move(&request->failure, &other->failure);
    }
}

/* Keeps the reply's answer, if it is an error answer of a backend server, for
 * the case that no later attempt is answered. */
static void
keep_failure(GatewayRequest *request, BackendReply *reply)
{
    if (reply->result == RESULT_BACKEND_SERVER_ERROR &&
        reply->answer.status != 0) {
        HttpAnswer_Clear(&request->failure);
        HttpAnswer_Move(&request->failure, &reply->answer);
    }
}

/* Whether another owner can be expected to have a free slot soon. */
static gboolean
has_free_owner(GatewayRequest *request)
{
    RosterChoice choice;

    return choose(request, &choice) &&
           choice.wait_ms <= choice.service_ms / MIN_ATTEMPT_SERVICE_TIMES;
}

/* Called when the first attempt has lasted long. Tries other owners while it
 * goes on, so that it is not cut for a retry that nobody takes. Returns TRUE
 * to end it if another backend server has answered. Returns FALSE to let it
 * continue if none has, if none has room, if the budget is used up, or while
 * the daemon stops, when running requests are left to finish. */
static gboolean
give_up_attempt(void *context)
{
    GatewayRequest *request = context;
    GatewayRequest other;
    BackendReply reply;

    /* The first attempt still reads its own call. */
    other = *request;
    other.failure = (HttpAnswer){0};
    other.attempts++;
    GatewayRegions_Ref(&other.regions);
    add_host(other.excluded, &other.excluded_count, other.current_host);
    if (HttpServer_IsLeaving(request->gateway->server) ||
        !has_free_owner(&other) || !take_retry(request)) {
        GatewayRegions_Clear(&other.regions);
        return FALSE;
    }
    other.has_taken_retry = TRUE;
    Counter_Retry(RESULT_DEADLINE_EXPIRED);
    try_owners(&other, &reply);
    keep_failure(&other, &reply);
    merge_request(request, &other);
    GatewayRegions_Clear(&other.regions);
    if (reply.result != RESULT_OK) {
        HttpAnswer_Clear(&reply.answer);
        return FALSE;
    }
    request->other_reply = g_memdup2(&reply, sizeof(reply));
    return TRUE;
}

/* Limits the first attempt so that enough time is left for a second one. */
static void
set_attempt_timeout(GatewayRequest *request, const RosterChoice *choice)
{
    BackendCall *call = &request->call;
    ClockMs share =
        (ClockMs)((double)(request->target_time - request->arrived) *
                  ATTEMPT_TIMEOUT_SHARE);

    call->attempt_timeout_ms =
        MAX(share, MIN_ATTEMPT_SERVICE_TIMES * choice->service_ms) +
        choice->wait_ms;
    call->give_up =
        request->can_retry && request->attempts == 0 ? give_up_attempt : NULL;
    call->give_up_context = request;
}

/* Returns an id for an attempt that the owner can be asked about; 0 if the
 * request may run more than once. */
static uint64_t
make_attempt_id(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    uint64_t random;

    if (request->call.idempotent) {
        return 0;
    }
    pthread_mutex_lock(&gateway->lock);
    random = Rng_Next(&gateway->rng);
    pthread_mutex_unlock(&gateway->lock);
    return MAX(Rng_Mix(gateway->host, random), 1);
}

/* Asks the owner whether the attempt, sent at `sent` or later, has reached it.
 * If not, the attempt has not run and never will. */
static void
ask_owner(GatewayRequest *request, const RosterChoice *choice, ClockMs sent,
          BackendReply *reply)
{
    ClockMs left = request->deadline - Clock_Now();
    struct sockaddr_in address = choice->entry.peer;
    RpcPeer owner;

    if (request->gateway->desc.rpc == NULL || choice->entry.rpc_port == 0 ||
        left <= 0) {
        return;
    }
    address.sin_port = htons(choice->entry.rpc_port);
    owner = Rpc_PeerAt(&address);
    owner.host = choice->host;
    request->asked_owner = AttemptRpc_Ask(request->gateway->desc.rpc, &owner,
                                          request->call.attempt_id, sent,
                                          (int)MIN(left, ATTEMPT_ASK_MS));
    if (request->asked_owner == ATTEMPT_ASK_NOT_SEEN) {
        reply->run = RUN_NO;
        reply->arrived = FALSE;
    }
}

/* Notes the version of the configuration that an owner has in force. */
static void
hear_version(const GatewayRequest *request, const RosterChoice *choice,
             uint64_t version)
{
    Catalog *catalog = request->gateway->desc.catalog;

    if (Catalog_Hear(catalog, version, Clock_Now())) {
        Log_Event(LOG_CATALOG_ANNOUNCED,
                  "version=%" PRIu64 " newer=%" PRIu64 " host=%s",
                  Catalog_Version(catalog), version, choice->entry.host);
    }
}

static void
call_owner(GatewayRequest *request, const RosterChoice *choice,
           BackendReply *reply)
{
    const BackendCall *call = &request->call;
    ClockMs now = Clock_Now();
    HttpHeaders headers = {0};
    HttpSoftTimeout timeout = {.until = now + call->attempt_timeout_ms,
                               .give_up = call->give_up,
                               .context = request};
    HttpCall http = {.address = choice->entry.peer,
                     .method = call->method,
                     .target = call->target,
                     .host = call->host,
                     .headers = &headers,
                     .body = call->body,
                     .body_bytes = call->body_bytes,
                     .deadline = call->deadline + ANSWER_TRANSIT_MS,
                     .connect_ms = choice->tier == ROSTER_OTHER_REGION
                                       ? CONNECT_OTHER_REGION_MS
                                       : CONNECT_SAME_REGION_MS,
                     .max_idle_ms = call->idempotent ? 0 : MAX_IDLE_MS,
                     .soft_timeout = call->give_up ? &timeout : NULL,
                     .cancel = call->cancel};
    gboolean sent;

    request->call.attempt_id = make_attempt_id(request);
    HttpHeaders_AddAll(&headers, call->headers);
    HttpHeaders_Add(&headers, request->gateway->desc.names->request_id,
                    call->request_id);
    PeerWire_EncodeCall(call, now, &headers);
    reply->result = HttpClient_Call(request->gateway->desc.client, &http,
                                    &reply->answer, &sent);
    reply->server_ms = Clock_Now() - now;
    HttpHeaders_Clear(&headers);
    if (reply->result == RESULT_OK) {
        if (!PeerWire_DecodeReply(&reply->answer.headers, reply)) {
            HttpAnswer_Clear(&reply->answer);
        }
        else {
            hear_version(request, choice, reply->catalog_version);
        }
        return;
    }
    reply->run = sent ? RUN_UNKNOWN : RUN_NO;
    reply->arrived = sent;
    if (reply->result == RESULT_ANSWER_LOST && call->attempt_id != 0) {
        ask_owner(request, choice, now, reply);
    }
}

gboolean
_Gateway_IsUnreachable(const BackendReply *reply, ClockMs left_ms,
                       ClockMs paused_ms)
{
    switch (reply->result) {
    case RESULT_BACKEND_SERVER_OTHER:
        return !reply->arrived;
    case RESULT_OVERLOADED:
    case RESULT_TOO_LARGE:
        /* The host answered; this one had no room for it. */
        return FALSE;
    default:
        break;
    }
    return paused_ms == 0 && reply->report.slots == 0 &&
           reply->result != RESULT_CANCELLED &&
           (reply->result != RESULT_DEADLINE_EXPIRED || left_ms > 0);
}

ClockMs
_Gateway_TransitMs(const BackendReply *reply, ClockMs paused_ms)
{
    return paused_ms == 0 && reply->report.slots > 0 && reply->owner_ms >= 0
               ? MAX(reply->server_ms - reply->owner_ms, 0)
               : -1;
}

/* Keeps the shortest wait among the owners that are full. */
static void
note_backlog(GatewayRequest *request, ClockMs wait)
{
    if (request->backlog_ms == 0 || wait < request->backlog_ms) {
        request->backlog_ms = wait;
    }
}

static void
count_ask(const RosterChoice *choice, const BackendReply *reply)
{
    Counter_Add(COUNTER_OWNER_ASKS, 1);
    Counter_Add(COUNTER_OWNER_ASKS_RISKY,
                reply->result == RESULT_BACKEND_SERVER_EJECTED);
    Counter_Add(COUNTER_OWNER_ASKS_BUSY,
                reply->result == RESULT_BACKEND_SERVER_BUSY);
    Counter_Add(COUNTER_OWNER_ASKS_UNKNOWN, choice->age_ms > ROSTER_RECENT_MS);
    Counter_Add(COUNTER_OWNER_ASKS_FULL, choice->full_wait_ms > 0);
    Counter_Add(COUNTER_OWNER_EXPLORATIONS, choice->explore_idle_ms > 0);
}

/* Updates the roster and the request's lists of hosts for later choices. */
static void
note_reply(GatewayRequest *request, const RosterChoice *choice,
           const BackendReply *reply, ClockMs began)
{
    Roster *roster = request->gateway->desc.roster;
    ClockMs now = Clock_Now();
    ClockMs paused_ms =
        Backend_PausedMs(request->gateway->desc.backend, began);
    ClockMs transit_ms = _Gateway_TransitMs(reply, paused_ms);

    add_host(request->asked, &request->asked_count, choice->host);
    count_ask(choice, reply);
    if (choice->tier != ROSTER_SAME_HOST && transit_ms >= 0) {
        Roster_NoteTransit(roster, choice->host, transit_ms);
    }
    if (_Gateway_IsUnreachable(reply, request->deadline - now, paused_ms)) {
        Roster_NoteUnreachable(roster, choice->host, now);
    }
    else if (reply->report.slots > 0) {
        Roster_Report(roster, choice->host, &reply->report, now);
    }
    if (reply->result == RESULT_BACKEND_SERVER_BUSY &&
        reply->report.slots > 0) {
        note_backlog(request, MAX(ReturnTime_Backlog(&reply->report),
                                  reply->return_ms));
    }
    switch (reply->result) {
    case RESULT_BACKEND_SERVER_EJECTED:
        request->risky_owners++;
        break;
    case RESULT_BACKEND_SERVER_BUSY:
        /* The host stays a candidate: it may still be the best choice. */
        break;
    default:
        add_host(request->excluded, &request->excluded_count, choice->host);
        break;
    }
}

static RetryKind
retry_kind(const GatewayRequest *request)
{
    if (request->attempts == 0 && !request->is_retried_call) {
        return RETRY_KIND_FIRST;
    }
    if (request->is_calm) {
        return RETRY_KIND_CALM;
    }
    return request->attempts > 0 ? RETRY_KIND_RETRY : RETRY_KIND_CALL;
}

/* Text of the expected load for the log line; empty without even_load. */
static const char *
describe_load(const RosterChoice *choice, char *text, size_t size)
{
    text[0] = '\0';
    if (choice->load >= 0) {
        (void)g_snprintf(text, size, " load=%.2f full_ms=%" PRId64,
                         choice->load, choice->full_wait_ms);
    }
    return text;
}

static void
attempt_once(GatewayRequest *request, const RosterChoice *choice,
             BackendReply *reply)
{
    ClockMs began = Clock_Now();
    char load[64];

    *reply = (BackendReply){.run = RUN_NO};
    request->current_host = choice->host;
    request->asked_owner = ATTEMPT_ASK_NONE;
    request->call.retry = retry_kind(request);
    set_limits(request, choice);
    set_attempt_timeout(request, choice);
    Roster_Begin(request->gateway->desc.roster, choice->host);
    if (choice->tier == ROSTER_SAME_HOST) {
        Backend_Run(request->gateway->desc.backend, &request->call, reply);
    }
    else {
        call_owner(request, choice, reply);
    }
    Roster_End(request->gateway->desc.roster, choice->host);
    if (choice->tier == ROSTER_OTHER_REGION) {
        Counter_Add(COUNTER_ROUTE_CROSS_REGION, 1);
    }
    if (reply->arrived) {
        request->attempts++;
        request->has_taken_retry = FALSE;
    }
    note_reply(request, choice, reply, began);
    Log_Append(request->trace, sizeof(request->trace),
               " [%s tier=%d cost=%.2f%s age_ms=%" PRId64
               " max_risk=%.2f risk=%.2f ms=%" PRId64 " %s run=%s%s%s]",
               choice->entry.host, (int)choice->tier, choice->cost,
               describe_load(choice, load, sizeof(load)),
               choice->age_ms == CLOCK_NEVER ? -1 : choice->age_ms,
               request->call.max_risk, reply->report.risk,
               reply->queue_ms + reply->server_ms, Result_Name(reply->result),
               Result_RunName(reply->run),
               request->asked_owner == ATTEMPT_ASK_NONE ? "" : " owner=",
               request->asked_owner == ATTEMPT_ASK_NONE
                   ? ""
                   : AttemptRpc_AskName(request->asked_owner));
    request->maybe_run = request->maybe_run || reply->run != RUN_NO;
    if (request->other_reply != NULL) {
        HttpAnswer_Clear(&reply->answer);
        *reply = *request->other_reply;
        g_free(request->other_reply);
        request->other_reply = NULL;
    }
}

/* Whether a stopping owner returned a request that can run elsewhere. Hosts
 * stop rarely, so such a retry is not charged to the budget. */
static gboolean
is_retry_after_shutdown(const GatewayRequest *request,
                        const BackendReply *reply)
{
    return reply->result == RESULT_SHUTTING_DOWN &&
           request->route->idempotent &&
           request->attempts < request->route->attempts;
}

/* Whether the owner's refusal stands for those of the other owners. Each keeps
 * a part of the retry limit of its own, so the next one may have some left. */
static gboolean
is_refused_by_all(GatewayRequest *request, const BackendReply *reply)
{
    if (reply->return_ms == 0) {
        return FALSE;
    }
    return request->call.retry == RETRY_KIND_FIRST ||
           ++request->limit_refusals >= MAX_LIMIT_REFUSALS;
}

/* Whether no further attempt follows the reply. */
static gboolean
is_final(GatewayRequest *request, const BackendReply *reply)
{
    RetryReason reason;

    if (reply->result == RESULT_OK || reply->result == RESULT_CANCELLED ||
        Clock_Now() >= request->deadline) {
        return TRUE;
    }
    if (is_refused_by_all(request, reply)) {
        Log_Append(request->trace, sizeof(request->trace), " final=owner");
        return TRUE;
    }
    if (!reply->arrived) {
        return FALSE;
    }
    if (is_retry_after_shutdown(request, reply)) {
        Counter_Retry(reply->result);
        return FALSE;
    }
    reason = decide_retry(request, reply);
    if (reason != RETRY_AGAIN) {
        Log_Append(request->trace, sizeof(request->trace), " final=%s",
                   Retry_ReasonName(reason));
    }
    return reason != RETRY_AGAIN;
}

/* No host is left to choose from. If the allowed regions cannot be reached,
 * that is the result, whatever the earlier attempts were refused for. */
static void
note_away(GatewayRequest *request, const RosterChoice *choice,
          BackendReply *reply)
{
    if (choice->away_ms >= 0) {
        HttpAnswer_Clear(&reply->answer);
        *reply =
            (BackendReply){.result = RESULT_HOME_REGIONS_AWAY, .run = RUN_NO};
        request->away_ms = choice->away_ms;
        Log_Append(request->trace, sizeof(request->trace), " away_ms=%" PRId64,
                   choice->away_ms);
    }
}

/* Ends the request without a further offer. */
static void
refuse_full(GatewayRequest *request, const RosterChoice *choice,
            BackendReply *reply)
{
    Counter_Add(COUNTER_FULL_SERVICE_REFUSALS, 1);
    note_backlog(request, choice->full_wait_ms);
    Log_Append(request->trace, sizeof(request->trace),
               " final=full full_ms=%" PRId64, choice->full_wait_ms);
    if (reply->run == RUN_NO && !reply->arrived) {
        reply->result = RESULT_BACKEND_SERVER_BUSY;
    }
}

static void
try_owners(GatewayRequest *request, BackendReply *reply)
{
    RosterChoice choice;

    *reply = (BackendReply){.result = RESULT_NO_BACKEND_SERVER, .run = RUN_NO};
    for (int round = 0; round < MAX_ROUNDS; round++) {
        _Gateway_LimitToStop(request);
        if (Clock_Now() >= request->deadline) {
            reply->result = RESULT_DEADLINE_EXPIRED;
            break;
        }
        if (!choose(request, &choice)) {
            note_away(request, &choice, reply);
            break;
        }
        if (!FullService_Decide(&choice, &request->full_offers)) {
            refuse_full(request, &choice, reply);
            break;
        }
        HttpAnswer_Clear(&reply->answer);
        attempt_once(request, &choice, reply);
        if (is_final(request, reply)) {
            break;
        }
        keep_failure(request, reply);
    }
    return_unused_retry(request);
}

void
_Gateway_Attempt(GatewayRequest *request, BackendReply *reply)
{
    count_request(request);
    try_owners(request, reply);
    Counter_Add(COUNTER_ROUTE_RESTRICTED,
                GatewayRegions_IsRestricted(&request->regions));
    if (request->team == NULL) {
        Backend_NoteCallEnd(request->gateway->desc.backend,
                            request->route->hash, request->parent.priority,
                            reply->result);
    }
    _Gateway_ChooseAnswer(reply, &request->failure, request->maybe_run);
}
