/* Tests of a connection between two daemons that is reset before the answer.
 * The owner's peer port is reached through a port of the test. */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "roster/roster_entry.h"
#include "site.h"

#define KEYS "[\"" SITE_KEY "\"]"
#define KIND "backend-servers"
#define MAX_CONNECTIONS 8
#define AWAIT_MS 10000
#define REQUEST_BYTES 4096

/* Transit time of a reset and of the bytes before it, as between regions. */
#define TRANSIT_MS 32

/* Time for which the owner is suspended while it is asked. */
#define SUSPENDED_MS 100

/* What the owner says of the attempt. */
#define NOT_SEEN " owner=not_seen]"
#define SEEN " owner=seen]"
#define UNKNOWN " owner=unknown]"

enum { ENTRY, OWNER, OTHER };

/* When the port resets the entry's connection. */
typedef enum ResetAt {
    RESET_UNREAD,  /* nobody has read the request */
    RESET_CLOSED,  /* the same, once the stopping owner has closed its port */
    RESET_RUNNING, /* the request runs at the owner */
    RESET_RESTARTED, /* the same, once the owner's process was replaced */
    RESET_SUSPENDED, /* the request is in a buffer of the suspended owner */
    RESET_EARLY      /* the owner gets the request after the caller's answer */
} ResetAt;

typedef struct Port {
    Site *site;
    ResetAt at;
    struct sockaddr_in owner;
    struct sockaddr_in address;
    int listener;
    atomic_bool is_reached; /* a request of the entry is here */
    atomic_bool is_answered;
    atomic_bool is_delivered; /* the owner has answered the late request */
    pthread_t thread;
    int open[MAX_CONNECTIONS]; /* connections to the owner */
    int open_count;
} Port;

static void
await_flag(atomic_bool *flag)
{
    ClockMs end = Clock_Now() + AWAIT_MS;

    while (!atomic_load(flag) && Clock_Now() < end) {
        g_usleep(2000);
    }
    g_assert_true(atomic_load(flag));
}

/* Returns the connection, or -1 if the owner's port is closed. */
static int
connect_to_owner(const Port *port)
{
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(connection, (const struct sockaddr *)&port->owner,
                sizeof(port->owner)) != 0) {
        g_assert_cmpint(errno, ==, ECONNREFUSED);
        close(connection);
        return -1;
    }
    return connection;
}

static void
await_closed_port(const Port *port)
{
    ClockMs end = Clock_Now() + AWAIT_MS;
    int connection = connect_to_owner(port);

    while (connection >= 0 && Clock_Now() < end) {
        close(connection);
        g_usleep(5000);
        connection = connect_to_owner(port);
    }
    g_assert_cmpint(connection, <, 0);
}

/* Passes the request, which has no body, on to the owner. */
static void
deliver(Port *port, const char *request, size_t bytes)
{
    int connection = connect_to_owner(port);

    g_assert_cmpint(connection, >=, 0);
    g_assert_cmpint(send(connection, request, bytes, MSG_NOSIGNAL), ==,
                    (ssize_t)bytes);
    g_assert_cmpint(port->open_count, <, MAX_CONNECTIONS);
    port->open[port->open_count++] = connection;
}

static void
read_answer(const Port *port)
{
    char answer[REQUEST_BYTES];
    struct pollfd fd = {.fd = port->open[port->open_count - 1],
                        .events = POLLIN};

    g_assert_cmpint(poll(&fd, 1, AWAIT_MS), ==, 1);
    g_assert_cmpint(recv(fd.fd, answer, sizeof(answer), 0), >, 0);
}

static void
await_open_port(const Port *port)
{
    ClockMs end = Clock_Now() + AWAIT_MS;
    int connection = connect_to_owner(port);

    while (connection < 0 && Clock_Now() < end) {
        g_usleep(5000);
        connection = connect_to_owner(port);
    }
    g_assert_cmpint(connection, >=, 0);
    close(connection);
}

static void
await_run(const Port *port)
{
    ClockMs end = Clock_Now() + AWAIT_MS;

    while (Site_Runs(port->site, OWNER) == 0 && Clock_Now() < end) {
        g_usleep(2000);
    }
    g_assert_cmpuint(Site_Runs(port->site, OWNER), >, 0);
}

