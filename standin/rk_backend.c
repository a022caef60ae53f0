/* rk-backend: stand-in for a backend server.
 *
 * Usage: rk-backend --name w1 --service permits --daemon 127.0.0.1:8100
 * It prints "listening <port>" and "admin <port>" and announces itself to the
 * daemon every second. On SIGTERM it announces that it is leaving, completes
 * the requests in progress and exits.
 *
 * Every request occupies one of the slots for the service time; further
 * requests wait in order of arrival. An idempotent request is cancelled when
 * its sender closes the connection. The answer echoes Radishknot-Request-Id
 * and X-Nonce, and has the SHA-256 of its body in X-Checksum. GET /health is
 * answered at once whatever the faults are (except close_before_read), which
 * simulates a misleading health probe.
 *
 * Admin port: GET /v1/executions[?summary=1], /v1/seen?text=..., /v1/stats;
 * POST /v1/faults (JSON, fields as in struct Faults; {"reset":true} clears
 * them), /v1/drain, /v1/leave.
 */
#include "rk_backend.h"

#include <argp.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BODY_BYTES (16u << 20)

static const struct argp_option options[] = {
    {"name", 'n', "NAME", 0, "Name of this backend server", 0},
    {"service", 's', "NAME", 0, "Service", 0},
    {"pool", 'p', "NAME", 0, "Pool", 0},
    {"address", 'a', "IP", 0, "Numeric address to bind", 0},
    {"port", 'P', "PORT", 0, "Port (0 = the kernel's choice)", 0},
    {"admin-port", 'A', "PORT", 0, "Admin port (0 = the kernel's choice)", 0},
    {"admin-address", 'D', "IP", 0,
     "Numeric address to bind the admin port (default: the one of --address)",
     0},
    {"daemon", 'd', "IP:PORT", 0, "Admin address of the daemon", 0},
    {"slots", 'k', "N", 0, "Requests served at a time", 0},
    {"service-ms", 't', "MS", 0, "Mean service time", 0},
    {"sigma", 'g', "S", 0, "Sigma of the log-normal time (0 = constant)", 0},
    {"answer-bytes", 'b', "N", 0, "Padding in the answer", 0},
    {"seen-limit-mb", 'm', "MB", 0, "Memory for received texts", 0},
    {"grace-ms", 'G', "MS", 0, "Timeout for open requests at shutdown", 0},
    {"threads", 'T', "N", 0, "Threads that read requests", 0},
    {"seed", 'S', "N", 0, "Seed of service times and faults", 0},
    {0}};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    Backend *backend = state->input;

    switch (key) {
    case 'n':
        backend->name = argument;
        break;
    case 's':
        backend->service = argument;
        break;
    case 'p':
        backend->pool = argument;
        break;
    case 'a':
        backend->address = argument;
        break;
    case 'D':
        backend->admin_address = argument;
        break;
    case 'P':
        backend->port = (int)strtol(argument, NULL, 10);
        break;
    case 'A':
        backend->admin_port = (int)strtol(argument, NULL, 10);
        break;
    case 'd':
        backend->daemon = argument;
        break;
    case 'k':
        backend->slots = MAX(1, (int)strtol(argument, NULL, 10));
        break;
    case 't':
        backend->service_ms = strtod(argument, NULL);
        break;
    case 'g':
        backend->sigma = strtod(argument, NULL);
        break;
    case 'b':
        backend->answer_bytes = strtoul(argument, NULL, 10);
        break;
    case 'm':
        backend->seen_limit_bytes = strtoul(argument, NULL, 10) << 20;
        break;
    case 'G':
        backend->grace_ms = (int)strtol(argument, NULL, 10);
        break;
    case 'T':
        backend->threads = MAX(1, (int)strtol(argument, NULL, 10));
        break;
    case 'S':
        backend->seed = strtoull(argument, NULL, 10);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static void *
begin_request(void *context, const char *uri,
              struct MHD_Connection *connection)
{
    Request *request = g_new0(Request, 1);

    (void)context;
    request->connection = connection;
    request->uri = g_strdup(uri);
    request->body = g_byte_array_new();
    return request;
}

static void
end_request(void *context, struct MHD_Connection *connection,
            void **request_pointer, enum MHD_RequestTerminationCode code)
{
    Request *request = *request_pointer;

    (void)context;
    (void)connection;
    (void)code;
    if (request == NULL) {
        return;
    }
    g_byte_array_unref(request->body);
    g_free(request->uri);
    g_free(request->request_id);
    g_free(request->run_token);
    g_free(request->nonce);
    g_free(request);
    *request_pointer = NULL;
}

static enum MHD_Result
record_value(void *context, enum MHD_ValueKind kind, const char *name,
             const char *value)
{
    char *line = g_strdup_printf(kind == MHD_HEADER_KIND ? "%s: %s" : "%s=%s",
                                 name, value != NULL ? value : "");

    Work_RecordSeen(context, line, strlen(line));
    g_free(line);
    return MHD_YES;
}

static void
record_request(Backend *backend, const Request *request)
{
    MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
                              record_value, backend);
    MHD_get_connection_values(request->connection, MHD_GET_ARGUMENT_KIND,
                              record_value, backend);
    MHD_get_connection_values(request->connection, MHD_FOOTER_KIND,
                              record_value, backend);
    Work_RecordSeen(backend, request->uri, strlen(request->uri));
    Work_RecordSeen(backend, (const char *)request->body->data,
                    request->body->len);
}

