#include "rate/rate_wallet.h"

#include <math.h>
#include <string.h>

#include "base/pool.h"
#include "base/rng.h"

/* Demand is averaged over this time, and a draw takes what is expected in
 * AHEAD_MS beyond the waiting requests; half of a grant's life leaves time to
 * use it. */
#define DEMAND_TAU_MS 1000.0
#define AHEAD_MS 500
/* Reports of used tokens wait this long for a draw that carries them. */
#define SETTLE_LAZY_MS 300
/* Tokens that are not needed are returned this long before they expire. */
#define RETURN_MS 250
/* Used when a host does not hold any slot of the team. */
#define NOT_HELD_REST_MS 1000
#define FAILURE_MAX_MS 8000
#define NO_PEER UINT16_MAX
/* Holders refill a little slower than the rate (RateHolder_desc.drift_ppm); an
 * estimate above their level would lead to draws that are refused. */
#define SLOW_REFILL 0.99
/* Parts are drawn in so many rounds for a token. If they do not add up to one,
 * they are given back and the next round waits, for a time that differs
 * between entries. Otherwise the entries end up with parts that complete no
 * token. */
#define ROUNDS_MAX 2
#define PAUSE_MS 20
/* Least time between two draws of a small team that are refused. */
#define SMALL_RETRY_MS 5
/* Draws planned at once. */
#define PLANS_MAX 8

typedef struct Team Team;
typedef struct Grant Grant;

/* A holder of slots. */
typedef struct Peer {
    uint64_t host; /* 0 = free */
    uint64_t incarnation;
    RateDistance distance;
    int slots;
    int grants; /* records that refer to it */
    int failures;
    ClockMs down_until;
    ClockMs due_ms; /* when reports are due; CLOCK_NEVER = none */
    Grant *dirty;   /* grants with something to report */
    Grant **dirty_end;
} Peer;

struct Grant {
    uint64_t number;
    Team *team;
    Grant *next; /* of the team, soonest end first */
    Grant *next_dirty;
    PoolHandle handle;
    int64_t micro;
    int64_t left;
    int64_t taken; /* in tokens that are not used yet */
    int64_t used;
    ClockMs end_ms;
    uint16_t peer;
    gboolean is_dirty;
    gboolean settle_now;
    gboolean ended; /* not in the team's list; freed when not dirty */
};

typedef struct TeamSlot {
    uint16_t slot;
    double fill; /* level by burst when the holder last answered */
    ClockMs fill_ms;
    ClockMs empty_until;
} TeamSlot;

struct Team {
    uint64_t id;
    Team *next;
    RateLimit limit;
    RateShare share;
    Grant *grants;
    int64_t in_flight; /* micro-tokens that draws on the way may bring */
    int flights;
    int waiting;         /* requests, by RateWallet_AddWaiting() */
    int rounds;          /* of parts that completed no token yet */
    ClockMs pause_until; /* before parts are drawn again */
    double demand;       /* tokens per second */
    ClockMs demand_ms;
    ClockMs used_ms;
    TeamSlot slots[];
};

struct RateWallet {
    RateWallet_desc desc;
    uint64_t serial;
    Team **heads;
    uint32_t mask;
    uint32_t team_count;
    uint32_t tick_next;
    size_t team_bytes;
    Pool *grants;
    uint16_t slot_peer[RATE_SLOTS_MAX];
    Peer peers[2 * RATE_SLOTS_MAX];
    int peer_high;
};

RateWallet *
RateWallet_Create(const RateWallet_desc *desc)
{
    RateWallet *wallet = g_new0(RateWallet, 1);
    RateWallet_desc *d = &wallet->desc;
    uint32_t heads = 1024;

    *d = *desc;
    d->fleet_slots = d->fleet_slots > 0 ? d->fleet_slots : RATE_SLOTS_MAX;
    d->regions = d->regions > 0 ? d->regions : 1;
    d->max_teams = d->max_teams > 0 ? d->max_teams : 32768;
    d->max_grants = d->max_grants > 0 ? d->max_grants : 65536;
    d->idle_ms = d->idle_ms > 0 ? d->idle_ms : 60000;
    d->failure_ms = d->failure_ms > 0 ? d->failure_ms : 500;
    while (heads < d->max_teams) {
        heads *= 2;
    }
    wallet->mask = heads - 1;
    wallet->heads = g_new0(Team *, heads);
    wallet->grants = Pool_Create(sizeof(Grant), d->max_grants);
    memset(wallet->slot_peer, 0xff, sizeof(wallet->slot_peer));
    return wallet;
}

