/* Mirror: an ObjectStore that reads through a neighbour where it can.
 *
 * One host of each group of MIRROR_GROUP hosts in a data centre follows the
 * store, the others follow that host: calls on the store are counted and
 * priced, and traffic between regions is paid, while traffic inside a data
 * centre is neither. The host is the first in the rendezvous order of kind and
 * group. A neighbour that fails, that does not follow the store itself or
 * whose state is too old is left out for MIRROR_AVOID_MS, and the store is
 * read at once.
 *
 * Use:
 *  1. Mirror_Create() with the store and the roster.
 *  2. Give Mirror_AsStore() to an ObjectSync; one Mirror for each kind. It has
 *     only lists and watches.
 *  3. Mirror_IsDirect() tells others whether the last answer came from the
 *     store.
 *
 * Limits: one ObjectSync for each Mirror.
 */
#ifndef MIRROR_MIRROR_H
#define MIRROR_MIRROR_H

#include "http/http_client.h"
#include "objects/object_store.h"
#include "roster/roster.h"

#define MIRROR_GROUP 32
#define MIRROR_AVOID_MS 3000

typedef struct Mirror Mirror;

typedef struct Mirror_desc {
    const ObjectStore *store;
    Roster *roster;
    const char *host; /* own name */
    HttpClient *client;
} Mirror_desc;

Mirror *Mirror_Create(const Mirror_desc *desc);
void Mirror_Destroy(Mirror *mirror);
const ObjectStore *Mirror_AsStore(Mirror *mirror);
gboolean Mirror_IsDirect(void *mirror);

#endif
