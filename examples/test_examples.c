/* Tests that the settings of the example deployments are valid and that their
 * tickets can be applied in order. */
#include <glib.h>
#include <string.h>
#include <urcu.h>

#include "config/config.h"
#include "config/ticket.h"
#include "settings/settings.h"

static char *
read_example(const char *name)
{
    char *path = g_build_filename(SOURCE_DIRECTORY, "examples", name, NULL);
    char *text = NULL;
    GError *error = NULL;

    g_file_get_contents(path, &text, NULL, &error);
    g_assert_no_error(error);
    g_free(path);
    return text;
}

/* Guards against example settings that the daemon refuses. */
static void
test_settings(void)
{
    static const char *const names[] = {"hidrantes/settings.json",
                                        "darowizna/settings.json"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *text = read_example(names[i]);
        GError *error = NULL;
        Settings *settings = Settings_Parse(text, names[i], &error);

        g_assert_no_error(error);
        g_assert_cmpuint(settings->regions.count, ==, 3);
        g_assert_cmpuint(settings->data_centres.count, ==, 6);
        Settings_Destroy(settings);
        g_free(text);
    }
}

static void
apply(Config *config, const char *name)
{
    char *text = read_example(name);
    GPtrArray *problems = Ticket_CreateProblems();
    Ticket *ticket =
        Ticket_Parse(text, strlen(text), TICKET_FROM_OPERATOR, problems);
    char *lines = Ticket_FormatProblems(problems);
    GError *error = NULL;
    gboolean applied = FALSE;

    g_assert_cmpstr(lines, ==, "");
    g_assert_nonnull(ticket);
    g_assert_true(
        Ticket_CheckReferences(ticket, Config_ReadLock(config), problems));
    Config_ReadUnlock(config);
    g_assert_cmpint(Config_ApplyTicket(config, ticket, &applied, &error), ==,
                    RESULT_OK);
    g_assert_no_error(error);
    g_assert_true(applied);
    Ticket_Free(ticket);
    g_ptr_array_unref(problems);
    g_free(lines);
    g_free(text);
}

static uint32_t
share_of_new_pool(Config *config)
{
    const ConfigTable *table = Config_ReadLock(config);
    ConfigRouteInfo route;
    uint32_t share = 0;

    g_assert_true(
        Config_GetRoute(table, Config_FindRoute(table, "/issue/17"), &route));
    for (uint32_t i = 0; i < route.split_count; i++) {
        if (strcmp(route.splits[i].pool, "new") == 0) {
            share = route.splits[i].share_percent;
        }
    }
    Config_ReadUnlock(config);
    return share;
}

/* Guards against example tickets that cannot be applied in order, and against
 * a pool split that the second ticket does not change or the third does not
 * restore. */
static void
test_hidrantes(void)
{
    Config *config = Config_Create();

    apply(config, "hidrantes/ticket-1.json");
    g_assert_cmpuint(share_of_new_pool(config), ==, 10);
    apply(config, "hidrantes/ticket-2-move.json");
    g_assert_cmpuint(share_of_new_pool(config), ==, 50);
    apply(config, "hidrantes/ticket-3-back.json");
    g_assert_cmpuint(share_of_new_pool(config), ==, 10);
    Config_Destroy(config);
}

static void
test_darowizna(void)
{
    Config *config = Config_Create();
    const ConfigTable *table;
    ConfigRouteInfo route;

    apply(config, "darowizna/ticket-1.json");
    table = Config_ReadLock(config);
    g_assert_true(Config_GetRoute(
        table, Config_FindRoute(table, "/receipts/issue/1"), &route));
    g_assert_true(route.issuance);
    g_assert_true(Config_GetRoute(
        table, Config_FindRoute(table, "/receipts/1"), &route));
    g_assert_false(route.issuance);
    Config_ReadUnlock(config);
    Config_Destroy(config);
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    g_test_add_func("/examples/settings", test_settings);
    g_test_add_func("/examples/hidrantes", test_hidrantes);
    g_test_add_func("/examples/darowizna", test_darowizna);
    code = g_test_run();
    rcu_unregister_thread();
    return code;
}
