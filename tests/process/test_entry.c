/*
 * Tests of the entry against a scripted agent: the outcome that the caller
 * gets for each sequence of replies.
 */
#include <glib.h>
#include <string.h>

#include <kcc.h>

#include "../world/world_internal.h"

#define STEPS_MAX 8

/* What the agent sends, or what else happens.  The code of a step is an error
 * number or, of STEP_WAIT, a time in milliseconds. */
typedef enum StepKind {
    STEP_END = 0,
    STEP_ADMIT,
    STEP_REFUSE,  /* REFUSE with the code */
    STEP_STARTED, /* STARTED by the requested adapter and version */
    STEP_STARTED_BY_ANOTHER,
    STEP_STARTED_BY_OLDER, /* by an older version of the adapter */
    STEP_DATA,             /* DATA of four bytes */
    STEP_DONE,             /* END of a complete answer */
    STEP_FAILED,           /* END with the code, after it ran */
    STEP_UNRUN,            /* END with the code, not run */
    STEP_LOSE_LINK,
    STEP_WAIT,
} StepKind;

typedef struct AgentStep {
    StepKind kind;
    int code;
} AgentStep;

/* Another agent of the service. */
typedef enum OtherAgent {
    OTHER_NONE = 0,
    OTHER_UNREACHABLE,
    OTHER_CONNECTED
} OtherAgent;

