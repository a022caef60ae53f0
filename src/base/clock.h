/* Clock: time in milliseconds.
 *
 * Use: take the time once at the start of a step with Clock_Now() and pass it
 * on; decision modules never read the clock themselves, so that tests drive
 * them with times of their own.
 *
 * Limits: the zero point is the host's start, so only differences of two
 * readings on the same host mean anything.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <glib.h>
#include <stdint.h>

/* Milliseconds. */
typedef int64_t ClockMs;

/* A time later than every other. */
#define CLOCK_NEVER INT64_MAX

/* Reads CLOCK_BOOTTIME, which counts on while the host is suspended, so that a
 * holder that was paused sees that its lease has run out. */
ClockMs Clock_Now(void);

/* Microseconds on the same scale, for measurements only. */
int64_t Clock_NowMicroseconds(void);

/* Milliseconds since 1970 by the wall clock, for display only. */
ClockMs Clock_WallMs(void);

/* Reads a time such as "250ms" or "2.5s"; FALSE for any other text, a negative
 * time or a number above G_MAXINT32. */
gboolean Clock_ParseText(const char *text, ClockMs *time);

#endif
