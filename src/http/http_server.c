#include "http/http_server.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_server_private.h"
#include "http/http_tls.h"

/* Interval at which deadlines are checked while a request in flight has
 * one. */
#define WATCH_PERIOD_MS 20

/* Time that a draining server waits for open connections to end. */
#define IDLE_GRACE_MS 300

#define DEFAULT_EVENT_THREADS 2
#define DEFAULT_WORKER_THREADS 32
#define DEFAULT_MAX_BODY_BYTES (1024 * 1024)
#define DEFAULT_IDLE_TIMEOUT_S 120

/* A connection ends if no more of an answer can be written for so long. A full
 * send buffer is writable again when a third of it is free, so this is also a
 * lower limit of the rate at which a peer has to read. */
#define SEND_STALL_S 30

/* Memory of a connection, which limits the total size of the headers. */
#define CONNECTION_MEMORY_BYTES (64 * 1024)

static void
release_request(HttpRequest *request)
{
    if (atomic_fetch_sub(&request->references, 1) > 1) {
        return;
    }
    if (request->data_free != NULL) {
        request->data_free(request->data);
    }
    HttpHeaders_Clear(&request->headers);
    HttpAnswer_Clear(&request->answer);
    MemoryBuffer_Clear(&request->body);
    g_free(request->method);
    g_free(request->target);
    g_free(request);
}

static void
remove_in_flight(HttpServer *server, HttpRequest *request)
{
    HttpRequest *moved;
    unsigned index = request->in_flight_index;

    if (index == UINT_MAX) {
        return;
    }
    g_ptr_array_remove_index_fast(server->in_flight, index);
    if (index < server->in_flight->len) {
        moved = g_ptr_array_index(server->in_flight, index);
        moved->in_flight_index = index;
    }
    request->in_flight_index = UINT_MAX;
}

/* A body that libmicrohttpd sends, with its lease. */
typedef struct HeldBody {
    char *bytes;
    MemoryLease lease;
} HeldBody;

static void
free_held_body(void *context)
{
    HeldBody *held = context;

    g_free(held->bytes);
    MemoryLease_End(&held->lease);
    g_free(held);
}

/* Hands the body over; it is freed when it has been sent or dropped. */
static struct MHD_Response *
create_response(HttpAnswer *answer)
{
    HeldBody *held = g_new0(HeldBody, 1);
    size_t bytes = answer->body_bytes;
    struct MHD_Response *response;

    MemoryLease_SetHolder(&answer->lease, MEMORY_ANSWERS_HELD);
    held->bytes = answer->body;
    held->lease = answer->lease;
    answer->body = NULL;
    answer->body_bytes = 0;
    memset(&answer->lease, 0, sizeof(answer->lease));
    response = MHD_create_response_from_buffer_with_free_callback_cls(
        bytes, held->bytes, free_held_body, held);
    if (response == NULL) {
        free_held_body(held);
    }
    return response;
}

static void
set_timeout(struct MHD_Connection *connection, unsigned seconds)
{
    (void)MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                    seconds);
}

static enum MHD_Result
queue_answer(HttpRequest *request)
{
    HttpAnswer *answer = &request->answer;
    struct MHD_Response *response;
    enum MHD_Result queued;

    _HttpAnswer_ReplaceOddStatus(answer);
    response = create_response(answer);
    if (response == NULL) {
        return MHD_NO;
    }
    for (size_t i = 0; i < answer->headers.count; i++) {
        (void)MHD_add_response_header(response, answer->headers.items[i].name,
                                      answer->headers.items[i].value);
    }
    if (atomic_load(&request->server->leaving)) {
        (void)MHD_add_response_header(response, "Connection", "close");
    }
    set_timeout(request->connection,
                MIN(SEND_STALL_S, request->server->desc.idle_timeout_s));
    queued = MHD_queue_response(request->connection, (unsigned)answer->status,
                                response);
    MHD_destroy_response(response);
    return queued;
}

