#include "backend/backend.h"

#include <string.h>
#include <time.h>

#include "admission/admission.h"
#include "backend/backend_internal.h"
#include "base/condition.h"
#include "base/counter.h"
#include "base/log.h"
#include "roster/exploration.h"

/* Interval at which a waiting request checks for cancellation by its caller.
 */
#define CANCEL_CHECK_MS 50

/* A request is stalled if it has been running for more than this many mean
 * service times and for more than MIN_STALL_MS; the backend server probably
 * hangs. */
#define STALL_FACTOR 4
#define MIN_STALL_MS 1500

/* Minimum risk reported while a running request is stalled. */
#define STALL_RISK 0.8

/* A failure of the backend server within this time after one of its own calls
 * failed is attributed to that call. */
#define CALL_FAILURE_WINDOW_MS 200

Backend *
Backend_Create(const Backend_desc *desc)
{
    Backend *backend = g_new0(Backend, 1);

    backend->desc = *desc;
    pthread_mutex_init(&backend->lock, NULL);
    Condition_Init(&backend->wake);
    GrayFilter_Init(&backend->filter, &desc->gray, Clock_Now());
    backend->last_sent = Clock_Now();
    backend->stop = StopPlan_None();
    backend->admission = Admission_Create();
    _Backend_InitCold(backend, Clock_Now());
    backend->origin = CallOrigin_Create();
    backend->gate = ParentGate_Create();
    Rng_Seed(&backend->rng, Rng_ProcessSeed());
    return backend;
}

void
Backend_Destroy(Backend *backend)
{
    if (backend == NULL) {
        return;
    }
    Admission_Destroy(backend->admission);
    CallOrigin_Destroy(backend->origin);
    ParentGate_Destroy(backend->gate);
    pthread_cond_destroy(&backend->wake);
    pthread_mutex_destroy(&backend->lock);
    g_free(backend);
}

const char *
Backend_StateName(BackendState state)
{
    static const char *const names[] = {"unknown", "ready", "draining",
                                        "gone"};

    return (size_t)state < G_N_ELEMENTS(names) ? names[state] : "?";
}

void
Backend_Leave(Backend *backend, const StopPlan *plan)
{
    pthread_mutex_lock(&backend->lock);
    backend->stop = *plan;
    pthread_cond_broadcast(&backend->wake);
    pthread_mutex_unlock(&backend->lock);
}

void
Backend_Close(Backend *backend)
{
    pthread_mutex_lock(&backend->lock);
    backend->closed = TRUE;
    pthread_cond_broadcast(&backend->wake);
    pthread_mutex_unlock(&backend->lock);
}

static ClockMs
stall_limit(const Backend *backend)
{
    return MAX(MIN_STALL_MS,
               STALL_FACTOR * Admission_Load(backend->admission).service_ms);
}

/* Time since `from` in which this process could see an answer. Called with the
 * lock held. */
static ClockMs
seen_ms(const Backend *backend, ClockMs from, ClockMs now)
{
    return now - from - PauseLog_Between(&backend->pauses, from, now);
}

/* Called with the lock held. */
static double
current_risk(const Backend *backend, ClockMs now)
{
    double risk = GrayFilter_Risk(&backend->filter, now);
    ClockMs oldest = Admission_Load(backend->admission).oldest;

    return oldest != CLOCK_NEVER &&
                   seen_ms(backend, oldest, now) > stall_limit(backend)
               ? MAX(risk, STALL_RISK)
               : risk;
}

/* Called with the lock held. */
static void
fill_report(Backend *backend, ClockMs now, RosterReport *report)
{
    AdmissionLoad load;
    RetryRates rates = RetryRates_At(&backend->rates, now);

    _Backend_SetPace(backend, now);
    load = Admission_Load(backend->admission);
    *report = (RosterReport){
        .risk = current_risk(backend, now),
        .slots = load.slots,
        .in_flight = load.running,
        .waiting = load.waiting,
        .service_ms = load.service_ms,
        .idle_ms = load.running > 0 ? 0 : now - backend->last_sent,
        .leaving = backend->closed || backend->withdrawn ||
                   backend->state != BACKEND_READY,
        .stop_ms = backend->stop.begin == CLOCK_NEVER
                       ? 0
                       : MAX(backend->stop.end - now, 1),
        .per_s = rates.per_s,
        .retries_per_s = rates.retries_per_s,
        .cold_wait_ms = _Backend_ColdWait(backend, now),
    };
}

