/* The command "explain". */
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "tool/tool_internal.h"

#define HASH_DIGITS 16

static void
add_name(GHashTable *names, const char *name)
{
    if (name != NULL) {
        g_hash_table_insert(names,
                            g_strdup_printf("%016" G_GINT64_MODIFIER "x",
                                            Rng_HashString(name)),
                            g_strdup(name));
    }
}

/* Returns a map from the hash of each known host and backend server to its
 * name. */
static GHashTable *
read_names(Tool *tool, const char *word)
{
    GHashTable *names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    json_t *all = _Tool_ReadStatus(tool);
    json_t *status;
    json_t *server;
    size_t index;
    size_t server_index;

    json_array_foreach(all, index, status)
    {
        add_name(names, json_string_value(json_object_get(status, "host")));
        json_array_foreach(json_object_get(status, "backend_servers"),
                           server_index, server)
        {
            add_name(names,
                     json_string_value(json_object_get(server, "name")));
        }
    }
    /* The host or backend server that `word` names may have been removed. */
    add_name(names, word);
    json_decref(all);
    return names;
}

/* Prints a line. Replaces each known hash that follows a "=" by its name. */
static void
print_line(const char *admin, const char *line, GHashTable *names)
{
    const char *name;
    char hash[HASH_DIGITS + 1];
    size_t length;

    printf("%s: ", admin);
    while (*line != '\0') {
        length = strcspn(line, "=");
        length += line[length] == '=';
        (void)fwrite(line, 1, length, stdout);
        line += length;
        if (g_strlcpy(hash, line, sizeof(hash)) >= HASH_DIGITS) {
            name = g_hash_table_lookup(names, hash);
            if (name != NULL) {
                fputs(name, stdout);
                line += HASH_DIGITS;
            }
        }
    }
    putchar('\n');
}

static unsigned
print_lines(const char *admin, const char *text, GHashTable *names)
{
    char **lines = g_strsplit(text, "\n", 0);
    unsigned count = 0;

    for (char **line = lines; *line != NULL; line++) {
        if ((*line)[0] != '\0') {
            print_line(admin, *line, names);
            count++;
        }
    }
    g_strfreev(lines);
    return count;
}

static int
explain_recent(Tool *tool, char **words)
{
    char *escaped = g_uri_escape_string(words[0], NULL, FALSE);
    char *target = g_strconcat("/v1/explain?text=", escaped, NULL);
    GHashTable *names = read_names(tool, words[0]);
    int code = _Tool_RequireAdmin(tool);
    unsigned found = 0;

    for (unsigned i = 0; i < tool->admin_count; i++) {
        HttpAnswer answer = {0};
        Result result =
            _Tool_Call(tool, tool->admins[i], "GET", target, NULL, &answer);

        if (result == RESULT_OK) {
            found += print_lines(tool->admins[i], answer.body, names);
        }
        else {
            code = _Tool_Fail(result, "%s: %s", tool->admins[i],
                              Result_Text(result));
        }
        HttpAnswer_Clear(&answer);
    }
    if (code == 0 && found == 0) {
        code = _Tool_Fail(RESULT_NOT_FOUND,
                          "no recent request that was refused, retried or "
                          "failed matches \"%s\"",
                          words[0]);
    }
    g_hash_table_unref(names);
    g_free(target);
    g_free(escaped);
    return code;
}

int
Tool_Explain(Tool *tool, int count, char **words)
{
    if ((tool->request != NULL) == (count > 0)) {
        return _Tool_Fail(RESULT_REQUEST_INVALID,
                          "usage: radishknot [OPTIONS] explain TEXT, or "
                          "explain --request HOST/PATH");
    }
    return tool->request != NULL ? _Tool_ExplainRequest(tool)
                                 : explain_recent(tool, words);
}
