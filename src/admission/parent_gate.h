/* ParentGate: which requests run, of those whose runs make calls.
 *
 * Load pattern: a service is called by others more than it can serve. Each
 * call that it refuses fails the run that made it, after this has held a slot
 * and has often been served other calls. Fewer runs are then answered than if
 * only as many began as the called service has room for.
 *
 * For each called route and each priority of the parents the gate learns the
 * share of the runs that fail because a call is refused, over the last few
 * seconds. If most of them fail and the called service is known to be full, it
 * refuses a share of the parents: none where 0.6 fail, nearly all where all
 * fail, and always a smaller share than fails. As calls are served
 * in the order of their parents' priorities, only the least urgent priority is
 * refused at first, and the next one when hardly any of that pass. Nothing is
 * refused without recent information about the called service.
 *
 * Retries of such runs are also held back by the retry limit of the called
 * service, because the calls of a retried run count as retries there.
 *
 * Use, with a lock of the caller's:
 *  1. ParentGate_Create().
 *  2. ParentGate_NoteState() for each call, with what the roster says of the
 *     called service, ParentGate_NoteRefusal() when the call has been refused
 *     for lack of room, and ParentGate_NoteRun() for each run that ends and
 *     each route that such runs call.
 *  3. ParentGate_Admits() and ParentGate_AdmitsRetry() for each request before
 *     it runs and each route that its run will call.
 *
 * Limits: PARENT_GATE_ROUTES called routes; others have no gate. Priorities
 * from 7 on count as one. Decisions only: time and a random number are passed
 * in, no lock.
 */
#ifndef ADMISSION_PARENT_GATE_H
#define ADMISSION_PARENT_GATE_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

#define PARENT_GATE_ROUTES 16
#define PARENT_GATE_LEVELS 8

/* Calls per run below which a run counts as one that makes none. */
#define PARENT_GATE_MIN_CALLS 0.1

typedef struct ParentGate ParentGate;

/* What a daemon knows of a called service from reports of its owners. */
typedef struct CalledState {
    guint reports;      /* owners that have reported lately; 0: unknown */
    guint slots;        /* of these */
    guint in_flight;    /* requests that run there */
    guint waiting;      /* requests that wait there */
    double limit_usage; /* share of its retry limit that is used */
} CalledState;

ParentGate *ParentGate_Create(void);
void ParentGate_Destroy(ParentGate *gate);

void ParentGate_NoteState(ParentGate *gate, uint64_t called,
                          const CalledState *state, ClockMs now);

/* A call of a parent of this priority was refused, which counts while the
 * called service is known to be full; a run of one has ended.
 * Negative: the priority is unknown, and nothing is counted. */
void ParentGate_NoteRefusal(ParentGate *gate, uint64_t called, int priority,
                            ClockMs now);
void ParentGate_NoteRun(ParentGate *gate, uint64_t called, int priority,
                        ClockMs now);

/* Whether a parent may run; `unit` is random in [0, 1). */
gboolean ParentGate_Admits(ParentGate *gate, uint64_t called, int priority,
                           double unit, ClockMs now);

/* The same for a retry of a parent, of any priority. */
gboolean ParentGate_AdmitsRetry(ParentGate *gate, uint64_t called, double unit,
                                ClockMs now);

#endif
