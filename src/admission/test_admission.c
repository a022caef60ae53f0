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
    gboolean gone;
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

static void
finish(Request *request, Outcome *outcome, ClockMs now)
{
    ClockMs took = now - request->arrived;

    request->gone = TRUE;
    outcome->in_time += took <= TARGET_MS;
    outcome->late += took > TARGET_MS && took <= DEADLINE_MS;
}

/* Ends requests whose service is over. Returns the number of freed slots. */
static guint
end_requests(Admission *admission, GPtrArray *running, Outcome *outcomes,
             const GHashTable *streams, ClockMs now)
{
    guint freed = 0;

    for (guint i = running->len; i > 0; i--) {
        Request *request = g_ptr_array_index(running, i - 1);
        guint stream = GPOINTER_TO_UINT(
            g_hash_table_lookup((GHashTable *)streams, request));

        if (now < request->ends) {
            continue;
        }
        finish(request, &outcomes[stream], now);
        g_ptr_array_remove_index_fast(running, i - 1);
        freed++;
        if (admission != NULL) {
            Admission_NoteService(admission, &request->ticket,
                                  now - request->ticket.started, now);
            Admission_Release(admission, &request->ticket, now);
        }
    }
    return freed;
}

static void
start(Request *request, const Load *load, const Stream *stream, ClockMs now)
{
    request->ends = now + stream->service_ms;
    if (request->ends > load->stall_begin && now < load->stall_end) {
        request->ends = MAX(request->ends, load->stall_end);
    }
}

static void
refuse(Request *request, Outcome *outcome, ClockMs now)
{
    request->gone = TRUE;
    outcome->left++;
    outcome->longest_refusal =
        MAX(outcome->longest_refusal, now - request->arrived);
}

static void
replay(const Load *load, Outcome *outcomes)
{
    Admission *admission = load->plain ? NULL : Admission_Create();
    GHashTable *streams = g_hash_table_new(NULL, NULL);
    GPtrArray *waiting = g_ptr_array_new();
    GPtrArray *running = g_ptr_array_new();
    Request *requests = g_new0(Request, MAX_REQUESTS);
    size_t count = 0;
    Rng rng;

    Rng_Seed(&rng, 17);
    if (admission != NULL) {
        Admission_SetSlots(admission, SLOTS);
    }
    for (ClockMs now = 1; now <= STEPS; now++) {
        end_requests(admission, running, outcomes, streams, now);
        for (size_t s = 0; s < load->stream_count; s++) {
            Request *request = &requests[count];

            if (now > ARRIVALS_MS ||
                Rng_Unit(&rng) >= load->streams[s].per_s / 1000) {
                continue;
            }
            g_assert_cmpuint(count, <, MAX_REQUESTS);
            count++;
            outcomes[s].asked++;
            request->arrived = now;
            request->ticket =
                (AdmissionTicket){.priority = load->streams[s].priority,
                                  .target = now + TARGET_MS,
                                  .deadline = now + DEADLINE_MS};
            g_hash_table_insert(streams, request, GUINT_TO_POINTER(s));
            if (admission != NULL &&
                !Admission_Arrive(admission, &request->ticket, TARGET_MS / 2,
                                  now)) {
                refuse(request, &outcomes[s], now);
                continue;
            }
            g_ptr_array_add(waiting, request);
        }
        if (admission != NULL) {
            Admission_Advance(admission, now);
        }
        for (guint i = 0; i < waiting->len;) {
            Request *request = g_ptr_array_index(waiting, i);
            guint s = GPOINTER_TO_UINT(g_hash_table_lookup(streams, request));
            gboolean admitted =
                load->plain ? running->len < SLOTS
                            : request->ticket.state == ADMISSION_ADMITTED;

            if (admitted) {
                start(request, load, &load->streams[s], now);
                g_ptr_array_add(running, request);
            }
            else if (request->ticket.state == ADMISSION_HOPELESS) {
                refuse(request, &outcomes[s], now);
            }
            else if (now >= request->ticket.deadline) {
                outcomes[s].expired++;
                if (admission != NULL) {
                    Admission_Withdraw(admission, &request->ticket);
                }
            }
            else {
                i++;
                continue;
            }
            g_ptr_array_remove_index(waiting, i);
        }
        g_assert_cmpuint(running->len, <=, SLOTS);
    }
    g_free(requests);
    g_ptr_array_unref(running);
    g_ptr_array_unref(waiting);
    g_hash_table_destroy(streams);
    Admission_Destroy(admission);
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

        replay(&load, &outcome);
        load.plain = TRUE;
        replay(&load, &plain);
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

    replay(&load, &outcome);
    load.plain = TRUE;
    replay(&load, &plain);
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

    replay(&load, outcomes);
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

    replay(&load, outcomes);
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
