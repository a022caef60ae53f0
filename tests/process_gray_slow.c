/* Test of one of 12 backend servers that becomes slow under load. */
#include "gray.h"

/* Guards against sending new work to a backend server later than 2 s after it
 * became 10 times slower. Tests a backend server of each daemon in turn. */
static void
test_slow(void)
{
    int late[3];
    Gray gray;

    Gray_Start(&gray);
    for (int i = 0; i < 3; i++) {
        late[i] = Gray_CountLateRequests(&gray, i, "10x slow",
                                         "{\"slow_factor\":10}");
    }
    for (int i = 0; i < 3; i++) {
        g_assert_cmpint(late[i], ==, 0);
    }
    Gray_Stop(&gray);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/gray-slow/one", test_slow);
    return g_test_run();
}
