/* Tests of a follower that reads from a host that watches the store. */
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "base/rng.h"
#include "http/http_message.h"
#include "http/http_server.h"
#include "mirror/mirror.h"
#include "mirror/mirror_port.h"

static void
change_in(MirrorCache *cache, const char *name, ObjectRevision own,
          ObjectRevision revision)
{
    ObjectRecord record = {.name = (char *)name, .revision = own};

    MirrorCache_Update(cache, &record, revision);
}

/* Store of the follower; counts calls. */
typedef struct FakeStore {
    ObjectStore functions;
    int lists;
    int watches;
    ClockMs wait_ms; /* of the last watch */
    Result result;
} FakeStore;

static Result
fake_list(void *context, const char *kind, const char *after, ObjectPage *page)
{
    (void)kind;
    (void)after;
    ((FakeStore *)context)->lists++;
    page->revision.number = 50;
    return ((FakeStore *)context)->result;
}

static Result
fake_watch(void *context, const char *kind, ObjectRevision revision,
           ClockMs wait_ms, ObjectPage *page)
{
    (void)kind;
    ((FakeStore *)context)->watches++;
    ((FakeStore *)context)->wait_ms = wait_ms;
    page->revision = revision;
    return ((FakeStore *)context)->result;
}

static gboolean
read_flag(void *context)
{
    return g_atomic_int_get((gint *)context);
}

typedef struct Fixture {
    MirrorCache *cache;
    MirrorPort *port;
    gboolean direct;
    gboolean keeps_known;
    gboolean is_first; /* the follower ranks before its neighbour */
    RosterEntry neighbour;
    Roster *roster;
    HttpClient *client;
    FakeStore store;
    ObjectGeneration *generation;
    Mirror *mirror;
    MirrorKind kind;
} Fixture;

/* Sets up a follower whose neighbour ranks first for the kind, or second. */
static void
open_fixture(Fixture *fixture)
{
    MirrorPort_desc port = {.threads = 4, .kind_count = 1};
    char name[ROSTER_NAME_BYTES] = "";
    RosterPeer order[2];

    fixture->direct = TRUE;
    fixture->cache = MirrorCache_Create();
    fixture->kind = (MirrorKind){.kind = "k",
                                 .cache = fixture->cache,
                                 .max_age_ms = 500,
                                 .keeps_known = fixture->keeps_known,
                                 .is_direct = read_flag,
                                 .context = &fixture->direct};
    port.kinds = &fixture->kind;
    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &port.address));
    fixture->port = MirrorPort_Create(&port, NULL);
    g_assert_nonnull(fixture->port);
    fixture->client = HttpClient_Create(&(HttpClient_desc){0});
    fixture->store.functions = (ObjectStore){
        .context = &fixture->store, .list = fake_list, .watch = fake_watch};
    fixture->neighbour =
        (RosterEntry){.instance = "i",
                      .service = "s",
                      .data_centre = "d",
                      .region = "r",
                      .slots = 1,
                      .rpc_port = 1,
                      .mirror_port = MirrorPort_Port(fixture->port)};
    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &fixture->neighbour.peer));
    /* Try names until the neighbour has its rank. */
    for (int i = 0; name[0] == '\0'; i++) {
        fixture->roster = Roster_Create(
            &(Roster_desc){.host = "self", .data_centre = "d", .region = "r"});
        g_snprintf(fixture->neighbour.host, ROSTER_NAME_BYTES, "n%d", i);
        Roster_Set(fixture->roster, &fixture->neighbour, Clock_Now());
        Roster_Rank(fixture->roster, Rng_Mix(Rng_HashString("k"), 0), FALSE,
                    Clock_Now(), order, 2);
        if (order[0].is_self == fixture->is_first) {
            g_strlcpy(name, fixture->neighbour.host, sizeof(name));
        }
        else {
            Roster_Destroy(fixture->roster);
        }
    }
    fixture->generation = ObjectGeneration_Create();
    fixture->mirror =
        Mirror_Create(&(Mirror_desc){.store = &fixture->store.functions,
                                     .generation = fixture->generation,
                                     .roster = fixture->roster,
                                     .host = "self",
                                     .client = fixture->client,
                                     .keeps_known = fixture->keeps_known});
}

