/* Types shared by the source files of the backend server's owner. */
#ifndef BACKEND_BACKEND_INTERNAL_H
#define BACKEND_BACKEND_INTERNAL_H

#include <pthread.h>

#include "backend/backend.h"
#include "cold/cold_rate.h"

/* Mean deviations from the mean service time within which a run that may not
 * be repeated is expected to end. */
#define BACKEND_LOST_RUN_DEVIATIONS 6

/* Time after which a request may return that every owner is expected to
 * refuse, because its calls would be refused or the retry limit is near: both
 * last for seconds, and owners and senders learn of the end within less. */
#define BACKEND_RETURN_MS 1000

struct Backend {
    Backend_desc desc;
    pthread_mutex_t lock;
    pthread_cond_t wake; /* signals an admitted waiter or a state change */
    BackendAnnouncement announcement;
    BackendState state;
    char left[BACKEND_NAME_BYTES]; /* instance that stopped without having been
                                      announced; "": none */
    int64_t left_born; /* its start time, Unix ms; if that was not given, the
                          time of the report */
    gboolean closed;
    StopPlan stop;
    GrayFilter filter;
    unsigned failed_calls;    /* failed calls not yet matched to a failure */
    ClockMs last_failed_call; /* time of the last failed call */
    ClockMs last_sent;        /* time of the last request */
    guint running_retries; /* number of retries among the running requests */
    RetryRates rates;
    RetryLimit retry_limit;
    CallOrigin *origin;
    ParentGate *gate;
    Rng rng;
    PauseLog pauses;
    Admission *admission;
    gboolean withdrawn; /* gets no requests */
    ColdRate cold;
    BackendColdRate cold_rate; /* of the newest configuration */
    ClockMs unstated_since;    /* start of an instance that has not said how
                                  long it is cold; CLOCK_NEVER: it has */
    gboolean was_cold;         /* as the last event in the log has it */
};

/* backend_cold.c: the rate of requests while the backend server is cold. All
 * are called with the lock held. */

void _Backend_InitCold(Backend *backend, ClockMs now);

/* Takes over the slots and what the announcement says about being cold. */
void _Backend_ApplyCold(Backend *backend, gboolean is_new_instance,
                        ClockMs now);

/* Reads the header of an answer of the announced instance. */
void _Backend_ReadCold(Backend *backend, const BackendReply *reply,
                       ClockMs now);

/* Adapts the admission to the cold state. */
void _Backend_SetPace(Backend *backend, ClockMs now);

/* Admits waiting requests, which must then be sent at once. */
void _Backend_Advance(Backend *backend, ClockMs now);

/* Whether the waiting request has to wait longer than its sender accepts,
 * because the backend server has become cold. */
gboolean _Backend_WaitsTooLong(const Backend *backend, const BackendCall *call,
                               const AdmissionTicket *ticket, ClockMs now);

/* Time until the backend server accepts another request; 0: it is not cold. */
ClockMs _Backend_ColdWait(const Backend *backend, ClockMs now);

/* Time until a waiting request may be sent, at most `max_ms`. */
ClockMs _Backend_NextTurn(const Backend *backend, ClockMs max_ms, ClockMs now);

/* Counts a request that was refused as busy. */
void _Backend_CountBusy(const Backend *backend, ClockMs now);

/* Writes a change of the cold state to the log. */
void _Backend_NoteCold(Backend *backend, const char *reason, ClockMs now);

/* backend_stop.c: which runs a graceful stop leaves time for. */

/* Longest run that is expected, by the mean and these deviations, the longest
 * one seen lately and those at work. Called with the lock held. */
ClockMs _Backend_LongestRun(const Backend *backend,
                            const AdmissionTicket *ticket, double deviations,
                            ClockMs now);

/* Result for a request that a stop ends too early; OK if none does. Called
 * with the lock held. */
Result _Backend_CheckStop(const Backend *backend, const BackendCall *call,
                          const AdmissionTicket *ticket, ClockMs now);

/* backend_parent.c: priority of a request, or of the one that made the call;
 * -1: unknown. */
int _Backend_Value(const BackendCall *call);

/* Counts a run that has ended, if such runs make calls. Called with the lock
 * held. */
void _Backend_NoteRun(Backend *backend, const BackendCall *call, ClockMs now);

/* Whether the calls that a run of the request is known to make will likely be
 * served, as far as it matters to the request. Sets reply->return_ms if not.
 * Called with the lock held. */
Result _Backend_CheckCalls(Backend *backend, const BackendCall *call,
                           BackendReply *reply);

#endif
