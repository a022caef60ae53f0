/* Tests of answers that take long because they are large or the link is slow.
 */
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/rng.h"
#include "http/http_message.h"
#include "mirror/mirror.h"
#include "mirror/mirror_port.h"
#include "mirror/mirror_spread.h"
#include "pack/pack.h"

#define HEAD                                                         \
    "{\"generation\":1,\"revision\":5,\"held_ms\":0,\"age_ms\":0,"   \
    "\"objects\":[{\"name\":\"a\",\"revision\":5,\"deleted\":false," \
    "\"value\":\""
#define TAIL "\"}]}"

/* A neighbour that sends one answer piece by piece. */
typedef struct Neighbour {
    int listener;
    struct sockaddr_in address;
    pthread_t thread;
    size_t body_bytes;
    size_t piece_bytes;
    int pause_ms;      /* after each piece */
    size_t sent_limit; /* falls silent after these bytes; 0: never */
    atomic_bool stopping;
} Neighbour;

static GString *
make_answer(const Neighbour *neighbour)
{
    GString *text = g_string_new(NULL);
    size_t filler = neighbour->body_bytes - strlen(HEAD) - strlen(TAIL);

    g_string_append_printf(text,
                           "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                           "Content-Length: %zu\r\n\r\n",
                           neighbour->body_bytes);
    g_string_append(text, HEAD);
    for (size_t i = 0; i < filler; i++) {
        g_string_append_c(text, 'x');
    }
    g_string_append(text, TAIL);
    return text;
}

static void *
serve(void *context)
{
    Neighbour *neighbour = context;
    GString *answer = make_answer(neighbour);
    size_t limit = neighbour->sent_limit ? neighbour->sent_limit : answer->len;
    char buffer[2000];
    int fd;

    while (!atomic_load(&neighbour->stopping)) {
        fd = accept(neighbour->listener, NULL, NULL);
        if (fd < 0) {
            break;
        }
        (void)!recv(fd, buffer, sizeof(buffer), 0);
        for (size_t sent = 0;
             sent < limit && !atomic_load(&neighbour->stopping);
             sent += neighbour->piece_bytes) {
            if (send(fd, answer->str + sent,
                     MIN(neighbour->piece_bytes, limit - sent),
                     MSG_NOSIGNAL) < 0) {
                break;
            }
            g_usleep((gulong)neighbour->pause_ms * 1000);
        }
        /* Until the reader closes the connection. */
        (void)!recv(fd, buffer, sizeof(buffer), 0);
        close(fd);
    }
    g_string_free(answer, TRUE);
    return NULL;
}

static void
start_neighbour(Neighbour *neighbour)
{
    socklen_t bytes = sizeof(neighbour->address);

    neighbour->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &neighbour->address));
    g_assert_cmpint(bind(neighbour->listener,
                         (struct sockaddr *)&neighbour->address, bytes),
                    ==, 0);
    g_assert_cmpint(listen(neighbour->listener, 4), ==, 0);
    getsockname(neighbour->listener, (struct sockaddr *)&neighbour->address,
                &bytes);
    pthread_create(&neighbour->thread, NULL, serve, neighbour);
}

static void
stop_neighbour(Neighbour *neighbour)
{
    atomic_store(&neighbour->stopping, TRUE);
    shutdown(neighbour->listener, SHUT_RDWR);
    pthread_join(neighbour->thread, NULL);
    close(neighbour->listener);
}

static Result
watch_store(void *context, const char *kind, ObjectRevision revision,
            ClockMs wait_ms, ObjectPage *page)
{
    (void)kind;
    (void)wait_ms;
    ++*(int *)context;
    page->revision = revision;
    return RESULT_OK;
}

static Result
list_store(void *context, const char *kind, const char *after,
           ObjectPage *page)
{
    (void)kind;
    (void)after;
    ++*(int *)context;
    page->revision = (ObjectRevision){1, 9};
    return RESULT_OK;
}

/* Returns a roster in which the neighbour ranks before this host. */
static Roster *
make_roster(const struct sockaddr_in *address)
{
    RosterEntry entry = {.instance = "i",
                         .service = "s",
                         .data_centre = "d",
                         .region = "r",
                         .slots = 1,
                         .rpc_port = 1,
                         .mirror_port = ntohs(address->sin_port)};
    RosterPeer order[2];

    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &entry.peer));
    for (int i = 0;; i++) {
        Roster *roster = Roster_Create(
            &(Roster_desc){.host = "self", .data_centre = "d", .region = "r"});

        g_snprintf(entry.host, ROSTER_NAME_BYTES, "n%d", i);
        Roster_Set(roster, &entry, Clock_Now());
        Roster_Rank(roster, Rng_Mix(Rng_HashString("k"), 0), FALSE,
                    Clock_Now(), order, 2);
        if (!order[0].is_self) {
            return roster;
        }
        Roster_Destroy(roster);
    }
}

