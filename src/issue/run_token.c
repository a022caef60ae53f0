/* RunToken: text form and MAC. */
#include "issue/run_token.h"

#include <glib.h>
#include <string.h>

#include "base/rng.h"

#define FIELD_COUNT 6
#define FIELD_BYTES ((size_t)FIELD_COUNT * 8)
#define MAC_BYTES 32
#define PREFIX "rk1-"
#define PREFIX_LENGTH 4

G_STATIC_ASSERT(RUN_TOKEN_TEXT_BYTES ==
                PREFIX_LENGTH + 2 * (FIELD_BYTES + MAC_BYTES) + 1);

/* Separates these MACs from all others made with the fleet secret. */
static const char mac_label[] = "radishknot run token 1";

uint64_t
RunToken_NameHash(const char *name)
{
    return Rng_HashString(name);
}

static void
put_fields(const RunToken *token, uint8_t bytes[FIELD_BYTES])
{
    const uint64_t fields[FIELD_COUNT] = {
        token->owner, token->incarnation, token->serial,
        token->team,  token->route,       (uint64_t)token->valid_until};

    for (size_t i = 0; i < FIELD_COUNT; i++) {
        uint64_t value = GUINT64_TO_BE(fields[i]);

        memcpy(bytes + i * 8, &value, 8);
    }
}

static void
get_fields(const uint8_t bytes[FIELD_BYTES], RunToken *token)
{
    uint64_t fields[FIELD_COUNT];

    memcpy(fields, bytes, FIELD_BYTES);
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        fields[i] = GUINT64_FROM_BE(fields[i]);
    }
    *token = (RunToken){.owner = fields[0],
                        .incarnation = fields[1],
                        .serial = fields[2],
                        .team = fields[3],
                        .route = fields[4],
                        .valid_until = (ClockMs)fields[5]};
}

static void
compute_mac(const uint8_t fields[FIELD_BYTES], const void *secret,
            size_t secret_bytes, uint8_t mac[MAC_BYTES])
{
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, secret, secret_bytes);
    gsize length = MAC_BYTES;

    g_hmac_update(hmac, (const guchar *)mac_label, sizeof(mac_label) - 1);
    g_hmac_update(hmac, fields, FIELD_BYTES);
    g_hmac_get_digest(hmac, mac, &length);
    g_hmac_unref(hmac);
}

static void
put_hex(const uint8_t *bytes, size_t count, char *text)
{
    static const char digits[] = "0123456789abcdef";

    for (size_t i = 0; i < count; i++) {
        text[2 * i] = digits[bytes[i] >> 4];
        text[2 * i + 1] = digits[bytes[i] & 15];
    }
}

/* Returns the value of a lower-case digit, or -1. Upper case is refused,
 * because it would give a second text for the same token. */
static int
hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static gboolean
get_hex(const char *text, uint8_t *bytes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        int high = hex_value(text[2 * i]);
        int low = hex_value(text[2 * i + 1]);

        if (high < 0 || low < 0) {
            return FALSE;
        }
        bytes[i] = (uint8_t)(high << 4 | low);
    }
    return TRUE;
}

void
RunToken_Format(const RunToken *token, const void *secret, size_t secret_bytes,
                char text[RUN_TOKEN_TEXT_BYTES])
{
    uint8_t bytes[FIELD_BYTES + MAC_BYTES];

    put_fields(token, bytes);
    compute_mac(bytes, secret, secret_bytes, bytes + FIELD_BYTES);
    memcpy(text, PREFIX, PREFIX_LENGTH);
    put_hex(bytes, sizeof(bytes), text + PREFIX_LENGTH);
    text[RUN_TOKEN_TEXT_BYTES - 1] = '\0';
}

static gboolean
get_bytes(const char *text, uint8_t bytes[FIELD_BYTES + MAC_BYTES])
{
    return text != NULL && strlen(text) == RUN_TOKEN_TEXT_BYTES - 1 &&
           memcmp(text, PREFIX, PREFIX_LENGTH) == 0 &&
           get_hex(text + PREFIX_LENGTH, bytes, FIELD_BYTES + MAC_BYTES);
}

Result
RunToken_Parse(const char *text, RunToken *token)
{
    uint8_t bytes[FIELD_BYTES + MAC_BYTES];

    if (!get_bytes(text, bytes)) {
        return RESULT_TOKEN_INVALID;
    }
    get_fields(bytes, token);
    return RESULT_OK;
}

Result
RunToken_Verify(const char *text, const void *secret, size_t secret_bytes,
                RunToken *token)
{
    uint8_t bytes[FIELD_BYTES + MAC_BYTES];
    uint8_t mac[MAC_BYTES];
    uint8_t difference = 0;

    if (!get_bytes(text, bytes)) {
        return RESULT_TOKEN_INVALID;
    }
    compute_mac(bytes, secret, secret_bytes, mac);
    /* Constant time: an early exit would reveal how many bytes match. */
    for (size_t i = 0; i < MAC_BYTES; i++) {
        difference |= mac[i] ^ bytes[FIELD_BYTES + i];
    }
    if (difference != 0) {
        return RESULT_TOKEN_INVALID;
    }
    get_fields(bytes, token);
    return RESULT_OK;
}
