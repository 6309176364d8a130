/*
 * Tests of leases and events.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

/* ---- leases ------------------------------------------------------------- */

/* A fake object API with one object that others may change. */
typedef struct Store {
    uint64_t version;
    char value[1024];
    size_t size;
    bool down;
    KcObjectCallback done;
    void *context;
    KcObjectReply reply;
    KcTime now;
    uint64_t fence; /* as last reported */
} Store;

static void
store_get(void *objects, const char *name, KcObjectCallback done,
          void *context)
{
    Store *store = objects;

    (void)name;
    store->done = done;
    store->context = context;
    store->reply = (KcObjectReply){store->version == 0 ? KC_ERR_NOT_FOUND : 0,
                                   store->version,
                                   {store->value, store->size}};
}

static void
store_put(void *objects, const char *name, KcBytes value, uint64_t expected,
          KcObjectCallback done, void *context)
{
    Store *store = objects;

    (void)name;
    store->done = done;
    store->context = context;
    store->reply = (KcObjectReply){KC_ERR_CONFLICT, 0, {"", 0}};
    if (!store->down && expected == store->version) {
        memcpy(store->value, value.data, value.size);
        store->size = value.size;
        store->reply = (KcObjectReply){0, ++store->version, {"", 0}};
    }
}

static const KcObjectOps store_ops = {store_get, store_put, NULL};

static KcTime
store_clock(void *context)
{
    return ((Store *)context)->now;
}

static void
store_changed(void *context, uint64_t fence, KcTime now)
{
    (void)now;
    ((Store *)context)->fence = fence;
}

static void
pass_time(Store *store, KcTimers *timers, KcTime duration)
{
    KcTime until = store->now + duration;

    while (store->now < until) {
        KcObjectCallback done = store->done;

        store->now += 50 * KC_MS;
        KcTimers_Run(timers, store->now);
        if (done != NULL) {
            KcObjectReply reply = store->reply;

            store->done = NULL;
            if (store->down) {
                reply.code = KC_ERR_OBJECT_API_UNAVAILABLE;
            }
            done(store->context, &reply);
        }
    }
}

/* Writes a lease of another process into the store. */
static void
take_over(Store *store, const char *holder, uint64_t fence)
{
    KcLeaseValue value = {
        .process_token = "other", .fence = fence, .ttl_us = 9 * KC_SECOND};

    KcText_Copy(value.holder, holder, KC_NAME_MAX);

    store->size =
        KcLeaseValue_Encode(&value, store->value, sizeof(store->value));
    store->version++;
}

/* What happens to a lease, and whether orders may be given afterwards. */
typedef enum LeaseEvent {
    LEASE_NOTHING,
    LEASE_OUTAGE, /* the object API is down for a minute */
    LEASE_PAUSE,  /* the process is frozen for a minute */
    LEASE_PAUSE_AND_OUTAGE,
    LEASE_STOLEN,    /* another process has taken it */
    LEASE_RESTARTED, /* by a later process of the same instance */
} LeaseEvent;

static const struct {
    const char *name;
    const char *before; /* who held it at the start, NULL: nobody */
    LeaseEvent event;
    bool may_order; /* at once afterwards */
    bool recovers;  /* within half a minute */
} lease_cases[] = {
    {"quiet", NULL, LEASE_NOTHING, true, true},
    {"taken over after it lapsed", "other", LEASE_NOTHING, true, true},
    {"outage while awake", NULL, LEASE_OUTAGE, true, true},
    {"frozen past its end", NULL, LEASE_PAUSE, false, true},
    {"frozen during an outage", NULL, LEASE_PAUSE_AND_OUTAGE, false, false},
    {"taken by another", NULL, LEASE_STOLEN, false, false},
    {"replaced in its own place", NULL, LEASE_RESTARTED, false, true},
    {"starts again in its own place", "agent", LEASE_NOTHING, true, true},
};

static KcLease *
start_lease(Store *store, KcTimers *timers, KcEvents *events)
{
    static const KcRequestId token = {1, 2};
    KcLeaseOptions options = {.object_ops = &store_ops,
                              .objects = store,
                              .timers = timers,
                              .events = events,
                              .name = "agent",
                              .holder = "agent",
                              .role = "agent",
                              .datacentre = "d",
                              .admin_address = "",
                              .process_token = &token,
                              .ttl = 9 * KC_SECOND,
                              .expiry_margin = 2 * KC_SECOND,
                              .renew_interval = 3 * KC_SECOND,
                              .confirm_delay_max = KC_SECOND,
                              .jitter_seed = 3,
                              .clock = store_clock,
                              .clock_context = store,
                              .on_changed = store_changed,
                              .context = store};
    KcLease *lease = KcLease_Create(&options);

    KcLease_Start(lease, store->now);
    return lease;
}

