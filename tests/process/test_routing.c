/*
 * Tests of routing and of customers' limits.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

/* ---- routing ------------------------------------------------------------ */

#define LOCAL "here"
#define REMOTE "there"

static void
forget(void *context, KcBackend *backend)
{
    (void)context;
    (void)backend;
}

/* A fleet of count backend servers, every third in the other region. */
static void
fill_fleet(KcFleet *fleet, uint32_t count)
{
    KcInstance *list = KcMem_New(count * sizeof(*list));

    for (uint32_t i = 0; i < count; i++) {
        snprintf(list[i].name, KC_NAME_MAX, "b%u", i);
        KcText_Copy(list[i].service, "llm", KC_NAME_MAX);
        snprintf(list[i].address, KC_ADDRESS_MAX, "127.0.0.1:%u", i + 1);
    }
    KcFleet_Update(fleet, list, count, NULL, forget, NULL);
    for (uint32_t i = 0; i < count; i++) {
        KcBackend *backend = KcFleet_FindBackend(fleet, list[i].name);

        KcText_Copy(backend->region, i % 3 == 2 ? REMOTE : LOCAL, KC_NAME_MAX);
        backend->pool->epoch++;
    }
    free(list);
}

static const KcRouteOptions route_options = {.load_time = 250 * KC_MS,
                                             .service_time = 1000 * KC_MS,
                                             .concurrency_max = 8,
                                             .remote_cost = 60 * KC_MS,
                                             .load_report_age_max =
                                                 5 * KC_SECOND,
                                             .stall_weight = 50,
                                             .batch_weight = 50,
                                             .rank_cost = 30 * KC_MS};

static KcRouteChoice
pick(KcFleet *fleet, const char *policy, uint64_t key, bool remote, KcTime now)
{
    KcRouteChoice choice = {0};
    KcRouteQuery query = {.fleet = fleet,
                          .pool = KcFleet_FindPool(fleet, "llm"),
                          .key = key,
                          .needs_adapter = true,
                          .remote_allowed = remote,
                          .random = key * 31,
                          .options = &route_options};

    KcRoute_FindPolicy(policy)->pick(&query, now, &choice);
    return choice;
}

/* What makes one backend server better than another. */
static const struct {
    const char *name;
    uint32_t queued;    /* at the home of the key */
    bool home_resident; /* the home holds the adapter */
    bool next_resident; /* the next candidate does */
    bool suspect;       /* the home is avoided */
    bool leaving;       /* the home is leaving */
    KcTime age;         /* of the load report */
    bool stays_home;
} route_cases[] = {
    {"idle fleet", 0, false, false, false, false, 0, true},
    {"home holds it", 0, true, false, false, false, 0, true},
    {"next holds it", 0, false, true, false, false, 0, false},
    {"home is full", 40, true, false, false, false, 0, false},
    {"home was full long ago", 40, true, false, false, false, 6 * KC_SECOND,
     true},
    {"short queue at home beats a load elsewhere", 1, true, false, false,
     false, 0, true},
    {"home is suspect", 0, true, false, true, false, 0, false},
    {"home is leaving", 0, true, false, false, true, 0, false},
};

static void
test_route(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(route_cases); i++) {
        KcFleet fleet;
        KcTime now = 100 * KC_SECOND;
        KcBackend *home;
        KcBackend *chosen;

        KcFleet_Init(&fleet, 64);
        KcText_Copy(fleet.entry_region, LOCAL, KC_NAME_MAX);
        fill_fleet(&fleet, 12);
        home = pick(&fleet, "kcc", 77, false, now).backend;
        if (route_cases[i].next_resident) {
            home->leaving = true;
            KcFleet_RecordHolder(&fleet, 77,
                                 pick(&fleet, "kcc", 77, false, now).backend,
                                 true, now);
            home->leaving = false;
        }
        home->load.queued = route_cases[i].queued;
        home->load.running = route_cases[i].queued > 0 ? 8 : 0;
        home->load_reported_at = now - route_cases[i].age;
        home->leaving = route_cases[i].leaving;
        home->suspect_until = route_cases[i].suspect ? now + 1 : 0;
        KcFleet_RecordHolder(&fleet, 77, home, route_cases[i].home_resident,
                             now);
        chosen = pick(&fleet, "kcc", 77, false, now).backend;
        g_test_message("%s", route_cases[i].name);
        g_assert_nonnull(chosen);
        g_assert_cmpint(chosen == home, ==, route_cases[i].stays_home);
        KcFleet_Clear(&fleet);
    }
}

