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
ask(PermitKeeper *keeper, const PermitRequest *request, const PermitView *view,
    ClockMs now, int32_t *number)
{
    PermitReply reply;

    PermitKeeper_Handle(keeper, request, view, now, &reply);
    if (number) {
        *number = reply.number;
    }
    return reply.status;
}

typedef struct KeeperStep {
    const char *server;
    uint64_t claim;
    PermitAction action;
    uint32_t ready;
    ClockMs now;
    PermitStatus status;
    int32_t number;
} KeeperStep;

/* Guards against wrong rules of a single keeper: a grant too early, a repeat
 * that gets a second permit, a release by an old message, a lapse too early,
 * missing backend servers that are not counted. */
static void
test_keeper(void)
{
    static const KeeperStep steps[] = {
        {"a", 1, PERMIT_ACQUIRE, 12, 9999, PERMIT_NEW_KEEPER, -1},
        {"a", 1, PERMIT_ACQUIRE, 12, 10000, PERMIT_GRANTED, 0},
        {"a", 1, PERMIT_ACQUIRE, 12, 10001, PERMIT_GRANTED, 0},
        /* Place 0 keeps permit 0 of 3 only. */
        {"b", 1, PERMIT_ACQUIRE, 12, 10002, PERMIT_FLOOR, -1},
        /* A new claim of the same backend server goes on with its permit,
         * and the late release of the former claim leaves it alone. */
        {"a", 2, PERMIT_ACQUIRE, 12, 10003, PERMIT_GRANTED, 0},
        {"a", 1, PERMIT_RELEASE, 12, 10004, PERMIT_RELEASED, -1},
        {"b", 1, PERMIT_ACQUIRE, 12, 20002, PERMIT_FLOOR, -1},
        /* Missing backend servers use up permits, for renewals too. */
        {"a", 2, PERMIT_ACQUIRE, 9, 20002, PERMIT_FLOOR, -1},
        {"b", 1, PERMIT_ACQUIRE, 9, 20003, PERMIT_FLOOR, -1},
        {"b", 1, PERMIT_ACQUIRE, 12, 20003, PERMIT_GRANTED, 0},
        /* A claim that was released gets nothing by a late request. */
        {"b", 1, PERMIT_RELEASE, 12, 20004, PERMIT_RELEASED, -1},
        {"b", 1, PERMIT_ACQUIRE, 12, 20005, PERMIT_RELEASED, -1},
        {"c", 1, PERMIT_ACQUIRE, 12, 20006, PERMIT_GRANTED, 0},
    };
    PermitKeeper *keeper =
        PermitKeeper_Create(&(PermitKeeper_desc){.place = 0}, 0);

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        const KeeperStep *step = &steps[i];
        PermitRequest request =
            make_request(step->server, step->claim, -1, step->action);
        PermitView view = view12;
        int32_t number;

        view.ready = step->ready;
        g_test_message("step %zu", i);
        g_assert_cmpint(ask(keeper, &request, &view, step->now, &number), ==,
                        step->status);
        g_assert_cmpint(number, ==, step->number);
    }
    PermitKeeper_Destroy(keeper);
}

/* Guards against a new keeper that drops the permits of the former one, or
 * that gives a permit to an owner that no longer holds it: the renewal may
 * have been delayed until the former keeper gave the permit to another owner.
 */
static void
test_new_keeper_goes_on(void)
{
    PermitKeeper *keeper =
        PermitKeeper_Create(&(PermitKeeper_desc){.place = 1}, 0);
    PermitRequest renewal = make_request("a", 3, 1, PERMIT_ACQUIRE);
    PermitRequest lapsed = make_request("a", 3, -1, PERMIT_ACQUIRE);
    PermitRequest other = make_request("b", 3, 1, PERMIT_ACQUIRE);
    int32_t number;

    g_assert_cmpint(ask(keeper, &renewal, &view12, 100, &number), ==,
                    PERMIT_GRANTED);
    g_assert_cmpint(number, ==, 1);
    g_assert_cmpint(ask(keeper, &other, &view12, 200, NULL), ==,
                    PERMIT_NEW_KEEPER);
    g_assert_cmpint(ask(keeper, &lapsed, &view12, 300, NULL), ==,
                    PERMIT_NEW_KEEPER);
    g_assert_cmpint(ask(keeper, &renewal, &view12, 400, NULL), ==,
                    PERMIT_GRANTED);
    PermitKeeper_Destroy(keeper);
}

/* Guards against ejections for a fault of the whole service, and against one
 * sick backend server being held for it. */
