/* Tests of daemons in mode "platform" as real processes with callers that send
 * or read slowly, or not at all. */
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "memory_site.h"

#define RECEIVE_BYTES 4096

/* Stated by slow callers, and the longest time for which a host may keep them
 * afterwards. */
#define DEADLINE_MS 2000
#define SLACK_MS 2000

/* Much longer than a host may keep them. */
#define SLOW_MS 14000

/* The others, while the slow callers are there. */
#define OTHERS 8
#define OTHER_REQUESTS 10
#define MAX_OTHER_MS 1000

typedef struct SlowCallers {
    MemorySite *self;
    MemoryCalls calls;
    MemoryCounts counts;
    atomic_bool released;
    pthread_t thread;
} SlowCallers;

static void *
run_slow(void *context)
{
    SlowCallers *slow = context;

    slow->counts = MemorySite_Call(slow->self, &slow->calls);
    return NULL;
}

static void
start_slow(SlowCallers *slow, MemorySite *self, const SlowCaller_desc *caller)
{
    slow->self = self;
    slow->calls = (MemoryCalls){
        .callers = MEMORY_CALLERS, .requests = 1, .caller = *caller};
    slow->calls.caller.released = &slow->released;
    pthread_create(&slow->thread, NULL, run_slow, slow);
}

static void
end_slow(SlowCallers *slow)
{
    atomic_store(&slow->released, TRUE);
    pthread_join(slow->thread, NULL);
}

/* Other callers are served in time by the nearer backend server. */
static void
check_others(MemorySite *self, const char *name)
{
    MemoryCalls calls = {
        .callers = OTHERS,
        .requests = OTHER_REQUESTS,
        .caller = {.path = "/issue/small", .timeout_ms = MAX_OTHER_MS}};
    MemoryCounts counts = MemorySite_Call(self, &calls);

    MemorySite_CheckCounts(&counts, name);
    if (counts.served != counts.requests || counts.faulty == 0 ||
        counts.longest_ms > MAX_OTHER_MS) {
        g_test_fail_printf("%s: %d of %d others served, %d at the nearer "
                           "backend server, longest %d ms, at most %d allowed",
                           name, counts.served, counts.requests, counts.faulty,
                           (int)counts.longest_ms, MAX_OTHER_MS);
    }
}

/* Guards against answers that a host holds for callers that read nothing: the
 * memory of all of them at once, the slots at the backend server, and the time
 * for which they are held. */
static void
test_unread(void)
{
    MemorySite *self = MemorySite_Create();
    SlowCallers slow = {0};
    unsigned before = EndlessServer_Requests(MemorySite_Server(self));
    ClockMs end = Clock_Now() + DEADLINE_MS;

    EndlessServer_SetKind(MemorySite_Server(self),
                          &EndlessServer_kinds[ENDLESS_LARGE]);
    start_slow(&slow, self,
               &(SlowCaller_desc){.path = "/issue/1",
                                  .deadline_ms = DEADLINE_MS,
                                  .unread_ms = SLOW_MS,
                                  .receive_bytes = RECEIVE_BYTES});
    while (EndlessServer_Requests(MemorySite_Server(self)) <
               before + MEMORY_CALLERS &&
           Clock_Now() < end) {
        g_usleep(10000);
    }
    check_others(self, "unread");
    /* While the callers still read nothing. */
    MemorySite_Check(self, "unread");
    end_slow(&slow);
    MemorySite_CheckCounts(&slow.counts, "unread, slow");
    MemorySite_Destroy(self);
}

/* Guards against callers that upload a byte a second for longer than their
 * deadline: the memory for the length that they state, and the time for which
 * they are kept. */
static void
test_uploads(void)
{
    MemorySite *self = MemorySite_Create();
    SlowCallers slow = {0};

    start_slow(&slow, self,
               &(SlowCaller_desc){.method = "POST",
                                  .path = "/issue/1",
                                  .deadline_ms = DEADLINE_MS,
                                  .body_bytes = 1000000,
                                  .piece_bytes = 1,
                                  .pause_ms = 1000,
                                  .stops_at_reply = TRUE});
    g_usleep(500000); /* all have sent the head */
    check_others(self, "uploads");
    g_usleep((DEADLINE_MS + SLACK_MS) * 1000);
    MemorySite_Check(self, "uploads");
    end_slow(&slow);
    MemorySite_CheckCounts(&slow.counts, "uploads, slow");
    if (slow.counts.longest_ms > DEADLINE_MS + SLACK_MS ||
        slow.counts.served > 0) {
        g_test_fail_printf("uploads: %d served, kept for up to %d ms, at most "
                           "%d allowed",
                           slow.counts.served, (int)slow.counts.longest_ms,
                           DEADLINE_MS + SLACK_MS);
    }
    MemorySite_Destroy(self);
}

/* Opens a connection and sends one request. Returns FALSE if it isn't served
 * within MAX_OTHER_MS. */
static gboolean
open_idle(int *fd, int number)
{
    struct sockaddr_in address = Site_EntryAddress(0);
    struct timeval limit = {.tv_sec = MAX_OTHER_MS / 1000};
    char *text = g_strdup_printf("GET /read/small HTTP/1.1\r\nHost: "
                                 "%s\r\nAttempt-Id: idle-%d\r\nDeadline-Ms: "
                                 "6000\r\nApi-Key: %s\r\n\r\n",
                                 SITE_HOST_HEADER, number, SITE_KEY);
    char buffer[2000] = "";

    *fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(*fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    g_assert_cmpint(connect(*fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    (void)send(*fd, text, strlen(text), MSG_NOSIGNAL);
    (void)recv(*fd, buffer, sizeof(buffer) - 1, 0);
    g_free(text);
    return g_str_has_prefix(buffer, "HTTP/1.1 200 ");
}

/* Guards against many idle kept connections: the memory of all of them, and
 * other callers that are not served because of them. */
static void
test_idle(const void *context)
{
    const int connections = *(const int *)context;
    MemorySite *self = MemorySite_Create();
    int *fds = g_new0(int, (gsize)connections);
    int count = 0;

    while (count < connections && open_idle(&fds[count], count)) {
        count++;
    }
    g_test_message("idle: %d of %d connections served", count, connections);
    if (count < connections) {
        g_test_fail_printf("idle: the request on connection %d of %d was not "
                           "served",
                           count + 1, connections);
        close(fds[count]);
    }
    check_others(self, "idle");
    for (int i = 0; i < count; i++) {
        close(fds[i]);
    }
    MemorySite_Check(self, "idle");
    g_free(fds);
    MemorySite_Destroy(self);
}

int
main(int argc, char **argv)
{
    static const int few = 1000;
    static const int many = 2000;

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slow-ends/unread", test_unread);
    g_test_add_func("/slow-ends/uploads", test_uploads);
    g_test_add_data_func("/slow-ends/idle-1000", &few, test_idle);
    g_test_add_data_func("/slow-ends/idle-2000", &many, test_idle);
    return g_test_run();
}
