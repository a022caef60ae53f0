#include <inttypes.h>

#include "backend/backend_internal.h"
#include "base/counter.h"
#include "base/log.h"

/* Time in which a backend server that may have become cold gets requests for
 * half of its slots at most, if there is no rate for cold ones. */
#define FIRST_MS 1000

void
_Backend_InitCold(Backend *backend, ClockMs now)
{
    ColdRate_Init(&backend->cold, now);
    backend->unstated_since = CLOCK_NEVER;
    if (backend->desc.cold_overage <= 0) {
        ColdRate_SetRate(&backend->cold, &(ColdRate_desc){0}, now);
    }
}

void
_Backend_NoteCold(Backend *backend, const char *reason, ClockMs now)
{
    gboolean is_cold = ColdRate_IsCold(&backend->cold, now);
    ClockMs until = backend->cold.until;

    if (is_cold == backend->was_cold) {
        return;
    }
    backend->was_cold = is_cold;
    if (is_cold) {
        Counter_Add(COUNTER_OWNER_COLD, 1);
        Log_Event(
            LOG_BACKEND_SERVER_COLD,
            "instance=%s reason=%s cold_ms=%" PRId64 " per_s=%.2f running=%u",
            backend->announcement.instance, reason,
            until == CLOCK_NEVER ? -1 : MAX(until - now, 0),
            backend->cold.per_s, Admission_Load(backend->admission).running);
    }
    else {
        Log_Event(LOG_BACKEND_SERVER_WARM, "instance=%s reason=%s",
                  backend->announcement.instance, reason);
    }
    pthread_cond_broadcast(&backend->wake);
}

/* End of the cold state of an instance that does not say. Until the
 * configuration is known, it is cold. */
static ClockMs
unstated_end(const Backend *backend)
{
    return backend->cold.is_known
               ? backend->unstated_since + backend->cold_rate.start_ms
               : CLOCK_NEVER;
}

/* Time at which the announced instance was started. */
static ClockMs
start_of(const BackendAnnouncement *announcement, ClockMs now)
{
    ClockMs age_ms = Clock_WallMs() - announcement->born;

    return announcement->born > 0 && age_ms > 0 ? now - age_ms : now;
}

/* Whether the backend server counts as cold until its next announcement. */
static gboolean
is_treated_as_cold(const Backend *backend)
{
    return backend->unstated_since == CLOCK_NEVER &&
           backend->cold.until == CLOCK_NEVER;
}

static void
limit_first(Backend *backend, ClockMs now)
{
    ColdRate_LimitFirst(&backend->cold,
                        MAX(backend->announcement.slots / 2, 1), FIRST_MS,
                        now);
}

void
_Backend_ApplyCold(Backend *backend, gboolean is_new_instance, ClockMs now)
{
    const BackendAnnouncement *announcement = &backend->announcement;

    if (announcement->cold_ms != BACKEND_COLD_UNSTATED) {
        backend->unstated_since = CLOCK_NEVER;
        ColdRate_SetCold(&backend->cold, now + announcement->cold_ms, now);
    }
    else if (is_new_instance) {
        backend->unstated_since = start_of(announcement, now);
        ColdRate_SetCold(&backend->cold, unstated_end(backend), now);
    }
    else if (is_treated_as_cold(backend)) {
        ColdRate_SetCold(&backend->cold, now, now);
    }
    _Backend_SetPace(backend, now);
    _Backend_NoteCold(backend, "announced", now);
}

/* A header never ends the cold state: an answer may be older than the last
 * announcement, and the next one says the same. */
void
_Backend_ReadCold(Backend *backend, const BackendReply *reply, ClockMs now)
{
    const char *name = backend->desc.names->cold_ms;
    const char *text =
        name != NULL ? HttpHeaders_Get(&reply->answer.headers, name) : NULL;
    guint64 cold_ms;

    if (text == NULL ||
        !g_ascii_string_to_unsigned(text, 10, 0, BACKEND_MAX_COLD_MS, &cold_ms,
                                    NULL)) {
        return;
    }
    switch (reply->result) {
    case RESULT_OK:
    case RESULT_BACKEND_SERVER_ERROR:
    case RESULT_BACKEND_SERVER_SHED:
        if (now + (ClockMs)cold_ms > backend->cold.until) {
            ColdRate_SetCold(&backend->cold, now + (ClockMs)cold_ms, now);
            _Backend_NoteCold(backend, "answer", now);
        }
        break;
    default:
        /* Another instance, or an answer that cannot be relied on. */
        break;
    }
}

