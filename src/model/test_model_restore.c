/* Search of a model of a store that is restored from an older copy: a daemon
 * that reads the store, one that reads it or the first one, and an operator.
 * Revisions, caches and the configuration in force are the code's. A key that
 * is withdrawn is one that a later version lacks, so the promises about
 * versions cover it. */
#include "catalog/catalog.h"
#include "mirror/mirror_cache.h"
#include "model/search.h"
#include "objects/object_generation.h"

#define MAX_TIME 8
#define MAX_ROUNDS 5
#define NAME "main"

/* Unit of the model's time, which advances with each change of the store. It
 * is long compared with the duration of one event. */
#define TICK_MS 10000

typedef struct Page {
    uint8_t kind; /* 0: none, else a list or a watch */
    uint8_t generation;
    uint8_t number;
    uint8_t as_of;
    uint8_t version; /* 0: no change */
    uint8_t changed; /* number of the change */
} Page;

typedef struct Daemon {
    uint8_t newest; /* generation, known to the whole daemon */
    uint8_t known_generation;
    int8_t known_number;
    uint8_t version; /* in force */
    uint8_t version_generation;
    uint8_t confirmed; /* time of the last confirmation, 0: none */
    uint8_t asked;     /* generation in which the other one was asked */
    uint8_t required;  /* its answer */
    Page page;         /* answer on its way */
} Daemon;

typedef struct State {
    uint8_t now;
    uint8_t newest; /* version that the operator wrote last */
    uint8_t generation;
    Page store; /* contents of the store */
    Page copy;
    uint8_t versions[MAX_TIME + 1]; /* in the store, by time */
    uint8_t restored;               /* time of the last restoration */
    uint8_t restarts;
    Daemon daemons[2];
    uint8_t first;  /* number of the first list in the cache of the first */
    uint8_t answer; /* number of the answer with the change */
    Page cache;
} State;

/* Parts that order by the revision's number alone, as before generations. */
typedef struct Variant {
    gboolean sync;
    gboolean cache;
    gboolean catalog;
    gboolean never_asks; /* the other daemon for its version */
} Variant;

/* Bounds of a search. */
typedef struct Model {
    Variant variant;
    uint8_t versions;
    uint8_t generations;
    uint8_t restarts;
    gboolean copies; /* later than the initial state */
} Model;

enum { LIST = 1, WATCH };

enum {
    EVENT_WRITE,
    EVENT_REWRITE,
    EVENT_COPY,
    EVENT_RESTORE,
    EVENT_A_ASKS,
    EVENT_A_READS,
    EVENT_B_ASKS,
    EVENT_B_ASKS_A,
    EVENT_B_READS,
    EVENT_A_RESTARTS,
    EVENT_B_RESTARTS,
    EVENTS
};

static const char *const event_names[EVENTS] = {
    "write",  "write again", "copy",    "restore",    "A asks",    "A reads",
    "B asks", "B asks A",    "B reads", "A restarts", "B restarts"};

static const char older[] =
    "a confirmed version is not older than the store's";
static const char lacking[] =
    "a version that the store lacks is not confirmed";
static const char withdrawn[] = "a version that the other daemon has replaced "
                                "is not confirmed";
static const char back[] = "a version in force does not go back";
static const char unread[] = "the newest version reaches every reader";

static int64_t
view(gboolean by_number, uint8_t generation)
{
    return by_number ? 0 : generation;
}

static ClockMs
to_clock(ClockMs now, uint8_t time)
{
    return now - (MAX_TIME + 1 - time) * TICK_MS;
}

static MirrorCache *
load_cache(const Variant *variant, const State *state)
{
    MirrorCache *cache = MirrorCache_Create();
    const Page *page = &state->cache;
    int64_t generation = view(variant->cache, page->generation);
    ObjectRevision revision = {generation, state->first};
    ClockMs as_of = to_clock(Clock_Now(), page->as_of);
    ObjectRecord record = {.name = (char *)NAME,
                           .revision = {generation, page->changed},
                           .value = json_integer(page->version)};

    if (page->kind != 0) {
        MirrorCache_Confirm(cache, as_of, revision);
        revision.number = state->answer;
        MirrorCache_Update(cache, &record, revision);
        revision.number = page->number;
        MirrorCache_Confirm(cache, as_of, revision);
    }
    json_decref(record.value);
    return cache;
}

