/*
 * Requests whose prompt may end the server that answers it: evidence from lost
 * attempts, and the refusal of requests with a blocked part.
 *
 * A lost attempt alone is no evidence, as connections are also lost for other
 * reasons: the server's keeper is asked whether its engine has ended.
 */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway_internal.h"

/* Least interval at which this gateway asks whether a part may be tried. */
#define TRIAL_ASK_INTERVAL (1 * KC_SECOND)
/* Time in which the evidence of one end comes together; also the interval at
 * which parts with enough ends are decided again. */
#define REVIEW_INTERVAL (50 * KC_MS)
/* Withdrawn attempts that are remembered of a pool, and for how long: a server
 * ends on an answer that it has begun to prepare, and its keeper is certain of
 * that once it has started again. */
#define WITHDRAWN_MAX 256
#define WITHDRAWN_KEPT_TIME (10 * KC_SECOND)

/* ---- the pool's parts ---------------------------------------------------- */

static void
publish(void *context, const KcSuspectNews *news)
{
    KcServerPool *pool = context;
    const KcGatewayOptions *options = &pool->gateway->options;

    options->ops->publish_suspect(options->context, pool, news);
}

static void
record(void *context, KcSuspectStep step, const KcSuspect *suspect,
       bool is_own)
{
    const KcServerPool *pool = context;
    const KcGatewayOptions *options = &pool->gateway->options;

    options->ops->record_suspect(options->context, pool, step, suspect,
                                 is_own);
}

/* Is an answer to the request being received? */
static bool
is_being_answered(const KcForward *forward)
{
    const KcForwardAttempt *attempt;

    TAILQ_FOREACH (attempt, &forward->attempts, link) {
        if (attempt->has_first_event) {
            return true;
        }
    }
    return false;
}

/* Ends the requests that must not be sent: those that wait, and those that a
 * server has not begun to answer, which may still be in its queue. */
static void
on_blocked(void *context, const KcSuspect *suspect, KcTime now)
{
    KcServerPool *pool = context;
    bool was_dispatching = pool->is_dispatching;
    KcForward *forward;
    KcForward *next;

    (void)suspect;
    pool->is_dispatching = true; /* ends no other request meanwhile */
    TAILQ_FOREACH_SAFE (forward, &pool->gateway->forwards, link, next) {
        if (forward->pool == pool && !is_being_answered(forward)) {
            KcForward_RefuseIfBlocked(forward, now);
        }
    }
    pool->is_dispatching = was_dispatching;
    KcGateway_DispatchWholeQueue(pool, now);
}

static const KcSuspectOps suspect_ops = {publish, on_blocked, record};

/* Evidence has come: decides on the pool's parts soon. */
static void
schedule_review(KcServerPool *pool, KcTime now)
{
    if (!pool->review_timer.is_set) {
        KcTimers_Set(pool->gateway->options.timers, &pool->review_timer,
                     now + REVIEW_INTERVAL);
    }
}

static void
on_review_timer(KcTimer *timer, KcTime now)
{
    KcServerPool *pool = timer->owner;

    if (KcSuspects_Review(&pool->suspects, now)) {
        schedule_review(pool, now);
    }
}

static void
free_withdrawn(KcServerPool *pool, KcWithdrawnAttempt *withdrawn)
{
    TAILQ_REMOVE(&pool->withdrawn, withdrawn, link);
    pool->withdrawn_count--;
    free(withdrawn);
}

void
KcServerPool_ClearSuspects(KcServerPool *pool)
{
    while (!TAILQ_EMPTY(&pool->withdrawn)) {
        free_withdrawn(pool, TAILQ_FIRST(&pool->withdrawn));
    }
    KcTimers_Clear(pool->gateway->options.timers, &pool->review_timer);
    KcSuspects_Clear(&pool->suspects);
}

void
KcServerPool_InitSuspects(KcServerPool *pool)
{
    KcSuspectOptions options = pool->gateway->options.suspects;

    options.ops = &suspect_ops;
    options.context = pool;
    options.counters = pool->gateway->options.counters;
    KcSuspects_Init(&pool->suspects, &options);
    KcTimer_Init(&pool->review_timer, on_review_timer, pool);
    TAILQ_INIT(&pool->withdrawn);
}

/* ---- evidence ------------------------------------------------------------ */

