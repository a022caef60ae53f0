/* bench_fleet: cost of idle daemons, measured on real processes.
 *
 * Starts the store stand-in and N daemons with the default gossip period,
 * applies a ticket, waits until it is in force on every daemon and every
 * daemon sees all others, and reads the counters of up to 5 daemons before and
 * after an interval without load. Then it applies a second ticket and polls
 * until it is in force on all daemons.
 *
 * Prints CSV: daemons,cpu_percent_of_core,rss_kb,bytes_per_s,messages_per_s,
 * store_calls_per_s,spread_ms. The four values after `daemons` are means over
 * the sampled daemons; the bytes are sent bodies with seal, without the
 * headers of ONC RPC, UDP and IP. spread_ms is an upper bound of the time
 * until the second ticket is in force everywhere: it includes the run of the
 * command-line tool and the polling of the daemons one after the other.
 *
 * Usage: bench_fleet N [SECONDS], default 20 s; N is at most 50.
 */
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../tests/fleet.h"
#include "base/clock.h"

#define MAX_DAEMONS 50
#define MAX_SAMPLED_DAEMONS 5
#define TIMEOUT_MS 60000

typedef struct Reading {
    double cpu_s;
    double rss_kb;
    double bytes;
    double messages;
} Reading;

static char *
read_proc(GPid pid, const char *file)
{
    char *path = g_strdup_printf("/proc/%d/%s", (int)pid, file);
    char *text = NULL;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    g_free(path);
    return text;
}

/* User and system time: fields 14 and 15 of /proc/PID/stat, located from the
 * end of the program's name, which may contain blanks. */
static double
read_cpu(GPid pid)
{
    char *text = read_proc(pid, "stat");
    char **fields = g_strsplit(strrchr(text, ')') + 2, " ", 0);
    double ticks =
        g_ascii_strtod(fields[11], NULL) + g_ascii_strtod(fields[12], NULL);

    g_strfreev(fields);
    g_free(text);
    return ticks / (double)sysconf(_SC_CLK_TCK);
}

static double
parse_number_after(const char *text, const char *name)
{
    const char *found = strstr(text, name);

    if (found == NULL) {
        g_error("\"%s\" is missing", name);
    }
    return g_ascii_strtod(found + strlen(name), NULL);
}

static char *
read_metrics(Fleet *fleet, int daemon)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    HttpCall call = {.method = "GET",
                     .target = "/metrics",
                     .deadline = Clock_Now() + TIMEOUT_MS,
                     .fresh_connection = TRUE};
    HttpAnswer answer = {0};
    gboolean sent;
    char *text;

    address.sin_port = htons((uint16_t)fleet->daemons[daemon]->admin_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    call.address = address;
    g_assert_cmpint(HttpClient_Call(fleet->client, &call, &answer, &sent), ==,
                    RESULT_OK);
    text = g_strndup(answer.body, answer.body_bytes);
    HttpAnswer_Clear(&answer);
    return text;
}

static Reading
read_daemon(Fleet *fleet, int daemon)
{
    GPid pid = fleet->daemons[daemon]->pid;
    char *metrics = read_metrics(fleet, daemon);
    char *status = read_proc(pid, "status");
    Reading reading = {.cpu_s = read_cpu(pid),
                       .rss_kb = parse_number_after(status, "VmRSS:"),
                       .bytes = parse_number_after(
                           metrics, "\nradishknot_rpc_bytes_sent_total "),
                       .messages = parse_number_after(
                           metrics, "\nradishknot_rpc_sent_total ")};

    g_free(status);
    g_free(metrics);
    return reading;
}

static int
store_calls(Fleet *fleet)
{
    static const char *const kinds[] = {"get", "put", "delete", "list",
                                        "watch"};
    json_t *stats = Fleet_Get(fleet, fleet->store->port, "/v1/stats");
    int calls = 0;

    g_assert_nonnull(stats);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        calls += Fleet_Number(stats, kinds[i]);
    }
    json_decref(stats);
    return calls;
}

static gboolean
has_converged(Fleet *fleet, int daemon)
{
    json_t *status = Fleet_Status(fleet, daemon);
    gboolean converged =
        Fleet_Number(status, "members.alive") == fleet->daemon_count &&
        Fleet_Number(status, "config.ticket") == fleet->ticket;

    json_decref(status);
    return converged;
}

static void
await_convergence(Fleet *fleet)
{
    ClockMs until = Clock_Now() + TIMEOUT_MS;

    for (int i = 0; i < fleet->daemon_count; i++) {
        while (!has_converged(fleet, i)) {
            if (Clock_Now() > until) {
                g_error("daemon %d does not see the whole fleet", i);
            }
            (void)poll(NULL, 0, 5);
        }
    }
}

static ClockMs
measure_spread(Fleet *fleet)
{
    ClockMs start = Clock_Now();

    g_assert_cmpint(Fleet_Apply(fleet,
                                "{\"teams\":{\"clerks\":{\"rate_per_s\":"
                                "50,\"burst\":50,\"keys\":[]}}}"),
                    ==, 0);
    await_convergence(fleet);
    return Clock_Now() - start;
}

static void
measure(Fleet *fleet, int seconds)
{
    Reading before[MAX_SAMPLED_DAEMONS];
    Reading sum = {0};
    int count = MIN(fleet->daemon_count, MAX_SAMPLED_DAEMONS);
    int step = fleet->daemon_count / count;
    int calls = store_calls(fleet);
    ClockMs start = Clock_Now();
    double elapsed;

    for (int i = 0; i < count; i++) {
        before[i] = read_daemon(fleet, i * step);
    }
    (void)poll(NULL, 0, seconds * 1000);
    for (int i = 0; i < count; i++) {
        Reading after = read_daemon(fleet, i * step);

        sum.cpu_s += after.cpu_s - before[i].cpu_s;
        sum.rss_kb += after.rss_kb;
        sum.bytes += after.bytes - before[i].bytes;
        sum.messages += after.messages - before[i].messages;
    }
    elapsed = (double)(Clock_Now() - start) / 1000;
    calls = store_calls(fleet) - calls;
    printf("%d,%.2f,%.0f,%.0f,%.2f,%.2f,%d\n", fleet->daemon_count,
           100 * sum.cpu_s / count / elapsed, sum.rss_kb / count,
           sum.bytes / count / elapsed, sum.messages / count / elapsed,
           calls / elapsed, (int)measure_spread(fleet));
}

int
main(int argc, char **argv)
{
    int daemons = argc > 1 ? atoi(argv[1]) : 0;
    int seconds = argc > 2 ? atoi(argv[2]) : 20;
    Fleet *fleet;

    if (daemons < 1 || daemons > MAX_DAEMONS || seconds < 1 || seconds > 60) {
        fprintf(stderr, "usage: bench_fleet N [SECONDS], N of 1 to 50, "
                        "SECONDS of 1 to 60\n");
        return 2;
    }
    fleet = Fleet_Create();
    for (int i = 0; i < daemons; i++) {
        Fleet_AddDaemon(fleet, &(FleetDaemon_desc){.gossip_period_ms = 1000});
    }
    Fleet_ApplyDefault(fleet, 0);
    await_convergence(fleet);
    (void)poll(NULL, 0, 5000);
    printf("daemons,cpu_percent_of_core,rss_kb,bytes_per_s,messages_per_s,"
           "store_calls_per_s,spread_ms\n");
    measure(fleet, seconds);
    Fleet_Destroy(fleet);
    return 0;
}
