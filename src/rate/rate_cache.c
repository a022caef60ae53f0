#include "rate/rate_cache.h"

#include <math.h>
#include <string.h>

#include "base/rng.h"
#include "rate/rate_cache_private.h"

/* Time constant of the exponential average of a team's demand. */
#define DEMAND_TAU_MS 1000.0
/* Reports of used tokens wait this long for a draw to which they are added. */
#define SETTLE_DELAY_MS 300
/* Unused tokens are returned this long before they expire. */
#define RETURN_MARGIN_MS 250
/* Back-off after a host replied that it holds no slot of the team. */
#define NOT_HELD_BACKOFF_MS 1000
#define BACKOFF_MAX_MS 8000
/* Parts of a token are drawn in at most ROUNDS_MAX rounds. If they do not add
 * up to a token, they are returned, and the entry pauses for PAUSE_MS to
 * 3 * PAUSE_MS before the next round; the pause differs between entries.
 * Otherwise each entry would keep parts of a token and none would have a whole
 * one. */
#define ROUNDS_MAX 2
#define PAUSE_MS 20
/* Delay after a refused draw of a team with a small burst (RATE_SMALL_BURST);
 * the holder may set a shorter one. */
#define SMALL_RETRY_MS 5

RateCache *
RateCache_Create(const RateCache_desc *desc)
{
    RateCache *cache = g_new0(RateCache, 1);
    RateCache_desc *d = &cache->desc;
    uint32_t heads = 1024;

    *d = *desc;
    d->fleet_slots = d->fleet_slots > 0 ? d->fleet_slots : RATE_SLOTS_MAX;
    d->regions = d->regions > 0 ? d->regions : 1;
    d->max_teams = d->max_teams > 0 ? d->max_teams : 32768;
    d->max_grants = d->max_grants > 0 ? d->max_grants : 65536;
    d->idle_ms = d->idle_ms > 0 ? d->idle_ms : 60000;
    d->backoff_ms = d->backoff_ms > 0 ? d->backoff_ms : 500;
    while (heads < d->max_teams) {
        heads *= 2;
    }
    cache->mask = heads - 1;
    cache->heads = g_new0(Team *, heads);
    cache->grants = Pool_Create(sizeof(Grant), d->max_grants);
    memset(cache->slot_peer, 0xff, sizeof(cache->slot_peer));
    return cache;
}

void
RateCache_Destroy(RateCache *cache)
{
    if (cache == NULL) {
        return;
    }
    for (uint32_t i = 0; i <= cache->mask; i++) {
        while (cache->heads[i] != NULL) {
            Team *next = cache->heads[i]->next;

            g_free(cache->heads[i]);
            cache->heads[i] = next;
        }
    }
    g_free(cache->heads);
    Pool_Destroy(cache->grants);
    g_free(cache);
}

Team **
_RateCache_Link(RateCache *cache, uint64_t id)
{
    Team **link = &cache->heads[Rng_Mix(id, 0) & cache->mask];

    while (*link != NULL && (*link)->id != id) {
        link = &(*link)->next;
    }
    return link;
}

/* Finds a holder by host and incarnation. */
static uint16_t
find_peer(RateCache *cache, uint64_t host, uint64_t incarnation)
{
    for (int i = 0; i < cache->peer_high; i++) {
        if (cache->peers[i].host == host &&
            cache->peers[i].incarnation == incarnation) {
            return (uint16_t)i;
        }
    }
    return NO_PEER;
}

static uint16_t
add_peer(RateCache *cache, uint64_t host, uint64_t incarnation,
         RateDistance distance)
{
    uint16_t found = find_peer(cache, host, incarnation);
    int i = 0;

    if (found != NO_PEER) {
        cache->peers[found].distance = distance;
        return found;
    }
    while (i < cache->peer_high &&
           (cache->peers[i].slots > 0 || cache->peers[i].grants > 0)) {
        i++;
    }
    if (i == 2 * RATE_SLOTS_MAX) {
        return NO_PEER;
    }
    cache->peer_high = MAX(cache->peer_high, i + 1);
    cache->peers[i] = (Peer){.host = host,
                             .incarnation = incarnation,
                             .distance = distance,
                             .due_ms = CLOCK_NEVER};
    cache->peers[i].dirty_end = &cache->peers[i].dirty;
    return (uint16_t)i;
}

