/* Tests of the record of the instance that leaves, against a store in memory.
 */
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "departure/departure.h"

#define HOST "host-1"
#define WAIT_MS 5000

/* A store with one kind. */
typedef struct Store {
    ObjectStore functions;
    pthread_mutex_t lock;
    GHashTable *values; /* name -> json_t */
    int64_t revision;
    int64_t generation;
    gboolean is_away;
    int lost_answers; /* writes that are done but not answered */
    int calls;
    Departure *restored_at; /* told of a restoration during the next write */
} Store;

/* Restores the store from a copy without records. Called with the lock held.
 */
static void
restore_locked(Store *store)
{
    g_hash_table_remove_all(store->values);
    store->generation++;
}

static Result
list(void *context, const char *kind, const char *after, ObjectPage *page)
{
    Store *store = context;
    GHashTableIter iterator;
    gpointer name;
    gpointer value;
    Result result = RESULT_STORE_UNAVAILABLE;

    g_assert_cmpstr(kind, ==, DEPARTURE_KIND);
    g_assert_cmpstr(after, ==, "");
    pthread_mutex_lock(&store->lock);
    store->calls++;
    if (!store->is_away) {
        result = RESULT_OK;
        g_hash_table_iter_init(&iterator, store->values);
        while (g_hash_table_iter_next(&iterator, &name, &value)) {
            ObjectRecord record = {
                .name = g_strdup(name),
                .revision = {store->generation, store->revision},
                .value = json_deep_copy(value)};

            g_array_append_val(page->records, record);
        }
    }
    pthread_mutex_unlock(&store->lock);
    return result;
}

static Result
get(void *context, const char *kind, const char *name, ObjectRecord *record)
{
    Store *store = context;
    json_t *value;
    Result result = RESULT_STORE_UNAVAILABLE;

    (void)kind;
    pthread_mutex_lock(&store->lock);
    store->calls++;
    if (!store->is_away) {
        value = g_hash_table_lookup(store->values, name);
        record->value = json_deep_copy(value);
        record->revision = (ObjectRevision){
            store->generation, value != NULL ? store->revision : 0};
        result = value != NULL ? RESULT_OK : RESULT_NOT_FOUND;
    }
    pthread_mutex_unlock(&store->lock);
    return result;
}

static Result
put(void *context, const char *kind, const char *name, const json_t *value,
    ObjectRevision *revision)
{
    Store *store = context;
    Departure *restored_at = NULL;
    Result result = RESULT_STORE_UNAVAILABLE;
    int64_t expected;

    (void)kind;
    pthread_mutex_lock(&store->lock);
    store->calls++;
    expected =
        g_hash_table_contains(store->values, name) ? store->revision : 0;
    if (!store->is_away && revision->number != expected) {
        result = RESULT_STORE_CONFLICT;
    }
    else if (!store->is_away) {
        g_hash_table_insert(store->values, g_strdup(name),
                            json_deep_copy(value));
        *revision = (ObjectRevision){store->generation, ++store->revision};
        result =
            store->lost_answers-- > 0 ? RESULT_STORE_UNCERTAIN : RESULT_OK;
        restored_at = store->restored_at;
    }
    if (restored_at != NULL) {
        store->restored_at = NULL;
        restore_locked(store);
    }
    pthread_mutex_unlock(&store->lock);
    if (restored_at != NULL) {
        Departure_NoteGeneration(restored_at, revision->generation + 1);
    }
    return result;
}

static Result
remove_record(void *context, const char *kind, const char *name,
              ObjectRevision revision)
{
    Store *store = context;

    (void)kind;
    (void)revision;
    pthread_mutex_lock(&store->lock);
    g_hash_table_remove(store->values, name);
    pthread_mutex_unlock(&store->lock);
    return RESULT_OK;
}

static void
free_value(gpointer value)
{
    json_decref(value);
}

static void
open_store(Store *store)
{
    *store = (Store){.functions = {.context = store,
                                   .list = list,
                                   .get = get,
                                   .put = put,
                                   .remove = remove_record},
                     .values = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                     g_free, free_value),
                     .revision = 7,
                     .generation = 1};
    pthread_mutex_init(&store->lock, NULL);
}

static void
close_store(Store *store)
{
    g_hash_table_destroy(store->values);
    pthread_mutex_destroy(&store->lock);
}

static void
set_away(Store *store, gboolean is_away)
{
    pthread_mutex_lock(&store->lock);
    store->is_away = is_away;
    pthread_mutex_unlock(&store->lock);
}

static void
add_record(Store *store, const char *name, const char *instance, int64_t born,
           ClockMs age_ms)
{
    g_hash_table_insert(store->values, g_strdup(name),
                        json_pack("{s:s, s:I, s:I}", "instance", instance,
                                  "born", (json_int_t)born, "at",
                                  (json_int_t)(Clock_WallMs() - age_ms)));
}

typedef struct Heard {
    int count;
    char instance[DEPARTURE_NAME_BYTES];
    int64_t born;
} Heard;

static void
hear(void *context, const char *instance, int64_t born)
{
    Heard *heard = context;

    heard->count++;
    g_strlcpy(heard->instance, instance, sizeof(heard->instance));
    heard->born = born;
}

