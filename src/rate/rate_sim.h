/* RateSim: simulation of a fleet for the tests and benchmarks of the rate
 * limit. It is not part of the library.
 *
 * Use: fill in a RateSim_desc, RateSim_Create(), add teams, RateSim_Run() with
 * a script that is called once in each simulated second, read the results.
 *
 * Each host has its own clock (offset and drift) and runs the real decision
 * modules. Messages are delayed and may be lost, duplicated and reordered.
 * Each admission is checked against an exact token bucket with the team's rate
 * and burst in true time. That is equivalent to checking every window: the
 * bucket runs dry exactly if some window has more than rate x length + burst
 * admissions.
 */
#ifndef RATE_RATE_SIM_H
#define RATE_RATE_SIM_H

#include "base/rng.h"
#include "rate/rate_cache.h"
#include "rate/rate_directory.h"
#include "rate/rate_holder.h"
#include "rate/rate_lease.h"

#define RATE_SIM_HOSTS 128
#define RATE_SIM_TEAMS 64

typedef struct RateSim RateSim;

typedef enum RateSimTraffic {
    RATE_SIM_EVEN,   /* each request at a random host */
    RATE_SIM_REGION, /* all requests at hosts of one region */
    RATE_SIM_SKEWED  /* 90% of the requests at two hosts */
} RateSimTraffic;

typedef struct RateSimTeam_desc {
    RateLimit limit;
    double load; /* offered requests / rate */
    RateSimTraffic traffic;
} RateSimTeam_desc;

/* Results of one of the compared schemes for a team's requests. */
typedef struct RateSimScore {
    int64_t admitted;
    int64_t wrong;  /* net wrongful refusals, see below */
    int64_t strict; /* refusals of requests that the ideal bucket admitted */
} RateSimScore;

/* Compared schemes: the rate slots, a fixed share of the limit at each host,
 * and one leased home host for each team. */
enum { RATE_SIM_SLOTS, RATE_SIM_STATIC, RATE_SIM_HOME, RATE_SIM_SCHEMES };

/* A refusal is a net wrongful one if the ideal central bucket admits the
 * request and the scheme is behind the ideal bucket: requests admitted +
 * wrongful refusals so far < requests that the ideal bucket admitted. A scheme
 * that admits another request of the same second instead has no wrongful
 * refusal. */
typedef struct RateSimTeam {
    RateSimTeam_desc desc;
    uint64_t id;
    int64_t offered;
    int64_t ideal;
    int64_t above; /* admissions above rate x window + burst */
    int64_t max_excess_micro;
    RateSimScore score[RATE_SIM_SCHEMES];
} RateSimTeam;

typedef struct RateSim_desc {
    uint64_t seed;
    int hosts;
    int regions;
    int data_centres; /* number of data centres per region */
    int fleet_slots;
    int64_t lease_ms;
    int seconds;
    int drift_ppm;     /* drift of each clock, in either direction */
    double loss;       /* share of messages lost */
    double duplicate;  /* share of messages delivered twice, the second late */
    double store_loss; /* share of store responses lost after the call took
                          effect */
    int deadline_ms;
    int pause_percent; /* share of requests paused 0 to 3 s before use */
    void *context;
    void (*script)(void *context, RateSim *sim, int second);
} RateSim_desc;

typedef struct RateSimCost {
    int64_t draws;
    int64_t settles;
    int64_t store_reads;
    int64_t store_writes;
    int64_t wait_us; /* total wait of admitted requests */
    int64_t max_writes_in_second;
} RateSimCost;

RateSim *RateSim_Create(const RateSim_desc *desc);
void RateSim_Destroy(RateSim *sim);
int RateSim_AddTeam(RateSim *sim, const RateSimTeam_desc *desc);
void RateSim_Run(RateSim *sim);
const RateSimTeam *RateSim_Team(const RateSim *sim, int team);
RateSimCost RateSim_Cost(const RateSim *sim);
Rng *RateSim_Rng(RateSim *sim);

/* Faults, for scripts. */
void RateSim_Kill(RateSim *sim, int host);
/* Starts a killed host again, at the same address or as another host. */
void RateSim_Start(RateSim *sim, int host, gboolean same_address);
/* Stops a host gracefully, so that it releases its slots, and starts it again
 * after 2 s. */
void RateSim_Restart(RateSim *sim, int host);
void RateSim_Pause(RateSim *sim, int host, int ms);
/* Drops messages from one host to another, in this direction only. */
void RateSim_Cut(RateSim *sim, int from, int to, gboolean cut);
void RateSim_SetStoreDown(RateSim *sim, gboolean down);
void RateSim_Retire(RateSim *sim, int host);
/* Puts a new limit in force, at some hosts up to 6 s later. */
void RateSim_SetLimit(RateSim *sim, int team, const RateLimit *limit);
/* Returns the host that holds the most slots now; -1 if none. */
int RateSim_Holder(const RateSim *sim);
/* Returns a running host that holds a slot of the team; -1 if none. */
int RateSim_HolderOf(const RateSim *sim, int team);
gboolean RateSim_IsUp(const RateSim *sim, int host);
int RateSim_SlotsHeld(const RateSim *sim);

#endif