/* Returns the body of an answer: JSON with the request id, the nonce and
 * padding. */
static char *
answer_body(const Backend *backend, const Request *request)
{
    json_t *root =
        json_pack("{s:s, s:s, s:s, s:s, s:i}", "backend_server", backend->name,
                  "request_id", request->request_id ? request->request_id : "",
                  "nonce", request->nonce ? request->nonce : "", "path",
                  request->uri, "body_bytes", (int)request->body->len);
    char *padding = g_strnfill(backend->answer_bytes, 'r');
    char *text;

    json_object_set_new(root, "padding", json_string(padding));
    text = json_dumps(root, JSON_COMPACT | JSON_PRESERVE_ORDER);
    g_free(padding);
    json_decref(root);
    return text;
}

typedef struct ShortBody {
    char *text;
    size_t length;
} ShortBody;

/* Sends the first half of the body and then breaks the connection. */
static ssize_t
read_short_body(void *context, uint64_t position, char *buffer, size_t max)
{
    const ShortBody *body = context;
    size_t half = body->length / 2;
    size_t part;

    if (position >= half) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    part = MIN(half - (size_t)position, max);
    memcpy(buffer, body->text + position, part);
    return (ssize_t)part;
}

static void
free_short_body(void *context)
{
    ShortBody *body = context;

    free(body->text);
    g_free(body);
}

static struct MHD_Response *
create_response(Outcome outcome, char *text)
{
    size_t length = strlen(text);
    ShortBody *body;

    if (outcome != OUTCOME_SHORT_BODY) {
        return MHD_create_response_from_buffer(length, text,
                                               MHD_RESPMEM_MUST_FREE);
    }
    body = g_new(ShortBody, 1);
    body->text = text;
    body->length = length;
    return MHD_create_response_from_callback(length, 4096, read_short_body,
                                             body, free_short_body);
}

static enum MHD_Result
send_answer(const Backend *backend, Request *request)
{
    char *text = answer_body(backend, request);
    char *checksum =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
    struct MHD_Response *response = create_response(request->outcome, text);
    unsigned status = MHD_HTTP_OK;
    enum MHD_Result result;

    if (request->outcome == OUTCOME_ERROR) {
        status = MHD_HTTP_INTERNAL_SERVER_ERROR;
    }
    else if (request->outcome == OUTCOME_SHED) {
        status = MHD_HTTP_SERVICE_UNAVAILABLE;
        MHD_add_response_header(response, "Retry-After", "1");
    }
    if (request->outcome == OUTCOME_WRONG) {
        MHD_add_response_header(response, "Radishknot-Request-Id",
                                "00000000-wrong");
    }
    else if (request->request_id != NULL) {
        MHD_add_response_header(response, "Radishknot-Request-Id",
                                request->request_id);
    }
    if (request->nonce != NULL) {
        MHD_add_response_header(response, "X-Nonce", request->nonce);
    }
    MHD_add_response_header(response, "X-Checksum", checksum);
    MHD_add_response_header(response, "X-Backend-Server", backend->name);
    MHD_add_response_header(response, "Content-Type", "application/json");
    result = MHD_queue_response(request->connection, status, response);
    MHD_destroy_response(response);
    g_free(checksum);
    return result;
}

