/* The list of counters: COUNTER(name, help).
 *
 * Counters never decrease. Refusals and retries are counted separately, with
 * one counter for each result code (Counter_Refusal(), Counter_Retry()).
 */
#ifndef BASE_COUNTER_LIST_H
#define BASE_COUNTER_LIST_H

/* clang-format off */
#define COUNTER_LIST(COUNTER) \
    /* base */ \
    COUNTER(LOG_SUPPRESSED, "log events not written because they repeat") \
    \
    \
    /* store */ \
    COUNTER(STORE_READS, "read calls on the store") \
    COUNTER(STORE_WRITES, "write calls on the store") \
    COUNTER(STORE_LISTS, "read calls that listed a kind of objects") \
    COUNTER(STORE_WATCHES, "read calls that watched a kind of objects") \
    COUNTER(STORE_GETS, "read calls for one object") \
    COUNTER(STORE_FAILURES, "calls on the store that failed") \
    COUNTER(STORE_OBJECTS_REJECTED, \
            "malformed objects found in the store, once for each revision") \
    COUNTER(STORE_RESTORATIONS, \
            "restorations of the store from an older copy") \
    \
    \
    /* config */ \
    COUNTER(CONFIG_TICKETS, "tickets put in force") \
    COUNTER(CONFIG_TICKETS_REFUSED, "invalid tickets passed over") \
    COUNTER(CONFIG_SNAPSHOTS_LOADED, "configuration snapshots put in force") \
    COUNTER(CONFIG_SNAPSHOTS_WRITTEN, "configuration snapshots written") \
    COUNTER(CONFIG_BUNDLES_FETCHED, "bundles fetched from peers") \
    COUNTER(CONFIG_BUNDLES_REFUSED, "bundles from peers that were invalid") \
    COUNTER(CONFIG_BUNDLES_SENT, "bundles made for peers") \
    COUNTER(CONFIG_BUNDLE_BYTES, "bytes of bundles made for peers") \
    \
    \
    /* key */ \
    COUNTER(KEY_LOOKUPS, "keys looked up") \
    \
    \
    /* rate */ \
    COUNTER(RATE_DRAWS, "draws sent to holders") \
    \
    \
    /* rpc */ \
    COUNTER(RPC_SENT, "control messages sent") \
    COUNTER(RPC_RECEIVED, "control messages received") \
    COUNTER(RPC_BYTES_SENT, "bytes of control messages sent") \
    COUNTER(RPC_BYTES_RECEIVED, "bytes of control messages received") \
    COUNTER(RPC_REFUSED, "control messages refused") \
    COUNTER(RPC_REPEATS, "repeated control messages answered from the cache") \
    \
    \
    /* member */ \
    COUNTER(MEMBER_SUSPECTED, "hosts suspected") \
    COUNTER(MEMBER_DIED, "hosts declared dead") \
    COUNTER(MEMBER_REFUTED, "suspicions refuted by their hosts") \
    \
    \
    /* route */ \
    COUNTER(ROUTE_CROSS_REGION, "requests sent to another region") \
    COUNTER(ROUTE_RESTRICTED, "requests that are restricted to regions") \
    COUNTER(ROUTE_REGIONS_CHANGED, \
            "requests whose regions changed while they waited or were retried") \
    COUNTER(ROUTE_REGIONS_LEFT, \
            "requests an owner returned: its region is not allowed any more") \
    \
    \
    /* evacuation */ \
    COUNTER(EVACUATIONS_BEGUN, \
            "evacuations of a data centre that this host learned of") \
    COUNTER(EVACUATIONS_ENDED, "of these, ended") \
    \
    \
    /* health */ \
    COUNTER(HEALTH_EJECTIONS, "backend servers ejected") \
    COUNTER(HEALTH_PERMITS_REFUSED, "ejections refused by the floor") \
    \
    \
    /* issue */ \
    COUNTER(ISSUE_TOKENS, "run tokens minted") \
    COUNTER(ISSUE_REPEATS, "issuances answered from the run table") \
    COUNTER(ISSUE_RUNS, "issuances begun") \
    COUNTER(ISSUE_VOIDED, "run tokens voided before they ran") \
    \
    \
    /* http, entry, owner */ \
    COUNTER(ENTRY_REQUESTS, "requests received from callers") \
    COUNTER(ENTRY_ANSWERS, "requests answered by a backend server") \
    COUNTER(CALLS_WITH_PARENT, \
            "calls of backend servers sent with their parent's priority") \
    COUNTER(OWNER_ASKS, "times that an owner was asked to run a request") \
    COUNTER(OWNER_ASKS_RISKY, "of these, refused for the risk") \
    COUNTER(OWNER_ASKS_BUSY, "of these, refused for lack of slots") \
    COUNTER(OWNER_ASKS_FULL, \
            "of these, while the service was known to be full") \
    COUNTER(FULL_SERVICE_REFUSALS, \
            "requests refused without a further offer, the service is full") \
    COUNTER(OWNER_ASKS_UNKNOWN, \
            "of these, at owners without a report of the last 3 s") \
    COUNTER(OWNER_EXPLORATIONS, \
            "of these, sent for a fresh report of an idle backend server") \
    COUNTER(OWNER_REQUESTS, "requests received from entries") \
    COUNTER(OWNER_SENT, "requests sent to backend servers") \
    COUNTER(OWNER_COLD, "times that the backend server became cold") \
    COUNTER(OWNER_COLD_SENT, "requests sent to a cold backend server") \
    COUNTER(OWNER_COLD_BUSY, \
            "requests refused because a cold backend server has no room") \
    COUNTER(OWNER_PARENTS_REFUSED, \
            "requests refused because their runs' calls would be") \
    COUNTER(OWNER_RETRIES_REFUSED, \
            "retries refused because the service's retry limit is near") \
    COUNTER(ATTEMPTS_NOT_SEEN, \
            "broken calls of which the owner said that they did not arrive") \
    COUNTER(ATTEMPTS_SEEN, "broken calls that had reached the owner") \
    COUNTER(ATTEMPTS_UNKNOWN, \
            "broken calls of which the owner could not say if they arrived") \
    COUNTER(ATTEMPTS_NO_REPLY, \
            "broken calls about which the owner could not be asked") \
    COUNTER(ATTEMPTS_REFUSED, \
            "calls that arrived after their sender was told that they had not") \
    COUNTER(ANSWERS_TOO_LARGE, "answers cut off at the largest size") \
    COUNTER(ANSWERS_ODD_STATUS, \
            "answers replaced by 502 for a status that no answer may have") \
    COUNTER(ANSWERS_WITHOUT_MEMORY, \
            "answers cut off because the account lent no memory") \
    COUNTER(UPLOADS_WITHOUT_MEMORY, \
            "requests refused because the account lent no memory") \
    COUNTER(IDLE_CONNECTIONS_CLOSED, \
            "idle connections closed in favour of new ones") \
    COUNTER(ANSWERS_RESET, \
            "connections reset before the caller had received an answer")
/* clang-format on */

#endif