void
Backend_SetColdRate(Backend *backend, const BackendColdRate *rate)
{
    ColdRate_desc desc = {.per_s = rate->per_s,
                          .overage = backend->desc.cold_overage,
                          .slack = backend->desc.cold_slack};
    ClockMs now;

    pthread_mutex_lock(&backend->lock);
    now = Clock_Now();
    backend->cold_rate = *rate;
    ColdRate_SetRate(&backend->cold, &desc, now);
    if (is_treated_as_cold(backend) && !ColdRate_HasBound(&backend->cold)) {
        limit_first(backend, now);
    }
    if (backend->unstated_since != CLOCK_NEVER) {
        ColdRate_SetCold(&backend->cold, unstated_end(backend), now);
    }
    _Backend_SetPace(backend, now);
    _Backend_NoteCold(backend, "configuration", now);
    pthread_cond_broadcast(&backend->wake);
    pthread_mutex_unlock(&backend->lock);
}

void
Backend_TreatAsCold(Backend *backend)
{
    ClockMs now;

    pthread_mutex_lock(&backend->lock);
    now = Clock_Now();
    backend->unstated_since = CLOCK_NEVER;
    if (ColdRate_HasBound(&backend->cold)) {
        ColdRate_SetCold(&backend->cold, CLOCK_NEVER, now);
    }
    else {
        limit_first(backend, now);
    }
    _Backend_SetPace(backend, now);
    _Backend_NoteCold(backend, "evacuation", now);
    pthread_mutex_unlock(&backend->lock);
}

void
_Backend_SetPace(Backend *backend, ClockMs now)
{
    AdmissionPace pace;

    ColdRate_Pace(&backend->cold, now, &pace);
    Admission_SetPace(backend->admission, &pace);
    Admission_SetSlots(backend->admission,
                       MIN(backend->announcement.slots,
                           ColdRate_MaxAtWork(&backend->cold, now)));
}

void
_Backend_Advance(Backend *backend, ClockMs now)
{
    guint before = Admission_Load(backend->admission).running;
    guint admitted;

    _Backend_SetPace(backend, now);
    if (!Admission_Advance(backend->admission, now)) {
        return;
    }
    admitted = Admission_Load(backend->admission).running - before;
    if (ColdRate_IsCold(&backend->cold, now)) {
        ColdRate_Take(&backend->cold, admitted, now);
        Counter_Add(COUNTER_OWNER_COLD_SENT, admitted);
        _Backend_SetPace(backend, now);
    }
    pthread_cond_broadcast(&backend->wake);
}

gboolean
_Backend_WaitsTooLong(const Backend *backend, const BackendCall *call,
                      const AdmissionTicket *ticket, ClockMs now)
{
    return Admission_PaceWait(backend->admission, ticket, now) >
           call->max_wait_ms;
}

ClockMs
_Backend_ColdWait(const Backend *backend, ClockMs now)
{
    AdmissionTicket last = {.priority = G_MAXINT, .deadline = CLOCK_NEVER};

    if (!ColdRate_IsCold(&backend->cold, now)) {
        return 0;
    }
    return MAX(Admission_PaceWait(backend->admission, &last, now), 1);
}

ClockMs
_Backend_NextTurn(const Backend *backend, ClockMs max_ms, ClockMs now)
{
    AdmissionPace pace;

    ColdRate_Pace(&backend->cold, now, &pace);
    return pace.turns == 0 ? CLAMP(pace.next_ms, 1, max_ms) : max_ms;
}

void
_Backend_CountBusy(const Backend *backend, ClockMs now)
{
    Counter_Add(COUNTER_OWNER_COLD_BUSY, ColdRate_IsCold(&backend->cold, now));
}