/* Resets empty_until of a slot in all teams, because the level of the former
 * holder's bucket does not apply to the next holder. */
static void
reset_empty_until(RateCache *cache, int slot)
{
    for (uint32_t i = 0; i <= cache->mask; i++) {
        for (Team *team = cache->heads[i]; team != NULL; team = team->next) {
            for (int k = 0; k < team->share.slots; k++) {
                if (team->slots[k].slot == slot) {
                    team->slots[k].empty_until = 0;
                }
            }
        }
    }
}

void
RateCache_SetHolder(RateCache *cache, int slot, uint64_t holder,
                    uint64_t incarnation, RateDistance distance)
{
    uint16_t old_peer = cache->slot_peer[slot];
    uint16_t new_peer = NO_PEER;

    if (holder != 0) {
        new_peer = add_peer(cache, holder, incarnation, distance);
    }
    if (new_peer == old_peer) {
        return;
    }
    if (old_peer != NO_PEER) {
        cache->peers[old_peer].slots--;
        reset_empty_until(cache, slot);
    }
    if (new_peer != NO_PEER) {
        cache->peers[new_peer].slots++;
    }
    cache->slot_peer[slot] = new_peer;
}

/* Schedules a report on the grant for time `due`. */
static void
mark_dirty(RateCache *cache, Grant *grant, ClockMs due)
{
    Peer *peer = &cache->peers[grant->peer];

    peer->due_ms = MIN(peer->due_ms, due);
    if (!grant->is_dirty) {
        grant->is_dirty = TRUE;
        grant->next_dirty = NULL;
        *peer->dirty_end = grant;
        peer->dirty_end = &grant->next_dirty;
    }
}

static void
free_grant(RateCache *cache, Grant *grant)
{
    cache->peers[grant->peer].grants--;
    Pool_Remove(cache->grants, grant->handle);
}

/* Removes the grant from its team's list. The record is kept until its report
 * has been sent. */
static void
end_grant(RateCache *cache, Grant **link)
{
    Grant *grant = *link;

    *link = grant->next;
    grant->ended = TRUE;
    if (!grant->is_dirty) {
        free_grant(cache, grant);
    }
}

void
_RateCache_DropExpired(RateCache *cache, Team *team, ClockMs now)
{
    while (team->grants != NULL && team->grants->end_ms <= now) {
        end_grant(cache, &team->grants);
    }
}

static void
close_grant(RateCache *cache, Grant *grant, ClockMs due)
{
    Team *team = grant->team;

    mark_dirty(cache, grant, due);
    for (Grant **link = &team->grants; *link != NULL; link = &(*link)->next) {
        if (*link == grant) {
            end_grant(cache, link);
            return;
        }
    }
}

static void
set_limit(RateCache *cache, Team *team, const RateLimit *limit)
{
    uint16_t order[RATE_SLOTS_MAX];

    team->limit = *limit;
    team->share = RateShare_Make(limit, cache->desc.fleet_slots);
    RateShare_Slots(team->id, team->share.slots, cache->desc.fleet_slots,
                    cache->desc.regions, order);
    for (int i = 0; i < team->share.slots; i++) {
        team->slots[i] = (TeamSlot){.slot = order[i], .fill = 1.0};
    }
}

static void
drop_team(RateCache *cache, Team **link)
{
    Team *team = *link;

    while (team->grants != NULL) {
        Grant *grant = team->grants;

        grant->left = 0;
        end_grant(cache, &team->grants);
    }
    *link = team->next;
    cache->team_count--;
    cache->team_bytes -=
        sizeof(Team) + (size_t)team->share.slots * sizeof(TeamSlot);
    g_free(team);
}

