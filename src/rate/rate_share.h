/* RateShare: how a team's rate and burst are divided over the rate slots.
 *
 * Use:
 *  1. RateShare_Make() returns the number of slots K of a team and the share
 *     of each slot.
 *  2. RateShare_Slots() writes the team's slots in its rendezvous order. The
 *     slots of a smaller K are always the first ones of a larger K.
 *
 * Amounts are integers in micro-tokens. The shares of all slots add up to
 * exactly the team's rate and burst: the remainder of the division by K goes
 * to the first slots, one micro-token each.
 *
 * Limits: rates up to 1,000,000 requests/s and bursts up to 10,000,000
 * requests; larger values are clamped to these.
 */
#ifndef RATE_RATE_SHARE_H
#define RATE_RATE_SHARE_H

#include <glib.h>
#include <stdint.h>

#define RATE_MICRO 1000000    /* micro-tokens in one token */
#define RATE_SLOTS_MAX 512    /* rate slots of a fleet */
#define RATE_TEAM_SLOTS_MIN 3 /* smallest K */
#define RATE_PER_S_MAX 1000000
#define RATE_BURST_MAX 10000000

/* A slot with a smaller burst grants fractions of a token, which the entry
 * adds up to whole tokens; all other slots grant whole tokens. */
#define RATE_SMALL_BURST (4 * (int64_t)RATE_MICRO)

/* A team's rate in requests per second and its burst in requests, each as a
 * whole number and a fraction. */
typedef struct RateLimit {
    int64_t rate_per_s;
    int64_t burst;
    int32_t rate_fraction;  /* micro-tokens per second, below RATE_MICRO */
    int32_t burst_fraction; /* micro-tokens, below RATE_MICRO */
} RateLimit;

typedef struct RateShare {
    int slots;                /* K */
    int rate_extra;           /* first slots with one more micro-token/s */
    int burst_extra;          /* first slots with one more micro-token */
    int64_t micro_per_second; /* rate of one slot */
    int64_t burst_micro;      /* burst of one slot */
} RateShare;

/* Makes a limit from micro-tokens per second and micro-tokens. */
RateLimit RateLimit_FromMicro(int64_t rate_micro, int64_t burst_micro);
int64_t RateLimit_RateMicro(const RateLimit *limit);
int64_t RateLimit_BurstMicro(const RateLimit *limit);
gboolean RateLimit_IsEqual(const RateLimit *a, const RateLimit *b);

/* Divides a limit over at most `fleet_slots` slots. A slot gets about 8
 * requests/s and at least 4 tokens of burst, except that K is at least 3. */
RateShare RateShare_Make(const RateLimit *limit, int fleet_slots);

/* Writes the first `count` slots of the team's order to `slots`. Slot n is in
 * region n mod `regions`; successive slots are in different regions. Returns
 * the number written. */
int RateShare_Slots(uint64_t team, int count, int fleet_slots, int regions,
                    uint16_t *slots);

#endif
