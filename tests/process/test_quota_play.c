/*
 * Plays of quotas without network: gateways with uneven callers, hubs, links
 * that are cut, gateways that freeze, end and are added.  What was admitted is
 * checked against the promise in every window, and against what one bucket
 * would have admitted that every request asked.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

#include "../foresight.h"
#define STEP (10 * KC_MS)
#define DURATION (40 * KC_SECOND)
#define WARM_UP (10 * KC_SECOND)
/* Requests begin before what is checked, as buckets are empty at first. */
#define ASKED_FROM (5 * KC_SECOND)
#define SEEDS 4
#define WINDOW_S 8.0
#define WINDOW ((KcTime)(WINDOW_S * KC_SECOND))
#define STEP_COUNT ((int)((WARM_UP + DURATION) / STEP))
#define WINDOW_STEPS ((int)(WINDOW / STEP))
#define EXCESS 0.1
#define SLACK 110000.0
#define GATEWAYS_MAX 310
#define HUBS 2
#define COST 700
#define COST_LARGE 9200
/* One request of so many is a large one. */
#define LARGE_EACH 50

typedef enum Trouble {
    TROUBLE_NONE = 0,
    TROUBLE_CUT,     /* gateways hear nobody, and serve on */
    TROUBLE_FREEZE,  /* gateways stand still */
    TROUBLE_KILL,    /* gateways end; they stay listed */
    TROUBLE_RESTART, /* gateways end and begin again at once */
    TROUBLE_ADD,     /* gateways begin that are not listed yet */
    TROUBLE_HUB,     /* the first hub stands still */
    TROUBLE_SPLIT,   /* gateways do not reach the first hub */
    TROUBLE_FLOOD, /* 30 times the rate for 0.3 s, 1.2 s after the hot time */
    TROUBLE_AGAIN, /* quiet, hot for a window, quiet for one, hot again */
    TROUBLE_EDGES, /* bursts at the end of one window and the next's start */
    TROUBLE_SHORT  /* hot for less than a window, again and again */
} Trouble;

/* What is asked for from one time to another, in times the usual. */
typedef struct Phase {
    int from_ms; /* after the warm-up */
    int until_ms;
    double times;
} Phase;

/* In place of the hot time. */
static const Phase phases[][5] = {
    [TROUBLE_AGAIN] = {{0, 8000, 0},
                       {8000, 16000, 7},
                       {16000, 24000, 0},
                       {24000, 32000, 7}},
    [TROUBLE_EDGES] = {{0, 15500, 0},
                       {15500, 16500, 30},
                       {16500, 24000, 0},
                       {24000, 25000, 30}},
    [TROUBLE_SHORT] = {{5000, 8000, 7}, {13000, 16000, 7}, {21000, 24000, 7}},
};

typedef struct Case {
    const char *name;
    const char *policy;
    int gateways;
    double rate;       /* units a second, and burst */
    double usual;      /* asked for, as a part of the rate */
    double hot;        /* times the usual from 5 s to 15 s */
    double skew;       /* exponent of the gateways' weights; 0: even */
    double counted;    /* number told of gateways, as a part of the true one */
    Trouble trouble;   /* from 8 s to 14 s */
    int share;         /* one gateway of so many is in trouble */
    bool is_kept;      /* the promise holds */
    double served_min; /* admitted, as a part of what one bucket admits */
} Case;

