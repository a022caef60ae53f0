/* HttpConnection: one client connection with its unread bytes.
 *
 * Use:
 *  1. HttpConnection_Open() connects by the deadline.
 *  2. HttpConnection_Send() a whole request, HttpConnection_ReadAnswer() for
 *     each answer that is due.
 *  3. Keep it only if HttpConnection_IsQuiet(); HttpConnection_Close().
 *
 * All calls block, at most until the deadline; shutdown() on the descriptor
 * from another thread ends them early. Unread bytes stay in the connection's
 * own buffer, so bytes behind an answer are seen and never become part of the
 * next one.
 *
 * Errors: DEADLINE_EXPIRED; CONNECT_FAILED; ANSWER_LOST (no whole head),
 * ANSWER_TRUNCATED (no whole body, or a head whose framing is ambiguous);
 * TOO_LARGE.
 *
 * Limits: 100 header lines of at most 8 KiB.
 */
#ifndef HTTP_HTTP_CONNECTION_H
#define HTTP_HTTP_CONNECTION_H

#include <glib.h>
#include <netinet/in.h>

#include "base/clock.h"
#include "base/result.h"
#include "http/http_message.h"

typedef struct HttpConnection HttpConnection;

/* When a call may end before its deadline. At `until` give_up() is asked once;
 * if it says no, the call goes on to its deadline. */
typedef struct HttpPatience {
    ClockMs until;
    gboolean (*give_up)(void *context);
    void *context;
} HttpPatience;

typedef struct HttpReadRules {
    gboolean no_body;        /* the request was a HEAD */
    gboolean allow_unframed; /* the body may end with the connection */
    size_t max_body_bytes;
} HttpReadRules;

/* silence_ms: unacknowledged data, or unanswered keep-alive probes, end the
 * connection after about this time. */
Result HttpConnection_Open(const struct sockaddr_in *address, ClockMs deadline,
                           ClockMs silence_ms, HttpConnection **connection);
void HttpConnection_Close(HttpConnection *connection);
int HttpConnection_Fd(const HttpConnection *connection);

/* Sets the patience for all waits from now on; NULL ends it. It must stay
 * valid. */
void HttpConnection_SetPatience(HttpConnection *connection,
                                const HttpPatience *patience);

/* Writes until all bytes are out or an answer begins to arrive first; then
 * *whole is FALSE and the connection must not be kept. */
Result HttpConnection_Send(HttpConnection *connection, const char *bytes,
                           size_t length, ClockMs deadline, gboolean *whole);

/* Reads one answer, passing over interim (1xx) ones. *reusable is FALSE when
 * the connection ends with it. */
Result HttpConnection_ReadAnswer(HttpConnection *connection,
                                 const HttpReadRules *rules, ClockMs deadline,
                                 HttpAnswer *answer, gboolean *reusable);

/* TRUE if nothing is unread and the peer has not closed. */
gboolean HttpConnection_IsQuiet(const HttpConnection *connection);

#endif
