/* Departure: the record in the store of which instance of this host's backend
 * server is leaving.
 *
 * A report that a backend server leaves is binding once it is acknowledged,
 * also for the next process on the host, which knows nothing of it. Without
 * the record, an announcement that the server sent before its report and that
 * arrives at the new process makes it ready again.
 *
 * Use:
 *  1. Departure_Create(). A thread reads the record and passes it to `left`,
 *     then calls `collect`.
 *  2. Departure_Admits() for the announcement of an instance that is not known
 *     yet: FALSE while it may be one that left.
 *  3. Departure_Record() when an instance leaves; acknowledge the report only
 *     if it returns TRUE.
 *  4. Departure_Adopt() for a departure that is learned otherwise.
 *  5. Departure_NoteGeneration() when the store has been restored from an
 *     older copy, which may lack the record.
 *  6. Departure_Destroy().
 *
 * While the store cannot be written, others keep the record
 * (departure/departure_keeper.h). They are given it again every RENEW_MS, as
 * they may end, too.
 *
 * While the store cannot be read, an instance is admitted with its second
 * announcement: one that has left sends no further ones, and that several are
 * delayed is rare.
 *
 * There is one record for each host. Records that are too old to matter are
 * removed by the next process that starts on any host, so none stay of hosts
 * that were removed.
 *
 * Limits: Departure_Record() waits RECORD_WAIT_MS at most. If nobody has the
 * record by then, it returns FALSE and the thread goes on trying to write it.
 * Thread safe.
 */
#ifndef DEPARTURE_DEPARTURE_H
#define DEPARTURE_DEPARTURE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "objects/object_store.h"

#define DEPARTURE_NAME_BYTES 64

/* Kind of the records in the store. */
#define DEPARTURE_KIND "departures"

typedef struct Departure Departure;

typedef struct Departure_desc {
    const ObjectStore *store;
    const char *host; /* name of the record */
    /* Called by the thread with the instance that has left. */
    void (*left)(void *context, const char *instance, int64_t born);
    /* Gives the record to others, for a limited time; TRUE if one keeps it.
     * NULL: there are none. */
    gboolean (*deposit)(void *context, const char *instance, int64_t born);
    /* Called by the thread until it returns TRUE: passes what others have kept
     * to Departure_Adopt(). NULL: there are none. */
    gboolean (*collect)(void *context);
    void *context;
    ClockMs read_wait_ms; /* maximum wait of Departure_Admits() (500) */
} Departure_desc;

Departure *Departure_Create(const Departure_desc *desc);
void Departure_Destroy(Departure *departure);

/* Whether an announcement may make its instance ready. Waits until the record
 * has been read and collected, for a limited time. */
gboolean Departure_Admits(Departure *departure, const char *instance,
                          int64_t born, int64_t sequence);

/* Records that the instance leaves, unless a later one has. `born` is the time
 * of its start, Unix ms (0: unknown). Returns TRUE once the store, or others,
 * have the record. */
gboolean Departure_Record(Departure *departure, const char *instance,
                          int64_t born);

/* Takes over the departure of an instance, unless a later one has left, passes
 * it to `left` and records it. Returns TRUE if the store has the record;
 * does not wait for that. */
gboolean Departure_Adopt(Departure *departure, const char *instance,
                         int64_t born);

/* States the generation of the store. If it is newer than the one in which the
 * record was read or written, the record is read again, and written if the
 * store has another one or none. */
void Departure_NoteGeneration(Departure *departure, int64_t generation);

#endif
