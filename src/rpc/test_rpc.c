/* Tests of rpc on loopback sockets: authentication, sessions, duplicates. */
#include "rpc/rpc.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/rng.h"
#include "rpc/seal.h"
#include "rpc/session.h"

#define SERVER_HOST 100
#define CLIENT_HOST 200
#define ECHO_KIND RPC_KIND_PING
#define SLOW_KIND RPC_KIND_DRAW
#define LOOPBACK 0x7f000001

static unsigned char secret[] = "sixteen bytes or more";

typedef struct Fixture {
    Rpc *server;
    Rpc *client;
    RpcPeer to;
    int runs; /* atomic; number of handler runs */
    pthread_mutex_t gate;
} Fixture;

static Result
echo(void *context, const RpcPeer *sender, const GByteArray *body,
     GByteArray *reply)
{
    Fixture *fixture = context;

    g_assert_cmpuint(sender->host, !=, 0);
    __atomic_add_fetch(&fixture->runs, 1, __ATOMIC_ACQ_REL);
    g_byte_array_append(reply, body->data, body->len);
    return RESULT_OK;
}

/* Waits until the test unlocks the gate, then echoes. */
static Result
wait_for_gate(void *context, const RpcPeer *sender, const GByteArray *body,
              GByteArray *reply)
{
    Fixture *fixture = context;

    pthread_mutex_lock(&fixture->gate);
    pthread_mutex_unlock(&fixture->gate);
    return echo(context, sender, body, reply);
}

static Rpc *
create_rpc(uint64_t host, uint64_t incarnation, const unsigned char *key,
           gboolean accept_old)
{
    GError *error = NULL;
    Rpc_desc desc = {.host = host,
                     .incarnation = incarnation,
                     .secret = key,
                     .secret_bytes = sizeof(secret),
                     .retransmit_ms = 30,
                     .handles = 8,
                     ._accept_old_sessions = accept_old};
    Rpc *rpc = Rpc_Create(&desc, &error);

    g_assert_no_error(error);
    return rpc;
}

static Rpc *
start_rpc(Fixture *fixture, uint64_t host, uint64_t incarnation,
          gboolean accept_old)
{
    Rpc *rpc = create_rpc(host, incarnation, secret, accept_old);

    Rpc_Handle(rpc, ECHO_KIND, echo, fixture);
    Rpc_Handle(rpc, SLOW_KIND, wait_for_gate, fixture);
    g_assert_true(Rpc_Start(rpc, NULL));
    return rpc;
}

static void
set_up(Fixture *fixture, gboolean accept_old)
{
    memset(fixture, 0, sizeof(*fixture));
    pthread_mutex_init(&fixture->gate, NULL);
    fixture->server = start_rpc(fixture, SERVER_HOST, 7, accept_old);
    fixture->client = start_rpc(fixture, CLIENT_HOST, 5, FALSE);
    fixture->to = (RpcPeer){.host = SERVER_HOST,
                            .incarnation = 7,
                            .ip = LOOPBACK,
                            .port = Rpc_GetPort(fixture->server)};
}

static void
tear_down(Fixture *fixture)
{
    Rpc_Stop(fixture->client);
    Rpc_Stop(fixture->server);
    Rpc_Destroy(fixture->client);
    Rpc_Destroy(fixture->server);
    pthread_mutex_destroy(&fixture->gate);
}

static int
get_runs(Fixture *fixture)
{
    return __atomic_load_n(&fixture->runs, __ATOMIC_ACQUIRE);
}

static GByteArray *
bytes_of(size_t length)
{
    GByteArray *bytes = g_byte_array_new();

    g_byte_array_set_size(bytes, (guint)length);
    memset(bytes->data, 'x', length);
    return bytes;
}

