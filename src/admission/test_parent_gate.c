/* Tests of the gate before requests whose calls are refused. */
#include <glib.h>

#include "admission/parent_gate.h"

#define CALLED 5

static const CalledState full = {
    .reports = 8, .slots = 64, .in_flight = 64, .waiting = 9};
static const CalledState room = {.reports = 8, .slots = 64, .in_flight = 40};
static const CalledState unknown = {0};

/* Counts runs of a priority until 10 s, of which a share fails. */
static void
fill(ParentGate *gate, int priority, double failed, const CalledState *state)
{
    double due = 0;

    for (ClockMs now = 5000; now <= 10000; now += 100) {
        ParentGate_NoteState(gate, CALLED, state, now);
        for (due += failed; due >= 1; due -= 1) {
            ParentGate_NoteRefusal(gate, CALLED, priority, now);
        }
        ParentGate_NoteRun(gate, CALLED, priority, now);
    }
}

static double
refused(ParentGate *gate, int priority, ClockMs now)
{
    int count = 0;

    for (int i = 0; i < 100; i++) {
        count += !ParentGate_Admits(gate, CALLED, priority, i / 100.0, now);
    }
    return count / 100.0;
}

/* Guards against a gate that refuses while calls are served, while the called
 * service has room, on old or no information, or more than fail; and against
 * urgent parents that are refused before others. */
static void
test_shares(void)
{
    static const struct {
        const char *name;
        double failed[3]; /* of the runs of each priority */
        const CalledState *state;
        ClockMs now;
        double min[3]; /* refused of each priority */
        double max[3];
    } cases[] = {
        {"calm", {0, 0, 0}, &room, 10000, {0}, {0}},
        {"some fail", {0, 0, 0.4}, &full, 10000, {0}, {0}},
        {"most fail", {0, 0, 0.8}, &full, 10000, {0, 0, 0.3}, {0, 0, 0.6}},
        {"all fail", {0, 0, 1}, &full, 10000, {0, 0, 0.7}, {0, 0, 0.95}},
        {"has room again", {0, 0, 1}, &room, 10000, {0}, {0}},
        {"old information", {1, 1, 1}, &full, 12000, {0}, {0}},
        {"no information", {1, 1, 1}, &unknown, 10000, {0}, {0}},
        {"urgent ones fail, too",
         {0, 0.9, 0.9},
         &full,
         10000,
         {0, 0, 0.5},
         {0, 0, 0.9}},
        {"hardly any others pass",
         {0, 0.9, 1},
         &full,
         10000,
         {0, 0.5, 0.8},
         {0, 0.9, 0.95}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ParentGate *gate = ParentGate_Create();

        for (int p = 0; p < 3; p++) {
            fill(gate, p, cases[i].failed[p], cases[i].state);
        }
        for (int p = 0; p < 3; p++) {
            double share = refused(gate, p, cases[i].now);

            g_test_message("%s: priority %d refused %.2f", cases[i].name, p,
                           share);
            g_assert_cmpfloat(share, >=, cases[i].min[p]);
            g_assert_cmpfloat(share, <=, cases[i].max[p]);
        }
        g_assert_true(ParentGate_Admits(gate, CALLED, -1, 0, cases[i].now));
        ParentGate_Destroy(gate);
    }
}

/* Guards against retries of parents whose calls would exceed the called
 * service's limit, and against refusing any while it is far or unknown. */
static void
test_retries(void)
{
    static const double usages[] = {0, 0.4, 0.65, 0.9};
    static const double units[] = {0, 0.49, 0.99};
    ParentGate *gate = ParentGate_Create();

    g_assert_true(ParentGate_AdmitsRetry(gate, CALLED, 0.99, 1000));
    for (size_t i = 0; i < G_N_ELEMENTS(usages); i++) {
        CalledState state = {.reports = 1, .limit_usage = usages[i]};

        ParentGate_NoteState(gate, CALLED, &state, 1000);
        for (size_t n = 0; n < G_N_ELEMENTS(units); n++) {
            g_assert_cmpint(
                ParentGate_AdmitsRetry(gate, CALLED, units[n], 1500), ==,
                usages[i] <= 0.5 || (usages[i] < 0.7 && units[n] < 0.5));
            g_assert_true(
                ParentGate_AdmitsRetry(gate, CALLED, units[n], 2500));
        }
    }
    ParentGate_Destroy(gate);
}

/* Guards against a gate that is full of routes which the configuration has
 * replaced, and against one that forgets a route in use. */
static void
test_replaced_routes(void)
{
    CalledState state = {.reports = 1, .limit_usage = 1};
    ParentGate *gate = ParentGate_Create();

    for (uint64_t route = 1; route <= 2 * PARENT_GATE_ROUTES; route++) {
        ParentGate_NoteState(gate, route, &state, 1000);
    }
    g_assert_false(ParentGate_AdmitsRetry(gate, 1, 0, 1500));
    g_assert_true(
        ParentGate_AdmitsRetry(gate, 2 * PARENT_GATE_ROUTES, 0, 1500));
    ParentGate_NoteState(gate, 1000, &state, 5000);
    g_assert_false(ParentGate_AdmitsRetry(gate, 1000, 0, 5500));
    ParentGate_Destroy(gate);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/parent-gate/shares", test_shares);
    g_test_add_func("/parent-gate/retries", test_retries);
    g_test_add_func("/parent-gate/replaced-routes", test_replaced_routes);
    return g_test_run();
}
