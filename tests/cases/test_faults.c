/*
 * Faults of the platform, the engines, the network and our processes, each
 * alone, twice and in pairs, while callers submit requests; the oracle checks
 * the promises of the service.
 */
#include <glib.h>
#include <string.h>

#include "../world/world_internal.h"
#include "../world/oracle.h"

/*
 * In a default simulation agents 0 to 2 belong to the model service, 3 and 4
 * to the plain one.
 */

/* Rounds of calls while the faults last. */
#define CALL_ROUNDS 30
#define ROUND_INTERVAL (150 * KC_MS)
#define RECOVERY_TIME (200 * KC_SECOND)

static void
begin_outage(World *world)
{
    World_SetStoreOutage(world, true);
}

static void
end_outage(World *world)
{
    World_SetStoreOutage(world, false);
}

static void
delay_store(World *world)
{
    World_SetStoreDelay(world, 700 * KC_MS);
}

static void
undelay_store(World *world)
{
    World_SetStoreDelay(world, 0);
}

static void
lose_replies(World *world)
{
    World_LoseStoreReplies(world, 3);
}

static void
delay_writes(World *world)
{
    World_DelayStoreWrites(world, 2);
}

static void
kill_agent(World *world)
{
    World_Kill(World_Agent(world, 0));
}

static void
restart_agent(World *world)
{
    World_Restart(World_Agent(world, 0));
}

static void
kill_plain_agent(World *world)
{
    World_Kill(World_Agent(world, 3));
}

static void
restart_plain_agent(World *world)
{
    World_Restart(World_Agent(world, 3));
}

static void
kill_entry(World *world)
{
    World_Kill(World_Entry(world, 0));
}

static void
restart_entry(World *world)
{
    World_Restart(World_Entry(world, 0));
}

static void
pause_agent(World *world)
{
    World_Pause(World_Agent(world, 1));
}

static void
resume_agent(World *world)
{
    World_Resume(World_Agent(world, 1));
}

/* Paused until its lease has lapsed, so that another holder may have
 * acted when it resumes. */
static void
pause_agent_past_lease(World *world)
{
    World_Pause(World_Agent(world, 0));
    World_Advance(world, 40 * KC_SECOND);
}

static void
resume_agent_past_lease(World *world)
{
    World_Resume(World_Agent(world, 0));
}

static void
restart_engines(World *world)
{
    for (uint32_t i = 0; i < world->options.model_agents; i++) {
        World_RestartEngine(World_Agent(world, i));
    }
}

static void
fail_loads(World *world)
{
    World_FailLoads(World_Agent(world, 0), 5);
    World_FailLoads(World_Agent(world, 1), 5);
}

static void
cut_answers(World *world)
{
    World_CutAnswers(World_Agent(world, 0), 3);
    World_CutAnswers(World_Agent(world, 4), 3);
}

static void
answer_with_wrong_model(World *world)
{
    World_AnswerWithWrongModel(World_Agent(world, 2), 2);
}

static void
delay_orders(World *world)
{
    World_DelayOrders(World_Agent(world, 0), 3);
    World_DelayOrders(World_Agent(world, 1), 3);
}

static void
cut_connections(World *world)
{
    for (uint32_t i = 0; i < World_AgentCount(world); i++) {
        World_CutConnections(World_Entry(world, 0), World_Agent(world, i));
        World_CutConnections(World_Entry(world, 1), World_Agent(world, i));
    }
}

/* Entry 0 cannot reach the agents of odd index. */
static void
stall_odd_agents(World *world)
{
    for (uint32_t i = 0; i < World_AgentCount(world); i++) {
        World_SetStalled(World_Entry(world, 0), World_Agent(world, i),
                         i % 2 == 1);
    }
}

static void
unstall_agents(World *world)
{
    for (uint32_t i = 0; i < World_AgentCount(world); i++) {
        World_SetStalled(World_Entry(world, 0), World_Agent(world, i), false);
    }
}

static void
drain_agent(World *world)
{
    World_Drain(World_Agent(world, 2));
    World_Drain(
        World_Agent(world, 2)); /* a repeated request changes nothing */
}

static void
restart_drained_agent(World *world)
{
    World_Restart(World_Agent(world, 2));
}

static void
drain_entry(World *world)
{
    World_Drain(World_Entry(world, 1));
}

