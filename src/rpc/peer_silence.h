/* PeerSilence: what a call that timed out says of its peer.
 *
 * A process that is suspended during a call finds its timeout over when it
 * goes on, whether or not the peer has replied meanwhile. Such a call took far
 * longer than its timeout; it is no evidence against the peer, which would
 * otherwise be avoided, or removed as lost, for a pause of this process.
 *
 * Use: PeerSilence_IsShown() after a call, with the time that it took.
 *
 * Errors and limits: none; a pure function.
 */
#ifndef RPC_PEER_SILENCE_H
#define RPC_PEER_SILENCE_H

#include <glib.h>

#include "base/clock.h"
#include "base/result.h"

gboolean PeerSilence_IsShown(Result result, ClockMs elapsed_ms,
                             ClockMs timeout_ms);

#endif
