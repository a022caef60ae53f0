#include "store/store.h"

#include <arpa/inet.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_uri.h>
#include <pthread.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"

#define DEFAULT_CONNECT_TIMEOUT_MS 1000
#define DEFAULT_TIMEOUT_MS 2000
#define READ_BLOCK_BYTES 16384

typedef struct StoreAddress {
    ne_session *session;
    gboolean connected; /* connection established by the current request */
} StoreAddress;

struct Store {
    GArray *addresses; /* StoreAddress */
    guint current;     /* address used for the next call */
    int connect_timeout_s;
    int timeout_ms;
    gboolean failing; /* the last call failed; an outage is logged once */
};

/* One call on one address. */
typedef struct Exchange {
    const char *method;
    const char *path;
    const char *body; /* NULL = none */
    int wait_ms;
    gboolean write;
    int status;      /* HTTP status, 0 without an answer */
    GString *answer; /* complete body */
} Exchange;

static pthread_once_t neon_once = PTHREAD_ONCE_INIT;

static void
init_neon(void)
{
    ne_sock_init();
}

static void
on_session_status(void *context, ne_session_status status,
                  const ne_session_status_info *info)
{
    StoreAddress *address = context;

    (void)info;
    if (status == ne_status_connected) {
        address->connected = TRUE;
    }
}

static gboolean
parse_address(const char *text, char **host, int *port)
{
    const char *colon = strrchr(text, ':');
    struct in_addr binary;
    guint64 value;

    if (colon == NULL ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &value, NULL)) {
        return FALSE;
    }
    *host = g_strndup(text, (gsize)(colon - text));
    if (inet_pton(AF_INET, *host, &binary) != 1) {
        g_free(*host);
        return FALSE;
    }
    *port = (int)value;
    return TRUE;
}

static int
round_up_to_seconds(int milliseconds)
{
    return (milliseconds + 999) / 1000;
}

static gboolean
add_address(Store *store, const char *text, GError **error)
{
    StoreAddress address = {0};
    char *host;
    int port;

    if (!parse_address(text, &host, &port)) {
        return Result_SetError(error, RESULT_SETTINGS_INVALID,
                               "store address \"%s\" is not of the form "
                               "<numeric IPv4 address>:<port>",
                               text);
    }
    address.session = ne_session_create("http", host, (unsigned int)port);
    ne_set_connect_timeout(address.session, store->connect_timeout_s);
    g_array_append_val(store->addresses, address);
    g_free(host);
    return TRUE;
}

Store *
Store_Create(const Store_desc *desc, GError **error)
{
    Store *store = g_new0(Store, 1);
    char **texts = g_strsplit(desc->addresses ? desc->addresses : "", ",", -1);
    gboolean valid = TRUE;

    pthread_once(&neon_once, init_neon);
    store->addresses = g_array_new(FALSE, TRUE, sizeof(StoreAddress));
    store->connect_timeout_s = round_up_to_seconds(
        desc->connect_timeout_ms > 0 ? desc->connect_timeout_ms
                                     : DEFAULT_CONNECT_TIMEOUT_MS);
    store->timeout_ms =
        desc->timeout_ms > 0 ? desc->timeout_ms : DEFAULT_TIMEOUT_MS;
    for (int i = 0; valid && texts[i] != NULL; i++) {
        valid = add_address(store, g_strstrip(texts[i]), error);
    }
    g_strfreev(texts);
    if (valid && store->addresses->len == 0) {
        valid = Result_SetError(error, RESULT_SETTINGS_INVALID,
                                "no store address is given");
    }
    if (!valid) {
        Store_Destroy(store);
        return NULL;
    }
    /* The array does not grow after this, so pointers to elements are stable.
     */
    for (guint i = 0; i < store->addresses->len; i++) {
        StoreAddress *address =
            &g_array_index(store->addresses, StoreAddress, i);

        ne_set_notifier(address->session, on_session_status, address);
    }
    return store;
}

