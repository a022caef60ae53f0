/* Bodies of RPC kind 12 (permit). */

struct PermitRequestBody {
    string service<63>;
    string backend_server<63>;
    unsigned hyper host;
    unsigned hyper incarnation;
    unsigned hyper claim;
    unsigned hyper sequence;
    int number;
    bool settled;
    unsigned int place;
    unsigned int action;
};

struct PermitReplyBody {
    unsigned hyper claim;
    unsigned hyper sequence;
    unsigned int status;
    int number;
    unsigned int retry_ms;
};
