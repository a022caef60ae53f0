/* RateCodec: encodes the bodies of the draw and settle calls (XDR) and the
 * slot objects (JSON).
 *
 * Use: the functions return FALSE for a body that is malformed or does not
 * fit. They do not allocate, except _RateCodec_SlotToJson(), whose result is
 * freed with g_free().
 */
#ifndef RATE_RATE_CODEC_H
#define RATE_RATE_CODEC_H

#include "rate/rate_lease.h"
#include "rate/rate_service.h"
#include "rate/rate_wire.h"

typedef struct RateDrawMessage {
    uint64_t team;
    uint64_t serial;
    int64_t need_micro;
    int64_t want_micro;
    uint64_t holder_incarnation;
    int use_count;
    RateUse uses[RATE_WIRE_USES];
} RateDrawMessage;

typedef struct RateGrantMessage {
    Result result;
    RateGrant grant;
    int holder_count; /* number of slots whose holder the sender reports */
    int slots[RATE_WIRE_SLOTS];
    RateHostId holders[RATE_WIRE_SLOTS];
} RateGrantMessage;

typedef struct RateSettleMessage {
    uint64_t holder_incarnation;
    int use_count;
    RateUse uses[RATE_WIRE_USES];
    int released_count;
    int released[RATE_WIRE_SLOTS];
} RateSettleMessage;

/* `*bytes` is the capacity of `body` on entry and its length on return. */
gboolean _RateCodec_EncodeDraw(const RateDrawMessage *message, uint8_t *body,
                               size_t *bytes);
gboolean _RateCodec_DecodeDraw(const uint8_t *body, size_t bytes,
                               RateDrawMessage *message);
gboolean _RateCodec_EncodeGrant(const RateGrantMessage *message, uint8_t *body,
                                size_t *bytes);
gboolean _RateCodec_DecodeGrant(const uint8_t *body, size_t bytes,
                                RateGrantMessage *message);
gboolean _RateCodec_EncodeSettle(const RateSettleMessage *message,
                                 uint8_t *body, size_t *bytes);
gboolean _RateCodec_DecodeSettle(const uint8_t *body, size_t bytes,
                                 RateSettleMessage *message);

char *_RateCodec_SlotToJson(const RateSlotObject *object);
/* A slot whose value cannot be parsed counts as held by an unknown host, so it
 * is claimed only when the object is older than a lease. */
void _RateCodec_SlotFromJson(const char *value, RateSlotObject *object);

#endif
