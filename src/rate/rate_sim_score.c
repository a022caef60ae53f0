/* RateSim: the exact check of admissions, the ideal bucket and the baselines.
 */
#include "rate/rate_sim_private.h"

/* Adds the refill. A rate in tokens per second is the same number of
 * micro-tokens per microsecond. */
static int64_t
refill(Bucket *bucket, const RateLimit *limit, int64_t now_us)
{
    int64_t full = limit->burst * RATE_MICRO;
    int64_t elapsed = now_us - bucket->at_us;

    bucket->at_us = now_us;
    if (limit->rate_per_s > 0 &&
        elapsed > (full - bucket->micro) / limit->rate_per_s) {
        bucket->micro = full;
    }
    else {
        bucket->micro += elapsed * limit->rate_per_s;
    }
    return bucket->micro;
}

gboolean
_RateSim_TakeFrom(Bucket *bucket, const RateLimit *limit, int64_t now_us)
{
    if (refill(bucket, limit, now_us) < RATE_MICRO) {
        return FALSE;
    }
    bucket->micro -= RATE_MICRO;
    return TRUE;
}

/* Checks an admission exactly. After a change, the larger limit applies until
 * the change is in force everywhere and the last grants of the former limit
 * have expired. */
void
_RateSim_CheckAdmission(RateSim *sim, TeamState *team)
{
    RateLimit limit = team->changes[0].limit;
    int64_t excess;

    for (int i = 1; i < team->change_count; i++) {
        const Change *change = &team->changes[i];

        if (sim->now_us > change->at_us + CHANGE_US + 1100000) {
            limit = change->limit;
        }
        else {
            limit.rate_per_s = MAX(limit.rate_per_s, change->limit.rate_per_s);
            limit.burst = MAX(limit.burst, change->limit.burst);
        }
    }
    refill(&team->check, &limit, sim->now_us);
    team->check.micro -= RATE_MICRO;
    excess = -team->check.micro;
    if (excess > 0) {
        team->results.above++;
        team->results.max_excess_micro =
            MAX(team->results.max_excess_micro, excess);
    }
}

void
_RateSim_Count(RateSimTeam *team, int scheme, gboolean admitted,
               gboolean ideal)
{
    RateSimScore *score = &team->score[scheme];

    if (admitted) {
        score->admitted++;
    }
    else if (ideal) {
        score->strict++;
        if (score->admitted + score->wrong < team->ideal) {
            score->wrong++;
        }
    }
}

/* The baseline of a single leased home: one host has the whole bucket. After
 * the home host crashed, nothing is admitted until its lease ends. */
gboolean
_RateSim_AdmitHome(RateSim *sim, TeamState *team, const RateLimit *limit)
{
    if (!sim->hosts[team->home_host].up) {
        if (team->home_vacant_until_us == 0) {
            int64_t left =
                sim->desc.lease_ms * 1000 -
                (int64_t)Rng_Below(&sim->rng,
                                   (uint64_t)sim->desc.lease_ms * 1000 / 3);

            team->home_vacant_until_us = sim->now_us + left;
        }
        if (sim->now_us < team->home_vacant_until_us) {
            return FALSE;
        }
        team->home_host = (team->home_host + 1) % sim->host_count;
        team->home_vacant_until_us = 0;
        team->home = (Bucket){0, sim->now_us};
    }
    return _RateSim_TakeFrom(&team->home, limit, sim->now_us);
}

gboolean
_RateSim_AdmitStatic(RateSim *sim, TeamState *team, const RateLimit *limit,
                     int host)
{
    Bucket *bucket = &team->shares[host];
    int64_t full = limit->burst * RATE_MICRO / sim->host_count;
    int64_t elapsed = sim->now_us - bucket->at_us;

    bucket->at_us = sim->now_us;
    bucket->micro = MIN(full, bucket->micro + elapsed * limit->rate_per_s /
                                                  sim->host_count);
    if (bucket->micro < RATE_MICRO) {
        return FALSE;
    }
    bucket->micro -= RATE_MICRO;
    return TRUE;
}
