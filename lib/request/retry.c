/*
 * Decides what follows an attempt without a complete answer, and limits
 * retries by a budget.
 */
#include "kcc_request.h"

/* A retry takes one token from the budget. */
#define RETRY_COST_MILLITOKENS 1000

void
KcRetryBudget_Init(KcRetryBudget *budget, int64_t percent, int64_t burst)
{
    budget->millitokens_per_request = percent * RETRY_COST_MILLITOKENS / 100;
    budget->millitokens_max = burst * RETRY_COST_MILLITOKENS;
    budget->millitokens = budget->millitokens_max;
}

void
KcRetryBudget_Deposit(KcRetryBudget *budget)
{
    budget->millitokens += budget->millitokens_per_request;
    if (budget->millitokens > budget->millitokens_max) {
        budget->millitokens = budget->millitokens_max;
    }
}

bool
KcRetryBudget_CanTake(const KcRetryBudget *budget)
{
    return budget->millitokens >= RETRY_COST_MILLITOKENS;
}

bool
KcRetryBudget_Take(KcRetryBudget *budget)
{
    if (!KcRetryBudget_CanTake(budget)) {
        return false;
    }
    budget->millitokens -= RETRY_COST_MILLITOKENS;
    return true;
}

bool
KcAttemptEnd_MayHaveRun(KcAttemptEnd end)
{
    return end == KC_ATTEMPT_FAILED || end == KC_ATTEMPT_LOST;
}

/* Returns the decision when no further attempt is made. */
static KcRetryDecision
decide_without_retry(const KcRetryInput *input, bool may_have_run)
{
    if (may_have_run || input->part_delivered) {
        return KC_RETRY_UNKNOWN;
    }
    return KC_RETRY_NOT_RUN;
}

/* Returns true if every other backend server would return the same error. */
static bool
is_final_error(int code)
{
    switch (code) {
    case KC_ERR_INVALID:
    case KC_ERR_UNKNOWN_MODEL:
    case KC_ERR_VERSION_RETIRED:
    case KC_ERR_DEADLINE_EXCEEDED:
        return true;
    default:
        return false;
    }
}

KcRetryDecision
KcRetry_Decide(const KcRetryInput *input, KcRetryBudget *budget)
{
    bool attempt_may_have_run = KcAttemptEnd_MayHaveRun(input->end);
    bool may_have_run = input->may_have_run || attempt_may_have_run;
    bool is_charged;

    if (input->cancelled || is_final_error(input->code) ||
        input->attempt_count >= input->attempts_max) {
        return decide_without_retry(input, may_have_run);
    }
    if (may_have_run && !input->repeatable) {
        return decide_without_retry(input, may_have_run);
    }
    if (input->part_delivered && !input->can_continue) {
        return decide_without_retry(input, may_have_run);
    }
    /* Refusals are charged only with charge_refusals, as most cost the server
     * nothing. */
    is_charged = attempt_may_have_run ||
                 (input->charge_refusals && input->end == KC_ATTEMPT_REFUSED);
    if (is_charged && !KcRetryBudget_Take(budget)) {
        return decide_without_retry(input, may_have_run);
    }
    return KC_RETRY_NEXT;
}