static const Case cases[] = {
    /* The usual use; one request of fifty is large. */
    {"calm", "counts", 3, 29000, 0.55, 1, 1, 1, 0, 1, true, 0.99},
    {"calm", "counts", 30, 29000, 0.55, 1, 1, 1, 0, 1, true, 0.99},
    {"calm", "counts", 30, 400000, 0.55, 1, 1, 1, 0, 1, true, 0.99},
    {"calm", "counts", 300, 29000, 0.55, 1, 1, 1, 0, 1, true, 0.95},
    {"calm", "counts", 300, 400000, 0.55, 1, 1, 1, 0, 1, true, 0.99},
    {"calm", "fixed", 30, 29000, 0.55, 1, 1, 1, 0, 1, true, 0},
    {"calm", "fixed", 30, 400000, 0.55, 1, 1, 1, 0, 1, true, 0},
    /* A customer at 7 times its usual. */
    {"hot", "counts", 3, 29000, 0.55, 7, 1, 1, 0, 1, true, 0.9},
    {"hot", "counts", 30, 29000, 0.55, 7, 1, 1, 0, 1, true, 0.9},
    {"hot", "counts", 30, 400000, 0.55, 7, 1, 1, 0, 1, true, 0.9},
    {"hot", "counts", 300, 29000, 0.55, 7, 1, 1, 0, 1, true, 0.85},
    {"hot", "counts", 300, 400000, 0.55, 7, 1, 1, 0, 1, true, 0.9},
    {"hot", "fixed", 30, 400000, 0.55, 7, 1, 1, 0, 1, true, 0},
    {"hot", "lent", 30, 400000, 0.55, 7, 1, 1, 0, 1, true, 0.9},
    /* The same with troubles. */
    {"cut", "counts", 30, 400000, 0.55, 7, 1, 1, TROUBLE_CUT, 3, true, 0.7},
    {"cut", "counts", 30, 29000, 0.55, 7, 1, 1, TROUBLE_CUT, 3, true, 0.7},
    {"cut", "counts", 3, 400000, 0.55, 7, 1, 1, TROUBLE_CUT, 3, true, 0.7},
    {"cut", "counts", 300, 400000, 0.55, 7, 1, 1, TROUBLE_CUT, 3, true, 0.7},
    {"all cut", "counts", 30, 400000, 0.55, 7, 1, 1, TROUBLE_CUT, 1, true,
     0.5},
    {"cut", "fixed", 30, 400000, 0.55, 7, 1, 1, TROUBLE_CUT, 3, true, 0},
    {"frozen", "counts", 30, 400000, 0.55, 7, 1, 1, TROUBLE_FREEZE, 3, true,
     0.7},
    {"frozen", "counts", 300, 29000, 0.55, 7, 1, 1, TROUBLE_FREEZE, 3, true,
     0.7},
    {"killed", "counts", 30, 400000, 0.55, 7, 1, 1, TROUBLE_KILL, 3, true,
     0.8},
    {"killed", "counts", 3, 400000, 0.55, 7, 1, 1, TROUBLE_KILL, 3, true, 0.5},
    {"restart", "counts", 30, 400000, 0.55, 7, 1, 1, TROUBLE_RESTART, 1, true,
     0.8},
    {"restart", "counts", 30, 4e6, 0.55, 7, 1, 1, TROUBLE_RESTART, 1, true,
     0.8},
    {"cut", "counts", 30, 4e6, 0.55, 7, 1, 1, TROUBLE_CUT, 3, true, 0.8},
    {"restart", "counts", 300, 29000, 0.55, 7, 1, 1, TROUBLE_RESTART, 1, true,
     0.7},
    {"added", "counts", 30, 400000, 0.55, 7, 1, 1, TROUBLE_ADD, 1, true, 0.8},
    {"hub", "counts", 3, 400000, 0.55, 7, 1, 1, TROUBLE_HUB, 1, true, 0.8},
    {"hub", "counts", 30, 400000, 0.55, 7, 1, 1, TROUBLE_HUB, 1, true, 0.8},
    {"hub", "counts", 300, 400000, 0.55, 7, 1, 1, TROUBLE_HUB, 1, true, 0.7},
    {"hub calm", "counts", 30, 29000, 0.55, 1, 1, 1, TROUBLE_HUB, 1, true,
     0.97},
    {"split", "counts", 30, 400000, 0.55, 7, 1, 1, TROUBLE_SPLIT, 3, true,
     0.7},
    {"split", "lent", 30, 400000, 0.55, 7, 1, 1, TROUBLE_SPLIT, 3, false, 0},
    {"flood", "counts", 30, 4e6, 0.55, 7, 0, 1, TROUBLE_FLOOD, 1, true, 0.8},
    {"flood", "counts", 300, 4e6, 0.55, 7, 0, 1, TROUBLE_FLOOD, 1, true, 0.8},
    /* Hot times and bursts against the windows. */
    {"again", "counts", 30, 29000, 0.55, 0, 1, 1, TROUBLE_AGAIN, 1, true, 0.9},
    {"again", "counts", 30, 400000, 0.55, 0, 1, 1, TROUBLE_AGAIN, 1, true,
     0.9},
    {"again", "counts", 300, 400000, 0.55, 0, 1, 1, TROUBLE_AGAIN, 1, true,
     0.85},
    {"edges", "counts", 30, 29000, 0.55, 0, 1, 1, TROUBLE_EDGES, 1, true, 0.9},
    {"edges", "counts", 30, 4e6, 0.55, 0, 1, 1, TROUBLE_EDGES, 1, true, 0.9},
    {"edges", "counts", 30, 400000, 0.55, 0, 1, 1, TROUBLE_EDGES, 1, true,
     0.9},
    {"edges", "counts", 300, 29000, 0.55, 0, 1, 1, TROUBLE_EDGES, 1, true,
     0.85},
    {"edges", "counts", 300, 4e6, 0.55, 0, 1, 1, TROUBLE_EDGES, 1, true, 0.85},
    {"edges", "counts", 300, 400000, 0.55, 0, 1, 1, TROUBLE_EDGES, 1, true,
     0.85},
    {"edges", "counts", 100, 400000, 0.55, 0, 0, 1, TROUBLE_EDGES, 1, true,
     0.85},
    {"short", "counts", 30, 29000, 0.55, 0, 1, 1, TROUBLE_SHORT, 1, true, 0.9},
    {"short", "counts", 30, 400000, 0.55, 0, 1, 1, TROUBLE_SHORT, 1, true,
     0.9},
    /* The number of gateways is wrong. */
    {"N high", "counts", 30, 400000, 0.55, 7, 1, 1.3, 0, 1, true, 0.75},
    {"N high calm", "counts", 30, 400000, 0.55, 1, 1, 1.5, 0, 1, true, 0.95},
    {"N low", "counts", 30, 400000, 0.55, 7, 1, 0.8, 0, 1, true, 0.85},
    {"N low, all cut", "counts", 30, 400000, 0.55, 7, 1, 0.1, TROUBLE_CUT, 1,
     true, 0.5},
    {"N unknown", "counts", 30, 400000, 0.55, 7, 1, 0, 0, 1, true, 0.4},
};

