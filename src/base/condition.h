/* Condition: condition variables with timeouts by the monotonic clock.
 *
 * Use: Condition_Init() in place of pthread_cond_init(); Condition_Wait() for
 * a single wait with a timeout, or Condition_After() once and
 * pthread_cond_timedwait() in a loop whose waits share one end time.
 *
 * Limits: the monotonic clock stops while the host is suspended. Code that
 * depends on real time must call Clock_Now() after each wait.
 */
#ifndef BASE_CONDITION_H
#define BASE_CONDITION_H

#include <glib.h>
#include <pthread.h>
#include <time.h>

#include "base/clock.h"

void Condition_Init(pthread_cond_t *condition);

/* Returns the time that is `milliseconds` from now, for
 * pthread_cond_timedwait(). */
struct timespec Condition_After(ClockMs milliseconds);

/* Waits for a signal; the caller holds the lock. Returns FALSE if the time
 * passed first. As with every condition variable, wake-ups may be spurious. */
gboolean Condition_Wait(pthread_cond_t *condition, pthread_mutex_t *lock,
                        ClockMs milliseconds);

#endif
