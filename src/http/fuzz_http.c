/* Fuzz target of the HTTP answer parser of HttpClient. The input is the answer
 * that a server on a loopback socket sends.
 *
 * Guards against answers that crash the parser, that keep it busy until the
 * deadline, that are accepted although larger than the limit, and against an
 * accepted answer whose length differs from its Content-Length, or whose head
 * has a name with white space or another status line in it.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_client.h"

#define MAX_ANSWER_BYTES 65536
#define DEADLINE_MS 5000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct Peer {
    int listener;
    struct sockaddr_in address;
    pthread_mutex_t lock;
    const uint8_t *data;
    size_t size;
} Peer;

/* Reads the request up to the empty line that ends its headers. */
static void
read_request(int fd)
{
    char text[1024];
    size_t length = 0;
    ssize_t got;

    do {
        got = read(fd, text + length, sizeof(text) - 1 - length);
        if (got <= 0) {
            return;
        }
        length += (size_t)got;
        text[length] = '\0';
    } while (strstr(text, "\r\n\r\n") == NULL);
}

static void *
serve(void *context)
{
    Peer *peer = context;
    int fd;

    for (;;) {
        fd = accept(peer->listener, NULL, NULL);
        if (fd < 0) {
            abort();
        }
        read_request(fd);
        pthread_mutex_lock(&peer->lock);
        (void)send(fd, peer->data, peer->size, MSG_NOSIGNAL);
        pthread_mutex_unlock(&peer->lock);
        (void)shutdown(fd, SHUT_WR);
        (void)close(fd);
    }
    return NULL;
}

static Peer *
get_peer(void)
{
    static Peer peer;
    socklen_t length = sizeof(peer.address);
    pthread_t thread;

    if (peer.address.sin_port == 0) {
        peer.listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        peer.address.sin_family = AF_INET;
        peer.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(peer.listener, (struct sockaddr *)&peer.address, length) !=
                0 ||
            listen(peer.listener, 64) != 0 ||
            getsockname(peer.listener, (struct sockaddr *)&peer.address,
                        &length) != 0) {
            abort();
        }
        pthread_mutex_init(&peer.lock, NULL);
        pthread_create(&thread, NULL, serve, &peer);
        pthread_detach(thread);
    }
    return &peer;
}

static void
check_header(const HttpHeader *header)
{
    if (header->name[0] == '\0' || strpbrk(header->name, " \t\r") != NULL ||
        strstr(header->value, "HTTP/1.1 200 ") != NULL) {
        abort();
    }
}

static void
check_answer(const HttpAnswer *answer)
{
    int64_t stated =
        HttpHeaders_GetNumber(&answer->headers, "Content-Length", -1);

    if (answer->status < 200 || answer->status > 599 ||
        answer->body_bytes > MAX_ANSWER_BYTES) {
        abort();
    }
    for (size_t i = 0; i < answer->headers.count; i++) {
        check_header(&answer->headers.items[i]);
    }
    if (HttpHeaders_Get(&answer->headers, "Transfer-Encoding") == NULL &&
        answer->status != 204 && answer->status != 304 &&
        stated != (int64_t)answer->body_bytes) {
        abort();
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static HttpClient *client;
    Peer *peer = get_peer();
    HttpCall call = {.address = peer->address,
                     .method = "GET",
                     .target = "/",
                     .deadline = Clock_Now() + DEADLINE_MS,
                     .fresh_connection = TRUE};
    HttpAnswer answer = {0};
    gboolean sent;
    Result result;

    if (client == NULL) {
        client = HttpClient_Create(
            &(HttpClient_desc){.max_answer_bytes = MAX_ANSWER_BYTES});
    }
    pthread_mutex_lock(&peer->lock);
    peer->data = data;
    peer->size = size;
    pthread_mutex_unlock(&peer->lock);
    result = HttpClient_Call(client, &call, &answer, &sent);
    /* The client may have stopped reading while the peer still sends. */
    pthread_mutex_lock(&peer->lock);
    peer->size = 0;
    pthread_mutex_unlock(&peer->lock);
    if (result == RESULT_DEADLINE_EXPIRED) {
        abort();
    }
    if (result == RESULT_OK) {
        check_answer(&answer);
        HttpClient_CloseIdle(client, &peer->address);
    }
    HttpAnswer_Clear(&answer);
    return 0;
}