/* ---- the world ------------------------------------------------------------ */

typedef struct Gateway {
    KcQuotas *quotas;
    uint64_t incarnation;
    KcTime review_at;
    KcTime reviewed_at;
    double weight;
    bool is_running;
    bool is_frozen;
    bool is_cut;
    bool is_split;
    int index;
} Gateway;

/* A message on its way. */
typedef struct Parcel {
    TAILQ_ENTRY(Parcel) link;
    KcTime due_at;
    int gateway;
    uint64_t incarnation;
    int hub;
    bool is_answer;
    KcMsg msg;
    char *rows;
} Parcel;

typedef struct World {
    const Case *the_case;
    const KcQuotaPolicy *policy;
    KcRouting *routing;
    const KcRoutedCustomer *customer;
    Gateway gateways[GATEWAYS_MAX];
    int gateway_count;
    double weight_sum;
    KcQuotaHub *hubs[HUBS];
    TAILQ_HEAD(, Parcel) parcels;
    KcTime now;
    uint64_t random;
    uint64_t last_incarnation;
    uint64_t request_count;
    double admitted[STEP_COUNT];
    double best[STEP_COUNT];
    double best_level;
    double asked_due;
    uint64_t messages;
    uint64_t bytes;
} World;

static double
random_number(World *world)
{
    world->random = world->random * 6364136223846793005ULL + 1;
    return (double)(world->random >> 11) / (double)((uint64_t)1 << 53);
}

static void
send_parcel(World *world, const Gateway *gateway, int hub, bool is_answer,
            const KcMsg *msg)
{
    Parcel *parcel = KcMem_New(sizeof(*parcel));
    const KcBytes *rows = is_answer ? &msg->u.totals.rows : &msg->u.usage.rows;

    parcel->due_at = world->now + (gateway->index % 2 == 0 ? 2 : 32) * KC_MS;
    parcel->gateway = gateway->index;
    parcel->incarnation = gateway->incarnation;
    parcel->hub = hub;
    parcel->is_answer = is_answer;
    parcel->msg = *msg;
    parcel->rows = KcMem_New(rows->size + 1);
    if (rows->size > 0) {
        memcpy(parcel->rows, rows->data, rows->size);
    }
    if (is_answer) {
        parcel->msg.u.totals.rows.data = parcel->rows;
    }
    else {
        parcel->msg.u.usage.rows.data = parcel->rows;
    }
    TAILQ_INSERT_TAIL(&world->parcels, parcel, link);
    world->messages++;
    world->bytes += rows->size + 30;
}