static Departure *
start(Store *store, Heard *heard, ClockMs read_wait_ms)
{
    *heard = (Heard){0};
    return Departure_Create(&(Departure_desc){.store = &store->functions,
                                              .host = HOST,
                                              .left = hear,
                                              .context = heard,
                                              .read_wait_ms = read_wait_ms});
}

static gboolean
has_record(Store *store, const char *name)
{
    gboolean found;

    pthread_mutex_lock(&store->lock);
    found = g_hash_table_contains(store->values, name);
    pthread_mutex_unlock(&store->lock);
    return found;
}

/* Guards against a process that does not learn which instance left before it
 * started, and against a record that a conflict or a lost answer prevents. */
static void
test_next_process(void)
{
    static const struct {
        gboolean has_earlier; /* the host has a record of another instance */
        int lost_answers;
        int64_t born;
    } cases[] = {{FALSE, 0, 100}, {TRUE, 0, 100}, {FALSE, 1, 100},
                 {TRUE, 1, 100},  {FALSE, 0, 0},  {TRUE, 2, 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Departure *departure;
        Store store;
        Heard heard;

        g_test_message("case %zu", i);
        open_store(&store);
        if (cases[i].has_earlier) {
            add_record(&store, HOST, "i0", 50, 1000);
        }
        departure = start(&store, &heard, WAIT_MS);
        g_assert_true(Departure_Admits(departure, "i1", 100, 1));
        g_assert_cmpint(heard.count, ==, cases[i].has_earlier);
        store.lost_answers = cases[i].lost_answers;
        while (!Departure_Record(departure, "i1", cases[i].born)) {
        }
        Departure_Destroy(departure);

        departure = start(&store, &heard, WAIT_MS);
        g_assert_true(Departure_Admits(departure, "i1", 100, 2));
        g_assert_cmpint(heard.count, ==, 1);
        g_assert_cmpstr(heard.instance, ==, "i1");
        g_assert_cmpint(heard.born, ==, cases[i].born);
        Departure_Destroy(departure);
        close_store(&store);
    }
}

/* Guards against a delayed report of an earlier instance that replaces the
 * record of a later one. */
static void
test_earlier_instance(void)
{
    Departure *departure;
    Store store;
    Heard heard;

    open_store(&store);
    add_record(&store, HOST, "i1", 100, 1000);
    departure = start(&store, &heard, WAIT_MS);
    g_assert_true(Departure_Admits(departure, "i2", 200, 1));
    g_assert_true(Departure_Record(departure, "i0", 50));
    Departure_Destroy(departure);
    departure = start(&store, &heard, WAIT_MS);
    g_assert_true(Departure_Admits(departure, "i2", 200, 2));
    g_assert_cmpstr(heard.instance, ==, "i1");
    Departure_Destroy(departure);
    close_store(&store);
}

/* Guards against a delayed announcement that makes an instance ready while the
 * store cannot be read, and against a backend server that stays unused for as
 * long as the store is away. */
static void
test_unreadable(void)
{
    static const struct {
        const char *instance;
        int64_t born;
        int64_t sequence;
        gboolean admitted;
    } steps[] = {{"i1", 100, 5, FALSE},
                 {"i1", 100, 5, FALSE}, /* sent once more */
                 {"i2", 200, 1, FALSE},
                 {"i2", 200, 2, TRUE}};
    Departure *departure;
    Store store;
    Heard heard;

    open_store(&store);
    store.is_away = TRUE;
    departure = start(&store, &heard, 20);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        g_assert_cmpint(Departure_Admits(departure, steps[i].instance,
                                         steps[i].born, steps[i].sequence),
                        ==, steps[i].admitted);
    }
    Departure_Destroy(departure);
    close_store(&store);
}

/* Guards against a record that is lost because the store was away when the
 * instance left. */
static void
test_unwritable(void)
{
    Departure *departure;
    Store store;
    Heard heard;

    open_store(&store);
    add_record(&store, HOST, "i1", 100, 1000);
    store.is_away = TRUE;
    departure = start(&store, &heard, 20);
    g_assert_false(Departure_Record(departure, "i2", 200));
    set_away(&store, FALSE);
    while (!Departure_Record(departure, "i2", 200)) {
    }
    Departure_Destroy(departure);
    departure = start(&store, &heard, WAIT_MS);
    g_assert_true(Departure_Admits(departure, "i3", 300, 1));
    g_assert_cmpstr(heard.instance, ==, "i2");
    Departure_Destroy(departure);
    close_store(&store);
}

static void
expect_record(Store *store, const char *instance)
{
    gboolean found = FALSE;

    for (ClockMs end = Clock_Now() + WAIT_MS; !found && Clock_Now() < end;) {
        const json_t *value;

        g_usleep(5000);
        pthread_mutex_lock(&store->lock);
        value = json_object_get(g_hash_table_lookup(store->values, HOST),
                                "instance");
        found = g_strcmp0(json_string_value(value), instance) == 0;
        pthread_mutex_unlock(&store->lock);
    }
    g_assert_true(found);
}

