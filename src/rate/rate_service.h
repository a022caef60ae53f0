/* RateService: one daemon's part of the fleet-wide rate limit.
 *
 * Use:
 *  1. RateService_Create() with callbacks for the store, the peers, the member
 *     view and the configuration; register RateService_HandleDraw() for the
 *     RPC kind 10 and RateService_HandleSettle() for kind 11.
 *  2. RateService_Start() starts two threads: one for the store, one for
 *     settlements. Tests call RateService_TickLeases() and
 *     RateService_TickCache() in their place.
 *  3. A request thread calls RateService_TakeToken(), does all work that may
 *     take time, and calls RateService_UseToken() right before the request is
 *     sent. If that fails, it takes another token. RateService_ReturnToken()
 *     returns a token that is not used.
 *  4. RateService_Stop() releases all slots to their next hosts; then call
 *     RateService_Destroy().
 *
 * Errors: RATE_EXCEEDED (429), RATE_UNREACHABLE (503, no holder of the team
 * answered before the deadline, its slots are vacant, or the table of teams is
 * full).
 *
 * Limits: all functions are thread safe except Create, Start, Stop and
 * Destroy. Start creates 8 threads, which send the draws of a token that is
 * drawn from several holders. TakeToken allocates memory only when a team is
 * used for the first time. Callbacks are called without a lock held, except
 * `lookup` and `now`.
 */
#ifndef RATE_RATE_SERVICE_H
#define RATE_RATE_SERVICE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "rate/rate_cache.h"
#include "rate/rate_holder.h"
#include "rate/rate_lease.h"

#define RATE_KIND_DRAW 10
#define RATE_KIND_SETTLE 11
#define RATE_MESSAGE_MAX 4096 /* maximum length of a body in bytes */

typedef struct RateService RateService;

/* An object `slot/<n>` that a callback reads or conditionally writes. Values
 * are JSON text. The callbacks return results as in section 3.2 of the design
 * page: OK, NOT_FOUND (get), STORE_CONFLICT (put; the current object is filled
 * in), STORE_UNCERTAIN, STORE_UNAVAILABLE. The callback allocates `value` with
 * g_malloc(). */
typedef struct RateStoreObject {
    uint64_t version;
    int64_t modified_ms;
    int64_t now_ms;
    char *value;
} RateStoreObject;

/* Settings; zero means the default, which is the number in the comment. */
typedef struct RateService_desc {
    RateHost self;
    int fleet_slots;   /* 512 */
    int regions;       /* 1 */
    int64_t lease_ms;  /* 12 h */
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
    /* Sends `body` to a host and waits for the reply; `*reply_bytes` is the
     * capacity of `reply` on entry and its length on return. Returns OK,
     * RPC_TIMEOUT or another error. With timeout_ms 0 the body is sent once
     * and no reply is awaited. */
    Result (*call)(void *context, uint64_t host, uint64_t incarnation,
                   int kind, const uint8_t *body, size_t body_bytes,
                   uint8_t *reply, size_t *reply_bytes, int timeout_ms);
    /* Calls `each` for all live hosts. Returns a number that changes whenever
     * the list may have changed; it is polled with `each` = NULL. */
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
    RateHostId holders[RATE_SLOTS_MAX]; /* holders known to this host */
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
/* Ends the threads, stops granting, releases all slots within `timeout_ms` and
 * notifies the next host of each slot. Returns the number of slots that were
 * not released. */
int RateService_Stop(RateService *service, int timeout_ms);

/* Blocks at most until `deadline`. Requests of a team share its draws in
 * flight; another draw is sent only for the need that these do not cover. */
Result RateService_TakeToken(RateService *service, uint64_t team,
                             const RateLimit *limit, ClockMs deadline,
                             RateToken *token);
Result RateService_UseToken(RateService *service, const RateToken *token);
void RateService_ReturnToken(RateService *service, const RateToken *token);

/* Handlers of incoming calls. `*reply_bytes` is the capacity of `reply` on
 * entry and its length on return. `sender` and `sender_incarnation` come from
 * the RPC layer. */
Result RateService_HandleDraw(RateService *service, uint64_t sender,
                              uint64_t sender_incarnation, const uint8_t *body,
                              size_t body_bytes, uint8_t *reply,
                              size_t *reply_bytes);
Result RateService_HandleSettle(RateService *service, uint64_t sender,
                                uint64_t sender_incarnation,
                                const uint8_t *body, size_t body_bytes,
                                uint8_t *reply, size_t *reply_bytes);

/* Makes the store calls that are due; returns the time in ms until the next
 * one. */
int RateService_TickLeases(RateService *service);
/* Sends the settlements that are due; returns the time in ms until the next
 * call. */
int RateService_TickCache(RateService *service);

/* Whether this host holds the slot now. `*start_ms` is the time from which the
 * slot's bucket refills; the slot's permit coordinator starts at this time
 * (section 6 of the design page). */
gboolean RateService_HoldsSlot(RateService *service, int slot,
                               ClockMs *start_ms);
/* Returns the slot's holder, as far as this host knows it. */
RateHostId RateService_SlotHolder(RateService *service, int slot);

void RateService_Status(RateService *service, RateServiceStatus *status);
/* Writes the level of each bucket of this host; returns their number. */
int RateService_Buckets(RateService *service, RateBucketStatus *buckets,
                        int max);

#endif
