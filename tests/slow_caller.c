#include "slow_caller.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_HEAD_BYTES 4000
#define LAST_CHUNK "0\r\n\r\n"
#define TAIL_BYTES 5
#define WAIT_STEP_MS 20

static gboolean
is_released(const SlowCaller_desc *desc)
{
    return desc->released != NULL && atomic_load(desc->released);
}

/* Waits, but not for longer than until the caller is released. */
static void
wait(const SlowCaller_desc *desc, ClockMs milliseconds)
{
    ClockMs end = Clock_Now() + milliseconds;

    while (Clock_Now() < end && !is_released(desc)) {
        g_usleep((gulong)MIN(end - Clock_Now(), WAIT_STEP_MS) * 1000);
    }
}

/* Returns whether the daemon has answered or closed the connection. */
static gboolean
has_reply(int fd)
{
    char byte;
    ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return got >= 0 || errno != EAGAIN;
}

static gboolean
send_request(int fd, const SlowCaller_desc *desc)
{
    char *head = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
        "Api-Key: %s\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n",
        desc->method ? desc->method : "GET", desc->path, desc->host, desc->id,
        desc->deadline_ms, desc->key, desc->body_bytes);
    size_t piece = desc->piece_bytes ? desc->piece_bytes : desc->body_bytes;
    char *body = g_strnfill(piece, 'x');
    size_t left = desc->body_bytes;
    gboolean open = send(fd, head, strlen(head), MSG_NOSIGNAL) > 0;

    while (open && left > 0 && !is_released(desc) &&
           !(desc->stops_at_reply && has_reply(fd))) {
        ssize_t sent = send(fd, body, MIN(piece, left), MSG_NOSIGNAL);

        open = sent > 0;
        left -= open ? (size_t)sent : 0;
        wait(desc, desc->pause_ms);
    }
    g_free(body);
    g_free(head);
    return open;
}

/* `text` has the head and the first bytes of the body, `tail` the last bytes
 * of the answer. */
static SlowReply
parse_reply(const char *text, size_t total, const char *tail, const char *id)
{
    SlowReply reply = {0};
    const char *end = strstr(text, "\r\n\r\n");
    const char *length = strstr(text, "Content-Length: ");

    if (end == NULL || sscanf(text, "HTTP/1.1 %d ", &reply.status) != 1) {
        return reply;
    }
    reply.body_bytes = total - (size_t)(end + 4 - text);
    if (length != NULL && length < end) {
        reply.complete = strtoull(length + strlen("Content-Length: "), NULL,
                                  10) == reply.body_bytes;
        reply.has_id = reply.body_bytes == strlen(id) &&
                       strncmp(end + 4, id, strlen(id)) == 0;
    }
    else {
        reply.complete = memcmp(tail, LAST_CHUNK, TAIL_BYTES) == 0;
        reply.has_id = strstr(end + 4, id) != NULL;
    }
    return reply;
}

static SlowReply
read_reply(int fd, const SlowCaller_desc *desc)
{
    struct timeval limit = {.tv_sec = desc->timeout_ms / 1000,
                            .tv_usec = desc->timeout_ms % 1000 * 1000};
    GString *text = g_string_new(NULL);
    size_t total = 0;
    char buffer[65536];
    char tail[TAIL_BYTES] = "";
    ssize_t got;
    SlowReply reply;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    while ((got = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
        size_t count = (size_t)got;
        size_t kept = MIN(count, MAX_HEAD_BYTES - text->len);
        size_t last = MIN(count, TAIL_BYTES);

        g_string_append_len(text, buffer, (gssize)kept);
        memmove(tail, tail + last, TAIL_BYTES - last);
        memcpy(tail + TAIL_BYTES - last, buffer + count - last, last);
        total += count;
    }
    reply = parse_reply(text->str, total, tail, desc->id);
    g_string_free(text, TRUE);
    return reply;
}

SlowReply
SlowCaller_Run(const SlowCaller_desc *desc)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ClockMs begin = Clock_Now();
    SlowReply reply = {0};

    if (desc->receive_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &desc->receive_bytes,
                   sizeof(desc->receive_bytes));
    }
    if (connect(fd, (const struct sockaddr *)&desc->address,
                sizeof(desc->address)) == 0) {
        /* An early answer may arrive before the whole body is sent. */
        (void)send_request(fd, desc);
        wait(desc, desc->unread_ms);
        if (!is_released(desc)) {
            reply = read_reply(fd, desc);
        }
    }
    close(fd);
    reply.took_ms = Clock_Now() - begin;
    return reply;
}
