#include "http/http_connection.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/rng.h"
#include "http/http_status.h"
#include "memory/memory_buffer.h"

#define LINE_BYTES 8192
#define MAX_HEADER_LINES 100
#define MAX_HEAD_BYTES 65536
#define MAX_INTERIM_ANSWERS 8

/* Bytes read from the socket at once. */
#define READ_BYTES 8192

/* Longest wait for the memory of a body of known length, and the interval of
 * its tries. */
#define MEMORY_WAIT_MS 500
#define MEMORY_POLL_MS 5

/* Number of request ids that a connection remembers. */
#define MAX_IDS 32

/* A connection ends after two unanswered keep-alive probes, the first of them
 * sent after one second without traffic. */
#define PROBE_IDLE_S 1
#define PROBE_COUNT 2

struct HttpConnection {
    int fd;
    const HttpSoftTimeout *soft_timeout; /* NULL: none, or expired already */
    int other_fd;                        /* see HttpConnection_SetOther() */
    gboolean yielded;
    size_t first; /* unread bytes: buffer[first..last) */
    size_t last;
    gboolean ended_body;   /* a body ended with the connection */
    uint64_t ids[MAX_IDS]; /* hashes of the last request ids, a ring */
    unsigned id_count;
    char buffer[READ_BYTES];
};

typedef enum ReadState {
    READ_DATA,
    READ_CLOSED, /* orderly end of the stream */
    READ_RESET,
    READ_EXPIRED
} ReadState;

/* Returns the events that have occurred. */
static int
poll_events(int fd, short events)
{
    struct pollfd poll_fd = {.fd = fd, .events = events};

    return poll(&poll_fd, 1, 0) > 0 ? poll_fd.revents : 0;
}

/* Waits for events and returns them; 0 at the deadline. */
static int
wait_for(int fd, short events, ClockMs deadline)
{
    struct pollfd poll_fd = {.fd = fd, .events = events};
    ClockMs left = deadline - Clock_Now();
    int ready;

    while (left > 0) {
        ready = poll(&poll_fd, 1, (int)MIN(left, G_MAXINT));
        if (ready > 0) {
            return poll_fd.revents;
        }
        if (ready < 0 && errno != EINTR) {
            return POLLERR;
        }
        left = deadline - Clock_Now();
    }
    return 0;
}

/* Whether the socket holds the begin of a successful answer. A status that
 * only begins like one of these must not end another call. */
static gboolean
has_success(int fd)
{
    char line[sizeof("HTTP/1.1 200 ")] = {0};
    const ssize_t needed = sizeof(line) - 1;
    int status;

    if (recv(fd, line, (size_t)needed, MSG_PEEK | MSG_DONTWAIT) != needed) {
        return FALSE;
    }
    line[strcspn(line, "\r\n")] = '\0';
    return HttpStatus_Parse(line, &status) && status >= 200 && status < 300;
}

/* Same as wait_for(), but also returns 0 when a successful answer arrives at
 * the other socket. */
static int
wait_beside(HttpConnection *connection, short events, ClockMs deadline)
{
    struct pollfd fds[] = {{.fd = connection->fd, .events = events},
                           {.fd = connection->other_fd, .events = POLLIN}};
    ClockMs left = deadline - Clock_Now();

    while (left > 0) {
        if (poll(fds, G_N_ELEMENTS(fds), (int)MIN(left, G_MAXINT)) < 0 &&
            errno != EINTR) {
            return POLLERR;
        }
        if (fds[0].revents != 0) {
            return fds[0].revents;
        }
        if (fds[1].revents != 0) {
            connection->yielded = has_success(connection->other_fd);
            if (connection->yielded) {
                return 0;
            }
            connection->other_fd = -1;
            fds[1] = (struct pollfd){.fd = -1};
        }
        left = deadline - Clock_Now();
    }
    return 0;
}

