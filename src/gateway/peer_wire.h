/* PeerWire: headers of requests and answers between two daemons.
 *
 * A request carries the caller's method, target, host, body and headers, and
 * these:
 *   Radishknot-Call: <ms left> <kind> <priority> <max risk> <max wait ms>
 *                    <retry> <explore idle ms> <ms to target> <cut>
 *                    <attempt> <run allowance ms>
 *   Radishknot-Team, Radishknot-Caller, Radishknot-Service
 * where kind is "i" if the request may run more than once, otherwise "o";
 * priority is -1 for a call of a running request, -2 - p if this has the
 * priority p (earlier versions take all negative ones for calls);
 * retry is 1 if an earlier attempt reached a backend server, 2 in the first
 * attempt of a call made by a run that was a retry, 3 in either case if the
 * fleet is known to be below its retry limit, otherwise 0 (earlier versions
 * send 1 for all three); cut is 1 if the sender stops and abandons
 * the request when the time left is over, otherwise 0; attempt is a random
 * hexadecimal number if the request must not run more than once
 * (attempt/attempt_log.h), otherwise 0; and the run allowance is the time that
 * an owner which stops needs to take the request up, 0: all the time left. The
 * last two are sent only with such a request, or if cut is 1.
 *
 * The answer is the backend server's, or a 503 without a body, with
 *   Radishknot-Reply: <result> <run> <arrived> <risk> <slots> <in flight>
 *                     <waiting> <service ms> <idle ms> <leaving> <owner ms>
 *                     <requests per s> <retries per s> <stop ms>
 *                     <cold wait ms> <version>
 *
 * where stop is the time until the owner's process has ended, 0 if its host
 * does not stop, and cold wait the time until the backend server accepts
 * another request, 0 if it is not cold. The version is that of the owner's
 * configuration, 0 without one.
 *
 * A request that every owner of the service is expected to refuse for now,
 * because its run's calls are refused elsewhere or its retry limit is near, is
 * refused with
 *   Radishknot-Return: <ms>
 * the time after which it may be sent again; other owners are not asked.
 *
 * The last five fields of a call and the last six of a reply may be missing:
 * earlier versions do not send them. The headers are short because traffic
 * between regions is billed by volume.
 *
 * Use: the sender calls PeerWire_EncodeCall() and PeerWire_DecodeReply(), the
 * receiver PeerWire_DecodeCall() and PeerWire_EncodeReply().
 *
 * Errors: decoding returns FALSE if a header is missing or malformed; the call
 * must then not be used. A reply becomes CONNECT_FAILED, not run, without the
 * header: another program uses the address. It becomes ANSWER_MISMATCH, run
 * unknown, with a header that cannot be read, for example of another version.
 */
#ifndef GATEWAY_PEER_WIRE_H
#define GATEWAY_PEER_WIRE_H

#include "backend/backend.h"

/* Begins with the milliseconds that the sender waits. */
#define PEER_WIRE_CALL_HEADER "Radishknot-Call"

/* Adds the Radishknot headers of the call to `headers`. */
void PeerWire_EncodeCall(const BackendCall *call, ClockMs now,
                         HttpHeaders *headers);

/* Fills the call's deadline, kind, priority, limits, retry flag, team, caller
 * and service. The strings belong to `headers`. */
gboolean PeerWire_DecodeCall(const HttpHeaders *headers, ClockMs now,
                             BackendCall *call);
void PeerWire_EncodeReply(const BackendReply *reply, HttpHeaders *headers);
gboolean PeerWire_DecodeReply(const HttpHeaders *headers, BackendReply *reply);

/* Moves a backend server's answer out of the reply. Only the headers that are
 * passed on (PeerWire_IsPassedOn()) are kept. */
void PeerWire_TakeAnswer(HttpAnswer *answer, BackendReply *reply);

/* FALSE for hop-by-hop headers and for the proxy's own headers. */
gboolean PeerWire_IsPassedOn(const char *name);

#endif
