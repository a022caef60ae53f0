/* Messages of the membership protocol.
 *
 * Generated from this file, in this directory:
 *   rpcgen -N -M -C -h -o member_wire.h member_wire.x
 *   rpcgen -N -M -C -c -o member_xdr.c member_wire.x
 *
 * Small fields share one 32-bit word, because XDR gives each field at least
 * four bytes.
 */
#ifdef RPC_HDR
%/* rpcgen's output is not linted. */
%#pragma GCC system_header
#endif

const MEMBER_WIRE_SERVERS = 64;
const MEMBER_WIRE_UPDATES = 256;
const MEMBER_WIRE_PAYLOAD = 512;
const MEMBER_WIRE_BUCKETS = 512;
const MEMBER_WIRE_VERSIONS = 256;

struct MemberWireServer {
    unsigned hyper name;
    unsigned hyper service;
    unsigned int pool;
    unsigned int ip;
    unsigned int port_slots;         /* port << 16 | slots */
    unsigned int weight_state_class; /* weight << 16 | state << 8 | class */
};

/* If flag 1 is clear, the record reports only the state, without servers. */
struct MemberWireHost {
    unsigned hyper id;
    unsigned hyper incarnation;
    unsigned hyper successor;
    unsigned int refutation;
    unsigned int serial;
    unsigned int state_place; /* state << 24 | region << 16 | dc << 8 | flags */
    unsigned int ip;
    unsigned int entry_owner; /* entry port << 16 | owner port */
    unsigned int rpc_port;
    MemberWireServer servers<MEMBER_WIRE_SERVERS>;
};

/* Body of a ping and of an ack. */
struct MemberWirePing {
    MemberWireHost self;
    MemberWireHost updates<MEMBER_WIRE_UPDATES>;
    opaque payload<MEMBER_WIRE_PAYLOAD>;
};

/* Request for an indirect ping. */
struct MemberWireRelay {
    unsigned hyper host;
    unsigned hyper incarnation;
    unsigned int ip;
    unsigned int port;
};

struct MemberWireVersion {
    unsigned hyper id;
    unsigned hyper incarnation;
    unsigned int refutation;
    unsigned int serial;
    unsigned int state;
};

/* First request of a digest exchange: a hash for each bucket of host ids. */
struct MemberWireBuckets {
    unsigned hyper hashes<MEMBER_WIRE_BUCKETS>;
};

/* Answer to it: versions of the hosts in some of the differing buckets. */
struct MemberWireVersions {
    unsigned int bucket_count;
    unsigned int buckets<MEMBER_WIRE_BUCKETS>;
    MemberWireVersion versions<MEMBER_WIRE_VERSIONS>;
    unsigned int is_cut; /* 1 if more buckets differ than listed */
};

/* Second request, and its answer: records, and the ids of requested ones. */
struct MemberWireRecords {
    MemberWireHost records<MEMBER_WIRE_UPDATES>;
    unsigned hyper wanted<MEMBER_WIRE_VERSIONS>;
};

enum MemberWireStep {
    MEMBER_WIRE_STEP_BUCKETS = 1,
    MEMBER_WIRE_STEP_VERSIONS = 2,
    MEMBER_WIRE_STEP_RECORDS = 3
};

union MemberWireDigest switch (MemberWireStep step) {
case MEMBER_WIRE_STEP_BUCKETS:
    MemberWireBuckets buckets;
case MEMBER_WIRE_STEP_VERSIONS:
    MemberWireVersions versions;
case MEMBER_WIRE_STEP_RECORDS:
    MemberWireRecords records;
};