void
Store_Destroy(Store *store)
{
    if (store == NULL) {
        return;
    }
    for (guint i = 0; i < store->addresses->len; i++) {
        ne_session_destroy(
            g_array_index(store->addresses, StoreAddress, i).session);
    }
    g_array_unref(store->addresses);
    g_free(store);
}

/* Reads the body of the answer. Returns NE_ERROR if it is larger than
 * STORE_ANSWER_BYTES. */
static int
read_body(ne_request *request, GString *answer)
{
    char block[READ_BLOCK_BYTES];
    ssize_t length;

    while ((length = ne_read_response_block(request, block, sizeof(block))) >
           0) {
        if (answer->len + (size_t)length > STORE_ANSWER_BYTES) {
            return NE_ERROR;
        }
        g_string_append_len(answer, block, length);
    }
    return length < 0 ? NE_ERROR : NE_OK;
}

/* Runs one call on one address. A write uses a new connection: on a reused one
 * that the store has closed meanwhile, its effect would be uncertain. */
static int
exchange_once(Store *store, StoreAddress *address, Exchange *exchange)
{
    ne_request *request;
    int code;

    if (exchange->write) {
        ne_close_connection(address->session);
    }
    address->connected = FALSE;
    exchange->status = 0;
    g_string_truncate(exchange->answer, 0);
    ne_set_read_timeout(
        address->session,
        round_up_to_seconds(store->timeout_ms + exchange->wait_ms));
    request =
        ne_request_create(address->session, exchange->method, exchange->path);
    ne_set_request_flag(request, NE_REQFLAG_IDEMPOTENT, !exchange->write);
    if (exchange->body != NULL) {
        ne_add_request_header(request, "Content-Type", "application/json");
        ne_set_request_body_buffer(request, exchange->body,
                                   strlen(exchange->body));
    }
    do {
        g_string_truncate(exchange->answer, 0);
        code = ne_begin_request(request);
        if (code == NE_OK) {
            code = read_body(request, exchange->answer);
        }
        if (code == NE_OK) {
            code = ne_end_request(request);
        }
    } while (code == NE_RETRY && !exchange->write);
    if (code == NE_OK) {
        exchange->status = ne_get_status(request)->code;
    }
    else {
        ne_close_connection(address->session);
    }
    ne_request_destroy(request);
    return code;
}

static Result
report_failure(Store *store, const Exchange *exchange, Result result,
               const char *reason, GError **error)
{
    Counter_Add(COUNTER_STORE_FAILURES, 1);
    if (!store->failing) {
        store->failing = TRUE;
        Log_Event(LOG_STORE_FAILED, "call=%s path=%s result=%s reason=\"%s\"",
                  exchange->method, exchange->path, Result_Name(result),
                  reason);
    }
    Result_SetError(error, result, "%s: %s %s: %s", Result_Text(result),
                    exchange->method, exchange->path, reason);
    return result;
}

/* Runs a call, and retries it on the next address if it had no effect. Returns
 * RESULT_OK for an answer with a status below 500. */
static Result
exchange_with_failover(Store *store, Exchange *exchange, GError **error)
{
    char reason[200] = "no address";

    Counter_Add(exchange->write ? COUNTER_STORE_WRITES : COUNTER_STORE_READS,
                1);
    for (guint i = 0; i < store->addresses->len; i++) {
        StoreAddress *address =
            &g_array_index(store->addresses, StoreAddress, store->current);
        int code = exchange_once(store, address, exchange);

        if (code == NE_OK && exchange->status < 500) {
            if (store->failing) {
                store->failing = FALSE;
                Log_Event(LOG_STORE_BACK, "call=%s path=%s", exchange->method,
                          exchange->path);
            }
            return RESULT_OK;
        }
        if (code == NE_OK) {
            g_snprintf(reason, sizeof(reason), "HTTP status %d",
                       exchange->status);
        }
        else {
            g_strlcpy(reason, ne_get_error(address->session), sizeof(reason));
        }
        store->current = (store->current + 1) % store->addresses->len;
        if (exchange->write && address->connected) {
            return report_failure(store, exchange, RESULT_STORE_UNCERTAIN,
                                  reason, error);
        }
    }
    return report_failure(store, exchange, RESULT_STORE_UNAVAILABLE, reason,
                          error);
}

