#include "gateway/call_origin.h"

#include <math.h>

/* Calls and run time that a pair of routes is assumed to have had before any
 * were counted. */
#define PRIOR_CALLS 0.5
#define PRIOR_RUN_S 1.0

/* Time constant of the decay of all counts. */
#define DECAY_S 20.0

/* Exponent of the parts of a call. With 1 it takes minutes until routes
 * without calls have lost theirs, and with 2 the most frequent route may keep
 * all. */
#define SHARPNESS 1.25

/* Interval at which the decay is applied. */
#define DECAY_STEP_MS 1000

/* A number of runs below which their calls are not told. */
#define MIN_RUNS 3

/* Count below which a route without a run is dropped: configurations replace
 * routes by others all the time. */
#define MIN_KEPT 0.01

typedef struct Route {
    uint64_t hash;
    double runs;  /* ended */
    double run_s; /* time of its runs, all added up */
    double calls[CALL_ORIGIN_ROUTES];
    guint running;
} Route;

typedef struct Class {
    int route; /* index */
    int priority;
    guint running;
    guint retries; /* of these */
} Class;

struct CallOrigin {
    Route routes[CALL_ORIGIN_ROUTES];
    int route_count;
    Class classes[CALL_ORIGIN_CLASSES];
    int class_count;
    uint64_t called[CALL_ORIGIN_ROUTES];
    int called_count;
    ClockMs updated;
    ClockMs decayed;
};

CallOrigin *
CallOrigin_Create(void)
{
    return g_new0(CallOrigin, 1);
}

void
CallOrigin_Destroy(CallOrigin *origin)
{
    g_free(origin);
}

/* Drops a route without a run, and its classes. The last ones take the free
 * places. */
static void
drop_route(CallOrigin *origin, int route)
{
    int last = --origin->route_count;

    for (int i = origin->class_count - 1; i >= 0; i--) {
        Class *class = &origin->classes[i];

        if (class->route == route) {
            *class = origin->classes[--origin->class_count];
        }
    }
    for (int i = 0; i < origin->class_count; i++) {
        if (origin->classes[i].route == last) {
            origin->classes[i].route = route;
        }
    }
    origin->routes[route] = origin->routes[last];
    origin->routes[last] = (Route){0};
}

static void
drop_called(CallOrigin *origin, int called)
{
    int last = --origin->called_count;

    origin->called[called] = origin->called[last];
    for (int i = 0; i < origin->route_count; i++) {
        origin->routes[i].calls[called] = origin->routes[i].calls[last];
        origin->routes[i].calls[last] = 0;
    }
}

/* Drops what has not been used for a long time. */
static void
drop_unused(CallOrigin *origin)
{
    for (int i = origin->route_count - 1; i >= 0; i--) {
        const Route *route = &origin->routes[i];

        if (route->running == 0 && route->runs < MIN_KEPT) {
            drop_route(origin, i);
        }
    }
    for (int n = origin->called_count - 1; n >= 0; n--) {
        double calls = 0;

        for (int i = 0; i < origin->route_count; i++) {
            calls += origin->routes[i].calls[n];
        }
        if (calls < MIN_KEPT) {
            drop_called(origin, n);
        }
    }
}

static void
decay_counts(CallOrigin *origin, ClockMs now)
{
    double factor = exp(-(double)(now - origin->decayed) / 1000 / DECAY_S);

    origin->decayed = now;
    for (int i = 0; i < origin->route_count; i++) {
        Route *route = &origin->routes[i];

        route->runs *= factor;
        route->run_s *= factor;
        for (int n = 0; n < origin->called_count; n++) {
            route->calls[n] *= factor;
        }
    }
    drop_unused(origin);
}

static void
advance(CallOrigin *origin, ClockMs now)
{
    double seconds = (double)MAX(now - origin->updated, 0) / 1000;

    for (int i = 0; i < origin->route_count; i++) {
        origin->routes[i].run_s += origin->routes[i].running * seconds;
    }
    origin->updated = MAX(now, origin->updated);
    if (now - origin->decayed >= DECAY_STEP_MS) {
        decay_counts(origin, now);
    }
}

static int
find_route(const CallOrigin *origin, uint64_t hash)
{
    for (int i = 0; i < origin->route_count; i++) {
        if (origin->routes[i].hash == hash) {
            return i;
        }
    }
    return -1;
}

/* Index of the class; -1 if it is not known. */
static int
find_class(const CallOrigin *origin, int route, int priority)
{
    for (int i = 0; i < origin->class_count; i++) {
        if (origin->classes[i].route == route &&
            origin->classes[i].priority == priority) {
            return i;
        }
    }
    return -1;
}

