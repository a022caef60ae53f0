/* StoreObjects: the objects of the store stand-in, with past revisions.
 *
 * Use: StoreObjects_Put() writes or deletes an object and so creates a new
 * version of the store; StoreObjects_Find() reads an object as of a version;
 * StoreObjects_List() iterates in order of versions. Not thread safe.
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

/* `history` is the number of revisions kept for each object. */
StoreObjects *StoreObjects_Create(int history);
void StoreObjects_Destroy(StoreObjects *objects);

/* Newest version of the whole store. */
int64_t StoreObjects_GetVersion(const StoreObjects *objects);

/* Returns the object as of a version; NULL if it does not exist in it. */
const StoreRevision *StoreObjects_Find(const StoreObjects *objects,
                                       const char *name, int64_t as_of);

/* Adds a revision and returns its version. Takes ownership of the value; NULL
 * deletes the object. */
int64_t StoreObjects_Put(StoreObjects *objects, const char *name, char *value,
                         int64_t now_ms);

/* Calls the callback for the objects as they were at version as_of. Includes
 * objects whose version is above `after` and whose name has the prefix, oldest
 * version first, until the callback returns FALSE. */
void StoreObjects_List(const StoreObjects *objects, const char *prefix,
                       int64_t after, int64_t as_of,
                       gboolean (*callback)(void *context, const char *name,
                                            const StoreRevision *revision),
                       void *context);

#endif
