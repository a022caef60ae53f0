/* Tests of the watch and of the writer against a scripted store that is
 * restored from an older copy. */
#include <glib.h>
#include <pthread.h>
#include <urcu.h>

#include "objects/object_sync.h"
#include "objects/object_writer.h"

/* Maximum time until a thread has made its next calls. */
#define MAX_WAIT_MS 3000

typedef enum CallKind { CALL_LIST, CALL_WATCH } CallKind;

/* One answer of the store: its revision and the single object "a" in it. */
typedef struct Answer {
    CallKind call; /* the call that is expected */
    ObjectRevision revision;
    int number;         /* value of the object; 0: none in the answer */
    gboolean is_notice; /* the source is reading a change */
    int64_t since;      /* revision that a watch starts from; 0: any */
} Answer;

typedef struct Script {
    ObjectStore functions;
    pthread_mutex_t lock;
    const Answer *answers;
    size_t count;
    size_t next;
    gboolean mismatch; /* a call was not the expected one */
    int reported;      /* last reported number */
    ObjectRevision confirmed;
    unsigned confirmations;
} Script;

/* Answers as scripted, then as unavailable. */
static Result
answer(Script *script, CallKind call, int64_t since, ObjectPage *page)
{
    Result result = RESULT_STORE_UNAVAILABLE;

    pthread_mutex_lock(&script->lock);
    if (script->next < script->count) {
        const Answer *next = &script->answers[script->next++];

        script->mismatch |=
            next->call != call || (next->since > 0 && next->since != since);
        page->is_arriving = next->is_notice;
        page->revision = next->revision;
        if (next->number > 0) {
            ObjectRecord record = {.name = g_strdup("a"),
                                   .revision = next->revision,
                                   .value = json_integer(next->number)};

            g_array_append_val(page->records, record);
        }
        result = RESULT_OK;
    }
    pthread_mutex_unlock(&script->lock);
    return result;
}

static Result
list(void *context, const char *kind, const char *after, ObjectPage *page)
{
    (void)kind;
    (void)after;
    return answer(context, CALL_LIST, -1, page);
}

static Result
watch(void *context, const char *kind, ObjectRevision revision,
      ClockMs wait_ms, ObjectPage *page)
{
    (void)kind;
    (void)wait_ms;
    return answer(context, CALL_WATCH, revision.number, page);
}

static gboolean
note_change(void *context, const ObjectRecord *record, ObjectRevision revision)
{
    Script *script = context;

    (void)revision;
    pthread_mutex_lock(&script->lock);
    script->reported = (int)json_integer_value(record->value);
    pthread_mutex_unlock(&script->lock);
    return TRUE;
}

static void
note_confirmation(void *context, ClockMs as_of, ObjectRevision revision)
{
    Script *script = context;

    (void)as_of;
    pthread_mutex_lock(&script->lock);
    script->confirmed = revision;
    script->confirmations++;
    pthread_mutex_unlock(&script->lock);
}

static gboolean
has_ended(Script *script)
{
    gboolean ended;

    pthread_mutex_lock(&script->lock);
    ended = script->next == script->count;
    pthread_mutex_unlock(&script->lock);
    return ended;
}

typedef struct GenerationCase {
    const char *what;
    Answer answers[5];
    size_t count;
    int64_t newest; /* generation that another part has noticed */
    int reported;
    unsigned confirmations;
    ObjectRevision confirmed;
} GenerationCase;

static const GenerationCase generation_cases[] = {
    {"a watch is answered by the next generation",
     {{CALL_LIST, {1, 40}, 1},
      {CALL_WATCH, {2, 41}, 2},
      {CALL_LIST, {2, 41}, 3}},
     3,
     0,
     3,
     2,
     {2, 41}},
    {"an empty watch is answered by the next generation",
     {{CALL_LIST, {1, 40}, 1},
      {CALL_WATCH, {2, 38}, 0},
      {CALL_LIST, {2, 38}, 3}},
     3,
     0,
     3,
     2,
     {2, 38}},
    {"two restorations in a row",
     {{CALL_LIST, {1, 40}, 1},
      {CALL_WATCH, {2, 40}, 0},
      {CALL_LIST, {3, 39}, 3},
      {CALL_WATCH, {3, 40}, 4}},
     4,
     0,
     4,
     3,
     {3, 40}},
    {"a late answer of an earlier generation",
     {{CALL_LIST, {2, 40}, 1},
      {CALL_WATCH, {1, 60}, 2},
      {CALL_WATCH, {2, 41}, 3}},
     3,
     0,
     3,
     2,
     {2, 41}},
    {"a notice of a source that is further",
     {{CALL_LIST, {1, 40}, 1},
      {CALL_WATCH, {1, 45}, 0, TRUE},
      {CALL_WATCH, {1, 45}, 2, FALSE, 40}},
     3,
     0,
     2,
     2,
     {1, 45}},
    {"a late list of an earlier generation",
     {{CALL_LIST, {1, 60}, 1}, {CALL_LIST, {2, 40}, 2}},
     2,
     2,
     2,
     1,
     {2, 40}},
};

