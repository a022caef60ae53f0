#include "admission/admission.h"

#include <limits.h>
#include <math.h>

/* Service time assumed before the first answer. */
#define INITIAL_SERVICE_MS 400

/* Mean deviation assumed before the first answer. It is as large as the
 * service time, because the first answers of a process come from the shortest
 * of its runs. */
#define INITIAL_DEVIATION_MS INITIAL_SERVICE_MS

/* Weight of the newest sample in the moving averages of the service times. */
#define SERVICE_WEIGHT 0.1

/* Number of answers before which the moving averages tell nothing: they are
 * the assumed values, and the first answers come from the shortest runs. */
#define MIN_KNOWN_RUNS 3

/* Weight of the newest sample in the longest run if it is shorter. Of a run of
 * 4 s, 3 s are left after 30 short ones. */
#define LONGEST_WEIGHT 0.01

/* A run at work is seen at any point of its length, so it is expected to last
 * twice as long as it has. */
#define AGE_FACTOR 2

/* Time constant of the exponential decay of the slot time that was used. */
#define WORK_DECAY_MS 5000

/* Requests of callers keep one of this many slots. */
#define RESERVED_PART 4

/* Share of the mean service time below which a waiting request is not expected
 * to finish before its deadline. */
#define MIN_SERVICE_SHARE 0.5

/* Number of slots assumed until it is known. */
#define MIN_SLOTS 1

/* Priorities that the slot time is counted for; less urgent ones count as the
 * last. */
#define LEVELS 8

/* Calls of running requests and other requests differ in length and in their
 * place in the queue. */
typedef enum Kind { KIND_REQUEST, KIND_NESTED, KINDS } Kind;

struct Admission {
    guint slots;
    AdmissionPace pace;
    double mean_ms;             /* mean service time */
    double service_ms[KINDS];   /* mean service time of each kind */
    double deviation_ms[KINDS]; /* mean absolute deviation from it */
    double longest_ms[KINDS];   /* longest run, which decays */
    ClockMs overtaken[KINDS];   /* latest start of a run that was answered */
    guint runs[KINDS];          /* answered, MIN_KNOWN_RUNS at most */
    double work_ms[KINDS];      /* slot time used lately by each kind */
    double level_ms[KINDS][LEVELS]; /* the same for each priority of a request,
                                       or of a call's parent if known */
    ClockMs work_updated;
    ClockMs last_change; /* time at which a slot was last taken or freed */
    GPtrArray *running;  /* AdmissionTicket that were admitted */
    GPtrArray *queue;    /* AdmissionTicket that wait, in order of admission */
};

static Kind
kind_of(const AdmissionTicket *ticket)
{
    return ticket->priority <= ADMISSION_PRIORITY_NESTED ? KIND_NESTED
                                                         : KIND_REQUEST;
}

int
Admission_CallPriority(int parent)
{
    return ADMISSION_PRIORITY_NESTED - 1 - CLAMP(parent, 0, INT_MAX - 2);
}

int
Admission_ParentPriority(int priority)
{
    return priority < ADMISSION_PRIORITY_NESTED
               ? ADMISSION_PRIORITY_NESTED - 1 - priority
               : -1;
}

/* Priority that places a ticket among the others: its own or its parent's; -1
 * for a call whose parent is unknown. */
static int
level_of(const AdmissionTicket *ticket)
{
    return kind_of(ticket) == KIND_NESTED
               ? Admission_ParentPriority(ticket->priority)
               : ticket->priority;
}

Admission *
Admission_Create(void)
{
    Admission *admission = g_new0(Admission, 1);

    admission->slots = MIN_SLOTS;
    admission->pace.turns = G_MAXUINT;
    admission->mean_ms = INITIAL_SERVICE_MS;
    for (int kind = 0; kind < KINDS; kind++) {
        admission->service_ms[kind] = INITIAL_SERVICE_MS;
        admission->deviation_ms[kind] = INITIAL_DEVIATION_MS;
    }
    admission->running = g_ptr_array_new();
    admission->queue = g_ptr_array_new();
    return admission;
}

void
Admission_Destroy(Admission *admission)
{
    if (admission != NULL) {
        g_ptr_array_unref(admission->running);
        g_ptr_array_unref(admission->queue);
        g_free(admission);
    }
}

void
Admission_SetSlots(Admission *admission, guint slots)
{
    admission->slots = MAX(slots, MIN_SLOTS);
}

