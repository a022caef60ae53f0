#include "settings/settings.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stddef.h>
#include <string.h>

#include "base/log.h"
#include "base/result.h"
#include "http/http_message.h"

typedef enum SettingKind {
    SETTING_TEXT,
    SETTING_LIST,
    SETTING_NAMES,
    SETTING_NUMBER,
    SETTING_TIME,
    SETTING_REAL
} SettingKind;

typedef struct SettingRow {
    const char *name;
    SettingKind kind;
    size_t offset;
    const char *form; /* expected form of a text, unit of a number */
    const char *description;
    const char *text_default;
    int64_t min;
    int64_t max;
    int64_t number_default;
    gboolean required;
    gboolean reload;
    double real_default;
} SettingRow;

#define TEXT_ROW(name, required, default_value, form, description) \
    {#name,                                                        \
     SETTING_TEXT,                                                 \
     offsetof(Settings, name),                                     \
     form,                                                         \
     description,                                                  \
     default_value,                                                \
     0,                                                            \
     0,                                                            \
     0,                                                            \
     required,                                                     \
     FALSE},
#define LIST_ROW(name, form, description) \
    {#name,                               \
     SETTING_LIST,                        \
     offsetof(Settings, name),            \
     form,                                \
     description,                         \
     "",                                  \
     0,                                   \
     0,                                   \
     0,                                   \
     FALSE,                               \
     FALSE},
#define NAMES_ROW(name, form, description) \
    {#name,                                \
     SETTING_NAMES,                        \
     offsetof(Settings, name),             \
     form,                                 \
     description,                          \
     "",                                   \
     0,                                    \
     0,                                    \
     0,                                    \
     FALSE,                                \
     FALSE},
#define NUMBER_ROW(name, unit, min, max, default_value, reload, description) \
    {#name,                                                                  \
     SETTING_NUMBER,                                                         \
     offsetof(Settings, name),                                               \
     unit,                                                                   \
     description,                                                            \
     "",                                                                     \
     min,                                                                    \
     max,                                                                    \
     default_value,                                                          \
     FALSE,                                                                  \
     reload},
#define TIME_ROW(name, min, max, default_value, description) \
    {#name, SETTING_TIME, offsetof(Settings, name),          \
     "ms",  description,  "",                                \
     min,   max,          default_value,                     \
     FALSE, FALSE},
#define REAL_ROW(name, unit, min, max, default_value, description) \
    {#name, SETTING_REAL, offsetof(Settings, name),                \
     unit,  description,  "",                                      \
     min,   max,          0,                                       \
     FALSE, FALSE,        default_value},
static const SettingRow rows[] = {SETTINGS_LIST(
    TEXT_ROW, LIST_ROW, NAMES_ROW, NUMBER_ROW, TIME_ROW, REAL_ROW)};

