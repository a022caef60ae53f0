#include "site.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http/http_server.h"
#include "relay.h"

#define BACKEND_PORT 18001
#define ENTRY_PORT 18002
#define PEER_PORT 18003
#define ANNOUNCE_PORT 18004
#define READY_PORT 18005
#define FIRST_PORT 18006

#define HEARTBEAT_MS 500
#define READY_MS 15000
#define REQUEST_MS 8000
#define DEADLINE_MS 6000

typedef struct Host {
    Site *site;
    int number;
    char name[32];
    char address[32];
    SiteHost_desc desc;
    char *settings;
    char *log;
    pid_t pid; /* 0 after the process has ended */
    HttpServer *backend;
    Relay *store_relay; /* forwards to the store */
    atomic_int failing_percent;
    atomic_int work_ms;
    atomic_bool draining;
    atomic_bool silent; /* sends no announcements of its own */
    atomic_uint runs;
    ColdCount *cold;
    gint64 born;
    int sequence;
    _Atomic ClockMs left; /* time of the acknowledgement, 0 if none */
} Host;

struct Site {
    char *folder;
    ObjectServer *store;
    HttpClient *client;
    Host hosts[SITE_MAX_HOSTS];
    int host_count;
    pthread_t heartbeats;
    atomic_bool stopping;
    atomic_int deadline_ms; /* of requests */
    pthread_mutex_t lock;
    GHashTable *runs; /* request id -> SiteRun */
    unsigned next_id;
    char last_id[SITE_ID_BYTES];
    gboolean keep_files;
};

static struct sockaddr_in
parse_address(const char *address, int port)
{
    char *text = g_strdup_printf("%s:%d", address, port);
    struct sockaddr_in result;

    g_assert_true(HttpAddress_Parse(text, &result));
    g_free(text);
    return result;
}

/* Writes 127.a.b.n, which differs between test processes: a and b are derived
 * from the process id. */
static void
make_address(int number, char *text, size_t bytes)
{
    int pid = (int)getpid();

    g_snprintf(text, bytes, "127.%d.%d.%d", 10 + (pid >> 8) % 200, pid & 255,
               number + 1);
}

/* Counts a run of a request. A second run of the same id is counted only for
 * requests that must not run twice (below /issue/). */
static void
count_run(Host *host, const char *id, const char *path)
{
    Site *site = host->site;
    ClockMs left = atomic_load(&host->left);
    ClockMs now = Clock_Now();
    SiteRun *run;

    atomic_fetch_add(&host->runs, 1);
    pthread_mutex_lock(&site->lock);
    run = g_hash_table_lookup(site->runs, id);
    if (run == NULL) {
        run = g_new0(SiteRun, 1);
        g_hash_table_insert(site->runs, g_strdup(id), run);
    }
    if (run->count == 0 || g_str_has_prefix(path, "/issue/")) {
        run->count++;
    }
    run->host = host->number;
    run->begin = now;
    run->after_leave_ms = left > 0 ? now - left : 0;
    run->at_work++;
    pthread_mutex_unlock(&site->lock);
}

static void
end_run(Site *site, const char *id)
{
    SiteRun *run;

    pthread_mutex_lock(&site->lock);
    run = g_hash_table_lookup(site->runs, id);
    run->at_work--;
    pthread_mutex_unlock(&site->lock);
}

static int
get_work_ms(Host *host, const char *path)
{
    const char *work = strstr(path, "/work-");

    return work ? atoi(work + strlen("/work-")) : atomic_load(&host->work_ms);
}

/* Handler of the backend server. Refuses requests for another instance, fails
 * the configured share of requests, and answers with the id of the request. */
