/* Key: extraction, search for misplaced copies, header filter. */
#include "key/key.h"

#include <string.h>

/* A server behind the backend server may decode once more than the backend
 * server itself. The third round covers one more gateway. */
#define DECODE_ROUNDS 3

static gboolean
is_key_character(char c)
{
    return g_ascii_isalnum(c) || (c != '\0' && strchr("-._~+/=", c) != NULL);
}

static gboolean
is_token_character(char c)
{
    return g_ascii_isalnum(c) ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static gboolean
has_name(const KeyHeader *header, const char *name)
{
    return g_ascii_strcasecmp(header->name, name) == 0;
}

/* Returns the text after "Bearer" in an Authorization value, or NULL for
 * another scheme. */
static const char *
bearer_value(const char *value)
{
    value += strspn(value, " \t");
    if (g_ascii_strncasecmp(value, "Bearer", 6) != 0 ||
        is_token_character(value[6])) {
        return NULL;
    }
    return value + 6;
}

static Result
copy_key(const char *value, char key[KEY_MAX_BYTES + 1])
{
    size_t length;

    value += strspn(value, " \t");
    length = strlen(value);
    while (length > 0 &&
           (value[length - 1] == ' ' || value[length - 1] == '\t')) {
        length--;
    }
    if (length < KEY_MIN_BYTES || length > KEY_MAX_BYTES) {
        return RESULT_KEY_MALFORMED;
    }
    for (size_t i = 0; i < length; i++) {
        if (!is_key_character(value[i])) {
            return RESULT_KEY_MALFORMED;
        }
    }
    memcpy(key, value, length);
    key[length] = '\0';
    return RESULT_OK;
}

/* Finds the header values that may hold the key: *key_header is the value of
 * `Radishknot-Key`, *bearer the text after "Bearer" in `Authorization`; NULL
 * if there is none. */
static Result
find_values(const KeyHeader *headers, size_t count, const char **key_header,
            const char **bearer)
{
    size_t key_header_count = 0;
    size_t authorization_count = 0;

    *key_header = NULL;
    *bearer = NULL;
    for (size_t i = 0; i < count; i++) {
        if (has_name(&headers[i], "Radishknot-Key")) {
            key_header_count++;
            *key_header = headers[i].value;
        }
        else if (has_name(&headers[i], "Authorization")) {
            const char *value = bearer_value(headers[i].value);

            authorization_count++;
            if (value != NULL) {
                *bearer = value;
            }
        }
    }
    if (key_header_count > 1 || (*bearer != NULL && authorization_count > 1)) {
        return RESULT_KEY_MISPLACED;
    }
    return *key_header == NULL && *bearer == NULL ? RESULT_KEY_MISSING
                                                  : RESULT_OK;
}

Result
Key_Extract(const KeyHeader *headers, size_t count,
            char key[KEY_MAX_BYTES + 1])
{
    const char *key_header;
    const char *bearer;
    char other[KEY_MAX_BYTES + 1] = "";
    Result result = find_values(headers, count, &key_header, &bearer);

    key[0] = '\0';
    if (result != RESULT_OK) {
        return result;
    }
    result = copy_key(key_header != NULL ? key_header : bearer, key);
    if (result == RESULT_OK && key_header != NULL && bearer != NULL) {
        result = copy_key(bearer, other);
        if (result == RESULT_OK && strcmp(key, other) != 0) {
            result = RESULT_KEY_MISPLACED;
        }
    }
    if (result != RESULT_OK) {
        Key_Wipe(key, KEY_MAX_BYTES + 1);
    }
    Key_Wipe(other, sizeof(other));
    return result;
}

/* Decodes %XX in place and returns the new length. Malformed sequences are
 * left unchanged. */
static size_t
percent_decode(char *text, size_t length)
{
    size_t out = 0;

    for (size_t in = 0; in < length; in++) {
        if (text[in] == '%' && in + 2 < length &&
            g_ascii_isxdigit(text[in + 1]) && g_ascii_isxdigit(text[in + 2])) {
            text[out++] = (char)(g_ascii_xdigit_value(text[in + 1]) * 16 +
                                 g_ascii_xdigit_value(text[in + 2]));
            in += 2;
        }
        else {
            text[out++] = text[in];
        }
    }
    return out;
}

/* Whether the text contains the key, where a space also matches a `+` of the
 * key. */
static gboolean
find_literal(const char *key, size_t key_length, const char *text,
             size_t length)
{
    if (memmem(text, length, key, key_length) != NULL) {
        return TRUE;
    }
    if (strchr(key, '+') == NULL || memchr(text, ' ', length) == NULL) {
        return FALSE;
    }
    for (size_t start = 0; start + key_length <= length; start++) {
        size_t i = 0;

        while (i < key_length && (text[start + i] == key[i] ||
                                  (text[start + i] == ' ' && key[i] == '+'))) {
            i++;
        }
        if (i == key_length) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
find_key(const char *key, const void *text, size_t length)
{
    size_t key_length = strlen(key);
    size_t decoded_length = length;
    gboolean found;
    char *decoded;

    if (text == NULL || length < key_length) {
        return FALSE;
    }
    found = find_literal(key, key_length, text, length);
    if (found || memchr(text, '%', length) == NULL) {
        return found;
    }
    decoded = g_memdup2(text, length);
    for (int round = 0; round < DECODE_ROUNDS && !found; round++) {
        size_t before = decoded_length;

        decoded_length = percent_decode(decoded, before);
        if (decoded_length == before) {
            break;
        }
        found = find_literal(key, key_length, decoded, decoded_length);
    }
    Key_Wipe(decoded, length);
    g_free(decoded);
    return found;
}

/* Header names are case-insensitive, so the key is searched in them without
 * regard to case. */
static gboolean
find_in_name(const char *key, const char *name)
{
    size_t key_length = strlen(key);

    for (size_t length = strlen(name); length >= key_length; length--) {
        if (g_ascii_strncasecmp(name++, key, key_length) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
Key_IsMisplaced(const char *key, const KeyRequest *request)
{
    if (key[0] == '\0') {
        return FALSE;
    }
    for (size_t i = 0; i < request->header_count; i++) {
        const KeyHeader *header = &request->headers[i];
        gboolean may_hold_key = has_name(header, "Radishknot-Key") ||
                                (has_name(header, "Authorization") &&
                                 bearer_value(header->value) != NULL);

        if (find_in_name(key, header->name) ||
            (!may_hold_key &&
             find_key(key, header->value, strlen(header->value)))) {
            return TRUE;
        }
    }
    return (request->path != NULL &&
            find_key(key, request->path, strlen(request->path))) ||
           (request->query != NULL &&
            find_key(key, request->query, strlen(request->query))) ||
           find_key(key, request->body, request->body_bytes);
}

/* Whether a comma-separated list contains the header name. */
static gboolean
list_names(const char *list, const char *name)
{
    size_t name_length = strlen(name);

    while (*list != '\0') {
        size_t length;

        list += strspn(list, ", \t");
        length = strcspn(list, ", \t");
        if (length == name_length &&
            g_ascii_strncasecmp(list, name, length) == 0) {
            return TRUE;
        }
        list += length;
    }
    return FALSE;
}

gboolean
Key_Forwardable(const KeyHeader *headers, size_t count, const char *name)
{
    /* Host, Content-Length and Expect are regenerated for the next hop. */
    static const char *const dropped[] = {
        "Authorization", "Connection",     "Keep-Alive", "TE",
        "Trailer",       "Trailers",       "Upgrade",    "Transfer-Encoding",
        "Host",          "Content-Length", "Expect",     "HTTP2-Settings"};

    if (name[0] == '\0') {
        return FALSE;
    }
    for (const char *c = name; *c != '\0'; c++) {
        if (!is_token_character(*c)) {
            return FALSE;
        }
    }
    /* Some servers treat `_` in a header name as `-`. */
    if (g_ascii_strncasecmp(name, "Radishknot-", 11) == 0 ||
        g_ascii_strncasecmp(name, "Radishknot_", 11) == 0 ||
        g_ascii_strncasecmp(name, "Proxy-", 6) == 0 ||
        g_ascii_strncasecmp(name, "Proxy_", 6) == 0) {
        return FALSE;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++) {
        if (g_ascii_strcasecmp(name, dropped[i]) == 0) {
            return FALSE;
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (has_name(&headers[i], "Connection") &&
            list_names(headers[i].value, name)) {
            return FALSE;
        }
    }
    return TRUE;
}

void
Key_Hash(const char *key, uint8_t hash[KEY_HASH_BYTES])
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize length = KEY_HASH_BYTES;

    g_checksum_update(checksum, (const guchar *)key, (gssize)strlen(key));
    g_checksum_get_digest(checksum, hash, &length);
    g_checksum_free(checksum);
}

void
Key_Wipe(void *copy, size_t bytes)
{
    explicit_bzero(copy, bytes);
}