static bool
is_hub_reached(const World *world, const Gateway *gateway, int hub)
{
    bool is_in_trouble = world->now >= WARM_UP + 8 * KC_SECOND &&
                         world->now < WARM_UP + 14 * KC_SECOND;

    return !gateway->is_cut && !(gateway->is_split && hub == 0) &&
           !(world->the_case->trouble == TROUBLE_HUB && is_in_trouble &&
             hub == 0);
}

static void
deliver(World *world, Parcel *parcel)
{
    Gateway *gateway = &world->gateways[parcel->gateway];
    KcMsg answer;
    char name[16];

    if (!is_hub_reached(world, gateway, parcel->hub) ||
        gateway->incarnation != parcel->incarnation || !gateway->is_running) {
        return;
    }
    if (parcel->is_answer) {
        g_assert_cmpint(KcQuotas_OnTotals(gateway->quotas,
                                          (uint64_t)parcel->hub + 1, 1,
                                          &parcel->msg, world->now),
                        ==, 0);
        return;
    }
    snprintf(name, sizeof(name), "g%d", parcel->gateway);
    g_assert_cmpint(KcQuotaHub_OnReport(world->hubs[parcel->hub], name,
                                        gateway->incarnation, &parcel->msg,
                                        &answer, world->now),
                    ==, 0);
    if (answer.type != KC_MSG_COUNT) {
        send_parcel(world, gateway, parcel->hub, true, &answer);
    }
}

static void
deliver_all(World *world)
{
    Parcel *parcel;
    Parcel *next;

    TAILQ_FOREACH_SAFE (parcel, &world->parcels, link, next) {
        if (parcel->due_at > world->now ||
            world->gateways[parcel->gateway].is_frozen) {
            continue;
        }
        TAILQ_REMOVE(&world->parcels, parcel, link);
        deliver(world, parcel);
        free(parcel->rows);
        free(parcel);
    }
}

static void
review(World *world, Gateway *gateway)
{
    static const uint64_t hubs[HUBS] = {1, 2};
    uint64_t hub;
    KcMsg msg;

    KcQuotas_Review(gateway->quotas, world->now);
    hub = KcQuotas_ChooseHub(gateway->quotas, hubs, HUBS, world->now);
    if (hub != 0 &&
        KcQuotas_WriteReport(gateway->quotas, hub, &msg, world->now)) {
        send_parcel(world, gateway, (int)hub - 1, false, &msg);
    }
    gateway->reviewed_at = world->now;
    gateway->review_at = world->now + KcQuotas_Interval(gateway->quotas);
}

static void
ignore_limit(void *context, const KcQuotaState *state)
{
    (void)context;
    (void)state;
}

static void
bring_forward(void *context)
{
    Gateway *gateway = context;
    KcTime due_at =
        gateway->reviewed_at + KcQuotas_EarlyInterval(gateway->quotas);

    if (due_at < gateway->review_at) {
        gateway->review_at = due_at;
    }
}

static const KcQuotaOps quota_ops = {ignore_limit, bring_forward};

static void
start_gateway(World *world, int index)
{
    Gateway *gateway = &world->gateways[index];
    const Case *the_case = world->the_case;
    KcQuotaOptions options;

    if (gateway->quotas != NULL) {
        KcQuotas_Free(gateway->quotas);
    }
    KcQuotaOptions_Init(&options);
    options.policy = world->policy;
    options.window = WINDOW;
    options.excess = EXCESS;
    options.slack = SLACK;
    options.ops = &quota_ops;
    options.context = gateway;
    options.seed = ++world->last_incarnation;
    *gateway = (Gateway){.quotas = KcQuotas_Create(&options),
                         .incarnation = world->last_incarnation,
                         .review_at = world->now + index * KC_MS,
                         .weight = 1 / pow(index + 1, the_case->skew),
                         .is_running = true,
                         .index = index};
    KcQuotas_SetGatewayCount(
        gateway->quotas,
        (uint32_t)lround(the_case->gateways * the_case->counted), world->now);
    KcQuotas_SetCustomers(gateway->quotas, world->routing, world->now);
}

