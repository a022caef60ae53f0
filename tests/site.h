/* Site: starts daemons in mode "platform" as real processes. The platform's
 * store and the backend servers run in the process of the test.
 *
 * Use:
 *  1. Site_Create(), which starts the store stand-in.
 *  2. Site_Configure() writes a configuration; Site_AddHost() starts a daemon
 *     with its backend server, which announces itself.
 *  3. Site_AwaitReady(); then Site_Request() and the control functions.
 *  4. Site_Destroy() terminates all processes.
 *
 * Each host has its own loopback address, derived from the process id of the
 * test, so that tests can run in parallel.
 *
 * The environment variable RADISHKNOT_DAEMON names the program of the daemons;
 * default is that of this build.
 *
 * Errors abort the test. The Await functions poll for a state.
 */
#ifndef TESTS_SITE_H
#define TESTS_SITE_H

#include <glib.h>
#include <sys/types.h>

#include "base/clock.h"
#include "cold_count.h"
#include "http/http_client.h"
#include "object_server.h"

#define SITE_MAX_HOSTS 12
#define SITE_KEY "key-of-the-crews"
#define SITE_HOST_HEADER "permits.example"
#define SITE_ID_BYTES 32

typedef struct Site Site;

typedef struct SiteHost_desc {
    const char *service;     /* default "desk" */
    const char *data_centre; /* default "n1" */
    const char *region;      /* default "norte" */
    gboolean no_server;      /* the test serves Site_BackendAddress() itself */
    const char *settings;    /* further members of the settings, each followed
                                by a comma */
} SiteHost_desc;

typedef struct SiteReply {
    Result result; /* result of the HTTP call */
    int status;
    gboolean is_signed;            /* the answer comes from a backend server */
    gboolean matches;              /* the body is the id of the request */
    gboolean may_reuse_connection; /* not forced to a new connection */
    char retry_after[32];
} SiteReply;

/* The runs of one request. */
typedef struct SiteRun {
    int count;              /* repeated ones only below /issue/ */
    int host;               /* of the last run */
    ClockMs begin;          /* of the last run */
    ClockMs after_leave_ms; /* begin after the acknowledgement that the server
                               drains or is gone; 0 if it had not left */
    int at_work;            /* runs that have not ended */
} SiteRun;

Site *Site_Create(void);
void Site_Destroy(Site *site);
ObjectServer *Site_Store(Site *site);

/* Writes a configuration with six routes to the service "desk": /read/ (may
 * be retried), /home/ (the same, in region "norte" only) and /issue/
 * (non-idempotent) need a key, /open/ (may be retried) needs none. /patient/
 * is as /open/ and /commit/ as /issue/, but with a timeout of 20 s instead of
 * 5 s. `keys` is a JSON list. A cold backend server of the service tolerates
 * 10 requests in a second. */
void Site_Configure(Site *site, unsigned version, const char *keys,
                    int rate_per_s);

/* As Site_Configure(), with another table of teams in JSON; NULL for none. */
void Site_ConfigureTeams(Site *site, unsigned version, const char *teams);

/* As Site_Configure(), with one more route like /open/ below `prefix`; NULL
 * for none. */
void Site_ConfigureRoute(Site *site, unsigned version, const char *keys,
                         int rate_per_s, const char *prefix);

/* As Site_ConfigureRoute(), with so many more routes like it, "/more-<n>/". */
void Site_ConfigureSize(Site *site, unsigned version, const char *keys,
                        int rate_per_s, const char *prefix, int routes);

/* Returns the number of the host. */
int Site_AddHost(Site *site, const SiteHost_desc *desc);
const char *Site_Region(const Site *site, int host);
struct sockaddr_in Site_BackendAddress(int host);
struct sockaddr_in Site_EntryAddress(int host);
void Site_AwaitReady(Site *site);

/* Waits until each of the first hosts has read the entries of the others, up
 * to `end`. Called by Site_AwaitReady(). */
void Site_AwaitEntries(Site *site, int hosts, ClockMs end);
gboolean Site_IsReady(Site *site, int host);

/* Sends a request with a new id to the host. A `key` of NULL sends no key. */
SiteReply Site_Request(Site *site, int host, const char *method,
                       const char *path, const char *key);

/* As Site_Request(), for calls from several threads. Writes the id to `id`, a
 * buffer of SITE_ID_BYTES. */
