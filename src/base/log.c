#include "base/log.h"

#include <pthread.h>
#include <stdarg.h>
#include <string.h>

#include "base/clock.h"
#include "base/counter.h"

#define REPEATS_PER_SECOND 20
#define LINE_BYTES 1000

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
} repeats[G_N_ELEMENTS(rows)];

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
    if (repeats[row].second != now / 1000) {
        repeats[row].second = now / 1000;
        repeats[row].written = 0;
    }
    return ++repeats[row].written > REPEATS_PER_SECOND;
}

static void
write_json(FILE *stream, const LogRow *row, const char *time,
           const char *fields)
{
    char *escaped = g_strescape(fields, NULL);

    fprintf(stream,
            "{\"time\":\"%s\",\"level\":\"%s\",\"event\":%d,\"name\":\"%s\","
            "\"text\":\"%s\",\"host\":\"%s\",\"fields\":\"%s\"}\n",
            time, level_names[row->level], (int)row->event, row->name,
            row->text, setup.host ? setup.host : "", escaped);
    g_free(escaped);
}

static void
write_text(FILE *stream, const LogRow *row, const char *time,
           const char *fields)
{
    fprintf(stream, "%s %s %s E%d %s: %s%s%s\n", time,
            setup.host ? setup.host : "-", level_names[row->level],
            (int)row->event, row->name, row->text, fields[0] ? " " : "",
            fields);
}

void
Log_Event(LogEvent event, const char *format, ...)
{
    char fields[LINE_BYTES];
    int row = find_row(event);
    va_list arguments;
    GDateTime *date;
    char *time;
    FILE *stream;

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
            date = g_date_time_new_now_utc();
            time = g_date_time_format(date, "%Y-%m-%dT%H:%M:%S.%fZ");
            stream = setup.stream ? setup.stream : stderr;
            if (setup.json) {
                write_json(stream, &rows[row], time, fields);
            }
            else {
                write_text(stream, &rows[row], time, fields);
            }
            fflush(stream);
            g_free(time);
            g_date_time_unref(date);
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
Log_ForEach(void (*callback)(void *context, LogEvent event, const char *name,
                             const char *level, const char *text),
            void *context)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        callback(context, rows[i].event, rows[i].name,
                 level_names[rows[i].level], rows[i].text);
    }
}