static void
restart_drained_entry(World *world)
{
    World_Restart(World_Entry(world, 1));
}

static void
race_edits(World *world)
{
    if (World_EditRetirement(world, 0, true, false) == 0) {
        g_assert_cmpint(World_EditRetirement(world, 1, true, true), ==,
                        KC_ERR_CONFLICT);
    }
}

/* Cancels the planned faults that have not occurred yet. */
static void
clear_pending_faults(World *world)
{
    World_LoseStoreReplies(world, 0);
    World_DelayStoreWrites(world, 0);
    for (uint32_t i = 0; i < World_AgentCount(world); i++) {
        World_FailLoads(World_Agent(world, i), 0);
        World_CutAnswers(World_Agent(world, i), 0);
        World_AnswerWithWrongModel(World_Agent(world, i), 0);
        World_DelayOrders(World_Agent(world, i), 0);
    }
}

/* How each fault begins and ends. */
static const struct {
    const char *name;
    void (*begin)(World *world);
    void (*end)(World *world);
} faults[] = {
    {"object API down", begin_outage, end_outage},
    {"object API slow", delay_store, undelay_store},
    {"replies of the object API lost", lose_replies, clear_pending_faults},
    {"writes take effect after their timeout", delay_writes,
     clear_pending_faults},
    {"agent killed", kill_agent, restart_agent},
    {"agent of a plain service killed", kill_plain_agent, restart_plain_agent},
    {"entry killed", kill_entry, restart_entry},
    {"agent paused", pause_agent, resume_agent},
    {"lease lapses while its holder is paused", pause_agent_past_lease,
     resume_agent_past_lease},
    {"engines restart without adapters", restart_engines,
     clear_pending_faults},
    {"loads fail", fail_loads, clear_pending_faults},
    {"answers break off", cut_answers, clear_pending_faults},
    {"another model answers", answer_with_wrong_model, clear_pending_faults},
    {"orders take effect after their timeout", delay_orders,
     clear_pending_faults},
    {"connections break", cut_connections, clear_pending_faults},
    {"an entry cannot reach some agents", stall_odd_agents, unstall_agents},
    {"planned stop of an agent", drain_agent, restart_drained_agent},
    {"planned stop of an entry", drain_entry, restart_drained_entry},
    {"operators edit concurrently", race_edits, clear_pending_faults},
};

static void
submit_calls(World *world, int rounds)
{
    for (int i = 0; i < rounds; i++) {
        WorldNode *entry = World_Entry(world, (uint32_t)i % 2);

        World_CallModel(entry, (uint32_t)World_DrawRandom(world, 6),
                        (uint32_t)World_DrawRandom(world, 2) + 1,
                        (uint32_t)World_DrawRandom(world, 10));
        World_CallModel(entry, (uint32_t)World_DrawRandom(world, 3), 2, 4);
        World_CallPlainService(entry, (uint32_t)World_DrawRandom(world, 12));
        World_Advance(world, ROUND_INTERVAL);
    }
}

static uint32_t
count_answered(const World *world)
{
    const WorldCaller *caller;
    uint32_t answered = 0;

    TAILQ_FOREACH (caller, &world->callers, link) {
        answered += caller->finished && caller->outcome == KC_OUTCOME_ANSWERED;
    }
    return answered;
}

/* Runs two overlapping faults, which may be the same, and checks afterwards
 * that the service answers again. */
static void
run_pair(size_t first, size_t second, bool fencing)
{
    WorldOptions options;
    const char *finding;
    World *world;
    uint32_t answered_before;

    WorldOptions_Init(&options);
    options.engine_checks_fence = fencing;
    options.seed = first * 100 + second + 1;
    world = World_Create(&options);
    World_Advance(world, KC_SECOND);
    submit_calls(world, 4);
    faults[first].begin(world);
    submit_calls(world, CALL_ROUNDS / 3);
    faults[second].begin(world);
    submit_calls(world, CALL_ROUNDS / 3);
    finding = Oracle_CheckNow(world);
    g_assert_cmpstr(finding, ==, NULL);
    faults[first].end(world);
    submit_calls(world, CALL_ROUNDS / 3);
    faults[second].end(world);
    World_Advance(world, RECOVERY_TIME);
    finding = Oracle_CheckRecovered(world, false);
    g_assert_cmpstr(finding, ==, NULL);
    /* A planned stop may have ended only during recovery, so start the
     * processes again. */
    faults[first].end(world);
    faults[second].end(world);
    World_Advance(world, 30 * KC_SECOND);
    answered_before = count_answered(world);
    World_CallModel(World_Entry(world, 0), 5, 2, 4);
    World_CallModel(World_Entry(world, 1), 4, 2, 4);
    World_CallPlainService(World_Entry(world, 1), 0);
    World_Advance(world, 30 * KC_SECOND);
    if (count_answered(world) != answered_before + 3) {
        World_PrintEvents(world);
    }
    g_assert_cmpuint(count_answered(world), ==, answered_before + 3);
    World_Free(world);
}