SiteReply Site_RequestAs(Site *site, int host, const char *method,
                         const char *path, const char *key, char *id);

/* As Site_RequestAs(), on a connection that an earlier request left open if
 * there is one. */
SiteReply Site_RequestPooled(Site *site, int host, const char *method,
                             const char *path, const char *key, char *id);

/* As Site_RequestPooled(), on the connections of a client of the caller's. */
SiteReply Site_RequestWith(Site *site, HttpClient *client, int host,
                           const char *method, const char *path,
                           const char *key, char *id);

/* Sends a POST with a body of one byte on a new connection, the byte
 * `body_after_ms` after the head. Of the reply, `matches` is not set. */
SiteReply Site_UploadSlowly(Site *site, int host, const char *path,
                            const char *key, ClockMs body_after_ms, char *id);

/* Returns the number of requests that the backend server of the host ran. */
unsigned Site_Runs(Site *site, int host);

/* Returns the maximum number of runs of one request id. Repeated runs are
 * counted only for requests below /issue/. */
unsigned Site_MaxRunsPerId(Site *site);

/* Returns whether any backend server ran the request. */
gboolean Site_HasRun(Site *site, const char *id);

/* As Site_HasRun(). Fills `run` if it returns TRUE. */
gboolean Site_GetRun(Site *site, const char *id, SiteRun *run);

/* Returns the id of the last Site_Request(). */
const char *Site_LastId(Site *site);

/* Sets the time that callers state for their further requests (6,000 ms). */
void Site_SetDeadline(Site *site, int milliseconds);

/* Control the backend server of a host: the percentage of its requests that
 * fail, the service time of each (a path that ends in /work-N takes N ms, one
 * in /bytes-N has an answer of N bytes), and a drain, which it announces at
 * once. */
void Site_SetFailing(Site *site, int host, int percent);
void Site_SetWorkMs(Site *site, int host, int milliseconds);
void Site_Drain(Site *site, int host);

/* The backend server of the host deregisters and sends no more announcements.
 */
void Site_Deregister(Site *site, int host);

/* Returns whether the host has acknowledged that its backend server drains or
 * is gone. */
gboolean Site_HasAcknowledged(Site *site, int host);

/* The backend server of the host starts anew after a drain or deregistration
 * and announces itself. */
void Site_Rejoin(Site *site, int host);

/* The backend server of the host becomes cold for this time and announces it.
 * Its answers state the time that is left. */
void Site_SetCold(Site *site, int host, ClockMs length_ms);

/* Requests that it got while it was cold. */
ColdCount *Site_Cold(Site *site, int host);

/* Returns whether the store contains the backend server of the host. */
gboolean Site_HasEntry(Site *site, int host);

/* The backend server of the host sends no more announcements by itself. */
void Site_Silence(Site *site, int host);

/* Delivers a ready announcement that the backend server has sent before. */
void Site_AnnounceLate(Site *site, int host);

/* With TRUE, discards all bytes between the host and the store, on open and on
 * new connections. */
void Site_CutStore(Site *site, int host, gboolean cut);

/* Limits what each connection of the host gets from the store; 0: no limit. */
void Site_SlowStore(Site *site, int host, int bytes_per_s);

/* Ends each connection of the host that has got so many bytes from the store;
 * 0: none. */
void Site_BreakOffStore(Site *site, int host, int bytes);

void Site_Signal(Site *site, int host, int signal);

/* Returns the process id of the daemon, 0 after it has ended. */
pid_t Site_Pid(Site *site, int host);

/* Waits for the end of the process. Returns FALSE if it still runs after the
 * timeout. */
gboolean Site_AwaitExit(Site *site, int host, ClockMs milliseconds);
void Site_Restart(Site *site, int host);

/* Return the current log and metrics; free them with g_free(). */
char *Site_ReadLog(Site *site, int host);
char *Site_ReadMetrics(Site *site, int host);

/* Keeps logs and settings when the site is destroyed. Prints their folder. */
void Site_KeepFiles(Site *site);

/* site_reply.c */
GString *_Site_ReadToEnd(int fd, ClockMs timeout_ms);
SiteReply _Site_ParseReply(const char *text);

/* The body of a backend server is the id, followed by spaces up to N bytes for
 * a path that ends in /bytes-N. */
void _Site_SetBody(HttpAnswer *answer, const char *id, const char *path);

#endif
