/* SlowCaller: a caller that sends or reads as slowly as a test asks, and keeps
 * no answer.
 *
 * Use: SlowCaller_Run() sends one request on a new connection and reads the
 * answer.
 *
 * Limits: heads of answers up to 4,000 bytes.
 */
#ifndef TESTS_SLOW_CALLER_H
#define TESTS_SLOW_CALLER_H

#include <glib.h>
#include <netinet/in.h>
#include <stdatomic.h>

#include "base/clock.h"

typedef struct SlowCaller_desc {
    struct sockaddr_in address;
    const char *method; /* default "GET" */
    const char *path;
    const char *host;
    const char *key;
    const char *id;
    int deadline_ms;             /* stated in the request */
    size_t body_bytes;           /* sent in pieces; 0: no body */
    size_t piece_bytes;          /* default: all at once */
    ClockMs pause_ms;            /* after each piece */
    gboolean stops_at_reply;     /* sends no more once it has an answer */
    ClockMs unread_ms;           /* after the request, until it reads */
    const atomic_bool *released; /* TRUE: ends at once; NULL: never */
    int receive_bytes;           /* of the socket; default the system's */
    ClockMs timeout_ms;          /* of a read */
} SlowCaller_desc;

typedef struct SlowReply {
    int status;        /* 0: none */
    gboolean complete; /* a head and the whole body */
    gboolean has_id;   /* the body begins with the id */
    size_t body_bytes; /* with the framing of chunks */
    ClockMs took_ms;   /* from the first byte sent to the end */
} SlowReply;

SlowReply SlowCaller_Run(const SlowCaller_desc *desc);

#endif
