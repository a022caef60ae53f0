/* RateLease: decides which rate slots this host claims, renews and releases.
 * The object of a slot in the store names the host that has leased it.
 *
 * Use:
 *  1. RateLease_Create(), then RateLease_SetView() whenever the live hosts
 *     change.
 *  2. RateLease_Next() returns the next store call that is due. Make the call
 *     and pass its outcome to RateLease_Done(), which returns what has to
 *     happen to the slot's bucket (RateHolder).
 *  3. On shutdown call RateLease_ReleaseAll(), close all buckets, and go on
 *     with step 2 until RateLease_Next() returns no further call.
 *
 * The first live host of the slot's rendezvous order, within the slot's
 * region, claims a slot that is vacant, released or older than a lease by the
 * store's clock. It also claims a slot whose holder was retired by the
 * operator or is a former incarnation of this host at the same address. The
 * first host reads its slots every `poll_ms`, so that it can tell entries
 * which host holds them. A seeded random delay spreads the calls over time.
 *
 * Limits: not thread safe; does no I/O.
 */
#ifndef RATE_RATE_LEASE_H
#define RATE_RATE_LEASE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "rate/rate_share.h"

typedef struct RateLease RateLease;

#define RATE_ADDRESS_BYTES 64

typedef struct RateHost {
    uint64_t host; /* never 0 */
    uint64_t incarnation;
    int region; /* 0 to regions - 1 */
    int data_centre;
    char address[RATE_ADDRESS_BYTES]; /* RPC address with port */
} RateHost;

/* Settings; zero means the default, which is the number in the comment. */
typedef struct RateLease_desc {
    RateHost self;
    int fleet_slots;     /* 512 */
    int regions;         /* 1 */
    int64_t lease_ms;    /* 43200000 (12 h); renewed after a third of it */
    int grant_life_ms;   /* 1000 */
    int poll_ms;         /* 10000 */
    int claim_jitter_ms; /* 2000: maximum random delay of a claim */
    int drift_ppm;       /* 2500 */
    uint64_t seed;
    /* Whether the operator retired this incarnation of a host; may be NULL. */
    gboolean (*is_retired)(void *context, uint64_t host, uint64_t incarnation);
    void *context;
} RateLease_desc;

/* A slot object of the store. */
typedef struct RateSlotObject {
    uint64_t version; /* 0 = the object does not exist */
    int64_t age_ms;   /* now_ms - modified_ms of one store response */
    uint64_t holder;  /* 0 = released */
    uint64_t incarnation;
    uint64_t epoch;    /* increases with each new holder */
    uint64_t write_id; /* unique for each write */
    char address[RATE_ADDRESS_BYTES];
} RateSlotObject;

typedef enum RateLeaseCall {
    RATE_LEASE_READ,
    RATE_LEASE_CLAIM,
    RATE_LEASE_RENEW,
    RATE_LEASE_RELEASE
} RateLeaseCall;

typedef struct RateLeaseAction {
    RateLeaseCall call;
    int slot;
    RateSlotObject object; /* value to write if the version matches */
} RateLeaseAction;

typedef enum RateLeaseChange {
    RATE_LEASE_NONE,
    RATE_LEASE_OPEN,
    RATE_LEASE_EXTEND,
    RATE_LEASE_CLOSE
} RateLeaseChange;

typedef struct RateLeaseEvent {
    RateLeaseChange change;
    int slot;
    uint64_t epoch;
    ClockMs start_ms;
    ClockMs end_ms;
} RateLeaseEvent;

/* One incarnation of a host, such as the holder of a slot. */
typedef struct RateHostId {
    uint64_t host; /* 0 = none */
    uint64_t incarnation;
} RateHostId;

RateLease *RateLease_Create(const RateLease_desc *desc);
void RateLease_Destroy(RateLease *lease);

/* Sets the live hosts (this one included). */
void RateLease_SetView(RateLease *lease, const RateHost *hosts, int count,
                       ClockMs now);

/* Returns FALSE if no call is due; `*wait_ms` is the time until the next one.
 */
gboolean RateLease_Next(RateLease *lease, ClockMs now, RateLeaseAction *action,
                        int *wait_ms);
/* `result` is OK, STORE_CONFLICT, STORE_UNCERTAIN, STORE_UNAVAILABLE or, for a
 * read, also NOT_FOUND. `object` is the object that was read, the conflicting
 * object, or the written object with its new version; NULL if there is none.
 * `sent_ms` is the time right before the call. */
RateLeaseEvent RateLease_Done(RateLease *lease, const RateLeaseAction *action,
                              Result result, const RateSlotObject *object,
                              ClockMs sent_ms, ClockMs now);
/* Applies a slot object that was read outside of RateLease_Next(), such as one
 * in the list that is read at the start. */
RateLeaseEvent RateLease_Observe(RateLease *lease, int slot,
                                 const RateSlotObject *object, ClockMs sent_ms,
                                 ClockMs now);
/* Makes a read of the slot due at once; used when the slot's holder reports
 * that it has released the slot. */
void RateLease_Hint(RateLease *lease, int slot, ClockMs now);
void RateLease_ReleaseAll(RateLease *lease, ClockMs now);
/* Returns the number of slots that are held or being released. */
int RateLease_Count(const RateLease *lease);

/* Returns the first live host of the slot's order. */
RateHostId RateLease_First(const RateLease *lease, int slot);
/* Returns the slot's holder at the time when this host last read or wrote the
 * object (host 0 = unknown or vacant). */
RateHostId RateLease_Known(const RateLease *lease, int slot);

#endif