/* Whether the request may queue for a slot. Called with the lock held. */
static Result
check_call(const Backend *backend, const BackendCall *call,
           const AdmissionTicket *ticket, ClockMs now)
{
    Result result;

    if (strcmp(call->service, backend->desc.service) != 0) {
        return RESULT_BACKEND_SERVER_OTHER;
    }
    result = _Backend_CheckStop(backend, call, ticket, now);
    if (result != RESULT_OK) {
        return result;
    }
    if (current_risk(backend, now) > call->max_risk &&
        !Exploration_IsAllowed(call->explore_idle_ms, now - backend->last_sent,
                               call->idempotent)) {
        return RESULT_BACKEND_SERVER_EJECTED;
    }
    return RESULT_OK;
}

static gboolean
may_run(const BackendCall *call)
{
    return call->may_run == NULL || call->may_run(call->may_run_context);
}

/* Reason for which a waiting request ends; OK while it waits on. Called with
 * the lock held. */
static Result
check_wait(const Backend *backend, const BackendCall *call,
           const AdmissionTicket *ticket, ClockMs now)
{
    Result result;

    if (call->cancel != NULL && HttpCancel_IsTriggered(call->cancel)) {
        return RESULT_CANCELLED;
    }
    result = _Backend_CheckStop(backend, call, ticket, now);
    if (result != RESULT_OK) {
        return result;
    }
    if (now >= call->deadline) {
        return RESULT_DEADLINE_EXPIRED;
    }
    if (ticket->state == ADMISSION_HOPELESS ||
        _Backend_WaitsTooLong(backend, call, ticket, now)) {
        return RESULT_BACKEND_SERVER_BUSY;
    }
    return may_run(call) ? RESULT_OK : RESULT_BACKEND_SERVER_LEAVING;
}

/* Waits for a slot and takes it. On failure the request has not been sent.
 * Called with the lock held. */
static Result
wait_for_slot(Backend *backend, const BackendCall *call,
              AdmissionTicket *ticket)
{
    ClockMs now = Clock_Now();
    Result result;

    _Backend_SetPace(backend, now);
    result = check_call(backend, call, ticket, now);
    if (result != RESULT_OK) {
        return result;
    }
    if (!Admission_Arrive(backend->admission, ticket, call->max_wait_ms,
                          now)) {
        return RESULT_BACKEND_SERVER_BUSY;
    }
    _Backend_Advance(backend, now);
    while (ticket->state != ADMISSION_ADMITTED) {
        now = Clock_Now();
        result = check_wait(backend, call, ticket, now);
        if (result != RESULT_OK) {
            Admission_Withdraw(backend->admission, ticket);
            return result;
        }
        (void)Condition_Wait(
            &backend->wake, &backend->lock,
            _Backend_NextTurn(
                backend, MIN(call->deadline - now, CANCEL_CHECK_MS), now));
        _Backend_Advance(backend, Clock_Now());
    }
    if (!may_run(call)) {
        Admission_Release(backend->admission, ticket, Clock_Now());
        _Backend_Advance(backend, Clock_Now());
        return RESULT_BACKEND_SERVER_LEAVING;
    }
    return RESULT_OK;
}

/* Waits for a slot like wait_for_slot(), if the request's calls are expected
 * to succeed and the limit of retries allows it. Called with the lock held. */
