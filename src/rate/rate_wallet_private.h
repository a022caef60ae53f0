/* What rate_wallet.c (tokens, reports) and rate_plan.c (choice of holders)
 * share. */
#ifndef RATE_RATE_WALLET_PRIVATE_H
#define RATE_RATE_WALLET_PRIVATE_H

#include "base/pool.h"
#include "rate/rate_wallet.h"

#define NO_PEER UINT16_MAX

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

/* The place of the team's record in its chain; *link is NULL if there is none.
 */
Team **_RateWallet_Link(RateWallet *wallet, uint64_t id);
void _RateWallet_DropExpired(RateWallet *wallet, Team *team, ClockMs now);
int64_t _RateWallet_Balance(const Team *team);
gboolean _RateWallet_IsSmall(const Team *team);
double _RateWallet_LevelSum(const RateWallet *wallet, const Team *team,
                            ClockMs now);
/* Notes the level that a peer reported for the team. */
void _RateWallet_SetLevel(RateWallet *wallet, Team *team, uint16_t peer,
                          double level, ClockMs now);

#endif
