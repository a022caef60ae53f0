/* Tests of permits: single steps, and the bound under random failures. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "health/permit.h"

static const PermitView view12 = {
    .total = 12, .floor_percent = 75, .ready = 12};

static PermitRequest
make_request(const char *name, uint64_t claim, int32_t number,
             PermitAction action)
{
    PermitRequest request = {
        .service = "s",
        .host = 1,
        .incarnation = 1,
        .claim = claim,
        .sequence = 1,
        .number = number,
        .settled = TRUE,
        .action = action,
    };

    g_strlcpy(request.backend_server, name, PERMIT_NAME_BYTES);
    return request;
}

static PermitStatus
handle_request(PermitCoordinator *coordinator, const PermitRequest *request,
               const PermitView *view, ClockMs now, int32_t *number)
{
    PermitReply reply;

    PermitCoordinator_Handle(coordinator, request, view, now, &reply);
    if (number) {
        *number = reply.number;
    }
    return reply.status;
}

typedef struct CoordinatorStep {
    const char *server;
    uint64_t claim;
    PermitAction action;
    uint32_t ready;
    ClockMs now;
    PermitStatus status;
    int32_t number;
} CoordinatorStep;

/* Guards against wrong rules of a single coordinator: a grant or a lapse that
 * comes too early, a second permit for a duplicate request, a release by an
 * old message, and missing backend servers that are not counted. */
static void
test_coordinator(void)
{
    static const CoordinatorStep steps[] = {
        {"a", 1, PERMIT_ACQUIRE, 12, 9999, PERMIT_NEW_COORDINATOR, -1},
        {"a", 1, PERMIT_ACQUIRE, 12, 10000, PERMIT_GRANTED, 0},
        {"a", 1, PERMIT_ACQUIRE, 12, 10001, PERMIT_GRANTED, 0},
        /* Of the 3 permits, place 0 grants only permit 0. */
        {"b", 1, PERMIT_ACQUIRE, 12, 10002, PERMIT_FLOOR, -1},
        /* A new claim of the same backend server takes over its permit, and
         * the delayed release of the former claim does not free it. */
        {"a", 2, PERMIT_ACQUIRE, 12, 10003, PERMIT_GRANTED, 0},
        {"a", 1, PERMIT_RELEASE, 12, 10004, PERMIT_RELEASED, -1},
        {"b", 1, PERMIT_ACQUIRE, 12, 20002, PERMIT_FLOOR, -1},
        /* Missing backend servers count as permits in use, also for
         * renewals. */
        {"a", 2, PERMIT_ACQUIRE, 9, 20002, PERMIT_FLOOR, -1},
        {"b", 1, PERMIT_ACQUIRE, 9, 20003, PERMIT_FLOOR, -1},
        {"b", 1, PERMIT_ACQUIRE, 12, 20003, PERMIT_GRANTED, 0},
        /* A delayed request of a released claim gets no permit. */
        {"b", 1, PERMIT_RELEASE, 12, 20004, PERMIT_RELEASED, -1},
        {"b", 1, PERMIT_ACQUIRE, 12, 20005, PERMIT_RELEASED, -1},
        {"c", 1, PERMIT_ACQUIRE, 12, 20006, PERMIT_GRANTED, 0},
    };
    PermitCoordinator *coordinator =
        PermitCoordinator_Create(&(PermitCoordinator_desc){.place = 0}, 0);

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        const CoordinatorStep *step = &steps[i];
        PermitRequest request =
            make_request(step->server, step->claim, -1, step->action);
        PermitView view = view12;
        int32_t number;

        view.ready = step->ready;
        g_test_message("step %zu", i);
        g_assert_cmpint(
            handle_request(coordinator, &request, &view, step->now, &number),
            ==, step->status);
        g_assert_cmpint(number, ==, step->number);
    }
    PermitCoordinator_Destroy(coordinator);
}

/* Guards against a new coordinator that drops the permits of the former one,
 * or that grants a permit to an owner that no longer holds it: the renewal may
 * have been delayed until the former coordinator granted the permit to another
 * owner. */
