/* Tests of the memory of daemons in mode "platform" as real processes while
 * one of two backend servers sends bodies without end or large ones, and while
 * callers upload large bodies slowly. */
#include <glib.h>

#include "memory_site.h"

/* Guards against a daemon that exceeds the memory of its host, or keeps the
 * memory, because many bodies without end, or many large ones, arrive at once;
 * and against losing answers of another backend server for it. */
static void
test_kind(const void *context)
{
    MemorySite_RunKind(context);
}

/* Guards against the same with large bodies of requests that arrive slowly, so
 * that all of them are incomplete at once, and against losing answers of those
 * that were passed on. */
static void
test_uploads(void)
{
    static const MemoryCalls calls = {.callers = MEMORY_CALLERS,
                                      .requests = MEMORY_REQUESTS,
                                      .caller = {.method = "POST",
                                                 .path = "/issue/1",
                                                 .body_bytes = 1000000,
                                                 .piece_bytes = 50000,
                                                 .pause_ms = 40}};
    MemorySite *self = MemorySite_Create();
    MemoryCounts counts = MemorySite_Call(self, &calls);

    MemorySite_CheckCounts(&counts, "uploads");
    /* Both backend servers are sound here. */
    if (counts.served != counts.sound + counts.faulty || counts.served == 0) {
        g_test_fail_printf("uploads: %d served, %d passed on", counts.served,
                           counts.sound + counts.faulty);
    }
    MemorySite_Check(self, "uploads");
    MemorySite_Destroy(self);
}

int
main(int argc, char **argv)
{
    static const EndlessName kinds[] = {ENDLESS_BODY, ENDLESS_CHUNKS,
                                        ENDLESS_WHOLE, ENDLESS_SMALL_CHUNKS};

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        const EndlessKind *kind = &EndlessServer_kinds[kinds[i]];
        char *path = g_strconcat("/memory/", kind->name, NULL);

        g_test_add_data_func(path, kind, test_kind);
        g_free(path);
    }
    g_test_add_func("/memory/uploads", test_uploads);
    return g_test_run();
}
