#include "backend/pause_log.h"

#include <glib.h>

/* Time between two ticks above which the process did not run meanwhile. */
#define MIN_PAUSE_MS 750

/* The pause that a tick at `now` would end. */
static Pause
pending_pause(const PauseLog *log, ClockMs now)
{
    return log->ticked > 0 && now - log->ticked > MIN_PAUSE_MS
               ? (Pause){.begin = log->ticked, .end = now}
               : (Pause){0};
}

static ClockMs
overlap(const Pause *pause, ClockMs from, ClockMs until)
{
    return MAX(MIN(pause->end, until) - MAX(pause->begin, from), 0);
}

void
PauseLog_Tick(PauseLog *log, ClockMs now)
{
    Pause pause = pending_pause(log, now);

    if (pause.end > 0) {
        log->pauses[log->next++ % PAUSE_LOG_ENTRIES] = pause;
    }
    log->ticked = now;
}

ClockMs
PauseLog_Between(const PauseLog *log, ClockMs from, ClockMs now)
{
    Pause pending = pending_pause(log, now);
    ClockMs paused = overlap(&pending, from, now);

    for (unsigned i = 0; i < PAUSE_LOG_ENTRIES; i++) {
        paused += overlap(&log->pauses[i], from, now);
    }
    return paused;
}
