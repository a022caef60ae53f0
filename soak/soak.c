/* Soak test: runs daemons in mode "platform" as real processes under random
 * disruption, and checks their guarantees from what callers and backend
 * servers observe.
 *
 *   soak --seed=N [--mode=MODE] [--seconds=S] [--hosts=H] [--endless]
 *        [--long-runs] [--cold] [--readers]
 *
 * Modes: mixed (faults of all kinds), planned (only planned work, which
 * excuses no lost request), restored (the store goes back to an older copy),
 * evacuated (a data centre at a time is evacuated, beside other faults).
 * With --endless, one more host has a backend server that sends bytes without
 * end (soak_endless.c). With --long-runs, a few requests of mode planned take
 * far longer than the others, so that an estimate by these fails. With --cold,
 * backend servers become cold (soak_cold.c). With --readers, mode planned has
 * callers that read slowly and send on (soak_readers.c).
 *
 * The seed determines the schedule; the timing of the processes is not
 * reproducible. On a violation the program prints the guarantee, keeps the
 * logs and exits with 1. RADISHKNOT_DAEMON names another daemon to be run.
 *
 * Guarantees checked in all modes:
 *  - a non-idempotent request runs at most once;
 *  - a request of a route that is restricted to a region runs only there;
 *  - a request answered 429 or 503 has not run and does not run later;
 *  - a success is the complete answer to its request, signed by its server;
 *  - a request sent later than REVOCATION_MS after the withdrawal of its key
 *    is not served;
 *  - a backend server receives no request later than DRAIN_MS after it
 *    announced a drain;
 *  - a graceful stop aborts no request and ends within the grace period;
 *  - after the faults every host serves again within RECOVERY_MS.
 * soak_planned.c, soak_restored.c and soak_evacuated.c name those of their
 * modes.
 */
#include "soak.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_CALLERS (30 * SITE_MAX_HOSTS + ENDLESS_CALLERS)

/* More callers with an endless backend server, so that many of its answers
 * arrive at once. */
#define ENDLESS_CALLERS 32

/* Of --readers. */
#define READERS_PER_HOST 3

typedef struct Mode {
    const char *name;
    void *(*call)(void *context);
    int callers;          /* in total */
    int callers_per_host; /* added to callers */
    gboolean has_probe_route;
    void (*run)(Soak *soak);
    const char *data_centres[4]; /* of the hosts, in turn */
    const char *settings;        /* of SiteHost_desc */
} Mode;

static const Mode modes[] = {
    {.name = "mixed",
     .call = Callers_CallRandom,
     .callers = 6,
     .run = Mixed_Run,
     .data_centres = {"n1", "n1", "n2", "s1"}},
    {.name = "planned",
     .call = Callers_CallHome,
     .callers_per_host = 30,
     .run = Planned_Run,
     .data_centres = {"n1", "n1", "n1", "n2"}},
    {.name = "restored",
     .call = Callers_CallRandom,
     .callers = 4,
     .has_probe_route = TRUE,
     .run = Restored_Run,
     .data_centres = {"n1", "n1", "n1", "n1"}},
    {.name = "evacuated",
     .call = Callers_CallRandom,
     .callers = 6,
     .run = Evacuated_Run,
     .data_centres = {"n1", "n2", "n1", "n2"},
     .settings = "\"evacuate_ms\":\"5s\","},
};

const char *const soak_keys[KEYS] = {"key-a", "key-b", "key-c", "key-d"};

void
Soak_ReportViolation(Soak *soak, const char *what, const char *id,
                     const char *details)
{
    fprintf(stderr, "broken: %s request=%s\n", what, id);
    if (details != NULL) {
        fprintf(stderr, "details: at=%" G_GINT64_FORMAT " request=%s %s\n",
                Clock_WallMs(), id, details);
    }
    atomic_fetch_add(&soak->violations, 1);
}

