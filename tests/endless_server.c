#include "endless_server.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

#define HEAD "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: %s\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define WHOLE_LENGTH "15728640"
#define LARGE_LENGTH "4194304"
#define BLOCK_BYTES 16384
#define SEND_TIMEOUT_US 200000
#define ID_BYTES 64

const EndlessKind EndlessServer_kinds[ENDLESS_KINDS] = {
    [ENDLESS_BODY] = {"body", HEAD "\r\n", "", 4096, "", 0},
    [ENDLESS_CHUNKS] = {"chunks", CHUNKED, "1000\r\n", 0x1000, "\r\n", 0},
    [ENDLESS_WHOLE] = {"whole",
                       HEAD "Content-Length: " WHOLE_LENGTH "\r\n\r\n", "",
                       4096, "", ENDLESS_WHOLE_BYTES},
    [ENDLESS_LARGE] = {"large",
                       HEAD "Content-Length: " LARGE_LENGTH "\r\n\r\n", "",
                       4096, "", ENDLESS_LARGE_BYTES},
    [ENDLESS_SMALL_CHUNKS] = {"small-chunks", CHUNKED, "1\r\n", 1, "\r\n", 0},
    [ENDLESS_HEADER_LINE] = {"header-line", HEAD "A: ", "", 4096, "", 0},
    [ENDLESS_HEADER_LINES] = {"header-lines", HEAD, "A: b\r\n", 0, "", 0},
    [ENDLESS_NO_LINE_BREAK] = {"no-line-break", "", "", 4096, "", 0},
    [ENDLESS_INTERIM] = {"interim", "", "HTTP/1.1 102 Wait\r\n\r\n", 0, "", 0},
    [ENDLESS_TRAILERS] = {"trailers", CHUNKED "0\r\n", "A: b\r\n", 0, "", 0},
    [ENDLESS_EXTENSION] = {"extension", CHUNKED "1;", "", 4096, "", 0},
    [ENDLESS_LENGTH] = {"length", HEAD "Content-Length: 1000000000000\r\n\r\n",
                        "", 4096, "", 0},
};

struct EndlessServer {
    int listener;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t closed;
    unsigned open;
    GHashTable *posts; /* id -> number of requests */
    _Atomic(const EndlessKind *) kind;
    atomic_bool stopping;
    atomic_uint requests;
    _Atomic size_t sent;
};

typedef struct Connection {
    EndlessServer *server;
    int fd;
} Connection;

/* Reads and drops the rest of a body of which `got` bytes have been read. */
static gboolean
read_body(int fd, const char *head, size_t got)
{
    const char *value = strstr(head, "Content-Length: ");
    size_t length =
        value ? strtoull(value + strlen("Content-Length: "), NULL, 10) : 0;
    char buffer[16384];

    while (got < length) {
        ssize_t count = recv(fd, buffer, MIN(sizeof(buffer), length - got), 0);

        if (count <= 0) {
            return FALSE;
        }
        got += (size_t)count;
    }
    return TRUE;
}

static void
note_post(EndlessServer *server, const char *id)
{
    guint count;

    pthread_mutex_lock(&server->lock);
    count = GPOINTER_TO_UINT(g_hash_table_lookup(server->posts, id));
    g_hash_table_insert(server->posts, g_strdup(id),
                        GUINT_TO_POINTER(count + 1));
    pthread_mutex_unlock(&server->lock);
}

/* Reads a request up to its end; FALSE if the daemon closes. */
static gboolean
read_request(EndlessServer *server, int fd, char *id, gboolean *small)
{
    char text[8192];
    size_t length = 0;
    ssize_t got;
    const char *value;
    const char *end;

    do {
        got = recv(fd, text + length, sizeof(text) - 1 - length, 0);
        if (got <= 0) {
            return FALSE;
        }
        length += (size_t)got;
        text[length] = '\0';
        end = strstr(text, "\r\n\r\n");
    } while (end == NULL);
    value = strstr(text, "Attempt-Id: ");
    g_assert_nonnull(value);
    value += strlen("Attempt-Id: ");
    g_snprintf(id, ID_BYTES, "%.*s", (int)strcspn(value, "\r"), value);
    if (g_str_has_prefix(text, "POST ")) {
        note_post(server, id);
    }
    value = strstr(text, "/small ");
    *small = value != NULL && value < strchr(text, '\r');
    return read_body(fd, text, length - (size_t)(end + 4 - text));
}

