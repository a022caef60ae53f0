/* Condition: condition variables that wait by the monotonic clock.
 *
 * Use: Condition_Init() in place of pthread_cond_init(); Condition_Wait() for
 * a wait of some time, or Condition_After() once and pthread_cond_timedwait()
 * in a loop that has one end.
 *
 * Limits: the monotonic clock stands still while a host is suspended; what
 * depends on real time asks Clock_Now() after each wait.
 */
#ifndef BASE_CONDITION_H
#define BASE_CONDITION_H

#include <glib.h>
#include <pthread.h>
#include <time.h>

#include "base/clock.h"

void Condition_Init(pthread_cond_t *condition);

/* The time so far ahead, for pthread_cond_timedwait(). */
struct timespec Condition_After(ClockMs milliseconds);

/* Waits for a signal, with the lock held; FALSE if the time passed first. As
 * with all conditions, a wake-up may have no cause. */
gboolean Condition_Wait(pthread_cond_t *condition, pthread_mutex_t *lock,
                        ClockMs milliseconds);

#endif
