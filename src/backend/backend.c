#include "backend/backend.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

#include "admission/admission.h"
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

/* Mean deviations from the mean service time within which a run is expected to
 * end before this host stops. A run that is cut is sent to another owner if it
 * may be repeated; else it is lost, whether or not its sender stops, too. */
#define RUN_DEVIATIONS 3
#define LOST_RUN_DEVIATIONS 6

/* The same before the sender's host stops. Less is asked for, because no other
 * owner could give the run more time. */
#define SENDER_REPEATABLE_DEVIATIONS 1
#define SENDER_DEVIATIONS 2

/* Minimum risk reported while a running request is stalled. */
#define STALL_RISK 0.8

/* A failure of the backend server within this time after one of its own calls
 * failed is attributed to that call. */
#define CALL_FAILURE_WINDOW_MS 200

struct Backend {
    Backend_desc desc;
    pthread_mutex_t lock;
    pthread_cond_t wake; /* signals an admitted waiter or a state change */
    BackendAnnouncement announcement;
    BackendState state;
    char left[BACKEND_NAME_BYTES]; /* instance that stopped without having been
                                      announced; "": none */
    int64_t left_born; /* its start time, Unix ms; if that was not given, the
                          time of the report */
    gboolean closed;
    StopPlan stop;
    GrayFilter filter;
    unsigned failed_calls;    /* failed calls not yet matched to a failure */
    ClockMs last_failed_call; /* time of the last failed call */
    ClockMs last_sent;        /* time of the last request */
    guint running_retries; /* number of retries among the running requests */
    RetryRates rates;
    PauseLog pauses;
    Admission *admission;
};

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
    return backend;
}

