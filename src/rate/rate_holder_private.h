/* The state of RateHolder, shared by rate_holder.c and rate_holder_status.c.
 */
#ifndef RATE_RATE_HOLDER_PRIVATE_H
#define RATE_RATE_HOLDER_PRIVATE_H

#include "rate/rate_holder.h"

typedef struct Slot {
    uint64_t epoch;
    ClockMs start_ms;
    ClockMs end_ms; /* 0 = not held */
} Slot;

/* `rate` and `burst` apply from `last` until `valid_until`. */
typedef struct Bucket {
    uint64_t team; /* 0 = free */
    int64_t level;
    int64_t outstanding;
    int64_t rate;      /* micro-tokens/s, reduced by the clock drift */
    int64_t burst;     /* micro-tokens */
    int64_t remainder; /* remainder of the refill, in 1/1000 micro-token */
    ClockMs last;
    ClockMs valid_until;
    ClockMs last_retry_ms; /* retry time given to the last refused draw */
    /* Until this time the smaller of the old and the present share applies. */
    ClockMs change_end_ms;
    uint64_t version;
    RateLimit limit;
    RateShare share;
    RateShare old_share;
    uint32_t grants; /* grant records that refer to the bucket */
    uint32_t next;
} Bucket;

typedef struct Grant {
    uint64_t number;
    uint64_t entry;
    uint64_t incarnation;
    uint64_t serial;
    int64_t micro;
    int64_t used;
    ClockMs expires_ms;
    uint32_t bucket;
    uint32_t next;
    gboolean closed;
    gboolean settle_now;
    int retry_ms;
} Grant;

typedef struct Entry {
    uint64_t host;
    uint64_t incarnation;
} Entry;

struct RateHolder {
    RateHolder_desc desc;
    ClockMs life_ms; /* grant life by this clock, with margin for drift */
    Slot slots[RATE_SLOTS_MAX];
    uint64_t version; /* incremented when a slot opens, extends or closes */
    Bucket *buckets;
    uint32_t *bucket_heads;
    uint32_t bucket_mask;
    uint32_t free_bucket;
    uint32_t bucket_high;
    uint32_t evict_next;
    /* Ring of grants; number n is at n % max_grants. All grants have the same
     * life, so the oldest one expires first. */
    Grant *grants;
    uint32_t *grant_heads;
    uint32_t grant_mask;
    uint64_t grant_first;
    uint64_t grant_next;
    Entry *entries;
};

#endif
