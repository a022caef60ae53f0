/* EntryWatch: detects attempts whose connection has gone silent.
 *
 * If an attempt at another host has no answer after silence_ms, its owner is
 * queried by RPC, which takes another network path than the connection:
 *  - If the attempt has not arrived, the owner voids it, and the attempt ends
 *    as not run.
 *  - If the owner is still running the attempt, the call continues.
 *  - If two queries in a row find that the owner has answered, while the
 *    answer has not been received, or that the owner cannot be reached, the
 *    attempt ends with run state unknown.
 *
 * Use: EntryWatch_Begin() before the call, with the cancel object of the call;
 * EntryWatch_End() after it returns why the watch cancelled the call, if it
 * did.
 *
 * Limits: queries run on 4 threads. When these and their queue of 64 are busy,
 * a query is tried again in the next round (50 ms).
 */
#ifndef ENTRY_ENTRY_WATCH_H
#define ENTRY_ENTRY_WATCH_H

#include <glib.h>

#include "http/http_client.h"
#include "owner/owner_port.h"
#include "rpc/rpc.h"

typedef struct EntryWatch EntryWatch;
typedef struct EntryWatched EntryWatched;

typedef enum EntryVerdict {
    ENTRY_VERDICT_NONE,       /* the watch did not cancel the call */
    ENTRY_VERDICT_VOID,       /* the attempt had not arrived and is void */
    ENTRY_VERDICT_ANSWERED,   /* the owner answered, the answer is lost */
    ENTRY_VERDICT_UNREACHABLE /* the owner does not reply to queries */
} EntryVerdict;

EntryWatch *EntryWatch_Create(Rpc *rpc, const int64_t *silence_ms);
void EntryWatch_Destroy(EntryWatch *watch);
EntryWatched *EntryWatch_Begin(EntryWatch *watch, const RpcPeer *owner,
                               OwnerAttempt attempt, HttpCancel *cancel);
EntryVerdict EntryWatch_End(EntryWatch *watch, EntryWatched *watched);

/* Answers RPC kind 22 at the owner. Request body: attempt, 8 bytes; reply
 * body: OwnerAttemptState, 4 bytes; both in XDR. */
Result EntryWatch_ServeQuery(OwnerPort *port, const GByteArray *body,
                             GByteArray *reply);

#endif