/* Guards against replies that reach the wrong caller or are incomplete. */
static void
test_call(void)
{
    static const size_t lengths[] = {1, 2, 5, 4096, RPC_MAX_BODY_BYTES};
    GByteArray *reply = g_byte_array_new();
    Fixture fixture;
    RpcPeer responder = {0};

    set_up(&fixture, FALSE);
    for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
        GByteArray *body = bytes_of(lengths[i]);

        g_byte_array_set_size(reply, 0);
        g_assert_cmpint(Rpc_CallWithResponder(fixture.client, &fixture.to,
                                              ECHO_KIND, body, reply, 2000,
                                              &responder),
                        ==, RESULT_OK);
        g_assert_cmpmem(reply->data, reply->len, body->data, body->len);
        g_byte_array_unref(body);
    }
    g_assert_cmpuint(responder.host, ==, SERVER_HOST);
    g_assert_cmpuint(responder.incarnation, ==, 7);
    g_assert_cmpint(
        Rpc_Call(fixture.client, &fixture.to, 33, NULL, NULL, 2000), ==,
        RESULT_RPC_UNKNOWN_KIND);
    g_byte_array_set_size(reply, RPC_MAX_BODY_BYTES + 1);
    g_assert_cmpint(
        Rpc_Call(fixture.client, &fixture.to, ECHO_KIND, reply, NULL, 2000),
        ==, RESULT_TOO_LARGE);
    g_byte_array_unref(reply);
    tear_down(&fixture);
}

/* Guards against a message that is addressed to an earlier incarnation, or to
 * a host that had the address before, and runs the handler of the present
 * host. */
static void
test_wrong_receiver(void)
{
    static const struct {
        uint64_t host;
        uint64_t incarnation;
        Result expected;
    } cases[] = {{SERVER_HOST, 7, RESULT_OK},
                 {0, 0, RESULT_OK},
                 {SERVER_HOST, 0, RESULT_OK},
                 {SERVER_HOST, 6, RESULT_RPC_WRONG_RECEIVER},
                 {SERVER_HOST + 1, 7, RESULT_RPC_WRONG_RECEIVER},
                 {SERVER_HOST + 1, 0, RESULT_RPC_WRONG_RECEIVER}};
    Fixture fixture;
    int expected_runs = 0;

    set_up(&fixture, FALSE);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        fixture.to.host = cases[i].host;
        fixture.to.incarnation = cases[i].incarnation;
        g_assert_cmpint(
            Rpc_Call(fixture.client, &fixture.to, ECHO_KIND, NULL, NULL, 2000),
            ==, cases[i].expected);
        expected_runs += cases[i].expected == RESULT_OK;
    }
    g_assert_cmpint(get_runs(&fixture), ==, expected_runs);
    tear_down(&fixture);
}

/* Guards against replies to a daemon that has another fleet secret. */
static void
test_wrong_secret(void)
{
    unsigned char other[sizeof(secret)] = "another secret, long";
    uint64_t refused = Counter_Get(COUNTER_RPC_REFUSED);
    Fixture fixture;
    Rpc *stranger;

    set_up(&fixture, FALSE);
    stranger = create_rpc(300, 1, other, FALSE);
    g_assert_cmpint(
        Rpc_Call(stranger, &fixture.to, ECHO_KIND, NULL, NULL, 100), ==,
        RESULT_RPC_TIMEOUT);
    g_assert_cmpint(get_runs(&fixture), ==, 0);
    g_assert_cmpuint(Counter_Get(COUNTER_RPC_REFUSED), >, refused);
    Rpc_Destroy(stranger);
    tear_down(&fixture);
}

/* Guards against messages of a host's earlier incarnation that are accepted
 * after its restart, from the old process or from a recording. With the check
 * disabled the old message is accepted, which shows that the case tests the
 * check. */
static void
test_old_session(void)
{
    static const gboolean accept_old[] = {FALSE, TRUE};

    for (size_t i = 0; i < G_N_ELEMENTS(accept_old); i++) {
        Fixture fixture;
        Rpc *later;

        set_up(&fixture, accept_old[i]);
        later = create_rpc(CLIENT_HOST, 6, secret, FALSE);
        g_assert_cmpint(
            Rpc_Call(fixture.client, &fixture.to, ECHO_KIND, NULL, NULL, 2000),
            ==, RESULT_OK);
        g_assert_cmpint(
            Rpc_Call(later, &fixture.to, ECHO_KIND, NULL, NULL, 2000), ==,
            RESULT_OK);
        g_assert_cmpint(
            Rpc_Call(fixture.client, &fixture.to, ECHO_KIND, NULL, NULL, 2000),
            ==, accept_old[i] ? RESULT_OK : RESULT_RPC_OLD_SESSION);
        g_assert_cmpint(get_runs(&fixture), ==, accept_old[i] ? 3 : 2);
        g_assert_cmpuint(Rpc_GetRefusedIncarnation(fixture.client), ==,
                         accept_old[i] ? 0 : 6);
        Rpc_Destroy(later);
        tear_down(&fixture);
    }
}

