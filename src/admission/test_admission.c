/* Tests of the admission of requests to a backend server's slots. Replays
 * arrivals in simulated time, in steps of one millisecond. */
#include <glib.h>

#include "admission/admission.h"
#include "base/rng.h"

#define MAX_REQUESTS 8000
#define SLOTS 4
#define SERVICE_MS 400
#define TARGET_MS 2000
#define DEADLINE_MS 4000
#define ARRIVALS_MS 20000
#define STEPS (ARRIVALS_MS + DEADLINE_MS)

typedef struct Request {
    AdmissionTicket ticket;
    ClockMs arrived;
    ClockMs ends; /* 0: not admitted yet */
    size_t stream;
} Request;

typedef struct Outcome {
    guint asked;
    guint in_time;
    guint late;
    guint expired;           /* still waiting at its deadline */
    guint left;              /* refused on arrival or while waiting */
    ClockMs longest_refusal; /* longest time held before a refusal */
} Outcome;

/* One kind of request in a replay. */
typedef struct Stream {
    double per_s;
    ClockMs service_ms;
    int priority;
} Stream;

typedef struct Load {
    const Stream *streams;
    size_t stream_count;
    ClockMs stall_begin; /* no request ends in this time */
    ClockMs stall_end;
    gboolean plain; /* baseline: a queue in the order of arrival, in which
                       requests wait until their deadline */
} Load;

typedef struct Replay {
    const Load *load;
    Outcome *outcomes;    /* for each stream */
    Admission *admission; /* NULL: the baseline */
    GPtrArray *waiting;   /* Request */
    GPtrArray *running;   /* Request */
    Request *requests;
    size_t count;
    Rng rng;
} Replay;

static Outcome *
outcome_of(const Replay *replay, const Request *request)
{
    return &replay->outcomes[request->stream];
}

/* Ends the requests whose service is over. */
static void
end_requests(Replay *replay, ClockMs now)
{
    for (guint i = replay->running->len; i > 0; i--) {
        Request *request = g_ptr_array_index(replay->running, i - 1);
        ClockMs took = now - request->arrived;

        if (now < request->ends) {
            continue;
        }
        outcome_of(replay, request)->in_time += took <= TARGET_MS;
        outcome_of(replay, request)->late +=
            took > TARGET_MS && took <= DEADLINE_MS;
        g_ptr_array_remove_index_fast(replay->running, i - 1);
        if (replay->admission != NULL) {
            Admission_NoteService(replay->admission, &request->ticket,
                                  now - request->ticket.started, now);
            Admission_Release(replay->admission, &request->ticket, now);
        }
    }
}

static void
start(Replay *replay, Request *request, ClockMs now)
{
    const Load *load = replay->load;

    request->ends = now + load->streams[request->stream].service_ms;
    if (request->ends > load->stall_begin && now < load->stall_end) {
        request->ends = MAX(request->ends, load->stall_end);
    }
    g_ptr_array_add(replay->running, request);
}

static void
refuse(Replay *replay, const Request *request, ClockMs now)
{
    Outcome *outcome = outcome_of(replay, request);

    outcome->left++;
    outcome->longest_refusal =
        MAX(outcome->longest_refusal, now - request->arrived);
}

static void
arrive(Replay *replay, size_t stream, ClockMs now)
{
    const Stream *source = &replay->load->streams[stream];
    Request *request = &replay->requests[replay->count];

    if (now > ARRIVALS_MS || Rng_Unit(&replay->rng) >= source->per_s / 1000) {
        return;
    }
    g_assert_cmpuint(replay->count, <, MAX_REQUESTS);
    replay->count++;
    *request = (Request){.stream = stream,
                         .arrived = now,
                         .ticket = {.priority = source->priority,
                                    .target = now + TARGET_MS,
                                    .deadline = now + DEADLINE_MS}};
    outcome_of(replay, request)->asked++;
    if (replay->admission != NULL &&
        !Admission_Arrive(replay->admission, &request->ticket, TARGET_MS / 2,
                          now)) {
        refuse(replay, request, now);
        return;
    }
    g_ptr_array_add(replay->waiting, request);
}

