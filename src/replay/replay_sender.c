#include <math.h>
#include <string.h>

#include "gateway/full_service.h"
#include "gateway/return_time.h"
#include "replay/replay_private.h"
#include "roster/exploration.h"

/* Return time of the baseline. */
#define PLAIN_RETURN_MS 300

#define MS_PER_WINDOW 10000

/* As in gateway_attempt.c. */
#define MAX_LIMIT_REFUSALS 2

static gboolean
is_listed(const uint64_t *hosts, guint count, uint64_t host)
{
    for (guint i = 0; i < count; i++) {
        if (hosts[i] == host) {
            return TRUE;
        }
    }
    return FALSE;
}

static RetryBudget *
budget_of(const Replay *replay, const ReplayRequest *request)
{
    return &request->sender->budgets[_Replay_Stream(replay, request)->service];
}

void
_Replay_EndAttempt(ReplayRequest *request)
{
    if (request->is_begun) {
        request->is_begun = FALSE;
        Roster_End(request->sender->roster, request->server->host);
    }
}

/* Ends the request, and tells the request that called it. */
static void
finish(ReplayRequest *request, gboolean served)
{
    _Replay_EndAttempt(request);
    request->state = REPLAY_DONE;
    if (request->parent != NULL) {
        request->parent->pending--;
        request->parent->call_failed = request->parent->call_failed || !served;
    }
}

void
_Replay_Expire(Replay *replay, ReplayRequest *request, ClockMs now)
{
    _Replay_OutcomeOf(replay, request)->expired++;
    _Replay_EndCall(replay, request, TRUE, now);
    finish(request, FALSE);
}

/* Resets what belongs to one try of the caller. */
static void
begin_try(ReplayRequest *request, ClockMs due)
{
    request->state = REPLAY_AT_SENDER;
    request->due = due;
    request->arrived = due;
    request->attempts = 0;
    request->rounds = 0;
    request->asked_count = 0;
    request->full_offers = 0;
    request->backlog_ms = 0;
    request->query.excluded_count = 0;
    request->is_gated = FALSE;
    request->limit_refusals = 0;
    request->may_have_run = FALSE;
}

static ClockMs
return_time(Replay *replay, const ReplayRequest *request, ClockMs now)
{
    ReturnInput input = {.result = RESULT_BACKEND_SERVER_BUSY,
                         .backlog_ms = request->backlog_ms,
                         .left_ms = request->deadline - now,
                         .priority =
                             _Replay_Stream(replay, request)->priority};

    if (replay->desc.plain_return) {
        return PLAIN_RETURN_MS;
    }
    return ReturnTime_Compute(&input, Rng_Unit(&replay->rng));
}

static void
refuse(Replay *replay, ReplayRequest *request, ClockMs now)
{
    ReplayOutcome *outcome = _Replay_OutcomeOf(replay, request);
    ClockMs time = RETURN_TIME_NONE;

    outcome->longest_ms = MAX(outcome->longest_ms, now - request->arrived);
    if (request->parent == NULL && !request->has_returned &&
        !replay->desc.no_return) {
        time = return_time(replay, request, now);
    }
    if (time == RETURN_TIME_NONE || now + time >= request->deadline) {
        outcome->refused++;
        _Replay_EndCall(replay, request, request->backlog_ms > 0, now);
        finish(request, FALSE);
        return;
    }
    outcome->returned++;
    request->has_returned = TRUE;
    begin_try(request, now + time);
}

