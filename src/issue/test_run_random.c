/* Randomised simulation of issuances on hosts that crash, pause and hand over
 * their tables.
 *
 * Messages are delayed, lost, duplicated and delivered much later. Hosts have
 * different clocks, are paused after reading the clock, crash, and hand their
 * tables over. Each of 20 seeds simulates 3,000 issuances.
 *
 * Each table has a counterpart that gets the same requests without the check
 * of the incarnation and of the highest serial. It measures how many messages
 * of an old incarnation would be accepted without that check.
 */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "issue/run_rpc.h"

#define HOSTS 4
#define ISSUANCES 3000
#define ISSUANCE_MS 200 /* interval between two issuances: 5/s */
#define VALIDITY_MS 30000
#define KEEP_MS 2000
#define MAX_EVENTS 200000

typedef enum Kind {
    KIND_REQUEST,
    KIND_SEND, /* the owner sends the request to the backend server */
    KIND_END,  /* the owner receives the outcome of the run */
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
    int process; /* process that the event ends with; 0: none */
    PoolHandle handle;
    ClockMs read_at; /* host clock as read before a pause, or CLOCK_NEVER */
} Event;

typedef struct Issuance {
    RunToken token;
    int host;
    int executions;
    int open; /* number of runs whose outcome the owner does not know yet */
    gboolean is_reported_not_run; /* "not run" was reported */
} Issuance;

typedef struct Host {
    RunTable *table;
    RunTable *unchecked;
    int process;
    ClockMs clock_offset;
    ClockMs paused_until;
} Host;

typedef struct Simulation {
    Rng rng;
    ClockMs now;
    uint64_t order;
    Host hosts[HOSTS];
    Issuance issuances[ISSUANCES];
    int minted;
    GTree *events;
    /* Successor of each process: host * 1000 + process -> host + 1. */
    GHashTable *successors;
    uint64_t presented;
    uint64_t executed;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t old_messages;       /* messages of an old incarnation */
    uint64_t old_run;            /* of these, run with the check */
    uint64_t unchecked_run;      /* of these, run without the check */
    uint64_t unchecked_answered; /* of these, answered without the check, with
                                    another token's answer */
    uint64_t unchecked_minted;   /* of the last two, those whose serial has
                                    been minted again */
    uint64_t crashes;
    uint64_t hand_overs;
    uint64_t pauses;
} Simulation;

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
add_event(Simulation *simulation, ClockMs delay, Event event)
{
    Event *copy = g_memdup2(&event, sizeof(event));

    copy->at = simulation->now + delay;
    copy->order = simulation->order++;
    g_tree_insert(simulation->events, copy, copy);
}

