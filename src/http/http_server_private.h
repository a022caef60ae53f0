/* Types shared by the files of the HTTP server. */
#ifndef HTTP_HTTP_SERVER_PRIVATE_H
#define HTTP_HTTP_SERVER_PRIVATE_H

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

#include "http/http_executor.h"
#include "http/http_server.h"
#include "memory/memory_buffer.h"

/* Connections that a port holds at most; further ones stay in the kernel's
 * queue. */
#define HTTP_MAX_CONNECTIONS 1020

struct HttpRequest {
    HttpServer *server;
    struct MHD_Connection *connection;
    _Atomic int references; /* held by connection and handler */
    char *method;
    char *target; /* path, NUL, query */
    char *query;
    HttpHeaders headers;
    MemoryBuffer body;
    size_t announced;  /* Content-Length, or 0 */
    Result refusal;    /* reason to refuse it once it has been read, or OK */
    gboolean complete; /* fully read; counted in server->unsent until the
                          request ends */
    ClockMs arrived;

    /* Protected by the server's lock. */
    ClockMs read_until; /* the body has to be there */
    gboolean suspended;
    gboolean answered;
    gboolean ended; /* the connection no longer needs the request */
    gboolean disconnected;
    ClockMs deadline;
    HttpDisconnectCallback on_disconnect;
    void *disconnect_context;
    void *data;
    GDestroyNotify data_free;
    HttpAnswer answer;
    unsigned in_flight_index;
    int watched_fd; /* in the watcher's epoll set, or -1 */
};

struct HttpServer {
    HttpServer_desc desc;
    struct MHD_Daemon *daemon;
    HttpExecutor *executor;
    uint16_t port;
    pthread_mutex_t lock;
    GPtrArray *in_flight; /* HttpRequest *, those passed to the executor */
    GPtrArray *uploads;   /* HttpRequest * whose body is being read and has
                             to be there by a time */
    unsigned unsent;      /* fully read requests whose answer is not sent */
    gboolean closed;      /* new requests are refused */
    atomic_uint connections;
    atomic_uint added;   /* connections that were passed to libmicrohttpd */
    atomic_uint started; /* those of them that it has announced */
    atomic_bool listening;
    atomic_bool leaving;  /* answers close their connections */
    atomic_bool draining; /* no new connections */
    pthread_t watcher;
    gboolean has_watcher;
    int disconnect_epoll; /* epoll set of suspended connections */
    int watcher_wake;     /* eventfd */
    unsigned deadlines;   /* requests in flight with a deadline, and uploads
                             (under lock) */
    atomic_bool stopping;

    GQueue idle; /* connections without a request, the longest idle first
                    (under lock) */

    /* Used by the watcher's thread only. */
    int listen_fd;      /* or -1 */
    gboolean paused;    /* no room for further connections */
    ClockMs last_added; /* when the last connection was accepted */
};

/* http_listener.c: opens the port, before the watcher starts. On failure errno
 * is set. */
gboolean _HttpListener_Open(HttpServer *server);

void _HttpListener_Close(HttpServer *server);

/* Accepts connections, if the port is readable or had no room for them. A
 * server that drains accepts those that the kernel has queued, which it would
 * reset otherwise, and closes the port. */
void _HttpListener_Watch(HttpServer *server, gboolean ready, ClockMs now);

/* Called when libmicrohttpd begins and ends a connection, with the context
 * that it keeps for it. */
void _HttpListener_Add(HttpServer *server, struct MHD_Connection *connection,
                       void **context);
void _HttpListener_Remove(HttpServer *server, void **context);

/* Notes whether the connection waits for a request. Called with the lock
 * held. */
void _HttpListener_SetIdle(HttpServer *server,
                           struct MHD_Connection *connection, gboolean idle);

/* The number of connections that were accepted and are not yet counted in
 * server->connections. */
unsigned _HttpListener_Pending(const HttpServer *server);

/* http_close.c: reports a connection that is about to be closed while bytes of
 * an answer are not acknowledged and bytes of the caller are not read, so that
 * the kernel resets it and drops the rest of the answer. */
void _HttpClose_Check(struct MHD_Connection *connection);

/* http_upload.c: called when the head of a request with a body has been
 * read. */
void _HttpUpload_Begin(HttpRequest *request);

/* Appends to the body, or drops it if it is too large, alone or with all else
 * that is on lease. */
void _HttpUpload_Append(HttpRequest *request, const char *bytes, size_t count);

/* Called with the lock held when the body is there or the request ends. */
void _HttpUpload_End(HttpRequest *request);

/* Ends connections whose body has not arrived in time. Called with the lock
 * held. */
void _HttpUpload_Watch(HttpServer *server, ClockMs now);

/* Replaces an answer whose status no answer may have by 502 (maybe run). The
 * HTTP library would send some of them, and close the connection for others.
 */
void _HttpAnswer_ReplaceOddStatus(HttpAnswer *answer);

/* Makes the watcher check deadlines at once. */
void _HttpServer_WakeWatcher(HttpServer *server);

#endif
