/*
 * Tests of leases, of the event log and of the names of errors, counters and
 * events.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

/* ---- leases ------------------------------------------------------------- */

/* A fake object API with one object, which tests also write directly. */
typedef struct FakeObjectApi {
    uint64_t version;
    char value[1024];
    size_t size;
    bool is_down;              /* writes have no effect and every call fails */
    KcObjectCallback callback; /* of the outstanding call; NULL: none */
    void *context;             /* of the callback */
    KcObjectReply reply;       /* to the outstanding call */
    KcTime now;
    uint64_t fence; /* last fencing number that the lease reported */
} FakeObjectApi;

static void
fake_get(void *objects, const char *name, KcObjectCallback callback,
         void *context)
{
    FakeObjectApi *api = objects;

    (void)name;
    api->callback = callback;
    api->context = context;
    api->reply =
        (KcObjectReply){.code = api->version == 0 ? KC_ERR_NOT_FOUND : 0,
                        .version = api->version,
                        .value = {api->value, api->size}};
}

static void
fake_put(void *objects, const char *name, KcBytes value,
         uint64_t expected_version, KcObjectCallback callback, void *context)
{
    FakeObjectApi *api = objects;

    (void)name;
    api->callback = callback;
    api->context = context;
    api->reply = (KcObjectReply){.code = KC_ERR_CONFLICT, .value = {"", 0}};
    if (!api->is_down && expected_version == api->version) {
        memcpy(api->value, value.data, value.size);
        api->size = value.size;
        api->reply =
            (KcObjectReply){.version = ++api->version, .value = {"", 0}};
    }
}

static const KcObjectOps fake_object_ops = {fake_get, fake_put, NULL};

static KcTime
read_fake_clock(void *context)
{
    return ((FakeObjectApi *)context)->now;
}

static void
on_lease_changed(void *context, uint64_t fence, KcTime now)
{
    (void)now;
    ((FakeObjectApi *)context)->fence = fence;
}

/* Advances the clock in steps of 50 ms; each answers an outstanding call. */
static void
advance_time(FakeObjectApi *api, KcTimers *timers, KcTime duration)
{
    KcTime until = api->now + duration;

    while (api->now < until) {
        KcObjectCallback callback = api->callback;

        api->now += 50 * KC_MS;
        KcTimers_Run(timers, api->now);
        if (callback != NULL) {
            KcObjectReply reply = api->reply;

            api->callback = NULL;
            if (api->is_down) {
                reply.code = KC_ERR_OBJECT_API_UNAVAILABLE;
            }
            callback(api->context, &reply);
        }
    }
}

/* Writes a lease of another process into the object. */
static void
write_other_lease(FakeObjectApi *api, const char *holder, uint64_t fence)
{
    KcLeaseValue value = {
        .process_token = "other", .fence = fence, .ttl_us = 9 * KC_SECOND};

    KcText_Copy(value.holder, holder, KC_NAME_MAX);
    api->size = KcLeaseValue_Encode(&value, api->value, sizeof(api->value));
    api->version++;
}

/* What happens to a lease 20 s after its start. */
typedef enum LeaseEvent {
    LEASE_NOTHING,
    LEASE_OUTAGE, /* the object API is down from then on; a minute passes */
    LEASE_PAUSE,  /* the process is frozen for a minute */
    LEASE_PAUSE_AND_OUTAGE,
    /* the process is frozen for a minute with the answer to a renewal unread,
     * which is the first that it reads, or after its timers */
    LEASE_PAUSE_IN_RENEWAL,
    LEASE_PAUSE_IN_RENEWAL_TIMERS_FIRST,
    LEASE_STOLEN,    /* another process takes it and renews it */
    LEASE_RESTARTED, /* a later process of the same instance takes it */
} LeaseEvent;

static const struct {
    const char *name;
    const char *initial_holder; /* NULL: nobody */
    LeaseEvent event;
    bool may_order; /* right after the event */
    bool recovers;  /* may order within 30 s of the event */
} lease_cases[] = {
    {"no event", NULL, LEASE_NOTHING, true, true},
    {"lapsed lease of another holder is taken over", "other", LEASE_NOTHING,
     true, true},
    {"object API outage while the process runs", NULL, LEASE_OUTAGE, true,
     true},
    {"process frozen beyond the expiry", NULL, LEASE_PAUSE, false, true},
    {"process frozen during an outage", NULL, LEASE_PAUSE_AND_OUTAGE, false,
     false},
    {"process frozen beyond the expiry while its renewal is answered", NULL,
     LEASE_PAUSE_IN_RENEWAL, false, true},
    {"process frozen while its renewal is answered, timers first", NULL,
     LEASE_PAUSE_IN_RENEWAL_TIMERS_FIRST, false, true},
    {"taken by another process", NULL, LEASE_STOLEN, false, false},
    {"taken by a restart of the same instance", NULL, LEASE_RESTARTED, false,
     true},
    {"restarted instance takes its own lease", "agent", LEASE_NOTHING, true,
     true},
};

static KcLease *
start_lease(FakeObjectApi *api, KcTimers *timers, KcEvents *events)
{
    static const KcRequestId token = {1, 2};
    KcLeaseOptions options = {.object_ops = &fake_object_ops,
                              .objects = api,
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
                              .clock = read_fake_clock,
                              .clock_context = api,
                              .on_changed = on_lease_changed,
                              .context = api};
    KcLease *lease = KcLease_Create(&options);

    KcLease_Start(lease, api->now);
    return lease;
}