/* Fills the answer to a request that the handler does not answer. */
static void
refuse(HttpRequest *request, Result result)
{
    HttpServer_desc *desc = &request->server->desc;

    if (desc->refuser != NULL) {
        desc->refuser(desc->context, request, result, &request->answer);
    }
    else {
        HttpAnswer_SetRefusal(&request->answer, result, RUN_NO, NULL, NULL);
    }
}

static void
run_handler(void *context)
{
    HttpRequest *request = context;
    HttpServer *server = request->server;

    server->desc.handler(server->desc.context, request);
    pthread_mutex_lock(&server->lock);
    request->on_disconnect = NULL;
    remove_in_flight(server, request);
    pthread_mutex_unlock(&server->lock);
    MemoryBuffer_Clear(&request->body);
    release_request(request);
}

static enum MHD_Result
add_header(void *context, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
    (void)kind;
    HttpHeaders_Add(context, name, value);
    return MHD_YES;
}

/* Adds the connection to the epoll set, so that the watcher wakes when the
 * caller closes it. Called with the lock held. */
static void
watch_disconnect(HttpServer *server, HttpRequest *request)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct epoll_event event = {.events = EPOLLRDHUP | EPOLLONESHOT};

    if (info != NULL && epoll_ctl(server->disconnect_epoll, EPOLL_CTL_ADD,
                                  info->connect_fd, &event) == 0) {
        request->watched_fd = info->connect_fd;
    }
}

/* Called with the lock held. */
static void
unwatch_disconnect(HttpServer *server, HttpRequest *request)
{
    if (request->watched_fd >= 0) {
        (void)epoll_ctl(server->disconnect_epoll, EPOLL_CTL_DEL,
                        request->watched_fd, NULL);
        request->watched_fd = -1;
    }
}

/* Passes a complete request to the executor, or refuses it. */
static enum MHD_Result
dispatch(HttpServer *server, HttpRequest *request)
{
    Result refusal = request->refusal;

    MHD_get_connection_values(request->connection, MHD_HEADER_KIND, add_header,
                              &request->headers);
    request->complete = TRUE;
    pthread_mutex_lock(&server->lock);
    _HttpUpload_End(request);
    server->unsent++;
    if (refusal == RESULT_OK && server->closed) {
        refusal = RESULT_SHUTTING_DOWN;
    }
    if (refusal == RESULT_OK &&
        server->in_flight->len >= server->desc.max_in_flight) {
        refusal = RESULT_OVERLOADED;
    }
    if (refusal == RESULT_OK) {
        request->suspended = TRUE;
        request->in_flight_index = server->in_flight->len;
        g_ptr_array_add(server->in_flight, request);
        atomic_fetch_add(&request->references, 1);
        MHD_suspend_connection(request->connection);
        watch_disconnect(server, request);
        if (!HttpExecutor_Submit(server->executor, run_handler, request)) {
            /* Cannot happen: the queue holds max_in_flight tasks. */
            atomic_fetch_sub(&request->references, 1);
            remove_in_flight(server, request);
            request->suspended = FALSE;
            unwatch_disconnect(server, request);
            MHD_resume_connection(request->connection);
            refusal = RESULT_OVERLOADED;
        }
    }
    if (refusal != RESULT_OK) {
        request->answered = TRUE;
    }
    pthread_mutex_unlock(&server->lock);
    if (refusal == RESULT_OK) {
        return MHD_YES;
    }
    refuse(request, refusal);
    return queue_answer(request);
}

/* The caller's address, which shares of memory are counted by. */
static uint64_t
sender_of(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const struct sockaddr_in *address =
        info ? (const struct sockaddr_in *)info->client_addr : NULL;

    return address != NULL && address->sin_family == AF_INET
               ? ntohl(address->sin_addr.s_addr)
               : 0;
}

