/* HttpConnection: one client connection with its unread bytes.
 *
 * Use:
 *  1. HttpConnection_Open() connects by the deadline.
 *  2. HttpConnection_Send() a complete request, then
 *     HttpConnection_ReadAnswer() for each expected answer.
 *  3. Keep it only if HttpConnection_IsIdle(); HttpConnection_Close().
 *
 * All calls block, at most until the deadline; shutdown() on the descriptor
 * from another thread ends them early. Unread bytes stay in the connection's
 * own buffer, so bytes that follow an answer are detected and never become
 * part of the next one.
 *
 * Errors: DEADLINE_EXPIRED; CONNECT_FAILED; ANSWER_LOST (no complete head),
 * ANSWER_TRUNCATED (no complete body, or a head whose framing is ambiguous);
 * TOO_LARGE; OVERLOADED (the account of memory does not lend enough, or this
 * process has no descriptor left). What was read of a body before an error is
 * dropped.
 *
 * Limits: 100 header lines of at most 8 KiB each and 64 KiB together, 8
 * interim answers. A peer that sends on without end is cut off at these
 * limits, or at the limits of the body, whatever the deadline. The block of a
 * body with Content-Length is on lease before the body is read: refused at
 * once if it could never fit, else after a wait of up to half a second.
 */
#ifndef HTTP_HTTP_CONNECTION_H
#define HTTP_HTTP_CONNECTION_H

#include <glib.h>
#include <netinet/in.h>

#include "base/clock.h"
#include "base/result.h"
#include "http/http_message.h"

typedef struct HttpConnection HttpConnection;

/* A timeout before the deadline. At `until` give_up() is called once: if it
 * returns TRUE, the call ends with DEADLINE_EXPIRED, else it goes on to its
 * deadline. */
typedef struct HttpSoftTimeout {
    ClockMs until;
    gboolean (*give_up)(void *context);
    void *context;
} HttpSoftTimeout;

/* How much of an answer has arrived, also of one that was not complete. */
typedef struct HttpTransfer {
    ClockMs head_at;        /* arrival of the complete head; 0: none */
    int64_t expected_bytes; /* Content-Length; negative: not known */
    size_t received_bytes;  /* of the body */
    /* Called with the complete head, before the body is read; may be NULL. If
     * it returns FALSE the call ends with TOO_LARGE. */
    gboolean (*begun)(void *context, int status, int64_t expected_bytes);
    void *context;
} HttpTransfer;

#define HTTP_PROGRESS_BYTES 4096

typedef struct HttpReadOptions {
    gboolean no_body;        /* answer to a HEAD request */
    gboolean allow_unframed; /* accept a body that ends with the connection */
    size_t max_body_bytes;
    Memory *memory;  /* lends the block of the body; NULL: the process's */
    uint64_t sender; /* whose share of the account the body takes */
    HttpTransfer *transfer; /* filled; may be NULL */
    ClockMs stall_ms; /* 0: the deadline holds for the body, too. Otherwise the
                         body may take longer, as long as HTTP_PROGRESS_BYTES
                         or its end arrive within each period of this length */
} HttpReadOptions;

/* Unacknowledged data, or unanswered keep-alive probes, end the connection
 * after about unacked_timeout_ms. */
Result HttpConnection_Open(const struct sockaddr_in *address, ClockMs deadline,
                           ClockMs unacked_timeout_ms,
                           HttpConnection **connection);
void HttpConnection_Close(HttpConnection *connection);
int HttpConnection_Fd(const HttpConnection *connection);

/* Sets the soft timeout of all further waits; NULL removes it. It must stay
 * valid until then. */
void HttpConnection_SetSoftTimeout(HttpConnection *connection,
                                   const HttpSoftTimeout *soft_timeout);

/* While a call on this connection waits, a successful answer that arrives at
 * the other socket ends it as at its deadline; HttpConnection_HasYielded() is
 * then TRUE. -1: none. A connection without a soft timeout only. */
void HttpConnection_SetOther(HttpConnection *connection, int fd);
gboolean HttpConnection_HasYielded(const HttpConnection *connection);

/* Writes until all bytes are sent, or until an answer begins to arrive. In the
 * latter case *complete is FALSE and the connection must not be kept. */
Result HttpConnection_Send(HttpConnection *connection, const char *bytes,
                           size_t length, ClockMs deadline,
                           gboolean *complete);

/* Reads one answer; discards interim (1xx) answers. *reusable is FALSE if the
 * connection ends with the answer. */
Result HttpConnection_ReadAnswer(HttpConnection *connection,
                                 const HttpReadOptions *options,
                                 ClockMs deadline, HttpAnswer *answer,
                                 gboolean *reusable);

/* Remembers the id of a request. HasCarried() returns TRUE if one of the last
 * 32 requests had it: an answer with the id may then be a copy of the earlier
 * request's. */
void HttpConnection_NoteId(HttpConnection *connection, const char *id);
gboolean HttpConnection_HasCarried(const HttpConnection *connection,
                                   const char *id);

/* Returns TRUE if the end of the connection was the end of a body. shutdown()
 * by another thread causes the same end, at any byte of the body. */
gboolean HttpConnection_HasEndedBody(const HttpConnection *connection);

/* Returns TRUE if no bytes are unread and the peer has not closed the
 * connection. */
gboolean HttpConnection_IsIdle(const HttpConnection *connection);

#endif
