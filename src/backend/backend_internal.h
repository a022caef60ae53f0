/* Types shared by the source files of the backend server's owner. */
#ifndef BACKEND_BACKEND_INTERNAL_H
#define BACKEND_BACKEND_INTERNAL_H

#include <pthread.h>

#include "backend/backend.h"

/* Mean deviations from the mean service time within which a run that may not
 * be repeated is expected to end. */
#define BACKEND_LOST_RUN_DEVIATIONS 6

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
    PauseLog pauses;
    Admission *admission;
    gboolean withdrawn;     /* gets no requests */
    ClockMs returned_until; /* end of the limited return; 0: none */
};

/* backend_withdrawn.c: sets the number of slots that may be used now. Called
 * with the lock held. */
void _Backend_SetSlots(Backend *backend, ClockMs now);

/* Gives back the other slots after a limited return. The same. */
void _Backend_EndReturn(Backend *backend, ClockMs now);

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

#endif
