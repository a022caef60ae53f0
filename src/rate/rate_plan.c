/* RateCache: which holders to draw from, and how much. */
#include "base/rng.h"
#include "rate/rate_cache_private.h"

/* A draw for the waiting requests also asks for the demand expected in this
 * time. Half of a grant's life leaves time to use the tokens. */
#define PREFETCH_MS 500
/* Holders refill slightly slower than the rate (RateHolder_desc.drift_ppm). An
 * estimate above their level would lead to draws that are refused. */
#define REFILL_FACTOR 0.99
/* Maximum number of draws planned at once. */
#define PLANS_MAX 8

/* Estimated level of the slot's bucket, if no other entry has drawn from it.
 */
static double
level_now(const Team *team, int i, ClockMs now)
{
    const TeamSlot *team_slot = &team->slots[i];
    double burst =
        (double)(team->share.burst_micro + (i < team->share.burst_extra));
    double refill = (double)team->share.micro_per_second * REFILL_FACTOR /
                    1000.0 * (double)(now - team_slot->fill_ms);

    return MIN(burst, team_slot->fill * burst + refill);
}

gboolean
_RateCache_IsSmall(const Team *team)
{
    return team->share.burst_micro < RATE_SMALL_BURST;
}

/* The holder of the team's i-th slot if a draw can be sent to it now, else
 * NO_PEER. */
static uint16_t
peer_to_ask(const RateCache *cache, const Team *team, int i, ClockMs now)
{
    uint16_t index = cache->slot_peer[team->slots[i].slot];

    if (index == NO_PEER || cache->peers[index].down_until > now ||
        team->slots[i].empty_until > now) {
        return NO_PEER;
    }
    return index;
}

/* Sum of the levels of the buckets that can be drawn from now. */
double
_RateCache_LevelSum(const RateCache *cache, const Team *team, ClockMs now)
{
    double sum = 0.0;

    for (int i = 0; i < team->share.slots; i++) {
        if (peer_to_ask(cache, team, i, now) != NO_PEER) {
            sum += level_now(team, i, now);
        }
    }
    return sum;
}

/* The holder to draw from next, with a level of at least `min_level`
 * micro-tokens. Near holders are preferred until their buckets are emptier
 * than those of farther holders by the distance penalty: a bucket that stays
 * full loses its refill, so all buckets have to be used. The hash makes
 * entries of one location prefer different holders. */
static uint16_t
choose_peer(const RateCache *cache, const Team *team, ClockMs now,
            double min_level, const uint16_t *skip, int skipped)
{
    static const double distance_penalty[] = {0.0, 0.02, 0.1, 0.4};
    double burst = (double)MAX(team->share.burst_micro, 1);
    uint16_t best = NO_PEER;
    double best_score = 0.0;

    for (int i = 0; i < team->share.slots; i++) {
        uint16_t index = peer_to_ask(cache, team, i, now);
        double level;
        double score;
        gboolean excluded = index == NO_PEER;

        for (int k = 0; k < skipped; k++) {
            excluded = excluded || skip[k] == index;
        }
        level = level_now(team, i, now);
        if (excluded || level < min_level) {
            continue;
        }
        score = level / burst -
                distance_penalty[cache->peers[index].distance] +
                (double)(Rng_Mix(cache->desc.entry, cache->peers[index].host) &
                         0xff) /
                    2560.0;
        if (best == NO_PEER || score > best_score) {
            best = index;
            best_score = score;
        }
    }
    return best;
}

/* Sum of the bursts of the team's slots that the peer holds. */
static int64_t
burst_at(const RateCache *cache, const Team *team, uint16_t peer)
{
    int64_t burst = 0;

    for (int i = 0; i < team->share.slots; i++) {
        if (cache->slot_peer[team->slots[i].slot] == peer) {
            burst += team->share.burst_micro + (i < team->share.burst_extra);
        }
    }
    return burst;
}

/* Sum of the estimated levels of the team's slots that the peer holds. */
static double
level_at(const RateCache *cache, const Team *team, uint16_t peer, ClockMs now)
{
    double level = 0.0;

    for (int i = 0; i < team->share.slots; i++) {
        if (cache->slot_peer[team->slots[i].slot] == peer) {
            level += level_now(team, i, now);
        }
    }
    return level;
}

void
_RateCache_SetLevel(RateCache *cache, Team *team, uint16_t peer, double level,
                    ClockMs now)
{
    double burst = (double)MAX(burst_at(cache, team, peer), 1);

    for (int i = 0; i < team->share.slots; i++) {
        if (cache->slot_peer[team->slots[i].slot] == peer) {
            team->slots[i].fill = CLAMP(level / burst, 0.0, 1.0);
            team->slots[i].fill_ms = now;
        }
    }
}

