#include "owner/owner_wire.h"

#include <string.h>
#include <strings.h>

/* Additional headers that the MAC covers, in this order. */
static const char *const mac_headers[] = {
    "Radishknot-Request-Id", "Radishknot-Attempt",   "Radishknot-Team",
    "Radishknot-Route",      "Radishknot-Backend",   "Radishknot-Deadline-Ms",
    "Radishknot-Issuance",   "Radishknot-Run-Token",
};

gboolean
OwnerWire_IsReservedHeader(const char *name)
{
    static const char *const connection[] = {
        "Host",       "Content-Length", "Connection",
        "Keep-Alive", "Date",           "Transfer-Encoding",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(connection); i++) {
        if (strcasecmp(name, connection[i]) == 0) {
            return TRUE;
        }
    }
    return HttpHeader_IsReserved(name);
}

static void
update_text(GHmac *hmac, const char *text)
{
    /* The NUL is included as a separator of neighbouring fields. */
    g_hmac_update(hmac, (const guchar *)(text ? text : ""),
                  (text ? (gssize)strlen(text) : 0) + 1);
}

static void
update_bytes(GHmac *hmac, const void *bytes, size_t count)
{
    if (count > 0) {
        g_hmac_update(hmac, bytes, (gssize)count);
    }
}

char *
_OwnerWire_ComputeMac(const char *method, const char *target,
                      const HttpHeaders *headers, const void *body,
                      size_t body_bytes, const void *secret,
                      size_t secret_bytes)
{
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, secret, secret_bytes);
    char *text;

    update_text(hmac, "owner call");
    update_text(hmac, method);
    update_text(hmac, target);
    for (size_t i = 0; i < G_N_ELEMENTS(mac_headers); i++) {
        update_text(hmac, HttpHeaders_Get(headers, mac_headers[i]));
    }
    for (size_t i = 0; i < headers->count; i++) {
        if (!OwnerWire_IsReservedHeader(headers->items[i].name)) {
            update_text(hmac, headers->items[i].name);
            update_text(hmac, headers->items[i].value);
        }
    }
    update_bytes(hmac, body, body_bytes);
    text = g_strdup(g_hmac_get_string(hmac));
    g_hmac_unref(hmac);
    return text;
}

static void
add_hex(HttpHeaders *headers, const char *name, uint64_t value)
{
    char text[20];

    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", value);
    HttpHeaders_Add(headers, name, text);
}

static gboolean
get_hex(const HttpHeaders *headers, const char *name, uint64_t *value)
{
    const char *text = HttpHeaders_Get(headers, name);
    guint64 number;

    if (text == NULL ||
        !g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, &number, NULL)) {
        return FALSE;
    }
    *value = number;
    return TRUE;
}

void
OwnerWire_EncodeCall(const OwnerCall *call, OwnerAttempt attempt,
                     const void *secret, size_t secret_bytes,
                     HttpHeaders *headers)
{
    char *mac;

    for (size_t i = 0; i < call->headers->count; i++) {
        HttpHeaders_Add(headers, call->headers->items[i].name,
                        call->headers->items[i].value);
    }
    HttpHeaders_Add(headers, "Radishknot-Request-Id", call->request_id);
    add_hex(headers, "Radishknot-Attempt", attempt);
    HttpHeaders_Add(headers, "Radishknot-Team", call->team);
    add_hex(headers, "Radishknot-Route", call->route_hash);
    add_hex(headers, "Radishknot-Backend", call->backend_server);
    HttpHeaders_AddNumber(headers, "Radishknot-Deadline-Ms",
                          MAX(call->deadline - Clock_Now(), 0));
    HttpHeaders_Add(headers, "Radishknot-Issuance",
                    call->issuance ? "1" : "0");
    if (call->run_token != NULL) {
        HttpHeaders_Add(headers, "Radishknot-Run-Token", call->run_token);
    }
    mac =
        _OwnerWire_ComputeMac(call->method, call->target, headers, call->body,
                              call->body_bytes, secret, secret_bytes);
    HttpHeaders_Add(headers, "Radishknot-Mac", mac);
    g_free(mac);
}

/* Compares in constant time, so that the time does not reveal how many bytes
 * are equal. */
static gboolean
is_equal_mac(const char *a, const char *b)
{
    size_t length = strlen(a);
    unsigned char difference = 0;

    if (b == NULL || strlen(b) != length) {
        return FALSE;
    }
    for (size_t i = 0; i < length; i++) {
        difference |= (unsigned char)(a[i] ^ b[i]);
    }
    return difference == 0;
}

static gboolean
read_fields(const HttpHeaders *headers, ClockMs now, OwnerWireCall *decoded)
{
    OwnerCall *call = &decoded->call;
    int64_t left =
        HttpHeaders_GetNumber(headers, "Radishknot-Deadline-Ms", -1);
    const char *issuance = HttpHeaders_Get(headers, "Radishknot-Issuance");

    call->request_id = HttpHeaders_Get(headers, "Radishknot-Request-Id");
    call->team = HttpHeaders_Get(headers, "Radishknot-Team");
    call->run_token = HttpHeaders_Get(headers, "Radishknot-Run-Token");
    if (call->request_id == NULL || call->team == NULL || issuance == NULL ||
        left < 0 || left > G_MAXINT32 ||
        !get_hex(headers, "Radishknot-Attempt", &decoded->attempt) ||
        !get_hex(headers, "Radishknot-Route", &call->route_hash) ||
        !get_hex(headers, "Radishknot-Backend", &call->backend_server)) {
        return FALSE;
    }
    call->issuance = strcmp(issuance, "1") == 0;
    call->team_hash = RunToken_NameHash(call->team);
    call->deadline = now + left;
    return TRUE;
}

