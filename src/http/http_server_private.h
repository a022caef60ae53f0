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

/* Interval at which connections that are being closed are checked. */
#define HTTP_CLOSE_PERIOD_MS 100

/* A peer that has acknowledged nothing for so long is no longer waited for. */
#define HTTP_RECEIPT_STALL_MS 1000

/* What the peer of a connection has not acknowledged. */
typedef struct HttpReceipt {
    int missing;   /* bytes */
    ClockMs since; /* when the number last changed */
} HttpReceipt;

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
    ClockMs read_until;      /* the body has to be there */
    HttpReceipt last_answer; /* of the request before, on its connection */
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

    GQueue idle;    /* connections without a request, the longest idle first
                       (under lock) */
    GQueue closing; /* ended connections whose peers have not closed them
                       (under lock) */
    atomic_uint closing_count;

    /* Used by the watcher's thread only. */
    int listen_fd;         /* or -1 */
    gboolean paused;       /* no room for further connections */
    ClockMs last_added;    /* when the last connection was accepted */
    ClockMs closing_check; /* next check of the closing connections */
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

/* Whether a connection without a request awaits receipt of its last answer.
 * Called with the lock held. */
gboolean _HttpListener_AwaitsReceipt(HttpServer *server, ClockMs now);

/* http_close.c: called with the lock held. Updates the receipt and returns
 * whether the peer still acknowledges what was sent to it. */
gboolean _HttpReceipt_IsAwaited(HttpReceipt *receipt, int fd, ClockMs now);

/* Keeps the socket of a connection open that libmicrohttpd is about to close,
 * until its peer has closed it, too. */
void _HttpClose_Begin(HttpServer *server, struct MHD_Connection *connection);

/* The watcher's thread calls these: when bytes have arrived on a connection
 * that is being closed, with the context of the event; at any time; and to
 * make room for another connection. */
void _HttpClose_Read(HttpServer *server, void *context);
void _HttpClose_Watch(HttpServer *server, ClockMs now);
void _HttpClose_EndOne(HttpServer *server);

/* Closes all, after the watcher has ended. */
void _HttpClose_EndAll(HttpServer *server);

/* http_upload.c: called when the head of a request with a body has been
 * read. */
void _HttpUpload_Begin(HttpRequest *request);

/* Appends to the body, or drops it if it is too large, alone or with all else
 * that is on lease. */
void _HttpUpload_Append(HttpRequest *request, const char *bytes, size_t count);

/* Called with the lock held when the body is there or the request ends. */
void _HttpUpload_End(HttpRequest *request);

/* Ends connections whose body has not arrived in time, after their callers
 * have received the answer before it. Called with the lock held. */
void _HttpUpload_Watch(HttpServer *server, ClockMs now);

/* Replaces an answer whose status no answer may have by 502 (maybe run). The
 * HTTP library would send some of them, and close the connection for others.
 */
void _HttpAnswer_ReplaceOddStatus(HttpAnswer *answer);

/* Makes the watcher check deadlines at once. */
void _HttpServer_WakeWatcher(HttpServer *server);

#endif
