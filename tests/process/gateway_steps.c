/*
 * Steps of cases on the gateway's decisions: which server each attempt goes
 * to, what follows an answer, a refusal or a lost attempt, and what the caller
 * gets.
 *
 * Routes: /s/ safe, /u/ unsafe, /t/ a stream, /r/ a resumable stream; latency
 * objective 1 s, request timeout 4 s, two attempts at the most where a request
 * may be repeated.  Streams go to service llm, the others to service plain.
 * Callers leave a stream after 3 s of silence; intervals between events up to
 * 400 ms are on time.  Servers are in the gateway's data centre "here" unless
 * at= names another: "near" in the same region, "far" in another one.
 *
 * gateway_steps_customers.c describes the steps on customers, and what they
 * add to others.
 * gateway_steps_explain.c describes the step "explain N PATH ...", which takes
 * the words of "request".
 *
 * Steps, separated by semicolons:
 *   config VERSION [CONNECTIONS_MAX] [memory=TOKENS] [CUSTOMER...]
 *                           takes a routing configuration; a server of service
 *                           plain accepts so many connections, one of llm
 *                           holds so many tokens
 *   inforce                 traces the version in force, as "v2"
 *   server ID SERVICE CONCURRENCY_MAX [at=DC] [born=MS] [port=N] [leaving]
 *          [again] REPLICA...  a server's record; born is its start time, x@1
 *                           is version 1 of adapter x, m the base model of all
 *                           adapters; each ID has a port unless one is given;
 *                           again: the record has not changed
 *   missing ID [deleted]    the record is missing, or known to be deleted
 *   list ID...              a complete list, with these records only
 *   restore N               the store comes back from a copy of N changes
 *                           before, in a later era
 *   request N PATH [MODEL[/ADAPTER] [EVENTS_MAX [LAST_EVENT]]]
 *          [tokens=PROMPT,ANSWER] [parts=PART,...]
 *                           with 10 tokens of prompt unless it states them
 *   abandon N
 *   reply N STATUS, notrun N, misdirected N, begin N, event N ID, end N
 *                           answers to an attempt: N is the latest one of
 *                           request N, N@SERVER the one at that server
 *   lost N, neversent N     the attempt failed after or before it was sent
 *   report SERVER ADAPTER VERSION STATE     from the keeper; see state_names
 *   keeperlost SERVER       the keeper's link ended
 *   ended SERVER BORN PART,...  the keeper confirms that this instance ended
 *   news SERVER KIND PART EPOCH [INSTANCE | of=ID | with=PART,...]  news of a
 *                           part from a hub of the server's service: of an
 *                           instance, or of that server's with the start time
 *                           0, or with companions
 *   version ADAPTER VERSION [MS]  announces a version, at the most so long ago
 *   load SERVER RUNNING WAITING CONCURRENCY_MAX
 *   nokeeper SERVER, nosend SERVER     the keeper or server is unreachable
 *   connecting              attempts are sent by "written" only from now on
 *   gateways N              number of gateways that share the retry budget
 *   extra PERCENT           limit of second attempts against slow answers
 *   checks                  traces checks of servers from now on
 *   alive SERVER            the server answers a check
 *   notice SERVER leaving [BORN], notice SERVER wait MS, notice SERVER unread
 *                           a server's notice, from the instance of that start
 *   written N               the connection of an attempt was made: its request
 *                           is written, unless the server takes none by now
 *   unread N, read N        the caller stops reading its answer, or goes on
 *   drain, wait MS
 *   cleartrace              forgets what was traced so far
 *   each FIRST LAST STEP [WORD...]     the step for each of these numbers
 *   pause MS                the gateway's process stands still
 *   freeze MS               the same; the steps behind come before its timers
 *
 * Trace: "1>a" attempt of request 1 at server a, "1>a+5" one that resumes
 * after event 5, "1x" attempt cancelled, "1x a" the one at server a of
 * several, "?a x@2" load request to a's keeper, "check a" a is asked for a
 * sign of life, "refresh" the servers' records are to be read; "1:begin",
 * "1:200", "1:7" (an event), "1:end", "1:broken", "1:not run CODE",
 * "1:unknown CODE" what the caller gets, with the time after which it may try
 * again if that is not 400 ms, or "for good" without one; "a:leaving",
 * "a:closed MS", "a:open", "a:unread" what is learned from notices, "1
 * written" a request that is written; "ask a 1,2" a's keeper is asked whether
 * a has ended with parts 1 and 2, "1 blocked" a step of part 1, "say end 1"
 * news of it.
 */
