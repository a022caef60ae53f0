/* HttpClient: HTTP client with pooled connections.
 *
 * Use:
 *  1. HttpClient_Create().
 *  2. Fill an HttpCall and call HttpClient_Call(), which blocks until the
 *     complete answer is read, the deadline passes or the call is cancelled.
 *  3. HttpClient_Destroy() when no call is running.
 *
 * The client uses sockets directly, not a library (docs/decisions/http.md):
 * the request path must know whether any byte of a request was sent, must end
 * a call on the millisecond of its deadline and must reach the socket to
 * cancel it. The client never sends a request twice.
 *
 * Results: OK with the answer; CONNECT_FAILED (nothing sent); ANSWER_LOST and
 * ANSWER_TRUNCATED (sent, no complete answer); DEADLINE_EXPIRED; CANCELLED;
 * ANSWER_MISMATCH (sent; the answer to another request, match_strictly);
 * TOO_LARGE; OVERLOADED (sent: no memory for the body of the answer; not sent:
 * no descriptor left). *sent is TRUE if a byte may have left this host.
 *
 * Limits: an answer needs Content-Length or chunked encoding, so that a
 * truncated one is recognised, unless the call sets allow_unframed; body up to
 * max_answer_bytes.
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

/* Lets another thread cancel a call. Create one for each call or sequence of
 * calls. A soft timeout's give_up() may make further calls with the same
 * object; they are cancelled together, HTTP_CANCEL_CALLS at most. Such a call
 * also ends with RESULT_CANCELLED when the first one gets a successful answer,
 * which is then read when give_up() returns FALSE. */
typedef struct HttpCancel HttpCancel;

#define HTTP_CANCEL_CALLS 2

typedef struct HttpClient_desc {
    unsigned max_idle_per_address; /* default 16 */
    ClockMs max_idle_ms;           /* default 10,000 */
    ClockMs connect_ms;            /* connect timeout, default 1,000 */
    ClockMs unacked_timeout_ms; /* timeout for unacknowledged data, after which
                                the connection ends; default 1,000 */
    size_t max_answer_bytes;    /* default 16 MiB */
    Memory *memory; /* lends the bodies of answers, which may outlive the
                       client; NULL: the account of the process */
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
    ClockMs stall_ms; /* 0: the deadline holds for the whole answer. Otherwise
                         only for its head, and the body may take longer while
                         it makes progress (HttpReadOptions) */
    ClockMs connect_ms;        /* connect timeout; 0: the client's */
    ClockMs max_idle_ms;       /* idle limit of a pooled connection to be
                                  used; 0: the client's */
    gboolean fresh_connection; /* use no pooled connection: the peer may have
                                  closed it, which looks like a lost answer */
    gboolean allow_unframed;   /* accept a body that ends with the
                                  connection */
    const char *match_header;  /* name of a header that identifies the request:
                                  an answer with another value of it belongs to
                                  another request and is discarded, also one
                                  without it on a pooled connection or behind
                                  a discarded one; NULL: all answers are
                                  accepted */
    const char *match_value;   /* expected value of match_header; a pooled
                                  connection that has carried it is not used
                                  for it again */
    gboolean match_strictly;   /* an answer of another request, or without
                                  the id, ends the call and the connection */
    const HttpSoftTimeout *soft_timeout; /* NULL: none */
    HttpCancel *cancel;                  /* NULL: cannot be cancelled */
    HttpTransfer *transfer; /* its results are zeroed by the caller and filled
                               also if the call fails; may be NULL */
} HttpCall;

HttpClient *HttpClient_Create(const HttpClient_desc *desc);
void HttpClient_Destroy(HttpClient *client);
Result HttpClient_Call(HttpClient *client, const HttpCall *call,
                       HttpAnswer *answer, gboolean *sent);

/* Closes the idle connections to an address, for example after one of them
 * stopped responding. */
void HttpClient_CloseIdle(HttpClient *client,
                          const struct sockaddr_in *address);

HttpCancel *HttpCancel_Create(void);
void HttpCancel_Destroy(HttpCancel *cancel);

/* May be called any number of times, from any thread. */
void HttpCancel_Trigger(void *cancel);
gboolean HttpCancel_IsTriggered(HttpCancel *cancel);

#endif
