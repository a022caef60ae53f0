/* EndlessServer: a backend server that sends bytes without end.
 *
 * Use:
 *  1. EndlessServer_Create() with the address. It answers each
 *     request with its id.
 *  2. EndlessServer_SetKind() makes it send bytes of that kind instead, except
 * for paths that end in /small.
 *  3. EndlessServer_Destroy() after the daemons have closed their connections.
 *
 * Errors abort the test.
 *
 * Limits: a sending ends after ENDLESS_MS or ENDLESS_BYTES, then the
 * connection is closed.
 */
#ifndef TESTS_ENDLESS_SERVER_H
#define TESTS_ENDLESS_SERVER_H

#include <glib.h>
#include <netinet/in.h>

#define ENDLESS_MS 10000
#define ENDLESS_BYTES ((size_t)64 << 20)

/* Bodies of ENDLESS_WHOLE and ENDLESS_LARGE. */
#define ENDLESS_WHOLE_BYTES ((size_t)15 << 20)
#define ENDLESS_LARGE_BYTES ((size_t)4 << 20)

/* What is sent: the prefix, in which %s is the id of the request, then
 * repetitions of a unit: `head`, `fill` bytes, `tail`. */
typedef struct EndlessKind {
    const char *name;
    const char *prefix;
    const char *head;
    size_t fill;
    const char *tail;
    size_t total; /* bytes after the prefix, then the next request of the
                     connection; 0: without end */
} EndlessKind;

typedef enum EndlessName {
    ENDLESS_BODY, /* ends with the connection */
    ENDLESS_CHUNKS,
    ENDLESS_WHOLE, /* a complete answer with its length */
    ENDLESS_LARGE, /* the same, smaller */
    ENDLESS_SMALL_CHUNKS,
    ENDLESS_HEADER_LINE,
    ENDLESS_HEADER_LINES,
    ENDLESS_NO_LINE_BREAK,
    ENDLESS_INTERIM,
    ENDLESS_TRAILERS,
    ENDLESS_EXTENSION,
    ENDLESS_LENGTH, /* a Content-Length of 1e12 */
    ENDLESS_KINDS
} EndlessName;

extern const EndlessKind EndlessServer_kinds[ENDLESS_KINDS];

typedef struct EndlessServer EndlessServer;

EndlessServer *EndlessServer_Create(struct sockaddr_in address);
void EndlessServer_Destroy(EndlessServer *server);

/* NULL: answers well. */
void EndlessServer_SetKind(EndlessServer *server, const EndlessKind *kind);

/* Returns the number of requests received. */
unsigned EndlessServer_Requests(EndlessServer *server);

/* Returns the number of bytes sent in answers. */
size_t EndlessServer_Sent(EndlessServer *server);

/* Returns the number of times that the server received a POST request, by id.
 * Belongs to the server; no request may arrive meanwhile. */
GHashTable *EndlessServer_Posts(EndlessServer *server);

#endif
