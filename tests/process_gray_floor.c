/* Tests of ejections: of many backend servers at the same time, and of one
 * repeatedly. */
#include <poll.h>

#include "gray.h"

#define FLAP_MS 1000
#define FLAPS 6
/* Number of backend servers that fail in check_floor(), and index of the
 * remaining one, which fails in check_flapping(). */
#define SICK 11
#define SICK_MS 4000

/* Guards against a backend server that is ejected in every period of an
 * intermittent fault. The first ejection lasts 5 s and the second one 10 s, so
 * a third one does not fit into the test. */
static void
check_flapping(const Gray *gray, int server)
{
    FleetServerHealth health;

    FleetWatch_Reset(gray->watch);
    for (int i = 0; i < FLAPS; i++) {
        Fleet_SetFaults(gray->fleet, server, 1, "{\"wrong_percent\":50}");
        (void)poll(NULL, 0, FLAP_MS);
        Fleet_SetFaults(gray->fleet, server, 1, "{\"reset\":true}");
        (void)poll(NULL, 0, FLAP_MS);
    }
    health = FleetWatch_Server(gray->watch, server);
    g_test_message("flapping with a period of %d ms: %d ejections in %d "
                   "periods, %d of the other backend servers",
                   2 * FLAP_MS, health.ejections, FLAPS,
                   Gray_Ejections(gray) - health.ejections);
    Gray_CheckRounds(gray, 2 * FLAP_MS * FLAPS);
    g_assert_cmpint(health.ejections, >=, 1);
    g_assert_cmpint(health.ejections, <=, 2);
    g_assert_cmpint(Gray_Ejections(gray), ==, health.ejections);
}

/* Guards against ejections that violate the floor. First as many backend
 * servers fail as there are permits, so that the fault is not taken for one of
 * the whole service. The others fail when all permits have been issued. */
static void
check_floor(const Gray *gray)
{
    int first;

    FleetWatch_Reset(gray->watch);
    Fleet_SetFaults(gray->fleet, 0, GRAY_PERMITS, "{\"wrong_percent\":50}");
    (void)poll(NULL, 0, SICK_MS);
    first = FleetWatch_MaxEjected(gray->watch);
    Fleet_SetFaults(gray->fleet, GRAY_PERMITS, SICK - GRAY_PERMITS,
                    "{\"wrong_percent\":50}");
    (void)poll(NULL, 0, SICK_MS);
    g_test_message("at most %d ejected at once with %d of %d sick, %d with "
                   "%d sick",
                   first, GRAY_PERMITS, GRAY_SERVERS,
                   FleetWatch_MaxEjected(gray->watch), SICK);
    Fleet_SetFaults(gray->fleet, 0, SICK, "{\"reset\":true}");
    Gray_CheckRounds(gray, 2 * SICK_MS);
    g_assert_cmpint(FleetWatch_MaxEjected(gray->watch), >=, 1);
    g_assert_cmpint(FleetWatch_MaxEjected(gray->watch), <=, GRAY_PERMITS);
}

static void
test_ejections(void)
{
    Gray gray;

    Gray_Start(&gray);
    check_flapping(&gray, SICK);
    check_floor(&gray);
    Gray_Stop(&gray);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/gray-floor/ejections", test_ejections);
    return g_test_run();
}
