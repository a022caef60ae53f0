/* Mode "evacuated" of the soak: one data centre at a time is evacuated, beside
 * a fault of a host or of the store.
 *
 * Checked, beside the guarantees of all modes:
 *  - from BOUND_MS after the object was written, and UNREACHABLE_MS later if a
 *    host was cut off from the store, no request reaches a backend server of
 *    the data centre until the object is removed;
 *  - after that, its backend servers get requests again within RETURN_MS.
 */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

#define KIND "evacuations"
#define BOUND_MS 5000
#define UNREACHABLE_MS 6000
#define RETURN_MS 6000

/* Maximum time for which a host is paused or the store is away. */
#define MAX_FAULT_MS 3000

/* The data centres of the mode; host i is in number i % ZONES. */
#define ZONES 2
static const char *const zones[ZONES] = {"n1", "n2"};

typedef enum Fault {
    FAULT_NONE,
    FAULT_CUT,   /* a host is cut off from the store meanwhile */
    FAULT_PAUSE, /* a host is paused when the object is written */
    FAULT_KILL,
    FAULT_OUTAGE, /* the store is away, and a host is killed then */
    FAULT_HISTORY,
    FAULT_RESTORE, /* the store returns to a copy with the object */
    FAULTS
} Fault;

static unsigned
count_runs(Soak *soak, int zone)
{
    unsigned runs = 0;

    for (int host = zone; host < soak->hosts; host += ZONES) {
        runs += Site_Runs(soak->site, host);
    }
    return runs;
}

static void
sleep_up_to(Soak *soak, uint64_t milliseconds)
{
    g_usleep((gulong)Rng_Below(&soak->rng, milliseconds) * 1000);
}

static void
kill_host(Soak *soak, int host)
{
    Site_Signal(soak->site, host, SIGKILL);
    g_assert_true(Site_AwaitExit(soak->site, host, 2000));
    sleep_up_to(soak, 600);
    Site_Restart(soak->site, host);
}

/* Faults at the time of the write. */
static void
begin_fault(Soak *soak, Fault fault, int host)
{
    if (fault == FAULT_CUT) {
        Site_CutStore(soak->site, host, TRUE);
        sleep_up_to(soak, 1500);
    }
    else if (fault == FAULT_PAUSE) {
        Site_Signal(soak->site, host, SIGSTOP);
    }
}

/* Faults while the evacuation is in force. */
static void
add_fault(Soak *soak, Fault fault, int host)
{
    ObjectServer *store = Site_Store(soak->site);

    if (fault == FAULT_KILL) {
        kill_host(soak, host);
    }
    else if (fault == FAULT_OUTAGE) {
        ObjectServer_SetFault(store, OBJECT_FAULT_SILENT);
        sleep_up_to(soak, MAX_FAULT_MS);
        kill_host(soak, host);
        sleep_up_to(soak, MAX_FAULT_MS);
        ObjectServer_SetFault(store, OBJECT_FAULT_NONE);
    }
    else if (fault == FAULT_HISTORY) {
        ObjectServer_DropHistory(store);
    }
    else if (fault == FAULT_RESTORE) {
        ObjectServer_Save(store);
        sleep_up_to(soak, MAX_FAULT_MS);
        ObjectServer_Restore(store);
    }
    sleep_up_to(soak, MAX_FAULT_MS);
}

static void
evacuate(Soak *soak, Fault fault, int zone, int host)
{
    ObjectServer *store = Site_Store(soak->site);
    ClockMs limit_ms = BOUND_MS + (fault == FAULT_CUT ? UNREACHABLE_MS : 0);
    ClockMs written;
    unsigned runs;

    begin_fault(soak, fault, host);
    (void)ObjectServer_Write(store, KIND, zones[zone], json_object());
    written = Clock_Now();
    if (fault == FAULT_PAUSE) {
        sleep_up_to(soak, MAX_FAULT_MS);
        Site_Signal(soak->site, host, SIGCONT);
    }
    while (Clock_Now() < written + limit_ms) {
        g_usleep(10000);
    }
    runs = count_runs(soak, zone);
    add_fault(soak, fault, host);
    if (count_runs(soak, zone) != runs) {
        Soak_ReportViolation(soak, "an evacuated data centre received work",
                             "-", zones[zone]);
    }
    Site_CutStore(soak->site, host, FALSE);
    (void)ObjectServer_Write(store, KIND, zones[zone], NULL);
    written = Clock_Now();
    runs = count_runs(soak, zone);
    while (count_runs(soak, zone) == runs &&
           Clock_Now() < written + RETURN_MS) {
        g_usleep(10000);
    }
    if (count_runs(soak, zone) == runs) {
        Soak_ReportViolation(soak,
                             "a data centre gets no work after its evacuation",
                             "-", zones[zone]);
    }
}

void
Evacuated_Run(Soak *soak)
{
    while (Clock_Now() < soak->end) {
        Fault fault = (Fault)Rng_Below(&soak->rng, FAULTS);
        int zone = (int)Rng_Below(&soak->rng, ZONES);
        int host = (int)Rng_Below(&soak->rng, (uint64_t)soak->hosts);

        printf("%" G_GINT64_FORMAT " fault=%d host=%d evacuated=%s\n",
               Clock_Now(), (int)fault, host, zones[zone]);
        evacuate(soak, fault, zone, host);
    }
}