void
KcForwardAttempt_NoteLoss(const KcForwardAttempt *attempt, int code,
                          KcTime now)
{
    const KcForward *forward = attempt->forward;
    const KcGatewayOptions *options = &forward->gateway->options;
    uint64_t parts[KC_PROMPT_PARTS_MAX];
    KcLossRecord loss = {
        .attempt = attempt,
        .code = code,
        .end = {.started_at_ms = attempt->server_started_at_ms,
                .age = now - attempt->started_at,
                .parts = parts}};

    loss.end.part_count = KcSuspects_SelectUnanswered(
        &forward->pool->suspects, forward->parts, forward->part_count,
        attempt->started_at, parts);
    options->ops->record_loss(options->context, &loss);
    if (code == KC_ERR_PEER_LOST && loss.end.part_count > 0 &&
        !KcServer_IsLeaving(attempt->server)) {
        options->ops->ask_end(options->context, attempt->server, &loss);
    }
}

void
KcForwardAttempt_NoteWithdrawal(const KcForwardAttempt *attempt, KcTime now)
{
    const KcForward *forward = attempt->forward;
    KcServerPool *pool = forward->pool;
    KcWithdrawnAttempt *oldest = TAILQ_FIRST(&pool->withdrawn);
    KcWithdrawnAttempt *withdrawn;

    if (forward->part_count == 0 || attempt->has_first_event) {
        return;
    }
    if (oldest != NULL &&
        (pool->withdrawn_count >= WITHDRAWN_MAX ||
         now - oldest->withdrawn_at >= WITHDRAWN_KEPT_TIME)) {
        free_withdrawn(pool, oldest);
    }
    withdrawn = KcMem_New(sizeof(*withdrawn));
    withdrawn->instance = KcSuspects_HashInstance(
        attempt->server->id, attempt->server_started_at_ms);
    withdrawn->started_at = attempt->started_at;
    withdrawn->withdrawn_at = now;
    withdrawn->part_count = forward->part_count;
    memcpy(withdrawn->parts, forward->parts,
           forward->part_count * sizeof(forward->parts[0]));
    TAILQ_INSERT_TAIL(&pool->withdrawn, withdrawn, link);
    pool->withdrawn_count++;
}

/* An instance has ended: it may have done so by attempts that this gateway had
 * withdrawn.  Without them their parts could not explain the end, and those of
 * the attempts beside them would. */
static void
note_end_of_withdrawn(KcServerPool *pool, uint64_t instance, KcTime now)
{
    KcWithdrawnAttempt *withdrawn;
    KcWithdrawnAttempt *next;

    TAILQ_FOREACH_SAFE (withdrawn, &pool->withdrawn, link, next) {
        uint64_t parts[KC_PROMPT_PARTS_MAX];
        KcServerEnd end = {.parts = parts};

        if (withdrawn->instance == instance &&
            now - withdrawn->withdrawn_at < WITHDRAWN_KEPT_TIME) {
            end.part_count = KcSuspects_SelectUnanswered(
                &pool->suspects, withdrawn->parts, withdrawn->part_count,
                withdrawn->started_at, parts);
            KcSuspects_NoteEnd(&pool->suspects, instance, &end, now);
            free_withdrawn(pool, withdrawn);
        }
    }
}

void
KcForward_NoteAnswer(KcForward *forward, KcTime now)
{
    KcSuspects_NoteAnswer(&forward->pool->suspects, forward->parts,
                          forward->part_count, now);
}

void
KcGateway_OnServerEnded(KcServer *server, const KcServerEnd *end, KcTime now)
{
    uint64_t instance =
        KcSuspects_HashInstance(server->id, end->started_at_ms);

    KcSuspects_NoteEnd(&server->pool->suspects, instance, end, now);
    note_end_of_withdrawn(server->pool, instance, now);
    schedule_review(server->pool, now);
}

void
KcGateway_OnSuspectNews(KcServerPool *pool, const KcSuspectNews *news,
                        KcTime now)
{
    KcSuspects *suspects = &pool->suspects;
    KcSuspect *suspect;
    KcSuspectNews cleared;

    if (news->kind == KC_SUSPECT_NEWS_TRY) {
        suspect = KcSuspects_Find(suspects, news->part);
        if (suspect != NULL && suspect->state == KC_SUSPECT_BLOCKED &&
            suspect->epoch == news->epoch) {
            suspect->may_try = true;
        }
        return;
    }
    if (KcSuspects_Receive(suspects, news, now) == KC_SUSPECT_VOID) {
        cleared = KcSuspects_DescribeCleared(suspects, news->part);
        publish(pool, &cleared);
    }
    if (news->kind == KC_SUSPECT_NEWS_END) {
        note_end_of_withdrawn(pool, news->instance, now);
    }
    schedule_review(pool, now);
}

/* ---- the decision -------------------------------------------------------- */