#include "gateway_steps.h"

#include <stdio.h>
#include <string.h>

#include "../foresight.h"
#include "gateway_steps_internal.h"

static const char *
find_region(void *context, const char *datacentre)
{
    (void)context;
    return strcmp(datacentre, "far") == 0 ? "south" : "north";
}

/* ---- steps -------------------------------------------------------------- */

static KcRouteRule *
add_rule(KcRouting *routing, const char *prefix, KcRequestKind kind,
         bool resumable)
{
    KcRouteRule *rule = KcRouting_AddRule(routing, "h", prefix);

    KcText_Copy(rule->name, prefix, KC_NAME_MAX);
    rule->kind = kind;
    rule->request_timeout = 4 * KC_SECOND;
    rule->latency_objective = 1 * KC_SECOND;
    rule->event_interval_max = 400 * KC_MS;
    rule->caller_silence_timeout = 3 * KC_SECOND;
    rule->resumable = resumable;
    rule->priority = 7;
    rule->attempts_max = 2;
    KcRouting_AddTarget(rule, kind == KC_REQUEST_KIND_STREAM ? "llm" : "plain",
                        1);
    return rule;
}

static void
step_config(Fixture *fixture, char **words)
{
    KcRouting *routing = KcRouting_Create((uint64_t)atoi(words[1]));
    char **customers = words + 2;
    KcEngineCapacity *engine = &KcRouting_AddService(routing, "llm")->engine;
    uint32_t connections_max = 0;
    KcError error;

    engine->is_configured = true;
    if (*customers != NULL && g_ascii_isdigit(**customers)) {
        connections_max = (uint32_t)atoi(*customers++);
    }
    if (*customers != NULL && g_str_has_prefix(*customers, "memory=")) {
        engine->kv_cache_tokens =
            strtoull(*customers++ + strlen("memory="), NULL, 10);
    }
    KcRouting_AddService(routing, "plain")->connections_max = connections_max;
    add_rule(routing, "/s/", KC_REQUEST_KIND_SAFE, false);
    add_rule(routing, "/u/", KC_REQUEST_KIND_UNSAFE, false);
    add_rule(routing, "/k/", KC_REQUEST_KIND_SAFE, false)->keyless = true;
    add_rule(routing, "/t/", KC_REQUEST_KIND_STREAM, false);
    add_rule(routing, "/r/", KC_REQUEST_KIND_STREAM, true);
    GatewaySteps_AddCustomers(routing, customers);
    g_assert_cmpint(KcRouting_Validate(routing, &error), ==, 0);
    KcGateway_SetRouting(fixture->gateway, routing);
}

static void
step_in_force(Fixture *fixture, char **words)
{
    (void)words;
    g_string_append_printf(
        fixture->trace, "v%d; ",
        (int)KcGateway_GetRouting(fixture->gateway)->version);
}

/* Applies an option or replica of a server step to the record. */
static void
apply_server_word(KcServerInfo *info, const char *server_word)
{
    char **parts = g_strsplit(server_word, "@", 2);

    if (strncmp(server_word, "at=", 3) == 0) {
        KcText_Copy(info->datacentre, server_word + 3, KC_NAME_MAX);
    }
    else if (strncmp(server_word, "born=", 5) == 0) {
        info->started_at_ms = atoi(server_word + 5);
    }
    else if (strncmp(server_word, "port=", 5) == 0) {
        snprintf(info->address, sizeof(info->address), "127.0.0.1:%s",
                 server_word + 5);
    }
    else if (strcmp(server_word, "leaving") == 0) {
        info->leaving = true;
    }
    else if (strcmp(server_word, "again") == 0) {
        /* see step_server() */
    }
    else if (parts[1] != NULL) {
        KcServerInfo_AddReplica(info, "m", parts[0], (uint32_t)atoi(parts[1]),
                                false);
    }
    else {
        KcServerInfo_AddReplica(info, parts[0], "", 1, false);
    }
    g_strfreev(parts);
}

