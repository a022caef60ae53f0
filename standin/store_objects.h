/* StoreObjects: the objects of the store stand-in, with past revisions.
 *
 * Use: StoreObjects_Put() and StoreObjects_Delete() make a new version of the
 * store; StoreObjects_Find() reads as of a version; StoreObjects_List() walks
 * in order of versions. Not thread safe.
 */
#ifndef STANDIN_STORE_OBJECTS_H
#define STANDIN_STORE_OBJECTS_H

#include <glib.h>
#include <stdint.h>

typedef struct StoreRevision {
    struct StoreRevision *previous;
    int64_t version;
    int64_t modified_ms;
    char *value; /* JSON text; NULL = deleted */
} StoreRevision;

typedef struct StoreObjects StoreObjects;

StoreObjects *StoreObjects_Create(int history);
void StoreObjects_Destroy(StoreObjects *objects);

/* Newest version of the whole store. */
int64_t StoreObjects_GetVersion(const StoreObjects *objects);

/* The object as of a version; NULL if it does not exist then. */
const StoreRevision *StoreObjects_Find(const StoreObjects *objects,
                                       const char *name, int64_t as_of);

/* Adds a revision and returns its version. Takes value, NULL = delete. */
int64_t StoreObjects_Put(StoreObjects *objects, const char *name, char *value,
                         int64_t now_ms);

/* Calls the callback for each object as of a version whose version is above
 * after and whose name has the prefix, oldest first, until it returns FALSE.
 */
void StoreObjects_List(const StoreObjects *objects, const char *prefix,
                       int64_t after, int64_t as_of,
                       gboolean (*callback)(void *context, const char *name,
                                            const StoreRevision *revision),
                       void *context);

#endif
