/* Tests of a host that alone has lost the store. */
#include <glib.h>

#include "mirror/mirror.h"

/* A store that fails, or has no news. */
typedef struct FakeStore {
    Result result;
    ClockMs wait_ms; /* of the last watch */
} FakeStore;

static Result
fake_watch(void *context, const char *kind, ObjectRevision revision,
           ClockMs wait_ms, ObjectPage *page)
{
    FakeStore *store = context;

    (void)kind;
    store->wait_ms = wait_ms;
    page->revision = revision;
    return store->result;
}

/* Guards against a host that has lost the store and still counts as watching
 * it, so that its neighbours wait for it, and against one that waits for the
 * store as long as before. A kind that is not kept stays as it was. */
static void
test_failed_watch(void)
{
    enum { WAIT_MS = 2500 };
    static const struct {
        gboolean keeps_known;
        Result result;
        gboolean direct;
        ClockMs next_wait_ms;
    } cases[] = {{TRUE, RESULT_STORE_UNAVAILABLE, FALSE, 100},
                 {TRUE, RESULT_OK, TRUE, WAIT_MS},
                 {FALSE, RESULT_STORE_UNAVAILABLE, TRUE, WAIT_MS}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeStore fake = {.result = cases[i].result};
        ObjectStore store = {.context = &fake, .watch = fake_watch};
        Roster *roster = Roster_Create(
            &(Roster_desc){.host = "self", .data_centre = "d", .region = "r"});
        ObjectGeneration *generation = ObjectGeneration_Create();
        Mirror *mirror =
            Mirror_Create(&(Mirror_desc){.store = &store,
                                         .generation = generation,
                                         .roster = roster,
                                         .host = "self",
                                         .keeps_known = cases[i].keeps_known});
        const ObjectStore *watched = Mirror_AsStore(mirror);
        ObjectPage page;

        g_test_message("case %zu", i);
        for (int round = 0; round < 2; round++) {
            ObjectPage_Init(&page);
            (void)watched->watch(watched->context, "k",
                                 (ObjectRevision){.number = 7}, WAIT_MS,
                                 &page);
            ObjectPage_Clear(&page);
            g_assert_cmpint(Mirror_IsDirect(mirror), ==, cases[i].direct);
        }
        g_assert_cmpint(fake.wait_ms, ==, cases[i].next_wait_ms);
        fake.result = RESULT_OK;
        ObjectPage_Init(&page);
        g_assert_cmpint(watched->watch(watched->context, "k",
                                       (ObjectRevision){.number = 7}, WAIT_MS,
                                       &page),
                        ==, RESULT_OK);
        ObjectPage_Clear(&page);
        g_assert_true(Mirror_IsDirect(mirror));
        Mirror_Destroy(mirror);
        ObjectGeneration_Destroy(generation);
        Roster_Destroy(roster);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mirror/away", test_failed_watch);
    return g_test_run();
}