void
RateWallet_Destroy(RateWallet *wallet)
{
    if (wallet == NULL) {
        return;
    }
    for (uint32_t i = 0; i <= wallet->mask; i++) {
        while (wallet->heads[i] != NULL) {
            Team *next = wallet->heads[i]->next;

            g_free(wallet->heads[i]);
            wallet->heads[i] = next;
        }
    }
    g_free(wallet->heads);
    Pool_Destroy(wallet->grants);
    g_free(wallet);
}

static Team **
team_link(RateWallet *wallet, uint64_t id)
{
    Team **link = &wallet->heads[Rng_Mix(id, 0) & wallet->mask];

    while (*link != NULL && (*link)->id != id) {
        link = &(*link)->next;
    }
    return link;
}

/* Holders by host, incarnation. */
static uint16_t
find_peer(RateWallet *wallet, uint64_t host, uint64_t incarnation)
{
    for (int i = 0; i < wallet->peer_high; i++) {
        if (wallet->peers[i].host == host &&
            wallet->peers[i].incarnation == incarnation) {
            return (uint16_t)i;
        }
    }
    return NO_PEER;
}

static uint16_t
add_peer(RateWallet *wallet, uint64_t host, uint64_t incarnation,
         RateDistance distance)
{
    uint16_t found = find_peer(wallet, host, incarnation);
    int i = 0;

    if (found != NO_PEER) {
        wallet->peers[found].distance = distance;
        return found;
    }
    while (i < wallet->peer_high &&
           (wallet->peers[i].slots > 0 || wallet->peers[i].grants > 0)) {
        i++;
    }
    if (i == 2 * RATE_SLOTS_MAX) {
        return NO_PEER;
    }
    wallet->peer_high = MAX(wallet->peer_high, i + 1);
    wallet->peers[i] = (Peer){.host = host,
                              .incarnation = incarnation,
                              .distance = distance,
                              .due_ms = CLOCK_NEVER};
    wallet->peers[i].dirty_end = &wallet->peers[i].dirty;
    return (uint16_t)i;
}

/* What was learnt about a former holder says nothing about the next. */
static void
forget_empty(RateWallet *wallet, int slot)
{
    for (uint32_t i = 0; i <= wallet->mask; i++) {
        for (Team *team = wallet->heads[i]; team != NULL; team = team->next) {
            for (int k = 0; k < team->share.slots; k++) {
                if (team->slots[k].slot == slot) {
                    team->slots[k].empty_until = 0;
                }
            }
        }
    }
}

void
RateWallet_SetHolder(RateWallet *wallet, int slot, uint64_t holder,
                     uint64_t incarnation, RateDistance distance)
{
    uint16_t old = wallet->slot_peer[slot];
    uint16_t now = NO_PEER;

    if (holder != 0) {
        now = add_peer(wallet, holder, incarnation, distance);
    }
    if (now == old) {
        return;
    }
    if (old != NO_PEER) {
        wallet->peers[old].slots--;
        forget_empty(wallet, slot);
    }
    if (now != NO_PEER) {
        wallet->peers[now].slots++;
    }
    wallet->slot_peer[slot] = now;
}

/* Orders a grant's report; it is sent at `due`. */
static void
mark_dirty(RateWallet *wallet, Grant *grant, ClockMs due)
{
    Peer *peer = &wallet->peers[grant->peer];

    peer->due_ms = MIN(peer->due_ms, due);
    if (!grant->is_dirty) {
        grant->is_dirty = TRUE;
        grant->next_dirty = NULL;
        *peer->dirty_end = grant;
        peer->dirty_end = &grant->next_dirty;
    }
}

static void
free_grant(RateWallet *wallet, Grant *grant)
{
    wallet->peers[grant->peer].grants--;
    Pool_Remove(wallet->grants, grant->handle);
}

/* Takes the grant out of its team's list; the record lives on until its report
 * was sent. */
static void
end_grant(RateWallet *wallet, Grant **link)
{
    Grant *grant = *link;

    *link = grant->next;
    grant->ended = TRUE;
    if (!grant->is_dirty) {
        free_grant(wallet, grant);
    }
}