static void
make_trouble(World *world, bool begins)
{
    const Case *the_case = world->the_case;

    for (int i = 0; i < the_case->gateways; i++) {
        Gateway *gateway = &world->gateways[i];

        if (i % the_case->share != 0) {
            continue;
        }
        gateway->is_cut = begins && the_case->trouble == TROUBLE_CUT;
        gateway->is_frozen = begins && the_case->trouble == TROUBLE_FREEZE;
        gateway->is_split = begins && the_case->trouble == TROUBLE_SPLIT;
        if (begins && the_case->trouble == TROUBLE_KILL) {
            gateway->is_running = false;
        }
        if (begins && the_case->trouble == TROUBLE_RESTART) {
            start_gateway(world, i);
        }
    }
    if (begins && the_case->trouble == TROUBLE_ADD) {
        for (int i = 0; i < (the_case->gateways + 9) / 10; i++) {
            start_gateway(world, world->gateway_count);
            world->gateways[world->gateway_count].weight = 0.1;
            world->gateway_count++;
        }
    }
}

/* How many times the usual is asked for. */
static double
times_asked(const World *world)
{
    const Case *the_case = world->the_case;
    bool is_hot = world->now >= WARM_UP + 5 * KC_SECOND &&
                  world->now < WARM_UP + 15 * KC_SECOND;
    int now_ms = (int)((world->now - WARM_UP) / KC_MS);

    if (the_case->trouble < TROUBLE_AGAIN) {
        return is_hot ? the_case->hot : 1;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(phases[0]); i++) {
        const Phase *phase = &phases[the_case->trouble][i];

        if (now_ms >= phase->from_ms && now_ms < phase->until_ms) {
            return phase->times;
        }
    }
    return 1;
}

static double
asked_rate(const World *world)
{
    const Case *the_case = world->the_case;

    if (the_case->trouble == TROUBLE_FLOOD &&
        world->now >= WARM_UP + 12 * KC_SECOND) {
        KcTime since = world->now - WARM_UP - 12 * KC_SECOND;

        return since >= 1200 * KC_MS && since < 1500 * KC_MS
                   ? the_case->rate * 30
                   : 0;
    }
    return the_case->rate * the_case->usual * times_asked(world);
}

/* The gateway that is asked next; callers of one that has ended or stands
 * still go elsewhere. */
static Gateway *
choose_gateway(World *world)
{
    double sum = 0;
    double place;
    Gateway *last = NULL;

    for (int i = 0; i < world->gateway_count; i++) {
        const Gateway *gateway = &world->gateways[i];

        sum +=
            gateway->is_running && !gateway->is_frozen ? gateway->weight : 0;
    }
    place = random_number(world) * sum;
    for (int i = 0; i < world->gateway_count && place >= 0; i++) {
        Gateway *gateway = &world->gateways[i];

        if (gateway->is_running && !gateway->is_frozen) {
            place -= gateway->weight;
            last = gateway;
        }
    }
    return last;
}

static void
ask(World *world, int step)
{
    uint64_t cost =
        ++world->request_count % LARGE_EACH == 0 ? COST_LARGE : COST;
    Gateway *gateway = choose_gateway(world);
    KcTime retry_after;

    world->asked_due -= (double)cost;
    if (gateway == NULL) {
        return;
    }
    if (world->best_level > 0) {
        world->best_level -= (double)cost;
        world->best[step] += (double)cost;
    }
    if (Foresight_TakeQuota(gateway->quotas, world->customer, cost,
                            &retry_after, world->now) == 0) {
        world->admitted[step] += (double)cost;
    }
}

