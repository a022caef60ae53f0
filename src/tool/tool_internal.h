/* Types shared by the files of the operators' tool. */
#ifndef TOOL_TOOL_INTERNAL_H
#define TOOL_TOOL_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "base/result.h"
#include "http/http_client.h"
#include "store/store.h"

#define TOOL_MAX_ADMINS 64

typedef struct Tool {
    /* Options that stand before the command. */
    const char *store;       /* addresses, separated by commas */
    const char *secret_file; /* NULL: no call that needs the secret */
    const char *admins[TOOL_MAX_ADMINS];
    unsigned admin_count;
    gboolean json;
    gboolean watch;
    gboolean dry_run;
    const char *who;
    const char *why;

    char *secret;
    HttpClient *client;
} Tool;

/* Each command gets the words after its name, and returns an exit code. */
typedef int (*ToolCommand)(Tool *tool, int count, char **words);

int Tool_Apply(Tool *tool, int count, char **words);
int Tool_Check(Tool *tool, int count, char **words);
int Tool_TicketList(Tool *tool, int count, char **words);
int Tool_TicketShow(Tool *tool, int count, char **words);
int Tool_KeyHash(Tool *tool, int count, char **words);
int Tool_KeyGrant(Tool *tool, int count, char **words);
int Tool_KeyWithdraw(Tool *tool, int count, char **words);
int Tool_Status(Tool *tool, int count, char **words);
int Tool_Explain(Tool *tool, int count, char **words);
int Tool_Drain(Tool *tool, int count, char **words);
int Tool_Undrain(Tool *tool, int count, char **words);
int Tool_HostRetire(Tool *tool, int count, char **words);
int Tool_Counters(Tool *tool, int count, char **words);

/* Prints the message and returns the result's exit code. */
int _Tool_Fail(Result result, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Opens the store named by the options; NULL after a message. */
Store *_Tool_OpenStore(const Tool *tool);

/* Calls one daemon's admin port. `body` may be NULL for GET; a call with a
 * body is signed if the tool has the secret. */
Result _Tool_Call(Tool *tool, const char *admin, const char *method,
                  const char *target, const char *body, HttpAnswer *answer);

/* 0, or the exit code after a message if no daemon was given. */
int _Tool_RequireAdmin(const Tool *tool);

/* Reads the status of each daemon; an error stands as {"admin","error"}. */
json_t *_Tool_ReadStatus(Tool *tool);

/* Sends a signed call to every daemon of the options and prints what each
 * answered; 0 if at least `needed` of them took it. */
int _Tool_CallAll(Tool *tool, const char *target, json_t *body,
                  unsigned needed);

#endif
