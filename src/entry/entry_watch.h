/* EntryWatch: finds attempts whose connection went silent.
 *
 * An attempt at another host that has no answer after silence_ms is asked for
 * by RPC, which takes another path than the connection. If the owner never got
 * it, the owner voids it, and the attempt ends as not run. If the owner has
 * answered and nothing came, or cannot be reached, twice in a row, the attempt
 * ends with run state unknown. An attempt that the owner is working on goes
 * on.
 *
 * Use: EntryWatch_Begin() before the call, with the cancel object of the call;
 * EntryWatch_End() after it, which tells why the watch ended the call.
 *
 * Limits: asks run on a few threads; when all are busy, an attempt waits for
 * the next round (50 ms).
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
    ENTRY_VERDICT_NONE,       /* the watch did not end the call */
    ENTRY_VERDICT_VOID,       /* the owner never got it, and never runs it */
    ENTRY_VERDICT_ANSWERED,   /* the owner answered, the answer is lost */
    ENTRY_VERDICT_UNREACHABLE /* the owner does not answer */
} EntryVerdict;

EntryWatch *EntryWatch_Create(Rpc *rpc, const int64_t *silence_ms);
void EntryWatch_Destroy(EntryWatch *watch);
EntryWatched *EntryWatch_Begin(EntryWatch *watch, const RpcPeer *owner,
                               OwnerAttempt attempt, HttpCancel *cancel);
EntryVerdict EntryWatch_End(EntryWatch *watch, EntryWatched *watched);

/* Bodies of RPC kind 22: 8 bytes attempt, 4 bytes state, both in XDR. */
Result EntryWatch_ServeAsk(OwnerPort *port, const GByteArray *body,
                           GByteArray *reply);

#endif