/* Guards against an answer that is dropped and read again from its first byte
 * because the whole of it took longer than the timeout, and against a reader
 * that waits for a neighbour that sends nothing more. */
static void
test_transfer(void)
{
    static const struct {
        const char *what;
        size_t body_bytes;
        size_t piece_bytes;
        int pause_ms;
        size_t sent_limit;
        gboolean is_read; /* from the neighbour */
        ClockMs limit_ms;
    } cases[] = {
        {"small and at once", 200, 1000, 0, 0, TRUE, 1000},
        {"large over a slow link", 300000, 10000, 40, 0, TRUE, 5000},
        {"large over a very slow link", 60000, 1500, 60, 0, TRUE, 8000},
        {"silent in the middle", 300000, 10000, 1, 100000, FALSE, 2000},
        {"one byte at a time", 300000, 1, 20, 0, FALSE, 2000},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Neighbour neighbour = {.body_bytes = cases[i].body_bytes,
                               .piece_bytes = cases[i].piece_bytes,
                               .pause_ms = cases[i].pause_ms,
                               .sent_limit = cases[i].sent_limit};
        int watches = 0;
        ObjectStore store = {.context = &watches, .watch = watch_store};
        ObjectGeneration *generation = ObjectGeneration_Create();
        HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
        ClockMs started = Clock_Now();
        const ObjectStore *functions;
        Roster *roster;
        Mirror *mirror;
        ObjectPage page;

        g_test_message("%s", cases[i].what);
        start_neighbour(&neighbour);
        roster = make_roster(&neighbour.address);
        mirror = Mirror_Create(&(Mirror_desc){.store = &store,
                                              .generation = generation,
                                              .roster = roster,
                                              .host = "self",
                                              .client = client});
        functions = Mirror_AsStore(mirror);
        ObjectPage_Init(&page);
        g_assert_cmpint(functions->watch(functions->context, "k",
                                         (ObjectRevision){1, 2}, 50, &page),
                        ==, RESULT_OK);
        g_assert_cmpint(watches, ==, !cases[i].is_read);
        g_assert_cmpuint(page.records->len, ==, cases[i].is_read);
        g_assert_cmpint(Clock_Now() - started, <, cases[i].limit_ms);
        ObjectPage_Clear(&page);
        Mirror_Destroy(mirror);
        stop_neighbour(&neighbour);
        HttpClient_Destroy(client);
        Roster_Destroy(roster);
        ObjectGeneration_Destroy(generation);
    }
}

/* Guards against a list that takes a host back to a state before the one that
 * it has, because it reads from a neighbour that is behind. */
