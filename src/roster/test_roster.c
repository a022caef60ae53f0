/* Tests of roster entries and of the choice of a backend server. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "http/http_message.h"
#include "roster/exploration.h"
#include "roster/roster.h"

#define SERVICE "permits"

static Roster *
make_roster(void)
{
    return Roster_Create(
        &(Roster_desc){.host = "self", .data_centre = "dc1", .region = "r1"});
}

static void
add(Roster *roster, const char *host, const char *data_centre,
    const char *region, const char *instance)
{
    RosterEntry entry = {.rpc_port = 7, .mirror_port = 8, .slots = 5};

    g_strlcpy(entry.host, host, sizeof(entry.host));
    g_strlcpy(entry.instance, instance, sizeof(entry.instance));
    g_strlcpy(entry.service, SERVICE, sizeof(entry.service));
    g_strlcpy(entry.data_centre, data_centre, sizeof(entry.data_centre));
    g_strlcpy(entry.region, region, sizeof(entry.region));
    g_assert_true(HttpAddress_Parse("127.0.0.1:9", &entry.peer));
    Roster_Set(roster, &entry, 0);
}

static Roster *
make_fleet(void)
{
    Roster *roster = make_roster();

    add(roster, "self", "dc1", "r1", "i0");
    add(roster, "near", "dc1", "r1", "i1");
    add(roster, "region", "dc2", "r1", "i2");
    add(roster, "far", "dc3", "r2", "i3");
    return roster;
}

static RosterReport
report(double risk, uint32_t in_flight)
{
    return (RosterReport){
        .risk = risk, .slots = 5, .in_flight = in_flight, .service_ms = 500};
}

static RosterQuery
query(void)
{
    return (RosterQuery){.service = Rng_HashString(SERVICE),
                         .request = {.failure_cost = 1,
                                     .relative_size = 1,
                                     .time_left_ms = 2000}};
}

static const char *
choose(Roster *roster, const RosterQuery *wanted, ClockMs now)
{
    static RosterChoice choice;

    return Roster_Choose(roster, wanted, now, &choice) ? choice.entry.host
                                                       : NULL;
}

/* Guards against an issuance that goes to a host which will refuse or cut it
 * because it stops, and against one that goes far away, or is not sent at all,
 * because the only hosts near by or at all are stopping or have stopped. */
