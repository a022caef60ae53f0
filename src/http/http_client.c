#include "http/http_client.h"

#include <errno.h>
#include <ne_socket.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define DEFAULT_MAX_IDLE 16
#define DEFAULT_MAX_IDLE_MS 10000
#define DEFAULT_SILENCE_MS 1000
#define DEFAULT_MAX_ANSWER_BYTES (16 * 1024 * 1024)
#define CONNECT_TIMEOUT_S 1
#define WATCH_PERIOD_MS 10
#define LINE_BYTES 8192
#define MAX_HEADER_LINES 100

struct HttpCancel {
    pthread_mutex_t lock;
    int fd; /* -1 while no call uses it */
    gboolean triggered;
};

typedef struct IdleConnection {
    ne_socket *socket;
    ClockMs since;
} IdleConnection;

/* A call in progress, as the watcher sees it. */
typedef struct ActiveCall {
    int fd;
    ClockMs deadline;
    gboolean expired;
} ActiveCall;

struct HttpClient {
    HttpClient_desc desc;
    pthread_mutex_t lock;
    GHashTable *idle;  /* address as guint64 -> GArray of IdleConnection */
    GPtrArray *active; /* ActiveCall * */
    pthread_t watcher;
    atomic_bool stopping;
};

HttpCancel *
HttpCancel_Create(void)
{
    HttpCancel *cancel = g_new0(HttpCancel, 1);

    pthread_mutex_init(&cancel->lock, NULL);
    cancel->fd = -1;
    return cancel;
}

void
HttpCancel_Destroy(HttpCancel *cancel)
{
    if (cancel != NULL) {
        pthread_mutex_destroy(&cancel->lock);
        g_free(cancel);
    }
}

void
HttpCancel_Trigger(void *context)
{
    HttpCancel *cancel = context;

    pthread_mutex_lock(&cancel->lock);
    cancel->triggered = TRUE;
    if (cancel->fd >= 0) {
        shutdown(cancel->fd, SHUT_RDWR);
    }
    pthread_mutex_unlock(&cancel->lock);
}

gboolean
HttpCancel_IsTriggered(HttpCancel *cancel)
{
    gboolean triggered;

    pthread_mutex_lock(&cancel->lock);
    triggered = cancel->triggered;
    pthread_mutex_unlock(&cancel->lock);
    return triggered;
}

/* Binds the cancel object to a socket, or unbinds it with -1. */
static void
set_cancel_fd(HttpCancel *cancel, int fd)
{
    if (cancel != NULL) {
        pthread_mutex_lock(&cancel->lock);
        cancel->fd = fd;
        if (fd >= 0 && cancel->triggered) {
            shutdown(fd, SHUT_RDWR);
        }
        pthread_mutex_unlock(&cancel->lock);
    }
}

static guint64
address_key(const struct sockaddr_in *address)
{
    return ((guint64)ntohl(address->sin_addr.s_addr) << 16) |
           ntohs(address->sin_port);
}

static void
free_idle_list(gpointer data)
{
    GArray *list = data;

    for (guint i = 0; i < list->len; i++) {
        ne_sock_close(g_array_index(list, IdleConnection, i).socket);
    }
    g_array_free(list, TRUE);
}

static gboolean
retire_idle(gpointer key, gpointer value, gpointer context)
{
    GArray *list = value;
    ClockMs oldest = *(ClockMs *)context;

    (void)key;
    while (list->len > 0 &&
           g_array_index(list, IdleConnection, 0).since < oldest) {
        ne_sock_close(g_array_index(list, IdleConnection, 0).socket);
        g_array_remove_index(list, 0);
    }
    return list->len == 0;
}

static void *
watch_calls(void *context)
{
    HttpClient *client = context;
    ClockMs oldest;
    ClockMs now;

    while (!atomic_load(&client->stopping)) {
        (void)poll(NULL, 0, WATCH_PERIOD_MS);
        now = Clock_Now();
        oldest = now - client->desc.max_idle_ms;
        pthread_mutex_lock(&client->lock);
        for (guint i = 0; i < client->active->len; i++) {
            ActiveCall *call = g_ptr_array_index(client->active, i);

            if (!call->expired && now >= call->deadline) {
                call->expired = TRUE;
                shutdown(call->fd, SHUT_RDWR);
            }
        }
        g_hash_table_foreach_remove(client->idle, retire_idle, &oldest);
        pthread_mutex_unlock(&client->lock);
    }
    return NULL;
}