static void
read_headers(Request *request, const char *method)
{
    struct MHD_Connection *connection = request->connection;
    const char *deadline = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Radishknot-Deadline-Ms");

    request->expires_us =
        deadline != NULL
            ? g_get_monotonic_time() + strtoll(deadline, NULL, 10) * 1000
            : INT64_MAX;
    request->request_id = g_strdup(MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Radishknot-Request-Id"));
    request->run_token = g_strdup(MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Radishknot-Run-Token"));
    request->nonce = g_strdup(
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Nonce"));
    request->is_idempotent =
        strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0;
}

static enum MHD_Result
handle_request(void *context, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *data, size_t *data_size, void **request_pointer)
{
    Backend *backend = context;
    Request *request = *request_pointer;

    (void)connection;
    (void)version;
    switch (request->phase) {
    case PHASE_NEW:
        Work_RecordArrival(backend);
        if (Work_SampleCloseBeforeRead(backend)) {
            return MHD_NO;
        }
        read_headers(request, method);
        request->phase = PHASE_READING;
        return MHD_YES;
    case PHASE_READING:
        if (*data_size > 0) {
            if (request->body->len + *data_size > MAX_BODY_BYTES) {
                return MHD_NO;
            }
            g_byte_array_append(request->body, (const guint8 *)data,
                                (guint)*data_size);
            *data_size = 0;
            return MHD_YES;
        }
        record_request(backend, request);
        if (strcmp(url, "/health") == 0) {
            return send_answer(backend, request);
        }
        request->outcome = Work_ChooseOutcome(backend);
        if (request->outcome == OUTCOME_SHED) {
            return send_answer(backend, request);
        }
        request->phase = PHASE_WAITING;
        return Work_Add(backend, request) ? MHD_YES : MHD_NO;
    case PHASE_READY:
        return request->outcome == OUTCOME_CLOSE
                   ? MHD_NO
                   : send_answer(backend, request);
    default:
        return MHD_NO;
    }
}

static struct MHD_Daemon *
start_server(Backend *backend, int *port, gboolean is_admin)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)*port)};
    struct MHD_Daemon *server;
    const union MHD_DaemonInfo *info;
    const char *name = is_admin && backend->admin_address != NULL
                           ? backend->admin_address
                           : backend->address;

    if (inet_pton(AF_INET, name, &address.sin_addr) != 1) {
        fprintf(stderr, "rk-backend: %s is not a numeric address\n", name);
        exit(2);
    }
    if (is_admin) {
        server = MHD_start_daemon(
            MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, Admin_Handle,
            backend, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
            MHD_OPTION_NOTIFY_COMPLETED, Admin_Completed, NULL,
            MHD_OPTION_END);
    }
    else {
        server = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
            NULL, handle_request, backend, MHD_OPTION_SOCK_ADDR,
            (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED,
            end_request, NULL, MHD_OPTION_URI_LOG_CALLBACK, begin_request,
            NULL, MHD_OPTION_THREAD_POOL_SIZE, (unsigned)backend->threads,
            MHD_OPTION_CONNECTION_LIMIT, 4096u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
            1024u, MHD_OPTION_END);
    }
    if (server == NULL) {
        fprintf(stderr, "rk-backend: cannot listen on %s port %d\n", name,
                *port);
        exit(1);
    }
    info = MHD_get_daemon_info(server, MHD_DAEMON_INFO_BIND_PORT);
    *port = info->port;
    return server;
}

int
main(int argc, char **argv)
{
    static Backend backend = {.name = "w1",
                              .service = "permits",
                              .pool = "",
                              .address = "127.0.0.1",
                              .slots = 5,
                              .threads = 4,
                              .grace_ms = 5000,
                              .service_ms = 5.0,
                              .seen_limit_bytes = 64u << 20,
                              .seed = 1};
    const struct argp parser = {
        options, parse_option, NULL, "Stand-in for a backend server.",
        NULL,    NULL,         NULL};
    struct MHD_Daemon *server;
    struct MHD_Daemon *admin;
    pthread_t worker;
    pthread_t announcer;
    sigset_t signals;
    int signal_number;

    argp_parse(&parser, argc, argv, 0, NULL, &backend);
    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    Work_Init(&backend);
    server = start_server(&backend, &backend.port, FALSE);
    admin = start_server(&backend, &backend.admin_port, TRUE);
    pthread_create(&worker, NULL, Work_Run, &backend);
    pthread_create(&announcer, NULL, Admin_Announce, &backend);
    printf("listening %d\nadmin %d\n", backend.port, backend.admin_port);
    fflush(stdout);

    sigwait(&signals, &signal_number);
    Admin_SetState(&backend, "leaving");
    Admin_AnnounceOnce(&backend);
    for (int i = 0; i < backend.grace_ms / 10 && !Work_IsIdle(&backend); i++) {
        g_usleep(10000);
    }
    Work_Stop(&backend);
    pthread_join(worker, NULL);
    pthread_join(announcer, NULL);
    MHD_stop_daemon(server);
    MHD_stop_daemon(admin);
    return 0;
}
