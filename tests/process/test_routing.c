/*
 * Tests of the entry's routing policies, of customers' limits and of the byte
 * budget between regions.
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
ignore_removed_backend(void *context, KcBackend *backend)
{
    (void)context;
    (void)backend;
}

/* A fleet of count backend servers, every third in the other region. */
static void
create_backends(KcFleet *fleet, uint32_t count)
{
    KcInstance *instances = KcMem_New(count * sizeof(*instances));

    for (uint32_t i = 0; i < count; i++) {
        snprintf(instances[i].name, KC_NAME_MAX, "b%u", i);
        KcText_Copy(instances[i].service, "llm", KC_NAME_MAX);
        snprintf(instances[i].address, KC_ADDRESS_MAX, "127.0.0.1:%u", i + 1);
    }
    KcFleet_Update(fleet, instances, count, NULL, ignore_removed_backend,
                   NULL);
    for (uint32_t i = 0; i < count; i++) {
        KcBackend *backend = KcFleet_FindBackend(fleet, instances[i].name);

        KcText_Copy(backend->region, i % 3 == 2 ? REMOTE : LOCAL, KC_NAME_MAX);
        backend->pool->epoch++;
    }
    free(instances);
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
choose_backend(KcFleet *fleet, const char *policy, uint64_t key,
               bool remote_allowed, KcTime now)
{
    KcRouteChoice choice = {0};
    KcRouteQuery query = {.fleet = fleet,
                          .pool = KcFleet_FindPool(fleet, "llm"),
                          .key = key,
                          .needs_adapter = true,
                          .remote_allowed = remote_allowed,
                          .random = key * 31,
                          .options = &route_options};

    KcRoute_FindPolicy(policy)->pick(&query, now, &choice);
    return choice;
}

/* States of the home and the next candidate; whether the home is chosen. */
static const struct {
    const char *name;
    uint32_t queued; /* requests queued at the home of the key */
    bool home_has_adapter;
    bool next_has_adapter;
    bool home_suspect;
    bool home_leaving;
    KcTime load_report_age; /* of the home */
    bool home_chosen;
} route_cases[] = {
    {"idle fleet", 0, false, false, false, false, 0, true},
    {"home holds the adapter", 0, true, false, false, false, 0, true},
    {"next candidate holds the adapter", 0, false, true, false, false, 0,
     false},
    {"home is full", 40, true, false, false, false, 0, false},
    {"home was full, but the report is too old", 40, true, false, false, false,
     6 * KC_SECOND, true},
    {"short queue at home beats a load elsewhere", 1, true, false, false,
     false, 0, true},
    {"home is suspect", 0, true, false, true, false, 0, false},
    {"home is leaving", 0, true, false, false, true, 0, false},
};

static void
test_home_choice(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(route_cases); i++) {
        KcFleet fleet;
        KcTime now = 100 * KC_SECOND;
        KcBackend *home;
        KcBackend *chosen;

        KcFleet_Init(&fleet, 64);
        KcText_Copy(fleet.entry_region, LOCAL, KC_NAME_MAX);
        create_backends(&fleet, 12);
        home = choose_backend(&fleet, "kcc", 77, false, now).backend;
        if (route_cases[i].next_has_adapter) {
            home->leaving = true;
            KcFleet_RecordHolder(
                &fleet, 77,
                choose_backend(&fleet, "kcc", 77, false, now).backend, true,
                now);
            home->leaving = false;
        }
        home->load.queued = route_cases[i].queued;
        home->load.running = route_cases[i].queued > 0 ? 8 : 0;
        home->load_reported_at = now - route_cases[i].load_report_age;
        home->leaving = route_cases[i].home_leaving;
        home->suspect_until = route_cases[i].home_suspect ? now + 1 : 0;
        KcFleet_RecordHolder(&fleet, 77, home, route_cases[i].home_has_adapter,
                             now);
        chosen = choose_backend(&fleet, "kcc", 77, false, now).backend;
        g_test_message("%s", route_cases[i].name);
        g_assert_nonnull(chosen);
        g_assert_cmpint(chosen == home, ==, route_cases[i].home_chosen);
        KcFleet_Clear(&fleet);
    }
}

/* Another region is used only when it is cheaper and within the budget. */
static const struct {
    const char *name;
    uint64_t key;        /* 5: its home is in region REMOTE, 6: in LOCAL */
    bool held_here;      /* the best backend server here holds the adapter */
    uint32_t queued;     /* requests at every backend server here */
    bool remote_allowed; /* by the byte budget */
    bool remote_chosen;
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
        create_backends(&fleet, 12);
        if (region_cases[i].held_here) {
            backend =
                choose_backend(&fleet, "kcc", region_cases[i].key, false, now)
                    .backend;
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
        g_assert_cmpint(choose_backend(&fleet, "kcc", region_cases[i].key,
                                       region_cases[i].remote_allowed, now)
                            .remote,
                        ==, region_cases[i].remote_chosen);
        KcFleet_Clear(&fleet);
    }
}

