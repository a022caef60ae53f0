#include "admission/parent_gate.h"

#include <math.h>

/* Age from which the state of a called service is no recent information. */
#define RECENT_MS 1000

/* Time constant of the counts of runs and of refused calls. */
#define COUNT_S 3.0

/* Runs that are assumed to have ended well before any were counted. */
#define PRIOR_RUNS 1

/* Share of failed runs from which parents are refused. Where some runs make no
 * calls, each refusal also loses one that would have been answered. */
#define MIN_FAILED 0.6

/* Largest share that is refused. The others find out whether calls are served
 * again. */
#define MAX_REFUSED 0.95

/* Time for which a priority without runs holds back more urgent ones, unless
 * this share of it is refused. */
#define LEVEL_MS 5000
#define HELD_SHARE 0.8

/* Use of the called service's retry limit at which retries of parents begin
 * and end to be held back. The called service's own retries end at 0.75. */
#define MIN_LIMIT_USAGE 0.5
#define MAX_LIMIT_USAGE 0.8

typedef struct Level {
    double runs;
    double refusals; /* of their calls */
    ClockMs updated; /* 0: nothing has been counted */
} Level;

typedef struct Called {
    uint64_t route;
    CalledState state;
    ClockMs noted; /* of the state */
    Level levels[PARENT_GATE_LEVELS];
} Called;

struct ParentGate {
    Called called[PARENT_GATE_ROUTES];
    guint count;
};

ParentGate *
ParentGate_Create(void)
{
    return g_new0(ParentGate, 1);
}

void
ParentGate_Destroy(ParentGate *gate)
{
    g_free(gate);
}

static Called *
find_called(ParentGate *gate, uint64_t route)
{
    for (guint i = 0; i < gate->count; i++) {
        if (gate->called[i].route == route) {
            return &gate->called[i];
        }
    }
    return NULL;
}

/* Adds a called route, in place of one without recent information if there is
 * no room. */
static Called *
add_called(ParentGate *gate, uint64_t route, ClockMs now)
{
    Called *called = &gate->called[0];

    if (gate->count < PARENT_GATE_ROUTES) {
        called = &gate->called[gate->count++];
    }
    else {
        for (guint i = 1; i < gate->count; i++) {
            called = gate->called[i].noted < called->noted ? &gate->called[i]
                                                           : called;
        }
        if (now - called->noted < RECENT_MS) {
            return NULL;
        }
    }
    *called = (Called){.route = route};
    return called;
}

static Called *
find_recent(ParentGate *gate, uint64_t route, ClockMs now)
{
    Called *called = find_called(gate, route);

    return called != NULL && now - called->noted < RECENT_MS ? called : NULL;
}

static gboolean
is_full(const CalledState *state)
{
    return state->in_flight + state->waiting >= state->slots;
}

void
ParentGate_NoteState(ParentGate *gate, uint64_t route,
                     const CalledState *state, ClockMs now)
{
    Called *called = find_called(gate, route);

    if (state->reports == 0) {
        return;
    }
    called = called != NULL ? called : add_called(gate, route, now);
    if (called == NULL) {
        return;
    }
    called->state = *state;
    called->noted = now;
}

static int
level_of(int priority)
{
    return CLAMP(priority, 0, PARENT_GATE_LEVELS - 1);
}

static void
count(Called *called, int priority, int runs, int refusals, ClockMs now)
{
    Level *level = &called->levels[level_of(priority)];
    double decay = exp(-(double)MAX(now - level->updated, 0) / 1000 / COUNT_S);

    level->runs = level->runs * decay + runs;
    level->refusals = level->refusals * decay + refusals;
    level->updated = now;
}

void
ParentGate_NoteRefusal(ParentGate *gate, uint64_t route, int priority,
                       ClockMs now)
{
    Called *called = find_recent(gate, route, now);

    if (called != NULL && is_full(&called->state) && priority >= 0) {
        count(called, priority, 0, 1, now);
    }
}

void
ParentGate_NoteRun(ParentGate *gate, uint64_t route, int priority, ClockMs now)
{
    Called *called = find_called(gate, route);

    if (called != NULL && priority >= 0) {
        count(called, priority, 1, 0, now);
    }
}

static double
refused_share(const Level *level)
{
    double failed = MIN(level->refusals / (level->runs + PRIOR_RUNS), 1);

    return MAX_REFUSED * MAX(failed - MIN_FAILED, 0) / (1 - MIN_FAILED);
}

/* Whether parents of a less urgent priority still pass. */
static gboolean
has_less_urgent(const Called *called, int level, ClockMs now)
{
    for (int i = level + 1; i < PARENT_GATE_LEVELS; i++) {
        const Level *other = &called->levels[i];

        if (other->updated > 0 && now - other->updated < LEVEL_MS &&
            refused_share(other) < HELD_SHARE) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
ParentGate_Admits(ParentGate *gate, uint64_t route, int priority, double unit,
                  ClockMs now)
{
    const Called *called = find_recent(gate, route, now);
    int level = level_of(priority);

    return called == NULL || priority < 0 || !is_full(&called->state) ||
           unit >= refused_share(&called->levels[level]) ||
           has_less_urgent(called, level, now);
}

gboolean
ParentGate_AdmitsRetry(ParentGate *gate, uint64_t route, double unit,
                       ClockMs now)
{
    const Called *called = find_recent(gate, route, now);

    return called == NULL ||
           called->state.limit_usage <=
               MIN_LIMIT_USAGE +
                   (1 - unit) * (MAX_LIMIT_USAGE - MIN_LIMIT_USAGE);
}
