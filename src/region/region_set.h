/* RegionSet: the regions in which a request may be served and stored.
 *
 * Use:
 *  1. RegionSet_Create() with the region names of a list in the configuration.
 *  2. RegionSet_Allows() for each candidate host, with RegionSet_Hash() of its
 *     region. RegionSet_Equals() tells whether a restriction has changed.
 *  3. RegionSet_Ref() for each further holder, RegionSet_Unref() by each.
 *
 * A pointer of NULL stands for "no restriction" in all functions. A set
 * without members allows no region.
 *
 * Errors: none. Limits: regions are compared by the 64-bit hash of the name.
 * Immutable; only the reference count changes, atomically. Thread safe.
 */
#ifndef REGION_REGION_SET_H
#define REGION_REGION_SET_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef struct RegionSet RegionSet;

/* Copies nothing but the hashes; repeated names count once. */
RegionSet *RegionSet_Create(const char *const *names, size_t count);
const RegionSet *RegionSet_Ref(const RegionSet *set);
void RegionSet_Unref(const RegionSet *set);

uint64_t RegionSet_Hash(const char *region);

/* Number of regions; 0 for NULL. */
size_t RegionSet_Count(const RegionSet *set);
gboolean RegionSet_Allows(const RegionSet *set, uint64_t region);
gboolean RegionSet_Equals(const RegionSet *set, const RegionSet *other);

#endif
