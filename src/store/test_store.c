/* Tests of the store client against the stand-in, with faults. */
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "store/store.h"
#include "store_standin.h"

typedef struct Fixture {
    StoreStandin *standin;
    int port;
    Store *store;
} Fixture;

static Store *
connect_store(int port)
{
    char *addresses = g_strdup_printf("127.0.0.1:%d", port);
    Store_desc desc = {.addresses = addresses, .timeout_ms = 1000};
    Store *store = Store_Create(&desc, NULL);

    g_assert_nonnull(store);
    g_free(addresses);
    return store;
}

static void
set_up(Fixture *fixture, gconstpointer data)
{
    (void)data;
    fixture->standin = StoreStandin_Create();
    fixture->port = StoreStandin_Listen(fixture->standin, 0);
    g_assert_cmpint(fixture->port, >, 0);
    fixture->store = connect_store(fixture->port);
}

static void
tear_down(Fixture *fixture, gconstpointer data)
{
    (void)data;
    Store_Destroy(fixture->store);
    StoreStandin_Destroy(fixture->standin);
}

static Result
put_number(Store *store, const char *name, int64_t if_version, int number,
           StoreObject *object)
{
    json_t *value = json_pack("{s:i}", "number", number);
    Result result = Store_Put(store, name, if_version, value, object, NULL);

    json_decref(value);
    return result;
}

static int
get_number(Store *store, const char *name)
{
    StoreObject object;
    int number = -1;

    if (Store_Get(store, name, &object, NULL) == RESULT_OK) {
        number =
            (int)json_integer_value(json_object_get(object.value, "number"));
    }
    StoreObject_Clear(&object);
    return number;
}

/* Guards against a conditional write that ignores its condition. */
static void
test_conditions(Fixture *fixture, gconstpointer data)
{
    Store *store = fixture->store;
    StoreObject object;

    (void)data;
    g_assert_cmpint(Store_Get(store, "a/1", &object, NULL), ==,
                    RESULT_NOT_FOUND);
    g_assert_cmpint(put_number(store, "a/1", 0, 1, &object), ==, RESULT_OK);
    g_assert_cmpint(object.version, ==, 1);
    StoreObject_Clear(&object);
    g_assert_cmpint(put_number(store, "a/1", 0, 2, &object), ==,
                    RESULT_STORE_CONFLICT);
    g_assert_cmpint(object.version, ==, 1);
    g_assert_nonnull(object.value);
    g_assert_cmpint(object.now_ms, >=, object.modified_ms);
    StoreObject_Clear(&object);
    g_assert_cmpint(put_number(store, "a/1", 1, 3, NULL), ==, RESULT_OK);
}

/* Guards against a delete that ignores its condition, and against a version
 * that restarts when an object is recreated. */
static void
test_delete(Fixture *fixture, gconstpointer data)
{
    Store *store = fixture->store;
    StoreObject object;

    (void)data;
    put_number(store, "a/1", 0, 1, NULL);
    put_number(store, "a/1", 1, 3, NULL);
    g_assert_cmpint(Store_Delete(store, "a/1", 1, NULL, NULL), ==,
                    RESULT_STORE_CONFLICT);
    g_assert_cmpint(get_number(store, "a/1"), ==, 3);
    g_assert_cmpint(Store_Delete(store, "a/1", 2, NULL, NULL), ==, RESULT_OK);
    g_assert_cmpint(get_number(store, "a/1"), ==, -1);
    /* A deleted object may be created again, with a higher version. */
    g_assert_cmpint(put_number(store, "a/1", 0, 4, &object), ==, RESULT_OK);
    g_assert_cmpint(object.version, ==, 4);
    StoreObject_Clear(&object);
}

/* Guards against a list that is out of order, above its limit or with names of
 * another prefix. */
static void
test_list(Fixture *fixture, gconstpointer data)
{
    StoreList list;
    char name[20];

    (void)data;
    for (int i = 1; i <= 5; i++) {
        g_snprintf(name, sizeof(name), "t/%d", i);
        put_number(fixture->store, name, 0, i, NULL);
        g_snprintf(name, sizeof(name), "u/%d", i);
        put_number(fixture->store, name, 0, i, NULL);
    }
    g_assert_cmpint(Store_List(fixture->store, "t/", 2, 0, 3, &list, NULL), ==,
                    RESULT_OK);
    g_assert_cmpuint(list.objects->len, ==, 3);
    g_assert_cmpint(list.version, ==, 10);
    for (guint i = 0; i < 3; i++) {
        StoreObject *object = &g_array_index(list.objects, StoreObject, i);

        g_snprintf(name, sizeof(name), "t/%u", i + 2);
        g_assert_cmpstr(object->name, ==, name);
    }
    StoreList_Clear(&list);
}

