#include "replay/replay_private.h"
#include "roster/exploration.h"

/* Time after which a sender notices that a host does not accept. */
#define CONNECT_MS 250


/* Sends the request back to its sender with the owner's report. */
static void
answer(Replay *replay, ReplayRequest *request, Result result, ClockMs now)
{
    ReplayServer *server = request->server;
    gboolean is_far = request->sender->region != server->region;

    request->result = result;
    request->state = REPLAY_TO_SENDER;
    request->due = now + (is_far ? replay->desc.transit_ms / 2 : 0);
    request->report = _Replay_ReportOf(replay, server, now);
}

RosterReport
_Replay_ReportOf(const Replay *replay, const ReplayServer *server, ClockMs now)
{
    AdmissionLoad load = Admission_Load(server->admission);
    RetryRates rates = RetryRates_At(&server->rates, now);

    return (RosterReport){
        .risk = GrayFilter_Risk(&server->filter, now),
        .slots = load.slots,
        .in_flight = load.running,
        .waiting =
            replay->desc.plain_queue ? server->waiting->len : load.waiting,
        .service_ms = load.service_ms,
        .idle_ms = load.running > 0 ? 0 : now - server->last_sent,
        .per_s = rates.per_s,
        .retries_per_s = rates.retries_per_s,
        .cold_wait_ms = _Replay_ColdWait(server, now)};
}

void
_Replay_Arrive(Replay *replay, ReplayRequest *request, ClockMs now)
{
    ReplayServer *server = request->server;

    if (_Replay_FaultAt(replay, server, REPLAY_GONE, now) > 0) {
        answer(replay, request, RESULT_CONNECT_FAILED, now);
        request->due = now + CONNECT_MS;
        return;
    }
    if (GrayFilter_FailShare(&server->filter,
                             GrayFilter_Risk(&server->filter, now)) >
            request->limits.max_fail_share &&
        !Exploration_IsAllowed(request->explore_idle_ms,
                               now - server->last_sent,
                               _Replay_Stream(replay, request)->idempotent)) {
        answer(replay, request, RESULT_BACKEND_SERVER_EJECTED, now);
        return;
    }
    request->retry = request->attempts > 0  ? RETRY_KIND_RETRY
                     : request->seems_retry ? RETRY_KIND_CALL
                                            : RETRY_KIND_FIRST;
    if (request->retry != RETRY_KIND_FIRST && request->is_calm) {
        request->retry = RETRY_KIND_CALM;
    }
    request->is_gated = !_Replay_PassesGate(replay, request, now);
    if (request->is_gated ||
        !RetryLimit_Reserve(&server->retry_limit, request->retry, now)) {
        request->is_gated =
            request->is_gated || Admission_HasRoom(server->admission);
        answer(replay, request, RESULT_BACKEND_SERVER_BUSY, now);
        return;
    }
    _Replay_FollowCold(replay, server, now);
    if (!replay->desc.plain_queue &&
        !Admission_Arrive(server->admission, &request->ticket,
                          request->limits.max_wait_ms, now)) {
        RetryLimit_Return(&server->retry_limit, request->retry);
        answer(replay, request, RESULT_BACKEND_SERVER_BUSY, now);
        return;
    }
    request->state = REPLAY_WAITING;
    g_ptr_array_add(server->waiting, request);
}

static void
release(Replay *replay, ReplayRequest *request, ClockMs now)
{
    ReplayServer *server = request->server;

    server->running--;
    server->running_retries -= request->retry != RETRY_KIND_FIRST;
    if (!replay->desc.plain_queue) {
        Admission_Release(server->admission, &request->ticket, now);
    }
}