static Team *
add_team(RateCache *cache, Team **link, uint64_t id, const RateLimit *limit)
{
    RateShare share = RateShare_Make(limit, cache->desc.fleet_slots);
    size_t bytes = sizeof(Team) + (size_t)share.slots * sizeof(TeamSlot);
    Team *team;

    if (cache->team_count >= cache->desc.max_teams) {
        return NULL;
    }
    team = g_malloc0(bytes);
    team->id = id;
    *link = team;
    cache->team_count++;
    cache->team_bytes += bytes;
    set_limit(cache, team, limit);
    return team;
}

/* Finds or creates the team's record and applies the limit. If the number of
 * slots changed, the record is created again, but not while draws are in
 * flight or requests wait. */
static Team *
get_team(RateCache *cache, uint64_t id, const RateLimit *limit)
{
    Team **link = _RateCache_Link(cache, id);
    Team *team = *link;

    if (team == NULL) {
        return add_team(cache, link, id, limit);
    }
    if (!RateLimit_IsEqual(&team->limit, limit)) {
        if (RateShare_Make(limit, cache->desc.fleet_slots).slots ==
            team->share.slots) {
            set_limit(cache, team, limit);
        }
        else if (team->draws_in_flight == 0 && team->waiting == 0) {
            drop_team(cache, link);
            link = _RateCache_Link(cache, id);
            team = add_team(cache, link, id, limit);
        }
    }
    return team;
}

int64_t
_RateCache_Balance(const Team *team)
{
    int64_t sum = 0;

    for (const Grant *grant = team->grants; grant; grant = grant->next) {
        sum += grant->left;
    }
    return sum;
}

/* Returns NOT_FOUND if a draw may yield a token now, or else the reason why
 * not. */
static Result
can_draw(const RateCache *cache, const Team *team, ClockMs now, int *retry_ms)
{
    Result result = RESULT_RATE_UNREACHABLE;
    ClockMs next = now + NOT_HELD_BACKOFF_MS;
    gboolean drawable = FALSE;

    for (int i = 0; i < team->share.slots; i++) {
        const TeamSlot *team_slot = &team->slots[i];
        uint16_t index = cache->slot_peer[team_slot->slot];
        ClockMs down;

        if (index == NO_PEER) {
            continue;
        }
        down = cache->peers[index].down_until;
        if (down <= now) {
            result = RESULT_RATE_EXCEEDED;
            drawable = drawable || team_slot->empty_until <= now;
        }
        next = MIN(next, MAX(down, team_slot->empty_until));
    }
    if (team->pause_until > now ||
        (team->rounds >= ROUNDS_MAX && team->draws_in_flight == 0)) {
        drawable = FALSE;
        next = MAX(team->pause_until, now + SMALL_RETRY_MS);
    }
    else if (drawable && _RateCache_IsSmall(team)) {
        double missing = RATE_MICRO + 8.0 - (double)_RateCache_Balance(team) -
                         _RateCache_LevelSum(cache, team, now);

        drawable = missing <= 0.0;
        next =
            now + 1 +
            (ClockMs)MIN(
                1000.0, missing * 1000.0 /
                            (double)MAX(RateLimit_RateMicro(&team->limit), 1));
    }
    /* Draws in flight may yield the token. */
    drawable = drawable || team->draws_in_flight > 0;
    *retry_ms = drawable ? 0 : (int)MAX(next - now, 1);
    return drawable ? RESULT_NOT_FOUND : result;
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
RateCache_Take(RateCache *cache, uint64_t id, const RateLimit *limit,
               ClockMs now, RateToken *token, int *retry_ms)
{
    Team *team = get_team(cache, id, limit);
    int64_t missing = RATE_MICRO;

    *retry_ms = 0;
    if (team == NULL) {
        return RESULT_FULL;
    }
    team->used_ms = now;
    _RateCache_DropExpired(cache, team, now);
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
        return can_draw(cache, team, now, retry_ms);
    }
    for (int i = 0; i < token->parts; i++) {
        Grant *grant = Pool_Get(cache->grants, token->part[i].grant);

        grant->left -= token->part[i].micro;
        grant->taken += token->part[i].micro;
    }
    team->rounds = 0;
    count_demand(team, now);
    return RESULT_OK;
}

