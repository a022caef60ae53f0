/* WireNames: names of the HTTP headers that callers, daemons and backend
 * servers exchange. platform/ defines the set in use.
 */
#ifndef BACKEND_WIRE_NAMES_H
#define BACKEND_WIRE_NAMES_H

typedef struct WireNames {
    const char *request_id;   /* unique for each attempt of a caller */
    const char *time_left_ms; /* time that the sender still waits, ms */
    const char *key;          /* key of the caller */
    const char *team;         /* to the backend server: team of the key */
    const char *caller;       /* to the backend server: gateway's service */
    const char *expected;     /* to the backend server: addressed instance */
    const char *instance;     /* from the backend server: answering instance */
    const char *signature;    /* from the backend server: signature that shows
                                 the answer to be complete */
    const char *not_run;      /* from the backend server: request not run */
    const char *cold_ms;      /* from the backend server: time for which it
                                 stays cold, ms */
} WireNames;

#endif
