/* ColdRate: how many requests one backend server may get while it is cold.
 *
 * Load pattern: a backend server has started, or has lost its caches, and
 * crashes if it gets many more requests than `per_s` in a second. All requests
 * for it pass through its owner, which holds this state.
 *
 * A token bucket with a small burst. In any second, also one that spans a
 * restart of the owner, at most per_s + burst tokens are taken: a new state
 * and a backend server that has just become cold start with an empty bucket.
 * That is within the bound per_s * overage + slack; what is left of the bound
 * is the margin for requests that arrive closer together than they were sent.
 * A bound below per_s lowers the rate. A bound below one request in a second
 * admits one request every 1/bound seconds.
 *
 * Use, with a lock of the caller's:
 *  1. ColdRate_Init(). Until ColdRate_SetRate() a cold backend server gets
 *     nothing, since its rate is not known yet.
 *  2. ColdRate_SetRate() with each configuration.
 *  3. ColdRate_SetCold() whenever the backend server has stated how long it
 *     stays cold.
 *  4. ColdRate_Pace() for what may be sent now and later; ColdRate_Take() for
 *     what is about to be sent.
 *
 * Errors and limits: none; no lock, no allocation, time is passed in. A time
 * before the last one counts as the last one.
 */
#ifndef COLD_COLD_RATE_H
#define COLD_COLD_RATE_H

#include <glib.h>

#include "admission/admission.h"
#include "base/clock.h"

/* Wait that is reported while the rate is not known. */
#define COLD_RATE_UNKNOWN_MS 60000

/* Zero means that cold backend servers have no bound. */
typedef struct ColdRate_desc {
    double per_s;   /* requests per second that a cold one tolerates */
    double overage; /* factor on it up to which arrivals are tolerated */
    double slack;   /* arrivals that are tolerated on top of it in a second */
} ColdRate_desc;

typedef struct ColdRate {
    gboolean is_known; /* ColdRate_SetRate() was called */
    double bound;      /* requests in any second */
    double per_s;      /* refill of the bucket */
    double burst;      /* size of the bucket; 0: no bound */
    double tokens;
    ClockMs updated; /* time of `tokens` */
    ClockMs until;   /* end of the cold state; CLOCK_NEVER: not known */
    /* A limit that does not depend on the rate. */
    guint64 first;       /* requests left in the limited time */
    ClockMs first_until; /* end of the limited time */
} ColdRate;

void ColdRate_Init(ColdRate *rate, ClockMs now);
void ColdRate_SetRate(ColdRate *rate, const ColdRate_desc *desc, ClockMs now);

/* Sets the end of the cold state; a time that is not in the future ends it. */
void ColdRate_SetCold(ColdRate *rate, ClockMs until, ClockMs now);

/* Admits at most `count` requests in the next `duration_ms`, without a rate.
 */
void ColdRate_LimitFirst(ColdRate *rate, guint count, ClockMs duration_ms,
                         ClockMs now);

/* Whether the backend server is cold or limited, and a bound applies. */
gboolean ColdRate_IsCold(const ColdRate *rate, ClockMs now);

/* Whether a bound applies while the backend server is cold, or may apply since
 * the rate is not known yet. */
gboolean ColdRate_HasBound(const ColdRate *rate);

/* Fills how many requests may be sent now, and when the next ones may be.
 * Without a bound: any number. */
void ColdRate_Pace(const ColdRate *rate, ClockMs now, AdmissionPace *pace);

/* Requests at work above which no more are sent to a cold backend server, so
 * that it stays within the bound if it has read none of them; at least one
 * second of its rate. G_MAXUINT without a bound. */
guint ColdRate_MaxAtWork(const ColdRate *rate, ClockMs now);

/* Takes the tokens of requests that are about to be sent. */
void ColdRate_Take(ColdRate *rate, guint count, ClockMs now);

#endif
