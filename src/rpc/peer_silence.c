#include "rpc/peer_silence.h"

/* A call that took more than this many of its timeouts was interrupted. */
#define MAX_TIMEOUTS 2

gboolean
PeerSilence_IsShown(Result result, ClockMs elapsed_ms, ClockMs timeout_ms)
{
    return result == RESULT_RPC_TIMEOUT &&
           elapsed_ms <= MAX_TIMEOUTS * timeout_ms;
}