/* Guards against a reply of a peer's earlier incarnation that is accepted
 * after a member record has reported a later one. */
static void
test_old_responder(void)
{
    Fixture fixture;

    set_up(&fixture, FALSE);
    fixture.to.incarnation = 0;
    Rpc_RecordIncarnation(fixture.client, SERVER_HOST, 8);
    g_assert_cmpint(
        Rpc_Call(fixture.client, &fixture.to, ECHO_KIND, NULL, NULL, 200), ==,
        RESULT_RPC_TIMEOUT);
    tear_down(&fixture);
}

/* Opens a socket on which the test sends and receives raw datagrams. */
static int
open_socket(uint16_t *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(LOOPBACK)};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, length), ==, 0);
    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &length), ==,
                    0);
    *port = ntohs(address.sin_port);
    return fd;
}

static void
send_to(int fd, uint16_t port, const void *bytes, size_t length)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(LOOPBACK)};

    g_assert_cmpint(
        sendto(fd, bytes, length, 0, (struct sockaddr *)&to, sizeof(to)), ==,
        (gssize)length);
}

static RpcSealed
request_of(uint64_t incarnation, uint64_t sequence, uint32_t kind, char *body,
           uint32_t length)
{
    RpcSecret key = {.bytes = secret, .length = sizeof(secret)};
    RpcSealed message = {.header = {.direction = RPC_REQUEST,
                                    .sender = CLIENT_HOST,
                                    .sender_incarnation = incarnation,
                                    .receiver = SERVER_HOST,
                                    .receiver_incarnation = 7,
                                    .sequence = sequence,
                                    .kind = kind},
                         .body = {.body_len = length, .body_val = body}};

    RpcSeal_SetMac(&key, &message);
    return message;
}

/* Encodes an ONC RPC call and returns its length. */
static size_t
encode_call(char *datagram, size_t size, uint32_t xid, RpcSealed *message)
{
    struct rpc_msg call = {.rm_xid = xid, .rm_direction = CALL};
    size_t length;
    XDR xdr;

    call.rm_call.cb_rpcvers = 2;
    call.rm_call.cb_prog = RPC_PROGRAM;
    call.rm_call.cb_vers = RPC_VERSION;
    call.rm_call.cb_proc = RPC_CALL;
    call.rm_call.cb_cred = _null_auth;
    call.rm_call.cb_verf = _null_auth;
    xdrmem_create(&xdr, datagram, (u_int)size, XDR_ENCODE);
    g_assert_true(xdr_callmsg(&xdr, &call));
    g_assert_true(xdr_RpcSealed(&xdr, message));
    length = xdr_getpos(&xdr);
    xdr_destroy(&xdr);
    return length;
}

/* Returns the result in the next reply on the socket, -1 if none arrives
 * within 300 ms. */
static int
read_reply(int fd)
{
    struct pollfd wait = {.fd = fd, .events = POLLIN};
    RpcSealed message = {.header = {0}};
    struct rpc_msg reply = {.rm_xid = 0};
    struct accepted_reply *accepted = &reply.rm_reply.rp_acpt;
    char datagram[9000];
    ssize_t length;
    int result;
    XDR xdr;

    if (poll(&wait, 1, 300) != 1) {
        return -1;
    }
    length = recv(fd, datagram, sizeof(datagram), 0);
    g_assert_cmpint(length, >, 0);
    accepted->ar_verf = _null_auth;
    accepted->ar_results.where = (caddr_t)&message;
    accepted->ar_results.proc = (xdrproc_t)xdr_RpcSealed;
    xdrmem_create(&xdr, datagram, (u_int)length, XDR_DECODE);
    g_assert_true(xdr_replymsg(&xdr, &reply));
    result = (int)message.header.result;
    xdr_destroy(&xdr);
    xdr_free((xdrproc_t)xdr_RpcSealed, &message);
    return result;
}