static void
drop_expired(RateWallet *wallet, Team *team, ClockMs now)
{
    while (team->grants != NULL && team->grants->end_ms <= now) {
        end_grant(wallet, &team->grants);
    }
}

static void
close_grant(RateWallet *wallet, Grant *grant, ClockMs due)
{
    Team *team = grant->team;

    mark_dirty(wallet, grant, due);
    for (Grant **link = &team->grants; *link != NULL; link = &(*link)->next) {
        if (*link == grant) {
            end_grant(wallet, link);
            return;
        }
    }
}

static void
set_limit(RateWallet *wallet, Team *team, const RateLimit *limit)
{
    uint16_t order[RATE_SLOTS_MAX];

    team->limit = *limit;
    team->share = RateShare_Make(limit, wallet->desc.fleet_slots);
    RateShare_Slots(team->id, team->share.slots, wallet->desc.fleet_slots,
                    wallet->desc.regions, order);
    for (int i = 0; i < team->share.slots; i++) {
        team->slots[i] = (TeamSlot){.slot = order[i], .fill = 1.0};
    }
}

static void
drop_team(RateWallet *wallet, Team **link)
{
    Team *team = *link;

    while (team->grants != NULL) {
        Grant *grant = team->grants;

        grant->left = 0;
        end_grant(wallet, &team->grants);
    }
    *link = team->next;
    wallet->team_count--;
    wallet->team_bytes -=
        sizeof(Team) + (size_t)team->share.slots * sizeof(TeamSlot);
    g_free(team);
}

static Team *
add_team(RateWallet *wallet, Team **link, uint64_t id, const RateLimit *limit)
{
    RateShare share = RateShare_Make(limit, wallet->desc.fleet_slots);
    size_t bytes = sizeof(Team) + (size_t)share.slots * sizeof(TeamSlot);
    Team *team;

    if (wallet->team_count >= wallet->desc.max_teams) {
        return NULL;
    }
    team = g_malloc0(bytes);
    team->id = id;
    *link = team;
    wallet->team_count++;
    wallet->team_bytes += bytes;
    set_limit(wallet, team, limit);
    return team;
}

/* Finds the team's record, made new if its limit or its number of slots
 * changed while no draw is on the way. */
static Team *
get_team(RateWallet *wallet, uint64_t id, const RateLimit *limit)
{
    Team **link = team_link(wallet, id);
    Team *team = *link;

    if (team == NULL) {
        return add_team(wallet, link, id, limit);
    }
    if (team->limit.rate_per_s != limit->rate_per_s ||
        team->limit.burst != limit->burst) {
        if (RateShare_Make(limit, wallet->desc.fleet_slots).slots ==
            team->share.slots) {
            set_limit(wallet, team, limit);
        }
        else if (team->flights == 0 && team->waiting == 0) {
            drop_team(wallet, link);
            link = team_link(wallet, id);
            team = add_team(wallet, link, id, limit);
        }
    }
    return team;
}

static int64_t
balance_of(const Team *team)
{
    int64_t sum = 0;

    for (const Grant *grant = team->grants; grant; grant = grant->next) {
        sum += grant->left;
    }
    return sum;
}

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

static gboolean
is_small(const Team *team)
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
static double
level_sum(const RateWallet *wallet, const Team *team, ClockMs now)
{
    double sum = 0.0;

    for (int i = 0; i < team->share.slots; i++) {
        if (peer_to_ask(wallet, team, i, now) != NO_PEER) {
            sum += level_now(team, i, now);
        }
    }
    return sum;
}

