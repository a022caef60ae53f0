/* Tests of the cache that readers of other hosts see. */
#include <glib.h>
#include <string.h>

#include "mirror/mirror_cache.h"

static void
change(MirrorCache *cache, const char *name, int64_t own, int64_t revision,
       gboolean deleted)
{
    ObjectRecord record = {.name = (char *)name,
                           .revision.number = own,
                           .deleted = deleted,
                           .value = json_pack("{s:I}", "n", (json_int_t)own)};

    MirrorCache_Update(cache, &record, (ObjectRevision){.number = revision});
    json_decref(record.value);
}

static gint
compare_texts(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
change_in(MirrorCache *cache, const char *name, ObjectRevision own,
          ObjectRevision revision)
{
    ObjectRecord record = {.name = (char *)name, .revision = own};

    MirrorCache_Update(cache, &record, revision);
}

/* Reads the cache and returns the names in sorted order without separators,
 * each deleted one followed by "!". */
static char *
read_names(MirrorCache *cache, ObjectRevision since, Result *result,
           int64_t *revision)
{
    GString *text = g_string_new(NULL);
    GPtrArray *found = g_ptr_array_new_with_free_func(g_free);
    ObjectPage page;

    ObjectPage_Init(&page);
    *result = MirrorCache_Read(cache, since, &page);
    *revision = page.revision.number;
    for (guint i = 0; i < page.records->len; i++) {
        const ObjectRecord *record =
            &g_array_index(page.records, ObjectRecord, i);

        g_ptr_array_add(found, g_strconcat(record->name,
                                           record->deleted ? "!" : "", NULL));
    }
    g_ptr_array_sort(found, compare_texts);
    for (guint i = 0; i < found->len; i++) {
        g_string_append(text, g_ptr_array_index(found, i));
    }
    g_ptr_array_unref(found);
    ObjectPage_Clear(&page);
    return g_string_free(text, FALSE);
}

static void
expect_names(MirrorCache *cache, ObjectRevision since, Result expected,
             const char *names)
{
    Result result;
    int64_t revision;
    char *found = read_names(cache, since, &result, &revision);

    g_assert_cmpint(result, ==, expected);
    g_assert_cmpstr(found, ==, names);
    g_free(found);
}

/* Guards against a follower that misses a change or a deletion, whichever
 * source it read from before. */
static void
test_cache(void)
{
    static const struct {
        int64_t since;
        Result result;
        const char *names;
    } cases[] = {
        {-1, RESULT_OK, "ac"},  {10, RESULT_OK, "ab!c"},
        {15, RESULT_OK, "b!c"}, {20, RESULT_OK, ""},
        {25, RESULT_OK, ""},    {8, RESULT_STORE_HISTORY_GONE, ""},
    };
    MirrorCache *cache = MirrorCache_Create();
    Result result;
    int64_t revision;
    char *names =
        read_names(cache, (ObjectRevision){.number = -1}, &result, &revision);

    g_assert_cmpint(result, ==, RESULT_STORE_UNAVAILABLE);
    g_free(names);
    change(cache, "b", 5, 10, FALSE);
    MirrorCache_Confirm(cache, 1000, (ObjectRevision){.number = 10});
    change(cache, "a", 12, 15, FALSE);
    MirrorCache_Confirm(cache, 1100, (ObjectRevision){.number = 15});
    change(cache, "c", 16, 20, FALSE);
    change(cache, "b", 18, 20, TRUE);
    MirrorCache_Confirm(cache, 1200, (ObjectRevision){.number = 20});
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        names = read_names(cache, (ObjectRevision){.number = cases[i].since},
                           &result, &revision);
        g_assert_cmpint(result, ==, cases[i].result);
        if (result == RESULT_OK) {
            g_assert_cmpint(revision, ==, 20);
        }
        g_assert_cmpstr(names, ==, cases[i].names);
        g_free(names);
    }
    MirrorCache_Destroy(cache);
}

/* Guards against objects that stay although a new list lacks them. */
static void
test_list(void)
{
    MirrorCache *cache = MirrorCache_Create();
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

    change(cache, "a", 1, 5, FALSE);
    change(cache, "b", 2, 5, FALSE);
    MirrorCache_Confirm(cache, 1000, (ObjectRevision){.number = 5});
    g_hash_table_add(names, "a");
    MirrorCache_Retain(cache, names, (ObjectRevision){.number = 9});
    MirrorCache_Confirm(cache, 1000, (ObjectRevision){.number = 9});
    /* One that was added and removed since is unknown: readers list, too. */
    expect_names(cache, (ObjectRevision){.number = 5},
                 RESULT_STORE_HISTORY_GONE, "");
    expect_names(cache, (ObjectRevision){.number = -1}, RESULT_OK, "a");
    expect_names(cache, (ObjectRevision){.number = 9}, RESULT_OK, "");
    g_hash_table_destroy(names);
    MirrorCache_Destroy(cache);
}

/* Guards against a reader that misses changes because their revisions were
 * given out before the store was restored, and against one that is taken back
 * by a neighbour that does not know of the restoration. */
static void
test_restored_cache(void)
{
    static const struct {
        ObjectRevision since;
        Result result;
        const char *names;
    } cases[] = {
        {{2, -1}, RESULT_OK, "bc"},
        {{2, 18}, RESULT_OK, "c"},
        {{2, 20}, RESULT_OK, ""},
        {{1, 20}, RESULT_STORE_HISTORY_GONE, ""},
        {{1, 18}, RESULT_STORE_HISTORY_GONE, ""},
        {{3, 10}, RESULT_STORE_UNAVAILABLE, ""},
        {{3, -1}, RESULT_STORE_UNAVAILABLE, ""},
        /* readers of a version without generations */
        {{-1, 25}, RESULT_STORE_HISTORY_GONE, ""},
        {{-1, 18}, RESULT_OK, "c"},
    };
    MirrorCache *cache = MirrorCache_Create();

    change_in(cache, "a", (ObjectRevision){1, 19}, (ObjectRevision){1, 25});
    MirrorCache_Confirm(cache, 1000, (ObjectRevision){1, 25});
    change_in(cache, "b", (ObjectRevision){2, 5}, (ObjectRevision){2, 18});
    /* The list is not complete. */
    expect_names(cache, (ObjectRevision){2, -1}, RESULT_STORE_UNAVAILABLE, "");
    MirrorCache_Confirm(cache, 1100, (ObjectRevision){2, 18});
    change_in(cache, "c", (ObjectRevision){2, 20}, (ObjectRevision){2, 20});
    MirrorCache_Confirm(cache, 1200, (ObjectRevision){2, 20});
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        expect_names(cache, cases[i].since, cases[i].result, cases[i].names);
    }
    MirrorCache_Destroy(cache);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mirror/cache", test_cache);
    g_test_add_func("/mirror/restored-cache", test_restored_cache);
    g_test_add_func("/mirror/list", test_list);
    return g_test_run();
}
