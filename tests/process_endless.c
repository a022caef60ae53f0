/* Tests of the memory of daemons in mode "platform" as real processes while
 * one of two backend servers sends heads or framing without end. */
#include <glib.h>

#include "memory_site.h"

/* Guards against a daemon that exceeds the memory of its host, or keeps the
 * memory, because many heads, trailers or chunk extensions without end arrive
 * at once, or a length that no body has; and against losing answers of another
 * backend server for it. */
static void
test_kind(const void *context)
{
    MemorySite_RunKind(context);
}

int
main(int argc, char **argv)
{
    static const EndlessName kinds[] = {
        ENDLESS_HEADER_LINE, ENDLESS_HEADER_LINES, ENDLESS_NO_LINE_BREAK,
        ENDLESS_INTERIM,     ENDLESS_TRAILERS,     ENDLESS_EXTENSION,
        ENDLESS_LENGTH};

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        const EndlessKind *kind = &EndlessServer_kinds[kinds[i]];
        char *path = g_strconcat("/endless/", kind->name, NULL);

        g_test_add_data_func(path, kind, test_kind);
        g_free(path);
    }
    return g_test_run();
}
