/* Mode "mixed" of the soak: faults of all kinds, one after the other. */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

static void
await_exit(Soak *soak, int host, ClockMs milliseconds, const char *what)
{
    if (!Site_AwaitExit(soak->site, host, milliseconds)) {
        Soak_ReportViolation(soak, what, "-", NULL);
        Site_Signal(soak->site, host, SIGKILL);
        g_assert_true(Site_AwaitExit(soak->site, host, 2000));
    }
}

static void
kill_host(Soak *soak, int host)
{
    Site_Signal(soak->site, host, SIGKILL);
    await_exit(soak, host, 2000, "a killed process did not exit");
    g_usleep((gulong)Rng_Below(&soak->rng, 600000));
    Site_Restart(soak->site, host);
}

static void
stop_host(Soak *soak, int host)
{
    atomic_store(&soak->stopping_since[host], Clock_Now());
    Site_Signal(soak->site, host, SIGTERM);
    await_exit(soak, host, GRACE_MS,
               "a stop took longer than the grace period");
    atomic_store(&soak->stopping_since[host], 0);
    Site_Restart(soak->site, host);
}

static void
pause_host(Soak *soak, int host)
{
    Site_Signal(soak->site, host, SIGSTOP);
    g_usleep(500000 + (gulong)Rng_Below(&soak->rng, 3000000));
    Site_Signal(soak->site, host, SIGCONT);
}

static void
fail_store(Soak *soak)
{
    static const ObjectFault faults[] = {
        OBJECT_FAULT_REFUSE, OBJECT_FAULT_SILENT, OBJECT_FAULT_LOSE_ANSWERS};

    ObjectServer_SetFault(Site_Store(soak->site),
                          faults[Rng_Below(&soak->rng, 3)]);
    g_usleep((gulong)Rng_Below(&soak->rng, 4000000));
    ObjectServer_SetFault(Site_Store(soak->site), OBJECT_FAULT_NONE);
}

/* Restores the store from a copy that lacks the last change of a key. It holds
 * the older configuration until the operator writes the newest again. */
static void
restore_store(Soak *soak)
{
    ObjectServer *store = Site_Store(soak->site);

    ObjectServer_Save(store);
    Soak_ChangeKey(soak);
    g_usleep((gulong)Rng_Below(&soak->rng, 2000000));
    ObjectServer_SetFault(store, OBJECT_FAULT_REFUSE);
    ObjectServer_Restore(store);
    g_usleep((gulong)Rng_Below(&soak->rng, 1500000));
    ObjectServer_SetFault(store, OBJECT_FAULT_NONE);
    g_usleep((gulong)Rng_Below(&soak->rng, 1500000));
    soak->version--;
    Soak_Configure(soak);
}

/* Injects a random fault, waits for its end if it has a duration, and then for
 * up to 0.7 s. */
static void
inject_fault(Soak *soak)
{
    int host = (int)Rng_Below(&soak->rng, (uint64_t)soak->hosts);
    int kind = (int)Rng_Below(&soak->rng, 10);

    printf("%" G_GINT64_FORMAT " fault=%d host=%d\n", Clock_Now(), kind, host);
    switch (kind) {
    case 0:
        kill_host(soak, host);
        break;
    case 1:
        stop_host(soak, host);
        break;
    case 2:
        pause_host(soak, host);
        break;
    case 3:
        fail_store(soak);
        break;
    case 4:
        ObjectServer_DropHistory(Site_Store(soak->site));
        break;
    case 5:
        Soak_ChangeKey(soak);
        break;
    case 6:
        Site_SetFailing(soak->site, host, 90);
        g_usleep((gulong)Rng_Below(&soak->rng, 2000000));
        Site_SetFailing(soak->site, host, 0);
        break;
    case 7:
        Site_CutStore(soak->site, host, TRUE);
        Soak_ChangeKey(soak);
        g_usleep((gulong)Rng_Below(&soak->rng, 7000000));
        Site_CutStore(soak->site, host, FALSE);
        break;
    case 8:
        restore_store(soak);
        break;
    default:
        Site_Signal(soak->site, host, SIGHUP);
        break;
    }
    g_usleep((gulong)Rng_Below(&soak->rng, 700000));
}

void
Mixed_Run(Soak *soak)
{
    while (Clock_Now() < soak->end) {
        inject_fault(soak);
    }
}
