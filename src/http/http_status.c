#include "http/http_status.h"

#include <string.h>

gboolean
HttpStatus_Parse(const char *line, int *status)
{
    guint64 number;
    char digits[4] = {0};

    if (strncmp(line, "HTTP/1.", 7) != 0 || !g_ascii_isdigit(line[7]) ||
        line[8] != ' ') {
        return FALSE;
    }
    g_strlcpy(digits, line + 9, sizeof(digits));
    if (!g_ascii_string_to_unsigned(digits, 10, 100, 599, &number, NULL) ||
        (line[12] != ' ' && line[12] != '\0')) {
        return FALSE;
    }
    *status = (int)number;
    return TRUE;
}

/* Whether a status line begins at the version within the line, with a status
 * of any form. Text may name a version, too, but has no number behind it, and
 * a separator before it. */
static gboolean
begins_answer(const char *version)
{
    const char *rest = version + strlen("HTTP/1.1");
    int status;

    if (HttpStatus_Parse(version, &status)) {
        return TRUE;
    }
    if (!g_ascii_isdigit(version[7]) || (rest[0] != ' ' && rest[0] != '\0')) {
        return FALSE;
    }
    return g_ascii_isalnum(version[-1]) ||
           (rest[0] == ' ' && (rest[1] == '\0' || strchr(" +-", rest[1]) ||
                               g_ascii_isdigit(rest[1])));
}

gboolean
HttpStatus_BeginsWithin(const char *line)
{
    gboolean is_via = g_ascii_strncasecmp(line, "Via:", 4) == 0;
    const char *start = strstr(line + 1, "HTTP/1.");
    int status;

    while (start != NULL && !(is_via ? HttpStatus_Parse(start, &status)
                                     : begins_answer(start))) {
        start = strstr(start + 1, "HTTP/1.");
    }
    return start != NULL;
}

gboolean
HttpStatus_IsFinal(int status)
{
    return status >= 200 && status <= 599;
}
