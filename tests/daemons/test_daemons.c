/*
 * The daemons themselves, killed, frozen, restarted and cut off under a
 * running load, with the stand-ins counting executions.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "load.h"

#define TOKENS 10

/* Beyond the life of a lease (6 s) with its margin. */
#define PAST_LEASE_MS 11000

static void
kill_model_agent(Load *load)
{
    Fleet_Signal(load->fleet, FLEET_AGENT, 0, SIGKILL);
    Fleet_Wait(load->fleet, FLEET_AGENT, 0);
    Load_Run(load, 500);
    Fleet_Restart(load->fleet, FLEET_AGENT, 0);
}

static void
kill_plain_agent(Load *load)
{
    Fleet_Signal(load->fleet, FLEET_AGENT, 2, SIGKILL);
    Fleet_Wait(load->fleet, FLEET_AGENT, 2);
    Load_Run(load, 500);
    Fleet_Restart(load->fleet, FLEET_AGENT, 2);
}

static void
kill_entry(Load *load)
{
    Fleet_Signal(load->fleet, FLEET_ENTRY, 0, SIGKILL);
    Fleet_Wait(load->fleet, FLEET_ENTRY, 0);
    Load_Run(load, 300);
    Fleet_Restart(load->fleet, FLEET_ENTRY, 0);
    Fleet_AwaitReady(load->fleet, FLEET_ENTRY, 0);
}

static void
freeze_model_agent(Load *load)
{
    Fleet_Signal(load->fleet, FLEET_AGENT, 1, SIGSTOP);
    Load_Run(load, 1000);
    Fleet_Run(load->loop, PAST_LEASE_MS);
    Fleet_Signal(load->fleet, FLEET_AGENT, 1, SIGCONT);
}

static void
freeze_plain_agent(Load *load)
{
    Fleet_Signal(load->fleet, FLEET_AGENT, 3, SIGSTOP);
    Load_Run(load, 500);
    Fleet_Run(load->loop, 4000);
    Fleet_Signal(load->fleet, FLEET_AGENT, 3, SIGCONT);
}

static void
restart_engine(Load *load)
{
    Fleet_Set(load->fleet, FLEET_ENGINE, 0, "restart=1");
}

static void
cut_answers(Load *load)
{
    Fleet_Set(load->fleet, FLEET_ENGINE, 0, "cut=3");
    Fleet_Set(load->fleet, FLEET_ENGINE, 1, "cut=3");
    Fleet_Set(load->fleet, FLEET_SERVICE, 0, "cut=2");
}

static void
wrong_models(Load *load)
{
    Fleet_Set(load->fleet, FLEET_ENGINE, 0, "wrong_model=3");
}

static void
fail_loads(Load *load)
{
    Fleet_Set(load->fleet, FLEET_ENGINE, 0, "fail_loads=4");
}

static void
outage(Load *load)
{
    Fleet_Set(load->fleet, FLEET_OBJECTS, 0, "outage=1");
    Load_Run(load, 1500);
    Fleet_Set(load->fleet, FLEET_OBJECTS, 0, "outage=0");
}

static void
lost_replies(Load *load)
{
    Fleet_Set(load->fleet, FLEET_OBJECTS, 0, "lose_replies=5");
}

/* A planned stop ends by itself with status 0 and cuts nothing. */
static void
stop_model_agent(Load *load)
{
    Fleet_Signal(load->fleet, FLEET_AGENT, 0, SIGTERM);
    Fleet_Signal(load->fleet, FLEET_AGENT, 0, SIGTERM); /* asked twice */
    Load_Run(load, 600);
    g_assert_cmpint(Fleet_Wait(load->fleet, FLEET_AGENT, 0), ==, 0);
    Fleet_Restart(load->fleet, FLEET_AGENT, 0);
}

static void
stop_entry(Load *load)
{
    Fleet_Signal(load->fleet, FLEET_ENTRY, 1, SIGTERM);
    Load_Finish(load);
    g_assert_cmpint(Fleet_Wait(load->fleet, FLEET_ENTRY, 1), ==, 0);
    Fleet_Restart(load->fleet, FLEET_ENTRY, 1);
    Fleet_AwaitReady(load->fleet, FLEET_ENTRY, 1);
}