/* The same; adds it if there is room for it. */
static int
add_class(CallOrigin *origin, uint64_t hash, int priority)
{
    int route = find_route(origin, hash);
    int class = find_class(origin, route, priority);

    if (class >= 0) {
        return class;
    }
    if (origin->class_count == CALL_ORIGIN_CLASSES ||
        (route < 0 && origin->route_count == CALL_ORIGIN_ROUTES)) {
        return -1;
    }
    if (route < 0) {
        route = origin->route_count++;
        origin->routes[route].hash = hash;
    }
    origin->classes[origin->class_count] =
        (Class){.route = route, .priority = priority};
    return origin->class_count++;
}

void
CallOrigin_Begin(CallOrigin *origin, uint64_t route, int priority,
                 gboolean is_retry, ClockMs now)
{
    int class;

    advance(origin, now);
    class = add_class(origin, route, priority);
    if (class >= 0) {
        origin->classes[class].running++;
        origin->classes[class].retries += is_retry ? 1 : 0;
        origin->routes[origin->classes[class].route].running++;
    }
}

void
CallOrigin_End(CallOrigin *origin, uint64_t route, int priority,
               gboolean is_retry, ClockMs now)
{
    int class;

    advance(origin, now);
    class = find_class(origin, find_route(origin, route), priority);
    /* There may have been no room for the run when it began. */
    if (class >= 0 && origin->classes[class].running > 0) {
        origin->classes[class].running--;
        origin->classes[class].retries -=
            is_retry && origin->classes[class].retries > 0 ? 1 : 0;
        origin->routes[origin->classes[class].route].running--;
        origin->routes[origin->classes[class].route].runs++;
    }
}

static int
find_called(const CallOrigin *origin, uint64_t hash)
{
    for (int i = 0; i < origin->called_count; i++) {
        if (origin->called[i] == hash) {
            return i;
        }
    }
    return -1;
}

/* Calls on `called` that a run of the route makes in a second. */
static double
call_rate(const Route *route, int called)
{
    return (route->calls[called] + PRIOR_CALLS) / (route->run_s + PRIOR_RUN_S);
}

/* Divides a call among the routes at work. */
static void
count_call(CallOrigin *origin, int called)
{
    double shares[CALL_ORIGIN_ROUTES];
    double all = 0;

    for (int i = 0; i < origin->route_count; i++) {
        shares[i] = pow(origin->routes[i].running *
                            call_rate(&origin->routes[i], called),
                        SHARPNESS);
        all += shares[i];
    }
    for (int i = 0; all > 0 && i < origin->route_count; i++) {
        origin->routes[i].calls[called] += shares[i] / all;
    }
}

/* Likelihood that the parent's priority is that of the class, without a common
 * factor. */
static double
weigh_priority(const CallOrigin *origin, int called, int priority)
{
    double weight = 0;

    for (int i = 0; i < origin->class_count; i++) {
        const Class *class = &origin->classes[i];

        if (class->priority == priority) {
            weight += class->running *
                      call_rate(&origin->routes[class->route], called);
        }
    }
    return weight;
}

CallParent
CallOrigin_Find(CallOrigin *origin, uint64_t called_hash, ClockMs now)
{
    CallParent parent = {.priority = -1};
    int called;
    double all = 0;
    double retries = 0;

    advance(origin, now);
    called = find_called(origin, called_hash);
    if (called < 0 && origin->called_count == CALL_ORIGIN_ROUTES) {
        return parent;
    }
    if (called < 0) {
        called = origin->called_count++;
        origin->called[called] = called_hash;
    }
    count_call(origin, called);
    for (int i = 0; i < origin->class_count; i++) {
        const Class *class = &origin->classes[i];
        double rate = call_rate(&origin->routes[class->route], called);
        double weight = weigh_priority(origin, called, class->priority);

        all += class->running * rate;
        retries += class->retries * rate;
        if (weight > parent.likelihood) {
            parent.likelihood = weight;
            parent.priority = class->priority;
        }
    }
    if (all > 0) {
        parent.is_known = TRUE;
        parent.likelihood /= all;
        parent.retry_share = retries / all;
    }
    return parent;
}

double
CallOrigin_CallsPerRun(const CallOrigin *origin, uint64_t route,
                       uint64_t called)
{
    int index = find_route(origin, route);
    int to = find_called(origin, called);

    return index >= 0 && to >= 0 && origin->routes[index].runs >= MIN_RUNS
               ? origin->routes[index].calls[to] / origin->routes[index].runs
               : 0;
}

int
CallOrigin_Called(const CallOrigin *origin, uint64_t route, double min,
                  uint64_t *called, int max)
{
    int index = find_route(origin, route);
    int count = 0;

    if (index < 0 || origin->routes[index].runs < MIN_RUNS) {
        return 0;
    }
    for (int i = 0; i < origin->called_count && count < max; i++) {
        if (origin->routes[index].calls[i] >=
            min * origin->routes[index].runs) {
            called[count++] = origin->called[i];
        }
    }
    return count;
}
