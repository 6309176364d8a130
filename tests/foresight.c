#include "foresight.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway_internal.h"
#include "quota_internal.h"

/* ---- the state ------------------------------------------------------------ */

#define ADD(state, object) XXH3_64bits_update(state, object, sizeof(*(object)))

static void
add_pool(XXH3_state_t *state, const KcServerPool *pool)
{
    const KcServer *server;
    const KcTurn *turn;
    const KcSuspect *suspect;

    ADD(state, pool);
    TAILQ_FOREACH (server, &pool->servers, link) {
        const KcReplica *replica;

        ADD(state, server);
        TAILQ_FOREACH (replica, &server->replicas, server_link) {
            ADD(state, replica);
        }
    }
    for (turn = pool->turns.by_customer; turn != NULL; turn = turn->hh.next) {
        ADD(state, turn);
    }
    for (int i = 0; i < KC_SUSPECT_STATE_COUNT; i++) {
        TAILQ_FOREACH (suspect, &pool->suspects.lists[i], link) {
            ADD(state, suspect);
        }
    }
}

static void
add_quotas(XXH3_state_t *state, const KcQuotas *quotas)
{
    const KcQuota *quota;

    ADD(state, quotas);
    TAILQ_FOREACH (quota, &quotas->list, link) {
        ADD(state, quota);
    }
}

/* A hash of all bytes that the gateway decides by. */
static uint64_t
hash_state(const KcGateway *gateway)
{
    XXH3_state_t *state = XXH3_createState();
    const KcServerPool *pool;
    const KcAdapterState *adapter;
    const KcForward *forward;
    uint64_t hash;

    XXH3_64bits_reset(state);
    ADD(state, gateway);
    ADD(state, gateway->options.counters);
    for (pool = gateway->pools; pool != NULL; pool = pool->hh.next) {
        add_pool(state, pool);
    }
    TAILQ_FOREACH (adapter, &gateway->adapter_list, link) {
        ADD(state, adapter);
    }
    TAILQ_FOREACH (forward, &gateway->forwards, link) {
        ADD(state, forward);
    }
    add_quotas(state, gateway->quotas);
    hash = XXH3_64bits_digest(state);
    XXH3_freeState(state);
    return hash;
}

/* ---- checks --------------------------------------------------------------- */

static uint32_t
count_loading(const KcAdapterState *adapter)
{
    const KcReplica *replica;
    uint32_t count = 0;

    if (adapter != NULL) {
        TAILQ_FOREACH (replica, &adapter->replicas, adapter_link) {
            count += replica->loading ? 1 : 0;
        }
    }
    return count;
}

/* The customer of the key, "" if there is none. */
static const char *
find_customer(const KcGateway *gateway, const KcForwardCall *call)
{
    const KcRoutedCustomer *customer =
        call->has_key && gateway->routing != NULL
            ? KcRouting_FindCustomer(gateway->routing, &call->key_digest)
            : NULL;

    return customer != NULL ? customer->name : "";
}

/* By the customer's name the same is said as by its key. */
static void
check_by_name(const KcExplanation *by_key, KcGateway *gateway,
              const KcForwardCall *call, const char *customer, KcTime now)
{
    KcForwardCall named = *call;
    KcExplanation by_name;

    named.has_key = false;
    KcGateway_Explain(gateway, &named, customer, &by_name, now);
    g_assert_cmpint(by_name.foresight, ==, by_key->foresight);
    g_assert_cmpint(by_name.code, ==, by_key->code);
    g_assert_cmpstr(by_name.step, ==, by_key->step);
    g_assert_cmpint(by_name.retry_after, ==, by_key->retry_after);
    g_assert_true(by_name.customer == by_key->customer);
    g_assert_cmpuint(by_name.quota_cost, ==, by_key->quota_cost);
    g_assert_cmpuint(by_name.priority, ==, by_key->priority);
    g_assert_true(by_name.server == by_key->server);
    g_assert_cmpuint(by_name.queue_place, ==, by_key->queue_place);
    KcExplanation_Clear(&by_name);
}

void
Foresight_Begin(Foresight *foresight, KcGateway *gateway,
                const KcForwardCall *call, KcTime now)
{
    const char *customer = find_customer(gateway, call);
    uint64_t hash = hash_state(gateway);

    KcGateway_Explain(gateway, call, "", &foresight->explanation, now);
    if (customer[0] != '\0') {
        check_by_name(&foresight->explanation, gateway, call, customer, now);
    }
    g_assert_cmpuint(hash_state(gateway), ==, hash);
    foresight->loading_count = count_loading(
        KcGateway_FindAdapter(gateway, call->model, call->adapter));
}

static bool
is_named(const KcServer *server, const char *id)
{
    return server != NULL && strcmp(server->id, id) == 0;
}

