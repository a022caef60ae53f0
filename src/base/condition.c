#include "base/condition.h"

void
Condition_Init(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

struct timespec
Condition_After(ClockMs milliseconds)
{
    gint64 end = g_get_monotonic_time() + milliseconds * 1000;

    return (struct timespec){.tv_sec = end / G_USEC_PER_SEC,
                             .tv_nsec = end % G_USEC_PER_SEC * 1000};
}

gboolean
Condition_Wait(pthread_cond_t *condition, pthread_mutex_t *lock,
               ClockMs milliseconds)
{
    struct timespec until = Condition_After(milliseconds);

    return pthread_cond_timedwait(condition, lock, &until) == 0;
}