static void
serve_backend_request(void *context, HttpRequest *request)
{
    Host *host = context;
    const HttpHeaders *headers = HttpRequest_Headers(request);
    const char *id = HttpHeaders_Get(headers, "Attempt-Id");
    const char *expected = HttpHeaders_Get(headers, "Expected-Instance");
    HttpAnswer answer = {.status = 200};

    if (id == NULL || HttpHeaders_Get(headers, "Api-Key") != NULL ||
        HttpHeaders_Get(headers, "Caller-Service") == NULL) {
        answer.status = 400;
        HttpHeaders_Add(&answer.headers, "Not-Executed", "1");
    }
    else if (expected != NULL && strcmp(expected, host->name) != 0) {
        answer.status = 421;
        HttpHeaders_Add(&answer.headers, "Instance-Id", host->name);
    }
    else {
        ColdCount_Arrive(host->cold);
        count_run(host, id, HttpRequest_Path(request));
        g_usleep((gulong)get_work_ms(host, HttpRequest_Path(request)) * 1000);
        end_run(host->site, id);
        if (g_random_int_range(0, 100) < atomic_load(&host->failing_percent)) {
            answer.status = 500;
        }
        HttpHeaders_Add(&answer.headers, "Response-Signature", "s");
        HttpHeaders_AddNumber(&answer.headers, "Cold-Start-Ms",
                              ColdCount_LeftMs(host->cold));
        HttpHeaders_Add(&answer.headers, "Attempt-Id", id);
        _Site_SetBody(&answer, id, HttpRequest_Path(request));
    }
    HttpRequest_Respond(request, &answer);
}

/* Returns whether the host has acknowledged the announcement. */
static gboolean
post_announcement(Host *host, const char *action, const char *body)
{
    char *target =
        g_strdup_printf("/radishknot/instances/%s/%s", host->name, action);
    HttpAnswer answer = {0};
    gboolean sent;
    gboolean acknowledged;
    HttpCall call = {.address = parse_address(host->address, ANNOUNCE_PORT),
                     .method = "POST",
                     .target = target,
                     .body = body,
                     .body_bytes = strlen(body),
                     .connect_ms = 200,
                     .deadline = Clock_Now() + 1000};

    acknowledged = HttpClient_Call(host->site->client, &call, &answer,
                                   &sent) == RESULT_OK &&
                   answer.status / 100 == 2;
    HttpAnswer_Clear(&answer);
    g_free(target);
    return acknowledged;
}

static void
note_departure(Host *host, gint64 born)
{
    pthread_mutex_lock(&host->site->lock);
    if (host->born == born && atomic_load(&host->left) == 0) {
        atomic_store(&host->left, Clock_Now());
    }
    pthread_mutex_unlock(&host->site->lock);
}

/* Announces that the backend server is ready, or is draining if it is. */
static void
send_heartbeat(Host *host, gboolean ready)
{
    gboolean draining;
    gint64 born;
    char *body;

    pthread_mutex_lock(&host->site->lock);
    draining = !ready && atomic_load(&host->draining);
    born = host->born;
    body = g_strdup_printf(
        "{\"address\":\"%s:%d\",\"born\":%" G_GINT64_FORMAT
        ",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
        "\"slots\":5},\"status\":{\"state\":\"%s\",\"seq\":%d,"
        "\"cold_left\":\"%" G_GINT64_FORMAT "ms\"}}",
        host->address, BACKEND_PORT, born, host->desc.service,
        host->desc.data_centre, draining ? "draining" : "ready",
        host->sequence++, ColdCount_LeftMs(host->cold));
    pthread_mutex_unlock(&host->site->lock);
    if (post_announcement(host, "heartbeat", body) && draining) {
        note_departure(host, born);
    }
    g_free(body);
}

static void *
run_heartbeats(void *context)
{
    Site *site = context;
    int count;

    while (!atomic_load(&site->stopping)) {
        pthread_mutex_lock(&site->lock);
        count = site->host_count;
        pthread_mutex_unlock(&site->lock);
        for (int i = 0; i < count; i++) {
            Host *host = &site->hosts[i];

            if (!atomic_load(&host->silent)) {
                send_heartbeat(host, FALSE);
            }
        }
        g_usleep(HEARTBEAT_MS * 1000);
    }
    return NULL;
}