/* When a backend server leaves, only the keys whose home it was move. */
static void
test_keys_move_with_home(void)
{
    KcFleet fleet;
    KcBackend *homes[2000];
    KcBackend *leaving_backend;
    int moved_keys = 0;
    int keys_of_leaving = 0;

    KcFleet_Init(&fleet, 64);
    KcText_Copy(fleet.entry_region, LOCAL, KC_NAME_MAX);
    create_backends(&fleet, 60);
    for (uint64_t key = 0; key < 2000; key++) {
        homes[key] =
            choose_backend(&fleet, "kcc", key * 7919, false, 0).backend;
    }
    leaving_backend = KcFleet_FindBackend(&fleet, "b7");
    leaving_backend->leaving = true;
    for (uint64_t key = 0; key < 2000; key++) {
        KcBackend *home =
            choose_backend(&fleet, "kcc", key * 7919, false, 0).backend;

        keys_of_leaving += homes[key] == leaving_backend;
        moved_keys += home != homes[key];
    }
    g_assert_cmpint(keys_of_leaving, >, 0);
    g_assert_cmpint(moved_keys, ==, keys_of_leaving);
    KcFleet_Clear(&fleet);
}

/* No policy chooses a leaving server, and each finds the one that is not. */
static void
test_policies_avoid_leaving(void)
{
    for (size_t i = 0; KcRoute_PolicyAt(i) != NULL; i++) {
        const char *name = KcRoute_PolicyAt(i)->name;
        KcFleet fleet;
        KcBackend *backend;

        KcFleet_Init(&fleet, 64);
        KcText_Copy(fleet.entry_region, LOCAL, KC_NAME_MAX);
        create_backends(&fleet, 9);
        TAILQ_FOREACH (backend, &fleet.backends, link) {
            backend->leaving = strcmp(backend->name, "b4") != 0;
        }
        for (uint64_t key = 0; key < 50; key++) {
            KcRouteChoice choice = choose_backend(&fleet, name, key, true, 0);

            g_assert_nonnull(choice.backend);
            g_assert_cmpstr(choice.backend->name, ==, "b4");
        }
        KcFleet_FindBackend(&fleet, "b4")->leaving = true;
        g_assert_null(choose_backend(&fleet, name, 1, true, 0).backend);
        KcFleet_Clear(&fleet);
    }
}

/* ---- limits ------------------------------------------------------------- */

static const struct {
    const char *name;
    KcCustomerLimit limit;
    uint32_t entries; /* that share the limit */
    KcTime interval;  /* between the starts of 20 requests */
    bool sequential;  /* each request ends before the next begins */
    int admitted;     /* of the 20 requests */
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
    {"divided among entries",
     {.rate_per_s = 4, .burst = 8, .in_flight_max = 100},
     4,
     0,
     true,
     2},
    {"at least one request per entry",
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
            KcTime retry_delay = 0;
            int code = KcCustomers_Admit(
                &customers, "c", &limit_cases[i].limit, limit_cases[i].entries,
                1000 + j * limit_cases[i].interval, &customer, &retry_delay);

            if (code != 0) {
                g_assert_cmpint(code, ==, KC_ERR_LIMIT_EXCEEDED);
                g_assert_cmpint(retry_delay, >, 0);
                continue;
            }
            admitted++;
            if (limit_cases[i].sequential) {
                KcCustomers_Release(customer);
            }
        }
        g_test_message("%s", limit_cases[i].name);
        g_assert_cmpint(admitted, ==, limit_cases[i].admitted);
        KcCustomers_Clear(&customers);
    }
}

/* One customer's burst does not use up another's limit. */
static void
test_customers_independent(void)
{
    KcCustomerLimit limit = {.rate_per_s = 1, .burst = 2, .in_flight_max = 10};
    KcCustomers customers;
    KcCustomer *customer;
    KcTime retry_delay;

    KcCustomers_Init(&customers, 2);
    for (int i = 0; i < 5; i++) {
        if (KcCustomers_Admit(&customers, "burst", &limit, 1, 0, &customer,
                              &retry_delay) == 0) {
            KcCustomers_Release(customer);
        }
    }
    g_assert_cmpint(KcCustomers_Admit(&customers, "other", &limit, 1, 0,
                                      &customer, &retry_delay),
                    ==, 0);
    KcCustomers_Release(customer);
    /* Idle customers above the maximum of 2 are dropped. */
    KcCustomers_Admit(&customers, "third", &limit, 1, 0, &customer,
                      &retry_delay);
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
    g_test_add_func("/process/home_choice", test_home_choice);
    g_test_add_func("/process/regions", test_regions);
    g_test_add_func("/process/keys_move_with_home", test_keys_move_with_home);
    g_test_add_func("/process/policies", test_policies_avoid_leaving);
    g_test_add_func("/process/limits", test_limits);
    g_test_add_func("/process/customers", test_customers_independent);
    g_test_add_func("/process/byte_budget", test_byte_budget);
    return g_test_run();
}