/* The part for which the request must not be sent; NULL: none.  The request
 * that tries a part may be sent once. */
static KcSuspect *
find_blocked(const KcForward *forward)
{
    const KcSuspects *suspects = &forward->pool->suspects;
    const KcSuspect *tried =
        forward->is_trial && forward->possible_runs == 0
            ? KcSuspects_Find(suspects, forward->trial_part)
            : NULL;

    return KcSuspects_FindBlocked(suspects, forward->parts,
                                  forward->part_count, tried);
}

bool
KcForward_IsBlocked(const KcForward *forward)
{
    return find_blocked(forward) != NULL;
}

const KcSuspect *
KcForward_FindRefusedPart(KcForward *forward)
{
    const KcSuspect *suspect = find_blocked(forward);

    if (suspect != NULL && suspect->may_try && !forward->is_trial) {
        forward->is_trial = true;
        forward->trial_part = suspect->part;
        suspect = find_blocked(forward);
    }
    return suspect;
}

/* Takes the permission to send one request that tries the part, if it has it;
 * otherwise asks for it, if a trial is due. */
static void
note_trial(const KcForward *forward, KcSuspect *suspect, bool is_new_trial,
           KcTime now)
{
    KcServerPool *pool = forward->pool;

    if (is_new_trial) {
        suspect->may_try = false;
    }
    else if (KcSuspects_IsTrialDue(&pool->suspects, suspect, now) &&
             (suspect->asked_at == 0 ||
              now - suspect->asked_at >= TRIAL_ASK_INTERVAL)) {
        KcSuspectNews news = {.kind = KC_SUSPECT_NEWS_ASK,
                              .part = suspect->part,
                              .epoch = suspect->epoch};

        suspect->asked_at = now;
        publish(pool, &news);
    }
}

bool
KcForward_RefuseIfBlocked(KcForward *forward, KcTime now)
{
    KcSuspect *first = find_blocked(forward);
    bool was_trial = forward->is_trial;
    const KcSuspect *suspect = KcForward_FindRefusedPart(forward);
    char name[KC_PARTS_TEXT_SIZE];

    if (first != NULL) {
        note_trial(forward, first, forward->is_trial && !was_trial, now);
    }
    if (suspect == NULL) {
        return false;
    }
    KcParts_Format(&suspect->part, 1, name);
    KcError_Set(&forward->error, KC_ERR_BLOCKED, "prompt part", name);
    KcCounters_Add(forward->gateway->options.counters,
                   KC_COUNT_BLOCKED_REQUESTS, 1);
    KcForward_FinishFailed(forward, now);
    return true;
}

/* ---- hubs ---------------------------------------------------------------- */

/* Rendezvous hashing of the servers' machines, whose keepers outlive the
 * servers. */
static uint64_t
hub_rank(const KcServerPool *pool, const KcServer *server)
{
    const char *port = strrchr(server->address, ':');
    size_t size = port != NULL ? (size_t)(port - server->address)
                               : strlen(server->address);

    return XXH3_64bits_withSeed(
        server->address, size,
        XXH3_64bits(pool->service, strlen(pool->service)));
}

uint32_t
KcServerPool_ListHubs(const KcServerPool *pool, KcServer *hubs[KC_HUBS_MAX])
{
    uint64_t ranks[KC_HUBS_MAX];
    uint32_t count = 0;
    KcServer *server;

    TAILQ_FOREACH (server, &pool->servers, link) {
        uint64_t rank = hub_rank(pool, server);
        uint32_t place = count;

        if (!server->has_address) {
            continue;
        }
        while (place > 0 && ranks[place - 1] < rank) {
            place--;
        }
        for (uint32_t i = count < KC_HUBS_MAX ? count : KC_HUBS_MAX - 1;
             i > place; i--) {
            hubs[i] = hubs[i - 1];
            ranks[i] = ranks[i - 1];
        }
        if (place < KC_HUBS_MAX) {
            hubs[place] = server;
            ranks[place] = rank;
        }
        count += count < KC_HUBS_MAX ? 1 : 0;
    }
    return count;
}

void
KcGateway_VisitEnginePools(KcGateway *gateway,
                           void (*visit)(void *context, KcServerPool *pool),
                           void *context)
{
    KcServerPool *pool;
    KcServerPool *next;

    if (gateway->routing == NULL) {
        return;
    }
    HASH_ITER(hh, gateway->pools, pool, next)
    {
        const KcRoutedService *service =
            KcRouting_FindService(gateway->routing, pool->service);

        if (service != NULL && service->engine.is_configured) {
            visit(context, pool);
        }
    }
}