static int
count_calls(Store *store)
{
    int calls;

    pthread_mutex_lock(&store->lock);
    calls = store->calls;
    pthread_mutex_unlock(&store->lock);
    return calls;
}

/* Guards against a record that is lost, or replaced by an earlier one, because
 * the store was restored from an older copy, and against calls on the store
 * without a restoration. */
static void
test_restored(void)
{
    static const struct {
        gboolean at_start; /* a process before left the record */
        gboolean at_write; /* the store is restored as the record is written */
        const char *copied; /* instance in the copy; NULL: no record */
    } cases[] = {{FALSE, FALSE, NULL},
                 {FALSE, FALSE, "i0"},
                 {FALSE, FALSE, "i1"},
                 {TRUE, FALSE, NULL},
                 {FALSE, TRUE, NULL}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Departure *departure;
        Store store;
        Heard heard;
        int calls;

        g_test_message("case %zu", i);
        open_store(&store);
        if (cases[i].at_start) {
            add_record(&store, HOST, "i1", 100, 1000);
        }
        departure = start(&store, &heard, WAIT_MS);
        g_assert_true(Departure_Admits(departure, "i2", 200, 1));
        Departure_NoteGeneration(departure, 1);
        pthread_mutex_lock(&store.lock);
        store.restored_at = cases[i].at_write ? departure : NULL;
        pthread_mutex_unlock(&store.lock);
        g_assert_true(Departure_Record(departure, "i1", 100));
        calls = count_calls(&store);
        Departure_NoteGeneration(departure, 1);
        g_usleep(20000);
        g_assert_cmpint(count_calls(&store), ==, calls);
        if (!cases[i].at_write) {
            pthread_mutex_lock(&store.lock);
            restore_locked(&store);
            if (cases[i].copied != NULL) {
                add_record(&store, HOST, cases[i].copied, 50, 1000);
            }
            pthread_mutex_unlock(&store.lock);
            Departure_NoteGeneration(departure, 2);
        }
        expect_record(&store, "i1");
        Departure_Destroy(departure);
        close_store(&store);
    }
}

/* Guards against records that stay of hosts which were removed, and against
 * the removal of one that still matters or that another writer made. */
static void
test_sweep(void)
{
    Departure *departure;
    Store store;
    Heard heard;

    open_store(&store);
    add_record(&store, HOST, "i1", 100, 3600000);
    add_record(&store, "old", "i2", 100, 3600000);
    add_record(&store, "recent", "i3", 100, 60000);
    g_hash_table_insert(store.values, g_strdup("foreign"),
                        json_string("text"));
    departure = start(&store, &heard, WAIT_MS);
    g_assert_true(Departure_Admits(departure, "i1", 100, 1));
    Departure_Destroy(departure);
    g_assert_true(has_record(&store, HOST));
    g_assert_false(has_record(&store, "old"));
    g_assert_true(has_record(&store, "recent"));
    g_assert_true(has_record(&store, "foreign"));
    close_store(&store);
}

static gboolean
count_deposit(void *context, const char *instance, int64_t born)
{
    g_assert_cmpstr(instance, ==, "i1");
    g_assert_cmpint(born, ==, 100);
    (void)g_atomic_int_add((gint *)context, 1);
    return TRUE;
}

static void
ignore_left(void *context, const char *instance, int64_t born)
{
    (void)context;
    (void)instance;
    (void)born;
}

/* Guards against copies that are given away once, to others that end before
 * the store is back, and against copies of a record that the store has. */
static void
test_renewed(void)
{
    enum { RENEWED = 2, QUIET_US = 2500000 };
    gint deposits = 0;
    Departure *departure;
    Store store;

    open_store(&store);
    departure = Departure_Create(&(Departure_desc){.store = &store.functions,
                                                   .host = HOST,
                                                   .left = ignore_left,
                                                   .deposit = count_deposit,
                                                   .context = &deposits,
                                                   .read_wait_ms = WAIT_MS});
    g_assert_true(Departure_Admits(departure, "i1", 100, 1));
    set_away(&store, TRUE);
    g_assert_true(Departure_Record(departure, "i1", 100));
    for (ClockMs end = Clock_Now() + 2 * WAIT_MS;
         g_atomic_int_get(&deposits) < RENEWED && Clock_Now() < end;) {
        g_usleep(5000);
    }
    g_assert_cmpint(g_atomic_int_get(&deposits), ==, RENEWED);
    set_away(&store, FALSE);
    expect_record(&store, "i1");
    g_usleep(QUIET_US);
    g_assert_cmpint(g_atomic_int_get(&deposits), ==, RENEWED);
    Departure_Destroy(departure);
    close_store(&store);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/departure/next-process", test_next_process);
    g_test_add_func("/departure/earlier-instance", test_earlier_instance);
    g_test_add_func("/departure/unreadable", test_unreadable);
    g_test_add_func("/departure/unwritable", test_unwritable);
    g_test_add_func("/departure/restored", test_restored);
    g_test_add_func("/departure/sweep", test_sweep);
    g_test_add_func("/departure/renewed", test_renewed);
    return g_test_run();
}
