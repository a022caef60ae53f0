/* HttpServer: HTTP server on libmicrohttpd with blocking handlers.
 *
 * Use:
 *  1. HttpServer_Create() with an address and a handler.
 *  2. The handler runs in a thread of the executor once the whole request has
 *     been read; the connection is suspended meanwhile. It calls
 *     HttpRequest_Respond() once. It may set a time by which the caller is
 *     answered in any case (HttpRequest_SetDeadline()).
 *  3. HttpServer_Leave() lets answers close their connections,
 *     HttpServer_Drain() stops accepting and waits for what is in flight,
 *     HttpServer_Close() refuses what still comes on open connections,
 *     HttpServer_Destroy() ends it.
 *
 * A request that was answered at its deadline keeps its handler running; the
 * handler's own answer is then dropped (Respond returns FALSE).
 *
 * Limits: bodies up to max_body_bytes, refused with REQUEST_TOO_LARGE above;
 * at most max_in_flight requests, refused with OVERLOADED above.
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

/* Answers a request whose deadline passed or that was refused before the
 * handler ran. Must not block; of the HttpRequest functions it may call only
 * HttpRequest_Data(). */
typedef void (*HttpRefuser)(void *context, HttpRequest *request, Result result,
                            HttpAnswer *answer);

typedef struct HttpServer_desc {
    struct sockaddr_in address;      /* port 0: the kernel chooses */
    unsigned event_threads;          /* default 2 */
    unsigned worker_threads;         /* default 32 */
    unsigned max_in_flight;          /* default 4 x worker_threads */
    size_t max_body_bytes;           /* default 1 MiB */
    unsigned idle_timeout_s;         /* of a connection, default 120 */
    const char *tls_certificate_pem; /* text; NULL: no TLS. Renewed by
                                        HttpTls_SetCertificate(). */
    const char *tls_key_pem;
    HttpHandler handler;
    HttpRefuser refuser; /* NULL: a plain JSON body with the result */
    void *context;       /* first argument of both */
} HttpServer_desc;

HttpServer *HttpServer_Create(const HttpServer_desc *desc, GError **error);
uint16_t HttpServer_Port(const HttpServer *server);
unsigned HttpServer_InFlight(const HttpServer *server);

/* From now on every answer closes its connection. New connections are still
 * accepted. */
void HttpServer_Leave(HttpServer *server);
gboolean HttpServer_IsLeaving(const HttpServer *server);

/* Stops accepting, adds "Connection: close" to further answers and waits
 * until no request is in flight, at most until the given time, and then a
 * moment for open connections to end. Returns TRUE if nothing was left in
 * flight. */
gboolean HttpServer_Drain(HttpServer *server, ClockMs until);

/* From now on refuses requests with SHUTTING_DOWN, as not run, and waits, at
 * most until the given time, until each request that was read has its answer
 * sent. Returns TRUE if so. */
gboolean HttpServer_Close(HttpServer *server, ClockMs until);
void HttpServer_Destroy(HttpServer *server);

const char *HttpRequest_Method(const HttpRequest *request);

/* Path and query as sent, without decoding; the query is "" if none. */
const char *HttpRequest_Path(const HttpRequest *request);
const char *HttpRequest_Query(const HttpRequest *request);
/* Both as they were sent, joined by "?" if there is a query; free with
 * g_free(). */
char *HttpRequest_Target(const HttpRequest *request);
const HttpHeaders *HttpRequest_Headers(const HttpRequest *request);
const char *HttpRequest_Body(const HttpRequest *request, size_t *bytes);
ClockMs HttpRequest_Arrived(const HttpRequest *request);

/* The value of one query argument, decoded, or NULL; free with g_free(). */
char *HttpRequest_Argument(const HttpRequest *request, const char *name);

/* A pointer of the handler's own that the refuser can read. The free function
 * runs when the request ends. */
void HttpRequest_SetData(HttpRequest *request, void *data, GDestroyNotify end);
void *HttpRequest_Data(const HttpRequest *request);

/* By this time the caller gets an answer with DEADLINE_EXPIRED through the
 * refuser. */
void HttpRequest_SetDeadline(HttpRequest *request, ClockMs deadline);

/* TRUE once the caller closed its connection or was answered. */
gboolean HttpRequest_IsOver(const HttpRequest *request);

/* Called when the caller hangs up, from another thread, or at once if it has.
 * Must not block or call HttpRequest functions. */
typedef void (*HttpHangUp)(void *context);
void HttpRequest_OnHangUp(HttpRequest *request, HttpHangUp callback,
                          void *context);

/* Takes what the answer holds and leaves it clear. FALSE: already answered. */
gboolean HttpRequest_Respond(HttpRequest *request, HttpAnswer *answer);

/* Fills the answer with the standard JSON body of a refusal. */
void HttpAnswer_SetRefusal(HttpAnswer *answer, Result result, RunState run,
                           const char *request_id, const char *message);

#endif
