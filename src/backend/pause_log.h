/* PauseLog: times in which this process did not run.
 *
 * Load pattern: hosts are suspended for seconds, or get no processor time,
 * while requests run. The time in which the daemon could not read an answer
 * says nothing about its backend server.
 *
 * Use:
 *  1. PauseLog_Tick() at least every PAUSE_TICK_MS.
 *  2. PauseLog_Between() for the part of a period in which the process did not
 *     run.
 *
 * A delay of ticks up to MIN_PAUSE_MS is no pause. A pause counts before the
 * first tick after it, too, so it does not matter which thread runs first.
 *
 * Limits: the last PAUSE_LOG_ENTRIES pauses; no locking, no allocation.
 */
#ifndef BACKEND_PAUSE_LOG_H
#define BACKEND_PAUSE_LOG_H

#include "base/clock.h"

#define PAUSE_TICK_MS 250
#define PAUSE_LOG_ENTRIES 8

typedef struct Pause {
    ClockMs begin;
    ClockMs end;
} Pause;

/* Zero-initialised: no tick yet, and so no pauses. */
typedef struct PauseLog {
    Pause pauses[PAUSE_LOG_ENTRIES]; /* a ring */
    unsigned next;
    ClockMs ticked; /* 0: never */
} PauseLog;

void PauseLog_Tick(PauseLog *log, ClockMs now);

/* Returns how much of the period up to `now` the process did not run. */
ClockMs PauseLog_Between(const PauseLog *log, ClockMs from, ClockMs now);

#endif
