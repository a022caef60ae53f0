/* Gray failures of one of 12 backend servers under load. */
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

/* Guards against new work on a sick backend server later than 2 s after its
 * fault began, and against one that recovers and gets no work again, or all at
 * once. All requests that it receives count, those of probation too. */
static void
test_one_sick(void)
{
    int late[G_N_ELEMENTS(cases)];
    int ended[G_N_ELEMENTS(cases)]; /* received when the fault ended */
    Gray gray;

    Gray_Start(&gray);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        late[i] =
            Gray_CountLate(&gray, (int)i, cases[i].name, cases[i].faults);
        ended[i] = Fleet_Stat(gray.fleet, (int)i, "received");
    }
    FleetWatch_AwaitHealthy(gray.watch);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FleetSeen seen = FleetWatch_Server(gray.watch, (int)i);
        int count = Fleet_Stat(gray.fleet, (int)i, "received") - ended[i];

        g_test_message("%s: received %d since the fault ended, first trial "
                       "weight %d, %d steps",
                       cases[i].name, count, seen.trial_weight, seen.steps);
        g_assert_cmpint(late[i], ==, 0);
        g_assert_cmpint(count, >, 0);
        g_assert_cmpint(seen.trial_weight, <, 100);
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
