/* RateHolder: the buckets of the rate slots that this host holds.
 *
 * Use:
 *  1. RateHolder_Create() with a callback that looks up a team's limit.
 *  2. RateHolder_OpenSlot(), RateHolder_ExtendSlot() and
 *     RateHolder_CloseSlot() follow the holds (RateHold).
 *  3. RateHolder_Draw() answers a draw. Right before the reply leaves,
 *     compare the clock with RateGrant.hold_end_ms again.
 *  4. RateHolder_Settle() takes the report of used and returned tokens.
 *
 * One bucket per team stands for all slots of the team that are held here. For
 * it, level + outstanding <= the slots' burst always holds; see
 * docs/decisions/rate.md for the argument. Buckets are created by the first
 * draw, with the level that follows from the start of the holds, and are
 * evicted only when full and without outstanding grants.
 *
 * Errors: RATE_NOT_HELD if no slot of the team is held, FULL if a table is
 * full, RPC_OLD_SESSION for a draw of an earlier incarnation of the entry.
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

/* Looks up a team by its id. `in_force_ms` is when this host put the team's
 * present rate and burst in force, by Clock_Now(); it must not change when a
 * ticket leaves both as they were. Returns FALSE if there is no such team. */
typedef gboolean (*RateHolderLookup)(void *context, uint64_t team,
                                     RateLimit *limit, ClockMs *in_force_ms);

typedef struct RateHolder_desc {
    RateHolderLookup lookup;
    void *context;
    int fleet_slots;      /* 512 */
    int regions;          /* 1 */
    int grant_life_ms;    /* 1000 */
    int change_delay_ms;  /* 6000: a ticket is in force everywhere after it */
    int drift_ppm;        /* 2500: clocks run within this of true time */
    uint32_t max_buckets; /* 65536 */
    uint32_t max_grants;  /* 32768 within one grant life */
    uint32_t max_entries; /* 16384 */
} RateHolder_desc;

typedef struct RateDraw {
    uint64_t team;
    uint64_t entry; /* host id of the entry */
    uint64_t entry_incarnation;
    uint64_t serial;    /* rises with each draw of the incarnation */
    int64_t need_micro; /* for requests that wait now */
    int64_t want_micro; /* with demand to come; >= need */
} RateDraw;

typedef struct RateGrant {
    uint64_t number; /* 0 if nothing was granted */
    int64_t micro;
    int life_ms;  /* counted by the entry from before it sent the draw */
    int retry_ms; /* if less than needed: when to ask again */
    int64_t level_micro; /* left in the bucket */
    gboolean settle_now; /* report use at once, the refill is held back */
    ClockMs hold_end_ms; /* by the holder's clock; not sent */
} RateGrant;

typedef struct RateUse {
    uint64_t grant;     /* number */
    int64_t used_micro; /* sum so far */
    gboolean closed;    /* the entry will use no more of it */
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
/* Moves the end; FALSE if the slot is not held with this epoch any more. */
gboolean RateHolder_ExtendSlot(RateHolder *holder, int slot, uint64_t epoch,
                               ClockMs end_ms, ClockMs now);
void RateHolder_CloseSlot(RateHolder *holder, int slot, ClockMs now);
gboolean RateHolder_Holds(const RateHolder *holder, int slot, ClockMs now);

/* A repeated draw (same entry, incarnation and serial) gets the same grant.
 * OK with less than needed, even nothing, if the bucket is empty. */
Result RateHolder_Draw(RateHolder *holder, const RateDraw *draw, ClockMs now,
                       RateGrant *grant);
/* Reports of one entry, in any order and repeated. Unknown and lapsed grants
 * and those of another entry are ignored. */
void RateHolder_Settle(RateHolder *holder, uint64_t entry, const RateUse *uses,
                       int count, ClockMs now);
/* Lapses grants, closes ended holds and evicts a few full buckets; call it
 * about once a second. */
void RateHolder_Tick(RateHolder *holder, ClockMs now);

/* Fills up to `max` entries and returns how many there are. */
int RateHolder_Slots(const RateHolder *holder, RateSlotStatus *slots, int max);
int RateHolder_Buckets(const RateHolder *holder, RateBucketStatus *buckets,
                       int max);
size_t RateHolder_MemoryBytes(const RateHolder *holder);

/* Private: the longest time, by this host's clock, that `duration_ms` by
 * another host's clock can take. */
ClockMs _RateHolder_Wait(ClockMs duration_ms, int drift_ppm);

#endif
