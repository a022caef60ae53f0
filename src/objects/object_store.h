/* ObjectStore: interface to a versioned object store.
 *
 * An implementation fills an ObjectStore with its functions; platform/ has the
 * one for the users' platform. Objects are identified by kind and name. The
 * revision is one counter for the whole store that rises with each change.
 *
 * Results: OK; NOT_FOUND; STORE_CONFLICT (the object has another revision, or
 * already exists); STORE_UNAVAILABLE (the call had no effect); STORE_UNCERTAIN
 * (a write may have taken effect, or may still do so if its condition holds
 * then); STORE_HISTORY_GONE (a watch from a revision whose history the store
 * no longer has).
 *
 * All calls block until the answer or a bounded timeout, and are thread safe.
 */
#ifndef OBJECTS_OBJECT_STORE_H
#define OBJECTS_OBJECT_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"

typedef struct ObjectRecord {
    char *name;
    int64_t revision;
    gboolean deleted; /* in a watch: the object was deleted */
    json_t *value;    /* NULL if it could not be read */
} ObjectRecord;

typedef struct ObjectPage {
    GArray *records;  /* ObjectRecord */
    int64_t revision; /* store revision of the answer */
    gboolean more;    /* a list has further objects after the last name */
    ClockMs held_ms;  /* lower bound of the time from call to answer */
    ClockMs age_ms;   /* age of the state when the answer was made */
} ObjectPage;

typedef struct ObjectStore {
    void *context;

    /* Returns the objects after the name `after`; "" for the first page. */
    Result (*list)(void *context, const char *kind, const char *after,
                   ObjectPage *page);
    /* Returns as soon as an object of the kind has changed after the revision,
     * or without records after wait_ms. */
    Result (*watch)(void *context, const char *kind, int64_t revision,
                    ClockMs wait_ms, ObjectPage *page);
    Result (*get)(void *context, const char *kind, const char *name,
                  ObjectRecord *record);
    /* Writes if the object has *revision, or does not exist if that is 0.
     * Stores the new revision in *revision. */
    Result (*put)(void *context, const char *kind, const char *name,
                  const json_t *value, int64_t *revision);
    Result (*remove)(void *context, const char *kind, const char *name,
                     int64_t revision);
} ObjectStore;

void ObjectPage_Init(ObjectPage *page);
void ObjectPage_Clear(ObjectPage *page);
void ObjectRecord_Clear(ObjectRecord *record);

#endif
