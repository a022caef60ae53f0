/* Tests of what callers receive from daemons in mode "platform" while one of
 * two backend servers sends answers that are cut or have an odd status, or an
 * earlier refusal once more. */
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site.h"

#define KEYS "[\"" SITE_KEY "\"]"
#define MAX_CONNECTIONS 64
#define MAX_REQUESTS 60

#define REFUSAL \
    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define HEAD "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: %s\r\n"
#define ODD(status)                                                  \
    "HTTP/1.1 " status "\r\nResponse-Signature: s\r\nAttempt-Id: %s" \
    "\r\nContent-Length: %l\r\n\r\n%s"
#define WARM HEAD "Content-Length: %l\r\n\r\n%s"

/* What the faulty backend server sends; %s is the id of the request, %l the
 * length of the id. Then it
 * closes the connection, or resets it. The first request on a connection
 * is answered well if `warm` is set. */
typedef struct Script {
    const char *name;
    const char *answer;
    gboolean warm;
    gboolean open; /* the connection stays open */
    gboolean reset;
    int status; /* what the caller of a request that may run once receives */
} Script;

typedef struct Faulty {
    const Script *script;
    int listener;
    pthread_t thread;
    pthread_t threads[MAX_CONNECTIONS];
    int fds[MAX_CONNECTIONS];
    int count;
    pthread_mutex_t lock;
    char last_id[SITE_ID_BYTES]; /* of the last request that it ran */
} Faulty;

typedef struct Connection {
    Faulty *faulty;
    int fd;
} Connection;

/* Reads a request without a body up to its end; FALSE if the daemon closes. */
static gboolean
read_request(int fd, char *id)
{
    char text[8192];
    size_t length = 0;
    ssize_t got;
    const char *value;

    do {
        got = recv(fd, text + length, sizeof(text) - 1 - length, 0);
        if (got <= 0) {
            return FALSE;
        }
        length += (size_t)got;
        text[length] = '\0';
    } while (strstr(text, "\r\n\r\n") == NULL);
    value = strstr(text, "Attempt-Id: ");
    g_assert_nonnull(value);
    value += strlen("Attempt-Id: ");
    g_snprintf(id, SITE_ID_BYTES, "%.*s", (int)strcspn(value, "\r"), value);
    return TRUE;
}

static void
send_id(int fd, const char *answer, const char *id)
{
    GString *text = g_string_new(answer);
    char length[12];

    g_snprintf(length, sizeof(length), "%zu", strlen(id));
    g_string_replace(text, "%l", length, 0);
    g_string_replace(text, "%s", id, 0);
    (void)!send(fd, text->str, text->len, MSG_NOSIGNAL);
    g_string_free(text, TRUE);
}

static void
send_script(Faulty *faulty, int fd, const char *id)
{
    pthread_mutex_lock(&faulty->lock);
    g_strlcpy(faulty->last_id, id, SITE_ID_BYTES);
    pthread_mutex_unlock(&faulty->lock);
    send_id(fd, faulty->script->answer, id);
}

static void *
run_connection(void *context)
{
    Connection *connection = context;
    Faulty *faulty = connection->faulty;
    struct linger now = {.l_onoff = 1};
    int fd = connection->fd;
    char id[SITE_ID_BYTES];
    gboolean first = TRUE;

    g_free(connection);
    while (read_request(fd, id)) {
        if (first && faulty->script->warm) {
            send_id(fd, WARM, id);
        }
        else {
            send_script(faulty, fd, id);
            if (!faulty->script->open) {
                break;
            }
        }
        first = FALSE;
    }
    if (faulty->script->reset) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        g_usleep(20000); /* the daemon has read what was sent */
    }
    close(fd);
    return NULL;
}

static void *
run_faulty(void *context)
{
    Faulty *faulty = context;
    int fd;

    while ((fd = accept(faulty->listener, NULL, NULL)) >= 0) {
        Connection *connection = g_new0(Connection, 1);

        g_assert_cmpint(faulty->count, <, MAX_CONNECTIONS);
        *connection = (Connection){.faulty = faulty, .fd = fd};
        pthread_create(&faulty->threads[faulty->count++], NULL, run_connection,
                       connection);
    }
    return NULL;
}

