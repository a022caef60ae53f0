/* RateHolder: token buckets of the rate slots that this host holds.
 *
 * Use:
 *  1. RateHolder_Create() with a callback that looks up a team's limit.
 *  2. RateHolder_OpenSlot(), RateHolder_ExtendSlot() and
 *     RateHolder_CloseSlot() when a lease starts, is renewed or ends
 *     (RateLease).
 *  3. RateHolder_Draw() answers a draw. Right before the reply is sent,
 *     compare the clock with RateGrant.lease_end_ms again.
 *  4. RateHolder_Settle() applies a report of used and returned tokens.
 *
 * A team has one bucket for all of its slots that this host holds. Its level +
 * outstanding grants never exceed the sum of the slots' bursts; see
 * docs/decisions/rate.md for the argument. The first draw creates the bucket,
 * with the refill since the start of the leases as its level. A bucket is
 * evicted only when it is full and has no outstanding grants.
 *
 * Errors: RATE_NOT_HELD if no slot of the team is held, FULL if a table is
 * full, RPC_OLD_SESSION for a draw of an earlier incarnation of the entry,
 * NOT_CONFIGURED for an unknown team, MALFORMED for team 0.
 *
 * Limits: fixed tables; not thread safe; does no I/O.
 */
#ifndef RATE_RATE_HOLDER_H
#define RATE_RATE_HOLDER_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "rate/rate_share.h"

typedef struct RateHolder RateHolder;

/* Looks up a team by its id. `in_force_ms` is the time by Clock_Now() at which
 * this host put the team's present rate and burst in force. It must not change
 * when a ticket changes neither of them. Returns FALSE if the team does not
 * exist. */
typedef gboolean (*RateHolderLookup)(void *context, uint64_t team,
                                     RateLimit *limit, ClockMs *in_force_ms);

/* Settings; zero means the default, which is the number in the comment. */
typedef struct RateHolder_desc {
    RateHolderLookup lookup;
    void *context;
    int fleet_slots;      /* 512 */
    int regions;          /* 1 */
    int grant_life_ms;    /* 1000 */
    int change_delay_ms;  /* 6000: time after which a ticket is in force
                             everywhere */
    int drift_ppm;        /* 2500: maximum error of a clock's rate */
    uint32_t max_buckets; /* 65536 */
    uint32_t max_grants;  /* 32768: grants within one grant life */
    uint32_t max_entries; /* 16384 */
} RateHolder_desc;

typedef struct RateDraw {
    uint64_t team;
    uint64_t entry; /* host id of the entry */
    uint64_t entry_incarnation;
    uint64_t serial;    /* increases with each draw of the incarnation */
    int64_t need_micro; /* tokens for requests that wait now */
    int64_t want_micro; /* need_micro plus tokens for expected requests */
} RateDraw;

typedef struct RateGrant {
    uint64_t number; /* 0 if nothing was granted */
    int64_t micro;
    int life_ms;  /* life, counted from before the entry sent the draw */
    int retry_ms; /* delay before the next draw if micro < need_micro */
    int64_t level_micro;  /* level of the bucket after the grant */
    gboolean settle_now;  /* use must be reported at once: it delays refill */
    ClockMs lease_end_ms; /* time by the holder's clock; not sent */
} RateGrant;

typedef struct RateUse {
    uint64_t grant;     /* number of the grant */
    int64_t used_micro; /* total used so far */
    gboolean closed;    /* the entry returns the unused tokens */
} RateUse;

typedef struct RateSlotStatus {
    int slot;
    uint64_t epoch;
    ClockMs start_ms;
    ClockMs end_ms;
} RateSlotStatus;

typedef struct RateBucketStatus {
    uint64_t team;
    int64_t level_micro;
    int64_t outstanding_micro;
    int64_t burst_micro;
    int64_t micro_per_second;
} RateBucketStatus;

RateHolder *RateHolder_Create(const RateHolder_desc *desc);
void RateHolder_Destroy(RateHolder *holder);

/* The slot's bucket is empty until start_ms and refills from then on. Nothing
 * is granted at or after end_ms. */
void RateHolder_OpenSlot(RateHolder *holder, int slot, uint64_t epoch,
                         ClockMs start_ms, ClockMs end_ms, ClockMs now);
/* Moves the end of the lease; FALSE if the slot is no longer held with this
 * epoch. */
gboolean RateHolder_ExtendSlot(RateHolder *holder, int slot, uint64_t epoch,
                               ClockMs end_ms, ClockMs now);
void RateHolder_CloseSlot(RateHolder *holder, int slot, ClockMs now);
gboolean RateHolder_Holds(const RateHolder *holder, int slot, ClockMs now);

/* A duplicate draw (same entry, incarnation and serial) gets the same grant.
 * Returns OK also if the bucket has less than needed; `grant` then has fewer
 * tokens or none. */
Result RateHolder_Draw(RateHolder *holder, const RateDraw *draw, ClockMs now,
                       RateGrant *grant);
/* Applies reports of one entry, which may arrive in any order and more than
 * once. Reports on unknown or expired grants, or on grants of another entry,
 * are ignored. */
void RateHolder_Settle(RateHolder *holder, uint64_t entry, const RateUse *uses,
                       int count, ClockMs now);
/* Expires grants and evicts a few full buckets; call it about once a second.
 */
void RateHolder_Tick(RateHolder *holder, ClockMs now);

/* Writes up to `max` elements and returns the total number. */
int RateHolder_Slots(const RateHolder *holder, RateSlotStatus *slots, int max);
int RateHolder_Buckets(const RateHolder *holder, RateBucketStatus *buckets,
                       int max);
size_t RateHolder_MemoryBytes(const RateHolder *holder);

/* Private: the longest time by this host's clock that `duration_ms` by another
 * host's clock can take. */
ClockMs _RateHolder_Wait(ClockMs duration_ms, int drift_ppm);

#endif