/* Another region is used only when it is cheaper and within the budget. */
static const struct {
    const char *name;
    uint64_t key;    /* 5: its home is in the other region, 6: in this one */
    bool held;       /* by the best backend server of this region */
    uint32_t queued; /* at every backend server of this region */
    bool allowed;
    bool remote;
} region_cases[] = {
    {"home here", 6, false, 0, true, false},
    {"home there", 5, false, 0, true, true},
    {"home there, no budget", 5, false, 0, false, false},
    {"home there, held here", 5, true, 0, true, false},
    {"long queues here", 6, true, 100, true, true},
    {"long queues here, no budget", 6, true, 100, false, false},
};

static void
test_regions(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(region_cases); i++) {
        KcTime now = 100 * KC_SECOND;
        KcFleet fleet;
        KcBackend *backend;

        KcFleet_Init(&fleet, 64);
        KcText_Copy(fleet.entry_region, LOCAL, KC_NAME_MAX);
        fill_fleet(&fleet, 12);
        if (region_cases[i].held) {
            backend =
                pick(&fleet, "kcc", region_cases[i].key, false, now).backend;
            KcFleet_RecordHolder(&fleet, region_cases[i].key, backend, true,
                                 now);
        }
        TAILQ_FOREACH (backend, &fleet.backends, link) {
            if (strcmp(backend->region, LOCAL) == 0) {
                backend->load.queued = region_cases[i].queued;
                backend->load_reported_at = now;
            }
        }
        g_test_message("%s", region_cases[i].name);
        g_assert_cmpint(pick(&fleet, "kcc", region_cases[i].key,
                             region_cases[i].allowed, now)
                            .remote,
                        ==, region_cases[i].remote);
        KcFleet_Clear(&fleet);
    }
}

/* When one of n backend servers goes, about 1/n of the keys move. */
static void
test_few_keys_move(void)
{
    KcFleet fleet;
    KcBackend *homes[2000];
    KcBackend *gone;
    int moved = 0;
    int of_gone = 0;

    KcFleet_Init(&fleet, 64);
    KcText_Copy(fleet.entry_region, LOCAL, KC_NAME_MAX);
    fill_fleet(&fleet, 60);
    for (uint64_t key = 0; key < 2000; key++) {
        homes[key] = pick(&fleet, "kcc", key * 7919, false, 0).backend;
    }
    gone = KcFleet_FindBackend(&fleet, "b7");
    gone->leaving = true;
    for (uint64_t key = 0; key < 2000; key++) {
        KcBackend *home = pick(&fleet, "kcc", key * 7919, false, 0).backend;

        of_gone += homes[key] == gone;
        moved += home != homes[key];
    }
    g_assert_cmpint(of_gone, >, 0);
    g_assert_cmpint(moved, ==, of_gone);
    KcFleet_Clear(&fleet);
}

/* No policy chooses what may not be chosen, and each finds what may. */
static void
test_policies_respect_state(void)
{
    for (size_t i = 0; KcRoute_PolicyAt(i) != NULL; i++) {
        const char *name = KcRoute_PolicyAt(i)->name;
        KcFleet fleet;
        KcBackend *backend;

        KcFleet_Init(&fleet, 64);
        KcText_Copy(fleet.entry_region, LOCAL, KC_NAME_MAX);
        fill_fleet(&fleet, 9);
        TAILQ_FOREACH (backend, &fleet.backends, link) {
            backend->leaving = strcmp(backend->name, "b4") != 0;
        }
        for (uint64_t key = 0; key < 50; key++) {
            KcRouteChoice choice = pick(&fleet, name, key, true, 0);

            g_assert_nonnull(choice.backend);
            g_assert_cmpstr(choice.backend->name, ==, "b4");
        }
        KcFleet_FindBackend(&fleet, "b4")->leaving = true;
        g_assert_null(pick(&fleet, name, 1, true, 0).backend);
        KcFleet_Clear(&fleet);
    }
}