static void
test_single_faults(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        /* The last fault, which disturbs no request. */
        size_t race_edits_index = G_N_ELEMENTS(faults) - 1;

        g_test_message("%s", faults[i].name);
        run_pair(i, race_edits_index, true);
        run_pair(i, race_edits_index, false);
    }
}

static void
test_same_fault_twice(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        g_test_message("%s, twice", faults[i].name);
        run_pair(i, i, true);
    }
}

static void
test_fault_pairs(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(faults); j++) {
            g_test_message("%s with %s", faults[i].name, faults[j].name);
            run_pair(i, j, (i + j) % 2 == 0);
        }
    }
}

/*
 * An eviction that takes effect after its timeout must not evict the same
 * adapter, which has been loaded again and is serving by then.  Each load has
 * a name of its own, so the late eviction matches no adapter.
 */
static void
test_late_eviction(void)
{
    WorldOptions options;
    World *world;

    WorldOptions_Init(&options);
    options.entries = 1;
    options.model_agents = 1;
    options.slots = 1;
    options.tokens = 100; /* calls of two seconds */
    world = World_Create(&options);
    World_Advance(world, KC_SECOND);
    World_CallModel(World_Entry(world, 0), 0, 2, 4);
    World_Advance(world, 6 * KC_SECOND);
    World_DelayOrders(World_Agent(world, 0), 1);
    /* Evicts a0 with a delay. */
    World_CallModel(World_Entry(world, 0), 1, 2, 4);
    World_Advance(world, 5 * KC_SECOND);
    for (int i = 0; i < 8; i++) {
        World_CallModel(World_Entry(world, 0), 0, 2, 4);
        World_Advance(world, 500 * KC_MS);
    }
    World_Advance(world, 60 * KC_SECOND);
    g_assert_cmpstr(Oracle_CheckRecovered(world, false), ==, NULL);
    g_assert_cmpuint(count_answered(world), ==, 10);
    World_Free(world);
}

/*
 * A slow reader consumes all received data while the connection of its entry
 * and the agent is broken.  The entry must send the credit on the new
 * connection, else the agent waits for it for ever.  The time of the break
 * varies in steps shorter than the reader's delay.
 */
static void
test_credit_without_connection(void)
{
    for (int i = 0; i < 8; i++) {
        WorldOptions options;
        WorldCaller *caller;
        World *world;

        WorldOptions_Init(&options);
        options.entries = 1;
        options.model_agents = 1;
        options.tokens = 60;
        world = World_Create(&options);
        World_Advance(world, KC_SECOND);
        caller = World_CallModel(World_Entry(world, 0), 0, 2, 4);
        World_SetSlowReader(caller, true);
        World_Advance(world, KC_SECOND + i * 50 * KC_MS);
        World_SetStalled(World_Entry(world, 0), World_Agent(world, 0), true);
        World_CutConnections(World_Entry(world, 0), World_Agent(world, 0));
        World_Advance(world, 700 * KC_MS);
        World_SetStalled(World_Entry(world, 0), World_Agent(world, 0), false);
        World_Advance(world, RECOVERY_TIME);
        g_assert_cmpstr(Oracle_CheckRecovered(world, false), ==, NULL);
        g_assert_cmpuint(count_answered(world), ==, 1);
        World_Free(world);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/faults/single", test_single_faults);
    g_test_add_func("/faults/same_fault_twice", test_same_fault_twice);
    g_test_add_func("/faults/pairs", test_fault_pairs);
    g_test_add_func("/faults/late_eviction", test_late_eviction);
    g_test_add_func("/faults/credit_without_connection",
                    test_credit_without_connection);
    return g_test_run();
}