void
Backend_Destroy(Backend *backend)
{
    if (backend == NULL) {
        return;
    }
    Admission_Destroy(backend->admission);
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

/* Called with the lock held. */
static gboolean
is_newer(const Backend *backend, const BackendAnnouncement *announcement)
{
    const BackendAnnouncement *last = &backend->announcement;

    if (backend->state == BACKEND_UNKNOWN) {
        return TRUE;
    }
    if (announcement->born != last->born) {
        return announcement->born > last->born;
    }
    return announcement->sequence > last->sequence;
}

/* Whether the instance reported its stop before this announcement of it
 * arrived. Called with the lock held. */
static gboolean
has_left(const Backend *backend, const BackendAnnouncement *announcement)
{
    return strcmp(backend->left, announcement->instance) == 0 &&
           announcement->born <= backend->left_born;
}

static BackendState
announced_state(const Backend *backend,
                const BackendAnnouncement *announcement)
{
    if (has_left(backend, announcement)) {
        return BACKEND_STOPPED;
    }
    return announcement->draining ? BACKEND_DRAINING : BACKEND_READY;
}

/* Called with the lock held. */
static void
start_instance(Backend *backend, const BackendAnnouncement *announcement)
{
    GrayFilter_Init(&backend->filter, &backend->desc.gray, Clock_Now());
    backend->state = BACKEND_UNKNOWN;
    Log_Event(LOG_BACKEND_SERVER_ANNOUNCED,
              "instance=%s service=%s slots=%u born=%" PRId64 " seq=%" PRId64,
              announcement->instance, announcement->service,
              announcement->slots, announcement->born, announcement->sequence);
}

gboolean
Backend_Announce(Backend *backend, const BackendAnnouncement *announcement)
{
    BackendState state;
    BackendState old;
    gboolean changed;

    pthread_mutex_lock(&backend->lock);
    if (!is_newer(backend, announcement)) {
        pthread_mutex_unlock(&backend->lock);
        return FALSE;
    }
    changed =
        strcmp(backend->announcement.instance, announcement->instance) != 0 ||
        backend->announcement.born != announcement->born ||
        backend->state == BACKEND_UNKNOWN;
    if (changed) {
        start_instance(backend, announcement);
    }
    old = backend->state;
    state = announced_state(backend, announcement);
    /* An instance that drains or has stopped never becomes ready again. */
    if (state > old) {
        backend->state = state;
    }
    else if (state < old) {
        Log_Event(LOG_ANNOUNCEMENT_REFUSED,
                  "instance=%s born=%" PRId64 " seq=%" PRId64 " reason=left",
                  announcement->instance, announcement->born,
                  announcement->sequence);
    }
    backend->announcement = *announcement;
    Admission_SetSlots(backend->admission, announcement->slots);
    changed = changed || backend->state != old;
    if (changed) {
        Log_Event(LOG_BACKEND_SERVER_STATE,
                  "instance=%s old=%s new=%s seq=%" PRId64,
                  announcement->instance, Backend_StateName(old),
                  Backend_StateName(backend->state), announcement->sequence);
    }
    pthread_cond_broadcast(&backend->wake);
    pthread_mutex_unlock(&backend->lock);
    if (changed && backend->desc.changed != NULL) {
        backend->desc.changed(backend->desc.context);
    }
    return TRUE;
}

/* Whether a stop is reported by the instance that was announced last. Called
 * with the lock held. */
static gboolean
is_current(const Backend *backend, const char *instance, int64_t born)
{
    return backend->state != BACKEND_UNKNOWN &&
           strcmp(backend->announcement.instance, instance) == 0 &&
           (born == 0 || born == backend->announcement.born);
}

/* Called with the lock held. */
static void
note_left(Backend *backend, const char *instance, int64_t born)
{
    gboolean is_earlier = backend->state != BACKEND_UNKNOWN && born != 0 &&
                          born < backend->announcement.born;

    if (!is_earlier) {
        Log_Event(LOG_BACKEND_SERVER_STATE,
                  "instance=%s old=unknown new=gone born=%" PRId64, instance,
                  born);
        g_strlcpy(backend->left, instance, sizeof(backend->left));
        backend->left_born = born > 0 ? born : Clock_WallMs();
    }
}

void
Backend_MarkStopped(Backend *backend, const char *instance, int64_t born)
{
    gboolean changed = FALSE;

    pthread_mutex_lock(&backend->lock);
    if (!is_current(backend, instance, born)) {
        note_left(backend, instance, born);
    }
    else if (backend->state != BACKEND_STOPPED) {
        Log_Event(LOG_BACKEND_SERVER_STATE, "instance=%s old=%s new=gone",
                  instance, Backend_StateName(backend->state));
        backend->state = BACKEND_STOPPED;
        changed = TRUE;
        pthread_cond_broadcast(&backend->wake);
    }
    pthread_mutex_unlock(&backend->lock);
    if (changed && backend->desc.changed != NULL) {
        backend->desc.changed(backend->desc.context);
    }
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
fill_report(const Backend *backend, ClockMs now, RosterReport *report)
{
    AdmissionLoad load = Admission_Load(backend->admission);
    RetryRates rates = RetryRates_At(&backend->rates, now);

    *report = (RosterReport){
        .risk = current_risk(backend, now),
        .slots = load.slots,
        .in_flight = load.running,
        .waiting = load.waiting,
        .service_ms = load.service_ms,
        .idle_ms = load.running > 0 ? 0 : now - backend->last_sent,
        .leaving = backend->closed || backend->state != BACKEND_READY,
        .stop_ms = backend->stop.begin == CLOCK_NEVER
                       ? 0
                       : MAX(backend->stop.end - now, 1),
        .per_s = rates.per_s,
        .retries_per_s = rates.retries_per_s,
    };
}

/* Longest run that is expected, by the mean and these deviations, the longest
 * one seen lately and those at work. Called with the lock held. */
static ClockMs
longest_run(const Backend *backend, const AdmissionTicket *ticket,
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
               ? longest_run(backend, ticket, deviations, now)
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
        call->idempotent ? RUN_DEVIATIONS : LOST_RUN_DEVIATIONS;
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
    return backend->closed || backend->state != BACKEND_READY ||
           may_lose_run(backend, call, now) ||
           is_stop_expected(backend, call, ticket, now);
}

/* Result for a request that a stop ends too early; OK if none does. Called
 * with the lock held. */
static Result
check_stop(const Backend *backend, const BackendCall *call,
           const AdmissionTicket *ticket, ClockMs now)
{
    if (is_sender_leaving(backend, call, ticket, now)) {
        return RESULT_SHUTTING_DOWN;
    }
    return is_leaving(backend, call, ticket, now)
               ? RESULT_BACKEND_SERVER_LEAVING
               : RESULT_OK;
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
    result = check_stop(backend, call, ticket, now);
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

/* Called with the lock held. */
static void
advance(Backend *backend)
{
    if (Admission_Advance(backend->admission, Clock_Now())) {
        pthread_cond_broadcast(&backend->wake);
    }
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
    result = check_stop(backend, call, ticket, now);
    if (result != RESULT_OK) {
        return result;
    }
    if (now >= call->deadline) {
        return RESULT_DEADLINE_EXPIRED;
    }
    return ticket->state == ADMISSION_HOPELESS ? RESULT_BACKEND_SERVER_BUSY
                                               : RESULT_OK;
}

/* Waits for a slot and takes it. On failure the request has not been sent.
 * Called with the lock held. */
static Result
take_slot(Backend *backend, const BackendCall *call, AdmissionTicket *ticket)
{
    ClockMs now = Clock_Now();
    Result result = check_call(backend, call, ticket, now);

    if (result != RESULT_OK) {
        return result;
    }
    if (!Admission_Arrive(backend->admission, ticket, call->max_wait_ms,
                          now)) {
        return RESULT_BACKEND_SERVER_BUSY;
    }
    advance(backend);
    while (ticket->state != ADMISSION_ADMITTED) {
        now = Clock_Now();
        result = check_wait(backend, call, ticket, now);
        if (result != RESULT_OK) {
            Admission_Withdraw(backend->admission, ticket);
            return result;
        }
        (void)Condition_Wait(&backend->wake, &backend->lock,
                             MIN(call->deadline - now, CANCEL_CHECK_MS));
        advance(backend);
    }
    return RESULT_OK;
}

void
Backend_Tick(Backend *backend)
{
    pthread_mutex_lock(&backend->lock);
    PauseLog_Tick(&backend->pauses, Clock_Now());
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
    reply->result = take_slot(backend, call, &ticket);
    now = Clock_Now();
    reply->queue_ms = now - arrived;
    if (reply->result != RESULT_OK) {
        fill_report(backend, now, &reply->report);
        pthread_mutex_unlock(&backend->lock);
        return;
    }
    reply->expected_ms =
        longest_run(backend, &ticket, LOST_RUN_DEVIATIONS, now);
    announcement = backend->announcement;
    backend->last_sent = now;
    backend->running_retries += call->is_retry ? 1 : 0;
    RetryRates_Add(&backend->rates, call->is_retry, now);
    pthread_mutex_unlock(&backend->lock);

    exchange.address = announcement.address;
    exchange.instance = announcement.instance;
    Counter_Add(COUNTER_OWNER_SENT, 1);
    _Backend_Exchange(&exchange, call, reply);

    pthread_mutex_lock(&backend->lock);
    now = Clock_Now(); /* not before last_sent of a run that began meanwhile */
    if (strcmp(backend->announcement.instance, announcement.instance) == 0) {
        record_outcome(backend, call, &ticket, reply, now);
    }
    backend->running_retries -= call->is_retry ? 1 : 0;
    Admission_Release(backend->admission, &ticket, now);
    advance(backend);
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