gboolean
OwnerWire_IsAuthentic(const char *method, const char *target,
                      const HttpHeaders *headers, const void *body,
                      size_t body_bytes, const void *secret,
                      size_t secret_bytes)
{
    char *mac = _OwnerWire_ComputeMac(method, target, headers, body,
                                      body_bytes, secret, secret_bytes);
    gboolean is_authentic =
        is_equal_mac(mac, HttpHeaders_Get(headers, "Radishknot-Mac"));

    g_free(mac);
    return is_authentic;
}

Result
OwnerWire_DecodeCall(const char *method, const char *target,
                     const HttpHeaders *headers, const void *body,
                     size_t body_bytes, const void *secret,
                     size_t secret_bytes, ClockMs now, OwnerWireCall *decoded)
{
    memset(decoded, 0, sizeof(*decoded));
    if (!OwnerWire_IsAuthentic(method, target, headers, body, body_bytes,
                               secret, secret_bytes)) {
        return RESULT_PEER_UNAUTHENTICATED;
    }
    if (!read_fields(headers, now, decoded)) {
        return RESULT_REQUEST_INVALID;
    }
    for (size_t i = 0; i < headers->count; i++) {
        if (!OwnerWire_IsReservedHeader(headers->items[i].name)) {
            HttpHeaders_Add(&decoded->forwarded, headers->items[i].name,
                            headers->items[i].value);
        }
    }
    decoded->call.method = method;
    decoded->call.target = target;
    decoded->call.headers = &decoded->forwarded;
    decoded->call.body = body;
    decoded->call.body_bytes = body_bytes;
    return RESULT_OK;
}

void
OwnerWire_ClearCall(OwnerWireCall *decoded)
{
    HttpHeaders_Clear(&decoded->forwarded);
}

void
OwnerWire_EncodeReply(OwnerReply *reply, const char *request_id,
                      OwnerAttempt attempt, HttpAnswer *answer)
{
    HttpHeaders headers = {0};
    char load[64];

    for (size_t i = 0; i < reply->answer.headers.count; i++) {
        const HttpHeader *header = &reply->answer.headers.items[i];

        if (!OwnerWire_IsReservedHeader(header->name)) {
            HttpHeaders_Add(&headers, header->name, header->value);
        }
    }
    HttpHeaders_Clear(&reply->answer.headers);
    HttpAnswer_Move(answer, &reply->answer);
    answer->headers = headers;
    if (answer->status == 0) {
        answer->status = Result_HttpStatus(reply->result);
    }
    HttpHeaders_AddNumber(&answer->headers, "Radishknot-Result",
                          (int)reply->result);
    HttpHeaders_Add(&answer->headers, "Radishknot-Run",
                    Result_RunName(reply->run));
    g_snprintf(load, sizeof(load), "%u,%u,%" G_GINT64_FORMAT,
               reply->slots_in_use, reply->queue, reply->server_us);
    HttpHeaders_Add(&answer->headers, "Radishknot-Load", load);
    HttpHeaders_Add(&answer->headers, "Radishknot-Repeated",
                    reply->replayed ? "1" : "0");
    HttpHeaders_Add(&answer->headers, "Radishknot-Request-Id",
                    request_id ? request_id : "");
    add_hex(&answer->headers, "Radishknot-Attempt", attempt);
}

static void
read_load(const HttpHeaders *headers, OwnerReply *reply)
{
    const char *text = HttpHeaders_Get(headers, "Radishknot-Load");
    char **parts = g_strsplit(text ? text : "", ",", 0);

    if (g_strv_length(parts) == 3) {
        reply->slots_in_use = (unsigned)g_ascii_strtoull(parts[0], NULL, 10);
        reply->queue = (unsigned)g_ascii_strtoull(parts[1], NULL, 10);
        reply->server_us = g_ascii_strtoll(parts[2], NULL, 10);
    }
    g_strfreev(parts);
}

Result
OwnerWire_DecodeReply(HttpAnswer *answer, const char *request_id,
                      OwnerAttempt attempt, OwnerReply *reply)
{
    const HttpHeaders *headers = &answer->headers;
    const char *echo = HttpHeaders_Get(headers, "Radishknot-Request-Id");
    int64_t number = HttpHeaders_GetNumber(headers, "Radishknot-Result", -1);
    uint64_t answered_attempt = 0;

    memset(reply, 0, sizeof(*reply));
    reply->run = RUN_UNKNOWN;
    if (echo == NULL || strcmp(echo, request_id) != 0 ||
        !get_hex(headers, "Radishknot-Attempt", &answered_attempt) ||
        answered_attempt != attempt || number < 0 || number > G_MAXINT ||
        !Result_FromNumber((int)number, &reply->result)) {
        reply->result = RESULT_ANSWER_MISMATCH;
        HttpAnswer_Clear(answer);
        return RESULT_ANSWER_MISMATCH;
    }
    reply->run =
        Result_RunFromName(HttpHeaders_Get(headers, "Radishknot-Run"));
    reply->replayed =
        g_strcmp0(HttpHeaders_Get(headers, "Radishknot-Repeated"), "1") == 0;
    read_load(headers, reply);
    HttpAnswer_Move(&reply->answer, answer);
    return RESULT_OK;
}
