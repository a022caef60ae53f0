/* The admin port: announcements of backend servers, status, metrics and the
 * operators' calls. The body of an operator's call that changes something
 * carries a MAC made with the fleet secret. A process on the host that does
 * not know the secret can therefore only announce itself and read. */
#include <jansson.h>
#include <string.h>
#include <urcu.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/daemon_internal.h"
#include "memory/memory.h"
#include "owner/owner_wire.h"

#define ADMIN_THREADS 4
#define MAX_EXPLANATIONS 50

static void
respond_json(HttpRequest *request, int status, char *text)
{
    HttpAnswer answer = {0};

    HttpAnswer_SetJson(&answer, status, text);
    HttpRequest_Respond(request, &answer);
}

static void
respond_result(HttpRequest *request, Result result, const char *message)
{
    HttpAnswer answer = {0};

    HttpAnswer_SetRefusal(&answer, result, RUN_NO, NULL, message);
    HttpRequest_Respond(request, &answer);
}

static json_t *
read_json(const HttpRequest *request)
{
    size_t bytes;
    const char *body = HttpRequest_Body(request, &bytes);

    return json_loadb(body, bytes, JSON_REJECT_DUPLICATES, NULL);
}

static void
announce(Daemon *daemon, HttpRequest *request)
{
    OwnerAnnouncement announcement;
    size_t bytes;
    const char *body = HttpRequest_Body(request, &bytes);

    if (!_Daemon_ReadAnnouncement(body, bytes, &announcement)) {
        respond_result(request, RESULT_MALFORMED,
                       "expected {\"name\",\"service\",\"pool\",\"session\": "
                       "1 to 63 bytes, \"address\": numeric IPv4, \"port\": 1 "
                       "to 65535, \"slots\": 1 to 1000, \"state\": ready, "
                       "draining or leaving}");
    }
    else {
        respond_result(
            request, Owner_Announce(daemon->owner, &announcement, Clock_Now()),
            NULL);
    }
}

static void
withdraw(Daemon *daemon, HttpRequest *request)
{
    json_t *body = read_json(request);
    const char *hex = json_string_value(json_object_get(body, "key_hash"));
    ConfigKeyHash hash;

    if (hex == NULL || !Config_HashFromHex(hex, &hash)) {
        respond_result(request, RESULT_MALFORMED,
                       "expected {\"key_hash\": 64 hexadecimal digits}");
    }
    else {
        ConfigSync_Withdraw(daemon->sync, &hash, TRUE);
        Log_Event(LOG_KEY_WITHDRAWAL, "key_hash=%.12s", hex);
        respond_result(request, RESULT_OK, NULL);
    }
    json_decref(body);
}

static void
set_drain(Daemon *daemon, HttpRequest *request)
{
    json_t *body = read_json(request);
    const char *name =
        json_string_value(json_object_get(body, "backend_server"));
    const json_t *drain = json_object_get(body, "drain");

    if (name == NULL || !json_is_boolean(drain)) {
        respond_result(request, RESULT_MALFORMED,
                       "expected {\"backend_server\": name, \"drain\": true "
                       "or false}");
    }
    else {
        respond_result(
            request, Owner_SetDrain(daemon->owner, name, json_is_true(drain)),
            NULL);
    }
    json_decref(body);
}

/* Writes `retired/<host id>`, after which rate slots of that incarnation and
 * of earlier ones may be taken over. */
static Result
retire_host(Daemon *daemon, const char *name)
{
    uint64_t host = Rng_HashString(name);
    const MemberHost *member;
    StoreObject object = {0};
    int64_t incarnation = 0;
    gboolean is_alive = FALSE;
    char *object_name;
    json_t *value;
    Result result;

    rcu_read_lock();
    member = Member_FindHost(daemon->member, host);
    if (member != NULL) {
        incarnation = (int64_t)member->incarnation;
        is_alive = member->state == MEMBER_ALIVE;
    }
    rcu_read_unlock();
    if (incarnation == 0) {
        return RESULT_MEMBER_UNKNOWN;
    }
    if (is_alive) {
        return RESULT_HOST_ALIVE;
    }
    if (daemon->store == NULL) {
        return RESULT_STORE_UNAVAILABLE;
    }
    object_name = g_strdup_printf("retired/%016" G_GINT64_MODIFIER "x", host);
    value = json_pack("{s:s, s:I}", "host", name, "incarnation",
                      (json_int_t)incarnation);
    pthread_mutex_lock(&daemon->store_lock);
    result = Store_Get(daemon->store, object_name, &object, NULL);
    if (result == RESULT_OK || result == RESULT_NOT_FOUND) {
        result = Store_Put(daemon->store, object_name, object.version, value,
                           NULL, NULL);
    }
    pthread_mutex_unlock(&daemon->store_lock);
    StoreObject_Clear(&object);
    json_decref(value);
    g_free(object_name);
    return result;
}