Site *
Site_Create(void)
{
    Site *site = g_new0(Site, 1);
    ObjectServer_desc store = {.address = parse_address("127.0.0.1", 0)};

    site->folder = g_dir_make_tmp("site-XXXXXX", NULL);
    g_assert_nonnull(site->folder);
    site->store = ObjectServer_Create(&store);
    site->client = HttpClient_Create(&(HttpClient_desc){0});
    atomic_store(&site->deadline_ms, DEADLINE_MS);
    site->runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_mutex_init(&site->lock, NULL);
    pthread_create(&site->heartbeats, NULL, run_heartbeats, site);
    return site;
}

void
Site_Destroy(Site *site)
{
    atomic_store(&site->stopping, TRUE);
    pthread_join(site->heartbeats, NULL);
    for (int i = 0; i < site->host_count; i++) {
        Host *host = &site->hosts[i];

        if (host->pid > 0) {
            kill(host->pid, SIGKILL);
            waitpid(host->pid, NULL, 0);
        }
        HttpServer_Destroy(host->backend);
        ColdCount_Destroy(host->cold);
        Relay_Destroy(host->store_relay);
        if (!site->keep_files) {
            (void)unlink(host->settings);
            (void)unlink(host->log);
        }
        g_free(host->settings);
        g_free(host->log);
    }
    HttpClient_Destroy(site->client);
    ObjectServer_Destroy(site->store);
    g_hash_table_destroy(site->runs);
    pthread_mutex_destroy(&site->lock);
    (void)rmdir(site->folder);
    g_free(site->folder);
    g_free(site);
}

ObjectServer *
Site_Store(Site *site)
{
    return site->store;
}

static void
write_settings(Host *host)
{
    char *text = g_strdup_printf(
        "{%s\"mode\":\"platform\",\"host\":\"%s\",\"data_centre\":\"%s\","
        "\"region\":\"%s\",\"data_centres\":[\"n1\",\"n2\",\"s1\"],"
        "\"address\":\"%s\",\"service\":\"%s\","
        "\"backend_server\":\"%s:%d\",\"entry_address\":\"%s:%d\","
        "\"peer_address\":\"%s:%d\",\"announce_address\":\"%s:%d\","
        "\"ready_address\":\"%s:%d\",\"first_port\":%d,\"store\":[\"127.0.0.1:"
        "%d\"],"
        "\"fleet_secret\":\"0123456789abcdef\",\"grace_ms\":\"6s\","
        "\"revocation_ms\":\"5s\"}",
        host->desc.settings ? host->desc.settings : "", host->name,
        host->desc.data_centre, host->desc.region, host->address,
        host->desc.service, host->address, BACKEND_PORT, host->address,
        ENTRY_PORT, host->address, PEER_PORT, host->address, ANNOUNCE_PORT,
        host->address, READY_PORT, FIRST_PORT, Relay_Port(host->store_relay));
    g_assert_true(g_file_set_contents(host->settings, text, -1, NULL));
    g_free(text);
}

static void
spawn(Host *host)
{
    const char *named = g_getenv("RADISHKNOT_DAEMON");
    char *command = g_strdup_printf(
        "exec '%s' '%s' >>'%s' 2>&1",
        named ? named : BINARY_DIRECTORY "/src/daemon/radishknotd",
        host->settings, host->log);
    char *arguments[] = {(char *)"/bin/sh", (char *)"-c", command, NULL};
    GPid pid;

    g_assert_true(g_spawn_async(NULL, arguments, NULL,
                                G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &pid,
                                NULL));
    host->pid = pid;
    g_free(command);
}

const char *
Site_Region(const Site *site, int host)
{
    return site->hosts[host].desc.region;
}

struct sockaddr_in
Site_BackendAddress(int host)
{
    char address[32];

    make_address(host, address, sizeof(address));
    return parse_address(address, BACKEND_PORT);
}

struct sockaddr_in
Site_EntryAddress(int host)
{
    char address[32];

    make_address(host, address, sizeof(address));
    return parse_address(address, ENTRY_PORT);
}

