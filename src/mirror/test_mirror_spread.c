/* Tests of the tree in which readers pass a large change on. */
#include <glib.h>

#include "mirror/mirror_spread.h"

enum { MAX_READERS = MIRROR_SPREAD_READERS + 2 };

/* Guards against a host that sends a large change to all of its readers, and
 * against readers that wait for each other in a circle or in a long row. */
static void
test_tree(void)
{
    static const struct {
        int readers;
        int levels; /* transfers until the last one has it */
    } cases[] = {{1, 1}, {5, 1}, {6, 2}, {30, 2}, {31, 3}, {155, 3}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        MirrorSpread *spread = MirrorSpread_Create();
        int level[MAX_READERS + 1] = {0};
        int served[MAX_READERS + 1] = {0};
        int most = 0;

        /* Reader 0 stands for the host itself. */
        for (int reader = 1; reader <= cases[i].readers; reader++) {
            uint64_t source = MirrorSpread_Refer(
                spread, (ObjectRevision){1, 7}, (uint64_t)reader);

            g_assert_cmpuint(source, <, (uint64_t)reader);
            level[reader] = level[source] + 1;
            most = MAX(most, level[reader]);
            g_assert_cmpint(++served[source], <=, MIRROR_FANOUT);
        }
        g_assert_cmpint(most, ==, cases[i].levels);
        MirrorSpread_Destroy(spread);
    }
}

/* Guards against a reader that is sent back to a host that has failed, and
 * against one that waits for a reader of an earlier change. */
static void
test_again(void)
{
    MirrorSpread *spread = MirrorSpread_Create();
    ObjectRevision first = {1, 7};

    for (uint64_t reader = 1; reader < MAX_READERS; reader++) {
        uint64_t source = MirrorSpread_Refer(spread, first, reader);

        g_assert_cmpint(source != 0, ==,
                        reader > MIRROR_FANOUT &&
                            reader <= MIRROR_SPREAD_READERS);
    }
    g_assert_cmpuint(MirrorSpread_Refer(spread, first, 6), ==, 0);
    g_assert_cmpuint(MirrorSpread_Refer(spread, first, 1), ==, 0);
    for (uint64_t reader = 10; reader < 10 + MIRROR_FANOUT; reader++) {
        g_assert_cmpuint(
            MirrorSpread_Refer(spread, (ObjectRevision){1, 8}, reader), ==, 0);
    }
    g_assert_cmpuint(MirrorSpread_Refer(spread, (ObjectRevision){1, 8}, 6), ==,
                     10);
    MirrorSpread_Destroy(spread);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/spread/tree", test_tree);
    g_test_add_func("/spread/again", test_again);
    return g_test_run();
}
