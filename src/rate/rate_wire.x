/* Bodies of the draw (kind 10) and settle (kind 11) calls. */

#ifdef RPC_HDR
%/* Keeps the linter out of generated code. */
%#pragma GCC system_header
#endif

const RATE_WIRE_USES = 64;
const RATE_WIRE_SLOTS = 64;

/* Report on a grant. */
struct rate_wire_use {
    unsigned hyper grant;
    hyper used_micro;
    bool closed;
};

/* `holder_incarnation` names the incarnation of the holder whose grants are
 * reported; reports for another one are ignored. */
struct rate_wire_draw {
    unsigned hyper team;
    unsigned hyper serial;
    hyper need_micro;
    hyper want_micro;
    unsigned hyper holder_incarnation;
    rate_wire_use uses<RATE_WIRE_USES>;
};

/* Who holds a slot; host 0 = nobody. */
struct rate_wire_place {
    int slot;
    unsigned hyper host;
    unsigned hyper incarnation;
};

struct rate_wire_grant {
    int result;
    unsigned hyper incarnation;
    unsigned hyper number;
    hyper micro;
    int life_ms;
    int retry_ms;
    hyper level_micro;
    bool settle_now;
    rate_wire_place places<RATE_WIRE_SLOTS>;
};

/* `released` are slots that the sender has released and that the receiver is
 * the first to claim. */
struct rate_wire_settle {
    unsigned hyper holder_incarnation;
    rate_wire_use uses<RATE_WIRE_USES>;
    int released<RATE_WIRE_SLOTS>;
};
