/*
 * The operations of the fuzzer, and the run of one input.
 */
#include "operations.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "../world/world_internal.h"

#define HEADER_SIZE 4    /* bytes of an input that choose the options */
#define OPERATION_SIZE 3 /* bytes of an operation: index, a, b */
/* Number of operations between two checks of the promises. */
#define CHECK_INTERVAL 16
/* Time in which all requests must end once the faults have ended. */
#define RECOVERY_TIME (200 * KC_SECOND)
/* Number of idempotency keys that the calls share. */
#define KEY_COUNT 8

/* An operation with its parameters a and b, bytes of the input. */
typedef struct Operation {
    const char *name;
    bool is_fault; /* skipped in a run without faults */
    void (*apply)(World *world, uint8_t a, uint8_t b);
} Operation;

static WorldNode *
choose_entry(World *world, uint8_t byte)
{
    return World_Entry(world, byte % World_EntryCount(world));
}

static WorldNode *
choose_agent(World *world, uint8_t byte)
{
    return World_Agent(world, byte % World_AgentCount(world));
}

static WorldNode *
choose_node(World *world, uint8_t byte)
{
    return &world->nodes[byte % world->node_count];
}

/* One of the last eight callers, or NULL. */
static WorldCaller *
choose_recent_caller(World *world, uint8_t byte)
{
    uint32_t calls_back = byte % 8 + 1;

    if (calls_back > world->caller_count) {
        return NULL;
    }
    return WorldCaller_Find(world, world->caller_count - calls_back);
}

/* ---- callers ------------------------------------------------------------ */

static void
call_model(World *world, uint8_t a, uint8_t b)
{
    World_CallModel(choose_entry(world, a), b % world->options.adapters,
                    (b & 0x80) != 0 ? 1 : 2, (a >> 4) % 10);
}

static void
call_burst(World *world, uint8_t a, uint8_t b)
{
    for (int i = 0; i < 6; i++) {
        call_model(world, (uint8_t)(a + i), (uint8_t)(b + i * (a & 1)));
    }
}

static void
call_plain(World *world, uint8_t a, uint8_t b)
{
    World_CallPlainService(choose_entry(world, a), b % KEY_COUNT);
}

static void
call_same_key(World *world, uint8_t a, uint8_t b)
{
    uint32_t key = 100 + b % KEY_COUNT;

    World_CallPlainService(choose_entry(world, a), key);
    World_CallPlainService(choose_entry(world, (uint8_t)(a + 1)), key);
}

static void
abandon_call(World *world, uint8_t a, uint8_t b)
{
    WorldCaller *caller = choose_recent_caller(world, a);

    (void)b;
    if (caller != NULL) {
        World_AbandonCall(caller);
    }
}

static void
set_slow_reader(World *world, uint8_t a, uint8_t b)
{
    WorldCaller *caller = choose_recent_caller(world, a);

    if (caller != NULL) {
        World_SetSlowReader(caller, (b & 1) != 0);
    }
}

/* ---- time --------------------------------------------------------------- */

static void
wait_short(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_Advance(world, (KcTime)a * 4 * KC_MS);
}

static void
wait_long(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_Advance(world, (KcTime)a * 100 * KC_MS);
}

/* ---- processes ---------------------------------------------------------- */

static void
kill_node(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_Kill(choose_node(world, a));
}

static void
restart_node(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_Restart(choose_node(world, a));
}

static void
kill_and_restart(World *world, uint8_t a, uint8_t b)
{
    WorldNode *node = choose_node(world, a);

    World_Kill(node);
    World_Advance(world, (KcTime)b * KC_MS);
    World_Restart(node);
}

static void
pause_node(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_Pause(choose_node(world, a));
}

static void
resume_node(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_Resume(choose_node(world, a));
}

static void
drain_node(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_Drain(choose_node(world, a));
}

/* ---- network ------------------------------------------------------------ */

static void
cut_connections(World *world, uint8_t a, uint8_t b)
{
    World_CutConnections(choose_entry(world, a), choose_agent(world, b));
}

