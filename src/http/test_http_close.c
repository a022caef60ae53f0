/* Tests of how the HTTP server closes connections. */
#include <dirent.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/counter.h"
#include "http/http_server.h"

#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"

/* An answer is read in pieces of this share, with pauses. */
#define PIECES 20
#define PAUSE_MS 15
#define STOP_PAUSE_MS 40
#define IDLE_PAUSE_MS 150

#define TIMEOUT_MS 10000

/* More than a port holds. */
#define CALLERS 1100

typedef struct Site {
    HttpServer *server;
    atomic_int at_work;  /* handlers that have begun */
    atomic_bool release; /* they may answer */
} Site;

/* Answers /N with N bytes. */
static void
answer_bytes(void *context, HttpRequest *request)
{
    Site *site = context;
    size_t bytes = g_ascii_strtoull(HttpRequest_Path(request) + 1, NULL, 10);
    HttpAnswer answer = {.status = 200};
    char *body = g_strnfill(bytes, 'x');

    atomic_fetch_add(&site->at_work, 1);
    while (!atomic_load(&site->release)) {
        (void)poll(NULL, 0, 1);
    }
    HttpAnswer_SetBody(&answer, body, bytes);
    g_free(body);
    HttpRequest_Respond(request, &answer);
}

static void
start_site(Site *site, unsigned idle_timeout_s)
{
    HttpServer_desc desc = {.handler = answer_bytes,
                            .worker_threads = 4,
                            .max_in_flight = 2 * CALLERS,
                            .idle_timeout_s = idle_timeout_s,
                            .max_body_bytes = 100000,
                            .time_left_header = "Time-Left",
                            .context = site};

    desc.address.sin_family = AF_INET;
    desc.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    atomic_store(&site->at_work, 0);
    atomic_store(&site->release, FALSE);
    site->server = HttpServer_Create(&desc, NULL);
    g_assert_nonnull(site->server);
}

static int
open_connection(const HttpServer *server, int receive_bytes)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(HttpServer_Port(server))};
    struct timeval timeout = {.tv_sec = TIMEOUT_MS / 1000};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (receive_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    }
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    return fd;
}

static void
await_at_least(const atomic_int *value, int count)
{
    ClockMs end = Clock_Now() + TIMEOUT_MS;

    while (atomic_load(value) < count && Clock_Now() < end) {
        (void)poll(NULL, 0, 1);
    }
    g_assert_cmpint(atomic_load(value), >=, count);
}

/* Why the server ends the connection. */
typedef enum Cause {
    CAUSE_NONE,    /* it does not */
    CAUSE_LEAVE,   /* the server leaves while the request is at work */
    CAUSE_CALLER,  /* the request has "Connection: close" */
    CAUSE_IDLE,    /* no further whole request arrives in time */
    CAUSE_FRAMING, /* the end of the request is ambiguous */
    CAUSE_STOP     /* the server stops after it has sent the answer */
} Cause;

/* When the caller sends further bytes. */
typedef enum Moment {
    MOMENT_NEVER,
    MOMENT_BEFORE, /* with the request */
    MOMENT_DURING, /* while it is at work */
    MOMENT_AFTER,  /* between the first pieces of the answer */
    MOMENT_LATE    /* between the last pieces of the answer */
} Moment;

typedef enum Extra {
    EXTRA_PART, /* the begin of a request */
    EXTRA_ONE,  /* a request */
    EXTRA_SEVERAL,
    EXTRA_UPLOAD,  /* a request with a body of 50,000 bytes */
    EXTRA_OVERDUE, /* the same, most of whose body does not come in time */
    EXTRA_HALF_CLOSE
} Extra;

typedef struct Case {
    const char *name;
    Cause cause;
    Moment moment;
    Extra extra;
    size_t bytes;      /* of the answer */
    int receive_bytes; /* of the caller's socket; 0: the system's */
} Case;

static void
send_all(int fd, const char *text, size_t bytes)
{
    /* It may be refused with a reset, but not the answer to the first. */
    while (bytes > 0) {
        ssize_t sent = send(fd, text, bytes, MSG_NOSIGNAL);

        if (sent <= 0) {
            return;
        }
        text += sent;
        bytes -= (size_t)sent;
    }
}

