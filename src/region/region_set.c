#include "region/region_set.h"

#include <string.h>

#include "base/rng.h"

struct RegionSet {
    size_t count;
    uint64_t hashes[]; /* ascending, without repetitions */
};

/* Inserts the hash into the first `count` ones. Returns the new number. */
static size_t
insert_hash(uint64_t *hashes, size_t count, uint64_t hash)
{
    size_t place = count;

    while (place > 0 && hashes[place - 1] > hash) {
        place--;
    }
    if (place > 0 && hashes[place - 1] == hash) {
        return count;
    }
    memmove(&hashes[place + 1], &hashes[place],
            (count - place) * sizeof(hashes[0]));
    hashes[place] = hash;
    return count + 1;
}

RegionSet *
RegionSet_Create(const char *const *names, size_t count)
{
    RegionSet *set =
        g_atomic_rc_box_alloc0(sizeof(*set) + count * sizeof(set->hashes[0]));

    for (size_t i = 0; i < count; i++) {
        set->count =
            insert_hash(set->hashes, set->count, RegionSet_Hash(names[i]));
    }
    return set;
}

const RegionSet *
RegionSet_Ref(const RegionSet *set)
{
    return set == NULL ? NULL : g_atomic_rc_box_acquire((gpointer)set);
}

void
RegionSet_Unref(const RegionSet *set)
{
    if (set != NULL) {
        g_atomic_rc_box_release((gpointer)set);
    }
}

uint64_t
RegionSet_Hash(const char *region)
{
    return Rng_HashString(region);
}

size_t
RegionSet_Count(const RegionSet *set)
{
    return set == NULL ? 0 : set->count;
}

gboolean
RegionSet_Allows(const RegionSet *set, uint64_t region)
{
    size_t low = 0;
    size_t high = set == NULL ? 0 : set->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (set->hashes[middle] == region) {
            return TRUE;
        }
        if (set->hashes[middle] < region) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return set == NULL;
}

gboolean
RegionSet_Equals(const RegionSet *set, const RegionSet *other)
{
    if (set == NULL || other == NULL) {
        return set == other;
    }
    return set->count == other->count &&
           memcmp(set->hashes, other->hashes,
                  set->count * sizeof(set->hashes[0])) == 0;
}
