/* ObjectWriter: a thread that keeps one object in the store at a given value.
 *
 * Use:
 *  1. ObjectWriter_Start() with the store, kind and name.
 *  2. ObjectWriter_Set() with the value whenever it changes, NULL to remove
 *     the object.
 *  3. ObjectWriter_Observe() with each record of the object that a watch of
 *     the kind returns, and with a deletion if a list lacks it. If it differs,
 *     because a late write or another writer replaced the object, also by a
 *     value that cannot be decoded, or the store
 *     was restored from an older copy, the value is written again.
 *  4. ObjectWriter_Stop().
 *
 * Each write is conditional on the revision read before, so a write that
 * reaches the store late has no effect. After an uncertain write the object is
 * read back.
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

/* Takes ownership of the reference to the value. */
void ObjectWriter_Set(ObjectWriter *writer, json_t *value);
void ObjectWriter_Observe(ObjectWriter *writer, const ObjectRecord *record);
void ObjectWriter_Stop(ObjectWriter *writer);

#endif
