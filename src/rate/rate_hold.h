/* RateHold: decides which rate slots this host claims, renews and releases.
 *
 * Use:
 *  1. RateHold_Create(), then RateHold_SetView() whenever the live hosts
 *     change.
 *  2. RateHold_Next() gives the next call on the store that is due. Make it
 * and pass the outcome to RateHold_Done(), which says what happens to the
 *     slot's bucket (RateHolder).
 *  3. On shutdown call RateHold_ReleaseAll(), close all buckets, and go on
 * with step 2 until RateHold_Next() gives nothing.
 *
 * A slot is claimed by the first live host of its region's rendezvous order,
 * when it is vacant, released, or older than the hold by the store's clock, or
 * when its holder was retired by the operator or is a former incarnation of
 * this host at the same address. The host in first place reads its slots every
 * `poll_ms`, so that it can tell entries who holds them. Calls are spread by a
 * seeded random delay.
 *
 * Limits: not thread safe; does no I/O.
 */
#ifndef RATE_RATE_HOLD_H
#define RATE_RATE_HOLD_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"
#include "rate/rate_share.h"

typedef struct RateHold RateHold;

#define RATE_ADDRESS_BYTES 64

typedef struct RateHost {
    uint64_t host; /* never 0 */
    uint64_t incarnation;
    int region; /* 0 to regions - 1 */
    int data_centre;
    char address[RATE_ADDRESS_BYTES]; /* RPC address with port */
} RateHost;

typedef struct RateHold_desc {
    RateHost self;
    int fleet_slots;   /* 512 */
    int regions;       /* 1 */
    int64_t hold_ms;   /* 43200000 (12 h); renewed after a third */
    int grant_life_ms; /* 1000 */
    int poll_ms;       /* 10000 */
    int spread_ms;     /* 2000: claims are delayed by up to this */
    int drift_ppm;     /* 2500 */
    uint64_t seed;
    /* Whether the operator retired this incarnation of a host; may be NULL. */
    gboolean (*is_retired)(void *context, uint64_t host, uint64_t incarnation);
    void *context;
} RateHold_desc;

/* A slot object of the store. */
typedef struct RateSlotObject {
    uint64_t version; /* 0 = the object does not exist */
    int64_t age_ms;   /* now_ms - modified_ms of the same response */
    uint64_t holder;  /* 0 = released */
    uint64_t incarnation;
    uint64_t epoch;    /* rises with each new holder */
    uint64_t write_id; /* unique for each write */
    char address[RATE_ADDRESS_BYTES];
} RateSlotObject;

typedef enum RateHoldCall {
    RATE_HOLD_READ,
    RATE_HOLD_CLAIM,
    RATE_HOLD_RENEW,
    RATE_HOLD_RELEASE
} RateHoldCall;

typedef struct RateHoldAction {
    RateHoldCall call;
    int slot;
    RateSlotObject object; /* to write, with version as the condition */
} RateHoldAction;

typedef enum RateHoldChange {
    RATE_HOLD_NONE,
    RATE_HOLD_OPEN,
    RATE_HOLD_EXTEND,
    RATE_HOLD_CLOSE
} RateHoldChange;

typedef struct RateHoldEvent {
    RateHoldChange change;
    int slot;
    uint64_t epoch;
    ClockMs start_ms;
    ClockMs end_ms;
} RateHoldEvent;

/* Where an entry finds a slot. */
typedef struct RateHoldPlace {
    uint64_t host; /* 0 = nobody */
    uint64_t incarnation;
} RateHoldPlace;

RateHold *RateHold_Create(const RateHold_desc *desc);
void RateHold_Destroy(RateHold *hold);

/* Takes over the live hosts (this one included). */
void RateHold_SetView(RateHold *hold, const RateHost *hosts, int count,
                      ClockMs now);

/* FALSE if no call is due; `wait_ms` says for how long. */
gboolean RateHold_Next(RateHold *hold, ClockMs now, RateHoldAction *action,
                       int *wait_ms);
/* `result` is OK, STORE_CONFLICT, STORE_UNCERTAIN, STORE_UNAVAILABLE or, for a
 * read, also NOT_FOUND. `object` is the object read, the one in conflict, or
 * the written one with its new version; NULL if there is none. `sent_ms` is
 * the time right before the call. */
RateHoldEvent RateHold_Done(RateHold *hold, const RateHoldAction *action,
                            Result result, const RateSlotObject *object,
                            ClockMs sent_ms, ClockMs now);
/* A slot object that was read by the way, as in a list at the start. */
RateHoldEvent RateHold_Observe(RateHold *hold, int slot,
                               const RateSlotObject *object, ClockMs sent_ms,
                               ClockMs now);
/* Reads the slot at once; used when its holder says that it is released. */
void RateHold_Hint(RateHold *hold, int slot, ClockMs now);
void RateHold_ReleaseAll(RateHold *hold, ClockMs now);
/* Slots held or being released. */
int RateHold_Count(const RateHold *hold);

/* The first live host of the slot's order. */
RateHoldPlace RateHold_First(const RateHold *hold, int slot);
/* Who held the slot when this host last read or wrote it (host 0 = unknown or
 * vacant). */
RateHoldPlace RateHold_Known(const RateHold *hold, int slot);

#endif
