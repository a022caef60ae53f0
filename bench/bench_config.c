/* bench_config: memory and time of the configuration tables.
 *
 *     bench_config [TEAMS [ROUTES [FILE]]]
 *     bench_config load FILE
 *
 * Builds the tables from tickets, then looks up keys and routes, applies small
 * tickets and writes a snapshot (to FILE if it is given, one part per line).
 * With `load`, reads the parts from FILE into an empty table, as a new daemon
 * does. Prints one line for each result. Times are CPU times of the thread.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

#include "base/rng.h"
#include "config/config_table.h"
#include "config/ticket_check.h"

#define TEAMS_PER_TICKET 4000
#define ROUTES_PER_TICKET 2000
#define SMALL_TICKETS 500
#define LOOKUPS 1000000
#define PART_BYTES 700000

static double
cpu_ms(void)
{
    struct timespec time;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

static double
rss_mb(void)
{
    long pages = 0;
    FILE *file = fopen("/proc/self/statm", "r");

    if (file == NULL || fscanf(file, "%*s %ld", &pages) != 1) {
        pages = 0;
    }
    if (file != NULL) {
        (void)fclose(file);
    }
    return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

static double
peak_mb(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return (double)usage.ru_maxrss * 1024 / 1e6;
}

static void
key_hash(int team, int key, ConfigKeyHash *hash)
{
    char text[40];

    g_snprintf(text, sizeof(text), "key-%d-%d", team, key);
    Config_HashKey(text, strlen(text), hash);
}

static void
append_team(GString *out, int team, int key, int rate)
{
    ConfigKeyHash hash;
    char hex[65];

    key_hash(team, key, &hash);
    Config_HashToHex(&hash, hex);
    g_string_append_printf(out,
                           "%s\"team-%06d\":{\"rate_per_s\":%d,\"burst\":20,"
                           "\"keys\":[\"%s\"]}",
                           out->str[out->len - 1] == '{' ? "" : ",", team,
                           rate, hex);
}

static void
append_route(GString *out, int route)
{
    g_string_append_printf(
        out,
        "%s\"/region-%d/service-%d/path-%d\":{\"service\":\"service-%04d\","
        "\"teams\":[],\"issuance\":false,\"deadline_ms\":1000,\"retries\":1}",
        out->str[out->len - 1] == '{' ? "" : ",", route % 5, route % 5300,
        route, route % 5300);
}

/* Applies `"kind":{entries}` as the next ticket. Frees entries. */
static void
apply(Config *config, const char *kind, GString *entries)
{
    GPtrArray *problems = Ticket_CreateProblems();
    char *text = g_strdup_printf(
        "{\"ticket\":%" G_GINT64_FORMAT ",\"who\":\"bench\","
        "\"when\":\"2026-01-31T12:00:00Z\",\"why\":\"bench\",\"sets\":{\"%s\":"
        "%s}}}",
        Config_PeekVersion(config) + 1, kind, entries->str);
    Ticket *ticket =
        Ticket_Parse(text, strlen(text), TICKET_FROM_OPERATOR, problems);
    gboolean applied = FALSE;

    if (ticket == NULL ||
        Config_ApplyTicket(config, ticket, &applied, NULL) != RESULT_OK ||
        !applied) {
        char *list = Ticket_FormatProblems(problems);

        fprintf(stderr, "ticket refused: %s\n", list);
        exit(1);
    }
    Ticket_Free(ticket);
    g_ptr_array_unref(problems);
    g_free(text);
    g_string_free(entries, TRUE);
}

static void
build(Config *config, int teams, int routes)
{
    int i = 0;

    while (i < teams) {
        GString *entries = g_string_new("{");

        for (int n = 0; n < TEAMS_PER_TICKET && i < teams; n++, i++) {
            append_team(entries, i, 0, 10);
        }
        apply(config, "teams", entries);
    }
    for (i = 0; i < routes;) {
        GString *entries = g_string_new("{");

        for (int n = 0; n < ROUTES_PER_TICKET && i < routes; n++, i++) {
            append_route(entries, i);
        }
        apply(config, "routes", entries);
    }
}

/* Applies tickets that each change the rate and the key of `count` consecutive
 * teams, starting at a random one. */
static void
apply_small(Config *config, int teams, int count)
{
    double start;
    double total = 0;
    Rng rng;

    Rng_Seed(&rng, 1);
    for (int i = 0; i < SMALL_TICKETS; i++) {
        GString *entries = g_string_new("{");
        uint64_t starts = (uint64_t)teams - (uint64_t)count + 1;
        int first = (int)Rng_Below(&rng, starts);

        for (int n = 0; n < count; n++) {
            append_team(entries, first + n, i + 1, 11 + i);
        }
        start = cpu_ms();
        apply(config, "teams", entries);
        total += cpu_ms() - start;
    }
    printf("ticket of %d teams: %.3f ms\n", count, total / SMALL_TICKETS);
}