static void
test_new_coordinator_continues(void)
{
    PermitCoordinator *coordinator =
        PermitCoordinator_Create(&(PermitCoordinator_desc){.place = 1}, 0);
    PermitRequest renewal = make_request("a", 3, 1, PERMIT_ACQUIRE);
    PermitRequest lapsed = make_request("a", 3, -1, PERMIT_ACQUIRE);
    PermitRequest other = make_request("b", 3, 1, PERMIT_ACQUIRE);
    int32_t number;

    g_assert_cmpint(
        handle_request(coordinator, &renewal, &view12, 100, &number), ==,
        PERMIT_GRANTED);
    g_assert_cmpint(number, ==, 1);
    g_assert_cmpint(handle_request(coordinator, &other, &view12, 200, NULL),
                    ==, PERMIT_NEW_COORDINATOR);
    g_assert_cmpint(handle_request(coordinator, &lapsed, &view12, 300, NULL),
                    ==, PERMIT_NEW_COORDINATOR);
    g_assert_cmpint(handle_request(coordinator, &renewal, &view12, 400, NULL),
                    ==, PERMIT_GRANTED);
    PermitCoordinator_Destroy(coordinator);
}

/* Guards against ejections for a fault of the whole service, and against
 * mistaking a single sick backend server for such a fault. */
static void
test_service_wide(void)
{
    PermitCoordinator *coordinator = PermitCoordinator_Create(
        &(PermitCoordinator_desc){.place = 0}, -20000);
    PermitStatus last = PERMIT_GRANTED;

    for (int round = 0; round < 40; round++) {
        for (int i = 0; i < 12; i++) {
            char name[] = {(char)('a' + i), '\0'};
            PermitRequest request = make_request(name, 1, -1, PERMIT_ACQUIRE);

            request.settled = FALSE;
            last = handle_request(coordinator, &request, &view12,
                                  round * 500 + i * 20, NULL);
            g_assert_cmpint(last, !=, PERMIT_GRANTED);
        }
    }
    g_assert_cmpint(last, ==, PERMIT_SERVICE_WIDE);
    for (int t = 60000; t <= 60500; t += 500) {
        PermitRequest request = make_request("z", 1, -1, PERMIT_ACQUIRE);

        request.settled = FALSE;
        last = handle_request(coordinator, &request, &view12, t, NULL);
    }
    g_assert_cmpint(last, ==, PERMIT_GRANTED);
    PermitCoordinator_Destroy(coordinator);
}

/* Guards against request bodies that change when encoded and decoded, or that
 * are accepted when truncated. */
static void
test_wire_request(void)
{
    PermitRequest request = make_request("name", 7, 2, PERMIT_ACQUIRE);
    PermitRequest decoded;
    unsigned char bytes[PERMIT_WIRE_BYTES];
    unsigned char reencoded[PERMIT_WIRE_BYTES];
    size_t size;

    memset(request.service, 'x', PERMIT_NAME_BYTES - 1);
    memset(request.backend_server, 'y', PERMIT_NAME_BYTES - 1);
    size = Permit_EncodeRequest(&request, bytes, sizeof(bytes));
    g_assert_cmpuint(size, >, 0);
    g_assert_true(Permit_DecodeRequest(bytes, size, &decoded));
    g_assert_cmpuint(
        Permit_EncodeRequest(&decoded, reencoded, sizeof(reencoded)), ==,
        size);
    g_assert_cmpmem(bytes, size, reencoded, size);
    for (size_t cut = 0; cut < size; cut++) {
        g_assert_false(Permit_DecodeRequest(bytes, cut, &decoded));
    }
}

/* The same as test_wire_request(), for replies. */
static void
test_wire_reply(void)
{
    PermitReply reply = {.claim = 1,
                         .sequence = UINT64_MAX,
                         .status = PERMIT_GRANTED,
                         .number = 4,
                         .retry_ms = 9};
    PermitReply decoded;
    unsigned char bytes[PERMIT_WIRE_BYTES];
    unsigned char reencoded[PERMIT_WIRE_BYTES];
    size_t size = Permit_EncodeReply(&reply, bytes, sizeof(bytes));

    g_assert_cmpuint(size, >, 0);
    g_assert_true(Permit_DecodeReply(bytes, size, &decoded));
    g_assert_cmpuint(
        Permit_EncodeReply(&decoded, reencoded, sizeof(reencoded)), ==, size);
    g_assert_cmpmem(bytes, size, reencoded, size);
    for (size_t cut = 0; cut < size; cut++) {
        g_assert_false(Permit_DecodeReply(bytes, cut, &decoded));
    }
}