static void
close_fixture(Fixture *fixture)
{
    Mirror_Destroy(fixture->mirror);
    ObjectGeneration_Destroy(fixture->generation);
    MirrorPort_Destroy(fixture->port);
    HttpClient_Destroy(fixture->client);
    Roster_Destroy(fixture->roster);
    MirrorCache_Destroy(fixture->cache);
}

static Result
watch_for(Fixture *fixture, ObjectRevision since, ClockMs wait_ms,
          ObjectPage *page)
{
    const ObjectStore *store = Mirror_AsStore(fixture->mirror);

    return store->watch(store->context, "k", since, wait_ms, page);
}

static Result
watch(Fixture *fixture, ObjectRevision since, ObjectPage *page)
{
    return watch_for(fixture, since, 50, page);
}

/* The neighbour reads generation 2 a moment later. */
static void *
confirm_restored(void *context)
{
    g_usleep(50000);
    MirrorCache_Confirm(context, Clock_Now(), (ObjectRevision){1, 9});
    MirrorCache_Confirm(context, Clock_Now(), (ObjectRevision){2, 5});
    return NULL;
}

/* Mirror port of a daemon without generations. */
static void
serve_earlier(void *context, HttpRequest *request)
{
    HttpAnswer answer = {0};

    (void)context;
    HttpAnswer_SetJson(&answer, 200,
                       g_strdup("{\"revision\":7,\"held_ms\":0,"
                                "\"age_ms\":0,\"objects\":[]}"));
    HttpRequest_Respond(request, &answer);
}

static void
check_page(const ObjectPage *page, ClockMs min_age_ms)
{
    g_assert_cmpuint(page->records->len, ==, 1);
    g_assert_cmpint(page->revision.generation, ==, 1);
    g_assert_cmpint(page->revision.number, ==, 5);
    g_assert_cmpint(page->age_ms, >=, min_age_ms);
    g_assert_cmpint(page->held_ms, <=, 60);
}

/* Guards against a follower that reads the store although its neighbour
 * answers or has what it lacks, that accepts an old state as fresh, or a proof
 * of a host which does not watch the store itself. */
