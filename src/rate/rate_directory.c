#include "rate/rate_directory.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_MS 1000
#define LEARNT_MAX_AGE_MS 60000

typedef struct SlotRecord {
    RateHostId holder;
    RateHostId first;
    ClockMs next_attempt_ms; /* used while the holder is unknown */
    ClockMs learnt_ms;
} SlotRecord;

struct RateDirectory {
    RateCache *cache;
    RateHost self;
    int fleet_slots;
    RateHost *hosts; /* sorted by id */
    int count;
    SlotRecord records[RATE_SLOTS_MAX];
};

RateDirectory *
RateDirectory_Create(RateCache *cache, const RateHost *self, int fleet_slots)
{
    RateDirectory *directory = g_new0(RateDirectory, 1);

    directory->cache = cache;
    directory->self = *self;
    directory->fleet_slots = fleet_slots > 0 ? fleet_slots : RATE_SLOTS_MAX;
    return directory;
}

void
RateDirectory_Destroy(RateDirectory *directory)
{
    if (directory != NULL) {
        g_free(directory->hosts);
        g_free(directory);
    }
}

static int
compare_hosts(const void *left, const void *right)
{
    const RateHost *a = left;
    const RateHost *b = right;

    return (a->host > b->host) - (a->host < b->host);
}

static const RateHost *
find_host(const RateDirectory *directory, uint64_t host, uint64_t incarnation)
{
    RateHost key = {.host = host};
    const RateHost *found;

    if (host == 0 || directory->count == 0) {
        return NULL;
    }
    found = bsearch(&key, directory->hosts, (size_t)directory->count,
                    sizeof(key), compare_hosts);
    return found != NULL && found->incarnation == incarnation ? found : NULL;
}

static RateDistance
distance_to(const RateDirectory *directory, const RateHost *host)
{
    const RateHost *self = &directory->self;

    if (host->host == self->host) {
        return RATE_SELF;
    }
    if (host->region != self->region) {
        return RATE_ELSEWHERE;
    }
    return host->data_centre == self->data_centre ? RATE_DATA_CENTRE
                                                  : RATE_REGION;
}

/* Makes a live host the slot's holder; FALSE if the host is not live. */
static gboolean
set_holder(RateDirectory *directory, int slot, RateHostId target)
{
    SlotRecord *record = &directory->records[slot];
    const RateHost *host =
        find_host(directory, target.host, target.incarnation);

    if (host == NULL) {
        record->holder = (RateHostId){0, 0};
        RateCache_SetHolder(directory->cache, slot, 0, 0, RATE_ELSEWHERE);
        return FALSE;
    }
    record->holder = target;
    RateCache_SetHolder(directory->cache, slot, target.host,
                        target.incarnation, distance_to(directory, host));
    return TRUE;
}

void
RateDirectory_SetView(RateDirectory *directory, const RateLease *lease,
                      const RateHost *hosts, int count)
{
    g_free(directory->hosts);
    directory->hosts = g_memdup2(hosts, sizeof(*hosts) * (size_t)count);
    directory->count = count;
    if (count > 0) {
        qsort(directory->hosts, (size_t)count, sizeof(*hosts), compare_hosts);
    }
    for (int i = 0; i < directory->fleet_slots; i++) {
        SlotRecord *record = &directory->records[i];

        record->first = RateLease_First(lease, i);
        if (record->holder.host == 0 ||
            find_host(directory, record->holder.host,
                      record->holder.incarnation) == NULL) {
            set_holder(directory, i, record->first);
        }
    }
}

void
RateDirectory_Learn(RateDirectory *directory, int slot, uint64_t host,
                    uint64_t incarnation, ClockMs now)
{
    if (slot < 0 || slot >= directory->fleet_slots) {
        return;
    }
    directory->records[slot].learnt_ms = now;
    if (!set_holder(directory, slot, (RateHostId){host, incarnation})) {
        directory->records[slot].next_attempt_ms = now + RETRY_MS;
    }
}

void
RateDirectory_NotHeld(RateDirectory *directory, uint64_t host,
                      uint64_t incarnation, const uint16_t *slots, int count,
                      ClockMs now)
{
    for (int k = 0; k < count; k++) {
        int i = slots[k];
        SlotRecord *record = &directory->records[i];

        if (record->holder.host != host ||
            record->holder.incarnation != incarnation) {
            continue;
        }
        /* The first host is tried next, unless this reply came from it. */
        if (record->first.host == host ||
            !set_holder(directory, i, record->first)) {
            set_holder(directory, i, (RateHostId){0, 0});
            record->next_attempt_ms = now + RETRY_MS;
        }
    }
}

void
RateDirectory_Tick(RateDirectory *directory, ClockMs now)
{
    for (int i = 0; i < directory->fleet_slots; i++) {
        SlotRecord *record = &directory->records[i];

        if (record->holder.host == 0 && record->next_attempt_ms <= now) {
            if (!set_holder(directory, i, record->first)) {
                record->next_attempt_ms = now + RETRY_MS;
            }
        }
        else if (record->holder.host != record->first.host &&
                 record->holder.host != directory->self.host &&
                 now - record->learnt_ms > LEARNT_MAX_AGE_MS) {
            record->learnt_ms = now;
            set_holder(directory, i, record->first);
        }
    }
}

RateHostId
RateDirectory_Get(const RateDirectory *directory, int slot)
{
    return directory->records[slot].holder;
}