static Result
take_slot(Backend *backend, const BackendCall *call, AdmissionTicket *ticket,
          BackendReply *reply)
{
    Result result = _Backend_CheckCalls(backend, call, reply);

    if (result != RESULT_OK) {
        return result;
    }
    if (!RetryLimit_Reserve(&backend->retry_limit, call->retry, Clock_Now())) {
        Counter_Add(COUNTER_OWNER_RETRIES_REFUSED, 1);
        /* A full owner is left for another in any case, which may have retries
         * left; only where there is room is the limit the sole reason. */
        reply->return_ms =
            Admission_HasRoom(backend->admission) ? BACKEND_RETURN_MS : 0;
        return RESULT_BACKEND_SERVER_BUSY;
    }
    result = wait_for_slot(backend, call, ticket);
    if (result != RESULT_OK) {
        RetryLimit_Return(&backend->retry_limit, call->retry);
    }
    return result;
}

void
Backend_SetRetryLimit(Backend *backend, double ratio, double slack,
                      ClockMs window_ms)
{
    pthread_mutex_lock(&backend->lock);
    RetryLimit_Set(&backend->retry_limit, ratio, slack, window_ms,
                   Clock_Now());
    pthread_mutex_unlock(&backend->lock);
}

void
Backend_Tick(Backend *backend)
{
    pthread_mutex_lock(&backend->lock);
    PauseLog_Tick(&backend->pauses, Clock_Now());
    _Backend_NoteCold(backend, "time", Clock_Now());
    pthread_mutex_unlock(&backend->lock);
}

ClockMs
Backend_PausedMs(Backend *backend, ClockMs from)
{
    ClockMs paused;

    pthread_mutex_lock(&backend->lock);
    paused = PauseLog_Between(&backend->pauses, from, Clock_Now());
    pthread_mutex_unlock(&backend->lock);
    return paused;
}

void
Backend_NoteFailedCall(Backend *backend)
{
    pthread_mutex_lock(&backend->lock);
    backend->failed_calls++;
    backend->last_failed_call = Clock_Now();
    pthread_mutex_unlock(&backend->lock);
}

/* Whether to attribute a failure of the backend server to one of its failed
 * calls. Each failed call accounts for one failure only. Called with the lock
 * held. */
static gboolean
is_caused_by_failed_call(Backend *backend, ClockMs now)
{
    if (now - backend->last_failed_call > CALL_FAILURE_WINDOW_MS) {
        backend->failed_calls = 0;
    }
    if (backend->failed_calls == 0) {
        return FALSE;
    }
    backend->failed_calls--;
    return TRUE;
}

/* Updates the risk and the mean service time. Called with the lock held. */
static void
record_outcome(Backend *backend, const BackendCall *call,
               const AdmissionTicket *ticket, const BackendReply *reply,
               ClockMs now)
{
    ClockMs began = now - reply->server_ms;
    ClockMs seen = seen_ms(backend, began, now);

    switch (reply->result) {
    case RESULT_OK:
        GrayFilter_Observe(&backend->filter, FALSE, now);
        Admission_NoteService(backend->admission, ticket, seen, now);
        return;
    case RESULT_CANCELLED:
    case RESULT_DEADLINE_EXPIRED:
        Admission_NoteCut(backend->admission, ticket, seen);
        /* A short deadline or early cancellation indicates no failure. */
        if (seen < stall_limit(backend)) {
            return;
        }
        break;
    case RESULT_BACKEND_SERVER_ERROR:
        if (is_caused_by_failed_call(backend, now)) {
            return;
        }
        break;
    case RESULT_OVERLOADED:
        /* This daemon had no memory left for the answer. */
        return;
    case RESULT_BACKEND_SERVER_OTHER:
        /* Another instance uses the address: stop sending until it announces
         * itself. */
        if (backend->state == BACKEND_READY) {
            backend->state = BACKEND_STOPPED;
            Log_Event(LOG_BACKEND_SERVER_STATE,
                      "instance=%s old=ready new=gone reason=replaced "
                      "request=%s",
                      backend->announcement.instance, call->request_id);
        }
        return;
    default:
        if (seen < reply->server_ms) {
            /* Connections may have ended while nobody read from them. */
            return;
        }
        break;
    }
    GrayFilter_Observe(&backend->filter, TRUE, now);
}

