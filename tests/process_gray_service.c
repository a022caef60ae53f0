/* Tests of load and slowness that must not be taken for gray failures. */
#include <poll.h>

#include "gray.h"

#define SLOW_MS 6000
#define SHED_MS 4000

/* Guards against ejecting a backend server that sheds load correctly. */
static void
check_shedding(const Gray *gray)
{
    FleetWatch_Reset(gray->watch);
    Fleet_SetFaults(gray->fleet, 0, 1, "{\"shed_percent\":50}");
    (void)poll(NULL, 0, SHED_MS);
    g_test_message("one sheds 50%%: %d ejections in %d ms",
                   Gray_Ejections(gray), SHED_MS);
    Fleet_SetFaults(gray->fleet, 0, 1, "{\"reset\":true}");
    Gray_CheckRounds(gray, SHED_MS);
    g_assert_cmpint(Gray_Ejections(gray), ==, 0);
}

/* Guards against ejections due to a slowdown of the whole service, such as one
 * caused by a database that it uses. */
static void
check_slowdown_of_all(const Gray *gray)
{
    FleetWatch_Reset(gray->watch);
    Fleet_SetFaults(gray->fleet, 0, GRAY_SERVERS, "{\"slow_factor\":10}");
    (void)poll(NULL, 0, SLOW_MS);
    g_test_message("all 10x slow: %d ejections in %d ms", Gray_Ejections(gray),
                   SLOW_MS);
    Fleet_SetFaults(gray->fleet, 0, GRAY_SERVERS, "{\"reset\":true}");
    Gray_CheckRounds(gray, SLOW_MS);
    g_assert_cmpint(Gray_Ejections(gray), ==, 0);
}

static void
test_load(void)
{
    Gray gray;

    Gray_Start(&gray);
    check_shedding(&gray);
    check_slowdown_of_all(&gray);
    Gray_Stop(&gray);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/gray-service/load", test_load);
    return g_test_run();
}
