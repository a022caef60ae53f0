#include "rate/rate_wallet.h"

#include <math.h>
#include <string.h>

#include "base/rng.h"
#include "rate/rate_wallet_private.h"

/* Demand is averaged over this time. */
#define DEMAND_TAU_MS 1000.0
/* Reports of used tokens wait this long for a draw that carries them. */
#define SETTLE_LAZY_MS 300
/* Tokens that are not needed are returned this long before they expire. */
#define RETURN_MS 250
/* Used when a host does not hold any slot of the team. */
#define NOT_HELD_REST_MS 1000
#define FAILURE_MAX_MS 8000
/* Parts are drawn in so many rounds for a token. If they do not add up to one,
 * they are given back and the next round waits, for a time that differs
 * between entries. Otherwise the entries end up with parts that complete no
 * token. */
#define ROUNDS_MAX 2
#define PAUSE_MS 20
/* Least time between two draws of a small team that are refused. */
#define SMALL_RETRY_MS 5

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

Team **
_RateWallet_Link(RateWallet *wallet, uint64_t id)
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

void
_RateWallet_DropExpired(RateWallet *wallet, Team *team, ClockMs now)
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
    Team **link = _RateWallet_Link(wallet, id);
    Team *team = *link;

    if (team == NULL) {
        return add_team(wallet, link, id, limit);
    }
    if (!RateLimit_IsEqual(&team->limit, limit)) {
        if (RateShare_Make(limit, wallet->desc.fleet_slots).slots ==
            team->share.slots) {
            set_limit(wallet, team, limit);
        }
        else if (team->flights == 0 && team->waiting == 0) {
            drop_team(wallet, link);
            link = _RateWallet_Link(wallet, id);
            team = add_team(wallet, link, id, limit);
        }
    }
    return team;
}

int64_t
_RateWallet_Balance(const Team *team)
{
    int64_t sum = 0;

    for (const Grant *grant = team->grants; grant; grant = grant->next) {
        sum += grant->left;
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
    else if (any && _RateWallet_IsSmall(team)) {
        double missing = RATE_MICRO + 8.0 - (double)_RateWallet_Balance(team) -
                         _RateWallet_LevelSum(wallet, team, now);

        any = missing <= 0.0;
        next =
            now + 1 +
            (ClockMs)MIN(
                1000.0, missing * 1000.0 /
                            (double)MAX(RateLimit_RateMicro(&team->limit), 1));
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
    _RateWallet_DropExpired(wallet, team, now);
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

int
RateWallet_AddWaiting(RateWallet *wallet, uint64_t id, int change)
{
    Team *team = *_RateWallet_Link(wallet, id);

    if (team == NULL) {
        return 0;
    }
    team->waiting += change;
    return team->waiting;
}

static Team *
landed(RateWallet *wallet, const RatePlan *plan)
{
    Team *team = *_RateWallet_Link(wallet, plan->draw.team);

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
    _RateWallet_SetLevel(wallet, team, peer, (double)given->level_micro, now);
    if (given->micro < plan->draw.need_micro) {
        int wait = MAX(given->retry_ms, 1);

        /* The estimated levels say when to ask the holders of a small team. */
        set_empty(wallet, team, peer,
                  now + (_RateWallet_IsSmall(team) ? MIN(wait, SMALL_RETRY_MS)
                                                   : wait));
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
    Team *team = *_RateWallet_Link(wallet, id);
    Grant *grant;

    if (team == NULL || _RateWallet_Balance(team) >= RATE_MICRO ||
        team->flights > 0) {
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

    _RateWallet_DropExpired(wallet, team, now);
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
