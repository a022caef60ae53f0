/* RateWallet: which holders to draw from, and how much. */
#include "base/rng.h"
#include "rate/rate_wallet_private.h"

/* A draw takes what is expected in this time beyond the waiting requests; half
 * of a grant's life leaves time to use it. */
#define AHEAD_MS 500
/* Holders refill a little slower than the rate (RateHolder_desc.drift_ppm); an
 * estimate above their level would lead to draws that are refused. */
#define SLOW_REFILL 0.99
/* Draws planned at once. */
#define PLANS_MAX 8

/* Level that the slot's bucket has by now if nobody else has drawn from it. */
static double
level_now(const Team *team, int i, ClockMs now)
{
    const TeamSlot *place = &team->slots[i];
    double burst =
        (double)(team->share.burst_micro + (i < team->share.burst_extra));
    double refill = (double)team->share.micro_per_second * SLOW_REFILL /
                    1000.0 * (double)(now - place->fill_ms);

    return MIN(burst, place->fill * burst + refill);
}

gboolean
_RateWallet_IsSmall(const Team *team)
{
    return team->share.burst_micro < RATE_SMALL_BURST;
}

/* The peer of the team's i-th slot if it can be asked now, else NO_PEER. */
static uint16_t
peer_to_ask(const RateWallet *wallet, const Team *team, int i, ClockMs now)
{
    uint16_t index = wallet->slot_peer[team->slots[i].slot];

    if (index == NO_PEER || wallet->peers[index].down_until > now ||
        team->slots[i].empty_until > now) {
        return NO_PEER;
    }
    return index;
}

/* Sum of the levels of the buckets that can be asked now. */
double
_RateWallet_LevelSum(const RateWallet *wallet, const Team *team, ClockMs now)
{
    double sum = 0.0;

    for (int i = 0; i < team->share.slots; i++) {
        if (peer_to_ask(wallet, team, i, now) != NO_PEER) {
            sum += level_now(team, i, now);
        }
    }
    return sum;
}

/* The holder to ask next for at least `least` micro-tokens. The nearest ones
 * come first until they are emptier than farther ones by the latter's
 * handicap: an untouched bucket that stays full loses its refill, so all of
 * them have to be used. The hash lets entries of one place prefer different
 * holders. */
static uint16_t
choose_peer(const RateWallet *wallet, const Team *team, ClockMs now,
            double least, const uint16_t *skip, int skipped)
{
    static const double handicap[] = {0.0, 0.02, 0.1, 0.4};
    double burst = (double)MAX(team->share.burst_micro, 1);
    uint16_t best = NO_PEER;
    double best_score = 0.0;

    for (int i = 0; i < team->share.slots; i++) {
        uint16_t index = peer_to_ask(wallet, team, i, now);
        double level;
        double score;
        gboolean seen = index == NO_PEER;

        for (int k = 0; k < skipped; k++) {
            seen = seen || skip[k] == index;
        }
        level = level_now(team, i, now);
        if (seen || level < least) {
            continue;
        }
        score =
            level / burst - handicap[wallet->peers[index].distance] +
            (double)(Rng_Mix(wallet->desc.entry, wallet->peers[index].host) &
                     0xff) /
                2560.0;
        if (best == NO_PEER || score > best_score) {
            best = index;
            best_score = score;
        }
    }
    return best;
}

/* Burst and level of all slots that the peer holds for the team. */
static int64_t
burst_at(const RateWallet *wallet, const Team *team, uint16_t peer)
{
    int64_t burst = 0;

    for (int i = 0; i < team->share.slots; i++) {
        if (wallet->slot_peer[team->slots[i].slot] == peer) {
            burst += team->share.burst_micro + (i < team->share.burst_extra);
        }
    }
    return burst;
}

static double
level_at(const RateWallet *wallet, const Team *team, uint16_t peer,
         ClockMs now)
{
    double level = 0.0;

    for (int i = 0; i < team->share.slots; i++) {
        if (wallet->slot_peer[team->slots[i].slot] == peer) {
            level += level_now(team, i, now);
        }
    }
    return level;
}

void
_RateWallet_SetLevel(RateWallet *wallet, Team *team, uint16_t peer,
                     double level, ClockMs now)
{
    double burst = (double)MAX(burst_at(wallet, team, peer), 1);

    for (int i = 0; i < team->share.slots; i++) {
        if (wallet->slot_peer[team->slots[i].slot] == peer) {
            team->slots[i].fill = CLAMP(level / burst, 0.0, 1.0);
            team->slots[i].fill_ms = now;
        }
    }
}