static void
start(Replay *replay, ReplayRequest *request, ClockMs now)
{
    const ReplayStream *stream = _Replay_Stream(replay, request);
    ReplayServer *server = request->server;
    double slow = _Replay_FaultAt(replay, server, REPLAY_SLOW, now);
    gboolean is_retry = request->retry != RETRY_KIND_FIRST;
    gboolean was_retry = request->is_retry || request->attempts > 0;

    server->running++;
    server->running_retries += is_retry;
    server->last_sent = now;
    _Replay_CountCold(server, now);
    RetryRates_Add(&server->rates, is_retry, now);
    RetryLimit_Send(&server->retry_limit, request->retry, now);
    if (was_retry) {
        _Replay_Bin(replay, server->service, now)->retries++;
    }
    _Replay_OutcomeOf(replay, request)->retries += request->attempts > 0;
    request->state = REPLAY_RUNNING;
    if (Rng_Unit(&replay->rng) <
        _Replay_FaultAt(replay, server, REPLAY_SHED, now)) {
        GrayFilter_Observe(&server->filter, TRUE, now);
        release(replay, request, now);
        answer(replay, request, RESULT_BACKEND_SERVER_SHED, now);
        return;
    }
    if (Rng_Unit(&replay->rng) <
        _Replay_FaultAt(replay, server, REPLAY_FAIL, now)) {
        GrayFilter_Observe(&server->filter, TRUE, now);
        release(replay, request, now);
        answer(replay, request, RESULT_BACKEND_SERVER_ERROR, now);
        return;
    }
    request->due = now + (ClockMs)((double)stream->service_ms * MAX(slow, 1) /
                                   server->speed);
    _Replay_StartCalls(replay, request, now);
}

void
_Replay_EndRun(Replay *replay, ReplayRequest *request, ClockMs now)
{
    ReplayServer *server = request->server;
    ClockMs took = now - request->ticket.started;

    _Replay_NoteRun(replay, request, now);
    if (!request->call_failed) {
        GrayFilter_Observe(&server->filter, FALSE, now);
        Admission_NoteService(server->admission, &request->ticket, took, now);
    }
    else {
        _Replay_OutcomeOf(replay, request)->vain_ms += took;
    }
    release(replay, request, now);
    answer(replay, request,
           request->call_failed ? RESULT_BACKEND_SERVER_ERROR : RESULT_OK,
           now);
}

void
_Replay_LeaveOwner(Replay *replay, ReplayRequest *request, ClockMs now)
{
    ReplayServer *server = request->server;

    if (request->state == REPLAY_RUNNING) {
        release(replay, request, now);
    }
    else if (request->state == REPLAY_WAITING) {
        g_ptr_array_remove(server->waiting, request);
        RetryLimit_Return(&server->retry_limit, request->retry);
        if (!replay->desc.plain_queue) {
            Admission_Withdraw(server->admission, &request->ticket);
        }
    }
}

/* The owner of the baseline: in the order of arrival. */
static void
advance_plain(Replay *replay, ReplayServer *server, ClockMs now)
{
    guint slots = replay->desc.services[server->service].slots;

    while (server->waiting->len > 0 && server->running < slots) {
        ReplayRequest *request = g_ptr_array_index(server->waiting, 0);

        g_ptr_array_remove_index(server->waiting, 0);
        request->ticket.started = now;
        start(replay, request, now);
    }
}

void
_Replay_AdvanceOwner(Replay *replay, ReplayServer *server, ClockMs now)
{
    guint place = 0;

    if (replay->desc.plain_queue) {
        advance_plain(replay, server, now);
        return;
    }
    _Replay_FollowCold(replay, server, now);
    (void)Admission_Advance(server->admission, now);
    while (place < server->waiting->len) {
        ReplayRequest *request = g_ptr_array_index(server->waiting, place);

        if (request->ticket.state == ADMISSION_WAITING) {
            place++;
            continue;
        }
        g_ptr_array_remove_index(server->waiting, place);
        if (request->ticket.state == ADMISSION_ADMITTED) {
            start(replay, request, now);
        }
        else {
            RetryLimit_Return(&server->retry_limit, request->retry);
            answer(replay, request, RESULT_BACKEND_SERVER_BUSY, now);
        }
    }
}