static void
start_faulty(Faulty *faulty, int host)
{
    struct sockaddr_in address = Site_BackendAddress(host);
    int on = 1;

    pthread_mutex_init(&faulty->lock, NULL);
    faulty->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(faulty->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    g_assert_cmpint(
        bind(faulty->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(faulty->listener, 16), ==, 0);
    pthread_create(&faulty->thread, NULL, run_faulty, faulty);
}

/* The daemons have closed their connections. */
static void
stop_faulty(Faulty *faulty)
{
    shutdown(faulty->listener, SHUT_RDWR);
    pthread_join(faulty->thread, NULL);
    close(faulty->listener);
    for (int i = 0; i < faulty->count; i++) {
        pthread_join(faulty->threads[i], NULL);
    }
    pthread_mutex_destroy(&faulty->lock);
}

static gboolean
has_run(Faulty *faulty, const char *id)
{
    gboolean ran;

    pthread_mutex_lock(&faulty->lock);
    ran = strcmp(faulty->last_id, id) == 0;
    pthread_mutex_unlock(&faulty->lock);
    return ran;
}

/* Sends requests until one has run at the faulty backend server, and checks
 * all of them. Returns FALSE if none has. */
static gboolean
check_requests(Site *site, Faulty *faulty, gboolean idempotent)
{
    gboolean ran = FALSE;

    for (int i = 0; i < MAX_REQUESTS && !ran; i++) {
        SiteReply reply = Site_Request(
            site, 0, "GET", idempotent ? "/read/1" : "/issue/1", SITE_KEY);
        const char *id = Site_LastId(site);
        gboolean ran_elsewhere = Site_HasRun(site, id);

        ran = has_run(faulty, id);
        g_test_message("%s, %s: status %d ran %d elsewhere %d",
                       faulty->script->name, idempotent ? "safe" : "once",
                       reply.status, ran, ran_elsewhere);
        g_assert_cmpint(reply.result, ==, RESULT_OK);
        g_assert_cmpint(reply.is_signed, ==, reply.status == 200);
        g_assert_cmpint(reply.matches, ==, reply.status == 200);
        if (idempotent || !ran) {
            g_assert_cmpint(reply.status, ==, 200);
            continue;
        }
        g_assert_cmpint(reply.status, ==, faulty->script->status);
        g_assert_false(ran_elsewhere);
    }
    return ran;
}

/* Guards against a success with a part of the body, against "not run" (429,
 * 503) for a request that a backend server runs, and against a second run of
 * one that may run once. Other requests are served. */
static void
test_faulty_answers(void)
{
    static const Script scripts[] = {
        {"status line, reset", "HTTP/1.1 200 OK\r\n", FALSE, FALSE, TRUE, 502},
        {"head", HEAD "Content-Len", FALSE, FALSE, FALSE, 502},
        {"head on a kept connection", HEAD "Content-Length: 16\r\n", TRUE,
         FALSE, FALSE, 502},
        {"body", HEAD "Content-Length: 90\r\n\r\nhalf", FALSE, FALSE, FALSE,
         502},
        {"body, reset", HEAD "Connection: close\r\n\r\nhalf", FALSE, FALSE,
         TRUE, 502},
        {"chunks", HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
         FALSE, FALSE, FALSE, 502},
        {"repeated refusal before the answer", REFUSAL WARM, TRUE, TRUE, FALSE,
         200},
        {"repeated refusal before the end", REFUSAL, TRUE, FALSE, FALSE, 502},
        {"cut refusal before the answer", "HTTP/1.1 503 Busy\r\nNot-Exec" WARM,
         TRUE, TRUE, FALSE, 502},
        {"status 000", ODD("000 OK"), FALSE, TRUE, FALSE, 502},
        {"status 000 as the second answer", ODD("000 OK"), TRUE, TRUE, FALSE,
         502},
        {"status 2000 behind an interim answer",
         "HTTP/1.1 100 Continue\r\n\r\n" ODD("2000 OK"), TRUE, TRUE, FALSE,
         502},
        {"status 101 with a body", ODD("101 OK"), FALSE, TRUE, FALSE, 502},
        {"status 000 in a cut refusal",
         "HTTP/1.1 503 Busy\r\nNot-Executed: 1" ODD("000 OK"), TRUE, TRUE,
         FALSE, 502},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
        for (int idempotent = 0; idempotent < 2; idempotent++) {
            Faulty faulty = {.script = &scripts[i]};
            Site *site = Site_Create();

            Site_Configure(site, 1, KEYS, 0);
            Site_AddHost(site, &(SiteHost_desc){.service = "other"});
            start_faulty(&faulty, Site_AddHost(site, &(SiteHost_desc){
                                                         .no_server = TRUE}));
            /* Far away, so that the other one is chosen first. */
            Site_AddHost(
                site, &(SiteHost_desc){.data_centre = "s1", .region = "sur"});
            Site_AwaitReady(site);
            g_assert_true(check_requests(site, &faulty, idempotent));
            Site_Destroy(site);
            stop_faulty(&faulty);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/faulty/answers", test_faulty_answers);
    return g_test_run();
}
