/*
 * Decides whether a request may go to a further backend server.
 */
#include "entry_internal.h"

KcRetryInput
KcEntryRetry_DescribeEnd(const KcRequest *request, KcAttemptEnd end, int code)
{
    return (KcRetryInput){
        .end = end,
        .code = code,
        .repeatable = request->repeatable,
        .may_have_run = request->may_have_run,
        .cancelled = request->cancelled,
        .can_continue = request->service->kind == KC_SERVICE_MODEL,
        .part_delivered =
            request->delivered_bytes > 0 || request->answer_started,
        .attempt_count = request->attempt_count,
        .attempts_max = request->entry->options.attempts_max};
}

bool
KcEntryRetry_CanLeave(KcRequest *request, KcTime now)
{
    KcRetryInput input =
        KcEntryRetry_DescribeEnd(request, KC_ATTEMPT_LOST, KC_ERR_PEER_LOST);
    KcRetryBudget budget = request->entry->retry_budget; /* not taken from */
    KcRouteChoice choice;

    if (request->tried_count == KC_ATTEMPTS_MAX ||
        KcRetry_Decide(&input, &budget) != KC_RETRY_NEXT) {
        return false;
    }
    KcEntryChoose_Backend(request, now, &choice);
    if (choice.backend == NULL) {
        return false;
    }
    if (choice.backend->connection == NULL) {
        KcEntryLink_Connect(request->entry, choice.backend);
        return false;
    }
    return true;
}
