/* The functions with which handlers read a request, and the standard
 * refusal. */
#include <jansson.h>
#include <string.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/log.h"
#include "http/http_server_private.h"
#include "http/http_status.h"

void
HttpAnswer_SetRefusal(HttpAnswer *answer, Result result, RunState run,
                      const char *request_id, const char *message)
{
    json_t *body = json_pack("{s:i, s:s, s:s, s:s, s:s}", "code", (int)result,
                             "name", Result_Name(result), "message",
                             message ? message : Result_Text(result), "run",
                             Result_RunName(run), "request_id",
                             request_id ? request_id : "");
    char *text = json_dumps(body, JSON_COMPACT);

    HttpAnswer_SetJson(answer, Result_HttpStatus(result), g_strdup(text));
    free(text);
    json_decref(body);
    HttpHeaders_AddNumber(&answer->headers, "Radishknot-Result", (int)result);
    HttpHeaders_Add(&answer->headers, "Radishknot-Run", Result_RunName(run));
    if (request_id != NULL) {
        HttpHeaders_Add(&answer->headers, "Radishknot-Request-Id", request_id);
    }
}

void
_HttpAnswer_ReplaceOddStatus(HttpAnswer *answer)
{
    if (!HttpStatus_IsFinal(answer->status)) {
        Counter_Add(COUNTER_ANSWERS_ODD_STATUS, 1);
        Log_Event(LOG_ANSWER_ODD_STATUS, "status=%d", answer->status);
        HttpAnswer_Clear(answer);
        HttpAnswer_SetRefusal(answer, RESULT_ANSWER_MISMATCH, RUN_UNKNOWN,
                              NULL, NULL);
    }
}

void
_HttpServer_WakeWatcher(HttpServer *server)
{
    uint64_t one = 1;

    (void)!write(server->watcher_wake, &one, sizeof(one));
}

const char *
HttpRequest_Method(const HttpRequest *request)
{
    return request->method;
}

const char *
HttpRequest_Path(const HttpRequest *request)
{
    return request->target;
}

const char *
HttpRequest_Query(const HttpRequest *request)
{
    return request->query;
}

char *
HttpRequest_Target(const HttpRequest *request)
{
    return request->query[0] != '\0'
               ? g_strconcat(request->target, "?", request->query, NULL)
               : g_strdup(request->target);
}

const HttpHeaders *
HttpRequest_Headers(const HttpRequest *request)
{
    return &request->headers;
}

const char *
HttpRequest_Body(const HttpRequest *request, size_t *bytes)
{
    *bytes = request->body.length;
    return request->body.bytes ? request->body.bytes : "";
}

ClockMs
HttpRequest_Arrived(const HttpRequest *request)
{
    return request->arrived;
}

char *
HttpRequest_Argument(const HttpRequest *request, const char *name)
{
    char **parts = g_strsplit(request->query, "&", 0);
    size_t length = strlen(name);
    char *value = NULL;

    for (char **part = parts; *part != NULL && value == NULL; part++) {
        if (strncmp(*part, name, length) == 0 && (*part)[length] == '=') {
            value = g_uri_unescape_string(*part + length + 1, NULL);
        }
    }
    g_strfreev(parts);
    return value;
}

void
HttpRequest_SetData(HttpRequest *request, void *data, GDestroyNotify free_data)
{
    pthread_mutex_lock(&request->server->lock);
    request->data = data;
    request->data_free = free_data;
    pthread_mutex_unlock(&request->server->lock);
}

void *
HttpRequest_Data(const HttpRequest *request)
{
    return request->data;
}

void
HttpRequest_SetDeadline(HttpRequest *request, ClockMs deadline)
{
    HttpServer *server = request->server;

    pthread_mutex_lock(&server->lock);
    if (request->deadline == CLOCK_NEVER && !request->answered) {
        server->deadlines++;
        _HttpServer_WakeWatcher(server);
    }
    request->deadline = deadline;
    pthread_mutex_unlock(&server->lock);
}

gboolean
HttpRequest_IsOver(const HttpRequest *request)
{
    gboolean over;

    pthread_mutex_lock(&request->server->lock);
    over = request->answered || request->disconnected;
    pthread_mutex_unlock(&request->server->lock);
    return over;
}

void
HttpRequest_OnDisconnect(HttpRequest *request, HttpDisconnectCallback callback,
                         void *context)
{
    pthread_mutex_lock(&request->server->lock);
    request->on_disconnect = callback;
    request->disconnect_context = context;
    if (request->disconnected && callback != NULL) {
        callback(context);
    }
    pthread_mutex_unlock(&request->server->lock);
}
