/* RateService: the fleet-wide rate limit of one daemon.
 *
 * Use:
 *  1. RateService_Create() with callbacks for the store, the peers, the member
 *     view and the configuration; register RateService_HandleDraw() for the
 *     RPC kind 10 and RateService_HandleSettle() for kind 11.
 *  2. RateService_Start() starts two threads: one for the store, one for
 *     settlements. Tests call RateService_TickHolds() and
 *     RateService_TickWallet() in their place.
 *  3. A request thread calls RateService_TakeToken(), does all that may take
 *     time, and calls RateService_UseToken() right before the request leaves.
 *     If that fails, it takes another token. A token that is not used is given
 *     back by RateService_ReturnToken().
 *  4. RateService_Stop() hands all slots over; then RateService_Destroy().
 *
 * Errors: RATE_EXCEEDED (429), RATE_UNREACHABLE (503, no holder of the team
 * answered before the deadline or its slots are vacant).
 *
 * Limits: all functions are thread safe except Create, Start, Stop and
 * Destroy. A token that is drawn from several holders uses up to 8 draw
 * threads that Start creates. The take path allocates only when a
 * team is used for the first time. Callbacks are called without a lock held,
 * except `lookup` and `now`.
 */
#ifndef RATE_RATE_SERVICE_H
#define RATE_RATE_SERVICE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "rate/rate_hold.h"
#include "rate/rate_holder.h"
#include "rate/rate_wallet.h"

#define RATE_KIND_DRAW 10
#define RATE_KIND_SETTLE 11
#define RATE_MESSAGE_MAX 4096 /* bytes of a body */

typedef struct RateService RateService;

/* Reads or conditionally writes `slot/<n>`. Values are JSON text. Result as in
 * section 3.2 of the design page: OK, NOT_FOUND (get), STORE_CONFLICT (put;
 * the current object is filled in), STORE_UNCERTAIN, STORE_UNAVAILABLE.
 * `*value` is allocated by the callback with g_malloc(). */
typedef struct RateStoreObject {
    uint64_t version;
    int64_t modified_ms;
    int64_t now_ms;
    char *value;
} RateStoreObject;

typedef struct RateService_desc {
    RateHost self;
    int fleet_slots;   /* 512 */
    int regions;       /* 1 */
    int64_t hold_ms;   /* 12 h */
    int grant_life_ms; /* 1000 */
    int drift_ppm;     /* 2500 */
    uint64_t seed;
    void *context;

    Result (*store_get)(void *context, const char *name,
                        RateStoreObject *object);
    /* On OK fills in version, modified_ms and now_ms. */
    Result (*store_put)(void *context, const char *name, uint64_t if_version,
                        const char *value, RateStoreObject *object);
    /* Lists all objects of a prefix; may be NULL. Called once at the start. */
    Result (*store_list)(void *context, const char *prefix,
                         void (*each)(void *each_context, const char *name,
                                      const RateStoreObject *object),
                         void *each_context);
    /* Sends body to a host and waits for the reply; *reply_bytes is the room
     * on entry and the length on return. RPC_TIMEOUT or another error. With
     * timeout_ms 0 the body is sent once and no reply is awaited. */
    Result (*call)(void *context, uint64_t host, uint64_t incarnation,
                   int kind, const uint8_t *body, size_t body_bytes,
                   uint8_t *reply, size_t *reply_bytes, int timeout_ms);
    /* Calls `each` for all live hosts; returns a number that changes whenever
     * the list may have changed (polled with each = NULL). */
    uint64_t (*view)(void *context,
                     void (*each)(void *each_context, const RateHost *host),
                     void *each_context);
    gboolean (*is_retired)(void *context, uint64_t host, uint64_t incarnation);
    RateHolderLookup lookup;
    ClockMs (*now)(void *context); /* NULL = Clock_Now() */
} RateService_desc;

typedef struct RateServiceStatus {
    int slots_held;
    RateSlotStatus slots[RATE_SLOTS_MAX];
    RateHoldPlace holders[RATE_SLOTS_MAX]; /* as this host knows them */
    uint64_t draws_sent;
    uint64_t draws_answered;
    uint64_t draws_failed;
    uint64_t settles_sent;
    uint64_t store_calls;
    uint64_t refused_exceeded;
    uint64_t refused_unreachable;
    size_t memory_bytes;
} RateServiceStatus;

RateService *RateService_Create(const RateService_desc *desc);
void RateService_Destroy(RateService *service);
void RateService_Start(RateService *service);
/* Stops granting, releases all slots within `timeout_ms`, tells the hosts that
 * come next, and ends the threads. Returns the slots not released. */
int RateService_Stop(RateService *service, int timeout_ms);

/* Blocks at most until `deadline`. One draw for a team is in flight at a time;
 * requests that come meanwhile wait for it. */
Result RateService_TakeToken(RateService *service, uint64_t team,
                             const RateLimit *limit, ClockMs deadline,
                             RateToken *token);
Result RateService_UseToken(RateService *service, const RateToken *token);
void RateService_ReturnToken(RateService *service, const RateToken *token);

/* Handlers of incoming calls. *reply_bytes is the room on entry and the length
 * on return. The sender's identity comes from the RPC layer. */
Result RateService_HandleDraw(RateService *service, uint64_t sender,
                              uint64_t sender_incarnation, const uint8_t *body,
                              size_t body_bytes, uint8_t *reply,
                              size_t *reply_bytes);
Result RateService_HandleSettle(RateService *service, uint64_t sender,
                                uint64_t sender_incarnation,
                                const uint8_t *body, size_t body_bytes,
                                uint8_t *reply, size_t *reply_bytes);

/* Makes the store calls that are due; returns the ms until the next one. */
int RateService_TickHolds(RateService *service);
/* Sends the settlements that are due; returns the ms until the next call. */
int RateService_TickWallet(RateService *service);

/* Whether this host holds the slot now, and since when it has been the holder
 * (for the ejection permits of section 6). */
gboolean RateService_HoldsSlot(RateService *service, int slot,
                               ClockMs *start_ms);
/* Where the slot's holder is, as far as this host knows. */
RateHoldPlace RateService_SlotHolder(RateService *service, int slot);

void RateService_Status(RateService *service, RateServiceStatus *status);
/* Writes the level of each bucket of this host; returns their number. */
int RateService_Buckets(RateService *service, RateBucketStatus *buckets,
                        int max);

#endif
