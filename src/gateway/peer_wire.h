/* PeerWire: headers of a request and its answer between two daemons.
 *
 * A request travels with the caller's method, target, host, body and headers,
 * and with
 *   Radishknot-Call: <ms left> <kind> <priority> <risk> <wait ms>
 *   Radishknot-Team, Radishknot-Caller, Radishknot-Service
 * where kind is "i" if it may run more than once, else "o". The answer is the
 * backend server's, or a bare 503, with
 *   Radishknot-Reply: <result> <run> <arrived> <risk> <slots> <in flight>
 *                     <waiting> <service ms> <idle ms> <leaving>
 * The headers are short because traffic between regions is paid by volume.
 *
 * Use: the sender PeerWire_EncodeCall() and PeerWire_DecodeReply(), the
 * receiver the other two.
 *
 * Errors: FALSE for a header that is missing or malformed; what it should have
 * filled is left as it was.
 */
#ifndef GATEWAY_PEER_WIRE_H
#define GATEWAY_PEER_WIRE_H

#include "backend/backend.h"

/* Adds the call's own headers to `headers`. */
void PeerWire_EncodeCall(const BackendCall *call, ClockMs now,
                         HttpHeaders *headers);

/* Fills deadline, kind, priority and limits, team, caller and service of the
 * call; the strings stay those of `headers`. */
gboolean PeerWire_DecodeCall(const HttpHeaders *headers, ClockMs now,
                             BackendCall *call);
void PeerWire_EncodeReply(const BackendReply *reply, HttpHeaders *headers);
gboolean PeerWire_DecodeReply(const HttpHeaders *headers, BackendReply *reply);

/* Moves a backend server's answer out of the reply, with the headers that are
 * passed on. */
void PeerWire_TakeAnswer(HttpAnswer *answer, BackendReply *reply);

/* FALSE for headers of one connection and for the system's own. */
gboolean PeerWire_IsPassedOn(const char *name);

#endif
