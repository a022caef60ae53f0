/* ObjectBackoff: pauses between retries while the object store fails.
 *
 * Use: ObjectBackoff_Init() once, ObjectBackoff_Next() for the pause after
 * each failure, ObjectBackoff_Reset() after a success.
 *
 * Limits: not thread safe.
 */
#ifndef OBJECTS_OBJECT_BACKOFF_H
#define OBJECTS_OBJECT_BACKOFF_H

#include "base/clock.h"
#include "base/rng.h"

typedef struct ObjectBackoff {
    ClockMs mean_ms; /* mean of the last pause; 0 after a success */
    Rng rng;
} ObjectBackoff;

void ObjectBackoff_Init(ObjectBackoff *backoff);

/* Returns the pause after one more failure. Its mean doubles up to a limit;
 * the pause is uniform between half and one and a half of the mean, so that
 * the daemons do not retry at the same time. */
ClockMs ObjectBackoff_Next(ObjectBackoff *backoff);

void ObjectBackoff_Reset(ObjectBackoff *backoff);

#endif