static void
test_stopping(void)
{
    enum { BEGIN = 1, LATE = 1000, UNKNOWN = 1002, END = 3000 };
    static const char *const near_by[] = {"near", "region", NULL};
    static const char *const only[] = {"near", NULL};
    static const char *const far_away[] = {"near", "far", NULL};
    static const struct {
        const char *const *hosts; /* the first one stops */
        gboolean is_issuance;
        ClockMs now;
        ClockMs deadline;
        gboolean is_unreachable; /* since the report */
        const char *chosen;
    } cases[] = {
        {near_by, FALSE, BEGIN, 8000, FALSE, "near"},
        {near_by, TRUE, BEGIN, 8000, FALSE, "region"},
        {far_away, TRUE, BEGIN, 8000, FALSE, "near"},
        {far_away, TRUE, LATE, 8000, FALSE, "far"},
        {far_away, TRUE, LATE, END, FALSE, "near"},
        {far_away, FALSE, LATE, 8000, FALSE, "near"},
        {only, TRUE, LATE, 8000, FALSE, "near"},
        {far_away, TRUE, UNKNOWN, 8000, FALSE, "near"},
        {far_away, TRUE, LATE, 8000, TRUE, "near"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Roster *roster = make_fleet();
        RosterQuery wanted = query();
        RosterReport stops = report(0, 0);
        RosterReport stays = report(0, 0);

        Roster_Remove(roster, "self");
        Roster_Report(roster, Rng_HashString("region"), &stays, BEGIN);
        Roster_Report(roster, Rng_HashString("far"), &stays, BEGIN);
        for (const char *const *host = near_by; *host != NULL; host++) {
            if (!g_strv_contains(cases[i].hosts, *host)) {
                Roster_Remove(roster, *host);
            }
        }
        if (!g_strv_contains(cases[i].hosts, "far")) {
            Roster_Remove(roster, "far");
        }
        stops.stop_ms = END - BEGIN;
        Roster_Report(roster, Rng_HashString("near"), &stops, BEGIN);
        if (cases[i].is_unreachable) {
            Roster_NoteUnreachable(roster, Rng_HashString("near"), BEGIN);
        }
        wanted.is_issuance = cases[i].is_issuance;
        wanted.deadline = cases[i].deadline;
        wanted.run_allowance_ms = 2500;
        g_test_message("case %zu", i);
        g_assert_cmpstr(choose(roster, &wanted, cases[i].now), ==,
                        cases[i].chosen);
        Roster_Destroy(roster);
    }
}

/* Guards against a choice in a withdrawn data centre: as the only one left,
 * for an entry that is set later, or after another one is withdrawn as well;
 * and against one that stays left out, or makes the retry budget shrink. */
static void
test_withdrawn(void)
{
    uint64_t hashes[] = {Rng_HashString("dc1"), Rng_HashString("dc2")};
    Roster *roster = make_fleet();
    RosterQuery wanted = query();
    RosterReport idle = report(0, 0);
    RetryRates rates;

    Roster_Remove(roster, "far");
    Roster_Report(roster, Rng_HashString("region"), &idle, 1);
    g_assert_cmpfloat(Roster_RetryRates(roster, wanted.service, 1, &rates), <,
                      0.5);
    Roster_SetWithdrawn(roster, hashes, 1);
    g_assert_cmpfloat(Roster_RetryRates(roster, wanted.service, 1, &rates), ==,
                      1);
    add(roster, "new", "dc1", "r1", "i4");
    g_assert_cmpstr(choose(roster, &wanted, 1), ==, "region");
    Roster_NoteUnreachable(roster, Rng_HashString("region"), 1);
    g_assert_cmpstr(choose(roster, &wanted, 2), ==, "region");
    Roster_SetWithdrawn(roster, hashes, 2);
    g_assert_null(choose(roster, &wanted, 3));
    g_assert_cmpuint(Roster_CountDataCentre(roster), ==, 3);
    Roster_SetWithdrawn(roster, &hashes[1], 1);
    Roster_Remove(roster, "new");
    Roster_Remove(roster, "self");
    g_assert_cmpstr(choose(roster, &wanted, 4), ==, "near");
    Roster_SetWithdrawn(roster, NULL, 0);
    Roster_Remove(roster, "near");
    g_assert_cmpstr(choose(roster, &wanted, 5), ==, "region");
    Roster_Destroy(roster);
}

/* Guards against an entry that loses a field when it is encoded and decoded,
 * and against a malformed one that is accepted. */
static void
test_entry(void)
{
    static const char *const malformed[] = {
        "null",
        "{}",
        "[1]",
        "{\"instance\":\"i\",\"service\":\"s\",\"dc\":\"d\",\"region\":\"r\","
        "\"peer\":\"nonsense\",\"rpc\":1,\"mirror\":1,\"slots\":1,"
        "\"leaving\":false}",
        "{\"instance\":\"i\",\"service\":\"s\",\"dc\":\"d\",\"region\":\"r\","
        "\"peer\":\"127.0.0.1:1\",\"rpc\":1,\"mirror\":1,\"slots\":0,"
        "\"leaving\":false}",
        "{\"instance\":\"i\",\"service\":5,\"dc\":\"d\",\"region\":\"r\","
        "\"peer\":\"127.0.0.1:1\",\"rpc\":1,\"mirror\":1,\"slots\":2,"
        "\"leaving\":false}",
    };
    RosterEntry entry = {.host = "h",
                         .instance = "i",
                         .service = "s",
                         .data_centre = "d",
                         .region = "r",
                         .rpc_port = 7,
                         .mirror_port = 8,
                         .slots = 5};
    RosterEntry decoded;
    json_t *value;

    g_assert_true(HttpAddress_Parse("10.0.0.1:80", &entry.peer));
    value = RosterEntry_Encode(&entry);
    g_assert_nonnull(value);
    g_assert_true(RosterEntry_Decode("h", value, &decoded));
    g_assert_cmpmem(&decoded, sizeof(decoded), &entry, sizeof(entry));
    json_decref(value);
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        value = json_loads(malformed[i], JSON_DECODE_ANY, NULL);
        g_assert_false(RosterEntry_Decode("h", value, &decoded));
        json_decref(value);
    }
}

