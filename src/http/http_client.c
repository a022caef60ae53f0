#include "http/http_client.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/log.h"
#include "http/http_connection.h"

#define DEFAULT_MAX_IDLE 16
#define DEFAULT_MAX_IDLE_MS 10000
#define DEFAULT_CONNECT_MS 1000
#define DEFAULT_UNACKED_TIMEOUT_MS 1000
#define DEFAULT_MAX_ANSWER_BYTES (16 * 1024 * 1024)

/* A pooled connection is no longer used this long before the idle timeout that
 * its peer announced. */
#define KEEP_ALIVE_MARGIN_MS 1000

/* Maximum number of answers of other requests that are read and discarded. */
#define MAX_DISCARDED 8

/* A longer body is sent from the caller's block, not copied behind the head.
 */
#define MAX_JOINED_BYTES 4096

/* Interval at which expired connections are removed from the whole pool. */
#define SWEEP_PERIOD_MS 5000

typedef struct IdleConnection {
    HttpConnection *connection;
    ClockMs since;
    ClockMs until; /* end of its use */
} IdleConnection;

struct HttpCancel {
    pthread_mutex_t lock;
    gboolean triggered;
    int fds[HTTP_CANCEL_CALLS]; /* sockets of the running calls */
    unsigned count;
};

struct HttpClient {
    HttpClient_desc desc;
    pthread_mutex_t lock;
    GHashTable *idle; /* address -> GArray of IdleConnection, oldest first */
    ClockMs next_sweep;
};

HttpCancel *
HttpCancel_Create(void)
{
    HttpCancel *cancel = g_new0(HttpCancel, 1);

    pthread_mutex_init(&cancel->lock, NULL);
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
    for (unsigned i = 0; i < cancel->count; i++) {
        shutdown(cancel->fds[i], SHUT_RDWR);
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

/* Binds the cancel object to a socket. Returns FALSE if it is bound to
 * HTTP_CANCEL_CALLS of them. */
static gboolean
bind_cancel(HttpCancel *cancel, int fd)
{
    gboolean bound = TRUE;

    if (cancel != NULL) {
        pthread_mutex_lock(&cancel->lock);
        bound = cancel->count < HTTP_CANCEL_CALLS;
        if (bound) {
            cancel->fds[cancel->count++] = fd;
        }
        if (cancel->triggered) {
            shutdown(fd, SHUT_RDWR);
        }
        pthread_mutex_unlock(&cancel->lock);
    }
    return bound;
}

/* Socket of the call whose give_up() makes this one, or -1. */
static int
outer_fd(HttpCancel *cancel)
{
    int fd = -1;

    if (cancel != NULL) {
        pthread_mutex_lock(&cancel->lock);
        fd = cancel->count > 1 ? cancel->fds[cancel->count - 2] : -1;
        pthread_mutex_unlock(&cancel->lock);
    }
    return fd;
}

/* Unbinds the socket that was bound last. */
static void
unbind_cancel(HttpCancel *cancel)
{
    if (cancel != NULL) {
        pthread_mutex_lock(&cancel->lock);
        cancel->count--;
        pthread_mutex_unlock(&cancel->lock);
    }
}

static gboolean
is_cancelled(const HttpCall *call)
{
    return call->cancel != NULL && HttpCancel_IsTriggered(call->cancel);
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
        HttpConnection_Close(
            g_array_index(list, IdleConnection, i).connection);
    }
    g_array_free(list, TRUE);
}

static gboolean
remove_expired(gpointer key, gpointer value, gpointer context)
{
    GArray *list = value;
    ClockMs now = *(ClockMs *)context;
    guint kept = 0;

    (void)key;
    for (guint i = 0; i < list->len; i++) {
        IdleConnection *idle = &g_array_index(list, IdleConnection, i);

        if (now >= idle->until) {
            HttpConnection_Close(idle->connection);
        }
        else {
            g_array_index(list, IdleConnection, kept++) = *idle;
        }
    }
    g_array_set_size(list, kept);
    return kept == 0;
}

HttpClient *
HttpClient_Create(const HttpClient_desc *desc)
{
    HttpClient *client = g_new0(HttpClient, 1);

    signal(SIGPIPE, SIG_IGN);
    client->desc = *desc;
    if (client->desc.max_idle_per_address == 0) {
        client->desc.max_idle_per_address = DEFAULT_MAX_IDLE;
    }
    if (client->desc.max_idle_ms == 0) {
        client->desc.max_idle_ms = DEFAULT_MAX_IDLE_MS;
    }
    if (client->desc.connect_ms == 0) {
        client->desc.connect_ms = DEFAULT_CONNECT_MS;
    }
    if (client->desc.unacked_timeout_ms == 0) {
        client->desc.unacked_timeout_ms = DEFAULT_UNACKED_TIMEOUT_MS;
    }
    if (client->desc.max_answer_bytes == 0) {
        client->desc.max_answer_bytes = DEFAULT_MAX_ANSWER_BYTES;
    }
    pthread_mutex_init(&client->lock, NULL);
    client->idle = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                         free_idle_list);
    return client;
}

