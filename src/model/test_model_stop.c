/* Search of a model of graceful stops: one request, one entry and two owners,
 * each of which may stop at any time. All decisions are the code's. A run
 * lasts as long as it is expected to at most. A wait for a slot has a limit if
 * it began before the entry's stop. */
#include "gateway/gateway_internal.h"
#include "gateway/return_time.h"
#include "model/search.h"
#include "retry/retry.h"
#include "stop/stop_plan.h"

/* The model's clock advances in steps. Times are relative to NOW_MS, so that
 * states which differ by their absolute time only are one state. */
#define STEP_MS 650
#define NOW_MS 1000000
#define GRACE_MS 6000
#define MAX_AGE 10 /* steps after SIGTERM; the process has ended */

#define SHORT_STEPS 2
#define LONG_STEPS 12
#define TARGET_STEPS 2
#define RUN_STEPS 2
#define ALLOWANCE_MS (LONG_STEPS * STEP_MS / 2)
#define WAIT_STEPS 1
#define MAX_ATTEMPTS 2
#define NO_STOP UINT8_MAX
#define OWNERS 2

typedef enum Phase {
    PHASE_NONE,
    PHASE_TAKEN,
    PHASE_QUEUED,
    PHASE_RUNNING,
    PHASE_ENDED
} Phase;

typedef struct State {
    uint8_t entry_age; /* steps since SIGTERM */
    uint8_t owner_age[OWNERS];
    uint8_t phase;
    uint8_t repeatable;
    uint8_t left;         /* steps until the request's own deadline */
    uint8_t target;       /* steps until the answer is due */
    uint8_t ends_by_stop; /* the entry abandons the attempt earlier */
    uint8_t owner;        /* asked last */
    uint8_t excluded;     /* owners that are not asked again, a bit each */
    uint8_t duration;     /* steps in the phase */
    uint8_t attempts;     /* that reached a backend server */
    uint8_t runs;         /* begun */
    uint8_t maybe_run;    /* an attempt did not end as not run */
    uint8_t connection;   /* a connection was lost: a fault beside the stops */
} State;

/* Decisions that are replaced by faulty ones. */
typedef struct Variant {
    gboolean entry_takes_all; /* and limits the deadline to its own end */
    gboolean owner_takes_all;
    gboolean ignores_sender; /* at the owner: the stop of the entry */
    gboolean forgets_runs;   /* of earlier attempts */
    gboolean repeats_all;
} Variant;

enum {
    EVENT_TIME,
    EVENT_ENTRY_STOPS,
    EVENT_OWNER_A_STOPS,
    EVENT_OWNER_B_STOPS,
    EVENT_SHORT,
    EVENT_LONG,
    EVENT_SHORT_ONCE,
    EVENT_LONG_ONCE,
    EVENT_TO_A,
    EVENT_TO_B,
    EVENT_RUN,
    EVENT_ANSWER,
    EVENT_LOST,
    EVENTS
};

static const char *const event_names[EVENTS] = {
    "step",       "SIGTERM entry", "SIGTERM A",  "SIGTERM B", "short",
    "long",       "short once",    "long once",  "to A",      "to B",
    "run starts", "run ends",      "answer lost"};

static const char cut_request[] = "a request that was taken ends with its "
                                  "answer or has not run";
static const char false_not_run[] = "\"not run\" is true";
static const char ran_twice[] = "what may not be repeated runs once at most";
static const char no_return[] = "a refused caller is told when to return";

static StopPlan
make_plan(uint8_t age)
{
    return age == NO_STOP ? StopPlan_None()
                          : StopPlan_Make(NOW_MS - age * STEP_MS, GRACE_MS);
}

static ClockMs
deadline_of(const State *state)
{
    StopPlan plan = make_plan(state->entry_age);
    ClockMs own = NOW_MS + state->left * STEP_MS;

    return state->ends_by_stop ? MIN(own, plan.abandon) : own;
}

static const char *
end_request(const Variant *variant, State *state, BackendReply *reply)
{
    HttpAnswer failure = {0};

    _Gateway_ChooseAnswer(reply, &failure,
                          state->maybe_run && !variant->forgets_runs);
    state->phase = PHASE_ENDED;
    if (reply->run == RUN_NO) {
        return state->runs > 0 ? false_not_run : NULL;
    }
    return reply->result == RESULT_OK || state->connection || state->left == 0
               ? NULL
               : cut_request;
}

