/* WireNames: names of the headers that callers, daemons and backend servers
 * exchange, as the platform calls them. platform/ fills the one set in use.
 */
#ifndef BACKEND_WIRE_NAMES_H
#define BACKEND_WIRE_NAMES_H

typedef struct WireNames {
    const char *request_id;   /* one for each attempt of a caller */
    const char *time_left_ms; /* how long the sender will still wait */
    const char *key;          /* the caller's key */
    const char *team;         /* to the backend server: holder of the key */
    const char *caller;       /* to it: service where the request began */
    const char *expected;     /* to it: instance that is meant */
    const char *instance;     /* from it: the instance that answers */
    const char *signature;    /* from it: proof of the whole answer */
    const char *not_run;      /* from it: the request was not run */
} WireNames;

#endif
