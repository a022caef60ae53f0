/* Tests of the report on load from the logs of daemons. */
#include <glib.h>
#include <string.h>

#include "tool/load_report.h"

#define PREFIX "2026-12-04T17:20:15.006Z host-1 info "
#define ENDED                                                          \
    PREFIX "E405 REQUEST_ENDED: request of a caller ended request=r1 " \
           "route=r "

/* Guards against requests that are counted under the wrong result because an
 * attempt's result is read for the request's, and against other lines that are
 * taken for requests. */
static void
test_lines(void)
{
    static const struct {
        const char *line;
        gboolean valid;
    } cases[] = {
        {ENDED "service=s1 team=t attempts=2 [h1 tier=3 cost=0.1 ms=40 "
               "BACKEND_SERVER_ERROR run=yes] [h2 tier=1 cost=0.1 ms=30 OK "
               "run=yes] result=OK run=yes status=200 ms=71\n",
         TRUE},
        {ENDED "service=s1 team=- attempts=0 [h1 tier=1 cost=1 ms=900 "
               "BACKEND_SERVER_BUSY run=no] result=BACKEND_SERVER_BUSY run=no "
               "status=503 ms=902\n",
         TRUE},
        {PREFIX "E406 CALL_RUN: request of another daemon ended request=r1 "
                "waiting=7 queue_ms=350 server_ms=20 result=OK run=yes "
                "status=200\n",
         TRUE},
        {PREFIX "E228 CATALOG_IN_FORCE: version=7\n", FALSE},
        {ENDED "service=s1\n", FALSE},
        {"REQUEST_ENDED: no time\n", FALSE},
        {"", FALSE},
    };
    static const char *const expected[] = {
        "17:20:15 s1", "17:20:15 host-1",
        "    1         71          71  s1 request OK run=yes 200\n",
        "    1        902         902  s1 call BACKEND_SERVER_BUSY run=no "
        "503\n"};
    LoadReport *report = LoadReport_Create();
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(LoadReport_AddLine(report, cases[i].line), ==,
                        cases[i].valid);
    }
    LoadReport_Print(report, text);
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        g_assert_nonnull(strstr(text->str, expected[i]));
    }
    g_string_free(text, TRUE);
    LoadReport_Destroy(report);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load-report/lines", test_lines);
    return g_test_run();
}