static void
step_server(Fixture *fixture, char **words)
{
    const KcServer *known = KcGateway_FindServer(fixture->gateway, words[1]);
    bool is_again = g_strv_contains((const char *const *)words, "again");
    KcServerInfo info;

    KcServerInfo_Init(&info);
    KcText_Copy(info.id, words[1], KC_NAME_MAX);
    KcText_Copy(info.service, words[2], KC_NAME_MAX);
    snprintf(info.address, sizeof(info.address), "127.0.0.1:%d", words[1][0]);
    KcText_Copy(info.datacentre, "here", KC_NAME_MAX);
    info.concurrency_max = (uint32_t)atoi(words[3]);
    for (char **word = words + 4; *word != NULL; word++) {
        apply_server_word(&info, *word);
    }
    fixture->revision.number += is_again ? 0 : 1;
    KcGateway_OnServerRecord(
        fixture->gateway, &info,
        is_again ? known->record_revision : fixture->revision, fixture->now);
    KcServerInfo_Clear(&info);
}

static void
step_missing(Fixture *fixture, char **words)
{
    KcGateway_OnServerRecordMissing(fixture->gateway, words[1],
                                    words[2] != NULL, fixture->now);
}

static void
step_list(Fixture *fixture, char **words)
{
    KcGateway_BeginServerList(fixture->gateway);
    for (char **word = words + 1; *word != NULL; word++) {
        KcServer *server = KcGateway_FindServer(fixture->gateway, *word);
        KcServerInfo info;

        KcServerInfo_Init(&info);
        KcText_Copy(info.id, server->id, KC_NAME_MAX);
        KcText_Copy(info.service, server->pool->service, KC_NAME_MAX);
        KcText_Copy(info.address, server->address, KC_ADDRESS_MAX);
        KcText_Copy(info.datacentre, server->datacentre, KC_NAME_MAX);
        info.concurrency_max = server->concurrency_max;
        info.started_at_ms = server->started_at_ms;
        KcGateway_OnServerRecord(fixture->gateway, &info,
                                 (KcRevision){fixture->revision.era,
                                              server->record_revision.number},
                                 fixture->now);
    }
    KcGateway_EndServerList(fixture->gateway, fixture->now);
}

static void
step_restore(Fixture *fixture, char **words)
{
    fixture->revision.era++;
    fixture->revision.number -= (uint64_t)atoi(words[1]);
}

static void
submit(Fixture *fixture, int number, const KcForwardCall *call)
{
    Caller *caller = &fixture->callers[number];
    Foresight foresight;

    caller->fixture = fixture;
    caller->number = number;
    if (fixture->foresees) {
        Foresight_Begin(&foresight, fixture->gateway, call, fixture->now);
    }
    KcGateway_Submit(fixture->gateway, call, &GatewaySteps_CallerOps, caller,
                     &caller->forward, fixture->now);
    if (!fixture->foresees) {
        return;
    }
    /* What is unreachable is found out by trying only. */
    if (!Foresight_Asks(&foresight, fixture->no_keeper_server) &&
        !Foresight_Asks(&foresight, fixture->no_send_server)) {
        Foresight_Check(&foresight, caller->forward, &caller->refusal,
                        fixture->now);
    }
    Foresight_Clear(&foresight);
}

static void
step_request(Fixture *fixture, char **words)
{
    GatewaySteps_WithCall(fixture, words, submit);
}

static void
step_explain(Fixture *fixture, char **words)
{
    GatewaySteps_WithCall(fixture, words, GatewaySteps_Explain);
}

