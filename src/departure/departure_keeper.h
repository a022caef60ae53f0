/* DepartureKeeper: neighbours keep the record of a departure while the store
 * cannot be written.
 *
 * Failure pattern: a backend server leaves during an outage of the store, its
 * daemon acknowledges that, and the process ends before the store is back. An
 * announcement that the server sent before then makes it ready again at the
 * next process. Here the record is copied to a few neighbours before the
 * report is acknowledged; the next process asks for it before it admits an
 * instance, and the neighbours also send it back by themselves, since a
 * process that starts without the store does not know them.
 *
 * Use:
 *  1. DepartureKeeper_Create() before Rpc_Start().
 *  2. DepartureKeeper_Deposit() for a departure that the store does not have.
 *  3. DepartureKeeper_Collect() in a new process, once the neighbours are
 *     known.
 *  4. DepartureKeeper_Return() about once a second.
 *  5. DepartureKeeper_Destroy() after Rpc_Stop().
 *
 * A copy is dropped when its host says that the store has the record, or after
 * ten minutes, when no delayed announcement can matter any more.
 *
 * Kinds RPC_KIND_DEPARTURE_KEEP, _COLLECT and _RETURN, in XDR; a copy is the
 * name of the instance (DEPARTURE_NAME_BYTES), the time of its start (8
 * bytes), and address (IPv4) and port of its host's RPC (4 bytes each); the
 * replies of the last two are a copy with an empty name if there is none, and
 * 4 bytes, 1 if the store has the record.
 *
 * Limits: one copy for each host, MAX_COPIES hosts, neighbours of the same
 * data centre. If a host and all its keepers end within the time in which the
 * copies are renewed, and before the store is back, the record is lost.
 * Neighbours of an earlier version keep nothing. Thread safe.
 */
#ifndef DEPARTURE_DEPARTURE_KEEPER_H
#define DEPARTURE_DEPARTURE_KEEPER_H

#include "roster/roster.h"
#include "rpc/rpc.h"

typedef struct DepartureKeeper DepartureKeeper;

typedef struct DepartureKeeper_desc {
    Rpc *rpc;
    Roster *roster;
    const char *host;    /* name of this host */
    const char *address; /* numeric IPv4 of its RPC */
    /* Called with a departure of this host that a neighbour has kept, also
     * repeatedly. Returns TRUE if the store has the record. */
    gboolean (*returned)(void *context, const char *instance, int64_t born);
    void *context;
} DepartureKeeper_desc;

DepartureKeeper *DepartureKeeper_Create(const DepartureKeeper_desc *desc);
void DepartureKeeper_Destroy(DepartureKeeper *keeper);

/* Returns TRUE if a neighbour keeps a copy. Waits 200 ms at most. */
gboolean DepartureKeeper_Deposit(DepartureKeeper *keeper, const char *instance,
                                 int64_t born);

/* Asks the neighbours for copies and passes them to `returned`. Returns FALSE
 * if there are neighbours and none has answered. Waits 200 ms at most. */
gboolean DepartureKeeper_Collect(DepartureKeeper *keeper);

/* Sends the copies back to their hosts. Waits 200 ms at most for each of a few
 * hosts. */
void DepartureKeeper_Return(DepartureKeeper *keeper);

#endif
