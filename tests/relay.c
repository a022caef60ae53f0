#include "relay.h"

#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CONNECTIONS 256
#define POLL_MS 20
#define MAX_BYTES 65536

typedef struct Connection {
    int caller;
    int target;
    gboolean discard_forward;
    gboolean discard_back;
    int received; /* bytes from the target */
} Connection;

struct Relay {
    int listener;
    int port;
    atomic_int target;
    atomic_bool stopping;
    atomic_bool all_broken;
    atomic_int rate;       /* bytes per second from the target; 0: no limit */
    atomic_int total_rate; /* the same for all connections together */
    atomic_int end_after;  /* bytes; 0: connections do not end */
    pthread_mutex_t lock;
    Connection connections[MAX_CONNECTIONS];
    int count;
    pthread_t thread;
};

static struct sockaddr_in
loopback(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static void
accept_connection(Relay *relay)
{
    struct sockaddr_in address = loopback(atomic_load(&relay->target));
    int caller = accept(relay->listener, NULL, NULL);
    int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    pthread_mutex_lock(&relay->lock);
    if (caller >= 0 && relay->count < MAX_CONNECTIONS &&
        connect(target, (struct sockaddr *)&address, sizeof(address)) == 0) {
        relay->connections[relay->count++] =
            (Connection){.caller = caller, .target = target};
        caller = -1;
        target = -1;
    }
    pthread_mutex_unlock(&relay->lock);
    if (caller >= 0) {
        close(caller);
    }
    if (target >= 0) {
        close(target);
    }
}

/* Forwards or discards the bytes that have arrived, and counts them. Returns
 * FALSE when the connection has ended. */
static gboolean
forward_bytes(int from, int to, size_t limit, gboolean discard, int *count)
{
    char buffer[MAX_BYTES];
    ssize_t bytes = recv(from, buffer, limit, MSG_DONTWAIT);

    *count += (int)MAX(bytes, 0);

    if (bytes <= 0) {
        /* The end of a broken connection is not forwarded either. */
        return discard;
    }
    return discard || send(to, buffer, (size_t)bytes, MSG_NOSIGNAL) == bytes;
}

/* Returns how much a connection may get now. */
static size_t
find_limit(const Relay *relay, const struct pollfd *fds)
{
    int rate = atomic_load(&relay->rate);
    int total = atomic_load(&relay->total_rate);
    int sending = 0;

    for (int i = 0; i < relay->count; i++) {
        sending += fds[2 + 2 * i].revents != 0;
    }
    if (total > 0) {
        rate = total / MAX(sending, 1);
    }
    return rate > 0 ? (size_t)CLAMP(rate / (1000 / POLL_MS), 1, MAX_BYTES)
                    : MAX_BYTES;
}

static void
serve_connections(Relay *relay, struct pollfd *fds)
{
    gboolean all = atomic_load(&relay->all_broken);
    int end_after = atomic_load(&relay->end_after);
    size_t limit = find_limit(relay, fds);

    for (int i = relay->count - 1; i >= 0; i--) {
        Connection *connection = &relay->connections[i];
        gboolean open = TRUE;
        int sent = 0;

        if (fds[1 + 2 * i].revents != 0) {
            open = forward_bytes(connection->caller, connection->target,
                                 MAX_BYTES, all || connection->discard_forward,
                                 &sent);
        }
        if (open && fds[2 + 2 * i].revents != 0) {
            open = forward_bytes(connection->target, connection->caller, limit,
                                 all || connection->discard_back,
                                 &connection->received);
        }
        if (end_after > 0 && connection->received >= end_after) {
            open = FALSE;
        }
        if (!open) {
            close(connection->caller);
            close(connection->target);
            relay->connections[i] = relay->connections[--relay->count];
        }
    }
}

static void *
run(void *context)
{
    struct pollfd fds[1 + 2 * MAX_CONNECTIONS];
    Relay *relay = context;
    int count;

    while (!atomic_load(&relay->stopping)) {
        pthread_mutex_lock(&relay->lock);
        count = relay->count;
        fds[0] = (struct pollfd){.fd = relay->listener, .events = POLLIN};
        for (int i = 0; i < count; i++) {
            fds[1 + 2 * i] = (struct pollfd){
                .fd = relay->connections[i].caller, .events = POLLIN};
            fds[2 + 2 * i] = (struct pollfd){
                .fd = relay->connections[i].target, .events = POLLIN};
        }
        pthread_mutex_unlock(&relay->lock);
        if (poll(fds, 1 + 2 * (nfds_t)count, POLL_MS) <= 0) {
            continue;
        }
        pthread_mutex_lock(&relay->lock);
        serve_connections(relay, fds);
        pthread_mutex_unlock(&relay->lock);
        if (fds[0].revents != 0) {
            accept_connection(relay);
        }
        if (atomic_load(&relay->rate) > 0 ||
            atomic_load(&relay->total_rate) > 0) {
            (void)poll(NULL, 0, POLL_MS);
        }
    }
    return NULL;
}

Relay *
Relay_Create(void)
{
    Relay *relay = g_new0(Relay, 1);
    struct sockaddr_in address = loopback(0);
    socklen_t bytes = sizeof(address);

    pthread_mutex_init(&relay->lock, NULL);
    relay->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(relay->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(relay->listener, 64), ==, 0);
    getsockname(relay->listener, (struct sockaddr *)&address, &bytes);
    relay->port = ntohs(address.sin_port);
    pthread_create(&relay->thread, NULL, run, relay);
    return relay;
}

int
Relay_Port(const Relay *relay)
{
    return relay->port;
}

void
Relay_SetTarget(Relay *relay, int port)
{
    atomic_store(&relay->target, port);
}

int
Relay_Break(Relay *relay, RelayBreak kind)
{
    int count;

    pthread_mutex_lock(&relay->lock);
    count = relay->count;
    for (int i = 0; i < count; i++) {
        relay->connections[i].discard_forward = kind != RELAY_BACK;
        relay->connections[i].discard_back = kind != RELAY_FORWARD;
    }
    pthread_mutex_unlock(&relay->lock);
    return count;
}

void
Relay_BreakAll(Relay *relay, gboolean broken)
{
    atomic_store(&relay->all_broken, broken);
}

void
Relay_SetRate(Relay *relay, int bytes_per_s)
{
    atomic_store(&relay->rate, bytes_per_s);
}

void
Relay_SetTotalRate(Relay *relay, int bytes_per_s)
{
    atomic_store(&relay->total_rate, bytes_per_s);
}

void
Relay_EndAfter(Relay *relay, int bytes)
{
    atomic_store(&relay->end_after, bytes);
}

void
Relay_Destroy(Relay *relay)
{
    atomic_store(&relay->stopping, TRUE);
    pthread_join(relay->thread, NULL);
    for (int i = 0; i < relay->count; i++) {
        close(relay->connections[i].caller);
        close(relay->connections[i].target);
    }
    close(relay->listener);
    pthread_mutex_destroy(&relay->lock);
    g_free(relay);
}
