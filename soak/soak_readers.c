/* Callers that read their answers slowly and send further requests meanwhile,
 * each at one host, on a connection for each answer. Checked:
 *  - an answer that has begun, and the answer to a request that has run,
 *    arrives whole, also from a host that is stopping.
 */
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

#define RECEIVE_BYTES 4096
#define PIECE_BYTES 2000
#define MIN_BYTES 9000
#define MAX_BYTES 50000
#define MAX_PAUSE_MS 60
#define MAX_WORK_MS 300
#define MAX_FURTHER 3
#define TIMEOUT_S 8

/* A caller reads its answer in less than this. */
#define MAX_READ_MS 2000

typedef struct Answer {
    GString *text; /* head and body */
    size_t length; /* of head and body; 0: the head is not complete */
} Answer;

static int
open_connection(int host)
{
    static const int receive_bytes = RECEIVE_BYTES;
    static const struct timeval timeout = {.tv_sec = TIMEOUT_S};
    struct sockaddr_in address = Site_EntryAddress(host);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
send_request(int fd, const char *id, uint64_t work_ms, uint64_t bytes)
{
    char text[400];

    g_snprintf(text, sizeof(text),
               "GET /open/work-%d/bytes-%d HTTP/1.1\r\n"
               "Host: " SITE_HOST_HEADER "\r\nAttempt-Id: %s\r\n"
               "Deadline-Ms: 6000\r\n\r\n",
               (int)work_ms, (int)bytes, id);
    (void)send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Appends to the answer; returns FALSE at its end or that of the connection.
 */
static gboolean
read_piece(int fd, Answer *answer)
{
    char bytes[PIECE_BYTES];
    ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
    const char *end;
    const char *length;

    g_string_append_len(answer->text, bytes, MAX(count, 0));
    end = strstr(answer->text->str, "\r\n\r\n");
    length = strstr(answer->text->str, "Content-Length: ");
    if (answer->length == 0 && end != NULL && length != NULL && length < end) {
        answer->length =
            (size_t)(end + 4 - answer->text->str) +
            g_ascii_strtoull(length + strlen("Content-Length: "), NULL, 10);
    }
    return count > 0 &&
           (answer->length == 0 || answer->text->len < answer->length);
}

static void
check_answer(Soak *soak, const Answer *answer, const char *id, int host,
             ClockMs sent)
{
    gboolean is_whole =
        answer->length > 0 && answer->text->len >= answer->length;
    char *details;

    if (!is_whole && (answer->text->len > 0 || Site_HasRun(soak->site, id))) {
        details = g_strdup_printf(
            "host=%d received=%zu length=%zu sent_ms=%" G_GINT64_FORMAT
            " stopping_ms=%" G_GINT64_FORMAT " now_ms=%" G_GINT64_FORMAT,
            host, answer->text->len, answer->length, sent,
            atomic_load(&soak->stopping_since[host]), Clock_Now());
        Soak_ReportViolation(soak, "an answer was cut", id, details);
        g_free(details);
    }
}

static void
read_one(Soak *soak, int host, const char *id, Rng *rng)
{
    Answer answer = {.text = g_string_new(NULL)};
    uint64_t bytes = MIN_BYTES + Rng_Below(rng, MAX_BYTES - MIN_BYTES);
    int pieces = (int)(bytes / PIECE_BYTES) + 1;
    int pause_ms =
        MIN((int)Rng_Below(rng, MAX_PAUSE_MS), MAX_READ_MS / (2 * pieces));
    int further = (int)Rng_Below(rng, MAX_FURTHER + 1);
    int further_at = (int)Rng_Below(rng, (uint64_t)pieces) - pieces / 3;
    ClockMs sent = Clock_Now();
    int fd = open_connection(host);

    if (fd >= 0) {
        send_request(fd, id, Rng_Below(rng, MAX_WORK_MS), bytes);
        for (int i = MIN(further_at, 0);; i++) {
            for (int n = 0; i == further_at && n < further; n++) {
                char *next = g_strdup_printf("%s-%d", id, n);

                send_request(fd, next, 0, 0);
                g_free(next);
            }
            if (i >= 0 && !read_piece(fd, &answer)) {
                break;
            }
            (void)poll(NULL, 0, pause_ms);
        }
        check_answer(soak, &answer, id, host, sent);
        close(fd);
    }
    g_string_free(answer.text, TRUE);
}

void *
Readers_Run(void *context)
{
    Caller *caller = context;
    Soak *soak = caller->soak;
    Rng rng;

    Rng_Seed(&rng, soak->seed * 1000 + 500 + (uint64_t)caller->number);
    for (int i = 0; !atomic_load(&soak->stopping); i++) {
        char *id = g_strdup_printf("reader-%d-%d", caller->number, i);

        read_one(soak, caller->number % soak->hosts, id, &rng);
        g_free(id);
        (void)poll(NULL, 0, (int)Rng_Below(&rng, 200));
    }
    return NULL;
}
