/* Evacuation: the set of data centres whose backend servers must get no
 * requests.
 *
 * Use:
 *  1. Evacuation_Create() with the names of the fleet's data centres.
 *  2. Evacuation_Set() for each request to evacuate a data centre, and for
 *     each one that has been withdrawn.
 *  3. Evacuation_Contains(), Evacuation_Hashes(), Evacuation_Write().
 *
 * Errors: EVACUATION_UNKNOWN for a name that is no data centre of the fleet;
 * the set stays as it is.
 *
 * Limits: decisions only, time is passed in. Thread safe.
 */
#ifndef EVACUATION_EVACUATION_H
#define EVACUATION_EVACUATION_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

typedef struct Evacuation Evacuation;

typedef enum EvacuationChange {
    EVACUATION_UNKNOWN, /* no data centre of the fleet has the name */
    EVACUATION_SAME,
    EVACUATION_BEGAN,
    EVACUATION_ENDED
} EvacuationChange;

/* Creates an empty set. Copies the names; equal ones count once. */
Evacuation *Evacuation_Create(const char *const *names, unsigned count);
void Evacuation_Destroy(Evacuation *evacuation);

/* Adds the data centre to the set or removes it. When an evacuation ends,
 * *lasted_ms is the time since it began. */
EvacuationChange Evacuation_Set(Evacuation *evacuation, const char *name,
                                gboolean is_evacuated, ClockMs now,
                                ClockMs *lasted_ms);

gboolean Evacuation_Contains(Evacuation *evacuation, const char *name);

/* Returns the hashes (Rng_HashString()) of the names in the set and their
 * number; free them with g_free(). */
uint64_t *Evacuation_Hashes(Evacuation *evacuation, uint32_t *count);

/* Number of evacuations that have begun or ended. */
uint64_t Evacuation_Changes(Evacuation *evacuation);

/* Appends gauges in the Prometheus text exposition format: for each data
 * centre 1 or 0, and the seconds since its evacuation began. */
void Evacuation_Write(Evacuation *evacuation, ClockMs now, GString *out);

#endif