static const SettingRow *
find_row(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (strcmp(rows[i].name, name) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

static void *
field_of(const Settings *settings, const SettingRow *row)
{
    return (char *)settings + row->offset;
}

/* Checks that a name consists of letters, digits, dots and dashes. */
static gboolean
is_name(const char *text, size_t max_length)
{
    size_t length = strlen(text);

    return length >= 1 && length <= max_length &&
           strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789.-") == length;
}

static gboolean
is_text_valid(const SettingRow *row, const char *value)
{
    struct sockaddr_in socket_address;
    struct in_addr address;
    LogLevel level;

    if (strcmp(row->form, "numeric address:port") == 0) {
        return HttpAddress_Parse(value, &socket_address);
    }
    if (strcmp(row->name, "mode") == 0) {
        return strcmp(value, "fleet") == 0 || strcmp(value, "platform") == 0;
    }
    if (strcmp(row->name, "host") == 0) {
        return is_name(value, 63);
    }
    if (strcmp(row->name, "region") == 0 ||
        strcmp(row->name, "data_centre") == 0) {
        return is_name(value, 31);
    }
    if (strcmp(row->name, "address") == 0) {
        return inet_pton(AF_INET, value, &address) == 1;
    }
    if (strcmp(row->name, "fleet_secret") == 0) {
        return strlen(value) >= 16 && strlen(value) <= 255;
    }
    if (strcmp(row->name, "log_level") == 0) {
        return Log_LevelFromName(value, &level);
    }
    if (strcmp(row->name, "log_format") == 0) {
        return strcmp(value, "text") == 0 || strcmp(value, "json") == 0;
    }
    return TRUE;
}

static gboolean
read_list(SettingsAddresses *list, const json_t *value)
{
    const json_t *item;
    size_t index;

    if (!json_is_array(value) ||
        json_array_size(value) > SETTINGS_MAX_ADDRESSES) {
        return FALSE;
    }
    json_array_foreach(value, index, item)
    {
        if (!json_is_string(item) ||
            !HttpAddress_Parse(json_string_value(item),
                               &list->items[list->count])) {
            return FALSE;
        }
        list->count++;
    }
    return TRUE;
}

static gboolean
read_names(SettingsNames *names, const json_t *value)
{
    const json_t *item;
    size_t index;

    if (!json_is_array(value) || json_array_size(value) > SETTINGS_MAX_NAMES) {
        return FALSE;
    }
    json_array_foreach(value, index, item)
    {
        if (!json_is_string(item) ||
            !is_name(json_string_value(item), SETTINGS_NAME_BYTES - 1) ||
            Settings_IndexOf(names, json_string_value(item)) >= 0) {
            return FALSE;
        }
        g_strlcpy(names->items[names->count++], json_string_value(item),
                  SETTINGS_NAME_BYTES);
    }
    return TRUE;
}

/* Reads a whole number of milliseconds or a text such as "250ms" or "2.5s". */
static gboolean
read_time(const json_t *value, ClockMs *time)
{
    if (json_is_integer(value)) {
        *time = json_integer_value(value);
        return TRUE;
    }
    return json_is_string(value) &&
           Clock_ParseText(json_string_value(value), time);
}

static void
read_time_row(const SettingRow *row, const json_t *value, ClockMs *time,
              GString *errors)
{
    ClockMs read;

    if (read_time(value, &read) && read >= row->min && read <= row->max) {
        *time = read;
        return;
    }
    g_string_append_printf(errors,
                           "\n  $.%s: expected a time from %" G_GINT64_FORMAT
                           " to %" G_GINT64_FORMAT
                           " ms, as a number or as text with ms or s",
                           row->name, row->min, row->max);
}

static void
read_real_row(const SettingRow *row, const json_t *value, double *number,
              GString *errors)
{
    if (json_is_number(value) &&
        json_number_value(value) >= (double)row->min &&
        json_number_value(value) <= (double)row->max) {
        *number = json_number_value(value);
        return;
    }
    g_string_append_printf(errors,
                           "\n  $.%s: expected a number from %" G_GINT64_FORMAT
                           " to %" G_GINT64_FORMAT,
                           row->name, row->min, row->max);
}

static void
read_value(Settings *settings, const SettingRow *row, const json_t *value,
           GString *errors)
{
    char **text = field_of(settings, row);
    int64_t *number = field_of(settings, row);

    switch (row->kind) {
    case SETTING_TEXT:
        if (json_is_string(value) &&
            is_text_valid(row, json_string_value(value))) {
            g_free(*text);
            *text = g_strdup(json_string_value(value));
            return;
        }
        g_string_append_printf(errors, "\n  $.%s: expected %s", row->name,
                               row->form);
        return;
    case SETTING_LIST:
        if (!read_list(field_of(settings, row), value)) {
            g_string_append_printf(
                errors, "\n  $.%s: expected a list of at most %d of \"%s\"",
                row->name, SETTINGS_MAX_ADDRESSES, row->form);
        }
        return;
    case SETTING_NAMES:
        if (!read_names(field_of(settings, row), value)) {
            g_string_append_printf(
                errors,
                "\n  $.%s: expected a list of at most %d different names of "
                "%s",
                row->name, SETTINGS_MAX_NAMES, row->form);
        }
        return;
    case SETTING_NUMBER:
        if (json_is_integer(value) && json_integer_value(value) >= row->min &&
            json_integer_value(value) <= row->max) {
            *number = json_integer_value(value);
            return;
        }
        g_string_append_printf(errors,
                               "\n  $.%s: expected a whole number of %s from "
                               "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                               row->name, row->form, row->min, row->max);
        return;
    case SETTING_TIME:
        read_time_row(row, value, field_of(settings, row), errors);
        return;
    case SETTING_REAL:
        read_real_row(row, value, field_of(settings, row), errors);
        return;
    }
}

static void
set_defaults(Settings *settings)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].kind == SETTING_TEXT) {
            *(char **)field_of(settings, &rows[i]) =
                g_strdup(rows[i].text_default);
        }
        else if (rows[i].kind == SETTING_NUMBER ||
                 rows[i].kind == SETTING_TIME) {
            *(int64_t *)field_of(settings, &rows[i]) = rows[i].number_default;
        }
        else if (rows[i].kind == SETTING_REAL) {
            *(double *)field_of(settings, &rows[i]) = rows[i].real_default;
        }
    }
}