/* Guards against a replayed datagram that runs the handler again: one with a
 * known sequence number gets the cached reply, one below the window is
 * refused, one of an earlier incarnation is refused. */
static void
test_replay(void)
{
    static const struct {
        uint64_t incarnation;
        uint64_t sequence;
        int expected;
        int runs; /* total number of handler runs */
    } cases[] = {{5, 10, RESULT_OK, 1},
                 {5, 10, RESULT_OK, 1},
                 {5, 11, RESULT_OK, 2},
                 {5, 10, RESULT_OK, 2},
                 {5, 1000, RESULT_OK, 3},
                 {6, 10, RESULT_OK, 4},
                 {5, 10, RESULT_RPC_OLD_SESSION, 4},
                 {5, 1001, RESULT_RPC_OLD_SESSION, 4},
                 {6, 10, RESULT_OK, 4}};
    uint64_t duplicates = Counter_Get(COUNTER_RPC_REPEATS);
    char datagram[9000];
    char body[] = "body";
    Fixture fixture;
    uint16_t port;
    int fd = open_socket(&port);

    set_up(&fixture, FALSE);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        RpcSealed message = request_of(cases[i].incarnation, cases[i].sequence,
                                       ECHO_KIND, body, sizeof(body));
        size_t length =
            encode_call(datagram, sizeof(datagram), (uint32_t)i, &message);

        send_to(fd, fixture.to.port, datagram, length);
        g_assert_cmpint(read_reply(fd), ==, cases[i].expected);
        g_assert_cmpint(get_runs(&fixture), ==, cases[i].runs);
    }
    g_assert_cmpuint(Counter_Get(COUNTER_RPC_REPEATS) - duplicates, ==, 3);
    close(fd);
    tear_down(&fixture);
}

/* Guards against a server that stops, crashes or runs a handler on damaged
 * datagrams: one flipped bit anywhere, truncated, too long, random. */
static void
test_damaged(void)
{
    char datagram[60000];
    char copy[sizeof(datagram)];
    char body[] = "0123456789";
    Fixture fixture;
    uint16_t port;
    size_t length;
    int fd = open_socket(&port);
    RpcSealed message;
    Rng rng;

    Rng_Seed(&rng, 42);
    set_up(&fixture, FALSE);
    message = request_of(5, 1, ECHO_KIND, body, sizeof(body) - 1);
    length = encode_call(datagram, sizeof(datagram), 1, &message);
    for (size_t i = 40; i < length - 2; i++) { /* the last 2 are padding */
        memcpy(copy, datagram, length);
        copy[i] ^= (char)(1u << Rng_Below(&rng, 8));
        send_to(fd, fixture.to.port, copy, length);
    }
    for (size_t i = 0; i < length; i++) {
        send_to(fd, fixture.to.port, datagram, i);
    }
    for (size_t i = 0; i < sizeof(copy); i++) {
        copy[i] = (char)Rng_Next(&rng);
    }
    memcpy(copy, datagram, 40); /* a valid call header with random content */
    for (int i = 0; i < 200; i++) {
        send_to(fd, fixture.to.port, copy, 40 + Rng_Below(&rng, 50000));
        send_to(fd, fixture.to.port, copy + 41, Rng_Below(&rng, 9000));
    }
    memcpy(copy, datagram, length);
    send_to(fd, fixture.to.port, copy, sizeof(copy) - 40);
    /* The server still replies to a valid call that was sent after all these
     * datagrams. */
    g_assert_cmpint(
        Rpc_Call(fixture.client, &fixture.to, ECHO_KIND, NULL, NULL, 5000), ==,
        RESULT_OK);
    g_assert_cmpint(get_runs(&fixture), <=, 2);
    close(fd);
    tear_down(&fixture);
}

/* Guards against a slow handler of one kind that blocks pings, and against a
 * duplicate that runs the handler again while the first run is in progress. */
