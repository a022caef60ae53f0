/* HTTP client of the test stand-ins. */
#include "rk_http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_HEAD_BYTES (64u << 10)
#define MAX_BODY_BYTES (64u << 20)

void
Http_Open(HttpConnection *connection, const char *address)
{
    connection->address = address;
    connection->socket = -1;
    connection->input = g_byte_array_new();
}

static void
drop_socket(HttpConnection *connection)
{
    if (connection->socket >= 0) {
        close(connection->socket);
        connection->socket = -1;
    }
    g_byte_array_set_size(connection->input, 0);
}

void
Http_Close(HttpConnection *connection)
{
    drop_socket(connection);
    g_byte_array_unref(connection->input);
    connection->input = NULL;
}

/* Waits for the events. Returns FALSE if the deadline passes first. */
static gboolean
wait_for(int socket_number, short events, int64_t deadline_us)
{
    struct pollfd entry = {.fd = socket_number, .events = events};

    for (;;) {
        int64_t left_us = deadline_us - g_get_monotonic_time();
        int count;

        if (left_us <= 0) {
            return FALSE;
        }
        count = poll(&entry, 1, (int)((left_us + 999) / 1000));
        if (count > 0) {
            return TRUE;
        }
        if (count < 0 && errno != EINTR) {
            return TRUE;
        }
    }
}

static gboolean
parse_address(const char *text, struct sockaddr_in *address)
{
    char ip[INET_ADDRSTRLEN];
    const char *colon = strchr(text, ':');

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return FALSE;
    }
    g_strlcpy(ip, text, (gsize)(colon - text) + 1);
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

static gboolean
connect_socket(HttpConnection *connection, int64_t deadline_us)
{
    struct sockaddr_in address = {0};
    int error = 0;
    int one = 1;
    socklen_t length = sizeof(error);

    if (!parse_address(connection->address, &address)) {
        return FALSE;
    }
    connection->socket =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connection->socket < 0) {
        return FALSE;
    }
    setsockopt(connection->socket, IPPROTO_TCP, TCP_NODELAY, &one,
               sizeof(one));
    if (connect(connection->socket, (struct sockaddr *)&address,
                sizeof(address)) == 0) {
        return TRUE;
    }
    if (errno == EINPROGRESS &&
        wait_for(connection->socket, POLLOUT, deadline_us) &&
        getsockopt(connection->socket, SOL_SOCKET, SO_ERROR, &error,
                   &length) == 0 &&
        error == 0) {
        return TRUE;
    }
    drop_socket(connection);
    return FALSE;
}

/* Closes an idle connection that the server has closed or on which it sent
 * data without a request. */
static void
drop_stale_connection(HttpConnection *connection)
{
    char byte;

    if (connection->socket >= 0 &&
        (recv(connection->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
         (errno != EAGAIN && errno != EWOULDBLOCK))) {
        drop_socket(connection);
    }
}

static HttpOutcome
write_all(HttpConnection *connection, const char *bytes, size_t length,
          int64_t deadline_us)
{
    while (length > 0) {
        ssize_t count = send(connection->socket, bytes, length, MSG_NOSIGNAL);

        if (count > 0) {
            bytes += count;
            length -= (size_t)count;
        }
        else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            if (!wait_for(connection->socket, POLLOUT, deadline_us)) {
                return HTTP_TIMED_OUT;
            }
        }
        else if (errno != EINTR) {
            return HTTP_BROKEN;
        }
    }
    return HTTP_ANSWERED;
}

/* Reads available bytes. Sets *is_eof at the end of the connection. */
static HttpOutcome
read_some(HttpConnection *connection, int64_t deadline_us, gboolean *is_eof)
{
    guint8 buffer[16384];

    *is_eof = FALSE;
    for (;;) {
        ssize_t count = recv(connection->socket, buffer, sizeof(buffer), 0);

        if (count > 0) {
            g_byte_array_append(connection->input, buffer, (guint)count);
            return HTTP_ANSWERED;
        }
        if (count == 0) {
            *is_eof = TRUE;
            return HTTP_ANSWERED;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            if (!wait_for(connection->socket, POLLIN, deadline_us)) {
                return HTTP_TIMED_OUT;
            }
        }
        else if (errno != EINTR) {
            return HTTP_BROKEN;
        }
    }
}

static gboolean
parse_head(const char *head, HttpReply *reply)
{
    char **lines = g_strsplit(head, "\r\n", -1);
    gboolean is_valid = lines[0] != NULL &&
                        g_str_has_prefix(lines[0], "HTTP/1.") &&
                        strlen(lines[0]) >= 12;

    if (is_valid) {
        reply->status = (int)strtol(lines[0] + 9, NULL, 10);
    }
    for (size_t i = 1; is_valid && lines[i] != NULL; i++) {
        char *colon = strchr(lines[i], ':');

        if (colon != NULL) {
            *colon = '\0';
            g_hash_table_insert(reply->headers, g_ascii_strdown(lines[i], -1),
                                g_strstrip(g_strdup(colon + 1)));
        }
    }
    g_strfreev(lines);
    return is_valid && reply->status >= 100 && reply->status <= 599;
}