void
Soak_Configure(Soak *soak)
{
    GString *text = g_string_new("[");
    char *prefix;

    soak->version++;
    for (int i = 0; i < KEYS; i++) {
        if (soak->configured[i]) {
            g_string_append_printf(text, "%s\"%s\"", text->len > 1 ? "," : "",
                                   soak_keys[i]);
        }
    }
    g_string_append(text, "]");
    prefix = g_strdup_printf("/v%u/", soak->version);
    Site_ConfigureSize(soak->site, soak->version, text->str, 0,
                       soak->has_probe_route ? prefix : NULL,
                       soak->more_routes);
    g_free(prefix);
    g_string_free(text, TRUE);
}

void
Soak_ChangeKey(Soak *soak)
{
    int key = 1 + (int)Rng_Below(&soak->rng, KEYS - 1);

    soak->configured[key] = !soak->configured[key];
    if (soak->configured[key]) {
        atomic_store(&soak->withdrawn[key], CLOCK_NEVER);
    }
    Soak_Configure(soak);
    if (!soak->configured[key]) {
        atomic_store(&soak->withdrawn[key], Clock_Now());
    }
}

static void
run_soak(Soak *soak, const Mode *mode, int seconds, int reader_count)
{
    static Caller callers[MAX_CALLERS];
    static Caller readers[READERS_PER_HOST * SITE_MAX_HOSTS];
    int count = mode->callers + mode->callers_per_host * soak->hosts +
                (soak->endless != NULL ? ENDLESS_CALLERS : 0);
    pthread_t writer;

    for (int i = 0; i < count; i++) {
        callers[i] = (Caller){.soak = soak, .number = i};
        pthread_create(&callers[i].thread, NULL, mode->call, &callers[i]);
    }
    for (int i = 0; i < reader_count; i++) {
        readers[i] = (Caller){.soak = soak, .number = i};
        pthread_create(&readers[i].thread, NULL, Readers_Run, &readers[i]);
    }
    pthread_create(&writer, NULL, Writer_Run, soak);
    if (soak->endless != NULL) {
        pthread_create(&soak->endless_thread, NULL, Endless_Run, soak);
    }
    if (soak->has_cold) {
        pthread_create(&soak->cold_thread, NULL, Cold_Run, soak);
    }
    soak->end = Clock_Now() + (ClockMs)seconds * 1000;
    mode->run(soak);
    Checks_Recovery(soak);
    Checks_Drain(soak);
    atomic_store(&soak->stopping, TRUE);
    for (int i = 0; i < count; i++) {
        pthread_join(callers[i].thread, NULL);
    }
    for (int i = 0; i < reader_count; i++) {
        pthread_join(readers[i].thread, NULL);
    }
    pthread_join(writer, NULL);
    Checks_Refusals(soak);
    if (soak->has_cold) {
        pthread_join(soak->cold_thread, NULL);
        Cold_Check(soak);
    }
    if (soak->endless != NULL) {
        pthread_join(soak->endless_thread, NULL);
        Endless_Check(soak);
    }
}

static void
start_site(Soak *soak, const Mode *mode, gboolean has_endless)
{
    Rng rng; /* not that of the schedule */

    Rng_Seed(&rng, soak->seed);
    soak->site = Site_Create();
    soak->has_probe_route = mode->has_probe_route;
    soak->refused_ids = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_init(&soak->lock, NULL);
    for (int i = 0; i < KEYS; i++) {
        soak->configured[i] = TRUE;
        atomic_store(&soak->withdrawn[i], CLOCK_NEVER);
    }
    Soak_Configure(soak);
    for (int i = 0; i < soak->hosts; i++) {
        const char *data_centre =
            mode->data_centres[(size_t)i % G_N_ELEMENTS(mode->data_centres)];
        SiteHost_desc desc = {.data_centre = data_centre,
                              .region = data_centre[0] == 's' ? "sur" : NULL,
                              .settings = soak->has_cold ? Cold_Settings()
                                                         : mode->settings};

        Site_SetWorkMs(soak->site, Site_AddHost(soak->site, &desc), 20);
        if (soak->more_routes > 0) {
            Site_SlowStore(soak->site, i,
                           MIN_LINK_BYTES_PER_S +
                               (int)Rng_Below(&rng, MIN_LINK_BYTES_PER_S));
        }
    }
    if (has_endless) {
        Endless_AddHost(soak);
    }
    Site_AwaitReady(soak->site);
}