Result
RateCache_Use(RateCache *cache, const RateToken *token, ClockMs now)
{
    if (now >= token->end_ms) {
        return RESULT_RATE_EXCEEDED;
    }
    for (int i = 0; i < token->parts; i++) {
        Grant *grant = Pool_Get(cache->grants, token->part[i].grant);

        if (grant == NULL) {
            continue;
        }
        grant->taken -= token->part[i].micro;
        grant->used += token->part[i].micro;
        if (grant->ended) {
            continue;
        }
        if (grant->left == 0 && grant->taken == 0) {
            close_grant(cache, grant,
                        grant->settle_now ? now : now + SETTLE_DELAY_MS);
        }
        else {
            mark_dirty(cache, grant, now + SETTLE_DELAY_MS);
        }
    }
    return RESULT_OK;
}

void
RateCache_Return(RateCache *cache, const RateToken *token, ClockMs now)
{
    for (int i = 0; i < token->parts; i++) {
        Grant *grant = Pool_Get(cache->grants, token->part[i].grant);

        if (grant != NULL && now < grant->end_ms) {
            grant->taken -= token->part[i].micro;
            grant->left += token->part[i].micro;
        }
    }
}

int
RateCache_AddWaiting(RateCache *cache, uint64_t id, int change)
{
    Team *team = *_RateCache_Link(cache, id);

    if (team == NULL) {
        return 0;
    }
    team->waiting += change;
    return team->waiting;
}

/* Removes the draw from those in flight; returns its team or NULL. */
static Team *
finish_draw(RateCache *cache, const RatePlan *plan)
{
    Team *team = *_RateCache_Link(cache, plan->draw.team);

    if (team != NULL && team->draws_in_flight > 0) {
        team->draws_in_flight--;
        team->micro_in_flight =
            team->draws_in_flight > 0
                ? MAX(0, team->micro_in_flight - plan->draw.need_micro)
                : 0;
    }
    return team;
}

static void
set_empty(RateCache *cache, Team *team, uint16_t peer, ClockMs until)
{
    for (int i = 0; i < team->share.slots; i++) {
        if (cache->slot_peer[team->slots[i].slot] == peer) {
            team->slots[i].empty_until = until;
        }
    }
}

static void
insert_grant(RateCache *cache, Team *team, uint16_t peer, const RatePlan *plan,
             const RateGrant *given)
{
    void *record;
    PoolHandle handle = Pool_Add(cache->grants, &record);
    Grant *grant = record;
    Grant **link = &team->grants;

    /* If the table is full, the tokens expire unused. */
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
    cache->peers[peer].grants++;
}

void
RateCache_Granted(RateCache *cache, const RatePlan *plan,
                  const RateGrant *given, ClockMs now)
{
    Team *team = finish_draw(cache, plan);
    uint16_t peer = add_peer(cache, plan->holder, plan->holder_incarnation,
                             RATE_ELSEWHERE);

    /* Tokens of an unknown team or holder are dropped. The holder counts them
     * as outstanding until they expire. */
    if (team == NULL || peer == NO_PEER) {
        return;
    }
    cache->peers[peer].failures = 0;
    cache->peers[peer].down_until = 0;
    _RateCache_SetLevel(cache, team, peer, (double)given->level_micro, now);
    if (given->micro < plan->draw.need_micro) {
        int wait = MAX(given->retry_ms, 1);

        /* For a small team, the estimated levels determine when to draw. */
        set_empty(cache, team, peer,
                  now + (_RateCache_IsSmall(team) ? MIN(wait, SMALL_RETRY_MS)
                                                  : wait));
    }
    if (given->micro > 0 && now < plan->sent_ms + given->life_ms) {
        insert_grant(cache, team, peer, plan, given);
    }
}