static void
test_service_wide(void)
{
    PermitKeeper *keeper =
        PermitKeeper_Create(&(PermitKeeper_desc){.place = 0}, -20000);
    PermitStatus last = PERMIT_GRANTED;

    for (int round = 0; round < 40; round++) {
        for (int i = 0; i < 12; i++) {
            char name[] = {(char)('a' + i), '\0'};
            PermitRequest request = make_request(name, 1, -1, PERMIT_ACQUIRE);

            request.settled = FALSE;
            last = ask(keeper, &request, &view12, round * 500 + i * 20, NULL);
            g_assert_cmpint(last, !=, PERMIT_GRANTED);
        }
    }
    g_assert_cmpint(last, ==, PERMIT_SERVICE_WIDE);
    for (int t = 60000; t <= 60500; t += 500) {
        PermitRequest request = make_request("z", 1, -1, PERMIT_ACQUIRE);

        request.settled = FALSE;
        last = ask(keeper, &request, &view12, t, NULL);
    }
    g_assert_cmpint(last, ==, PERMIT_GRANTED);
    PermitKeeper_Destroy(keeper);
}

/* Guards against request bodies that change on the way, or are accepted when
 * cut. */
static void
test_wire_request(void)
{
    PermitRequest request = make_request("name", 7, 2, PERMIT_ACQUIRE);
    PermitRequest back;
    unsigned char bytes[PERMIT_WIRE_BYTES];
    unsigned char again[PERMIT_WIRE_BYTES];
    size_t size;

    memset(request.service, 'x', PERMIT_NAME_BYTES - 1);
    memset(request.backend_server, 'y', PERMIT_NAME_BYTES - 1);
    size = Permit_EncodeRequest(&request, bytes, sizeof(bytes));
    g_assert_cmpuint(size, >, 0);
    g_assert_true(Permit_DecodeRequest(bytes, size, &back));
    g_assert_cmpuint(Permit_EncodeRequest(&back, again, sizeof(again)), ==,
                     size);
    g_assert_cmpmem(bytes, size, again, size);
    for (size_t cut = 0; cut < size; cut++) {
        g_assert_false(Permit_DecodeRequest(bytes, cut, &back));
    }
}

/* The same for replies. */
static void
test_wire_reply(void)
{
    PermitReply reply = {.claim = 1,
                         .sequence = UINT64_MAX,
                         .status = PERMIT_GRANTED,
                         .number = 4,
                         .retry_ms = 9};
    PermitReply back;
    unsigned char bytes[PERMIT_WIRE_BYTES];
    unsigned char again[PERMIT_WIRE_BYTES];
    size_t size = Permit_EncodeReply(&reply, bytes, sizeof(bytes));

    g_assert_cmpuint(size, >, 0);
    g_assert_true(Permit_DecodeReply(bytes, size, &back));
    g_assert_cmpuint(Permit_EncodeReply(&back, again, sizeof(again)), ==,
                     size);
    g_assert_cmpmem(bytes, size, again, size);
    for (size_t cut = 0; cut < size; cut++) {
        g_assert_false(Permit_DecodeReply(bytes, cut, &back));
    }
}

/* Guards against decoders that overrun a buffer on malformed bodies; the
 * sanitizer builds would stop here. */
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
        PermitRequest back;

        memcpy(changed, bytes, size);
        for (int k = 0; k < 3; k++) {
            changed[Rng_Below(&rng, size)] = (unsigned char)Rng_Next(&rng);
        }
        if (Permit_DecodeRequest(changed, size, &back)) {
            g_assert_cmpuint(back.place, <, PERMIT_PLACES);
            g_assert_cmpint(back.number, >=, PERMIT_NO_NUMBER);
        }
        Permit_DecodeReply(changed, size, &reply);
    }
}

/* The random model: owners with one backend server each, three keepers, and a
 * network that loses, repeats, delays and reorders messages. */
#define OWNERS 12
#define MESSAGES 512
#define STEP_MS 20
/* Longer than a permit lives, by any clock. */
#define MISSING_STEPS (10000 / STEP_MS)

typedef struct Message {
    ClockMs due; /* 0 = free */
    gboolean is_reply;
    uint32_t owner;
    uint64_t generation; /* of the owner that a reply is for */
    PermitRequest request;
    PermitReply reply;
} Message;

typedef struct Owner {
    PermitClaim *claim;
    uint64_t incarnation;
    HealthPermit wanted;
    ClockMs paused_until;
    ClockMs gone_until; /* crashed: missing in the member view */
    double speed;       /* of its clock */
    /* A request that was made before a pause and leaves after it. */
    gboolean held_back;
    PermitRequest request;
    /* The thread that made the request waits for the answer. */
    ClockMs blocked_until;
} Owner;

typedef struct Keeper {
    PermitKeeper *keeper;
    ClockMs paused_until;
    ClockMs vacant_until;
    double speed;
} Keeper;

