/* Tests of the explanation of a choice. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "http/http_message.h"
#include "roster/roster_explain.h"

#define SERVICE "permits"
#define NOW 10000

/* Maximum random part of a cost without and with even_load. */
#define RANDOM_PART 0.011
#define RANDOM_PART_EVEN 0.05

#define DRAWS 40

static void
add(Roster *roster, const char *host, const char *data_centre,
    const char *region)
{
    RosterEntry entry = {.rpc_port = 7, .slots = 5};

    g_strlcpy(entry.host, host, sizeof(entry.host));
    g_strlcpy(entry.instance, "i", sizeof(entry.instance));
    g_strlcpy(entry.service, SERVICE, sizeof(entry.service));
    g_strlcpy(entry.data_centre, data_centre, sizeof(entry.data_centre));
    g_strlcpy(entry.region, region, sizeof(entry.region));
    g_assert_true(HttpAddress_Parse("127.0.0.1:9", &entry.peer));
    Roster_Set(roster, &entry, 0);
}

static Roster *
make_roster(gboolean even_load)
{
    Roster *roster = Roster_Create(&(Roster_desc){.host = "self",
                                                  .data_centre = "dc1",
                                                  .region = "r1",
                                                  .seed = 7,
                                                  .even_load = even_load});

    add(roster, "self", "dc1", "r1");
    add(roster, "near", "dc1", "r1");
    add(roster, "region", "dc2", "r1");
    add(roster, "far", "dc3", "r2");
    return roster;
}

typedef enum What {
    UNKNOWN, /* no reports */
    KNOWN,
    BUSY, /* all slots of `host` are in use, and more wait */
    RISKY,
    STOPPING, /* an issuance; the host stops before it would end */
    AVOIDED,
    ALL_AVOIDED,
    EVACUATED, /* dc1 */
    RESTRICTED /* to r2 */
} What;

typedef struct Situation {
    What what;
    const char *host;
    const char *excluded; /* why the host is */
    const char *chosen;   /* NULL: by the random part */
} Situation;

static const Situation situations[] = {
    {UNKNOWN, "self", "", NULL},
    {KNOWN, "self", "", NULL},
    {BUSY, "self", "", "near"},
    {RISKY, "near", "", "self"},
    {STOPPING, "self", "stopping", "near"},
    {AVOIDED, "near", "avoided", "self"},
    {ALL_AVOIDED, "self", "avoided", NULL},
    {EVACUATED, "near", "evacuated", "region"},
    {RESTRICTED, "self", "region", "far"},
};

/* Puts the roster in the situation and fills the query. */
static void
set_up(Roster *roster, const Situation *situation, const RegionSet *r2,
       RosterQuery *query)
{
    static const char *const hosts[] = {"self", "near", "region", "far"};
    What what = situation->what;
    uint64_t withdrawn = Rng_HashString("dc1");

    *query = (RosterQuery){.service = Rng_HashString(SERVICE),
                           .request = {.failure_cost = 1,
                                       .relative_size = 1,
                                       .time_left_ms = 2000},
                           .deadline = NOW + 5000,
                           .run_allowance_ms = 2500,
                           .may_explore = what == UNKNOWN,
                           .is_issuance = what == STOPPING,
                           .route_regions = what == RESTRICTED ? r2 : NULL};
    for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
        uint64_t host = Rng_HashString(hosts[i]);
        gboolean is_it = strcmp(hosts[i], situation->host) == 0;
        RosterReport report = {.risk = is_it && what == RISKY,
                               .slots = 5,
                               .in_flight = is_it && what == BUSY ? 9 : 0,
                               .stop_ms = is_it && what == STOPPING ? 100 : 0,
                               .service_ms = 500};

        if (what != UNKNOWN) {
            Roster_Report(roster, host, &report, NOW - 10);
        }
        if (what == ALL_AVOIDED || (is_it && what == AVOIDED)) {
            Roster_NoteUnreachable(roster, host, NOW - 5);
        }
    }
    Roster_SetWithdrawn(roster, &withdrawn, what == EVACUATED);
}

static const RosterCandidate *
find(const RosterExplanation *explanation, const char *host)
{
    for (uint32_t i = 0; i < explanation->count; i++) {
        if (strcmp(explanation->candidates[i].entry.host, host) == 0) {
            return &explanation->candidates[i];
        }
    }
    return NULL;
}

/* Two rosters with the same seed choose alike, although one also explains; the
 * random part is the most by which their choice costs more. */
static void
compare_choices(Roster *explaining, Roster *plain, const RosterQuery *query,
                double random_part)
{
    RosterReport own = {.risk = 1, .slots = 5, .in_flight = 9};
    RosterExplanation explained;
    RosterChoice choice;
    RosterChoice expected;

    Roster_Explain(explaining, query, &own, NOW, &explained);
    Roster_Explain(explaining, query, NULL, NOW, &explained);
    g_assert_true(Roster_Choose(explaining, query, NOW, &choice));
    g_assert_true(Roster_Choose(plain, query, NOW, &expected));
    g_assert_cmpstr(choice.entry.host, ==, expected.entry.host);
    g_assert_cmpfloat(choice.cost, ==, expected.cost);
    g_assert_cmpint(choice.age_ms, ==, expected.age_ms);
    g_assert_cmpfloat(find(&explained, choice.entry.host)->cost, <=,
                      explained.choice.cost + random_part);
}