/* ---- limits ------------------------------------------------------------- */

static const struct {
    const char *name;
    KcCustomerLimit limit;
    uint32_t entries;
    KcTime spacing; /* between 20 requests */
    bool leaves;    /* each ends before the next */
    int admitted;
} limit_cases[] = {
    {"burst",
     {.rate_per_s = 1, .burst = 5, .in_flight_max = 100},
     1,
     0,
     true,
     5},
    {"rate",
     {.rate_per_s = 10, .burst = 1, .in_flight_max = 100},
     1,
     100 * KC_MS,
     true,
     20},
    {"half the rate",
     {.rate_per_s = 5, .burst = 1, .in_flight_max = 100},
     1,
     100 * KC_MS,
     true,
     10},
    {"in flight",
     {.rate_per_s = 1000, .burst = 100, .in_flight_max = 3},
     1,
     0,
     false,
     3},
    {"divided over entries",
     {.rate_per_s = 4, .burst = 8, .in_flight_max = 100},
     4,
     0,
     true,
     2},
    {"never less than one",
     {.rate_per_s = 1, .burst = 1, .in_flight_max = 100},
     50,
     0,
     true,
     1},
};

static void
test_limits(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
        KcCustomers customers;
        int admitted = 0;

        KcCustomers_Init(&customers, 4);
        for (int j = 0; j < 20; j++) {
            KcCustomer *customer;
            KcTime retry = 0;
            int code = KcCustomers_Admit(
                &customers, "c", &limit_cases[i].limit, limit_cases[i].entries,
                1000 + j * limit_cases[i].spacing, &customer, &retry);

            if (code != 0) {
                g_assert_cmpint(code, ==, KC_ERR_LIMIT_EXCEEDED);
                g_assert_cmpint(retry, >, 0);
                continue;
            }
            admitted++;
            if (limit_cases[i].leaves) {
                KcCustomers_Release(customer);
            }
        }
        g_test_message("%s", limit_cases[i].name);
        g_assert_cmpint(admitted, ==, limit_cases[i].admitted);
        KcCustomers_Clear(&customers);
    }
}

/* One customer's burst takes nothing from another. */
static void
test_customers_apart(void)
{
    KcCustomerLimit limit = {.rate_per_s = 1, .burst = 2, .in_flight_max = 10};
    KcCustomers customers;
    KcCustomer *customer;
    KcTime retry;

    KcCustomers_Init(&customers, 2);
    for (int i = 0; i < 5; i++) {
        if (KcCustomers_Admit(&customers, "burst", &limit, 1, 0, &customer,
                              &retry) == 0) {
            KcCustomers_Release(customer);
        }
    }
    g_assert_cmpint(KcCustomers_Admit(&customers, "other", &limit, 1, 0,
                                      &customer, &retry),
                    ==, 0);
    KcCustomers_Release(customer);
    /* Idle customers are forgotten when there are too many. */
    KcCustomers_Admit(&customers, "third", &limit, 1, 0, &customer, &retry);
    KcCustomers_Release(customer);
    g_assert_cmpuint(customers.count, ==, 2);
    KcCustomers_Clear(&customers);
}

static void
test_byte_budget(void)
{
    KcByteBudget budget = {.bytes_per_s = 1000};

    g_assert_true(KcByteBudget_Allows(&budget, KC_SECOND));
    KcByteBudget_Charge(&budget, 2000, KC_SECOND);
    g_assert_false(KcByteBudget_Allows(&budget, KC_SECOND));
    g_assert_false(KcByteBudget_Allows(&budget, 2 * KC_SECOND - KC_MS));
    g_assert_true(KcByteBudget_Allows(&budget, 2 * KC_SECOND + 2 * KC_MS));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/route", test_route);
    g_test_add_func("/process/regions", test_regions);
    g_test_add_func("/process/few_keys_move", test_few_keys_move);
    g_test_add_func("/process/policies", test_policies_respect_state);
    g_test_add_func("/process/limits", test_limits);
    g_test_add_func("/process/customers", test_customers_apart);
    g_test_add_func("/process/byte_budget", test_byte_budget);
    return g_test_run();
}