/* Plays the answers until the thread has used all of them. */
static void
play_case(const GenerationCase *played)
{
    Script script = {.lock = PTHREAD_MUTEX_INITIALIZER,
                     .answers = played->answers,
                     .count = played->count};
    ObjectGeneration *generation = ObjectGeneration_Create();
    ObjectSync_desc desc = {.store = &script.functions,
                            .generation = generation,
                            .kind = "k",
                            .changed = note_change,
                            .confirmed = note_confirmation,
                            .context = &script};
    ClockMs end = Clock_Now() + MAX_WAIT_MS;
    ObjectSync *sync;

    script.functions =
        (ObjectStore){.context = &script, .list = list, .watch = watch};
    (void)ObjectGeneration_Note(generation, played->newest);
    sync = ObjectSync_Start(&desc);
    while (!has_ended(&script) && Clock_Now() < end) {
        g_usleep(2000);
    }
    g_usleep(20000); /* the last answer is reported */
    ObjectSync_Stop(sync);
    g_assert_true(has_ended(&script));
    g_assert_false(script.mismatch);
    g_assert_cmpint(script.reported, ==, played->reported);
    g_assert_cmpuint(script.confirmations, ==, played->confirmations);
    g_assert_cmpint(
        ObjectRevision_Compare(script.confirmed, played->confirmed), ==, 0);
    ObjectGeneration_Destroy(generation);
}

/* Guards against a watch that goes on from a revision of an earlier
 * generation, that takes a late answer of one for new, or that confirms a
 * state with either; and against one that skips a change because a source that
 * is reading it names the revision. */
static void
test_generations(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(generation_cases); i++) {
        g_test_message("%s", generation_cases[i].what);
        play_case(&generation_cases[i]);
    }
}

/* Guards against a watch that goes on in the generation that it knows,
 * although another part of the daemon has noticed a newer one. */
static void
test_shared_generation(void)
{
    static const Answer answers[] = {{CALL_LIST, {1, 40}, 1},
                                     {CALL_LIST, {2, 38}, 2}};
    Script script = {
        .lock = PTHREAD_MUTEX_INITIALIZER, .answers = answers, .count = 1};
    ObjectGeneration *generation = ObjectGeneration_Create();
    ObjectSync_desc desc = {.store = &script.functions,
                            .generation = generation,
                            .kind = "k",
                            .changed = note_change,
                            .context = &script};
    ClockMs end = Clock_Now() + MAX_WAIT_MS;
    ObjectSync *sync;

    script.functions =
        (ObjectStore){.context = &script, .list = list, .watch = watch};
    sync = ObjectSync_Start(&desc);
    while (!has_ended(&script) && Clock_Now() < end) {
        g_usleep(2000);
    }
    (void)ObjectGeneration_Note(generation, 2);
    pthread_mutex_lock(&script.lock);
    script.count = G_N_ELEMENTS(answers);
    pthread_mutex_unlock(&script.lock);
    while (!has_ended(&script) && Clock_Now() < end) {
        g_usleep(2000);
    }
    g_usleep(20000);
    ObjectSync_Stop(sync);
    g_assert_false(script.mismatch);
    g_assert_cmpint(script.reported, ==, 2);
    ObjectGeneration_Destroy(generation);
}

/* Store of the writer: one object, its revision, and the last condition. */
typedef struct OneObject {
    ObjectStore functions;
    pthread_mutex_t lock;
    ObjectRevision revision; /* number 0: there is no object */
    int64_t next;            /* revision of the next write */
    int number;
    unsigned conflicts;
} OneObject;

static Result
put_one(void *context, const char *kind, const char *name, const json_t *value,
        ObjectRevision *revision)
{
    OneObject *object = context;
    Result result = RESULT_STORE_CONFLICT;

    (void)kind;
    (void)name;
    pthread_mutex_lock(&object->lock);
    if (revision->number == object->revision.number) {
        object->number = (int)json_integer_value(value);
        object->revision.number = object->next++;
        *revision = object->revision;
        result = RESULT_OK;
    }
    else {
        object->conflicts++;
    }
    pthread_mutex_unlock(&object->lock);
    return result;
}

static Result
get_one(void *context, const char *kind, const char *name,
        ObjectRecord *record)
{
    OneObject *object = context;

    (void)kind;
    pthread_mutex_lock(&object->lock);
    *record =
        (ObjectRecord){.name = g_strdup(name), .revision = object->revision};
    if (object->revision.number > 0) {
        record->value = json_integer(object->number);
    }
    pthread_mutex_unlock(&object->lock);
    return record->value ? RESULT_OK : RESULT_NOT_FOUND;
}

static void
expect_number(OneObject *object, int number)
{
    ClockMs end = Clock_Now() + MAX_WAIT_MS;
    int found = -1;

    while (found != number && Clock_Now() < end) {
        pthread_mutex_lock(&object->lock);
        found = object->revision.number > 0 ? object->number : 0;
        pthread_mutex_unlock(&object->lock);
        g_usleep(2000);
    }
    g_assert_cmpint(found, ==, number);
}

/* Guards against an object that the restored store lacks, or has with an older
 * value, and that is not written again since its revision went back. */