static Result
report_malformed(Store *store, const Exchange *exchange, GError **error)
{
    char reason[60];

    g_snprintf(reason, sizeof(reason),
               "status %d with an answer of an unknown form",
               exchange->status);
    return report_failure(store, exchange,
                          exchange->write ? RESULT_STORE_UNCERTAIN
                                          : RESULT_MALFORMED,
                          reason, error);
}

static char *
object_path(const char *name, int64_t if_version)
{
    char *escaped = ne_path_escape(name);
    char *path =
        if_version < 0
            ? g_strdup_printf("/v1/objects/%s", escaped)
            : g_strdup_printf("/v1/objects/%s?if_version=%" G_GINT64_FORMAT,
                              escaped, if_version);

    ne_free(escaped);
    return path;
}

/* Takes a reference to the value. The value is NULL for version 0, which means
 * that the object does not exist. */
static gboolean
parse_object(json_t *json, StoreObject *object)
{
    const char *name;
    json_t *value = NULL;
    json_int_t version;
    json_int_t modified = 0;
    json_int_t now;

    if (json_unpack(json, "{s:s,s:I,s?I,s:I,s?o}", "name", &name, "version",
                    &version, "modified_ms", &modified, "now_ms", &now,
                    "value", &value) != 0) {
        return FALSE;
    }
    *object = (StoreObject){
        .name = g_strdup(name),
        .version = version,
        .modified_ms = modified,
        .now_ms = now,
        .value = version > 0 ? json_incref(value) : NULL,
    };
    return TRUE;
}

/* Decodes the answer to a call on one object. */
static Result
read_object_answer(Store *store, const Exchange *exchange, const char *name,
                   StoreObject *object, GError **error)
{
    json_t *json;
    gboolean valid;

    if (exchange->status == 404) {
        Result_SetError(error, RESULT_NOT_FOUND, "the store has no object %s",
                        name);
        return RESULT_NOT_FOUND;
    }
    if (exchange->status == 413) {
        Result_SetError(error, RESULT_TOO_LARGE,
                        "the store refuses the size of %s", name);
        return RESULT_TOO_LARGE;
    }
    json = json_loadb(exchange->answer->str, exchange->answer->len, 0, NULL);
    valid = (exchange->status == 200 || exchange->status == 409) &&
            json != NULL && parse_object(json, object);
    json_decref(json);
    if (!valid) {
        return report_malformed(store, exchange, error);
    }
    if (exchange->status == 409) {
        Result_SetError(error, RESULT_STORE_CONFLICT,
                        "%s has version %" G_GINT64_FORMAT, name,
                        object->version);
        return RESULT_STORE_CONFLICT;
    }
    return RESULT_OK;
}

static Result
call_object(Store *store, const char *method, const char *name,
            int64_t if_version, const char *body, StoreObject *object,
            GError **error)
{
    StoreObject unused = {0};
    Exchange exchange = {
        .method = method,
        .body = body,
        .write = if_version >= 0,
        .answer = g_string_new(NULL),
    };
    char *path = object_path(name, if_version);
    Result result;

    exchange.path = path;
    if (object != NULL) {
        *object = unused;
    }
    result = exchange_with_failover(store, &exchange, error);
    if (result == RESULT_OK) {
        result = read_object_answer(store, &exchange, name, &unused, error);
    }
    if (object != NULL) {
        *object = unused;
    }
    else {
        StoreObject_Clear(&unused);
    }
    g_string_free(exchange.answer, TRUE);
    g_free(path);
    return result;
}

Result
Store_Get(Store *store, const char *name, StoreObject *object, GError **error)
{
    return call_object(store, "GET", name, -1, NULL, object, error);
}

