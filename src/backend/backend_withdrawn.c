#include "backend/backend_internal.h"

ClockMs
Backend_SetWithdrawn(Backend *backend, gboolean withdrawn)
{
    ClockMs since_sent;
    gboolean is_end;

    pthread_mutex_lock(&backend->lock);
    is_end = backend->withdrawn && !withdrawn;
    pthread_mutex_unlock(&backend->lock);
    if (is_end) {
        /* Before the first request is admitted again: all senders choose this
         * backend server at about the same moment, and it may have become cold
         * meanwhile. */
        Backend_TreatAsCold(backend);
    }
    pthread_mutex_lock(&backend->lock);
    backend->withdrawn = withdrawn;
    since_sent = Clock_Now() - backend->last_sent;
    pthread_cond_broadcast(&backend->wake);
    pthread_mutex_unlock(&backend->lock);
    return since_sent;
}
