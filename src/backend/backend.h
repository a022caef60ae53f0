/* Backend: state of the backend server on this host, and the only path to it.
 *
 * Every request for the backend server passes through its owner, the daemon on
 * the same host. The owner therefore knows the slots in use, sees the outcome
 * of every request, and can tell whether a request was ever sent.
 *
 * Use:
 *  1. Backend_Create().
 *  2. Backend_Announce() for each announcement of the backend server,
 *     Backend_MarkStopped() when it reports that it stops,
 *     Backend_SetColdRate() with each configuration.
 *  3. Backend_Run() for each request, from any thread; it blocks while the
 *     request waits for a slot and runs.
 *  4. Backend_Tick() at least every PAUSE_TICK_MS, so that time in which this
 *     process did not run is not held against the backend server.
 *  5. Backend_Leave() when a graceful stop begins; Backend_Close() refuses all
 *     requests that are not running yet.
 *  6. Backend_Destroy() once no Backend_Run() is active.
 *
 * Admission: a request is refused as not run
 *  - if it is for another service: the address of this host was used by
 *    another host before, and the sender's roster is out of date;
 *  - if the backend server is stopping or has not announced itself, or if this
 *    host or the sender's stops before the request can be expected to end, by
 *    the runs answered lately and those at work. One that may not be repeated
 *    is not expected to end sooner than the longest run seen lately, and not
 *    at all in a stop until a few runs have been answered, unless its own
 *    deadline is earlier. In the stop of this host, one of another host's
 * caller also needs the time that its sender allows for it, as a single run
 * may take far longer than all before it; so does one whose sender stops, too;
 *  - if the backend server is withdrawn (Backend_SetWithdrawn());
 *  - if its risk of a gray failure or the expected wait for a slot exceeds the
 *    sender's limit. A request that explores an idle backend server is exempt
 *    from the limit of risk. Only the owner knows how long the backend server
 *    has been idle, so it lets one exploration through where many senders
 *    choose the same one, and makes one of a request that may run more than
 *    once where none does.
 * Otherwise it waits for a slot, as admission/admission.h has it, and is
 * refused as not run once it cannot be finished before its deadline.
 *
 * A backend server that is cold, as its announcements and the header cold_ms
 * of its answers state, gets requests at a limited rate (cold/cold_rate.h).
 * The others wait or are refused as if it had no free slot.
 *
 * Announcements are ordered by the start time of the instance, then by
 * sequence number. One that is not newer than the last is ignored. They may
 * arrive later than the report that their instance stops; such an instance
 * does not become ready.
 *
 * Results: OK with an answer; BACKEND_SERVER_ERROR with the backend server's
 * error answer; BACKEND_SERVER_LEAVING, _EJECTED, _BUSY, _SHED, _OTHER,
 * CONNECT_FAILED, SHUTTING_DOWN (not run; the last if the sender's host stops
 * too early); DEADLINE_EXPIRED and CANCELLED with the run state; ANSWER_LOST,
 * ANSWER_TRUNCATED, ANSWER_MISMATCH (may have run).
 *
 * Limits: one backend server. Thread safe.
 */
#ifndef BACKEND_BACKEND_H
#define BACKEND_BACKEND_H

#include <glib.h>
#include <netinet/in.h>

#include "admission/admission.h"
#include "admission/parent_gate.h"
#include "backend/pause_log.h"
#include "backend/wire_names.h"
#include "base/clock.h"
#include "base/result.h"
#include "gateway/call_origin.h"
#include "health/gray_filter.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "retry/retry_limit.h"
#include "roster/roster.h"
#include "stop/stop_plan.h"

#define BACKEND_NAME_BYTES 64

/* Longest time for which a backend server may state that it stays cold. */
#define BACKEND_MAX_COLD_MS 3600000

#define BACKEND_COLD_UNSTATED (-1)

/* Priority of calls made by a running request. */
#define BACKEND_PRIORITY_NESTED ADMISSION_PRIORITY_NESTED