static void
test_follower(void)
{
    static const struct {
        const char *what;
        gboolean direct;
        ClockMs age_ms;
        ObjectRevision since; /* of the follower */
        gboolean through_store;
    } cases[] = {
        {"fresh", TRUE, 100, {1, 2}, FALSE},
        {"old, with a change", TRUE, 5000, {1, 2}, FALSE},
        {"old, without a change", TRUE, 5000, {1, 5}, TRUE},
        {"not direct, with a change", FALSE, 100, {1, 2}, FALSE},
        {"not direct, without a change", FALSE, 100, {1, 5}, TRUE},
        {"not direct, behind the follower", FALSE, 100, {1, 6}, TRUE},
        {"not direct, and old, with a change", FALSE, 5000, {1, 2}, FALSE},
        {"before a restoration", TRUE, 100, {2, 2}, TRUE},
        {"not direct, before a restoration", FALSE, 100, {2, 2}, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {0};
        ObjectPage page;

        g_test_message("%s", cases[i].what);
        open_fixture(&fixture);
        MirrorCache_Confirm(fixture.cache, Clock_Now() - cases[i].age_ms,
                            (ObjectRevision){1, 2});
        change_in(fixture.cache, "a", (ObjectRevision){1, 3},
                  (ObjectRevision){1, 5});
        MirrorCache_Confirm(fixture.cache, Clock_Now() - cases[i].age_ms,
                            (ObjectRevision){1, 5});
        fixture.direct = cases[i].direct;
        ObjectPage_Init(&page);
        g_assert_cmpint(watch(&fixture, cases[i].since, &page), ==, RESULT_OK);
        g_assert_cmpint(fixture.store.watches, ==, cases[i].through_store);
        g_assert_cmpint(Mirror_IsDirect(fixture.mirror), ==,
                        cases[i].through_store);
        if (!cases[i].through_store) {
            check_page(&page, cases[i].age_ms);
        }
        else {
            /* The neighbour is skipped for MIRROR_AVOID_MS. */
            g_assert_cmpint(watch(&fixture, cases[i].since, &page), ==,
                            RESULT_OK);
            g_assert_cmpint(fixture.store.watches, ==, 2);
        }
        ObjectPage_Clear(&page);
        close_fixture(&fixture);
    }
}

/* Guards against a host that starts and reads the store although a neighbour
 * has a state that may be used, and against one that starts with an older one.
 */
static void
test_list_age(void)
{
    static const struct {
        const char *what;
        ClockMs age_ms;
        gboolean direct;
        gboolean through_store;
    } cases[] = {
        {"fresh", 100, TRUE, FALSE},
        {"a busy neighbour", 2000, TRUE, FALSE},
        {"too old", 3000, TRUE, TRUE},
        {"not direct", 100, FALSE, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {0};
        const ObjectStore *store;
        ObjectPage page;

        g_test_message("%s", cases[i].what);
        open_fixture(&fixture);
        store = Mirror_AsStore(fixture.mirror);
        MirrorCache_Confirm(fixture.cache, Clock_Now() - cases[i].age_ms,
                            (ObjectRevision){1, 9});
        fixture.direct = cases[i].direct;
        ObjectPage_Init(&page);
        g_assert_cmpint(store->list(store->context, "k", "", &page), ==,
                        RESULT_OK);
        g_assert_cmpint(fixture.store.lists, ==, cases[i].through_store);
        if (!cases[i].through_store) {
            g_assert_cmpint(page.age_ms, >=, cases[i].age_ms);
        }
        ObjectPage_Clear(&page);
        close_fixture(&fixture);
    }
}

/* Guards against a list that goes to the store because the neighbour has not
 * noticed a restoration yet. */
static void
test_list_after_restoration(void)
{
    Fixture fixture = {0};
    const ObjectStore *store;
    pthread_t thread;
    ObjectPage page;

    open_fixture(&fixture);
    store = Mirror_AsStore(fixture.mirror);
    MirrorCache_Confirm(fixture.cache, Clock_Now(), (ObjectRevision){1, 9});
    (void)ObjectGeneration_Note(fixture.generation, 2);
    pthread_create(&thread, NULL, confirm_restored, fixture.cache);
    ObjectPage_Init(&page);
    g_assert_cmpint(store->list(store->context, "k", "", &page), ==,
                    RESULT_OK);
    g_assert_cmpint(page.revision.generation, ==, 2);
    g_assert_cmpint(fixture.store.lists, ==, 0);
    ObjectPage_Clear(&page);
    pthread_join(thread, NULL);
    close_fixture(&fixture);
}

/* Mirror port of a host that fails after another part of the reader's daemon
 * has noticed a restoration. */
static void
fail_restored(void *context, HttpRequest *request)
{
    HttpAnswer answer = {0};

    (void)ObjectGeneration_Note(context, 2);
    HttpAnswer_SetJson(&answer, 503, g_strdup("{}"));
    HttpRequest_Respond(request, &answer);
}

/* Guards against a long watch at the store from a revision of the earlier
 * generation, begun when the watches had been ended because of a restoration.
 */
static void
test_watch_after_restoration(void)
{
    HttpServer_desc desc = {.worker_threads = 1, .handler = fail_restored};
    Fixture fixture = {0};
    HttpServer *server;
    ObjectPage page;

    open_fixture(&fixture);
    (void)ObjectGeneration_Note(fixture.generation, 1);
    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &desc.address));
    desc.context = fixture.generation;
    server = HttpServer_Create(&desc, NULL);
    fixture.neighbour.mirror_port = HttpServer_Port(server);
    Roster_Set(fixture.roster, &fixture.neighbour, Clock_Now());
    ObjectPage_Init(&page);
    g_assert_cmpint(watch(&fixture, (ObjectRevision){1, 9}, &page), ==,
                    RESULT_STORE_HISTORY_GONE);
    g_assert_cmpint(fixture.store.watches, ==, 0);
    ObjectPage_Clear(&page);
    close_fixture(&fixture);
    HttpServer_Destroy(server);
}

/* Guards against a reader that cannot read from a daemon without generations,
 * and against one that such a daemon takes back. */
