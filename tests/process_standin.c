/* Tests of the stand-ins rk-backend and rk-caller as processes.
 *
 * If the faults or counts of a stand-in did not work, every test that relies
 * on it would pass without checking anything.
 *
 * Usage: process_standin RK_BACKEND RK_CALLER
 */
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../standin/rk_http.h"

#define TIMEOUT_US 2000000
#define HANG_TIMEOUT_US 300000

static const char *backend_program;
static const char *caller_program;

typedef struct Server {
    GPid process;
    FILE *output;
    char address[32];
    char admin[32];
} Server;

static int
read_port(FILE *output, const char *word)
{
    char line[64] = "";

    g_assert_nonnull(fgets(line, sizeof(line), output));
    g_assert_true(g_str_has_prefix(line, word));
    return (int)strtol(line + strlen(word), NULL, 10);
}

static void
start_server(Server *server)
{
    const char *arguments[] = {backend_program, "--service-ms=1", "--seed=7",
                               NULL};
    int output;

    g_assert_true(g_spawn_async_with_pipes(
        NULL, (char **)arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
        &server->process, NULL, &output, NULL, NULL));
    server->output = fdopen(output, "r");
    g_snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
               read_port(server->output, "listening "));
    g_snprintf(server->admin, sizeof(server->admin), "127.0.0.1:%d",
               read_port(server->output, "admin "));
}

static void
stop_server(Server *server)
{
    int status;

    kill(server->process, SIGTERM);
    g_assert_cmpint(waitpid(server->process, &status, 0), ==, server->process);
    g_assert_cmpint(status, ==, 0);
    fclose(server->output);
}

static HttpOutcome
send_to(const char *address, const char *method, const char *path,
        const char *headers, const char *body, int64_t timeout_us,
        HttpReply *reply)
{
    HttpConnection connection;
    HttpOutcome outcome;

    Http_Open(&connection, address);
    outcome = Http_Send(&connection, method, path, headers, body, strlen(body),
                        g_get_monotonic_time() + timeout_us, reply);
    Http_Close(&connection);
    return outcome;
}

static json_t *
call_admin(const Server *server, const char *method, const char *path,
           const char *body)
{
    HttpReply reply;
    json_t *root;

    g_assert_cmpint(
        send_to(server->admin, method, path, "", body, TIMEOUT_US, &reply), ==,
        HTTP_ANSWERED);
    g_assert_cmpint(reply.status, ==, 200);
    root = json_loadb((char *)reply.body->data, reply.body->len, 0, NULL);
    g_assert_nonnull(root);
    Http_FreeReply(&reply);
    return root;
}

static json_int_t
count_executions(const Server *server, const char *id)
{
    json_t *root = call_admin(server, "GET", "/v1/executions", "");
    json_int_t count = json_integer_value(
        json_object_get(json_object_get(root, "requests"), id));

    json_decref(root);
    return count;
}

typedef struct FaultCase {
    const char *faults;
    HttpOutcome outcome;
    int status;
    const char *id; /* Radishknot-Request-Id expected in the answer */
    int executions;
    int64_t timeout_us;
} FaultCase;

static const FaultCase fault_cases[] = {
    {"{}", HTTP_ANSWERED, 200, "r0", 1, TIMEOUT_US},
    {"{\"error_percent\":100}", HTTP_ANSWERED, 500, "r1", 1, TIMEOUT_US},
    {"{\"wrong_percent\":100}", HTTP_ANSWERED, 200, "00000000-wrong", 1,
     TIMEOUT_US},
    {"{\"short_body_percent\":100}", HTTP_BROKEN, 0, NULL, 1, TIMEOUT_US},
    {"{\"close_after_read\":true}", HTTP_BROKEN, 0, NULL, 1, TIMEOUT_US},
    {"{\"close_before_read\":true}", HTTP_BROKEN, 0, NULL, 0, TIMEOUT_US},
    {"{\"shed_percent\":100}", HTTP_ANSWERED, 503, "r6", 0, TIMEOUT_US},
    {"{\"hang\":true}", HTTP_TIMED_OUT, 0, NULL, 0, HANG_TIMEOUT_US},
    {"{\"slow_factor\":600}", HTTP_TIMED_OUT, 0, NULL, 1, HANG_TIMEOUT_US},
};

/* Guards against a fault that is accepted but has no effect, and against a
 * wrong count of executions under a fault. */