HttpClient *
HttpClient_Create(const HttpClient_desc *desc)
{
    HttpClient *client = g_new0(HttpClient, 1);

    ne_sock_init();
    signal(SIGPIPE, SIG_IGN);
    client->desc = *desc;
    if (client->desc.max_idle_per_address == 0) {
        client->desc.max_idle_per_address = DEFAULT_MAX_IDLE;
    }
    if (client->desc.max_idle_ms == 0) {
        client->desc.max_idle_ms = DEFAULT_MAX_IDLE_MS;
    }
    if (client->desc.silence_ms == 0) {
        client->desc.silence_ms = DEFAULT_SILENCE_MS;
    }
    if (client->desc.max_answer_bytes == 0) {
        client->desc.max_answer_bytes = DEFAULT_MAX_ANSWER_BYTES;
    }
    pthread_mutex_init(&client->lock, NULL);
    client->idle = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                         free_idle_list);
    client->active = g_ptr_array_new();
    pthread_create(&client->watcher, NULL, watch_calls, client);
    return client;
}

void
HttpClient_Destroy(HttpClient *client)
{
    if (client == NULL) {
        return;
    }
    atomic_store(&client->stopping, TRUE);
    pthread_join(client->watcher, NULL);
    g_hash_table_destroy(client->idle);
    g_ptr_array_free(client->active, TRUE);
    pthread_mutex_destroy(&client->lock);
    g_free(client);
}

void
HttpClient_Forget(HttpClient *client, const struct sockaddr_in *address)
{
    guint64 key = address_key(address);

    pthread_mutex_lock(&client->lock);
    g_hash_table_remove(client->idle, &key);
    pthread_mutex_unlock(&client->lock);
}

/* An idle connection must be silent; readable means closed or out of step. */
static gboolean
is_usable(ne_socket *socket)
{
    struct pollfd poll_fd = {.fd = ne_sock_fd(socket), .events = POLLIN};

    return poll(&poll_fd, 1, 0) == 0;
}

static ne_socket *
take_idle(HttpClient *client, const struct sockaddr_in *address)
{
    guint64 key = address_key(address);
    ne_socket *found = NULL;
    GArray *list;

    pthread_mutex_lock(&client->lock);
    list = g_hash_table_lookup(client->idle, &key);
    while (list != NULL && list->len > 0 && found == NULL) {
        found = g_array_index(list, IdleConnection, list->len - 1).socket;
        g_array_set_size(list, list->len - 1);
        if (!is_usable(found)) {
            ne_sock_close(found);
            found = NULL;
        }
    }
    pthread_mutex_unlock(&client->lock);
    return found;
}

static void
keep_idle(HttpClient *client, const struct sockaddr_in *address,
          ne_socket *socket)
{
    IdleConnection connection = {.socket = socket, .since = Clock_Now()};
    guint64 key = address_key(address);
    GArray *list;

    pthread_mutex_lock(&client->lock);
    list = g_hash_table_lookup(client->idle, &key);
    if (list == NULL) {
        list = g_array_new(FALSE, FALSE, sizeof(IdleConnection));
        g_hash_table_insert(client->idle, g_memdup2(&key, sizeof(key)), list);
    }
    if (list->len < client->desc.max_idle_per_address) {
        g_array_append_val(list, connection);
        socket = NULL;
    }
    pthread_mutex_unlock(&client->lock);
    if (socket != NULL) {
        ne_sock_close(socket);
    }
}

/* Data that stays unacknowledged, or a peer that answers no keep-alive, ends
 * the connection: something between the ends has lost track of it. */
static void
set_socket_options(HttpClient *client, int fd)
{
    unsigned silence = (unsigned)client->desc.silence_ms;
    int on = 1;
    int one_second = 1;
    int two_probes = 2;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence, sizeof(silence));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &one_second, sizeof(one_second));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &one_second,
               sizeof(one_second));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &two_probes, sizeof(two_probes));
}