typedef struct Options {
    uint64_t seed;
    const Mode *mode;
    int seconds;
    int hosts;
    gboolean has_endless;
    gboolean has_long_runs;
    gboolean has_cold;
    gboolean has_readers;
    gboolean is_large;
} Options;

static const Mode *
find_mode(const char *name, struct argp_state *state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
        if (strcmp(modes[i].name, name) == 0) {
            return &modes[i];
        }
    }
    argp_error(state, "unknown mode %s", name);
    return NULL;
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    Options *options = state->input;

    switch (key) {
    case 's':
        options->seed = g_ascii_strtoull(argument, NULL, 10);
        return 0;
    case 'm':
        options->mode = find_mode(argument, state);
        return 0;
    case 't':
        options->seconds = atoi(argument);
        return 0;
    case 'n':
        options->hosts = CLAMP(atoi(argument), 2, SITE_MAX_HOSTS);
        return 0;
    case 'e':
        options->has_endless = TRUE;
        return 0;
    case 'l':
        options->has_long_runs = TRUE;
        return 0;
    case 'c':
        options->has_cold = TRUE;
        return 0;
    case 'r':
        options->has_readers = TRUE;
        return 0;
    case 'g':
        options->is_large = TRUE;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option argp_options[] = {
        {"seed", 's', "N", 0, "seed of the schedule", 0},
        {"mode", 'm', "MODE", 0,
         "mixed (default), planned, restored or evacuated", 0},
        {"seconds", 't', "S", 0, "duration of the schedule in seconds (20)",
         0},
        {"hosts", 'n', "H", 0, "number of daemons (5)", 0},
        {"endless", 'e', NULL, 0, "a backend server sends without end", 0},
        {"long-runs", 'l', NULL, 0, "a few requests take far longer", 0},
        {"cold", 'c', NULL, 0, "backend servers become cold", 0},
        {"readers", 'r', NULL, 0, "callers read slowly and send on", 0},
        {"large", 'g', NULL, 0,
         "a configuration of many routes, over slow links to the store", 0},
        {0}};
    static const struct argp argp = {
        argp_options,
        parse_option,
        NULL,
        "Runs daemons under random disruption and checks their guarantees.",
        0,
        0,
        0};
    Options options = {
        .seed = 1, .mode = &modes[0], .seconds = 20, .hosts = 5};
    Soak soak = {0};

    argp_parse(&argp, argc, argv, 0, NULL, &options);
    Rng_Seed(&soak.rng, options.seed);
    soak.seed = options.seed;
    soak.has_long_runs = options.has_long_runs;
    soak.has_cold = options.has_cold;
    soak.more_routes = options.is_large ? MORE_ROUTES : 0;
    soak.hosts =
        MIN(options.hosts, SITE_MAX_HOSTS - (options.has_endless ? 1 : 0));
    start_site(&soak, options.mode, options.has_endless);
    run_soak(&soak, options.mode, options.seconds,
             options.has_readers ? READERS_PER_HOST * soak.hosts : 0);
    printf("mode=%s seed=%" G_GUINT64_FORMAT
           " served=%d refused=%d failed=%d broken=%d\n",
           options.mode->name, options.seed, soak.served, soak.refused,
           soak.failed, soak.violations);
    if (soak.violations > 0) {
        Site_KeepFiles(soak.site);
    }
    Site_Destroy(soak.site);
    if (soak.endless != NULL) {
        EndlessServer_Destroy(soak.endless);
    }
    g_ptr_array_unref(soak.refused_ids);
    return soak.violations > 0 ? 1 : 0;
}
