/* Randomised run of issuances over hosts that crash, pause and hand over.
 *
 * Messages are delayed, lost, sent twice and sent again much later; hosts have
 * clocks of their own, are paused with a time already read, crash, and hand
 * their tables over. Each of 20 seeds runs 3,000 issuances.
 *
 * Beside each table stands one that gets the same requests without the check
 * of the incarnation and of the highest serial. It measures how many messages
 * of an old incarnation the check refuses that would be accepted else.
 */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "issue/run_rpc.h"

#define HOSTS 4
#define ISSUANCES 3000
#define ISSUANCE_MS 200 /* between two issuances: 5/s */
#define VALIDITY_MS 30000
#define KEEP_MS 2000
#define MAX_EVENTS 200000

typedef enum Kind {
    KIND_REQUEST,
    KIND_SEND, /* the owner sends to the backend server */
    KIND_END,  /* the owner learns how the run ended */
    KIND_VOID,
    KIND_EXPIRE,
    KIND_CRASH,
    KIND_DRAIN,
    KIND_HAND_OVER,
    KIND_PAUSE
} Kind;

typedef struct Event {
    ClockMs at;
    uint64_t order;
    Kind kind;
    int issuance;
    int host;
    int process; /* events inside a process end with it */
    PoolHandle handle;
    ClockMs read_at; /* host clock read before a pause, or CLOCK_NEVER */
} Event;

typedef struct Issuance {
    RunToken token;
    int host;
    int executions;
    int open; /* begun, and not known to the owner how it ended */
    gboolean is_denied;
} Issuance;

typedef struct Host {
    RunTable *table;
    RunTable *unchecked;
    int process;
    ClockMs clock_offset;
    ClockMs paused_until;
} Host;

typedef struct World {
    Rng rng;
    ClockMs now;
    uint64_t order;
    Host hosts[HOSTS];
    Issuance issuances[ISSUANCES];
    int minted;
    GTree *events;
    /* Successor of a process: host * 1000 + process -> host + 1. */
    GHashTable *successors;
    uint64_t presented;
    uint64_t executed;
    uint64_t answered;
    uint64_t denied;
    uint64_t unknown;
    uint64_t old_messages;
    uint64_t old_run;            /* with the check */
    uint64_t unchecked_run;      /* without it */
    uint64_t unchecked_answered; /* without it, by another token's answer */
    uint64_t unchecked_minted;   /* of both, serials minted again */
    uint64_t crashes;
    uint64_t hand_overs;
    uint64_t pauses;
} World;

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer context)
{
    const Event *left = a;
    const Event *right = b;

    (void)context;
    if (left->at != right->at) {
        return left->at < right->at ? -1 : 1;
    }
    return left->order < right->order ? -1 : left->order > right->order;
}

static void
add_event(World *world, ClockMs delay, Event event)
{
    Event *copy = g_memdup2(&event, sizeof(event));

    copy->at = world->now + delay;
    copy->order = world->order++;
    g_tree_insert(world->events, copy, copy);
}

static ClockMs
host_clock(const World *world, int host)
{
    return world->now + world->hosts[host].clock_offset;
}

static RunTable *
create_table(int host, int process)
{
    return RunTable_Create(
        &(RunTable_desc){.owner = (uint64_t)host + 1,
                         .incarnation = (uint64_t)process + 1,
                         .max_runs = 8192,
                         .max_answer_bytes = 1024,
                         .validity_ms = VALIDITY_MS,
                         .keep_ms = KEEP_MS});
}

static gboolean
chance(World *world, unsigned percent)
{
    return Rng_Below(&world->rng, 100) < percent;
}

/* Mostly short, at times longer than the validity. */
static ClockMs
message_delay(World *world)
{
    if (chance(world, 4)) {
        return (ClockMs)Rng_Below(&world->rng, 2 * VALIDITY_MS);
    }
    return (ClockMs)Rng_Below(&world->rng, chance(world, 30) ? 2000 : 60);
}