void
RateCache_Failed(RateCache *cache, const RatePlan *plan, Result result,
                 ClockMs now)
{
    Team *team = finish_draw(cache, plan);
    uint16_t index = find_peer(cache, plan->holder, plan->holder_incarnation);
    Peer *peer;

    if (index == NO_PEER) {
        return;
    }
    peer = &cache->peers[index];
    if (result == RESULT_RATE_NOT_HELD || result == RESULT_FULL) {
        if (team != NULL) {
            set_empty(cache, team, index, now + NOT_HELD_BACKOFF_MS);
        }
        return;
    }
    peer->failures = MIN(peer->failures + 1, 8);
    peer->down_until =
        now + MIN((int64_t)cache->desc.backoff_ms << (peer->failures - 1),
                  BACKOFF_MAX_MS);
}

/* Returns the unused rest of a grant, unless a token that was taken from it is
 * not used yet. */
static gboolean
return_rest(RateCache *cache, Grant *grant, ClockMs now)
{
    if (grant->taken > 0) {
        return FALSE;
    }
    grant->left = 0;
    close_grant(cache, grant, now);
    return TRUE;
}

void
RateCache_GiveBack(RateCache *cache, uint64_t id, ClockMs now)
{
    Team *team = *_RateCache_Link(cache, id);
    Grant *grant;

    if (team == NULL || _RateCache_Balance(team) >= RATE_MICRO ||
        team->draws_in_flight > 0) {
        return;
    }
    if (team->rounds >= ROUNDS_MAX) {
        team->pause_until =
            now + PAUSE_MS +
            (ClockMs)(Rng_Mix(cache->desc.entry, cache->serial) %
                      (2 * PAUSE_MS));
    }
    team->rounds = 0;
    grant = team->grants;
    while (grant != NULL) {
        Grant *next = grant->next;

        if (grant->left > 0) {
            return_rest(cache, grant, now);
        }
        grant = next;
    }
}

int
RateCache_Settle(RateCache *cache, uint64_t holder, uint64_t incarnation,
                 RateUse *uses, int max, ClockMs now)
{
    uint16_t index = find_peer(cache, holder, incarnation);
    Peer *peer;
    int count = 0;

    if (index == NO_PEER) {
        return 0;
    }
    peer = &cache->peers[index];
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
            free_grant(cache, grant);
        }
    }
    if (peer->dirty == NULL) {
        peer->dirty_end = &peer->dirty;
        peer->due_ms = CLOCK_NEVER;
    }
    return count;
}

gboolean
RateCache_NextSettlement(RateCache *cache, ClockMs now, uint64_t *holder,
                         uint64_t *incarnation)
{
    for (int i = 0; i < cache->peer_high; i++) {
        if (cache->peers[i].due_ms <= now) {
            *holder = cache->peers[i].host;
            *incarnation = cache->peers[i].incarnation;
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns tokens of the team that will not be needed before they expire. */
static void
return_unused(RateCache *cache, Team *team, ClockMs now)
{
    Grant *grant;

    _RateCache_DropExpired(cache, team, now);
    grant = team->grants;
    while (grant != NULL) {
        Grant *next = grant->next;

        if (grant->left > 0 && grant->end_ms - now < RETURN_MARGIN_MS) {
            return_rest(cache, grant, now);
        }
        grant = next;
    }
}

void
RateCache_Tick(RateCache *cache, ClockMs now)
{
    uint32_t step = (cache->mask + 1) / 4;

    /* Each call covers a quarter of the table. */
    for (uint32_t i = 0; i < step; i++) {
        Team **link = &cache->heads[cache->tick_next++ & cache->mask];

        while (*link != NULL) {
            return_unused(cache, *link, now);
            if ((*link)->draws_in_flight == 0 && (*link)->waiting == 0 &&
                now - (*link)->used_ms > cache->desc.idle_ms) {
                drop_team(cache, link);
            }
            else {
                link = &(*link)->next;
            }
        }
    }
}

size_t
RateCache_MemoryBytes(const RateCache *cache)
{
    return sizeof(*cache) + (cache->mask + 1) * sizeof(Team *) +
           cache->team_bytes + Pool_Count(cache->grants) * sizeof(Grant);
}

uint32_t
RateCache_TeamCount(const RateCache *cache)
{
    return cache->team_count;
}