/* Starts, refuses or expires a waiting request; FALSE if it waits on. */
static gboolean
settle(Replay *replay, Request *request, ClockMs now)
{
    gboolean admitted = replay->admission == NULL
                            ? replay->running->len < SLOTS
                            : request->ticket.state == ADMISSION_ADMITTED;

    if (admitted) {
        start(replay, request, now);
    }
    else if (request->ticket.state == ADMISSION_HOPELESS) {
        refuse(replay, request, now);
    }
    else if (now >= request->ticket.deadline) {
        outcome_of(replay, request)->expired++;
        if (replay->admission != NULL) {
            Admission_Withdraw(replay->admission, &request->ticket);
        }
    }
    else {
        return FALSE;
    }
    return TRUE;
}

static void
step(Replay *replay, ClockMs now)
{
    guint place = 0;

    end_requests(replay, now);
    for (size_t stream = 0; stream < replay->load->stream_count; stream++) {
        arrive(replay, stream, now);
    }
    if (replay->admission != NULL) {
        (void)Admission_Advance(replay->admission, now);
    }
    while (place < replay->waiting->len) {
        Request *request = g_ptr_array_index(replay->waiting, place);

        if (settle(replay, request, now)) {
            g_ptr_array_remove_index(replay->waiting, place);
        }
        else {
            place++;
        }
    }
    g_assert_cmpuint(replay->running->len, <=, SLOTS);
}

static void
replay_load(const Load *load, Outcome *outcomes)
{
    Replay replay = {.load = load,
                     .outcomes = outcomes,
                     .admission = load->plain ? NULL : Admission_Create(),
                     .waiting = g_ptr_array_new(),
                     .running = g_ptr_array_new(),
                     .requests = g_new0(Request, MAX_REQUESTS)};

    Rng_Seed(&replay.rng, 17);
    if (replay.admission != NULL) {
        Admission_SetSlots(replay.admission, SLOTS);
    }
    for (ClockMs now = 1; now <= STEPS; now++) {
        step(&replay, now);
    }
    g_free(replay.requests);
    g_ptr_array_unref(replay.running);
    g_ptr_array_unref(replay.waiting);
    Admission_Destroy(replay.admission);
}

/* Replays a rate above what the slots can serve, for 20 s. Guards against a
 * queue in which every request waits until it is late: the slots serve 10 a
 * second, and of these nine of ten have to be in time. Also guards against
 * holding a request until its deadline only to refuse it. */
static void
test_overload(void)
{
    static const double rates[] = {12, 15, 20, 40};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        Stream stream = {rates[i], SERVICE_MS, 1};
        Load load = {.streams = &stream, .stream_count = 1};
        Outcome plain = {0};
        Outcome outcome = {0};

        replay_load(&load, &outcome);
        load.plain = TRUE;
        replay_load(&load, &plain);
        g_test_message("rate %.0f: in time %u (plain %u) late %u expired %u "
                       "(plain %u) refused %u longest %" G_GINT64_FORMAT,
                       rates[i], outcome.in_time, plain.in_time, outcome.late,
                       outcome.expired, plain.expired, outcome.left,
                       outcome.longest_refusal);
        g_assert_cmpuint(outcome.in_time, >=, 9 * 20);
        g_assert_cmpuint(outcome.in_time, >, plain.in_time);
        g_assert_cmpuint(outcome.expired, ==, 0);
    }
}

/* Replays a backend server that stops answering for 3 s. Guards against
 * requests that wait for slots which are not freed until their deadline has
 * passed, and against slots that are wasted on them afterwards. */
