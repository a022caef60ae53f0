/* A small HTTP client with deadlines in milliseconds, for test stand-ins.
 *
 * Use: Http_Open() once for each connection, Http_Send() for each request,
 * Http_FreeReply() for each reply, Http_Close() at the end. The connection is
 * kept open between requests if the server allows it. A request is never sent
 * twice.
 *
 * Limits: numeric IPv4 addresses, bodies with Content-Length or up to the end
 * of the connection, at most 64 MiB.
 */
#ifndef STANDIN_RK_HTTP_H
#define STANDIN_RK_HTTP_H

#include <glib.h>

typedef enum HttpOutcome {
    HTTP_ANSWERED,
    HTTP_NOT_SENT,  /* no connection could be made */
    HTTP_BROKEN,    /* the connection broke before the whole answer */
    HTTP_TIMED_OUT, /* no whole answer before the deadline */
    HTTP_INVALID    /* the answer is no HTTP */
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
    gboolean has_length; /* Content-Length was there */
} HttpReply;

void Http_Open(HttpConnection *connection, const char *address);
void Http_Close(HttpConnection *connection);

/* `headers` are whole lines, each ended by "\r\n". */
HttpOutcome Http_Send(HttpConnection *connection, const char *method,
                      const char *path, const char *headers, const void *body,
                      size_t body_bytes, int64_t deadline_us,
                      HttpReply *reply);

/* Value of a header (name in lower case) or NULL. */
const char *Http_Header(const HttpReply *reply, const char *name);
void Http_FreeReply(HttpReply *reply);

#endif
