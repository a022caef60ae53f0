/* Tests of the descriptors of an HTTP server that drains. */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "http/http_server.h"

/* The functions below take the place of the C library's in this program, also
 * for the libraries. */
static atomic_uint closed_twice;
static atomic_uint used_closed; /* calls with a closed descriptor */
static atomic_int listener = -1;
static atomic_int accepting_thread; /* of the listener, or -1 if several */
static atomic_int closing_thread;

int
accept4(int fd, struct sockaddr *address, socklen_t *bytes, int flags)
{
    int thread = 0;

    if (fd == atomic_load(&listener) &&
        !atomic_compare_exchange_strong(&accepting_thread, &thread,
                                        gettid()) &&
        thread != gettid()) {
        atomic_store(&accepting_thread, -1);
    }
    return (int)syscall(SYS_accept4, fd, address, bytes, flags);
}

int
accept(int fd, struct sockaddr *address, socklen_t *bytes)
{
    return accept4(fd, address, bytes, 0);
}

int
close(int fd)
{
    int status = (int)syscall(SYS_close, fd);

    if (fd >= 0 && fd == atomic_load(&listener)) {
        atomic_store(&closing_thread, gettid());
        atomic_store(&listener, -1);
    }
    if (status != 0 && errno == EBADF && fd >= 0) {
        atomic_fetch_add(&closed_twice, 1);
    }
    return status;
}

static void
note_status(gboolean is_closed)
{
    if (is_closed) {
        atomic_fetch_add(&used_closed, 1);
    }
}

ssize_t
write(int fd, const void *bytes, size_t count)
{
    ssize_t written = syscall(SYS_write, fd, bytes, count);

    note_status(written < 0 && errno == EBADF);
    return written;
}

int
epoll_ctl(int epoll_fd, int operation, int fd, struct epoll_event *event)
{
    int status = (int)syscall(SYS_epoll_ctl, epoll_fd, operation, fd, event);

    note_status(status != 0 && errno == EBADF);
    return status;
}

static void
answer_nothing(void *context, HttpRequest *request)
{
    HttpAnswer answer = {.status = 204};

    (void)context;
    HttpRequest_Respond(request, &answer);
}

static HttpServer *
start_server(void)
{
    HttpServer_desc desc = {.handler = answer_nothing,
                            .worker_threads = 2,
                            .time_left_header = "Time-Left"};
    HttpServer *server;

    desc.address.sin_family = AF_INET;
    desc.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server = HttpServer_Create(&desc, NULL);
    g_assert_nonnull(server);
    return server;
}

/* Returns a connected descriptor, or a negative errno. */
static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int error;

    g_assert_cmpint(fd, >=, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        error = errno;
        close(fd);
        return -error;
    }
    return fd;
}

/* Returns the descriptor that listens at the port, or -1. */
static int
find_listener(uint16_t port)
{
    for (int fd = 0; fd < 1000; fd++) {
        struct sockaddr_in address = {0};
        socklen_t bytes = sizeof(address);
        int listening = 0;
        socklen_t option_bytes = sizeof(listening);

        if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening,
                       &option_bytes) == 0 &&
            listening &&
            getsockname(fd, (struct sockaddr *)&address, &bytes) == 0 &&
            address.sin_port == htons(port)) {
            return fd;
        }
    }
    return -1;
}

