/* Tests of the configuration tables. */
#include <pthread.h>
#include <urcu.h>

#include "base/rng.h"
#include "config/config_table.h"
#include "config/test_support.h"
#include "config/ticket_check.h"

#define ROUTE \
    "{'service':'s','teams':[],'issuance':false,'deadline_ms':1,'retries':0}"

static const char *
find_route(Config *config, const char *path)
{
    static char found[TICKET_MAX_PATH + 1];
    const ConfigTable *table = Config_ReadLock(config);
    ConfigRouteInfo info;

    found[0] = '\0';
    if (Config_GetRoute(table, Config_FindRoute(table, path), &info)) {
        g_strlcpy(found, info.path, sizeof(found));
    }
    Config_ReadUnlock(config);
    return found;
}

/* Guards against a request that is matched to the route of a shorter or merely
 * similar path. */
static void
test_routes(void)
{
    static const char *const cases[][2] = {
        {"/", ""},
        {"/permits", "/permits"},
        {"/permits/", "/permits"},
        {"/permits/7", "/permits"},
        {"/permitsx", ""},
        {"/permits/new", "/permits/new"},
        {"/permits/new/1", "/permits/new"},
        {"/permits/newer", "/permits"},
        {"/meters", ""},
        {"/meters/", "/meters/"},
        {"/meters/9/x", "/meters/"},
        {"permits", ""},
        {"", ""},
    };
    Config *config = Config_Create();

    apply_sets(config, "{'routes':{'/permits':" ROUTE ",'/permits/new':" ROUTE
                       ",'/meters/':" ROUTE "}}");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpstr(find_route(config, cases[i][0]), ==, cases[i][1]);
    }
    apply_sets(config, "{'routes':{'/':" ROUTE ",'/permits/new':null}}");
    g_assert_cmpstr(find_route(config, "/permits/new/1"), ==, "/permits");
    g_assert_cmpstr(find_route(config, "/other"), ==, "/");
    Config_Destroy(config);
}

#define ROUTE_FIELDS                                               \
    "{'services':{'s':{'floor_percent':75,'total':12}},"           \
    "'teams':{'a':{'rate_per_s':0.5,'burst':20,'keys':[]},"        \
    "'ab':{'rate_per_s':1,'burst':1,'keys':[]}},"                  \
    "'routes':{'/x':{'service':'s','teams':['a'],'issuance':true," \
    "'deadline_ms':250,'retries':2,'split':[{'pool':'old',"        \
    "'share_percent':30},{'pool':'new','share_percent':70}]}}}"

/* Guards against lost or swapped fields of a route. */
static void
test_route_fields(void)
{
    Config *config = Config_Create();
    const ConfigTable *table;
    ConfigRouteInfo info;

    apply_sets(config, ROUTE_FIELDS);
    table = Config_ReadLock(config);
    g_assert_true(
        Config_GetRoute(table, Config_FindRouteExact(table, "/x"), &info));
    g_assert_true(info.issuance);
    g_assert_cmpuint(info.deadline_ms, ==, 250);
    g_assert_cmpuint(info.retries, ==, 2);
    g_assert_cmpuint(info.split_count, ==, 2);
    g_assert_cmpstr(info.splits[1].pool, ==, "new");
    g_assert_cmpuint(info.splits[1].share_percent, ==, 70);
    g_assert_cmpuint(info.service, ==, Config_FindService(table, "s"));
    Config_ReadUnlock(config);
    Config_Destroy(config);
}

static gboolean
route_allows(Config *config, const char *path, const char *team)
{
    const ConfigTable *table = Config_ReadLock(config);
    gboolean allowed =
        Config_RouteAllows(table, Config_FindRouteExact(table, path),
                           Config_FindTeam(table, team));

    Config_ReadUnlock(config);
    return allowed;
}

/* Guards against a route that becomes open to all teams when its listed teams
 * are removed, and against a team that is allowed because of a similar name.
 */