static void
update_budget(Replay *replay, ReplayRequest *request, ClockMs now)
{
    guint service = _Replay_Stream(replay, request)->service;
    RetryBudget *budget = budget_of(replay, request);
    double slack = replay->desc.retry_slack * 1000 / MS_PER_WINDOW;
    RetryRates rates;
    double coverage = Roster_RetryRates(
        request->sender->roster,
        Rng_HashString(replay->desc.services[service].name), now, &rates);

    if (!replay->desc.plain_budget) {
        RetryBudget_SetRefill(budget,
                              RetryRates_Refill(&rates,
                                                replay->desc.retry_ratio,
                                                coverage * slack),
                              now);
    }
    request->is_calm = rates.per_s > 0 &&
                       RetryRates_Usage(&rates, replay->desc.retry_ratio,
                                        coverage * slack) < RETRY_CALM_USAGE;
    if (request->parent != NULL) {
        _Replay_NoteCalled(replay, request, &rates, coverage * slack, now);
    }
    RetryBudget_Request(budget, now);
    if (request->seems_retry) {
        RetryBudget_Debit(budget, 1, now);
    }
    _Replay_Bin(replay, service, now)->firsts++;
}

static void
send_to(Replay *replay, ReplayRequest *request, const RosterChoice *choice,
        ClockMs now)
{
    const ReplayStream *stream = _Replay_Stream(replay, request);
    ClockMs target = request->arrived + stream->target_ms;
    PlacementAsk ask = {.other_cost = choice->other_cost,
                        .asked_before =
                            is_listed(request->asked_hosts,
                                      request->asked_count, choice->host),
                        .risky_owners = request->risky_owners,
                        .deadline_ms = request->deadline - now};
    gboolean is_far;

    request->server = g_hash_table_lookup(replay->by_host, &choice->host);
    is_far = request->server->region != request->sender->region;
    _Replay_OutcomeOf(replay, request)->far += is_far;
    request->limits = Placement_Limits(&request->query.request, &ask);
    request->limits.max_wait_ms = FullService_WaitLimit(
        choice, request->limits.max_wait_ms, ask.deadline_ms);
    request->explore_idle_ms = choice->explore_idle_ms;
    request->has_explored =
        request->has_explored || choice->explore_idle_ms > 0;
    _Replay_OutcomeOf(replay, request)->asks++;
    Roster_Begin(request->sender->roster, choice->host);
    request->is_begun = TRUE;
    request->ticket =
        (AdmissionTicket){.priority = _Replay_Priority(replay, request),
                          .target = MIN(target, request->deadline),
                          .deadline = request->deadline};
    request->state = REPLAY_TO_OWNER;
    request->due = now + (is_far ? replay->desc.transit_ms / 2 : 0);
    if (!ask.asked_before && request->asked_count < ROSTER_MAX_EXCLUDED) {
        request->asked_hosts[request->asked_count++] = choice->host;
    }
}

void
_Replay_Choose(Replay *replay, ReplayRequest *request, ClockMs now)
{
    const ReplayStream *stream = _Replay_Stream(replay, request);
    RosterChoice choice;

    if (now >= request->deadline) {
        _Replay_Expire(replay, request, now);
        return;
    }
    if (request->rounds == 0) {
        update_budget(replay, request, now);
    }
    request->can_retry = stream->idempotent &&
                         request->attempts + 1 < replay->desc.attempts &&
                         RetryBudget_HasRetry(budget_of(replay, request), now);
    request->query.service =
        Rng_HashString(replay->desc.services[stream->service].name);
    request->query.may_explore = Exploration_MayBegin(
        request->can_retry, request->attempts, request->has_explored);
    request->query.request = (PlacementRequest){
        .failure_cost = Placement_FailureCost(request->can_retry),
        .relative_size = stream->relative_size > 0 ? stream->relative_size : 1,
        .time_left_ms = request->arrived + stream->target_ms - now};
    if (request->rounds++ >= replay->desc.rounds ||
        !Roster_Choose(request->sender->roster, &request->query, now,
                       &choice) ||
        !FullService_Decide(&choice, &request->full_offers)) {
        refuse(replay, request, now);
        return;
    }
    send_to(replay, request, &choice, now);
}

