/* Decoder for the announcements of backend servers. */
#include <jansson.h>
#include <string.h>

#include "daemon/daemon_internal.h"

static gboolean
copy_name(const json_t *body, const char *field, char *name)
{
    const char *text = json_string_value(json_object_get(body, field));

    return text != NULL && text[0] != '\0' &&
           g_strlcpy(name, text, OWNER_NAME_BYTES) < OWNER_NAME_BYTES;
}

static gboolean
read_server_state(const json_t *body, OwnerServerState *state)
{
    const char *text = json_string_value(json_object_get(body, "state"));

    if (g_strcmp0(text, "ready") == 0) {
        *state = OWNER_SERVER_READY;
    }
    else if (g_strcmp0(text, "draining") == 0) {
        *state = OWNER_SERVER_DRAINING;
    }
    else if (g_strcmp0(text, "leaving") == 0) {
        *state = OWNER_SERVER_LEAVING;
    }
    else {
        return FALSE;
    }
    return TRUE;
}

static gboolean
read_announcement(const json_t *body, OwnerAnnouncement *announcement)
{
    json_int_t slots = json_integer_value(json_object_get(body, "slots"));
    json_int_t port = json_integer_value(json_object_get(body, "port"));
    const char *address = json_string_value(json_object_get(body, "address"));
    char *text;
    gboolean parsed;

    if (!copy_name(body, "name", announcement->name) ||
        !copy_name(body, "service", announcement->service) ||
        !copy_name(body, "pool", announcement->pool) ||
        !copy_name(body, "session", announcement->session) ||
        !read_server_state(body, &announcement->state) || slots < 1 ||
        slots > 1000 || port < 1 || port > 65535 || address == NULL) {
        return FALSE;
    }
    announcement->slots = (unsigned)slots;
    text = g_strdup_printf("%s:%d", address, (int)port);
    parsed = HttpAddress_Parse(text, &announcement->address);
    g_free(text);
    return parsed;
}

gboolean
_Daemon_ReadAnnouncement(const char *body, size_t bytes,
                         OwnerAnnouncement *announcement)
{
    json_t *json = json_loadb(body, bytes, JSON_REJECT_DUPLICATES, NULL);
    gboolean is_valid;

    memset(announcement, 0, sizeof(*announcement));
    is_valid = json != NULL && read_announcement(json, announcement);
    json_decref(json);
    return is_valid;
}
