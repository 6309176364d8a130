/*
 * Decides what follows an attempt without a complete answer, and limits
 * retries by a budget.
 */
#include "kcc_request.h"

/* Cost of one retry in millitokens. */
#define RETRY_COST 1000

void
KcRetryBudget_Init(KcRetryBudget *budget, int64_t percent, int64_t burst)
{
    budget->millitokens_per_request = percent * RETRY_COST / 100;
    budget->millitokens_max = burst * RETRY_COST;
    budget->tokens = budget->millitokens_max;
}

void
KcRetryBudget_Deposit(KcRetryBudget *budget)
{
    budget->tokens += budget->millitokens_per_request;
    if (budget->tokens > budget->millitokens_max) {
        budget->tokens = budget->millitokens_max;
    }
}

bool
KcRetryBudget_CanTake(const KcRetryBudget *budget)
{
    return budget->tokens >= RETRY_COST;
}

bool
KcRetryBudget_Take(KcRetryBudget *budget)
{
    if (!KcRetryBudget_CanTake(budget)) {
        return false;
    }
    budget->tokens -= RETRY_COST;
    return true;
}

/* The decision when no further attempt is made. */
static KcRetryVerdict
give_up(const KcRetryInput *input, bool may_have_run)
{
    if (may_have_run || input->part_delivered) {
        return KC_RETRY_UNKNOWN;
    }
    return KC_RETRY_NOT_RUN;
}

/* Would every other backend server return the same error? */
static bool
is_final(int code)
{
    switch (code) {
    case KC_ERR_INVALID:
    case KC_ERR_UNKNOWN_MODEL:
    case KC_ERR_RETIRED:
    case KC_ERR_DEADLINE:
        return true;
    default:
        return false;
    }
}

KcRetryVerdict
KcRetry_Decide(const KcRetryInput *input, KcRetryBudget *budget)
{
    bool ran =
        input->end == KC_ATTEMPT_FAILED || input->end == KC_ATTEMPT_LOST;
    bool may_have_run = input->may_have_run || ran;
    bool is_charged;

    if (input->cancelled || is_final(input->code) ||
        input->attempts >= input->attempts_max) {
        return give_up(input, may_have_run);
    }
    if (may_have_run && !input->repeatable) {
        return give_up(input, may_have_run);
    }
    if (input->part_delivered && !input->continues) {
        return give_up(input, may_have_run);
    }
    /* Refusals are charged only on request: most cost the server nothing. */
    is_charged =
        ran || (input->charge_refusals && input->end == KC_ATTEMPT_REFUSED);
    if (is_charged && !KcRetryBudget_Take(budget)) {
        return give_up(input, may_have_run);
    }
    return KC_RETRY_NEXT;
}