static void
test_stall(void)
{
    static const Stream stream = {8, SERVICE_MS, 1};
    Load load = {.streams = &stream,
                 .stream_count = 1,
                 .stall_begin = 5000,
                 .stall_end = 8000};
    Outcome outcome = {0};
    Outcome plain = {0};

    replay_load(&load, &outcome);
    load.plain = TRUE;
    replay_load(&load, &plain);
    g_test_message("in time %u (plain %u) expired %u (plain %u) refused %u",
                   outcome.in_time, plain.in_time, outcome.expired,
                   plain.expired, outcome.left);
    g_assert_cmpuint(outcome.expired, ==, 0);
    g_assert_cmpuint(outcome.in_time, >, plain.in_time);
    g_assert_cmpint(outcome.longest_refusal, <, DEADLINE_MS - SERVICE_MS / 2);
}

/* Replays calls of running requests and two priorities at a rate above the
 * slots. Guards against a class that is served less often than a less urgent
 * one, and against calls that wait behind new requests. */
static void
test_classes(void)
{
    static const Stream streams[] = {{10, 100, ADMISSION_PRIORITY_NESTED},
                                     {6, SERVICE_MS, 1},
                                     {8, SERVICE_MS, 2}};
    Load load = {.streams = streams, .stream_count = 3};
    Outcome outcomes[3] = {{0}};
    double shares[3];

    replay_load(&load, outcomes);
    for (int i = 0; i < 3; i++) {
        shares[i] = (double)(outcomes[i].in_time + outcomes[i].late) /
                    outcomes[i].asked;
        g_test_message(
            "class %d: share served %.3f, of %u refused %u expired %u", i,
            shares[i], outcomes[i].asked, outcomes[i].left,
            outcomes[i].expired);
    }
    g_assert_cmpfloat(shares[0], >=, 0.99);
    g_assert_cmpfloat(shares[1], >=, shares[2]);
    g_assert_cmpfloat(shares[2], >, 0);
}

/* Replays a service that is called more than it can serve and has callers of
 * its own, who need less than a quarter of the slots. Guards against calls
 * that shut these out. */
static void
test_called_service(void)
{
    static const Stream streams[] = {{60, 100, ADMISSION_PRIORITY_NESTED},
                                     {1.5, SERVICE_MS, 1}};
    Load load = {.streams = streams, .stream_count = 2};
    Outcome outcomes[2] = {{0}};

    replay_load(&load, outcomes);
    g_test_message("calls %u of %u, requests %u in time and %u late of %u",
                   outcomes[0].in_time + outcomes[0].late, outcomes[0].asked,
                   outcomes[1].in_time, outcomes[1].late, outcomes[1].asked);
    g_assert_cmpfloat((double)(outcomes[1].in_time + outcomes[1].late) /
                          outcomes[1].asked,
                      >=, 0.75);
    g_assert_cmpuint(outcomes[0].in_time, >, outcomes[0].asked / 2);
}

/* Guards against a wait or a refusal while slots are free. */
static void
test_calm(void)
{
    Admission *admission = Admission_Create();
    AdmissionTicket tickets[SLOTS + 1] = {{0}};

    Admission_SetSlots(admission, SLOTS);
    for (int i = 0; i < SLOTS; i++) {
        tickets[i].deadline = 1000;
        g_assert_true(Admission_Arrive(admission, &tickets[i], 0, 10));
        g_assert_true(Admission_Advance(admission, 10));
        g_assert_cmpint(tickets[i].state, ==, ADMISSION_ADMITTED);
    }
    g_assert_false(Admission_Arrive(admission, &tickets[SLOTS], 0, 10));
    g_assert_cmpint(Admission_Load(admission).running, ==, SLOTS);
    Admission_Release(admission, &tickets[0], 20);
    g_assert_true(Admission_Arrive(admission, &tickets[SLOTS], 0, 20));
    Admission_Withdraw(admission, &tickets[SLOTS]);
    g_assert_cmpint(Admission_Load(admission).waiting, ==, 0);
    Admission_Destroy(admission);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/overload", test_overload);
    g_test_add_func("/admission/stall", test_stall);
    g_test_add_func("/admission/classes", test_classes);
    g_test_add_func("/admission/called-service", test_called_service);
    g_test_add_func("/admission/calm", test_calm);
    return g_test_run();
}
