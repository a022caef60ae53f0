/* MirrorPort: serves the objects of the store to other hosts of the data
 * centre.
 *
 *   GET /radishknot/mirror/<kind>?generation=<n>&since=<revision>&wait_ms=<ms>
 * answers {"generation", "revision", "held_ms", "age_ms", "objects": [{"name",
 * "revision", "deleted", "value"}]} as soon as there is a change after the
 * revision, or after wait_ms; since=-1 requests all objects. With the header
 * "Accept-Encoding: zstd" a large answer is compressed. Further arguments:
 *   notice=1             the reader takes notices, see below
 *   reader=<host>        hash of the reader's host: it can be referred
 *   reached=<revision>   newest state that a reader of all objects has had
 *   at_least=<revision>  this host need not watch the store itself if it has
 *                        reached the revision
 *   any_age=1            a kind that is kept in outages of the store is
 *                        answered at once, by any host that has it
 *
 * A host that has changes after the reader's revision answers with them. The
 * status is 410 if it no longer has that history. Without changes it is 503 if
 * the host does not watch the store itself, nor begins to within a short time,
 * or its state is older than max_age_ms, 2.5 s at least for all objects, or
 * from before the reader's generation.
 *
 * A notice has "arriving": true and no objects: a change is on its way to this
 * host, so its readers stay with it. With "referred": <host> the reader gets
 * the change from that host, at_least=<revision> (mirror/mirror_spread.h).
 *
 * Daemons of earlier versions send none of the further arguments and get no
 * notice; they neither send nor expect the generation; a reader takes an
 * answer without it for generation 0.
 *
 * Use: MirrorPort_Create() with the caches, MirrorPort_Destroy().
 *
 * Limits: at most `threads` calls wait at a time; further calls get 503.
 */
#ifndef MIRROR_MIRROR_PORT_H
#define MIRROR_MIRROR_PORT_H

#include <netinet/in.h>

#include "mirror/mirror_cache.h"

#define MIRROR_PATH "/radishknot/mirror/"
#define MIRROR_ANY_AGE "&any_age=1"

typedef struct MirrorPort MirrorPort;

typedef struct MirrorKind {
    const char *kind;
    MirrorCache *cache;
    ClockMs max_age_ms;   /* maximum age of a served state */
    gboolean keeps_known; /* any_age=1 is served */
    /* Returns whether this host watches the kind at the store itself. */
    gboolean (*is_direct)(void *context);
    void *context;
} MirrorKind;

typedef struct MirrorPort_desc {
    struct sockaddr_in address;
    unsigned threads;
    const MirrorKind *kinds;
    unsigned kind_count;
} MirrorPort_desc;

MirrorPort *MirrorPort_Create(const MirrorPort_desc *desc, GError **error);
uint16_t MirrorPort_Port(const MirrorPort *port);
void MirrorPort_Destroy(MirrorPort *port);

#endif