/* Guards against a number in an entry that is cut to fewer bits: it would name
 * another port, or another number of slots. */
static void
test_entry_ranges(void)
{
    static const struct {
        const char *peer;
        const char *rpc;
        const char *mirror;
        const char *slots;
        gboolean valid;
    } cases[] = {
        {"10.0.0.1:80", "7", "8", "5", TRUE},
        {"10.0.0.1:65535", "65535", "0", "100000", TRUE},
        {"10.0.0.1:4294975376", "7", "8", "5", FALSE},
        {"10.0.0.1:65536", "7", "8", "5", FALSE},
        {"10.0.0.1:-1", "7", "8", "5", FALSE},
        {"10.0.0.1:0", "7", "8", "5", FALSE},
        {"10.0.0.1", "7", "8", "5", FALSE},
        {"10.0.0.1:80", "4294975376", "8", "5", FALSE},
        {"10.0.0.1:80", "65536", "8", "5", FALSE},
        {"10.0.0.1:80", "-1", "8", "5", FALSE},
        {"10.0.0.1:80", "\"7\"", "8", "5", FALSE},
        {"10.0.0.1:80", "7.5", "8", "5", FALSE},
        {"10.0.0.1:80", "7", "4294975376", "5", FALSE},
        {"10.0.0.1:80", "7", "8", "0", FALSE},
        {"10.0.0.1:80", "7", "8", "-1", FALSE},
        {"10.0.0.1:80", "7", "8", "4294967301", FALSE},
        {"10.0.0.1:80", "7", "8", "1099511627776", FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf(
            "{\"instance\":\"i\",\"service\":\"s\",\"dc\":\"d\",\"region\":"
            "\"r\",\"peer\":\"%s\",\"rpc\":%s,\"mirror\":%s,\"slots\":%s,"
            "\"leaving\":false}",
            cases[i].peer, cases[i].rpc, cases[i].mirror, cases[i].slots);
        json_t *value = json_loads(text, 0, NULL);
        RosterEntry entry;

        g_test_message("%s", text);
        g_assert_nonnull(value);
        g_assert_cmpint(RosterEntry_Decode("h", value, &entry), ==,
                        cases[i].valid);
        json_decref(value);
        g_free(text);
    }
}

/* Guards against paying for a distant backend server needlessly, and against
 * staying with a near one that is failing or overloaded. */
static void
test_choice(void)
{
    static const struct {
        double risk_self;
        uint32_t load_self;
        double risk_near;
        uint32_t load_near;
        double risk_region;
        const char *expected;
    } cases[] = {
        {0.01, 0, 0.01, 4, 0.01, "self"},
        {0.01, 5, 0.01, 0, 0.01, "near"},
        {0.95, 0, 0.01, 0, 0.01, "near"},
        {0.95, 0, 0.95, 0, 0.01, "region"},
        {0.02, 30, 0.02, 30, 0.02, "region"},
        {0.95, 0, 0.95, 0, 0.95, "far"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Roster *roster = make_fleet();
        RosterQuery wanted = query();
        RosterReport reports[] = {
            report(cases[i].risk_self, cases[i].load_self),
            report(cases[i].risk_near, cases[i].load_near),
            report(cases[i].risk_region, 0), report(0.01, 0)};
        static const char *const hosts[] = {"self", "near", "region", "far"};

        for (size_t n = 0; n < G_N_ELEMENTS(hosts); n++) {
            Roster_Report(roster, Rng_HashString(hosts[n]), &reports[n], 1000);
        }
        g_assert_cmpstr(choose(roster, &wanted, 1010), ==, cases[i].expected);
        Roster_Destroy(roster);
    }
}

/* Guards against choosing an unreachable host again at once, against never
 * choosing it again, and against refusing a request while any host is left. */
static void
test_unreachable(void)
{
    Roster *roster = make_fleet();
    RosterQuery wanted = query();
    RosterReport healthy = report(0.01, 0);

    Roster_Report(roster, Rng_HashString("near"), &healthy, 1000);
    Roster_Remove(roster, "self");
    g_assert_cmpstr(choose(roster, &wanted, 1000), ==, "near");
    Roster_NoteUnreachable(roster, Rng_HashString("near"), 1000);
    g_assert_cmpstr(choose(roster, &wanted, 1100), ==, "region");
    g_assert_cmpstr(choose(roster, &wanted, 1500), ==, "near");
    Roster_Remove(roster, "region");
    Roster_Remove(roster, "far");
    Roster_NoteUnreachable(roster, Rng_HashString("near"), 1500);
    g_assert_cmpstr(choose(roster, &wanted, 1510), ==, "near");
    wanted.excluded[wanted.excluded_count++] = Rng_HashString("near");
    g_assert_null(choose(roster, &wanted, 1510));
    Roster_Destroy(roster);
}

/* Guards against backend servers that receive no requests for seconds because
 * they failed earlier, and against exploring with requests that cannot be
 * retried. */
static void
test_exploration(void)
{
    Roster *roster = make_fleet();
    RosterQuery wanted = query();
    RosterReport failing = report(0.95, 0);
    RosterReport healthy = report(0.01, 0);

    Roster_Report(roster, Rng_HashString("self"), &healthy, 3000);
    Roster_Report(roster, Rng_HashString("region"), &healthy, 3000);
    Roster_Report(roster, Rng_HashString("near"), &failing, 1000);
    g_assert_cmpstr(choose(roster, &wanted, 3000), ==, "self");
    wanted.may_explore = TRUE;
    g_assert_cmpstr(choose(roster, &wanted, 1900), !=, "near");
    g_assert_cmpstr(choose(roster, &wanted, 3000), ==, "near");
    Roster_Destroy(roster);
}

/* Guards against a new backend server that receives no requests because the
 * known ones cost less, which happened at low load, and against treating an
 * unreachable one as new again and again. */
static void
test_new_backend_server(void)
{
    Roster *roster = make_fleet();
    RosterQuery wanted = query();
    RosterReport healthy = report(0.01, 0);

    Roster_Report(roster, Rng_HashString("self"), &healthy, 1000);
    Roster_Report(roster, Rng_HashString("near"), &healthy, 1000);
    add(roster, "new", "dc1", "r1", "i9");
    g_assert_cmpstr(choose(roster, &wanted, 1010), !=, "new");
    wanted.may_explore = TRUE;
    g_assert_cmpstr(choose(roster, &wanted, 1010), ==, "new");
    Roster_NoteUnreachable(roster, Rng_HashString("new"), 1010);
    g_assert_cmpstr(choose(roster, &wanted, 9000), !=, "new");
    Roster_Destroy(roster);
}

/* Guards against preferring a distant host without a report when all known
 * hosts report high risks, as they do while the whole service sheds load. */
static void
test_unknown_far(void)
{
    Roster *roster = make_roster();
    RosterQuery wanted = query();
    RosterReport shedding = report(0.5, 0);
    char name[16];

    for (int i = 0; i < 12; i++) {
        g_snprintf(name, sizeof(name), "near%d", i);
        add(roster, name, "dc1", "r1", "i");
        Roster_Report(roster, Rng_HashString(name), &shedding, 1000);
    }
    add(roster, "far", "dc3", "r2", "i");
    g_assert_cmpstr(choose(roster, &wanted, 1010), !=, "far");
    Roster_Destroy(roster);
}

/* Guards against hosts that choose different primaries: the order of all hosts
 * must not depend on which of them are reachable. */
static void
test_rank(void)
{
    Roster *roster = make_fleet();
    RosterPeer before[4];
    RosterPeer after[4];
    RosterPeer reachable[4];

    for (uint64_t key = 0; key < 50; key++) {
        g_assert_cmpuint(Roster_Rank(roster, key, TRUE, 1000, before, 4), ==,
                         2);
        Roster_NoteUnreachable(roster, Rng_HashString("near"), 1000);
        g_assert_cmpuint(Roster_Rank(roster, key, TRUE, 1001, after, 4), ==,
                         2);
        g_assert_cmpuint(before[0].host, ==, after[0].host);
        g_assert_cmpuint(before[1].host, ==, after[1].host);
        g_assert_cmpuint(Roster_Rank(roster, key, FALSE, 1001, reachable, 4),
                         ==, 1);
        g_assert_true(reachable[0].is_self);
        Roster_NoteReached(roster, Rng_HashString("near"), 2000);
        g_assert_cmpuint(Roster_Rank(roster, key, TRUE, 9000, after, 1), ==,
                         1);
        g_assert_cmpuint(before[0].host, ==, after[0].host);
    }
    g_assert_cmpuint(Roster_CountDataCentre(roster), ==, 2);
    Roster_Destroy(roster);
}

/* Guards against entries that stay after their objects are missing from a new
 * listing of the store. */
static void
test_retain(void)
{
    Roster *roster = make_fleet();
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

    g_hash_table_add(names, "far");
    Roster_Retain(roster, names, 0);
    g_assert_cmpuint(Roster_Count(roster), ==, 2); /* far and self */
    g_hash_table_destroy(names);
    Roster_Destroy(roster);
}

/* Guards against a live host that is removed because the restored store lacks
 * its entry, and against one that stays without an entry. */
static void
test_retain_later(void)
{
    Roster *roster = make_fleet();
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    uint32_t all = Roster_Count(roster);

    g_hash_table_add(names, "far");
    Roster_Retain(roster, names, 5000);
    Roster_Retain(roster, names, 0); /* a second list changes nothing */
    Roster_Expire(roster, 4999);
    g_assert_cmpuint(Roster_Count(roster), ==, all);
    add(roster, "near", "dc1", "r1", "i1"); /* its entry is back */
    Roster_Expire(roster, 5000);
    g_assert_cmpuint(Roster_Count(roster), ==, 3); /* far, near and self */
    g_hash_table_destroy(names);
    Roster_Destroy(roster);
}

/* Guards against entries of failed hosts that no host removes, against two
 * hosts that remove the same entry, and against a partitioned host that
 * removes all others. */
static void
test_lost(void)
{
    static const char *const names[] = {"self", "a", "b", "c", "d"};
    static const struct {
        uint32_t unreachable; /* bit mask of hosts a, b, c, d */
        ClockMs after_ms;
        uint32_t max; /* maximum of lost hosts found by all reachable hosts */
        uint32_t min; /* minimum of the same */
    } cases[] = {
        {0x0, 60000, 0, 0}, {0x1, 14999, 0, 0}, {0x1, 15000, 1, 1},
        {0x3, 15000, 2, 2}, {0x7, 15000, 0, 0}, {0xf, 15000, 0, 0},
    };

    for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
        uint32_t found = 0;

        for (size_t viewer = 0; viewer < G_N_ELEMENTS(names); viewer++) {
            Roster *roster = Roster_Create(&(Roster_desc){
                .host = names[viewer], .data_centre = "dc1", .region = "r1"});
            RosterSuspect lost[G_N_ELEMENTS(names)];

            for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
                if (i != viewer) {
                    add(roster, names[i], "dc1", "r1", "i");
                }
                if (i > 0 && (cases[c].unreachable >> (i - 1) & 1)) {
                    Roster_NoteUnreachable(roster, Rng_HashString(names[i]),
                                           1000);
                }
            }
            if (viewer == 0 || !(cases[c].unreachable >> (viewer - 1) & 1)) {
                found +=
                    Roster_FindLost(roster, 15000, 1000 + cases[c].after_ms,
                                    lost, G_N_ELEMENTS(lost));
            }
            Roster_Destroy(roster);
        }
        g_test_message("case %zu: %u", c, found);
        g_assert_cmpuint(found, <=, cases[c].max);
        g_assert_cmpuint(found, >=, cases[c].min);
    }
}