/* Checks that a list contains this host's own region or data centre. A list
 * that is missing from the file gets that name as its only item. */
static void
check_membership(SettingsNames *names, const char *list, const char *name,
                 GString *errors)
{
    if (names->count == 0) {
        g_strlcpy(names->items[names->count++], name, SETTINGS_NAME_BYTES);
    }
    if (Settings_IndexOf(names, name) < 0) {
        g_string_append_printf(errors,
                               "\n  $.%s: expected to hold this host's own "
                               "\"%s\"",
                               list, name);
    }
}

/* Checks that mode "platform" has the service, all addresses and the store. */
static void
check_platform(const Settings *settings, GString *errors)
{
    const struct {
        const char *name;
        const char *value;
    } needed[] = {{"service", settings->service},
                  {"backend_server", settings->backend_server},
                  {"entry_address", settings->entry_address},
                  {"peer_address", settings->peer_address},
                  {"announce_address", settings->announce_address},
                  {"ready_address", settings->ready_address}};

    if (strcmp(settings->mode, "platform") != 0) {
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(needed); i++) {
        if (needed[i].value[0] == '\0') {
            g_string_append_printf(
                errors, "\n  $.%s: missing, needed in mode platform",
                needed[i].name);
        }
    }
    if (settings->store.count == 0) {
        g_string_append(errors,
                        "\n  $.store: missing, needed in mode platform");
    }
}

static void
read_object(Settings *settings, json_t *root, GString *errors)
{
    const SettingRow *row;
    const char *name;
    json_t *value;

    json_object_foreach(root, name, value)
    {
        row = find_row(name);
        if (row == NULL) {
            g_string_append_printf(errors, "\n  $.%s: unknown field", name);
        }
        else {
            read_value(settings, row, value, errors);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].required && json_object_get(root, rows[i].name) == NULL) {
            g_string_append_printf(errors, "\n  $.%s: missing, expected %s",
                                   rows[i].name, rows[i].form);
        }
    }
    check_membership(&settings->regions, "regions", settings->region, errors);
    check_membership(&settings->data_centres, "data_centres",
                     settings->data_centre, errors);
    check_platform(settings, errors);
    if ((settings->tls_certificate_file[0] == '\0') !=
        (settings->tls_key_file[0] == '\0')) {
        g_string_append(errors, "\n  $.tls_key_file: certificate and key must "
                                "be given together");
    }
}

