/* rk-backend: admin port and announcements. */
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "rk_backend.h"

typedef struct FaultField {
    const char *name;
    size_t offset;
    double value_of_true;
} FaultField;

static const FaultField fault_fields[] = {
    {"slow_factor", offsetof(Faults, slow_factor), 10},
    {"hang", offsetof(Faults, hang), 1},
    {"error_percent", offsetof(Faults, error_percent), 100},
    {"wrong_percent", offsetof(Faults, wrong_percent), 100},
    {"short_body_percent", offsetof(Faults, short_body_percent), 100},
    {"close_after_read", offsetof(Faults, close_after_read), 100},
    {"close_before_read", offsetof(Faults, close_before_read), 100},
    {"shed_percent", offsetof(Faults, shed_percent), 100},
    {"stop_announcing", offsetof(Faults, stop_announcing), 1},
};

static double *
fault_value(Faults *faults, const FaultField *field)
{
    return (double *)(void *)((char *)faults + field->offset);
}

static json_t *
encode_faults(Backend *backend)
{
    json_t *root = json_object();

    pthread_mutex_lock(&backend->lock);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_fields); i++) {
        json_object_set_new(
            root, fault_fields[i].name,
            json_real(*fault_value(&backend->faults, &fault_fields[i])));
    }
    pthread_mutex_unlock(&backend->lock);
    return root;
}

/* Sets the fields that are present. Returns FALSE and changes nothing if a
 * field is unknown or has a wrong type. */
static gboolean
set_faults(Backend *backend, const GByteArray *body)
{
    json_t *root = json_loadb((const char *)body->data, body->len, 0, NULL);
    gboolean is_valid = json_is_object(root);
    const char *name;
    json_t *value;
    Faults faults;

    pthread_mutex_lock(&backend->lock);
    faults = backend->faults;
    if (json_is_true(json_object_get(root, "reset"))) {
        faults = (Faults){.slow_factor = 1.0};
    }
    json_object_foreach(root, name, value)
    {
        const FaultField *field = NULL;

        for (size_t i = 0; i < G_N_ELEMENTS(fault_fields); i++) {
            if (strcmp(fault_fields[i].name, name) == 0) {
                field = &fault_fields[i];
            }
        }
        if (field == NULL) {
            is_valid = is_valid && strcmp(name, "reset") == 0;
        }
        else if (json_is_number(value)) {
            *fault_value(&faults, field) = json_number_value(value);
        }
        else if (json_is_boolean(value)) {
            *fault_value(&faults, field) =
                json_is_true(value) ? field->value_of_true : 0;
        }
        else {
            is_valid = FALSE;
        }
    }
    if (is_valid) {
        backend->faults = faults;
        pthread_cond_broadcast(&backend->changed);
    }
    pthread_mutex_unlock(&backend->lock);
    json_decref(root);
    return is_valid;
}

/* Adds the counts as an object, or only their number if is_summary, and the
 * highest count. */
static void
add_counts(json_t *root, const char *name, GHashTable *table,
           gboolean is_summary)
{
    json_t *counts = json_object();
    char *max_name = g_strconcat("max_", name, NULL);
    gsize highest = 0;
    GHashTableIter iterator;
    gpointer text;
    gpointer count;

    g_hash_table_iter_init(&iterator, table);
    while (g_hash_table_iter_next(&iterator, &text, &count)) {
        highest = MAX(highest, GPOINTER_TO_SIZE(count));
        if (!is_summary) {
            json_object_set_new(
                counts, text,
                json_integer((json_int_t)GPOINTER_TO_SIZE(count)));
        }
    }
    if (is_summary) {
        json_decref(counts);
        counts = json_integer(g_hash_table_size(table));
    }
    json_object_set_new(root, name, counts);
    json_object_set_new(root, max_name, json_integer((json_int_t)highest));
    g_free(max_name);
}