/* Guards against a backend server that nobody tries again: in a large fleet no
 * sender knows that it is idle. Also checks that what must not run twice never
 * explores unasked. */
static void
test_owner_explores(void)
{
    static const struct {
        ClockMs wanted_ms;
        ClockMs idle_ms;
        gboolean is_idempotent;
        gboolean allowed;
    } cases[] = {{0, 1400, TRUE, FALSE},     {0, 1500, TRUE, TRUE},
                 {0, 60000, FALSE, FALSE},   {1000, 1000, TRUE, TRUE},
                 {1000, 900, TRUE, FALSE},   {2000, 1500, TRUE, TRUE},
                 {2000, 1900, FALSE, FALSE}, {2000, 2000, FALSE, TRUE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu", i);
        g_assert_cmpint(Exploration_IsAllowed(cases[i].wanted_ms,
                                              cases[i].idle_ms,
                                              cases[i].is_idempotent),
                        ==, cases[i].allowed);
    }
}

/* Guards against a restricted request that goes to a host outside its regions
 * because those inside are far away, full, tried, leaving, unreachable or
 * absent, and against the wrong time until they are tried again. */
static void
test_regions(void)
{
    enum { NONE, FULL, TRIED, LEAVING, AWAY, ABSENT };
    static const char *const r1_r2[] = {"r1", "r2"};
    static const struct {
        int first; /* names of the route's set; -1: no restriction */
        int route;
        int team;          /* names of the team's set; -1: no restriction */
        int trouble;       /* of the host in r2 */
        const char *hosts; /* that may be chosen; NULL: none */
        ClockMs away_ms;
    } cases[] = {
        {0, -1, -1, NONE, "self near region far", -1},
        {1, 1, -1, NONE, "far", -1},
        {0, 2, 1, NONE, "self near region", -1},
        {1, 1, 2, NONE, "far", -1},
        {1, 1, 1, NONE, NULL, 0}, /* no region is in both */
        {1, 0, -1, NONE, NULL, 0},
        {1, 1, -1, FULL, "far", -1},
        {1, 1, -1, TRIED, NULL, -1},
        {1, 1, -1, LEAVING, "far", -1},
        {1, 1, -1, AWAY, NULL, 390},
        {0, 2, -1, AWAY, "self near region", -1},
        {1, 1, -1, ABSENT, NULL, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Roster *roster = make_fleet();
        RosterQuery wanted = query();
        RosterReport bad = report(0.99, 50);
        RosterChoice choice;

        g_test_message("case %zu", i);
        if (cases[i].route >= 0) {
            wanted.route_regions = RegionSet_Create(r1_r2 + cases[i].first,
                                                    (size_t)cases[i].route);
        }
        if (cases[i].team >= 0) {
            wanted.team_regions =
                RegionSet_Create(r1_r2, (size_t)cases[i].team);
        }
        wanted.may_explore = TRUE;
        bad.leaving = cases[i].trouble == LEAVING;
        if (cases[i].trouble == FULL || cases[i].trouble == LEAVING) {
            Roster_Report(roster, Rng_HashString("far"), &bad, 1000);
        }
        else if (cases[i].trouble == TRIED) {
            wanted.excluded[wanted.excluded_count++] = Rng_HashString("far");
        }
        else if (cases[i].trouble == AWAY) {
            Roster_NoteUnreachable(roster, Rng_HashString("far"), 1000);
        }
        else if (cases[i].trouble == ABSENT) {
            Roster_Remove(roster, "far");
        }
        for (int n = 0; n < 50; n++) {
            gboolean found = Roster_Choose(roster, &wanted, 1010, &choice);

            g_assert_cmpint(found, ==, cases[i].hosts != NULL);
            g_assert_cmpint(choice.away_ms, ==, cases[i].away_ms);
            g_assert_true(!found ||
                          strstr(cases[i].hosts, choice.entry.host) != NULL);
        }
        Roster_Destroy(roster);
        RegionSet_Unref(wanted.route_regions);
        RegionSet_Unref(wanted.team_regions);
    }
}

/* Checks that the region is away until `now`, and that one restricted request
 * tries it then, without success. */
static void
check_probe(Roster *roster, const RosterQuery *wanted, ClockMs now,
            ClockMs away_ms)
{
    RosterQuery unrestricted = query();
    RosterChoice choice;

    g_assert_false(Roster_Choose(roster, wanted, now - away_ms, &choice));
    g_assert_cmpint(choice.away_ms, ==, away_ms);
    g_assert_true(Roster_Choose(roster, wanted, now, &choice));
    g_assert_true(Roster_Choose(roster, &unrestricted, now, &choice));
    g_assert_false(Roster_Choose(roster, wanted, now, &choice));
    Roster_NoteUnreachable(roster, Rng_HashString("h0"), now);
    Roster_NoteUnreachable(roster, Rng_HashString("h1"), now);
}

/* Replays a region of many hosts that is cut off and returns. Guards against
 * restricted requests that try one host of it after the other, against many
 * that try it at once, and against a region that counts as away because of
 * hosts that end one by one. */
static void
test_region_away(void)
{
    enum { HOSTS = 12 };
    static const char *const names[] = {"r2"};
    Roster *roster = make_roster();
    const RegionSet *regions = RegionSet_Create(names, 1);
    RosterQuery wanted = query();
    RosterReport healthy = report(0.01, 0);
    char hosts[HOSTS][8];
    RosterChoice choice;
    ClockMs now = 1000;

    wanted.route_regions = regions;
    for (int i = 0; i < HOSTS; i++) {
        g_snprintf(hosts[i], sizeof(hosts[i]), "h%d", i);
        add(roster, hosts[i], "dc3", "r2", "i");
    }
    for (int i = 1; i < HOSTS; i++) {
        Roster_NoteUnreachable(roster, Rng_HashString(hosts[i]), now);
        g_assert_true(Roster_Choose(roster, &wanted, now, &choice));
        Roster_Report(roster, choice.host, &healthy, now++);
    }
    /* From now on nothing in the region answers. */
    for (int i = 0; i < 3; i++) {
        g_assert_true(Roster_Choose(roster, &wanted, now, &choice));
        Roster_NoteUnreachable(roster, choice.host, now += 500);
        wanted.excluded[wanted.excluded_count++] = choice.host;
    }
    for (ClockMs away = 400; away <= 1600; away *= 2) {
        now += away;
        check_probe(roster, &wanted, now, away);
    }
    Roster_NoteReached(roster, Rng_HashString("h2"), now);
    g_assert_true(Roster_Choose(roster, &wanted, now, &choice));
    Roster_Destroy(roster);
    RegionSet_Unref(regions);
}

static Roster *
make_even_pair(void)
{
    Roster *roster = Roster_Create(&(Roster_desc){.host = "self",
                                                  .data_centre = "dc1",
                                                  .region = "r1",
                                                  .seed = 5,
                                                  .even_load = TRUE});

    add(roster, "a", "dc1", "r1", "i0");
    add(roster, "b", "dc1", "r1", "i1");
    return roster;
}

static void
report_pair(Roster *roster, uint32_t a, uint32_t b, ClockMs now)
{
    RosterReport report_a = report(0.1, a);
    RosterReport report_b = report(0.1, b);

    Roster_Report(roster, Rng_HashString("a"), &report_a, now);
    Roster_Report(roster, Rng_HashString("b"), &report_b, now);
}

/* Number of 100 choices that go to the host. */
static guint
count_choices(Roster *roster, const char *host, ClockMs now)
{
    RosterQuery wanted = query();
    guint count = 0;

    for (guint i = 0; i < 100; i++) {
        count += g_strcmp0(choose(roster, &wanted, now), host) == 0;
    }
    return count;
}

/* Guards against requests that are sent at the same moment to the same host,
 * against a good report that still decides after its issuer has died, and
 * against a preference that moves requests to another data centre. */
static void
test_even_load(void)
{
    Roster *roster = make_even_pair();

    report_pair(roster, 2, 2, 1000);
    for (guint i = 0; i < 5; i++) {
        Roster_Begin(roster, Rng_HashString("a"));
    }
    g_assert_cmpuint(count_choices(roster, "a", 1000), ==, 0);
    for (guint i = 0; i < 6; i++) {
        Roster_End(roster, Rng_HashString("a"));
    }
    g_assert_cmpuint(count_choices(roster, "a", 1000), >, 25);
    report_pair(roster, 0, 4, 2000);
    g_assert_cmpuint(count_choices(roster, "a", 2000), >, 90);
    g_assert_cmpuint(count_choices(roster, "a", 12000), <, 75);
    Roster_NoteUnreachable(roster, Rng_HashString("a"), 2000);
    g_assert_cmpuint(count_choices(roster, "a", 2010), ==, 0);
    report_pair(roster, 2, 2, 20000);
    add(roster, "region", "dc2", "r1", "i2");
    g_assert_cmpuint(count_choices(roster, "region", 20000), ==, 0);
    Roster_Destroy(roster);
}

/* Guards against a service that counts as full by old reports, or although a
 * host has room. */
static void
test_full(void)
{
    static const struct {
        uint32_t a;
        uint32_t b;
        ClockMs now;
        gboolean full;
    } cases[] = {
        {5, 9, 1000, TRUE},
        {5, 9, 1000 + ROSTER_FULL_MS, TRUE},
        {5, 9, 1001 + ROSTER_FULL_MS, FALSE},
        {5, 4, 1000, FALSE},
    };
    RosterQuery wanted = query();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Roster *roster = make_even_pair();
        RosterChoice choice;

        report_pair(roster, cases[i].a, cases[i].b, 1000);
        g_assert_true(Roster_Choose(roster, &wanted, cases[i].now, &choice));
        g_assert_cmpint(choice.full_wait_ms > 0, ==, cases[i].full);
        Roster_Destroy(roster);
    }
}

/* Guards against a host that is left out of its neighbours' mirrors and quotas
 * because its backend server takes no requests, while the host goes on. */
static void
test_leaving_neighbour(void)
{
    static const struct {
        ClockMs stop_ms;
        uint32_t hosts; /* in the rank of this data centre */
    } cases[] = {{0, 2}, {3000, 1}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Roster *roster = Roster_Create(&(Roster_desc){
            .host = "self", .data_centre = "dc1", .region = "r1"});
        RosterReport gone = report(0.1, 0);
        RosterPeer peers[2];

        add(roster, "a", "dc1", "r1", "i0");
        gone.leaving = TRUE;
        gone.stop_ms = cases[i].stop_ms;
        Roster_Report(roster, Rng_HashString("a"), &gone, 1000);
        g_assert_cmpuint(Roster_Rank(roster, 1, FALSE, 1001, peers, 2), ==,
                         cases[i].hosts);
        Roster_Destroy(roster);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/roster/withdrawn", test_withdrawn);
    g_test_add_func("/roster/entry", test_entry);
    g_test_add_func("/roster/leaving-neighbour", test_leaving_neighbour);
    g_test_add_func("/roster/entry-ranges", test_entry_ranges);
    g_test_add_func("/roster/choice", test_choice);
    g_test_add_func("/roster/unreachable", test_unreachable);
    g_test_add_func("/roster/regions", test_regions);
    g_test_add_func("/roster/region-away", test_region_away);
    g_test_add_func("/roster/stopping", test_stopping);
    g_test_add_func("/roster/exploration", test_exploration);
    g_test_add_func("/roster/newcomer", test_new_backend_server);
    g_test_add_func("/roster/unknown-far", test_unknown_far);
    g_test_add_func("/roster/rank", test_rank);
    g_test_add_func("/roster/retain", test_retain);
    g_test_add_func("/roster/retain-later", test_retain_later);
    g_test_add_func("/roster/lost", test_lost);
    g_test_add_func("/roster/owner-explores", test_owner_explores);
    g_test_add_func("/roster/even-load", test_even_load);
    g_test_add_func("/roster/full", test_full);
    return g_test_run();
}
