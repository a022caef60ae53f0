/* Tests of changes of the table of teams, in mode "platform" with real
 * processes: which requests are served depends on whether the configuration
 * has such a table, and not on whether it has members. */
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <string.h>

#include "site.h"

#define HOSTS 3
#define K1 "{\"crews\":{\"api_keys\":[\"k1\"]}}"
#define K2 "{\"crews\":{\"api_keys\":[\"k2\"]}}"

/* Longest time until a change is in force, or until an unusable configuration
 * leaves no proof for keys. */
#define CHANGE_MS 8000

/* Requests of each kind after that. */
#define CHECKS 6

enum { KEY_1, KEY_2, NO_KEY, ANONYMOUS, KINDS };

static const char *const kind_names[KINDS] = {"k1", "k2", "no key",
                                              "anonymous route"};

typedef struct Step {
    const char *name;
    const char *teams; /* NULL: the configuration has no such table */
    int statuses[KINDS];
} Step;

static int
send_one(Site *site, int host, int kind)
{
    static const char *const keys[KINDS] = {"k1", "k2", NULL, NULL};
    SiteReply reply =
        Site_Request(site, host, "GET",
                     kind == ANONYMOUS ? "/open/1" : "/read/1", keys[kind]);

    return reply.result == RESULT_OK ? reply.status : -1;
}

static gboolean
has_statuses(Site *site, const Step *step, int hosts, gboolean assert)
{
    for (int i = 0; i < hosts * KINDS; i++) {
        int kind = i % KINDS;
        int status = send_one(site, i / KINDS, kind);

        if (status != step->statuses[kind]) {
            if (assert) {
                g_test_fail_printf("%s, %s at host %d: %d instead of %d",
                                   step->name, kind_names[kind], i / KINDS,
                                   status, step->statuses[kind]);
            }
            return FALSE;
        }
    }
    return TRUE;
}

/* The statuses at the first hosts become as expected, and stay so. */
static void
check_step(Site *site, const Step *step, int hosts)
{
    ClockMs end = Clock_Now() + CHANGE_MS;

    while (!has_statuses(site, step, hosts, FALSE) && Clock_Now() < end) {
        (void)poll(NULL, 0, 50);
    }
    for (int i = 0; i < CHECKS; i++) {
        if (!has_statuses(site, step, hosts, TRUE)) {
            return;
        }
    }
}

static Site *
make_site(const char *teams)
{
    Site *site = Site_Create();

    Site_ConfigureTeams(site, 1, teams);
    for (int i = 0; i < HOSTS; i++) {
        Site_AddHost(site, &(SiteHost_desc){0});
    }
    Site_AwaitReady(site);
    return site;
}

static void
restart(Site *site, int host)
{
    Site_Signal(site, host, SIGKILL);
    g_assert_true(Site_AwaitExit(site, host, 5000));
    Site_Restart(site, host);
}

/* Guards against a table of teams without members, or one that cannot be read,
 * that is taken for none, so that withdrawn and unknown keys are let in; and
 * against callers without a key who are refused though there is no table. */
static void
test_changes(void)
{
    static const Step steps[] = {
        {"one team", K1, {200, 401, 401, 200}},
        {"the only team is removed", "{}", {401, 401, 401, 200}},
        {"a team with another key", K2, {401, 200, 401, 200}},
        {"the table is removed", NULL, {200, 200, 200, 200}},
        {"an empty table", "{}", {401, 401, 401, 200}},
        {"the empty table is removed", NULL, {200, 200, 200, 200}},
        {"a table again", K1, {200, 401, 401, 200}},
        {"the only key is removed",
         "{\"crews\":{\"api_keys\":[]}}",
         {401, 401, 401, 200}},
        {"two teams",
         "{\"crews\":{\"api_keys\":[\"k1\"]},"
         "\"desks\":{\"api_keys\":[\"k2\"]}}",
         {200, 200, 401, 200}},
        {"keys of one that cannot be read",
         "{\"crews\":{\"api_keys\":\"k1\"},"
         "\"desks\":{\"api_keys\":[\"k2\"]}}",
         {401, 200, 401, 200}},
        {"one of two is removed", K2, {401, 200, 401, 200}},
        {"the other, too", "{}", {401, 401, 401, 200}},
    };
    Site *site = make_site(steps[0].teams);
    char *log;

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        g_test_message("%s", steps[i].name);
        Site_ConfigureTeams(site, (unsigned)i + 1, steps[i].teams);
        check_step(site, &steps[i], HOSTS);
    }
    log = Site_ReadLog(site, 0);
    g_assert_nonnull(strstr(log, "teams=0 keys=0 needs_keys=1"));
    g_assert_nonnull(strstr(log, "teams=0 keys=0 needs_keys=0"));
    g_free(log);
    Site_Destroy(site);
}

/* Guards against a table that cannot be read and that is taken for one without
 * members or for none. The version before it stays in force. When it is too
 * old, requests with a key end, and those without one are no longer denied,
 * since the newest version may need none. */
static void
test_unreadable(void)
{
    static const char *const tables[] = {
        "[]", "null", "\"crews\"", "false", "{\"crews\":[]}",
    };
    Site *site = make_site(K1);
    unsigned version = 1;

    for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
        const Step unreadable = {.name = tables[i],
                                 .statuses = {503, 503, 503, 200}};
        static const Step back = {.name = "readable again",
                                  .statuses = {200, 401, 401, 200}};

        g_test_message("%s", tables[i]);
        Site_ConfigureTeams(site, ++version, tables[i]);
        check_step(site, &unreadable, HOSTS);
        Site_ConfigureTeams(site, ++version, K1);
        check_step(site, &back, HOSTS);
    }
    Site_Destroy(site);
}

/* Guards against the same mistake of a process that starts with such a table,
 * and of one that starts without the store and knows none. */
static void
test_starts(void)
{
    static const struct {
        const char *name;
        const char *teams;
        int statuses[KINDS];
    } cases[] = {
        {"empty table", "{}", {401, 401, 401, 200}},
        {"no table", NULL, {200, 200, 200, 200}},
        {"one team", K1, {200, 401, 401, 200}},
    };
    static const Step unknown = {.name = "without the store",
                                 .statuses = {503, 503, 503, 503}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Step step = {.name = cases[i].name};
        Site *site = make_site(cases[i].teams);

        memcpy(step.statuses, cases[i].statuses, sizeof(step.statuses));
        g_test_message("%s", step.name);
        check_step(site, &step, HOSTS);
        restart(site, 0);
        check_step(site, &step, HOSTS);
        Site_CutStore(site, 0, TRUE);
        restart(site, 0);
        check_step(site, &unknown, 1);
        Site_CutStore(site, 0, FALSE);
        check_step(site, &step, HOSTS);
        Site_Destroy(site);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/keys/changes", test_changes);
    g_test_add_func("/keys/unreadable", test_unreadable);
    g_test_add_func("/keys/starts", test_starts);
    return g_test_run();
}
