/* RateSim: simulation of a fleet for the tests and benches of the rate slice.
 * It is not part of the library.
 *
 * Use: fill a RateSim_desc, RateSim_Create(), add teams, RateSim_Run() with a
 * script that is called once in each simulated second, read the results.
 *
 * Every host has its own clock (offset and drift) and the real decision
 * modules. Messages take time, and may be lost, repeated and reordered. Each
 * admission is checked against an exact token bucket with the team's rate and
 * burst in true time, which is equivalent to checking every window: the bucket
 * runs dry exactly when some window holds more than rate x length + burst.
 */
#ifndef RATE_RATE_SIM_H
#define RATE_RATE_SIM_H

#include "base/rng.h"
#include "rate/rate_directory.h"
#include "rate/rate_hold.h"
#include "rate/rate_holder.h"
#include "rate/rate_wallet.h"

#define RATE_SIM_HOSTS 128
#define RATE_SIM_TEAMS 64

typedef struct RateSim RateSim;

typedef enum RateSimTraffic {
    RATE_SIM_EVEN,   /* each request at a random host */
    RATE_SIM_REGION, /* all at hosts of one region */
    RATE_SIM_SKEWED  /* 90% at two hosts */
} RateSimTraffic;

typedef struct RateSimTeam_desc {
    RateLimit limit;
    double load; /* offered requests / rate */
    RateSimTraffic traffic;
} RateSimTeam_desc;

/* What one of the compared schemes did with a team's requests. */
typedef struct RateSimScore {
    int64_t admitted;
    int64_t wrong;  /* net wrongful refusals, see below */
    int64_t strict; /* refused while the ideal bucket admitted */
} RateSimScore;

enum { RATE_SIM_SLOTS, RATE_SIM_STATIC, RATE_SIM_HOME, RATE_SIM_SCHEMES };

/* A refusal is a net wrongful one if the ideal central bucket admits the
 * request and the scheme is behind it: requests admitted + wrongful refusals
 * so far < requests the ideal bucket admitted. A scheme that admits another
 * request of the same second in place of this one has refused none wrongly. */
typedef struct RateSimTeam {
    RateSimTeam_desc desc;
    uint64_t id;
    int64_t offered;
    int64_t ideal;
    int64_t above;       /* admissions above rate x W + burst */
    int64_t worst_micro; /* largest excess */
    RateSimScore score[RATE_SIM_SCHEMES];
} RateSimTeam;

typedef struct RateSim_desc {
    uint64_t seed;
    int hosts;
    int regions;
    int data_centres; /* in each region */
    int fleet_slots;
    int64_t hold_ms;
    int seconds;
    int drift_ppm;     /* of each clock, to either side */
    double loss;       /* share of messages lost */
    double repeat;     /* share of messages delivered twice, the second late */
    double store_loss; /* share of store answers lost after the effect */
    int deadline_ms;
    int pause_percent; /* of entries between take and use, for 0 to 3 s */
    void *context;
    void (*script)(void *context, RateSim *sim, int second);
} RateSim_desc;

typedef struct RateSimCost {
    int64_t draws;
    int64_t settles;
    int64_t store_reads;
    int64_t store_writes;
    int64_t wait_us; /* sum over admitted requests */
    int64_t most_writes_in_second;
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
/* Starts a killed host again: at the same address or as another host. */
void RateSim_Start(RateSim *sim, int host, gboolean same_address);
/* Graceful stop with hand-over, then a start after 2 s. */
void RateSim_Restart(RateSim *sim, int host);
void RateSim_Pause(RateSim *sim, int host, int ms);
/* Cuts messages from one host to another, in this direction only. */
void RateSim_Cut(RateSim *sim, int from, int to, gboolean cut);
void RateSim_SetStoreDown(RateSim *sim, gboolean down);
void RateSim_Retire(RateSim *sim, int host);
/* Puts a new limit in force, up to 6 s later at some hosts. */
void RateSim_SetLimit(RateSim *sim, int team, const RateLimit *limit);
/* Host that holds the most slots now; -1 if none. */
int RateSim_Holder(const RateSim *sim);
/* Hosts (other than `except`) that hold a slot of the team; -1 if none. */
int RateSim_HolderOf(const RateSim *sim, int team);
gboolean RateSim_IsUp(const RateSim *sim, int host);
int RateSim_SlotsHeld(const RateSim *sim);

#endif