static void
test_route_teams(void)
{
    Config *config = Config_Create();
    const ConfigTable *table;
    ConfigRouteInfo info;

    apply_sets(config, ROUTE_FIELDS);
    g_assert_true(route_allows(config, "/x", "a"));
    g_assert_false(route_allows(config, "/x", "ab"));
    g_assert_false(route_allows(config, "/x", "none"));
    apply_sets(config, "{'teams':{'a':null},'services':{'s':null}}");
    g_assert_false(route_allows(config, "/x", "ab"));
    table = Config_ReadLock(config);
    g_assert_true(
        Config_GetRoute(table, Config_FindRouteExact(table, "/x"), &info));
    g_assert_cmpuint(info.service, ==, CONFIG_NONE);
    Config_ReadUnlock(config);
    Config_Destroy(config);
}

/* Guards against a handle of a removed team that resolves to a later team in
 * the same slot. */
static void
test_handles(void)
{
    Config *config = Config_Create();
    const ConfigTable *table;
    ConfigTeamInfo info;
    ConfigTeam old;

    apply_sets(config, "{'teams':{'a':{'rate_per_s':0.5,'burst':20,"
                       "'keys':[]}}}");
    table = Config_ReadLock(config);
    old = Config_FindTeam(table, "a");
    Config_ReadUnlock(config);
    apply_sets(config, "{'teams':{'a':{'rate_per_s':7,'burst':2,"
                       "'keys':[]}}}");
    table = Config_ReadLock(config);
    g_assert_true(Config_GetTeam(table, old, &info));
    g_assert_cmpint(info.rate_micro, ==, 7000000);
    Config_ReadUnlock(config);
    apply_sets(config, "{'teams':{'a':null,'b':{'rate_per_s':1,'burst':1,"
                       "'keys':[]}}}");
    table = Config_ReadLock(config);
    g_assert_false(Config_GetTeam(table, old, &info));
    g_assert_true(Config_GetTeam(table, Config_FindTeam(table, "b"), &info));
    Config_ReadUnlock(config);
    Config_Destroy(config);
}

static Result
find_key(Config *config, int number, char *team)
{
    const ConfigTable *table;
    ConfigTeamInfo info;
    ConfigTeam found;
    ConfigKeyHash hash;
    Result result;
    char hex[65];

    Config_HashFromHex(key_hex(number, hex), &hash);
    table = Config_ReadLock(config);
    result = Config_FindTeamByKeyHash(table, &hash, &found);
    g_strlcpy(team, "", 64);
    if (result == RESULT_OK && Config_GetTeam(table, found, &info)) {
        g_strlcpy(team, info.name, 64);
    }
    Config_ReadUnlock(config);
    return result;
}

static void
withdraw(Config *config, int number)
{
    ConfigKeyHash hash;
    char hex[65];

    Config_HashFromHex(key_hex(number, hex), &hash);
    Config_WithdrawKey(config, &hash);
}

/* Guards against a ticket that restores a withdrawn key, whether the
 * withdrawal is made before, between or after the tickets that list the key.
 */
static void
test_withdrawal(void)
{
    for (int when = 0; when < 3; when++) {
        Config *config = Config_Create();
        char hex[65];
        char team[64];
        char *sets = g_strdup_printf("{'teams':{'a':{'rate_per_s':1,'burst':1,"
                                     "'keys':['%s']}}}",
                                     key_hex(1, hex));

        g_assert_cmpint(find_key(config, 1, team), ==, RESULT_KEY_UNKNOWN);
        for (int step = 0; step < 3; step++) {
            if (step == when) {
                withdraw(config, 1);
            }
            if (step < 2) {
                g_assert_cmpint(apply_sets(config, sets), ==, RESULT_OK);
                g_assert_cmpint(find_key(config, 1, team), ==,
                                step >= when ? RESULT_KEY_WITHDRAWN
                                             : RESULT_OK);
            }
        }
        apply_sets(config, "{'teams':{'a':null}}");
        g_assert_cmpint(find_key(config, 1, team), ==, RESULT_KEY_WITHDRAWN);
        g_assert_cmpint(find_key(config, 2, team), ==, RESULT_KEY_UNKNOWN);
        g_free(sets);
        Config_Destroy(config);
    }
}

/* Guards against a digest that misses a difference between two sets, and
 * against a wrong position of the first withdrawal that a peer lacks. */
