/* Tests of the descriptors of an HTTP server that drains. */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdatomic.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "http/http_server.h"

/* The functions below take the place of the C library's in this program, also
 * for the libraries. */
static atomic_uint closed_twice;
static atomic_int listener = -1;
static atomic_int accepting_thread; /* of the listener, the first */
static atomic_int closing_thread;

int
accept4(int fd, struct sockaddr *address, socklen_t *bytes, int flags)
{
    int none = 0;

    if (fd == atomic_load(&listener)) {
        atomic_compare_exchange_strong(&accepting_thread, &none, gettid());
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
answer_nothing(void *context, HttpRequest *request)
{
    HttpAnswer answer = {.status = 204};

    (void)context;
    HttpRequest_Respond(request, &answer);
}

static HttpServer *
start_server(void)
{
    HttpServer_desc desc = {.handler = answer_nothing, .worker_threads = 2};
    HttpServer *server;

    desc.address.sin_family = AF_INET;
    desc.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server = HttpServer_Create(&desc, NULL);
    g_assert_nonnull(server);
    return server;
}

/* Returns a connected descriptor, or -1 if the port refuses. */
static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(fd, >=, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        g_assert_cmpint(errno, ==, ECONNREFUSED);
        close(fd);
        return -1;
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
    g_assert_cmpint(connect_to(port), ==, -1);
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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http-drain/listener-in-use", test_listener_in_use);
    g_test_add_func("/http-drain/no-room", test_no_room);
    return g_test_run();
}
