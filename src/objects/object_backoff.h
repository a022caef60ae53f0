/* ObjectBackoff: pauses between tries while the object store fails.
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
    ClockMs mean_ms; /* of the last pause; 0 after a success */
    Rng rng;
} ObjectBackoff;

void ObjectBackoff_Init(ObjectBackoff *backoff);

/* The pause after one more failure: it doubles up to a limit, and is spread
 * from half to one and a half, so that the daemons do not retry together. */
ClockMs ObjectBackoff_Next(ObjectBackoff *backoff);

void ObjectBackoff_Reset(ObjectBackoff *backoff);

#endif
