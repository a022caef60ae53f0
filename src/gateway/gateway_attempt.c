#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "gateway/gateway_internal.h"
#include "gateway/peer_wire.h"

/* What a failure costs, as a share of the request's worth: all of it where
 * the request cannot be repeated, else the time and the repeat. */
#define FAILURE_COST_ONCE 1.0
#define FAILURE_COST_REPEATABLE 0.2

/* Owners that are asked for one request, those that refuse included. */
#define MOST_ROUNDS 12

/* Extra cost up to which a riskier backend server is taken over the second
 * best one; keeps small differences from costing a round. */
#define RISK_MARGIN 0.05

/* Least risk limit that is sent: sound backend servers show about this. */
#define LEAST_RISK_LIMIT 0.25

/* A first attempt at a request that may be repeated is given up after this
 * share of the objective, and not before this many mean service times, so that
 * a second one can still help. */
#define ATTEMPT_SHARE 0.75
#define ATTEMPT_SERVICE_TIMES 3

/* Least time that a repeat needs to be worth sending. */
#define LEAST_REPEAT_MS 50

/* Longest time to connect: within the region, and to another one, whose round
 * trip is some ten times longer. */
#define CONNECT_NEAR_MS 250
#define CONNECT_FAR_MS 500

/* Time that the way back takes at most, after which the answer of an owner is
 * no longer waited for. */
#define RETURN_MS 20

/* Share of the fleet's retry budget that the hosts use. The rest covers calls
 * of requests that are repeats themselves, and uneven traffic. */
#define BUDGET_SHARE 0.6

/* Hosts that are assumed at least, so that one with an empty roster does not
 * take the budget of all. */
#define LEAST_HOSTS 12

/* Owner connections that were idle for longer are not used for a request that
 * must not run twice. */
#define FRESH_IDLE_MS 4000

