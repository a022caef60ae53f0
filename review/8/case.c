/* Case 8: a daemon gets SIGTERM while a client has sent a further safe request
 * behind the one that is being answered. See claim.txt. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define HOSTS 3
#define LINES 4 /* connections at the daemon that gets SIGTERM */
#define BODY_BYTES 9000
#define RECEIVE_BUFFER 4096
#define WORK_MS 800
#define TERM_MS 200
#define SECOND_MS 400
#define DEADLINE_MS 8000
#define READ_BYTES 1000
#define READ_PAUSE_MS 20

static const char config[] =
    "{\"version\":\"00000007\",\"routes\":{\"r-read\":{\"host\":"
    "\"maps.example\",\"path_prefix\":\"/read/\",\"kind\":\"safe\","
    "\"timeout\":\"6000ms\",\"target_latency\":\"2500ms\",\"priority\":1,"
    "\"service\":\"mapview\",\"attempts\":2,\"allow_anonymous\":true}},"
    "\"services\":{\"mapview\":{\"health_check_path\":\"/health\","
    "\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
    "\"tenants\":{}}";

typedef struct Line {
    int host;
    int number;
    int64_t began;
    int cut; /* the first request was read and its answer did not end */
} Line;

static void
send_read(int fd, const char *id)
{
    char text[512];

    snprintf(text, sizeof(text),
             "GET /read/work-%d HTTP/1.1\r\nHost: maps.example\r\n"
             "Attempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n",
             WORK_MS, id, DEADLINE_MS);
    rig_require(rig_send(fd, text, strlen(text)), "a request can't be sent");
    rig_note("client: sends %s", id);
}

static void *
run_line(void *context)
{
    Line *line = context;
    char first[RIG_ID];
    char second[RIG_ID];
    RigReply reply;
    int fd = rig_connect(rig_hosts[line->host].ip, RIG_OUTBOUND,
                         RECEIVE_BUFFER);

    rig_require(fd >= 0, "no connection to the daemon");
    snprintf(first, sizeof(first), "a%015d", line->number);
    snprintf(second, sizeof(second), "b%015d", line->number);
    line->began = rig_now();
    send_read(fd, first);
    rig_sleep(SECOND_MS);
    send_read(fd, second);
    rig_read_answer(fd, &reply, line->began + DEADLINE_MS, READ_PAUSE_MS,
                    READ_BYTES);
    rig_note("client: %s answered %d%s, %zu of %zu bytes, %.1f s after it was "
             "sent, run %d times",
             first, reply.status, reply.closed ? " (close)" : "",
             reply.body_bytes, reply.length,
             (double)(rig_now() - line->began) / 1000, rig_runs_of(first));
    line->cut = rig_runs_of(first) > 0 &&
                (reply.status == 0 || !reply.complete);
    if (!line->cut && !reply.closed) {
        rig_read_answer(fd, &reply, rig_now() + DEADLINE_MS, READ_PAUSE_MS,
                        READ_BYTES);
        rig_note("client: %s answered %d, %zu of %zu bytes", second,
                 reply.status, reply.body_bytes, reply.length);
    }
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    static const char *const zones[HOSTS] = {"z1", "z2", "z3"};
    pthread_t threads[LINES];
    Line lines[LINES];
    int cut = 0;

    rig_zones = "\"z1\",\"z2\",\"z3\"";
    rig_start(argc > 1 ? argv[1] : "record.txt");
    rig_config(config);
    for (int i = 0; i < HOSTS; i++) {
        rig_add_host(zones[i], zones[i], zones[i], "mapview");
        rig_hosts[i].answer_bytes = BODY_BYTES;
    }
    rig_await_ready(20000);
    rig_sleep(2000);
    for (int i = 0; i < LINES; i++) {
        lines[i] = (Line){.host = 0, .number = i};
        pthread_create(&threads[i], NULL, run_line, &lines[i]);
    }
    rig_sleep(TERM_MS);
    if (rig_trouble) {
        rig_signal(0, SIGTERM);
    }
    for (int i = 0; i < LINES; i++) {
        pthread_join(threads[i], NULL);
        cut += lines[i].cut;
    }
    if (rig_trouble) {
        rig_wait_end(0, rig_now() + 20000);
    }
    rig_note("%d of %d first requests were run and their answers cut", cut,
             LINES);
    printf("%d of %d answers cut\n", cut, LINES);
    return rig_end(cut > 0);
}