void
HttpClient_Destroy(HttpClient *client)
{
    if (client == NULL) {
        return;
    }
    g_hash_table_destroy(client->idle);
    pthread_mutex_destroy(&client->lock);
    g_free(client);
}

void
HttpClient_CloseIdle(HttpClient *client, const struct sockaddr_in *address)
{
    guint64 key = address_key(address);

    pthread_mutex_lock(&client->lock);
    g_hash_table_remove(client->idle, &key);
    pthread_mutex_unlock(&client->lock);
}

/* Returns the most recently used connection that the call may use, or NULL.
 * One that has carried the call's id is left for other calls. A readable idle
 * connection is not used: its peer has closed it, or has sent bytes that
 * belong to no pending request. */
static HttpConnection *
take_idle(HttpClient *client, const HttpCall *call)
{
    guint64 key = address_key(&call->address);
    HttpConnection *found = NULL;
    ClockMs now = Clock_Now();
    IdleConnection idle;
    GArray *list;

    pthread_mutex_lock(&client->lock);
    if (now >= client->next_sweep) {
        client->next_sweep = now + SWEEP_PERIOD_MS;
        g_hash_table_foreach_remove(client->idle, remove_expired, &now);
    }
    list = g_hash_table_lookup(client->idle, &key);
    for (guint i = list ? list->len : 0; i > 0 && found == NULL; i--) {
        idle = g_array_index(list, IdleConnection, i - 1);
        if (call->max_idle_ms > 0 && now - idle.since > call->max_idle_ms) {
            break;
        }
        if (call->match_header != NULL &&
            HttpConnection_HasCarried(idle.connection, call->match_value)) {
            continue;
        }
        g_array_remove_index(list, i - 1);
        if (now < idle.until && HttpConnection_IsIdle(idle.connection)) {
            found = idle.connection;
        }
        else {
            HttpConnection_Close(idle.connection);
        }
    }
    pthread_mutex_unlock(&client->lock);
    return found;
}

/* Returns how long the connection may stay in the pool: the client's limit, or
 * the peer's announced idle timeout less a margin if that is shorter. */
static ClockMs
idle_limit(const HttpClient *client, const HttpAnswer *answer)
{
    const char *value = HttpHeaders_Get(&answer->headers, "Keep-Alive");
    const char *timeout = value ? strstr(value, "timeout=") : NULL;
    ClockMs limit = client->desc.max_idle_ms;
    gint64 announced;

    if (timeout != NULL) {
        announced = g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10);
        limit = MIN(limit, announced * 1000 - KEEP_ALIVE_MARGIN_MS);
    }
    return limit;
}

static void
keep_idle(HttpClient *client, const struct sockaddr_in *address,
          HttpConnection *connection, ClockMs limit)
{
    ClockMs now = Clock_Now();
    IdleConnection idle = {
        .connection = connection, .since = now, .until = now + limit};
    guint64 key = address_key(address);
    GArray *list;

    pthread_mutex_lock(&client->lock);
    list = g_hash_table_lookup(client->idle, &key);
    if (list == NULL) {
        list = g_array_new(FALSE, FALSE, sizeof(IdleConnection));
        g_hash_table_insert(client->idle, g_memdup2(&key, sizeof(key)), list);
    }
    if (limit > 0 && list->len < client->desc.max_idle_per_address) {
        g_array_append_val(list, idle);
        connection = NULL;
    }
    pthread_mutex_unlock(&client->lock);
    HttpConnection_Close(connection);
}

/* Formats the head, and the body behind it if that is short. */
static GString *
format_request(const HttpCall *call)
{
    GString *text = g_string_sized_new(512 + MAX_JOINED_BYTES);
    char address[32];
    const char *host = call->host;

    if (host == NULL) {
        HttpAddress_Format(&call->address, address, sizeof(address));
        host = address;
    }
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
    if (call->body_bytes > 0 && call->body_bytes <= MAX_JOINED_BYTES) {
        g_string_append_len(text, call->body, (gssize)call->body_bytes);
    }
    return text;
}

static Result
send_request(HttpConnection *connection, const HttpCall *call,
             gboolean *complete)
{
    GString *text = format_request(call);
    Result result = HttpConnection_Send(connection, text->str, text->len,
                                        call->deadline, complete);

    g_string_free(text, TRUE);
    if (result == RESULT_OK && *complete &&
        call->body_bytes > MAX_JOINED_BYTES) {
        result = HttpConnection_Send(connection, call->body, call->body_bytes,
                                     call->deadline, complete);
    }
    return result;
}

/* Whether the answer belongs to the call. One without an id may be a late copy
 * of an earlier answer if the connection was used before, or has brought an
 * answer of another request. One with several ids is not identified. */
static gboolean
matches_call(const HttpCall *call, const HttpAnswer *answer, gboolean shared)
{
    gboolean matches = !shared && !call->match_strictly;

    for (size_t i = 0; call->match_header != NULL && i < answer->headers.count;
         i++) {
        const HttpHeader *header = &answer->headers.items[i];

        if (g_ascii_strcasecmp(header->name, call->match_header) == 0) {
            matches = TRUE;
            if (strcmp(header->value, call->match_value) != 0) {
                return FALSE;
            }
        }
    }
    return call->match_header == NULL || matches;
}