static void
test_slow_handler(void)
{
    char datagram[9000];
    Fixture fixture;
    uint16_t port;
    int fd = open_socket(&port);

    set_up(&fixture, FALSE);
    pthread_mutex_lock(&fixture.gate);
    for (uint64_t i = 0; i < 8; i++) {
        RpcSealed message = request_of(5, 500 + i / 2, SLOW_KIND, NULL, 0);

        send_to(
            fd, fixture.to.port, datagram,
            encode_call(datagram, sizeof(datagram), (uint32_t)i, &message));
    }
    for (int i = 0; i < 20; i++) {
        g_assert_cmpint(
            Rpc_Call(fixture.client, &fixture.to, ECHO_KIND, NULL, NULL, 2000),
            ==, RESULT_OK);
    }
    g_assert_cmpint(get_runs(&fixture), ==, 20);
    pthread_mutex_unlock(&fixture.gate);
    for (int i = 0; i < 4; i++) {
        g_assert_cmpint(read_reply(fd), ==, RESULT_OK);
    }
    g_assert_cmpint(get_runs(&fixture), ==, 24);
    close(fd);
    tear_down(&fixture);
}

/* Relays datagrams between client and server. `script` has one letter for each
 * reply of the server: p pass, d drop, h hold back and pass it just before the
 * next reply that passes. After its end all replies pass. */
typedef struct Relay {
    const char *script;
    int front; /* socket towards the client */
    int back;  /* socket towards the server */
    uint16_t front_port;
    uint16_t server_port;
    int stop_pipe; /* read end; a byte ends the thread */
} Relay;

static void
relay_reply(Relay *relay, size_t *at, const struct sockaddr_in *client)
{
    static char held[9000];
    static ssize_t held_length;
    char datagram[9000];
    ssize_t length = recv(relay->back, datagram, sizeof(datagram), 0);
    char step = relay->script[*at] != 0 ? relay->script[(*at)++] : 'p';

    g_assert_cmpint(length, >, 0);
    if (step == 'h') {
        memcpy(held, datagram, (size_t)length);
        held_length = length;
    }
    else if (step == 'p') {
        if (held_length > 0) {
            /* Gives the held reply the transaction id of the current call, so
             * that only its RpcSealed differs from the expected reply. */
            memcpy(held, datagram, 4);
            send_to(relay->front, ntohs(client->sin_port), held,
                    (size_t)held_length);
            held_length = 0;
        }
        send_to(relay->front, ntohs(client->sin_port), datagram,
                (size_t)length);
    }
}

static void *
run_relay(void *context)
{
    Relay *relay = context;
    struct sockaddr_in client = {0};
    struct pollfd fds[] = {{.fd = relay->front, .events = POLLIN},
                           {.fd = relay->back, .events = POLLIN},
                           {.fd = relay->stop_pipe, .events = POLLIN}};
    char datagram[9000];
    size_t at = 0;

    while (poll(fds, G_N_ELEMENTS(fds), -1) > 0 && fds[2].revents == 0) {
        if (fds[0].revents != 0) {
            socklen_t size = sizeof(client);
            ssize_t length = recvfrom(relay->front, datagram, sizeof(datagram),
                                      0, (struct sockaddr *)&client, &size);

            send_to(relay->back, relay->server_port, datagram, (size_t)length);
        }
        if (fds[1].revents != 0) {
            relay_reply(relay, &at, &client);
        }
    }
    return NULL;
}

/* Makes two calls through the relay. */
static void
call_twice(Fixture *fixture, gboolean is_first_held)
{
    GByteArray *first = bytes_of(3);
    GByteArray *second = bytes_of(9);
    GByteArray *reply = g_byte_array_new();
    Result result = Rpc_Call(fixture->client, &fixture->to, ECHO_KIND, first,
                             reply, is_first_held ? 20 : 5000);

    if (!is_first_held) {
        g_assert_cmpint(result, ==, RESULT_OK);
        g_assert_cmpuint(reply->len, ==, first->len);
    }
    g_byte_array_set_size(reply, 0);
    g_assert_cmpint(Rpc_Call(fixture->client, &fixture->to, ECHO_KIND, second,
                             reply, 5000),
                    ==, RESULT_OK);
    g_assert_cmpuint(reply->len, ==, second->len);
    g_assert_cmpint(get_runs(fixture), ==, 2);
    g_byte_array_unref(first);
    g_byte_array_unref(second);
    g_byte_array_unref(reply);
}

/* Guards against a lost reply that makes the handler run twice, and against a
 * reply to an earlier call that is accepted as the reply to this one. */