int
Site_AddHost(Site *site, const SiteHost_desc *desc)
{
    int number = site->host_count;
    Host *host = &site->hosts[number];
    HttpServer_desc backend = {.worker_threads = 32,
                               .handler = serve_backend_request,
                               .context = host};

    g_assert_cmpint(number, <, SITE_MAX_HOSTS);
    host->site = site;
    host->number = number;
    host->desc = *desc;
    host->desc.service = desc->service ? desc->service : "desk";
    host->desc.data_centre = desc->data_centre ? desc->data_centre : "n1";
    host->desc.region = desc->region ? desc->region : "norte";
    host->born = Clock_WallMs();
    host->sequence = 1;
    host->cold = ColdCount_Create();
    g_snprintf(host->name, sizeof(host->name), "host-%d", number);
    make_address(number, host->address, sizeof(host->address));
    host->settings = g_build_filename(site->folder, host->name, NULL);
    host->log = g_strconcat(host->settings, ".log", NULL);
    backend.address = parse_address(host->address, BACKEND_PORT);
    if (!desc->no_server) {
        host->backend = HttpServer_Create(&backend, NULL);
        g_assert_nonnull(host->backend);
    }
    host->store_relay = Relay_Create();
    Relay_SetTarget(host->store_relay,
                    ntohs(ObjectServer_Address(site->store).sin_port));
    write_settings(host);
    spawn(host);
    pthread_mutex_lock(&site->lock);
    site->host_count++;
    pthread_mutex_unlock(&site->lock);
    return number;
}

static Result
get(Site *site, const char *address, int port, const char *target,
    HttpAnswer *answer)
{
    gboolean sent;
    HttpCall call = {.address = parse_address(address, port),
                     .method = "GET",
                     .target = target,
                     .fresh_connection = TRUE,
                     .deadline = Clock_Now() + 1000};

    return HttpClient_Call(site->client, &call, answer, &sent);
}

gboolean
Site_IsReady(Site *site, int host)
{
    HttpAnswer answer = {0};
    Result result = get(site, site->hosts[host].address, READY_PORT,
                        "/radishknot/ready", &answer);
    gboolean ready = result == RESULT_OK && answer.status == 200;

    HttpAnswer_Clear(&answer);
    return ready;
}

/* Returns whether the store contains the backend server of the host. */
static gboolean
is_published(Site *site, const Host *host)
{
    json_t *value =
        ObjectServer_Read(site->store, "backend-servers", host->name);
    gboolean found = value != NULL;

    json_decref(value);
    return found;
}

void
Site_AwaitReady(Site *site)
{
    ClockMs end = Clock_Now() + READY_MS;

    for (int i = 0; i < site->host_count; i++) {
        while (
            (!Site_IsReady(site, i) || !is_published(site, &site->hosts[i])) &&
            Clock_Now() < end) {
            g_usleep(20000);
        }
        g_assert_true(Site_IsReady(site, i));
    }
    Site_AwaitEntries(site, site->host_count, end);
    g_usleep(1000000); /* for later changes */
}

typedef enum Connections {
    CONNECTIONS_POOLED,   /* a pooled one if there is one */
    CONNECTIONS_ALTERNATE /* pooled and new ones in turn */
} Connections;

static SiteReply
send_request(Site *site, HttpClient *client, int host, const char *method,
             const char *path, const char *key, Connections connections,
             char *id)
{
    HttpHeaders headers = {0};
    HttpAnswer answer = {0};
    SiteReply reply = {0};
    gboolean sent;
    const char *value;
    HttpCall call = {.address =
                         parse_address(site->hosts[host].address, ENTRY_PORT),
                     .method = method,
                     .target = path,
                     .host = SITE_HOST_HEADER,
                     .headers = &headers,
                     .deadline = Clock_Now() + REQUEST_MS};

    pthread_mutex_lock(&site->lock);
    g_snprintf(id, SITE_ID_BYTES, "id-%u", site->next_id++);
    call.fresh_connection =
        connections == CONNECTIONS_ALTERNATE && site->next_id % 2 == 0;
    pthread_mutex_unlock(&site->lock);
    HttpHeaders_Add(&headers, "Attempt-Id", id);
    HttpHeaders_AddNumber(&headers, "Deadline-Ms",
                          atomic_load(&site->deadline_ms));
    if (key != NULL) {
        HttpHeaders_Add(&headers, "Api-Key", key);
    }
    reply.result = HttpClient_Call(client, &call, &answer, &sent);
    reply.status = answer.status;
    reply.may_reuse_connection = !call.fresh_connection;
    reply.is_signed =
        HttpHeaders_Get(&answer.headers, "Response-Signature") != NULL;
    reply.matches = answer.body != NULL && strcmp(answer.body, id) == 0;
    value = HttpHeaders_Get(&answer.headers, "Retry-After");
    g_strlcpy(reply.retry_after, value ? value : "",
              sizeof(reply.retry_after));
    HttpHeaders_Clear(&headers);
    HttpAnswer_Clear(&answer);
    return reply;
}

