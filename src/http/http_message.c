#include "http/http_message.h"

#include <arpa/inet.h>
#include <string.h>
#include <strings.h>

/* Prefix of the headers that only daemons may set. */
#define RESERVED_PREFIX "Radishknot-"

void
HttpHeaders_Add(HttpHeaders *headers, const char *name, const char *value)
{
    if (headers->count == headers->capacity) {
        headers->capacity = headers->capacity ? headers->capacity * 2 : 16;
        headers->items =
            g_renew(HttpHeader, headers->items, headers->capacity);
    }
    headers->items[headers->count].name = g_strdup(name);
    headers->items[headers->count].value = g_strdup(value ? value : "");
    headers->count++;
}

void
HttpHeaders_AddNumber(HttpHeaders *headers, const char *name, int64_t value)
{
    char text[24];

    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
    HttpHeaders_Add(headers, name, text);
}

void
HttpHeaders_AddAll(HttpHeaders *headers, const HttpHeaders *from)
{
    for (size_t i = 0; i < from->count; i++) {
        HttpHeaders_Add(headers, from->items[i].name, from->items[i].value);
    }
}

const char *
HttpHeaders_Get(const HttpHeaders *headers, const char *name)
{
    for (size_t i = 0; i < headers->count; i++) {
        if (strcasecmp(headers->items[i].name, name) == 0) {
            return headers->items[i].value;
        }
    }
    return NULL;
}

int64_t
HttpHeaders_GetNumber(const HttpHeaders *headers, const char *name,
                      int64_t fallback)
{
    const char *text = HttpHeaders_Get(headers, name);
    gint64 value;

    if (text == NULL || !g_ascii_string_to_signed(text, 10, G_MININT64,
                                                  G_MAXINT64, &value, NULL)) {
        return fallback;
    }
    return value;
}

void
HttpHeaders_Remove(HttpHeaders *headers, const char *name)
{
    size_t kept = 0;

    for (size_t i = 0; i < headers->count; i++) {
        if (strcasecmp(headers->items[i].name, name) == 0) {
            g_free(headers->items[i].name);
            g_free(headers->items[i].value);
        }
        else {
            headers->items[kept++] = headers->items[i];
        }
    }
    headers->count = kept;
}

void
HttpHeaders_Clear(HttpHeaders *headers)
{
    for (size_t i = 0; i < headers->count; i++) {
        g_free(headers->items[i].name);
        g_free(headers->items[i].value);
    }
    g_free(headers->items);
    memset(headers, 0, sizeof(*headers));
}

gboolean
HttpHeader_IsHopByHop(const char *name)
{
    static const char *const names[] = {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Transfer-Encoding",
        "TE",
        "Trailer",
        "Upgrade",
        "Expect",
        "Content-Length",
        "Host",
        "Date",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(name, names[i]) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
HttpHeader_IsReserved(const char *name)
{
    return g_ascii_strncasecmp(name, RESERVED_PREFIX,
                               strlen(RESERVED_PREFIX)) == 0;
}

static void
drop_body(HttpAnswer *answer)
{
    g_free(answer->body);
    answer->body = NULL;
    answer->body_bytes = 0;
    MemoryLease_End(&answer->lease);
}

void
HttpAnswer_SetBody(HttpAnswer *answer, const void *body, size_t bytes)
{
    drop_body(answer);
    answer->body = g_malloc(bytes + 1);
    if (bytes > 0) {
        memcpy(answer->body, body, bytes);
    }
    answer->body[bytes] = '\0';
    answer->body_bytes = bytes;
}

void
HttpAnswer_SetJson(HttpAnswer *answer, int status, char *json_text)
{
    drop_body(answer);
    answer->status = status;
    answer->body = json_text;
    answer->body_bytes = strlen(json_text);
    HttpHeaders_Remove(&answer->headers, "Content-Type");
    HttpHeaders_Add(&answer->headers, "Content-Type", "application/json");
}

void
HttpAnswer_TakeBody(HttpAnswer *answer, HttpAnswer *from)
{
    answer->body = from->body;
    answer->body_bytes = from->body_bytes;
    answer->lease = from->lease;
    from->body = NULL;
    from->body_bytes = 0;
    memset(&from->lease, 0, sizeof(from->lease));
}

void
HttpAnswer_Move(HttpAnswer *to, HttpAnswer *from)
{
    *to = *from;
    memset(from, 0, sizeof(*from));
}

void
HttpAnswer_Clear(HttpAnswer *answer)
{
    HttpHeaders_Clear(&answer->headers);
    drop_body(answer);
    memset(answer, 0, sizeof(*answer));
}

gboolean
HttpAddress_Parse(const char *text, struct sockaddr_in *address)
{
    const char *colon = strrchr(text, ':');
    char host[INET_ADDRSTRLEN];
    guint64 port;

    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return FALSE;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL) ||
        inet_pton(AF_INET, host, &address->sin_addr) != 1) {
        return FALSE;
    }
    address->sin_port = htons((uint16_t)port);
    return TRUE;
}

void
HttpAddress_Format(const struct sockaddr_in *address, char *text, size_t bytes)
{
    char host[INET_ADDRSTRLEN] = "";

    inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
    g_snprintf(text, bytes, "%s:%u", host, ntohs(address->sin_port));
}