/* Guards against decoders that overrun a buffer on malformed bodies, which the
 * sanitizer builds detect here. */
static void
test_wire_malformed(void)
{
    PermitRequest request = make_request("name", 7, 2, PERMIT_ACQUIRE);
    PermitReply reply;
    unsigned char bytes[PERMIT_WIRE_BYTES];
    size_t size = Permit_EncodeRequest(&request, bytes, sizeof(bytes));
    Rng rng;

    Rng_Seed(&rng, 5);
    for (int i = 0; i < 20000; i++) {
        unsigned char changed[PERMIT_WIRE_BYTES];
        PermitRequest decoded;

        memcpy(changed, bytes, size);
        for (int k = 0; k < 3; k++) {
            changed[Rng_Below(&rng, size)] = (unsigned char)Rng_Next(&rng);
        }
        if (Permit_DecodeRequest(changed, size, &decoded)) {
            g_assert_cmpuint(decoded.place, <, PERMIT_PLACES);
            g_assert_cmpint(decoded.number, >=, PERMIT_NO_NUMBER);
        }
        Permit_DecodeReply(changed, size, &reply);
    }
}

/* Randomised model: owners with one backend server each, three coordinators,
 * and a network that loses, duplicates, delays and reorders messages. */
#define OWNERS 12
#define MESSAGES 512
#define STEP_MS 20
/* Longer than an owner can hold a permit without renewal, on any clock. */
#define MISSING_STEPS (10000 / STEP_MS)

typedef struct Message {
    ClockMs due; /* 0 = free */
    gboolean is_reply;
    uint32_t owner;
    uint64_t generation; /* incarnation of the receiver of a reply */
    PermitRequest request;
    PermitReply reply;
} Message;

typedef struct Owner {
    PermitClaim *claim;
    uint64_t incarnation;
    HealthPermit wanted;
    ClockMs paused_until;
    ClockMs down_until; /* crashed and missing in the member view */
    double clock_speed; /* clock rate, real time = 1 */
    /* `request` was created before a pause and is sent after it. */
    gboolean delayed;
    PermitRequest request;
    /* The thread that sent `request` waits for the answer. */
    ClockMs blocked_until;
} Owner;

typedef struct CoordinatorHost {
    PermitCoordinator *coordinator;
    ClockMs paused_until;
    ClockMs vacant_until;
    double clock_speed;
} CoordinatorHost;

typedef struct Model {
    Rng rng;
    Owner owners[OWNERS];
    CoordinatorHost coordinators[PERMIT_PLACES];
    Message messages[MESSAGES];
    PermitView view;
    int cut_owner; /* owner cut off in one direction, or -1 */
    gboolean cut_replies;
    ClockMs cut_until;
    uint32_t missing[MISSING_STEPS]; /* in the last steps, ring buffer */
    uint32_t max_ejected;
    uint32_t min_usable; /* permits not blocked by missing servers */
    uint64_t granted;
    uint64_t replaced;
} Model;

static ClockMs
local_time(double clock_speed, ClockMs now)
{
    return (ClockMs)((double)now * clock_speed);
}

static gboolean
chance(Model *model, double p)
{
    return Rng_Unit(&model->rng) < p;
}

static void
send_message(Model *model, ClockMs now, const Message *message)
{
    int copies = chance(model, 0.1) ? 2 : 1;

    if (chance(model, 0.15) ||
        ((int)message->owner == model->cut_owner && now < model->cut_until &&
         message->is_reply == model->cut_replies)) {
        return;
    }
    for (int i = 0; i < MESSAGES && copies > 0; i++) {
        if (model->messages[i].due == 0) {
            ClockMs delay = 1 + (ClockMs)Rng_Below(&model->rng, 60);

            /* Some messages are delayed by several seconds in a queue. */
            if (chance(model, 0.08)) {
                delay += (ClockMs)Rng_Below(&model->rng, 14000);
            }
            model->messages[i] = *message;
            model->messages[i].due = now + delay;
            copies--;
        }
    }
}

