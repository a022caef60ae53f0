/* Commands that read the logs of daemons. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tool/load_report.h"
#include "tool/odd_report.h"
#include "tool/tool_internal.h"

typedef void (*LineReader)(void *context, const char *line);

static int
read_lines(const char *path, LineReader read_line, void *context)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char *line = NULL;
    size_t bytes = 0;

    if (file == NULL) {
        return _Tool_Fail(RESULT_IO, "cannot read %s", path);
    }
    while (getline(&line, &bytes, file) >= 0) {
        read_line(context, line);
    }
    free(line);
    if (file != stdin) {
        (void)fclose(file);
    }
    return 0;
}

static void
add_load_line(void *context, const char *line)
{
    (void)LoadReport_AddLine(context, line);
}

int
Tool_Load(Tool *tool, int count, char **words)
{
    LoadReport *report = LoadReport_Create();
    GString *text = g_string_new(NULL);
    int code = read_lines(words[0], add_load_line, report);

    (void)tool;
    (void)count;
    if (code == 0) {
        LoadReport_Print(report, text);
        (void)fputs(text->str, stdout);
    }
    g_string_free(text, TRUE);
    LoadReport_Destroy(report);
    return code;
}

static void
add_odd_line(void *context, const char *line)
{
    (void)OddReport_AddLine(context, line);
}

int
Tool_Odd(Tool *tool, int count, char **words)
{
    OddReport *report = OddReport_Create();
    GString *text = g_string_new(NULL);
    int code = read_lines(words[0], add_odd_line, report);

    (void)tool;
    (void)count;
    if (code == 0) {
        OddReport_Print(report, text);
        (void)fputs(text->str, stdout);
    }
    g_string_free(text, TRUE);
    OddReport_Destroy(report);
    return code;
}