/* Same as wait_for(), but also returns 0 if the soft timeout expires and
 * give_up() returns TRUE. What arrived while give_up() ran is read, also if it
 * lasted beyond the deadline. */
static int
wait_with_soft_timeout(HttpConnection *connection, short events,
                       ClockMs deadline)
{
    const HttpSoftTimeout *soft_timeout = connection->soft_timeout;
    int ready;

    if (connection->other_fd >= 0) {
        return wait_beside(connection, events, deadline);
    }
    if (soft_timeout == NULL || soft_timeout->until >= deadline) {
        return wait_for(connection->fd, events, deadline);
    }
    ready = wait_for(connection->fd, events, soft_timeout->until);
    if (ready != 0) {
        return ready;
    }
    connection->soft_timeout = NULL;
    if (soft_timeout->give_up(soft_timeout->context)) {
        return 0;
    }
    ready = wait_for(connection->fd, events, deadline);
    return ready != 0 ? ready : poll_events(connection->fd, events);
}

/* Data that stays unacknowledged, or unanswered keep-alive probes, end the
 * connection: a device between the two hosts may have lost its state. */
static void
set_options(int fd, ClockMs unacked_timeout_ms)
{
    unsigned unacked_timeout = (unsigned)unacked_timeout_ms;
    int on = 1;
    int idle = PROBE_IDLE_S;
    int count = PROBE_COUNT;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout,
               sizeof(unacked_timeout));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
}

static Result
finish_connect(int fd, ClockMs deadline)
{
    int error = 0;
    socklen_t bytes = sizeof(error);

    if (wait_for(fd, POLLOUT, deadline) == 0) {
        return RESULT_CONNECT_FAILED;
    }
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &bytes) != 0 ||
        error != 0) {
        return RESULT_CONNECT_FAILED;
    }
    return RESULT_OK;
}

/* Whether this process or host lacks something, whatever the peer does. */
static gboolean
is_own_shortage(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS ||
           error == ENOMEM || error == EADDRNOTAVAIL;
}

Result
HttpConnection_Open(const struct sockaddr_in *address, ClockMs deadline,
                    ClockMs unacked_timeout_ms, HttpConnection **connection)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    Result result = RESULT_OK;

    if (fd < 0) {
        return is_own_shortage(errno) ? RESULT_OVERLOADED
                                      : RESULT_CONNECT_FAILED;
    }
    set_options(fd, unacked_timeout_ms);
    if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) != 0) {
        result = errno == EINPROGRESS     ? finish_connect(fd, deadline)
                 : is_own_shortage(errno) ? RESULT_OVERLOADED
                                          : RESULT_CONNECT_FAILED;
    }
    if (result != RESULT_OK) {
        close(fd);
        return result;
    }
    *connection = g_new0(HttpConnection, 1);
    (*connection)->fd = fd;
    (*connection)->other_fd = -1;
    return RESULT_OK;
}

void
HttpConnection_Close(HttpConnection *connection)
{
    if (connection != NULL) {
        close(connection->fd);
        g_free(connection);
    }
}

int
HttpConnection_Fd(const HttpConnection *connection)
{
    return connection->fd;
}

void
HttpConnection_SetSoftTimeout(HttpConnection *connection,
                              const HttpSoftTimeout *soft_timeout)
{
    connection->soft_timeout = soft_timeout;
}

void
HttpConnection_SetOther(HttpConnection *connection, int fd)
{
    connection->other_fd = fd;
}

gboolean
HttpConnection_HasYielded(const HttpConnection *connection)
{
    return connection->yielded;
}