static ne_socket *
connect_to(HttpClient *client, const struct sockaddr_in *address)
{
    ne_inet_addr *target = ne_iaddr_make(
        ne_iaddr_ipv4, (const unsigned char *)&address->sin_addr);
    ne_socket *socket = ne_sock_create();

    ne_sock_connect_timeout(socket, CONNECT_TIMEOUT_S);
    if (ne_sock_connect(socket, target, ntohs(address->sin_port)) != 0) {
        ne_sock_close(socket);
        socket = NULL;
    }
    else {
        set_socket_options(client, ne_sock_fd(socket));
    }
    ne_iaddr_free(target);
    return socket;
}

static GString *
format_request(const HttpCall *call)
{
    GString *text = g_string_sized_new(512 + call->body_bytes);
    char host[32];

    HttpAddress_Format(&call->address, host, sizeof(host));
    g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                           call->method, call->target, host);
    for (size_t i = 0; call->headers != NULL && i < call->headers->count;
         i++) {
        g_string_append_printf(text, "%s: %s\r\n",
                               call->headers->items[i].name,
                               call->headers->items[i].value);
    }
    if (call->body_bytes > 0 || strcmp(call->method, "GET") != 0) {
        g_string_append_printf(text, "Content-Length: %zu\r\n",
                               call->body_bytes);
    }
    g_string_append(text, "\r\n");
    if (call->body_bytes > 0) {
        g_string_append_len(text, call->body, (gssize)call->body_bytes);
    }
    return text;
}

/* Reads a line without its end. Returns its length or -1. */
static ssize_t
read_line(ne_socket *socket, char *line)
{
    ssize_t length = ne_sock_readline(socket, line, LINE_BYTES);

    if (length <= 0) {
        return -1;
    }
    while (length > 0 &&
           (line[length - 1] == '\n' || line[length - 1] == '\r')) {
        length--;
    }
    line[length] = '\0';
    return length;
}

static gboolean
read_headers(ne_socket *socket, HttpHeaders *headers)
{
    char line[LINE_BYTES + 1];
    char *colon;

    for (int i = 0; i < MAX_HEADER_LINES; i++) {
        if (read_line(socket, line) < 0) {
            return FALSE;
        }
        if (line[0] == '\0') {
            return TRUE;
        }
        colon = strchr(line, ':');
        if (colon == NULL || line[0] == ' ' || line[0] == '\t') {
            return FALSE;
        }
        *colon = '\0';
        HttpHeaders_Add(headers, line, g_strstrip(colon + 1));
    }
    return FALSE;
}

/* Reads status line and headers, passing over interim (1xx) answers. */
static gboolean
read_head(ne_socket *socket, HttpAnswer *answer)
{
    char line[LINE_BYTES + 1];
    int minor;

    do {
        HttpHeaders_Clear(&answer->headers);
        if (read_line(socket, line) < 0 ||
            sscanf(line, "HTTP/1.%d %d", &minor, &answer->status) != 2 ||
            answer->status < 100 || answer->status > 599 ||
            !read_headers(socket, &answer->headers)) {
            return FALSE;
        }
    } while (answer->status < 200);
    return TRUE;
}

static Result
read_chunks(HttpClient *client, ne_socket *socket, HttpAnswer *answer)
{
    GString *body = g_string_new(NULL);
    HttpHeaders trailers = {0};
    char line[LINE_BYTES + 1];
    char *end = NULL;
    guint64 bytes = 1;
    gsize before;
    Result result = RESULT_OK;

    while (result == RESULT_OK && bytes > 0) {
        if (read_line(socket, line) <= 0 ||
            (bytes = g_ascii_strtoull(line, &end, 16), end == line)) {
            result = RESULT_ANSWER_TRUNCATED;
        }
        else if (bytes > client->desc.max_answer_bytes - body->len) {
            result = RESULT_TOO_LARGE;
        }
        else if (bytes > 0) {
            before = body->len;
            g_string_set_size(body, before + bytes);
            if (ne_sock_fullread(socket, body->str + before, bytes) != 0 ||
                read_line(socket, line) != 0) {
                result = RESULT_ANSWER_TRUNCATED;
            }
        }
    }
    if (result == RESULT_OK && !read_headers(socket, &trailers)) {
        result = RESULT_ANSWER_TRUNCATED;
    }
    HttpHeaders_Clear(&trailers);
    answer->body_bytes = body->len;
    answer->body = g_string_free(body, FALSE);
    return result;
}

