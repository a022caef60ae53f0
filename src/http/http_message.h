/* HttpMessage: header lists, answers and numeric addresses.
 *
 * Use: zero-initialise HttpHeaders or HttpAnswer, fill it, free what it holds
 * with HttpHeaders_Clear() or HttpAnswer_Clear(). The body of an answer that a
 * client has read is on lease from an account of memory (memory/memory.h); the
 * lease goes with the body. Names are compared without
 * regard to case; the order of headers is kept.
 */
#ifndef HTTP_HTTP_MESSAGE_H
#define HTTP_HTTP_MESSAGE_H

#include <glib.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include "base/result.h"
#include "memory/memory.h"

typedef struct HttpHeader {
    char *name;
    char *value;
} HttpHeader;

typedef struct HttpHeaders {
    HttpHeader *items;
    size_t count;
    size_t capacity;
} HttpHeaders;

typedef struct HttpAnswer {
    int status;
    HttpHeaders headers;
    char *body; /* NUL-terminated for convenience */
    size_t body_bytes;
    MemoryLease lease; /* of the body; none for one that was set */
} HttpAnswer;

void HttpHeaders_Add(HttpHeaders *headers, const char *name,
                     const char *value);
void HttpHeaders_AddNumber(HttpHeaders *headers, const char *name,
                           int64_t value);

/* Adds all headers of another list, in their order. */
void HttpHeaders_AddAll(HttpHeaders *headers, const HttpHeaders *from);

/* Returns the first value with this name, or NULL. */
const char *HttpHeaders_Get(const HttpHeaders *headers, const char *name);

/* Returns the value as a decimal number, or the fallback if it is missing or
 * malformed. */
int64_t HttpHeaders_GetNumber(const HttpHeaders *headers, const char *name,
                              int64_t fallback);
void HttpHeaders_Remove(HttpHeaders *headers, const char *name);
void HttpHeaders_Clear(HttpHeaders *headers);

/* Returns TRUE for headers that apply to a single connection, and for those
 * that each sender of a message writes itself (Host, Date). */
gboolean HttpHeader_IsHopByHop(const char *name);

/* Returns TRUE for headers that only daemons may set ("Radishknot-..."). */
gboolean HttpHeader_IsReserved(const char *name);

/* Copies the body. */
void HttpAnswer_SetBody(HttpAnswer *answer, const void *body, size_t bytes);

/* Sets status and a JSON body; takes ownership of the text. */
void HttpAnswer_SetJson(HttpAnswer *answer, int status, char *json_text);

/* Moves the body with its lease to an answer that has none. */
void HttpAnswer_TakeBody(HttpAnswer *answer, HttpAnswer *from);

/* Moves the contents of `from` to `to`, which must be clear. */
void HttpAnswer_Move(HttpAnswer *to, HttpAnswer *from);
void HttpAnswer_Clear(HttpAnswer *answer);

/* Parses "a.b.c.d:port". */
gboolean HttpAddress_Parse(const char *text, struct sockaddr_in *address);

/* Writes "a.b.c.d:port" (at most 22 bytes with the terminating NUL). */
void HttpAddress_Format(const struct sockaddr_in *address, char *text,
                        size_t bytes);

#endif
