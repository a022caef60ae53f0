/* Calls that running requests make, and what their senders learn from them. */
#include "replay/replay_private.h"

#define MS_PER_WINDOW 10000

/* The first call of a request, and those that follow it or go with it. */
static void
add_call(Replay *replay, ReplayRequest *parent, ClockMs now)
{
    guint host = parent->server->index % replay->desc.senders;

    parent->calls_left--;
    parent->pending++;
    _Replay_AddRequest(replay, _Replay_Stream(replay, parent)->called,
                       &replay->senders[host], parent, now);
}

void
_Replay_StartCalls(Replay *replay, ReplayRequest *parent, ClockMs now)
{
    const ReplayStream *stream = _Replay_Stream(replay, parent);

    parent->pending = 0;
    parent->call_failed = FALSE;
    parent->calls_left = stream->calls;
    if (stream->call_share > 0 && stream->calls > 0 &&
        Rng_Unit(&replay->rng) >= stream->call_share) {
        parent->calls_left = 0;
    }
    while (parent->calls_left > 0 &&
           (parent->pending == 0 || !stream->one_by_one)) {
        add_call(replay, parent, now);
    }
}

void
_Replay_NextCall(Replay *replay, ReplayRequest *parent, ClockMs now)
{
    if (parent->pending == 0 && parent->calls_left > 0 &&
        !parent->call_failed) {
        add_call(replay, parent, now);
    }
}

int
_Replay_Priority(const Replay *replay, const ReplayRequest *request)
{
    const ReplayRequest *parent = request->parent;

    if (parent == NULL) {
        return _Replay_Stream(replay, request)->priority;
    }
    return replay->desc.by_value
               ? Admission_CallPriority(
                     _Replay_Stream(replay, parent)->priority)
               : ADMISSION_PRIORITY_NESTED;
}

void
_Replay_NoteCalled(Replay *replay, const ReplayRequest *call,
                   const RetryRates *rates, double slack_per_s, ClockMs now)
{
    guint service = _Replay_Stream(replay, call)->service;
    RosterLoad load;

    Roster_ServiceLoad(call->sender->roster,
                       Rng_HashString(replay->desc.services[service].name),
                       now, &load);
    ParentGate_NoteState(
        call->parent->server->gate, call->stream,
        &(CalledState){.reports = load.reports,
                       .slots = load.slots,
                       .in_flight = load.in_flight,
                       .waiting = load.waiting,
                       .limit_usage = RetryRates_Usage(
                           rates, replay->desc.retry_ratio, slack_per_s)},
        now);
}

void
_Replay_EndCall(Replay *replay, const ReplayRequest *call, gboolean is_refused,
                ClockMs now)
{
    const ReplayRequest *parent = call->parent;

    if (parent != NULL && is_refused) {
        ParentGate_NoteRefusal(parent->server->gate, call->stream,
                               _Replay_Stream(replay, parent)->priority, now);
    }
}

void
_Replay_NoteRun(Replay *replay, const ReplayRequest *request, ClockMs now)
{
    const ReplayStream *stream = _Replay_Stream(replay, request);

    if (stream->calls > 0) {
        ParentGate_NoteRun(request->server->gate, stream->called,
                           stream->priority, now);
    }
}

gboolean
_Replay_PassesGate(Replay *replay, const ReplayRequest *request, ClockMs now)
{
    const ReplayStream *stream = _Replay_Stream(replay, request);
    ParentGate *gate = request->server->gate;
    double unit;

    if (stream->calls == 0) {
        return TRUE;
    }
    unit = Rng_Unit(&replay->estimates);
    if (request->retry != RETRY_KIND_FIRST) {
        return replay->desc.no_limit ||
               ParentGate_AdmitsRetry(gate, stream->called, unit, now);
    }
    return !replay->desc.by_value || replay->desc.no_gate ||
           request->parent != NULL ||
           ParentGate_Admits(gate, stream->called, stream->priority, unit,
                             now);
}