static void
stall_pair(World *world, uint8_t a, uint8_t b)
{
    World_SetStalled(choose_entry(world, a), choose_agent(world, b), true);
}

static void
stall_open_connections(World *world, uint8_t a, uint8_t b)
{
    World_StallOpenConnections(choose_entry(world, a), choose_agent(world, b));
}

static void
unstall_pair(World *world, uint8_t a, uint8_t b)
{
    World_SetStalled(choose_entry(world, a), choose_agent(world, b), false);
}

/* ---- platform ----------------------------------------------------------- */

static void
begin_outage(World *world, uint8_t a, uint8_t b)
{
    (void)a;
    (void)b;
    World_SetStoreOutage(world, true);
}

static void
end_outage(World *world, uint8_t a, uint8_t b)
{
    (void)a;
    (void)b;
    World_SetStoreOutage(world, false);
}

static void
lose_replies(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_LoseStoreReplies(world, a % 3 + 1);
}

static void
delay_writes(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_DelayStoreWrites(world, a % 3 + 1);
}

static void
delay_store(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_SetStoreDelay(world, (KcTime)(a % 8) * 100 * KC_MS);
}

/* ---- engines ------------------------------------------------------------ */

static void
restart_engine(World *world, uint8_t a, uint8_t b)
{
    (void)b;
    World_RestartEngine(choose_agent(world, a));
}

static void
fail_loads(World *world, uint8_t a, uint8_t b)
{
    World_FailLoads(choose_agent(world, a), b % 4 + 1);
}

static void
cut_answers(World *world, uint8_t a, uint8_t b)
{
    World_CutAnswers(choose_agent(world, a), b % 3 + 1);
}

static void
answer_with_wrong_model(World *world, uint8_t a, uint8_t b)
{
    World_AnswerWithWrongModel(choose_agent(world, a), b % 3 + 1);
}

static void
delay_orders(World *world, uint8_t a, uint8_t b)
{
    World_DelayOrders(choose_agent(world, a), b % 3 + 1);
}

/* ---- operators ---------------------------------------------------------- */

static void
edit_retirement(World *world, uint8_t a, uint8_t b)
{
    World_EditRetirement(world, a % world->options.adapters, (b & 1) != 0,
                         false);
}

/* Two operators edit the same head: the second edit must be rejected. */
static void
race_edits(World *world, uint8_t a, uint8_t b)
{
    if (World_EditRetirement(world, a % world->options.adapters, (b & 1) != 0,
                             false) == 0) {
        World_EditRetirement(world, b % world->options.adapters, (a & 1) != 0,
                             true);
    }
}

/* Indexed by the input; an operation listed more often is more frequent. */
static const Operation operations[] = {
    {"call_model", false, call_model},
    {"call_model", false, call_model},
    {"call_burst", false, call_burst},
    {"call_plain", false, call_plain},
    {"call_same_key", false, call_same_key},
    {"wait_short", false, wait_short},
    {"wait_short", false, wait_short},
    {"wait_short", false, wait_short},
    {"wait_long", false, wait_long},
    {"abandon_call", false, abandon_call},
    {"set_slow_reader", false, set_slow_reader},
    {"drain_node", false, drain_node},
    {"restart_node", false, restart_node},
    {"restart_node", false, restart_node},
    {"restart_node", false, restart_node},
    {"edit_retirement", false, edit_retirement},
    {"race_edits", false, race_edits},
    {"kill_node", true, kill_node},
    {"kill_and_restart", true, kill_and_restart},
    {"pause_node", true, pause_node},
    {"resume_node", true, resume_node},
    {"cut_connections", true, cut_connections},
    {"stall_pair", true, stall_pair},
    {"stall_open_connections", true, stall_open_connections},
    {"unstall_pair", true, unstall_pair},
    {"begin_outage", true, begin_outage},
    {"end_outage", true, end_outage},
    {"lose_replies", true, lose_replies},
    {"delay_writes", true, delay_writes},
    {"delay_store", true, delay_store},
    {"restart_engine", true, restart_engine},
    {"fail_loads", true, fail_loads},
    {"cut_answers", true, cut_answers},
    {"answer_with_wrong_model", true, answer_with_wrong_model},
    {"delay_orders", true, delay_orders},
};