/* Sends all bytes unless the daemon closes or the time has come. */
static gboolean
send_all(EndlessServer *server, int fd, const char *bytes, size_t count,
         ClockMs end)
{
    size_t done = 0;

    while (done < count) {
        ssize_t sent = send(fd, bytes + done, count - done, MSG_NOSIGNAL);

        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            return FALSE;
        }
        if (atomic_load(&server->stopping) || Clock_Now() > end) {
            return FALSE;
        }
        done += sent > 0 ? (size_t)sent : 0;
        atomic_fetch_add(&server->sent, sent > 0 ? (size_t)sent : 0);
    }
    return TRUE;
}

static GString *
make_block(const EndlessKind *kind)
{
    GString *block = g_string_new(NULL);
    char *fill = g_strnfill(kind->fill, 'x');

    do {
        g_string_append(block, kind->head);
        g_string_append(block, fill);
        g_string_append(block, kind->tail);
    } while (block->len < BLOCK_BYTES);
    g_free(fill);
    return block;
}

/* Returns whether the connection may serve another request. */
static gboolean
send_kind(EndlessServer *server, int fd, const EndlessKind *kind,
          const char *id)
{
    GString *prefix = g_string_new(kind->prefix);
    GString *block = make_block(kind);
    ClockMs end = Clock_Now() + ENDLESS_MS;
    size_t left = kind->total > 0 ? kind->total : ENDLESS_BYTES;
    gboolean open;

    g_string_replace(prefix, "%s", id, 0);
    open = send_all(server, fd, prefix->str, prefix->len, end);
    while (open && left > 0) {
        size_t count = MIN(left, block->len);

        open = send_all(server, fd, block->str, count, end);
        left -= count;
    }
    g_string_free(prefix, TRUE);
    g_string_free(block, TRUE);
    return open && kind->total > 0;
}

static gboolean
send_id(EndlessServer *server, int fd, const char *id)
{
    char *text = g_strdup_printf(HEAD "Content-Length: %zu\r\n\r\n%s", id,
                                 strlen(id), id);
    gboolean open =
        send_all(server, fd, text, strlen(text), Clock_Now() + ENDLESS_MS);

    g_free(text);
    return open;
}

static void *
run_connection(void *context)
{
    Connection *connection = context;
    EndlessServer *server = connection->server;
    struct timeval limit = {.tv_usec = SEND_TIMEOUT_US};
    int fd = connection->fd;
    gboolean open = TRUE;
    gboolean small;
    char id[ID_BYTES];

    g_free(connection);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    while (open && read_request(server, fd, id, &small)) {
        const EndlessKind *kind = small ? NULL : atomic_load(&server->kind);

        atomic_fetch_add(&server->requests, 1);
        open = kind != NULL ? send_kind(server, fd, kind, id)
                            : send_id(server, fd, id);
    }
    close(fd);
    pthread_mutex_lock(&server->lock);
    server->open--;
    pthread_cond_signal(&server->closed);
    pthread_mutex_unlock(&server->lock);
    return NULL;
}

static void *
run_listener(void *context)
{
    EndlessServer *server = context;
    int fd;

    while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
        Connection *connection = g_new0(Connection, 1);
        pthread_t thread;

        *connection = (Connection){.server = server, .fd = fd};
        pthread_mutex_lock(&server->lock);
        server->open++;
        pthread_mutex_unlock(&server->lock);
        pthread_create(&thread, NULL, run_connection, connection);
        pthread_detach(thread);
    }
    return NULL;
}

EndlessServer *
EndlessServer_Create(struct sockaddr_in address)
{
    EndlessServer *server = g_new0(EndlessServer, 1);
    int on = 1;

    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->closed, NULL);
    server->posts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(server->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(server->listener, 128), ==, 0);
    pthread_create(&server->thread, NULL, run_listener, server);
    return server;
}

void
EndlessServer_Destroy(EndlessServer *server)
{
    atomic_store(&server->stopping, TRUE);
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
    pthread_mutex_lock(&server->lock);
    while (server->open > 0) {
        pthread_cond_wait(&server->closed, &server->lock);
    }
    pthread_mutex_unlock(&server->lock);
    g_hash_table_destroy(server->posts);
    pthread_cond_destroy(&server->closed);
    pthread_mutex_destroy(&server->lock);
    g_free(server);
}

void
EndlessServer_SetKind(EndlessServer *server, const EndlessKind *kind)
{
    atomic_store(&server->kind, kind);
}

unsigned
EndlessServer_Requests(EndlessServer *server)
{
    return atomic_load(&server->requests);
}

size_t
EndlessServer_Sent(EndlessServer *server)
{
    return atomic_load(&server->sent);
}

GHashTable *
EndlessServer_Posts(EndlessServer *server)
{
    return server->posts;
}