void
Admission_SetPace(Admission *admission, const AdmissionPace *pace)
{
    admission->pace = *pace;
}

/* Whether the ticket would be answered after its target if it were admitted
 * now. */
static gboolean
is_late(const Admission *admission, const AdmissionTicket *ticket, ClockMs now)
{
    return kind_of(ticket) == KIND_REQUEST &&
           now + (ClockMs)admission->service_ms[KIND_REQUEST] > ticket->target;
}

/* Whether `a` is admitted before `b`. */
static gboolean
comes_before(const Admission *admission, const AdmissionTicket *a,
             const AdmissionTicket *b, ClockMs now)
{
    gboolean late_a = is_late(admission, a, now);
    gboolean late_b = is_late(admission, b, now);

    if (late_a != late_b) {
        return late_b;
    }
    if (level_of(a) != level_of(b)) {
        return level_of(a) < level_of(b);
    }
    if (kind_of(a) != kind_of(b)) {
        return kind_of(a) == KIND_NESTED;
    }
    return a->deadline < b->deadline;
}

/* Slots that calls leave to requests of callers. */
static guint
reserved_slots(const Admission *admission)
{
    return admission->slots / RESERVED_PART;
}

/* Slot time used lately by tickets that do not come before the given one when
 * they arrive after it. A request is overtaken by calls only, as its expected
 * wait counts the requests ahead of it. */
static double
work_behind(const Admission *admission, const AdmissionTicket *ticket)
{
    double work = admission->work_ms[KIND_REQUEST];
    int level = MAX(level_of(ticket), 0);

    for (int i = 0; i < LEVELS; i++) {
        if (i > level || (i == level && kind_of(ticket) == KIND_NESTED)) {
            work += admission->level_ms[KIND_NESTED][i];
        }
        if (i < level && kind_of(ticket) == KIND_NESTED) {
            work -= admission->level_ms[KIND_REQUEST][i];
        }
    }
    return work;
}

/* Share of the slots that is left beside the tickets that overtake this one.
 */
static double
slot_share(const Admission *admission, const AdmissionTicket *ticket)
{
    double work =
        admission->work_ms[KIND_REQUEST] + admission->work_ms[KIND_NESTED];

    return work > 0 ? MAX(work_behind(admission, ticket) / work,
                          1.0 / RESERVED_PART)
                    : 1;
}

/* Expected wait of a ticket with a number of tickets of each kind ahead,
 * including the ticket itself. */
static double
wait_behind(const Admission *admission, const AdmissionTicket *ticket,
            const guint *ahead)
{
    double calls = ahead[KIND_NESTED] * admission->service_ms[KIND_NESTED];
    double requests =
        ahead[KIND_REQUEST] * admission->service_ms[KIND_REQUEST];
    double wait;

    if (kind_of(ticket) == KIND_NESTED) {
        return level_of(ticket) < 0
                   ? calls / admission->slots
                   : (calls + requests) / slot_share(admission, ticket) /
                         admission->slots;
    }
    wait =
        (calls + requests / slot_share(admission, ticket)) / admission->slots;
    return reserved_slots(admission) > 0
               ? MIN(wait, requests / reserved_slots(admission))
               : wait;
}

gboolean
Admission_HasRoom(const Admission *admission)
{
    return admission->running->len < admission->slots &&
           admission->queue->len == 0;
}

/* Wait by the pace alone of a ticket with this many ahead of it. */
static ClockMs
pace_wait(const Admission *admission, guint ahead)
{
    const AdmissionPace *pace = &admission->pace;

    if (ahead < pace->turns) {
        return 0;
    }
    return MIN(
        pace->next_ms +
            (ClockMs)MIN((ahead - pace->turns) * pace->interval_ms, G_MAXINT),
        pace->end_ms);
}

ClockMs
Admission_PaceWait(const Admission *admission, const AdmissionTicket *ticket,
                   ClockMs now)
{
    guint ahead = 0;

    if (admission->pace.turns == G_MAXUINT) {
        return 0;
    }
    for (guint i = 0; i < admission->queue->len; i++) {
        const AdmissionTicket *other = g_ptr_array_index(admission->queue, i);

        ahead +=
            other != ticket && !comes_before(admission, ticket, other, now);
    }
    return pace_wait(admission, ahead);
}