typedef struct Backend Backend;

typedef enum BackendState {
    BACKEND_UNKNOWN, /* no announcement yet */
    BACKEND_READY,
    BACKEND_DRAINING,
    BACKEND_STOPPED
} BackendState;

typedef struct BackendAnnouncement {
    char instance[BACKEND_NAME_BYTES];
    char service[BACKEND_NAME_BYTES];
    struct sockaddr_in address;
    uint32_t slots;
    gboolean draining;
    int64_t born; /* start time of the instance, Unix ms */
    int64_t sequence;
    ClockMs cold_ms; /* time for which it stays cold; 0: it is warm;
                        BACKEND_COLD_UNSTATED: it does not say */
} BackendAnnouncement;

typedef struct Backend_desc {
    const WireNames *names;
    const char *service; /* service of the backend server on this host */
    HttpClient *client;
    GrayFilter_desc gray;
    /* Bound for a cold backend server: cold_per_s * cold_overage + cold_slack
     * requests in any second; cold_overage 0: none. */
    double cold_overage;
    double cold_slack;
    gboolean load_by_value; /* requests are refused whose calls would be */
    /* Called without a lock when the published entry may have changed. */
    void (*changed)(void *context);
    void *context;
} Backend_desc;

typedef struct BackendCall {
    const char *request_id;
    const char *service; /* service that may run the request */
    const char *team;    /* NULL: none */
    const char *caller;  /* service of the host where the request entered */
    const char *method;
    const char *target;
    const char *host;
    const HttpHeaders *headers; /* caller's headers without the proxy's own */
    const void *body;
    size_t body_bytes;
    /* Identifies one attempt at another host, so that its owner can be asked
     * about it; 0: none. */
    uint64_t attempt_id;
    ClockMs target_time; /* time until which an answer is in time */
    ClockMs deadline;
    /* The sender's host stops: it abandons the request at `deadline`, and the
     * request's own deadline is later. */
    gboolean ends_by_stop;
    /* give_up() is called attempt_timeout_ms after the start of the attempt;
     * TRUE abandons it. NULL: the attempt lasts until the deadline. */
    ClockMs attempt_timeout_ms;
    gboolean (*give_up)(void *context);
    void *give_up_context;
    /* Called when a slot is free, before the request is sent, and while it
     * waits; FALSE refuses it as not run. Called with a lock held, so it must
     * not call the Backend. NULL: may run. */
    gboolean (*may_run)(void *context);
    void *may_run_context;
    gboolean idempotent;
    gboolean is_local; /* the caller is connected to this host */
    /* Time allowed for a run: more than nearly all take. 0: until the
     * deadline. */
    ClockMs run_allowance_ms;
    RetryKind retry;
    uint64_t route; /* hash of the route's name; 0: unknown */
    int priority;
    double max_risk;
    ClockMs max_wait_ms;
    /* Above 0: the request explores, so max_risk does not apply if no request
     * has been sent to the backend server for this long. */
    ClockMs explore_idle_ms;
    HttpCancel *cancel;
    /* Ends a run that may not be repeated, which `cancel` leaves to finish;
     * NULL: nothing does. */
    HttpCancel *cancel_run;
} BackendCall;

typedef struct BackendReply {
    Result result;
    RunState run;
    gboolean arrived; /* the request reached the backend server */
    HttpAnswer answer;
    RosterReport report;
    ClockMs queue_ms;
    ClockMs server_ms;
    ClockMs expected_ms; /* longest run that the owner expected when it took
                            the request up; 0: it did not */
    ClockMs return_ms;   /* above 0: other owners would refuse it, too, since
                            its calls have no room or the retry limit is near;
                            time after which it may return */
    ClockMs owner_ms;    /* time at the owner of another host; -1: unknown */
    uint64_t catalog_version; /* of the configuration that the owner of another
                                 host has in force; 0: unknown */
} BackendReply;

typedef struct BackendStatus {
    BackendAnnouncement announcement;
    BackendState state;
} BackendStatus;