static HttpRequest *
create_request(HttpServer *server, struct MHD_Connection *connection,
               char *target)
{
    HttpRequest *request = g_new0(HttpRequest, 1);
    char *question_mark = strchr(target, '?');

    request->server = server;
    request->connection = connection;
    atomic_store(&request->references, 1);
    request->target = target;
    request->query =
        question_mark ? question_mark + 1 : target + strlen(target);
    if (question_mark != NULL) {
        *question_mark = '\0';
    }
    MemoryBuffer_Init(&request->body, server->desc.memory, MEMORY_UPLOADS,
                      sender_of(connection));
    request->arrived = Clock_Now();
    request->deadline = CLOCK_NEVER;
    request->in_flight_index = UINT_MAX;
    request->read_until = CLOCK_NEVER;
    request->watched_fd = -1;
    return request;
}

/* Called by libmicrohttpd with the raw request target. The return value is
 * *connection_context in the first call of on_access(). */
static void *
on_target(void *context, const char *target, struct MHD_Connection *connection)
{
    HttpServer *server = context;

    pthread_mutex_lock(&server->lock);
    _HttpListener_SetIdle(server, connection, FALSE);
    pthread_mutex_unlock(&server->lock);
    return create_request(server, connection, g_strdup(target));
}

/* The headers that determine the end of the body. */
typedef struct Framing {
    const char *length;
    gboolean chunked;
    gboolean ambiguous;
} Framing;

static enum MHD_Result
read_framing(void *context, enum MHD_ValueKind kind, const char *name,
             const char *value)
{
    Framing *framing = context;
    size_t length = strlen(name);

    (void)kind;
    /* White space before the colon: some HTTP implementations treat it as part
     * of the name, others do not. */
    if (length == 0 || g_ascii_isspace(name[length - 1])) {
        framing->ambiguous = TRUE;
    }
    else if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        framing->ambiguous =
            framing->ambiguous ||
            (framing->length != NULL && strcmp(framing->length, value) != 0);
        framing->length = value;
    }
    else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        framing->chunked = TRUE;
    }
    return MHD_YES;
}

/* Notes the announced length. Returns TRUE if two HTTP implementations could
 * disagree on where the request ends, so that one of them treats the bytes
 * that follow as another request (request smuggling). */
static gboolean
is_ambiguous(HttpRequest *request)
{
    Framing framing = {0};

    MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
                              read_framing, &framing);
    if (framing.length != NULL) {
        request->announced = g_ascii_strtoull(framing.length, NULL, 10);
    }
    if (framing.chunked || request->announced > 0) {
        _HttpUpload_Begin(request);
    }
    return framing.ambiguous || (framing.chunked && framing.length != NULL);
}

/* Answers with 400 and closes the connection before the body is read. */
static enum MHD_Result
refuse_framing(HttpRequest *request)
{
    HttpAnswer_SetRefusal(&request->answer, RESULT_REQUEST_INVALID, RUN_NO,
                          NULL, "the end of the request is ambiguous");
    HttpHeaders_Add(&request->answer.headers, "Connection", "close");
    pthread_mutex_lock(&request->server->lock);
    request->answered = TRUE;
    pthread_mutex_unlock(&request->server->lock);
    return queue_answer(request);
}

static enum MHD_Result
on_access(void *context, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *upload,
          size_t *upload_bytes, void **connection_context)
{
    HttpServer *server = context;
    HttpRequest *request = *connection_context;
    gboolean answered;

    (void)connection;
    (void)url;
    (void)version;
    if (request == NULL) {
        return MHD_NO;
    }
    if (request->method == NULL) {
        request->method = g_strdup(method);
        return is_ambiguous(request) ? refuse_framing(request) : MHD_YES;
    }
    if (*upload_bytes > 0) {
        _HttpUpload_Append(request, upload, *upload_bytes);
        *upload_bytes = 0;
        return MHD_YES;
    }
    pthread_mutex_lock(&server->lock);
    answered = request->answered;
    pthread_mutex_unlock(&server->lock);
    return answered ? queue_answer(request) : dispatch(server, request);
}

