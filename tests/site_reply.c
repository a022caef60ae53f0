/* Answers of a site: the body that a backend server sends, and what a caller
 * reads from a connection. */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "site.h"

GString *
_Site_ReadToEnd(int fd, ClockMs timeout_ms)
{
    struct timeval limit = {.tv_sec = timeout_ms / 1000};
    GString *text = g_string_new(NULL);
    char buffer[2000];
    ssize_t length;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    while ((length = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
        g_string_append_len(text, buffer, length);
    }
    return text;
}

SiteReply
_Site_ParseReply(const char *text)
{
    SiteReply reply = {.result = RESULT_ANSWER_LOST};
    const char *value = strstr(text, "Retry-After: ");

    if (sscanf(text, "HTTP/1.1 %d ", &reply.status) == 1 &&
        strstr(text, "\r\n\r\n") != NULL) {
        reply.result = RESULT_OK;
    }
    reply.is_signed = strstr(text, "Response-Signature: ") != NULL;
    if (value != NULL) {
        (void)sscanf(value, "Retry-After: %31s", reply.retry_after);
    }
    return reply;
}

void
_Site_SetBody(HttpAnswer *answer, const char *id, const char *path)
{
    const char *bytes = strstr(path, "/bytes-");
    int count = bytes ? atoi(bytes + strlen("/bytes-")) : 0;
    char *body = g_strdup_printf("%-*s", count, id);

    HttpAnswer_SetBody(answer, body, strlen(body));
    g_free(body);
}
