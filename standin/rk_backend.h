/* rk-backend: parts of the backend server stand-in.
 *
 * rk_backend.c receives and answers requests, rk_backend_work.c manages the
 * slots, the faults and the records of executions and received texts,
 * rk_backend_admin.c serves the admin port and announces the server.
 */
#ifndef STANDIN_RK_BACKEND_H
#define STANDIN_RK_BACKEND_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

#include "base/rng.h"

/* Outcome of a request, chosen when the request has been read. */
typedef enum Outcome {
    OUTCOME_ANSWER,
    OUTCOME_ERROR,      /* executed, status 500 */
    OUTCOME_WRONG,      /* executed, status 200 with a wrong request id */
    OUTCOME_SHORT_BODY, /* executed, body truncated */
    OUTCOME_CLOSE,      /* executed, connection closed without an answer */
    OUTCOME_SHED        /* not executed, status 503 with Retry-After */
} Outcome;

typedef struct Faults {
    double slow_factor;
    double hang; /* 0 or 1 */
    double error_percent;
    double wrong_percent;
    double short_body_percent;
    double close_after_read;  /* percent; true means 100 */
    double close_before_read; /* percent; true means 100 */
    double shed_percent;
    double stop_announcing; /* 0 or 1 */
} Faults;

typedef enum Phase {
    PHASE_NEW,
    PHASE_READING,
    PHASE_WAITING,
    PHASE_READY
} Phase;

typedef struct Request {
    struct MHD_Connection *connection;
    char *uri; /* as received */
    GByteArray *body;
    Phase phase;
    Outcome outcome;
    gboolean is_idempotent;
    char *request_id;
    char *run_token;
    char *nonce;
    int64_t expires_us; /* from Radishknot-Deadline-Ms, INT64_MAX if missing */
    int64_t finish_us;
} Request;

typedef struct Backend {
    const char *name;
    const char *service;
    const char *pool;
    const char *address;
    const char *admin_address; /* NULL: address */
    const char *daemon;        /* admin address of the daemon, or NULL */
    int port;
    int admin_port;
    int slots;
    int threads;
    int grace_ms;
    double service_ms;
    double sigma;
    size_t answer_bytes;
    size_t seen_limit_bytes;
    uint64_t seed;
    char session[17];

    pthread_mutex_t lock; /* protects all fields below */
    pthread_cond_t changed;
    Rng rng;
    Faults faults;
    const char *state; /* ready, draining or leaving */
    int64_t drain_us;  /* time of the change from "ready"; 0: still ready */
    gboolean is_stopping;
    GQueue waiting;
    GPtrArray *running;
    GHashTable *tokens;   /* run token -> number of executions */
    GHashTable *requests; /* request id -> number of executions */
    GHashTable *nonces;   /* nonce -> number of executions */
    GHashTable *seen;     /* set of received texts */
    size_t seen_bytes;
    gboolean is_seen_full;
    uint64_t received;
    uint64_t executions; /* executions of non-idempotent requests */
    uint64_t served;     /* requests that got a slot */
    uint64_t shed;
    uint64_t over_slots;      /* arrivals while all slots were in use */
    uint64_t started_expired; /* requests that got a slot after the deadline */
    uint64_t cancelled;       /* requests whose sender closed the connection */
    uint64_t after_drain;     /* arrivals after the state left "ready" */
    int64_t last_after_drain_us; /* time from drain_us to the last arrival */
    uint64_t announced;
    uint64_t announce_failures;
} Backend;

/* rk_backend_work.c */
void Work_Init(Backend *backend);
/* Thread that assigns slots to requests and resumes completed requests. */
void *Work_Run(void *backend);
/* Suspends a request and adds it to the queue. Returns FALSE after
 * Work_Stop(). */
gboolean Work_Add(Backend *backend, Request *request);
Outcome Work_ChooseOutcome(Backend *backend);
gboolean Work_SampleCloseBeforeRead(Backend *backend);
void Work_RecordArrival(Backend *backend);
/* Records a received text for /v1/seen. The text may be NULL. */
void Work_RecordSeen(Backend *backend, const char *text, size_t length);
gboolean Work_WasSeen(Backend *backend, const char *text);
/* Stops the thread, which then closes the connections of all waiting and
 * running requests. */
void Work_Stop(Backend *backend);
gboolean Work_IsIdle(Backend *backend);

/* rk_backend_admin.c */
enum MHD_Result Admin_Handle(void *backend, struct MHD_Connection *connection,
                             const char *url, const char *method,
                             const char *version, const char *data,
                             size_t *data_size, void **context);
void Admin_Completed(void *backend, struct MHD_Connection *connection,
                     void **context, enum MHD_RequestTerminationCode code);
/* Thread that announces the server to the daemon every second. */
void *Admin_Announce(void *backend);
/* Sends one announcement and waits for the answer. Returns whether the daemon
 * accepted it. */
gboolean Admin_AnnounceOnce(Backend *backend);
void Admin_SetState(Backend *backend, const char *state);

#endif
