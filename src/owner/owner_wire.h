/* OwnerWire: encodes and decodes requests from an entry to an owner as HTTP
 * messages.
 *
 * A message is the caller's request (method, target, forwardable headers,
 * body) with these additional headers: Radishknot-Request-Id, -Attempt, -Team,
 * -Route, -Backend, -Deadline-Ms (time left), -Issuance, -Run-Token and -Mac.
 * The MAC is an HMAC-SHA256, keyed with the fleet secret, over the method, the
 * target, these headers, the forwarded ones and the body.
 *
 * The reply is the backend server's answer with the additional headers
 * -Result, -Run, -Load ("slots in use,queue,microseconds"), -Repeated,
 * -Request-Id and -Attempt.
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

/* Id of one attempt at a request: 64 random bits, for practical purposes
 * unique in the fleet. */
typedef uint64_t OwnerAttempt;

typedef struct OwnerWireCall {
    OwnerCall call; /* its strings point into the message */
    OwnerAttempt attempt;
    HttpHeaders forwarded;
} OwnerWireCall;

void OwnerWire_EncodeCall(const OwnerCall *call, OwnerAttempt attempt,
                          const void *secret, size_t secret_bytes,
                          HttpHeaders *headers);

/* Returns whether the message carries a valid MAC. */
gboolean OwnerWire_IsAuthentic(const char *method, const char *target,
                               const HttpHeaders *headers, const void *body,
                               size_t body_bytes, const void *secret,
                               size_t secret_bytes);

/* `now` is the time at which the request arrived, to which the time left is
 * added. Free the result with OwnerWire_ClearCall(). */
Result OwnerWire_DecodeCall(const char *method, const char *target,
                            const HttpHeaders *headers, const void *body,
                            size_t body_bytes, const void *secret,
                            size_t secret_bytes, ClockMs now,
                            OwnerWireCall *decoded);
void OwnerWire_ClearCall(OwnerWireCall *decoded);

/* Converts a reply into an HTTP answer and clears the reply. */
void OwnerWire_EncodeReply(OwnerReply *reply, const char *request_id,
                           OwnerAttempt attempt, HttpAnswer *answer);

/* Takes ownership of the contents of `answer`. */
Result OwnerWire_DecodeReply(HttpAnswer *answer, const char *request_id,
                             OwnerAttempt attempt, OwnerReply *reply);

/* Returns TRUE for the headers of a connection and those that radishknot adds
 * itself. They are neither forwarded to the backend server nor passed back to
 * the caller. */
gboolean OwnerWire_IsReservedHeader(const char *name);

/* Hexadecimal MAC of a message; free with g_free(). */
char *_OwnerWire_ComputeMac(const char *method, const char *target,
                            const HttpHeaders *headers, const void *body,
                            size_t body_bytes, const void *secret,
                            size_t secret_bytes);

#endif