static HttpOutcome
read_head(HttpConnection *connection, int64_t deadline_us, HttpReply *reply)
{
    for (;;) {
        const char *end = NULL;
        gboolean is_eof;
        HttpOutcome outcome;

        if (connection->input->len > 0) {
            end = memmem(connection->input->data, connection->input->len,
                         "\r\n\r\n", 4);
        }
        if (end != NULL) {
            size_t length = (size_t)(end - (char *)connection->input->data);
            char *head = g_strndup((char *)connection->input->data, length);
            gboolean is_valid = parse_head(head, reply);

            g_free(head);
            g_byte_array_remove_range(connection->input, 0, (guint)length + 4);
            return is_valid ? HTTP_ANSWERED : HTTP_INVALID;
        }
        if (connection->input->len > MAX_HEAD_BYTES) {
            return HTTP_INVALID;
        }
        outcome = read_some(connection, deadline_us, &is_eof);
        if (outcome != HTTP_ANSWERED || is_eof) {
            return is_eof ? HTTP_BROKEN : outcome;
        }
    }
}

static HttpOutcome
read_body(HttpConnection *connection, gboolean is_head, int64_t deadline_us,
          HttpReply *reply)
{
    const char *length_text = Http_Header(reply, "content-length");
    uint64_t length = UINT64_MAX;
    gboolean is_eof = FALSE;

    reply->has_length = length_text != NULL;
    if (is_head || reply->status == 204 || reply->status == 304) {
        length = 0;
    }
    else if (length_text != NULL) {
        length = g_ascii_strtoull(length_text, NULL, 10);
    }
    else if (Http_Header(reply, "transfer-encoding") != NULL) {
        return HTTP_INVALID;
    }
    while (connection->input->len < length && !is_eof) {
        HttpOutcome outcome = read_some(connection, deadline_us, &is_eof);

        if (outcome != HTTP_ANSWERED) {
            return outcome;
        }
        if (connection->input->len > MAX_BODY_BYTES) {
            return HTTP_INVALID;
        }
    }
    if (is_eof && length != UINT64_MAX) {
        return HTTP_BROKEN;
    }
    length = MIN(length, connection->input->len);
    if (length > 0) {
        g_byte_array_append(reply->body, connection->input->data,
                            (guint)length);
        g_byte_array_remove_range(connection->input, 0, (guint)length);
    }
    if (is_eof) {
        drop_socket(connection);
    }
    return HTTP_ANSWERED;
}

HttpOutcome
Http_Send(HttpConnection *connection, const char *method, const char *path,
          const char *headers, const void *body, size_t body_bytes,
          int64_t deadline_us, HttpReply *reply)
{
    GString *text = g_string_new(NULL);
    HttpOutcome outcome = HTTP_ANSWERED;
    const char *connection_header;

    *reply = (HttpReply){.headers = g_hash_table_new_full(
                             g_str_hash, g_str_equal, g_free, g_free),
                         .body = g_byte_array_new()};
    drop_stale_connection(connection);
    if (connection->socket < 0 && !connect_socket(connection, deadline_us)) {
        g_string_free(text, TRUE);
        return HTTP_NOT_SENT;
    }
    g_string_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, path,
                    connection->address, headers);
    if (body_bytes > 0 || strcmp(method, "POST") == 0) {
        g_string_append_printf(text, "Content-Length: %zu\r\n", body_bytes);
    }
    g_string_append(text, "\r\n");
    g_string_append_len(text, body, (gssize)body_bytes);
    outcome = write_all(connection, text->str, text->len, deadline_us);
    g_string_free(text, TRUE);
    /* A server that refuses a request early may close the connection while
     * the body is still being sent; its answer can still be read. */
    if (outcome == HTTP_ANSWERED || outcome == HTTP_BROKEN) {
        do {
            g_hash_table_remove_all(reply->headers);
            outcome = read_head(connection, deadline_us, reply);
        } while (outcome == HTTP_ANSWERED && reply->status < 200);
    }
    if (outcome == HTTP_ANSWERED) {
        outcome = read_body(connection, strcmp(method, "HEAD") == 0,
                            deadline_us, reply);
    }
    connection_header = Http_Header(reply, "connection");
    if (outcome != HTTP_ANSWERED ||
        (connection_header != NULL &&
         g_ascii_strcasecmp(connection_header, "close") == 0)) {
        drop_socket(connection);
    }
    return outcome;
}

const char *
Http_Header(const HttpReply *reply, const char *name)
{
    return g_hash_table_lookup(reply->headers, name);
}

void
Http_FreeReply(HttpReply *reply)
{
    g_hash_table_unref(reply->headers);
    g_byte_array_unref(reply->body);
}