SiteReply
Site_RequestAs(Site *site, int host, const char *method, const char *path,
               const char *key, char *id)
{
    return send_request(site, site->client, host, method, path, key,
                        CONNECTIONS_ALTERNATE, id);
}

SiteReply
Site_RequestPooled(Site *site, int host, const char *method, const char *path,
                   const char *key, char *id)
{
    return Site_RequestWith(site, site->client, host, method, path, key, id);
}

SiteReply
Site_RequestWith(Site *site, HttpClient *client, int host, const char *method,
                 const char *path, const char *key, char *id)
{
    return send_request(site, client, host, method, path, key,
                        CONNECTIONS_POOLED, id);
}

SiteReply
Site_Request(Site *site, int host, const char *method, const char *path,
             const char *key)
{
    return Site_RequestAs(site, host, method, path, key, site->last_id);
}

SiteReply
Site_UploadSlowly(Site *site, int host, const char *path, const char *key,
                  ClockMs body_after_ms, char *id)
{
    struct sockaddr_in address =
        parse_address(site->hosts[host].address, ENTRY_PORT);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    SiteReply reply = {.result = RESULT_CONNECT_FAILED};
    GString *text;
    char *head;

    pthread_mutex_lock(&site->lock);
    g_snprintf(id, SITE_ID_BYTES, "id-%u", site->next_id++);
    pthread_mutex_unlock(&site->lock);
    head = g_strdup_printf("POST %s HTTP/1.1\r\nHost: %s\r\n"
                           "Attempt-Id: %s\r\nDeadline-Ms: %d\r\n"
                           "Api-Key: %s\r\nContent-Length: 1\r\n\r\n",
                           path, SITE_HOST_HEADER, id,
                           atomic_load(&site->deadline_ms), key);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0) {
        (void)send(fd, head, strlen(head), MSG_NOSIGNAL);
        g_usleep((gulong)body_after_ms * 1000);
        (void)send(fd, "x", 1, MSG_NOSIGNAL);
        text = _Site_ReadToEnd(fd, REQUEST_MS);
        reply = _Site_ParseReply(text->str);
        g_string_free(text, TRUE);
    }
    close(fd);
    g_free(head);
    return reply;
}

unsigned
Site_Runs(Site *site, int host)
{
    return atomic_load(&site->hosts[host].runs);
}

unsigned
Site_MaxRunsPerId(Site *site)
{
    GHashTableIter iterator;
    gpointer value;
    int max = 0;

    pthread_mutex_lock(&site->lock);
    g_hash_table_iter_init(&iterator, site->runs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        max = MAX(max, ((const SiteRun *)value)->count);
    }
    pthread_mutex_unlock(&site->lock);
    return (unsigned)max;
}

gboolean
Site_GetRun(Site *site, const char *id, SiteRun *run)
{
    const SiteRun *found;

    pthread_mutex_lock(&site->lock);
    found = g_hash_table_lookup(site->runs, id);
    if (found != NULL) {
        *run = *found;
    }
    pthread_mutex_unlock(&site->lock);
    return found != NULL;
}

gboolean
Site_HasRun(Site *site, const char *id)
{
    return Site_GetRun(site, id, &(SiteRun){0});
}

const char *
Site_LastId(Site *site)
{
    return site->last_id;
}

void
Site_SetFailing(Site *site, int host, int percent)
{
    atomic_store(&site->hosts[host].failing_percent, percent);
}

void
Site_SetWorkMs(Site *site, int host, int milliseconds)
{
    atomic_store(&site->hosts[host].work_ms, milliseconds);
}