bool
Foresight_Asks(const Foresight *foresight, const char *server_id)
{
    return is_named(foresight->explanation.server, server_id) ||
           is_named(foresight->explanation.new_replica_server, server_id);
}

static void
check_refusal(const KcExplanation *explanation,
              const KcForwardRefusal *refusal)
{
    g_assert_cmpint(explanation->foresight, ==, KC_FORESEE_REFUSAL);
    if (refusal != NULL) {
        g_assert_cmpint(explanation->code, ==, refusal->error.code);
        g_assert_cmpint(explanation->retry_after, ==, refusal->retry_after);
        g_assert_cmpstr(explanation->step, ==, refusal->error.step);
    }
}

static void
check_queued(const KcExplanation *explanation, const KcForward *forward,
             KcTime now)
{
    g_assert_cmpint(explanation->foresight, ==, KC_FORESEE_QUEUE);
    g_assert_cmpuint(explanation->queue_place, ==, forward->queue_place);
    g_assert_cmpint(explanation->expected_wait, ==, forward->expected_wait);
    g_assert_cmpint(explanation->wait_max, ==, forward->timer.due_at - now);
}

static void
check_sent(const KcExplanation *explanation, const KcForward *forward)
{
    const KcForwardAttempt *attempt = TAILQ_FIRST(&forward->attempts);

    g_assert_cmpint(explanation->foresight, ==, KC_FORESEE_SEND);
    g_assert_true(explanation->server == attempt->server);
    if (explanation->version != 0) {
        g_assert_cmpuint(explanation->version, ==, attempt->replica->version);
    }
}

/* The chosen server is marked, and no other one. */
static void
check_candidates(const KcExplanation *explanation)
{
    const KcCandidate *candidate;

    TAILQ_FOREACH (candidate, &explanation->candidates, link) {
        g_assert_nonnull(candidate->reason);
        g_assert_cmpint(g_str_has_prefix(candidate->reason, "chosen"), ==,
                        candidate->server == explanation->server);
    }
}

void
Foresight_Check(const Foresight *foresight, const KcForward *forward,
                const KcForwardRefusal *refusal, KcTime now)
{
    const KcExplanation *explanation = &foresight->explanation;
    uint32_t loads = (explanation->foresight == KC_FORESEE_LOAD) +
                     (explanation->new_replica_server != NULL);

    check_candidates(explanation);
    if (explanation->is_quota_unknown) {
        return; /* taken to have room */
    }
    if (forward == NULL) {
        check_refusal(explanation, refusal);
        return;
    }
    if (forward->adapter != NULL) {
        g_assert_cmpuint(count_loading(forward->adapter), ==,
                         foresight->loading_count + loads);
    }
    g_assert_cmpuint(explanation->priority, ==, forward->priority);
    g_assert_cmpint(explanation->time_left, ==, forward->deadline - now);
    g_assert_cmpuint(explanation->quota_cost, ==, forward->quota_cost);
    g_assert_true(explanation->customer == forward->customer);
    g_assert_cmpstr(explanation->target->service, ==, forward->pool->service);
    switch (forward->state) {
    case KC_FORWARD_QUEUED:
        check_queued(explanation, forward, now);
        break;
    case KC_FORWARD_LOADING:
        g_assert_true(explanation->foresight == KC_FORESEE_LOAD ||
                      explanation->foresight == KC_FORESEE_AWAIT_LOAD);
        g_assert_true(explanation->server == forward->server);
        break;
    case KC_FORWARD_SENT:
        check_sent(explanation, forward);
        break;
    }
}

/* ---- quotas --------------------------------------------------------------- */

static uint64_t
hash_quotas(const KcQuotas *quotas)
{
    XXH3_state_t *state = XXH3_createState();
    uint64_t hash;

    XXH3_64bits_reset(state);
    add_quotas(state, quotas);
    hash = XXH3_64bits_digest(state);
    XXH3_freeState(state);
    return hash;
}

int
Foresight_TakeQuota(KcQuotas *quotas, const KcRoutedCustomer *customer,
                    uint64_t cost, KcTime *retry_after, KcTime now)
{
    uint64_t hash = hash_quotas(quotas);
    KcTime foreseen_retry;
    KcQuotaState state;
    int foreseen =
        KcQuotas_Foresee(quotas, customer, cost, &foreseen_retry, &state, now);
    int code;

    g_assert_cmpuint(hash_quotas(quotas), ==, hash);
    code = KcQuotas_Take(quotas, customer, cost, retry_after, now);
    g_assert_cmpint(code, ==, foreseen);
    g_assert_cmpint(*retry_after, ==, foreseen_retry);
    return code;
}

void
Foresight_Clear(Foresight *foresight)
{
    KcExplanation_Clear(&foresight->explanation);
}