static void
test_withdrawal_digest(void)
{
    Config *one = Config_Create();
    Config *two = Config_Create();
    uint64_t digest = 0;

    for (int i = 0; i < 100; i++) {
        if (i == 60) {
            digest = Config_GetWithdrawalsDigest(one);
        }
        withdraw(one, i);
        withdraw(two, 99 - i);
    }
    g_assert_cmpuint(Config_GetWithdrawalsDigest(one), ==,
                     Config_GetWithdrawalsDigest(two));
    g_assert_cmpint(ConfigWithdrawn_Compare(one->withdrawn, digest, 64), ==,
                    60);
    g_assert_cmpint(ConfigWithdrawn_Compare(one->withdrawn, digest, 10), ==,
                    -1);
    g_assert_cmpint(ConfigWithdrawn_Compare(one->withdrawn, 0, 100), ==, 0);
    g_assert_cmpuint(ConfigWithdrawn_Compare(
                         one->withdrawn, Config_GetWithdrawalsDigest(two), 64),
                     ==, 100);
    withdraw(two, 100);
    g_assert_cmpuint(Config_GetWithdrawalsDigest(one), !=,
                     Config_GetWithdrawalsDigest(two));
    Config_Destroy(one);
    Config_Destroy(two);
}

/* Guards against two teams with the same key, and against an invalid ticket
 * that changes something or blocks later tickets. */
static void
test_key_conflict(void)
{
    Config *config = Config_Create();
    char hex[65];
    char team[64];
    char *sets;

    key_hex(1, hex);
    sets = g_strdup_printf(
        "{'teams':{'a':{'rate_per_s':1,'burst':1,'keys':['%s']}}}", hex);
    g_assert_cmpint(apply_sets(config, sets), ==, RESULT_OK);
    g_free(sets);
    sets =
        g_strdup_printf("{'teams':{'c':{'rate_per_s':1,'burst':1,'keys':[]},"
                        "'b':{'rate_per_s':1,'burst':1,'keys':['%s']}}}",
                        hex);
    g_assert_cmpint(apply_sets(config, sets), ==, RESULT_TICKET_INVALID);
    g_free(sets);
    g_assert_cmpint(Config_PeekVersion(config), ==, 2);
    g_assert_cmpint(find_key(config, 1, team), ==, RESULT_OK);
    g_assert_cmpstr(team, ==, "a");
    /* One ticket may move the key, in any order of the teams. */
    sets = g_strdup_printf(
        "{'teams':{'b':{'rate_per_s':1,'burst':1,'keys':['%s']},"
        "'a':{'rate_per_s':1,'burst':1,'keys':[]}}}",
        hex);
    g_assert_cmpint(apply_sets(config, sets), ==, RESULT_OK);
    g_free(sets);
    g_assert_cmpint(find_key(config, 1, team), ==, RESULT_OK);
    g_assert_cmpstr(team, ==, "b");
    Config_Destroy(config);
}

