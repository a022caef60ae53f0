/* The state of RateSim, shared by the rate_sim*.c files. */
#ifndef RATE_RATE_SIM_PRIVATE_H
#define RATE_RATE_SIM_PRIVATE_H

#include "rate/rate_sim.h"

#define SECOND_US INT64_C(1000000)
#define START_US (12 * SECOND_US)
#define MAX_CHANGES 4
#define CHANGE_US (6 * SECOND_US)
#define RESEND_US 100000
#define TIMEOUT_US 250000
#define MAX_USES 16
#define MAX_HOLDERS 64
#define CACHE_TICK_US 50000
#define LEASE_TICK_US 100000
#define STORE_US 4000
#define NO_HOST (-1)

typedef enum EventKind {
    EV_ARRIVAL,
    EV_DRAW,
    EV_REPLY,
    EV_RESEND,
    EV_TIMEOUT,
    EV_SETTLE,
    EV_USE,
    EV_RETRY,
    EV_CACHE,
    EV_LEASE,
    EV_STORE,
    EV_STORE_DONE,
    EV_HINT,
    EV_VIEW,
    EV_START,
    EV_SECOND
} EventKind;

typedef struct Request {
    int team;
    int64_t arrived_us;
    ClockMs deadline;      /* by the entry's clock */
    ClockMs wait_deadline; /* end of the wait for promised tokens */
    gboolean ideal;
    struct Request *next;
} Request;

/* A draw in flight, shared by the events that refer to it. */
typedef struct PendingDraw {
    int refs;
    RatePlan plan;
    int team;
    int from;
    int to;
    RateUse uses[MAX_USES];
    int use_count;
    gboolean done;
} PendingDraw;

typedef struct Reply {
    Result result;
    RateGrant grant;
    int holder_count;
    uint16_t slots[MAX_HOLDERS];
    RateHostId holders[MAX_HOLDERS];
} Reply;

typedef struct Event {
    int64_t at_us;
    uint64_t order;
    EventKind kind;
    int host;
    uint64_t incarnation; /* incarnation of the host; 0 = any */
    int number;
    PendingDraw *pending;
    Reply *reply;
    Request *request;
    RateToken token;
    RateLeaseAction action;
    Result result;
    RateSlotObject object;
    gboolean has_object;
    ClockMs sent_ms;
    RateUse uses[MAX_USES];
    int use_count;
    uint64_t sender;
} Event;

typedef struct Host {
    RateHost record;
    gboolean up;
    gboolean stopping;
    gboolean retired;
    int64_t clock_offset_us;
    int drift_ppm;
    int64_t paused_until_us;
    int64_t started_us;
    gboolean store_call_pending; /* a store call is in flight */
    RateLease *lease;
    RateHolder *holder;
    RateCache *cache;
    RateDirectory *directory;
    Request *waiting[RATE_SIM_TEAMS];
    /* Time of the pending EV_RETRY of each team; 0 = none. */
    int64_t retry_us[RATE_SIM_TEAMS];
    struct {
        RateSim *sim;
        int index;
    } self;
} Host;

typedef struct Change {
    RateLimit limit;
    int64_t at_us;
} Change;

typedef struct Bucket {
    int64_t micro;
    int64_t at_us;
} Bucket;

typedef struct TeamState {
    RateSimTeam results;
    Change changes[MAX_CHANGES];
    int change_count;
    Bucket ideal;
    Bucket check;
    Bucket home;
    Bucket shares[RATE_SIM_HOSTS];
    int home_host;
    int64_t home_renewed_us;
    int64_t home_vacant_until_us;
} TeamState;

typedef struct StoreObject {
    RateSlotObject object;
    int64_t modified_us;
} StoreObject;

struct RateSim {
    RateSim_desc desc;
    Rng rng;
    int64_t now_us;
    uint64_t order;
    Event **heap;
    int heap_count;
    int heap_capacity;
    Host hosts[RATE_SIM_HOSTS];
    int host_count;
    uint8_t cut[RATE_SIM_HOSTS][RATE_SIM_HOSTS];
    TeamState teams[RATE_SIM_TEAMS];
    int team_count;
    StoreObject store[RATE_SLOTS_MAX];
    uint64_t store_version;
    gboolean store_down;
    int writes_in_second;
    RateSimCost cost;
};

void _RateSim_CloseHost(Host *host);
void _RateSim_SendView(RateSim *sim, int64_t delay_us);
void _RateSim_ApplyView(RateSim *sim);
void _RateSim_StartHost(RateSim *sim, int index);
void _RateSim_OnLease(RateSim *sim, int index);
void _RateSim_Schedule(RateSim *sim, EventKind kind, int index,
                       int64_t delay_us);
int _RateSim_HostIndex(const RateSim *sim, uint64_t id);
ClockMs _RateSim_LocalMs(const RateSim *sim, int host);
void _RateSim_CheckAdmission(RateSim *sim, TeamState *team);
void _RateSim_Count(RateSimTeam *team, int scheme, gboolean admitted,
                    gboolean ideal);
gboolean _RateSim_AdmitHome(RateSim *sim, TeamState *team,
                            const RateLimit *limit);
gboolean _RateSim_AdmitStatic(RateSim *sim, TeamState *team,
                              const RateLimit *limit, int host);
gboolean _RateSim_TakeFrom(Bucket *bucket, const RateLimit *limit,
                           int64_t now_us);
void _RateSim_Push(RateSim *sim, Event *event, int64_t at_us);
Event *_RateSim_NewEvent(const RateSim *sim, EventKind kind, int host);
void _RateSim_FreeEvent(Event *event);
int64_t _RateSim_Latency(RateSim *sim, int from, int to);
const Change *_RateSim_LimitAt(const RateSim *sim, int host,
                               const TeamState *team);
gboolean _RateSim_Lookup(void *context, uint64_t id, RateLimit *limit,
                         ClockMs *in_force_ms);
void _RateSim_OnArrival(RateSim *sim, Event *event);
void _RateSim_OnDraw(RateSim *sim, Event *event);
void _RateSim_OnReply(RateSim *sim, Event *event);
void _RateSim_OnTimeout(RateSim *sim, Event *event);
void _RateSim_OnUse(RateSim *sim, Event *event);
void _RateSim_ServeWaiting(RateSim *sim, int index, int team);
void _RateSim_SendDraw(RateSim *sim, PendingDraw *pending);
void _RateSim_SendSettlements(RateSim *sim, int index);

#endif