static void
apply_lease_event(Store *store, KcTimers *timers, LeaseEvent event)
{
    switch (event) {
    case LEASE_NOTHING:
        break;
    case LEASE_OUTAGE:
        store->down = true;
        pass_time(store, timers, 60 * KC_SECOND);
        break;
    case LEASE_PAUSE:
        store->now += 60 * KC_SECOND;
        break;
    case LEASE_PAUSE_AND_OUTAGE:
        store->down = true;
        store->now += 60 * KC_SECOND;
        break;
    case LEASE_STOLEN:
        take_over(store, "other", 7);
        pass_time(store, timers, 5 * KC_SECOND);
        take_over(store, "other", 7); /* and renews it */
        break;
    case LEASE_RESTARTED:
        take_over(store, "agent", 7);
        pass_time(store, timers, 4 * KC_SECOND);
        break;
    }
}

static void
test_leases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(lease_cases); i++) {
        Store store = {.now = KC_SECOND};
        KcTimers *timers = KcTimers_Create(store.now);
        KcEvents *events = KcEvents_Create(8, 0);
        KcLease *lease;
        bool recovered = false;

        if (lease_cases[i].before != NULL) {
            take_over(&store, lease_cases[i].before, 4);
        }
        lease = start_lease(&store, timers, events);
        pass_time(&store, timers, 5 * KC_SECOND);
        g_test_message("%s", lease_cases[i].name);
        g_assert_cmpint(KcLease_MayOrder(lease, store.now), ==,
                        g_strcmp0(lease_cases[i].before, "other") != 0);
        pass_time(&store, timers, 15 * KC_SECOND);
        g_assert_cmpuint(store.fence, ==,
                         lease_cases[i].before != NULL ? 5 : 1);
        apply_lease_event(&store, timers, lease_cases[i].event);
        g_assert_cmpint(KcLease_MayOrder(lease, store.now), ==,
                        lease_cases[i].may_order);
        for (int j = 0; j < 10; j++) {
            if (lease_cases[i].event == LEASE_STOLEN) {
                take_over(&store, "other", 7);
            }
            pass_time(&store, timers, 3 * KC_SECOND);
            recovered = KcLease_MayOrder(lease, store.now);
        }
        g_assert_cmpint(recovered, ==, lease_cases[i].recovers);
        store.down = false;
        KcLease_Free(lease);
        pass_time(&store, timers, KC_SECOND);
        KcEvents_Free(events);
        KcTimers_Free(timers);
    }
}

/* A new generation is confirmed in the lease object within its time. */
static void
test_confirmation(void)
{
    Store store = {.now = KC_SECOND};
    KcTimers *timers = KcTimers_Create(store.now);
    KcEvents *events = KcEvents_Create(8, 0);
    KcLease *lease = start_lease(&store, timers, events);
    KcLeaseValue value;

    pass_time(&store, timers, 5 * KC_SECOND);
    KcLease_ConfirmGeneration(lease, 42, store.now);
    pass_time(&store, timers, 1200 * KC_MS);
    g_assert_cmpint(
        KcLeaseValue_Decode((KcBytes){store.value, store.size}, &value), ==,
        0);
    g_assert_cmpuint(value.generation, ==, 42);
    KcLease_Free(lease);
    pass_time(&store, timers, KC_SECOND);
    KcEvents_Free(events);
    KcTimers_Free(timers);
}

/* ---- events ------------------------------------------------------------- */

static void
test_events(void)
{
    KcEvents *events = KcEvents_Create(4, 1000);
    KcEventInfo info = {0};

    for (int i = 0; i < 10; i++) {
        info.detail = i;
        KcEvents_Add(events, KC_EVENT_PICK, 5, &info);
    }
    g_assert_cmpuint(KcEvents_Count(events), ==, 4);
    for (size_t i = 0; i < 4; i++) {
        g_assert_cmpint(KcEvents_At(events, i)->detail, ==, 6 + (int)i);
        if (i > 0) {
            g_assert_cmpuint(KcEvents_At(events, i)->clock, >,
                             KcEvents_At(events, i - 1)->clock);
        }
    }
    /* What follows a message comes after it, whatever the clocks say. */
    KcEvents_ObserveClock(events, 1ULL << 60, 6);
    g_assert_cmpuint(KcEvents_AdvanceClock(events, 6), >, 1ULL << 60);
    KcEvents_Free(events);
}

static void
test_names(void)
{
    for (int code = 0; code > KC_ERR_RANGE_END; code--) {
        g_assert_cmpstr(KcError_Name(code), !=, "unknown_error");
    }
    g_assert_cmpstr(KcError_Name(1), ==, "unknown_error");
    g_assert_cmpstr(KcError_Name(-1000), ==, "unknown_error");
    for (int i = 0; i < KC_COUNT_MAX; i++) {
        g_assert_true(g_str_has_prefix(KcCounter_Name((KcCounter)i), "kcc_"));
        g_assert_cmpuint(strlen(KcCounter_Help((KcCounter)i)), >, 0);
    }
    for (int i = 0; i < KC_EVENT_MAX; i++) {
        g_assert_cmpuint(strlen(KcEventType_Name((KcEventType)i)), >, 0);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/leases", test_leases);
    g_test_add_func("/process/confirmation", test_confirmation);
    g_test_add_func("/process/events", test_events);
    g_test_add_func("/process/names", test_names);
    return g_test_run();
}
