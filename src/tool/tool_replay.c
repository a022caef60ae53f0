#include <stdio.h>

#include "replay/replay_file.h"
#include "tool/tool_internal.h"

/* Plays the table once and prints the outcome. */
static void
play(const ReplayFile *file, gboolean plain)
{
    Replay_desc desc = ReplayFile_Describe(file, plain);
    Replay *replay = Replay_Create(&desc);
    GString *text = g_string_new(plain ? "\nplain policies\n"
                                       : "this version's policies\n");

    Replay_Run(replay);
    ReplayFile_Print(file, replay, text);
    (void)fputs(text->str, stdout);
    g_string_free(text, TRUE);
    Replay_Destroy(replay);
}

int
Tool_Replay(Tool *tool, int count, char **words)
{
    GError *error = NULL;
    ReplayFile *file = NULL;
    char *text = NULL;
    int code = 0;

    (void)tool;
    (void)count;
    if (!g_file_get_contents(words[0], &text, NULL, &error)) {
        code = _Tool_Fail(RESULT_IO, "%s", error->message);
    }
    else {
        file = ReplayFile_Parse(text, &error);
        if (file == NULL) {
            code = _Tool_Fail(RESULT_MALFORMED, "%s: %s", words[0],
                              error->message);
        }
    }
    if (file != NULL) {
        play(file, FALSE);
        play(file, TRUE);
    }
    ReplayFile_Destroy(file);
    g_clear_error(&error);
    g_free(text);
    return code;
}
