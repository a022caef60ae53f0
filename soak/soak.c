/* Soak test: runs daemons in mode "platform" as real processes under random
 * faults, and checks their guarantees from what callers and backend servers
 * observe.
 *
 *   soak --seed=N [--seconds=S] [--hosts=H]
 *
 * The seed determines the faults and their times; the timing of the processes
 * is not reproducible. On a violation the program prints the guarantee, keeps
 * the logs and exits with 1.
 *
 * Guarantees checked:
 *  - a non-idempotent request runs at most once;
 *  - a request answered 429 or 503 has not run and does not run later;
 *  - a success is the complete answer to its request, signed by its server;
 *  - a request sent later than REVOCATION_MS after the withdrawal of its key
 *    is not served;
 *  - a backend server receives no request later than DRAIN_MS after it
 *    announced a drain;
 *  - a graceful stop aborts no request and ends within the grace period;
 *  - after the faults every host serves again within RECOVERY_MS.
 */
#include <argp.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "site.h"

#define REVOCATION_MS 5000
#define DRAIN_MS 2500
#define GRACE_MS 6000
#define RECOVERY_MS 15000

/* Time allowed for requests that were in flight at the end of DRAIN_MS. */
#define IN_FLIGHT_MS 300

#define CALLERS 6
#define KEYS 4
#define MAX_REFUSED 20000

typedef struct Soak {
    Site *site;
    Rng rng;
    int hosts;
    ClockMs end;
    atomic_bool stopping;
    atomic_int served;
    atomic_int refused;
    atomic_int failed;
    atomic_int violations;
    pthread_mutex_t lock;
    GPtrArray *refused_ids;
    unsigned version;
    gboolean configured[KEYS];       /* the key is in the configuration */
    _Atomic ClockMs withdrawn[KEYS]; /* time, or CLOCK_NEVER */
    gboolean stopped[SITE_MAX_HOSTS];
    /* time of SIGTERM, 0 if none */
    _Atomic ClockMs stopping_since[SITE_MAX_HOSTS];
} Soak;

static const char *const keys[KEYS] = {"key-a", "key-b", "key-c", "key-d"};

static void
report_violation(Soak *soak, const char *what, const char *id)
{
    fprintf(stderr, "broken: %s request=%s\n", what, id);
    atomic_fetch_add(&soak->violations, 1);
}

static void
configure(Soak *soak)
{
    GString *text = g_string_new("[");

    for (int i = 0; i < KEYS; i++) {
        if (soak->configured[i]) {
            g_string_append_printf(text, "%s\"%s\"", text->len > 1 ? "," : "",
                                   keys[i]);
        }
    }
    g_string_append(text, "]");
    Site_Configure(soak->site, ++soak->version, text->str, 0);
    g_string_free(text, TRUE);
}

/* Withdraws a random key or restores it. The first key is never withdrawn. */
static void
change_key(Soak *soak)
{
    int key = 1 + (int)Rng_Below(&soak->rng, KEYS - 1);

    soak->configured[key] = !soak->configured[key];
    if (soak->configured[key]) {
        atomic_store(&soak->withdrawn[key], CLOCK_NEVER);
    }
    configure(soak);
    if (!soak->configured[key]) {
        atomic_store(&soak->withdrawn[key], Clock_Now());
    }
}

static void
check_reply(Soak *soak, const SiteReply *reply, const char *id, int key,
            ClockMs sent)
{
    ClockMs withdrawn = atomic_load(&soak->withdrawn[key]);

    if (reply->status == 200) {
        atomic_fetch_add(&soak->served, 1);
        if (!reply->is_signed || !reply->matches) {
            report_violation(soak, "a success does not belong to its request",
                             id);
        }
        if (withdrawn != CLOCK_NEVER && sent > withdrawn + REVOCATION_MS) {
            report_violation(soak, "a withdrawn key was served", id);
        }
    }
    else if (reply->status == 503 || reply->status == 429) {
        atomic_fetch_add(&soak->refused, 1);
        pthread_mutex_lock(&soak->lock);
        if (soak->refused_ids->len < MAX_REFUSED) {
            g_ptr_array_add(soak->refused_ids, g_strdup(id));
        }
        pthread_mutex_unlock(&soak->lock);
    }
    else {
        atomic_fetch_add(&soak->failed, 1);
    }
}

typedef struct Caller {
    Soak *soak;
    int number;
    pthread_t thread;
} Caller;

/* Sends requests to random hosts, also to a host that is stopping, and keeps
 * connections. A request that fails during a graceful stop counts as aborted
 * only if a new connection was opened for it. */
static void *
call_hosts(void *context)
{
    Caller *caller = context;
    Soak *soak = caller->soak;
    Rng rng;

    Rng_Seed(&rng, (uint64_t)caller->number + 77);
    while (!atomic_load(&soak->stopping)) {
        int host = (int)Rng_Below(&rng, (uint64_t)soak->hosts);
        int key = (int)Rng_Below(&rng, KEYS);
        gboolean non_idempotent = Rng_Below(&rng, 2) == 0;
        ClockMs sent = Clock_Now();
        ClockMs stopping_since = atomic_load(&soak->stopping_since[host]);
        char id[SITE_ID_BYTES];
        SiteReply reply = Site_RequestAs(
            soak->site, host, non_idempotent ? "POST" : "GET",
            non_idempotent ? "/issue/1" : "/read/1", keys[key], id);

        check_reply(soak, &reply, id, key, sent);
        if (stopping_since > 0 && sent < stopping_since + 2000 &&
            reply.result != RESULT_OK &&
            reply.result != RESULT_CONNECT_FAILED &&
            !reply.may_reuse_connection) {
            report_violation(soak, "a graceful stop aborted a request", id);
        }
        g_usleep(20000);
    }
    return NULL;
}

