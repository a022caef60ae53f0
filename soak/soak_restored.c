/* Mode "restored" of the soak: the store goes back to a copy some seconds old
 * and gives revisions out again, with changes of the configuration, backend
 * servers that leave and join, kills of daemons and cuts between a host and
 * the store before, during and after it, also twice in a row.
 *
 * Each version of the configuration has a route of its own, "/v<version>/", so
 * a probe of a host shows which version is in force there. Checked, beside the
 * guarantees of all modes:
 *  - a confirmed version, or a newer one, is in force within APPLY_MS of its
 *    acknowledgement; if the copy lacks it, of the operator's rewrite; and of
 *    the end of the outage. This holds for hosts in touch;
 *  - a process does not go back to an older version;
 *  - own entries are in the store ENTRY_MS after it answers again, and entries
 *    of backend servers that left are not, for hosts in touch.
 */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

#define MAX_VERSIONS 1000
#define ENTRY_MS 2000

/* A host is in touch if it has run and reached the store for so long. */
#define TOUCH_MS 4000

/* Time from the start of a process until its backend server has announced
 * itself. */
#define START_MS 1500

/* Time in which a process may still handle requests by the version before. */
#define ROLLBACK_MS 250

/* Time for the hosts to read a version before the outage begins. One that no
 * host has read is lost with the restoration. */
#define READ_MS 300

#define PROBE_US 15000
#define OLDER_VERSIONS 4 /* that are probed */

typedef struct Restored Restored;

typedef struct RestoredHost {
    Restored *restored;
    int number;
    pthread_t prober;
    atomic_uint incarnation;
    _Atomic ClockMs touch_since; /* CLOCK_NEVER while cut or not running */
    gboolean cut;
    gboolean left;        /* the backend server */
    ClockMs server_since; /* of its last leave or join */
    unsigned seen_incarnation;
    unsigned served; /* newest version seen in force in this incarnation */
    ClockMs served_at;
} RestoredHost;

struct Restored {
    Soak *soak;
    RestoredHost hosts[SITE_MAX_HOSTS];
    atomic_bool ending;
    atomic_uint newest;  /* acknowledged */
    atomic_uint written; /* or being written */
    /* time by which the version or a newer one is in force, or CLOCK_NEVER */
    _Atomic ClockMs due[MAX_VERSIONS];
    unsigned saved; /* version of the copy */
};

static void
report(RestoredHost *host, const char *what, const char *id, unsigned version,
       ClockMs sent)
{
    Restored *restored = host->restored;
    ClockMs touch = atomic_load(&host->touch_since);
    char *details = g_strdup_printf(
        "host=%d version=%u newest=%u served=%u "
        "sent_after_due_ms=%" G_GINT64_FORMAT " in_touch_ms=%" G_GINT64_FORMAT,
        host->number, version, atomic_load(&restored->newest), host->served,
        sent - atomic_load(&restored->due[version]),
        touch == CLOCK_NEVER ? -1 : sent - touch);

    Soak_ReportViolation(restored->soak, what, id, details);
    g_free(details);
}

/* Whether the version or a newer one has to be in force on the host. */
static gboolean
is_due(RestoredHost *host, unsigned version, ClockMs sent)
{
    ClockMs touch = atomic_load(&host->touch_since);
    ClockMs due = atomic_load(&host->restored->due[version]);

    return touch != CLOCK_NEVER && due != CLOCK_NEVER && sent > due &&
           sent > touch + TOUCH_MS;
}

static void
probe(RestoredHost *host, unsigned version)
{
    Restored *restored = host->restored;
    unsigned incarnation = atomic_load(&host->incarnation);
    ClockMs sent = Clock_Now();
    char *path = g_strdup_printf("/v%u/1", version);
    char id[SITE_ID_BYTES];
    SiteReply reply = Site_RequestAs(restored->soak->site, host->number, "GET",
                                     path, NULL, id);
    gboolean is_newest = atomic_load(&restored->written) == version;

    g_free(path);
    if (atomic_load(&host->incarnation) != incarnation) {
        return;
    }
    if (host->seen_incarnation != incarnation) {
        host->seen_incarnation = incarnation;
        host->served = 0;
    }
    if (reply.status == 404 && is_newest) {
        if (host->served == version) {
            report(host, "a process went back to an older version", id,
                   version, sent);
        }
        else if (is_due(host, version, sent)) {
            report(host, "a version is not in force in time", id, version,
                   sent);
        }
    }
    if (reply.status != 200) {
        return;
    }
    if (host->served > version && sent > host->served_at + ROLLBACK_MS) {
        report(host, "a process went back to an older version", id, version,
               sent);
    }
    else if (!is_newest && is_due(host, version + 1, sent)) {
        report(host, "a dropped route is still served", id, version, sent);
    }
    if (version > host->served) {
        host->served = version;
        host->served_at = Clock_Now();
    }
}

