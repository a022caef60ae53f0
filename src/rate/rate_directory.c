#include "rate/rate_directory.h"

#include <stdlib.h>
#include <string.h>

#define REST_MS 1000
#define FORGET_MS 60000

typedef struct Place {
    RateHoldPlace holder;
    RateHoldPlace first;
    ClockMs rest_until; /* while the holder is unknown */
    ClockMs learnt_ms;
} Place;

struct RateDirectory {
    RateWallet *wallet;
    RateHost self;
    int fleet_slots;
    RateHost *hosts; /* sorted by id */
    int count;
    Place places[RATE_SLOTS_MAX];
};

RateDirectory *
RateDirectory_Create(RateWallet *wallet, const RateHost *self, int fleet_slots)
{
    RateDirectory *directory = g_new0(RateDirectory, 1);

    directory->wallet = wallet;
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

/* Points the wallet at a live host; FALSE if the host is not live. */
static gboolean
point_at(RateDirectory *directory, int slot, RateHoldPlace target)
{
    Place *place = &directory->places[slot];
    const RateHost *host =
        find_host(directory, target.host, target.incarnation);

    if (host == NULL) {
        place->holder = (RateHoldPlace){0, 0};
        RateWallet_SetHolder(directory->wallet, slot, 0, 0, RATE_ELSEWHERE);
        return FALSE;
    }
    place->holder = target;
    RateWallet_SetHolder(directory->wallet, slot, target.host,
                         target.incarnation, distance_to(directory, host));
    return TRUE;
}

void
RateDirectory_SetView(RateDirectory *directory, const RateHold *hold,
                      const RateHost *hosts, int count)
{
    g_free(directory->hosts);
    directory->hosts = g_memdup2(hosts, sizeof(*hosts) * (size_t)count);
    directory->count = count;
    if (count > 0) {
        qsort(directory->hosts, (size_t)count, sizeof(*hosts), compare_hosts);
    }
    for (int i = 0; i < directory->fleet_slots; i++) {
        Place *place = &directory->places[i];

        place->first = RateHold_First(hold, i);
        if (place->holder.host == 0 ||
            find_host(directory, place->holder.host,
                      place->holder.incarnation) == NULL) {
            point_at(directory, i, place->first);
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
    directory->places[slot].learnt_ms = now;
    if (!point_at(directory, slot, (RateHoldPlace){host, incarnation})) {
        directory->places[slot].rest_until = now + REST_MS;
    }
}

void
RateDirectory_NotHeld(RateDirectory *directory, uint64_t host,
                      uint64_t incarnation, const uint16_t *slots, int count,
                      ClockMs now)
{
    for (int k = 0; k < count; k++) {
        int i = slots[k];
        Place *place = &directory->places[i];

        if (place->holder.host != host ||
            place->holder.incarnation != incarnation) {
            continue;
        }
        /* The first host is asked next, unless it is the one that answered. */
        if (place->first.host == host ||
            !point_at(directory, i, place->first)) {
            point_at(directory, i, (RateHoldPlace){0, 0});
            place->rest_until = now + REST_MS;
        }
    }
}

void
RateDirectory_Tick(RateDirectory *directory, ClockMs now)
{
    for (int i = 0; i < directory->fleet_slots; i++) {
        Place *place = &directory->places[i];

        if (place->holder.host == 0 && place->rest_until <= now) {
            if (!point_at(directory, i, place->first)) {
                place->rest_until = now + REST_MS;
            }
        }
        else if (place->holder.host != place->first.host &&
                 place->holder.host != directory->self.host &&
                 now - place->learnt_ms > FORGET_MS) {
            place->learnt_ms = now;
            point_at(directory, i, place->first);
        }
    }
}

RateHoldPlace
RateDirectory_Get(const RateDirectory *directory, int slot)
{
    return directory->places[slot].holder;
}
