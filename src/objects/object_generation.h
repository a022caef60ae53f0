/* ObjectGeneration: the newest generation of the store that the daemon knows.
 *
 * All parts of the daemon that read the store, directly or through a
 * neighbour, share one, so that each of them recognises an answer from before
 * a restoration and learns of a restoration that another one noticed.
 *
 * Use: ObjectGeneration_Create(), ObjectGeneration_Note() or
 * ObjectGeneration_Check() with each answer, ObjectGeneration_Destroy().
 *
 * Limits: thread safe.
 */
#ifndef OBJECTS_OBJECT_GENERATION_H
#define OBJECTS_OBJECT_GENERATION_H

#include "objects/object_store.h"

typedef struct ObjectGeneration ObjectGeneration;

ObjectGeneration *ObjectGeneration_Create(void);
void ObjectGeneration_Destroy(ObjectGeneration *generation);

/* Records the generation of an answer. Returns FALSE if a newer one is known:
 * the answer is from before a restoration. */
gboolean ObjectGeneration_Note(ObjectGeneration *generation, int64_t number);

/* Returns the newest generation, 0 if none is known. */
int64_t ObjectGeneration_Newest(const ObjectGeneration *generation);

/* Checks the revision of an answer against the one from which the reader
 * watches, whose number is -1 if it has to list first. Returns
 * RESULT_STORE_UNAVAILABLE for an answer from before a restoration,
 * RESULT_STORE_HISTORY_GONE if the store has been restored since the last
 * list; *known is set to list then. */
Result ObjectGeneration_Check(ObjectGeneration *generation,
                              ObjectRevision *known, ObjectRevision answer);

/* Whether the state is unknown, or from before a restoration that another part
 * of the daemon has noticed. */
gboolean ObjectGeneration_NeedsList(const ObjectGeneration *generation,
                                    ObjectRevision known);

#endif