Backend *Backend_Create(const Backend_desc *desc);
void Backend_Destroy(Backend *backend);

/* Returns FALSE if the announcement is out of date. */
gboolean Backend_Announce(Backend *backend,
                          const BackendAnnouncement *announcement);

/* What the newest configuration says about the service's cold backend servers.
 * Until the first call a cold one gets no requests, if there may be a bound.
 */
typedef struct BackendColdRate {
    double per_s;     /* 0: no bound */
    ClockMs start_ms; /* time for which an instance is cold after its start, if
                         it does not say */
} BackendColdRate;

void Backend_SetColdRate(Backend *backend, const BackendColdRate *rate);

/* Treats the backend server as cold until the next announcement of it arrives.
 * Without a bound for cold ones: lets through half as many requests as it has
 * slots in the first second. */
void Backend_TreatAsCold(Backend *backend);

/* Marks the instance as stopped, whether or not it announced that it drains.
 * `born` is the time of its start (0: unknown). If the instance has not been
 * announced yet, an announcement that arrives later does not make it ready.
 * Ignored if it was started before the current instance. */
void Backend_MarkStopped(Backend *backend, const char *instance, int64_t born);
void Backend_Run(Backend *backend, const BackendCall *call,
                 BackendReply *reply);

void Backend_Tick(Backend *backend);

/* Sets the part of the service's retry limit that belongs to this backend
 * server: `ratio` of its requests and `slack` retries in each window. Retries
 * beyond it are refused as BACKEND_SERVER_BUSY. */
void Backend_SetRetryLimit(Backend *backend, double ratio, double slack,
                           ClockMs window_ms);

/* TRUE: the backend server gets no further requests, because its data centre
 * is evacuated. What has not been sent to it, waiting requests included, is
 * refused as BACKEND_SERVER_LEAVING; running requests end normally. FALSE: it
 * gets requests again, at a limited rate: Backend_TreatAsCold() applies.
 * Returns the time since the last request was sent to it. Calls must not
 * overlap. */
ClockMs Backend_SetWithdrawn(Backend *backend, gboolean withdrawn);

/* Returns how long this process has not run since `from`. */
ClockMs Backend_PausedMs(Backend *backend, ClockMs from);

/* Records that a call which the backend server made while running a request
 * has failed. A failure of the backend server right after it is attributed to
 * the call and does not raise the backend server's risk. */
void Backend_NoteFailedCall(Backend *backend);

/* Begins a graceful stop: runs that cannot be expected to end before it does
 * are refused as not run. */
void Backend_Leave(Backend *backend, const StopPlan *plan);
void Backend_Close(Backend *backend);
void Backend_GetStatus(Backend *backend, BackendStatus *status);

/* Share of the running requests that are retries. Approximates whether a call
 * of the backend server belongs to a retry, since it is not known which of the
 * running requests makes the call. */
double Backend_RetryShare(Backend *backend);

/* Counts a call that the backend server makes on a route, and returns the
 * likely parent. */
CallParent Backend_FindParent(Backend *backend, uint64_t called);

/* What this daemon knows of a service that the backend server calls, and the
 * end of one of these calls; `priority` is the parent's. They decide with
 * load_by_value which requests run whose runs make such calls, and always
 * which retries do (admission/parent_gate.h). */
void Backend_NoteCalled(Backend *backend, uint64_t called,
                        const CalledState *state);
void Backend_NoteCallEnd(Backend *backend, uint64_t called, int priority,
                         Result result);

void Backend_GetReport(Backend *backend, RosterReport *report);

/* "unknown", "ready", "draining", "gone". */
const char *Backend_StateName(BackendState state);

/* backend_call.c: sends one admitted request and classifies the answer. */
typedef struct BackendExchange {
    const WireNames *names;
    HttpClient *client;
    struct sockaddr_in address;
    const char *instance;
} BackendExchange;

void _Backend_Exchange(const BackendExchange *exchange,
                       const BackendCall *call, BackendReply *reply);

#endif
