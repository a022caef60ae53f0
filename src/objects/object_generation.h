/* ObjectGeneration: the newest generation of the store that the daemon knows.
 *
 * All parts of the daemon that read the store, directly or through a
 * neighbour, share one, so that each of them recognises an answer from before
 * a restoration and learns of a restoration that another one noticed.
 *
 * Use: ObjectGeneration_Create(), ObjectGeneration_Note() with each answer,
 * ObjectGeneration_Destroy().
 *
 * Limits: thread safe.
 */
#ifndef OBJECTS_OBJECT_GENERATION_H
#define OBJECTS_OBJECT_GENERATION_H

#include <glib.h>
#include <stdint.h>

typedef struct ObjectGeneration ObjectGeneration;

ObjectGeneration *ObjectGeneration_Create(void);
void ObjectGeneration_Destroy(ObjectGeneration *generation);

/* Records the generation of an answer. Returns FALSE if a newer one is known:
 * the answer is from before a restoration. */
gboolean ObjectGeneration_Note(ObjectGeneration *generation, int64_t number);

/* Returns the newest generation, 0 if none is known. */
int64_t ObjectGeneration_Newest(const ObjectGeneration *generation);

#endif
