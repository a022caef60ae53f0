/* ObjectSync: a thread that follows all objects of one kind.
 *
 * Use:
 *  1. ObjectSync_Start() with the store, the kind and the callbacks.
 *  2. ObjectSync_Stop() ends the thread; it waits for the call that runs.
 *
 * The thread lists the kind, then watches from the list's revision. When the
 * store has forgotten that history it lists again. A call that fails is made
 * again after a growing, jittered pause; the loss and the return of the store
 * are logged once each.
 *
 * Callbacks run on the thread, each with the store's revision of the answer.
 * `changed` gets each object and each deletion; after a full list `listed`
 * gets the names that exist, so that others can be dropped. `confirmed` gets a
 * moment at which everything that was passed on so far was the newest state.
 */
#ifndef OBJECTS_OBJECT_SYNC_H
#define OBJECTS_OBJECT_SYNC_H

#include "objects/object_store.h"

typedef struct ObjectSync ObjectSync;

typedef struct ObjectSync_desc {
    const ObjectStore *store;
    const char *kind;
    ClockMs wait_ms;  /* of one watch (20,000) */
    gboolean prove;   /* confirm soon after each change, too */
    ClockMs pause_ms; /* between two watches that both brought changes, so
                         that a series of changes costs few calls (0) */
    void (*changed)(void *context, const ObjectRecord *record,
                    int64_t revision);
    void (*listed)(void *context, GHashTable *names,
                   int64_t revision); /* may be NULL */
    void (*confirmed)(void *context, ClockMs moment,
                      int64_t revision); /* may be NULL */
    void *context;
} ObjectSync_desc;

ObjectSync *ObjectSync_Start(const ObjectSync_desc *desc);

/* Stops passing anything on; then the thread ends with the call that runs. */
void ObjectSync_Stop(ObjectSync *sync);

/* TRUE once the first list was passed on. */
gboolean ObjectSync_IsComplete(const ObjectSync *sync);

#endif
