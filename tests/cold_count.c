#include "cold_count.h"

#include <pthread.h>

#define WINDOW_MS 1000

/* Time in which the announcement of the state, and answers under way, reach
 * the owner. */
#define NOTICE_MS 150

struct ColdCount {
    pthread_mutex_t lock;
    ClockMs begin;
    ClockMs end;
    GArray *arrivals; /* ClockMs */
};

ColdCount *
ColdCount_Create(void)
{
    ColdCount *count = g_new0(ColdCount, 1);

    pthread_mutex_init(&count->lock, NULL);
    count->arrivals = g_array_new(FALSE, FALSE, sizeof(ClockMs));
    return count;
}

void
ColdCount_Destroy(ColdCount *count)
{
    if (count != NULL) {
        g_array_unref(count->arrivals);
        pthread_mutex_destroy(&count->lock);
        g_free(count);
    }
}

void
ColdCount_Begin(ColdCount *count, ClockMs length_ms)
{
    ClockMs now = Clock_Now();

    pthread_mutex_lock(&count->lock);
    if (now >= count->end) {
        count->begin = now;
    }
    count->end = now + length_ms;
    pthread_mutex_unlock(&count->lock);
}

void
ColdCount_Arrive(ColdCount *count)
{
    ClockMs now;

    pthread_mutex_lock(&count->lock);
    now = Clock_Now();
    if (now >= count->begin + NOTICE_MS && now < count->end) {
        g_array_append_val(count->arrivals, now);
    }
    pthread_mutex_unlock(&count->lock);
}

ClockMs
ColdCount_LeftMs(ColdCount *count)
{
    ClockMs left;

    pthread_mutex_lock(&count->lock);
    left = MAX(count->end - Clock_Now(), 0);
    pthread_mutex_unlock(&count->lock);
    return left;
}

guint
ColdCount_Most(ColdCount *count)
{
    guint first = 0;
    guint most = 0;

    pthread_mutex_lock(&count->lock);
    for (guint last = 0; last < count->arrivals->len; last++) {
        while (g_array_index(count->arrivals, ClockMs, last) -
                   g_array_index(count->arrivals, ClockMs, first) >=
               WINDOW_MS) {
            first++;
        }
        most = MAX(most, last - first + 1);
    }
    pthread_mutex_unlock(&count->lock);
    return most;
}

guint
ColdCount_All(ColdCount *count)
{
    guint all;

    pthread_mutex_lock(&count->lock);
    all = count->arrivals->len;
    pthread_mutex_unlock(&count->lock);
    return all;
}
