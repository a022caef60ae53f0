/* MemorySite: three daemons in mode "platform" whose memory is sampled, and
 * callers at the first one. Its service has two backend servers: that of the
 * second daemon is an EndlessServer, that of the third one is sound and far
 * away, so that the other one is chosen first.
 *
 * Use:
 *  1. MemorySite_Create(), which also serves small requests of
 *     MEMORY_CALLERS callers at once and takes the memory after them as base.
 *     Refused ones are sent again.
 *  2. MemorySite_SetKind() for the EndlessServer.
 *  3. MemorySite_Call() runs callers to their end.
 *  4. MemorySite_Check() compares peak and present memory of each daemon with
 *     the targets; a miss fails the test, which goes on.
 *  5. MemorySite_Destroy().
 *
 * Errors abort the test, also that a daemon has ended.
 */
#ifndef TESTS_MEMORY_SITE_H
#define TESTS_MEMORY_SITE_H

#include <glib.h>

#include "endless_server.h"
#include "site.h"
#include "slow_caller.h"

#define MEMORY_CALLERS 48
#define MEMORY_REQUESTS 4 /* of each */
#define MEMORY_HOSTS 3

typedef struct MemorySite MemorySite;

/* Callers that run at once. */
typedef struct MemoryCalls {
    int callers;
    int requests;           /* of each caller, one after the other */
    int repeats;            /* of a refused request, with a new id */
    SlowCaller_desc caller; /* path, host, key, id and address are set for each
                               request if they aren't */
} MemoryCalls;

typedef struct MemoryCounts {
    int requests;
    int served;         /* with status 200 and a complete body */
    int refused;        /* with status 429 or 503 */
    int unanswered;     /* without a whole head */
    int status;         /* of a request that was not served, the highest */
    int sound;          /* ran at the sound backend server */
    int sound_lost;     /* of these, not served */
    int faulty;         /* received by the EndlessServer, repeated ones too */
    ClockMs longest_ms; /* of a request, until its caller has ended */
} MemoryCounts;

MemorySite *MemorySite_Create(void);
void MemorySite_Destroy(MemorySite *self);
Site *MemorySite_Site(MemorySite *self);
EndlessServer *MemorySite_Server(MemorySite *self);
MemoryCounts MemorySite_Call(MemorySite *self, const MemoryCalls *calls);

/* Fails the test if a request that ran at the sound backend server was not
 * served. */
void MemorySite_CheckCounts(const MemoryCounts *counts, const char *name);

/* Returns after the daemons hold no more than the target, or after
 * a fixed time. */
void MemorySite_Check(MemorySite *self, const char *name);

/* Returns the peak memory (VmHWM) of a daemon of any site. */
long MemorySite_PeakKb(Site *site, int host);

/* A whole test with an EndlessKind as context: MEMORY_REQUESTS requests each
 * of MEMORY_CALLERS callers, and all checks. */
void MemorySite_RunKind(const void *context);

#endif
