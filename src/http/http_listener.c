#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/counter.h"
#include "http/http_server_private.h"

/* libmicrohttpd could also listen by itself. But its event threads then still
 * use the listening descriptor while the server drains, and one of them stops
 * for good, with a mutex locked, if it gets more connections than its limit
 * (0.9.75). */

/* Connections that are accepted before requests are looked at again. */
#define ACCEPT_BATCH 16

/* After this time a connection that libmicrohttpd has not announced was
 * dropped by it. */
#define START_MS 1000

/* A connection without a request for less than this is not closed in favour of
 * a new one. */
#define MIN_IDLE_MS 250

/* A connection that waits for a request is in server->idle. */
typedef struct Connection {
    struct MHD_Connection *connection;
    ClockMs idle_since;
    HttpReceipt receipt;
    GList link;
    gboolean is_idle;
} Connection;

gboolean
_HttpListener_Open(HttpServer *server)
{
    struct sockaddr_in address = server->desc.address;
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = server};
    socklen_t bytes = sizeof(address);
    int one = 1;
    int saved;

    server->listen_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (server->listen_fd < 0) {
        return FALSE;
    }
    if (setsockopt(server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one,
                   sizeof(one)) == 0 &&
        bind(server->listen_fd, (struct sockaddr *)&address,
             sizeof(address)) == 0 &&
        listen(server->listen_fd, SOMAXCONN) == 0 &&
        getsockname(server->listen_fd, (struct sockaddr *)&address, &bytes) ==
            0 &&
        epoll_ctl(server->disconnect_epoll, EPOLL_CTL_ADD, server->listen_fd,
                  &event) == 0) {
        server->port = ntohs(address.sin_port);
        atomic_store(&server->listening, TRUE);
        return TRUE;
    }
    saved = errno;
    _HttpListener_Close(server);
    errno = saved;
    return FALSE;
}

void
_HttpListener_Close(HttpServer *server)
{
    if (server->listen_fd >= 0) {
        close(server->listen_fd);
        server->listen_fd = -1;
        server->paused = FALSE;
        atomic_store(&server->listening, FALSE);
    }
}

unsigned
_HttpListener_Pending(const HttpServer *server)
{
    int pending =
        (int)(atomic_load(&server->added) - atomic_load(&server->started));

    return (unsigned)MAX(0, pending);
}

/* Accepts connections until none is queued, there is no room, or the given
 * number is reached. Returns FALSE if there is no room. */
static gboolean
accept_connections(HttpServer *server, unsigned limit, ClockMs now)
{
    struct sockaddr_in peer;
    socklen_t bytes;
    int fd;

    if (now - server->last_added > START_MS) {
        atomic_store(&server->added, atomic_load(&server->started));
    }
    for (unsigned i = 0; i < limit; i++) {
        unsigned used =
            _HttpListener_Pending(server) + atomic_load(&server->connections);

        if (used >= HTTP_MAX_CONNECTIONS) {
            return FALSE;
        }
        if (used + atomic_load(&server->closing_count) >=
            HTTP_MAX_CONNECTIONS) {
            _HttpClose_EndOne(server);
        }
        bytes = sizeof(peer);
        fd = accept4(server->listen_fd, (struct sockaddr *)&peer, &bytes,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return errno != EMFILE && errno != ENFILE && errno != ENOBUFS &&
                   errno != ENOMEM;
        }
        atomic_fetch_add(&server->added, 1);
        server->last_added = now;
        /* On failure it has closed the connection. */
        if (MHD_add_connection(server->daemon, fd, (struct sockaddr *)&peer,
                               bytes) != MHD_YES) {
            atomic_fetch_sub(&server->added, 1);
        }
    }
    return TRUE;
}

static void
set_idle(HttpServer *server, Connection *self, gboolean idle)
{
    if (self->is_idle) {
        g_queue_unlink(&server->idle, &self->link);
    }
    self->is_idle = idle;
    if (idle) {
        self->idle_since = Clock_Now();
        g_queue_push_tail_link(&server->idle, &self->link);
    }
}

void
_HttpListener_SetIdle(HttpServer *server, struct MHD_Connection *connection,
                      gboolean idle)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    if (info != NULL && info->socket_context != NULL) {
        set_idle(server, info->socket_context, idle);
    }
}

void
_HttpListener_Add(HttpServer *server, struct MHD_Connection *connection,
                  void **context)
{
    Connection *self = g_new0(Connection, 1);

    self->connection = connection;
    self->link.data = self;
    *context = self;
    pthread_mutex_lock(&server->lock);
    set_idle(server, self, TRUE);
    pthread_mutex_unlock(&server->lock);
}

void
_HttpListener_Remove(HttpServer *server, void **context)
{
    Connection *self = *context;

    pthread_mutex_lock(&server->lock);
    set_idle(server, self, FALSE);
    pthread_mutex_unlock(&server->lock);
    g_free(self);
    *context = NULL;
}

static int
descriptor_of(const Connection *self)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        self->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

    return info != NULL ? info->connect_fd : -1;
}

gboolean
_HttpListener_AwaitsReceipt(HttpServer *server, ClockMs now)
{
    gboolean awaited = FALSE;

    for (GList *link = server->idle.head; link != NULL; link = link->next) {
        Connection *self = link->data;

        awaited |=
            _HttpReceipt_IsAwaited(&self->receipt, descriptor_of(self), now);
    }
    return awaited;
}

/* Closes the connections that have been idle longest, unless a request has
 * just arrived on them or their peer is still reading the last answer. */
static void
close_idle(HttpServer *server, ClockMs now)
{
    struct pollfd waiting = {.fd = server->listen_fd, .events = POLLIN};
    unsigned closed = 0;

    if (poll(&waiting, 1, 0) <= 0) {
        return;
    }
    pthread_mutex_lock(&server->lock);
    while (closed < ACCEPT_BATCH && !g_queue_is_empty(&server->idle)) {
        Connection *self = g_queue_peek_head(&server->idle);
        int fd = descriptor_of(self);
        int unread = 0;

        if (now - self->idle_since < MIN_IDLE_MS) {
            break;
        }
        if (_HttpReceipt_IsAwaited(&self->receipt, fd, now)) {
            set_idle(server, self, TRUE);
            continue;
        }
        set_idle(server, self, FALSE);
        if (ioctl(fd, FIONREAD, &unread) == 0 && unread == 0) {
            (void)shutdown(fd, SHUT_RDWR);
            closed++;
        }
    }
    pthread_mutex_unlock(&server->lock);
    Counter_Add(COUNTER_IDLE_CONNECTIONS_CLOSED, closed);
}

static void
set_paused(HttpServer *server, gboolean paused)
{
    struct epoll_event event = {.events = paused ? 0 : EPOLLIN,
                                .data.ptr = server};

    if (server->paused != paused &&
        epoll_ctl(server->disconnect_epoll, EPOLL_CTL_MOD, server->listen_fd,
                  &event) == 0) {
        server->paused = paused;
    }
}

void
_HttpListener_Watch(HttpServer *server, gboolean ready, ClockMs now)
{
    if (server->listen_fd < 0) {
        return;
    }
    if (atomic_load(&server->draining)) {
        (void)accept_connections(server, HTTP_MAX_CONNECTIONS, now);
        _HttpListener_Close(server);
    }
    else if (ready || server->paused) {
        gboolean has_room = accept_connections(server, ACCEPT_BATCH, now);

        if (!has_room) {
            close_idle(server, now);
        }
        set_paused(server, !has_room);
    }
}