/* Guards against a version that decreases or skips a ticket. */
static void
test_versions(void)
{
    Config *config = Config_Create();
    static const struct {
        int64_t number;
        Result result;
        gboolean applied;
    } steps[] = {
        {2, RESULT_NOT_FOUND, FALSE}, {1, RESULT_OK, TRUE},
        {1, RESULT_OK, FALSE},        {3, RESULT_NOT_FOUND, FALSE},
        {2, RESULT_OK, TRUE},         {1, RESULT_OK, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        Ticket *ticket =
            make_ticket(steps[i].number, "ana",
                        "{'services':{'s':{'floor_percent':1,'total':1}}}");
        gboolean applied;

        g_assert_cmpint(Config_ApplyTicket(config, ticket, &applied, NULL), ==,
                        steps[i].result);
        g_assert_true(applied == steps[i].applied);
        Ticket_Free(ticket);
    }
    g_assert_cmpint(Config_PeekVersion(config), ==, 2);
    Config_Destroy(config);
}

#define MODEL_TEAMS 40
#define MODEL_KEYS 60
#define MODEL_TICKETS 400

/* Plain model of teams and keys, which are identified by number. */
typedef struct Model {
    gboolean teams[MODEL_TEAMS]; /* whether the team exists */
    int owner[MODEL_KEYS];       /* team of the key, -1 = none */
} Model;

/* Returns the sets of a random ticket for some teams. A team gets only keys of
 * no team or of other teams in the ticket, so that the ticket is always
 * valid. */
static char *
random_sets(Rng *rng, Model *model)
{
    GString *out = g_string_new("{'teams':{");
    gboolean touched[MODEL_TEAMS] = {FALSE};
    char hex[65];

    for (int i = 0; i < 4; i++) {
        touched[Rng_Below(rng, MODEL_TEAMS)] = TRUE;
    }
    for (int k = 0; k < MODEL_KEYS; k++) {
        if (model->owner[k] >= 0 && touched[model->owner[k]]) {
            model->owner[k] = -1;
        }
    }
    for (int t = 0; t < MODEL_TEAMS; t++) {
        if (!touched[t]) {
            continue;
        }
        model->teams[t] = Rng_Below(rng, 3) != 0;
        g_string_append_printf(
            out, "%s't%d':", out->str[out->len - 1] == '{' ? "" : ",", t);
        if (!model->teams[t]) {
            g_string_append(out, "null");
            continue;
        }
        g_string_append(out, "{'rate_per_s':1,'burst':1,'keys':[");
        for (int k = 0; k < MODEL_KEYS; k++) {
            if (model->owner[k] < 0 && Rng_Below(rng, 5) == 0) {
                model->owner[k] = t;
                g_string_append_printf(
                    out, "%s'%s'", out->str[out->len - 1] == '[' ? "" : ",",
                    key_hex(k, hex));
            }
        }
        g_string_append(out, "]}");
    }
    g_string_append(out, "}}");
    return g_string_free(out, FALSE);
}

static void
check_model(Config *config, const Model *model)
{
    char team[64];
    char name[8];
    const ConfigTable *table;

    for (int k = 0; k < MODEL_KEYS; k++) {
        Result result = find_key(config, k, team);

        g_assert_cmpint(result, ==,
                        model->owner[k] < 0 ? RESULT_KEY_UNKNOWN : RESULT_OK);
        if (result == RESULT_OK) {
            g_snprintf(name, sizeof(name), "t%d", model->owner[k]);
            g_assert_cmpstr(team, ==, name);
        }
    }
    table = Config_ReadLock(config);
    for (int t = 0; t < MODEL_TEAMS; t++) {
        g_snprintf(name, sizeof(name), "t%d", t);
        g_assert_true((Config_FindTeam(table, name) != CONFIG_NONE) ==
                      model->teams[t]);
    }
    Config_ReadUnlock(config);
}

/* Copies a table into another Config by all its snapshot parts. */
static void
copy_by_parts(Config *from, Config *to, uint32_t parts)
{
    const ConfigTable *table = _Config_Pin(from);
    GPtrArray *problems = Ticket_CreateProblems();
    ConfigDraft draft;

    _Config_BeginDraft(to, &draft);
    for (uint32_t part = 0; part < parts; part++) {
        GString *text = _Config_DumpPart(table, part, parts);
        json_t *sets = json_loadb(text->str, text->len, 0, NULL);

        g_assert_true(_Ticket_CheckSets(sets, problems));
        g_assert_cmpint(_Config_ApplyPart(&draft, sets, part, parts, NULL), ==,
                        RESULT_OK);
        json_decref(sets);
        g_string_free(text, TRUE);
    }
    _Config_CommitDraft(&draft, Config_GetVersion(table));
    _Config_Unpin(from);
    g_ptr_array_unref(problems);
}

/* Guards against broken bucket chains, key lists and free lists: after each of
 * a long series of tickets the table must agree with a plain model, and so
 * must a copy by snapshot parts onto a table that is some tickets behind. */
static void
test_model(void)
{
    Config *config = Config_Create();
    Config *copy = Config_Create();
    Model model = {0};
    Rng rng;

    Rng_Seed(&rng, 7);
    for (int k = 0; k < MODEL_KEYS; k++) {
        model.owner[k] = -1;
    }
    for (int i = 0; i < MODEL_TICKETS; i++) {
        char *sets = random_sets(&rng, &model);

        g_assert_cmpint(apply_sets(config, sets), ==, RESULT_OK);
        g_free(sets);
        check_model(config, &model);
        if (i % 13 == 0) {
            copy_by_parts(config, copy, 1 + (uint32_t)(i % 5));
            g_assert_cmpint(Config_PeekVersion(copy), ==, i + 1);
            check_model(copy, &model);
        }
    }
    Config_Destroy(config);
    Config_Destroy(copy);
}

/* Guards against pages or strings that are freed or reused while a pinned
 * table still refers to them. */
static void
test_pin(void)
{
    Config *config = Config_Create();
    const ConfigTable *pinned;
    GString *before;
    GString *after;

    apply_sets(config, "{'routes':{'/a':" ROUTE ",'/b':" ROUTE "}}");
    pinned = _Config_Pin(config);
    g_assert_null(_Config_Pin(config));
    before = _Config_DumpPart(pinned, 0, 1);
    for (int i = 0; i < 20; i++) {
        apply_sets(config, i % 2 ? "{'routes':{'/a':" ROUTE ",'/b':null}}"
                                 : "{'routes':{'/a':null,'/c':" ROUTE "}}");
    }
    after = _Config_DumpPart(pinned, 0, 1);
    g_assert_cmpstr(after->str, ==, before->str);
    g_string_free(before, TRUE);
    g_string_free(after, TRUE);
    _Config_Unpin(config);
    Config_Destroy(config);
}

typedef struct Reader {
    Config *config;
    gboolean stop; /* atomic */
} Reader;

/* Checks that versions never decrease and that both teams have the rate of the
 * version. */
static void *
run_reader(void *context)
{
    Reader *reader = context;
    ConfigTeamInfo a;
    ConfigTeamInfo b;
    int64_t version = 0;

    rcu_register_thread();
    while (!__atomic_load_n(&reader->stop, __ATOMIC_ACQUIRE)) {
        const ConfigTable *table = Config_ReadLock(reader->config);

        g_assert_cmpint(Config_GetVersion(table), >=, version);
        version = Config_GetVersion(table);
        if (Config_GetTeam(table, Config_FindTeam(table, "a"), &a) &&
            Config_GetTeam(table, Config_FindTeam(table, "b"), &b)) {
            g_assert_cmpint(a.rate_micro, ==, b.rate_micro);
            g_assert_cmpint(a.rate_micro, ==, version * 1000000);
            g_assert_cmpstr(a.name, ==, "a");
        }
        Config_ReadUnlock(reader->config);
    }
    rcu_unregister_thread();
    return NULL;
}

/* Guards against readers that see a partly applied ticket, an older version
 * after a newer one, or freed memory. */
static void
test_readers(void)
{
    Reader reader = {.config = Config_Create()};
    pthread_t threads[3];

    for (int i = 0; i < 3; i++) {
        pthread_create(&threads[i], NULL, run_reader, &reader);
    }
    for (int i = 1; i <= 300; i++) {
        char *sets = g_strdup_printf(
            "{'teams':{'a':{'rate_per_s':%d,'burst':1,'keys':[]},"
            "'b':{'rate_per_s':%d,'burst':1,'keys':[]},"
            "'c%d':{'rate_per_s':1,'burst':1,'keys':[]},'c%d':null}}",
            i, i, i, i - 5);

        apply_sets(reader.config, sets);
        withdraw(reader.config, i);
        g_free(sets);
    }
    __atomic_store_n(&reader.stop, TRUE, __ATOMIC_RELEASE);
    for (int i = 0; i < 3; i++) {
        pthread_join(threads[i], NULL);
    }
    Config_Destroy(reader.config);
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    init_error_domains();
    g_test_add_func("/config/routes", test_routes);
    g_test_add_func("/config/route-fields", test_route_fields);
    g_test_add_func("/config/route-teams", test_route_teams);
    g_test_add_func("/config/handles", test_handles);
    g_test_add_func("/config/withdrawal", test_withdrawal);
    g_test_add_func("/config/withdrawal-digest", test_withdrawal_digest);
    g_test_add_func("/config/key-conflict", test_key_conflict);
    g_test_add_func("/config/versions", test_versions);
    g_test_add_func("/config/model", test_model);
    g_test_add_func("/config/pin", test_pin);
    g_test_add_func("/config/readers", test_readers);
    result = g_test_run();
    rcu_unregister_thread();
    return result;
}