static void
test_earlier_version(void)
{
    static const struct {
        int64_t generation; /* of the reader */
        gboolean through_store;
    } cases[] = {{0, FALSE}, {2, TRUE}};
    HttpServer_desc desc = {.worker_threads = 1, .handler = serve_earlier};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ObjectRevision since = {.generation = cases[i].generation,
                                .number = 2};
        Fixture fixture = {0};
        HttpServer *server;
        ObjectPage page;

        g_assert_true(HttpAddress_Parse("127.0.0.1:0", &desc.address));
        server = HttpServer_Create(&desc, NULL);
        open_fixture(&fixture);
        fixture.neighbour.mirror_port = HttpServer_Port(server);
        Roster_Set(fixture.roster, &fixture.neighbour, Clock_Now());
        ObjectPage_Init(&page);
        g_assert_cmpint(watch(&fixture, since, &page), ==, RESULT_OK);
        g_assert_cmpint(fixture.store.watches, ==, cases[i].through_store);
        if (!cases[i].through_store) {
            g_assert_cmpint(page.revision.number, ==, 7);
        }
        ObjectPage_Clear(&page);
        close_fixture(&fixture);
        HttpServer_Destroy(server);
    }
}

/* Guards against a follower that waits for a neighbour that has stopped. */
static void
test_neighbour_stopped(void)
{
    Fixture fixture = {0};
    const ObjectStore *store;
    ObjectPage page;
    ClockMs started;

    open_fixture(&fixture);
    MirrorPort_Destroy(fixture.port);
    fixture.port = NULL;
    store = Mirror_AsStore(fixture.mirror);
    started = Clock_Now();
    ObjectPage_Init(&page);
    g_assert_cmpint(store->list(store->context, "k", "", &page), ==,
                    RESULT_OK);
    g_assert_cmpint(fixture.store.lists, ==, 1);
    g_assert_cmpint(Clock_Now() - started, <, 1000);
    ObjectPage_Clear(&page);
    close_fixture(&fixture);
}

/* The second neighbour takes over a moment later. */
static void *
become_direct(void *context)
{
    Fixture *fixture = context;

    g_usleep(150000);
    MirrorCache_Confirm(fixture->cache, Clock_Now(), (ObjectRevision){1, 9});
    g_atomic_int_set(&fixture->direct, TRUE);
    return NULL;
}

/* Adds a neighbour out of reach that ranks before the one of the fixture. */
static void
add_first_neighbour(Fixture *fixture)
{
    RosterEntry first = fixture->neighbour;
    RosterPeer order[2];

    first.mirror_port = 9;
    for (int i = 0; i < 1000; i++) {
        g_snprintf(first.host, ROSTER_NAME_BYTES, "f%d", i);
        Roster_Set(fixture->roster, &first, Clock_Now());
        Roster_Rank(fixture->roster, Rng_Mix(Rng_HashString("k"), 0), FALSE,
                    Clock_Now(), order, 2);
        if (order[0].host == Rng_HashString(first.host)) {
            return;
        }
        Roster_Remove(fixture->roster, first.host);
    }
    g_assert_not_reached();
}

/* Load pattern: the host that a group reads from fails, and all others of the
 * group turn elsewhere at the same time. Guards against each of them calling
 * the store, which bills each call, in place of the one that takes over; and
 * against waiting for it without end. */
static void
test_takeover(void)
{
    static const struct {
        gboolean takes_over;
        int watches; /* calls on the store */
    } cases[] = {{TRUE, 0}, {FALSE, 1}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {0};
        ClockMs started;
        ObjectPage page;
        pthread_t thread;

        open_fixture(&fixture);
        add_first_neighbour(&fixture);
        fixture.direct = FALSE;
        started = Clock_Now();
        if (cases[i].takes_over) {
            pthread_create(&thread, NULL, become_direct, &fixture);
        }
        ObjectPage_Init(&page);
        g_assert_cmpint(
            watch_for(&fixture, (ObjectRevision){1, 9}, 800, &page), ==,
            RESULT_OK);
        ObjectPage_Clear(&page);
        g_assert_cmpint(fixture.store.watches, ==, cases[i].watches);
        g_assert_cmpint(Clock_Now() - started, <, 1500);
        if (cases[i].takes_over) {
            pthread_join(thread, NULL);
        }
        close_fixture(&fixture);
    }
}

