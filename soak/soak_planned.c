/* Mode "planned" of the soak: stops, restarts, reloads, configurations,
 * releases and removals of backend servers, in series and overlapping, up to
 * all hosts within one grace period, under a load near the capacity of the
 * backend servers. Callers keep to a host until its process is gone.
 *
 * Nothing here excuses a lost request. Checked, beside the guarantees of all
 * modes:
 *  - a request that was read whole ends with a complete answer; it is not cut
 *    while its backend server is at work, unless it has reached its timeout,
 *    or was sent early in the stop and is at work in its last sixth;
 *  - so no host passes on, and no owner takes up, what cannot end in time;
 *  - a process ends within the grace period.
 */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

#define POLL_US 5000

/* A process is left to start for so long before its next stop. */
#define MIN_UP_MS 1500

/* Maximum time from the end of a process to the start of the next one. */
#define MAX_DOWN_MS 800

typedef enum HostState { HOST_UP, HOST_STOPPING, HOST_DOWN } HostState;

typedef struct PlannedHost {
    HostState state;
    ClockMs since;     /* of the state */
    ClockMs stop_at;   /* CLOCK_NEVER if none is planned */
    ClockMs down_ms;   /* after the end of the process */
    ClockMs rejoin_at; /* of the backend server; CLOCK_NEVER: it has not left
                        */
} PlannedHost;

typedef struct Planned {
    Soak *soak;
    PlannedHost hosts[SITE_MAX_HOSTS];
    int left; /* backend servers */
} Planned;

static void
await_stop(Planned *planned, int host)
{
    PlannedHost *self = &planned->hosts[host];
    Soak *soak = planned->soak;

    if (Clock_Now() >= self->since + GRACE_MS &&
        !Site_AwaitExit(soak->site, host, 1)) {
        Soak_ReportViolation(soak, "a stop took longer than the grace period",
                             "-", NULL);
        Site_Signal(soak->site, host, SIGKILL);
        g_assert_true(Site_AwaitExit(soak->site, host, 2000));
    }
    else if (!Site_AwaitExit(soak->site, host, 1)) {
        return;
    }
    self->state = HOST_DOWN;
    self->since = Clock_Now();
}

static void
advance_host(Planned *planned, int host)
{
    PlannedHost *self = &planned->hosts[host];
    Soak *soak = planned->soak;
    ClockMs now = Clock_Now();

    if (self->state == HOST_UP && now >= self->stop_at &&
        now >= self->since + MIN_UP_MS) {
        self->state = HOST_STOPPING;
        self->since = now;
        self->stop_at = CLOCK_NEVER;
        atomic_store(&soak->stopping_since[host], now);
        Site_Signal(soak->site, host, SIGTERM);
    }
    else if (self->state == HOST_STOPPING) {
        await_stop(planned, host);
    }
    else if (self->state == HOST_DOWN && now >= self->since + self->down_ms) {
        Site_Restart(soak->site, host);
        self->state = HOST_UP;
        self->since = Clock_Now();
    }
    if (now >= self->rejoin_at && self->state == HOST_UP) {
        Site_Rejoin(soak->site, host);
        self->rejoin_at = CLOCK_NEVER;
        planned->left--;
    }
}

/* Does what is due, for a time. */
static void
advance(Planned *planned, ClockMs milliseconds)
{
    ClockMs end = Clock_Now() + milliseconds;

    do {
        for (int host = 0; host < planned->soak->hosts; host++) {
            advance_host(planned, host);
        }
        g_usleep(POLL_US);
    } while (Clock_Now() < end);
}

/* Plans stops of `count` hosts, beginning with `first`. */
static void
plan_stops(Planned *planned, int first, int count, ClockMs apart_ms)
{
    Rng *rng = &planned->soak->rng;

    for (int i = 0; i < count; i++) {
        PlannedHost *host =
            &planned->hosts[(first + i) % planned->soak->hosts];

        host->stop_at = MIN(host->stop_at, Clock_Now() + i * apart_ms);
        host->down_ms = (ClockMs)Rng_Below(rng, MAX_DOWN_MS);
    }
}

/* Releases the backend server of a host, which drains and starts anew, or
 * removes it for a time. At least half of the servers stay. */
static void
replace_server(Planned *planned, int host, gboolean is_release)
{
    Soak *soak = planned->soak;
    PlannedHost *self = &planned->hosts[host];
    ClockMs away_ms = 800 + (ClockMs)Rng_Below(&soak->rng, 4000);

    if (self->rejoin_at != CLOCK_NEVER || self->state != HOST_UP ||
        planned->left >= soak->hosts / 2) {
        return;
    }
    if (is_release) {
        Site_Drain(soak->site, host);
    }
    else {
        Site_Deregister(soak->site, host);
    }
    self->rejoin_at = Clock_Now() + away_ms;
    planned->left++;
}

static void
do_work(Planned *planned)
{
    Soak *soak = planned->soak;
    Rng *rng = &soak->rng;
    int host = (int)Rng_Below(rng, (uint64_t)soak->hosts);
    int kind = (int)Rng_Below(rng, 8);
    ClockMs roll_ms = 300 + (ClockMs)Rng_Below(rng, 2500);
    ClockMs herd_ms = (ClockMs)Rng_Below(rng, 1000);
    ClockMs pause_ms = (ClockMs)Rng_Below(rng, 1200);

    printf("%" G_GINT64_FORMAT " work=%d host=%d\n", Clock_WallMs(), kind,
           host);
    switch (kind) {
    case 0:
    case 1:
        plan_stops(planned, host, 1, 0);
        break;
    case 2:
        plan_stops(planned, host, soak->hosts, roll_ms);
        break;
    case 3:
        plan_stops(planned, host, soak->hosts, herd_ms);
        break;
    case 4:
        if (planned->hosts[host].state == HOST_UP) {
            Site_Signal(soak->site, host, SIGHUP);
        }
        break;
    case 5:
        Soak_ChangeKey(soak);
        break;
    default:
        replace_server(planned, host, kind == 6);
        break;
    }
    advance(planned, pause_ms * (kind < 4 ? 4 : 1));
}

static gboolean
is_busy(const Planned *planned)
{
    gboolean busy = planned->left > 0;

    for (int host = 0; host < planned->soak->hosts; host++) {
        busy |= planned->hosts[host].state != HOST_UP ||
                planned->hosts[host].stop_at != CLOCK_NEVER;
    }
    return busy;
}

void
Planned_Run(Soak *soak)
{
    Planned planned = {.soak = soak};

    for (int host = 0; host < soak->hosts; host++) {
        planned.hosts[host].stop_at = CLOCK_NEVER;
        planned.hosts[host].rejoin_at = CLOCK_NEVER;
    }
    while (Clock_Now() < soak->end) {
        do_work(&planned);
    }
    while (is_busy(&planned)) {
        advance(&planned, 100);
    }
}
