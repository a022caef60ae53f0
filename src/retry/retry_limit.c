#include "retry/retry_limit.h"

/* Part of the limit that is used. The rest is a margin for owners that restart
 * and for windows that another observer cuts differently. */
#define USED_SHARE 0.9

/* Part of the slack that is a burst; the rest is granted over the window. */
#define BURST_SHARE 0.75

/* Part of the bucket that retries leave to calls of retried runs, and the
 * number of retries below which they leave nothing: a small bucket would
 * otherwise have to be full for each retry. */
#define CALL_SHARE 0.5
#define MIN_FOR_RETRIES 2

static void
refill(RetryLimit *limit, ClockMs now)
{
    double seconds = (double)MAX(now - limit->updated, 0) / 1000;

    limit->tokens = MIN(limit->tokens + seconds * limit->per_s, limit->bucket);
    limit->updated = MAX(now, limit->updated);
}

void
RetryLimit_Set(RetryLimit *limit, double ratio, double slack,
               ClockMs window_ms, ClockMs now)
{
    double used = USED_SHARE * slack;

    limit->ratio = USED_SHARE * ratio;
    limit->bucket = MAX(BURST_SHARE * used, 1);
    limit->per_s = (1 - BURST_SHARE) * used * 1000 / (double)window_ms;
    if (!limit->is_set) {
        limit->is_set = TRUE;
        limit->tokens = limit->bucket;
        limit->updated = now;
    }
    refill(limit, now);
}

gboolean
RetryLimit_Reserve(RetryLimit *limit, RetryKind kind, ClockMs now)
{
    double kept = 0;

    if (kind == RETRY_KIND_FIRST) {
        return TRUE;
    }
    if (kind == RETRY_KIND_CALM) {
        kept = -MAX(limit->bucket, MIN_FOR_RETRIES);
    }
    else if (kind == RETRY_KIND_RETRY) {
        kept = CLAMP(limit->bucket - MIN_FOR_RETRIES, 0,
                     CALL_SHARE * limit->bucket);
    }
    if (limit->is_set) {
        refill(limit, now);
        if (limit->tokens - limit->reserved < 1 + kept) {
            return FALSE;
        }
    }
    limit->reserved++;
    return TRUE;
}

void
RetryLimit_Send(RetryLimit *limit, RetryKind kind, ClockMs now)
{
    if (kind == RETRY_KIND_FIRST) {
        limit->tokens += limit->ratio;
    }
    refill(limit, now);
    if (kind != RETRY_KIND_FIRST) {
        limit->tokens -= limit->is_set ? 1 : 0;
        limit->reserved--;
    }
}

void
RetryLimit_Return(RetryLimit *limit, RetryKind kind)
{
    limit->reserved -= kind != RETRY_KIND_FIRST ? 1 : 0;
}