/* Decides on another attempt as src/gateway/gateway_attempt.c does. */
static const char *
take_reply(const Variant *variant, State *state, Result result, RunState run,
           gboolean arrived)
{
    BackendReply reply = {.result = result, .run = run};
    gboolean repeatable = state->repeatable || variant->repeats_all;
    RetryInput input = {.result = result,
                        .run = run,
                        .idempotent = repeatable,
                        .issuance = !repeatable,
                        .other_target = TRUE,
                        .attempts = state->attempts += arrived,
                        .route_retries = MAX_ATTEMPTS - 1,
                        .time_left_ms = deadline_of(state) - NOW_MS};
    Rng rng;

    Rng_Seed(&rng, 1);
    state->maybe_run |= run != RUN_NO;
    state->excluded |= 1U << state->owner;
    state->duration = 0;
    if (result == RESULT_OK || input.time_left_ms <= 0 ||
        (arrived && Retry_Decide(NULL, NULL, &input, NOW_MS, &rng).reason !=
                        RETRY_AGAIN)) {
        return end_request(variant, state, &reply);
    }
    if (state->excluded == (1U << OWNERS) - 1) {
        reply =
            (BackendReply){.result = RESULT_NO_BACKEND_SERVER, .run = RUN_NO};
        return end_request(variant, state, &reply);
    }
    state->phase = PHASE_TAKEN;
    return NULL;
}

static const char *
arrive(const Variant *variant, State *state, gboolean is_long,
       gboolean repeatable)
{
    StopPlan plan = make_plan(state->entry_age);
    ReturnInput refusal = {.result = RESULT_SHUTTING_DOWN,
                           .left_ms = LONG_STEPS * STEP_MS};

    state->left = is_long ? LONG_STEPS : SHORT_STEPS;
    state->target = TARGET_STEPS;
    state->repeatable = repeatable;
    state->phase = PHASE_TAKEN;
    if (!variant->entry_takes_all &&
        !StopPlan_Takes(&plan, NOW_MS + state->left * STEP_MS, NOW_MS)) {
        state->phase = PHASE_ENDED;
        return is_long && ReturnTime_Compute(&refusal, 0) == RETURN_TIME_NONE
                   ? no_return
                   : NULL;
    }
    return NULL;
}

/* Whether the owner stops too early, as src/backend/backend.c decides. */
static gboolean
is_leaving(const Variant *variant, const State *state)
{
    StopPlan plan = make_plan(state->owner_age[state->owner]);
    ClockMs deadline = deadline_of(state);
    ClockMs expected_ms = RUN_STEPS * STEP_MS;

    if (state->ends_by_stop && !variant->ignores_sender &&
        expected_ms > deadline - NOW_MS) {
        return TRUE;
    }
    if (!state->repeatable && !variant->owner_takes_all &&
        !StopPlan_LeavesTime(plan.end, deadline, ALLOWANCE_MS, NOW_MS)) {
        return TRUE;
    }
    if (NOW_MS > plan.take_until) {
        expected_ms = MAX(expected_ms, state->target * STEP_MS);
    }
    return NOW_MS > plan.abandon ||
           (!variant->owner_takes_all &&
            !StopPlan_TakesRun(&plan, deadline, expected_ms, NOW_MS));
}

static const char *
start_run(const Variant *variant, State *state)
{
    if (NOW_MS >= deadline_of(state)) {
        return take_reply(variant, state, RESULT_DEADLINE_EXPIRED, RUN_NO,
                          FALSE);
    }
    if (is_leaving(variant, state)) {
        return take_reply(variant, state, RESULT_BACKEND_SERVER_LEAVING,
                          RUN_NO, FALSE);
    }
    state->phase = PHASE_RUNNING;
    state->duration = 0;
    return ++state->runs > 1 && !state->repeatable ? ran_twice : NULL;
}

static uint8_t
age(uint8_t steps)
{
    return steps == NO_STOP ? NO_STOP : MIN(steps + 1, MAX_AGE);
}

/* Advances the clock by one step, with what has to happen until then. */
static gboolean
pass_time(const Variant *variant, State *state, const char **broken)
{
    gboolean running = state->phase == PHASE_RUNNING;
    BackendReply cut = {.result = RESULT_CANCELLED,
                        .run = running ? RUN_UNKNOWN : RUN_NO};

    if (state->phase == PHASE_TAKEN ||
        (running && state->duration == RUN_STEPS) ||
        (state->phase == PHASE_QUEUED && !state->ends_by_stop &&
         state->duration == WAIT_STEPS)) {
        return FALSE;
    }
    state->entry_age = age(state->entry_age);
    state->owner_age[0] = age(state->owner_age[0]);
    state->owner_age[1] = age(state->owner_age[1]);
    if (state->phase != PHASE_QUEUED && !running) {
        return TRUE;
    }
    state->duration++;
    state->left -= MIN(state->left, 1);
    state->target -= MIN(state->target, 1);
    if (NOW_MS > make_plan(state->entry_age).abandon ||
        (state->left == 0 && !running)) {
        *broken = end_request(variant, state, &cut);
    }
    else if (NOW_MS > make_plan(state->owner_age[state->owner]).abandon) {
        *broken = take_reply(variant, state, RESULT_SHUTTING_DOWN,
                             running ? RUN_UNKNOWN : RUN_NO, running);
    }
    return TRUE;
}

