/* Mirror: an ObjectStore that reads through a neighbouring host if possible.
 *
 * In each group of MIRROR_GROUP hosts of a data centre, one host (the leader)
 * watches the store and the others watch the leader. This saves cost: calls on
 * the store and traffic between regions are billed, traffic inside a data
 * centre is not. The leader is the first host in the rendezvous order of kind
 * and group. A neighbour that fails, that does not watch the store itself or
 * whose state is too old, from before a restoration of the store that this
 * daemon knows of, or, in a list, older than what this daemon has read before,
 * is skipped for MIRROR_AVOID_MS, one that answers but cannot
 * serve for MIRROR_REFUSED_MS. The next one in the order is asked before the
 * store is read: it takes over the watch on the store, while the others of the
 * group wait for it. One that is reading a change itself is waited for, for
 * MIRROR_ARRIVING_MS.
 *
 * A host that cannot read the store reads from any neighbour that has reached
 * its own state, for MIRROR_AWAY_MS if that answers.
 *
 * A kind whose last known state counts while the store is away has
 * `keeps_known`. After a failed call on the store, the host that ranks first
 * reads from its neighbours for MIRROR_AWAY_MS, and a host that has no list
 * yet takes one of any age from a neighbour.
 *
 * Use:
 *  1. Mirror_Create() with the store and the roster.
 *  2. Pass Mirror_AsStore() to an ObjectSync; one Mirror for each kind. It
 *     implements only list and watch.
 *  3. Mirror_IsDirect() returns whether the last answer came from the store.
 *
 * Limits: one ObjectSync for each Mirror.
 */
#ifndef MIRROR_MIRROR_H
#define MIRROR_MIRROR_H

#include "http/http_client.h"
#include "mirror/mirror_cache.h"
#include "objects/object_generation.h"
#include "objects/object_store.h"
#include "roster/roster.h"

#define MIRROR_GROUP 32
#define MIRROR_AVOID_MS 3000
#define MIRROR_REFUSED_MS 1000
#define MIRROR_AWAY_MS 3000
#define MIRROR_ARRIVING_MS 2000

typedef struct Mirror Mirror;

typedef struct Mirror_desc {
    const ObjectStore *store;
    ObjectGeneration *generation; /* shared by the whole daemon */
    Roster *roster;
    const char *host; /* name of this host */
    HttpClient *client;
    MirrorCache *cache; /* what this host has, to weigh a watch at the store
                           against a list; NULL: always a watch */
    /* Minimum duration of a watch at the store while no neighbour is known, so
     * that nobody reads from this host; 0: as the caller of the watch has it.
     */
    ClockMs alone_wait_ms;
    gboolean keeps_known; /* the last known state counts in an outage */
    /* Called before the first list: waits for a short time until neighbours
     * are known, from which it is read for less. NULL: nothing is waited for.
     */
    void (*await_roster)(void *context);
    void *context;
} Mirror_desc;

Mirror *Mirror_Create(const Mirror_desc *desc);
void Mirror_Destroy(Mirror *mirror);
const ObjectStore *Mirror_AsStore(Mirror *mirror);
gboolean Mirror_IsDirect(void *mirror);

/* States that the reader has had the state at this revision. */
void _Mirror_NoteReached(Mirror *mirror, ObjectRevision revision);

/* Reads the answer of a neighbour. An object that cannot be read affects no
 * others. Returns FALSE if the answer as a whole is malformed. */
gboolean _Mirror_ReadPage(const char *body, size_t bytes, ObjectPage *page);

#endif
