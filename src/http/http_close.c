/* How the server closes connections.
 *
 * If bytes of the peer are unread when a socket is closed, or arrive
 * afterwards, the kernel resets the connection and drops what the peer has not
 * received yet. So a connection that libmicrohttpd has ended is kept open as
 * long as its peer may send: its sending side is shut down, what arrives is
 * dropped, and it is closed after the peer has closed it (RFC 9112, section
 * 9.6), or at one of the limits below.
 */
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/log.h"
#include "http/http_server_private.h"

/* Time that a peer has to close its side after it has received all. */
#define PEER_CLOSE_MS 2000

/* Time after which a connection is closed in any case. */
#define MAX_CLOSING_MS 60000

#define READ_BYTES 16384
#define AWAIT_PERIOD_MS 20

/* A connection that is being closed. */
typedef struct Closing {
    int fd;
    ClockMs began;
    HttpReceipt receipt;
    size_t dropped; /* bytes of the peer */
    GList link;
} Closing;

gboolean
_HttpReceipt_IsAwaited(HttpReceipt *receipt, int fd, ClockMs now)
{
    int missing = 0;

    (void)ioctl(fd, SIOCOUTQ, &missing);
    if (missing != receipt->missing) {
        receipt->missing = missing;
        receipt->since = now;
    }
    return missing > 0 && now - receipt->since < HTTP_RECEIPT_STALL_MS;
}

/* Reports an answer that the kernel drops when the descriptor is closed. */
static void
check_reset(int fd)
{
    int unread = 0;
    int missing = 0;

    if (ioctl(fd, FIONREAD, &unread) == 0 && unread > 0 &&
        ioctl(fd, SIOCOUTQ, &missing) == 0 && missing > 0) {
        Counter_Add(COUNTER_ANSWERS_RESET, 1);
        Log_Event(LOG_ANSWER_RESET, "unread=%d unacknowledged=%d", unread,
                  missing);
    }
}

/* Whether the peer has neither closed nor reset its side. */
static gboolean
can_send(int fd)
{
    char byte;
    ssize_t bytes = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return bytes > 0 || (bytes < 0 && errno == EAGAIN);
}

void
_HttpClose_Begin(HttpServer *server, struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    ClockMs now = Clock_Now();
    struct epoll_event event = {.events = EPOLLIN};
    Closing *closing;
    gboolean is_first;
    int fd;

    if (info == NULL || !can_send(info->connect_fd)) {
        return;
    }
    /* libmicrohttpd closes its own descriptor. */
    fd = atomic_load(&server->stopping)
             ? -1
             : fcntl(info->connect_fd, F_DUPFD_CLOEXEC, 0);
    if (fd < 0) {
        check_reset(info->connect_fd);
        return;
    }
    (void)shutdown(fd, SHUT_WR);
    closing = g_new0(Closing, 1);
    closing->fd = fd;
    closing->began = now;
    closing->receipt.since = now;
    closing->link.data = closing;
    event.data.ptr = closing;
    pthread_mutex_lock(&server->lock);
    g_queue_push_tail_link(&server->closing, &closing->link);
    is_first = atomic_fetch_add(&server->closing_count, 1) == 0;
    (void)epoll_ctl(server->disconnect_epoll, EPOLL_CTL_ADD, fd, &event);
    pthread_mutex_unlock(&server->lock);
    if (is_first) {
        _HttpServer_WakeWatcher(server);
    }
}

/* Called with the lock held. */
static void
end(HttpServer *server, Closing *closing)
{
    g_queue_unlink(&server->closing, &closing->link);
    atomic_fetch_sub(&server->closing_count, 1);
    /* libmicrohttpd may not have closed its descriptor of the socket yet. */
    (void)epoll_ctl(server->disconnect_epoll, EPOLL_CTL_DEL, closing->fd,
                    NULL);
    check_reset(closing->fd);
    close(closing->fd);
    g_free(closing);
}

void
_HttpClose_Read(HttpServer *server, void *context)
{
    Closing *closing = context;
    char bytes[READ_BYTES];
    ssize_t count = recv(closing->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    closing->dropped += (size_t)MAX(count, 0);
    if (count > 0 && closing->dropped <= server->desc.max_body_bytes) {
        return;
    }
    pthread_mutex_lock(&server->lock);
    end(server, closing);
    pthread_mutex_unlock(&server->lock);
}

static gboolean
is_over(Closing *closing, ClockMs now)
{
    (void)_HttpReceipt_IsAwaited(&closing->receipt, closing->fd, now);
    return now - closing->began >= MAX_CLOSING_MS ||
           (closing->receipt.missing == 0 &&
            now - closing->receipt.since >= PEER_CLOSE_MS);
}

void
_HttpClose_Watch(HttpServer *server, ClockMs now)
{
    GList *next;

    if (now < server->closing_check) {
        return;
    }
    server->closing_check = now + HTTP_CLOSE_PERIOD_MS;
    pthread_mutex_lock(&server->lock);
    for (GList *link = server->closing.head; link != NULL; link = next) {
        next = link->next;
        if (is_over(link->data, now)) {
            end(server, link->data);
        }
    }
    pthread_mutex_unlock(&server->lock);
}

void
_HttpClose_EndOne(HttpServer *server)
{
    Closing *oldest = NULL;

    pthread_mutex_lock(&server->lock);
    for (GList *link = server->closing.head; link != NULL; link = link->next) {
        Closing *closing = link->data;

        if (oldest == NULL || closing->receipt.missing == 0) {
            oldest = closing;
        }
        if (oldest->receipt.missing == 0) {
            break;
        }
    }
    if (oldest != NULL) {
        end(server, oldest);
    }
    pthread_mutex_unlock(&server->lock);
}

/* Whether a connection that is being closed awaits receipt. Called with the
 * lock held. */
static gboolean
awaits_receipt(HttpServer *server, ClockMs now)
{
    gboolean awaited = FALSE;

    for (GList *link = server->closing.head; link != NULL; link = link->next) {
        Closing *closing = link->data;

        awaited |= _HttpReceipt_IsAwaited(&closing->receipt, closing->fd, now);
    }
    return awaited;
}

gboolean
HttpServer_AwaitReceipt(HttpServer *server, ClockMs until)
{
    gboolean awaited = TRUE;

    while (awaited && Clock_Now() < until) {
        ClockMs now = Clock_Now();

        pthread_mutex_lock(&server->lock);
        awaited = server->unsent > 0;
        awaited |= _HttpListener_AwaitsReceipt(server, now);
        awaited |= awaits_receipt(server, now);
        pthread_mutex_unlock(&server->lock);
        if (awaited) {
            (void)poll(NULL, 0, AWAIT_PERIOD_MS);
        }
    }
    return !awaited;
}

void
_HttpClose_EndAll(HttpServer *server)
{
    pthread_mutex_lock(&server->lock);
    while (!g_queue_is_empty(&server->closing)) {
        end(server, g_queue_peek_head(&server->closing));
    }
    pthread_mutex_unlock(&server->lock);
}