static gboolean
stop(uint8_t *steps)
{
    gboolean possible = *steps == NO_STOP;

    *steps = 0;
    return possible;
}

static gboolean
apply_request(const Variant *variant, unsigned event, State *state,
              const char **broken)
{
    switch (event) {
    case EVENT_TO_A:
    case EVENT_TO_B:
        state->owner = event - EVENT_TO_A;
        if (state->phase != PHASE_TAKEN ||
            (state->excluded & (1U << state->owner)) != 0) {
            return FALSE;
        }
        state->phase = PHASE_QUEUED;
        state->ends_by_stop = make_plan(state->entry_age).abandon <
                              NOW_MS + state->left * STEP_MS;
        if (is_leaving(variant, state)) {
            *broken = take_reply(variant, state, RESULT_BACKEND_SERVER_LEAVING,
                                 RUN_NO, FALSE);
        }
        return TRUE;
    case EVENT_RUN:
        if (state->phase != PHASE_QUEUED) {
            return FALSE;
        }
        *broken = start_run(variant, state);
        return TRUE;
    default:
        if (state->phase != PHASE_RUNNING) {
            return FALSE;
        }
        state->connection |= event == EVENT_LOST;
        *broken =
            take_reply(variant, state,
                       event == EVENT_LOST ? RESULT_ANSWER_LOST : RESULT_OK,
                       event == EVENT_LOST ? RUN_UNKNOWN : RUN_YES, TRUE);
        return TRUE;
    }
}

static gboolean
apply(const void *context, unsigned event, void *data, const char **broken)
{
    const Variant *variant = context;
    State *state = data;

    if (state->phase == PHASE_ENDED) {
        return FALSE;
    }
    switch (event) {
    case EVENT_TIME:
        return pass_time(variant, state, broken);
    case EVENT_ENTRY_STOPS:
        return stop(&state->entry_age);
    case EVENT_OWNER_A_STOPS:
    case EVENT_OWNER_B_STOPS:
        return stop(&state->owner_age[event - EVENT_OWNER_A_STOPS]);
    case EVENT_SHORT:
    case EVENT_LONG:
    case EVENT_SHORT_ONCE:
    case EVENT_LONG_ONCE:
        if (state->phase != PHASE_NONE ||
            NOW_MS > make_plan(state->entry_age).end) {
            return FALSE;
        }
        *broken = arrive(variant, state, (event - EVENT_SHORT) % 2 == 1,
                         event < EVENT_SHORT_ONCE);
        return TRUE;
    default:
        return apply_request(variant, event, state, broken);
    }
}

static void
search(const Variant *variant, const char *broken, const char *order)
{
    State initial = {.entry_age = NO_STOP, .owner_age = {NO_STOP, NO_STOP}};
    Search_desc desc = {.context = variant,
                        .initial = &initial,
                        .state_bytes = sizeof(initial),
                        .events = event_names,
                        .event_count = EVENTS,
                        .apply = apply};

    Search_Run(&desc, broken, order);
}

/* Guards against an order of stops, waits and retries in which a request is
 * cut, reported as not run although it ran, or run twice. */
static void
test_holds(void)
{
    Variant none = {0};

    search(&none, NULL, NULL);
}

/* Guards against a model that does not see the faults that it is for. The
 * first three are decisions that cut requests. */
static void
test_refutes(void)
{
    static const struct {
        Variant variant;
        const char *broken;
        const char *order;
    } cases[] = {
        {{.entry_takes_all = TRUE, .ignores_sender = TRUE},
         cut_request,
         "SIGTERM entry; step; step; step; step; step; step; step; long; "
         "to A; run starts; step; step"},
        {{.ignores_sender = TRUE},
         cut_request,
         "SIGTERM entry; step; step; step; long; to A; step; step; step; "
         "step; run starts; step; step"},
        {{.owner_takes_all = TRUE},
         cut_request,
         "SIGTERM A; step; step; step; step; step; step; step; step; "
         "short once; to A; run starts; step"},
        {{.forgets_runs = TRUE},
         false_not_run,
         "short; to A; step; run starts; answer lost; to B; step"},
        {{.repeats_all = TRUE},
         ran_twice,
         "short once; to A; run starts; answer lost; to B; run starts"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        search(&cases[i].variant, cases[i].broken, cases[i].order);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/model/stop/holds", test_holds);
    g_test_add_func("/model/stop/refutes", test_refutes);
    return g_test_run();
}
