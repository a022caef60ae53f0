/* Tests of the settings: validation, error messages, reload, documentation. */
#include <glib.h>
#include <string.h>

#include "base/result.h"
#include "settings/settings.h"

#define REQUIRED                                                   \
    "\"host\":\"h1\",\"region\":\"norte\",\"data_centre\":\"n1\"," \
    "\"address\":\"127.0.0.1\",\"fleet_secret\":\"0123456789abcdef\""

/* Guards against accepting invalid settings, and against error messages that
 * do not name the field or line. */
static void
test_cases(void)
{
    static const struct {
        const char *text;
        const char *error; /* NULL: valid */
    } cases[] = {
        {"{" REQUIRED "}", NULL},
        {"{" REQUIRED ",\"store\":[\"127.0.0.1:80\"],\"rate_slots\":16}",
         NULL},
        {"", "line 1"},
        {"[]", "$: expected an object"},
        {"{}", "$.host: missing"},
        {"{" REQUIRED ",\"typo\":1}", "$.typo: unknown field"},
        {"{" REQUIRED ",\"entry_port\":70000}", "$.entry_port: expected"},
        {"{" REQUIRED ",\"entry_port\":\"80\"}", "$.entry_port: expected"},
        {"{" REQUIRED ",\"entry_port\":1.5}", "$.entry_port: expected"},
        {"{" REQUIRED ",\"store\":[\"localhost:80\"]}", "$.store: expected"},
        {"{" REQUIRED ",\"store\":\"127.0.0.1:80\"}", "$.store: expected"},
        {"{" REQUIRED ",\"regions\":[\"norte\",\"bajio\"]}", NULL},
        {"{" REQUIRED ",\"regions\":[\"bajio\"]}", "$.regions: expected to"},
        {"{" REQUIRED ",\"regions\":[\"a\",\"a\"]}", "$.regions: expected"},
        {"{" REQUIRED ",\"quota_window_ms\":2500}", NULL},
        {"{" REQUIRED ",\"quota_window_ms\":\"2.5s\"}", NULL},
        {"{" REQUIRED ",\"quota_window_ms\":\"250ms\"}", NULL},
        {"{" REQUIRED ",\"quota_window_ms\":\"2500\"}", "$.quota_window_ms"},
        {"{" REQUIRED ",\"quota_window_ms\":\"nanms\"}", "$.quota_window_ms"},
        {"{" REQUIRED ",\"quota_window_ms\":\"9e9s\"}", "$.quota_window_ms"},
        {"{" REQUIRED ",\"quota_window_ms\":true}", "$.quota_window_ms"},
        {"{" REQUIRED ",\"memory_mb\":260}", NULL},
        {"{" REQUIRED ",\"memory_mb\":20}", "$.memory_mb: expected"},
        {"{" REQUIRED ",\"memory_mb\":\"160\"}", "$.memory_mb: expected"},
        {"{" REQUIRED ",\"log_level\":\"loud\"}", "$.log_level: expected"},
        {"{" REQUIRED ",\"host\":\"h2\"}", "duplicate"},
        {"{" REQUIRED ",\"tls_key_file\":\"k\"}", "must be given together"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GError *error = NULL;
        Settings *settings = Settings_Parse(cases[i].text, "f", &error);

        if (cases[i].error == NULL) {
            g_assert_no_error(error);
            g_assert_cmpint(settings->rate_hold_ms, ==, 43200000);
        }
        else {
            g_assert_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID);
            g_assert_nonnull(strstr(error->message, cases[i].error));
            g_error_free(error);
        }
        Settings_Destroy(settings);
    }
}

/* Guards against an error message that names only the first error. */
static void
test_all_errors_at_once(void)
{
    GError *error = NULL;

    g_assert_null(
        Settings_Parse("{\"entry_port\":-1,\"zone\":1}", "f", &error));
    g_assert_nonnull(strstr(error->message, "$.entry_port"));
    g_assert_nonnull(strstr(error->message, "$.zone"));
    g_assert_nonnull(strstr(error->message, "$.fleet_secret"));
    g_error_free(error);
}

/* Guards against a reload that changes a value that is not reloadable, or that
 * does not report that such a value differs. */
static void
test_reload(void)
{
    Settings *old = Settings_Parse("{" REQUIRED "}", "f", NULL);
    Settings *new = Settings_Parse(
        "{" REQUIRED ",\"drain_ms\":5,\"rate_slots\":8,\"memory_mb\":260}",
        "f", NULL);
    GString *unchanged = g_string_new(NULL);

    g_assert_cmpint(Settings_Reload(old, new, unchanged), ==, 1);
    g_assert_cmpstr(unchanged->str, ==, "rate_slots");
    g_assert_cmpint(Settings_Read(&old->drain_ms), ==, 5);
    g_assert_cmpint(Settings_Read(&old->memory_mb), ==, 260);
    g_assert_cmpint(old->rate_slots, ==, 512);
    g_string_free(unchanged, TRUE);
    Settings_Destroy(old);
    Settings_Destroy(new);
}

/* Guards against a docs page that differs from the list of settings. */
static void
test_docs(void)
{
    char *path =
        g_build_filename(SOURCE_DIRECTORY, "docs", "settings.md", NULL);
    GString *expected = g_string_new(
        "# Settings of radishknotd\n\nGenerated from "
        "`src/settings/settings_list.h` by `make docs`. The file is JSON; "
        "unknown\nfields are refused. SIGHUP reads it again and puts the "
        "values marked \"yes\" in force.\n\n");
    char *found = NULL;

    Settings_WriteTable(expected);
    if (g_getenv("RADISHKNOT_WRITE_DOCS") != NULL) {
        g_assert_true(g_file_set_contents(path, expected->str, -1, NULL));
    }
    g_assert_true(g_file_get_contents(path, &found, NULL, NULL));
    g_assert_cmpstr(found, ==, expected->str);
    g_free(found);
    g_free(path);
    g_string_free(expected, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/settings/cases", test_cases);
    g_test_add_func("/settings/all-errors", test_all_errors_at_once);
    g_test_add_func("/settings/reload", test_reload);
    g_test_add_func("/settings/docs", test_docs);
    return g_test_run();
}
