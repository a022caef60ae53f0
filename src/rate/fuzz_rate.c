/* Fuzz target of the rate decoders: the bodies of draws, grants and
 * settlements, and slot objects as JSON. The first byte selects the decoder.
 *
 * Guards against messages that crash a decoder or overrun its arrays, and
 * against decoded messages that change when they are encoded and decoded
 * again.
 */
#include <stdlib.h>
#include <string.h>

#include "rate/rate_codec.h"

#define BODY_BYTES 8192

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check_draw(const uint8_t *data, size_t size)
{
    RateDrawMessage message = {0};
    RateDrawMessage again = {0};
    uint8_t body[BODY_BYTES];
    size_t bytes = sizeof(body);

    if (!_RateCodec_DecodeDraw(data, size, &message)) {
        return;
    }
    if (message.use_count < 0 || message.use_count > RATE_WIRE_USES ||
        !_RateCodec_EncodeDraw(&message, body, &bytes) ||
        !_RateCodec_DecodeDraw(body, bytes, &again) ||
        again.team != message.team || again.use_count != message.use_count) {
        abort();
    }
}

static void
check_grant(const uint8_t *data, size_t size)
{
    RateGrantMessage message = {0};
    RateGrantMessage again = {0};
    uint8_t body[BODY_BYTES];
    size_t bytes = sizeof(body);

    if (!_RateCodec_DecodeGrant(data, size, &message)) {
        return;
    }
    if (message.holder_count < 0 || message.holder_count > RATE_WIRE_SLOTS ||
        !_RateCodec_EncodeGrant(&message, body, &bytes) ||
        !_RateCodec_DecodeGrant(body, bytes, &again) ||
        again.result != message.result ||
        again.grant.micro != message.grant.micro) {
        abort();
    }
}

static void
check_settle(const uint8_t *data, size_t size)
{
    RateSettleMessage message = {0};
    RateSettleMessage again = {0};
    uint8_t body[BODY_BYTES];
    size_t bytes = sizeof(body);

    if (!_RateCodec_DecodeSettle(data, size, &message)) {
        return;
    }
    if (message.use_count < 0 || message.use_count > RATE_WIRE_USES ||
        message.released_count < 0 ||
        message.released_count > RATE_WIRE_SLOTS ||
        !_RateCodec_EncodeSettle(&message, body, &bytes) ||
        !_RateCodec_DecodeSettle(body, bytes, &again) ||
        again.use_count != message.use_count) {
        abort();
    }
}

static void
check_slot(const uint8_t *data, size_t size)
{
    char *text = g_strndup((const char *)data, size);
    RateSlotObject object = {0};
    RateSlotObject again = {0};
    char *json;

    _RateCodec_SlotFromJson(text, &object);
    json = _RateCodec_SlotToJson(&object);
    _RateCodec_SlotFromJson(json, &again);
    if (memchr(object.address, '\0', sizeof(object.address)) == NULL ||
        again.holder != object.holder || again.epoch != object.epoch) {
        abort();
    }
    g_free(json);
    g_free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static void (*const checks[])(const uint8_t *, size_t) = {
        check_draw, check_grant, check_settle, check_slot};

    if (size > 0) {
        checks[data[0] % G_N_ELEMENTS(checks)](data + 1, size - 1);
    }
    return 0;
}