/* Reads the cache as a neighbour does. */
static Result
read_cache(MirrorCache *cache, ObjectRevision since, Page *page)
{
    ObjectPage read;
    Result result;

    ObjectPage_Init(&read);
    result = MirrorCache_Read(cache, since, &read);
    *page =
        (Page){.kind = since.number < 0 ? LIST : WATCH,
               .generation = read.revision.generation,
               .number = read.revision.number,
               .as_of = MAX_TIME + 1 - (read.age_ms + TICK_MS / 2) / TICK_MS};
    if (result == RESULT_OK && read.records->len > 0) {
        const ObjectRecord *record =
            &g_array_index(read.records, ObjectRecord, 0);

        gsize bytes;
        const char *text = g_bytes_get_data(record->text, &bytes);
        json_t *value = json_loadb(text, bytes, JSON_DECODE_ANY, NULL);

        page->version = json_integer_value(value);
        json_decref(value);
        page->changed = record->revision.number;
    }
    ObjectPage_Clear(&read);
    return result;
}

/* Updates the cache with a page; its new contents are found by reading. */
static void
update_cache(const Variant *variant, State *state, const Page *page)
{
    MirrorCache *cache = load_cache(variant, state);
    ObjectRevision revision = {view(variant->cache, page->generation),
                               page->number};
    ObjectRecord record = {.name = (char *)NAME,
                           .revision = {revision.generation, page->changed},
                           .value = json_integer(page->version)};
    Page part;
    int64_t number = 0;

    if (page->version != 0) {
        MirrorCache_Update(cache, &record, revision);
    }
    MirrorCache_Confirm(cache, to_clock(Clock_Now(), page->as_of), revision);
    revision.number = -1;
    (void)read_cache(cache, revision, &state->cache);
    state->cache.generation = page->generation;
    do {
        revision.number = number++;
    } while (read_cache(cache, revision, &part) != RESULT_OK);
    state->first = number - 1;
    while (part.version != 0) {
        revision.number = number++;
        (void)read_cache(cache, revision, &part);
    }
    state->answer = number - 1;
    json_decref(record.value);
    MirrorCache_Destroy(cache);
}

/* Asks the store or the first daemon; the answer is on its way then. */
static gboolean
ask(const Variant *variant, State *state, Daemon *daemon, gboolean neighbour)
{
    ObjectGeneration *generation = ObjectGeneration_Create();
    ObjectRevision known = {daemon->known_generation, daemon->known_number};
    Page *page = &daemon->page;
    Result result = RESULT_OK;
    ObjectRevision since;
    MirrorCache *cache;

    ObjectGeneration_Note(generation, daemon->newest);
    if (ObjectGeneration_NeedsList(generation, known)) {
        known = (ObjectRevision){daemon->newest, -1};
    }
    ObjectGeneration_Destroy(generation);
    since = known;
    if (neighbour) {
        cache = load_cache(variant, state);
        since.generation = view(variant->cache, since.generation);
        result = read_cache(cache, since, page);
        MirrorCache_Destroy(cache);
        page->generation = state->cache.generation;
        if (result == RESULT_STORE_UNAVAILABLE ||
            (result == RESULT_OK && page->generation < known.generation)) {
            return FALSE;
        }
    }
    else {
        *page = state->store;
        page->kind = known.number < 0 ? LIST : WATCH;
        page->generation = view(variant->sync, state->generation);
        page->as_of = state->now;
        page->version = page->changed > known.number ? page->version : 0;
        result = known.number > page->number ? RESULT_STORE_HISTORY_GONE
                                             : RESULT_OK;
    }
    if (result == RESULT_STORE_HISTORY_GONE) {
        daemon->known_number = -1;
        page->kind = 0;
    }
    return TRUE;
}