/* Called with the lock held. */
static void
begin_run(Backend *backend, const BackendCall *call, ClockMs now)
{
    gboolean is_retry = call->retry != RETRY_KIND_FIRST;

    backend->last_sent = now;
    backend->running_retries += is_retry ? 1 : 0;
    RetryRates_Add(&backend->rates, is_retry, now);
    RetryLimit_Send(&backend->retry_limit, call->retry, now);
    CallOrigin_Begin(backend->origin, call->route, _Backend_Value(call),
                     is_retry, now);
}

/* Called with the lock held. */
static void
end_run(Backend *backend, const BackendCall *call, ClockMs now)
{
    gboolean is_retry = call->retry != RETRY_KIND_FIRST;

    backend->running_retries -= is_retry ? 1 : 0;
    _Backend_NoteRun(backend, call, now);
    CallOrigin_End(backend->origin, call->route, _Backend_Value(call),
                   is_retry, now);
}

void
Backend_Run(Backend *backend, const BackendCall *call, BackendReply *reply)
{
    ClockMs arrived = Clock_Now();
    BackendAnnouncement announcement;
    BackendExchange exchange = {.names = backend->desc.names,
                                .client = backend->desc.client};
    AdmissionTicket ticket = {.priority = call->priority,
                              .target = call->target_time,
                              .deadline = call->deadline};
    ClockMs now;

    *reply = (BackendReply){.run = RUN_NO};
    pthread_mutex_lock(&backend->lock);
    reply->result = take_slot(backend, call, &ticket, reply);
    now = Clock_Now();
    reply->queue_ms = now - arrived;
    if (reply->result != RESULT_OK) {
        if (reply->result == RESULT_BACKEND_SERVER_BUSY) {
            _Backend_CountBusy(backend, now);
        }
        fill_report(backend, now, &reply->report);
        pthread_mutex_unlock(&backend->lock);
        return;
    }
    reply->expected_ms = _Backend_LongestRun(backend, &ticket,
                                             BACKEND_LOST_RUN_DEVIATIONS, now);
    announcement = backend->announcement;
    begin_run(backend, call, now);
    pthread_mutex_unlock(&backend->lock);

    exchange.address = announcement.address;
    exchange.instance = announcement.instance;
    Counter_Add(COUNTER_OWNER_SENT, 1);
    _Backend_Exchange(&exchange, call, reply);

    pthread_mutex_lock(&backend->lock);
    now = Clock_Now(); /* not before last_sent of a run that began meanwhile */
    if (strcmp(backend->announcement.instance, announcement.instance) == 0) {
        record_outcome(backend, call, &ticket, reply, now);
        _Backend_ReadCold(backend, reply, now);
    }
    end_run(backend, call, now);
    Admission_Release(backend->admission, &ticket, now);
    _Backend_Advance(backend, now);
    fill_report(backend, now, &reply->report);
    pthread_mutex_unlock(&backend->lock);
    Counter_Observe(HISTOGRAM_OWNER_QUEUE, reply->queue_ms * 1000);
    Counter_Observe(HISTOGRAM_OWNER_SERVER, reply->server_ms * 1000);
}

void
Backend_GetStatus(Backend *backend, BackendStatus *status)
{
    pthread_mutex_lock(&backend->lock);
    status->announcement = backend->announcement;
    status->state = backend->state;
    pthread_mutex_unlock(&backend->lock);
}

double
Backend_RetryShare(Backend *backend)
{
    double share;

    pthread_mutex_lock(&backend->lock);
    share = (double)backend->running_retries /
            MAX(Admission_Load(backend->admission).running, 1);
    pthread_mutex_unlock(&backend->lock);
    return share;
}

void
Backend_GetReport(Backend *backend, RosterReport *report)
{
    pthread_mutex_lock(&backend->lock);
    fill_report(backend, Clock_Now(), report);
    pthread_mutex_unlock(&backend->lock);
}
