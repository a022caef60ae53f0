#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tool/load_report.h"
#include "tool/tool_internal.h"

int
Tool_Load(Tool *tool, int count, char **words)
{
    FILE *file = strcmp(words[0], "-") == 0 ? stdin : fopen(words[0], "r");
    LoadReport *report;
    GString *text;
    char *line = NULL;
    size_t bytes = 0;

    (void)tool;
    (void)count;
    if (file == NULL) {
        return _Tool_Fail(RESULT_IO, "cannot read %s", words[0]);
    }
    report = LoadReport_Create();
    while (getline(&line, &bytes, file) >= 0) {
        (void)LoadReport_AddLine(report, line);
    }
    free(line);
    if (file != stdin) {
        (void)fclose(file);
    }
    text = g_string_new(NULL);
    LoadReport_Print(report, text);
    (void)fputs(text->str, stdout);
    g_string_free(text, TRUE);
    LoadReport_Destroy(report);
    return 0;
}
