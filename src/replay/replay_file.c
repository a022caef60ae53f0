#include "replay/replay_file.h"

#include <jansson.h>
#include <string.h>

#include "base/result.h"

#define MAX_SERVICES 64
#define MAX_STREAMS 256
#define MAX_PHASES 256
#define MAX_SENDERS 512
#define MAX_SECONDS 3600
#define MAX_MS 3600000

struct ReplayFile {
    json_t *root; /* holds the names */
    GArray *services;
    GArray *streams;
    GArray *phases;
    Replay_desc desc;
};

static const char *const faults[REPLAY_FAULTS] = {
    "burst", "shed", "fail", "slow", "stall", "gone", "cold"};

static gboolean
fail(GError **error, const char *what, size_t index)
{
    return Result_SetError(error, RESULT_MALFORMED, "%s %zu is malformed",
                           what, index);
}

static gboolean
is_between(double value, double low, double high)
{
    return value >= low && value <= high;
}

static gboolean
find_service(const ReplayFile *file, const char *name, guint *place)
{
    for (guint i = 0; i < file->services->len; i++) {
        if (strcmp(g_array_index(file->services, ReplayService, i).name,
                   name) == 0) {
            *place = i;
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
find_stream(const json_t *streams, const char *name, guint *place)
{
    const json_t *item;
    size_t index;

    json_array_foreach(streams, index, item)
    {
        if (g_strcmp0(json_string_value(json_object_get(item, "name")),
                      name) == 0) {
            *place = (guint)index;
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
read_services(ReplayFile *file, json_t *list, GError **error)
{
    guint servers = 0;
    json_t *item;
    size_t index;

    json_array_foreach(list, index, item)
    {
        ReplayService service = {0};
        int count = 0;
        int slots = 0;

        if (json_unpack(item, "{s:s, s:i, s:i}", "name", &service.name,
                        "servers", &count, "slots", &slots) != 0 ||
            !is_between(count, 1, REPLAY_MAX_SERVERS) ||
            !is_between(slots, 1, 10000) ||
            (servers += (guint)count) > REPLAY_MAX_SERVERS) {
            return fail(error, "service", index);
        }
        service.servers = (guint)count;
        service.slots = (guint)slots;
        g_array_append_val(file->services, service);
    }
    return file->services->len > 0 && file->services->len <= MAX_SERVICES
               ? TRUE
               : fail(error, "list of services of length",
                      file->services->len);
}

static gboolean
read_stream(ReplayFile *file, json_t *list, json_t *item, ReplayStream *stream)
{
    const char *service = NULL;
    const char *called = NULL;
    json_int_t times[3] = {0};
    int senders = 0;
    int calls = 0;
    int idempotent = 0;

    if (json_unpack(item,
                    "{s:s, s:s, s:F, s:I, s:I, s:I, s?i, s?b, s?F, s?i, s?i, "
                    "s?s}",
                    "name", &stream->name, "service", &service, "per_s",
                    &stream->per_s, "service_ms", &times[0], "target_ms",
                    &times[1], "deadline_ms", &times[2], "priority",
                    &stream->priority, "idempotent", &idempotent, "size",
                    &stream->relative_size, "senders", &senders, "calls",
                    &calls, "called", &called) != 0 ||
        !find_service(file, service, &stream->service) ||
        (calls > 0 &&
         (called == NULL || !find_stream(list, called, &stream->called)))) {
        return FALSE;
    }
    stream->service_ms = times[0];
    stream->target_ms = times[1];
    stream->deadline_ms = times[2];
    stream->idempotent = idempotent != 0;
    stream->senders = (guint)senders;
    stream->calls = (guint)calls;
    return is_between(stream->per_s, 0, 100000) &&
           is_between((double)times[0], 1, MAX_MS) &&
           is_between((double)times[1], 1, MAX_MS) &&
           is_between((double)times[2], 1, MAX_MS) &&
           is_between(stream->relative_size, 0, 1e6) &&
           is_between(senders, 0, file->desc.senders) &&
           is_between(calls, 0, 16);
}

/* Whether following the calls from a stream never returns to one that was
 * passed. Needs all streams. */
static gboolean
calls_end(const ReplayFile *file, guint first)
{
    guint place = first;

    for (guint steps = 0; steps <= file->streams->len; steps++) {
        const ReplayStream *stream =
            &g_array_index(file->streams, ReplayStream, place);

        if (stream->calls == 0) {
            return TRUE;
        }
        place = stream->called;
    }
    return FALSE;
}

static gboolean
read_streams(ReplayFile *file, json_t *list, GError **error)
{
    json_t *item;
    size_t index;

    json_array_foreach(list, index, item)
    {
        ReplayStream stream = {0};

        if (index >= MAX_STREAMS || !read_stream(file, list, item, &stream)) {
            return fail(error, "stream", index);
        }
        g_array_append_val(file->streams, stream);
    }
    for (guint i = 0; i < file->streams->len; i++) {
        if (!calls_end(file, i)) {
            return fail(error, "circle of calls from stream", i);
        }
    }
    return file->streams->len > 0
               ? TRUE
               : fail(error, "list of streams of length", 0);
}

static gboolean
read_phase(const ReplayFile *file, json_t *item, ReplayPhase *phase)
{
    const char *fault = NULL;
    const char *service = NULL;
    json_int_t begin = 0;
    json_int_t end = 0;

    if (json_unpack(item, "{s:s, s:s, s:I, s:I, s?F, s?F}", "fault", &fault,
                    "service", &service, "begin_ms", &begin, "end_ms", &end,
                    "share", &phase->share, "value", &phase->value) != 0 ||
        !find_service(file, service, &phase->service)) {
        return FALSE;
    }
    phase->begin = begin;
    phase->end = end;
    while (phase->fault < REPLAY_FAULTS &&
           strcmp(faults[phase->fault], fault) != 0) {
        phase->fault++;
    }
    return phase->fault < REPLAY_FAULTS &&
           is_between((double)begin, 0, MAX_MS) &&
           is_between((double)end, (double)begin, MAX_MS) &&
           is_between(phase->share, 0, 1) && is_between(phase->value, 0, 1000);
}

static gboolean
read_phases(ReplayFile *file, json_t *list, GError **error)
{
    json_t *item;
    size_t index;

    json_array_foreach(list, index, item)
    {
        ReplayPhase phase = {0};

        if (index >= MAX_PHASES || !read_phase(file, item, &phase)) {
            return fail(error, "phase", index);
        }
        g_array_append_val(file->phases, phase);
    }
    return TRUE;
}

static gboolean
read_root(ReplayFile *file, GError **error)
{
    json_t *services = NULL;
    json_t *streams = NULL;
    json_t *phases = NULL;
    int regions = 1;
    int senders = 12;
    int attempts = 2;
    int seconds = 30;
    json_int_t seed = 1;

    if (json_unpack(
            file->root,
            "{s:o, s:o, s?o, s?i, s?i, s?i, s?i, s?F, s?F, s?F, s?F, s?I}",
            "services", &services, "streams", &streams, "phases", &phases,
            "regions", &regions, "senders", &senders, "attempts", &attempts,
            "seconds", &seconds, "retry_ratio", &file->desc.retry_ratio,
            "retry_slack", &file->desc.retry_slack, "cold_overage",
            &file->desc.cold_overage, "cold_slack", &file->desc.cold_slack,
            "seed", &seed) != 0 ||
        !is_between(regions, 1, 64) || !is_between(senders, 1, MAX_SENDERS) ||
        !is_between(attempts, 1, 16) || !is_between(seconds, 1, MAX_SECONDS) ||
        !is_between(file->desc.retry_ratio, 0, 10) ||
        !is_between(file->desc.retry_slack, 0, 1e6) ||
        !is_between(file->desc.cold_overage, 0, 100) ||
        !is_between(file->desc.cold_slack, 0, 1e6) || seed < 0) {
        return fail(error, "value of the object, or object", 1);
    }
    file->desc.regions = (guint)regions;
    file->desc.senders = (guint)senders;
    file->desc.attempts = (guint)attempts;
    file->desc.length_ms = (ClockMs)seconds * 1000;
    file->desc.seed = (guint64)seed;
    return read_services(file, services, error) &&
           read_streams(file, streams, error) &&
           read_phases(file, phases, error);
}

ReplayFile *
ReplayFile_Parse(const char *text, GError **error)
{
    ReplayFile *file = g_new0(ReplayFile, 1);
    json_error_t place;

    file->services = g_array_new(FALSE, FALSE, sizeof(ReplayService));
    file->streams = g_array_new(FALSE, FALSE, sizeof(ReplayStream));
    file->phases = g_array_new(FALSE, FALSE, sizeof(ReplayPhase));
    file->root = json_loads(text, JSON_REJECT_DUPLICATES, &place);
    if (file->root == NULL) {
        Result_SetError(error, RESULT_MALFORMED, "line %d: %s", place.line,
                        place.text);
    }
    if (file->root == NULL || !read_root(file, error)) {
        ReplayFile_Destroy(file);
        return NULL;
    }
    return file;
}

void
ReplayFile_Destroy(ReplayFile *file)
{
    if (file != NULL) {
        g_array_unref(file->services);
        g_array_unref(file->streams);
        g_array_unref(file->phases);
        json_decref(file->root);
        g_free(file);
    }
}

Replay_desc
ReplayFile_Describe(const ReplayFile *file, gboolean plain)
{
    Replay_desc desc = file->desc;

    desc.services = (const ReplayService *)file->services->data;
    desc.service_count = file->services->len;
    desc.streams = (const ReplayStream *)file->streams->data;
    desc.stream_count = file->streams->len;
    desc.phases = (const ReplayPhase *)file->phases->data;
    desc.phase_count = file->phases->len;
    desc.plain_queue = plain;
    desc.plain_budget = plain;
    desc.plain_return = plain;
    return desc;
}

void
ReplayFile_Print(const ReplayFile *file, const Replay *replay, GString *text)
{
    g_string_append(text,
                    "stream             asked in.time  late refused failed "
                    "expired returned retries   far held.ms\n");
    for (guint i = 0; i < file->streams->len; i++) {
        const ReplayOutcome *outcome = Replay_Outcome(replay, i);

        g_string_append_printf(
            text,
            "%-18s %5u %7u %5u %7u %6u %7u %8u %7u %5u %7" G_GINT64_FORMAT
            "\n",
            g_array_index(file->streams, ReplayStream, i).name, outcome->asked,
            outcome->in_time, outcome->late, outcome->refused, outcome->failed,
            outcome->expired, outcome->returned, outcome->retries,
            outcome->far, outcome->longest_ms);
    }
    for (guint i = 0; i < file->services->len; i++) {
        g_string_append_printf(
            text, "%s: %.2f of the limit of retries at most\n",
            g_array_index(file->services, ReplayService, i).name,
            Replay_BudgetUsage(replay, i));
    }
}
