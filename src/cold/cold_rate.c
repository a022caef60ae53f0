#include "cold/cold_rate.h"

#include <math.h>

/* Largest burst, as the requests of this part of a second. */
#define BURST_S 0.2

/* Largest burst, as a share of what the bound leaves above the rate. The rest
 * is the margin for delays between the owner and the backend server. */
#define BURST_SHARE 0.5

/* Smallest burst, as the requests of this part of a second, since an owner
 * does not act in every millisecond. */
#define MIN_BURST_S 0.02

/* Rounding error of the tokens that counts as none. */
#define EPSILON 1e-6

#define MS_PER_S 1000.0

void
ColdRate_Init(ColdRate *rate, ClockMs now)
{
    *rate = (ColdRate){.updated = now};
}

/* Tokens at `now`. */
static double
tokens_at(const ColdRate *rate, ClockMs now)
{
    double elapsed_s = (double)MAX(now - rate->updated, 0) / MS_PER_S;

    return MIN(rate->tokens + elapsed_s * rate->per_s, rate->burst);
}

static void
update(ColdRate *rate, ClockMs now)
{
    rate->tokens = tokens_at(rate, now);
    rate->updated = MAX(rate->updated, now);
}

void
ColdRate_SetRate(ColdRate *rate, const ColdRate_desc *desc, ClockMs now)
{
    double bound = desc->per_s * desc->overage + desc->slack;

    update(rate, now);
    rate->is_known = TRUE;
    if (!(desc->per_s > 0 && desc->overage > 0 && bound > 0)) {
        rate->bound = 0;
        rate->per_s = 0;
        rate->burst = 0;
        rate->tokens = 0;
        return;
    }
    rate->bound = bound;
    rate->burst =
        MIN(BURST_S * desc->per_s, BURST_SHARE * (bound - desc->per_s));
    rate->burst = MAX(rate->burst, MIN_BURST_S * MIN(desc->per_s, bound));
    rate->burst = MAX(rate->burst, 1);
    rate->per_s = bound < 1 ? MIN(desc->per_s, bound)
                            : MIN(desc->per_s, floor(bound) + 1 - rate->burst);
    rate->tokens = MIN(rate->tokens, rate->burst);
}

static gboolean
is_stated_cold(const ColdRate *rate, ClockMs now)
{
    return ColdRate_HasBound(rate) && now < rate->until;
}

static gboolean
is_limited(const ColdRate *rate, ClockMs now)
{
    return now < rate->first_until;
}

void
ColdRate_SetCold(ColdRate *rate, ClockMs until, ClockMs now)
{
    if (now >= rate->until) {
        rate->tokens = 0;
        rate->updated = MAX(rate->updated, now);
    }
    rate->until = until;
}

void
ColdRate_LimitFirst(ColdRate *rate, guint count, ClockMs duration_ms,
                    ClockMs now)
{
    rate->first = count;
    rate->first_until = now + duration_ms;
}

gboolean
ColdRate_HasBound(const ColdRate *rate)
{
    return !rate->is_known || rate->burst > 0;
}

gboolean
ColdRate_IsCold(const ColdRate *rate, ClockMs now)
{
    return is_stated_cold(rate, now) || is_limited(rate, now);
}

static void
fill_rate_pace(const ColdRate *rate, ClockMs now, AdmissionPace *pace)
{
    double tokens;
    double missing;

    pace->end_ms =
        rate->until == CLOCK_NEVER ? CLOCK_NEVER : rate->until - now;
    if (!rate->is_known) {
        pace->next_ms = COLD_RATE_UNKNOWN_MS;
        return;
    }
    tokens = tokens_at(rate, now) + EPSILON;
    missing = 1 - (tokens - floor(tokens)) + EPSILON;
    pace->turns = (guint)MIN(floor(tokens), G_MAXINT);
    pace->interval_ms = MS_PER_S / rate->per_s;
    pace->next_ms = (ClockMs)ceil(MIN(missing * pace->interval_ms, G_MAXINT));
}

void
ColdRate_Pace(const ColdRate *rate, ClockMs now, AdmissionPace *pace)
{
    *pace = (AdmissionPace){.turns = G_MAXUINT};
    if (is_stated_cold(rate, now)) {
        *pace = (AdmissionPace){0};
        fill_rate_pace(rate, now, pace);
    }
    if (is_limited(rate, now) && rate->first < pace->turns) {
        pace->turns = (guint)rate->first;
        pace->next_ms = rate->first_until - now;
        pace->end_ms = MAX(pace->end_ms, pace->next_ms);
    }
}

guint
ColdRate_MaxAtWork(const ColdRate *rate, ClockMs now)
{
    double room = rate->bound - rate->per_s - rate->burst;

    if (!is_stated_cold(rate, now) || !rate->is_known) {
        return G_MAXUINT;
    }
    return (guint)CLAMP(MAX(room, rate->per_s), 1, G_MAXINT);
}

void
ColdRate_Take(ColdRate *rate, guint count, ClockMs now)
{
    if (is_stated_cold(rate, now)) {
        update(rate, now);
        rate->tokens = MAX(rate->tokens - count, 0);
    }
    if (is_limited(rate, now)) {
        rate->first -= MIN(rate->first, count);
    }
}
