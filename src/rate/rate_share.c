#include "rate/rate_share.h"

#include "base/rng.h"

/* Minimum rate (requests/s) and burst of a slot if the team has more than
 * RATE_TEAM_SLOTS_MIN slots. With a lower rate per slot a team would need more
 * draws; with a smaller burst a slot would often hold less than one token. */
#define SLOT_RATE 8
#define SLOT_BURST 4

RateLimit
RateLimit_FromMicro(int64_t rate_micro, int64_t burst_micro)
{
    return (RateLimit){
        .rate_per_s = rate_micro / RATE_MICRO,
        .burst = burst_micro / RATE_MICRO,
        .rate_fraction = (int32_t)(rate_micro % RATE_MICRO),
        .burst_fraction = (int32_t)(burst_micro % RATE_MICRO),
    };
}

int64_t
RateLimit_RateMicro(const RateLimit *limit)
{
    int64_t micro = CLAMP(limit->rate_per_s, 0, RATE_PER_S_MAX) * RATE_MICRO +
                    limit->rate_fraction;

    return MIN(micro, (int64_t)RATE_PER_S_MAX * RATE_MICRO);
}

int64_t
RateLimit_BurstMicro(const RateLimit *limit)
{
    int64_t micro = CLAMP(limit->burst, 0, RATE_BURST_MAX) * RATE_MICRO +
                    limit->burst_fraction;

    return MIN(micro, (int64_t)RATE_BURST_MAX * RATE_MICRO);
}

gboolean
RateLimit_IsEqual(const RateLimit *a, const RateLimit *b)
{
    return a->rate_per_s == b->rate_per_s && a->burst == b->burst &&
           a->rate_fraction == b->rate_fraction &&
           a->burst_fraction == b->burst_fraction;
}

RateShare
RateShare_Make(const RateLimit *limit, int fleet_slots)
{
    int64_t rate = RateLimit_RateMicro(limit);
    int64_t burst = RateLimit_BurstMicro(limit);
    int64_t by_rate =
        (rate + SLOT_RATE * RATE_MICRO - 1) / (SLOT_RATE * RATE_MICRO);
    int64_t slots = MIN(by_rate, burst / (SLOT_BURST * RATE_MICRO));
    RateShare share;

    slots = CLAMP(slots, RATE_TEAM_SLOTS_MIN, RATE_SLOTS_MAX);
    slots = MIN(slots, fleet_slots);
    share.slots = (int)slots;
    share.micro_per_second = rate / slots;
    share.rate_extra = (int)(rate % slots);
    share.burst_micro = burst / slots;
    share.burst_extra = (int)(burst % slots);
    return share;
}

/* Writes the first `count` slots of a region in the team's order. */
static int
first_of_region(uint64_t team, int region, int fleet_slots, int regions,
                int count, uint16_t *slots)
{
    uint64_t keys[RATE_SLOTS_MAX];
    int found = 0;

    for (int slot = region; slot < fleet_slots; slot += regions) {
        uint64_t key = Rng_Mix(team, (uint64_t)slot);
        int i = found;

        if (found == count) {
            if (count == 0 || key >= keys[count - 1]) {
                continue;
            }
            i = count - 1;
        }
        else {
            found++;
        }
        for (; i > 0 && keys[i - 1] > key; i--) {
            keys[i] = keys[i - 1];
            slots[i] = slots[i - 1];
        }
        keys[i] = key;
        slots[i] = (uint16_t)slot;
    }
    return found;
}

int
RateShare_Slots(uint64_t team, int count, int fleet_slots, int regions,
                uint16_t *slots)
{
    uint16_t by_region[RATE_SLOTS_MAX];
    int begin[RATE_SLOTS_MAX];
    int length[RATE_SLOTS_MAX];
    int written = 0;
    int used = 0;
    int first;

    count = MIN(count, fleet_slots);
    regions = CLAMP(regions, 1, fleet_slots);
    first = (int)(Rng_Mix(team, UINT64_MAX - 1) % (uint64_t)regions);
    for (int region = 0; region < regions; region++) {
        int size = (fleet_slots - region + regions - 1) / regions;
        int wanted = MIN((count + regions - 1) / regions + 1, size);

        begin[region] = used;
        length[region] = first_of_region(team, region, fleet_slots, regions,
                                         wanted, by_region + used);
        used += length[region];
    }
    for (int round = 0; written < count; round++) {
        for (int i = 0; i < regions && written < count; i++) {
            int region = (first + i) % regions;

            if (round < length[region]) {
                slots[written++] = by_region[begin[region] + round];
            }
        }
    }
    return written;
}