static void *
probe_host(void *context)
{
    RestoredHost *host = context;
    Rng rng;

    Rng_Seed(&rng, (uint64_t)host->number);
    while (!atomic_load(&host->restored->ending)) {
        unsigned newest = atomic_load(&host->restored->newest);
        unsigned older = 1 + (unsigned)Rng_Below(&rng, OLDER_VERSIONS);

        probe(host, newest);
        if (older < newest) {
            probe(host, newest - older);
        }
        g_usleep(PROBE_US);
    }
    return NULL;
}

static void
note_version(Restored *restored)
{
    ClockMs due = Clock_Now() + APPLY_MS;

    for (unsigned v = 1; v <= restored->soak->version; v++) {
        if (atomic_load(&restored->due[v]) == CLOCK_NEVER) {
            atomic_store(&restored->due[v], due);
        }
    }
    atomic_store(&restored->newest, restored->soak->version);
}

static void
change_version(Restored *restored)
{
    Soak *soak = restored->soak;

    if (soak->version + 2 >= MAX_VERSIONS) {
        return;
    }
    atomic_store(&restored->written, soak->version + 1);
    if (Rng_Below(&soak->rng, 2) == 0) {
        Soak_ChangeKey(soak);
    }
    else {
        Soak_Configure(soak);
    }
    note_version(restored);
}

/* The operator writes the newest version again. */
static void
rewrite_version(Restored *restored)
{
    restored->soak->version--;
    Soak_Configure(restored->soak);
    note_version(restored);
}

static void
kill_host(Restored *restored, RestoredHost *host)
{
    Site *site = restored->soak->site;

    atomic_store(&host->touch_since, CLOCK_NEVER);
    atomic_fetch_add(&host->incarnation, 1);
    Site_Signal(site, host->number, SIGKILL);
    g_assert_true(Site_AwaitExit(site, host->number, 2000));
    g_usleep((gulong)Rng_Below(&restored->soak->rng, 300000));
    Site_Restart(site, host->number);
    if (!host->cut) {
        atomic_store(&host->touch_since, Clock_Now());
    }
}

static void
set_cut(Restored *restored, RestoredHost *host, gboolean cut)
{
    Site_CutStore(restored->soak->site, host->number, cut);
    host->cut = cut;
    atomic_store(&host->touch_since, cut ? CLOCK_NEVER : Clock_Now());
}

/* At least two backend servers stay. */
static void
change_server(Restored *restored, RestoredHost *host)
{
    Soak *soak = restored->soak;
    int left = 0;

    for (int i = 0; i < soak->hosts; i++) {
        left += restored->hosts[i].left;
    }
    if (host->left) {
        Site_Rejoin(soak->site, host->number);
    }
    else if (left + 2 < soak->hosts) {
        Site_Drain(soak->site, host->number);
    }
    else {
        return;
    }
    host->left = !host->left;
    host->server_since = Clock_Now();
}

static void
act(Restored *restored)
{
    Rng *rng = &restored->soak->rng;
    RestoredHost *host =
        &restored->hosts[Rng_Below(rng, (uint64_t)restored->soak->hosts)];
    int kind = (int)Rng_Below(rng, 10);

    printf("%" G_GINT64_FORMAT " action=%d host=%d version=%u\n",
           Clock_WallMs(), kind, host->number, restored->soak->version);
    if (kind < 5) {
        change_version(restored);
    }
    else if (kind < 7) {
        change_server(restored, host);
    }
    else if (kind < 9) {
        set_cut(restored, host, !host->cut);
    }
    else {
        kill_host(restored, host);
    }
}

/* Acts a random number of times, `most` at most. */
static void
act_some(Restored *restored, int most, ClockMs max_pause_ms)
{
    Rng *rng = &restored->soak->rng;
    int count = (int)Rng_Below(rng, (uint64_t)most + 1);

    for (int i = 0; i < count; i++) {
        act(restored);
        g_usleep((gulong)Rng_Below(rng, (uint64_t)max_pause_ms * 1000));
    }
}