/* Load pattern: all hosts start at once and know no neighbours yet. Guards
 * against short watches of each of them, and against long ones of a host that
 * others read from. */
static void
test_alone(void)
{
    static const struct {
        gboolean has_neighbour;
        ClockMs alone_wait_ms;
        ClockMs wait_ms; /* that the store gets */
    } cases[] = {{FALSE, 1750, 1750},
                 {FALSE, 100, 800},
                 {FALSE, 0, 800},
                 {TRUE, 1750, 800}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {0};
        Mirror_desc desc;
        ObjectPage page;
        const ObjectStore *store;

        open_fixture(&fixture);
        Mirror_Destroy(fixture.mirror);
        desc = (Mirror_desc){.store = &fixture.store.functions,
                             .generation = fixture.generation,
                             .roster = fixture.roster,
                             .host = "self",
                             .client = fixture.client,
                             .alone_wait_ms = cases[i].alone_wait_ms};
        fixture.mirror = Mirror_Create(&desc);
        if (cases[i].has_neighbour) {
            fixture.neighbour.mirror_port = 0;
            Roster_Set(fixture.roster, &fixture.neighbour, Clock_Now());
        }
        else {
            Roster_Remove(fixture.roster, fixture.neighbour.host);
        }
        store = Mirror_AsStore(fixture.mirror);
        ObjectPage_Init(&page);
        g_assert_cmpint(store->watch(store->context, "k",
                                     (ObjectRevision){1, 9}, 800, &page),
                        ==, RESULT_OK);
        ObjectPage_Clear(&page);
        g_assert_cmpint(fixture.store.wait_ms, ==, cases[i].wait_ms);
        close_fixture(&fixture);
    }
}

/* An object in a neighbour's page. */
static const struct OddObject {
    const char *object;
    gboolean has_name;
} odd_objects[] = {
    {"{\"name\":\"odd\",\"revision\":3,\"deleted\":false,\"value\":null}",
     TRUE},
    {"{\"name\":\"odd\",\"revision\":3,\"deleted\":false,\"value\":1e999}",
     TRUE},
    {"{\"name\":\"odd\",\"revision\":3,\"deleted\":false,\"value\":"
     "\"\xff\"}",
     TRUE},
    {"{\"name\":\"odd\",\"revision\":3,\"deleted\":false,\"value\":"
     "123456789012345678901}",
     TRUE},
    {"{\"name\":\"odd\",\"revision\":3,\"deleted\":true}", TRUE},
    {"{\"name\":\"odd\",\"revision\":3}", FALSE},
    {"{\"name\":\"odd\",\"revision\":-3,\"deleted\":false}", FALSE},
    {"{\"name\":\"odd\",\"revision\":1e999,\"deleted\":false}", FALSE},
    {"{\"name\":\"a/b\",\"revision\":3,\"deleted\":false}", FALSE},
    {"{\"name\":7,\"revision\":3,\"deleted\":false}", FALSE},
    {"[]", FALSE},
    {"null", FALSE},
};

/* Reads the object between two good ones. */
static void
check_odd_object(const char *object, gboolean has_name)
{
    char *body = g_strdup_printf(
        "{\"generation\":2,\"revision\":9,\"held_ms\":1,\"age_ms\":4,"
        "\"objects\":[{\"name\":\"a\",\"revision\":1,\"deleted\":false,"
        "\"value\":{}},%s,{\"name\":\"z\",\"revision\":2,\"deleted\":"
        "true,\"value\":null}]}",
        object);
    const ObjectRecord *last;
    ObjectPage page;

    ObjectPage_Init(&page);
    g_assert_true(_Mirror_ReadPage(body, strlen(body), &page));
    g_assert_cmpint(page.revision.number, ==, 9);
    g_assert_cmpint(page.revision.generation, ==, 2);
    g_assert_cmpuint(page.records->len, ==, has_name ? 3 : 2);
    g_assert_cmpuint(page.unnamed, ==, !has_name);
    last = &g_array_index(page.records, ObjectRecord, page.records->len - 1);
    g_assert_cmpstr(last->name, ==, "z");
    g_assert_true(last->deleted);
    if (has_name) {
        g_assert_null(g_array_index(page.records, ObjectRecord, 1).value);
    }
    ObjectPage_Clear(&page);
    g_free(body);
}

