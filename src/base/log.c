#include "base/log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"

#define MAX_LINES_PER_SECOND 20 /* limit for each event */
#define LINE_BYTES 1000
#define HEAD_BYTES 400
#define TIME_BYTES 64

typedef struct LogRow {
    LogEvent event;
    LogLevel level;
    const char *name;
    const char *text;
} LogRow;

#define LOG_ROW(name, number, level, text) \
    {LOG_##name, LOG_LEVEL_##level, #name, text},
static const LogRow rows[] = {LOG_LIST(LOG_ROW)};
#undef LOG_ROW

static const char *const level_names[] = {
    [LOG_LEVEL_ERROR] = "error",
    [LOG_LEVEL_WARNING] = "warning",
    [LOG_LEVEL_INFO] = "info",
    [LOG_LEVEL_DEBUG] = "debug",
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Log_desc setup;
static struct {
    ClockMs second;
    int written;
} windows[G_N_ELEMENTS(rows)];

void
Log_Setup(const Log_desc *desc)
{
    pthread_mutex_lock(&lock);
    setup = *desc;
    pthread_mutex_unlock(&lock);
}

static int
find_row(LogEvent event)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].event == event) {
            return (int)i;
        }
    }
    return -1;
}

/* Called with the lock held. */
static gboolean
is_suppressed(int row, ClockMs now)
{
    if (windows[row].second != now / 1000) {
        windows[row].second = now / 1000;
        windows[row].written = 0;
    }
    return ++windows[row].written > MAX_LINES_PER_SECOND;
}

/* Drops the line if writing would block, so that a slow reader of the log does
 * not delay the daemon. */
static void
write_line(const char *line, size_t bytes)
{
    struct pollfd output = {.fd = fileno(setup.stream ? setup.stream : stderr),
                            .events = POLLOUT};

    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0 ||
        write(output.fd, line, bytes) != (ssize_t)bytes) {
        Counter_Add(COUNTER_LOG_SUPPRESSED, 1);
    }
}

/* Writes "2026-12-04T10:00:00.123Z". */
static void
format_time(char *text, size_t bytes)
{
    ClockMs now = Clock_WallMs();
    time_t seconds = (time_t)(now / 1000);
    struct tm parts;
    size_t length;

    gmtime_r(&seconds, &parts);
    length = strftime(text, bytes, "%Y-%m-%dT%H:%M:%S", &parts);
    (void)snprintf(text + length, bytes - length, ".%03dZ", (int)(now % 1000));
}

static int
format_json(char *line, size_t bytes, const LogRow *row, const char *time,
            const char *fields)
{
    char *escaped = g_strescape(fields, NULL);
    int length = snprintf(
        line, bytes,
        "{\"time\":\"%s\",\"level\":\"%s\",\"event\":%d,\"name\":\"%s\","
        "\"text\":\"%s\",\"host\":\"%s\",\"fields\":\"%s\"}\n",
        time, level_names[row->level], (int)row->event, row->name, row->text,
        setup.host ? setup.host : "", escaped);

    g_free(escaped);
    return length;
}

static int
format_text(char *line, size_t bytes, const LogRow *row, const char *time,
            const char *fields)
{
    return snprintf(line, bytes, "%s %s %s E%d %s: %s%s%s\n", time,
                    setup.host ? setup.host : "-", level_names[row->level],
                    (int)row->event, row->name, row->text,
                    fields[0] ? " " : "", fields);
}

/* Called with the lock held. */
static void
write_event(const LogRow *row, const char *fields)
{
    char line[2 * LINE_BYTES + HEAD_BYTES];
    char time[TIME_BYTES];
    int length;

    format_time(time, sizeof(time));
    length = setup.json ? format_json(line, sizeof(line), row, time, fields)
                        : format_text(line, sizeof(line), row, time, fields);
    if (length >= (int)sizeof(line)) {
        length = (int)sizeof(line) - 1;
        line[length - 1] = '\n';
    }
    write_line(line, (size_t)length);
}

void
Log_Event(LogEvent event, const char *format, ...)
{
    char fields[LINE_BYTES];
    int row = find_row(event);
    va_list arguments;

    if (row < 0) {
        return;
    }
    va_start(arguments, format);
    (void)vsnprintf(fields, sizeof(fields), format, arguments);
    va_end(arguments);
    pthread_mutex_lock(&lock);
    if (rows[row].level <= setup.level) {
        if (is_suppressed(row, Clock_Now())) {
            Counter_Add(COUNTER_LOG_SUPPRESSED, 1);
        }
        else {
            write_event(&rows[row], fields);
        }
    }
    pthread_mutex_unlock(&lock);
}

gboolean
Log_LevelFromName(const char *name, LogLevel *level)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(name, level_names[i]) == 0) {
            *level = (LogLevel)i;
            return TRUE;
        }
    }
    return FALSE;
}

void
Log_Append(char *text, size_t bytes, const char *format, ...)
{
    size_t used = strlen(text);
    va_list arguments;

    va_start(arguments, format);
    (void)vsnprintf(text + used, bytes - used, format, arguments);
    va_end(arguments);
}

void
Log_ForEach(void (*callback)(void *context, LogEvent event, const char *name,
                             const char *level, const char *text),
            void *context)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        callback(context, rows[i].event, rows[i].name,
                 level_names[rows[i].level], rows[i].text);
    }
}