static void
look_up(Config *config, int teams, int routes)
{
    const ConfigTable *table;
    ConfigTeam team;
    ConfigKeyHash *hashes = g_new(ConfigKeyHash, 10000);
    char(*paths)[64] = g_malloc(10000 * sizeof(*paths));
    double start;
    int found = 0;

    for (int i = 0; i < 10000; i++) {
        int route = routes > 0 ? i * 7 % routes : 0;

        key_hash(i * 31 % teams, 0, &hashes[i]);
        g_snprintf(paths[i], sizeof(paths[i]),
                   "/region-%d/service-%d/path-%d/x/y", route % 5,
                   route % 5300, route);
    }
    table = Config_ReadLock(config);
    start = cpu_ms();
    for (int i = 0; i < LOOKUPS; i++) {
        found += Config_FindTeamByKeyHash(table, &hashes[i % 10000], &team) ==
                 RESULT_OK;
    }
    printf("key look-up: %.0f ns\n", (cpu_ms() - start) * 1e6 / LOOKUPS);
    start = cpu_ms();
    for (int i = 0; i < LOOKUPS; i++) {
        found += Config_FindRoute(table, paths[i % 10000]) != CONFIG_NONE;
    }
    printf("route look-up: %.0f ns (%d found)\n",
           (cpu_ms() - start) * 1e6 / LOOKUPS, found);
    Config_ReadUnlock(config);
    g_free(hashes);
    g_free(paths);
}

static void
write_snapshot(Config *config, const char *path)
{
    const ConfigTable *table = _Config_Pin(config);
    uint32_t parts = _Config_PartCount(table, PART_BYTES);
    FILE *file = path != NULL ? fopen(path, "w") : NULL;
    size_t largest = 0;
    size_t total = 0;
    double time = 0;

    for (uint32_t part = 0; part < parts; part++) {
        double start = cpu_ms();
        GString *text = _Config_DumpPart(table, part, parts);

        time += cpu_ms() - start;
        largest = MAX(largest, text->len);
        total += text->len;
        if (file != NULL) {
            fprintf(file, "%u %s\n", parts, text->str);
        }
        g_string_free(text, TRUE);
    }
    if (file != NULL) {
        (void)fclose(file);
    }
    _Config_Unpin(config);
    printf("snapshot: %u parts, largest %zu bytes, %.1f MB, %.0f ms\n", parts,
           largest, (double)total / 1e6, time);
}

/* Reads a file that write_snapshot() wrote. */
static void
load_snapshot(Config *config, const char *path)
{
    GPtrArray *problems = Ticket_CreateProblems();
    FILE *file = fopen(path, "r");
    size_t capacity = 0;
    char *line = NULL;
    uint32_t part = 0;
    double time = 0;
    ConfigDraft draft;

    if (file == NULL) {
        fprintf(stderr, "cannot read %s\n", path);
        exit(1);
    }
    _Config_BeginDraft(config, &draft);
    while (getline(&line, &capacity, file) > 0) {
        double start = cpu_ms();
        char *text = NULL;
        uint32_t parts = (uint32_t)strtoul(line, &text, 10);
        json_t *sets = json_loads(text, 0, NULL);

        if (sets == NULL || !_Ticket_CheckSets(sets, problems) ||
            _Config_ApplyPart(&draft, sets, part++, parts, NULL) !=
                RESULT_OK) {
            fprintf(stderr, "part refused\n");
            exit(1);
        }
        json_decref(sets);
        time += cpu_ms() - start;
    }
    _Config_CommitDraft(&draft, 1);
    printf("snapshot loaded: %u parts, %.0f ms\n", part, time);
    free(line);
    (void)fclose(file);
    g_ptr_array_unref(problems);
}

static void
print_memory(Config *config, double before)
{
    ConfigStats stats;

    Config_GetStats(config, &stats);
    printf("teams %u, keys %u, routes %u, version %" G_GINT64_FORMAT "\n",
           stats.teams, stats.keys, stats.routes, stats.version);
    printf("tables: %.2f MB\n", (double)stats.bytes / 1e6);
    printf("resident growth %.2f MB, highest growth %.2f MB\n",
           rss_mb() - before, peak_mb() - before);
    malloc_trim(0);
    printf("resident growth after malloc_trim %.2f MB\n", rss_mb() - before);
}

int
main(int argc, char **argv)
{
    gboolean load = argc > 2 && strcmp(argv[1], "load") == 0;
    int teams = argc > 1 ? atoi(argv[1]) : 220000; /* NOLINT */
    int routes = argc > 2 ? atoi(argv[2]) : 33000; /* NOLINT */
    Config *config = Config_Create();
    double before;
    double start;

    rcu_register_thread();
    before = rss_mb();
    if (load) {
        load_snapshot(config, argv[2]);
        print_memory(config, before);
    }
    else {
        start = cpu_ms();
        build(config, teams, routes);
        printf("build: %.0f ms\n", cpu_ms() - start);
        print_memory(config, before);
        look_up(config, teams, routes);
        apply_small(config, teams, 1);
        apply_small(config, teams, MIN(10, teams));
        apply_small(config, teams, MIN(100, teams));
        print_memory(config, before);
        write_snapshot(config, argc > 3 ? argv[3] : NULL);
    }
    rcu_unregister_thread();
    Config_Destroy(config);
    return 0;
}