Result
HttpConnection_Send(HttpConnection *connection, const char *bytes,
                    size_t length, ClockMs deadline, gboolean *complete)
{
    size_t done = 0;
    ssize_t written;
    int events;

    *complete = FALSE;
    while (done < length) {
        written = send(connection->fd, bytes + done, length - done,
                       MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written > 0) {
            done += (size_t)written;
            continue;
        }
        if (written < 0 && errno != EAGAIN && errno != EINTR) {
            return RESULT_ANSWER_LOST;
        }
        events =
            wait_with_soft_timeout(connection, POLLIN | POLLOUT, deadline);
        if (events == 0) {
            return RESULT_DEADLINE_EXPIRED;
        }
        if (events & POLLIN) {
            return RESULT_OK;
        }
    }
    *complete = TRUE;
    return RESULT_OK;
}

/* Reads more bytes and appends them to the unread ones. */
static ReadState
fill(HttpConnection *connection, ClockMs deadline)
{
    ssize_t length;

    if (connection->first > 0) {
        memmove(connection->buffer, connection->buffer + connection->first,
                connection->last - connection->first);
        connection->last -= connection->first;
        connection->first = 0;
    }
    if (connection->last == READ_BYTES) {
        return READ_RESET; /* line longer than the buffer */
    }
    for (;;) {
        length = recv(connection->fd, connection->buffer + connection->last,
                      READ_BYTES - connection->last, MSG_DONTWAIT);
        if (length > 0) {
            connection->last += (size_t)length;
            return READ_DATA;
        }
        if (length == 0) {
            return READ_CLOSED;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return READ_RESET;
        }
        if (wait_with_soft_timeout(connection, POLLIN, deadline) == 0) {
            return READ_EXPIRED;
        }
    }
}

/* Reads a line and removes its line break; *line is valid until the next
 * read. */
static ReadState
read_line(HttpConnection *connection, ClockMs deadline, char **line)
{
    ReadState state = READ_DATA;
    char *start;
    char *end;

    for (;;) {
        start = connection->buffer + connection->first;
        end = memchr(start, '\n', connection->last - connection->first);
        if (end != NULL) {
            break;
        }
        state = fill(connection, deadline);
        if (state != READ_DATA) {
            return state;
        }
    }
    if (memchr(start, '\0', (size_t)(end - start)) != NULL) {
        return READ_RESET; /* the rest of the line would be lost */
    }
    connection->first = (size_t)(end - connection->buffer) + 1;
    if (end > start && end[-1] == '\r') {
        end--;
    }
    *end = '\0';
    *line = start;
    return READ_DATA;
}

/* Whether the name consists of the characters that RFC 9110, section 5.1,
 * allows. A header such as "Content-Length : 5" must not go unnoticed: without
 * it, the body would end with the connection. */
