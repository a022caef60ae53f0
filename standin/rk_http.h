/* A small HTTP client with a deadline for each request, for test stand-ins.
 *
 * Use: Http_Open() once for each connection, Http_Send() for each request,
 * Http_FreeReply() for each reply, Http_Close() at the end. The connection is
 * kept open between requests if the server allows it. A request is never sent
 * twice.
 *
 * Deadlines are monotonic times in microseconds and have millisecond
 * resolution.
 *
 * Limits: numeric IPv4 addresses; bodies with Content-Length or terminated by
 * the end of the connection, at most 64 MiB.
 */
#ifndef STANDIN_RK_HTTP_H
#define STANDIN_RK_HTTP_H

#include <glib.h>

typedef enum HttpOutcome {
    HTTP_ANSWERED,
    HTTP_NOT_SENT,  /* connection could not be opened */
    HTTP_BROKEN,    /* connection broke before the answer was complete */
    HTTP_TIMED_OUT, /* answer not complete before the deadline */
    HTTP_INVALID    /* answer is not valid HTTP or too large */
} HttpOutcome;

typedef struct HttpConnection {
    const char *address; /* "ip:port" */
    int socket;          /* -1 if closed */
    GByteArray *input;
} HttpConnection;

typedef struct HttpReply {
    int status;
    GHashTable *headers; /* lower-case name -> value */
    GByteArray *body;
    gboolean has_length; /* Content-Length header was present */
} HttpReply;

void Http_Open(HttpConnection *connection, const char *address);
void Http_Close(HttpConnection *connection);

/* `headers` holds complete lines, each terminated by "\r\n". */
HttpOutcome Http_Send(HttpConnection *connection, const char *method,
                      const char *path, const char *headers, const void *body,
                      size_t body_bytes, int64_t deadline_us,
                      HttpReply *reply);

/* Returns the value of a header (name in lower case) or NULL. */
const char *Http_Header(const HttpReply *reply, const char *name);
void Http_FreeReply(HttpReply *reply);

#endif
