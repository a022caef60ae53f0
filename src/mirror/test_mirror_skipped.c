/* Tests of what passes from host to host: a host that holds all changes up to
 * some revision has missed none of them, in whatever order the store, the
 * hosts that watch it and their readers take their steps. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "mirror/mirror_cache.h"

enum { STORE = -1, LEADER, SECOND, READER, HOSTS };
enum { MAX_CHANGES = 64, OBJECTS = 3 };

typedef struct Change {
    int object;
    gboolean deleted;
} Change;

/* The store: revision n + 1 is changes[n]. */
typedef struct Store {
    Change changes[MAX_CHANGES];
    int count;
} Store;

/* A host with its state of each object: the revision of the change that it
 * has, 0 if it has none. */
typedef struct Host {
    MirrorCache *cache;
    int64_t revision; /* -1: has to list */
    int64_t known[OBJECTS];
    gboolean is_deleted[OBJECTS];
    gboolean is_open; /* the page has not been confirmed */
    gboolean is_list;
    ObjectPage page;
} Host;

typedef struct World {
    Store store;
    Host hosts[HOSTS];
} World;

static const char *const object_names[OBJECTS] = {"a", "b", "c"};

static int
find_object(const char *name)
{
    for (int object = 0; object < OBJECTS; object++) {
        if (strcmp(object_names[object], name) == 0) {
            return object;
        }
    }
    g_error("no object %s", name);
    return -1;
}

/* Returns the revision of the last change of the object up to `until`. */
static int64_t
last_change(const Store *store, int object, int64_t until)
{
    for (int64_t i = MIN(until, store->count); i > 0; i--) {
        if (store->changes[i - 1].object == object) {
            return i;
        }
    }
    return 0;
}

/* Adds the state of the object to the page, if it changed after `since`. A
 * deletion has the revision that the object had before. */
static void
add_object(const Store *store, int object, int64_t since, ObjectPage *page)
{
    int64_t last = last_change(store, object, store->count);
    gboolean deleted = last > 0 && store->changes[last - 1].deleted;
    ObjectRecord record = {.name = g_strdup(object_names[object]),
                           .revision.number =
                               deleted ? last_change(store, object, last - 1)
                                       : last,
                           .deleted = deleted};

    if (last > MAX(since, 0) && !(since < 0 && deleted)) {
        g_array_append_val(page->records, record);
    }
    else {
        g_free(record.name);
    }
}

static void
apply_record(World *world, Host *host, const ObjectRecord *record)
{
    int object = find_object(record->name);

    host->known[object] = record->revision.number;
    host->is_deleted[object] = record->deleted;
    if (record->deleted) {
        host->known[object] = last_change(&world->store, object, MAX_CHANGES);
    }
    MirrorCache_Update(host->cache, record, host->page.revision);
}

static void
remove_unlisted(World *world, Host *host)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < host->page.records->len; i++) {
        g_hash_table_add(
            names, g_array_index(host->page.records, ObjectRecord, i).name);
    }
    for (int object = 0; object < OBJECTS; object++) {
        if (!g_hash_table_contains(names, object_names[object])) {
            host->is_deleted[object] = TRUE;
            host->known[object] =
                last_change(&world->store, object, MAX_CHANGES);
        }
    }
    MirrorCache_Retain(host->cache, names, host->page.revision);
    g_hash_table_destroy(names);
}

/* The host confirms the page that it has read, as ObjectSync does. */
static void
confirm(World *world, Host *host)
{
    if (!host->is_open) {
        return;
    }
    if (host->is_list) {
        remove_unlisted(world, host);
        host->revision = host->page.revision.number;
    }
    host->revision = MAX(host->revision, host->page.revision.number);
    MirrorCache_Confirm(host->cache, Clock_Now(),
                        (ObjectRevision){.number = host->revision});
    ObjectPage_Clear(&host->page);
    host->is_open = FALSE;
}

/* The host reads changes, or a list if it has none yet, from the store or from
 * another host. */
static void
read_from(World *world, Host *host, int source)
{
    ObjectRevision since = {.number = host->revision};
    Result result = RESULT_OK;

    confirm(world, host);
    since.number = host->revision;
    ObjectPage_Init(&host->page);
    if (source == STORE) {
        for (int i = 0; i < OBJECTS; i++) {
            add_object(&world->store, i, since.number, &host->page);
        }
        host->page.revision.number = world->store.count;
    }
    else {
        result =
            MirrorCache_Read(world->hosts[source].cache, since, &host->page);
    }
    if (result == RESULT_OK && since.number < 0 && source != STORE &&
        host->page.revision.number < 1) {
        result = RESULT_STORE_UNAVAILABLE;
    }
    if (result != RESULT_OK) {
        host->revision =
            result == RESULT_STORE_HISTORY_GONE ? -1 : host->revision;
        ObjectPage_Clear(&host->page);
        return;
    }
    host->is_open = TRUE;
    host->is_list = since.number < 0;
    for (guint i = 0; i < host->page.records->len; i++) {
        apply_record(world, host,
                     &g_array_index(host->page.records, ObjectRecord, i));
    }
}