static void
note_report(Replay *replay, ReplayRequest *request, ClockMs now)
{
    Roster *roster = request->sender->roster;
    ReplayServer *server = request->server;

    if (request->result == RESULT_CONNECT_FAILED) {
        Roster_NoteUnreachable(roster, server->host, now);
        return;
    }
    Roster_Report(roster, server->host, &request->report, now);
    Roster_NoteTransit(roster, server->host,
                       server->region != request->sender->region
                           ? replay->desc.transit_ms
                           : 0);
}

static void
note_backlog(ReplayRequest *request)
{
    ClockMs wait = ReturnTime_Backlog(&request->report);

    if (request->backlog_ms == 0 || wait < request->backlog_ms) {
        request->backlog_ms = wait;
    }
}

/* Whether the owner's refusal stands for those of the others, as in
 * gateway_attempt.c. */
static gboolean
is_refused_by_all(ReplayRequest *request)
{
    if (!request->is_gated) {
        return FALSE;
    }
    return request->retry == RETRY_KIND_FIRST ||
           ++request->limit_refusals >= MAX_LIMIT_REFUSALS;
}

/* Ends the try of the caller after the last attempt. */
static void
end_attempts(Replay *replay, ReplayRequest *request, ClockMs now)
{
    if (request->may_have_run) {
        _Replay_OutcomeOf(replay, request)->failed++;
        finish(request, FALSE);
    }
    else {
        refuse(replay, request, now);
    }
}

/* After an attempt that reached a backend server and was not served. */
static void
end_attempt(Replay *replay, ReplayRequest *request, ClockMs now)
{
    const ReplayStream *stream = _Replay_Stream(replay, request);
    gboolean was_shed = request->result == RESULT_BACKEND_SERVER_SHED;
    RetryInput input;

    request->attempts++;
    request->may_have_run = request->may_have_run || !was_shed;
    input = (RetryInput){.result = request->result,
                         .run = was_shed ? RUN_NO : RUN_YES,
                         .idempotent = stream->idempotent,
                         .issuance = !stream->idempotent,
                         .other_target = TRUE,
                         .attempts = request->attempts,
                         .route_retries = replay->desc.attempts - 1,
                         .time_left_ms = request->deadline - now};
    if (Retry_Decide(budget_of(replay, request), NULL, &input, now,
                     &replay->rng)
            .reason == RETRY_AGAIN) {
        _Replay_Choose(replay, request, now);
    }
    else {
        end_attempts(replay, request, now);
    }
}

void
_Replay_TakeResult(Replay *replay, ReplayRequest *request, ClockMs now)
{
    const ReplayStream *stream = _Replay_Stream(replay, request);
    ReplayOutcome *outcome = _Replay_OutcomeOf(replay, request);
    ClockMs took = now - request->asked;

    _Replay_EndAttempt(request);
    note_report(replay, request, now);
    switch (request->result) {
    case RESULT_OK:
        outcome->in_time += took <= stream->target_ms;
        outcome->late += took > stream->target_ms && now <= request->deadline;
        outcome->expired += now > request->deadline;
        if (now <= request->deadline) {
            outcome->served_ms += took;
        }
        _Replay_EndCall(replay, request, now > request->deadline, now);
        finish(request, now <= request->deadline);
        return;
    case RESULT_BACKEND_SERVER_BUSY:
        outcome->busy++;
        note_backlog(request);
        if (is_refused_by_all(request)) {
            end_attempts(replay, request, now);
            return;
        }
        break;
    case RESULT_BACKEND_SERVER_EJECTED:
        outcome->risky++;
        request->risky_owners++;
        break;
    default:
        if (request->query.excluded_count < ROSTER_MAX_EXCLUDED) {
            request->query.excluded[request->query.excluded_count++] =
                request->server->host;
        }
        if (request->result != RESULT_CONNECT_FAILED) {
            end_attempt(replay, request, now);
            return;
        }
        break;
    }
    _Replay_Choose(replay, request, now);
}