static gboolean
is_header_name(const char *name)
{
    if (name[0] == '\0') {
        return FALSE;
    }
    for (; *name != '\0'; name++) {
        if (!g_ascii_isalnum(*name) &&
            strchr("!#$%&'*+-.^_`|~", *name) == NULL) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
read_headers(HttpConnection *connection, ClockMs deadline,
             HttpHeaders *headers, ReadState *state)
{
    size_t bytes = 0;
    char *line;
    char *colon;

    for (int i = 0; i < MAX_HEADER_LINES; i++) {
        *state = read_line(connection, deadline, &line);
        if (*state != READ_DATA) {
            return FALSE;
        }
        if (line[0] == '\0') {
            return TRUE;
        }
        bytes += strlen(line);
        colon = strchr(line, ':');
        if (bytes > MAX_HEAD_BYTES || colon == NULL ||
            HttpStatus_BeginsWithin(line)) {
            return FALSE;
        }
        *colon = '\0';
        if (!is_header_name(line)) {
            return FALSE;
        }
        HttpHeaders_Add(headers, line, g_strstrip(colon + 1));
    }
    return FALSE;
}

/* Whether the answer can be an interim one: it has no body, and it is not 101,
 * since no request asks for another protocol. */
static gboolean
is_interim(const HttpAnswer *answer)
{
    const char *length = HttpHeaders_Get(&answer->headers, "Content-Length");

    return answer->status != 101 &&
           (length == NULL || strcmp(length, "0") == 0) &&
           HttpHeaders_Get(&answer->headers, "Transfer-Encoding") == NULL;
}

/* Reads status line and headers; discards interim (1xx) answers. */
static gboolean
read_head(HttpConnection *connection, ClockMs deadline, HttpAnswer *answer,
          ReadState *state)
{
    char *line;
    int interim = 0;

    do {
        if (interim++ > MAX_INTERIM_ANSWERS) {
            return FALSE;
        }
        HttpHeaders_Clear(&answer->headers);
        *state = read_line(connection, deadline, &line);
        if (*state != READ_DATA || !HttpStatus_Parse(line, &answer->status) ||
            HttpStatus_BeginsWithin(line) ||
            !read_headers(connection, deadline, &answer->headers, state) ||
            (answer->status < 200 && !is_interim(answer))) {
            return FALSE;
        }
    } while (answer->status < 200);
    return TRUE;
}

/* A body that is being read. */
typedef struct Body {
    MemoryBuffer buffer;
    size_t max_bytes;
    ClockMs deadline;
    ClockMs stall_ms;       /* see HttpReadOptions */
    ClockMs progress_until; /* end of the present period */
    size_t progress_from;   /* length at its begin */
} Body;

/* Returns the time until which the next bytes of the body have to arrive. */
static ClockMs
next_deadline(Body *body)
{
    if (body->stall_ms == 0) {
        return body->deadline;
    }
    if (body->progress_until == 0 ||
        body->buffer.length >= body->progress_from + HTTP_PROGRESS_BYTES) {
        body->progress_from = body->buffer.length;
        body->progress_until = Clock_Now() + body->stall_ms;
    }
    return MAX(body->deadline, body->progress_until);
}

/* Moves up to `bytes` unread bytes into the body. */
static Result
take_unread(HttpConnection *connection, Body *body, size_t bytes)
{
    size_t part = MIN(bytes, connection->last - connection->first);

    if (part > body->max_bytes - body->buffer.length) {
        return RESULT_TOO_LARGE;
    }
    if (!MemoryBuffer_Append(&body->buffer,
                             connection->buffer + connection->first, part,
                             body->max_bytes)) {
        return RESULT_OVERLOADED;
    }
    connection->first += part;
    return RESULT_OK;
}

static Result
body_error(ReadState state)
{
    return state == READ_EXPIRED ? RESULT_DEADLINE_EXPIRED
                                 : RESULT_ANSWER_TRUNCATED;
}

static Result
read_bytes(HttpConnection *connection, Body *body, size_t bytes)
{
    size_t wanted = body->buffer.length + bytes;
    Result result = take_unread(connection, body, bytes);
    ReadState state;

    while (result == RESULT_OK && body->buffer.length < wanted) {
        state = fill(connection, next_deadline(body));
        result = state == READ_DATA ? take_unread(connection, body,
                                                  wanted - body->buffer.length)
                                    : body_error(state);
    }
    return result;
}

/* Parses hexadecimal digits, which may be followed by white space and by
 * extensions. */
static gboolean
parse_chunk_size(const char *line, guint64 *bytes)
{
    size_t digits = strspn(line, "0123456789abcdefABCDEF");
    const char *rest = line + digits;

    rest += strspn(rest, " \t");
    *bytes = g_ascii_strtoull(line, NULL, 16);
    return digits > 0 && (*rest == '\0' || *rest == ';');
}

static Result
read_chunks(HttpConnection *connection, Body *body)
{
    HttpHeaders trailers = {0};
    Result result;
    ReadState state;
    guint64 bytes;
    char *line;

    do {
        state = read_line(connection, next_deadline(body), &line);
        if (state != READ_DATA) {
            return body_error(state);
        }
        if (!parse_chunk_size(line, &bytes)) {
            return RESULT_ANSWER_TRUNCATED;
        }
        if (bytes > body->max_bytes - body->buffer.length) {
            return RESULT_TOO_LARGE;
        }
        if (bytes > 0) {
            result = read_bytes(connection, body, bytes);
            if (result != RESULT_OK) {
                return result;
            }
            state = read_line(connection, next_deadline(body), &line);
            if (state != READ_DATA || line[0] != '\0') {
                return body_error(state);
            }
        }
    } while (bytes > 0);
    if (!read_headers(connection, next_deadline(body), &trailers, &state)) {
        HttpHeaders_Clear(&trailers);
        return body_error(state);
    }
    HttpHeaders_Clear(&trailers);
    return RESULT_OK;
}

static Result
read_to_end(HttpConnection *connection, Body *body)
{
    ReadState state = READ_DATA;
    Result result = take_unread(connection, body, G_MAXSIZE);

    while (result == RESULT_OK) {
        state = fill(connection, next_deadline(body));
        if (state != READ_DATA) {
            connection->ended_body = state == READ_CLOSED;
            return state == READ_CLOSED ? RESULT_OK : body_error(state);
        }
        result = take_unread(connection, body, G_MAXSIZE);
    }
    return result;
}

static size_t
count_headers(const HttpHeaders *headers, const char *name)
{
    size_t count = 0;

    for (size_t i = 0; i < headers->count; i++) {
        count += g_ascii_strcasecmp(headers->items[i].name, name) == 0;
    }
    return count;
}

/* Returns the value of Content-Length: -1 if there is none, -2 if the values
 * differ or one is not a number. */
static int64_t
content_length(const HttpHeaders *headers)
{
    int64_t length = -1;
    guint64 value;

    for (size_t i = 0; i < headers->count; i++) {
        if (g_ascii_strcasecmp(headers->items[i].name, "Content-Length") !=
            0) {
            continue;
        }
        if (!g_ascii_string_to_unsigned(headers->items[i].value, 10, 0,
                                        G_MAXINT64, &value, NULL) ||
            (length >= 0 && length != (int64_t)value)) {
            return -2;
        }
        length = (int64_t)value;
    }
    return length;
}

/* Takes the memory for a body of known length. If there is none now, waits for
 * bodies that are being read or held; meanwhile the sender's bytes fill its
 * connection and then stop. */
static Result
reserve(HttpConnection *connection, Body *body, size_t length)
{
    ClockMs now = Clock_Now();
    ClockMs until = MIN(next_deadline(body), now + MEMORY_WAIT_MS);
    ClockMs deadline;
    int events;

    if (connection->soft_timeout != NULL) {
        until = MIN(until, connection->soft_timeout->until);
    }
    while (!MemoryBuffer_Reserve(&body->buffer, length)) {
        now = Clock_Now();
        if (now >= until || connection->yielded ||
            !MemoryLease_CouldTake(&body->buffer.lease, length + 1)) {
            return RESULT_OVERLOADED;
        }
        deadline = MIN(until, now + MEMORY_POLL_MS);
        events = connection->other_fd >= 0
                     ? wait_beside(connection, 0, deadline)
                     : wait_for(connection->fd, 0, deadline);
        if (events != 0) {
            return RESULT_ANSWER_TRUNCATED;
        }
    }
    return RESULT_OK;
}

static Result
read_body(HttpConnection *connection, const HttpReadOptions *options,
          const HttpAnswer *answer, Body *body, gboolean *reusable)
{
    const char *encoding =
        HttpHeaders_Get(&answer->headers, "Transfer-Encoding");
    int64_t length = content_length(&answer->headers);
    Result result;

    if (answer->status == 204 || answer->status == 304 || options->no_body) {
        return RESULT_OK;
    }
    if (length == -2 || (encoding != NULL && length >= 0)) {
        return RESULT_ANSWER_TRUNCATED;
    }
    if (encoding != NULL) {
        return g_ascii_strcasecmp(encoding, "chunked") == 0 &&
                       count_headers(&answer->headers, "Transfer-Encoding") ==
                           1
                   ? read_chunks(connection, body)
                   : RESULT_ANSWER_TRUNCATED;
    }
    if (length < 0) {
        *reusable = FALSE;
        return options->allow_unframed ? read_to_end(connection, body)
                                       : RESULT_ANSWER_TRUNCATED;
    }
    if ((uint64_t)length > options->max_body_bytes) {
        return RESULT_TOO_LARGE;
    }
    result = reserve(connection, body, (size_t)length);
    return result == RESULT_OK ? read_bytes(connection, body, (size_t)length)
                               : result;
}

/* Whether a Connection header has "close" among its options. */
static gboolean
has_connection_close(const HttpAnswer *answer)
{
    for (size_t i = 0; i < answer->headers.count; i++) {
        const char *option = answer->headers.items[i].value;
        size_t length;

        if (g_ascii_strcasecmp(answer->headers.items[i].name, "Connection") !=
            0) {
            continue;
        }
        for (; *option != '\0'; option += length) {
            option += strspn(option, ", \t");
            length = strcspn(option, ", \t");
            if (length == strlen("close") &&
                g_ascii_strncasecmp(option, "close", length) == 0) {
                return TRUE;
            }
        }
    }
    return FALSE;
}

Result
HttpConnection_ReadAnswer(HttpConnection *connection,
                          const HttpReadOptions *options, ClockMs deadline,
                          HttpAnswer *answer, gboolean *reusable)
{
    ReadState state = READ_DATA;
    Body body = {.max_bytes = options->max_body_bytes,
                 .deadline = deadline,
                 .stall_ms = options->stall_ms};
    Result result;

    *reusable = FALSE;
    if (!read_head(connection, deadline, answer, &state)) {
        return state == READ_EXPIRED ? RESULT_DEADLINE_EXPIRED
                                     : RESULT_ANSWER_LOST;
    }
    if (options->transfer != NULL) {
        options->transfer->head_at = Clock_Now();
        options->transfer->expected_bytes = content_length(&answer->headers);
        if (options->transfer->begun != NULL &&
            !options->transfer->begun(options->transfer->context,
                                      answer->status,
                                      options->transfer->expected_bytes)) {
            return RESULT_TOO_LARGE;
        }
    }
    *reusable = !has_connection_close(answer);
    MemoryBuffer_Init(&body.buffer, options->memory, MEMORY_ANSWERS_READ,
                      options->sender);
    result = read_body(connection, options, answer, &body, reusable);
    if (options->transfer != NULL) {
        options->transfer->received_bytes = body.buffer.length;
    }
    if (result != RESULT_OK) {
        *reusable = FALSE;
        MemoryBuffer_Clear(&body.buffer);
        return result;
    }
    if (body.buffer.length == 0) {
        MemoryBuffer_Clear(&body.buffer);
        HttpAnswer_SetBody(answer, NULL, 0);
        return result;
    }
    answer->body_bytes = body.buffer.length;
    answer->body = MemoryBuffer_Steal(&body.buffer, &answer->lease);
    return result;
}

void
HttpConnection_NoteId(HttpConnection *connection, const char *id)
{
    connection->ids[connection->id_count++ % MAX_IDS] = Rng_HashString(id);
}

gboolean
HttpConnection_HasCarried(const HttpConnection *connection, const char *id)
{
    uint64_t hash = Rng_HashString(id);

    for (unsigned i = 0; i < MIN(connection->id_count, MAX_IDS); i++) {
        if (connection->ids[i] == hash) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
HttpConnection_HasEndedBody(const HttpConnection *connection)
{
    return connection->ended_body;
}

gboolean
HttpConnection_IsIdle(const HttpConnection *connection)
{
    struct pollfd poll_fd = {.fd = connection->fd, .events = POLLIN};

    return connection->first == connection->last && poll(&poll_fd, 1, 0) == 0;
}