static void
on_completed(void *context, struct MHD_Connection *connection,
             void **connection_context, enum MHD_RequestTerminationCode code)
{
    HttpServer *server = context;
    HttpRequest *request = *connection_context;

    (void)code;
    if (request == NULL) {
        return;
    }
    set_timeout(connection, server->desc.idle_timeout_s);
    pthread_mutex_lock(&server->lock);
    _HttpUpload_End(request);
    request->ended = TRUE;
    request->answered = TRUE;
    server->unsent -= request->complete ? 1 : 0;
    _HttpListener_SetIdle(server, connection, TRUE);
    pthread_mutex_unlock(&server->lock);
    release_request(request);
    *connection_context = NULL;
}

static void
on_connection(void *context, struct MHD_Connection *connection,
              void **socket_context, enum MHD_ConnectionNotificationCode code)
{
    HttpServer *server = context;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        _HttpListener_Add(server, connection, socket_context);
        atomic_fetch_add(&server->connections, 1);
        atomic_fetch_add(&server->started, 1);
    }
    else {
        _HttpClose_Begin(server, connection);
        _HttpListener_Remove(server, socket_context);
        atomic_fetch_sub(&server->connections, 1);
    }
}

/* Resumes the connection after the answer was set. Called with the lock
 * held. */
static void
resume(HttpRequest *request)
{
    request->answered = TRUE;
    request->suspended = FALSE;
    unwatch_disconnect(request->server, request);
    if (request->deadline != CLOCK_NEVER) {
        request->server->deadlines--;
    }
    MHD_resume_connection(request->connection);
}

gboolean
HttpRequest_Respond(HttpRequest *request, HttpAnswer *answer)
{
    HttpServer *server = request->server;
    gboolean taken = FALSE;

    pthread_mutex_lock(&server->lock);
    if (!request->answered) {
        HttpAnswer_Move(&request->answer, answer);
        resume(request);
        taken = TRUE;
    }
    pthread_mutex_unlock(&server->lock);
    if (!taken) {
        HttpAnswer_Clear(answer);
    }
    return taken;
}