static void
start_owner(Model *model, uint32_t i)
{
    Owner *owner = &model->owners[i];
    PermitClaim_desc desc = {.service = "s",
                             .backend_server = "b",
                             .host = i + 1,
                             .incarnation = ++owner->incarnation};

    PermitClaim_Destroy(owner->claim);
    owner->claim = PermitClaim_Create(&desc);
    owner->delayed = FALSE;
    owner->blocked_until = 0;
    owner->clock_speed = 0.995 + 0.01 * Rng_Unit(&model->rng);
}

static void
step_owner(Model *model, uint32_t i, ClockMs now)
{
    Owner *owner = &model->owners[i];
    ClockMs own_now = local_time(owner->clock_speed, now);
    PermitRequest request;

    if (now < owner->down_until || now < owner->paused_until) {
        return;
    }
    if (chance(model, owner->wanted ? 0.004 : 0.02)) {
        owner->wanted = owner->wanted        ? HEALTH_PERMIT_NONE
                        : chance(model, 0.2) ? HEALTH_PERMIT_SOON
                                             : HEALTH_PERMIT_NOW;
    }
    if (chance(model, 0.0003)) {
        start_owner(model, i);
        owner->down_until = now + (ClockMs)Rng_Below(&model->rng, 20000);
        return;
    }
    if (owner->delayed) {
        owner->delayed = FALSE;
        owner->blocked_until = now + PERMIT_TIMEOUT_MS;
        send_message(model, now,
                     &(Message){.owner = i, .request = owner->request});
    }
    if (now < owner->blocked_until) {
        return;
    }
    if (PermitClaim_Next(owner->claim, owner->wanted, own_now, &request)) {
        if (chance(model, 0.03)) {
            owner->paused_until = now + (ClockMs)Rng_Below(&model->rng, 15000);
            owner->delayed = TRUE;
            owner->request = request;
            return;
        }
        send_message(model, now, &(Message){.owner = i, .request = request});
    }
}

static void
step_coordinator(Model *model, uint32_t place, ClockMs now)
{
    CoordinatorHost *host = &model->coordinators[place];

    if (host->coordinator && chance(model, 0.0005)) {
        /* The lease ends; the slot is taken over at once or after a
         * vacancy. */
        PermitCoordinator_Destroy(host->coordinator);
        host->coordinator = NULL;
        host->vacant_until =
            chance(model, 0.7) ? now
                               : now + (ClockMs)Rng_Below(&model->rng, 20000);
        model->replaced++;
    }
    if (!host->coordinator && now >= host->vacant_until) {
        PermitCoordinator_desc desc = {
            .place = place, .settle_ms = -1, .service_wide_percent = 100};

        host->clock_speed = 0.995 + 0.01 * Rng_Unit(&model->rng);
        host->coordinator = PermitCoordinator_Create(
            &desc, local_time(host->clock_speed, now));
    }
    if (chance(model, 0.0005)) {
        host->paused_until = now + (ClockMs)Rng_Below(&model->rng, 15000);
    }
}

static void
deliver(Model *model, Message *message, ClockMs now)
{
    Owner *owner = &model->owners[message->owner];
    CoordinatorHost *host;
    Message answer = {.is_reply = TRUE,
                      .owner = message->owner,
                      .generation = message->request.incarnation};

    if (message->is_reply) {
        if (now < owner->paused_until) {
            message->due = owner->paused_until;
            return;
        }
        if (message->generation == owner->incarnation &&
            now >= owner->down_until) {
            owner->blocked_until = 0;
            PermitClaim_Answer(owner->claim, &message->reply,
                               local_time(owner->clock_speed, now));
        }
        message->due = 0;
        return;
    }
    host = &model->coordinators[message->request.place];
    if (now < host->paused_until) {
        message->due = host->paused_until;
        return;
    }
    message->due = 0;
    if (!host->coordinator) {
        return;
    }
    PermitCoordinator_Handle(host->coordinator, &message->request,
                             &model->view, local_time(host->clock_speed, now),
                             &answer.reply);
    model->granted += answer.reply.status == PERMIT_GRANTED;
    send_message(model, now, &answer);
}

