/* HttpServer: HTTP server on libmicrohttpd with blocking handlers.
 *
 * Use:
 *  1. HttpServer_Create() with an address and a handler.
 *  2. The handler runs in a thread of the executor once the complete request
 *     has been read; the connection is suspended meanwhile. It calls
 *     HttpRequest_Respond() once. With HttpRequest_SetDeadline() it may set a
 *     time at which the server answers if the handler has not.
 *  3. HttpServer_Leave() makes every answer close its connection,
 *     HttpServer_Drain() stops accepting connections and waits for requests in
 *     flight, HttpServer_Close() refuses further requests on open connections,
 *     HttpServer_AwaitReceipt() waits for callers that read slowly,
 *     HttpServer_Destroy() stops the server.
 *
 * If a request is answered at its deadline, its handler keeps running and the
 * handler's answer is dropped (HttpRequest_Respond() returns FALSE).
 *
 * Limits: a body above max_body_bytes is refused with REQUEST_TOO_LARGE;
 * requests above max_in_flight, and those for whose body the account of memory
 * does not lend enough, are refused with OVERLOADED. A request body is on
 * lease until the handler returns, the body of an answer until it has been
 * sent. A connection on which no more of an answer can be written for 30 s is
 * closed. A connection that the server ends stays open until its caller has
 * closed it, too: for 2 s after the caller has received all, 60 s at most.
 * What arrives meanwhile is dropped. A port holds 1,020 connections; ended
 * ones make room for new ones; if more arrive, those that have waited longest
 * for a request are closed, after 250 ms at the earliest.
 */
#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H

#include <glib.h>
#include <netinet/in.h>

#include "base/clock.h"
#include "base/result.h"
#include "http/http_message.h"

typedef struct HttpServer HttpServer;
typedef struct HttpRequest HttpRequest;

typedef void (*HttpHandler)(void *context, HttpRequest *request);

/* Fills the answer to a request whose deadline has passed, or that was refused
 * before the handler ran. Must not block; of the HttpRequest functions it may
 * call only HttpRequest_Data(). */
typedef void (*HttpRefuser)(void *context, HttpRequest *request, Result result,
                            HttpAnswer *answer);

typedef struct HttpServer_desc {
    struct sockaddr_in address; /* port 0: the kernel chooses */
    unsigned event_threads;     /* default 2 */
    unsigned worker_threads;    /* default 32 */
    unsigned max_in_flight;     /* default 4 x worker_threads */
    size_t max_body_bytes;      /* default 1 MiB */
    Memory *memory; /* lends the bodies of requests; NULL: the account of the
                       process */
    /* Header whose value begins with the milliseconds that the caller waits; a
     * body that has not arrived by then ends the connection. NULL: none. */
    const char *time_left_header;
    unsigned idle_timeout_s;         /* connection timeout, default 120 */
    const char *tls_certificate_pem; /* PEM text; NULL: no TLS. Renewed by
                                        HttpTls_SetCertificate(). */
    const char *tls_key_pem;
    HttpHandler handler;
    HttpRefuser refuser; /* NULL: a plain JSON body with the result */
    void *context;       /* first argument of handler and refuser */
} HttpServer_desc;

HttpServer *HttpServer_Create(const HttpServer_desc *desc, GError **error);
uint16_t HttpServer_Port(const HttpServer *server);
unsigned HttpServer_InFlight(const HttpServer *server);

/* From now on every answer closes its connection. New connections are still
 * accepted. */
void HttpServer_Leave(HttpServer *server);
gboolean HttpServer_IsLeaving(const HttpServer *server);

/* Stops accepting connections, adds "Connection: close" to further answers and
 * waits until no request is in flight, then up to 300 ms for open connections
 * to end; all at most until the given time. Returns TRUE if no request is left
 * in flight. */
gboolean HttpServer_Drain(HttpServer *server, ClockMs until);

/* From now on refuses requests with SHUTTING_DOWN, reported as not run. Waits,
 * at most until the given time, until every request that was read has its
 * answer sent. Returns TRUE if so. */
gboolean HttpServer_Close(HttpServer *server, ClockMs until);

/* Waits, at most until the given time, until callers have received the answers
 * that were sent. A caller that has acknowledged nothing for a second is not
 * waited for. Returns FALSE at that time. */
gboolean HttpServer_AwaitReceipt(HttpServer *server, ClockMs until);
void HttpServer_Destroy(HttpServer *server);

const char *HttpRequest_Method(const HttpRequest *request);

/* Path and query as sent, without decoding; the query is "" if there is
 * none. */
const char *HttpRequest_Path(const HttpRequest *request);
const char *HttpRequest_Query(const HttpRequest *request);
/* Path and query as sent, joined by "?" if there is a query; free with
 * g_free(). */
char *HttpRequest_Target(const HttpRequest *request);
const HttpHeaders *HttpRequest_Headers(const HttpRequest *request);
const char *HttpRequest_Body(const HttpRequest *request, size_t *bytes);
ClockMs HttpRequest_Arrived(const HttpRequest *request);

/* The value of one query argument, decoded, or NULL; free with g_free(). */
char *HttpRequest_Argument(const HttpRequest *request, const char *name);

/* Attaches the handler's data to the request, so that the refuser can read it.
 * `free_data` is called when the request ends. */
void HttpRequest_SetData(HttpRequest *request, void *data,
                         GDestroyNotify free_data);
void *HttpRequest_Data(const HttpRequest *request);

/* If the request has no answer by this time, the refuser answers it with
 * DEADLINE_EXPIRED. */
void HttpRequest_SetDeadline(HttpRequest *request, ClockMs deadline);

/* Returns TRUE once the request was answered or the caller closed its
 * connection. */
gboolean HttpRequest_IsOver(const HttpRequest *request);

/* Called from another thread when the caller closes its connection, or at once
 * by HttpRequest_OnDisconnect() if it already has. Must not block or call
 * HttpRequest functions. */
typedef void (*HttpDisconnectCallback)(void *context);
void HttpRequest_OnDisconnect(HttpRequest *request,
                              HttpDisconnectCallback callback, void *context);

/* Moves the contents out of *answer, which is left clear. Returns FALSE if the
 * request was already answered. */
gboolean HttpRequest_Respond(HttpRequest *request, HttpAnswer *answer);

/* Fills the answer with the standard JSON body of a refusal. */
void HttpAnswer_SetRefusal(HttpAnswer *answer, Result result, RunState run,
                           const char *request_id, const char *message);

#endif
