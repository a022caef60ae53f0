/* Tests of the sliding window, the limits of a primary, relayed draws and the
 * handover to the backup. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <urcu.h>

#include "quota/quota.h"

/* Guards against a window that drops requests too early, or never. */
static void
test_window(void)
{
    QuotaWindow window;
    int admitted = 0;

    QuotaWindow_Init(&window, 5000, 100000);
    for (ClockMs now = 100000; now < 105000; now += 10) {
        admitted += QuotaWindow_Take(&window, 7, now);
    }
    g_assert_cmpint(admitted, ==, 7);
    g_assert_cmpint(QuotaWindow_Count(&window, 105000), ==, 7);
    g_assert_cmpint(QuotaWindow_Count(&window, 105300), ==, 0);
    QuotaWindow_Add(&window, 3, 105300);
    /* All buckets expire after a long pause. */
    g_assert_cmpint(QuotaWindow_Count(&window, 900000), ==, 0);
}

/* Guards against a span of the window's length with more requests than the
 * limit, and against negative bucket indices on a host that has just booted:
 * writes outside the array crashed depending on the stack layout. */
static void
test_sliding(void)
{
    QuotaWindow window;
    ClockMs admitted[5000];
    int count = 0;
    Rng rng;

    Rng_Seed(&rng, 5);
    QuotaWindow_Init(&window, 5000, 0);
    for (ClockMs now = 0; now < 60000;
         now += 1 + (ClockMs)Rng_Below(&rng, 40)) {
        if (QuotaWindow_Take(&window, 40, now)) {
            admitted[count++] = now;
        }
    }
    for (int i = 40; i < count; i++) {
        g_assert_cmpint(admitted[i] - admitted[i - 40], >=, 5000);
    }
    g_assert_cmpint(count, >, 60000 / 5000 * 40 * 9 / 10);
}

static const Quota_desc fleet = {
    .data_centres = 6, .window_ms = 5000, .overage = 0.1, .slack = 20};

/* Maximum number of requests in any span of the window's length. */
static double
allowed(const CatalogTeam *team)
{
    double allowance = (double)team->rate_per_s * 5 + (double)team->burst;

    return allowance * (1 + fleet.overage) + (double)fleet.slack;
}

/* Guards against limits of the data centres whose sum exceeds what the fleet
 * may admit, and against a sum below the team's allowance. */
static void
test_limits(void)
{
    static const int64_t rates[] = {1, 3, 29, 200};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        CatalogTeam team = {.rate_per_s = rates[i], .burst = rates[i]};
        double steady = _Quota_SteadyLimit(&fleet, &team) * 6;

        g_assert_cmpfloat(steady, <=, allowed(&team));
        g_assert_cmpfloat(steady, >=, (double)rates[i] * 6);
    }
}

/* Guards against a primary that admits the whole part again when it starts
 * after all hosts were killed: 367 requests passed within 5 s where 363 were
 * allowed. */
static void
test_start_after_kill(void)
{
    CatalogTeam team = {.rate_per_s = 52, .burst = 52};
    double steady = _Quota_SteadyLimit(&fleet, &team) * 6;

    for (ClockMs uptime = 0; uptime <= 5000; uptime += 100) {
        double start = _Quota_StartLimit(&fleet, &team, uptime, 6, 0, 0) * 6;
        /* Requests still in the window: the team used its part evenly before
         * the kill, and the restart took a second. */
        double earlier = steady * MAX(4000 - uptime, 0) / 5000;

        g_assert_cmpfloat(start + earlier, <=, allowed(&team));
    }
    g_assert_cmpfloat(_Quota_StartLimit(&fleet, &team, 6000, 6, 0, 0) * 6, >=,
                      steady - 0.001);
}

/* Guards against a restarted primary that refuses requests although the
 * reports of the other hosts show that the part is not used up. */
static void
test_start_with_reports(void)
{
    CatalogTeam team = {.rate_per_s = 29, .burst = 29};
    double uninformed = _Quota_StartLimit(&fleet, &team, 0, 6, 0, 0);
    double informed = _Quota_StartLimit(&fleet, &team, 0, 6, 5, 10);
    double used = _Quota_StartLimit(&fleet, &team, 0, 6, 1, 20);

    g_assert_cmpfloat(informed, >, uninformed);
    g_assert_cmpfloat(informed, >, 0.9 * _Quota_SteadyLimit(&fleet, &team));
    g_assert_cmpfloat(used, <, informed);
}