/* The draws that one call of RateCache_Plan() has planned so far. */
typedef struct Planning {
    Team *team;
    ClockMs now;
    RatePlan *plans;
    int max;
    int count;
    uint16_t peers[PLANS_MAX];
} Planning;

static void
add_plan(RateCache *cache, Planning *planning, uint16_t index, int64_t part)
{
    Team *team = planning->team;
    Peer *peer = &cache->peers[index];
    int64_t prefetch =
        _RateCache_IsSmall(team)
            ? 0
            : (int64_t)(team->demand * PREFETCH_MS / 1000.0) * RATE_MICRO;

    planning->plans[planning->count] =
        (RatePlan){.holder = peer->host,
                   .holder_incarnation = peer->incarnation,
                   .sent_ms = planning->now,
                   .draw = {.team = team->id,
                            .entry = cache->desc.entry,
                            .entry_incarnation = cache->desc.incarnation,
                            .serial = ++cache->serial,
                            .need_micro = part,
                            .want_micro = part + prefetch}};
    planning->peers[planning->count++] = index;
    team->micro_in_flight += part;
    team->draws_in_flight++;
    _RateCache_SetLevel(cache, team, index,
                        level_at(cache, team, index, planning->now) -
                            (double)part,
                        planning->now);
}

/* Plans draws of whole tokens; returns the amount that is still needed. */
static int64_t
plan_whole(RateCache *cache, Planning *planning, int64_t need)
{
    Team *team = planning->team;
    double min_level = _RateCache_IsSmall(team) ? RATE_MICRO : 0.0;

    while (need >= RATE_MICRO && planning->count < planning->max) {
        uint16_t index = choose_peer(cache, team, planning->now, min_level,
                                     planning->peers, planning->count);
        int64_t part;

        if (index == NO_PEER) {
            break;
        }
        part = burst_at(cache, team, index);
        if (_RateCache_IsSmall(team)) {
            part = (int64_t)level_at(cache, team, index, planning->now);
        }
        part = MIN(need, part);
        part -= part % RATE_MICRO;
        part = MAX(part, RATE_MICRO);
        add_plan(cache, planning, index, part);
        need -= part;
    }
    return need;
}

/* Plans draws of parts of a token from all holders in proportion to their
 * levels. That keeps the levels even, so that no bucket is full and loses
 * refill while another one is empty. Plans nothing if the levels do not add up
 * to a token. */
static void
plan_parts(RateCache *cache, Planning *planning, int64_t need)
{
    Team *team = planning->team;
    double levels[RATE_TEAM_SLOTS_MIN];
    double sum = 0.0;
    int count = MIN(team->share.slots, RATE_TEAM_SLOTS_MIN);

    for (int i = 0; i < count; i++) {
        uint16_t index = peer_to_ask(cache, team, i, planning->now);

        levels[i] = 0.0;
        if (index != NO_PEER) {
            /* Minus the amount that rounding may add. */
            levels[i] = MAX(level_now(team, i, planning->now) - 2.0, 0.0);
            sum += levels[i];
        }
    }
    while (need > 0 && (double)need > sum) {
        need -= RATE_MICRO;
    }
    team->rounds++;
    for (int i = 0, left = (int)MAX(need, 0); i < count && left > 0; i++) {
        uint16_t index = peer_to_ask(cache, team, i, planning->now);
        int64_t part = (int64_t)((double)need * levels[i] / sum) + 1;

        part = MIN(part, left);
        if (index == NO_PEER || levels[i] <= 0.0 ||
            planning->count == planning->max) {
            continue;
        }
        add_plan(cache, planning, index, part);
        left -= (int)part;
    }
}

int
RateCache_Plan(RateCache *cache, uint64_t id, int waiting, ClockMs now,
               RatePlan *plans, int max)
{
    Team *team = *_RateCache_Link(cache, id);
    Planning planning = {
        .team = team, .now = now, .plans = plans, .max = MIN(max, PLANS_MAX)};
    int64_t need;

    if (team == NULL) {
        return 0;
    }
    _RateCache_DropExpired(cache, team, now);
    need = (int64_t)waiting * RATE_MICRO - _RateCache_Balance(team) -
           team->micro_in_flight;
    if (!_RateCache_IsSmall(team)) {
        need = (need + RATE_MICRO - 1) / RATE_MICRO * RATE_MICRO;
    }
    need = plan_whole(cache, &planning, need);
    if (need > 0 && planning.count == 0 && _RateCache_IsSmall(team)) {
        plan_parts(cache, &planning, need);
    }
    return planning.count;
}
