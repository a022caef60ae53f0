/* Tests of deadlines and of callers that close the connection. */
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "fleet.h"

#define DAEMONS 3
#define SLOTS 5
#define SERVICE_MS 200

static Fleet *
start_fleet(int servers, int service_ms)
{
    Fleet *fleet = Fleet_Create();

    for (int i = 0; i < DAEMONS; i++) {
        Fleet_AddDaemon(fleet, NULL);
    }
    for (int i = 0; i < servers; i++) {
        Fleet_AddServer(
            fleet, i % DAEMONS,
            &(FleetServer_desc){.service_ms = service_ms, .slots = SLOTS});
    }
    Fleet_ApplyDefault(fleet, servers);
    Fleet_AwaitReady(fleet);
    Fleet_AwaitServed(fleet, "/permits/7");
    return fleet;
}

/* Guards against starting a request after its deadline. A slot becomes free
 * again at the deadline of its request. The rate is therefore twice what the
 * slots can take, so that the other requests wait at the owner until their
 * deadline. */
static void
test_expired(void)
{
    static const char *const load[] = {"--path=/permits/7", "--rate=600",
                                       "--count=1800",      "--deadline-ms=50",
                                       "--connections=128", NULL};
    Fleet *fleet = start_fleet(DAEMONS, SERVICE_MS);
    json_t *summary = Fleet_AwaitCaller(Fleet_StartCaller(fleet, FALSE, load));

    g_test_message("%d sent, %d received, %d started after their deadline, "
                   "%d cancelled, %d over the slots",
                   Fleet_Number(summary, "sent"),
                   Fleet_SumStats(fleet, "received"),
                   Fleet_SumStats(fleet, "started_expired"),
                   Fleet_SumStats(fleet, "cancelled"),
                   Fleet_SumStats(fleet, "over_slots"));
    g_assert_cmpint(Fleet_SumStats(fleet, "received"), >, 0);
    g_assert_cmpint(Fleet_SumStats(fleet, "started_expired"), ==, 0);
    g_assert_cmpint(Fleet_Number(summary, "ok"), ==, 0);
    g_assert_cmpint(Fleet_Number(summary, "lost"), ==, 0);
    json_decref(summary);
    Fleet_Destroy(fleet);
}

static int
send_request(int port)
{
    static const char text[] = "GET /permits/1 HTTP/1.1\r\n"
                               "Host: entry\r\n"
                               "Radishknot-Key: " FLEET_KEY "\r\n\r\n";
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(
        connect(connection, (struct sockaddr *)&address, sizeof(address)), ==,
        0);
    g_assert_cmpint(send(connection, text, strlen(text), MSG_NOSIGNAL), ==,
                    strlen(text));
    return connection;
}

static void
await_stat(Fleet *fleet, const char *name, int value, ClockMs until)
{
    while (Fleet_SumStats(fleet, name) != value) {
        if (Clock_Now() > until) {
            g_error("%s is %d after the timeout, expected %d", name,
                    Fleet_SumStats(fleet, name), value);
        }
        (void)poll(NULL, 0, 5);
    }
}

static gboolean
is_idle(void *context, json_t *status)
{
    json_t *servers = json_object_get(status, "backend_servers");

    (void)context;
    return Fleet_Number(json_array_get(servers, 0), "slots_in_use") == 0;
}

/* Guards against a request that keeps running after its caller has closed the
 * connection, both when the entry is the daemon of the backend server and when
 * it is another daemon. */
static void
test_hang_up(void)
{
    const int service_ms = 8000;
    Fleet *fleet = start_fleet(1, service_ms / 100);

    Fleet_SetFaults(fleet, 0, fleet->server_count, "{\"slow_factor\":100}");
    for (int entry = 0; entry < 2; entry++) {
        int connection = send_request(fleet->daemons[entry]->entry_port);
        ClockMs started = Clock_Now();
        ClockMs closed;

        await_stat(fleet, "running", 1, started + service_ms / 2);
        closed = Clock_Now();
        close(connection);
        await_stat(fleet, "cancelled", entry + 1, started + service_ms);
        g_test_message("entry %d: cancelled after %d ms", entry,
                       (int)(Clock_Now() - closed));
        Fleet_Await(fleet, 0, is_idle, NULL, "a free slot");
        g_assert_cmpint(Clock_Now(), <, started + service_ms);
    }
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/deadline/expired", test_expired);
    g_test_add_func("/process/deadline/hang-up", test_hang_up);
    return g_test_run();
}