static KcForward *
find_forward(Fixture *fixture, const char *number)
{
    KcForward *forward = fixture->callers[atoi(number)].forward;

    if (forward == NULL) {
        g_error("request %s is over: %s", number, fixture->trace->str);
    }
    return forward;
}

/* Finds an attempt by "1", the latest one of request 1, or "1@a", the one at
 * server a. */
static KcForwardAttempt *
find_attempt(Fixture *fixture, const char *name)
{
    KcForward *forward = find_forward(fixture, name);
    const char *id = strchr(name, '@');
    KcForwardAttempt *attempt;

    TAILQ_FOREACH_REVERSE(attempt, &forward->attempts, KcForwardAttemptList,
                          link)
    {
        if (id == NULL || strcmp(attempt->server->id, id + 1) == 0) {
            return attempt;
        }
    }
    g_error("no attempt %s: %s", name, fixture->trace->str);
}

static void
step_abandon(Fixture *fixture, char **words)
{
    KcForward_Abandon(find_forward(fixture, words[1]), fixture->now);
    fixture->callers[atoi(words[1])].forward = NULL;
}

static void
step_reply(Fixture *fixture, char **words)
{
    KcReply reply = {.status = atoi(words[2]),
                     .head = fixture,
                     .body = {words[2], strlen(words[2])}};

    KcForwardAttempt_OnReply(find_attempt(fixture, words[1]), &reply,
                             fixture->now);
}

static void
step_not_run(Fixture *fixture, char **words)
{
    KcReply reply = {.status = 503, .not_run = true};

    KcForwardAttempt_OnReply(find_attempt(fixture, words[1]), &reply,
                             fixture->now);
}

static void
step_misdirected(Fixture *fixture, char **words)
{
    KcReply reply = {.status = 421, .not_run = true, .is_misdirected = true};

    KcForwardAttempt_OnReply(find_attempt(fixture, words[1]), &reply,
                             fixture->now);
}

static void
step_begin(Fixture *fixture, char **words)
{
    KcReply reply = {.status = 200, .head = fixture};

    KcForwardAttempt_OnStreamBegin(find_attempt(fixture, words[1]), &reply,
                                   fixture->now);
}

static void
step_event(Fixture *fixture, char **words)
{
    KcForwardAttempt_OnStreamEvent(
        find_attempt(fixture, words[1]), true, (uint64_t)atoi(words[2]),
        (KcBytes){words[2], strlen(words[2])}, fixture->now);
}

static void
step_end(Fixture *fixture, char **words)
{
    KcForwardAttempt_OnStreamEnd(find_attempt(fixture, words[1]),
                                 fixture->now);
}

static void
step_lost(Fixture *fixture, char **words)
{
    KcForwardAttempt_OnFailed(find_attempt(fixture, words[1]), KC_ATTEMPT_LOST,
                              KC_ERR_PEER_LOST, fixture->now);
}

static void
step_never_sent(Fixture *fixture, char **words)
{
    KcForwardAttempt_OnFailed(find_attempt(fixture, words[1]),
                              KC_ATTEMPT_NEVER_SENT, KC_ERR_PEER_LOST,
                              fixture->now);
}

static void
step_keeper_report(Fixture *fixture, char **words)
{
    static const char *const state_names[KC_HELD_STATE_COUNT] = {
        "not_loaded", "loading", "loaded", "restarted", "leaving"};
    KcHeldState state = KC_HELD_NOT_LOADED;

    while (strcmp(state_names[state], words[4]) != 0) {
        state++;
    }
    KcGateway_OnKeeperReport(
        fixture->gateway, KcGateway_FindServer(fixture->gateway, words[1]),
        "m", words[2], (uint32_t)atoi(words[3]), state, fixture->now);
}

static void
step_keeper_lost(Fixture *fixture, char **words)
{
    KcGateway_OnKeeperLost(fixture->gateway,
                           KcGateway_FindServer(fixture->gateway, words[1]),
                           fixture->now);
}

static void
step_version(Fixture *fixture, char **words)
{
    KcTime age = words[3] != NULL ? atoi(words[3]) * KC_MS : 0;

    KcGateway_OnVersionAnnounced(fixture->gateway, "m", words[1],
                                 (uint32_t)atoi(words[2]), fixture->now - age,
                                 fixture->now);
}

