/* Soak: state shared by the modes of the fault soak, its callers and checks.
 *
 * Use: main() starts a site, the callers of a mode and its schedule, then runs
 * the checks. A mode draws its schedule from `rng` alone, so that the seed
 * determines it, and reports what it finds with Soak_ReportViolation().
 *
 * Errors: a violation is printed and counted; the soak goes on. Limits:
 * SITE_MAX_HOSTS hosts.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "base/rng.h"
#include "endless_server.h"
#include "site.h"

#define REVOCATION_MS 5000
#define DRAIN_MS 2500
#define APPLY_MS 2500
#define GRACE_MS 6000
#define RECOVERY_MS 15000

/* Time allowed for requests that were in flight at the end of DRAIN_MS. */
#define IN_FLIGHT_MS 300

/* With large configurations: 1,400 routes are some 330 kB, and each host gets
 * them from the store within 0.5 to 1 s. */
#define MORE_ROUTES 1400
#define MIN_LINK_BYTES_PER_S 350000

#define KEYS 4

typedef struct Soak {
    Site *site;
    Rng rng;
    uint64_t seed;
    int hosts;              /* without that of `endless` */
    EndlessServer *endless; /* NULL: none */
    pthread_t endless_thread;
    ClockMs end; /* of the schedule */
    gboolean has_long_runs;
    gboolean has_cold; /* backend servers become cold */
    pthread_t cold_thread;
    atomic_bool stopping;
    atomic_int served;
    atomic_int refused;
    atomic_int failed;
    atomic_int violations;
    pthread_mutex_t lock;
    GPtrArray *refused_ids;
    unsigned version;
    int more_routes;                 /* in the configuration */
    gboolean has_probe_route;        /* versions have a route of their own */
    gboolean configured[KEYS];       /* the key is in the configuration */
    _Atomic ClockMs withdrawn[KEYS]; /* time, or CLOCK_NEVER */
    /* time of SIGTERM, 0 if none */
    _Atomic ClockMs stopping_since[SITE_MAX_HOSTS];
} Soak;

typedef struct Caller {
    Soak *soak;
    int number;
    pthread_t thread;
} Caller;

/* The first key is never withdrawn. */
extern const char *const soak_keys[KEYS];

/* Prints a violation with details, NULL if there are none. */
void Soak_ReportViolation(Soak *soak, const char *what, const char *id,
                          const char *details);

/* Writes the next version of the configuration. */
void Soak_Configure(Soak *soak);

/* Withdraws a random key or restores it, in a new version. */
void Soak_ChangeKey(Soak *soak);

/* Sends requests to random hosts, also to a host that is stopping, and keeps
 * connections. The context is a Caller, as of all callers. */
void *Callers_CallRandom(void *context);

/* Keeps to one host as long as its process runs, on open connections. */
void *Callers_CallHome(void *context);

/* Reads answers slowly and sends further requests (soak_readers.c). */
void *Readers_Run(void *context);

void Checks_Reply(Soak *soak, const SiteReply *reply, const char *id, int key,
                  ClockMs sent);

/* Checks a request of the route /home/. */
void Checks_Region(Soak *soak, const char *id);

/* Checks a request that was sent to the host while only planned work was done.
 */
void Checks_PlannedReply(Soak *soak, const SiteReply *reply, const char *id,
                         int host, ClockMs sent);
void Checks_Recovery(Soak *soak);

/* Drains the backend server of the last host; the others keep running. */
void Checks_Drain(Soak *soak);

/* To be called after all callers have ended, so that late runs of refused
 * requests are found too. */
void Checks_Refusals(Soak *soak);

/* Writes entries that name no backend server into the store, as another
 * program might, until `stopping`. The context is the Soak. */
void *Writer_Run(void *context);

/* Adds a host whose backend server sends bytes without end for a part of the
 * time, until `stopping`. The context is the Soak. */
void Endless_AddHost(Soak *soak);
void *Endless_Run(void *context);

/* To be called after all callers have ended. */
void Endless_Check(Soak *soak);

/* Run the schedule of a mode until `end`. */
void Mixed_Run(Soak *soak);
void Planned_Run(Soak *soak);
void Restored_Run(Soak *soak);
void Evacuated_Run(Soak *soak);

/* soak_cold.c: settings of the hosts, the injector, and the check at the end.
 */
const char *Cold_Settings(void);
void *Cold_Run(void *context);
void Cold_Check(Soak *soak);

#endif
