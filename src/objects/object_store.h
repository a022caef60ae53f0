/* ObjectStore: interface to a versioned object store.
 *
 * An implementation fills an ObjectStore with its functions; platform/ has the
 * one for the users' platform. Objects are identified by kind and name.
 *
 * A revision is one counter for the whole store that rises with each change.
 * A store that is restored from an older copy loses the changes after it and
 * gives out their revisions again. Its generation rises each time, so two
 * revisions are ordered by generation first.
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

#define OBJECT_NAME_BYTES 255

typedef struct ObjectRevision {
    int64_t generation; /* 0: the store does not name any */
    int64_t number;
} ObjectRevision;

typedef struct ObjectRecord {
    char *name;
    ObjectRevision revision;
    gboolean deleted;   /* in a watch: the object was deleted */
    json_t *value;      /* NULL if it could not be decoded */
    GBytes *text;       /* the value as JSON text; NULL: not kept */
    gboolean is_packed; /* the text is compressed (pack/pack.h) */
} ObjectRecord;

/* How an answer arrived; zero for a store that does not tell. */
typedef struct ObjectTransfer {
    ClockMs head_ms;        /* from the call to the head of the answer */
    ClockMs body_ms;        /* from the head to the end of the body */
    int64_t expected_bytes; /* size of the body, negative: not known */
    int64_t received_bytes;
} ObjectTransfer;

typedef struct ObjectPage {
    GArray *records;         /* ObjectRecord */
    unsigned unnamed;        /* objects left out: no usable name or revision */
    ObjectRevision revision; /* store revision of the answer */
    gboolean more;   /* a list has further objects after the last name */
    ClockMs held_ms; /* lower bound of the time from call to answer */
    ClockMs age_ms;  /* age of the state when the answer was made */
    ObjectTransfer transfer; /* also of an answer that was not complete */
    gboolean is_arriving;    /* the source is reading changes itself, or has
                                referred the reader */
    uint64_t referred;       /* hash of the host to read from; 0: none */
    uint64_t source;         /* hash of the host that answered; 0: the store */
    /* Set by the caller of a watch: called as soon as it is known that the
     * answer has changes, which may be long before it is complete; NULL: not
     * needed. */
    void (*begun)(void *context);
    void *context;
    /* Of a watch; 0: none. A larger answer is not read: the store returns
     * HISTORY_GONE, as a list is cheaper. */
    int64_t max_bytes;
    ClockMs stall_ms;      /* set by the caller: wait for progress in the body
                              for at least so long */
    gboolean is_too_large; /* the answer was above max_bytes */
    gboolean has_begun;    /* the head of an answer with a page arrived */
} ObjectPage;

/* Smallest answer that has objects for certain. */
#define OBJECT_CHANGES_BYTES 4096

typedef struct ObjectStore {
    void *context;

    /* Returns the objects after the name `after`; "" for the first page. */
    Result (*list)(void *context, const char *kind, const char *after,
                   ObjectPage *page);
    /* Returns as soon as an object of the kind has changed after the revision,
     * or without records after wait_ms. */
    Result (*watch)(void *context, const char *kind, ObjectRevision revision,
                    ClockMs wait_ms, ObjectPage *page);
    /* Sets the generation of the record also with NOT_FOUND. */
    Result (*get)(void *context, const char *kind, const char *name,
                  ObjectRecord *record);
    /* Writes if the object has the number of *revision, or does not exist if
     * that is 0. Stores the new revision in *revision. */
    Result (*put)(void *context, const char *kind, const char *name,
                  const json_t *value, ObjectRevision *revision);
    Result (*remove)(void *context, const char *kind, const char *name,
                     ObjectRevision revision);
    /* Ends the watches in progress with STORE_UNAVAILABLE. */
    void (*end_watches)(void *context);
} ObjectStore;

/* Whether a name is one to OBJECT_NAME_BYTES printable characters long and no
 * part of a path. Objects with other names are left out of pages. */
gboolean ObjectName_IsValid(const char *name);

/* Returns a value below, equal to or above 0. */
int ObjectRevision_Compare(ObjectRevision a, ObjectRevision b);

/* `called` and `head_at` are the times of the call and of the head of its
 * answer, 0 without one. */
ObjectTransfer ObjectTransfer_Make(ClockMs called, ClockMs head_at,
                                   int64_t expected_bytes,
                                   size_t received_bytes);

void ObjectPage_Init(ObjectPage *page);
void ObjectPage_Clear(ObjectPage *page);

/* Makes the page as it was after ObjectPage_Init(), with the same callback. */
void ObjectPage_Reset(ObjectPage *page);

/* Called with the head of an answer, `context` is the page that it fills.
 * Returns FALSE if the answer must not be read. */
gboolean ObjectPage_Begin(void *context, int status, int64_t expected_bytes);

/* Moves `after`, the name after which the page of a list starts, to that of
 * the next page. Sets `more` if there is one. Returns RESULT_STORE_UNAVAILABLE
 * if the page names no other object; the order of names is the store's. */
Result ObjectPage_Advance(const ObjectPage *page, char **after,
                          gboolean *more);
void ObjectRecord_Clear(ObjectRecord *record);

#endif