/* Whether a draw may bring a token now; else says why not. */
static Result
can_draw(const RateWallet *wallet, const Team *team, ClockMs now,
         int *retry_ms)
{
    Result result = RESULT_RATE_UNREACHABLE;
    ClockMs next = now + NOT_HELD_REST_MS;
    gboolean any = FALSE;

    for (int i = 0; i < team->share.slots; i++) {
        const TeamSlot *place = &team->slots[i];
        uint16_t index = wallet->slot_peer[place->slot];
        ClockMs down;

        if (index == NO_PEER) {
            continue;
        }
        down = wallet->peers[index].down_until;
        if (down <= now) {
            result = RESULT_RATE_EXCEEDED;
            any = any || place->empty_until <= now;
        }
        next = MIN(next, MAX(down, place->empty_until));
    }
    if (team->pause_until > now ||
        (team->rounds >= ROUNDS_MAX && team->flights == 0)) {
        any = FALSE;
        next = MAX(team->pause_until, now + SMALL_RETRY_MS);
    }
    else if (any && is_small(team)) {
        double missing = RATE_MICRO + 8.0 - (double)balance_of(team) -
                         level_sum(wallet, team, now);

        any = missing <= 0.0;
        next = now + 1 +
               (ClockMs)MIN(1000.0,
                            missing / (double)team->limit.rate_per_s / 1000.0);
    }
    /* The draws on the way may bring it. */
    any = any || team->flights > 0;
    *retry_ms = any ? 0 : (int)MAX(next - now, 1);
    return any ? RESULT_NOT_FOUND : result;
}

static void
count_demand(Team *team, ClockMs now)
{
    double elapsed = (double)(now - team->demand_ms);

    if (elapsed > 0.0) {
        team->demand *= exp(-elapsed / DEMAND_TAU_MS);
        team->demand_ms = now;
    }
    team->demand += 1000.0 / DEMAND_TAU_MS;
}

Result
RateWallet_Take(RateWallet *wallet, uint64_t id, const RateLimit *limit,
                ClockMs now, RateToken *token, int *retry_ms)
{
    Team *team = get_team(wallet, id, limit);
    int64_t missing = RATE_MICRO;

    *retry_ms = 0;
    if (team == NULL) {
        return RESULT_FULL;
    }
    team->used_ms = now;
    drop_expired(wallet, team, now);
    token->team = id;
    token->parts = 0;
    token->end_ms = CLOCK_NEVER;
    for (Grant *grant = team->grants; grant != NULL && missing > 0;
         grant = grant->next) {
        int64_t part = MIN(grant->left, missing);

        if (part > 0 && token->parts < RATE_TOKEN_PARTS) {
            token->part[token->parts].grant = grant->handle;
            token->part[token->parts].micro = part;
            token->parts++;
            token->end_ms = MIN(token->end_ms, grant->end_ms);
            missing -= part;
        }
    }
    if (missing > 0) {
        return can_draw(wallet, team, now, retry_ms);
    }
    for (int i = 0; i < token->parts; i++) {
        Grant *grant = Pool_Get(wallet->grants, token->part[i].grant);

        grant->left -= token->part[i].micro;
        grant->taken += token->part[i].micro;
    }
    team->rounds = 0;
    count_demand(team, now);
    return RESULT_OK;
}

Result
RateWallet_Use(RateWallet *wallet, const RateToken *token, ClockMs now)
{
    if (now >= token->end_ms) {
        return RESULT_RATE_EXCEEDED;
    }
    for (int i = 0; i < token->parts; i++) {
        Grant *grant = Pool_Get(wallet->grants, token->part[i].grant);

        if (grant == NULL) {
            continue;
        }
        grant->taken -= token->part[i].micro;
        grant->used += token->part[i].micro;
        if (grant->ended) {
            continue;
        }
        if (grant->left == 0 && grant->taken == 0) {
            close_grant(wallet, grant,
                        grant->settle_now ? now : now + SETTLE_LAZY_MS);
        }
        else {
            mark_dirty(wallet, grant, now + SETTLE_LAZY_MS);
        }
    }
    return RESULT_OK;
}

void
RateWallet_Return(RateWallet *wallet, const RateToken *token, ClockMs now)
{
    for (int i = 0; i < token->parts; i++) {
        Grant *grant = Pool_Get(wallet->grants, token->part[i].grant);

        if (grant != NULL && now < grant->end_ms) {
            grant->taken -= token->part[i].micro;
            grant->left += token->part[i].micro;
        }
    }
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

static void
set_level(RateWallet *wallet, Team *team, uint16_t peer, double level,
          ClockMs now)
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
        is_small(team)
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
    set_level(wallet, team, index,
              level_at(wallet, team, index, planning->now) - (double)part,
              planning->now);
}

