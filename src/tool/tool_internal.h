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
    /* Options given before the command. */
    const char *store;       /* addresses, separated by commas */
    const char *secret_file; /* NULL: calls that need a MAC fail */
    const char *admins[TOOL_MAX_ADMINS];
    unsigned admin_count;
    gboolean json;
    gboolean watch;
    gboolean dry_run;
    const char *who;
    const char *why;
    const char *request; /* HOST/PATH to explain; NULL: none */
    const char *method;  /* of this request; NULL: the daemon's default */
    const char *key_file;
    const char *bytes;
    const char *deadline_ms;

    char *secret;
    HttpClient *client;
} Tool;

/* Runs a command with the words after its name. Returns an exit code. */
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

/* The command "explain" with the option --request. */
int _Tool_ExplainRequest(Tool *tool);

int Tool_Drain(Tool *tool, int count, char **words);
int Tool_Undrain(Tool *tool, int count, char **words);
int Tool_HostRetire(Tool *tool, int count, char **words);
int Tool_Counters(Tool *tool, int count, char **words);
int Tool_Replay(Tool *tool, int count, char **words);
int Tool_Load(Tool *tool, int count, char **words);
int Tool_Odd(Tool *tool, int count, char **words);

/* Prints the message and returns the result's exit code. */
int _Tool_Fail(Result result, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Opens the store that the options name. Returns NULL after printing a
 * message if it fails. */
Store *_Tool_OpenStore(const Tool *tool);

/* Calls one daemon's admin port. `body` may be NULL for GET; a call with a
 * body is signed if the tool has the secret. */
Result _Tool_Call(Tool *tool, const char *admin, const char *method,
                  const char *target, const char *body, HttpAnswer *answer);

/* Returns 0 if a daemon was given. Otherwise prints a message and returns the
 * exit code. */
int _Tool_RequireAdmin(const Tool *tool);

/* Reads the status of each daemon. A daemon that failed to answer is returned
 * as {"admin","error"}. */
json_t *_Tool_ReadStatus(Tool *tool);

/* Sends a signed call to every daemon that the options name and prints each
 * answer. Returns 0 if at least `needed` of them accepted the call. */
int _Tool_CallAll(Tool *tool, const char *target, json_t *body,
                  unsigned needed);

#endif