/* Number of backend servers that were missing for as long as a permit can be
 * held. */
static uint32_t
missing_throughout(Model *model, uint32_t down, ClockMs now)
{
    uint32_t minimum = OWNERS;

    model->missing[now / STEP_MS % MISSING_STEPS] = down;
    for (int i = 0; i < MISSING_STEPS; i++) {
        minimum = MIN(minimum, model->missing[i]);
    }
    return minimum;
}

static void
check_bound(Model *model, ClockMs now)
{
    uint32_t permits = Permit_Total(&model->view);
    uint32_t ejected = 0;
    uint32_t down = 0;
    uint32_t usable;

    for (uint32_t i = 0; i < OWNERS; i++) {
        Owner *owner = &model->owners[i];

        if (now < owner->down_until) {
            down++;
        }
        else if (now >= owner->paused_until) {
            ejected += PermitClaim_IsHeld(owner->claim,
                                          local_time(owner->clock_speed, now));
        }
    }
    model->view.ready = OWNERS - down;
    model->max_ejected = MAX(model->max_ejected, ejected);
    g_assert_cmpuint(ejected, <=, permits);
    usable = permits - MIN(permits, missing_throughout(model, down, now));
    model->min_usable = MIN(model->min_usable, usable);
    g_assert_cmpuint(ejected, <=, usable);
}

static void
run_model(uint64_t seed, uint32_t floor_percent, uint32_t *max_ejected,
          uint64_t *granted, uint64_t *replaced)
{
    Model *model = g_new0(Model, 1);

    Rng_Seed(&model->rng, seed);
    model->view = (PermitView){
        .total = OWNERS, .floor_percent = floor_percent, .ready = OWNERS};
    model->cut_owner = -1;
    for (uint32_t i = 0; i < OWNERS; i++) {
        start_owner(model, i);
    }
    model->min_usable = OWNERS;
    /* One hour. */
    for (ClockMs now = STEP_MS; now < 3600000; now += STEP_MS) {
        if (now >= model->cut_until && chance(model, 0.001)) {
            model->cut_owner = (int)Rng_Below(&model->rng, OWNERS);
            model->cut_replies = chance(model, 0.5);
            model->cut_until = now + (ClockMs)Rng_Below(&model->rng, 20000);
        }
        for (uint32_t i = 0; i < PERMIT_PLACES; i++) {
            step_coordinator(model, i, now);
        }
        for (int i = 0; i < MESSAGES; i++) {
            if (model->messages[i].due != 0 && model->messages[i].due <= now) {
                deliver(model, &model->messages[i], now);
            }
        }
        for (uint32_t i = 0; i < OWNERS; i++) {
            step_owner(model, i, now);
        }
        check_bound(model, now);
    }
    for (uint32_t i = 0; i < OWNERS; i++) {
        PermitClaim_Destroy(model->owners[i].claim);
    }
    for (uint32_t i = 0; i < PERMIT_PLACES; i++) {
        PermitCoordinator_Destroy(model->coordinators[i].coordinator);
    }
    *max_ejected = model->max_ejected;
    /* Backend servers were missing long enough to block permits. */
    g_assert_cmpuint(model->min_usable, <, MAX(Permit_Total(&model->view), 1));
    *granted += model->granted;
    *replaced += model->replaced;
    g_free(model);
}

/* Guards against more ejected backend servers than total minus floor while
 * owners and coordinators crash, pause and are replaced, and messages are lost
 * in one direction, duplicated, delayed and reordered. Also guards against
 * crashes and ejections that together exceed the bound for longer than a
 * permit lasts. The bound has to be reached, because the test would prove
 * nothing if the failures prevented the use of permits. */
static void
test_bound(void)
{
    static const uint32_t floors[] = {75, 50, 90, 100, 60};

    for (uint64_t seed = 1; seed <= 20; seed++) {
        uint32_t floor_percent = floors[seed % G_N_ELEMENTS(floors)];
        PermitView view = {.total = OWNERS, .floor_percent = floor_percent};
        uint32_t max_ejected = 0;
        uint64_t granted = 0;
        uint64_t replaced = 0;

        run_model(seed, floor_percent, &max_ejected, &granted, &replaced);
        g_assert_cmpuint(max_ejected, ==, Permit_Total(&view));
        g_assert_cmpuint(replaced, >, 20);
        if (floor_percent < 90) {
            g_assert_cmpuint(granted, >, 1000);
        }
    }
}