static Result
read_body(HttpClient *client, ne_socket *socket, const HttpCall *call,
          HttpAnswer *answer)
{
    const char *encoding =
        HttpHeaders_Get(&answer->headers, "Transfer-Encoding");
    int64_t bytes =
        HttpHeaders_GetNumber(&answer->headers, "Content-Length", -1);

    if (answer->status == 204 || answer->status == 304 ||
        strcmp(call->method, "HEAD") == 0) {
        HttpAnswer_SetBody(answer, NULL, 0);
        return RESULT_OK;
    }
    if (encoding != NULL) {
        return strcasecmp(encoding, "chunked") == 0
                   ? read_chunks(client, socket, answer)
                   : RESULT_ANSWER_TRUNCATED;
    }
    if (bytes < 0) {
        return RESULT_ANSWER_TRUNCATED;
    }
    if ((uint64_t)bytes > client->desc.max_answer_bytes) {
        return RESULT_TOO_LARGE;
    }
    answer->body = g_malloc((gsize)bytes + 1);
    answer->body[bytes] = '\0';
    answer->body_bytes = (size_t)bytes;
    if (bytes > 0 &&
        ne_sock_fullread(socket, answer->body, (size_t)bytes) != 0) {
        return RESULT_ANSWER_TRUNCATED;
    }
    return RESULT_OK;
}

static Result
exchange(HttpClient *client, ne_socket *socket, const HttpCall *call,
         HttpAnswer *answer, gboolean *sent)
{
    GString *text = format_request(call);
    int written;

    *sent = TRUE;
    written = ne_sock_fullwrite(socket, text->str, text->len);
    g_string_free(text, TRUE);
    if (written != 0 || !read_head(socket, answer)) {
        return RESULT_ANSWER_LOST;
    }
    return read_body(client, socket, call, answer);
}

static gboolean
allows_reuse(const HttpAnswer *answer)
{
    const char *connection = HttpHeaders_Get(&answer->headers, "Connection");

    return connection == NULL || strcasecmp(connection, "close") != 0;
}

/* Runs the exchange while the watcher guards the deadline. */
static Result
guarded_exchange(HttpClient *client, ne_socket *socket, const HttpCall *call,
                 HttpAnswer *answer, gboolean *sent)
{
    ActiveCall active = {.fd = ne_sock_fd(socket), .deadline = call->deadline};
    Result result;

    ne_sock_read_timeout(socket,
                         (int)((call->deadline - Clock_Now()) / 1000) + 2);
    pthread_mutex_lock(&client->lock);
    g_ptr_array_add(client->active, &active);
    pthread_mutex_unlock(&client->lock);
    set_cancel_fd(call->cancel, active.fd);
    if (call->cancel != NULL && HttpCancel_IsTriggered(call->cancel)) {
        result = RESULT_CANCELLED;
    }
    else {
        result = exchange(client, socket, call, answer, sent);
    }
    set_cancel_fd(call->cancel, -1);
    pthread_mutex_lock(&client->lock);
    g_ptr_array_remove_fast(client->active, &active);
    pthread_mutex_unlock(&client->lock);
    if (result != RESULT_OK && result != RESULT_TOO_LARGE) {
        if (call->cancel != NULL && HttpCancel_IsTriggered(call->cancel)) {
            result = RESULT_CANCELLED;
        }
        else if (active.expired) {
            result = RESULT_DEADLINE_EXPIRED;
        }
    }
    return result;
}

Result
HttpClient_Call(HttpClient *client, const HttpCall *call, HttpAnswer *answer,
                gboolean *sent)
{
    ne_socket *socket = NULL;
    Result result;

    *sent = FALSE;
    if (Clock_Now() >= call->deadline) {
        return RESULT_DEADLINE_EXPIRED;
    }
    if (!call->fresh_connection) {
        socket = take_idle(client, &call->address);
    }
    if (socket == NULL) {
        socket = connect_to(client, &call->address);
    }
    if (socket == NULL) {
        return RESULT_CONNECT_FAILED;
    }
    if (Clock_Now() >= call->deadline) {
        ne_sock_close(socket);
        return RESULT_DEADLINE_EXPIRED;
    }
    result = guarded_exchange(client, socket, call, answer, sent);
    if (result == RESULT_OK && allows_reuse(answer)) {
        keep_idle(client, &call->address, socket);
    }
    else {
        ne_sock_close(socket);
    }
    if (result != RESULT_OK) {
        HttpAnswer_Clear(answer);
    }
    return result;
}