static void
test_writer(void)
{
    static const struct {
        const char *what;
        ObjectRevision restored; /* revision of the object in the copy */
        int number;              /* its value there; 0: none */
        ObjectRevision listed;   /* revision of the list */
        gboolean rewritten;
    } cases[] = {
        {"older value", {2, 30}, 1, {2, 40}, TRUE},
        {"older value under the same number", {2, 51}, 1, {2, 51}, TRUE},
        {"no object", {2, 0}, 0, {2, 40}, TRUE},
        {"state before the last write", {1, 51}, 9, {1, 50}, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        OneObject object = {
            .lock = PTHREAD_MUTEX_INITIALIZER, .revision = {1, 0}, .next = 51};
        ObjectWriter_desc desc = {
            .store = &object.functions, .kind = "k", .name = "own"};
        ObjectRecord record = {.name = (char *)"own"};
        ObjectWriter *writer;

        g_test_message("%s", cases[i].what);
        object.functions =
            (ObjectStore){.context = &object, .get = get_one, .put = put_one};
        writer = ObjectWriter_Start(&desc);
        ObjectWriter_Set(writer, json_integer(9));
        expect_number(&object, 9);
        g_usleep(20000); /* the writer has seen the answer */

        pthread_mutex_lock(&object.lock);
        object.revision = cases[i].restored;
        object.number = cases[i].number;
        object.next = 60;
        pthread_mutex_unlock(&object.lock);
        record.revision = cases[i].number > 0 && cases[i].rewritten
                              ? cases[i].restored
                              : cases[i].listed;
        record.deleted = cases[i].number == 0 || !cases[i].rewritten;
        record.value = record.deleted ? NULL : json_integer(cases[i].number);
        ObjectWriter_Observe(writer, &record);
        expect_number(&object, 9);
        g_usleep(20000);
        ObjectWriter_Stop(writer);
        g_assert_cmpint(object.revision.number, ==,
                        cases[i].rewritten ? 60 : 51);
        g_assert_cmpuint(object.conflicts, ==, 0);
        json_decref(record.value);
    }
}

/* Guards against a writer that no longer writes, since a write found that the
 * restored store lacks the object before a list did, and the next revisions
 * were below those of before. */
static void
test_writer_absent(void)
{
    OneObject object = {
        .lock = PTHREAD_MUTEX_INITIALIZER, .revision = {1, 0}, .next = 51};
    ObjectWriter_desc desc = {
        .store = &object.functions, .kind = "k", .name = "own"};
    ObjectWriter *writer;

    object.functions =
        (ObjectStore){.context = &object, .get = get_one, .put = put_one};
    writer = ObjectWriter_Start(&desc);
    ObjectWriter_Set(writer, json_integer(9));
    expect_number(&object, 9);
    g_usleep(20000); /* the writer has seen the answer */

    pthread_mutex_lock(&object.lock);
    object.revision = (ObjectRevision){.generation = 2};
    object.next = 30;
    pthread_mutex_unlock(&object.lock);
    for (int number = 10; number < 13; number++) {
        ObjectWriter_Set(writer, json_integer(number));
        expect_number(&object, number);
    }
    ObjectWriter_Stop(writer);
}

/* Guards against a list that ends before its last page, or never, and against
 * assuming an order of names that the store does not have. */
static void
test_pages(void)
{
    static const struct {
        const char *names[2]; /* NULL: none */
        gboolean more;
        const char *after;
        Result result;
        const char *next;
    } cases[] = {
        {{"b", "c"}, TRUE, "a", RESULT_OK, "c"},
        {{"b", "B"}, TRUE, "a", RESULT_OK, "B"},
        {{"b", NULL}, TRUE, "b", RESULT_STORE_UNAVAILABLE, "b"},
        {{NULL, NULL}, TRUE, "a", RESULT_STORE_UNAVAILABLE, "a"},
        {{"b", "c"}, FALSE, "a", RESULT_OK, "a"},
        {{NULL, NULL}, FALSE, "", RESULT_OK, ""},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *after = g_strdup(cases[i].after);
        gboolean more = !cases[i].more;
        ObjectPage page;

        ObjectPage_Init(&page);
        page.more = cases[i].more;
        for (int n = 0; n < 2 && cases[i].names[n] != NULL; n++) {
            ObjectRecord record = {.name = g_strdup(cases[i].names[n])};

            g_array_append_val(page.records, record);
        }
        g_assert_cmpint(ObjectPage_Advance(&page, &after, &more), ==,
                        cases[i].result);
        g_assert_cmpint(more, ==, cases[i].more);
        g_assert_cmpstr(after, ==, cases[i].next);
        ObjectPage_Clear(&page);
        g_free(after);
    }
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    g_test_add_func("/objects/generations", test_generations);
    g_test_add_func("/objects/shared-generation", test_shared_generation);
    g_test_add_func("/objects/pages", test_pages);
    g_test_add_func("/objects/writer", test_writer);
    g_test_add_func("/objects/writer-absent", test_writer_absent);
    result = g_test_run();
    rcu_unregister_thread();
    return result;
}
