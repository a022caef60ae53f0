#include "record.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static FILE *file;
static ClockMs started;
static gboolean has_trouble;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

void
Record_Open(int argc, char **argv)
{
    char *path;

    if (argc != 3) {
        exit(CASE_NOT_RUN);
    }
    path = g_build_filename(argv[1], "record.txt", NULL);
    file = fopen(path, "w");
    if (file == NULL) {
        exit(CASE_NOT_RUN);
    }
    has_trouble = strcmp(argv[2], "0") != 0;
    started = Clock_Now();
    g_free(path);
}

void
Record_Close(void)
{
    fclose(file);
}

ClockMs
Record_Now(void)
{
    return Clock_Now() - started;
}

void
Record_Line(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&lock);
    fprintf(file, "%7.3f s  ", (double)Record_Now() / 1000);
    va_start(arguments, format);
    vfprintf(file, format, arguments);
    va_end(arguments);
    fputc('\n', file);
    fflush(file);
    pthread_mutex_unlock(&lock);
}

void
Record_SleepUntil(ClockMs at)
{
    while (Record_Now() < at) {
        g_usleep(2000);
    }
}

gboolean
Record_HasTrouble(void)
{
    return has_trouble;
}
