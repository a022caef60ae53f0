/* Tests of what a call that timed out says of its peer. */
#include <glib.h>

#include "rpc/peer_silence.h"

/* Guards against a host that is avoided because this process was suspended
 * during a call to it, and against one that is not because the call ended a
 * little late. */
static void
test_interrupted_call(void)
{
    static const struct {
        Result result;
        ClockMs elapsed_ms;
        gboolean silent;
    } cases[] = {
        {RESULT_OK, 40, FALSE},
        {RESULT_OK, 4000, FALSE},
        {RESULT_RPC_TIMEOUT, 100, TRUE},
        {RESULT_RPC_TIMEOUT, 150, TRUE},
        {RESULT_RPC_TIMEOUT, 1000, FALSE},
        {RESULT_RPC_TIMEOUT, 5000, FALSE},
        {RESULT_RPC_OLD_SESSION, 40, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s after %d ms", Result_Name(cases[i].result),
                       (int)cases[i].elapsed_ms);
        g_assert_cmpint(
            PeerSilence_IsShown(cases[i].result, cases[i].elapsed_ms, 100), ==,
            cases[i].silent);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-silence/interrupted-call", test_interrupted_call);
    return g_test_run();
}
