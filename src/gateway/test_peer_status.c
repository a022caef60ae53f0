/* Tests of the gateway against an owner whose answers have a status that no
 * answer may have. */
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "gateway/test_gateway_fleet.h"

/* An owner that sends the same bytes to each request. */
typedef struct RawOwner {
    int listener;
    pthread_t thread;
    gint requests; /* atomic */
    char *answer;
} RawOwner;

static void *
run_owner(void *context)
{
    RawOwner *owner = context;
    char buffer[4000];
    int fd;

    while ((fd = accept(owner->listener, NULL, NULL)) >= 0) {
        while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
            g_atomic_int_inc(&owner->requests);
            (void)!send(fd, owner->answer, strlen(owner->answer),
                        MSG_NOSIGNAL);
        }
        close(fd);
    }
    return NULL;
}

/* Returns the port. */
static int
start_owner(RawOwner *owner, const char *before, const char *status)
{
    struct sockaddr_in address;
    socklen_t bytes = sizeof(address);

    *owner = (RawOwner){.listener = socket(AF_INET, SOCK_STREAM, 0)};
    owner->answer =
        g_strdup_printf("%sHTTP/1.1%s\r\nX-Id: r1\r\n"
                        "Radishknot-Reply: 0 1 1 0.1 5 0 0 100 0 0 5 0 0 0\r\n"
                        "Content-Length: 2\r\n\r\nok",
                        before, status);
    g_assert_true(HttpAddress_Parse("127.0.0.1:1", &address));
    address.sin_port = 0;
    g_assert_cmpint(bind(owner->listener, (struct sockaddr *)&address, bytes),
                    ==, 0);
    g_assert_cmpint(listen(owner->listener, 16), ==, 0);
    getsockname(owner->listener, (struct sockaddr *)&address, &bytes);
    pthread_create(&owner->thread, NULL, run_owner, owner);
    return ntohs(address.sin_port);
}

static void
stop_owner(RawOwner *owner)
{
    shutdown(owner->listener, SHUT_RDWR);
    pthread_join(owner->thread, NULL);
    close(owner->listener);
    g_free(owner->answer);
}

/* Guards against such an answer of another daemon that reaches the caller,
 * that counts as not run, or that ends a request which can be retried. */
static void
test_peer_status(void)
{
    static const char *const statuses[] = {
        " 200 OK",  " 000 OK", " 099 OK", " 600 OK", " 999 OK",
        " 2000 OK", " 20 OK",  "  200",   " +20 OK", " 0x1 OK",
        "",         " 101 OK", " 200x",   " 1e2 OK"};
    static const char *const before[] = {
        "", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nRadishknot-Reply: 343 0 0 0 5 5 9 100 0 0"};

    for (size_t i = 0; i < G_N_ELEMENTS(statuses) * 6; i++) {
        gboolean issue = i % 2 != 0;
        const char *status = statuses[i / 6];
        size_t head = i / 2 % G_N_ELEMENTS(before);
        gboolean is_odd = i / 6 > 0 || head == 2;
        RawOwner owner;
        HttpAnswer answer;
        ClockMs took;
        Fleet fleet;

        open_fleet(&fleet, make_table(1, NULL, NULL));
        add_entry(&fleet, 0, start_owner(&owner, before[head], status));
        add_owner(&fleet, 1, FALSE);
        answer = call(&fleet, issue ? "/issue/1" : "/read/1", &took);
        g_test_message("\"%s\", %s: status %d after %d ms", status,
                       issue ? "once" : "safe", answer.status, (int)took);
        g_assert_cmpint(answer.status, ==, is_odd && issue ? 502 : 200);
        g_assert_cmpint(g_atomic_int_get(&owner.requests), ==, 1);
        g_assert_cmpint(g_atomic_int_get(&fleet.owners[1].requests), ==,
                        is_odd && !issue);
        g_assert_cmpint(took, <, 1000);
        HttpAnswer_Clear(&answer);
        close_fleet(&fleet);
        stop_owner(&owner);
    }
}

int
main(int argc, char **argv)
{
    int status;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    g_test_add_func("/peer-status/answers", test_peer_status);
    status = g_test_run();
    rcu_unregister_thread();
    return status;
}