#define OPERATION_COUNT (sizeof(operations) / sizeof(operations[0]))

/* ---- a run -------------------------------------------------------------- */

/* Ends every fault, so that all requests can end. */
static void
end_faults(World *world)
{
    World_SetStoreOutage(world, false);
    World_LoseStoreReplies(world, 0);
    World_DelayStoreWrites(world, 0);
    World_SetStoreDelay(world, 0);
    for (uint32_t i = 0; i < world->node_count; i++) {
        World_Resume(&world->nodes[i]);
    }
    for (uint32_t i = 0; i < World_EntryCount(world); i++) {
        for (uint32_t j = 0; j < World_AgentCount(world); j++) {
            World_SetStalled(World_Entry(world, i), World_Agent(world, j),
                             false);
        }
    }
    for (uint32_t i = 0; i < World_AgentCount(world); i++) {
        WorldNode *agent = World_Agent(world, i);

        World_FailLoads(agent, 0);
        World_CutAnswers(agent, 0);
        World_AnswerWithWrongModel(agent, 0);
        World_DelayOrders(agent, 0);
    }
}

/* Reads the header of an input. */
static void
choose_options(const uint8_t *data, WorldOptions *options, bool *faultless)
{
    WorldOptions_Init(options);
    options->seed = data[0] + 1;
    *faultless = (data[1] & 3) == 0;
    options->engine_checks_fence = (data[1] & 4) != 0;
    options->slots = 1 + data[2] % 3;
    options->batch = 1 + (data[2] >> 4) % 4;
    options->model_agents = 1 + data[3] % 3;
    options->entries = 1 + (data[3] >> 4) % 3;
}

static void
print_operation(const World *world, const Operation *operation,
                const uint8_t *bytes)
{
    printf("%" PRId64 " %s %u %u\n", World_Now(world) / KC_MS, operation->name,
           bytes[1], bytes[2]);
}

static void
count_outcomes(const World *world, FuzzResult *result)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        result->requests_ended += caller->finished ? 1 : 0;
        result->requests_answered +=
            caller->finished && caller->outcome == KC_OUTCOME_ANSWERED;
    }
}

/* Applies the operations of an input up to the first finding. */
static void
apply_operations(World *world, const uint8_t *data, size_t size,
                 bool faultless, bool trace, FuzzResult *result)
{
    for (size_t i = 0; i + OPERATION_SIZE <= size; i += OPERATION_SIZE) {
        const Operation *operation = &operations[data[i] % OPERATION_COUNT];

        if (faultless && operation->is_fault) {
            continue;
        }
        if (trace) {
            print_operation(world, operation, data + i);
        }
        operation->apply(world, data[i + 1], data[i + 2]);
        result->operations++;
        if (result->operations % CHECK_INTERVAL == 0) {
            result->finding = Oracle_CheckNow(world);
        }
        if (result->finding != NULL) {
            return;
        }
    }
}

static FuzzResult
run_input(const uint8_t *data, size_t size, bool trace)
{
    FuzzResult result = {0};
    WorldOptions options;
    bool faultless;
    World *world;

    if (size < HEADER_SIZE) {
        return result;
    }
    choose_options(data, &options, &faultless);
    world = World_Create(&options);
    World_Advance(world, 500 * KC_MS);
    apply_operations(world, data + HEADER_SIZE, size - HEADER_SIZE, faultless,
                     trace, &result);
    if (result.finding == NULL) {
        end_faults(world);
        World_Advance(world, RECOVERY_TIME);
        result.finding = Oracle_CheckRecovered(world, faultless);
    }
    if (trace) {
        World_PrintEvents(world);
    }
    count_outcomes(world, &result);
    World_Free(world);
    return result;
}

FuzzResult
Fuzz_Run(const uint8_t *data, size_t size)
{
    return run_input(data, size, false);
}

FuzzResult
Fuzz_RunTraced(const uint8_t *data, size_t size)
{
    return run_input(data, size, true);
}