typedef struct Model {
    Rng rng;
    Owner owners[OWNERS];
    Keeper keepers[PERMIT_PLACES];
    Message messages[MESSAGES];
    PermitView view;
    int cut_from; /* owner whose messages one way are lost, or -1 */
    gboolean cut_replies;
    ClockMs cut_until;
    uint32_t missing[MISSING_STEPS]; /* of the last steps, a ring */
    uint32_t most;
    uint32_t least_usable; /* permits left by missing backend servers */
    uint64_t granted;
    uint64_t replaced;
} Model;

static ClockMs
local(double speed, ClockMs now)
{
    return (ClockMs)((double)now * speed);
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
        ((int)message->owner == model->cut_from && now < model->cut_until &&
         message->is_reply == model->cut_replies)) {
        return;
    }
    for (int i = 0; i < MESSAGES && copies > 0; i++) {
        if (model->messages[i].due == 0) {
            ClockMs delay = 1 + (ClockMs)Rng_Below(&model->rng, 60);

            /* Some messages wait for seconds in a queue. */
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
    owner->held_back = FALSE;
    owner->blocked_until = 0;
    owner->speed = 0.995 + 0.01 * Rng_Unit(&model->rng);
}

static void
step_owner(Model *model, uint32_t i, ClockMs now)
{
    Owner *owner = &model->owners[i];
    ClockMs here = local(owner->speed, now);
    PermitRequest request;

    if (now < owner->gone_until || now < owner->paused_until) {
        return;
    }
    if (chance(model, owner->wanted ? 0.004 : 0.02)) {
        owner->wanted = owner->wanted        ? HEALTH_PERMIT_NONE
                        : chance(model, 0.2) ? HEALTH_PERMIT_SOON
                                             : HEALTH_PERMIT_NOW;
    }
    if (chance(model, 0.0003)) {
        start_owner(model, i);
        owner->gone_until = now + (ClockMs)Rng_Below(&model->rng, 20000);
        return;
    }
    if (owner->held_back) {
        owner->held_back = FALSE;
        owner->blocked_until = now + PERMIT_TIMEOUT_MS;
        send_message(model, now,
                     &(Message){.owner = i, .request = owner->request});
    }
    if (now < owner->blocked_until) {
        return;
    }
    if (PermitClaim_Next(owner->claim, owner->wanted, here, &request)) {
        if (chance(model, 0.03)) {
            owner->paused_until = now + (ClockMs)Rng_Below(&model->rng, 15000);
            owner->held_back = TRUE;
            owner->request = request;
            return;
        }
        send_message(model, now, &(Message){.owner = i, .request = request});
    }
}

static void
step_keeper(Model *model, uint32_t place, ClockMs now)
{
    Keeper *keeper = &model->keepers[place];

    if (keeper->keeper && chance(model, 0.0005)) {
        /* The hold ends: taken over at once or after a vacancy. */
        PermitKeeper_Destroy(keeper->keeper);
        keeper->keeper = NULL;
        keeper->vacant_until =
            chance(model, 0.7) ? now
                               : now + (ClockMs)Rng_Below(&model->rng, 20000);
        model->replaced++;
    }
    if (!keeper->keeper && now >= keeper->vacant_until) {
        PermitKeeper_desc desc = {
            .place = place, .settle_ms = -1, .service_wide_percent = 100};

        keeper->speed = 0.995 + 0.01 * Rng_Unit(&model->rng);
        keeper->keeper = PermitKeeper_Create(&desc, local(keeper->speed, now));
    }
    if (chance(model, 0.0005)) {
        keeper->paused_until = now + (ClockMs)Rng_Below(&model->rng, 15000);
    }
}

static void
deliver(Model *model, Message *message, ClockMs now)
{
    Owner *owner = &model->owners[message->owner];
    Keeper *keeper;
    Message answer = {.is_reply = TRUE,
                      .owner = message->owner,
                      .generation = message->request.incarnation};

    if (message->is_reply) {
        if (now < owner->paused_until) {
            message->due = owner->paused_until;
            return;
        }
        if (message->generation == owner->incarnation &&
            now >= owner->gone_until) {
            owner->blocked_until = 0;
            PermitClaim_Answer(owner->claim, &message->reply,
                               local(owner->speed, now));
        }
        message->due = 0;
        return;
    }
    keeper = &model->keepers[message->request.place];
    if (now < keeper->paused_until) {
        message->due = keeper->paused_until;
        return;
    }
    message->due = 0;
    if (!keeper->keeper) {
        return;
    }
    PermitKeeper_Handle(keeper->keeper, &message->request, &model->view,
                        local(keeper->speed, now), &answer.reply);
    model->granted += answer.reply.status == PERMIT_GRANTED;
    send_message(model, now, &answer);
}

/* Backend servers that were missing all the time that a permit can be held. */
static uint32_t
missing_long(Model *model, uint32_t gone, ClockMs now)
{
    uint32_t least = OWNERS;

    model->missing[now / STEP_MS % MISSING_STEPS] = gone;
    for (int i = 0; i < MISSING_STEPS; i++) {
        least = MIN(least, model->missing[i]);
    }
    return least;
}

static void
check_bound(Model *model, ClockMs now)
{
    uint32_t permits = Permit_Total(&model->view);
    uint32_t ejected = 0;
    uint32_t gone = 0;
    uint32_t usable;

    for (uint32_t i = 0; i < OWNERS; i++) {
        Owner *owner = &model->owners[i];

        if (now < owner->gone_until) {
            gone++;
        }
        else if (now >= owner->paused_until) {
            ejected +=
                PermitClaim_IsHeld(owner->claim, local(owner->speed, now));
        }
    }
    model->view.ready = OWNERS - gone;
    model->most = MAX(model->most, ejected);
    g_assert_cmpuint(ejected, <=, permits);
    usable = permits - MIN(permits, missing_long(model, gone, now));
    model->least_usable = MIN(model->least_usable, usable);
    g_assert_cmpuint(ejected, <=, usable);
}

static void
run_model(uint64_t seed, uint32_t floor_percent, uint32_t *most,
          uint64_t *granted, uint64_t *replaced)
{
    Model *model = g_new0(Model, 1);

    Rng_Seed(&model->rng, seed);
    model->view = (PermitView){
        .total = OWNERS, .floor_percent = floor_percent, .ready = OWNERS};
    model->cut_from = -1;
    for (uint32_t i = 0; i < OWNERS; i++) {
        start_owner(model, i);
    }
    model->least_usable = OWNERS;
    /* One hour. */
    for (ClockMs now = STEP_MS; now < 3600000; now += STEP_MS) {
        if (now >= model->cut_until && chance(model, 0.001)) {
            model->cut_from = (int)Rng_Below(&model->rng, OWNERS);
            model->cut_replies = chance(model, 0.5);
            model->cut_until = now + (ClockMs)Rng_Below(&model->rng, 20000);
        }
        for (uint32_t i = 0; i < PERMIT_PLACES; i++) {
            step_keeper(model, i, now);
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
        PermitKeeper_Destroy(model->keepers[i].keeper);
    }
    *most = model->most;
    /* Backend servers were missing for long enough to matter. */
    g_assert_cmpuint(model->least_usable, <,
                     MAX(Permit_Total(&model->view), 1));
    *granted += model->granted;
    *replaced += model->replaced;
    g_free(model);
}

/* Guards against more ejected backend servers than total minus floor while
 * owners and keepers crash, pause and are replaced, and messages are lost one
 * way, repeated, late and reordered; and against crashes that add up with
 * ejections for longer than a permit lives. The test is void if the failures
 * keep the permits from being used, so it demands that the bound is reached.
 */
static void
test_bound(void)
{
    static const uint32_t floors[] = {75, 50, 90, 100, 60};

    for (uint64_t seed = 1; seed <= 20; seed++) {
        uint32_t floor_percent = floors[seed % G_N_ELEMENTS(floors)];
        PermitView view = {.total = OWNERS, .floor_percent = floor_percent};
        uint32_t most = 0;
        uint64_t granted = 0;
        uint64_t replaced = 0;

        run_model(seed, floor_percent, &most, &granted, &replaced);
        g_assert_cmpuint(most, ==, Permit_Total(&view));
        g_assert_cmpuint(replaced, >, 20);
        if (floor_percent < 90) {
            g_assert_cmpuint(granted, >, 1000);
        }
    }
}

typedef struct ClaimStep {
    ClockMs now;
    HealthPermit wanted;
    gboolean sends; /* Next() makes a request */
    PermitAction action;
    int32_t renews;     /* number in the request */
    ClockMs answered;   /* 0 = the answer, permit 4, is lost */
    ClockMs held_until; /* 0 = not held */
} ClaimStep;

/* Guards against a permit that is lost although its keeper and the path are
 * in order, time that counts from the answer in place of the request, a late
 * answer to a renewal that counts, and use after the release. */
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
    g_test_add_func("/permit/keeper", test_keeper);
    g_test_add_func("/permit/new_keeper_goes_on", test_new_keeper_goes_on);
    g_test_add_func("/permit/service_wide", test_service_wide);
    g_test_add_func("/permit/claim_times", test_claim_times);
    g_test_add_func("/permit/wire_request", test_wire_request);
    g_test_add_func("/permit/wire_reply", test_wire_reply);
    g_test_add_func("/permit/wire_malformed", test_wire_malformed);
    g_test_add_func("/permit/bound", test_bound);
    return g_test_run();
}
