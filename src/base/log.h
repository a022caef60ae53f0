/* Log: numbered events as lines on standard error or another stream.
 *
 * Use: add a line to base/log_list.h, then
 *     Log_Event(LOG_TICKET_IN_FORCE, "ticket=%d", number);
 * Fields are written as name=value. Keys and bodies of requests must never
 * be written into a field.
 *
 * Limits: each event is written at most 20 times a second, and never when the
 * stream would block; the events dropped are counted (COUNTER_LOG_SUPPRESSED).
 * The fields are truncated at 1,000 bytes.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <stdio.h>

#include "base/log_list.h"

typedef enum LogLevel {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARNING,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG
} LogLevel;

#define _LOG_ENUM(name, number, level, text) LOG_##name = (number),
typedef enum LogEvent { LOG_LIST(_LOG_ENUM) } LogEvent;
#undef _LOG_ENUM

typedef struct Log_desc {
    LogLevel level; /* lowest level written; zero means errors only */
    gboolean json;  /* JSON lines in place of text */
    FILE *stream;   /* NULL means standard error */
    const char *host;
} Log_desc;

/* Sets the output. Until it is called, errors go to standard error as text.
 * The strings must stay valid. */
void Log_Setup(const Log_desc *desc);

void Log_Event(LogEvent event, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Appends to a text of at most `bytes` bytes, to be written into an event
 * later. Truncates what does not fit. */
void Log_Append(char *text, size_t bytes, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Parses "error", "warning", "info" or "debug". */
gboolean Log_LevelFromName(const char *name, LogLevel *level);

/* Calls the callback for each event in the order of the list. */
void Log_ForEach(void (*callback)(void *context, LogEvent event,
                                  const char *name, const char *level,
                                  const char *text),
                 void *context);

#endif
