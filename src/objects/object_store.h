/* ObjectStore: what the product needs of a versioned object store.
 *
 * An implementation fills an ObjectStore with its functions; platform/ has the
 * one for the users' platform. Objects are found by kind and name. One counter
 * for the whole store, the revision, rises with each change.
 *
 * Results: OK; NOT_FOUND; STORE_CONFLICT (another revision, or the object
 * exists); STORE_UNAVAILABLE (nothing was done); STORE_UNCERTAIN (a write that
 * may have been done, or may yet be done if its condition still holds);
 * STORE_HISTORY_GONE (a watch from a revision that the store has forgotten).
 *
 * All calls block, up to their own bounded time-outs, and may be made from
 * several threads.
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
    gboolean deleted; /* in a watch: the object is gone */
    json_t *value;    /* NULL if it could not be read */
} ObjectRecord;

typedef struct ObjectPage {
    GArray *records;  /* ObjectRecord */
    int64_t revision; /* of the store */
    gboolean more;    /* a list goes on behind the last name */
    ClockMs held_ms;  /* the answer was not made earlier than so long after the
                         call was sent */
    ClockMs age_ms;   /* of the state in it, when the answer was made */
} ObjectPage;

typedef struct ObjectStore {
    void *context;

    /* after: "" for the first page. */
    Result (*list)(void *context, const char *kind, const char *after,
                   ObjectPage *page);
    /* Returns as soon as something of the kind changed after the revision, or
     * without records after wait_ms. */
    Result (*watch)(void *context, const char *kind, int64_t revision,
                    ClockMs wait_ms, ObjectPage *page);
    Result (*get)(void *context, const char *kind, const char *name,
                  ObjectRecord *record);
    /* revision 0: the object must not exist. *revision gets the new one. */
    Result (*put)(void *context, const char *kind, const char *name,
                  const json_t *value, int64_t *revision);
    Result (*remove)(void *context, const char *kind, const char *name,
                     int64_t revision);
} ObjectStore;

void ObjectPage_Init(ObjectPage *page);
void ObjectPage_Clear(ObjectPage *page);
void ObjectRecord_Clear(ObjectRecord *record);

#endif
