#include "backend/backend_internal.h"

/* Mean deviations from the mean service time within which a run is expected to
 * end before this host stops. A run that is cut is sent to another owner if it
 * may be repeated; else it is lost, whether or not its sender stops, too
 * (BACKEND_LOST_RUN_DEVIATIONS). */
#define RUN_DEVIATIONS 3

/* The same before the sender's host stops. Less is asked for, because no other
 * owner could give the run more time. */
#define SENDER_REPEATABLE_DEVIATIONS 1
#define SENDER_DEVIATIONS 2

/* Longest run that is expected, by the mean and these deviations, the longest
 * one seen lately and those at work. Called with the lock held. */
ClockMs
_Backend_LongestRun(const Backend *backend, const AdmissionTicket *ticket,
                    double deviations, ClockMs now)
{
    const Admission *admission = backend->admission;
    ClockMs run_ms = MAX(Admission_LongRunMs(admission, ticket, deviations),
                         Admission_AtWorkRunMs(admission, ticket, now));

    return MAX(run_ms, Admission_LongestRunMs(admission, ticket));
}

/* Time in which the run is expected to end once it has a slot. CLOCK_NEVER for
 * one that may not be repeated, while too few runs are known. The longest run
 * does not count for others: if cut, they are sent to another owner. Called
 * with the lock held. */
static ClockMs
expect_run(const Backend *backend, const BackendCall *call,
           const AdmissionTicket *ticket, double deviations, ClockMs now)
{
    const Admission *admission = backend->admission;

    if (call->idempotent) {
        return MAX(Admission_LongRunMs(admission, ticket, deviations),
                   Admission_AtWorkRunMs(admission, ticket, now));
    }
    return Admission_KnowsRuns(admission, ticket)
               ? _Backend_LongestRun(backend, ticket, deviations, now)
               : CLOCK_NEVER;
}

/* The same with its wait for a slot. Called with the lock held. */
static ClockMs
expect_end(const Backend *backend, const BackendCall *call,
           const AdmissionTicket *ticket, double deviations, ClockMs now)
{
    ClockMs run_ms = expect_run(backend, call, ticket, deviations, now);

    return run_ms == CLOCK_NEVER
               ? CLOCK_NEVER
               : run_ms +
                     Admission_ExpectedWait(backend->admission, ticket, now);
}

/* Whether the sender's host stops before the run can be expected to end.
 * Called with the lock held. */
static gboolean
is_sender_leaving(const Backend *backend, const BackendCall *call,
                  const AdmissionTicket *ticket, ClockMs now)
{
    double deviations =
        call->idempotent ? SENDER_REPEATABLE_DEVIATIONS : SENDER_DEVIATIONS;

    return call->ends_by_stop && expect_end(backend, call, ticket, deviations,
                                            now) > call->deadline - now;
}

/* Whether this host stops before the run can be expected to end. If the sender
 * stops earlier, its limit counts. Late in the stop most senders are stopping,
 * too, and could not send a run that is cut to another owner: the time in
 * which the answer is due has to be left as well. Called with the lock held.
 */
static gboolean
is_stop_expected(const Backend *backend, const BackendCall *call,
                 const AdmissionTicket *ticket, ClockMs now)
{
    double deviations =
        call->idempotent ? RUN_DEVIATIONS : BACKEND_LOST_RUN_DEVIATIONS;
    ClockMs expected_ms = expect_end(backend, call, ticket, deviations, now);

    if (now > backend->stop.take_until) {
        expected_ms = MAX(expected_ms, call->target_time - now);
    }
    return !StopPlan_TakesRun(&backend->stop, call->deadline, expected_ms,
                              now);
}

/* Whether this host may cut the run although nobody could begin it anew: it
 * may not be repeated, or its sender stops, too. One of this host's own caller
 * is not sent elsewhere, since the host stops for the caller, too. Called with
 * the lock held. */
static gboolean
may_lose_run(const Backend *backend, const BackendCall *call, ClockMs now)
{
    const StopPlan *stop = &backend->stop;
    ClockMs cut = call->idempotent ? stop->abandon : stop->end;
    ClockMs allowance_ms =
        call->run_allowance_ms > 0 ? call->run_allowance_ms : CLOCK_NEVER;

    return !call->is_local && (!call->idempotent || call->ends_by_stop) &&
           !StopPlan_LeavesTime(cut, call->deadline, allowance_ms, now);
}

/* Whether this host or its backend server stops too early for the run. Called
 * with the lock held. */
static gboolean
is_leaving(const Backend *backend, const BackendCall *call,
           const AdmissionTicket *ticket, ClockMs now)
{
    return backend->closed || backend->withdrawn ||
           backend->state != BACKEND_READY ||
           may_lose_run(backend, call, now) ||
           is_stop_expected(backend, call, ticket, now);
}

/* Result for a request that a stop ends too early; OK if none does. Called
 * with the lock held. */
Result
_Backend_CheckStop(const Backend *backend, const BackendCall *call,
                   const AdmissionTicket *ticket, ClockMs now)
{
    if (is_sender_leaving(backend, call, ticket, now)) {
        return RESULT_SHUTTING_DOWN;
    }
    return is_leaving(backend, call, ticket, now)
               ? RESULT_BACKEND_SERVER_LEAVING
               : RESULT_OK;
}