/* Expected wait for a slot of a ticket that arrives now. */
static ClockMs
slot_wait(const Admission *admission, const AdmissionTicket *ticket,
          ClockMs now)
{
    guint ahead[KINDS] = {0};

    if (Admission_HasRoom(admission)) {
        return 0;
    }
    for (guint i = 0; i < admission->queue->len; i++) {
        const AdmissionTicket *other = g_ptr_array_index(admission->queue, i);

        if (!comes_before(admission, ticket, other, now)) {
            ahead[kind_of(other)]++;
        }
    }
    ahead[kind_of(ticket)]++;
    return (ClockMs)wait_behind(admission, ticket, ahead);
}

ClockMs
Admission_ExpectedWait(const Admission *admission,
                       const AdmissionTicket *ticket, ClockMs now)
{
    return MAX(slot_wait(admission, ticket, now),
               Admission_PaceWait(admission, ticket, now));
}

ClockMs
Admission_LongRunMs(const Admission *admission, const AdmissionTicket *ticket,
                    double deviations)
{
    Kind kind = kind_of(ticket);

    return (ClockMs)(admission->service_ms[kind] +
                     deviations * admission->deviation_ms[kind]);
}

gboolean
Admission_KnowsRuns(const Admission *admission, const AdmissionTicket *ticket)
{
    return admission->runs[kind_of(ticket)] >= MIN_KNOWN_RUNS;
}

ClockMs
Admission_LongestRunMs(const Admission *admission,
                       const AdmissionTicket *ticket)
{
    return (ClockMs)admission->longest_ms[kind_of(ticket)];
}

ClockMs
Admission_AtWorkRunMs(const Admission *admission,
                      const AdmissionTicket *ticket, ClockMs now)
{
    Kind kind = kind_of(ticket);
    ClockMs oldest = 0;
    ClockMs second = 0;

    for (guint i = 0; i < admission->running->len; i++) {
        const AdmissionTicket *other =
            g_ptr_array_index(admission->running, i);
        ClockMs age = now - other->started;

        if (kind_of(other) == kind &&
            other->started > admission->overtaken[kind]) {
            second = MAX(second, MIN(age, oldest));
            oldest = MAX(oldest, age);
        }
    }
    return AGE_FACTOR * second;
}

gboolean
Admission_Arrive(Admission *admission, AdmissionTicket *ticket,
                 ClockMs max_wait_ms, ClockMs now)
{
    if (Admission_ExpectedWait(admission, ticket, now) > max_wait_ms) {
        return FALSE;
    }
    ticket->state = ADMISSION_WAITING;
    g_ptr_array_add(admission->queue, ticket);
    return TRUE;
}

static void
sort_queue(Admission *admission, ClockMs now)
{
    GPtrArray *queue = admission->queue;

    /* Insertion sort: the order changes little between two calls. */
    for (guint i = 1; i < queue->len; i++) {
        gpointer ticket = queue->pdata[i];
        guint place = i;

        while (place > 0 &&
               comes_before(admission, ticket, queue->pdata[place - 1], now)) {
            queue->pdata[place] = queue->pdata[place - 1];
            place--;
        }
        queue->pdata[place] = ticket;
    }
}

/* Place of the next ticket to be admitted. Calls come first, but requests of
 * callers keep a part of the slots, so that the ones that a service makes do
 * not shut out its own. */
static guint
next_place(const Admission *admission)
{
    guint requests = 0;

    for (guint i = 0; i < admission->running->len; i++) {
        requests +=
            kind_of(g_ptr_array_index(admission->running, i)) == KIND_REQUEST;
    }
    if (requests >= reserved_slots(admission)) {
        return 0;
    }
    for (guint i = 0; i < admission->queue->len; i++) {
        if (kind_of(g_ptr_array_index(admission->queue, i)) == KIND_REQUEST) {
            return i;
        }
    }
    return 0;
}

static gboolean
admit(Admission *admission, ClockMs now)
{
    gboolean admitted = FALSE;

    while (admission->queue->len > 0 && admission->pace.turns > 0 &&
           admission->running->len < admission->slots) {
        guint place = next_place(admission);
        AdmissionTicket *ticket = g_ptr_array_index(admission->queue, place);

        g_ptr_array_remove_index(admission->queue, place);
        ticket->state = ADMISSION_ADMITTED;
        ticket->started = now;
        g_ptr_array_add(admission->running, ticket);
        admission->pace.turns -= admission->pace.turns < G_MAXUINT;
        admission->last_change = now;
        admitted = TRUE;
    }
    return admitted;
}

