#include "rate/rate_codec.h"

#include <jansson.h>
#include <string.h>

#define UNKNOWN_HOST UINT64_MAX

static void
uses_to_wire(const RateUse *uses, int count, rate_wire_use *wire)
{
    for (int i = 0; i < count; i++) {
        wire[i].grant = uses[i].grant;
        wire[i].used_micro = uses[i].used_micro;
        wire[i].closed = uses[i].closed;
    }
}

static int
uses_from_wire(const rate_wire_use *wire, u_int count, RateUse *uses)
{
    for (u_int i = 0; i < count; i++) {
        uses[i].grant = wire[i].grant;
        uses[i].used_micro = wire[i].used_micro;
        uses[i].closed = wire[i].closed;
    }
    return (int)count;
}

static gboolean
encode(xdrproc_t procedure, void *wire, uint8_t *body, size_t *bytes)
{
    XDR xdr;
    gboolean done;

    xdrmem_create(&xdr, (char *)body, (u_int)*bytes, XDR_ENCODE);
    done = procedure(&xdr, wire);
    *bytes = xdr_getpos(&xdr);
    xdr_destroy(&xdr);
    return done;
}

/* Arrays are decoded into buffers of the caller, to which `wire` points. */
static gboolean
decode(xdrproc_t procedure, void *wire, const uint8_t *body, size_t bytes)
{
    XDR xdr;
    gboolean done;

    xdrmem_create(&xdr, (char *)body, (u_int)bytes, XDR_DECODE);
    done = procedure(&xdr, wire) && xdr_getpos(&xdr) == bytes;
    xdr_destroy(&xdr);
    return done;
}

gboolean
_RateCodec_EncodeDraw(const RateDrawMessage *message, uint8_t *body,
                      size_t *bytes)
{
    rate_wire_use uses[RATE_WIRE_USES];
    rate_wire_draw wire = {.team = message->team,
                           .serial = message->serial,
                           .need_micro = message->need_micro,
                           .want_micro = message->want_micro,
                           .holder_incarnation = message->holder_incarnation};

    uses_to_wire(message->uses, message->use_count, uses);
    wire.uses.uses_len = (u_int)message->use_count;
    wire.uses.uses_val = uses;
    return encode((xdrproc_t)xdr_rate_wire_draw, &wire, body, bytes);
}

gboolean
_RateCodec_DecodeDraw(const uint8_t *body, size_t bytes,
                      RateDrawMessage *message)
{
    rate_wire_use uses[RATE_WIRE_USES];
    rate_wire_draw wire;

    memset(&wire, 0, sizeof(wire));
    wire.uses.uses_val = uses;
    if (!decode((xdrproc_t)xdr_rate_wire_draw, &wire, body, bytes)) {
        return FALSE;
    }
    message->team = wire.team;
    message->serial = wire.serial;
    message->need_micro = wire.need_micro;
    message->want_micro = wire.want_micro;
    message->holder_incarnation = wire.holder_incarnation;
    message->use_count =
        uses_from_wire(uses, wire.uses.uses_len, message->uses);
    return TRUE;
}

gboolean
_RateCodec_EncodeGrant(const RateGrantMessage *message, uint8_t *body,
                       size_t *bytes)
{
    rate_wire_place places[RATE_WIRE_SLOTS];
    rate_wire_grant wire = {.result = (int)message->result,
                            .number = message->grant.number,
                            .micro = message->grant.micro,
                            .life_ms = message->grant.life_ms,
                            .retry_ms = message->grant.retry_ms,
                            .level_micro = message->grant.level_micro,
                            .settle_now = message->grant.settle_now};

    for (int i = 0; i < message->holder_count; i++) {
        places[i].slot = message->slots[i];
        places[i].host = message->holders[i].host;
        places[i].incarnation = message->holders[i].incarnation;
    }
    wire.places.places_len = (u_int)message->holder_count;
    wire.places.places_val = places;
    return encode((xdrproc_t)xdr_rate_wire_grant, &wire, body, bytes);
}

