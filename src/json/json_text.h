/* JsonText: reads JSON that other programs wrote, part by part.
 *
 * A JSON library rejects a text as a whole if one part of it is invalid: a
 * number out of range, an invalid string, or too many levels of nesting. This
 * module finds the parts of a text without decoding them, so that each is
 * decoded by itself and an invalid one affects no other.
 *
 * Use:
 *  1. JsonText_FromBody() with the whole text.
 *  2. JsonText_Member() for a value of an object; JsonTextItems_Init() and
 *     JsonTextItems_Next() for the values of an array; JsonTextMembers_Init()
 *     and JsonTextMembers_Next() for the members of an object.
 *  3. JsonText_Decode() for each value that is needed.
 *
 * Errors: a value that is missing or whose end is not found is reported as
 * absent. The content of a value is checked by JsonText_Decode() only.
 *
 * Limits: no recursion and no allocation except in JsonText_Decode(), which
 * rejects more than JSON_TEXT_MAX_DEPTH levels. Names of members are compared
 * as they are written, so one with an escape sequence is not found.
 */
#ifndef JSON_JSON_TEXT_H
#define JSON_JSON_TEXT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* Maximum number of nested arrays and objects in a decoded value. */
#define JSON_TEXT_MAX_DEPTH 32

/* A part of a text, which has to stay valid; not terminated. */
typedef struct JsonText {
    const char *start;
    size_t bytes;
} JsonText;

typedef struct JsonTextItems {
    const char *next;
    const char *end;
    gboolean
        is_broken; /* array or object is not closed; set by the last _Next() */
} JsonTextItems;

/* Returns FALSE unless the body is one object or array, as far as brackets and
 * quotes tell. */
gboolean JsonText_FromBody(const char *body, size_t bytes, JsonText *text);

/* Finds the value of a member, of the last one if several have the name. */
gboolean JsonText_Member(JsonText object, const char *name, JsonText *value);

/* An absent or other value than an array has no items. */
void JsonTextItems_Init(JsonTextItems *items, JsonText array);
gboolean JsonTextItems_Next(JsonTextItems *items, JsonText *value);

/* The members of an object, in the same way; the name is a text with quotes.
 * Any other value has none. */
void JsonTextMembers_Init(JsonTextItems *members, JsonText object);
gboolean JsonTextMembers_Next(JsonTextItems *members, JsonText *name,
                              JsonText *value);

/* Decodes a value of any type. Returns NULL if it is invalid, nested too
 * deeply, or names a member twice. */
json_t *JsonText_Decode(JsonText text);

/* Reads an integer. Returns FALSE, and leaves the result as it is, unless the
 * value is an integer from `min` to `max`. */
gboolean Json_ReadInteger(const json_t *value, int64_t min, int64_t max,
                          int64_t *result);

#endif
