#include "quota/quota_window.h"

#include <string.h>

#define RING_BUCKETS (QUOTA_BUCKETS + 1)

/* Returns the count of a bucket. The index is negative right after the host
 * has booted, when the clock is less than a window. */
static int64_t *
count_of(QuotaWindow *window, int64_t bucket)
{
    return &window->counts[((bucket % RING_BUCKETS) + RING_BUCKETS) %
                           RING_BUCKETS];
}

void
QuotaWindow_Init(QuotaWindow *window, ClockMs length_ms, ClockMs now)
{
    *window = (QuotaWindow){.bucket_ms = MAX(length_ms / QUOTA_BUCKETS, 1)};
    window->first = now / window->bucket_ms - QUOTA_BUCKETS;
}

/* Drops the buckets that have left the window. */
static void
advance(QuotaWindow *window, ClockMs now)
{
    int64_t first = now / window->bucket_ms - QUOTA_BUCKETS;

    if (first - window->first > RING_BUCKETS) {
        memset(window->counts, 0, sizeof(window->counts));
        window->total = 0;
        window->first = first;
    }
    while (window->first < first) {
        int64_t *count = count_of(window, window->first);

        window->total -= *count;
        *count = 0;
        window->first++;
    }
}

gboolean
QuotaWindow_Take(QuotaWindow *window, int64_t limit, ClockMs now)
{
    advance(window, now);
    if (window->total >= limit) {
        return FALSE;
    }
    QuotaWindow_Add(window, 1, now);
    return TRUE;
}

void
QuotaWindow_Add(QuotaWindow *window, int64_t requests, ClockMs now)
{
    advance(window, now);
    *count_of(window, now / window->bucket_ms) += requests;
    window->total += requests;
}

int64_t
QuotaWindow_Count(QuotaWindow *window, ClockMs now)
{
    advance(window, now);
    return window->total;
}

void
QuotaWindow_Read(QuotaWindow *window, ClockMs now,
                 int64_t counts[QUOTA_BUCKETS + 1])
{
    int64_t newest = now / window->bucket_ms;

    advance(window, now);
    for (int age = 0; age <= QUOTA_BUCKETS; age++) {
        counts[age] = *count_of(window, newest - age);
    }
}

void
QuotaWindow_Merge(QuotaWindow *window, ClockMs now,
                  const int64_t counts[QUOTA_BUCKETS + 1])
{
    int64_t newest = now / window->bucket_ms;

    advance(window, now);
    for (int age = 0; age <= QUOTA_BUCKETS; age++) {
        *count_of(window, newest - MAX(age - 1, 0)) += counts[age];
        window->total += counts[age];
    }
}