static void
test_lost_and_crossed(void)
{
    static const char *const scripts[] = {"p", "d", "dd", "hp", "hdp"};

    for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
        Relay relay = {.script = scripts[i]};
        Fixture fixture;
        uint16_t port;
        pthread_t thread;
        int stop_pipe[2];

        set_up(&fixture, FALSE);
        g_assert_cmpint(pipe(stop_pipe), ==, 0);
        relay.stop_pipe = stop_pipe[0];
        relay.front = open_socket(&relay.front_port);
        relay.back = open_socket(&port);
        relay.server_port = fixture.to.port;
        pthread_create(&thread, NULL, run_relay, &relay);
        fixture.to.port = relay.front_port;
        call_twice(&fixture, scripts[i][0] == 'h');
        g_assert_cmpint(write(stop_pipe[1], "", 1), ==, 1);
        pthread_join(thread, NULL);
        close(relay.front);
        close(relay.back);
        close(stop_pipe[0]);
        close(stop_pipe[1]);
        tear_down(&fixture);
    }
}

typedef struct Caller {
    Fixture *fixture;
    size_t length;
} Caller;

static void *
call_often(void *context)
{
    Caller *caller = context;
    GByteArray *body = bytes_of(caller->length);
    GByteArray *reply = g_byte_array_new();

    for (int i = 0; i < 200; i++) {
        g_byte_array_set_size(reply, 0);
        g_assert_cmpint(Rpc_Call(caller->fixture->client, &caller->fixture->to,
                                 SLOW_KIND, body, reply, 10000),
                        ==, RESULT_OK);
        g_assert_cmpuint(reply->len, ==, caller->length);
    }
    g_byte_array_unref(body);
    g_byte_array_unref(reply);
    return NULL;
}

/* Guards against a handle that two threads use at the same time: there are
 * more threads than handles, and each thread checks that it gets its own
 * replies. */