/* Publishes and confirms what a page holds. */
static const char *
publish(const Variant *variant, State *state, Daemon *daemon, const Page *page)
{
    const Daemon *other = &state->daemons[daemon == state->daemons ? 1 : 0];
    int64_t generation = view(variant->catalog, page->generation);
    CatalogTable_desc desc = {.version = daemon->version};
    Catalog *catalog = Catalog_Create();
    uint8_t before = daemon->confirmed;
    ClockMs age;

    if (daemon->version > 0) {
        Catalog_Publish(catalog, CatalogTable_Create(&desc),
                        daemon->version_generation);
        if (before > 0) {
            Catalog_Confirm(catalog, before, daemon->version_generation);
        }
    }
    desc.version = page->version;
    if (page->version > 0 &&
        Catalog_Publish(catalog, CatalogTable_Create(&desc), generation)) {
        daemon->version_generation = generation;
    }
    if (page->generation != daemon->asked) {
        daemon->asked = page->generation;
        daemon->required = page->generation > 1 ? other->version : 0;
    }
    Catalog_Confirm(catalog, page->as_of, generation);
    age = Catalog_Age(catalog, MAX_TIME);
    daemon->confirmed = age == CLOCK_NEVER ? 0 : MAX_TIME - age;
    Catalog_Require(catalog, variant->never_asks ? 0 : daemon->required);
    age = Catalog_Age(catalog, MAX_TIME);
    desc.version = Catalog_Version(catalog);
    Catalog_Destroy(catalog);
    if (desc.version < daemon->version) {
        return back;
    }
    daemon->version = desc.version;
    if (age == CLOCK_NEVER) {
        return NULL;
    }
    if (daemon->version < state->versions[daemon->confirmed]) {
        return older;
    }
    if (daemon->confirmed > before &&
        daemon->version > state->versions[daemon->confirmed]) {
        return lacking;
    }
    return daemon->confirmed >= state->restored &&
                   daemon->version < daemon->required
               ? withdrawn
               : NULL;
}

/* Handles an answer as src/objects/object_sync.c does. */
static gboolean
take_page(const Variant *variant, State *state, Daemon *daemon,
          const char **broken)
{
    ObjectGeneration *generation = ObjectGeneration_Create();
    ObjectRevision known = {daemon->known_generation, daemon->known_number};
    Page page = daemon->page;
    ObjectRevision revision = {view(variant->sync, page.generation),
                               page.number};
    Result result;

    ObjectGeneration_Note(generation, daemon->newest);
    result = ObjectGeneration_Check(generation, &known, revision);
    daemon->newest = ObjectGeneration_Newest(generation);
    ObjectGeneration_Destroy(generation);
    daemon->page = (Page){0};
    if (page.kind == LIST && result != RESULT_STORE_UNAVAILABLE) {
        known = revision;
        result = RESULT_OK;
    }
    known.number = MAX(known.number, result == RESULT_OK ? page.number : -1);
    daemon->known_generation = known.generation;
    daemon->known_number = known.number;
    if (result == RESULT_OK) {
        if (daemon == state->daemons) {
            update_cache(variant, state, &page);
        }
        *broken = publish(variant, state, daemon, &page);
    }
    return page.kind != 0;
}

static gboolean
change_store(const Model *model, State *state, unsigned event)
{
    if (state->now == MAX_TIME ||
        (event == EVENT_WRITE && state->newest == model->versions) ||
        (event == EVENT_REWRITE && state->store.version == state->newest) ||
        (event == EVENT_RESTORE && state->generation == model->generations)) {
        return FALSE;
    }
    if (event == EVENT_RESTORE) {
        state->generation++;
        state->store = state->copy;
        state->restored = state->now + 1;
    }
    else {
        state->newest += event == EVENT_WRITE;
        state->store.version = state->newest;
        state->store.changed = ++state->store.number;
    }
    state->versions[++state->now] = state->store.version;
    return TRUE;
}

static gboolean
restart(const Model *model, State *state, Daemon *daemon)
{
    *daemon = (Daemon){.known_number = -1};
    if (daemon == state->daemons) {
        state->cache = (Page){0};
        state->first = state->answer = 0;
    }
    return state->restarts++ < model->restarts;
}