int
Settings_IndexOf(const SettingsNames *names, const char *name)
{
    for (unsigned i = 0; i < names->count; i++) {
        if (strcmp(names->items[i], name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

Settings *
Settings_Parse(const char *text, const char *name, GError **error)
{
    Settings *settings = g_new0(Settings, 1);
    GString *errors = g_string_new(NULL);
    json_error_t json_error;
    json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &json_error);

    set_defaults(settings);
    if (root == NULL) {
        g_string_append_printf(errors, "\n  line %d: %s", json_error.line,
                               json_error.text);
    }
    else if (!json_is_object(root)) {
        g_string_append(errors, "\n  $: expected an object");
    }
    else {
        read_object(settings, root, errors);
    }
    if (errors->len > 0) {
        Result_SetError(error, RESULT_SETTINGS_INVALID,
                        "%s: settings are invalid:%s", name, errors->str);
        Settings_Destroy(settings);
        settings = NULL;
    }
    json_decref(root);
    g_string_free(errors, TRUE);
    return settings;
}

Settings *
Settings_Load(const char *path, GError **error)
{
    GError *cause = NULL;
    Settings *settings;
    char *text;

    if (!g_file_get_contents(path, &text, NULL, &cause)) {
        Result_SetError(error, RESULT_IO, "%s", cause->message);
        g_error_free(cause);
        return NULL;
    }
    settings = Settings_Parse(text, path, error);
    g_free(text);
    return settings;
}

void
Settings_Destroy(Settings *settings)
{
    if (settings == NULL) {
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].kind == SETTING_TEXT) {
            g_free(*(char **)field_of(settings, &rows[i]));
        }
    }
    g_free(settings);
}

static gboolean
is_equal(const Settings *a, const Settings *b, const SettingRow *row)
{
    switch (row->kind) {
    case SETTING_TEXT:
        return strcmp(*(char **)field_of(a, row),
                      *(char **)field_of(b, row)) == 0;
    case SETTING_LIST:
        return memcmp(field_of(a, row), field_of(b, row),
                      sizeof(SettingsAddresses)) == 0;
    case SETTING_NAMES:
        return memcmp(field_of(a, row), field_of(b, row),
                      sizeof(SettingsNames)) == 0;
    case SETTING_REAL:
        return *(double *)field_of(a, row) == *(double *)field_of(b, row);
    default:
        return *(int64_t *)field_of(a, row) == *(int64_t *)field_of(b, row);
    }
}

int
Settings_Reload(Settings *settings, const Settings *from, GString *unchanged)
{
    int count = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].reload) {
            __atomic_store_n((int64_t *)field_of(settings, &rows[i]),
                             *(int64_t *)field_of(from, &rows[i]),
                             __ATOMIC_RELAXED);
        }
        else if (!is_equal(settings, from, &rows[i])) {
            g_string_append_printf(unchanged, "%s%s", count ? ", " : "",
                                   rows[i].name);
            count++;
        }
    }
    return count;
}

int64_t
Settings_Read(const int64_t *number)
{
    return __atomic_load_n(number, __ATOMIC_RELAXED);
}

void
Settings_WriteTable(GString *out)
{
    g_string_append(out, "| name | form or unit | range | default | SIGHUP | "
                         "meaning |\n|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const SettingRow *row = &rows[i];

        g_string_append_printf(out, "| `%s` | %s | ", row->name, row->form);
        if (row->kind == SETTING_REAL) {
            g_string_append_printf(
                out, "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " | %g | ",
                row->min, row->max, row->real_default);
        }
        else if (row->kind == SETTING_NUMBER || row->kind == SETTING_TIME) {
            g_string_append_printf(out,
                                   "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                                   " | %" G_GINT64_FORMAT " | ",
                                   row->min, row->max, row->number_default);
        }
        else if (row->kind == SETTING_LIST) {
            g_string_append_printf(out, "0 to %d items | empty | ",
                                   SETTINGS_MAX_ADDRESSES);
        }
        else if (row->kind == SETTING_NAMES) {
            g_string_append_printf(out, "0 to %d items | the own name | ",
                                   SETTINGS_MAX_NAMES);
        }
        else {
            g_string_append_printf(out, "| %s | ",
                                   row->required          ? "required"
                                   : row->text_default[0] ? row->text_default
                                                          : "empty");
        }
        g_string_append_printf(out, "%s | %s |\n", row->reload ? "yes" : "no",
                               row->description);
    }
}