static gboolean
is_in(const uint64_t *hosts, uint32_t count, uint64_t host)
{
    for (uint32_t i = 0; i < count; i++) {
        if (hosts[i] == host) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
add_to(uint64_t *hosts, uint32_t *count, uint64_t host)
{
    if (*count < ROSTER_MAX_TRIED && !is_in(hosts, *count, host)) {
        hosts[(*count)++] = host;
    }
}

/* This host's part of the fleet's budget for a service. The part that does
 * not depend on traffic is shared evenly among the hosts that are known. */
static RetryBudget *
find_budget(Gateway *gateway, uint64_t service, ClockMs now)
{
    RetryBudget *budget = g_hash_table_lookup(gateway->budgets, &service);
    uint32_t hosts = MAX(Roster_Count(gateway->desc.roster), LEAST_HOSTS);
    Retry_desc desc = {
        .budget_percent =
            (uint32_t)(gateway->desc.retry_ratio * 100 * BUDGET_SHARE),
        .min_per_minute = (uint32_t)ceil(gateway->desc.retry_per_minute *
                                         BUDGET_SHARE / hosts)};

    if (budget == NULL) {
        budget = g_new0(RetryBudget, 1);
        RetryBudget_Init(budget, &desc, now);
        g_hash_table_insert(gateway->budgets,
                            g_memdup2(&service, sizeof(service)), budget);
    }
    budget->desc.min_per_minute = desc.min_per_minute;
    return budget;
}

static void
count_request(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    RetryBudget *budget;
    double repeats =
        request->team == NULL ? Backend_RepeatShare(gateway->desc.backend) : 0;

    pthread_mutex_lock(&gateway->lock);
    budget = find_budget(gateway, request->part->service_hash, now);
    RetryBudget_Request(budget, now);
    if (repeats > 0) {
        /* A call of a run that is a repeat counts as one, too. */
        RetryBudget_Debit(budget, repeats, now);
    }
    pthread_mutex_unlock(&gateway->lock);
}

/* Whether another attempt may be sent to a backend server. The attempt is
 * taken from the budget. */
static RetryReason
may_repeat(GatewayRequest *request, const BackendReply *reply)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    RetryInput input = {.result = reply->result,
                        .run = reply->run,
                        .idempotent = request->route->idempotent,
                        .issuance = !request->route->idempotent,
                        .other_target = TRUE,
                        .attempts = request->arrivals,
                        .route_retries = MAX(request->route->attempts, 1) - 1,
                        .time_left_ms =
                            request->deadline - now - LEAST_REPEAT_MS};
    RetryDecision decision;

    pthread_mutex_lock(&gateway->lock);
    decision =
        Retry_Decide(find_budget(gateway, request->part->service_hash, now),
                     NULL, &input, now, &gateway->rng);
    pthread_mutex_unlock(&gateway->lock);
    if (decision.reason == RETRY_AGAIN) {
        Counter_Retry(reply->result);
    }
    return decision.reason;
}

/* Whether a failure of the next attempt could be repaired by another one. */
static gboolean
has_repeat(GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    gboolean available;

    if (!request->route->idempotent ||
        request->arrivals + 1 >= request->route->attempts) {
        return FALSE;
    }
    pthread_mutex_lock(&gateway->lock);
    available = RetryBudget_HasRetry(
        find_budget(gateway, request->part->service_hash, now), now);
    pthread_mutex_unlock(&gateway->lock);
    return available;
}

/* Of the next attempt, as a share of the request's worth. */
static double
failure_cost(const GatewayRequest *request)
{
    return request->has_repeat ? FAILURE_COST_REPEATABLE : FAILURE_COST_ONCE;
}

static gboolean
choose(GatewayRequest *request, RosterChoice *choice)
{
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();
    RosterQuery query = {.service = request->part->service_hash,
                         .time_left_ms = request->target_time - now,
                         .tried_count = request->avoided_count};
    RosterReport own;

    request->has_repeat = has_repeat(request);
    query.failure_cost = failure_cost(request);
    query.may_explore = request->has_repeat && request->arrivals == 0;
    memcpy(query.tried, request->avoided, sizeof(query.tried));
    Backend_GetReport(gateway->desc.backend, &own);
    Roster_Report(gateway->desc.roster, gateway->host, &own, now);
    return Roster_Choose(gateway->desc.roster, &query, now, choice);
}

/* Limits under which the owner takes the request at once. An owner that was
 * asked before showed its state, and it is still the best. */
static void
set_limits(GatewayRequest *request, const RosterChoice *choice)
{
    BackendCall *call = &request->call;
    ClockMs now = Clock_Now();
    double slack = choice->other_cost + RISK_MARGIN - choice->distance_cost;

    call->deadline = request->deadline;
    if (choice->explores ||
        is_in(request->asked, request->asked_count, choice->host)) {
        call->max_risk = 1;
        call->max_wait_ms = MAX(request->deadline - now, 0);
        return;
    }
    call->max_risk = CLAMP(slack / failure_cost(request), LEAST_RISK_LIMIT, 1);
    call->max_wait_ms = MAX((request->target_time - now) / 2, 0);
}

/* Takes the repeat that follows when the attempt in hand is given up. Not
 * while the daemon stops: a request that runs is then left to end. */
static gboolean
give_up_attempt(void *context)
{
    GatewayRequest *request = context;
    Gateway *gateway = request->gateway;
    ClockMs now = Clock_Now();

    if (HttpServer_IsLeaving(gateway->server)) {
        return FALSE;
    }
    pthread_mutex_lock(&gateway->lock);
    request->repeat_taken = RetryBudget_TakeRetry(
        find_budget(gateway, request->part->service_hash, now), now);
    pthread_mutex_unlock(&gateway->lock);
    return request->repeat_taken;
}

/* Lets a first attempt be given up early enough for a second one to be of
 * use. */
static void
set_patience(GatewayRequest *request, const RosterChoice *choice)
{
    BackendCall *call = &request->call;
    ClockMs share =
        (ClockMs)((double)(request->target_time - request->arrived) *
                  ATTEMPT_SHARE);

    call->patience_ms =
        MAX(share, ATTEMPT_SERVICE_TIMES * choice->service_ms) +
        choice->wait_ms;
    call->give_up =
        request->has_repeat && request->arrivals == 0 ? give_up_attempt : NULL;
    call->give_up_context = request;
}

static void
call_owner(GatewayRequest *request, const RosterChoice *choice,
           BackendReply *reply)
{
    const BackendCall *call = &request->call;
    ClockMs now = Clock_Now();
    HttpHeaders headers = {0};
    HttpPatience patience = {.until = now + call->patience_ms,
                             .give_up = call->give_up,
                             .context = request};
    HttpCall http = {.address = choice->entry.peer,
                     .method = call->method,
                     .target = call->target,
                     .host = call->host,
                     .headers = &headers,
                     .body = call->body,
                     .body_bytes = call->body_bytes,
                     .deadline = call->deadline + RETURN_MS,
                     .connect_ms = choice->tier == ROSTER_OTHER_REGION
                                       ? CONNECT_FAR_MS
                                       : CONNECT_NEAR_MS,
                     .max_idle_ms = call->idempotent ? 0 : FRESH_IDLE_MS,
                     .patience = call->give_up ? &patience : NULL,
                     .cancel = call->cancel};
    gboolean sent;

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
            /* Another program has the address; it got the request, but no
             * backend server can have. */
            HttpAnswer_Clear(&reply->answer);
            reply->result = RESULT_CONNECT_FAILED;
            reply->run = RUN_NO;
            sent = FALSE;
        }
        return;
    }
    reply->run = sent ? RUN_UNKNOWN : RUN_NO;
    reply->arrived = sent;
}

/* Whether the reply shows that the host is not what the roster says, or is out
 * of reach. */