static ClockMs
host_clock(const Simulation *simulation, int host)
{
    return simulation->now + simulation->hosts[host].clock_offset;
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
chance(Simulation *simulation, unsigned percent)
{
    return Rng_Below(&simulation->rng, 100) < percent;
}

/* Returns a delay that is mostly short, sometimes longer than the validity. */
static ClockMs
message_delay(Simulation *simulation)
{
    if (chance(simulation, 4)) {
        return (ClockMs)Rng_Below(&simulation->rng, 2 * VALIDITY_MS);
    }
    return (ClockMs)Rng_Below(&simulation->rng,
                              chance(simulation, 30) ? 2000 : 60);
}

static void
execute(Simulation *simulation, Issuance *issuance)
{
    issuance->executions++;
    simulation->executed++;
    g_assert_cmpint(issuance->executions, ==, 1);
    g_assert_false(issuance->is_reported_not_run);
}

static void
report_not_run(Simulation *simulation, Issuance *issuance)
{
    issuance->is_reported_not_run = TRUE;
    simulation->not_run++;
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

/* Presents the token to the table without the check, and counts the messages
 * of an old incarnation that it accepts. */
static void
present_unchecked(Simulation *simulation, const Event *event, ClockMs now)
{
    const Host *host = &simulation->hosts[event->host];
    RunToken token = simulation->issuances[event->issuance].token;
    gboolean is_old = token.incarnation != (uint64_t)host->process + 1;
    RunTableStats stats;
    RunBegin found;
    uint64_t accepted =
        simulation->unchecked_run + simulation->unchecked_answered;

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
        simulation->unchecked_run += is_old;
    }
    else if (found.action == RUN_ANSWER) {
        simulation->unchecked_answered +=
            is_old && !is_answer_of(found.answer, event->issuance);
        RunAnswer_Unref(found.answer);
    }
    if (token.serial <= stats.last_serial) {
        simulation->unchecked_minted += simulation->unchecked_run +
                                        simulation->unchecked_answered -
                                        accepted;
    }
}

static void
begin_run(Simulation *simulation, const Event *event, PoolHandle handle)
{
    Issuance *issuance = &simulation->issuances[event->issuance];
    Event next = {.kind = KIND_SEND,
                  .issuance = event->issuance,
                  .host = event->host,
                  .process = simulation->hosts[event->host].process,
                  .handle = handle};

    g_assert_false(issuance->is_reported_not_run);
    g_assert_cmpint(event->host, ==, issuance->host);
    issuance->open++;
    add_event(simulation, (ClockMs)Rng_Below(&simulation->rng, 5), next);
}

static void
do_request(Simulation *simulation, const Event *event)
{
    Host *host = &simulation->hosts[event->host];
    Issuance *issuance = &simulation->issuances[event->issuance];
    const RunToken *token = &issuance->token;
    ClockMs now = event->read_at != CLOCK_NEVER
                      ? event->read_at
                      : host_clock(simulation, event->host);
    gboolean is_old = token->owner == (uint64_t)event->host + 1 &&
                      token->incarnation != (uint64_t)host->process + 1;
    RunBegin found;

    simulation->presented++;
    simulation->old_messages += is_old;
    present_unchecked(simulation, event, now);
    found = RunTable_Begin(host->table, token, token->team, token->route, now);
    if (found.action == RUN_EXECUTE) {
        simulation->old_run += is_old;
        begin_run(simulation, event, found.handle);
    }
    else if (found.action == RUN_ANSWER) {
        simulation->answered++;
        g_assert_true(is_answer_of(found.answer, event->issuance));
        g_assert_true(found.run != RUN_YES || issuance->executions == 1);
        RunAnswer_Unref(found.answer);
    }
    else if (found.action == RUN_REFUSE && found.run == RUN_NO) {
        g_assert_cmpint(found.result, !=, RESULT_FULL);
        report_not_run(simulation, issuance);
    }
    else {
        simulation->unknown++;
    }
}

static void
do_send(Simulation *simulation, const Event *event)
{
    Issuance *issuance = &simulation->issuances[event->issuance];
    Event next = *event;

    if (chance(simulation, 8)) {
        RunTable_Abort(simulation->hosts[event->host].table, event->handle,
                       host_clock(simulation, event->host));
        issuance->open--;
        report_not_run(simulation, issuance);
        return;
    }
    execute(simulation, issuance);
    next.kind = KIND_END;
    add_event(simulation, 1 + (ClockMs)Rng_Below(&simulation->rng, 200), next);
}

static void
do_end(Simulation *simulation, const Event *event)
{
    RunAnswer *answer = create_answer(
        event->issuance, chance(simulation, 5) ? RUN_UNKNOWN : RUN_YES);

    simulation->issuances[event->issuance].open--;
    g_assert_cmpint(RunTable_Finish(simulation->hosts[event->host].table,
                                    event->handle, answer,
                                    host_clock(simulation, event->host)),
                    ==, RESULT_OK);
    RunAnswer_Unref(answer);
}

/* Voids a token through the encoded RPC bodies. */
static void
do_void(Simulation *simulation, const Event *event)
{
    Issuance *issuance = &simulation->issuances[event->issuance];
    GByteArray *body = g_byte_array_new();
    GByteArray *reply = g_byte_array_new();
    RunTokenState state;

    RunRpc_EncodeState(&issuance->token, body);
    g_assert_cmpint(RunRpc_ServeState(
                        simulation->hosts[event->host].table, body->data,
                        body->len, host_clock(simulation, event->host), reply),
                    ==, RESULT_OK);
    g_assert_cmpint(RunRpc_DecodeState(reply->data, reply->len, &state), ==,
                    RESULT_OK);
    if (state == RUN_TOKEN_VOID) {
        report_not_run(simulation, issuance);
    }
    else if (state == RUN_TOKEN_DONE) {
        g_assert_cmpint(issuance->executions, ==, 1);
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
}

static void
start_process(Simulation *simulation, int index)
{
    Host *host = &simulation->hosts[index];
    RunToken other;

    host->process++;
    host->table = create_table(index, host->process);
    host->unchecked = create_table(index, host->process);
    RunTable_Mint(host->unchecked, 0, 0, ISSUANCES,
                  host_clock(simulation, index), &other);
}

static void
end_process(Simulation *simulation, int index)
{
    Host *host = &simulation->hosts[index];

    /* Runs of this process that were not sent will never be sent. */
    for (int i = 0; i < simulation->minted; i++) {
        Issuance *issuance = &simulation->issuances[i];

        if (issuance->host == index &&
            issuance->token.incarnation == (uint64_t)host->process + 1) {
            issuance->open = 0;
        }
    }
    RunTable_Destroy(host->table);
    RunTable_Destroy(host->unchecked);
}

static void
do_hand_over(Simulation *simulation, const Event *event)
{
    Host *host = &simulation->hosts[event->host];
    int successor =
        (event->host + 1 + (int)Rng_Below(&simulation->rng, HOSTS - 1)) %
        HOSTS;
    GPtrArray *chunks = RunTable_HandOver(host->table, 2048,
                                          host_clock(simulation, event->host));

    for (guint i = 0; i < chunks->len; i++) {
        gsize bytes;
        gconstpointer data = g_bytes_get_data(chunks->pdata[i], &bytes);
        Result result =
            RunTable_Adopt(simulation->hosts[successor].table, data, bytes,
                           host_clock(simulation, successor));

        g_assert_true(result == RESULT_OK || result == RESULT_SHUTTING_DOWN);
    }
    g_ptr_array_unref(chunks);
    g_hash_table_insert(
        simulation->successors,
        GINT_TO_POINTER(event->host * 1000 + host->process + 1),
        GINT_TO_POINTER(successor + 1));
    simulation->hand_overs++;
    end_process(simulation, event->host);
    start_process(simulation, event->host);
}

/* Returns the host to which an entry sends a token: mostly the owner's
 * successor if there is one, else the owner's host. */
static int
find_host(Simulation *simulation, const Issuance *issuance)
{
    gpointer successor =
        g_hash_table_lookup(simulation->successors,
                            GINT_TO_POINTER(issuance->host * 1000 +
                                            (int)issuance->token.incarnation));

    if (successor != NULL && chance(simulation, 80)) {
        return GPOINTER_TO_INT(successor) - 1;
    }
    return issuance->host;
}

static void
do_event(Simulation *simulation, Event *event)
{
    Host *host;

    if (event->host < 0) {
        event->host =
            find_host(simulation, &simulation->issuances[event->issuance]);
    }
    host = &simulation->hosts[event->host];
    if (event->process != 0 && event->process != host->process) {
        return;
    }
    if (host->paused_until > simulation->now) {
        /* One request in four is paused after the host read the clock. */
        if (event->kind == KIND_REQUEST && event->read_at == CLOCK_NEVER &&
            chance(simulation, 25)) {
            event->read_at = host_clock(simulation, event->host);
        }
        add_event(simulation, host->paused_until - simulation->now, *event);
        return;
    }
    switch (event->kind) {
    case KIND_REQUEST:
        do_request(simulation, event);
        break;
    case KIND_SEND:
        do_send(simulation, event);
        break;
    case KIND_END:
        do_end(simulation, event);
        break;
    case KIND_VOID:
        do_void(simulation, event);
        break;
    case KIND_EXPIRE:
        RunTable_Expire(host->table, host_clock(simulation, event->host));
        RunTable_Expire(host->unchecked, host_clock(simulation, event->host));
        break;
    case KIND_CRASH:
        simulation->crashes++;
        end_process(simulation, event->host);
        start_process(simulation, event->host);
        break;
    case KIND_DRAIN:
        RunTable_Drain(host->table);
        break;
    case KIND_HAND_OVER:
        do_hand_over(simulation, event);
        break;
    default:
        simulation->pauses++;
        host->paused_until =
            simulation->now +
            (ClockMs)Rng_Below(&simulation->rng, chance(simulation, 20)
                                                     ? 2 * VALIDITY_MS
                                                     : 2000);
        break;
    }
}

/* Simulates one caller: mints a token, sends the request any number of times
 * and may query the token's state. */
static void
issue(Simulation *simulation, int index)
{
    Issuance *issuance = &simulation->issuances[index];
    Event event = {.issuance = index, .host = -1, .read_at = CLOCK_NEVER};
    Host *host;

    issuance->host = (int)Rng_Below(&simulation->rng, HOSTS);
    host = &simulation->hosts[issuance->host];
    simulation->minted = index + 1;
    if (RunTable_Mint(host->table, Rng_Below(&simulation->rng, 8), 3, 1,
                      host_clock(simulation, issuance->host),
                      &issuance->token) != RESULT_OK) {
        /* The host is draining: use a token that was never minted. */
        issuance->token = (RunToken){.owner = (uint64_t)issuance->host + 1};
        return;
    }
    if (!chance(simulation, 5)) {
        add_event(simulation, message_delay(simulation), event);
    }
    while (chance(simulation, 40)) {
        add_event(simulation, message_delay(simulation), event);
    }
    if (chance(simulation, 15)) {
        event.kind = KIND_VOID;
        add_event(simulation, message_delay(simulation), event);
    }
}

static void
inject_fault(Simulation *simulation)
{
    int host = (int)Rng_Below(&simulation->rng, HOSTS);
    Event event = {.host = host};

    switch (Rng_Below(&simulation->rng, 40)) {
    case 0:
        event.kind = KIND_CRASH;
        add_event(simulation, 0, event);
        break;
    case 1:
        event.kind = KIND_DRAIN;
        event.process = simulation->hosts[host].process;
        add_event(simulation, 0, event);
        event.kind = KIND_HAND_OVER;
        /* After a short delay some runs have not ended, after a long one all
         * have. */
        add_event(simulation, (ClockMs)Rng_Below(&simulation->rng, 500),
                  event);
        break;
    case 2:
        event.kind = KIND_PAUSE;
        add_event(simulation, 0, event);
        break;
    default:
        event.kind = KIND_EXPIRE;
        add_event(simulation, 0, event);
        break;
    }
}

static void
run_simulation(Simulation *simulation)
{
    int handled = 0;
    int issued = 0;

    while (issued < ISSUANCES || g_tree_nnodes(simulation->events) > 0) {
        GTreeNode *first = g_tree_node_first(simulation->events);
        Event *event = first != NULL ? g_tree_node_value(first) : NULL;
        ClockMs next_issuance = (ClockMs)issued * ISSUANCE_MS;

        if (issued < ISSUANCES &&
            (event == NULL || event->at > next_issuance)) {
            simulation->now = next_issuance;
            if (issued % 3 == 0) {
                inject_fault(simulation);
            }
            issue(simulation, issued++);
            continue;
        }
        g_tree_steal(simulation->events, event);
        simulation->now = event->at;
        do_event(simulation, event);
        g_free(event);
        g_assert_cmpint(++handled, <, MAX_EVENTS);
    }
}

/* Guards against faults that need longer histories than the exhaustive test
 * explores, with several hosts and clocks. */
static void
test_random(gconstpointer data)
{
    Simulation *simulation = g_new0(Simulation, 1);

    Rng_Seed(&simulation->rng, (uint64_t)GPOINTER_TO_INT(data));
    simulation->events = g_tree_new_full(compare_events, NULL, NULL, NULL);
    simulation->successors = g_hash_table_new(NULL, NULL);
    for (int i = 0; i < HOSTS; i++) {
        simulation->hosts[i].clock_offset =
            (ClockMs)Rng_Below(&simulation->rng, 100000000);
        start_process(simulation, i);
    }
    run_simulation(simulation);
    g_test_message(
        "seed %d: %d issuances, %" G_GUINT64_FORMAT
        " presented, %" G_GUINT64_FORMAT " runs, %" G_GUINT64_FORMAT
        " kept answers, %" G_GUINT64_FORMAT " \"not run\", %" G_GUINT64_FORMAT
        " unknown outcomes; %" G_GUINT64_FORMAT " crashes, %" G_GUINT64_FORMAT
        " hand-overs, %" G_GUINT64_FORMAT " pauses",
        GPOINTER_TO_INT(data), ISSUANCES, simulation->presented,
        simulation->executed, simulation->answered, simulation->not_run,
        simulation->unknown, simulation->crashes, simulation->hand_overs,
        simulation->pauses);
    g_test_message("old incarnation: %" G_GUINT64_FORMAT
                   " messages; with the check %" G_GUINT64_FORMAT
                   " run; without it %" G_GUINT64_FORMAT
                   " run and %" G_GUINT64_FORMAT
                   " get the answer of another token (%" G_GUINT64_FORMAT
                   " of them with a serial that was minted again)",
                   simulation->old_messages, simulation->old_run,
                   simulation->unchecked_run, simulation->unchecked_answered,
                   simulation->unchecked_minted);
    g_assert_cmpuint(simulation->old_run, ==, 0);
    g_assert_cmpuint(
        simulation->unchecked_run + simulation->unchecked_answered, >, 0);
    g_assert_cmpuint(simulation->executed, >, ISSUANCES / 2);
    g_assert_cmpuint(simulation->answered, >, 100);
    g_assert_cmpuint(simulation->not_run, >, 100);
    for (int i = 0; i < HOSTS; i++) {
        RunTable_Destroy(simulation->hosts[i].table);
        RunTable_Destroy(simulation->hosts[i].unchecked);
    }
    g_hash_table_unref(simulation->successors);
    g_tree_unref(simulation->events);
    g_free(simulation);
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
