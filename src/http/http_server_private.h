/* Types shared by the files of the HTTP server. */
#ifndef HTTP_HTTP_SERVER_PRIVATE_H
#define HTTP_HTTP_SERVER_PRIVATE_H

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

#include "http/http_executor.h"
#include "http/http_server.h"

struct HttpRequest {
    HttpServer *server;
    struct MHD_Connection *connection;
    _Atomic int references; /* connection, handler */
    char *method;
    char *target; /* path, NUL, query */
    char *query;
    HttpHeaders headers;
    GByteArray *body;
    gboolean too_large;
    gboolean whole; /* read; counts as unsent until it ends */
    ClockMs arrived;

    /* Under the server's lock. */
    gboolean suspended;
    gboolean answered;
    gboolean ended; /* the connection no longer needs the request */
    gboolean hung_up;
    ClockMs deadline;
    HttpHangUp hang_up;
    void *hang_up_context;
    void *data;
    GDestroyNotify data_end;
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
    GPtrArray *in_flight; /* HttpRequest *, those that a handler may hold */
    unsigned unsent;      /* whole requests whose answer is not sent yet */
    gboolean closed;      /* no request reaches the handler */
    atomic_uint connections;
    atomic_bool leaving;  /* answers close their connections */
    atomic_bool draining; /* no new connections */
    pthread_t watcher;
    int hang_ups;       /* epoll set of suspended connections */
    int watcher_wake;   /* eventfd */
    unsigned deadlines; /* requests in flight that have one; with the lock */
    atomic_bool stopping;
};

/* Lets the watcher look at deadlines again. */
void _HttpServer_WakeWatcher(HttpServer *server);

#endif
