/* Admission: which requests wait for a slot of one backend server, in which
 * order they get one, and which are refused.
 *
 * Load pattern: more requests arrive than the backend server can finish, for
 * longer than a queue can absorb. In arrival order or in the order of the
 * deadlines every request then waits until it is nearly late, and most slots
 * are spent on answers that come too late. Here
 *  - a request is refused on arrival if it would wait longer than its sender
 *    accepts;
 *  - requests that can still be answered within their latency target come
 *    before those that cannot;
 *  - a request that waits leaves as soon as it cannot be finished before its
 *    deadline, also if slots are freed more slowly than expected; its sender
 *    can then try elsewhere, or tell the caller when to return.
 * Calls made by running requests come first, since the calling request holds a
 * slot elsewhere while it waits for them. A call whose parent's priority is
 * known (Admission_CallPriority()) comes before requests of this or a less
 * urgent priority only, so that the calls of many unimportant requests do not
 * delay the urgent requests of a service that they use, too. Requests of
 * callers keep a quarter of the slots in any case, so that a service that
 * others call more than it can serve still serves its own callers.
 *
 * In calm the queue is empty and a request takes a slot at once.
 *
 * Use, with a lock of the caller's:
 *  1. Admission_Create(); Admission_SetSlots() when the number of slots is
 *     known or changes.
 *  2. Admission_Arrive() with a ticket that stays valid until it has left. It
 *     is then waiting, or Admission_Arrive() returned FALSE.
 *  3. Admission_Advance() after each arrival and release, and from time to
 *     time while requests wait. It sets the state of the tickets.
 *  4. Admission_Withdraw() for a request that ends while it waits,
 *     Admission_Release() for one that was admitted and has ended, before that
 *     Admission_NoteService() if it was answered or Admission_NoteCut() if it
 *     was given up.
 *
 * Limits: decisions only; no lock, no thread, time is passed in. An arrival
 * and an advance take time in proportion to the number of waiting requests,
 * which the senders' limits of wait keep to some multiple of the slots.
 */
#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <glib.h>

#include "base/clock.h"

/* Priority of calls made by a running request whose priority is unknown. Lower
 * numbers are calls of a request with a known priority. */
#define ADMISSION_PRIORITY_NESTED (-1)

typedef struct Admission Admission;

typedef enum AdmissionState {
    ADMISSION_WAITING,
    ADMISSION_ADMITTED,
    ADMISSION_HOPELESS /* left the queue: cannot be finished in time */
} AdmissionState;

typedef struct AdmissionTicket {
    int priority;     /* of a request: a lower number comes first; negative:
                         a call */
    ClockMs target;   /* time until which an answer is in time */
    ClockMs deadline; /* time until which an answer is of any use */
    AdmissionState state;
    ClockMs started; /* time of admission */
} AdmissionTicket;

/* Pace of admissions beside the number of slots. */
typedef struct AdmissionPace {
    guint turns;        /* tickets that may be admitted now; G_MAXUINT: any
                           number */
    ClockMs next_ms;    /* time until one more may be */
    double interval_ms; /* between later ones */
    ClockMs end_ms;     /* time after which the pace does not apply */
} AdmissionPace;

typedef struct AdmissionLoad {
    guint slots;
    guint running;
    guint waiting;
    ClockMs service_ms; /* mean service time */
    ClockMs oldest;     /* start of the longest running request; CLOCK_NEVER:
                           none is running */
} AdmissionLoad;

/* Returns the priority of a call of a request with the priority `parent`, and
 * the other way round; negative: unknown. A negative priority of a request
 * counts as 0. */
int Admission_CallPriority(int parent);
int Admission_ParentPriority(int priority);

Admission *Admission_Create(void);
void Admission_Destroy(Admission *admission);
void Admission_SetSlots(Admission *admission, guint slots);

/* Limits the admissions until the next call, for a backend server that takes
 * only some requests in a second. Without a call there is no such limit. */
void Admission_SetPace(Admission *admission, const AdmissionPace *pace);

/* Wait of a ticket, whether or not it is in the queue, by the pace alone. */
ClockMs Admission_PaceWait(const Admission *admission,
                           const AdmissionTicket *ticket, ClockMs now);

/* Expected wait of a request that arrives now. */
ClockMs Admission_ExpectedWait(const Admission *admission,
                               const AdmissionTicket *ticket, ClockMs now);

/* Time in which runs of the ticket's kind are expected to end: the mean
 * service time and this many times the mean deviation from it. Both follow the
 * last few answers. */
ClockMs Admission_LongRunMs(const Admission *admission,
                            const AdmissionTicket *ticket, double deviations);

/* Whether enough runs of the ticket's kind were answered to tell how long they
 * take. */
gboolean Admission_KnowsRuns(const Admission *admission,
                             const AdmissionTicket *ticket);

/* Length of the longest run of the ticket's kind seen lately. */
ClockMs Admission_LongestRunMs(const Admission *admission,
                               const AdmissionTicket *ticket);

/* Time in which a run of the ticket's kind is expected to end by those at work
 * now, if the backend server has become slow: two of them or more that no run
 * begun later has overtaken, since a single one may just be long. 0: none. */
ClockMs Admission_AtWorkRunMs(const Admission *admission,
                              const AdmissionTicket *ticket, ClockMs now);

/* Adds the ticket to the queue. Returns FALSE if its expected wait is longer
 * than `max_wait_ms`. */
gboolean Admission_Arrive(Admission *admission, AdmissionTicket *ticket,
                          ClockMs max_wait_ms, ClockMs now);

/* Admits tickets while slots are free and removes hopeless ones. Returns TRUE
 * if the state of a ticket has changed. */
gboolean Admission_Advance(Admission *admission, ClockMs now);

void Admission_Withdraw(Admission *admission, const AdmissionTicket *ticket);

/* Frees the slot of an admitted ticket. */
void Admission_Release(Admission *admission, const AdmissionTicket *ticket,
                       ClockMs now);

/* Records the service time of a request that was answered. */
void Admission_NoteService(Admission *admission, const AdmissionTicket *ticket,
                           ClockMs service_ms, ClockMs now);

/* Records that a request was given up after this time, unanswered. */
void Admission_NoteCut(Admission *admission, const AdmissionTicket *ticket,
                       ClockMs run_ms);

/* Whether a slot is free and no request waits for one. */
gboolean Admission_HasRoom(const Admission *admission);

AdmissionLoad Admission_Load(const Admission *admission);

#endif
