/*
 * Tests of the platform's HTTP headers that state numbers: however large these
 * are, a request keeps the limits that its client asks for, and a connection
 * the time that its server grants.
 */
#include <glib.h>
#include <inttypes.h>

#include "../../programs/process/platform.h"
#include "../steps.h"

#define HUGE_NUMBER "99999999999999999999999999999999"

/* Limits of a request, from numbers of any width. */
static const struct {
    const char *name;
    const char *header;
    const char *value;
    uint64_t events_max; /* of its stream; 0: no limit */
    int timeout_s;
} limit_cases[] = {
    {"none", "Host", "h", 0, 0},
    {"output", "Token-Count", "1460,80", 96, 0},
    {"no output", "Token-Count", "1460,0", 0, 0},
    {"output 2^32", "Token-Count", "1460,4294967296", 4294967312, 0},
    {"output 2^63 - 1", "Token-Count", "1460,9223372036854775807",
     9223372036854775823ULL, 0},
    {"output 2^64 - 17", "Token-Count", "1460,18446744073709551599",
     UINT64_MAX, 0},
    {"output 2^64 - 16", "Token-Count", "1460,18446744073709551600", 0, 0},
    {"output 2^64 - 1", "Token-Count", "1460,18446744073709551615", 0, 0},
    {"a longer output", "Token-Count", "1460," HUGE_NUMBER, 0, 0},
    {"deadline", "Deadline-Ms", "5000", 0, 5},
    {"deadline 0", "Deadline-Ms", "0", 0, 0},
    {"deadline of a day", "Deadline-Ms", "86400000", 0, 86400},
    {"deadline of more", "Deadline-Ms", "86401000", 0, 86400},
    {"deadline 2^31", "Deadline-Ms", "2147483648", 0, 86400},
    {"deadline 2^63 us", "Deadline-Ms", "9223372036854776", 0, 86400},
    {"deadline 2^64 us", "Deadline-Ms", "18446744073709552", 0, 86400},
    {"deadline 2^63 - 1", "Deadline-Ms", "9223372036854775807", 0, 86400},
    {"deadline 2^63", "Deadline-Ms", "9223372036854775808", 0, 86400},
    {"deadline 2^64 - 1", "Deadline-Ms", "18446744073709551615", 0, 86400},
    {"a longer deadline", "Deadline-Ms", "" HUGE_NUMBER, 0, 86400},
};

static void
test_limits(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcHttpMessage message = {
        .target = "/x",
        .method = "POST",
        .fields = {{limit_cases[index].header, limit_cases[index].value}},
        .field_count = 1};
    KcCallNames names;
    KcForwardCall call = {.id = ""};
    KcError error;

    g_assert_cmpint(KcPlatform_Current.dialect->parse_caller_request(
                        &message, &call, &names, &error),
                    ==, 0);
    g_assert_cmpuint(call.answer_events_max, ==,
                     limit_cases[index].events_max);
    g_assert_cmpint(call.timeout, ==,
                    limit_cases[index].timeout_s * KC_SECOND);
}

/* How long a server keeps an idle connection. */
static const struct {
    const char *name;
    const char *value;
    int timeout_s; /* 0: not stated */
} keep_alive_cases[] = {
    {"5 s", "timeout=5", 5},
    {"with a maximum", "timeout=5, max=100", 5},
    {"behind a maximum", "max=100, timeout=5", 5},
    {"a maximum alone", "max=100", 0},
    {"empty", "timeout=", 0},
    {"negative", "timeout=-5", 0},
    {"a word", "timeout=long", 0},
    {"0 s", "timeout=0", 0},
    {"2^31 s", "timeout=2147483648", 86400},
    {"2^32 + 1 s", "timeout=4294967297", 86400},
    {"2^63 s", "timeout=9223372036854775808", 86400},
    {"a huge number", "timeout=" HUGE_NUMBER, 86400},
};

static void
test_keep_alive(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcHttpMessage message = {
        .status = 200,
        .fields = {{"Keep-Alive", keep_alive_cases[index].value},
                   {"Attempt-Id", "id"}},
        .field_count = 2};
    KcHttpMessage request = {.fields = {{"Attempt-Id", "id"}},
                             .field_count = 1};
    KcReplyHead head;

    KcPlatform_Current.dialect->parse_reply_head(&message, &request, &head);
    g_assert_cmpint(head.keep_alive_timeout, ==,
                    keep_alive_cases[index].timeout_s * KC_SECOND);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/dialect/limits", limit_cases, G_N_ELEMENTS(limit_cases),
                   sizeof(limit_cases[0]), test_limits);
    Steps_AddCases("/dialect/keep alive", keep_alive_cases,
                   G_N_ELEMENTS(keep_alive_cases), sizeof(keep_alive_cases[0]),
                   test_keep_alive);
    return g_test_run();
}