static size_t
read_request(int connection, char *request)
{
    size_t bytes = 0;

    request[0] = '\0';
    while (strstr(request, "\r\n\r\n") == NULL) {
        ssize_t got =
            recv(connection, request + bytes, REQUEST_BYTES - 1 - bytes, 0);

        g_assert_cmpint(got, >, 0);
        bytes += (size_t)got;
        request[bytes] = '\0';
    }
    return bytes;
}

static void
reset(int connection)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    setsockopt(connection, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(connection);
}

static void
serve_connection(Port *port, int connection)
{
    struct pollfd fd = {.fd = connection, .events = POLLIN};
    char request[REQUEST_BYTES];
    size_t bytes;

    g_assert_cmpint(poll(&fd, 1, AWAIT_MS), ==, 1);
    atomic_store(&port->is_reached, TRUE);
    if (port->at == RESET_UNREAD) {
        reset(connection);
        return;
    }
    if (port->at == RESET_CLOSED) {
        await_closed_port(port);
        g_usleep((gulong)2 * TRANSIT_MS * 1000);
        reset(connection);
        return;
    }
    bytes = read_request(connection, request);
    if (port->at == RESET_RUNNING) {
        deliver(port, request, bytes);
        await_run(port);
        reset(connection);
        return;
    }
    if (port->at == RESET_RESTARTED) {
        deliver(port, request, bytes);
        await_run(port);
        Site_Signal(port->site, OWNER, SIGKILL);
        g_assert_true(Site_AwaitExit(port->site, OWNER, AWAIT_MS));
        Site_Restart(port->site, OWNER);
        await_open_port(port);
        reset(connection);
        return;
    }
    if (port->at == RESET_SUSPENDED) {
        Site_Signal(port->site, OWNER, SIGSTOP);
        deliver(port, request, bytes);
        reset(connection);
        g_usleep((gulong)SUSPENDED_MS * 1000);
        Site_Signal(port->site, OWNER, SIGCONT);
    }
    else {
        reset(connection);
        await_flag(&port->is_answered);
        deliver(port, request, bytes);
    }
    read_answer(port);
    atomic_store(&port->is_delivered, TRUE);
}

static void *
run_port(void *context)
{
    Port *port = context;
    int connection = accept(port->listener, NULL, NULL);

    while (connection >= 0) {
        serve_connection(port, connection);
        connection = accept(port->listener, NULL, NULL);
    }
    return NULL;
}

static void
await_log(Site *site, int host, const char *text)
{
    ClockMs end = Clock_Now() + AWAIT_MS;
    gboolean found = FALSE;

    while (!found && Clock_Now() < end) {
        char *log = Site_ReadLog(site, host);

        found = strstr(log, text) != NULL;
        g_free(log);
        g_usleep(20000);
    }
    g_assert_true(found);
}

/* Names the port in the store as the owner's. The owner is cut off from the
 * store, so that it does not correct the entry. */
static void
start_port(Port *port)
{
    json_t *value;
    RosterEntry entry;
    socklen_t length = sizeof(port->address);
    char text[64];
    gint64 revision;

    Site_CutStore(port->site, OWNER, TRUE);
    value = ObjectServer_Read(Site_Store(port->site), KIND, "host-1");
    g_assert_true(RosterEntry_Decode("host-1", value, &entry));
    json_decref(value);
    port->owner = entry.peer;
    port->address = entry.peer;
    port->address.sin_port = 0;
    port->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(port->listener, (struct sockaddr *)&port->address,
                         sizeof(port->address)),
                    ==, 0);
    g_assert_cmpint(listen(port->listener, MAX_CONNECTIONS), ==, 0);
    getsockname(port->listener, (struct sockaddr *)&port->address, &length);
    entry.peer = port->address;
    pthread_create(&port->thread, NULL, run_port, port);
    revision = ObjectServer_Write(Site_Store(port->site), KIND, "host-1",
                                  RosterEntry_Encode(&entry));
    g_snprintf(text, sizeof(text), " revision=%" G_GINT64_FORMAT " ",
               revision);
    await_log(port->site, ENTRY, text);
}