static void
retire(Daemon *daemon, HttpRequest *request)
{
    json_t *body = read_json(request);
    const char *name = json_string_value(json_object_get(body, "host"));

    if (name == NULL) {
        respond_result(request, RESULT_MALFORMED, "expected {\"host\": name}");
    }
    else {
        respond_result(request, retire_host(daemon, name), NULL);
    }
    json_decref(body);
}

static void
metrics(Daemon *daemon, HttpRequest *request)
{
    HttpAnswer answer = {.status = 200};
    GString *out = g_string_new(NULL);

    (void)daemon;
    Counter_Write(out);
    Memory_Write(Memory_Process(), out);
    HttpAnswer_SetBody(&answer, out->str, out->len);
    HttpHeaders_Add(&answer.headers, "Content-Type",
                    "text/plain; version=0.0.4");
    g_string_free(out, TRUE);
    HttpRequest_Respond(request, &answer);
}

static void
status(Daemon *daemon, HttpRequest *request)
{
    respond_json(request, 200, _Daemon_StatusJson(daemon));
}

static void
explain(Daemon *daemon, HttpRequest *request)
{
    char *text = HttpRequest_Argument(request, "text");
    HttpAnswer answer = {.status = 200};
    GString *out = g_string_new(NULL);

    if (text != NULL && text[0] != '\0') {
        Entry_ExplainMatching(daemon->entry, text, MAX_EXPLANATIONS, out);
    }
    HttpAnswer_SetBody(&answer, out->str, out->len);
    HttpHeaders_Add(&answer.headers, "Content-Type", "text/plain");
    g_string_free(out, TRUE);
    g_free(text);
    HttpRequest_Respond(request, &answer);
}

typedef struct AdminCall {
    const char *method;
    const char *path;
    gboolean needs_mac;
    void (*serve)(Daemon *daemon, HttpRequest *request);
} AdminCall;

static const AdminCall calls[] = {
    {"POST", "/v1/announce", FALSE, announce},
    {"POST", "/v1/withdraw", TRUE, withdraw},
    {"POST", "/v1/drain", TRUE, set_drain},
    {"POST", "/v1/retire", TRUE, retire},
    {"GET", "/v1/status", FALSE, status},
    {"GET", "/v1/explain", FALSE, explain},
    {"GET", "/metrics", FALSE, metrics},
};

static gboolean
is_signed(const Daemon *daemon, const HttpRequest *request)
{
    size_t bytes;
    const char *body = HttpRequest_Body(request, &bytes);

    return OwnerWire_IsAuthentic(
        HttpRequest_Method(request), HttpRequest_Path(request),
        HttpRequest_Headers(request), body, bytes,
        daemon->settings->fleet_secret, daemon->secret_bytes);
}

static void
serve(void *context, HttpRequest *request)
{
    Daemon *daemon = context;

    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        if (strcmp(calls[i].path, HttpRequest_Path(request)) != 0 ||
            strcmp(calls[i].method, HttpRequest_Method(request)) != 0) {
            continue;
        }
        if (calls[i].needs_mac && !is_signed(daemon, request)) {
            respond_result(request, RESULT_PEER_UNAUTHENTICATED, NULL);
        }
        else {
            calls[i].serve(daemon, request);
        }
        return;
    }
    respond_result(request, RESULT_NOT_FOUND, NULL);
}

HttpServer *
_Daemon_CreateAdmin(Daemon *daemon, GError **error)
{
    HttpServer_desc desc = {.worker_threads = ADMIN_THREADS,
                            .event_threads = 1,
                            .handler = serve,
                            .context = daemon};
    char *address = g_strdup_printf("%s:%d", daemon->settings->address,
                                    (int)daemon->settings->admin_port);

    HttpAddress_Parse(address, &desc.address);
    g_free(address);
    return HttpServer_Create(&desc, error);
}
