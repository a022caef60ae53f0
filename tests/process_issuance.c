/* Test of issuances through real processes under faults at random times. */
#include <poll.h>
#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "fleet.h"

#define SEED 20261204

static void
wait_ms(int ms)
{
    (void)poll(NULL, 0, ms);
}

static void
pause_process(FleetProcess *process, int ms)
{
    Fleet_Signal(process, SIGSTOP);
    wait_ms(ms);
    Fleet_Signal(process, SIGCONT);
}

/* Injects a fault of a random kind into a random daemon or backend server. */
static void
inject_fault(Fleet *fleet, Rng *rng)
{
    static const char *const faults[] = {
        "{\"wrong_percent\":20}",    "{\"short_body_percent\":20}",
        "{\"close_after_read\":20}", "{\"close_before_read\":20}",
        "{\"shed_percent\":30}",     "{\"error_percent\":20}"};
    static const char *const cleared =
        "{\"wrong_percent\":0,\"short_body_percent\":0,"
        "\"close_after_read\":0,\"close_before_read\":0,\"shed_percent\":0,"
        "\"error_percent\":0}";
    int daemon = (int)Rng_Below(rng, (uint64_t)fleet->daemon_count);
    int server = (int)Rng_Below(rng, (uint64_t)fleet->server_count);
    FleetProcess *process = fleet->daemons[daemon];

    switch (Rng_Below(rng, 5)) {
    case 0:
        pause_process(process, 200 + (int)Rng_Below(rng, 1500));
        return;
    case 1:
        Fleet_End(process, SIGKILL);
        wait_ms((int)Rng_Below(rng, 500));
        Fleet_Restart(fleet, daemon);
        return;
    case 2:
        Fleet_End(process, SIGTERM);
        Fleet_Restart(fleet, daemon);
        return;
    case 3:
        Fleet_Post(fleet, fleet->servers[server]->admin_port, "/v1/faults",
                   faults[Rng_Below(rng, G_N_ELEMENTS(faults))]);
        wait_ms(500);
        Fleet_Post(fleet, fleet->servers[server]->admin_port, "/v1/faults",
                   cleared);
        return;
    default:
        pause_process(fleet->servers[server], 200 + (int)Rng_Below(rng, 800));
        return;
    }
}

/* Guards against running an issuance twice, against a false "not run", and
 * against an answer that is truncated or belongs to another request. Sends
 * 10,000 issuances while daemons are killed, paused and restarted and backend
 * servers are paused or answer wrongly. */
static void
test_random_faults(void)
{
    static const char *const arguments[] = {"--issue-path=/issue/7",
                                            "--issuances=100",
                                            "--tokens",
                                            "--count=10000",
                                            "--rate=200",
                                            "--duration=100",
                                            "--connections=16",
                                            "--repeats=8",
                                            "--timeout-ms=6000",
                                            NULL};
    Fleet *fleet = Fleet_Create();
    FleetProcess *caller;
    json_t *summary;
    Rng rng;

    Rng_Seed(&rng, SEED);
    for (int i = 0; i < 4; i++) {
        Fleet_AddDaemon(fleet, NULL);
        Fleet_AddServer(fleet, i, &(FleetServer_desc){.service_ms = 5});
    }
    Fleet_ApplyDefault(fleet, 4);
    Fleet_AwaitReady(fleet);
    caller = Fleet_StartCaller(fleet, TRUE, arguments);
    while (Fleet_IsCallerRunning(caller)) {
        wait_ms(300);
        inject_fault(fleet, &rng);
    }
    summary = Fleet_AwaitCaller(caller);
    g_assert_cmpint(Fleet_Number(summary, "sent"), ==, 10000);
    g_assert_cmpint(Fleet_Number(summary, "wrong"), ==, 0);
    g_assert_true(json_is_true(
        json_object_get(json_object_get(summary, "executions"), "complete")));
    g_assert_cmpint(Fleet_Number(summary, "executions.duplicated"), ==, 0);
    g_assert_cmpint(Fleet_Number(summary, "executions.ok_but_not_run"), ==, 0);
    g_assert_cmpint(Fleet_Number(summary, "executions.false_not_run"), ==, 0);
    json_decref(summary);
    Fleet_Destroy(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/issuance/random-faults", test_random_faults);
    return g_test_run();
}
