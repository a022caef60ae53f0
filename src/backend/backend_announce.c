#include <inttypes.h>
#include <string.h>

#include "backend/backend_internal.h"
#include "base/log.h"

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
    _Backend_SetSlots(backend, Clock_Now());
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
