/* RetryLimit: the part of a service's retry limit that one owner may use.
 *
 * The fleet promises that no window of some seconds holds more retries for a
 * service than `ratio` x requests + `slack`. Senders estimate this from old
 * reports and cannot refuse calls made by runs that were themselves retries,
 * which count as retries, too. The owners see every arrival at the backend
 * servers, so each owner keeps its part exactly: `ratio` of the requests that
 * it has sent itself, and an even part of the slack. The parts add up to the
 * fleet's limit in every window, however the senders divide their requests.
 * Load pattern: most of a service fails or sheds from the first second on,
 * when every sender has an unused budget and no report.
 *
 * A token bucket: each request that is not a retry adds `ratio` of a retry,
 * elapsed time adds a quarter of the slack per window, and the bucket holds
 * three quarters of the slack. A tenth of both is kept as a margin.
 *
 * Use, with a lock of the caller's:
 *  1. RetryLimit_Set() when the limit or the number of owners is known or
 *     changes. Until then everything is allowed.
 *  2. RetryLimit_Reserve() when a retry arrives; FALSE: refuse it as not run.
 *  3. RetryLimit_Send() when the request is sent to the backend server, or
 *     RetryLimit_Return() if a reserved retry is not sent.
 *
 * The parts of many owners are small, and some of them run out while the fleet
 * is far from its limit. A sender that knows this from the owners' reports
 * says so (RETRY_KIND_CALM), and the owner lets the retry overdraw its bucket,
 * by the size of the bucket at most.
 *
 * Retries leave a part of the bucket to calls of retried runs: without its
 * call, a run that has a slot fails.
 *
 * Limits: the bucket holds at least one retry, or a small slack among many
 * owners would allow none; the bound then is one retry for each owner. A new
 * process starts with a full bucket, so the margin covers one owner in seven
 * that restarts within a window. Decisions only; no lock, time is passed in.
 */
#ifndef RETRY_RETRY_LIMIT_H
#define RETRY_RETRY_LIMIT_H

#include <glib.h>

#include "base/clock.h"

/* What a request is to the limit. The numbers are sent to other daemons. */
typedef enum RetryKind {
    RETRY_KIND_FIRST, /* no retry */
    RETRY_KIND_RETRY, /* an earlier attempt reached a backend server */
    RETRY_KIND_CALL,  /* first attempt of a call made by a retried run */
    RETRY_KIND_CALM,  /* either, from a sender that knows by recent reports
                         that the fleet is below its limit */
    RETRY_KINDS
} RetryKind;

/* All zero: no limit. */
typedef struct RetryLimit {
    gboolean is_set;
    double ratio;  /* retries that each request adds */
    double per_s;  /* retries that each second adds */
    double bucket; /* maximum of `tokens` */
    double tokens;
    guint reserved; /* retries that wait to be sent */
    ClockMs updated;
} RetryLimit;

/* Sets the owner's part: `ratio` of its own requests and `slack` retries in
 * each window of `window_ms`. */
void RetryLimit_Set(RetryLimit *limit, double ratio, double slack,
                    ClockMs window_ms, ClockMs now);

/* Reserves a retry; FALSE if none is left. Always TRUE for RETRY_KIND_FIRST,
 * which needs none. */
gboolean RetryLimit_Reserve(RetryLimit *limit, RetryKind kind, ClockMs now);

/* Counts a request that is sent. Uses up what was reserved for it. */
void RetryLimit_Send(RetryLimit *limit, RetryKind kind, ClockMs now);

/* Gives back what was reserved for a request that is not sent. */
void RetryLimit_Return(RetryLimit *limit, RetryKind kind);

#endif