static void
check_entries(Restored *restored, ClockMs outage)
{
    Soak *soak = restored->soak;

    for (int i = 0; i < soak->hosts; i++) {
        RestoredHost *host = &restored->hosts[i];
        gboolean found = Site_HasEntry(soak->site, i);
        char *details;

        if (atomic_load(&host->touch_since) > outage - START_MS ||
            host->server_since > outage - APPLY_MS || found == !host->left) {
            continue;
        }
        details = g_strdup_printf("host=%d", i);
        Soak_ReportViolation(soak,
                             host->left ? "the entry of a backend server that "
                                          "left is in the store"
                                        : "an entry is not in the store",
                             "-", details);
        g_free(details);
    }
}

/* Restores the store from the last copy. Returns the time at which it answers
 * again. */
static ClockMs
restore(Restored *restored)
{
    Soak *soak = restored->soak;
    ObjectServer *store = Site_Store(soak->site);
    ClockMs begin = Clock_Now();
    ClockMs back;

    ObjectServer_SetFault(store, OBJECT_FAULT_REFUSE);
    for (unsigned v = 1; v <= soak->version; v++) {
        if (v > restored->saved || atomic_load(&restored->due[v]) > begin) {
            atomic_store(&restored->due[v], CLOCK_NEVER);
        }
    }
    ObjectServer_Restore(store);
    printf("%" G_GINT64_FORMAT " restored version=%u saved=%u\n",
           Clock_WallMs(), soak->version, restored->saved);
    g_usleep((gulong)Rng_Below(&soak->rng, 1200000));
    act_some(restored, 2, 200);
    back = Clock_Now();
    ObjectServer_SetFault(store, OBJECT_FAULT_NONE);
    for (unsigned v = 1; v <= soak->version; v++) {
        if (atomic_load(&restored->due[v]) > begin &&
            atomic_load(&restored->due[v]) != CLOCK_NEVER) {
            atomic_store(&restored->due[v], back + APPLY_MS);
        }
    }
    return back;
}

static void
sleep_until(ClockMs moment)
{
    while (Clock_Now() < moment) {
        g_usleep(5000);
    }
}

static void
run_cycle(Restored *restored)
{
    Soak *soak = restored->soak;
    gboolean is_twice = Rng_Below(&soak->rng, 3) == 0;
    ClockMs begin;
    ClockMs back;
    int changes;

    ObjectServer_Save(Site_Store(soak->site));
    restored->saved = soak->version;
    changes = 2 + (int)Rng_Below(&soak->rng, 5);
    for (int i = 0; i < changes; i++) {
        change_version(restored);
        g_usleep((gulong)Rng_Below(&soak->rng, 400000));
    }
    act_some(restored, 3, 800);
    g_usleep(READ_MS * 1000);
    begin = Clock_Now();
    back = restore(restored);
    if (is_twice) {
        act_some(restored, 2, 500);
        g_usleep(READ_MS * 1000);
        back = restore(restored);
    }
    g_usleep((gulong)Rng_Below(&soak->rng, 800000));
    rewrite_version(restored);
    act_some(restored, 2, 400);
    change_version(restored);
    sleep_until(back + ENTRY_MS);
    check_entries(restored, begin);
    g_usleep((APPLY_MS + 500) * 1000);
}

void
Restored_Run(Soak *soak)
{
    Restored *restored = g_new0(Restored, 1);

    restored->soak = soak;
    for (unsigned v = 0; v < MAX_VERSIONS; v++) {
        atomic_store(&restored->due[v], CLOCK_NEVER);
    }
    atomic_store(&restored->written, soak->version);
    note_version(restored);
    for (int i = 0; i < soak->hosts; i++) {
        restored->hosts[i].restored = restored;
        restored->hosts[i].number = i;
        pthread_create(&restored->hosts[i].prober, NULL, probe_host,
                       &restored->hosts[i]);
    }
    while (Clock_Now() < soak->end) {
        run_cycle(restored);
    }
    for (int i = 0; i < soak->hosts; i++) {
        if (restored->hosts[i].cut) {
            set_cut(restored, &restored->hosts[i], FALSE);
        }
        if (restored->hosts[i].left) {
            change_server(restored, &restored->hosts[i]);
        }
    }
    g_usleep((TOUCH_MS + 500) * 1000);
    atomic_store(&restored->ending, TRUE);
    for (int i = 0; i < soak->hosts; i++) {
        pthread_join(restored->hosts[i].prober, NULL);
    }
    g_free(restored);
}