static void
test_faults(void)
{
    Server server;

    start_server(&server);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        const FaultCase *c = &fault_cases[i];
        char id[16];
        char headers[64];
        HttpReply reply;

        json_decref(
            call_admin(&server, "POST", "/v1/faults", "{\"reset\":true}"));
        json_decref(call_admin(&server, "POST", "/v1/faults", c->faults));
        g_snprintf(id, sizeof(id), "r%zu", i);
        g_snprintf(headers, sizeof(headers), "Radishknot-Request-Id: %s\r\n",
                   id);
        g_assert_cmpint(send_to(server.address, "POST", "/p", headers, "body",
                                c->timeout_us, &reply),
                        ==, c->outcome);
        if (c->outcome == HTTP_ANSWERED) {
            g_assert_cmpint(reply.status, ==, c->status);
            g_assert_cmpstr(Http_Header(&reply, "radishknot-request-id"), ==,
                            c->id);
            g_assert_cmpint(Http_Header(&reply, "retry-after") != NULL, ==,
                            c->status == 503);
        }
        Http_FreeReply(&reply);
        g_assert_cmpint(count_executions(&server, id), ==, c->executions);
    }
    stop_server(&server);
}

/* Guards against a search for a key that omits a part of the request: path,
 * query, header name, header value, body, or a percent-decoded query value. */
static void
test_seen(void)
{
    static const char *const seen[] = {"in-header", "in-query", "in-body",
                                       "in-path",   "in-name",  "de coded"};
    Server server;
    HttpReply reply;

    start_server(&server);
    g_assert_cmpint(
        send_to(server.address, "POST", "/in-path?a=in-query&b=de%20coded",
                "X-in-name: in-header\r\n", "{in-body}", TIMEOUT_US, &reply),
        ==, HTTP_ANSWERED);
    Http_FreeReply(&reply);
    for (size_t i = 0; i <= G_N_ELEMENTS(seen); i++) {
        gboolean is_seen = i < G_N_ELEMENTS(seen);
        char *text =
            g_uri_escape_string(is_seen ? seen[i] : "never", NULL, FALSE);
        char *path = g_strconcat("/v1/seen?text=", text, NULL);
        json_t *root = call_admin(&server, "GET", path, "");

        g_assert_cmpint(json_is_true(json_object_get(root, "seen")), ==,
                        is_seen);
        json_decref(root);
        g_free(path);
        g_free(text);
    }
    stop_server(&server);
}

static json_int_t
number(json_t *root, const char *name)
{
    return json_integer_value(json_object_get(root, name));
}

/* Runs rk-caller with 200 requests, half of them issuances. */
static json_t *
run_caller(const Server *server)
{
    const char *arguments[] = {
        caller_program,   "--entry",     server->address,
        "--check",        server->admin, "--header=Radishknot-Request-Id: x",
        "--issuances=50", "--rate=400",  "--count=200",
        "--repeats=0",    NULL};
    char *output = NULL;
    int status;
    json_t *root;

    g_assert_true(g_spawn_sync(NULL, (char **)arguments, NULL, G_SPAWN_DEFAULT,
                               NULL, NULL, &output, NULL, &status, NULL));
    g_assert_cmpint(status, ==, 0);
    root = json_loads(output, 0, NULL);
    g_assert_nonnull(root);
    g_free(output);
    return root;
}

/* Guards against a caller that counts broken answers as OK, sends an issuance
 * without a token twice, or omits requests from its counts. */
static void
test_caller(gconstpointer data)
{
    const char *faults = data;
    gboolean has_faults = strlen(faults) > 2;
    Server server;
    json_t *root;
    json_t *executions;

    start_server(&server);
    json_decref(call_admin(&server, "POST", "/v1/faults", faults));
    root = run_caller(&server);
    executions = json_object_get(root, "executions");
    g_assert_cmpint(number(root, "sent"), ==, 200);
    g_assert_cmpint(number(root, "ok") + number(root, "lost"), ==, 200);
    g_assert_cmpint(number(root, "lost") > 0, ==, has_faults);
    g_assert_cmpint(number(executions, "duplicated"), ==, 0);
    g_assert_cmpint(number(executions, "ok_but_not_run"), ==, 0);
    g_assert_cmpint(number(executions, "unknown_that_ran") > 0, ==,
                    has_faults);
    json_decref(root);
    stop_server(&server);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    if (argc != 3) {
        fprintf(stderr, "usage: process_standin RK_BACKEND RK_CALLER\n");
        return 2;
    }
    backend_program = argv[1];
    caller_program = argv[2];
    g_test_add_func("/standin/faults", test_faults);
    g_test_add_func("/standin/seen", test_seen);
    g_test_add_data_func("/standin/caller/calm", "{}", test_caller);
    g_test_add_data_func("/standin/caller/cut", "{\"short_body_percent\":20}",
                         test_caller);
    g_test_add_data_func("/standin/caller/closed", "{\"close_after_read\":20}",
                         test_caller);
    return g_test_run();
}
