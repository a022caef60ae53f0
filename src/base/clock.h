/* Clock: time in milliseconds.
 *
 * Use: read the time once at the start of a step with Clock_Now() and pass it
 * on. Modules that make decisions never read the clock themselves, so that
 * tests can pass any time.
 *
 * Limits: the zero point is the host's start, so only differences between two
 * readings on the same host are meaningful.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <glib.h>
#include <stdint.h>

/* Milliseconds. */
typedef int64_t ClockMs;

/* Later than every other time. */
#define CLOCK_NEVER INT64_MAX

/* Reads CLOCK_BOOTTIME, which advances while the host is suspended, so that
 * after a suspension the holder of a lease sees that the lease has expired. */
ClockMs Clock_Now(void);

/* Returns microseconds on the same scale, for measurements only. */
int64_t Clock_NowMicroseconds(void);

/* Returns milliseconds since 1970 by the wall clock, for display only. */
ClockMs Clock_WallMs(void);

/* Parses a time such as "250ms" or "2.5s". Returns FALSE for any other text, a
 * negative time or a number above G_MAXINT32. */
gboolean Clock_ParseText(const char *text, ClockMs *time);

#endif