static void
test_list_behind(void)
{
    static const struct {
        const char *what;
        ObjectRevision reached; /* by this host; the neighbour has {1, 5} */
        int lists;              /* at the store */
    } cases[] = {
        {"nothing read yet", {1, 0}, 0},
        {"as far", {1, 5}, 0},
        {"further", {1, 6}, 1},
        {"as far, in an earlier generation", {0, 6}, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Neighbour neighbour = {.body_bytes = 200, .piece_bytes = 1000};
        int calls = 0;
        ObjectStore store = {
            .context = &calls, .watch = watch_store, .list = list_store};
        ObjectGeneration *generation = ObjectGeneration_Create();
        HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
        const ObjectStore *functions;
        Roster *roster;
        Mirror *mirror;
        ObjectPage page;

        g_test_message("%s", cases[i].what);
        start_neighbour(&neighbour);
        roster = make_roster(&neighbour.address);
        mirror = Mirror_Create(&(Mirror_desc){.store = &store,
                                              .generation = generation,
                                              .roster = roster,
                                              .host = "self",
                                              .client = client});
        functions = Mirror_AsStore(mirror);
        _Mirror_NoteReached(mirror, cases[i].reached);
        ObjectPage_Init(&page);
        g_assert_cmpint(functions->list(functions->context, "k", "", &page),
                        ==, RESULT_OK);
        g_assert_cmpint(calls, ==, cases[i].lists);
        g_assert_cmpint(page.revision.number, ==, cases[i].lists == 0 ? 5 : 9);
        ObjectPage_Clear(&page);
        Mirror_Destroy(mirror);
        stop_neighbour(&neighbour);
        HttpClient_Destroy(client);
        Roster_Destroy(roster);
        ObjectGeneration_Destroy(generation);
    }
}

/* Returns the value "v" of each object of the answer, in the order of names.
 */
static char *
describe_answer(const HttpAnswer *answer)
{
    const char *encoding =
        HttpHeaders_Get(&answer->headers, "Content-Encoding");
    GString *text = g_string_new(encoding ? encoding : "plain");
    MemoryBuffer body;
    ObjectPage page;

    ObjectPage_Init(&page);
    MemoryBuffer_Init(&body, Memory_Control(), MEMORY_ANSWERS_READ, 1);
    if (encoding != NULL) {
        g_assert_cmpint(
            Pack_Decompress(answer->body, answer->body_bytes, 1 << 20, &body),
            ==, RESULT_OK);
        g_assert_true(_Mirror_ReadPage(body.bytes, body.length, &page));
    }
    else {
        g_assert_true(
            _Mirror_ReadPage(answer->body, answer->body_bytes, &page));
    }
    for (int name = 'a'; name <= 'c'; name++) {
        for (guint i = 0; i < page.records->len; i++) {
            const ObjectRecord *record =
                &g_array_index(page.records, ObjectRecord, i);
            json_t *value = json_object_get(record->value, "v");

            if (record->name[0] == name) {
                g_string_append_printf(text, " %c%d:%zu", name,
                                       (int)record->revision.number,
                                       strlen(json_string_value(value)));
            }
        }
    }
    ObjectPage_Clear(&page);
    MemoryBuffer_Clear(&body);
    return g_string_free(text, FALSE);
}

static gboolean
is_always_direct(void *context)
{
    (void)context;
    return TRUE;
}

/* Guards against an answer that a daemon of an earlier version cannot read,
 * also when more of them read a large change than a host serves, and against
 * one that differs by how it is sent. */
static void
test_packed(void)
{
    static const struct {
        const char *accepted;
        int64_t since;
        const char *answer;
    } cases[] = {
        {NULL, 0, "plain a1:5000 b2:3 c3:9000"},
        {"zstd", 0, "zstd a1:5000 b2:3 c3:9000"},
        {"gzip", 0, "plain a1:5000 b2:3 c3:9000"},
        {"zstd", 1, "zstd b2:3 c3:9000"},
    };
    static const size_t sizes[] = {5000, 3, 9000};
    MirrorCache *cache = MirrorCache_Create();
    MirrorKind kind = {.kind = "k",
                       .cache = cache,
                       .max_age_ms = 60000,
                       .is_direct = is_always_direct};
    MirrorPort_desc desc = {.threads = 1, .kinds = &kind, .kind_count = 1};
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    MirrorPort *port;

    MirrorCache_Confirm(cache, Clock_Now(), (ObjectRevision){0});
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        char name[] = {(char)('a' + i), '\0'};
        char *text = g_strnfill(sizes[i], 'x');
        ObjectRecord record = {.name = name,
                               .revision.number = (int64_t)i + 1,
                               .value = json_pack("{s:s}", "v", text)};

        MirrorCache_Update(cache, &record,
                           (ObjectRevision){.number = (int64_t)i + 1});
        json_decref(record.value);
        g_free(text);
    }
    MirrorCache_Confirm(cache, Clock_Now(), (ObjectRevision){.number = 3});
    g_assert_true(HttpAddress_Parse("127.0.0.1:0", &desc.address));
    port = MirrorPort_Create(&desc, NULL);
    for (size_t call_count = 0; call_count < 2 * MIRROR_FANOUT; call_count++) {
        size_t i = call_count % G_N_ELEMENTS(cases);
        char *target =
            g_strdup_printf(MIRROR_PATH "k?generation=0&since=%d&wait_ms=10",
                            (int)cases[i].since);
        HttpHeaders headers = {0};
        HttpCall call = {.address = desc.address,
                         .method = "GET",
                         .target = target,
                         .headers = &headers,
                         .deadline = Clock_Now() + 5000};
        HttpAnswer answer = {0};
        char *found;
        gboolean sent;

        call.address.sin_port = htons(MirrorPort_Port(port));
        if (cases[i].accepted != NULL) {
            HttpHeaders_Add(&headers, "Accept-Encoding", cases[i].accepted);
        }
        g_assert_cmpint(HttpClient_Call(client, &call, &answer, &sent), ==,
                        RESULT_OK);
        found = describe_answer(&answer);
        g_assert_cmpstr(found, ==, cases[i].answer);
        g_free(found);
        HttpAnswer_Clear(&answer);
        HttpHeaders_Clear(&headers);
        g_free(target);
    }
    HttpClient_Destroy(client);
    MirrorPort_Destroy(port);
    MirrorCache_Destroy(cache);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mirror/large", test_transfer);
    g_test_add_func("/mirror/list-behind", test_list_behind);
    g_test_add_func("/mirror/packed", test_packed);
    return g_test_run();
}
