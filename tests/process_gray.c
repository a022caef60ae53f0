/* Test of gray failures of one of 12 backend servers under load. */
#include "gray.h"

static const struct {
    const char *name;
    const char *faults;
} cases[] = {
    {"hang", "{\"hang\":true}"},
    {"50% wrong answers", "{\"wrong_percent\":50}"},
    {"50% errors", "{\"error_percent\":50}"},
    {"closes after read", "{\"close_after_read\":true}"},
};

/* Guards against sending new work to a sick backend server later than 2 s
 * after the start of its fault, and against one that recovers and receives no
 * work, or its full share at once. All requests that it receives count, also
 * those of probation. */
static void
test_one_sick(void)
{
    int late[G_N_ELEMENTS(cases)];
    /* requests received up to the end of the fault */
    int ended[G_N_ELEMENTS(cases)];
    Gray gray;

    Gray_Start(&gray);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        late[i] = Gray_CountLateRequests(&gray, (int)i, cases[i].name,
                                         cases[i].faults);
        ended[i] = Fleet_Stat(gray.fleet, (int)i, "received");
    }
    FleetWatch_AwaitHealthy(gray.watch);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FleetServerHealth health = FleetWatch_Server(gray.watch, (int)i);
        int count = Fleet_Stat(gray.fleet, (int)i, "received") - ended[i];

        g_test_message("%s: received %d since the fault ended, first "
                       "probation weight %d, %d steps",
                       cases[i].name, count, health.probation_weight,
                       health.probation_steps);
        g_assert_cmpint(late[i], ==, 0);
        g_assert_cmpint(count, >, 0);
        g_assert_cmpint(health.probation_weight, <, 100);
    }
    Gray_Stop(&gray);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/gray/one-sick", test_one_sick);
    return g_test_run();
}
