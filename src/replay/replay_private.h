/* Types shared by the source files of the replay. */
#ifndef REPLAY_REPLAY_PRIVATE_H
#define REPLAY_REPLAY_PRIVATE_H

#include "admission/admission.h"
#include "admission/parent_gate.h"
#include "base/result.h"
#include "base/rng.h"
#include "cold/cold_rate.h"
#include "health/gray_filter.h"
#include "replay/replay.h"
#include "retry/retry.h"
#include "retry/retry_limit.h"
#include "roster/roster.h"

/* Time of the first step; some modules take 0 for "never". */
#define REPLAY_START_MS 1000

typedef struct ReplayServer {
    guint service;
    guint index; /* within the service */
    guint region;
    uint64_t host;
    Admission *admission;
    GPtrArray *waiting; /* ReplayRequest, in the order of arrival */
    guint running;
    guint running_retries;
    GrayFilter filter;
    RetryRates rates;
    RetryLimit retry_limit;
    ParentGate *gate; /* of the calls that its runs make */
    ClockMs last_sent;
    ColdRate cold;
    double cold_per_s; /* 0: warm */
    GArray *cold_sent; /* ClockMs of each request while it was cold */

    double speed;
    double load; /* sum of the samples */
} ReplayServer;

/* A host that sends requests. */
typedef struct ReplaySender {
    guint region;
    Roster *roster;
    RetryBudget *budgets; /* one for each service */
} ReplaySender;

typedef enum ReplayState {
    REPLAY_AT_SENDER, /* chooses at `due` */
    REPLAY_TO_OWNER,  /* arrives at `due` */
    REPLAY_WAITING,
    REPLAY_RUNNING, /* ends at `due`, when its calls have ended */
    REPLAY_TO_SENDER,
    REPLAY_DONE
} ReplayState;

typedef struct ReplayRequest ReplayRequest;

struct ReplayRequest {
    guint stream;
    ReplaySender *sender;
    ReplayRequest *parent; /* NULL: sent by a caller */
    guint pending;         /* calls that have not ended */
    guint calls_left;      /* calls that have not begun */
    guint limit_refusals;
    gboolean is_gated; /* other owners would refuse it, too */
    gboolean call_failed;
    gboolean is_retry;    /* call of a run that is a retry */
    gboolean seems_retry; /* the same by its sender's estimate */
    gboolean is_calm;     /* the service is below its retry limit */
    gboolean may_have_run;
    gboolean has_returned;
    ReplayState state;
    ClockMs due;
    ClockMs asked;    /* first arrival */
    ClockMs arrived;  /* of this try of the caller */
    ClockMs deadline; /* of the caller */
    ReplayServer *server;
    gboolean is_begun; /* Roster_Begin() for the server's host */
    Result result;     /* on the way to the sender */
    RosterReport report;
    ClockMs backlog_ms; /* shortest wait of the owners that were full */
    guint attempts;
    guint rounds;
    gboolean can_retry;
    gboolean has_explored;
    guint full_offers;  /* FullService_Decide() */
    guint risky_owners; /* that refused it for their risk */
    PlacementLimits limits;
    ClockMs explore_idle_ms;
    RosterQuery query; /* its list of excluded hosts is kept */
    uint64_t asked_hosts[ROSTER_MAX_EXCLUDED];
    guint asked_count;
    AdmissionTicket ticket;
    RetryKind retry; /* of the attempt that is sent */
};

typedef struct ReplayBin {
    guint firsts;
    guint retries;
} ReplayBin;

struct Replay {
    Replay_desc desc;
    ReplayServer *servers;
    guint server_count;
    ReplaySender *senders;
    GPtrArray *active;   /* ReplayRequest */
    GHashTable *by_host; /* &ReplayServer.host -> ReplayServer */
    GArray **bins;       /* ReplayBin for each 100 ms, one for each service */
    ReplayOutcome *outcomes;
    ReplaySpread *spreads; /* sums, one for each service */
    Rng rng;
    Rng estimates; /* of what senders do not know; apart from the arrivals */
};

const ReplayStream *_Replay_Stream(const Replay *replay,
                                   const ReplayRequest *request);
ReplayOutcome *_Replay_OutcomeOf(const Replay *replay,
                                 const ReplayRequest *request);

/* Value of a fault at a backend server; 0 if there is none. */
double _Replay_FaultAt(const Replay *replay, const ReplayServer *server,
                       ReplayFault fault, ClockMs now);
ReplayBin *_Replay_Bin(const Replay *replay, guint service, ClockMs now);

/* Adds a request, or a call of `parent`. */
void _Replay_AddRequest(Replay *replay, guint stream, ReplaySender *sender,
                        ReplayRequest *parent, ClockMs now);

/* replay_calls.c */

/* Makes the first call of a run, or all of them. */
void _Replay_StartCalls(Replay *replay, ReplayRequest *parent, ClockMs now);

/* Makes the next call if those before have been served. */
void _Replay_NextCall(Replay *replay, ReplayRequest *parent, ClockMs now);

/* Priority on the way to an owner: of a request, or a call. */
int _Replay_Priority(const Replay *replay, const ReplayRequest *request);

/* Records what the sender of a call knows of the called service, and the end
 * of a call of a running parent. */
void _Replay_NoteCalled(Replay *replay, const ReplayRequest *call,
                        const RetryRates *rates, double slack_per_s,
                        ClockMs now);
void _Replay_EndCall(Replay *replay, const ReplayRequest *call,
                     gboolean is_refused, ClockMs now);

void _Replay_NoteRun(Replay *replay, const ReplayRequest *request,
                     ClockMs now);

/* Whether the calls of the request will likely be served. */
gboolean _Replay_PassesGate(Replay *replay, const ReplayRequest *request,
                            ClockMs now);

/* replay_sender.c */
void _Replay_Choose(Replay *replay, ReplayRequest *request, ClockMs now);
void _Replay_TakeResult(Replay *replay, ReplayRequest *request, ClockMs now);
void _Replay_Expire(Replay *replay, ReplayRequest *request, ClockMs now);

/* Ends the attempt in the sender's roster, if one is under way. */
void _Replay_EndAttempt(ReplayRequest *request);

/* replay_owner.c */
RosterReport _Replay_ReportOf(const Replay *replay, const ReplayServer *server,
                              ClockMs now);
void _Replay_Arrive(Replay *replay, ReplayRequest *request, ClockMs now);
void _Replay_AdvanceOwner(Replay *replay, ReplayServer *server, ClockMs now);
void _Replay_EndRun(Replay *replay, ReplayRequest *request, ClockMs now);

/* replay_cold.c: adapts the owner to whether its backend server is cold. */
void _Replay_FollowCold(Replay *replay, ReplayServer *server, ClockMs now);
void _Replay_CountCold(ReplayServer *server, ClockMs now);
ClockMs _Replay_ColdWait(const ReplayServer *server, ClockMs now);

/* replay_spread.c: called for each step. */
void _Replay_Sample(Replay *replay, ClockMs now);

/* Takes the request from its owner, whether it waits or runs. */
void _Replay_LeaveOwner(Replay *replay, ReplayRequest *request, ClockMs now);

#endif
