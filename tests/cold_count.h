/* ColdCount: the requests that a backend server of a test got while it was
 * cold.
 *
 * Use: ColdCount_Create(); ColdCount_Begin() when the backend server becomes
 * cold; ColdCount_Arrive() for each request; ColdCount_LeftMs() for its
 * announcements and answers; ColdCount_Most() at the end. Then
 * ColdCount_Destroy().
 *
 * Requests that arrive before the owner can know of the state do not count:
 * within NOTICE_MS of its begin.
 *
 * Limits: thread safe.
 */
#ifndef TESTS_COLD_COUNT_H
#define TESTS_COLD_COUNT_H

#include <glib.h>

#include "base/clock.h"

typedef struct ColdCount ColdCount;

ColdCount *ColdCount_Create(void);
void ColdCount_Destroy(ColdCount *count);
void ColdCount_Begin(ColdCount *count, ClockMs length_ms);
void ColdCount_Arrive(ColdCount *count);

/* Time for which the backend server stays cold; 0: it is warm. */
ClockMs ColdCount_LeftMs(ColdCount *count);

/* The most requests in any second, and all of them. */
guint ColdCount_Most(ColdCount *count);
guint ColdCount_All(ColdCount *count);

#endif
