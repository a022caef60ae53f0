/* HttpClient: HTTP client with pooled connections.
 *
 * Use:
 *  1. HttpClient_Create().
 *  2. Fill an HttpCall and call HttpClient_Call(), which blocks until the
 *     whole answer is read, the deadline passes or the call is cancelled.
 *  3. HttpClient_Destroy() when no call is running.
 *
 * The client works on sockets of its own (docs/decisions/http.md): the request
 * path must know whether any byte of a request was sent, must end a call on
 * the millisecond of its deadline and must reach the socket to cancel it. It
 * never sends a request twice.
 *
 * Results: OK with the answer; CONNECT_FAILED (nothing sent); ANSWER_LOST and
 * ANSWER_TRUNCATED (sent, no whole answer); DEADLINE_EXPIRED; CANCELLED;
 * TOO_LARGE. *sent tells whether a byte may have left this host.
 *
 * Limits: answers need Content-Length or chunked encoding, so that a cut is
 * recognised, unless the call allows others; body up to max_answer_bytes.
 */
#ifndef HTTP_HTTP_CLIENT_H
#define HTTP_HTTP_CLIENT_H

#include <glib.h>
#include <netinet/in.h>

#include "base/clock.h"
#include "base/result.h"
#include "http/http_connection.h"
#include "http/http_message.h"

typedef struct HttpClient HttpClient;

/* Lets another thread end a call. Create one for each call or chain of
 * calls. */
typedef struct HttpCancel HttpCancel;

typedef struct HttpClient_desc {
    unsigned max_idle_per_address; /* default 16 */
    ClockMs max_idle_ms;           /* default 10,000 */
    ClockMs connect_ms;            /* longest time to connect, default 1,000 */
    ClockMs silence_ms;      /* unacknowledged data ends a connection, default
                                1,000 */
    size_t max_answer_bytes; /* default 16 MiB */
} HttpClient_desc;

typedef struct HttpCall {
    struct sockaddr_in address;
    const char *method;
    const char *target;         /* path and query */
    const char *host;           /* Host header; NULL: the address */
    const HttpHeaders *headers; /* without Host and Content-Length */
    const void *body;
    size_t body_bytes;
    ClockMs deadline;
    ClockMs connect_ms;        /* instead of the client's; 0: the same */
    ClockMs max_idle_ms;       /* pooled connections idle for longer are not
                                  used; 0: the client's limit */
    gboolean fresh_connection; /* never a pooled one: its peer may have closed
                                  it, which looks like a lost answer */
    gboolean allow_unframed;   /* the answer may end with its connection */
    const char *match_header;  /* answers that carry this header with another
                                  value belong to another request and are
                                  passed over; NULL: all are taken */
    const char *match_value;
    const HttpPatience *patience; /* NULL: the call waits to its deadline */
    HttpCancel *cancel;           /* NULL: cannot be cancelled */
} HttpCall;

HttpClient *HttpClient_Create(const HttpClient_desc *desc);
void HttpClient_Destroy(HttpClient *client);
Result HttpClient_Call(HttpClient *client, const HttpCall *call,
                       HttpAnswer *answer, gboolean *sent);

/* Closes the idle connections to an address, for example after one of them
 * went silent. */
void HttpClient_Forget(HttpClient *client, const struct sockaddr_in *address);

HttpCancel *HttpCancel_Create(void);
void HttpCancel_Destroy(HttpCancel *cancel);

/* May be called any number of times, from any thread. */
void HttpCancel_Trigger(void *cancel);
gboolean HttpCancel_IsTriggered(HttpCancel *cancel);

#endif
