#include "json/json_text.h"

#include <string.h>

static gboolean
is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static const char *
skip_space(const char *at, const char *end)
{
    while (at < end && is_space(*at)) {
        at++;
    }
    return at;
}

/* Returns the end of the string that starts at the quote; NULL if there is
 * none. */
static const char *
skip_string(const char *at, const char *end)
{
    for (at++; at < end; at++) {
        if (*at == '\\' && at + 1 < end) {
            at++;
        }
        else if (*at == '"') {
            return at + 1;
        }
    }
    return NULL;
}

/* Returns the end of the value at `at`, NULL if it has none. Sets `depth` to
 * its levels of nesting. */
static const char *
skip_value(const char *at, const char *end, size_t *depth)
{
    size_t open = 0;

    *depth = 0;
    while (at != NULL && at < end) {
        if (*at == '"') {
            at = skip_string(at, end);
        }
        else if (*at == '{' || *at == '[') {
            open++;
            *depth = MAX(*depth, open);
            at++;
        }
        else if (open == 0) {
            /* A number or a literal. */
            const char *start = at;

            while (at < end && !is_space(*at) &&
                   strchr(",:]}\"", *at) == NULL) {
                at++;
            }
            return at > start ? at : NULL;
        }
        else {
            open -= *at == '}' || *at == ']';
            at++;
        }
        if (open == 0) {
            return at;
        }
    }
    return NULL;
}

gboolean
JsonText_FromBody(const char *body, size_t bytes, JsonText *text)
{
    const char *start;
    const char *after;
    const char *end;
    size_t depth;

    *text = (JsonText){0};
    if (bytes == 0) {
        return FALSE;
    }
    end = body + bytes;
    start = skip_space(body, end);
    if (start == end || (*start != '{' && *start != '[')) {
        return FALSE;
    }
    after = skip_value(start, end, &depth);
    if (after == NULL || skip_space(after, end) != end) {
        return FALSE;
    }
    *text = (JsonText){.start = start, .bytes = (size_t)(after - start)};
    return TRUE;
}

/* Reads the value at *at and the comma behind it. Returns FALSE if there is no
 * value. */
static gboolean
next_value(const char **at, const char *end, JsonText *value)
{
    const char *start = skip_space(*at, end);
    size_t depth;
    const char *after = skip_value(start, end, &depth);

    if (after == NULL) {
        return FALSE;
    }
    *value = (JsonText){.start = start, .bytes = (size_t)(after - start)};
    after = skip_space(after, end);
    *at = after < end && *after == ',' ? after + 1 : after;
    return TRUE;
}

void
JsonTextMembers_Init(JsonTextItems *members, JsonText object)
{
    *members = (JsonTextItems){0};
    if (object.bytes >= 2 && object.start[0] == '{') {
        members->next = object.start + 1;
        members->end = object.start + object.bytes;
    }
}

gboolean
JsonTextMembers_Next(JsonTextItems *members, JsonText *name, JsonText *value)
{
    const char *end = members->end;
    const char *at = skip_space(members->next, end);
    const char *after;

    if (at == end || *at != '"') {
        members->is_broken = end != NULL && (at + 1 != end || *at != '}');
        return FALSE;
    }
    members->is_broken = TRUE;
    after = skip_string(at, end);
    if (after == NULL) {
        return FALSE;
    }
    *name = (JsonText){.start = at, .bytes = (size_t)(after - at)};
    at = skip_space(after, end);
    if (at == end || *at != ':') {
        return FALSE;
    }
    members->next = at + 1;
    members->is_broken = !next_value(&members->next, end, value);
    return !members->is_broken;
}

gboolean
JsonText_Member(JsonText object, const char *name, JsonText *value)
{
    size_t name_bytes = strlen(name);
    gboolean found = FALSE;
    JsonTextItems members;
    JsonText key;
    JsonText content;

    *value = (JsonText){0};
    JsonTextMembers_Init(&members, object);
    while (JsonTextMembers_Next(&members, &key, &content)) {
        if (key.bytes == name_bytes + 2 &&
            memcmp(key.start + 1, name, name_bytes) == 0) {
            *value = content;
            found = TRUE;
        }
    }
    return found;
}

void
JsonTextItems_Init(JsonTextItems *items, JsonText array)
{
    *items = (JsonTextItems){0};
    if (array.bytes >= 2 && array.start[0] == '[') {
        items->next = array.start + 1;
        items->end = array.start + array.bytes;
    }
}

gboolean
JsonTextItems_Next(JsonTextItems *items, JsonText *value)
{
    const char *at = skip_space(items->next, items->end);

    if (at == items->end || *at == ']') {
        items->is_broken = items->end != NULL && at + 1 != items->end;
        return FALSE;
    }
    items->next = at;
    if (!next_value(&items->next, items->end, value)) {
        items->is_broken = TRUE;
        return FALSE;
    }
    return TRUE;
}

json_t *
JsonText_Decode(JsonText text)
{
    size_t depth;

    if (text.bytes == 0 ||
        skip_value(text.start, text.start + text.bytes, &depth) == NULL ||
        depth > JSON_TEXT_MAX_DEPTH) {
        return NULL;
    }
    return json_loadb(text.start, text.bytes,
                      JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
}

gboolean
Json_ReadInteger(const json_t *value, int64_t min, int64_t max,
                 int64_t *result)
{
    int64_t number = json_integer_value(value);

    if (!json_is_integer(value) || number < min || number > max) {
        return FALSE;
    }
    *result = number;
    return TRUE;
}
