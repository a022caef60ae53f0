/* RunAnswer: an answer whose parts all lie in one memory block. */
#include <string.h>

#include "issue/run_table_private.h"

struct RunAnswer {
    gint references;
    size_t bytes; /* size of the whole block */
    RunAnswer_desc view;
    RunHeader headers[];
};

static char *
append(char **end, const void *bytes, size_t count)
{
    char *copy = *end;

    if (count > 0) {
        memcpy(copy, bytes, count);
    }
    *end += count;
    return copy;
}

RunAnswer *
RunAnswer_Create(const RunAnswer_desc *desc)
{
    size_t bytes = sizeof(RunAnswer) + desc->header_count * sizeof(RunHeader) +
                   desc->body_bytes;
    RunAnswer *answer;
    char *end;

    for (size_t i = 0; i < desc->header_count; i++) {
        bytes += strlen(desc->headers[i].name) + 1 +
                 strlen(desc->headers[i].value) + 1;
    }
    answer = g_malloc(bytes);
    answer->references = 1;
    answer->bytes = bytes;
    answer->view = *desc;
    end = (char *)&answer->headers[desc->header_count];
    for (size_t i = 0; i < desc->header_count; i++) {
        const RunHeader *header = &desc->headers[i];

        answer->headers[i].name =
            append(&end, header->name, strlen(header->name) + 1);
        answer->headers[i].value =
            append(&end, header->value, strlen(header->value) + 1);
    }
    answer->view.headers = answer->headers;
    answer->view.body = append(&end, desc->body, desc->body_bytes);
    return answer;
}

RunAnswer *
RunAnswer_Ref(RunAnswer *answer)
{
    g_atomic_int_inc(&answer->references);
    return answer;
}

void
RunAnswer_Unref(RunAnswer *answer)
{
    if (answer != NULL && g_atomic_int_dec_and_test(&answer->references)) {
        g_free(answer);
    }
}

const RunAnswer_desc *
RunAnswer_Get(const RunAnswer *answer)
{
    return &answer->view;
}

size_t
_RunAnswer_Bytes(const RunAnswer *answer)
{
    return answer->bytes;
}
