#include "store_standin.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/rng.h"
#include "store_objects.h"

#define OBJECTS_PATH "/v1/objects/"
#define MAX_VALUE_BYTES 1000000
#define MAX_BODY_BYTES (2 * MAX_VALUE_BYTES)
#define MAX_NAME_BYTES 200
#define MAX_WAIT_MS 60000
#define MAX_LIST_ITEMS 10000
/* A list answer ends after the first object with which it reaches this size.
 */
#define MAX_LIST_BYTES 4000000

typedef struct Faults {
    gboolean down;
    int slow_ms;
    int lose_answer_percent;
    gboolean stale;
    int64_t stale_version;
    int64_t count; /* remaining affected calls; -1 = no limit */
} Faults;

/* A request. It exists until the request ends, also while suspended. */
typedef struct Call {
    struct MHD_Connection *connection;
    GString *body;
    ClockMs resume_at; /* 0 = not suspended */
    char *prefix;      /* name prefix of a waiting watch, else NULL */
    ClockMs wait_until;
    gboolean delayed; /* already delayed by slow_ms */
    gboolean counted;
    gboolean too_large;
} Call;

enum { CALL_GET, CALL_PUT, CALL_DELETE, CALL_LIST, CALL_WATCH, CALL_KINDS };
static const char *const call_names[CALL_KINDS] = {"get", "put", "delete",
                                                   "list", "watch"};

struct StoreStandin {
    pthread_mutex_t lock; /* protects all fields below */
    pthread_cond_t changed;
    StoreObjects *objects;
    Faults faults;
    Rng rng;
    GPtrArray *suspended; /* Call */
    int64_t calls[CALL_KINDS];
    gboolean stopping;
    pthread_t timer;
    struct MHD_Daemon *daemon;
};