static gboolean
is_out_of_reach(const GatewayRequest *request, const BackendReply *reply,
                ClockMs now)
{
    if (reply->result == RESULT_BACKEND_SERVER_OTHER) {
        return !reply->arrived;
    }
    return reply->report.slots == 0 && reply->result != RESULT_CANCELLED &&
           (reply->result != RESULT_DEADLINE_EXPIRED ||
            now < request->deadline);
}

/* Learns from the reply for the choices to come. */
static void
note_reply(GatewayRequest *request, const RosterChoice *choice,
           const BackendReply *reply)
{
    Roster *roster = request->gateway->desc.roster;
    ClockMs now = Clock_Now();

    add_to(request->asked, &request->asked_count, choice->host);
    if (is_out_of_reach(request, reply, now)) {
        Roster_NoteUnreachable(roster, choice->host, now);
    }
    else if (reply->report.slots > 0) {
        Roster_Report(roster, choice->host, &reply->report, now);
    }
    switch (reply->result) {
    case RESULT_BACKEND_SERVER_EJECTED:
    case RESULT_BACKEND_SERVER_BUSY:
        /* May still turn out to be the best one. */
        break;
    default:
        add_to(request->avoided, &request->avoided_count, choice->host);
        break;
    }
}

static void
attempt_once(GatewayRequest *request, const RosterChoice *choice,
             BackendReply *reply)
{
    *reply = (BackendReply){.run = RUN_NO};
    request->call.is_repeat = request->arrivals > 0;
    set_limits(request, choice);
    set_patience(request, choice);
    if (choice->tier == ROSTER_SAME_HOST) {
        Backend_Run(request->gateway->desc.backend, &request->call, reply);
    }
    else {
        call_owner(request, choice, reply);
    }
    if (choice->tier == ROSTER_OTHER_REGION) {
        Counter_Add(COUNTER_ROUTE_CROSS_REGION, 1);
    }
    request->arrivals += reply->arrived ? 1 : 0;
    note_reply(request, choice, reply);
    Log_Append(request->trace, sizeof(request->trace),
               " [%s tier=%d cost=%.2f age_ms=%" PRId64
               " max_risk=%.2f risk=%.2f ms=%" PRId64 " %s run=%s]",
               choice->entry.host, (int)choice->tier, choice->cost,
               choice->age_ms == CLOCK_NEVER ? -1 : choice->age_ms,
               request->call.max_risk, reply->report.risk,
               reply->queue_ms + reply->server_ms, Result_Name(reply->result),
               Result_RunName(reply->run));
}

/* A stopping owner handed back a request that can run elsewhere. Stops are
 * few, so such a repeat is not held back by the budget. */
static gboolean
is_handed_back(const GatewayRequest *request, const BackendReply *reply)
{
    return reply->result == RESULT_SHUTTING_DOWN &&
           request->route->idempotent &&
           request->arrivals < request->route->attempts;
}

/* Whether the reply ends the request. */
static gboolean
is_final(GatewayRequest *request, const BackendReply *reply)
{
    RetryReason reason;

    if (reply->result == RESULT_OK || reply->result == RESULT_CANCELLED ||
        Clock_Now() >= request->deadline) {
        return TRUE;
    }
    if (!reply->arrived) {
        return FALSE;
    }
    if (request->repeat_taken || is_handed_back(request, reply)) {
        request->repeat_taken = FALSE;
        Counter_Retry(reply->result);
        return FALSE;
    }
    reason = may_repeat(request, reply);
    if (reason != RETRY_AGAIN) {
        Log_Append(request->trace, sizeof(request->trace), " final=%s",
                   Retry_ReasonName(reason));
    }
    return reason != RETRY_AGAIN;
}

void
_Gateway_Attempt(GatewayRequest *request, BackendReply *reply)
{
    HttpAnswer failure = {0}; /* last failure that a backend server gave */
    RosterChoice choice;
    gboolean maybe_run = FALSE;

    *reply = (BackendReply){.result = RESULT_NO_BACKEND_SERVER, .run = RUN_NO};
    count_request(request);
    for (int round = 0; round < MOST_ROUNDS; round++) {
        if (Clock_Now() >= request->deadline) {
            reply->result = RESULT_DEADLINE_EXPIRED;
            break;
        }
        if (!choose(request, &choice)) {
            break;
        }
        HttpAnswer_Clear(&reply->answer);
        attempt_once(request, &choice, reply);
        maybe_run = maybe_run || reply->run != RUN_NO;
        if (is_final(request, reply)) {
            break;
        }
        if (reply->result == RESULT_BACKEND_SERVER_ERROR) {
            HttpAnswer_Clear(&failure);
            HttpAnswer_Move(&failure, &reply->answer);
        }
    }
    if (reply->result != RESULT_OK && reply->answer.status == 0 &&
        failure.status != 0) {
        HttpAnswer_Move(&reply->answer, &failure);
        reply->result = RESULT_BACKEND_SERVER_ERROR;
    }
    HttpAnswer_Clear(&failure);
    if (maybe_run && reply->run == RUN_NO) {
        reply->run = RUN_UNKNOWN;
    }
}
