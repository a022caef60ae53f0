/* Tests of the question about an attempt, on loopback sockets. */
#include <glib.h>
#include <pthread.h>

#include "attempt/attempt_rpc.h"
#include "base/counter.h"

#define OWNER_HOST 100
#define ENTRY_HOST 200
#define LOOPBACK 0x7f000001
#define SECRET "sixteen bytes or more"

/* What the owner does with the question. */
typedef enum Owner {
    OWNER_ANSWERS,
    OWNER_EARLIER,   /* an earlier version, without the handler */
    OWNER_ODD,       /* replies with an unknown number */
    OWNER_SLOW,      /* replies after the time of transit */
    OWNER_GONE,      /* its process has ended */
    OWNER_OTHER_HOST /* another host at its address */
} Owner;

static Result
reply_oddly(void *context, const RpcPeer *sender, const GByteArray *body,
            GByteArray *reply)
{
    int32_t state = 9;

    (void)context;
    (void)sender;
    (void)body;
    g_assert_true(Rpc_Encode(reply, (xdrproc_t)xdr_int32_t, &state));
    return RESULT_OK;
}

static Result
reply_slowly(void *context, const RpcPeer *sender, const GByteArray *body,
             GByteArray *reply)
{
    int32_t state = ATTEMPT_NOT_SEEN;

    (void)context;
    (void)sender;
    (void)body;
    g_usleep((gulong)(ATTEMPT_MAX_TRANSIT_MS + 100) * 1000);
    g_assert_true(Rpc_Encode(reply, (xdrproc_t)xdr_int32_t, &state));
    return RESULT_OK;
}

static Rpc *
create_rpc(uint64_t host)
{
    Rpc_desc desc = {.host = host,
                     .incarnation = 1,
                     .secret = SECRET,
                     .secret_bytes = sizeof(SECRET)};
    Rpc *rpc = Rpc_Create(&desc, NULL);

    g_assert_nonnull(rpc);
    return rpc;
}

static Rpc *
start_owner(Owner kind, AttemptLog *log)
{
    Rpc *rpc = create_rpc(OWNER_HOST);

    if (kind == OWNER_ODD) {
        Rpc_Handle(rpc, RPC_KIND_ATTEMPT_VOID, reply_oddly, NULL);
    }
    else if (kind == OWNER_SLOW) {
        Rpc_Handle(rpc, RPC_KIND_ATTEMPT_VOID, reply_slowly, NULL);
    }
    else if (kind != OWNER_EARLIER) {
        AttemptRpc_Serve(rpc, log);
    }
    g_assert_true(Rpc_Start(rpc, NULL));
    return rpc;
}

/* Guards against a request that is sent elsewhere on any reply but a timely
 * "not seen", and against an outcome that is not counted. */
static void
test_ask(void)
{
    static const struct {
        Owner owner;
        gboolean arrived;
        ClockMs sent_ago_ms;
        int timeout_ms;
        AttemptAsk expected;
        Counter counter;
    } cases[] = {
        {OWNER_ANSWERS, FALSE, 10, 2000, ATTEMPT_ASK_NOT_SEEN,
         COUNTER_ATTEMPTS_NOT_SEEN},
        {OWNER_ANSWERS, TRUE, 10, 2000, ATTEMPT_ASK_SEEN,
         COUNTER_ATTEMPTS_SEEN},
        {OWNER_ANSWERS, FALSE, 20000, 2000, ATTEMPT_ASK_UNKNOWN,
         COUNTER_ATTEMPTS_UNKNOWN},
        {OWNER_EARLIER, FALSE, 10, 2000, ATTEMPT_ASK_UNKNOWN,
         COUNTER_ATTEMPTS_UNKNOWN},
        {OWNER_ODD, FALSE, 10, 2000, ATTEMPT_ASK_UNKNOWN,
         COUNTER_ATTEMPTS_UNKNOWN},
        {OWNER_SLOW, FALSE, 10, 2000, ATTEMPT_ASK_UNKNOWN,
         COUNTER_ATTEMPTS_UNKNOWN},
        {OWNER_OTHER_HOST, FALSE, 10, 2000, ATTEMPT_ASK_UNKNOWN,
         COUNTER_ATTEMPTS_UNKNOWN},
        {OWNER_GONE, FALSE, 10, 50, ATTEMPT_ASK_NO_REPLY,
         COUNTER_ATTEMPTS_NO_REPLY},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const uint64_t id = i + 1;
        AttemptLog *log = AttemptLog_Create(
            &(AttemptLog_desc){.started = Clock_Now() - 10000});
        Rpc *entry = create_rpc(ENTRY_HOST);
        Rpc *owner = start_owner(cases[i].owner, log);
        RpcPeer peer = {
            .host = OWNER_HOST, .ip = LOOPBACK, .port = Rpc_GetPort(owner)};
        uint64_t counted = Counter_Get(cases[i].counter);

        g_assert_true(Rpc_Start(entry, NULL));
        if (cases[i].arrived) {
            g_assert_true(AttemptLog_Note(log, id, Clock_Now()));
        }
        if (cases[i].owner == OWNER_GONE) {
            Rpc_Stop(owner);
        }
        if (cases[i].owner == OWNER_OTHER_HOST) {
            peer.host = OWNER_HOST + 1;
        }
        g_assert_cmpint(AttemptRpc_Ask(entry, &peer, id,
                                       Clock_Now() - cases[i].sent_ago_ms,
                                       cases[i].timeout_ms),
                        ==, cases[i].expected);
        g_assert_cmpuint(Counter_Get(cases[i].counter), ==, counted + 1);
        if (cases[i].owner == OWNER_ANSWERS) {
            g_assert_cmpint(AttemptLog_Note(log, id, Clock_Now()), ==,
                            cases[i].expected != ATTEMPT_ASK_NOT_SEEN);
        }
        Rpc_Stop(entry);
        Rpc_Stop(owner);
        Rpc_Destroy(entry);
        Rpc_Destroy(owner);
        AttemptLog_Destroy(log);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/attempt-rpc/ask", test_ask);
    return g_test_run();
}