static void
stop_port(Port *port)
{
    shutdown(port->listener, SHUT_RDWR);
    pthread_join(port->thread, NULL);
    close(port->listener);
    for (int i = 0; i < port->open_count; i++) {
        close(port->open[i]);
    }
}

typedef struct Order {
    Site *site;
    char id[SITE_ID_BYTES];
    SiteReply reply;
} Order;

static void *
send_order(void *context)
{
    Order *order = context;

    order->reply = Site_RequestAs(order->site, ENTRY, "POST", "/issue/1",
                                  SITE_KEY, order->id);
    return NULL;
}

/* Sends a request that must not run twice to a host whose nearest owner is
 * behind the port, and one owner far away. `said` is what the nearest one is
 * to say of the attempt. A suspended owner may take up the request or the
 * question first. */
static void
check_reset(ResetAt at, const char *said, int expected_status,
            int expected_host)
{
    Site *site = Site_Create();
    Port port = {.site = site, .at = at};
    Order order = {.site = site};
    SiteRun run = {0};
    pthread_t thread;

    Site_Configure(site, 1, KEYS, 0);
    Site_AddHost(site, &(SiteHost_desc){.service = "other"});
    Site_SetWorkMs(site, Site_AddHost(site, &(SiteHost_desc){0}),
                   at == RESET_RUNNING || at == RESET_RESTARTED ? 500 : 0);
    Site_AddHost(site, &(SiteHost_desc){.data_centre = "s1", .region = "sur"});
    Site_AwaitReady(site);
    start_port(&port);
    pthread_create(&thread, NULL, send_order, &order);
    await_flag(&port.is_reached);
    if (at == RESET_CLOSED) {
        Site_CutStore(site, OWNER, FALSE);
        Site_Signal(site, OWNER, SIGTERM);
    }
    pthread_join(thread, NULL);
    atomic_store(&port.is_answered, TRUE);
    if (at == RESET_EARLY || at == RESET_SUSPENDED) {
        await_flag(&port.is_delivered);
    }
    (void)Site_GetRun(site, order.id, &run);
    g_test_message("result %d status %d, %d runs, the last at host %d",
                   (int)order.reply.result, order.reply.status, run.count,
                   run.host);
    g_assert_cmpint(order.reply.result, ==, RESULT_OK);
    g_assert_cmpint(run.count, ==, 1);
    if (at == RESET_SUSPENDED && order.reply.status == 200) {
        expected_status = 200;
        expected_host = OTHER;
        said = NOT_SEEN;
    }
    g_assert_cmpint(order.reply.status, ==, expected_status);
    g_assert_cmpint(run.host, ==, expected_host);
    await_log(site, ENTRY, said);
    stop_port(&port);
    Site_Destroy(site);
}

/* Guards against a request that is given up as one that may have run although
 * nobody has read it. */
static void
test_unread(void)
{
    check_reset(RESET_UNREAD, NOT_SEEN, 200, OTHER);
}

/* Guards against the same in a graceful stop of the owner, whose process must
 * still be there to say that the request did not arrive. */
static void
test_closed(void)
{
    check_reset(RESET_CLOSED, NOT_SEEN, 200, OTHER);
}

/* Guards against a second run of a request that the owner has received. */
static void
test_running(void)
{
    check_reset(RESET_RUNNING, SEEN, 502, OWNER);
}

/* Guards against the same after a restart of the owner: the new process knows
 * nothing of the attempt. */
static void
test_restarted(void)
{
    check_reset(RESET_RESTARTED, UNKNOWN, 502, OWNER);
}

/* Guards against a second run by a copy that reaches the owner after it has
 * said that the request did not arrive. */
static void
test_early(void)
{
    check_reset(RESET_EARLY, NOT_SEEN, 200, OTHER);
}

/* Guards against a second run when question and request wait in buffers of a
 * suspended owner, which may read either first. */
static void
test_suspended(void)
{
    check_reset(RESET_SUSPENDED, SEEN, 502, OWNER);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/reset/unread", test_unread);
    g_test_add_func("/reset/closed", test_closed);
    g_test_add_func("/reset/running", test_running);
    g_test_add_func("/reset/restarted", test_restarted);
    g_test_add_func("/reset/early", test_early);
    g_test_add_func("/reset/suspended", test_suspended);
    return g_test_run();
}