static void
test_concurrent(void)
{
    Caller callers[12];
    pthread_t threads[G_N_ELEMENTS(callers)];
    Fixture fixture;

    set_up(&fixture, FALSE);
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        callers[i] = (Caller){.fixture = &fixture, .length = 10 + i};
        pthread_create(&threads[i], NULL, call_often, &callers[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        pthread_join(threads[i], NULL);
    }
    g_assert_cmpint(get_runs(&fixture), ==, 200 * (int)G_N_ELEMENTS(callers));
    tear_down(&fixture);
}

/* Guards against calls that exceed their timeout when the peer does not reply
 * or its port is closed. */
static void
test_timeout(void)
{
    Fixture fixture;
    uint16_t port;
    int fd = open_socket(&port);
    ClockMs start;

    set_up(&fixture, FALSE);
    fixture.to.port = port;
    for (int i = 0; i < 2; i++) {
        start = Clock_Now();
        g_assert_cmpint(
            Rpc_Call(fixture.client, &fixture.to, ECHO_KIND, NULL, NULL, 100),
            ==, RESULT_RPC_TIMEOUT);
        g_assert_cmpint(Clock_Now() - start, <, 1000);
        if (i == 0) {
            g_assert_cmpint(Clock_Now() - start, >=, 99);
            close(fd);
        }
    }
    tear_down(&fixture);
}

/* Guards against a host that gets no reply any more from one that did not run
 * for a while, because late replies to earlier calls take the time of each
 * further one. */
static void
test_late_replies(void)
{
    enum { TIMEOUT_MS = 200 };
    Fixture fixture;
    RpcPeer to = {.host = SERVER_HOST, .incarnation = 7, .ip = LOOPBACK};
    Rpc *server;

    set_up(&fixture, FALSE);
    server = create_rpc(SERVER_HOST, 7, secret, FALSE);
    Rpc_Handle(server, ECHO_KIND, echo, &fixture);
    to.port = Rpc_GetPort(server);
    g_assert_cmpint(
        Rpc_Call(fixture.client, &to, ECHO_KIND, NULL, NULL, TIMEOUT_MS), ==,
        RESULT_RPC_TIMEOUT);
    g_assert_true(Rpc_Start(server, NULL));
    g_usleep(50000); /* the late replies have arrived */
    for (int i = 0; i < 5; i++) {
        g_assert_cmpint(
            Rpc_Call(fixture.client, &to, ECHO_KIND, NULL, NULL, TIMEOUT_MS),
            ==, RESULT_OK);
    }
    Rpc_Stop(server);
    Rpc_Destroy(server);
    tear_down(&fixture);
}

/* Guards against unbounded memory for the windows and replies of many senders,
 * and against a new sender that evicts a recently active one. */
static void
test_session_bounds(void)
{
    RpcSession *session = RpcSession_Create(100, FALSE);
    GByteArray *reply = bytes_of(6000);
    GByteArray *cached = g_byte_array_new();
    Result result = RESULT_OK;

    for (uint64_t host = 1; host <= 100; host++) {
        for (uint64_t sequence = 1; sequence <= 400; sequence++) {
            g_assert_cmpint(RpcSession_Accept(session, 1000, host, 1, sequence,
                                              &result, cached),
                            ==, RPC_ACCEPT_RUN);
            RpcSession_Store(session, host, 1, sequence, RESULT_OK, reply);
        }
    }
    g_assert_cmpuint(RpcSession_GetBytes(session), <, 1100 * 1024);
    g_assert_cmpint(
        RpcSession_Accept(session, 1000, 1, 1, 150, &result, cached), ==,
        RPC_ACCEPT_REFUSE);
    g_assert_cmpint(result, ==, RESULT_RPC_REPLAYED);
    g_assert_cmpint(
        RpcSession_Accept(session, 1000, 1, 1, 144, &result, cached), ==,
        RPC_ACCEPT_REFUSE);
    g_assert_cmpint(
        RpcSession_Accept(session, 500000, 101, 1, 1, &result, cached), ==,
        RPC_ACCEPT_REFUSE);
    g_assert_cmpint(result, ==, RESULT_FULL);
    g_assert_cmpint(
        RpcSession_Accept(session, 601000, 101, 1, 1, &result, cached), ==,
        RPC_ACCEPT_RUN);
    g_byte_array_unref(reply);
    g_byte_array_unref(cached);
    RpcSession_Destroy(session);
}

/* Guards against a replay from below the window after the window has grown:
 * its free slots must not accept sequence numbers that were evicted before. */
static void
test_session_floor(void)
{
    static const struct {
        ClockMs now;
        uint64_t sequence;
        RpcAcceptance expected;
    } cases[] = {{0, 1, RPC_ACCEPT_RUN},         {0, 2, RPC_ACCEPT_RUN},
                 {10000, 3, RPC_ACCEPT_RUN}, /* replaces 1 */
                 {10000, 4, RPC_ACCEPT_RUN}, /* replaces 2 */
                 {10000, 5, RPC_ACCEPT_RUN}, /* the window grows */
                 {10000, 1, RPC_ACCEPT_REFUSE},  {10000, 2, RPC_ACCEPT_REFUSE},
                 {10000, 3, RPC_ACCEPT_RUNNING}, {10000, 6, RPC_ACCEPT_RUN}};
    RpcSession *session = RpcSession_Create(4, FALSE);
    GByteArray *reply = g_byte_array_new();
    Result result;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(RpcSession_Accept(session, cases[i].now, 9, 1,
                                          cases[i].sequence, &result, reply),
                        ==, cases[i].expected);
    }
    g_byte_array_unref(reply);
    RpcSession_Destroy(session);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rpc/call", test_call);
    g_test_add_func("/rpc/wrong-receiver", test_wrong_receiver);
    g_test_add_func("/rpc/wrong-secret", test_wrong_secret);
    g_test_add_func("/rpc/old-session", test_old_session);
    g_test_add_func("/rpc/old-responder", test_old_responder);
    g_test_add_func("/rpc/replay", test_replay);
    g_test_add_func("/rpc/damaged", test_damaged);
    g_test_add_func("/rpc/slow-handler", test_slow_handler);
    g_test_add_func("/rpc/lost-and-crossed", test_lost_and_crossed);
    g_test_add_func("/rpc/concurrent", test_concurrent);
    g_test_add_func("/rpc/timeout", test_timeout);
    g_test_add_func("/rpc/late-replies", test_late_replies);
    g_test_add_func("/rpc/session-bounds", test_session_bounds);
    g_test_add_func("/rpc/session-floor", test_session_floor);
    return g_test_run();
}
