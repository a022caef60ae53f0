/* Tests of overload and retries. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "fleet.h"

#define DAEMONS 3
#define SERVERS 12
#define SLOTS 5
#define SERVICE_MS 200
#define CAPACITY_PER_S (SERVERS * SLOTS * 1000 / SERVICE_MS)
/* Targets of the design page. */
#define GOODPUT_PERCENT 90
#define RETRY_PERCENT 10
#define SHARE_PERCENT 95
/* Retries per second that each entry may make in addition. It starts with a
 * budget of one second of them (retry/retry.h). */
#define RETRIES_PER_S 1
/* Time until the queues are full; goodput is measured from then on. */
#define FILL_US 2000000
#define LOAD_S 8

/* `serving_since` receives the time at which the entries began to serve. */
static Fleet *
start_fleet(ClockMs *serving_since)
{
    Fleet *fleet = Fleet_Create();

    for (int i = 0; i < DAEMONS; i++) {
        Fleet_AddDaemon(fleet, NULL);
    }
    for (int i = 0; i < SERVERS; i++) {
        Fleet_AddServer(
            fleet, i % DAEMONS,
            &(FleetServer_desc){.service_ms = SERVICE_MS, .slots = SLOTS});
    }
    Fleet_ApplyDefault(fleet, SERVERS);
    /* Keeps Fleet_AwaitReady() from sending requests: the first ones are sent
     * by Fleet_AwaitServed(), which returns their time. */
    fleet->has_default = FALSE;
    Fleet_AwaitReady(fleet);
    *serving_since = Fleet_AwaitServed(fleet, "/permits/7");
    return fleet;
}

static gboolean
is_full_weight(void *context, json_t *status)
{
    json_t *server;
    size_t index;

    (void)context;
    json_array_foreach(json_object_get(status, "backend_servers"), index,
                       server)
    {
        if (Fleet_Number(server, "weight") < 100) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
await_full_weight(Fleet *fleet)
{
    for (int i = 0; i < fleet->daemon_count; i++) {
        Fleet_Await(fleet, i, is_full_weight, NULL, "the end of cold starts");
    }
}

/* Returns the number of OK answers that arrived in [from_us, to_us) after the
 * start of the caller. */
static int
count_ok(const char *csv, int64_t from_us, int64_t to_us)
{
    char *text = NULL;
    char **lines;
    int count = 0;

    g_assert_true(g_file_get_contents(csv, &text, NULL, NULL));
    lines = g_strsplit(text, "\n", 0);
    for (char **line = lines + 1; *line != NULL; line++) {
        char **fields = g_strsplit(*line, ",", 0);

        if (g_strv_length(fields) >= 9 && strcmp(fields[8], "ok") == 0) {
            int64_t end_us = g_ascii_strtoll(fields[1], NULL, 10) +
                             g_ascii_strtoll(fields[2], NULL, 10);

            count += end_us >= from_us && end_us < to_us;
        }
        g_strfreev(fields);
    }
    g_strfreev(lines);
    g_free(text);
    return count;
}

/* Sends twice the capacity; returns the OK answers per second. */
static double
measure_goodput(Fleet *fleet, json_t **summary)
{
    char *csv = g_build_filename(fleet->folder, "caller.csv", NULL);
    char *option = g_strconcat("--csv=", csv, NULL);
    char *rate = g_strdup_printf("--rate=%d", 2 * CAPACITY_PER_S);
    char *count = g_strdup_printf("--count=%d", 2 * CAPACITY_PER_S * LOAD_S);
    const char *load[] = {
        "--path=/permits/7", rate, count, option, "--deadline-ms=2000",
        "--connections=512", NULL};
    double goodput;

    *summary = Fleet_AwaitCaller(Fleet_StartCaller(fleet, FALSE, load));
    goodput =
        count_ok(csv, FILL_US, LOAD_S * 1000000) / (LOAD_S - FILL_US / 1e6);
    unlink(csv);
    g_free(count);
    g_free(rate);
    g_free(option);
    g_free(csv);
    return goodput;
}

/* Returns the maximum number of requests that the backend servers may receive
 * when callers have sent `sent` requests since the entries began to serve. */
static double
max_received(int sent, ClockMs serving_since)
{
    double seconds = (double)(Clock_Now() - serving_since) / 1000;

    return sent * (1 + RETRY_PERCENT / 100.0) +
           DAEMONS * RETRIES_PER_S * (seconds + 1);
}

/* Guards against retries that multiply the load when every backend server
 * refuses or fails. The backend servers receive every attempt under these
 * faults, so the count includes all retries. The budget is computed from the
 * start of the fleet, because entries save the unused part. */
static void
test_amplification(void)
{
    static const char *const faults[] = {"{\"shed_percent\":100}",
                                         "{\"close_after_read\":true}"};
    static const char *const load[] = {"--path=/permits/7", "--rate=400",
                                       "--count=1600", "--connections=128",
                                       NULL};
    ClockMs serving_since;
    Fleet *fleet = start_fleet(&serving_since);
    int sent = DAEMONS; /* Fleet_AwaitServed() sent one to each entry */

    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        json_t *summary;
        int received;

        Fleet_SetFaults(fleet, 0, fleet->server_count, faults[i]);
        summary = Fleet_AwaitCaller(Fleet_StartCaller(fleet, FALSE, load));
        sent += Fleet_Number(summary, "sent");
        received = Fleet_SumStats(fleet, "received");
        Fleet_SetFaults(fleet, 0, fleet->server_count, "{\"reset\":true}");
        g_test_message("up to %s: %d sent, %d received (amplification %.3f)",
                       faults[i], sent, received, (double)received / sent);
        g_assert_cmpint(Fleet_Number(summary, "ok"), ==, 0);
        g_assert_cmpint(received, >, 0);
        g_assert_cmpfloat(received, <=, max_received(sent, serving_since));
        json_decref(summary);
    }
    Fleet_Destroy(fleet);
}

/* Guards against queues, retries and expired requests that use up the capacity
 * for requests that could still be answered in time. */
static void
test_goodput(void)
{
    ClockMs serving_since;
    Fleet *fleet = start_fleet(&serving_since);
    json_t *summary;
    const int min_goodput = GOODPUT_PERCENT * CAPACITY_PER_S / 100;
    double goodput;
    int received;
    int sent;

    await_full_weight(fleet);
    goodput = measure_goodput(fleet, &summary);
    sent = DAEMONS + Fleet_Number(summary, "sent");
    received = Fleet_SumStats(fleet, "received");
    g_test_message("goodput %.1f/s of %d/s; %d sent, %d received "
                   "(amplification %.3f), %d over the slots, %d started "
                   "after their deadline",
                   goodput, CAPACITY_PER_S, sent, received,
                   (double)received / sent,
                   Fleet_SumStats(fleet, "over_slots"),
                   Fleet_SumStats(fleet, "started_expired"));
    g_assert_cmpint(Fleet_Number(summary, "wrong"), ==, 0);
    g_assert_cmpfloat(goodput, >=, min_goodput);
    g_assert_cmpfloat(received, <=, max_received(sent, serving_since));
    g_assert_cmpint(Fleet_SumStats(fleet, "started_expired"), ==, 0);
    json_decref(summary);
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/overload/goodput", test_goodput);
    g_test_add_func("/process/overload/amplification", test_amplification);
    return g_test_run();
}