static gboolean
apply(const void *context, unsigned event, void *data, const char **broken)
{
    const Model *model = context;
    State *state = data;
    Daemon *daemon =
        &state->daemons[event == EVENT_A_ASKS || event == EVENT_A_READS ||
                                event == EVENT_A_RESTARTS
                            ? 0
                            : 1];

    switch (event) {
    case EVENT_COPY:
        state->copy = state->store;
        return model->copies;
    case EVENT_A_ASKS:
    case EVENT_B_ASKS:
    case EVENT_B_ASKS_A:
        return daemon->page.kind == 0 &&
               ask(&model->variant, state, daemon, event == EVENT_B_ASKS_A);
    case EVENT_A_READS:
    case EVENT_B_READS:
        return daemon->page.kind != 0 &&
               take_page(&model->variant, state, daemon, broken);
    case EVENT_A_RESTARTS:
    case EVENT_B_RESTARTS:
        return restart(model, state, daemon);
    default:
        return change_store(model, state, event);
    }
}

static gboolean
is_settled(const State *state)
{
    const Daemon *daemons = state->daemons;

    return daemons[0].version == state->newest &&
           daemons[1].version == state->newest &&
           daemons[0].confirmed == state->now &&
           daemons[1].confirmed == state->now;
}

/* Whether the newest version is in force and confirmed everywhere once the
 * store has not changed for some calls, the second daemon's by the first. */
static const char *
check(const void *context, const void *data)
{
    State state = *(const State *)data;
    const char *broken = NULL;

    if (state.store.version < state.newest) {
        return NULL;
    }
    for (int round = 0; round < MAX_ROUNDS; round++) {
        if (is_settled(&state)) {
            return broken;
        }
        for (unsigned event = EVENT_A_ASKS; event <= EVENT_B_READS; event++) {
            (void)(event != EVENT_B_ASKS &&
                   apply(context, event, &state, &broken));
        }
    }
    return unread;
}

static void
search(const Model *model, const char *broken, const char *order)
{
    static const Page first = {.number = 1, .version = 1, .changed = 1};
    State initial = {.now = 1,
                     .newest = 1,
                     .generation = 1,
                     .store = first,
                     .copy = first,
                     .versions = {1, 1},
                     .daemons = {{.known_number = -1}, {.known_number = -1}}};
    Search_desc desc = {.context = model,
                        .initial = &initial,
                        .state_bytes = sizeof(initial),
                        .events = event_names,
                        .event_count = EVENTS,
                        .apply = apply,
                        .check =
                            broken == NULL || broken == unread ? check : NULL};

    Search_Run(&desc, broken, order);
}

/* Guards against an order of restorations, late answers and restarts in which
 * an older version is in force or confirmed, or the newest one is missed. */
static void
test_holds(void)
{
    static const Model models[] = {
        {.versions = 3, .generations = 2},
        {.versions = 2, .generations = 2, .restarts = 1, .copies = TRUE},
        {.versions = 2, .generations = 3},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
        search(&models[i], NULL, NULL);
    }
}

/* Guards against a model that does not see the faults that it is for. The
 * first two cases are the code before generations, the others one part of it
 * each. */
static void
test_refutes(void)
{
    static const struct {
        Variant variant;
        const char *broken;
        const char *order;
    } cases[] = {
        {{TRUE, TRUE, TRUE, TRUE}, unread, "write; A asks; restore; write"},
        {{TRUE, TRUE, TRUE, TRUE},
         older,
         "write; A asks; restore; write; A reads; A asks; A reads"},
        {{.sync = TRUE},
         older,
         "write; A asks; restore; write; A reads; A asks; A reads"},
        {{.cache = TRUE}, unread, "write; A asks; restore; write"},
        {{.cache = TRUE},
         lacking,
         "write; A asks; restore; A reads; A asks; A asks; A reads; B asks A; "
         "B reads"},
        {{.catalog = TRUE},
         lacking,
         "write; A asks; restore; A reads; A asks; A asks; A reads"},
        {{.never_asks = TRUE},
         withdrawn,
         "write; A asks; restore; A reads; B asks; B reads"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Model model = {.variant = cases[i].variant,
                       .versions = 3,
                       .generations = 2,
                       .restarts = 1};

        search(&model, cases[i].broken, cases[i].order);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/model/restore/holds", test_holds);
    g_test_add_func("/model/restore/refutes", test_refutes);
    return g_test_run();
}