/* Returns TRUE once the peer has closed or reset the connection. */
static gboolean
has_disconnected(HttpRequest *request)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct pollfd poll_fd = {.events = POLLRDHUP};

    if (info == NULL) {
        return FALSE;
    }
    poll_fd.fd = info->connect_fd;
    return poll(&poll_fd, 1, 0) > 0 &&
           (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Called with the lock held. */
static void
watch_request(HttpRequest *request, ClockMs now)
{
    if (request->answered || !request->suspended) {
        return;
    }
    if (now >= request->deadline) {
        refuse(request, RESULT_DEADLINE_EXPIRED);
        resume(request);
        return;
    }
    if (!request->disconnected && has_disconnected(request)) {
        request->disconnected = TRUE;
        if (request->on_disconnect != NULL) {
            request->on_disconnect(request->disconnect_context);
        }
    }
}

/* Time in milliseconds until the watcher's next check, -1: none is due. */
static int
watch_timeout(const HttpServer *server, unsigned deadlines)
{
    if (deadlines > 0 || server->paused) {
        return WATCH_PERIOD_MS;
    }
    return atomic_load(&server->closing_count) > 0 ? HTTP_CLOSE_PERIOD_MS : -1;
}

/* Accepts connections, and reads from those that are being closed. Checks the
 * requests in flight when a caller disconnects and, while one of them or of
 * those being read has a deadline, every WATCH_PERIOD_MS. */
static void *
watch_requests(void *context)
{
    HttpServer *server = context;
    struct epoll_event event;
    unsigned deadlines = 0;
    gboolean ready;
    gboolean dropping;
    uint64_t wakes;
    ClockMs next_check = 0;
    ClockMs now;

    while (!atomic_load(&server->stopping)) {
        gboolean found = epoll_wait(server->disconnect_epoll, &event, 1,
                                    watch_timeout(server, deadlines)) > 0;

        ready = found && event.data.ptr == server;
        dropping = found && !ready && event.data.ptr != NULL;
        now = Clock_Now();
        if (dropping) {
            _HttpClose_Read(server, event.data.ptr);
        }
        if ((ready || dropping) && now < next_check) {
            _HttpListener_Watch(server, ready, now);
            continue;
        }
        next_check = now + WATCH_PERIOD_MS;
        (void)!read(server->watcher_wake, &wakes, sizeof(wakes));
        _HttpListener_Watch(server, ready, now);
        _HttpClose_Watch(server, now);
        pthread_mutex_lock(&server->lock);
        for (unsigned i = 0; i < server->in_flight->len; i++) {
            watch_request(g_ptr_array_index(server->in_flight, i), now);
        }
        _HttpUpload_Watch(server, now);
        deadlines = server->deadlines;
        pthread_mutex_unlock(&server->lock);
    }
    return NULL;
}

static gboolean
open_watcher(HttpServer *server)
{
    struct epoll_event event = {.events = EPOLLIN};

    server->disconnect_epoll = epoll_create1(EPOLL_CLOEXEC);
    server->watcher_wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    return server->disconnect_epoll >= 0 && server->watcher_wake >= 0 &&
           epoll_ctl(server->disconnect_epoll, EPOLL_CTL_ADD,
                     server->watcher_wake, &event) == 0;
}

static void
apply_defaults(HttpServer_desc *desc)
{
    if (desc->event_threads == 0) {
        desc->event_threads = DEFAULT_EVENT_THREADS;
    }
    if (desc->worker_threads == 0) {
        desc->worker_threads = DEFAULT_WORKER_THREADS;
    }
    if (desc->max_in_flight == 0) {
        desc->max_in_flight = 4 * desc->worker_threads;
    }
    if (desc->max_body_bytes == 0) {
        desc->max_body_bytes = DEFAULT_MAX_BODY_BYTES;
    }
    if (desc->idle_timeout_s == 0) {
        desc->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
    }
}

static struct MHD_Daemon *
start_daemon(HttpServer *server)
{
    HttpServer_desc *desc = &server->desc;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
                     MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET;
    /* The documentation has the thread pool ignored without a listening
     * socket; 0.9.75 starts it, and would serve with one thread otherwise. */
    struct MHD_OptionItem tls[] = {
        {MHD_OPTION_HTTPS_CERT_CALLBACK, 0, (void *)_HttpTls_Retrieve},
        {MHD_OPTION_END, 0, NULL},
    };

    if (desc->tls_certificate_pem != NULL) {
        flags |= MHD_USE_TLS;
    }
    else {
        tls[0].option = MHD_OPTION_END;
    }
    return MHD_start_daemon(
        flags, 0, NULL, NULL, on_access, server, MHD_OPTION_THREAD_POOL_SIZE,
        desc->event_threads, MHD_OPTION_CONNECTION_LIMIT,
        desc->event_threads * 2 * HTTP_MAX_CONNECTIONS,
        MHD_OPTION_CONNECTION_TIMEOUT, desc->idle_timeout_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
        on_target, server, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_ARRAY,
        tls, MHD_OPTION_END);
}

static void
stop_watcher(HttpServer *server)
{
    if (server->has_watcher) {
        atomic_store(&server->stopping, TRUE);
        _HttpServer_WakeWatcher(server);
        pthread_join(server->watcher, NULL);
    }
    _HttpListener_Close(server);
}

/* Fails with errno. */
static gboolean
start(HttpServer *server)
{
    if (!open_watcher(server) || !_HttpListener_Open(server)) {
        return FALSE;
    }
    server->executor = HttpExecutor_Create(server->desc.worker_threads,
                                           server->desc.max_in_flight);
    server->daemon = start_daemon(server);
    if (server->daemon == NULL) {
        return FALSE;
    }
    errno = pthread_create(&server->watcher, NULL, watch_requests, server);
    server->has_watcher = errno == 0;
    return server->has_watcher;
}

HttpServer *
HttpServer_Create(const HttpServer_desc *desc, GError **error)
{
    HttpServer *server;
    char address[32];
    int saved;

    if (desc->tls_certificate_pem != NULL &&
        !HttpTls_SetCertificate(desc->tls_certificate_pem, desc->tls_key_pem,
                                Clock_Now(), error)) {
        return NULL;
    }
    server = g_new0(HttpServer, 1);
    server->desc = *desc;
    apply_defaults(&server->desc);
    pthread_mutex_init(&server->lock, NULL);
    server->in_flight = g_ptr_array_new();
    server->uploads = g_ptr_array_new();
    g_queue_init(&server->idle);
    g_queue_init(&server->closing);
    server->listen_fd = -1;
    server->disconnect_epoll = -1;
    server->watcher_wake = -1;
    if (!start(server)) {
        saved = errno;
        HttpAddress_Format(&desc->address, address, sizeof(address));
        Result_SetError(error, RESULT_IO, "cannot listen on %s: %s", address,
                        g_strerror(saved));
        HttpServer_Destroy(server);
        return NULL;
    }
    return server;
}

uint16_t
HttpServer_Port(const HttpServer *server)
{
    return server->port;
}

unsigned
HttpServer_InFlight(const HttpServer *server)
{
    HttpServer *unlocked = (HttpServer *)server;
    unsigned count;

    pthread_mutex_lock(&unlocked->lock);
    count = server->in_flight->len;
    pthread_mutex_unlock(&unlocked->lock);
    return count;
}

void
HttpServer_Leave(HttpServer *server)
{
    atomic_store(&server->leaving, TRUE);
}

gboolean
HttpServer_IsLeaving(const HttpServer *server)
{
    return atomic_load(&server->leaving);
}

gboolean
HttpServer_Drain(HttpServer *server, ClockMs until)
{
    atomic_store(&server->leaving, TRUE);
    atomic_store(&server->draining, TRUE);
    _HttpServer_WakeWatcher(server);
    while (atomic_load(&server->listening) && Clock_Now() < until) {
        (void)poll(NULL, 0, 1);
    }
    while (Clock_Now() < until && HttpServer_InFlight(server) > 0) {
        (void)poll(NULL, 0, WATCH_PERIOD_MS);
    }
    /* Connections in use end with their next answer, which has "Connection:
     * close". Idle ones get IDLE_GRACE_MS to end. One that starts is counted
     * before it is no longer pending. */
    until = MIN(until, Clock_Now() + IDLE_GRACE_MS);
    while (Clock_Now() < until && (HttpServer_InFlight(server) > 0 ||
                                   _HttpListener_Pending(server) > 0 ||
                                   atomic_load(&server->connections) > 0)) {
        (void)poll(NULL, 0, WATCH_PERIOD_MS);
    }
    return HttpServer_InFlight(server) == 0;
}

gboolean
HttpServer_Close(HttpServer *server, ClockMs until)
{
    unsigned unsent;

    atomic_store(&server->leaving, TRUE);
    pthread_mutex_lock(&server->lock);
    server->closed = TRUE;
    while ((unsent = server->unsent) > 0 && Clock_Now() < until) {
        pthread_mutex_unlock(&server->lock);
        (void)poll(NULL, 0, WATCH_PERIOD_MS);
        pthread_mutex_lock(&server->lock);
    }
    pthread_mutex_unlock(&server->lock);
    return unsent == 0;
}

void
HttpServer_Destroy(HttpServer *server)
{
    if (server == NULL) {
        return;
    }
    pthread_mutex_lock(&server->lock);
    server->closed = TRUE;
    pthread_mutex_unlock(&server->lock);
    /* Handlers must end first, since each of them resumes its connection. */
    HttpExecutor_Destroy(server->executor);
    stop_watcher(server);
    /* Ends the event threads, which use the descriptors below. */
    if (server->daemon != NULL) {
        MHD_stop_daemon(server->daemon);
    }
    _HttpClose_EndAll(server);
    if (server->disconnect_epoll >= 0) {
        close(server->disconnect_epoll);
    }
    if (server->watcher_wake >= 0) {
        close(server->watcher_wake);
    }
    g_ptr_array_free(server->uploads, TRUE);
    g_ptr_array_free(server->in_flight, TRUE);
    pthread_mutex_destroy(&server->lock);
    g_free(server);
}