void
Site_SetDeadline(Site *site, int milliseconds)
{
    atomic_store(&site->deadline_ms, milliseconds);
}

void
Site_Drain(Site *site, int host)
{
    atomic_store(&site->hosts[host].draining, TRUE);
    send_heartbeat(&site->hosts[host], FALSE);
}

void
Site_Rejoin(Site *site, int host)
{
    Host *self = &site->hosts[host];

    pthread_mutex_lock(&site->lock);
    atomic_store(&self->draining, FALSE);
    atomic_store(&self->silent, FALSE);
    atomic_store(&self->left, 0);
    self->born = Clock_WallMs();
    self->sequence = 1;
    pthread_mutex_unlock(&site->lock);
    send_heartbeat(self, FALSE);
}

void
Site_SetCold(Site *site, int host, ClockMs length_ms)
{
    ColdCount_Begin(site->hosts[host].cold, length_ms);
    send_heartbeat(&site->hosts[host], FALSE);
}

ColdCount *
Site_Cold(Site *site, int host)
{
    return site->hosts[host].cold;
}

gboolean
Site_HasEntry(Site *site, int host)
{
    return is_published(site, &site->hosts[host]);
}

void
Site_Deregister(Site *site, int host)
{
    char *body = g_strdup_printf("{\"born\":%" G_GINT64_FORMAT "}",
                                 site->hosts[host].born);

    atomic_store(&site->hosts[host].silent, TRUE);
    if (post_announcement(&site->hosts[host], "deregister", body)) {
        note_departure(&site->hosts[host], site->hosts[host].born);
    }
    g_free(body);
}

gboolean
Site_HasAcknowledged(Site *site, int host)
{
    return atomic_load(&site->hosts[host].left) != 0;
}

void
Site_Silence(Site *site, int host)
{
    atomic_store(&site->hosts[host].silent, TRUE);
}

void
Site_AnnounceLate(Site *site, int host)
{
    send_heartbeat(&site->hosts[host], TRUE);
}

void
Site_SlowStore(Site *site, int host, int bytes_per_s)
{
    Relay_SetRate(site->hosts[host].store_relay, bytes_per_s);
}

void
Site_BreakOffStore(Site *site, int host, int bytes)
{
    Relay_EndAfter(site->hosts[host].store_relay, bytes);
}

void
Site_CutStore(Site *site, int host, gboolean cut)
{
    Relay_BreakAll(site->hosts[host].store_relay, cut);
}

void
Site_KeepFiles(Site *site)
{
    site->keep_files = TRUE;
    fprintf(stderr, "logs: %s\n", site->folder);
}

void
Site_Signal(Site *site, int host, int signal)
{
    g_assert_cmpint(site->hosts[host].pid, >, 0);
    g_assert_cmpint(kill(site->hosts[host].pid, signal), ==, 0);
}

pid_t
Site_Pid(Site *site, int host)
{
    return site->hosts[host].pid;
}

gboolean
Site_AwaitExit(Site *site, int host, ClockMs milliseconds)
{
    ClockMs end = Clock_Now() + milliseconds;

    while (Clock_Now() < end) {
        if (waitpid(site->hosts[host].pid, NULL, WNOHANG) ==
            site->hosts[host].pid) {
            site->hosts[host].pid = 0;
            return TRUE;
        }
        g_usleep(5000);
    }
    return FALSE;
}

void
Site_Restart(Site *site, int host)
{
    g_assert_cmpint(site->hosts[host].pid, ==, 0);
    spawn(&site->hosts[host]);
}

char *
Site_ReadLog(Site *site, int host)
{
    char *text = NULL;

    g_assert_true(
        g_file_get_contents(site->hosts[host].log, &text, NULL, NULL));
    return text;
}

char *
Site_ReadMetrics(Site *site, int host)
{
    HttpAnswer answer = {0};
    char *text;

    g_assert_cmpint(get(site, site->hosts[host].address, FIRST_PORT + 1,
                        "/metrics", &answer),
                    ==, RESULT_OK);
    text = g_strdup(answer.body);
    HttpAnswer_Clear(&answer);
    return text;
}
