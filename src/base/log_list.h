/* The list of log events: LOG(name, number, level, text).
 *
 * docs/events.md is generated from this list (see test_base.c).
 */
#ifndef BASE_LOG_LIST_H
#define BASE_LOG_LIST_H

/* clang-format off */
#define LOG_LIST(LOG) \
    /* daemon and settings 100-199 */ \
    LOG(STARTED, 100, INFO, "daemon started") \
    LOG(STOPPING, 101, INFO, "daemon is stopping") \
    LOG(STOPPED, 102, INFO, "daemon stopped") \
    LOG(START_FAILED, 103, ERROR, "daemon cannot start") \
    LOG(SETTINGS_REJECTED, 104, ERROR, "settings are invalid") \
    LOG(SETTINGS_RELOADED, 105, INFO, "settings reloaded") \
    LOG(TLS_CERTIFICATE_RENEWED, 106, INFO, \
        "TLS certificate for new connections reloaded") \
    LOG(TLS_CERTIFICATE_REJECTED, 107, ERROR, \
        "new TLS certificate rejected; the current one stays in use") \
    LOG(READY_CHANGED, 108, INFO, "readiness changed") \
    \
    \
    /* store 200-219 */ \
    LOG(STORE_FAILED, 200, WARNING, "call on the store failed") \
    LOG(STORE_BACK, 201, INFO, "the store answers again") \
    LOG(STORE_LOST, 202, WARNING, "objects of this kind cannot be watched") \
    LOG(STORE_REGAINED, 203, INFO, "objects of this kind are watched again") \
    LOG(STORE_HISTORY_GONE, 204, INFO, \
        "the store no longer has the revision, or lists for less; listing " \
        "again") \
    LOG(OBJECT_WRITTEN, 205, INFO, "object written to the store") \
    LOG(MIRROR_CHANGED, 207, INFO, \
        "objects of this kind are watched through another source") \
    LOG(OBJECTS_READ, 210, INFO, "changes of objects of this kind received") \
    LOG(MIRROR_FAILED, 211, INFO, \
        "a neighbour's answer did not arrive in time or cannot be used") \
    LOG(MIRROR_REFUSED, 212, INFO, "a neighbour's read was refused") \
    LOG(OBJECTS_FAILED, 213, INFO, "objects of this kind could not be read") \
    LOG(STORE_RESTORED, 208, WARNING, \
        "the store was restored from an older copy") \
    LOG(OBJECT_REJECTED, 206, WARNING, \
        "object in the store is malformed and not used") \
    LOG(OBJECTS_UNNAMED, 209, WARNING, \
        "objects in the store without a usable name or revision are left out") \
    \
    \
    /* config 220-249 */ \
    LOG(TICKET_IN_FORCE, 220, INFO, "ticket is in force") \
    LOG(TICKET_REJECTED, 221, ERROR, "ticket in the store is invalid") \
    LOG(SNAPSHOT_LOADED, 222, INFO, "configuration snapshot is in force") \
    LOG(SNAPSHOT_WRITTEN, 223, INFO, "configuration snapshot was written") \
    LOG(SNAPSHOT_REJECTED, 224, WARNING, \
        "configuration snapshot is invalid or incomplete") \
    LOG(CATALOG_IN_FORCE, 228, INFO, "configuration of the store is in force") \
    LOG(CATALOG_OLDER, 231, WARNING, \
        "the store holds an older configuration than the one in force") \
    LOG(CATALOG_ANNOUNCED, 232, INFO, \
        "a newer configuration than the one in force exists") \
    LOG(CATALOG_RETRACTED, 233, INFO, \
        "a newer configuration is no longer taken to exist") \
    LOG(CATALOG_REJECTED, 229, ERROR, \
        "configuration of the store is not used; the one in force stays") \
    LOG(ROUTE_KIND_UNKNOWN, 230, WARNING, \
        "kind of a route is unknown; its requests run at most once") \
    LOG(REGIONS_MALFORMED, 240, WARNING, \
        "allowed regions of a route or team are malformed; the readable ones " \
        "apply") \
    LOG(COLD_RATE_IGNORED, 241, WARNING, \
        "cold_per_s or cold_start of a service is malformed; its cold backend " \
        "servers have no bound") \
    LOG(BUNDLE_REJECTED, 225, WARNING, "configuration from a peer is invalid") \
    LOG(CONFIG_MISSING, 226, WARNING, \
        "no configuration received from the store or a peer yet") \
    LOG(TICKET_GAP, 227, WARNING, "the store lacks the next ticket") \
    \
    \
    /* key 250-269 */ \
    LOG(KEY_WITHDRAWAL, 250, INFO, "key withdrawal received") \
    \
    \
    /* rate 270-299 */ \
    LOG(SLOT_TAKEN, 270, INFO, "rate slot taken") \
    LOG(SLOT_LOST, 271, WARNING, "rate slot lost") \
    LOG(SLOT_RELEASED, 272, INFO, "rate slot released") \
    LOG(QUOTA_KEEPER_SILENT, 273, WARNING, \
        "the primary host of a team's quota does not answer") \
    LOG(QUOTA_HANDED_OVER, 274, INFO, \
        "quota counts handed over to the backup hosts") \
    LOG(QUOTA_TAKEN_OVER, 275, INFO, \
        "quota counts taken over from a primary host that leaves") \
    \
    \
    /* rpc 300-319 */ \
    LOG(RPC_REFUSED, 300, WARNING, "control message refused") \
    \
    \
    /* member 320-349 */ \
    LOG(MEMBER_JOINED, 320, INFO, "host joined") \
    LOG(MEMBER_SUSPECTED, 321, INFO, "host suspected") \
    LOG(MEMBER_DEAD, 322, WARNING, "host declared dead") \
    LOG(MEMBER_LEFT, 323, INFO, "host left") \
    LOG(MEMBER_REFUTED, 324, INFO, "host refuted the suspicion") \
    LOG(MEMBER_ONE_WAY, 325, WARNING, \
        "host is up, but pings from here get no ack") \
    LOG(MEMBER_REACHED, 326, INFO, "host acks pings from here again") \
    LOG(MEMBER_SUPERSEDED, 327, ERROR, \
        "a later incarnation of this host is in the fleet") \
    LOG(ROSTER_CHANGED, 328, INFO, "backend server in the store changed") \
    LOG(ROSTER_SILENT, 329, WARNING, "host does not answer a ping") \
    LOG(ROSTER_LOST_REMOVED, 330, WARNING, \
        "entry of a host that is out of reach removed from the store") \
    \
    \
    /* health 350-379 */ \
    LOG(HEALTH_CHANGED, 350, WARNING, "backend server changed its state") \
    LOG(PERMIT_REFUSED, 351, WARNING, "ejection refused by the floor") \
    \
    \
    /* evacuation 450-459 */ \
    LOG(EVACUATION_BEGAN, 450, WARNING, \
        "backend servers of this data centre get no more requests") \
    LOG(EVACUATION_ENDED, 451, INFO, \
        "backend servers of this data centre get requests again") \
    LOG(EVACUATION_LAST_SENT, 452, INFO, \
        "the backend server here got its last request before an evacuation") \
    LOG(EVACUATIONS_UNKNOWN, 453, WARNING, \
        "requests are taken before the evacuated data centres are known") \
    \
    \
    /* issue 380-399 */ \
    LOG(RUNS_HANDED_OVER, 380, INFO, "run table handed over") \
    LOG(RUNS_TAKEN_OVER, 381, INFO, "run table taken over") \
    \
    \
    /* http, entry, owner 400-449 */ \
    LOG(REQUEST_FAILED, 400, WARNING, "request failed") \
    LOG(BACKEND_SERVER_ANNOUNCED, 401, INFO, "backend server announced") \
    LOG(BACKEND_SERVER_GONE, 402, INFO, "backend server removed") \
    LOG(BACKEND_SERVER_STATE, 403, INFO, "backend server changed its state") \
    LOG(ANNOUNCEMENT_REFUSED, 404, WARNING, \
        "announcement is malformed or out of date") \
    LOG(REQUEST_ENDED, 405, INFO, "request of a caller ended") \
    LOG(CALL_RUN, 406, INFO, "request of another daemon ended") \
    LOG(DEPARTURE_NOT_RECORDED, 407, WARNING, \
        "report that a backend server leaves refused: nobody keeps a record") \
    LOG(ANSWER_CUT_OFF, 408, WARNING, \
        "answer is too large, or there is no memory for it") \
    LOG(UPLOAD_REFUSED, 409, WARNING, \
        "no memory for the body of a request") \
    LOG(ANSWER_RESET, 412, WARNING, \
        "connection reset before the caller had received an answer") \
    LOG(DEPARTURE_DEPOSITED, 410, INFO, \
        "copies of a departure given to neighbours") \
    LOG(DEPARTURE_RETURNED, 411, INFO, \
        "a departure before this process learned from a neighbour") \
    LOG(ANSWER_ODD_STATUS, 431, ERROR, \
        "answer replaced by 502: no answer may have its status") \
    LOG(REGION_NOT_ALLOWED, 430, INFO, \
        "request returned, not run: its regions no longer include this one") \
    LOG(BACKEND_SERVER_COLD, 440, INFO, \
        "backend server is cold; its requests are paced") \
    LOG(BACKEND_SERVER_WARM, 441, INFO, \
        "backend server is warm; its requests are no longer paced")
/* clang-format on */

#endif
