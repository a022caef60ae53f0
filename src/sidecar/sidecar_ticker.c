#include <pthread.h>

#include "base/condition.h"
#include "sidecar/sidecar_internal.h"

struct SidecarTicker {
    Sidecar *sidecar;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    gboolean stopping;
};

static gboolean
wait_for_tick(SidecarTicker *ticker)
{
    struct timespec until = Condition_After(PAUSE_TICK_MS);
    gboolean stopping;

    pthread_mutex_lock(&ticker->lock);
    while (!ticker->stopping &&
           pthread_cond_timedwait(&ticker->wake, &ticker->lock, &until) == 0) {
    }
    stopping = ticker->stopping;
    pthread_mutex_unlock(&ticker->lock);
    return !stopping;
}

/* Gives this owner its part of the retry limit of its service, once the other
 * owners are known. */
static void
share_retry_limit(const Sidecar *sidecar)
{
    const Settings *settings = sidecar->settings;
    RosterLoad load;

    Roster_ServiceLoad(sidecar->roster, Rng_HashString(settings->service),
                       Clock_Now(), &load);
    if (load.servers > 0 && atomic_load(&sidecar->roster_known)) {
        Backend_SetRetryLimit(sidecar->backend, settings->retry_ratio,
                              (double)settings->retry_slack / load.servers,
                              settings->retry_window_ms);
    }
}

static void *
run(void *context)
{
    SidecarTicker *ticker = context;

    while (wait_for_tick(ticker)) {
        Backend_Tick(ticker->sidecar->backend);
        share_retry_limit(ticker->sidecar);
    }
    return NULL;
}

SidecarTicker *
_Sidecar_StartTicker(Sidecar *sidecar)
{
    SidecarTicker *ticker = g_new0(SidecarTicker, 1);

    ticker->sidecar = sidecar;
    pthread_mutex_init(&ticker->lock, NULL);
    Condition_Init(&ticker->wake);
    pthread_create(&ticker->thread, NULL, run, ticker);
    return ticker;
}

void
_Sidecar_StopTicker(SidecarTicker *ticker)
{
    if (ticker == NULL) {
        return;
    }
    pthread_mutex_lock(&ticker->lock);
    ticker->stopping = TRUE;
    pthread_cond_signal(&ticker->wake);
    pthread_mutex_unlock(&ticker->lock);
    pthread_join(ticker->thread, NULL);
    pthread_cond_destroy(&ticker->wake);
    pthread_mutex_destroy(&ticker->lock);
    g_free(ticker);
}