/* Draws of one call of RateWallet_Plan(). */
typedef struct Planning {
    Team *team;
    ClockMs now;
    RatePlan *plans;
    int max;
    int count;
    uint16_t peers[PLANS_MAX];
} Planning;

static void
add_plan(RateWallet *wallet, Planning *planning, uint16_t index, int64_t part)
{
    Team *team = planning->team;
    Peer *peer = &wallet->peers[index];
    int64_t ahead =
        _RateWallet_IsSmall(team)
            ? 0
            : (int64_t)(team->demand * AHEAD_MS / 1000.0) * RATE_MICRO;

    planning->plans[planning->count] =
        (RatePlan){.holder = peer->host,
                   .holder_incarnation = peer->incarnation,
                   .sent_ms = planning->now,
                   .draw = {.team = team->id,
                            .entry = wallet->desc.entry,
                            .entry_incarnation = wallet->desc.incarnation,
                            .serial = ++wallet->serial,
                            .need_micro = part,
                            .want_micro = part + ahead}};
    planning->peers[planning->count++] = index;
    team->in_flight += part;
    team->flights++;
    _RateWallet_SetLevel(wallet, team, index,
                         level_at(wallet, team, index, planning->now) -
                             (double)part,
                         planning->now);
}

/* Asks for whole tokens; returns what is still needed. */
static int64_t
plan_whole(RateWallet *wallet, Planning *planning, int64_t need)
{
    Team *team = planning->team;
    double least = _RateWallet_IsSmall(team) ? RATE_MICRO : 0.0;

    while (need >= RATE_MICRO && planning->count < planning->max) {
        uint16_t index = choose_peer(wallet, team, planning->now, least,
                                     planning->peers, planning->count);
        int64_t part;

        if (index == NO_PEER) {
            break;
        }
        part = burst_at(wallet, team, index);
        if (_RateWallet_IsSmall(team)) {
            part = (int64_t)level_at(wallet, team, index, planning->now);
        }
        part = MIN(need, part);
        part -= part % RATE_MICRO;
        part = MAX(part, RATE_MICRO);
        add_plan(wallet, planning, index, part);
        need -= part;
    }
    return need;
}

/* Asks all holders for parts in proportion to their levels, which keeps the
 * levels even, so that none is full and loses refill while another one is
 * empty. Asks for nothing if the levels do not add up to a token. */
static void
plan_parts(RateWallet *wallet, Planning *planning, int64_t need)
{
    Team *team = planning->team;
    double levels[RATE_TEAM_SLOTS_MIN];
    double sum = 0.0;
    int count = MIN(team->share.slots, RATE_TEAM_SLOTS_MIN);

    for (int i = 0; i < count; i++) {
        uint16_t index = peer_to_ask(wallet, team, i, planning->now);

        levels[i] = 0.0;
        if (index != NO_PEER) {
            /* Less what rounding may add. */
            levels[i] = MAX(level_now(team, i, planning->now) - 2.0, 0.0);
            sum += levels[i];
        }
    }
    while (need > 0 && (double)need > sum) {
        need -= RATE_MICRO;
    }
    team->rounds++;
    for (int i = 0, left = (int)MAX(need, 0); i < count && left > 0; i++) {
        uint16_t index = peer_to_ask(wallet, team, i, planning->now);
        int64_t part = (int64_t)((double)need * levels[i] / sum) + 1;

        part = MIN(part, left);
        if (index == NO_PEER || levels[i] <= 0.0 ||
            planning->count == planning->max) {
            continue;
        }
        add_plan(wallet, planning, index, part);
        left -= (int)part;
    }
}

int
RateWallet_Plan(RateWallet *wallet, uint64_t id, int waiting, ClockMs now,
                RatePlan *plans, int max)
{
    Team *team = *_RateWallet_Link(wallet, id);
    Planning planning = {
        .team = team, .now = now, .plans = plans, .max = MIN(max, PLANS_MAX)};
    int64_t need;

    if (team == NULL) {
        return 0;
    }
    _RateWallet_DropExpired(wallet, team, now);
    need = (int64_t)waiting * RATE_MICRO - _RateWallet_Balance(team) -
           team->in_flight;
    if (!_RateWallet_IsSmall(team)) {
        need = (need + RATE_MICRO - 1) / RATE_MICRO * RATE_MICRO;
    }
    need = plan_whole(wallet, &planning, need);
    if (need > 0 && planning.count == 0 && _RateWallet_IsSmall(team)) {
        plan_parts(wallet, &planning, need);
    }
    return planning.count;
}
