#include "gray.h"

#include <poll.h>

#include "base/clock.h"

#define DAEMONS 3
#define SERVICE_MS 20
/* Minimum polling rate that observes every ejection: an ejection lasts at
 * least 5 s. */
#define MIN_ROUNDS_PER_S 2

/* Target: no new work later than this after the start of the fault. */
#define NO_NEW_WORK_MS 2000
/* Duration for which the sick backend server is observed after the target. It
 * is shorter than the first ejection (5 s), so that no probation request is
 * due. */
#define OBSERVED_MS 1500

static void
wait_until(ClockMs until)
{
    (void)poll(NULL, 0, (int)MAX(until - Clock_Now(), 0));
}

void
Gray_Start(Gray *gray)
{
    static const char *const load[] = {"--path=/permits/7", "--rate=240",
                                       "--count=24000",     "--duration=100",
                                       "--connections=256", NULL};

    gray->fleet = Fleet_Create();
    for (int i = 0; i < DAEMONS; i++) {
        Fleet_AddDaemon(gray->fleet, NULL);
    }
    for (int i = 0; i < GRAY_SERVERS; i++) {
        Fleet_AddServer(gray->fleet, i % DAEMONS,
                        &(FleetServer_desc){.service_ms = SERVICE_MS});
    }
    Fleet_ApplyDefault(gray->fleet, GRAY_SERVERS);
    Fleet_AwaitReady(gray->fleet);
    Fleet_AwaitServed(gray->fleet, "/permits/7");
    gray->caller = Fleet_StartCaller(gray->fleet, FALSE, load);
    gray->watch = FleetWatch_Start(gray->fleet);
    FleetWatch_AwaitHealthy(gray->watch);
    FleetWatch_Reset(gray->watch);
}

void
Gray_Stop(Gray *gray)
{
    json_t *summary;

    Fleet_Signal(gray->caller, SIGTERM);
    summary = Fleet_AwaitCaller(gray->caller);
    g_assert_cmpint(Fleet_Number(summary, "ok"), >, 0);
    g_assert_cmpint(Fleet_Number(summary, "wrong"), ==, 0);
    json_decref(summary);
    FleetWatch_Stop(gray->watch);
    Fleet_Destroy(gray->fleet);
}

int
Gray_Ejections(const Gray *gray)
{
    int sum = 0;

    for (int i = 0; i < GRAY_SERVERS; i++) {
        sum += FleetWatch_Server(gray->watch, i).ejections;
    }
    return sum;
}

void
Gray_CheckRounds(const Gray *gray, int ms)
{
    g_assert_cmpint(FleetWatch_Rounds(gray->watch), >=,
                    MIN_ROUNDS_PER_S * ms / 1000);
}

int
Gray_CountLateRequests(const Gray *gray, int server, const char *name,
                       const char *faults)
{
    int before = Fleet_Stat(gray->fleet, server, "received");
    ClockMs started = Clock_Now();
    FleetServerHealth health;
    int early;
    int late;

    Fleet_SetFaults(gray->fleet, server, 1, faults);
    wait_until(started + NO_NEW_WORK_MS);
    early = Fleet_Stat(gray->fleet, server, "received");
    wait_until(started + NO_NEW_WORK_MS + OBSERVED_MS);
    late = Fleet_Stat(gray->fleet, server, "received") - early;
    health = FleetWatch_Server(gray->watch, server);
    g_test_message(
        "%s: ejected after %d ms, received %d in %d ms and %d in the %d ms "
        "after that; %s, weight %d",
        name,
        health.first_ejected == 0 ? -1 : (int)(health.first_ejected - started),
        early - before, NO_NEW_WORK_MS, late, OBSERVED_MS, health.state,
        health.weight);
    Fleet_SetFaults(gray->fleet, server, 1, "{\"reset\":true}");
    return late;
}