static void
send_extra(int fd, Extra extra)
{
    static const char one[] = GET("/7");
    static const char head[] =
        "POST /7 HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n";
    static const char overdue[] = "POST /7 HTTP/1.1\r\nHost: h\r\nTime-Left: "
                                  "200\r\nContent-Length: 50000\r\n\r\n";
    char *body = g_strnfill(50000, 'y');

    switch (extra) {
    case EXTRA_PART:
        send_all(fd, one, 9);
        break;
    case EXTRA_ONE:
        send_all(fd, one, strlen(one));
        break;
    case EXTRA_SEVERAL:
        for (int i = 0; i < 5; i++) {
            send_all(fd, one, strlen(one));
        }
        break;
    case EXTRA_UPLOAD:
        send_all(fd, head, strlen(head));
        send_all(fd, body, 50000);
        break;
    case EXTRA_OVERDUE:
        send_all(fd, overdue, strlen(overdue));
        break;
    case EXTRA_HALF_CLOSE:
        shutdown(fd, SHUT_WR);
        break;
    }
    g_free(body);
}

static void
send_first(int fd, const Case *item)
{
    char *request;

    if (item->cause == CAUSE_FRAMING) {
        request = g_strdup("POST /0 HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 60000\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
    }
    else {
        request = g_strdup_printf(
            "GET /%zu HTTP/1.1\r\nHost: h\r\n%s\r\n", item->bytes,
            item->cause == CAUSE_CALLER ? "Connection: close\r\n" : "");
    }
    send_all(fd, request, strlen(request));
    g_free(request);
}

static void *
stop_server(void *context)
{
    HttpServer *server = context;
    ClockMs until = Clock_Now() + TIMEOUT_MS;

    HttpServer_Leave(server);
    (void)HttpServer_Drain(server, until);
    (void)HttpServer_Close(server, until);
    (void)HttpServer_AwaitReceipt(server, until);
    HttpServer_Destroy(server);
    return NULL;
}

static int
pause_of(const Case *item)
{
    if (item->cause == CAUSE_IDLE) {
        return IDLE_PAUSE_MS;
    }
    return item->cause == CAUSE_STOP || item->extra == EXTRA_OVERDUE
               ? STOP_PAUSE_MS
               : PAUSE_MS;
}

/* Returns what was received of the body of the first answer, -1: no head. */
static ssize_t
read_first(int fd, const Case *item, Site *site, pthread_t *stopping)
{
    GString *text = g_string_new(NULL);
    size_t piece = MAX(item->bytes / PIECES, 100);
    char *buffer = g_malloc(piece);
    const char *body = NULL;
    ssize_t count = 1;
    ssize_t got;

    for (int i = 0; count > 0 && (body == NULL ||
                                  text->str + text->len < body + item->bytes);
         i++) {
        count = recv(fd, buffer, piece, 0);
        g_string_append_len(text, buffer, MAX(count, 0));
        body = strstr(text->str, "\r\n\r\n");
        body = body != NULL ? body + 4 : NULL;
        if (i == 0 && item->cause == CAUSE_STOP) {
            pthread_create(stopping, NULL, stop_server, site->server);
        }
        if ((i == 3 && item->moment == MOMENT_AFTER) ||
            (i == PIECES * 3 / 4 && item->moment == MOMENT_LATE)) {
            send_extra(fd, item->extra);
        }
        if (i == PIECES * 3 / 4 && item->extra == EXTRA_OVERDUE) {
            send_all(fd, "y", 1);
        }
        (void)poll(NULL, 0, pause_of(item));
    }
    if (count < 0) {
        g_test_message("%s: %s", item->name, g_strerror(errno));
    }
    got = body != NULL ? (ssize_t)(text->str + text->len - body) : -1;
    g_free(buffer);
    g_string_free(text, TRUE);
    return got;
}

static void
check_whole(const Case *item)
{
    Site site;
    pthread_t stopping;
    ssize_t got;
    int fd;

    start_site(&site, item->cause == CAUSE_IDLE ? 1 : 0);
    fd = open_connection(site.server, item->receive_bytes);
    send_first(fd, item);
    if (item->moment == MOMENT_BEFORE) {
        send_extra(fd, item->extra);
    }
    if (item->cause != CAUSE_FRAMING) {
        await_at_least(&site.at_work, 1);
    }
    if (item->cause == CAUSE_LEAVE) {
        HttpServer_Leave(site.server);
    }
    if (item->moment == MOMENT_DURING) {
        send_extra(fd, item->extra);
    }
    atomic_store(&site.release, TRUE);
    got = read_first(fd, item, &site, &stopping);
    g_test_message("%s: %zd of %zu bytes", item->name, got, item->bytes);
    g_assert_cmpint(got, >=, (ssize_t)item->bytes);
    if (item->cause == CAUSE_NONE && item->extra == EXTRA_ONE) {
        await_at_least(&site.at_work, 2);
    }
    close(fd);
    if (item->cause == CAUSE_STOP) {
        pthread_join(stopping, NULL);
    }
    else {
        HttpServer_Destroy(site.server);
    }
}

/* Guards against answers that a caller loses, in whole or in part, because the
 * server closes the connection while the caller is still sending; and against
 * connections that end though they could go on. */
static void
test_whole_answers(void)
{
    static const Case cases[] = {
        {"leaving, request sent with the first", CAUSE_LEAVE, MOMENT_BEFORE,
         EXTRA_ONE, 50000, 4096},
        {"leaving, request sent before the answer", CAUSE_LEAVE, MOMENT_DURING,
         EXTRA_ONE, 50000, 4096},
        {"leaving, request sent behind the answer", CAUSE_LEAVE, MOMENT_AFTER,
         EXTRA_ONE, 50000, 4096},
        {"leaving, small answer", CAUSE_LEAVE, MOMENT_AFTER, EXTRA_ONE, 9000,
         4096},
        {"leaving, large answer and receive buffer", CAUSE_LEAVE,
         MOMENT_DURING, EXTRA_ONE, 8000000, 0},
        {"leaving, part of a request", CAUSE_LEAVE, MOMENT_DURING, EXTRA_PART,
         50000, 4096},
        {"leaving, several requests", CAUSE_LEAVE, MOMENT_AFTER, EXTRA_SEVERAL,
         50000, 4096},
        {"leaving, request with a body", CAUSE_LEAVE, MOMENT_DURING,
         EXTRA_UPLOAD, 50000, 4096},
        {"leaving, caller that sends nothing more", CAUSE_LEAVE, MOMENT_NEVER,
         EXTRA_ONE, 50000, 4096},
        {"leaving, caller that has closed its side", CAUSE_LEAVE, MOMENT_AFTER,
         EXTRA_HALF_CLOSE, 50000, 4096},
        {"caller asks to close and sends on", CAUSE_CALLER, MOMENT_DURING,
         EXTRA_ONE, 50000, 4096},
        {"caller asks to close and sends on late", CAUSE_CALLER, MOMENT_AFTER,
         EXTRA_UPLOAD, 50000, 4096},
        {"idle, request sent late", CAUSE_IDLE, MOMENT_LATE, EXTRA_ONE, 50000,
         4096},
        {"refused before its body is read", CAUSE_FRAMING, MOMENT_BEFORE,
         EXTRA_UPLOAD, 0, 0},
        {"stopped, part of a request sent before", CAUSE_STOP, MOMENT_DURING,
         EXTRA_PART, 50000, 4096},
        {"stopped, request sent late", CAUSE_STOP, MOMENT_LATE, EXTRA_ONE,
         50000, 4096},
        {"stopped, request sent in the stop", CAUSE_STOP, MOMENT_AFTER,
         EXTRA_ONE, 50000, 4096},
        {"stopped, part of a request sent late", CAUSE_STOP, MOMENT_LATE,
         EXTRA_PART, 50000, 4096},
        {"stopped, caller that sends nothing more", CAUSE_STOP, MOMENT_NEVER,
         EXTRA_ONE, 50000, 4096},
        {"kept open, body that does not come", CAUSE_NONE, MOMENT_DURING,
         EXTRA_OVERDUE, 50000, 4096},
        {"kept open, further request", CAUSE_NONE, MOMENT_DURING, EXTRA_ONE,
         50000, 4096},
        {"kept open, further request late", CAUSE_NONE, MOMENT_AFTER,
         EXTRA_ONE, 50000, 4096},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_whole(&cases[i]);
    }
}

static int
count_descriptors(void)
{
    DIR *folder = opendir("/proc/self/fd");
    int count = 0;

    g_assert_nonnull(folder);
    while (readdir(folder) != NULL) {
        count++;
    }
    closedir(folder);
    return count;
}

static void
await_descriptors(int count, ClockMs timeout_ms)
{
    ClockMs end = Clock_Now() + timeout_ms;

    while (count_descriptors() > count) {
        g_assert_cmpint(Clock_Now(), <, end);
        (void)poll(NULL, 0, 10);
    }
}

/* Reads until the server closes its side. */
static size_t
read_to_end(int fd)
{
    char buffer[65536];
    size_t total = 0;
    ssize_t count;

    while ((count = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
        total += (size_t)count;
    }
    return total;
}

/* Guards against a closed connection whose descriptor is kept, or that a stop
 * waits for, because its caller does not close it: it has received all, it
 * reads nothing, or it sends without end. */
static void
test_callers_that_stay(void)
{
    static const struct {
        const char *name;
        size_t bytes;
        gboolean reads;
        gboolean sends;
        ClockMs await_ms; /* for receipt, at most */
        ClockMs kept_ms;  /* at most; 0: until the server is destroyed */
    } cases[] = {
        {"has received all", 1000, TRUE, FALSE, 500, 2500},
        {"has received all and sends", 1000, TRUE, TRUE, 500, 2500},
        {"reads nothing", 50000, FALSE, FALSE, 1500, 0},
        {"reads nothing and sends", 50000, FALSE, TRUE, 1500, 2500},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const Case first = {.bytes = cases[i].bytes};
        char noise[60000] = "";
        int before = count_descriptors();
        int own;
        Site site;
        ClockMs start;
        int fd;

        start_site(&site, 0);
        own = count_descriptors() - before + 1; /* and the caller's */
        fd = open_connection(site.server, 4096);
        send_first(fd, &first);
        await_at_least(&site.at_work, 1);
        HttpServer_Leave(site.server);
        atomic_store(&site.release, TRUE);
        if (cases[i].reads) {
            g_assert_cmpuint(read_to_end(fd), >, cases[i].bytes);
        }
        if (cases[i].sends) {
            for (int round = 0; round < 4; round++) {
                (void)send(fd, noise, sizeof(noise),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
                (void)poll(NULL, 0, 20);
            }
        }
        start = Clock_Now();
        g_assert_true(HttpServer_AwaitReceipt(site.server, start + 5000));
        g_test_message("%s: waited %" G_GINT64_FORMAT " ms", cases[i].name,
                       Clock_Now() - start);
        g_assert_cmpint(Clock_Now() - start, <, cases[i].await_ms);
        if (cases[i].kept_ms > 0) {
            await_descriptors(before + own, cases[i].kept_ms);
        }
        HttpServer_Destroy(site.server);
        close(fd);
        g_assert_cmpint(count_descriptors(), ==, before);
    }
}

/* Raises the limit of descriptors, as far as the machine allows it. */
static void
allow_descriptors(void)
{
    struct rlimit limit;

    g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &limit), ==, 0);
    limit.rlim_cur = MAX(limit.rlim_cur, MIN(limit.rlim_max, 4096));
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
}

/* Guards against an answer that is lost because its connection is closed in
 * favour of a new one before the caller has received it all, and against a
 * caller that keeps the port full by reading nothing. */
static void
test_full_port(void)
{
    static const Case slow = {.name = "full port",
                              .cause = CAUSE_IDLE,
                              .moment = MOMENT_LATE,
                              .extra = EXTRA_ONE,
                              .bytes = 20000};
    int *fds = g_new(int, CALLERS);
    Site site;

    allow_descriptors();
    start_site(&site, 0);
    atomic_store(&site.release, TRUE);
    fds[0] = open_connection(site.server, 4096);
    send_first(fds[0], &slow);
    await_at_least(&site.at_work, 1);
    for (int i = 1; i < CALLERS; i++) {
        fds[i] = open_connection(site.server, 4096);
        send_first(fds[i], &slow);
    }
    g_assert_cmpint(read_first(fds[0], &slow, &site, NULL), >=,
                    (ssize_t)slow.bytes);
    await_at_least(&site.at_work, CALLERS);
    for (int i = 0; i < CALLERS; i++) {
        close(fds[i]);
    }
    g_free(fds);
    HttpServer_Destroy(site.server);
}

/* Guards against callers that are not served because others do not close
 * connections that the server has ended, and against descriptors beyond those
 * that a port may hold. */
static void
test_many_stay(void)
{
    enum { MAX_DESCRIPTORS = 1020 + 50 };
    static const char last[] =
        "GET /10 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    int *fds = g_new(int, CALLERS);
    int before = count_descriptors();
    Site site;

    allow_descriptors();
    start_site(&site, 0);
    atomic_store(&site.release, TRUE);
    for (int i = 0; i < CALLERS; i++) {
        fds[i] = open_connection(site.server, 0);
        send_all(fds[i], last, strlen(last));
        g_assert_cmpuint(read_to_end(fds[i]), >, 10);
    }
    g_assert_cmpint(count_descriptors() - before - CALLERS, <,
                    MAX_DESCRIPTORS);
    HttpServer_Destroy(site.server);
    for (int i = 0; i < CALLERS; i++) {
        close(fds[i]);
    }
    g_free(fds);
    g_assert_cmpint(count_descriptors(), ==, before);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http-close/whole-answers", test_whole_answers);
    g_test_add_func("/http-close/callers-that-stay", test_callers_that_stay);
    g_test_add_func("/http-close/full-port", test_full_port);
    g_test_add_func("/http-close/many-stay", test_many_stay);
    return g_test_run();
}
