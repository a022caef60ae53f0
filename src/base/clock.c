#include "base/clock.h"

#include <string.h>
#include <time.h>

static int64_t
read_microseconds(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

ClockMs
Clock_Now(void)
{
    return read_microseconds(CLOCK_BOOTTIME) / 1000;
}

int64_t
Clock_NowMicroseconds(void)
{
    return read_microseconds(CLOCK_BOOTTIME);
}

ClockMs
Clock_WallMs(void)
{
    return read_microseconds(CLOCK_REALTIME) / 1000;
}

gboolean
Clock_ParseText(const char *text, ClockMs *time)
{
    char *unit;
    double number = g_ascii_strtod(text, &unit);

    /* The negated comparison also rejects NaN. */
    if (unit == text || !(number >= 0 && number <= G_MAXINT32)) {
        return FALSE;
    }
    if (strcmp(unit, "s") == 0) {
        number *= 1000;
    }
    else if (strcmp(unit, "ms") != 0) {
        return FALSE;
    }
    *time = (ClockMs)number;
    return TRUE;
}