static const struct {
    const char *name;
    bool plain; /* to a plain service, not repeatable; else to a model */
    AgentStep steps[STEPS_MAX];
    KcOutcome outcome;
    int code;             /* of the error that the caller gets, 0: none */
    const char *received; /* data that the caller gets */
    uint32_t proposal_count;
    OtherAgent other;
} cases[] = {
    {"answered",
     false,
     {{STEP_ADMIT, 0},
      {STEP_STARTED, 0},
      {STEP_DATA, 0},
      {STEP_DATA, 0},
      {STEP_DONE, 0}},
     KC_OUTCOME_ANSWERED,
     0,
     "abcdabcd",
     1,
     OTHER_NONE},
    {"answered without admission",
     false,
     {{STEP_STARTED, 0}, {STEP_DATA, 0}, {STEP_DONE, 0}},
     KC_OUTCOME_ANSWERED,
     0,
     "abcd",
     1,
     OTHER_NONE},
    {"started by another adapter",
     false,
     {{STEP_ADMIT, 0}, {STEP_STARTED_BY_ANOTHER, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_WRONG_MODEL,
     "",
     1,
     OTHER_NONE},
    {"started by an older version",
     false,
     {{STEP_ADMIT, 0}, {STEP_STARTED_BY_OLDER, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_WRONG_MODEL,
     "",
     1,
     OTHER_NONE},
    {"data before the start",
     false,
     {{STEP_ADMIT, 0}, {STEP_DATA, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_PROTOCOL,
     "",
     1,
     OTHER_NONE},
    {"end before the start",
     false,
     {{STEP_ADMIT, 0}, {STEP_DONE, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_PROTOCOL,
     "",
     1,
     OTHER_NONE},
    {"refused",
     false,
     {{STEP_REFUSE, KC_ERR_BUSY}},
     KC_OUTCOME_NOT_RUN,
     KC_ERR_BUSY,
     "",
     1,
     OTHER_NONE},
    {"refused after admission",
     true,
     {{STEP_ADMIT, 0}, {STEP_REFUSE, KC_ERR_LEAVING}},
     KC_OUTCOME_NOT_RUN,
     KC_ERR_LEAVING,
     "",
     1,
     OTHER_NONE},
    {"not run by the service",
     true,
     {{STEP_ADMIT, 0}, {STEP_UNRUN, KC_ERR_BACKEND}},
     KC_OUTCOME_NOT_RUN,
     KC_ERR_BACKEND,
     "",
     1,
     OTHER_NONE},
    {"failed while it ran",
     true,
     {{STEP_ADMIT, 0}, {STEP_FAILED, KC_ERR_PEER_LOST}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_PEER_LOST,
     "",
     1,
     OTHER_NONE},
    {"failed after part of the answer",
     false,
     {{STEP_STARTED, 0}, {STEP_DATA, 0}, {STEP_FAILED, KC_ERR_PEER_LOST}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_PEER_LOST,
     "abcd",
     1,
     OTHER_NONE},
    {"connection lost and not restored",
     true,
     {{STEP_ADMIT, 0}, {STEP_LOSE_LINK, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1,
     OTHER_NONE},
    {"cancelled at the deadline, not run",
     false,
     {{STEP_ADMIT, 0}, {STEP_WAIT, 5000}, {STEP_REFUSE, KC_ERR_CANCELLED}},
     KC_OUTCOME_NOT_RUN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1,
     OTHER_NONE},
    {"cancelled at the deadline, already started",
     false,
     {{STEP_ADMIT, 0},
      {STEP_WAIT, 5000},
      {STEP_STARTED, 0},
      {STEP_DATA, 0},
      {STEP_FAILED, KC_ERR_CANCELLED}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1,
     OTHER_NONE},
    {"cancelled at the deadline, already complete",
     false,
     {{STEP_ADMIT, 0},
      {STEP_WAIT, 5000},
      {STEP_STARTED, 0},
      {STEP_DATA, 0},
      {STEP_DONE, 0}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1,
     OTHER_NONE},
    {"cancelled at the deadline, no reply",
     true,
     {{STEP_ADMIT, 0}, {STEP_WAIT, 5600}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1,
     OTHER_NONE},
    {"silent and sound, the only agent",
     false,
     {{STEP_WAIT, 2000}, {STEP_STARTED, 0}, {STEP_DATA, 0}, {STEP_DONE, 0}},
     KC_OUTCOME_ANSWERED,
     0,
     "abcd",
     1,
     OTHER_NONE},
    {"silent and sound, another is not reached",
     false,
     {{STEP_WAIT, 2000}, {STEP_STARTED, 0}, {STEP_DATA, 0}, {STEP_DONE, 0}},
     KC_OUTCOME_ANSWERED,
     0,
     "abcd",
     1,
     OTHER_UNREACHABLE},
    {"silent, another takes the request",
     false,
     {{STEP_WAIT, 2000}, {STEP_STARTED, 0}, {STEP_DATA, 0}, {STEP_DONE, 0}},
     KC_OUTCOME_ANSWERED,
     0,
     "abcd",
     2,
     OTHER_CONNECTED},
    {"silent until the deadline",
     false,
     {{STEP_WAIT, 5600}},
     KC_OUTCOME_UNKNOWN,
     KC_ERR_DEADLINE_EXCEEDED,
     "",
     1,
     OTHER_UNREACHABLE},
    {"not repeatable, silent and sound",
     true,
     {{STEP_WAIT, 2000}, {STEP_STARTED, 0}, {STEP_DATA, 0}, {STEP_DONE, 0}},
     KC_OUTCOME_ANSWERED,
     0,
     "abcd",
     1,
     OTHER_CONNECTED},
};

/* An entry with a scripted agent and a caller of one request. */
typedef struct Fixture {
    World *world;   /* only for its object API and clock */
    WorldNode node; /* the entry's process */
    KcEntry *entry;
    uint32_t stream_id; /* of the last proposal */
    uint64_t offset;    /* of the agent's next data */
    uint32_t proposal_count;
    bool ping_pending; /* the entry waits for an answer to its PING */
    KcBuffer received;
    bool finished;
    KcOutcome outcome;
    int code;
    KcRequest *request;
} Fixture;

static void
on_entry_message(void *transport, const KcMsg *msg)
{
    Fixture *fixture = transport;

    if (msg->type == KC_MSG_PROPOSE) {
        fixture->stream_id = msg->stream_id;
        fixture->offset = msg->u.propose.offset;
        fixture->proposal_count++;
    }
    if (msg->type == KC_MSG_PING) {
        fixture->ping_pending = true;
    }
}

static void
on_entry_close(void *transport)
{
    (void)transport;
}

static const KcLinkOps link_ops = {on_entry_message, on_entry_close};

/* Does nothing: the test itself accepts the only connection. */
static void
ignore_connect(void *context, KcBackend *backend)
{
    (void)context;
    (void)backend;
}

static const KcEntryOps entry_ops = {ignore_connect};

static void
on_started(void *caller, KcRequest *request, const KcMsgStarted *head)
{
    (void)caller;
    (void)request;
    (void)head;
}

static void
on_data(void *caller, KcRequest *request, KcBytes bytes, uint64_t tokens)
{
    Fixture *fixture = caller;

    (void)request;
    (void)tokens;
    KcBuffer_Append(&fixture->received, bytes.data, bytes.size);
}

static void
on_finished(void *caller, const KcResult *result)
{
    Fixture *fixture = caller;

    g_assert_false(fixture->finished);
    fixture->finished = true;
    fixture->outcome = result->outcome;
    fixture->code = result->error.code;
}

static const KcCallerOps caller_ops = {on_started, on_data, on_finished};

static KcTime
read_world_clock(void *context)
{
    return ((WorldNode *)context)->world->now;
}

static void
answer_pings(Fixture *fixture)
{
    KcMsg pong = {.type = KC_MSG_PONG};
    KcBackend *backend;

    fixture->ping_pending = false;
    TAILQ_FOREACH (backend, &KcEntry_Fleet(fixture->entry)->backends, link) {
        if (backend->connection != NULL) {
            KcEntry_OnMessage(fixture->entry, backend, &pong,
                              fixture->world->now);
        }
    }
}

/* Advances the time of the entry alone, and answers PING. */
static void
advance_time(Fixture *fixture, KcTime duration)
{
    KcTime until = fixture->world->now + duration;

    while (fixture->world->now < until) {
        fixture->world->now += 4 * KC_MS;
        KcTimers_Run(fixture->node.timers, fixture->world->now);
        if (fixture->ping_pending) {
            answer_pings(fixture);
        }
    }
}

static void
create_entry(Fixture *fixture, OtherAgent other)
{
    KcEntryOptions options;
    KcInstance instances[4] = {
        {"m1", "model", "dc-0", "127.0.0.1:1", false},
        {"p1", "plain", "dc-0", "127.0.0.1:2", false},
        {"m2", "model", "dc-0", "127.0.0.1:3", false},
        {"p2", "plain", "dc-0", "127.0.0.1:4", false},
    };
    size_t instance_count = other != OTHER_NONE ? 4 : 2;

    KcEntryOptions_Init(&options);
    options.member.name = "e1";
    options.member.datacentre = "dc-0";
    options.member.incarnation = 7;
    options.member.object_ops = &WorldStore_Ops;
    options.member.objects = &fixture->node;
    options.member.timers = fixture->node.timers;
    options.member.events = fixture->node.events;
    options.member.counters = &fixture->node.counters;
    options.member.clock = read_world_clock;
    options.member.clock_context = &fixture->node;
    options.ops = &entry_ops;
    options.ops_context = &fixture->node;
    options.attempts_max = other != OTHER_NONE ? 2 : 1;
    fixture->entry = KcEntry_Create(&options);
    KcEntry_Start(fixture->entry, fixture->world->now);
    KcEntry_OnInstances(fixture->entry, instances, instance_count, 1,
                        fixture->world->now);
}

/* Creates an entry that is ready; a world without processes is its object
 * API. */
static void
set_up(Fixture *fixture, OtherAgent other)
{
    WorldOptions options;

    memset(fixture, 0, sizeof(*fixture));
    WorldOptions_Init(&options);
    options.entry_count = 0;
    options.model_agent_count = 0;
    options.plain_agent_count = 0;
    options.default_deadline = 5 * KC_SECOND;
    fixture->world = World_Create(&options);
    fixture->node.world = fixture->world;
    fixture->node.alive = true;
    TAILQ_INIT(&fixture->node.backlog);
    fixture->node.timers = KcTimers_Create(fixture->world->now);
    fixture->node.events = KcEvents_Create(16, 0);
    create_entry(fixture, other);
    World_Advance(fixture->world, 100 * KC_MS); /* the document arrives */
    KcTimers_Run(fixture->node.timers, fixture->world->now);
    g_assert_cmpint(KcEntry_CheckReady(fixture->entry), ==, 0);
}

static void
tear_down(Fixture *fixture)
{
    KcEntry_AbortRequests(fixture->entry, fixture->world->now);
    KcEntry_Free(fixture->entry);
    WorldStore_OnNodeEnded(&fixture->node);
    KcTimers_Free(fixture->node.timers);
    KcEvents_Free(fixture->node.events);
    KcBuffer_Clear(&fixture->received);
    World_Free(fixture->world);
}

/* The agent to which the request was sent last. */
static KcBackend *
find_backend(const Fixture *fixture)
{
    return fixture->request->attempt.backend;
}

/* An agent accepts the connection that the entry requested. */
static void
accept_connection(Fixture *fixture, KcBackend *backend)
{
    KcMsg hello = {.type = KC_MSG_HELLO,
                   .u.hello = {"agent", 5, KC_PROTOCOL_VERSION}};
    KcLink *link =
        KcLink_Create(&link_ops, fixture, true, fixture->world->now);
    KcStream *stream;
    KcError error;

    g_assert_cmpint(
        KcLink_Receive(link, &hello, &stream, fixture->world->now, &error), ==,
        0);
    KcEntry_OnConnected(fixture->entry, backend, link, fixture->world->now);
}

/* Every agent but the one that has the request accepts a connection. */
static void
accept_others(Fixture *fixture)
{
    KcBackend *backend;

    TAILQ_FOREACH (backend, &KcEntry_Fleet(fixture->entry)->backends, link) {
        if (backend->connection == NULL && backend != find_backend(fixture)) {
            accept_connection(fixture, backend);
        }
    }
}

static void
submit_request(Fixture *fixture, bool plain)
{
    KcCall call = {.plain = plain,
                   .model = "a0@2",
                   .customer = "c",
                   .method = "POST",
                   .path = plain ? "/plain/do" : "/v1/completions",
                   .content_type = "text/plain",
                   .timeout = 5 * KC_SECOND};

    fixture->request = KcEntry_Submit(fixture->entry, &call, &caller_ops,
                                      fixture, fixture->world->now);
    g_assert_nonnull(fixture->request);
    accept_connection(fixture, find_backend(fixture));
}

static void
fill_started(KcMsg *msg, StepKind kind, bool plain)
{
    msg->type = KC_MSG_STARTED;
    msg->u.started.http_status = 200;
    if (plain) {
        return;
    }
    KcText_Copy(msg->u.started.adapter,
                kind == STEP_STARTED_BY_ANOTHER ? "a1" : "a0", KC_NAME_MAX);
    msg->u.started.version = kind == STEP_STARTED_BY_OLDER ? 1 : 2;
}

static void
fill_end(KcMsg *msg, const Fixture *fixture, int code, bool reached_backend)
{
    msg->type = KC_MSG_END;
    msg->u.end.code = code;
    msg->u.end.reached_backend = reached_backend;
    msg->u.end.offset = fixture->offset;
}

/* Fills in the message of a step; false when the step is no message. */
static bool
fill_message(Fixture *fixture, const AgentStep *step, bool plain, KcMsg *msg)
{
    memset(msg, 0, sizeof(*msg));
    msg->stream_id = fixture->stream_id;
    switch (step->kind) {
    case STEP_ADMIT:
        msg->type = KC_MSG_ADMIT;
        return true;
    case STEP_REFUSE:
        msg->type = KC_MSG_REFUSE;
        msg->u.refuse.code = step->code;
        return true;
    case STEP_STARTED:
    case STEP_STARTED_BY_ANOTHER:
    case STEP_STARTED_BY_OLDER:
        fill_started(msg, step->kind, plain);
        return true;
    case STEP_DATA:
        msg->type = KC_MSG_DATA;
        msg->u.data.offset = fixture->offset;
        msg->u.data.bytes = (KcBytes){"abcd", 4};
        fixture->offset += 4;
        return true;
    case STEP_DONE:
        fill_end(msg, fixture, 0, true);
        return true;
    case STEP_FAILED:
        fill_end(msg, fixture, step->code, true);
        return true;
    case STEP_UNRUN:
        fill_end(msg, fixture, step->code, false);
        return true;
    default:
        return false;
    }
}

static void
run_step(Fixture *fixture, const AgentStep *step, bool plain)
{
    KcMsg msg;

    if (step->kind == STEP_WAIT) {
        advance_time(fixture, step->code * KC_MS);
    }
    else if (step->kind == STEP_LOSE_LINK) {
        KcEntry_OnLinkLost(fixture->entry, find_backend(fixture),
                           KC_ERR_PEER_LOST, fixture->world->now);
    }
    else if (fill_message(fixture, step, plain, &msg)) {
        KcEntry_OnMessage(fixture->entry, find_backend(fixture), &msg,
                          fixture->world->now);
    }
}

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture;

        g_test_message("%s", cases[i].name);
        set_up(&fixture, cases[i].other);
        submit_request(&fixture, cases[i].plain);
        if (cases[i].other == OTHER_CONNECTED) {
            accept_others(&fixture);
        }
        for (int j = 0; j < STEPS_MAX && !fixture.finished; j++) {
            run_step(&fixture, &cases[i].steps[j], cases[i].plain);
        }
        if (!fixture.finished) {
            advance_time(&fixture, 30 * KC_SECOND);
        }
        g_assert_true(fixture.finished);
        g_assert_cmpint(fixture.outcome, ==, cases[i].outcome);
        g_assert_cmpint(fixture.code, ==, cases[i].code);
        g_assert_cmpmem(KcBuffer_Data(&fixture.received),
                        KcBuffer_Size(&fixture.received), cases[i].received,
                        strlen(cases[i].received));
        g_assert_cmpuint(fixture.proposal_count, ==, cases[i].proposal_count);
        tear_down(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/entry/cases", test_cases);
    return g_test_run();
}