typedef struct ClaimStep {
    ClockMs now;
    HealthPermit wanted;
    gboolean sends; /* PermitClaim_Next() returns a request */
    PermitAction action;
    int32_t renews;     /* permit number in the request */
    ClockMs answered;   /* arrival of the grant of permit 4; 0 = lost */
    ClockMs held_until; /* end of the permit; 0 = not held */
} ClaimStep;

/* Guards against a permit that is lost although the coordinator and the path
 * to it work, a validity counted from the answer instead of the request, a
 * renewal that counts despite its late answer, and use after the release. */
static void
test_claim_times(void)
{
    static const ClaimStep steps[] = {
        {0, HEALTH_PERMIT_NONE, FALSE, 0, 0, 0, 0},
        {900, HEALTH_PERMIT_SOON, TRUE, PERMIT_ANNOUNCE, -1, 0, 0},
        {1000, HEALTH_PERMIT_NOW, TRUE, PERMIT_ACQUIRE, -1, 1400, 10500},
        {1500, HEALTH_PERMIT_NOW, FALSE, 0, 0, 0, 10500},
        {3999, HEALTH_PERMIT_NOW, FALSE, 0, 0, 0, 10500},
        {4000, HEALTH_PERMIT_NOW, TRUE, PERMIT_ACQUIRE, 4, 4251, 10500},
        {4300, HEALTH_PERMIT_NOW, TRUE, PERMIT_ACQUIRE, 4, 4310, 13800},
        {7300, HEALTH_PERMIT_NOW, TRUE, PERMIT_ACQUIRE, 4, 0, 13800},
        {7799, HEALTH_PERMIT_NOW, FALSE, 0, 0, 0, 13800},
        {7800, HEALTH_PERMIT_NOW, TRUE, PERMIT_ACQUIRE, 4, 7850, 17300},
        {7900, HEALTH_PERMIT_NONE, TRUE, PERMIT_RELEASE, 4, 0, 0},
        {8000, HEALTH_PERMIT_NONE, FALSE, 0, 0, 0, 0},
        {8100, HEALTH_PERMIT_NOW, TRUE, PERMIT_ACQUIRE, -1, 8110, 17600},
        {17600, HEALTH_PERMIT_NOW, TRUE, PERMIT_ACQUIRE, -1, 0, 0},
    };
    PermitClaim_desc desc = {
        .service = "s", .backend_server = "b", .host = 1, .incarnation = 1};
    PermitClaim *claim = PermitClaim_Create(&desc);

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        const ClaimStep *step = &steps[i];
        PermitRequest request = {0};
        gboolean sends =
            PermitClaim_Next(claim, step->wanted, step->now, &request);

        g_test_message("step %zu", i);
        g_assert_cmpint(sends, ==, step->sends);
        g_assert_true(!sends || request.action == step->action);
        g_assert_true(!sends || request.number == step->renews);
        g_assert_true(!sends || step->renews < 0 || request.place == 1);
        if (step->answered) {
            PermitReply reply = {.claim = request.claim,
                                 .sequence = request.sequence,
                                 .status = PERMIT_GRANTED,
                                 .number = 4};

            PermitClaim_Answer(claim, &reply, step->answered);
        }
        g_assert_cmpint(PermitClaim_IsHeld(claim, step->held_until - 1), ==,
                        step->held_until != 0);
        g_assert_false(PermitClaim_IsHeld(claim, step->held_until));
    }
    PermitClaim_Destroy(claim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/permit/keeper", test_coordinator);
    g_test_add_func("/permit/new_keeper_goes_on",
                    test_new_coordinator_continues);
    g_test_add_func("/permit/service_wide", test_service_wide);
    g_test_add_func("/permit/claim_times", test_claim_times);
    g_test_add_func("/permit/wire_request", test_wire_request);
    g_test_add_func("/permit/wire_reply", test_wire_reply);
    g_test_add_func("/permit/wire_malformed", test_wire_malformed);
    g_test_add_func("/permit/bound", test_bound);
    return g_test_run();
}