typedef struct FaultCase {
    const char *name;
    const char *faults;
    Result put;  /* result of a write under the fault */
    Result get;  /* result of a read under the fault */
    int written; /* value afterwards, without the fault */
} FaultCase;

static const FaultCase fault_cases[] = {
    /* The stand-in closes the connection after it has read the request, so a
     * client cannot know whether the write took effect. */
    {"down", "{\"down\":true}", RESULT_STORE_UNCERTAIN,
     RESULT_STORE_UNAVAILABLE, 1},
    {"lose", "{\"lose_answer_percent\":100}", RESULT_STORE_UNCERTAIN,
     RESULT_OK, 2},
    {"slow", "{\"slow_ms\":100}", RESULT_OK, RESULT_OK, 2},
    {"stale", "{\"stale_versions\":0}", RESULT_OK, RESULT_OK, 2},
};

/* Guards against a fault reported with the wrong result: a write that may have
 * taken effect but is reported as "unavailable" would be retried. */
static void
test_faults(Fixture *fixture, gconstpointer data)
{
    const FaultCase *fault_case = data;
    StoreObject object;

    put_number(fixture->store, "x", 0, 1, NULL);
    g_assert_true(
        StoreStandin_SetFaults(fixture->standin, fault_case->faults));
    g_assert_cmpint(put_number(fixture->store, "x", 1, 2, NULL), ==,
                    fault_case->put);
    g_assert_cmpint(Store_Get(fixture->store, "x", &object, NULL), ==,
                    fault_case->get);
    StoreObject_Clear(&object);
    g_assert_true(StoreStandin_SetFaults(fixture->standin, "{}"));
    g_assert_cmpint(get_number(fixture->store, "x"), ==, fault_case->written);
}

/* Guards against a write that neon or the client sends twice. */
static void
test_write_sent_once(Fixture *fixture, gconstpointer data)
{
    char *addresses = g_strdup_printf("127.0.0.1:%d,127.0.0.1:%d",
                                      fixture->port, fixture->port);
    Store_desc desc = {.addresses = addresses, .timeout_ms = 1000};
    Store *store = Store_Create(&desc, NULL);

    (void)data;
    get_number(store, "x"); /* leaves an idle connection */
    StoreStandin_SetFaults(fixture->standin, "{\"lose_answer_percent\":100}");
    g_assert_cmpint(put_number(store, "x", 0, 1, NULL), ==,
                    RESULT_STORE_UNCERTAIN);
    g_assert_cmpint(StoreStandin_GetCalls(fixture->standin, "put"), ==, 1);
    Store_Destroy(store);
    g_free(addresses);
}

/* Guards against a call that fails although another address works, and against
 * "uncertain" as the result of a refused connection. */
static void
test_addresses(Fixture *fixture, gconstpointer data)
{
    StoreStandin *other = StoreStandin_Create();
    int closed = StoreStandin_Listen(other, 0);
    char *addresses =
        g_strdup_printf("127.0.0.1:%d, 127.0.0.1:%d", closed, fixture->port);
    Store_desc desc = {.addresses = addresses};
    Store *store = Store_Create(&desc, NULL);
    Store *refused = connect_store(closed);
    GError *error = NULL;

    (void)data;
    StoreStandin_Destroy(other);
    g_assert_cmpint(put_number(store, "x", 0, 7, NULL), ==, RESULT_OK);
    g_assert_cmpint(get_number(store, "x"), ==, 7);
    g_assert_cmpint(put_number(refused, "x", 0, 7, NULL), ==,
                    RESULT_STORE_UNAVAILABLE);
    Store_Destroy(store);
    Store_Destroy(refused);
    g_free(addresses);
    desc.addresses = "store.example:80";
    g_assert_null(Store_Create(&desc, &error));
    g_assert_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID);
    g_clear_error(&error);
}

/* Guards against a size limit that differs between the client and the store,
 * and against sending a value above the limit. */
