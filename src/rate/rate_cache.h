/* RateCache: an entry's cache of granted rate tokens, by team.
 *
 * Use:
 *  1. RateCache_SetHolder() for every slot whose holder is known.
 *  2. RateCache_Take() takes one token. If it returns RATE_UNREACHABLE or
 *     RATE_EXCEEDED, no token is available now; if it returns NOT_FOUND, a
 *     draw is needed.
 *  3. RateCache_Plan() returns the draws to send, each with its holder. Send
 *     them, call RateCache_Granted() or RateCache_Failed() for each, and take
 *     again.
 *  4. RateCache_Use() right before the request is sent. If it fails, the token
 *     has expired: take another one. Call RateCache_Return() for a request
 *     that is not sent.
 *  5. RateCache_Settle() writes the reports that are due for a holder.
 *
 * A token is reported as used only after RateCache_Use().
 *
 * Limits: fixed tables; not thread safe; does no I/O. Taking a token allocates
 * nothing; the first take of a team allocates its record.
 */
#ifndef RATE_RATE_CACHE_H
#define RATE_RATE_CACHE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "rate/rate_holder.h"
#include "rate/rate_share.h"

typedef struct RateCache RateCache;

/* Maximum number of grants that one token is put together from. */
#define RATE_TOKEN_PARTS 12

typedef struct RateToken {
    uint64_t team;
    ClockMs end_ms; /* not valid at or after this time */
    int parts;
    struct {
        uint32_t grant; /* PoolHandle in the cache */
        int64_t micro;
    } part[RATE_TOKEN_PARTS];
} RateToken;

/* A request waits at most RATE_WAIT_MS for a token that is promised for later,
 * and at most RATE_WAIT_MAX requests of a team wait for one at an entry: a
 * team above its rate must not fill the entry with waiting requests. */
#define RATE_WAIT_MS 250
#define RATE_WAIT_MAX 8
/* Maximum number of a team's requests that wait at an entry for draws in
 * flight. */
#define RATE_QUEUE_MAX 64

typedef enum RateDistance {
    RATE_SELF,
    RATE_DATA_CENTRE,
    RATE_REGION,
    RATE_ELSEWHERE
} RateDistance;

/* Settings; zero means the default, which is the number in the comment. */
typedef struct RateCache_desc {
    uint64_t entry;
    uint64_t incarnation;
    int fleet_slots;     /* 512 */
    int regions;         /* 1 */
    uint32_t max_teams;  /* 32768: teams with recent requests */
    uint32_t max_grants; /* 65536 */
    int idle_ms;         /* 60000: idle time after which a team is removed */
    int backoff_ms; /* 500: first back-off after a holder failed; doubles */
} RateCache_desc;

typedef struct RatePlan {
    uint64_t holder; /* host id */
    uint64_t holder_incarnation;
    ClockMs sent_ms;
    RateDraw draw;
} RatePlan;

RateCache *RateCache_Create(const RateCache_desc *desc);
void RateCache_Destroy(RateCache *cache);

/* Sets the holder of a slot; holder 0 = none. */
void RateCache_SetHolder(RateCache *cache, int slot, uint64_t holder,
                         uint64_t incarnation, RateDistance distance);

/* Returns OK, NOT_FOUND (draw first), RATE_EXCEEDED, RATE_UNREACHABLE (no
 * holder of the team is known or answers) or FULL (no room for the team).
 * `*retry_ms` is the delay after which a token may be available. */
Result RateCache_Take(RateCache *cache, uint64_t team, const RateLimit *limit,
                      ClockMs now, RateToken *token, int *retry_ms);
/* Returns RATE_EXCEEDED if the token has expired. */
Result RateCache_Use(RateCache *cache, const RateToken *token, ClockMs now);
void RateCache_Return(RateCache *cache, const RateToken *token, ClockMs now);

/* Adds `change` (+1, 0 or -1) to the number of the team's waiting requests and
 * returns the new number. The record of a team with waiting requests is not
 * removed. */
int RateCache_AddWaiting(RateCache *cache, uint64_t team, int change);

/* Plans up to `max` draws that may be sent at the same time for `waiting`
 * requests. Returns their number; 0 if draws in flight cover the need or no
 * holder can be drawn from. */
int RateCache_Plan(RateCache *cache, uint64_t team, int waiting, ClockMs now,
                   RatePlan *plans, int max);
void RateCache_Granted(RateCache *cache, const RatePlan *plan,
                       const RateGrant *grant, ClockMs now);
/* `result` is RATE_NOT_HELD if the host holds no slot of the team, FULL if its
 * tables are full; any other result means that it did not answer. */
void RateCache_Failed(RateCache *cache, const RatePlan *plan, Result result,
                      ClockMs now);
/* Returns parts that do not add up to a token, so that other entries can draw
 * them. The next settlement reports them. */
void RateCache_GiveBack(RateCache *cache, uint64_t team, ClockMs now);

/* Writes up to `max` reports that are due for one holder and removes them from
 * the list of due reports. Returns their number. */
int RateCache_Settle(RateCache *cache, uint64_t holder,
                     uint64_t holder_incarnation, RateUse *uses, int max,
                     ClockMs now);
/* Finds a holder to which reports are due now (FALSE = none). */
gboolean RateCache_NextSettlement(RateCache *cache, ClockMs now,
                                  uint64_t *holder,
                                  uint64_t *holder_incarnation);
/* Returns tokens that are about to expire; removes expired grants and idle
 * teams. */
void RateCache_Tick(RateCache *cache, ClockMs now);

size_t RateCache_MemoryBytes(const RateCache *cache);
uint32_t RateCache_TeamCount(const RateCache *cache);

#endif