static void
execute(World *world, Issuance *issuance)
{
    issuance->executions++;
    world->executed++;
    g_assert_cmpint(issuance->executions, ==, 1);
    g_assert_false(issuance->is_denied);
}

static void
deny(World *world, Issuance *issuance)
{
    issuance->is_denied = TRUE;
    world->denied++;
    g_assert_cmpint(issuance->executions, ==, 0);
    g_assert_cmpint(issuance->open, ==, 0);
}

static RunAnswer *
create_answer(int issuance, RunState run)
{
    char body[32];

    g_snprintf(body, sizeof(body), "answer of %d", issuance);
    return RunAnswer_Create(&(RunAnswer_desc){
        .status = 200,
        .result = run == RUN_YES ? RESULT_OK : RESULT_OUTCOME_UNKNOWN,
        .run = run,
        .body = body,
        .body_bytes = strlen(body)});
}

static gboolean
is_answer_of(const RunAnswer *answer, int issuance)
{
    const RunAnswer_desc *view = RunAnswer_Get(answer);
    char body[32];

    g_snprintf(body, sizeof(body), "answer of %d", issuance);
    return view->body_bytes == strlen(body) &&
           memcmp(view->body, body, view->body_bytes) == 0;
}

/* What the table without the check would have done. */
static void
present_unchecked(World *world, const Event *event, ClockMs now)
{
    const Host *host = &world->hosts[event->host];
    RunToken token = world->issuances[event->issuance].token;
    gboolean is_old = token.incarnation != (uint64_t)host->process + 1;
    RunTableStats stats;
    RunBegin found;
    uint64_t accepted = world->unchecked_run + world->unchecked_answered;

    if (token.owner != (uint64_t)event->host + 1) {
        return;
    }
    RunTable_GetStats(host->table, &stats);
    token.incarnation = (uint64_t)host->process + 1;
    found =
        RunTable_Begin(host->unchecked, &token, token.team, token.route, now);
    if (found.action == RUN_EXECUTE) {
        RunAnswer *answer = create_answer(event->issuance, RUN_YES);

        RunTable_Finish(host->unchecked, found.handle, answer, now);
        RunAnswer_Unref(answer);
        world->unchecked_run += is_old;
    }
    else if (found.action == RUN_ANSWER) {
        world->unchecked_answered +=
            is_old && !is_answer_of(found.answer, event->issuance);
        RunAnswer_Unref(found.answer);
    }
    if (token.serial <= stats.last_serial) {
        world->unchecked_minted +=
            world->unchecked_run + world->unchecked_answered - accepted;
    }
}

static void
begin_run(World *world, const Event *event, PoolHandle handle)
{
    Issuance *issuance = &world->issuances[event->issuance];
    Event next = {.kind = KIND_SEND,
                  .issuance = event->issuance,
                  .host = event->host,
                  .process = world->hosts[event->host].process,
                  .handle = handle};

    g_assert_false(issuance->is_denied);
    g_assert_cmpint(event->host, ==, issuance->host);
    issuance->open++;
    add_event(world, (ClockMs)Rng_Below(&world->rng, 5), next);
}

static void
do_request(World *world, const Event *event)
{
    Host *host = &world->hosts[event->host];
    Issuance *issuance = &world->issuances[event->issuance];
    const RunToken *token = &issuance->token;
    ClockMs now = event->read_at != CLOCK_NEVER
                      ? event->read_at
                      : host_clock(world, event->host);
    gboolean is_old = token->owner == (uint64_t)event->host + 1 &&
                      token->incarnation != (uint64_t)host->process + 1;
    RunBegin found;

    world->presented++;
    world->old_messages += is_old;
    present_unchecked(world, event, now);
    found = RunTable_Begin(host->table, token, token->team, token->route, now);
    if (found.action == RUN_EXECUTE) {
        world->old_run += is_old;
        begin_run(world, event, found.handle);
    }
    else if (found.action == RUN_ANSWER) {
        world->answered++;
        g_assert_true(is_answer_of(found.answer, event->issuance));
        g_assert_true(found.run != RUN_YES || issuance->executions == 1);
        RunAnswer_Unref(found.answer);
    }
    else if (found.action == RUN_REFUSE && found.run == RUN_NO) {
        g_assert_cmpint(found.result, !=, RESULT_FULL);
        deny(world, issuance);
    }
    else {
        world->unknown++;
    }
}

