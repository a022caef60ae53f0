#include "health/permit.h"

#include <string.h>
#include <tirpc/rpc/rpc.h>

#include "health/permit_wire.h"

size_t
Permit_EncodeRequest(const PermitRequest *request, void *bytes, size_t size)
{
    PermitRequest copy = *request;
    PermitRequestBody body = {
        .service = copy.service,
        .backend_server = copy.backend_server,
        .host = copy.host,
        .incarnation = copy.incarnation,
        .claim = copy.claim,
        .sequence = copy.sequence,
        .number = copy.number,
        .settled = copy.settled,
        .place = copy.place,
        .action = copy.action,
    };
    XDR xdr;

    xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
    return xdr_PermitRequestBody(&xdr, &body) ? xdr_getpos(&xdr) : 0;
}

gboolean
Permit_DecodeRequest(const void *bytes, size_t size, PermitRequest *request)
{
    PermitRequestBody body = {0};
    char copy[PERMIT_WIRE_BYTES];
    XDR xdr;

    memset(request, 0, sizeof(*request));
    if (size > sizeof(copy)) {
        return FALSE;
    }
    memcpy(copy, bytes, size);
    /* xdr_string() decodes into the given buffers of 63 + 1 bytes instead of
     * allocating memory. */
    body.service = request->service;
    body.backend_server = request->backend_server;
    xdrmem_create(&xdr, copy, (u_int)size, XDR_DECODE);
    if (!xdr_PermitRequestBody(&xdr, &body) || xdr_getpos(&xdr) != size ||
        body.number < PERMIT_NO_NUMBER || body.place >= PERMIT_PLACES ||
        body.action > PERMIT_RELEASE) {
        return FALSE;
    }
    request->host = body.host;
    request->incarnation = body.incarnation;
    request->claim = body.claim;
    request->sequence = body.sequence;
    request->number = body.number;
    request->settled = body.settled != 0;
    request->place = body.place;
    request->action = (PermitAction)body.action;
    return TRUE;
}

size_t
Permit_EncodeReply(const PermitReply *reply, void *bytes, size_t size)
{
    PermitReplyBody body = {
        .claim = reply->claim,
        .sequence = reply->sequence,
        .status = reply->status,
        .number = reply->number,
        .retry_ms = reply->retry_ms,
    };
    XDR xdr;

    xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
    return xdr_PermitReplyBody(&xdr, &body) ? xdr_getpos(&xdr) : 0;
}

gboolean
Permit_DecodeReply(const void *bytes, size_t size, PermitReply *reply)
{
    PermitReplyBody body = {0};
    char copy[PERMIT_WIRE_BYTES];
    XDR xdr;

    if (size > sizeof(copy)) {
        return FALSE;
    }
    memcpy(copy, bytes, size);
    xdrmem_create(&xdr, copy, (u_int)size, XDR_DECODE);
    if (!xdr_PermitReplyBody(&xdr, &body) || xdr_getpos(&xdr) != size ||
        body.number < PERMIT_NO_NUMBER || body.status > PERMIT_RELEASED ||
        (body.status == PERMIT_GRANTED && body.number < 0)) {
        return FALSE;
    }
    *reply = (PermitReply){
        .claim = body.claim,
        .sequence = body.sequence,
        .status = (PermitStatus)body.status,
        .number = body.number,
        .retry_ms = body.retry_ms,
    };
    return TRUE;
}