/* Asks for whole tokens; returns what is still needed. */
static int64_t
plan_whole(RateWallet *wallet, Planning *planning, int64_t need)
{
    Team *team = planning->team;
    double least = is_small(team) ? RATE_MICRO : 0.0;

    while (need >= RATE_MICRO && planning->count < planning->max) {
        uint16_t index = choose_peer(wallet, team, planning->now, least,
                                     planning->peers, planning->count);
        int64_t part;

        if (index == NO_PEER) {
            break;
        }
        part = burst_at(wallet, team, index);
        if (is_small(team)) {
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
RateWallet_AddWaiting(RateWallet *wallet, uint64_t id, int change)
{
    Team *team = *team_link(wallet, id);

    if (team == NULL) {
        return 0;
    }
    team->waiting += change;
    return team->waiting;
}

int
RateWallet_Plan(RateWallet *wallet, uint64_t id, int waiting, ClockMs now,
                RatePlan *plans, int max)
{
    Team *team = *team_link(wallet, id);
    Planning planning = {
        .team = team, .now = now, .plans = plans, .max = MIN(max, PLANS_MAX)};
    int64_t need;

    if (team == NULL) {
        return 0;
    }
    drop_expired(wallet, team, now);
    need = (int64_t)waiting * RATE_MICRO - balance_of(team) - team->in_flight;
    if (!is_small(team)) {
        need = (need + RATE_MICRO - 1) / RATE_MICRO * RATE_MICRO;
    }
    need = plan_whole(wallet, &planning, need);
    if (need > 0 && planning.count == 0 && is_small(team)) {
        plan_parts(wallet, &planning, need);
    }
    return planning.count;
}

static Team *
landed(RateWallet *wallet, const RatePlan *plan)
{
    Team *team = *team_link(wallet, plan->draw.team);

    if (team != NULL && team->flights > 0) {
        team->flights--;
        team->in_flight = team->flights > 0
                              ? MAX(0, team->in_flight - plan->draw.need_micro)
                              : 0;
    }
    return team;
}

static void
set_empty(RateWallet *wallet, Team *team, uint16_t peer, ClockMs until)
{
    for (int i = 0; i < team->share.slots; i++) {
        if (wallet->slot_peer[team->slots[i].slot] == peer) {
            team->slots[i].empty_until = until;
        }
    }
}

static void
insert_grant(RateWallet *wallet, Team *team, uint16_t peer,
             const RatePlan *plan, const RateGrant *given)
{
    void *record;
    PoolHandle handle = Pool_Add(wallet->grants, &record);
    Grant *grant = record;
    Grant **link = &team->grants;

    /* With a full table the tokens lapse unused. */
    if (handle == POOL_NONE) {
        return;
    }
    *grant = (Grant){.number = given->number,
                     .team = team,
                     .handle = handle,
                     .micro = given->micro,
                     .left = given->micro,
                     .end_ms = plan->sent_ms + given->life_ms,
                     .peer = peer,
                     .settle_now = given->settle_now};
    while (*link != NULL && (*link)->end_ms <= grant->end_ms) {
        link = &(*link)->next;
    }
    grant->next = *link;
    *link = grant;
    wallet->peers[peer].grants++;
}

void
RateWallet_Granted(RateWallet *wallet, const RatePlan *plan,
                   const RateGrant *given, ClockMs now)
{
    Team *team = landed(wallet, plan);
    uint16_t peer = add_peer(wallet, plan->holder, plan->holder_incarnation,
                             RATE_ELSEWHERE);

    /* A holder that is no longer known gets its tokens back when they lapse.
     */
    if (team == NULL || peer == NO_PEER) {
        return;
    }
    wallet->peers[peer].failures = 0;
    wallet->peers[peer].down_until = 0;
    set_level(wallet, team, peer, (double)given->level_micro, now);
    if (given->micro < plan->draw.need_micro) {
        int wait = MAX(given->retry_ms, 1);

        /* The estimated levels say when to ask the holders of a small team. */
        set_empty(wallet, team, peer,
                  now + (is_small(team) ? MIN(wait, SMALL_RETRY_MS) : wait));
    }
    if (given->micro > 0 && now < plan->sent_ms + given->life_ms) {
        insert_grant(wallet, team, peer, plan, given);
    }
}

void
RateWallet_Failed(RateWallet *wallet, const RatePlan *plan, Result result,
                  ClockMs now)
{
    Team *team = landed(wallet, plan);
    uint16_t index = find_peer(wallet, plan->holder, plan->holder_incarnation);
    Peer *peer;

    if (index == NO_PEER) {
        return;
    }
    peer = &wallet->peers[index];
    if (result == RESULT_RATE_NOT_HELD || result == RESULT_FULL) {
        if (team != NULL) {
            set_empty(wallet, team, index, now + NOT_HELD_REST_MS);
        }
        return;
    }
    peer->failures = MIN(peer->failures + 1, 8);
    peer->down_until =
        now + MIN((int64_t)wallet->desc.failure_ms << (peer->failures - 1),
                  FAILURE_MAX_MS);
}

/* Returns the unused rest of a grant unless a token was taken from it. */
static gboolean
return_rest(RateWallet *wallet, Grant *grant, ClockMs now)
{
    if (grant->taken > 0) {
        return FALSE;
    }
    grant->left = 0;
    close_grant(wallet, grant, now);
    return TRUE;
}

void
RateWallet_GiveBack(RateWallet *wallet, uint64_t id, ClockMs now)
{
    Team *team = *team_link(wallet, id);
    Grant *grant;

    if (team == NULL || balance_of(team) >= RATE_MICRO || team->flights > 0) {
        return;
    }
    if (team->rounds >= ROUNDS_MAX) {
        team->pause_until =
            now + PAUSE_MS +
            (ClockMs)(Rng_Mix(wallet->desc.entry, wallet->serial) %
                      (2 * PAUSE_MS));
    }
    team->rounds = 0;
    grant = team->grants;
    while (grant != NULL) {
        Grant *next = grant->next;

        if (grant->left > 0) {
            return_rest(wallet, grant, now);
        }
        grant = next;
    }
}

int
RateWallet_Settle(RateWallet *wallet, uint64_t holder, uint64_t incarnation,
                  RateUse *uses, int max, ClockMs now)
{
    uint16_t index = find_peer(wallet, holder, incarnation);
    Peer *peer;
    int count = 0;

    if (index == NO_PEER) {
        return 0;
    }
    peer = &wallet->peers[index];
    while (peer->dirty != NULL && count < max) {
        Grant *grant = peer->dirty;

        peer->dirty = grant->next_dirty;
        grant->is_dirty = FALSE;
        if (grant->end_ms > now) {
            uses[count++] = (RateUse){
                .grant = grant->number,
                .used_micro = grant->used,
                .closed = grant->ended && grant->taken == 0,
            };
        }
        if (grant->ended) {
            free_grant(wallet, grant);
        }
    }
    if (peer->dirty == NULL) {
        peer->dirty_end = &peer->dirty;
        peer->due_ms = CLOCK_NEVER;
    }
    return count;
}

gboolean
RateWallet_NextSettlement(RateWallet *wallet, ClockMs now, uint64_t *holder,
                          uint64_t *incarnation)
{
    for (int i = 0; i < wallet->peer_high; i++) {
        if (wallet->peers[i].due_ms <= now) {
            *holder = wallet->peers[i].host;
            *incarnation = wallet->peers[i].incarnation;
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns tokens of the team that will not be needed before they expire. */
static void
return_unused(RateWallet *wallet, Team *team, ClockMs now)
{
    Grant *grant;

    drop_expired(wallet, team, now);
    grant = team->grants;
    while (grant != NULL) {
        Grant *next = grant->next;

        if (grant->left > 0 && grant->end_ms - now < RETURN_MS) {
            return_rest(wallet, grant, now);
        }
        grant = next;
    }
}

void
RateWallet_Tick(RateWallet *wallet, ClockMs now)
{
    uint32_t step = (wallet->mask + 1) / 4;

    /* A quarter of the table in each call. */
    for (uint32_t i = 0; i < step; i++) {
        Team **link = &wallet->heads[wallet->tick_next++ & wallet->mask];

        while (*link != NULL) {
            return_unused(wallet, *link, now);
            if ((*link)->flights == 0 && (*link)->waiting == 0 &&
                now - (*link)->used_ms > wallet->desc.idle_ms) {
                drop_team(wallet, link);
            }
            else {
                link = &(*link)->next;
            }
        }
    }
}

size_t
RateWallet_MemoryBytes(const RateWallet *wallet)
{
    return sizeof(*wallet) + (wallet->mask + 1) * sizeof(Team *) +
           wallet->team_bytes + Pool_Count(wallet->grants) * sizeof(Grant);
}

uint32_t
RateWallet_TeamCount(const RateWallet *wallet)
{
    return wallet->team_count;
}
