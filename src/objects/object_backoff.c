#include "objects/object_backoff.h"

#include <glib.h>

/* The first pause and the longest. The longest keeps the return of the store
 * from being noticed late. */
#define FIRST_MS 100
#define MOST_MS 800

void
ObjectBackoff_Init(ObjectBackoff *backoff)
{
    backoff->mean_ms = 0;
    Rng_Seed(&backoff->rng, Rng_ProcessSeed());
}

ClockMs
ObjectBackoff_Next(ObjectBackoff *backoff)
{
    backoff->mean_ms = CLAMP(2 * backoff->mean_ms, FIRST_MS, MOST_MS);
    return backoff->mean_ms / 2 +
           (ClockMs)Rng_Below(&backoff->rng, (uint64_t)backoff->mean_ms);
}

void
ObjectBackoff_Reset(ObjectBackoff *backoff)
{
    backoff->mean_ms = 0;
}