static void
check_explained(Roster *roster, const RosterQuery *query,
                const Situation *situation)
{
    RosterExplanation explained;

    Roster_Explain(roster, query, NULL, NOW, &explained);
    g_assert_true(explained.is_chosen);
    g_assert_cmpuint(explained.count, ==, 4);
    g_assert_cmpstr(
        RosterExclusion_Name(find(&explained, situation->host)->exclusion), ==,
        situation->excluded);
    if (situation->chosen != NULL) {
        g_assert_cmpstr(explained.choice.entry.host, ==, situation->chosen);
    }
}

/* Guards against an explanation that names another host than the choice takes,
 * beyond its random part, or another reason for an exclusion, and against one
 * that changes later choices. */
static void
test_same_choice(void)
{
    static const char *const name = "r2";
    RegionSet *r2 = RegionSet_Create(&name, 1);

    for (size_t i = 0; i < 2 * G_N_ELEMENTS(situations); i++) {
        const Situation *situation = &situations[i / 2];
        gboolean even = i % 2 == 1;
        Roster *explaining = make_roster(even);
        Roster *plain = make_roster(even);
        RosterQuery query;

        g_test_message("situation %d, even_load %d", situation->what, even);
        set_up(plain, situation, r2, &query);
        set_up(explaining, situation, r2, &query);
        for (int draw = 0; draw < DRAWS; draw++) {
            compare_choices(explaining, plain, &query,
                            even ? RANDOM_PART_EVEN : RANDOM_PART);
        }
        check_explained(explaining, &query, situation);
        Roster_Destroy(explaining);
        Roster_Destroy(plain);
    }
    RegionSet_Unref(r2);
}

/* Guards against a host's own state that is out of date in its explanations.
 */
static void
test_own(void)
{
    Roster *roster = make_roster(FALSE);
    RosterReport own = {.risk = 0, .slots = 5, .in_flight = 9};
    RosterQuery query;
    RosterExplanation explained;

    set_up(roster, &situations[1], NULL, &query);
    Roster_Explain(roster, &query, &own, NOW, &explained);
    g_assert_cmpstr(explained.choice.entry.host, ==, "near");
    g_assert_cmpint(find(&explained, "self")->age_ms, ==, 0);
    Roster_Destroy(roster);
}

/* Guards against an explanation that begins the probe of a region that is
 * away. */
static void
test_probe(void)
{
    static const char *const far[] = {"far", "far2", "far3"};
    static const char *const name = "r2";
    Roster *roster = make_roster(FALSE);
    RosterQuery query;
    RosterExplanation explained;
    RosterChoice choice;
    RegionSet *r2 = RegionSet_Create(&name, 1);

    set_up(roster, &situations[1], NULL, &query);
    for (size_t i = 0; i < G_N_ELEMENTS(far); i++) {
        add(roster, far[i], "dc3", "r2");
        Roster_NoteUnreachable(roster, Rng_HashString(far[i]), NOW);
    }
    query.route_regions = r2;
    g_assert_false(Roster_Choose(roster, &query, NOW + 1, &choice));
    /* Once the region is tried again, the first request probes it. */
    Roster_Explain(roster, &query, NULL, NOW + 5000, &explained);
    Roster_Explain(roster, &query, NULL, NOW + 5000, &explained);
    g_assert_true(explained.is_chosen);
    g_assert_true(Roster_Choose(roster, &query, NOW + 5000, &choice));
    g_assert_false(Roster_Choose(roster, &query, NOW + 5001, &choice));
    RegionSet_Unref(r2);
    Roster_Destroy(roster);
}

/* Guards against an answer that grows with the fleet, or drops the best. */
static void
test_bounded(void)
{
    Roster *roster = make_roster(FALSE);
    RosterExplanation explained;
    RosterQuery query;
    char name[16];

    for (int i = 0; i < 100; i++) {
        g_snprintf(name, sizeof(name), "more-%d", i);
        add(roster, name, "dc3", "r2");
    }
    set_up(roster, &situations[1], NULL, &query);
    Roster_Explain(roster, &query, NULL, NOW, &explained);
    g_assert_cmpuint(explained.count, ==, ROSTER_EXPLAINED);
    g_assert_cmpuint(explained.left_out, ==, 104 - ROSTER_EXPLAINED);
    for (uint32_t i = 1; i < explained.count; i++) {
        g_assert_cmpfloat(explained.candidates[i - 1].cost, <=,
                          explained.candidates[i].cost);
    }
    Roster_Destroy(roster);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/roster-explain/same-choice", test_same_choice);
    g_test_add_func("/roster-explain/own", test_own);
    g_test_add_func("/roster-explain/probe", test_probe);
    g_test_add_func("/roster-explain/bounded", test_bounded);
    return g_test_run();
}