#define HOSTS 3
#define SECRET "a secret of the test"
/* Wall clock in milliseconds, as in the daemon. */
#define FIRST_INCARNATION UINT64_C(1000000)

/* Hosts of one data centre. Their roles depend on the team's order: primary,
 * backup, other. */
typedef struct Neighbours {
    Catalog *catalog;
    const CatalogTeam *team;
    Roster *rosters[HOSTS];
    Rpc *rpcs[HOSTS];
    Quota *quotas[HOSTS];
} Neighbours;

static const char *const host_names[HOSTS] = {"h0", "h1", "h2"};

static void
start_host(Neighbours *all, int i, const Quota_desc *desc,
           uint64_t incarnation)
{
    Roster_desc roster = {
        .host = host_names[i], .data_centre = "d", .region = "r"};
    Rpc_desc rpc = {.host = Rng_HashString(host_names[i]),
                    .incarnation = incarnation,
                    .secret = SECRET,
                    .secret_bytes = strlen(SECRET)};
    Quota_desc quota = *desc;

    all->rosters[i] = Roster_Create(&roster);
    all->rpcs[i] = Rpc_Create(&rpc, NULL);
    quota.host = rpc.host;
    quota.catalog = all->catalog;
    quota.roster = all->rosters[i];
    quota.rpc = all->rpcs[i];
    all->quotas[i] = Quota_Create(&quota);
    g_assert_true(Rpc_Start(all->rpcs[i], NULL));
}

static void
fill_rosters(Neighbours *all)
{
    for (int i = 0; i < HOSTS * HOSTS; i++) {
        int from = i % HOSTS;
        RosterEntry entry = {.data_centre = "d", .region = "r"};

        g_strlcpy(entry.host, host_names[from], sizeof(entry.host));
        entry.peer.sin_family = AF_INET;
        entry.peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        entry.rpc_port = Rpc_GetPort(all->rpcs[from]);
        if (from != i / HOSTS) {
            Roster_Set(all->rosters[i / HOSTS], &entry, Clock_Now());
        }
    }
}

static void
start_neighbours(Neighbours *all, const Quota_desc *desc,
                 const CatalogTeam *team)
{
    CatalogTable *table =
        CatalogTable_Create(&(CatalogTable_desc){.version = 1});

    all->team = CatalogTable_AddTeam(table, team);
    all->catalog = Catalog_Create();
    g_assert_true(Catalog_Publish(all->catalog, table, 1));
    for (int i = 0; i < HOSTS; i++) {
        start_host(all, i, desc, FIRST_INCARNATION);
    }
    fill_rosters(all);
}

static void
stop_host(Neighbours *all, int i)
{
    Rpc_Stop(all->rpcs[i]);
    Quota_Destroy(all->quotas[i]);
    Rpc_Destroy(all->rpcs[i]);
    Roster_Destroy(all->rosters[i]);
}

static void
stop_neighbours(Neighbours *all)
{
    for (int i = 0; i < HOSTS; i++) {
        stop_host(all, i);
    }
    Catalog_Destroy(all->catalog);
}

/* Returns the index of the host with the given rank in the team's order. */
static int
find_rank(const Neighbours *all, uint32_t rank)
{
    RosterPeer peers[HOSTS];

    g_assert_cmpuint(Roster_Rank(all->rosters[0], all->team->hash, TRUE,
                                 Clock_Now(), peers, HOSTS),
                     ==, HOSTS);
    for (int i = 0; i < HOSTS; i++) {
        if (peers[rank].host == Rng_HashString(host_names[i])) {
            return i;
        }
    }
    g_assert_not_reached();
}

/* Guards against false refusals while one host cannot reach the primary but
 * the backup can. The backup's own share, a tenth of the part, is too
 * small. */
static void
test_relayed_draws(void)
{
    static const Quota_desc desc = {.data_centres = 1, .window_ms = 200};
    CatalogTeam team = {
        .name = g_strdup("crews"), .rate_per_s = 100, .burst = 400};
    Neighbours all = {0};
    int primary;
    int other;
    int admitted = 0;

    start_neighbours(&all, &desc, &team);
    primary = find_rank(&all, 0);
    other = find_rank(&all, 2);
    /* A primary that has just started assumes that its part is used up. */
    g_usleep((gulong)(desc.window_ms + 800) * 1000);
    for (int i = 0; i < 70; i++) {
        QuotaSource source;

        Roster_NoteUnreachable(all.rosters[other],
                               Rng_HashString(host_names[primary]),
                               Clock_Now());
        admitted +=
            Quota_Take(all.quotas[other], all.team, &source) == RESULT_OK;
        g_assert_cmpint(source, ==, QUOTA_BACKUP);
    }
    g_assert_cmpint(admitted, ==, 70);
    stop_neighbours(&all);
}

