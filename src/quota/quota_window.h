/* QuotaWindow: counts requests in a sliding window of time.
 *
 * Use: QuotaWindow_Init() once; QuotaWindow_Take() for each request, which
 * counts it unless the window is full.
 *
 * The window is divided into QUOTA_BUCKETS buckets. A bucket leaves the window
 * only when all of it is older than the window's length, so the count is never
 * too low: a request counts at most 1 / QUOTA_BUCKETS of the window too long.
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
    int64_t first; /* index of the oldest bucket in the window */
    int64_t counts[QUOTA_BUCKETS + 1];
    int64_t total;
} QuotaWindow;

void QuotaWindow_Init(QuotaWindow *window, ClockMs length_ms, ClockMs now);

/* Counts a request if fewer than `limit` are in the window, otherwise returns
 * FALSE. */
gboolean QuotaWindow_Take(QuotaWindow *window, int64_t limit, ClockMs now);

/* Counts requests regardless of the limit. */
void QuotaWindow_Add(QuotaWindow *window, int64_t requests, ClockMs now);
int64_t QuotaWindow_Count(QuotaWindow *window, ClockMs now);

/* Copies the counts of the buckets, the newest first. */
void QuotaWindow_Read(QuotaWindow *window, ClockMs now,
                      int64_t counts[QUOTA_BUCKETS + 1]);

/* Adds the counts that QuotaWindow_Read() returned for a window of the same
 * length on another host. Since the clocks differ, each count stays up to one
 * bucket's time too long. */
void QuotaWindow_Merge(QuotaWindow *window, ClockMs now,
                       const int64_t counts[QUOTA_BUCKETS + 1]);

#endif