/* Guards against one odd object in a neighbour's page that hides the others.
 */
static void
test_odd_object(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(odd_objects); i++) {
        g_test_message("%s", odd_objects[i].object);
        check_odd_object(odd_objects[i].object, odd_objects[i].has_name);
    }
}

/* Guards against a kind that is kept in outages and unknown to a new process,
 * although a neighbour has it; against an old list of another kind, or from
 * before a restoration; and against one that replaces what is known. */
static void
test_list_in_outage(void)
{
    static const struct {
        gboolean keeps_known;
        int64_t generation; /* that the follower knows of */
        Result result;
    } cases[] = {{TRUE, 0, RESULT_OK},
                 {TRUE, 1, RESULT_OK},
                 {TRUE, 2, RESULT_STORE_UNAVAILABLE},
                 {FALSE, 0, RESULT_STORE_UNAVAILABLE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture = {.keeps_known = cases[i].keeps_known};
        const ObjectStore *store;
        ObjectPage page;

        open_fixture(&fixture);
        store = Mirror_AsStore(fixture.mirror);
        fixture.store.result = RESULT_STORE_UNAVAILABLE;
        fixture.direct = FALSE;
        (void)ObjectGeneration_Note(fixture.generation, cases[i].generation);
        change_in(fixture.cache, "a", (ObjectRevision){1, 3},
                  (ObjectRevision){1, 5});
        MirrorCache_Confirm(fixture.cache, Clock_Now() - 60000,
                            (ObjectRevision){1, 5});
        ObjectPage_Init(&page);
        g_assert_cmpint(store->list(store->context, "k", "", &page), ==,
                        cases[i].result);
        if (cases[i].result == RESULT_OK) {
            check_page(&page, 60000);
        }
        ObjectPage_Clear(&page);
        ObjectPage_Init(&page);
        g_assert_cmpint(store->list(store->context, "k", "", &page), ==,
                        RESULT_STORE_UNAVAILABLE);
        ObjectPage_Clear(&page);
        close_fixture(&fixture);
    }
}

/* Guards against a host that misses changes because it ranks first and is cut
 * off from the store alone, and against one that then stays with its
 * neighbour.
 */
static void
test_first_cut_off(void)
{
    Fixture fixture = {.keeps_known = TRUE, .is_first = TRUE};
    ObjectPage page;

    open_fixture(&fixture);
    fixture.store.result = RESULT_STORE_UNAVAILABLE;
    MirrorCache_Confirm(fixture.cache, Clock_Now(), (ObjectRevision){1, 2});
    change_in(fixture.cache, "a", (ObjectRevision){1, 3},
              (ObjectRevision){1, 5});
    MirrorCache_Confirm(fixture.cache, Clock_Now(), (ObjectRevision){1, 5});
    ObjectPage_Init(&page);
    g_assert_cmpint(watch(&fixture, (ObjectRevision){1, 2}, &page), ==,
                    RESULT_OK);
    check_page(&page, 0);
    ObjectPage_Clear(&page);
    close_fixture(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mirror/follower", test_follower);
    g_test_add_func("/mirror/list-age", test_list_age);
    g_test_add_func("/mirror/list-after-restoration",
                    test_list_after_restoration);
    g_test_add_func("/mirror/watch-after-restoration",
                    test_watch_after_restoration);
    g_test_add_func("/mirror/earlier-version", test_earlier_version);
    g_test_add_func("/mirror/neighbour-gone", test_neighbour_stopped);
    g_test_add_func("/mirror/odd-object", test_odd_object);
    g_test_add_func("/mirror/takeover", test_takeover);
    g_test_add_func("/mirror/alone", test_alone);
    g_test_add_func("/mirror/outage-list", test_list_in_outage);
    g_test_add_func("/mirror/outage-first", test_first_cut_off);
    return g_test_run();
}
