#include "objects/object_backoff.h"

#include <glib.h>

/* Mean of the first and of the longest pause. The longest one bounds the delay
 * until the recovery of the store is noticed. */
#define MIN_PAUSE_MS 100
#define MAX_PAUSE_MS 800

void
ObjectBackoff_Init(ObjectBackoff *backoff)
{
    backoff->mean_ms = 0;
    Rng_Seed(&backoff->rng, Rng_ProcessSeed());
}

ClockMs
ObjectBackoff_Next(ObjectBackoff *backoff)
{
    backoff->mean_ms = CLAMP(2 * backoff->mean_ms, MIN_PAUSE_MS, MAX_PAUSE_MS);
    return backoff->mean_ms / 2 +
           (ClockMs)Rng_Below(&backoff->rng, (uint64_t)backoff->mean_ms);
}

void
ObjectBackoff_Reset(ObjectBackoff *backoff)
{
    backoff->mean_ms = 0;
}
