/* OwnerWire: a request from an entry to an owner as an HTTP message.
 *
 * The message is the caller's own request (method, target, forwardable
 * headers, body) with the system's headers: Radishknot-Request-Id, -Attempt,
 * -Team, -Route, -Backend, -Deadline-Ms (time left), -Issuance, -Run-Token,
 * -Mac The MAC is an HMAC-SHA256 with the fleet secret over the method, the
 * target, these headers, the forwarded ones and the body.
 *
 * The answer is the backend server's, with -Result, -Run, -Load ("slots in
 * use,queue,microseconds"), -Repeated, -Request-Id and -Attempt.
 *
 * Use at the entry: OwnerWire_EncodeCall(), HttpClient_Call(),
 * OwnerWire_DecodeReply(). At the owner: OwnerWire_DecodeCall(), then
 * OwnerWire_EncodeReply().
 *
 * Errors: PEER_UNAUTHENTICATED for a wrong MAC, REQUEST_INVALID for missing or
 * malformed headers, ANSWER_MISMATCH for an answer to another attempt.
 */
#ifndef OWNER_OWNER_WIRE_H
#define OWNER_OWNER_WIRE_H

#include "owner/owner.h"

/* Name of one attempt of a request, unique in the fleet for practical ends
 * (64 random bits). */
typedef uint64_t OwnerAttempt;

typedef struct OwnerWireCall {
    OwnerCall call; /* strings point into the message and into `text` */
    OwnerAttempt attempt;
    HttpHeaders forwarded;
} OwnerWireCall;

void OwnerWire_EncodeCall(const OwnerCall *call, OwnerAttempt attempt,
                          const void *secret, size_t secret_bytes,
                          HttpHeaders *headers);

/* Whether the message carries the MAC of a holder of the secret. */
gboolean OwnerWire_IsAuthentic(const char *method, const char *target,
                               const HttpHeaders *headers, const void *body,
                               size_t body_bytes, const void *secret,
                               size_t secret_bytes);

/* `now` is when the request arrived. Release with OwnerWire_ClearCall(). */
Result OwnerWire_DecodeCall(const char *method, const char *target,
                            const HttpHeaders *headers, const void *body,
                            size_t body_bytes, const void *secret,
                            size_t secret_bytes, ClockMs now,
                            OwnerWireCall *decoded);
void OwnerWire_ClearCall(OwnerWireCall *decoded);

/* Turns a reply into an HTTP answer; the reply is cleared. */
void OwnerWire_EncodeReply(OwnerReply *reply, const char *request_id,
                           OwnerAttempt attempt, HttpAnswer *answer);

/* Takes over the answer. */
Result OwnerWire_DecodeReply(HttpAnswer *answer, const char *request_id,
                             OwnerAttempt attempt, OwnerReply *reply);

/* TRUE if the header belongs to a connection or to the system and is neither
 * forwarded nor passed back. */
gboolean OwnerWire_IsOwnHeader(const char *name);

/* Hexadecimal MAC of a message; free with g_free(). */
char *_OwnerWire_ComputeMac(const char *method, const char *target,
                            const HttpHeaders *headers, const void *body,
                            size_t body_bytes, const void *secret,
                            size_t secret_bytes);

#endif
