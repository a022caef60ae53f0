/* StoreStandin: in-memory stand-in for the platform's store, for tests and
 * demos (design page, section 3.2).
 *
 * Use:
 *  1. StoreStandin_Create(), then StoreStandin_Listen() on a loopback port.
 *  2. Tests set faults with StoreStandin_SetFaults(), other processes with
 *     `POST /v1/faults`; `GET /v1/stats` returns the number of calls by kind.
 *  3. StoreStandin_Close() breaks all connections and keeps the objects, as a
 *     restart of the store does; then call StoreStandin_Listen() again, or
 *     StoreStandin_Destroy().
 *
 * Faults are a JSON object; a fault whose field is absent is off:
 *   {"down": true}               connections are closed without an answer
 *   {"slow_ms": 500}             calls take effect after this delay
 *   {"lose_answer_percent": 50}  the write takes effect, then the connection
 *                                is closed
 *   {"stale_versions": 3}        reads show the store as it was 3 versions
 *                                before this request, until cleared
 *   {"count": 10}                with any of them: the faults end after 10
 *                                affected calls (absent = with the next
 *                                POST /v1/faults)
 * An empty object clears all faults.
 *
 * Limits: values up to 1,000,000 bytes of compact JSON; a stale read sees at
 * most the last STORE_STANDIN_HISTORY revisions of an object; deleted objects
 * are not listed.
 */
#ifndef STANDIN_STORE_STANDIN_H
#define STANDIN_STORE_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define STORE_STANDIN_HISTORY 8

typedef struct StoreStandin StoreStandin;

StoreStandin *StoreStandin_Create(void);
void StoreStandin_Destroy(StoreStandin *standin);

/* Listens on 127.0.0.1; with port 0 the kernel chooses the port. Returns the
 * port, or 0 if it cannot listen. */
int StoreStandin_Listen(StoreStandin *standin, int port);
void StoreStandin_Close(StoreStandin *standin);

/* Sets faults from the JSON text of `POST /v1/faults`. Returns FALSE if the
 * text is invalid. */
gboolean StoreStandin_SetFaults(StoreStandin *standin, const char *json);

/* Number of calls of a kind ("get", "put", "delete", "list" or "watch"); -1
 * for another kind. */
int64_t StoreStandin_GetCalls(StoreStandin *standin, const char *kind);

/* Number of suspended calls: waiting watches and calls delayed by slow_ms. */
int64_t StoreStandin_GetWaiting(StoreStandin *standin);

#endif