static void
test_sizes(Fixture *fixture, gconstpointer data)
{
    char *text = g_strnfill(STORE_VALUE_BYTES - 2, 'x');
    json_t *value = json_string(text);
    json_t *larger;

    (void)data;
    g_assert_cmpint(Store_Put(fixture->store, "x", 0, value, NULL, NULL), ==,
                    RESULT_OK);
    larger = json_pack("[o]", value);
    g_assert_cmpint(Store_Put(fixture->store, "x", 1, larger, NULL, NULL), ==,
                    RESULT_TOO_LARGE);
    json_decref(larger);
    g_free(text);
}

typedef struct Watch {
    int port;
    Result result;
    int64_t version;
} Watch;

static void *
run_watch(void *context)
{
    Watch *watch = context;
    Store *store = connect_store(watch->port);
    StoreList list;

    watch->result = Store_List(store, "w/", 0, 30000, 10, &list, NULL);
    if (watch->result == RESULT_OK && list.objects->len == 1) {
        watch->version = g_array_index(list.objects, StoreObject, 0).version;
    }
    StoreList_Clear(&list);
    Store_Destroy(store);
    return NULL;
}

#define WATCHES 20

/* Guards against watches that are not answered after a matching write, or that
 * keep the store's single thread from answering other calls. */
static void
test_watch(Fixture *fixture, gconstpointer data)
{
    Watch watches[WATCHES];
    pthread_t threads[WATCHES];

    (void)data;
    for (int i = 0; i < WATCHES; i++) {
        watches[i] = (Watch){.port = fixture->port};
        pthread_create(&threads[i], NULL, run_watch, &watches[i]);
    }
    while (StoreStandin_GetWaiting(fixture->standin) < WATCHES) {
        g_usleep(1000);
    }
    put_number(fixture->store, "other", 0, 1, NULL);
    g_assert_cmpint(StoreStandin_GetWaiting(fixture->standin), ==, WATCHES);
    put_number(fixture->store, "w/1", 0, 1, NULL);
    for (int i = 0; i < WATCHES; i++) {
        pthread_join(threads[i], NULL);
        g_assert_cmpint(watches[i].result, ==, RESULT_OK);
        g_assert_cmpint(watches[i].version, ==, 2);
    }
}

/* Guards against a client that does not recover after a restart of the store,
 * and against a watch that hangs when the store closes. */
static void
test_restart(Fixture *fixture, gconstpointer data)
{
    Watch watch = {.port = fixture->port};
    pthread_t thread;

    (void)data;
    put_number(fixture->store, "x", 0, 5, NULL);
    pthread_create(&thread, NULL, run_watch, &watch);
    while (StoreStandin_GetWaiting(fixture->standin) < 1) {
        g_usleep(1000);
    }
    StoreStandin_Close(fixture->standin);
    pthread_join(thread, NULL);
    g_assert_cmpint(put_number(fixture->store, "x", 1, 6, NULL), ==,
                    RESULT_STORE_UNAVAILABLE);
    g_assert_cmpint(StoreStandin_Listen(fixture->standin, fixture->port), ==,
                    fixture->port);
    g_assert_cmpint(get_number(fixture->store, "x"), ==, 5);
    g_assert_cmpint(put_number(fixture->store, "x", 1, 6, NULL), ==,
                    RESULT_OK);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/store/conditions", Fixture, NULL, set_up, test_conditions,
               tear_down);
    g_test_add("/store/delete", Fixture, NULL, set_up, test_delete, tear_down);
    g_test_add("/store/list", Fixture, NULL, set_up, test_list, tear_down);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        char *path = g_strconcat("/store/faults/", fault_cases[i].name, NULL);

        g_test_add(path, Fixture, &fault_cases[i], set_up, test_faults,
                   tear_down);
        g_free(path);
    }
    g_test_add("/store/write-sent-once", Fixture, NULL, set_up,
               test_write_sent_once, tear_down);
    g_test_add("/store/addresses", Fixture, NULL, set_up, test_addresses,
               tear_down);
    g_test_add("/store/sizes", Fixture, NULL, set_up, test_sizes, tear_down);
    g_test_add("/store/watch", Fixture, NULL, set_up, test_watch, tear_down);
    g_test_add("/store/restart", Fixture, NULL, set_up, test_restart,
               tear_down);
    return g_test_run();
}
