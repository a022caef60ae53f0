/* HttpStatus: status lines and status codes of answers.
 *
 * Use: HttpStatus_Parse() for the first line of an answer,
 * HttpStatus_BeginsWithin() for each line of its head, HttpStatus_IsFinal()
 * for a code that is about to be sent.
 *
 * Errors and limits: none; pure functions.
 */
#ifndef HTTP_HTTP_STATUS_H
#define HTTP_HTTP_STATUS_H

#include <glib.h>

/* Parses "HTTP/1.x NNN" with a status of 100 to 599, followed by a space or
 * the end of the line; FALSE for anything else. */
gboolean HttpStatus_Parse(const char *line, int *status);

/* Whether another answer begins within the line, which is not empty: the head
 * before it was cut, and the lines that follow belong to the other answer. A
 * Via header may hold a version and an address; only a valid status counts
 * there. */
gboolean HttpStatus_BeginsWithin(const char *line);

/* Whether an answer to a request may have the status: 200 to 599. */
gboolean HttpStatus_IsFinal(int status);

#endif