/* Takes the requests on the host without a pause and returns the number of
 * those admitted. */
static int
take_many(const Neighbours *all, int host, int requests, QuotaSource expected)
{
    QuotaSource source = QUOTA_UNLIMITED;
    int admitted = 0;

    for (int i = 0; i < requests; i++) {
        admitted +=
            Quota_Take(all->quotas[host], all->team, &source) == RESULT_OK;
    }
    g_assert_cmpint(source, ==, expected);
    return admitted;
}

/* Guards against false refusals after a graceful stop of the primary, when the
 * backup has only a tenth of the part; against a backup that admits the whole
 * part again; and against a handover by a primary that has not counted a whole
 * window since its own start. */
static void
test_handover(void)
{
    static const Quota_desc desc = {.data_centres = 1, .window_ms = 2000};
    static const struct {
        ClockMs uptime_ms;
        int min; /* requests admitted by the backup */
        int max;
    } cases[] = {
        {2800, 18, 60},
        /* No handover: the backup's share is a tenth of 10 x 2 + 100. */
        {1200, 0, 12},
    };

    for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
        CatalogTeam team = {
            .name = g_strdup("crews"), .rate_per_s = 10, .burst = 100};
        Neighbours all = {0};
        int other;
        int before;
        int after;

        start_neighbours(&all, &desc, &team);
        other = find_rank(&all, 2);
        g_usleep((gulong)cases[c].uptime_ms * 1000);
        before = take_many(&all, other, 30, QUOTA_PRIMARY);
        Quota_Leave(all.quotas[find_rank(&all, 0)], Clock_Now() + 1000);
        Rpc_Stop(all.rpcs[find_rank(&all, 0)]);
        after = take_many(&all, other, 200, QUOTA_BACKUP);
        g_test_message("%d before, %d after the stop", before, after);
        g_assert_cmpint(after, >=, cases[c].min);
        g_assert_cmpint(after, <=, cases[c].max);
        g_assert_cmpint(before + after, <=, 120);
        stop_neighbours(&all);
    }
}

/* Guards against draws that other hosts refuse permanently because the host's
 * wall clock, which gives its incarnation, jumped between two starts. */
static void
test_clock_jumps(void)
{
    static const Quota_desc desc = {.data_centres = 1, .window_ms = 200};
    static const int64_t jumps_ms[] = {5000, -100000, -2000, 0, 1, 3000};
    CatalogTeam team = {
        .name = g_strdup("crews"), .rate_per_s = 100, .burst = 400};
    Neighbours all = {0};
    int other;

    start_neighbours(&all, &desc, &team);
    other = find_rank(&all, 2);
    g_usleep((gulong)(desc.window_ms + 800) * 1000);
    (void)take_many(&all, other, 1, QUOTA_PRIMARY);
    for (size_t i = 0; i < G_N_ELEMENTS(jumps_ms); i++) {
        QuotaSource source = QUOTA_UNLIMITED;

        stop_host(&all, other);
        start_host(&all, other, &desc,
                   FIRST_INCARNATION + (uint64_t)jumps_ms[i]);
        fill_rosters(&all);
        for (int draw = 0; draw < 3; draw++) {
            g_assert_cmpint(Quota_Take(all.quotas[other], all.team, &source),
                            ==, RESULT_OK);
        }
        g_test_message("%" G_GINT64_FORMAT " ms: %s", jumps_ms[i],
                       Quota_SourceName(source));
        g_assert_cmpint(source, ==, QUOTA_PRIMARY);
    }
    stop_neighbours(&all);
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota/window", test_window);
    g_test_add_func("/quota/sliding", test_sliding);
    g_test_add_func("/quota/limits", test_limits);
    g_test_add_func("/quota/start-after-kill", test_start_after_kill);
    g_test_add_func("/quota/start-with-reports", test_start_with_reports);
    g_test_add_func("/quota/relayed-draws", test_relayed_draws);
    g_test_add_func("/quota/handover", test_handover);
    g_test_add_func("/quota/clock-jumps", test_clock_jumps);
    rcu_register_thread();
    result = g_test_run();
    rcu_unregister_thread();
    return result;
}
