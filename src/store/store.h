/* Store: client of the platform's store (design page, section 3.2).
 *
 * Use:
 *  1. Store_Create() with the addresses; one Store for each thread.
 *  2. Store_Get(), Store_Put(), Store_Delete(), Store_List(); each blocks
 *     until the answer or the timeout.
 *  3. StoreObject_Clear() and StoreList_Clear() free the result of a call.
 *  4. Store_Destroy().
 *
 * With several addresses a call that had no effect is retried on the next one;
 * a write that may have been sent is not.
 *
 * Errors:
 *  RESULT_NOT_FOUND          there is no such object
 *  RESULT_STORE_CONFLICT     the object's version differs from if_version; the
 *                            call returns the current object
 *  RESULT_STORE_UNAVAILABLE  no effect: the connection was refused, or the
 *                            call was a read and got no answer
 *  RESULT_STORE_UNCERTAIN    a write was sent and got no answer; read the
 *                            object back and compare the id in its value
 *  RESULT_TOO_LARGE          the value exceeds STORE_VALUE_BYTES
 *  RESULT_MALFORMED          an argument is invalid, or the store's answer to
 *                            a read has an unknown form
 *
 * Limits: not thread safe; an answer of more than STORE_ANSWER_BYTES is
 * treated as if there were none.
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/result.h"

/* Largest value in bytes of compact JSON. */
#define STORE_VALUE_BYTES 1000000
#define STORE_ANSWER_BYTES 8000000

typedef struct Store Store;

typedef struct Store_desc {
    const char *addresses;  /* "127.0.0.1:7000", several separated by commas */
    int connect_timeout_ms; /* zero means 1,000 ms */
    int timeout_ms; /* rounded up to whole seconds; zero means 2,000 ms. A
                       watch waits for wait_ms longer. */
} Store_desc;

typedef struct StoreObject {
    char *name;
    int64_t version;
    int64_t modified_ms; /* time of the last write by the store's clock */
    int64_t now_ms;      /* time of the answer by the store's clock */
    json_t *value;       /* NULL if the object does not exist */
} StoreObject;

typedef struct StoreList {
    GArray *objects; /* StoreObject, oldest version first */
    int64_t version; /* newest version of the store */
    int64_t now_ms;  /* time of the answer by the store's clock */
} StoreList;

/* Returns NULL if an address is not a numeric "address:port". */
Store *Store_Create(const Store_desc *desc, GError **error);
void Store_Destroy(Store *store);

Result Store_Get(Store *store, const char *name, StoreObject *object,
                 GError **error);

/* Writes the value if the object's version is if_version (0: the object must
 * not exist). With RESULT_OK, object has the new version and no value; with
 * RESULT_STORE_CONFLICT it is the current object. object may be NULL. */
Result Store_Put(Store *store, const char *name, int64_t if_version,
                 json_t *value, StoreObject *object, GError **error);

/* As Store_Put() with the value as JSON text, which is sent unchanged. */
Result Store_PutText(Store *store, const char *name, int64_t if_version,
                     const char *text, StoreObject *object, GError **error);

/* Removes the object if its version is if_version. The argument object is
 * filled as by Store_Put(). */
Result Store_Delete(Store *store, const char *name, int64_t if_version,
                    StoreObject *object, GError **error);

/* Lists at most `limit` objects whose name has the prefix and whose version is
 * above `after`. With wait_ms above zero the store delays the answer until
 * there is such an object, for at most wait_ms (a watch). A list without
 * objects is RESULT_OK. */
Result Store_List(Store *store, const char *prefix, int64_t after, int wait_ms,
                  int limit, StoreList *list, GError **error);

void StoreObject_Clear(StoreObject *object);
void StoreList_Clear(StoreList *list);

#endif