/* Removes the tickets whose turn comes too late: by the mean service times, by
 * the pace, or because slots are freed more slowly than these let expect.
 * Calls ahead do not delay the turn of a request while slots are kept for
 * requests. */
static gboolean
remove_hopeless(Admission *admission, ClockMs now)
{
    guint ahead[KINDS] = {0};
    double gap = admission->running->len < admission->slots
                     ? 0
                     : (double)(now - admission->last_change);
    gboolean removed = FALSE;
    guint place = 0;

    while (place < admission->queue->len) {
        AdmissionTicket *ticket = g_ptr_array_index(admission->queue, place);
        Kind kind = kind_of(ticket);
        guint turns;
        double end;

        ahead[kind]++;
        turns = kind == KIND_REQUEST && reserved_slots(admission) > 0
                    ? ahead[KIND_REQUEST]
                    : place + 1;
        end = (double)now +
              MAX(MAX(wait_behind(admission, ticket, ahead), turns * gap),
                  (double)pace_wait(admission, place)) +
              MIN_SERVICE_SHARE * admission->service_ms[kind];
        if (end > (double)ticket->deadline) {
            g_ptr_array_remove_index(admission->queue, place);
            ticket->state = ADMISSION_HOPELESS;
            ahead[kind]--;
            removed = TRUE;
        }
        else {
            place++;
        }
    }
    return removed;
}

gboolean
Admission_Advance(Admission *admission, ClockMs now)
{
    gboolean changed;

    sort_queue(admission, now);
    changed = admit(admission, now);
    return remove_hopeless(admission, now) || changed;
}

void
Admission_Withdraw(Admission *admission, const AdmissionTicket *ticket)
{
    g_ptr_array_remove(admission->queue, (gpointer)ticket);
}

void
Admission_Release(Admission *admission, const AdmissionTicket *ticket,
                  ClockMs now)
{
    g_ptr_array_remove_fast(admission->running, (gpointer)ticket);
    admission->last_change = now;
}

static void
decay_work(Admission *admission, double decay)
{
    for (int kind = 0; kind < KINDS; kind++) {
        admission->work_ms[kind] *= decay;
        for (int i = 0; i < LEVELS; i++) {
            admission->level_ms[kind][i] *= decay;
        }
    }
}

void
Admission_NoteService(Admission *admission, const AdmissionTicket *ticket,
                      ClockMs service_ms, ClockMs now)
{
    Kind kind = kind_of(ticket);
    double error_ms;
    double decay =
        exp(-(double)(now - admission->work_updated) / WORK_DECAY_MS);

    decay_work(admission, decay);
    admission->work_ms[kind] += (double)service_ms;
    if (level_of(ticket) >= 0) {
        admission->level_ms[kind][MIN(level_of(ticket), LEVELS - 1)] +=
            (double)service_ms;
    }
    admission->work_updated = now;
    admission->mean_ms +=
        SERVICE_WEIGHT * ((double)service_ms - admission->mean_ms);
    error_ms = (double)service_ms - admission->service_ms[kind];
    admission->deviation_ms[kind] +=
        SERVICE_WEIGHT * (fabs(error_ms) - admission->deviation_ms[kind]);
    admission->service_ms[kind] += SERVICE_WEIGHT * error_ms;
    admission->longest_ms[kind] +=
        LONGEST_WEIGHT * ((double)service_ms - admission->longest_ms[kind]);
    admission->longest_ms[kind] =
        MAX(admission->longest_ms[kind], (double)service_ms);
    admission->overtaken[kind] =
        MAX(admission->overtaken[kind], ticket->started);
    admission->runs[kind] = MIN(admission->runs[kind] + 1, MIN_KNOWN_RUNS);
}

void
Admission_NoteCut(Admission *admission, const AdmissionTicket *ticket,
                  ClockMs run_ms)
{
    Kind kind = kind_of(ticket);

    admission->longest_ms[kind] =
        MAX(admission->longest_ms[kind], (double)run_ms);
}

AdmissionLoad
Admission_Load(const Admission *admission)
{
    AdmissionLoad load = {.slots = admission->slots,
                          .running = admission->running->len,
                          .waiting = admission->queue->len,
                          .service_ms = (ClockMs)admission->mean_ms,
                          .oldest = CLOCK_NEVER};

    for (guint i = 0; i < admission->running->len; i++) {
        const AdmissionTicket *ticket =
            g_ptr_array_index(admission->running, i);

        load.oldest = MIN(load.oldest, ticket->started);
    }
    return load;
}
