#include "backend/backend_internal.h"

/* Duration of the limited return, and the part of the slots that is used in
 * it. All senders choose this backend server again at about the same moment,
 * and it may have become cold meanwhile. */
#define RETURN_MS 1000
#define RETURN_PART 2

/* REMOVE AT THE MERGE of part 2 (cold servers), which defines this function.
 * The limited return below does not depend on it. */
__attribute__((weak)) void
Backend_TreatAsCold(Backend *backend)
{
    (void)backend;
}

void
_Backend_SetSlots(Backend *backend, ClockMs now)
{
    guint slots = backend->announcement.slots;

    Admission_SetSlots(backend->admission,
                       now < backend->returned_until
                           ? (slots + RETURN_PART - 1) / RETURN_PART
                           : slots);
}

void
_Backend_EndReturn(Backend *backend, ClockMs now)
{
    if (backend->returned_until > 0 && now >= backend->returned_until) {
        backend->returned_until = 0;
        _Backend_SetSlots(backend, now);
        pthread_cond_broadcast(&backend->wake);
    }
}

ClockMs
Backend_SetWithdrawn(Backend *backend, gboolean withdrawn)
{
    ClockMs now = Clock_Now();
    ClockMs since_sent;
    gboolean is_end;

    pthread_mutex_lock(&backend->lock);
    is_end = backend->withdrawn && !withdrawn;
    pthread_mutex_unlock(&backend->lock);
    if (is_end) {
        /* Before the first request is admitted again. */
        Backend_TreatAsCold(backend);
    }
    pthread_mutex_lock(&backend->lock);
    backend->withdrawn = withdrawn;
    if (withdrawn) {
        backend->returned_until = 0;
    }
    else if (is_end) {
        backend->returned_until = now + RETURN_MS;
    }
    _Backend_SetSlots(backend, now);
    since_sent = now - backend->last_sent;
    pthread_cond_broadcast(&backend->wake);
    pthread_mutex_unlock(&backend->lock);
    return since_sent;
}