/* What a disturbance may do to calls; a wrong answer is never allowed. */
static const struct {
    const char *name;
    void (*disturb)(Load *load);
    bool may_be_unknown;
    bool may_lose; /* callers' connections to a killed entry */
    bool may_refuse;
} cases[] = {
    {"model agent killed", kill_model_agent, false, false, true},
    {"plain agent killed", kill_plain_agent, true, false, true},
    {"entry killed", kill_entry, true, true, true},
    {"model agent frozen past its lease", freeze_model_agent, false, false,
     true},
    {"plain agent frozen", freeze_plain_agent, true, false, true},
    {"engine restarts cold", restart_engine, false, false, false},
    {"answers cut", cut_answers, true, false, false},
    {"another model answers", wrong_models, false, false, false},
    {"loads fail", fail_loads, false, false, true},
    {"object API down", outage, false, false, true},
    {"replies of the object API lost", lost_replies, false, false, false},
    {"model agent stops as planned", stop_model_agent, false, false, false},
    {"entry stops as planned", stop_entry, false, false, true},
};

/* Duplicates are told unknown with what became of the earlier call. */
static uint32_t
count_duplicates(const Load *load)
{
    const LoadCall *call;
    uint32_t count = 0;

    TAILQ_FOREACH (call, &load->calls, link) {
        count += strstr(KcBuffer_Data(&call->body), "\"duplicate\"") != NULL;
    }
    return count;
}

static void
run_case(Fleet *fleet, size_t i)
{
    LoadResult result;
    Load load;

    Load_Init(&load, fleet, TOKENS);
    Load_Run(&load, 400);
    cases[i].disturb(&load);
    Load_Run(&load, 400);
    Load_Finish(&load);
    result = Load_Judge(&load);
    g_test_message("%s: %u calls, %u answered, %u not run, %u unknown "
                   "(%u duplicates), %u lost, %u wrong",
                   cases[i].name, load.count, result.answered, result.not_run,
                   result.unknown, count_duplicates(&load), result.lost,
                   result.wrong);
    g_assert_cmpuint(result.wrong, ==, 0);
    g_assert_cmpuint(result.answered, >, 0);
    if (!cases[i].may_be_unknown) {
        g_assert_cmpuint(result.unknown, ==, count_duplicates(&load));
    }
    if (!cases[i].may_lose) {
        g_assert_cmpuint(result.lost, ==, 0);
    }
    if (!cases[i].may_refuse) {
        g_assert_cmpuint(result.not_run, ==, 0);
    }
    Load_Clear(&load);
}

static void
test_disturbances(void)
{
    FleetOptions options = {.port = 21000,
                            .entries = 2,
                            .model_agents = 2,
                            .plain_agents = 2,
                            /* Long enough to be caught in the middle. */
                            .engine_knobs = "token_ms=10",
                            .service_knobs = "delay_ms=60"};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fleet *fleet = Fleet_Start(&options);

        run_case(fleet, i);
        Fleet_Stop(fleet);
        options.port += 40;
    }
}

/* A reader that stops holds back its own stream only, and gets the whole
 * answer when it reads on. */
static void
test_slow_reader(void)
{
    FleetOptions options = {.port = 22000,
                            .entries = 2,
                            .model_agents = 2,
                            .plain_agents = 2,
                            .engine_knobs = "token_ms=0"};
    Fleet *fleet = Fleet_Start(&options);
    LoadResult result;
    LoadCall *slow;
    Load load;

    Load_Init(&load, fleet, 20000);
    slow = Load_CallModel(&load, 0, 1, 2, true);
    while (slow->status == 0) {
        Fleet_Run(load.loop, 1);
    }
    KcHttpCall_SetReadPaused(slow->http, true);
    for (int i = 0; i < 8; i++) {
        Load_CallModel(&load, 0, 1, 2, true);
        Fleet_Run(load.loop, 20);
    }
    while (load.in_progress > 1) {
        Fleet_Run(load.loop, 10);
    }
    g_assert_false(slow->ended);
    KcHttpCall_SetReadPaused(slow->http, false);
    Load_Finish(&load);
    result = Load_Judge(&load);
    g_assert_cmpuint(result.wrong, ==, 0);
    g_assert_cmpuint(result.answered, ==, 9);
    Load_Clear(&load);
    Fleet_Stop(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/daemons/slow_reader", test_slow_reader);
    g_test_add_func("/daemons/disturbances", test_disturbances);
    return g_test_run();
}
