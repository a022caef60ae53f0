/* Backend: the backend server on this host, and the only way to it.
 *
 * Every request for the backend server passes through its owner, the daemon on
 * its host. So the owner alone knows the slots in use, sees the outcome of
 * every request, and can tell whether a request was ever sent.
 *
 * Use:
 *  1. Backend_Create().
 *  2. Backend_Announce() for each announcement of the backend server,
 *     Backend_MarkStopped() when it says that it goes.
 *  3. Backend_Run() for each request, from any thread; it blocks while the
 *     request waits for a slot and runs.
 *  4. Backend_Close() refuses everything that is not running yet,
 *     Backend_Destroy() once no call runs.
 *
 * Admission: a request for another service is refused, since its sender knows
 * an earlier user of this host's address. It is refused as not run, too, when
 * the backend server is leaving or unknown, when its risk of a gray failure is
 * above what the sender accepts, or when the expected wait for a slot is.
 * Otherwise it waits in the order of priority and deadline.
 *
 * Announcements are ordered by the start of the instance, then by sequence
 * number; one that is older than the newest changes nothing.
 *
 * Results: OK with an answer; BACKEND_SERVER_ERROR with the backend server's
 * own failure; BACKEND_SERVER_LEAVING, _EJECTED, _BUSY, _SHED, _OTHER,
 * CONNECT_FAILED (not run); DEADLINE_EXPIRED and CANCELLED with the run state;
 * ANSWER_LOST, ANSWER_TRUNCATED, ANSWER_MISMATCH (may have run).
 *
 * Limits: one backend server. Thread safe.
 */
#ifndef BACKEND_BACKEND_H
#define BACKEND_BACKEND_H

#include <glib.h>
#include <netinet/in.h>

#include "backend/wire_names.h"
#include "base/clock.h"
#include "base/result.h"
#include "health/gray_filter.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "roster/roster.h"

#define BACKEND_NAME_BYTES 64

/* Priority of calls that a running request makes; they go before new work,
 * since the request that waits for them holds a slot. */
#define BACKEND_PRIORITY_NESTED (-1)

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
    int64_t born; /* Unix ms of the instance's start */
    int64_t sequence;
} BackendAnnouncement;

typedef struct Backend_desc {
    const WireNames *names;
    const char *service; /* of the backend server on this host */
    HttpClient *client;
    GrayFilter_desc gray;
    /* The published entry may have changed. Called without a lock. */
    void (*changed)(void *context);
    void *context;
} Backend_desc;

typedef struct BackendCall {
    const char *request_id;
    const char *service; /* that may run it */
    const char *team;    /* NULL: none */
    const char *caller;  /* service where the request began */
    const char *method;
    const char *target;
    const char *host;
    const HttpHeaders *headers; /* of the caller, without the system's own */
    const void *body;
    size_t body_bytes;
    ClockMs deadline;
    /* Asked this long after the request was sent whether to give it up; NULL
     * if never. */
    ClockMs attempt_timeout_ms;
    gboolean (*give_up)(void *context);
    void *give_up_context;
    gboolean idempotent;
    gboolean is_retry; /* an earlier attempt reached a backend server */
    int priority;
    double max_risk;
    ClockMs max_wait_ms;
    HttpCancel *cancel;
} BackendCall;

typedef struct BackendReply {
    Result result;
    RunState run;
    gboolean arrived; /* it reached the backend server */
    HttpAnswer answer;
    RosterReport report;
    ClockMs queue_ms;
    ClockMs server_ms;
} BackendReply;

typedef struct BackendStatus {
    BackendAnnouncement announcement;
    BackendState state;
} BackendStatus;

Backend *Backend_Create(const Backend_desc *desc);
void Backend_Destroy(Backend *backend);

/* FALSE if the announcement is out of date. */
gboolean Backend_Announce(Backend *backend,
                          const BackendAnnouncement *announcement);

/* The instance goes without a word of draining, or has drained. An instance
 * that started at another time than `born` (0: not told) is not meant. */
void Backend_MarkStopped(Backend *backend, const char *instance, int64_t born);
void Backend_Run(Backend *backend, const BackendCall *call,
                 BackendReply *reply);

/* A call that the backend server made while it ran a request has failed. A
 * failure of its own that follows at once says nothing about it. */
void Backend_NoteFailedCall(Backend *backend);
void Backend_Close(Backend *backend);
void Backend_GetStatus(Backend *backend, BackendStatus *status);

/* Share of the running requests that are repeats: of a call that the backend
 * server makes it is not known for which of them. */
double Backend_RetryShare(Backend *backend);

void Backend_GetReport(Backend *backend, RosterReport *report);

/* "unknown", "ready", "draining", "gone". */
const char *Backend_StateName(BackendState state);

/* backend_call.c: sends one admitted request and judges the answer. */
typedef struct BackendExchange {
    const WireNames *names;
    HttpClient *client;
    struct sockaddr_in address;
    const char *instance;
} BackendExchange;

void _Backend_Exchange(const BackendExchange *exchange,
                       const BackendCall *call, BackendReply *reply);

#endif