static void
step_load(Fixture *fixture, char **words)
{
    KcGateway_OnLoadReport(KcGateway_FindServer(fixture->gateway, words[1]),
                           (uint32_t)strtoul(words[2], NULL, 10),
                           (uint32_t)strtoul(words[3], NULL, 10),
                           (uint32_t)strtoul(words[4], NULL, 10),
                           fixture->now);
}

static void
step_no_keeper(Fixture *fixture, char **words)
{
    KcText_Copy(fixture->no_keeper_server, words[1],
                sizeof(fixture->no_keeper_server));
}

static void
step_connecting(Fixture *fixture, char **words)
{
    (void)words;
    fixture->is_connecting = true;
}

static void
step_no_send(Fixture *fixture, char **words)
{
    KcText_Copy(fixture->no_send_server, words[1],
                sizeof(fixture->no_send_server));
}

static void
step_gateway_count(Fixture *fixture, char **words)
{
    KcGateway_SetGatewayCount(fixture->gateway, (uint32_t)atoi(words[1]),
                              fixture->now);
}

static void
step_extra(Fixture *fixture, char **words)
{
    KcGateway_SetExtraFraction(fixture->gateway, atoi(words[1]) / 100.0);
}

static void
step_checks(Fixture *fixture, char **words)
{
    (void)words;
    fixture->traces_checks = true;
}

static void
step_alive(Fixture *fixture, char **words)
{
    fixture->is_checking = false;
    KcGateway_OnServerAlive(KcGateway_FindServer(fixture->gateway, words[1]),
                            fixture->now);
}

static void
step_notice(Fixture *fixture, char **words)
{
    KcServer *server = KcGateway_FindServer(fixture->gateway, words[1]);
    KcServerNotice notice = {.is_leaving = strcmp(words[2], "leaving") == 0};

    if (strcmp(words[2], "wait") == 0) {
        notice.retry_after = atoi(words[3]) * KC_MS;
    }
    else if (strcmp(words[2], "unread") == 0) {
        notice.unread_name = "name";
        notice.unread_value = "value";
    }
    else if (words[3] != NULL) {
        notice.started_at_ms = atoi(words[3]);
    }
    KcGateway_OnServerNotice(fixture->gateway, server, &notice, "0",
                             fixture->now);
}

static void
step_written(Fixture *fixture, char **words)
{
    KcForwardAttempt *attempt = find_attempt(fixture, words[1]);
    int code = KcForwardAttempt_CheckSend(attempt, fixture->now);

    if (code != 0) {
        KcForwardAttempt_OnFailed(attempt, KC_ATTEMPT_NEVER_SENT, code,
                                  fixture->now);
        return;
    }
    KcForwardAttempt_OnSent(attempt);
    g_string_append_printf(fixture->trace, "%s written; ", words[1]);
}

static void
step_unread(Fixture *fixture, char **words)
{
    KcForward_SetReadPaused(find_forward(fixture, words[1]),
                            strcmp(words[0], "unread") == 0, fixture->now);
}

static void
step_drain(Fixture *fixture, char **words)
{
    int duration_ms = words[1] != NULL ? atoi(words[1]) : 7500;

    KcGateway_Drain(fixture->gateway, fixture->now + 2 * KC_SECOND,
                    fixture->now + duration_ms * KC_MS);
}

static void
step_wait(Fixture *fixture, char **words)
{
    KcTime until = fixture->now + atoi(words[1]) * KC_MS;

    while (fixture->now < until) {
        fixture->now += 10 * KC_MS;
        KcTimers_Run(fixture->timers, fixture->now);
    }
}

static void
step_pause(Fixture *fixture, char **words)
{
    fixture->now += atoi(words[1]) * KC_MS;
    KcTimers_Run(fixture->timers, fixture->now);
}

/* Until the next wait or pause no timer is run. */
static void
step_freeze(Fixture *fixture, char **words)
{
    fixture->now += atoi(words[1]) * KC_MS;
}

