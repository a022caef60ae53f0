/* Tests of the estimate of a request's size. */
#include <glib.h>

#include "gateway/size_estimate.h"

/* Guards against an upload that looks like any other request because its size
 * is in the request and not in the answer, and against calls that lower the
 * mean so that every request looks large. */
static void
test_routes(void)
{
    enum { ORDER = 1, UPLOAD, CALL };
    SizeEstimate *estimate = SizeEstimate_Create();

    g_assert_cmpfloat(SizeEstimate_Relative(estimate, ORDER, 4000), ==, 1);
    for (int i = 0; i < 200; i++) {
        SizeEstimate_Observe(estimate, ORDER, 4000, 5000, FALSE);
        SizeEstimate_Observe(estimate, CALL, 0, 100, TRUE);
        SizeEstimate_Observe(estimate, CALL, 0, 100, TRUE);
    }
    g_assert_cmpfloat_with_epsilon(
        SizeEstimate_Relative(estimate, ORDER, 4000), 1, 0.05);
    SizeEstimate_Observe(estimate, UPLOAD, 60000, 5000, FALSE);
    g_assert_cmpfloat(SizeEstimate_Relative(estimate, UPLOAD, 60000), >, 4);
    g_assert_cmpfloat(SizeEstimate_Relative(estimate, CALL, 0), <, 0.1);
    SizeEstimate_Destroy(estimate);
}

/* Guards against memory that grows with each new route. */
static void
test_many_routes(void)
{
    SizeEstimate *estimate = SizeEstimate_Create();

    SizeEstimate_Observe(estimate, 1, 0, 100, FALSE);
    for (uint64_t route = 2; route < 5000; route++) {
        SizeEstimate_Observe(estimate, route, 0, 100, FALSE);
    }
    /* The first route was dropped with the others, so it is unknown. */
    g_assert_cmpfloat(SizeEstimate_Relative(estimate, 1, 1000000), ==, 1);
    SizeEstimate_Destroy(estimate);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/size-estimate/routes", test_routes);
    g_test_add_func("/size-estimate/many-routes", test_many_routes);
    return g_test_run();
}
