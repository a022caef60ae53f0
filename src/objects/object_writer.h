/* ObjectWriter: a thread that keeps one object in the store as it should be.
 *
 * Use:
 *  1. ObjectWriter_Start() with the store, kind and name.
 *  2. ObjectWriter_Want() with the value whenever it changes, NULL to remove
 *     the object.
 *  3. ObjectWriter_Observe() with what a watch of the kind shows of the
 *     object. If it differs, because a late write or another writer replaced
 *     it, the object is written again.
 *  4. ObjectWriter_Stop().
 *
 * Every write is conditional on the revision that was read, so a write that
 * takes effect late changes nothing. An uncertain write is read back.
 */
#ifndef OBJECTS_OBJECT_WRITER_H
#define OBJECTS_OBJECT_WRITER_H

#include "objects/object_store.h"

typedef struct ObjectWriter ObjectWriter;

typedef struct ObjectWriter_desc {
    const ObjectStore *store;
    const char *kind;
    const char *name;
} ObjectWriter_desc;

ObjectWriter *ObjectWriter_Start(const ObjectWriter_desc *desc);

/* Takes over the reference to the value. */
void ObjectWriter_Want(ObjectWriter *writer, json_t *value);
void ObjectWriter_Observe(ObjectWriter *writer, const ObjectRecord *record);
void ObjectWriter_Stop(ObjectWriter *writer);

#endif