static void
do_send(World *world, const Event *event)
{
    Issuance *issuance = &world->issuances[event->issuance];
    Event next = *event;

    if (chance(world, 8)) {
        RunTable_Abort(world->hosts[event->host].table, event->handle,
                       host_clock(world, event->host));
        issuance->open--;
        deny(world, issuance);
        return;
    }
    execute(world, issuance);
    next.kind = KIND_END;
    add_event(world, 1 + (ClockMs)Rng_Below(&world->rng, 200), next);
}

static void
do_end(World *world, const Event *event)
{
    RunAnswer *answer = create_answer(
        event->issuance, chance(world, 5) ? RUN_UNKNOWN : RUN_YES);

    world->issuances[event->issuance].open--;
    g_assert_cmpint(RunTable_Finish(world->hosts[event->host].table,
                                    event->handle, answer,
                                    host_clock(world, event->host)),
                    ==, RESULT_OK);
    RunAnswer_Unref(answer);
}

/* The question passes through the RPC bodies. */
static void
do_void(World *world, const Event *event)
{
    Issuance *issuance = &world->issuances[event->issuance];
    GByteArray *body = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();
    RunTokenState state;

    RunRpc_EncodeState(&issuance->token, body);
    g_assert_cmpint(RunRpc_ServeState(world->hosts[event->host].table,
                                      body->data, body->len,
                                      host_clock(world, event->host), reply),
                    ==, RESULT_OK);
    g_assert_cmpint(RunRpc_DecodeState(reply->data, reply->len, &state), ==,
                    RESULT_OK);
    if (state == RUN_TOKEN_VOID) {
        deny(world, issuance);
    }
    else if (state == RUN_TOKEN_DONE) {
        g_assert_cmpint(issuance->executions, ==, 1);
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
}

static void
start_process(World *world, int index)
{
    Host *host = &world->hosts[index];
    RunToken other;

    host->process++;
    host->table = create_table(index, host->process);
    host->unchecked = create_table(index, host->process);
    RunTable_Mint(host->unchecked, 0, 0, ISSUANCES, host_clock(world, index),
                  &other);
}

static void
end_process(World *world, int index)
{
    Host *host = &world->hosts[index];

    /* Runs of this process that were not sent are never sent. */
    for (int i = 0; i < world->minted; i++) {
        Issuance *issuance = &world->issuances[i];

        if (issuance->host == index &&
            issuance->token.incarnation == (uint64_t)host->process + 1) {
            issuance->open = 0;
        }
    }
    RunTable_Destroy(host->table);
    RunTable_Destroy(host->unchecked);
}

static void
do_hand_over(World *world, const Event *event)
{
    Host *host = &world->hosts[event->host];
    int successor =
        (event->host + 1 + (int)Rng_Below(&world->rng, HOSTS - 1)) % HOSTS;
    GPtrArray *chunks =
        RunTable_HandOver(host->table, 2048, host_clock(world, event->host));

    for (guint i = 0; i < chunks->len; i++) {
        gsize bytes;
        gconstpointer data = g_bytes_get_data(chunks->pdata[i], &bytes);
        Result result = RunTable_Adopt(world->hosts[successor].table, data,
                                       bytes, host_clock(world, successor));

        g_assert_true(result == RESULT_OK || result == RESULT_SHUTTING_DOWN);
    }
    g_ptr_array_unref(chunks);
    g_hash_table_insert(
        world->successors,
        GINT_TO_POINTER(event->host * 1000 + host->process + 1),
        GINT_TO_POINTER(successor + 1));
    world->hand_overs++;
    end_process(world, event->host);
    start_process(world, event->host);
}

/* Host to which an entry sends a token: a successor of the owner if one took
 * over, else the owner's host. */
static int
find_host(World *world, const Issuance *issuance)
{
    gpointer successor = g_hash_table_lookup(
        world->successors, GINT_TO_POINTER(issuance->host * 1000 +
                                           (int)issuance->token.incarnation));

    if (successor != NULL && chance(world, 80)) {
        return GPOINTER_TO_INT(successor) - 1;
    }
    return issuance->host;
}

static void
do_event(World *world, Event *event)
{
    Host *host;

    if (event->host < 0) {
        event->host = find_host(world, &world->issuances[event->issuance]);
    }
    host = &world->hosts[event->host];
    if (event->process != 0 && event->process != host->process) {
        return;
    }
    if (host->paused_until > world->now) {
        /* One message in four was read, with its time, before the pause. */
        if (event->kind == KIND_REQUEST && event->read_at == CLOCK_NEVER &&
            chance(world, 25)) {
            event->read_at = host_clock(world, event->host);
        }
        add_event(world, host->paused_until - world->now, *event);
        return;
    }
    switch (event->kind) {
    case KIND_REQUEST:
        do_request(world, event);
        break;
    case KIND_SEND:
        do_send(world, event);
        break;
    case KIND_END:
        do_end(world, event);
        break;
    case KIND_VOID:
        do_void(world, event);
        break;
    case KIND_EXPIRE:
        RunTable_Expire(host->table, host_clock(world, event->host));
        RunTable_Expire(host->unchecked, host_clock(world, event->host));
        break;
    case KIND_CRASH:
        world->crashes++;
        end_process(world, event->host);
        start_process(world, event->host);
        break;
    case KIND_DRAIN:
        RunTable_Drain(host->table);
        break;
    case KIND_HAND_OVER:
        do_hand_over(world, event);
        break;
    default:
        world->pauses++;
        host->paused_until =
            world->now + (ClockMs)Rng_Below(&world->rng, chance(world, 20)
                                                             ? 2 * VALIDITY_MS
                                                             : 2000);
        break;
    }
}

/* One caller: mints a token, sends copies and asks for the state. */
static void
issue(World *world, int index)
{
    Issuance *issuance = &world->issuances[index];
    Event event = {.issuance = index, .host = -1, .read_at = CLOCK_NEVER};
    Host *host;

    issuance->host = (int)Rng_Below(&world->rng, HOSTS);
    host = &world->hosts[issuance->host];
    world->minted = index + 1;
    if (RunTable_Mint(host->table, Rng_Below(&world->rng, 8), 3, 1,
                      host_clock(world, issuance->host),
                      &issuance->token) != RESULT_OK) {
        /* Draining: presented as a token that was never minted. */
        issuance->token = (RunToken){.owner = (uint64_t)issuance->host + 1};
        return;
    }
    if (!chance(world, 5)) {
        add_event(world, message_delay(world), event);
    }
    while (chance(world, 40)) {
        add_event(world, message_delay(world), event);
    }
    if (chance(world, 15)) {
        event.kind = KIND_VOID;
        add_event(world, message_delay(world), event);
    }
}

static void
disturb(World *world)
{
    int host = (int)Rng_Below(&world->rng, HOSTS);
    Event event = {.host = host};

    switch (Rng_Below(&world->rng, 40)) {
    case 0:
        event.kind = KIND_CRASH;
        add_event(world, 0, event);
        break;
    case 1:
        event.kind = KIND_DRAIN;
        event.process = world->hosts[host].process;
        add_event(world, 0, event);
        event.kind = KIND_HAND_OVER;
        /* Short waits leave runs open, long ones do not. */
        add_event(world, (ClockMs)Rng_Below(&world->rng, 500), event);
        break;
    case 2:
        event.kind = KIND_PAUSE;
        add_event(world, 0, event);
        break;
    default:
        event.kind = KIND_EXPIRE;
        add_event(world, 0, event);
        break;
    }
}

static void
run_world(World *world)
{
    int handled = 0;
    int issued = 0;

    while (issued < ISSUANCES || g_tree_nnodes(world->events) > 0) {
        GTreeNode *first = g_tree_node_first(world->events);
        Event *event = first != NULL ? g_tree_node_value(first) : NULL;
        ClockMs next_issuance = (ClockMs)issued * ISSUANCE_MS;

        if (issued < ISSUANCES &&
            (event == NULL || event->at > next_issuance)) {
            world->now = next_issuance;
            if (issued % 3 == 0) {
                disturb(world);
            }
            issue(world, issued++);
            continue;
        }
        g_tree_steal(world->events, event);
        world->now = event->at;
        do_event(world, event);
        g_free(event);
        g_assert_cmpint(++handled, <, MAX_EVENTS);
    }
}

/* Guards against histories that are longer than the exhaustive ones, with
 * several hosts and clocks. */
static void
test_random(gconstpointer data)
{
    World *world = g_new0(World, 1);

    Rng_Seed(&world->rng, (uint64_t)GPOINTER_TO_INT(data));
    world->events = g_tree_new_full(compare_events, NULL, NULL, NULL);
    world->successors = g_hash_table_new(NULL, NULL);
    for (int i = 0; i < HOSTS; i++) {
        world->hosts[i].clock_offset =
            (ClockMs)Rng_Below(&world->rng, 100000000);
        start_process(world, i);
    }
    run_world(world);
    g_test_message(
        "seed %d: %d issuances, %" G_GUINT64_FORMAT
        " presented, %" G_GUINT64_FORMAT " runs, %" G_GUINT64_FORMAT
        " repeated answers, %" G_GUINT64_FORMAT
        " times \"not run\", %" G_GUINT64_FORMAT
        " times unknown; %" G_GUINT64_FORMAT " crashes, %" G_GUINT64_FORMAT
        " hand-overs, %" G_GUINT64_FORMAT " pauses",
        GPOINTER_TO_INT(data), ISSUANCES, world->presented, world->executed,
        world->answered, world->denied, world->unknown, world->crashes,
        world->hand_overs, world->pauses);
    g_test_message("old incarnation: %" G_GUINT64_FORMAT
                   " messages; with the check %" G_GUINT64_FORMAT
                   " run; without it %" G_GUINT64_FORMAT
                   " run and %" G_GUINT64_FORMAT
                   " get the answer of another token (%" G_GUINT64_FORMAT
                   " of them with a serial that was minted again)",
                   world->old_messages, world->old_run, world->unchecked_run,
                   world->unchecked_answered, world->unchecked_minted);
    g_assert_cmpuint(world->old_run, ==, 0);
    g_assert_cmpuint(world->unchecked_run + world->unchecked_answered, >, 0);
    g_assert_cmpuint(world->executed, >, ISSUANCES / 2);
    g_assert_cmpuint(world->answered, >, 100);
    g_assert_cmpuint(world->denied, >, 100);
    for (int i = 0; i < HOSTS; i++) {
        RunTable_Destroy(world->hosts[i].table);
        RunTable_Destroy(world->hosts[i].unchecked);
    }
    g_hash_table_unref(world->successors);
    g_tree_unref(world->events);
    g_free(world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (int seed = 1; seed <= 20; seed++) {
        char *path = g_strdup_printf("/issue/random/seed-%d", seed);

        g_test_add_data_func(path, GINT_TO_POINTER(seed), test_random);
        g_free(path);
    }
    return g_test_run();
}