static ClockMs
processor_ms(void)
{
    struct rusage usage;

    g_assert_cmpint(getrusage(RUSAGE_SELF, &usage), ==, 0);
    return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000 +
           (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000;
}

/* Guards against a listening descriptor that is closed, so that its number is
 * given to another file, while another thread can still accept from it. */
static void
test_listener_in_use(void)
{
    HttpServer *server = start_server();
    uint16_t port = HttpServer_Port(server);
    int idle;
    ClockMs before;

    atomic_store(&listener, find_listener(port));
    g_assert_cmpint(atomic_load(&listener), >=, 0);
    idle = connect_to(port);
    g_assert_cmpint(idle, >=, 0);
    for (int i = 0; i < 2000 && atomic_load(&accepting_thread) == 0; i++) {
        (void)poll(NULL, 0, 1);
    }
    g_assert_cmpint(atomic_load(&accepting_thread), !=, 0);
    (void)HttpServer_Drain(server, Clock_Now() + 200);
    g_assert_cmpint(connect_to(port), ==, -ECONNREFUSED);
    before = processor_ms();
    (void)poll(NULL, 0, 500);
    g_assert_cmpint(processor_ms() - before, <, 100);
    HttpServer_Destroy(server);
    g_assert_cmpint(atomic_load(&listener), ==, -1);
    g_assert_cmpint(atomic_load(&closing_thread), ==,
                    atomic_load(&accepting_thread));
    close(idle);
}

/* Guards against a descriptor closed a second time, which by then may be
 * another thread's, and against an event thread that hangs: the server had no
 * room for connections that the kernel had queued. */
static void
test_no_room(void)
{
    enum { CONNECTIONS = 1100 };
    HttpServer *server;
    int *fds = g_new(int, CONNECTIONS);
    struct rlimit limit;

    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = MAX(limit.rlim_cur, MIN(limit.rlim_max, 4096));
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
    server = start_server();
    for (size_t i = 0; i < CONNECTIONS; i++) {
        fds[i] = connect_to(HttpServer_Port(server));
        g_assert_cmpint(fds[i], >=, 0);
    }
    atomic_store(&closed_twice, 0);
    (void)HttpServer_Drain(server, Clock_Now() + 200);
    g_assert_cmpuint(atomic_load(&closed_twice), ==, 0);
    HttpServer_Destroy(server);
    g_assert_cmpuint(atomic_load(&closed_twice), ==, 0);
    for (size_t i = 0; i < CONNECTIONS; i++) {
        close(fds[i]);
    }
    g_free(fds);
}

typedef struct Hammer {
    pthread_t thread;
    uint16_t port;
    atomic_bool stopping;
} Hammer;

/* Sends requests with bodies, on a new connection after each broken one. */
static void *
send_requests(void *context)
{
    static const char request[] = "POST / HTTP/1.1\r\nHost: h\r\nTime-Left: "
                                  "500\r\nContent-Length: 1\r\n\r\nx";
    Hammer *self = context;
    char answer[500];

    while (!atomic_load(&self->stopping)) {
        int fd = connect_to(self->port);

        while (fd >= 0 &&
               send(fd, request, strlen(request), MSG_NOSIGNAL) > 0 &&
               recv(fd, answer, sizeof(answer), 0) > 0) {
        }
        if (fd >= 0) {
            close(fd);
        }
    }
    return NULL;
}

/* Guards against a server that is destroyed under load and hangs, uses freed
 * memory, or writes to descriptors that it has closed. */
static void
test_destroyed_under_load(void)
{
    enum { ROUNDS = 30, HAMMERS = 4 };

    atomic_store(&used_closed, 0);
    for (int round = 0; round < ROUNDS; round++) {
        HttpServer *server = start_server();
        Hammer hammers[HAMMERS] = {0};

        for (int i = 0; i < HAMMERS; i++) {
            hammers[i].port = HttpServer_Port(server);
            pthread_create(&hammers[i].thread, NULL, send_requests,
                           &hammers[i]);
        }
        (void)poll(NULL, 0, 20);
        HttpServer_Destroy(server);
        for (int i = 0; i < HAMMERS; i++) {
            atomic_store(&hammers[i].stopping, TRUE);
        }
        for (int i = 0; i < HAMMERS; i++) {
            pthread_join(hammers[i].thread, NULL);
        }
    }
    g_assert_cmpuint(atomic_load(&used_closed), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http-drain/listener-in-use", test_listener_in_use);
    g_test_add_func("/http-drain/no-room", test_no_room);
    g_test_add_func("/http-drain/destroyed-under-load",
                    test_destroyed_under_load);
    return g_test_run();
}
