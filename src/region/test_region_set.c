/* Tests of the set of regions in which a request may be served. */
#include <glib.h>

#include "region/region_set.h"

/* Guards against a restriction that allows a region it does not name, above
 * all an empty one, which must allow none, and against one that excludes a
 * region it names. */
static void
test_allows(void)
{
    static const char *const names[] = {"sur", "norte", "este", "sur", ""};
    static const struct {
        size_t count;
        size_t regions;
        gboolean norte;
        gboolean sur;
    } cases[] = {{0, 0, FALSE, FALSE},
                 {1, 1, FALSE, TRUE},
                 {2, 2, TRUE, TRUE},
                 {5, 4, TRUE, TRUE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        RegionSet *set = RegionSet_Create(names, cases[i].count);

        g_test_message("case %zu", i);
        g_assert_cmpuint(RegionSet_Count(set), ==, cases[i].regions);
        g_assert_cmpint(RegionSet_Allows(set, RegionSet_Hash("norte")), ==,
                        cases[i].norte);
        g_assert_cmpint(RegionSet_Allows(set, RegionSet_Hash("sur")), ==,
                        cases[i].sur);
        g_assert_false(RegionSet_Allows(set, RegionSet_Hash("oeste")));
        RegionSet_Unref(set);
    }
    g_assert_true(RegionSet_Allows(NULL, RegionSet_Hash("norte")));
}

/* Guards against a changed restriction that counts as the same one. */
static void
test_equals(void)
{
    static const char *const names[] = {"a", "b", "a", "c"};
    RegionSet *none = RegionSet_Create(NULL, 0);
    RegionSet *two = RegionSet_Create(names, 2);
    RegionSet *reversed = RegionSet_Create(names + 1, 2);
    RegionSet *three = RegionSet_Create(names, 4);

    g_assert_true(RegionSet_Equals(NULL, NULL));
    g_assert_false(RegionSet_Equals(NULL, none));
    g_assert_false(RegionSet_Equals(none, two));
    g_assert_true(RegionSet_Equals(two, reversed));
    g_assert_false(RegionSet_Equals(two, three));
    RegionSet_Unref(none);
    RegionSet_Unref(two);
    RegionSet_Unref(reversed);
    RegionSet_Unref(three);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/region-set/allows", test_allows);
    g_test_add_func("/region-set/equals", test_equals);
    return g_test_run();
}
