#include "gateway/gateway_internal.h"

gboolean
_Gateway_IsAnswer(const BackendReply *reply)
{
    return reply->answer.status != 0 &&
           (reply->result == RESULT_OK ||
            reply->result == RESULT_BACKEND_SERVER_ERROR);
}

Result
_Gateway_EndResult(Result result, gboolean is_cancelled_by_stop)
{
    return result == RESULT_CANCELLED && is_cancelled_by_stop
               ? RESULT_SHUTTING_DOWN
               : result;
}

void
_Gateway_ChooseAnswer(BackendReply *reply, HttpAnswer *failure,
                      gboolean maybe_run)
{
    /* A refusal by another daemon or by a backend server has a status, too. */
    if (!_Gateway_IsAnswer(reply) && failure->status != 0) {
        HttpAnswer_Clear(&reply->answer);
        HttpAnswer_Move(&reply->answer, failure);
        reply->result = RESULT_BACKEND_SERVER_ERROR;
        reply->run = RUN_YES;
    }
    HttpAnswer_Clear(failure);
    if (maybe_run && reply->run == RUN_NO) {
        reply->run = RUN_UNKNOWN;
    }
}
