/* Messages of the issue module: RPC kinds 20 (mint) and 21 (token state), and
 * the chunks in which a run table is handed over.
 *
 * Generated code (see CMakeLists.txt for the commands): issue_wire.h and
 * issue_xdr.c.
 */
#ifdef RPC_HDR
%/* Generated declarations do not follow the naming rules of the linter. */
%#pragma GCC system_header
#endif

const RUN_WIRE_MAX_HEADERS = 256;
const RUN_WIRE_MAX_TEXT = 65536;
const RUN_WIRE_MAX_RECORDS = 65536;
const RUN_WIRE_MAX_BODY = 67108864;

struct RunWireToken {
    unsigned hyper owner;
    unsigned hyper incarnation;
    unsigned hyper serial;
    unsigned hyper team;
    unsigned hyper route;
    hyper valid_until;
};

struct RunWireMint {
    unsigned hyper team;
    unsigned hyper route;
    unsigned int count;
};

struct RunWireMinted {
    int result;
    RunWireToken first;
    unsigned int count;
};

struct RunWireState {
    int result;
    int state;
};

struct RunWireHeader {
    string name<RUN_WIRE_MAX_TEXT>;
    string value<RUN_WIRE_MAX_TEXT>;
};

struct RunWireAnswer {
    int status;
    int result;
    int run;
    RunWireHeader headers<RUN_WIRE_MAX_HEADERS>;
    opaque body<RUN_WIRE_MAX_BODY>;
};

/* `run` applies to a record whose answer was too large to keep. */
struct RunWireRecord {
    unsigned hyper serial;
    int state;
    int run;
    RunWireAnswer *answer;
};

struct RunWireChunk {
    unsigned int format;
    unsigned hyper owner;
    unsigned hyper incarnation;
    unsigned hyper last_serial;
    hyper handed_at;   /* by the previous owner's clock */
    hyper validity_ms; /* longest remaining validity at that time */
    unsigned int number;
    bool is_last;
    RunWireRecord records<RUN_WIRE_MAX_RECORDS>;
};
