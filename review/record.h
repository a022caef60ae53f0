/* Record of a case: what the platform, the workers and the clients did and saw,
 * with the time since the start in milliseconds. */
#ifndef REVIEW_RECORD_H
#define REVIEW_RECORD_H

#include <glib.h>

#include "base/clock.h"

/* Exit codes of a case. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

/* Opens record.txt in the folder that the first argument names. The second one
 * is 0 for a run without the disruption, as run.sh has it from TROUBLE. */
void Record_Open(int argc, char **argv);
void Record_Close(void);

ClockMs Record_Now(void);
void Record_Line(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* Sleeps until the time since the start. */
void Record_SleepUntil(ClockMs at);

/* Whether the disruption takes place. */
gboolean Record_HasTrouble(void);

#endif
