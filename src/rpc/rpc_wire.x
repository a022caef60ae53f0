/* The sealed message, argument and result of the one procedure.
 *
 * Generated from this file, in this directory:
 *   rpcgen -N -M -C -h -o rpc_wire.h rpc_wire.x
 *   rpcgen -N -M -C -c -o rpc_xdr.c rpc_wire.x
 */
#ifdef RPC_HDR
%/* rpcgen's output is not linted. */
%#pragma GCC system_header
#endif

const RPC_MAC_BYTES = 32;
const RPC_WIRE_BODY_BYTES = 7936;

enum RpcDirection {
    RPC_REQUEST = 1,
    RPC_REPLY = 2
};

/* Everything that the MAC covers besides the body. */
struct RpcHeader {
    RpcDirection direction;
    unsigned hyper sender;
    unsigned hyper sender_incarnation;
    unsigned hyper receiver;             /* 0 = any host */
    unsigned hyper receiver_incarnation; /* 0 = any incarnation */
    unsigned hyper sequence;             /* of the request */
    unsigned int kind;
    unsigned int result;                 /* 0 in a request */
    unsigned int body_bytes;
};

struct RpcSealed {
    opaque mac[RPC_MAC_BYTES];
    RpcHeader header;
    opaque body<RPC_WIRE_BODY_BYTES>;
};

program RPC_PROGRAM {
    version RPC_VERSION {
        RpcSealed RPC_CALL(RpcSealed) = 1;
    } = 1;
} = 0x20617264;