static void
await_exit(Soak *soak, int host, ClockMs milliseconds, const char *what)
{
    if (!Site_AwaitExit(soak->site, host, milliseconds)) {
        report_violation(soak, what, "-");
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
    change_key(soak);
    g_usleep((gulong)Rng_Below(&soak->rng, 2000000));
    ObjectServer_SetFault(store, OBJECT_FAULT_REFUSE);
    ObjectServer_Restore(store);
    g_usleep((gulong)Rng_Below(&soak->rng, 1500000));
    ObjectServer_SetFault(store, OBJECT_FAULT_NONE);
    g_usleep((gulong)Rng_Below(&soak->rng, 1500000));
    soak->version--;
    configure(soak);
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
        change_key(soak);
        break;
    case 6:
        Site_SetFailing(soak->site, host, 90);
        g_usleep((gulong)Rng_Below(&soak->rng, 2000000));
        Site_SetFailing(soak->site, host, 0);
        break;
    case 7:
        Site_CutStore(soak->site, host, TRUE);
        change_key(soak);
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

/* Drains the backend server of the last host; the others keep running. */
static void
check_drain(Soak *soak)
{
    unsigned runs;

    Site_Drain(soak->site, soak->hosts - 1);
    g_usleep((DRAIN_MS + IN_FLIGHT_MS) * 1000);
    runs = Site_Runs(soak->site, soak->hosts - 1);
    g_usleep(1500000);
    if (Site_Runs(soak->site, soak->hosts - 1) != runs) {
        report_violation(soak, "a draining backend server received work", "-");
    }
}

static void
check_recovery(Soak *soak)
{
    ClockMs end = Clock_Now() + RECOVERY_MS;

    for (int host = 0; host < soak->hosts; host++) {
        SiteReply reply = {0};

        while (reply.status != 200 && Clock_Now() < end) {
            reply = Site_Request(soak->site, host, "GET", "/read/1", keys[0]);
            g_usleep(20000);
        }
        if (reply.status != 200) {
            report_violation(soak, "a host does not serve after the faults",
                             "-");
        }
    }
}

/* Runs after all callers have ended, so that late runs of refused requests are
 * found too. */
static void
check_refusals(Soak *soak)
{
    for (guint i = 0; i < soak->refused_ids->len; i++) {
        const char *id = g_ptr_array_index(soak->refused_ids, i);

        if (Site_HasRun(soak->site, id)) {
            report_violation(soak, "a refused request has run", id);
        }
    }
    if (Site_MaxRunsPerId(soak->site) > 1) {
        report_violation(soak, "a non-idempotent request ran more than once",
                         "-");
    }
}

static void
run_soak(Soak *soak, int seconds)
{
    Caller callers[CALLERS];

    for (int i = 0; i < CALLERS; i++) {
        callers[i] = (Caller){.soak = soak, .number = i};
        pthread_create(&callers[i].thread, NULL, call_hosts, &callers[i]);
    }
    soak->end = Clock_Now() + (ClockMs)seconds * 1000;
    while (Clock_Now() < soak->end) {
        inject_fault(soak);
    }
    check_recovery(soak);
    check_drain(soak);
    atomic_store(&soak->stopping, TRUE);
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i].thread, NULL);
    }
    check_refusals(soak);
}

static void
start_site(Soak *soak)
{
    static const SiteHost_desc descs[] = {
        {.data_centre = "n1"},
        {.data_centre = "n1"},
        {.data_centre = "n2"},
        {.data_centre = "s1", .region = "sur"}};

    soak->site = Site_Create();
    soak->refused_ids = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_init(&soak->lock, NULL);
    for (int i = 0; i < KEYS; i++) {
        soak->configured[i] = TRUE;
        atomic_store(&soak->withdrawn[i], CLOCK_NEVER);
    }
    configure(soak);
    for (int i = 0; i < soak->hosts; i++) {
        int host =
            Site_AddHost(soak->site, &descs[(size_t)i % G_N_ELEMENTS(descs)]);

        Site_SetWorkMs(soak->site, host, 20);
    }
    Site_AwaitReady(soak->site);
}

typedef struct Options {
    uint64_t seed;
    int seconds;
    int hosts;
} Options;

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    Options *options = state->input;

    switch (key) {
    case 's':
        options->seed = g_ascii_strtoull(argument, NULL, 10);
        return 0;
    case 't':
        options->seconds = atoi(argument);
        return 0;
    case 'n':
        options->hosts = CLAMP(atoi(argument), 2, SITE_MAX_HOSTS);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option argp_options[] = {
        {"seed", 's', "N", 0, "seed of the faults", 0},
        {"seconds", 't', "S", 0, "duration of the faults in seconds (20)", 0},
        {"hosts", 'n', "H", 0, "number of daemons (5)", 0},
        {0}};
    static const struct argp argp = {
        argp_options,
        parse_option,
        NULL,
        "Runs daemons under random faults and checks their guarantees.",
        0,
        0,
        0};
    Options options = {.seed = 1, .seconds = 20, .hosts = 5};
    Soak soak = {0};

    argp_parse(&argp, argc, argv, 0, NULL, &options);
    Rng_Seed(&soak.rng, options.seed);
    soak.hosts = options.hosts;
    start_site(&soak);
    run_soak(&soak, options.seconds);
    printf("seed=%" G_GUINT64_FORMAT
           " served=%d refused=%d failed=%d broken=%d\n",
           options.seed, soak.served, soak.refused, soak.failed,
           soak.violations);
    if (soak.violations > 0) {
        Site_KeepFiles(soak.site);
    }
    Site_Destroy(soak.site);
    g_ptr_array_unref(soak.refused_ids);
    return soak.violations > 0 ? 1 : 0;
}
