/* The list of result codes: RESULT(name, number, HTTP status, text).
 *
 * docs/results.md is generated from this list (see test_base.c). A number
 * never changes its meaning, and the number of a removed code is not reused.
 */
#ifndef BASE_RESULT_LIST_H
#define BASE_RESULT_LIST_H

/* clang-format off */
#define RESULT_LIST(RESULT) \
    RESULT(OK, 0, 200, "done") \
    /* base 1-99 */ \
    RESULT(INTERNAL, 1, 500, "internal error") \
    RESULT(MALFORMED, 2, 400, "malformed message") \
    RESULT(TOO_LARGE, 3, 413, "message is too large") \
    RESULT(NOT_FOUND, 4, 404, "not found") \
    RESULT(FULL, 5, 503, "a fixed table is full") \
    RESULT(IO, 6, 500, "input or output failed") \
    \
    /* settings 100-119 */ \
    RESULT(SETTINGS_INVALID, 100, 400, "settings are invalid") \
    \
    \
    /* store 120-139 */ \
    RESULT(STORE_UNAVAILABLE, 120, 503, "the store is unavailable") \
    RESULT(STORE_CONFLICT, 121, 409, "the object has another version") \
    RESULT(STORE_UNCERTAIN, 122, 503, \
           "the store's answer was lost; the write may have taken effect") \
    RESULT(STORE_HISTORY_GONE, 123, 410, \
           "the store no longer has the history that a watch asks for") \
    \
    \
    /* config 140-169 */ \
    RESULT(TICKET_INVALID, 140, 400, "the ticket is invalid") \
    RESULT(TICKET_CONFLICT, 141, 409, \
           "another ticket with this number was accepted first") \
    RESULT(NOT_CONFIGURED, 142, 503, "the daemon has no configuration yet") \
    RESULT(ISOLATED, 143, 503, \
           "the daemon has been without contact to the store for too long") \
    \
    \
    /* key 170-189 */ \
    RESULT(KEY_MISSING, 170, 401, "the request carries no key") \
    RESULT(KEY_UNKNOWN, 171, 401, "no team has this key") \
    RESULT(KEY_WITHDRAWN, 172, 401, "this key was withdrawn") \
    RESULT(KEY_MISPLACED, 173, 400, \
           "the key stands outside the key header, or more than once") \
    RESULT(KEY_MALFORMED, 174, 401, \
           "the key has a wrong length or characters that no key has") \
    \
    \
    /* rate 190-209 */ \
    RESULT(RATE_EXCEEDED, 190, 429, "the team is above its rate") \
    RESULT(RATE_UNREACHABLE, 191, 503, \
           "no holder of the team's rate could be reached in time") \
    RESULT(RATE_NOT_HELD, 192, 409, "this host does not hold the slot") \
    \
    \
    /* rpc 210-229 */ \
    RESULT(RPC_TIMEOUT, 210, 504, "no answer from the peer in time") \
    RESULT(RPC_UNAUTHENTICATED, 211, 403, "the message's MAC is wrong") \
    RESULT(RPC_OLD_SESSION, 212, 409, \
           "the message comes from an earlier incarnation of the sender") \
    RESULT(RPC_REPLAYED, 213, 409, "the message was received before") \
    RESULT(RPC_UNKNOWN_KIND, 214, 400, "no handler for this kind of message") \
    RESULT(RPC_WRONG_RECEIVER, 215, 409, \
           "the message is for another host or incarnation") \
    \
    \
    /* member 230-249 */ \
    RESULT(MEMBER_UNKNOWN, 230, 404, "no such host") \
    RESULT(HOST_ALIVE, 231, 409, "the host is alive") \
    \
    \
    /* route 250-269 */ \
    RESULT(ROUTE_UNKNOWN, 250, 404, "no route for this path") \
    RESULT(ROUTE_FORBIDDEN, 251, 403, "the team may not use this route") \
    RESULT(NO_BACKEND_SERVER, 252, 503, \
           "no backend server of the service can take the request") \
    RESULT(HOME_REGIONS_AWAY, 253, 503, \
           "no backend server in the allowed regions can be reached") \
    \
    \
    /* health 270-289 */ \
    RESULT(PERMIT_REFUSED, 270, 409, \
           "ejecting would take the service below its floor") \
    \
    \
    /* retry 290-309 */ \
    RESULT(RETRY_BUDGET_EMPTY, 290, 503, "the retry budget is used up") \
    \
    \
    /* issue 310-339 */ \
    RESULT(TOKEN_INVALID, 310, 400, "the run token is invalid") \
    RESULT(TOKEN_EXPIRED, 311, 409, "the run token's validity has ended") \
    RESULT(TOKEN_OTHER_TEAM, 312, 403, \
           "the run token is for another team or route") \
    RESULT(TOKEN_VOID, 313, 409, "the run token was voided before it ran") \
    RESULT(STILL_RUNNING, 314, 409, "the issuance is still running") \
    RESULT(OUTCOME_UNKNOWN, 315, 502, \
           "the issuance may or may not have run") \
    RESULT(ANSWER_NOT_KEPT, 316, 410, \
           "the issuance ran, but its answer was too large to keep") \
    \
    \
    /* http, entry, owner 340-399 */ \
    RESULT(REQUEST_INVALID, 340, 400, "the request is invalid") \
    RESULT(REQUEST_TOO_LARGE, 341, 413, "the request is too large") \
    RESULT(OVERLOADED, 342, 503, "the daemon has no free place") \
    RESULT(BACKEND_SERVER_BUSY, 343, 503, \
           "the backend server's slots and queue are full") \
    RESULT(BACKEND_SERVER_LEAVING, 344, 503, \
           "the backend server takes no new work") \
    RESULT(DEADLINE_EXPIRED, 345, 504, "the deadline has passed") \
    RESULT(CONNECT_FAILED, 346, 502, "no connection could be made") \
    RESULT(ANSWER_LOST, 347, 502, "the connection broke before the answer") \
    RESULT(ANSWER_TRUNCATED, 348, 502, "the answer was cut short") \
    RESULT(ANSWER_MISMATCH, 349, 502, \
           "the answer belongs to another request") \
    RESULT(CANCELLED, 350, 499, "the caller hung up") \
    RESULT(SHUTTING_DOWN, 351, 503, "the daemon is shutting down") \
    RESULT(PEER_UNAUTHENTICATED, 352, 403, \
           "the request does not come from a daemon of the fleet") \
    RESULT(BACKEND_SERVER_EJECTED, 353, 503, \
           "the backend server is ejected because it is sick") \
    RESULT(BACKEND_SERVER_SHED, 354, 503, \
           "the backend server shed the request") \
    RESULT(BACKEND_SERVER_ERROR, 355, 502, \
           "the backend server answered with an error") \
    RESULT(REQUEST_ID_VOID, 356, 409, \
           "this copy of the request was voided before it arrived") \
    RESULT(CONNECTION_SILENT, 357, 502, \
           "the connection to the owner went silent") \
    RESULT(BACKEND_SERVER_OTHER, 358, 503, \
           "another backend server has the address")
/* clang-format on */

#endif