gboolean
_RateCodec_DecodeGrant(const uint8_t *body, size_t bytes,
                       RateGrantMessage *message)
{
    rate_wire_place places[RATE_WIRE_SLOTS];
    rate_wire_grant wire;

    memset(&wire, 0, sizeof(wire));
    memset(message, 0, sizeof(*message));
    wire.places.places_val = places;
    if (!decode((xdrproc_t)xdr_rate_wire_grant, &wire, body, bytes) ||
        wire.micro < 0 || !Result_FromNumber(wire.result, &message->result)) {
        return FALSE;
    }
    message->grant = (RateGrant){.number = wire.number,
                                 .micro = wire.micro,
                                 .life_ms = wire.life_ms,
                                 .retry_ms = wire.retry_ms,
                                 .level_micro = wire.level_micro,
                                 .settle_now = wire.settle_now};
    message->holder_count = (int)wire.places.places_len;
    for (int i = 0; i < message->holder_count; i++) {
        message->slots[i] = places[i].slot;
        message->holders[i] =
            (RateHostId){places[i].host, places[i].incarnation};
    }
    return TRUE;
}

gboolean
_RateCodec_EncodeSettle(const RateSettleMessage *message, uint8_t *body,
                        size_t *bytes)
{
    rate_wire_use uses[RATE_WIRE_USES];
    int released[RATE_WIRE_SLOTS];
    rate_wire_settle wire;

    uses_to_wire(message->uses, message->use_count, uses);
    memcpy(released, message->released, sizeof(released));
    wire.holder_incarnation = message->holder_incarnation;
    wire.uses.uses_len = (u_int)message->use_count;
    wire.uses.uses_val = uses;
    wire.released.released_len = (u_int)message->released_count;
    wire.released.released_val = released;
    return encode((xdrproc_t)xdr_rate_wire_settle, &wire, body, bytes);
}

gboolean
_RateCodec_DecodeSettle(const uint8_t *body, size_t bytes,
                        RateSettleMessage *message)
{
    rate_wire_use uses[RATE_WIRE_USES];
    rate_wire_settle wire;

    memset(&wire, 0, sizeof(wire));
    wire.uses.uses_val = uses;
    wire.released.released_val = message->released;
    if (!decode((xdrproc_t)xdr_rate_wire_settle, &wire, body, bytes)) {
        return FALSE;
    }
    message->holder_incarnation = wire.holder_incarnation;
    message->use_count =
        uses_from_wire(uses, wire.uses.uses_len, message->uses);
    message->released_count = (int)wire.released.released_len;
    return TRUE;
}

char *
_RateCodec_SlotToJson(const RateSlotObject *object)
{
    return g_strdup_printf("{\"holder\":\"%016" G_GINT64_MODIFIER
                           "x\",\"incarnation\":%" G_GUINT64_FORMAT
                           ",\"epoch\":%" G_GUINT64_FORMAT
                           ",\"id\":\"%016" G_GINT64_MODIFIER
                           "x\",\"address\":\"%s\"}",
                           object->holder, object->incarnation, object->epoch,
                           object->write_id, object->address);
}

void
_RateCodec_SlotFromJson(const char *value, RateSlotObject *object)
{
    json_t *root = json_loads(value != NULL ? value : "", 0, NULL);
    const char *holder = json_string_value(json_object_get(root, "holder"));
    const char *id = json_string_value(json_object_get(root, "id"));
    const char *address = json_string_value(json_object_get(root, "address"));

    object->holder = UNKNOWN_HOST;
    if (holder != NULL) {
        object->holder = g_ascii_strtoull(holder, NULL, 16);
    }
    object->write_id = id != NULL ? g_ascii_strtoull(id, NULL, 16) : 0;
    object->incarnation =
        (uint64_t)json_integer_value(json_object_get(root, "incarnation"));
    object->epoch =
        (uint64_t)json_integer_value(json_object_get(root, "epoch"));
    g_strlcpy(object->address, address != NULL ? address : "",
              sizeof(object->address));
    json_decref(root);
}