static json_t *
encode_executions(Backend *backend, gboolean is_summary)
{
    json_t *root = json_object();

    pthread_mutex_lock(&backend->lock);
    json_object_set_new(root, "total",
                        json_integer((json_int_t)backend->executions));
    add_counts(root, "tokens", backend->tokens, is_summary);
    add_counts(root, "requests", backend->requests, is_summary);
    add_counts(root, "nonces", backend->nonces, is_summary);
    pthread_mutex_unlock(&backend->lock);
    return root;
}

static json_t *
encode_stats(Backend *backend)
{
    json_t *root;

    pthread_mutex_lock(&backend->lock);
    root = json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:i, s:I, "
        "s:f, s:I, s:I}",
        "name", backend->name, "session", backend->session, "state",
        backend->state, "received", (json_int_t)backend->received, "served",
        (json_int_t)backend->served, "executions",
        (json_int_t)backend->executions, "shed", (json_int_t)backend->shed,
        "over_slots", (json_int_t)backend->over_slots, "started_expired",
        (json_int_t)backend->started_expired, "cancelled",
        (json_int_t)backend->cancelled, "running", (int)backend->running->len,
        "waiting", (int)g_queue_get_length(&backend->waiting), "after_drain",
        (json_int_t)backend->after_drain, "last_after_drain_ms",
        (double)backend->last_after_drain_us / 1000.0, "announced",
        (json_int_t)backend->announced, "announce_failures",
        (json_int_t)backend->announce_failures);
    pthread_mutex_unlock(&backend->lock);
    return root;
}

static enum MHD_Result
reply(struct MHD_Connection *connection, unsigned status, json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result result;

    MHD_add_response_header(response, "Content-Type", "application/json");
    result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    json_decref(root);
    return result;
}

static enum MHD_Result
handle_get(Backend *backend, struct MHD_Connection *connection,
           const char *url)
{
    if (strcmp(url, "/v1/executions") == 0) {
        return reply(
            connection, MHD_HTTP_OK,
            encode_executions(backend, MHD_lookup_connection_value(
                                           connection, MHD_GET_ARGUMENT_KIND,
                                           "summary") != NULL));
    }
    if (strcmp(url, "/v1/seen") == 0) {
        const char *text = MHD_lookup_connection_value(
            connection, MHD_GET_ARGUMENT_KIND, "text");

        if (text == NULL || text[0] == '\0') {
            return reply(connection, MHD_HTTP_BAD_REQUEST,
                         json_pack("{s:s}", "message", "text is missing"));
        }
        return reply(connection, MHD_HTTP_OK,
                     json_pack("{s:b, s:b}", "seen",
                               Work_WasSeen(backend, text), "truncated",
                               backend->is_seen_full));
    }
    if (strcmp(url, "/v1/stats") == 0) {
        return reply(connection, MHD_HTTP_OK, encode_stats(backend));
    }
    return reply(connection, MHD_HTTP_NOT_FOUND,
                 json_pack("{s:s}", "message", "not found"));
}

static enum MHD_Result
handle_post(Backend *backend, struct MHD_Connection *connection,
            const char *url, const GByteArray *body)
{
    if (strcmp(url, "/v1/faults") == 0) {
        if (!set_faults(backend, body)) {
            return reply(connection, MHD_HTTP_BAD_REQUEST,
                         json_pack("{s:s}", "message", "invalid faults"));
        }
        return reply(connection, MHD_HTTP_OK, encode_faults(backend));
    }
    if (strcmp(url, "/v1/drain") == 0 || strcmp(url, "/v1/leave") == 0) {
        Admin_SetState(backend, url[4] == 'd' ? "draining" : "leaving");
        Admin_AnnounceOnce(backend);
        return reply(connection, MHD_HTTP_OK, encode_stats(backend));
    }
    return reply(connection, MHD_HTTP_NOT_FOUND,
                 json_pack("{s:s}", "message", "not found"));
}