static void
step_clear_trace(Fixture *fixture, char **words)
{
    (void)words;
    g_string_truncate(fixture->trace, 0);
}

static void step_each(Fixture *fixture, char **words);

static const StepHandler step_handlers[] = {
    {"config", step_config},
    {"age", GatewaySteps_Age},
    {"inforce", step_in_force},
    {"server", step_server},
    {"missing", step_missing},
    {"list", step_list},
    {"restore", step_restore},
    {"request", step_request},
    {"explain", step_explain},
    {"abandon", step_abandon},
    {"reply", step_reply},
    {"notrun", step_not_run},
    {"misdirected", step_misdirected},
    {"begin", step_begin},
    {"event", step_event},
    {"end", step_end},
    {"lost", step_lost},
    {"neversent", step_never_sent},
    {"report", step_keeper_report},
    {"keeperlost", step_keeper_lost},
    {"version", step_version},
    {"load", step_load},
    {"nokeeper", step_no_keeper},
    {"nosend", step_no_send},
    {"connecting", step_connecting},
    {"gateways", step_gateway_count},
    {"extra", step_extra},
    {"checks", step_checks},
    {"alive", step_alive},
    {"notice", step_notice},
    {"written", step_written},
    {"unread", step_unread},
    {"read", step_unread},
    {"drain", step_drain},
    {"wait", step_wait},
    {"pause", step_pause},
    {"freeze", step_freeze},
    {"cleartrace", step_clear_trace},
    {"each", step_each},
    {"ended", GatewaySteps_Ended},
    {"news", GatewaySteps_News},
};

static void
step_each(Fixture *fixture, char **words)
{
    for (int number = atoi(words[1]); number <= atoi(words[2]); number++) {
        char *rest = g_strjoinv(" ", words + 4);
        char *step = g_strdup_printf("%s %d %s", words[3], number, rest);

        Steps_Run(fixture, step_handlers, G_N_ELEMENTS(step_handlers),
                  g_strchomp(step));
        g_free(step);
        g_free(rest);
    }
}

/* ---- running -------------------------------------------------------------- */

static void
run(const char *steps, const char *trace, bool foresees)
{
    Fixture *fixture = g_new0(Fixture, 1);
    KcGatewayOptions options;

    fixture->foresees = foresees;
    fixture->now = KC_SECOND;
    fixture->revision.era = 1;
    fixture->trace = g_string_new("");
    fixture->timers = KcTimers_Create(fixture->now);
    KcGatewayOptions_Init(&options);
    options.ops = &GatewaySteps_Ops;
    options.context = fixture;
    options.timers = fixture->timers;
    options.counters = &fixture->counters;
    options.datacentre = "here";
    options.region_of = find_region;
    /* So that instances with small start times began after the first notices.
     */
    options.wall_offset = -2 * KC_SECOND;
    options.retry_burst = 20;
    options.config_timeout = 4 * KC_SECOND;
    options.revoke_timeout = 5 * KC_SECOND;
    fixture->gateway = KcGateway_Create(&options);
    KcGateway_SetGatewayCount(fixture->gateway, 1, fixture->now);
    Steps_Run(fixture, step_handlers, G_N_ELEMENTS(step_handlers), steps);
    g_assert_cmpstr(fixture->trace->str, ==, trace);
    KcGateway_Abort(fixture->gateway, fixture->now);
    KcGateway_Free(fixture->gateway);
    KcTimers_Free(fixture->timers);
    g_string_free(fixture->trace, TRUE);
    g_free(fixture);
}

static const GatewayCase *the_cases;

static void
test_case(gconstpointer data)
{
    const GatewayCase *test = &the_cases[GPOINTER_TO_SIZE(data)];

    run(test->steps, test->trace, false);
    run(test->steps, test->trace, true);
}

int
GatewaySteps_Main(int argc, char **argv, const char *path,
                  const GatewayCase *cases, size_t count)
{
    the_cases = cases;
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases(path, cases, count, sizeof(cases[0]), test_case);
    return g_test_run();
}