static Result
exchange(HttpClient *client, HttpConnection *connection, const HttpCall *call,
         gboolean reused, HttpAnswer *answer, gboolean *reusable)
{
    HttpReadOptions options = {.no_body = strcmp(call->method, "HEAD") == 0,
                               .allow_unframed = call->allow_unframed,
                               .max_body_bytes = client->desc.max_answer_bytes,
                               .memory = client->desc.memory,
                               .sender = address_key(&call->address),
                               .transfer = call->transfer,
                               .stall_ms = call->stall_ms};
    gboolean complete;
    Result result = send_request(connection, call, &complete);

    *reusable = FALSE;
    if (call->match_header != NULL) {
        HttpConnection_NoteId(connection, call->match_value);
    }
    if (result != RESULT_OK) {
        return result;
    }
    for (int discarded = 0; discarded <= MAX_DISCARDED; discarded++) {
        result = HttpConnection_ReadAnswer(connection, &options,
                                           call->deadline, answer, reusable);
        *reusable = *reusable && complete;
        if (result != RESULT_OK ||
            matches_call(call, answer, reused || discarded > 0)) {
            return result;
        }
        HttpAnswer_Clear(answer);
        if (call->match_strictly) {
            *reusable = FALSE;
            return RESULT_ANSWER_MISMATCH;
        }
        if (!*reusable) {
            return RESULT_ANSWER_LOST;
        }
    }
    *reusable = FALSE;
    return RESULT_ANSWER_LOST;
}

static Result
open_connection(HttpClient *client, const HttpCall *call,
                HttpConnection **connection)
{
    ClockMs limit =
        call->connect_ms > 0 ? call->connect_ms : client->desc.connect_ms;
    ClockMs deadline = MIN(call->deadline, Clock_Now() + limit);
    Result result = HttpConnection_Open(
        &call->address, deadline, client->desc.unacked_timeout_ms, connection);

    if (result != RESULT_OK && Clock_Now() >= call->deadline) {
        result = RESULT_DEADLINE_EXPIRED;
    }
    return result;
}

/* Counts and logs an answer that was not read to its end. */
static void
note_cut_off(const HttpClient *client, const HttpCall *call, Result result)
{
    const Memory *memory =
        client->desc.memory ? client->desc.memory : Memory_Process();
    char sender[32];

    if (result != RESULT_TOO_LARGE && result != RESULT_OVERLOADED) {
        return;
    }
    Counter_Add(result == RESULT_TOO_LARGE ? COUNTER_ANSWERS_TOO_LARGE
                                           : COUNTER_ANSWERS_WITHOUT_MEMORY,
                1);
    HttpAddress_Format(&call->address, sender, sizeof(sender));
    Log_Event(LOG_ANSWER_CUT_OFF,
              "sender=%s request=%s result=%s used=%zu "
              "limit=%zu",
              sender, call->match_value ? call->match_value : "-",
              Result_Name(result), Memory_Used(memory), Memory_Limit(memory));
}

Result
HttpClient_Call(HttpClient *client, const HttpCall *call, HttpAnswer *answer,
                gboolean *sent)
{
    HttpConnection *connection = NULL;
    gboolean reusable = FALSE;
    gboolean reused;
    Result result = RESULT_OK;

    *sent = FALSE;
    if (Clock_Now() >= call->deadline) {
        return RESULT_DEADLINE_EXPIRED;
    }
    if (!call->fresh_connection) {
        connection = take_idle(client, call);
    }
    reused = connection != NULL;
    if (!reused) {
        result = open_connection(client, call, &connection);
    }
    if (result != RESULT_OK) {
        return result;
    }
    if (!bind_cancel(call->cancel, HttpConnection_Fd(connection))) {
        HttpConnection_Close(connection);
        return RESULT_OVERLOADED;
    }
    if (is_cancelled(call)) {
        result = RESULT_CANCELLED;
    }
    else {
        *sent = TRUE;
        HttpConnection_SetSoftTimeout(connection, call->soft_timeout);
        HttpConnection_SetOther(connection, outer_fd(call->cancel));
        result = exchange(client, connection, call, reused, answer, &reusable);
        HttpConnection_SetSoftTimeout(connection, NULL);
        HttpConnection_SetOther(connection, -1);
    }
    unbind_cancel(call->cancel);
    if (result != RESULT_OK && HttpConnection_HasYielded(connection)) {
        result = RESULT_CANCELLED;
    }
    if ((result != RESULT_OK || HttpConnection_HasEndedBody(connection)) &&
        result != RESULT_TOO_LARGE && is_cancelled(call)) {
        result = RESULT_CANCELLED;
    }
    if (result == RESULT_OK && reusable && HttpConnection_IsIdle(connection)) {
        keep_idle(client, &call->address, connection,
                  idle_limit(client, answer));
    }
    else {
        HttpConnection_Close(connection);
    }
    if (result != RESULT_OK) {
        HttpAnswer_Clear(answer);
        note_cut_off(client, call, result);
    }
    return result;
}