/* Gives the outstanding call its answer. */
static void
answer_call(FakeObjectApi *api)
{
    KcObjectCallback callback = api->callback;

    api->callback = NULL;
    callback(api->context, &api->reply);
}

static void
freeze_in_renewal(FakeObjectApi *api, KcTimers *timers)
{
    uint64_t version = api->version;

    while (api->version == version) {
        api->now += 50 * KC_MS;
        KcTimers_Run(timers, api->now);
    }
    api->now += 60 * KC_SECOND;
}

static void
apply_lease_event(FakeObjectApi *api, KcTimers *timers, LeaseEvent event)
{
    switch (event) {
    case LEASE_NOTHING:
        break;
    case LEASE_OUTAGE:
        api->is_down = true;
        advance_time(api, timers, 60 * KC_SECOND);
        break;
    case LEASE_PAUSE:
        api->now += 60 * KC_SECOND;
        break;
    case LEASE_PAUSE_AND_OUTAGE:
        api->is_down = true;
        api->now += 60 * KC_SECOND;
        break;
    case LEASE_PAUSE_IN_RENEWAL:
        freeze_in_renewal(api, timers);
        answer_call(api);
        break;
    case LEASE_PAUSE_IN_RENEWAL_TIMERS_FIRST:
        freeze_in_renewal(api, timers);
        KcTimers_Run(timers, api->now);
        answer_call(api);
        break;
    case LEASE_STOLEN:
        write_other_lease(api, "other", 7);
        advance_time(api, timers, 5 * KC_SECOND);
        write_other_lease(api, "other", 7); /* the renewal */
        break;
    case LEASE_RESTARTED:
        write_other_lease(api, "agent", 7);
        advance_time(api, timers, 4 * KC_SECOND);
        break;
    }
}

static void
test_leases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(lease_cases); i++) {
        FakeObjectApi api = {.now = KC_SECOND};
        KcTimers *timers = KcTimers_Create(api.now);
        KcEvents *events = KcEvents_Create(8, 0);
        KcLease *lease;
        bool recovered = false;

        if (lease_cases[i].initial_holder != NULL) {
            write_other_lease(&api, lease_cases[i].initial_holder, 4);
        }
        lease = start_lease(&api, timers, events);
        advance_time(&api, timers, 5 * KC_SECOND);
        g_test_message("%s", lease_cases[i].name);
        g_assert_cmpint(KcLease_MayOrder(lease, api.now), ==,
                        g_strcmp0(lease_cases[i].initial_holder, "other") !=
                            0);
        advance_time(&api, timers, 15 * KC_SECOND);
        g_assert_cmpuint(api.fence, ==,
                         lease_cases[i].initial_holder != NULL ? 5 : 1);
        apply_lease_event(&api, timers, lease_cases[i].event);
        g_assert_cmpint(KcLease_MayOrder(lease, api.now), ==,
                        lease_cases[i].may_order);
        for (int j = 0; j < 10; j++) {
            if (lease_cases[i].event == LEASE_STOLEN) {
                write_other_lease(&api, "other", 7);
            }
            advance_time(&api, timers, 3 * KC_SECOND);
            recovered = KcLease_MayOrder(lease, api.now);
        }
        g_assert_cmpint(recovered, ==, lease_cases[i].recovers);
        api.is_down = false;
        KcLease_Free(lease);
        advance_time(&api, timers, KC_SECOND);
        KcEvents_Free(events);
        KcTimers_Free(timers);
    }
}

/* A new generation is written to the lease object within confirm_delay_max,
 * 1 s here. */
static void
test_generation_confirmation(void)
{
    FakeObjectApi api = {.now = KC_SECOND};
    KcTimers *timers = KcTimers_Create(api.now);
    KcEvents *events = KcEvents_Create(8, 0);
    KcLease *lease = start_lease(&api, timers, events);
    KcLeaseValue value;

    advance_time(&api, timers, 5 * KC_SECOND);
    KcLease_ConfirmGeneration(lease, 42, api.now);
    advance_time(&api, timers, 1200 * KC_MS);
    g_assert_cmpint(
        KcLeaseValue_Decode((KcBytes){api.value, api.size}, &value), ==, 0);
    g_assert_cmpuint(value.generation, ==, 42);
    KcLease_Free(lease);
    advance_time(&api, timers, KC_SECOND);
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
    /* Later events get a clock value above one received from a peer, even when
     * the peer's wall clock is ahead. */
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
    for (int i = 0; i < KC_COUNTER_COUNT; i++) {
        g_assert_true(g_str_has_prefix(KcCounter_Name((KcCounter)i), "kcc_"));
        g_assert_cmpuint(strlen(KcCounter_Help((KcCounter)i)), >, 0);
    }
    for (int i = 0; i < KC_EVENT_TYPE_COUNT; i++) {
        g_assert_cmpuint(strlen(KcEventType_Name((KcEventType)i)), >, 0);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/process/leases", test_leases);
    g_test_add_func("/process/generation_confirmation",
                    test_generation_confirmation);
    g_test_add_func("/process/events", test_events);
    g_test_add_func("/process/names", test_names);
    return g_test_run();
}
