/* RateWallet: rate tokens that an entry has drawn, by team.
 *
 * Use:
 *  1. RateWallet_SetHolder() for every slot whose holder is known.
 *  2. RateWallet_Take() takes one token. If it returns RATE_UNREACHABLE or
 *     RATE_EXCEEDED, the token cannot be had now; if it returns NOT_FOUND, a
 *     draw is needed.
 *  3. RateWallet_Plan() says what to draw from whom; send it, then call
 *     RateWallet_Granted() or RateWallet_Failed(), and take again.
 *  4. RateWallet_Use() right before the request leaves. If it fails, the token
 *     has expired: take another. RateWallet_Return() for a request that is not
 *     sent.
 *  5. RateWallet_Settle() gives the reports that are due for a holder.
 *
 * A token is reported as used only after RateWallet_Use().
 *
 * Limits: fixed tables; not thread safe; does no I/O. Taking a token allocates
 * nothing; the first take of a team allocates its record.
 */
#ifndef RATE_RATE_WALLET_H
#define RATE_RATE_WALLET_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "rate/rate_holder.h"
#include "rate/rate_share.h"

typedef struct RateWallet RateWallet;

/* Grants that one token may be put together from. */
#define RATE_TOKEN_PARTS 12

typedef struct RateToken {
    uint64_t team;
    ClockMs end_ms; /* not valid at or after this time */
    int parts;
    struct {
        uint32_t grant; /* PoolHandle in the wallet */
        int64_t micro;
    } part[RATE_TOKEN_PARTS];
} RateToken;

/* A request waits at most this long for a token that is promised for later,
 * and no more than this many requests of a team wait at an entry: a team above
 * its rate must not fill the entry with waiting requests. */
#define RATE_WAIT_MS 250
#define RATE_WAIT_MAX 8
/* Requests of a team that wait at an entry for draws on the way. */
#define RATE_QUEUE_MAX 64

typedef enum RateDistance {
    RATE_SELF,
    RATE_DATA_CENTRE,
    RATE_REGION,
    RATE_ELSEWHERE
} RateDistance;

typedef struct RateWallet_desc {
    uint64_t entry;
    uint64_t incarnation;
    int fleet_slots;     /* 512 */
    int regions;         /* 1 */
    uint32_t max_teams;  /* 32768 active ones */
    uint32_t max_grants; /* 65536 */
    int idle_ms;         /* 60000: an idle team's record is dropped */
    int failure_ms; /* 500: a holder that did not answer rests, doubling */
} RateWallet_desc;

typedef struct RatePlan {
    uint64_t holder; /* host id */
    uint64_t holder_incarnation;
    ClockMs sent_ms;
    RateDraw draw;
} RatePlan;

RateWallet *RateWallet_Create(const RateWallet_desc *desc);
void RateWallet_Destroy(RateWallet *wallet);

/* Says who holds the slot; holder 0 = nobody. */
void RateWallet_SetHolder(RateWallet *wallet, int slot, uint64_t holder,
                          uint64_t incarnation, RateDistance distance);

/* OK, NOT_FOUND (draw first), RATE_EXCEEDED or RATE_UNREACHABLE (no holder of
 * the team is known or answers). `retry_ms` says when a token may be there. */
Result RateWallet_Take(RateWallet *wallet, uint64_t team,
                       const RateLimit *limit, ClockMs now, RateToken *token,
                       int *retry_ms);
Result RateWallet_Use(RateWallet *wallet, const RateToken *token, ClockMs now);
void RateWallet_Return(RateWallet *wallet, const RateToken *token,
                       ClockMs now);

/* Counts requests of the team that wait (+1, -1); returns how many do. A team
 * with waiting requests keeps its record. */
int RateWallet_AddWaiting(RateWallet *wallet, uint64_t team, int change);

/* Plans up to `max` draws that may be sent at the same time for `waiting`
 * requests. Returns their number, 0 if there is nobody to ask. */
int RateWallet_Plan(RateWallet *wallet, uint64_t team, int waiting,
                    ClockMs now, RatePlan *plans, int max);
void RateWallet_Granted(RateWallet *wallet, const RatePlan *plan,
                        const RateGrant *grant, ClockMs now);
/* RATE_NOT_HELD: the host has no slot of the team; any other result: it gave
 * no answer. */
void RateWallet_Failed(RateWallet *wallet, const RatePlan *plan, Result result,
                       ClockMs now);
/* Gives up parts that are too small for a token, so that other entries can
 * have them; they are in the next settlement. */
void RateWallet_GiveBack(RateWallet *wallet, uint64_t team, ClockMs now);

/* Writes the reports that are due for one holder and forgets that they are
 * due. Returns their number. */
int RateWallet_Settle(RateWallet *wallet, uint64_t holder,
                      uint64_t holder_incarnation, RateUse *uses, int max,
                      ClockMs now);
/* Drops expired grants and idle teams. Finds a holder to which reports are due
 * now (FALSE = none). */
gboolean RateWallet_NextSettlement(RateWallet *wallet, ClockMs now,
                                   uint64_t *holder,
                                   uint64_t *holder_incarnation);
void RateWallet_Tick(RateWallet *wallet, ClockMs now);

size_t RateWallet_MemoryBytes(const RateWallet *wallet);
uint32_t RateWallet_TeamCount(const RateWallet *wallet);

#endif
