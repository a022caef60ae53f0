/* Tests of a daemon in mode "platform" that stops, as a real process, while a
 * caller has not received the whole of its answer. */
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site.h"

#define KEYS "[\"" SITE_KEY "\"]"
#define GRACE_MS 6000
#define ANSWER_BYTES 50000
#define RECEIVE_BYTES 4096
#define PIECE_BYTES 1000
#define TIMEOUT_S 10

/* A daemon without callers ends within this time after SIGTERM. */
#define SHORT_STOP_MS 3500

/* How a caller reads, in milliseconds after SIGTERM. */
typedef struct Case {
    const char *name;
    int pause_ms;     /* after each piece; 0: reads at once */
    ClockMs stall_ms; /* reads nothing until then */
    ClockMs send_ms;  /* when it sends a further request; 0: never */
    gboolean is_whole;
    ClockMs end_ms; /* the daemon has ended */
} Case;

static int
send_request(void)
{
    static const int receive_bytes = RECEIVE_BYTES;
    static const struct timeval timeout = {.tv_sec = TIMEOUT_S};
    struct sockaddr_in address = Site_EntryAddress(0);
    char request[300];
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_snprintf(request, sizeof(request),
               "GET /open/bytes-%d HTTP/1.1\r\nHost: " SITE_HOST_HEADER
               "\r\nAttempt-Id: slow-reader\r\nDeadline-Ms: 8000\r\n\r\n",
               ANSWER_BYTES);
    g_assert_cmpint(send(fd, request, strlen(request), MSG_NOSIGNAL), >, 0);
    return fd;
}

/* Returns the number of bytes until the connection ends. */
static size_t
read_answer(int fd, const Case *item, ClockMs term)
{
    static const char further[] =
        "GET /open/further HTTP/1.1\r\nHost: " SITE_HOST_HEADER
        "\r\nAttempt-Id: further\r\nDeadline-Ms: 8000\r\n\r\n";
    char buffer[PIECE_BYTES];
    size_t total = 0;
    gboolean has_sent = item->send_ms == 0;
    ssize_t count;

    while (Clock_Now() < term + item->stall_ms) {
        (void)poll(NULL, 0, 10);
    }
    while ((count = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
        total += (size_t)count;
        if (!has_sent && Clock_Now() >= term + item->send_ms) {
            (void)send(fd, further, strlen(further), MSG_NOSIGNAL);
            has_sent = TRUE;
        }
        (void)poll(NULL, 0, item->pause_ms);
    }
    return total;
}

static void
run_case(const Case *item)
{
    Site *site = Site_Create();
    ClockMs term;
    size_t total;
    int fd;

    Site_Configure(site, 1, KEYS, 0);
    Site_AddHost(site, &(SiteHost_desc){0});
    Site_AwaitReady(site);
    fd = send_request();
    while (!Site_HasRun(site, "slow-reader")) {
        (void)poll(NULL, 0, 1);
    }
    term = Clock_Now();
    Site_Signal(site, 0, SIGTERM);
    total = read_answer(fd, item, term);
    g_test_message("%s: %zu bytes", item->name, total);
    g_assert_true(
        Site_AwaitExit(site, 0, MAX(1, term + item->end_ms - Clock_Now())));
    g_assert_cmpint(Clock_Now() - term, <, item->end_ms);
    if (item->is_whole) {
        g_assert_cmpuint(total, >, ANSWER_BYTES);
    }
    close(fd);
    Site_Destroy(site);
}

/* Guards against a process that ends while a caller is still reading its
 * answer, so that a further request of the caller meets a reset and the rest
 * of the answer is lost; and against a stop that waits for callers without
 * need. */
static void
test_slow_reader(void)
{
    static const Case cases[] = {
        {"reads slowly, sends late", 80, 0, 3200, TRUE, GRACE_MS},
        {"reads slowly, sends early", 80, 0, 500, TRUE, GRACE_MS},
        {"reads slowly, sends nothing", 80, 0, 0, TRUE, GRACE_MS},
        {"reads at once, sends early", 0, 0, 1, TRUE, SHORT_STOP_MS},
        {"reads at once, sends nothing", 0, 0, 0, TRUE, SHORT_STOP_MS},
        {"reads nothing, then all", 0, 5000, 0, TRUE, GRACE_MS},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        run_case(&cases[i]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stop-reader/slow-reader", test_slow_reader);
    return g_test_run();
}