static enum MHD_Result
reply(struct MHD_Connection *connection, int status, GString *text)
{
    size_t length = text->len;
    struct MHD_Response *response = MHD_create_response_from_buffer(
        length, g_string_free(text, FALSE), MHD_RESPMEM_MUST_FREE);
    enum MHD_Result result;

    MHD_add_response_header(response, "Content-Type", "application/json");
    result = MHD_queue_response(connection, (unsigned int)status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
reply_error(struct MHD_Connection *connection, int status, const char *text)
{
    GString *out = g_string_new(NULL);

    g_string_printf(out, "{\"error\":\"%s\"}", text);
    return reply(connection, status, out);
}

/* Names and prefixes hold only characters that need no JSON escapes. */
static gboolean
name_is_valid(const char *name)
{
    size_t length = strlen(name);

    return length <= MAX_NAME_BYTES &&
           strspn(name, "abcdefghijklmnopqrstuvwxyz"
                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._/-") == length;
}

static void
append_object(GString *out, const char *name, const StoreRevision *revision)
{
    g_string_append_printf(out,
                           "{\"name\":\"%s\",\"version\":%" G_GINT64_FORMAT
                           ",\"modified_ms\":%" G_GINT64_FORMAT
                           ",\"now_ms\":%" G_GINT64_FORMAT ",\"value\":%s}",
                           name, revision ? revision->version : 0,
                           revision ? revision->modified_ms : 0,
                           Clock_WallMs(),
                           revision ? revision->value : "null");
}

static int64_t
number_argument(struct MHD_Connection *connection, const char *name,
                int64_t fallback)
{
    const char *text =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    gint64 value;

    if (text == NULL) {
        return fallback;
    }
    return g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, &value, NULL)
               ? value
               : -1;
}

/* Counts a call affected by a fault; the last counted call clears the faults.
 */
static void
consume_fault(StoreStandin *standin)
{
    if (standin->faults.count > 0 && --standin->faults.count == 0) {
        memset(&standin->faults, 0, sizeof(standin->faults));
    }
}

static int64_t
read_version(const StoreStandin *standin)
{
    return standin->faults.stale ? standin->faults.stale_version
                                 : StoreObjects_GetVersion(standin->objects);
}

static void
suspend(StoreStandin *standin, Call *call, ClockMs until)
{
    call->resume_at = until;
    g_ptr_array_add(standin->suspended, call);
    MHD_suspend_connection(call->connection);
    pthread_cond_signal(&standin->changed);
}

/* Resumes calls whose resume time has passed and watches whose prefix matches
 * the name `written`, if that is not NULL. */
static void
resume_calls(StoreStandin *standin, const char *written, ClockMs now)
{
    guint i = 0;

    while (i < standin->suspended->len) {
        Call *call = g_ptr_array_index(standin->suspended, i);

        if (standin->stopping || call->resume_at <= now ||
            (written != NULL && call->prefix != NULL &&
             g_str_has_prefix(written, call->prefix))) {
            call->resume_at = 0;
            g_ptr_array_remove_index_fast(standin->suspended, i);
            MHD_resume_connection(call->connection);
        }
        else {
            i++;
        }
    }
}

static void *
run_timer(void *context)
{
    StoreStandin *standin = context;

    pthread_mutex_lock(&standin->lock);
    while (!standin->stopping) {
        ClockMs now = Clock_Now();
        ClockMs next = now + 1000;

        resume_calls(standin, NULL, now);
        for (guint i = 0; i < standin->suspended->len; i++) {
            Call *call = g_ptr_array_index(standin->suspended, i);

            next = MIN(next, call->resume_at);
        }
        (void)Condition_Wait(&standin->changed, &standin->lock, next - now);
    }
    pthread_mutex_unlock(&standin->lock);
    return NULL;
}

static enum MHD_Result
get_object(StoreStandin *standin, Call *call, const char *name)
{
    const StoreRevision *revision =
        StoreObjects_Find(standin->objects, name, read_version(standin));
    GString *out;

    if (standin->faults.stale) {
        consume_fault(standin);
    }
    if (revision == NULL) {
        return reply_error(call->connection, 404, "no such object");
    }
    out = g_string_new(NULL);
    append_object(out, name, revision);
    return reply(call->connection, 200, out);
}

/* Checks the body. Returns it as compact JSON text, or NULL and the HTTP
 * status of the error. */
static char *
compact_value(const Call *call, int *status)
{
    json_t *value;
    char *text;

    *status = 413;
    if (call->too_large) {
        return NULL;
    }
    value = json_loadb(call->body->str, call->body->len,
                       JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
    if (value == NULL) {
        *status = 400;
        return NULL;
    }
    text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    json_decref(value);
    if (text != NULL && strlen(text) > MAX_VALUE_BYTES) {
        free(text);
        text = NULL;
    }
    return text;
}

static enum MHD_Result
write_object(StoreStandin *standin, Call *call, const char *name,
             gboolean delete)
{
    int64_t if_version = number_argument(call->connection, "if_version", -1);
    const StoreRevision *revision =
        StoreObjects_Find(standin->objects, name, G_MAXINT64);
    GString *out = NULL;
    char *value = NULL;
    char *copy;
    int status = 0;

    if (if_version < 0) {
        return reply_error(call->connection, 400, "if_version is required");
    }
    if (!delete &&(value = compact_value(call, &status)) == NULL) {
        return reply_error(call->connection, status, "invalid value");
    }
    if ((revision ? revision->version : 0) != if_version) {
        free(value);
        out = g_string_new(NULL);
        append_object(out, name, revision);
        return reply(call->connection, 409, out);
    }
    copy = delete ? NULL : g_strdup(value);
    free(value);
    if (!delete || revision != NULL) {
        StoreObjects_Put(standin->objects, name, copy, Clock_WallMs());
        resume_calls(standin, name, 0);
    }
    if (standin->faults.lose_answer_percent > 0 &&
        Rng_Below(&standin->rng, 100) <
            (uint64_t)standin->faults.lose_answer_percent) {
        consume_fault(standin);
        return MHD_NO;
    }
    out = g_string_new(NULL);
    g_string_printf(out,
                    "{\"name\":\"%s\",\"version\":%" G_GINT64_FORMAT
                    ",\"now_ms\":%" G_GINT64_FORMAT "}",
                    name, StoreObjects_GetVersion(standin->objects),
                    Clock_WallMs());
    return reply(call->connection, 200, out);
}

typedef struct ListAnswer {
    GString *out;
    int64_t limit;
    int64_t count;
} ListAnswer;

static gboolean
append_listed(void *context, const char *name, const StoreRevision *revision)
{
    ListAnswer *answer = context;

    if (answer->count++ > 0) {
        g_string_append_c(answer->out, ',');
    }
    append_object(answer->out, name, revision);
    return answer->count < answer->limit && answer->out->len < MAX_LIST_BYTES;
}

static enum MHD_Result
list_objects(StoreStandin *standin, Call *call)
{
    const char *prefix = MHD_lookup_connection_value(
        call->connection, MHD_GET_ARGUMENT_KIND, "prefix");
    int64_t after = number_argument(call->connection, "after", 0);
    int64_t wait_ms = number_argument(call->connection, "wait_ms", 0);
    ListAnswer answer = {.limit =
                             number_argument(call->connection, "limit", 1000)};
    ClockMs now = Clock_Now();

    prefix = prefix != NULL ? prefix : "";
    if (after < 0 || wait_ms < 0 || answer.limit < 1 ||
        !name_is_valid(prefix)) {
        return reply_error(call->connection, 400, "invalid argument");
    }
    answer.limit = MIN(answer.limit, MAX_LIST_ITEMS);
    answer.out = g_string_new("{\"objects\":[");
    StoreObjects_List(standin->objects, prefix, after, read_version(standin),
                      append_listed, &answer);
    if (call->wait_until == 0) {
        call->wait_until = now + MIN(wait_ms, MAX_WAIT_MS);
    }
    if (answer.count == 0 && call->wait_until > now && !standin->stopping) {
        g_string_free(answer.out, TRUE);
        g_free(call->prefix);
        call->prefix = g_strdup(prefix);
        suspend(standin, call, call->wait_until);
        return MHD_YES;
    }
    g_string_append_printf(answer.out,
                           "],\"version\":%" G_GINT64_FORMAT
                           ",\"now_ms\":%" G_GINT64_FORMAT "}",
                           read_version(standin), Clock_WallMs());
    if (standin->faults.stale) {
        consume_fault(standin);
    }
    return reply(call->connection, 200, answer.out);
}

static enum MHD_Result
get_stats(StoreStandin *standin, Call *call)
{
    GString *out = g_string_new("{");

    for (int i = 0; i < CALL_KINDS; i++) {
        g_string_append_printf(out, "\"%s\":%" G_GINT64_FORMAT ",",
                               call_names[i], standin->calls[i]);
    }
    g_string_append_printf(
        out, "\"waiting\":%u,\"version\":%" G_GINT64_FORMAT "}",
        standin->suspended->len, StoreObjects_GetVersion(standin->objects));
    return reply(call->connection, 200, out);
}

/* Called with the lock held. */
static gboolean
set_faults(StoreStandin *standin, const char *text, size_t length)
{
    json_t *value = json_loadb(text, length, 0, NULL);
    int down = 0;
    json_int_t slow = 0;
    json_int_t lose = 0;
    json_int_t stale = -1;
    json_int_t count = -1;
    gboolean valid =
        value != NULL &&
        json_unpack(value, "{s?b,s?I,s?I,s?I,s?I!}", "down", &down, "slow_ms",
                    &slow, "lose_answer_percent", &lose, "stale_versions",
                    &stale, "count", &count) == 0;

    json_decref(value);
    if (!valid) {
        return FALSE;
    }
    standin->faults = (Faults){
        .down = down != 0,
        .slow_ms = (int)CLAMP(slow, 0, MAX_WAIT_MS),
        .lose_answer_percent = (int)CLAMP(lose, 0, 100),
        .stale = stale >= 0,
        .stale_version =
            MAX(StoreObjects_GetVersion(standin->objects) - stale, 0),
        .count = count,
    };
    return TRUE;
}

static void
count_call(StoreStandin *standin, Call *call, const char *method,
           gboolean list)
{
    int kind = CALL_GET;

    if (call->counted) {
        return;
    }
    call->counted = TRUE;
    if (list) {
        kind = number_argument(call->connection, "wait_ms", 0) > 0 ? CALL_WATCH
                                                                   : CALL_LIST;
    }
    else if (strcmp(method, MHD_HTTP_METHOD_PUT) == 0) {
        kind = CALL_PUT;
    }
    else if (strcmp(method, MHD_HTTP_METHOD_DELETE) == 0) {
        kind = CALL_DELETE;
    }
    standin->calls[kind]++;
}

/* Answers a complete request. Called with the lock held. */
static enum MHD_Result
answer_call(StoreStandin *standin, Call *call, const char *path,
            const char *method)
{
    gboolean list = strcmp(path, "/v1/list") == 0;
    const char *name = path + strlen(OBJECTS_PATH);

    if (strcmp(path, "/v1/stats") == 0) {
        return get_stats(standin, call);
    }
    if (strcmp(path, "/v1/faults") == 0) {
        return set_faults(standin, call->body->str, call->body->len)
                   ? reply(call->connection, 200, g_string_new("{}"))
                   : reply_error(call->connection, 400, "invalid faults");
    }
    if (!list && (!g_str_has_prefix(path, OBJECTS_PATH) || name[0] == '\0' ||
                  !name_is_valid(name))) {
        return reply_error(call->connection, 400, "invalid name");
    }
    count_call(standin, call, method, list);
    if (standin->faults.down) {
        consume_fault(standin);
        return MHD_NO;
    }
    if (standin->faults.slow_ms > 0 && !call->delayed && !standin->stopping) {
        call->delayed = TRUE;
        suspend(standin, call, Clock_Now() + standin->faults.slow_ms);
        consume_fault(standin);
        return MHD_YES;
    }
    if (list) {
        return list_objects(standin, call);
    }
    if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
        return get_object(standin, call, name);
    }
    if (strcmp(method, MHD_HTTP_METHOD_PUT) == 0 ||
        strcmp(method, MHD_HTTP_METHOD_DELETE) == 0) {
        return write_object(standin, call, name,
                            method[0] == MHD_HTTP_METHOD_DELETE[0]);
    }
    return reply_error(call->connection, 405, "unknown method");
}

static enum MHD_Result
handle_request(void *context, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *upload_data, size_t *upload_data_size,
               void **request)
{
    StoreStandin *standin = context;
    Call *call = *request;
    enum MHD_Result result;

    (void)version;
    if (call == NULL) {
        call = g_new0(Call, 1);
        call->connection = connection;
        call->body = g_string_new(NULL);
        *request = call;
        return MHD_YES;
    }
    if (*upload_data_size > 0) {
        call->too_large |=
            call->body->len + *upload_data_size > MAX_BODY_BYTES;
        if (!call->too_large) {
            g_string_append_len(call->body, upload_data,
                                (gssize)*upload_data_size);
        }
        *upload_data_size = 0;
        return MHD_YES;
    }
    pthread_mutex_lock(&standin->lock);
    result = answer_call(standin, call, url, method);
    pthread_mutex_unlock(&standin->lock);
    return result;
}

static void
finish_request(void *context, struct MHD_Connection *connection,
               void **request, enum MHD_RequestTerminationCode code)
{
    Call *call = *request;

    (void)context;
    (void)connection;
    (void)code;
    if (call != NULL) {
        g_string_free(call->body, TRUE);
        g_free(call->prefix);
        g_free(call);
        *request = NULL;
    }
}

StoreStandin *
StoreStandin_Create(void)
{
    StoreStandin *standin = g_new0(StoreStandin, 1);

    pthread_mutex_init(&standin->lock, NULL);
    Condition_Init(&standin->changed);
    standin->objects = StoreObjects_Create(STORE_STANDIN_HISTORY);
    standin->suspended = g_ptr_array_new();
    Rng_Seed(&standin->rng, 1);
    return standin;
}

int
StoreStandin_Listen(StoreStandin *standin, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    const union MHD_DaemonInfo *info;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    standin->stopping = FALSE;
    standin->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
        (uint16_t)port, NULL, NULL, handle_request, standin,
        MHD_OPTION_NOTIFY_COMPLETED, finish_request, NULL,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_CONNECTION_LIMIT, 20000u, MHD_OPTION_END);
    if (standin->daemon == NULL) {
        return 0;
    }
    if (pthread_create(&standin->timer, NULL, run_timer, standin) != 0) {
        MHD_stop_daemon(standin->daemon);
        standin->daemon = NULL;
        return 0;
    }
    info = MHD_get_daemon_info(standin->daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info != NULL ? info->port : port;
}

void
StoreStandin_Close(StoreStandin *standin)
{
    if (standin->daemon == NULL) {
        return;
    }
    pthread_mutex_lock(&standin->lock);
    standin->stopping = TRUE;
    resume_calls(standin, NULL, 0);
    pthread_cond_signal(&standin->changed);
    pthread_mutex_unlock(&standin->lock);
    pthread_join(standin->timer, NULL);
    MHD_stop_daemon(standin->daemon);
    standin->daemon = NULL;
}

void
StoreStandin_Destroy(StoreStandin *standin)
{
    if (standin == NULL) {
        return;
    }
    StoreStandin_Close(standin);
    StoreObjects_Destroy(standin->objects);
    g_ptr_array_unref(standin->suspended);
    pthread_cond_destroy(&standin->changed);
    pthread_mutex_destroy(&standin->lock);
    g_free(standin);
}

gboolean
StoreStandin_SetFaults(StoreStandin *standin, const char *json)
{
    gboolean valid;

    pthread_mutex_lock(&standin->lock);
    valid = set_faults(standin, json, strlen(json));
    pthread_mutex_unlock(&standin->lock);
    return valid;
}

int64_t
StoreStandin_GetCalls(StoreStandin *standin, const char *kind)
{
    int64_t calls = -1;

    pthread_mutex_lock(&standin->lock);
    for (int i = 0; i < CALL_KINDS; i++) {
        if (strcmp(kind, call_names[i]) == 0) {
            calls = standin->calls[i];
        }
    }
    pthread_mutex_unlock(&standin->lock);
    return calls;
}

int64_t
StoreStandin_GetWaiting(StoreStandin *standin)
{
    int64_t waiting;

    pthread_mutex_lock(&standin->lock);
    waiting = standin->suspended->len;
    pthread_mutex_unlock(&standin->lock);
    return waiting;
}
