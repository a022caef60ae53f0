/* Tests of the report on odd objects from the logs of daemons. */
#include <glib.h>
#include <string.h>

#include "tool/odd_report.h"

#define AT(second, daemon) "2026-12-04T17:20:" second ".006Z " daemon " "
#define REJECTED                                                              \
    "warning E206 OBJECT_REJECTED: object in the store is malformed and not " \
    "used "
#define UNNAMED                                                            \
    "warning E209 OBJECTS_UNNAMED: objects in the store without a usable " \
    "name or revision are left out "

/* Guards against an odd object that is not shown, shown under a part of its
 * name, once for each daemon or with an earlier revision, and against other
 * lines that are taken for one. */
static void
test_lines(void)
{
    static const struct {
        const char *line;
        gboolean valid;
    } cases[] = {
        {AT("15", "h1") REJECTED
         "kind=backends name=odd generation=1 revision=8 decoded=0\n",
         TRUE},
        {AT("19", "h2") REJECTED
         "kind=backends name=odd generation=1 revision=7 decoded=1\n",
         TRUE},
        {AT("16", "h2") REJECTED
         "kind=backends name=odd generation=1 revision=8 decoded=0\n",
         TRUE},
        /* Behind the prefix of a collector, with a name that has fields. */
        {"node unit[7]: " AT("15", "h1") REJECTED
         "kind=config name=a b generation=9 generation=2 revision=3 "
         "decoded=1\n",
         TRUE},
        {AT("15", "h1") UNNAMED
         "kind=departures count=3 generation=1 revision=9\n",
         TRUE},
        {AT("15", "h1") REJECTED "kind=backends name=cut generation=1", FALSE},
        {AT("15", "h1") REJECTED
         "kind=backends name= generation=1 revision=8 decoded=0\n",
         FALSE},
        {AT("15", "h1") UNNAMED "kind=departures count=x", FALSE},
        {"OBJECT_REJECTED: kind=k name=n generation=1 revision=8 decoded=0\n",
         FALSE},
        {AT("15", "h1") "info E205 OBJECT_WRITTEN: object written to the "
                        "store kind=backends name=h1\n",
         FALSE},
        {"", FALSE},
    };
    static const char *const expected[] = {
        "ODD OBJECTS: 3\n",
        "  backends         odd                      1.8 value not readable, "
        "on 2 "
        "daemons, last at 2026-12-04T17:20:19.006Z\n",
        "  config           a b generation=9         2.3 fields not valid, on "
        "1 "
        "daemons, last at 2026-12-04T17:20:15.006Z\n",
        "  departures       -                        1.9 3 without a usable "
        "name "
        "or revision, on 1 daemons, last at 2026-12-04T17:20:15.006Z\n",
    };
    OddReport *report = OddReport_Create();
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("line %zu", i);
        g_assert_cmpint(OddReport_AddLine(report, cases[i].line), ==,
                        cases[i].valid);
    }
    OddReport_Print(report, text);
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        g_assert_nonnull(strstr(text->str, expected[i]));
    }
    g_string_free(text, TRUE);
    OddReport_Destroy(report);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd-report/lines", test_lines);
    return g_test_run();
}