enum MHD_Result
Admin_Handle(void *context, struct MHD_Connection *connection, const char *url,
             const char *method, const char *version, const char *data,
             size_t *data_size, void **body_pointer)
{
    GByteArray *body = *body_pointer;

    (void)version;
    if (body == NULL) {
        *body_pointer = g_byte_array_new();
        return MHD_YES;
    }
    if (*data_size > 0) {
        g_byte_array_append(body, (const guint8 *)data, (guint)*data_size);
        *data_size = 0;
        return MHD_YES;
    }
    return strcmp(method, "POST") == 0
               ? handle_post(context, connection, url, body)
               : handle_get(context, connection, url);
}

void
Admin_Completed(void *context, struct MHD_Connection *connection,
                void **body_pointer, enum MHD_RequestTerminationCode code)
{
    (void)context;
    (void)connection;
    (void)code;
    if (*body_pointer != NULL) {
        g_byte_array_unref(*body_pointer);
        *body_pointer = NULL;
    }
}

void
Admin_SetState(Backend *backend, const char *state)
{
    pthread_mutex_lock(&backend->lock);
    backend->state = state;
    if (backend->drain_us == 0) {
        backend->drain_us = g_get_monotonic_time();
    }
    pthread_mutex_unlock(&backend->lock);
}

static gboolean
post_announcement(const char *host, unsigned port, const char *text)
{
    ne_session *session = ne_session_create("http", host, port);
    ne_request *request;
    gboolean is_accepted;

    ne_set_connect_timeout(session, 1);
    ne_set_read_timeout(session, 1);
    request = ne_request_create(session, "POST", "/v1/announce");
    ne_add_request_header(request, "Content-Type", "application/json");
    ne_set_request_body_buffer(request, text, strlen(text));
    is_accepted = ne_request_dispatch(request) == NE_OK &&
                  ne_get_status(request)->klass == 2;
    ne_request_destroy(request);
    ne_session_destroy(session);
    return is_accepted;
}

/* Serializes the announcements, so that an older state never arrives after a
 * newer one. */
static pthread_mutex_t announce_lock = PTHREAD_MUTEX_INITIALIZER;

gboolean
Admin_AnnounceOnce(Backend *backend)
{
    char **parts;
    char *text;
    json_t *root;
    gboolean is_accepted = FALSE;

    if (backend->daemon == NULL) {
        return FALSE;
    }
    pthread_mutex_lock(&announce_lock);
    pthread_mutex_lock(&backend->lock);
    root = json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:s}", "name",
                     backend->name, "service", backend->service, "pool",
                     backend->pool, "address", backend->address, "port",
                     backend->port, "slots", backend->slots, "state",
                     backend->state, "session", backend->session);
    pthread_mutex_unlock(&backend->lock);
    text = json_dumps(root, JSON_COMPACT);
    parts = g_strsplit(backend->daemon, ":", 2);
    if (parts[0] != NULL && parts[1] != NULL) {
        is_accepted = post_announcement(
            parts[0], (unsigned)strtoul(parts[1], NULL, 10), text);
    }
    g_strfreev(parts);
    free(text);
    json_decref(root);
    pthread_mutex_lock(&backend->lock);
    if (is_accepted) {
        backend->announced++;
    }
    else {
        backend->announce_failures++;
    }
    pthread_mutex_unlock(&backend->lock);
    pthread_mutex_unlock(&announce_lock);
    return is_accepted;
}

void *
Admin_Announce(void *context)
{
    Backend *backend = context;

    for (;;) {
        gboolean is_silent;
        gboolean is_stopping;

        pthread_mutex_lock(&backend->lock);
        is_stopping = backend->is_stopping;
        is_silent = backend->faults.stop_announcing != 0;
        pthread_mutex_unlock(&backend->lock);
        if (is_stopping) {
            return NULL;
        }
        if (!is_silent) {
            Admin_AnnounceOnce(backend);
        }
        /* Sleep one second in short steps, so that the thread soon notices a
         * shutdown. */
        for (int i = 0; i < 20 && !is_stopping; i++) {
            g_usleep(50000);
            pthread_mutex_lock(&backend->lock);
            is_stopping = backend->is_stopping;
            pthread_mutex_unlock(&backend->lock);
        }
    }
}
