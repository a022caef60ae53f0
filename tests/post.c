/* post ADDRESS TARGET BODY: sends a POST to a stand-in and prints the answer.
 * The demonstration uses it to inject faults. */
#include <stdio.h>
#include <string.h>

#include "http/http_client.h"

int
main(int argc, char **argv)
{
    HttpClient *client = HttpClient_Create(&(HttpClient_desc){0});
    HttpAnswer answer = {0};
    HttpCall call = {.method = "POST", .deadline = Clock_Now() + 5000};
    gboolean sent;
    Result result = RESULT_MALFORMED;

    if (argc == 4 && HttpAddress_Parse(argv[1], &call.address)) {
        call.target = argv[2];
        call.body = argv[3];
        call.body_bytes = strlen(argv[3]);
        result = HttpClient_Call(client, &call, &answer, &sent);
    }
    printf("%s %d %s\n", Result_Name(result), answer.status,
           answer.body ? answer.body : "");
    HttpAnswer_Clear(&answer);
    HttpClient_Destroy(client);
    return result == RESULT_OK ? 0 : 1;
}