static void
play_step(World *world, int step)
{
    const Case *the_case = world->the_case;

    world->now = step * STEP;
    if (world->now == WARM_UP + 8 * KC_SECOND) {
        make_trouble(world, true);
    }
    if (world->now == WARM_UP + 14 * KC_SECOND) {
        make_trouble(world, false);
    }
    world->best_level =
        fmin(the_case->rate,
             world->best_level + the_case->rate * (double)STEP / KC_SECOND);
    deliver_all(world);
    for (int i = 0; i < world->gateway_count; i++) {
        Gateway *gateway = &world->gateways[i];

        if (gateway->is_running && !gateway->is_frozen &&
            world->now >= gateway->review_at) {
            review(world, gateway);
        }
    }
    if (world->now >= ASKED_FROM) {
        world->asked_due += asked_rate(world) * (double)STEP / KC_SECOND;
        while (world->asked_due > 0) {
            ask(world, step);
        }
    }
}

static void
create_world(World *world, const Case *the_case, uint64_t seed)
{
    KcRoutedCustomer *customer;

    memset(world, 0, sizeof(*world));
    TAILQ_INIT(&world->parcels);
    world->the_case = the_case;
    world->random = seed;
    world->last_incarnation = seed * 1000;
    for (size_t i = 0; (world->policy = KcQuotaPolicy_At(i)) != NULL; i++) {
        if (strcmp(world->policy->name, the_case->policy) == 0) {
            break;
        }
    }
    world->routing = KcRouting_Create(1);
    KcRouting_AddService(world->routing, "s")->engine.is_configured = true;
    customer = KcRouting_AddCustomer(world->routing, "hot");
    customer->unit = KC_QUOTA_TOKENS;
    customer->rate_per_s = the_case->rate;
    customer->burst = the_case->rate;
    world->customer = customer;
    for (int i = 0; i < HUBS; i++) {
        world->hubs[i] = KcQuotaHub_Create();
    }
    for (int i = 0; i < the_case->gateways; i++) {
        start_gateway(world, i);
    }
    world->gateway_count = the_case->gateways;
}

static void
free_world(World *world)
{
    Parcel *parcel;

    while ((parcel = TAILQ_FIRST(&world->parcels)) != NULL) {
        TAILQ_REMOVE(&world->parcels, parcel, link);
        free(parcel->rows);
        free(parcel);
    }
    for (int i = 0; i < world->gateway_count; i++) {
        KcQuotas_Free(world->gateways[i].quotas);
    }
    for (int i = 0; i < HUBS; i++) {
        KcQuotaHub_Free(world->hubs[i]);
    }
    KcRouting_Release(world->routing);
}

/* ---- the check ------------------------------------------------------------ */

static void
check_play(World *world, const Case *the_case)
{
    double promised =
        (the_case->rate * WINDOW_S + the_case->rate) * (1 + EXCESS) + SLACK;
    double admitted = 0;
    double best = 0;
    double window = 0;
    double worst = 0;

    for (int i = 0; i < STEP_COUNT; i++) {
        window += world->admitted[i];
        if (i >= WINDOW_STEPS) {
            window -= world->admitted[i - WINDOW_STEPS];
        }
        worst = fmax(worst, window);
        if (i >= WARM_UP / STEP) {
            admitted += world->admitted[i];
            best += world->best[i];
        }
    }
    printf("%-12s %-7s gateways %3d rate %6.0f: worst window %.3f of the "
           "promise, served %.3f of the best, %.0f bytes/s at a hub\n",
           the_case->name, the_case->policy, the_case->gateways,
           the_case->rate, worst / promised, admitted / best,
           (double)world->bytes /
               ((double)(WARM_UP + DURATION) / (double)KC_SECOND));
    if ((worst <= promised) != the_case->is_kept ||
        admitted / best < the_case->served_min) {
        printf("    expected: promise %s, served %.3f or more\n",
               the_case->is_kept ? "kept" : "broken", the_case->served_min);
        g_test_fail();
    }
}

static void
test_plays(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases) * SEEDS; i++) {
        const Case *the_case = &cases[i / SEEDS];
        World *world = KcMem_New(sizeof(*world));

        create_world(world, the_case, i % SEEDS + 1);
        for (int step = 0; step < STEP_COUNT; step++) {
            play_step(world, step);
        }
        check_play(world, the_case);
        free_world(world);
        free(world);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota/plays", test_plays);
    return g_test_run();
}
