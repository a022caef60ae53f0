/* A scripted backend server and a Backend that sends to it, for tests. */
#ifndef BACKEND_TEST_SCRIPT_H
#define BACKEND_TEST_SCRIPT_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend/backend.h"
#include "http/test_address.h"

#define SERVICE "permits"
#define ANSWER_OK                                                       \
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: " \
    "2\r\n\r\nok"

static const WireNames names = {.request_id = "X-Id",
                                .time_left_ms = "X-Left",
                                .key = "X-Key",
                                .team = "X-Team",
                                .caller = "X-Caller",
                                .expected = "X-Expected",
                                .instance = "X-Instance",
                                .signature = "X-Signature",
                                .not_run = "X-Not-Run",
                                .cold_ms = "X-Cold"};

#define MAX_CONNECTIONS 64

/* A backend server that gives the same scripted answer to each request. */
typedef struct Script {
    int listener;
    struct sockaddr_in address;
    /* NULL: sends no answer and keeps the connection open. */
    _Atomic(const char *) answer;
    gboolean reset; /* reset the connection after the answer */
    int delay_ms;
    gboolean gated; /* an answer waits until `opened` exceeds its number */
    gint opened;    /* atomic */
    char received[4000];
    gint requests; /* atomic */
    pthread_t thread;
    pthread_t connections[MAX_CONNECTIONS]; /* used by the accepting thread */
    int fds[MAX_CONNECTIONS];
    int connection_count;
} Script;

static void
serve_connection(Script *script, int fd)
{
    struct linger now = {.l_onoff = 1};
    char buffer[4000];
    const char *answer;
    ssize_t bytes;
    gint number;

    while ((bytes = recv(fd, buffer, sizeof(buffer) - 1, 0)) > 0) {
        buffer[bytes] = '\0';
        g_strlcpy(script->received, buffer, sizeof(script->received));
        number = g_atomic_int_add(&script->requests, 1);
        while (script->gated && g_atomic_int_get(&script->opened) <= number) {
            g_usleep(1000);
        }
        g_usleep((gulong)script->delay_ms * 1000);
        answer = atomic_load(&script->answer);
        if (answer == NULL) {
            continue;
        }
        (void)!send(fd, answer, strlen(answer), MSG_NOSIGNAL);
        if (script->reset) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            g_usleep(20000);
            break;
        }
        if (strstr(answer, "Content-Length") == NULL) {
            break;
        }
    }
    if (script->reset) {
        close(fd);
    }
    else {
        /* The client sees the end of the stream; stop_script() closes fd. */
        shutdown(fd, SHUT_RDWR);
    }
}

typedef struct Connection {
    Script *script;
    int fd;
} Connection;

static void *
run_connection(void *context)
{
    Connection *connection = context;

    serve_connection(connection->script, connection->fd);
    g_free(connection);
    return NULL;
}

static void *
run_script(void *context)
{
    Script *script = context;
    int fd;

    while ((fd = accept(script->listener, NULL, NULL)) >= 0) {
        Connection *connection = g_new0(Connection, 1);

        connection->script = script;
        connection->fd = fd;
        g_assert_cmpint(script->connection_count, <, MAX_CONNECTIONS);
        script->fds[script->connection_count] = fd;
        pthread_create(&script->connections[script->connection_count++], NULL,
                       run_connection, connection);
    }
    return NULL;
}

static void
start_script(Script *script)
{
    socklen_t bytes = sizeof(script->address);

    script->address = own_address();
    script->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        bind(script->listener, (struct sockaddr *)&script->address, bytes), ==,
        0);
    g_assert_cmpint(listen(script->listener, 16), ==, 0);
    getsockname(script->listener, (struct sockaddr *)&script->address, &bytes);
    pthread_create(&script->thread, NULL, run_script, script);
}

static void
stop_script(Script *script)
{
    shutdown(script->listener, SHUT_RDWR);
    pthread_join(script->thread, NULL);
    close(script->listener);
    for (int i = 0; i < script->connection_count; i++) {
        if (!script->reset) {
            shutdown(script->fds[i], SHUT_RDWR);
        }
        pthread_join(script->connections[i], NULL);
        if (!script->reset) {
            close(script->fds[i]);
        }
    }
}

typedef struct Fixture {
    HttpClient *client;
    Backend *backend;
    double cold_overage;
    double cold_slack;
    ClockMs cold_ms; /* announced */
    guint slots;     /* announced; 0: 2 */
    Script script;
} Fixture;

static BackendAnnouncement
announcement(const Fixture *fixture, const char *instance, int64_t born,
             int64_t sequence, gboolean draining)
{
    BackendAnnouncement result = {.address = fixture->script.address,
                                  .slots =
                                      fixture->slots > 0 ? fixture->slots : 2,
                                  .born = born,
                                  .sequence = sequence,
                                  .draining = draining,
                                  .cold_ms = fixture->cold_ms};

    g_strlcpy(result.instance, instance, sizeof(result.instance));
    g_strlcpy(result.service, SERVICE, sizeof(result.service));
    return result;
}

/* `memory` lends the bodies of answers; NULL: the account of the process. */
static void
create_backend(Fixture *fixture, Memory *memory)
{
    fixture->client = HttpClient_Create(&(HttpClient_desc){.memory = memory});
    fixture->backend =
        Backend_Create(&(Backend_desc){.names = &names,
                                       .service = SERVICE,
                                       .client = fixture->client,
                                       .cold_overage = fixture->cold_overage,
                                       .cold_slack = fixture->cold_slack});
}

static void
open_fixture_with(Fixture *fixture, Memory *memory)
{
    BackendAnnouncement first;

    start_script(&fixture->script);
    create_backend(fixture, memory);
    first = announcement(fixture, "i1", 100, 1, FALSE);
    g_assert_true(Backend_Announce(fixture->backend, &first));
}

static void
open_fixture(Fixture *fixture)
{
    open_fixture_with(fixture, NULL);
}

static void
close_fixture(Fixture *fixture)
{
    Backend_Destroy(fixture->backend);
    HttpClient_Destroy(fixture->client);
    stop_script(&fixture->script);
}

static const HttpHeaders no_headers;

static BackendCall
make_call(void)
{
    return (BackendCall){.request_id = "r1",
                         .service = SERVICE,
                         .caller = "desk",
                         .team = "crews",
                         .method = "GET",
                         .target = "/x",
                         .host = "a.example",
                         .headers = &no_headers,
                         .deadline = Clock_Now() + 2000,
                         .idempotent = TRUE,
                         .max_risk = 1,
                         .max_wait_ms = 2000};
}

#endif
