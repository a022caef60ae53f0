/* ObjectSync: a thread that watches all objects of one kind.
 *
 * Use:
 *  1. ObjectSync_Start() with the store, the kind and the callbacks.
 *  2. ObjectSync_Stop() ends the thread and waits for the call in progress.
 *
 * The thread lists the kind, then watches from the list's revision. It lists
 * again when a change has no usable name, and when the store no longer has
 * that history or has been restored from an older copy; answers from before a
 * restoration are dropped. A failed call is retried after a growing, jittered
 * pause; the loss and the recovery of the store are logged once each, and each
 * further failure by itself.
 *
 * Callbacks run on the thread, each with the store revision of the answer.
 * `changed` receives each object and each deletion. An object that cannot be
 * decoded or that `changed` does not accept is logged and counted once for
 * each of its revisions, by name for up to OBJECT_SYNC_REJECTED names. After a
 * full list `listed` receives the names that exist, so that all others can be
 * removed. `announced` is called with TRUE when a large answer with
 * changes begins to arrive, here or at the source, before they are reported,
 * and with FALSE after a call that no source has begun to answer: as far as
 * this host can tell, nobody can read or write now. An answer that breaks off
 * takes nothing back. `receiving` is called with TRUE when any large answer
 * begins to arrive, a list too, and with FALSE after a call that failed.
 * `confirmed` receives a time at which the state reported so far was the
 * newest one.
 */
#ifndef OBJECTS_OBJECT_SYNC_H
#define OBJECTS_OBJECT_SYNC_H

#include "objects/object_generation.h"
#include "objects/object_store.h"

/* Maximum number of rejected objects that are remembered. */
#define OBJECT_SYNC_REJECTED 256

typedef struct ObjectSync ObjectSync;

typedef struct ObjectSync_desc {
    const ObjectStore *store;
    ObjectGeneration *generation; /* shared by the whole daemon */
    const char *kind;
    ClockMs wait_ms;          /* duration of one watch; zero means 20,000 ms */
    gboolean confirm_changes; /* confirm soon after each change, too */
    ClockMs pause_ms; /* pause after a watch that returned changes, so that a
                         series of changes costs few calls; zero: none */
    gboolean names_only; /* only names count: a value that cannot be decoded is
                            not rejected */
    ClockMs first_pause_ms; /* the same for the first one after a list */
    /* Returns FALSE if the object is malformed; its value may be NULL. */
    gboolean (*changed)(void *context, const ObjectRecord *record,
                        ObjectRevision revision);
    void (*listed)(void *context, GHashTable *names,
                   ObjectRevision revision); /* may be NULL */
    void (*confirmed)(void *context, ClockMs as_of,
                      ObjectRevision revision);             /* may be NULL */
    void (*announced)(void *context, gboolean is_arriving); /* may be NULL */
    void (*receiving)(void *context, gboolean is_arriving); /* may be NULL */
    void *context;
} ObjectSync_desc;

ObjectSync *ObjectSync_Start(const ObjectSync_desc *desc);

/* Stops the callbacks and returns when the call in progress has ended. */
void ObjectSync_Stop(ObjectSync *sync);

/* Ends the pause in progress, or skips the one after the call in progress:
 * another part of the daemon has found that the store answers. */
void ObjectSync_Retry(ObjectSync *sync);

/* Returns TRUE once the first list has been reported. */
gboolean ObjectSync_IsComplete(const ObjectSync *sync);

#endif
