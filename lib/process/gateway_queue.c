/*
 * Requests in the queue of a service: what the decisions of lib/process/load
 * are told of them, and what they decide.
 */
#include "gateway_internal.h"

/* The request as the order of the queue sees it. */
static KcQueued
describe(const KcForward *forward)
{
    return (KcQueued){.urgency = forward->priority,
                      .is_begun = KcForward_IsKept(forward),
                      .turn = forward->queue_turn,
                      .arrived_at = forward->arrived_at,
                      .in_time_until = forward->arrived_at +
                                       forward->rule->latency_objective,
                      .deadline = forward->deadline};
}

/* The last request in the queue that goes before this one; NULL: none does.
 * behind: how many go after it.  Looked for from the end, as nearly all go
 * before it. */
static KcForward *
find_earlier(const KcForward *forward, KcTime now, uint32_t *behind)
{
    KcServerPool *pool = forward->pool;
    KcQueued queued = describe(forward);
    KcForward *earlier;

    *behind = 0;
    TAILQ_FOREACH_REVERSE(earlier, &pool->queue, KcForwardList, wait_link)
    {
        KcQueued other = describe(earlier);

        if (!KcQueued_IsBefore(&queued, &other, pool->pace.first_byte, now)) {
            break;
        }
        ++*behind;
    }
    return earlier;
}

/* The name under which the request takes turns; NULL: there are no customers.
 * Those that need no key take them together. */
static const char *
turn_name(const KcForward *forward)
{
    if (!forward->routing->has_customers) {
        return NULL;
    }
    return forward->customer != NULL ? forward->customer->name : "";
}

/* Counts the request among those that wait, until KcForward_EndWait(). */
static void
begin_wait(KcForward *forward, KcTime now)
{
    KcServerPool *pool = forward->pool;
    const char *customer = turn_name(forward);

    if (forward->is_waiting) {
        return;
    }
    forward->is_waiting = true;
    pool->waiting_count++;
    KcQueuePace_Begin(&pool->pace, now);
    if (customer != NULL) {
        forward->queue_turn =
            KcTurns_Take(&pool->turns, customer, forward->tokens_max);
    }
}

void
KcForward_EndWait(KcForward *forward, bool found_server, KcTime now)
{
    KcServerPool *pool = forward->pool;
    const char *customer = turn_name(forward);

    if (!forward->is_waiting) {
        return;
    }
    forward->is_waiting = false;
    if (found_server) {
        KcQueuePace_NoteServed(&pool->pace, now);
        KcTurns_NoteServed(&pool->turns, forward->queue_turn);
    }
    else if (customer != NULL) {
        KcTurns_GiveBack(&pool->turns, customer, forward->tokens_max);
    }
    forward->queue_turn = 0;
    if (--pool->waiting_count == 0) {
        KcQueuePace_End(&pool->pace);
        KcTurns_Clear(&pool->turns);
    }
}

/* Decides on a request that has its turn, and notes that. */
static void
decide(KcForward *forward, const KcQueuePace *pace, KcTime now,
       KcWaitDecision *decision)
{
    KcQueued queued = describe(forward);
    KcWaitInput input = {.queued = &queued,
                         .objective = forward->rule->latency_objective,
                         .pace = pace};
    uint32_t behind;

    find_earlier(forward, now, &behind);
    input.place = forward->pool->queue_length - behind;
    KcWait_Decide(&input, now, decision);
    if (decision->verdict != KC_WAIT_TOO_LONG &&
        now < forward->dispatch_until) {
        /* A server opens by then. */
        decision->verdict = KC_WAIT_ON;
        if (decision->until < forward->dispatch_until) {
            decision->until = forward->dispatch_until;
        }
    }
    forward->queue_place = input.place;
    forward->wait_verdict = decision->verdict;
    forward->expected_wait = decision->expected_wait;
}

void
KcForward_DecideWait(KcForward *forward, KcTime now, KcWaitDecision *decision)
{
    begin_wait(forward, now);
    decide(forward, &forward->pool->pace, now, decision);
}

void
KcForward_ForeseeWait(KcForward *forward, KcQueuePace *pace, KcTime now,
                      KcWaitDecision *decision)
{
    const char *customer = turn_name(forward);

    KcQueuePace_Begin(pace, now);
    if (customer != NULL) {
        forward->queue_turn = KcTurns_Foresee(&forward->pool->turns, customer,
                                              forward->tokens_max);
    }
    decide(forward, pace, now, decision);
}

void
KcForward_JoinQueue(KcForward *forward, KcTime now)
{
    KcServerPool *pool = forward->pool;
    KcForward *earlier;
    uint32_t behind;

    begin_wait(forward, now);
    earlier = find_earlier(forward, now, &behind);
    if (earlier != NULL) {
        TAILQ_INSERT_AFTER(&pool->queue, earlier, forward, wait_link);
    }
    else {
        TAILQ_INSERT_HEAD(&pool->queue, forward, wait_link);
    }
    pool->queue_length++;
    forward->state = KC_FORWARD_QUEUED;
    forward->in_wait_list = true;
}

void
KcForward_LeaveWaitList(KcForward *forward)
{
    if (!forward->in_wait_list) {
        return;
    }
    forward->in_wait_list = false;
    if (forward->state == KC_FORWARD_LOADING) {
        TAILQ_REMOVE(&forward->adapter->waiting_requests, forward, wait_link);
    }
    else {
        TAILQ_REMOVE(&forward->pool->queue, forward, wait_link);
        forward->pool->queue_length--;
    }
}