Result
Store_PutText(Store *store, const char *name, int64_t if_version,
              const char *text, StoreObject *object, GError **error)
{
    if (object != NULL) {
        *object = (StoreObject){0};
    }
    if (if_version < 0) {
        Result_SetError(error, RESULT_MALFORMED, "%s: version is invalid",
                        name);
        return RESULT_MALFORMED;
    }
    if (strlen(text) > STORE_VALUE_BYTES) {
        Result_SetError(error, RESULT_TOO_LARGE,
                        "%s: the value has %zu bytes, at most %d are allowed",
                        name, strlen(text), STORE_VALUE_BYTES);
        return RESULT_TOO_LARGE;
    }
    return call_object(store, "PUT", name, if_version, text, object, error);
}

Result
Store_Put(Store *store, const char *name, int64_t if_version, json_t *value,
          StoreObject *object, GError **error)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    Result result;

    if (text == NULL) {
        if (object != NULL) {
            *object = (StoreObject){0};
        }
        Result_SetError(error, RESULT_MALFORMED, "%s: the value is invalid",
                        name);
        return RESULT_MALFORMED;
    }
    result = Store_PutText(store, name, if_version, text, object, error);
    free(text);
    return result;
}

Result
Store_Delete(Store *store, const char *name, int64_t if_version,
             StoreObject *object, GError **error)
{
    if (if_version < 0) {
        Result_SetError(error, RESULT_MALFORMED, "%s: version is invalid",
                        name);
        return RESULT_MALFORMED;
    }
    return call_object(store, "DELETE", name, if_version, NULL, object, error);
}

static gboolean
parse_list(json_t *json, StoreList *list)
{
    json_t *objects;
    json_t *item;
    json_int_t version;
    json_int_t now;
    size_t i;

    if (json_unpack(json, "{s:o,s:I,s:I}", "objects", &objects, "version",
                    &version, "now_ms", &now) != 0 ||
        !json_is_array(objects)) {
        return FALSE;
    }
    list->version = version;
    list->now_ms = now;
    json_array_foreach(objects, i, item)
    {
        StoreObject object;

        if (!parse_object(item, &object)) {
            return FALSE;
        }
        g_array_append_val(list->objects, object);
    }
    return TRUE;
}

Result
Store_List(Store *store, const char *prefix, int64_t after, int wait_ms,
           int limit, StoreList *list, GError **error)
{
    char *escaped = ne_path_escape(prefix);
    char *path = g_strdup_printf("/v1/list?prefix=%s&after=%" G_GINT64_FORMAT
                                 "&wait_ms=%d&limit=%d",
                                 escaped, after, wait_ms, limit);
    Exchange exchange = {
        .method = "GET",
        .path = path,
        .wait_ms = wait_ms,
        .answer = g_string_new(NULL),
    };
    json_t *json;
    Result result;

    ne_free(escaped);
    *list = (StoreList){
        .objects = g_array_new(FALSE, TRUE, sizeof(StoreObject)),
    };
    g_array_set_clear_func(list->objects,
                           (GDestroyNotify)(void *)StoreObject_Clear);
    result = exchange_with_failover(store, &exchange, error);
    if (result == RESULT_OK) {
        json = json_loadb(exchange.answer->str, exchange.answer->len, 0, NULL);
        if (exchange.status != 200 || json == NULL ||
            !parse_list(json, list)) {
            result = report_malformed(store, &exchange, error);
        }
        json_decref(json);
    }
    if (result != RESULT_OK) {
        StoreList_Clear(list);
    }
    g_string_free(exchange.answer, TRUE);
    g_free(path);
    return result;
}

void
StoreObject_Clear(StoreObject *object)
{
    g_free(object->name);
    json_decref(object->value);
    *object = (StoreObject){0};
}

void
StoreList_Clear(StoreList *list)
{
    if (list->objects != NULL) {
        g_array_unref(list->objects);
    }
    *list = (StoreList){0};
}
