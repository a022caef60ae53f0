/* The state of RateCache, shared by rate_cache.c (tokens, reports) and
 * rate_plan.c (choice of holders). */
#ifndef RATE_RATE_CACHE_PRIVATE_H
#define RATE_RATE_CACHE_PRIVATE_H

#include "base/pool.h"
#include "rate/rate_cache.h"

#define NO_PEER UINT16_MAX

typedef struct Team Team;
typedef struct Grant Grant;

/* A host that holds slots. */
typedef struct Peer {
    uint64_t host; /* 0 = free */
    uint64_t incarnation;
    RateDistance distance;
    int slots;
    int grants; /* grant records that refer to the holder */
    int failures;
    ClockMs down_until;
    ClockMs due_ms; /* time when reports are due; CLOCK_NEVER = none */
    Grant *dirty;   /* grants with a report to send */
    Grant **dirty_end;
} Peer;

struct Grant {
    uint64_t number;
    Team *team;
    Grant *next; /* next grant of the team, ordered by end_ms */
    Grant *next_dirty;
    PoolHandle handle;
    int64_t micro;
    int64_t left;
    int64_t taken; /* part in tokens that were taken, but not used yet */
    int64_t used;
    ClockMs end_ms;
    uint16_t peer;
    gboolean is_dirty;
    gboolean settle_now;
    gboolean ended; /* removed from the team's list; freed when not dirty */
};

typedef struct TeamSlot {
    uint16_t slot;
    double fill; /* level / burst in the holder's last reply */
    ClockMs fill_ms;
    ClockMs empty_until;
} TeamSlot;

struct Team {
    uint64_t id;
    Team *next;
    RateLimit limit;
    RateShare share;
    Grant *grants;
    int64_t micro_in_flight; /* micro-tokens requested by draws in flight */
    int draws_in_flight;
    int waiting;         /* waiting requests, by RateCache_AddWaiting() */
    int rounds;          /* rounds of drawing parts since the last token */
    ClockMs pause_until; /* earliest time of the next round of parts */
    double demand;       /* tokens per second */
    ClockMs demand_ms;
    ClockMs used_ms;
    TeamSlot slots[];
};

struct RateCache {
    RateCache_desc desc;
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

/* Returns the link to the team's record in its hash chain; *link is NULL if
 * there is no record. */
Team **_RateCache_Link(RateCache *cache, uint64_t id);
void _RateCache_DropExpired(RateCache *cache, Team *team, ClockMs now);
int64_t _RateCache_Balance(const Team *team);
gboolean _RateCache_IsSmall(const Team *team);
double _RateCache_LevelSum(const RateCache *cache, const Team *team,
                           ClockMs now);
/* Stores the level that a peer reported for the team. */
void _RateCache_SetLevel(RateCache *cache, Team *team, uint16_t peer,
                         double level, ClockMs now);

#endif
