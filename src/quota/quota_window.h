/* QuotaWindow: counts requests in a sliding window of time.
 *
 * Use: QuotaWindow_Init() once; QuotaWindow_Take() for each request, which
 * counts it unless the window is full.
 *
 * The window is kept in QUOTA_BUCKETS parts. A part leaves the window only
 * when all of it is older than the window's length, so the count is never too
 * low: at most 1 / QUOTA_BUCKETS of the window's time counts too long.
 *
 * Limits: no locking.
 */
#ifndef QUOTA_QUOTA_WINDOW_H
#define QUOTA_QUOTA_WINDOW_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

#define QUOTA_BUCKETS 20

typedef struct QuotaWindow {
    ClockMs bucket_ms;
    int64_t first; /* number of the oldest bucket that counts */
    int64_t counts[QUOTA_BUCKETS + 1];
    int64_t total;
} QuotaWindow;

void QuotaWindow_Init(QuotaWindow *window, ClockMs length_ms, ClockMs now);

/* Counts a request if less than `limit` are in the window; FALSE if not. */
gboolean QuotaWindow_Take(QuotaWindow *window, int64_t limit, ClockMs now);

/* Counts requests whatever the limit. */
void QuotaWindow_Add(QuotaWindow *window, int64_t requests, ClockMs now);
int64_t QuotaWindow_Count(QuotaWindow *window, ClockMs now);

/* The counts by age, the youngest part first. */
void QuotaWindow_Read(QuotaWindow *window, ClockMs now,
                      int64_t counts[QUOTA_BUCKETS + 1]);

/* Adds what QuotaWindow_Read() gave for a window of the same length, on a host
 * with another clock: each part counts up to one part's time too long. */
void QuotaWindow_Merge(QuotaWindow *window, ClockMs now,
                       const int64_t counts[QUOTA_BUCKETS + 1]);

#endif
