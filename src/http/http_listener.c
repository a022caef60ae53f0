#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

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

gboolean
_HttpListener_Open(HttpServer *server)
{
    struct sockaddr_in address = server->desc.address;
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
            0) {
        server->port = ntohs(address.sin_port);
        atomic_store(&server->listening, TRUE);
        return TRUE;
    }
    saved = errno;
    _HttpListener_Close(server);
    errno = saved;
    return FALSE;
}

gboolean
_HttpListener_Start(HttpServer *server)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = server};

    return epoll_ctl(server->disconnect_epoll, EPOLL_CTL_ADD,
                     server->listen_fd, &event) == 0;
}

void
_HttpListener_Close(HttpServer *server)
{
    if (server->listen_fd >= 0) {
        close(server->listen_fd);
        server->listen_fd = -1;
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
        if (atomic_load(&server->connections) +
                _HttpListener_Pending(server) >=
            HTTP_MAX_CONNECTIONS) {
            return FALSE;
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
        set_paused(server, !accept_connections(server, ACCEPT_BATCH, now));
    }
}
