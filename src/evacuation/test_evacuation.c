/* Tests of the set of evacuated data centres. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "evacuation/evacuation.h"

static const char *const names[] = {"n1", "n2", "n1", "s1"};

/* `set` has the names, separated by spaces. */
static void
expect_set(Evacuation *evacuation, const char *set)
{
    char **expected = g_strsplit(set, " ", 0);
    uint32_t count;
    uint64_t *hashes = Evacuation_Hashes(evacuation, &count);

    g_assert_cmpuint(count, ==, g_strv_length(expected));
    for (uint32_t i = 0; i < count; i++) {
        g_assert_cmpuint(hashes[i], ==, Rng_HashString(expected[i]));
        g_assert_true(Evacuation_Contains(evacuation, expected[i]));
    }
    g_free(hashes);
    g_strfreev(expected);
}

/* Guards against a change that is reported twice or not at all, and against a
 * name of no data centre that enters the set. */
static void
test_changes(void)
{
    static const struct {
        const char *name;
        gboolean is_evacuated;
        EvacuationChange change;
        const char *set; /* data centres in the set afterwards */
    } steps[] = {
        {"n1", FALSE, EVACUATION_SAME, ""},
        {"n1", TRUE, EVACUATION_BEGAN, "n1"},
        {"n1", TRUE, EVACUATION_SAME, "n1"},
        {"x9", TRUE, EVACUATION_UNKNOWN, "n1"},
        {"", TRUE, EVACUATION_UNKNOWN, "n1"},
        {"N1", TRUE, EVACUATION_UNKNOWN, "n1"},
        {"s1", 7, EVACUATION_BEGAN, "n1 s1"},
        {"s1", TRUE, EVACUATION_SAME, "n1 s1"},
        {"n1", FALSE, EVACUATION_ENDED, "s1"},
        {"x9", FALSE, EVACUATION_UNKNOWN, "s1"},
        {"s1", FALSE, EVACUATION_ENDED, ""},
    };
    Evacuation *evacuation =
        Evacuation_Create(names, (unsigned)G_N_ELEMENTS(names));
    uint64_t changes = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        ClockMs lasted_ms = 0;

        g_test_message("step %zu", i);
        g_assert_cmpint(Evacuation_Set(evacuation, steps[i].name,
                                       steps[i].is_evacuated,
                                       1000 * (ClockMs)i, &lasted_ms),
                        ==, steps[i].change);
        changes += steps[i].change >= EVACUATION_BEGAN;
        if (steps[i].change == EVACUATION_ENDED) {
            g_assert_cmpint(lasted_ms, >=, 1000);
        }
        expect_set(evacuation, steps[i].set);
    }
    g_assert_false(Evacuation_Contains(evacuation, "x9"));
    g_assert_cmpuint(Evacuation_Changes(evacuation), ==, changes);
    Evacuation_Destroy(evacuation);
}

/* Guards against metrics that do not show which data centre is evacuated. */
static void
test_metrics(void)
{
    Evacuation *evacuation =
        Evacuation_Create(names, (unsigned)G_N_ELEMENTS(names));
    GString *text = g_string_new(NULL);
    ClockMs lasted_ms;

    (void)Evacuation_Set(evacuation, "n2", TRUE, 1000, &lasted_ms);
    Evacuation_Write(evacuation, 8500, text);
    g_assert_nonnull(
        strstr(text->str, "\nradishknot_evacuated{data_centre=\"n1\"} 0\n"));
    g_assert_nonnull(
        strstr(text->str, "\nradishknot_evacuated{data_centre=\"n2\"} 1\n"));
    g_assert_nonnull(strstr(
        text->str, "\nradishknot_evacuated_seconds{data_centre=\"n2\"} 7\n"));
    g_string_free(text, TRUE);
    Evacuation_Destroy(evacuation);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evacuation/changes", test_changes);
    g_test_add_func("/evacuation/metrics", test_metrics);
    return g_test_run();
}