static void
expect_complete(const World *world, const char *what, int64_t revision,
                const int64_t *known, const gboolean *is_deleted)
{
    for (int object = 0; object < OBJECTS; object++) {
        int64_t last = last_change(&world->store, object, revision);
        gboolean deleted = last == 0 || world->store.changes[last - 1].deleted;

        if (known[object] < last ||
            (known[object] == last && is_deleted[object] != deleted &&
             last > 0)) {
            g_error("%s: holds revision %d of %s, of %d", what,
                    (int)known[object], object_names[object], (int)last);
        }
    }
}

/* Checks what the host has itself, and what it would give a host that starts.
 */
static void
check_host(const World *world, const char *what, const Host *host)
{
    int64_t known[OBJECTS];
    gboolean is_deleted[OBJECTS];
    ObjectPage page;

    if (!host->is_open && host->revision >= 0) {
        expect_complete(world, what, host->revision, host->known,
                        host->is_deleted);
    }
    ObjectPage_Init(&page);
    if (MirrorCache_Read(host->cache, (ObjectRevision){.number = -1}, &page) ==
        RESULT_OK) {
        for (int i = 0; i < OBJECTS; i++) {
            known[i] = last_change(&world->store, i, MAX_CHANGES);
            is_deleted[i] = TRUE;
        }
        for (guint i = 0; i < page.records->len; i++) {
            const ObjectRecord *record =
                &g_array_index(page.records, ObjectRecord, i);

            known[find_object(record->name)] = record->revision.number;
            is_deleted[find_object(record->name)] = FALSE;
        }
        expect_complete(world, what, page.revision.number, known, is_deleted);
    }
    ObjectPage_Clear(&page);
}

/* Deleting an object that does not exist changes nothing. */
static void
change(World *world, int object, gboolean deleted)
{
    int64_t last = last_change(&world->store, object, MAX_CHANGES);

    if (deleted && world->store.changes[last - 1].deleted) {
        return;
    }
    world->store.changes[world->store.count++] =
        (Change){.object = object, .deleted = deleted};
}

static void
open_world(World *world)
{
    *world = (World){0};
    for (int i = 0; i < HOSTS; i++) {
        world->hosts[i].cache = MirrorCache_Create();
        world->hosts[i].revision = -1;
    }
    for (int object = 0; object < OBJECTS; object++) {
        change(world, object, FALSE);
    }
}

static void
close_world(World *world)
{
    for (int i = 0; i < HOSTS; i++) {
        confirm(world, &world->hosts[i]);
        MirrorCache_Destroy(world->hosts[i].cache);
    }
}

/* Takes the steps, each of three letters: "C a" changes object a, "D a"
 * deletes it; "R" reads, "L2 " lets the leader read from the second host, "R."
 * confirms what the reader has read. Letters of hosts: L, 2, R; S: the store.
 */
static void
take_steps(World *world, const char *what, const char *steps)
{
    static const char letters[] = "L2R";
    char **items = g_strsplit(steps, " ", -1);

    for (char **item = items; *item != NULL; item++) {
        const char *to = strchr(letters, (*item)[0]);
        const char *from = strchr(letters, (*item)[1]);

        if (to == NULL) {
            change(world, (*item)[1] - 'a', (*item)[0] == 'D');
        }
        else if ((*item)[1] == '.') {
            confirm(world, &world->hosts[to - letters]);
        }
        else {
            read_from(world, &world->hosts[to - letters],
                      from == NULL ? STORE : (int)(from - letters));
        }
        for (int i = 0; i < HOSTS; i++) {
            check_host(world, what, &world->hosts[i]);
        }
    }
    g_strfreev(items);
}

/* Guards against a host that takes an answer without changes for a proof that
 * it has the newest state, although it was never sent a change. */
