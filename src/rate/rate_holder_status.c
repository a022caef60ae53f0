#include "rate/rate_holder_private.h"

int
RateHolder_Slots(const RateHolder *holder, RateSlotStatus *slots, int max)
{
    int count = 0;

    for (int i = 0; i < holder->desc.fleet_slots; i++) {
        const Slot *slot = &holder->slots[i];

        if (slot->end_ms == 0) {
            continue;
        }
        if (count < max) {
            slots[count] =
                (RateSlotStatus){i, slot->epoch, slot->start_ms, slot->end_ms};
        }
        count++;
    }
    return count;
}

int
RateHolder_Buckets(const RateHolder *holder, RateBucketStatus *buckets,
                   int max)
{
    int count = 0;

    for (uint32_t i = 0; i < holder->bucket_high; i++) {
        const Bucket *bucket = &holder->buckets[i];

        if (bucket->team == 0) {
            continue;
        }
        if (count < max) {
            buckets[count] = (RateBucketStatus){bucket->team, bucket->level,
                                                bucket->outstanding,
                                                bucket->burst, bucket->rate};
        }
        count++;
    }
    return count;
}

size_t
RateHolder_MemoryBytes(const RateHolder *holder)
{
    uint64_t live = holder->grant_next;

    live = MIN(live, holder->desc.max_grants);
    return sizeof(*holder) + holder->bucket_high * sizeof(Bucket) +
           (holder->bucket_mask + 1) * sizeof(uint32_t) +
           live * sizeof(Grant) + (holder->grant_mask + 1) * sizeof(uint32_t) +
           holder->desc.max_entries * sizeof(Entry);
}