static void
test_orders(void)
{
    static const struct {
        const char *what;
        const char *steps;
    } cases[] = {
        {"read between change and confirmation, then two sources in turn",
         "LS L. 2L 2. RL R. Ca LS 2L L. 2. 2L 2. R2 R."},
        {"the same with a deletion",
         "LS L. 2L 2. RL R. Da LS 2L L. 2. 2L 2. R2 R."},
        {"the same with an object that was added again",
         "LS L. 2L 2. RL R. Da Ca LS 2L L. 2. 2L 2. R2 R."},
        {"the list of a host that starts, then two sources in turn",
         "LS L. RL R. 2S Ca 2. LS 2L L. 2. 2L 2. R2 R."},
        {"a deletion just before the first list of a source",
         "LS L. RL R. Da 2S 2. R2 R."},
        {"an object that was created and deleted before a list",
         "LS L. Da 2S 2. Ca LS L. RS R. Cb RL 2R RS RL Da Cb 2S 2. LR L. RL "
         "R. L2 L. R2 R."},
        {"a list from a source that is behind",
         "LS L. 2S 2. Ca 2S 2. RL R. R2 R."},
        {"two changes close together, the second while the first is read",
         "LS L. 2L 2. RL R. Ca LS Ca 2L L. 2. LS L. 2L 2. R2 R."},
        {"harmless: one source, read after its confirmation",
         "LS L. 2L 2. Ca LS L. 2L 2. Db LS L. 2L 2."},
        {"harmless: two sources that both watch the store",
         "LS L. 2S 2. RL R. Ca LS L. 2S 2. R2 R. Cb 2S 2. RL R. R2 R."},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        World world;

        open_world(&world);
        take_steps(&world, cases[i].what, cases[i].steps);
        close_world(&world);
    }
}

/* Guards against the same in an order that nobody thought of. */
static void
test_any_order(void)
{
    static const char hosts[] = "L2R";
    static const char sources[] = "L2RSS...";
    Rng rng;

    for (uint64_t seed = 1; seed <= 2000; seed++) {
        World world;
        GString *steps = g_string_new("LS");
        char *what;

        Rng_Seed(&rng, seed);
        for (int i = 0; i < 40; i++) {
            uint64_t choice = Rng_Next(&rng);
            char host = hosts[choice % 3];
            char source = sources[choice / 3 % 8];

            if (choice / 24 % 4 == 0) {
                g_string_append_printf(steps, " %c%c",
                                       choice / 96 % 3 == 0 ? 'D' : 'C',
                                       (char)('a' + choice / 288 % 3));
            }
            else if (host != source) {
                g_string_append_printf(steps, " %c%c", host, source);
            }
        }
        what = g_strdup_printf("seed %d: %s", (int)seed, steps->str);
        open_world(&world);
        take_steps(&world, what, steps->str);
        close_world(&world);
        g_free(what);
        g_string_free(steps, TRUE);
    }
}

/* Guards against a reader that waits for the next change although it has to
 * list, which keeps what it does not know to be deleted until then. */
static void
test_list_wait(void)
{
    enum { WAIT_MS = 5000 };
    static const struct {
        int64_t since;
        gboolean waits;
        Result result;
    } cases[] = {{7, FALSE, RESULT_STORE_HISTORY_GONE}, {9, TRUE, RESULT_OK}};
    MirrorCache *cache = MirrorCache_Create();
    ObjectRecord record = {.name = "a", .revision.number = 1};
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

    g_hash_table_add(names, "a");
    for (int64_t listed = 5; listed <= 9; listed += 4) {
        MirrorCache_Update(cache, &record, (ObjectRevision){.number = listed});
        MirrorCache_Retain(cache, names, (ObjectRevision){.number = listed});
        MirrorCache_Confirm(cache, Clock_Now(),
                            (ObjectRevision){.number = listed});
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ObjectRevision since = {.number = cases[i].since};
        ClockMs wait_ms = cases[i].waits ? 10 : WAIT_MS;
        ClockMs started = Clock_Now();
        ObjectPage page;

        MirrorCache_Wait(cache, since, wait_ms);
        g_assert_cmpint(Clock_Now() - started, <, WAIT_MS);
        g_assert_cmpint(Clock_Now() - started >= wait_ms, ==, cases[i].waits);
        ObjectPage_Init(&page);
        g_assert_cmpint(MirrorCache_Read(cache, since, &page), ==,
                        cases[i].result);
        ObjectPage_Clear(&page);
    }
    g_hash_table_destroy(names);
    MirrorCache_Destroy(cache);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mirror/skipped/orders", test_orders);
    g_test_add_func("/mirror/skipped/any-order", test_any_order);
    g_test_add_func("/mirror/skipped/list-wait", test_list_wait);
    return g_test_run();
}
