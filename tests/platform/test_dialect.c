/*
 * Tests of the platform's HTTP headers: what is read from the heads of
 * workers' answers about the worker itself, and from those of clients'
 * requests about the parts of their prompts and their keys; what a worker gets
 * of these, and the statuses of refusals.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "../../programs/process/platform.h"
#include "../steps.h"

#define HUGE_NUMBER "99999999999999999999999999999999"

/* Longest wait that is taken from an answer. */
#define RETRY_AFTER_MAX_S 300

/* Headers are separated by bars.  A header that is not readable gives nothing
 * and is reported with its last value; the rest of the answer counts. */
static const struct {
    const char *name;
    int status;
    const char *headers;
    bool is_leaving;
    int retry_after_s;
    const char *unread; /* header; NULL: all were read */
    const char *unread_value;
} notice_cases[] = {
    {"no header", 200, "Content-Type: text/plain", false, 0, NULL, NULL},
    /* leaving */
    {"leaving with 200", 200, "Server-Leaving: 1", true, 0, NULL, NULL},
    {"leaving with 103", 103, "Server-Leaving: 1", true, 0, NULL, NULL},
    {"leaving with 400", 400, "Server-Leaving: 1", true, 0, NULL, NULL},
    {"leaving with 421", 421, "Not-Executed: 1|Server-Leaving: 1", true, 0,
     NULL, NULL},
    {"leaving with 500", 500, "Server-Leaving: 1", true, 0, NULL, NULL},
    {"leaving with a stream", 200,
     "Content-Type: text/event-stream|Server-Leaving: 1", true, 0, NULL, NULL},
    {"leaving in lower case", 200, "server-leaving: 1", true, 0, NULL, NULL},
    {"leaving with a blank behind", 200, "Server-Leaving: 1 ", true, 0, NULL,
     NULL},
    {"leaving 0", 200, "Server-Leaving: 0", false, 0, "Server-Leaving", "0"},
    {"leaving 2", 200, "Server-Leaving: 2", false, 0, "Server-Leaving", "2"},
    {"leaving true", 200, "Server-Leaving: true", false, 0, "Server-Leaving",
     "true"},
    {"leaving empty", 200, "Server-Leaving: ", false, 0, "Server-Leaving", ""},
    {"leaving 1.0", 200, "Server-Leaving: 1.0", false, 0, "Server-Leaving",
     "1.0"},
    {"leaving -1", 200, "Server-Leaving: -1", false, 0, "Server-Leaving",
     "-1"},
    {"leaving 11", 200, "Server-Leaving: 11", false, 0, "Server-Leaving",
     "11"},
    {"leaving a huge number", 200, "Server-Leaving: " HUGE_NUMBER, false, 0,
     "Server-Leaving", HUGE_NUMBER},
    {"leaving a list", 200, "Server-Leaving: 1, 1", false, 0, "Server-Leaving",
     "1, 1"},
    {"leaving twice", 200, "Server-Leaving: 1|Server-Leaving: 1", false, 0,
     "Server-Leaving", "1"},
    {"leaving and not", 200, "Server-Leaving: 1|Server-Leaving: 0", false, 0,
     "Server-Leaving", "0"},
    /* asked to wait */
    {"wait", 503, "Not-Executed: 1|Retry-After: 3", false, 3, NULL, NULL},
    {"wait without a promise", 503, "Retry-After: 3", false, 3, NULL, NULL},
    {"wait and leaving", 503, "Server-Leaving: 1|Retry-After: 3", true, 3,
     NULL, NULL},
    {"wait 0", 503, "Retry-After: 0", false, 0, NULL, NULL},
    {"wait with leading zeros", 503, "Retry-After: 007", false, 7, NULL, NULL},
    {"wait with a blank behind", 503, "Retry-After: 3\t", false, 3, NULL,
     NULL},
    {"wait with 200", 200, "Retry-After: 3", false, 0, NULL, NULL},
    {"wait with 429", 429, "Not-Executed: 1|Retry-After: 3", false, 0, NULL,
     NULL},
    {"wait at the longest", 503, "Retry-After: 300", false, 300, NULL, NULL},
    {"wait longer than the longest", 503, "Retry-After: 301", false,
     RETRY_AFTER_MAX_S, NULL, NULL},
    {"wait 2^63", 503, "Retry-After: 9223372036854775808", false,
     RETRY_AFTER_MAX_S, NULL, NULL},
    {"wait a huge number", 503, "Retry-After: " HUGE_NUMBER, false,
     RETRY_AFTER_MAX_S, NULL, NULL},
    {"wait negative", 503, "Retry-After: -3", false, 0, "Retry-After", "-3"},
    {"wait with a sign", 503, "Retry-After: +3", false, 0, "Retry-After",
     "+3"},
    {"wait empty", 503, "Retry-After: ", false, 0, "Retry-After", ""},
    {"wait blank", 503, "Retry-After: \t", false, 0, "Retry-After", "\t"},
    {"wait fractional", 503, "Retry-After: 0.5", false, 0, "Retry-After",
     "0.5"},
    {"wait with an exponent", 503, "Retry-After: 3e2", false, 0, "Retry-After",
     "3e2"},
    {"wait hexadecimal", 503, "Retry-After: 0x3", false, 0, "Retry-After",
     "0x3"},
    {"wait with a unit", 503, "Retry-After: 3s", false, 0, "Retry-After",
     "3s"},
    {"wait a word", 503, "Retry-After: soon", false, 0, "Retry-After", "soon"},
    {"wait a date", 503, "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT", false,
     0, "Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT"},
    {"wait twice", 503, "Retry-After: 3|Retry-After: 4", false, 0,
     "Retry-After", "4"},
    {"wait twice the same", 503, "Retry-After: 3|Retry-After: 3", false, 0,
     "Retry-After", "3"},
    {"wait a list", 503, "Retry-After: 3, 4", false, 0, "Retry-After", "3, 4"},
    {"leaving with a wait that is not readable", 503,
     "Server-Leaving: 1|Retry-After: soon", true, 0, "Retry-After", "soon"},
    {"a wait with a leaving that is not readable", 503,
     "Server-Leaving: yes|Retry-After: 3", false, 3, "Server-Leaving", "yes"},
};

/* Splits "Name: value|Name: value"; the message points into lines. */
static void
fill_message(KcHttpMessage *message, int status, char **lines)
{
    message->status = status;
    for (char **line = lines; *line != NULL; line++) {
        char *colon = strstr(*line, ": ");

        *colon = '\0';
        message->fields[message->field_count++] =
            (KcHttpField){*line, colon + 2};
    }
}

static void
test_notice(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char **lines = g_strsplit(notice_cases[index].headers, "|", 0);
    KcHttpMessage message = {.status = 0};
    KcHttpMessage request = {.fields = {{"Attempt-Id", "id"}},
                             .field_count = 1};
    KcReplyHead head;

    fill_message(&message, notice_cases[index].status, lines);
    message.fields[message.field_count++] =
        (KcHttpField){"Server-Load", "1,2,3"};
    message.fields[message.field_count++] = (KcHttpField){"Attempt-Id", "id"};
    KcPlatform_Current.dialect->parse_reply_head(&message, &request, &head);
    g_assert_cmpint(head.notice.is_leaving, ==,
                    notice_cases[index].is_leaving);
    g_assert_cmpint(head.notice.retry_after / KC_SECOND, ==,
                    notice_cases[index].retry_after_s);
    g_assert_cmpint(head.notice.started_at_ms, ==, 0);
    g_assert_cmpstr(head.notice.unread_name, ==, notice_cases[index].unread);
    g_assert_cmpstr(head.notice.unread_value, ==,
                    notice_cases[index].unread_value);
    /* The rest of the answer counts. */
    g_assert_true(head.has_load);
    g_assert_cmpuint(head.waiting_requests, ==, 2);
    g_assert_cmpint(head.not_run, ==,
                    strstr(notice_cases[index].headers, "Not-Executed") !=
                            NULL ||
                        notice_cases[index].status == 421);
    g_strfreev(lines);
}

/* ---- load ---------------------------------------------------------------- */

static const struct {
    const char *name;
    const char *value;
    bool has_load;
    uint32_t work_percent;
} load_cases[] = {
    {"three figures", "1,2,3", true, 0},
    {"four figures", "1,2,3,100", true, 100},
    {"four figures with spaces", "1, 2, 3, 250 ", true, 250},
    {"a fourth one with a fraction", "1,2,3,87.5", true, 87},
    {"the fourth one is empty", "1,2,3,", true, 0},
    {"the fourth one is no number", "1,2,3,fast", true, 0},
    {"the fourth one has a unit", "1,2,3,100%", true, 0},
    {"the fourth one is 0", "1,2,3,0", true, 0},
    {"the fourth one is negative", "1,2,3,-100", true, 0},
    {"the fourth one is not finite", "1,2,3,nan", true, 0},
    {"the fourth one is beyond belief", "1,2,3,1e9", true, 0},
    {"a fifth one", "1,2,3,100,7", true, 0},
    {"two figures", "1,2", false, 0},
    {"a negative one", "1,-2,3", false, 0},
    {"one beyond all numbers", "1,2,99999999999", false, 0},
    {"one with a sign", "+1,2,3", false, 0},
    {"none", "idle", false, 0},
};

static void
test_load(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcHttpMessage message = {
        .status = 200,
        .fields = {{"Server-Load", load_cases[index].value},
                   {"Attempt-Id", "id"}},
        .field_count = 2};
    KcHttpMessage request = {.fields = {{"Attempt-Id", "id"}},
                             .field_count = 1};
    KcReplyHead head;

    KcPlatform_Current.dialect->parse_reply_head(&message, &request, &head);
    g_assert_cmpint(head.has_load, ==, load_cases[index].has_load);
    g_assert_cmpuint(head.work_percent, ==, load_cases[index].work_percent);
}

/* ---- whose reply it is --------------------------------------------------- */

#define ID_70                                                                 \
    "0123456789012345678901234567890123456789012345678901234567890123456789"

/* A refusal with these headers is one of the request with those. */
static const struct {
    const char *name;
    const char *request;
    const char *reply;
    bool is_of_request;
} id_cases[] = {
    {"same", "Attempt-Id: a", "Attempt-Id: a", true},
    {"name in lower case", "Attempt-Id: a", "attempt-id: a", true},
    {"another", "Attempt-Id: a", "Attempt-Id: b", false},
    {"in capitals", "Attempt-Id: a", "Attempt-Id: A", false},
    {"longer", "Attempt-Id: a", "Attempt-Id: ab", false},
    {"beginning", "Attempt-Id: ab", "Attempt-Id: a", false},
    {"none", "Attempt-Id: a", "Server: x", false},
    {"empty", "Attempt-Id: a", "Attempt-Id: ", false},
    {"same twice", "Attempt-Id: a", "Attempt-Id: a|Attempt-Id: a", false},
    {"same first of two", "Attempt-Id: a", "Attempt-Id: a|Attempt-Id: b",
     false},
    {"same last of two", "Attempt-Id: a", "Attempt-Id: b|Attempt-Id: a",
     false},
    {"same last of three", "Attempt-Id: a",
     "Attempt-Id: b|Attempt-Id: b|Attempt-Id: a", false},
    {"longer than is logged", "Attempt-Id: " ID_70 "abc",
     "Attempt-Id: " ID_70 "abc", true},
    {"different behind what is logged", "Attempt-Id: " ID_70 "abc",
     "Attempt-Id: " ID_70 "abd", false},
    {"cut to what is logged", "Attempt-Id: " ID_70 "abc",
     "Attempt-Id: " ID_70 "a", false},
    {"none, to a request without one", "Host: h", "Server: x", true},
    {"any, to a request without one", "Host: h", "Attempt-Id: a", false},
    {"none, without a request", NULL, "Server: x", false},
    {"any, without a request", NULL, "Attempt-Id: a", false},
};

static void
test_id(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    const char *request_headers = id_cases[index].request;
    char **request_lines = g_strsplit(
        request_headers != NULL ? request_headers : "Host: h", "|", 0);
    char **reply_lines = g_strsplit(id_cases[index].reply, "|", 0);
    KcHttpMessage request = {.status = 0};
    KcHttpMessage reply = {.status = 0};
    KcReplyHead head;

    fill_message(&request, 0, request_lines);
    fill_message(&reply, 503, reply_lines);
    reply.fields[reply.field_count++] = (KcHttpField){"Not-Executed", "1"};
    KcPlatform_Current.dialect->parse_reply_head(
        &reply, request_headers != NULL ? &request : NULL, &head);
    g_assert_cmpint(head.matches_request, ==, id_cases[index].is_of_request);
    g_assert_cmpint(head.not_run, ==, id_cases[index].is_of_request);
    g_strfreev(request_lines);
    g_strfreev(reply_lines);
}

/* ---- parts of prompts ---------------------------------------------------- */

/* The last part belongs to the request alone, and is left out; so is what is
 * not an id. */
static const struct {
    const char *name;
    const char *value; /* NULL: no header */
    const char *parts; /* in hexadecimal, each followed by a blank */
} parts_cases[] = {
    {"no header", NULL, ""},
    {"empty", "", ""},
    {"one", "5c1e07a2:800", ""},
    {"two", "5c1e07a2:800,91bd3f06:410", "5c1e07a2 "},
    {"three", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "5c1e07a2 91bd3f06 "},
    {"blanks", "5c1e07a2:800, 91bd3f06:410,\te4402b7d:250",
     "5c1e07a2 91bd3f06 "},
    {"capitals", "5C1E07A2:800,e4402b7d:250", "5c1e07a2 "},
    {"16 digits", "0123456789abcdef:800,e4402b7d:250", "123456789abcdef "},
    {"17 digits", "0123456789abcdef0:800,a:1,e4402b7d:250", "a "},
    {"not hexadecimal", "5c1e07ag:800,-a:1,0xa:1,a:1,e4402b7d:250", "a "},
    {"no tokens", "5c1e07a2,a:1,e4402b7d:250", "a "},
    {"no id", ":800,a:1,e4402b7d:250", "a "},
    {"a comma behind", "5c1e07a2:800,", "5c1e07a2 "},
    {"more than are looked at",
     "1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1,9:1,a:1,b:1,c:1,d:1,e:1,f:1,10:1,"
     "11:1,12:1,13:1,14:1,15:1,16:1,17:1,18:1,19:1,1a:1,1b:1,1c:1,1d:1,1e:1,"
     "1f:1,20:1,21:1,22:1",
     "1 2 3 4 5 6 7 8 9 a b c d e f 10 11 12 13 14 15 16 17 18 19 1a 1b 1c 1d "
     "1e 1f 20 "},
};

static void
test_parts(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcHttpMessage message = {.target = "/x", .method = "POST"};
    KcForwardCall call = {.id = NULL};
    KcCallNames names;
    KcError error;
    GString *parts = g_string_new("");

    message.fields[message.field_count++] = (KcHttpField){"Host", "h"};
    if (parts_cases[index].value != NULL) {
        message.fields[message.field_count++] =
            (KcHttpField){"Prompt-Prefix", parts_cases[index].value};
    }
    g_assert_cmpint(KcPlatform_Current.dialect->parse_caller_request(
                        &message, &call, &names, &error),
                    ==, 0);
    for (uint32_t i = 0; i < call.part_count; i++) {
        g_string_append_printf(parts, "%" PRIx64 " ", call.parts[i]);
    }
    g_assert_cmpstr(parts->str, ==, parts_cases[index].parts);
    g_string_free(parts, TRUE);
}

/* ---- customers' keys ------------------------------------------------------ */

#define KEY "k7b2ex5wa5xwyhks8nbk"
#define CUSTOMER_KEY "Credential: " KEY

/* Which key a request names; headers are separated by bars. */
static const struct {
    const char *name;
    const char *headers;
    const char *key; /* NULL: none */
} key_cases[] = {
    {"no header", "Host: h", NULL},
    {"a key", CUSTOMER_KEY, KEY},
    {"name in lower case", "credential: " KEY, KEY},
    {"name in capitals", "CREDENTIAL: " KEY, KEY},
    {"blanks around it", "Credential:  \t" KEY "\t  ", KEY},
    {"blanks within it", "Credential: a b", "a b"},
    {"another case", "Credential: K7B2EX5WA5XWYHKS8NBK",
     "K7B2EX5WA5XWYHKS8NBK"},
    {"a comma", "Credential: " KEY "," KEY, KEY "," KEY},
    {"a scheme before it", "Credential: Bearer " KEY, "Bearer " KEY},
    {"quoted", "Credential: \"" KEY "\"", "\"" KEY "\""},
    {"empty", "Credential: ", NULL},
    {"blank", "Credential:  \t ", NULL},
    {"twice", CUSTOMER_KEY "|Credential: other", NULL},
    {"twice the same", CUSTOMER_KEY "|" CUSTOMER_KEY, NULL},
    {"twice in another case", CUSTOMER_KEY "|CREDENTIAL: " KEY, NULL},
    {"twice, first empty", "Credential: |" CUSTOMER_KEY, NULL},
    {"three times", CUSTOMER_KEY "|" CUSTOMER_KEY "|" CUSTOMER_KEY, NULL},
    {"beside a longer name", "Credentials: x|" CUSTOMER_KEY, KEY},
    {"under another name", "Authorization: " KEY, NULL},
    {"with underscores", "_Credential: " KEY, NULL},
    {"bytes above 127", "Credential: \xc3\xa9", "\xc3\xa9"},
    {"named as a header of one connection",
     "Connection: Credential|" CUSTOMER_KEY, KEY},
};

static KcKeyDigest
make_digest(const char *key)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    KcKeyDigest digest;
    gsize size = sizeof(digest.bytes);

    g_checksum_update(checksum, (const guchar *)key, (gssize)strlen(key));
    g_checksum_get_digest(checksum, digest.bytes, &size);
    g_checksum_free(checksum);
    return digest;
}

static void
read_request(KcHttpMessage *message, char **lines, KcForwardCall *call)
{
    static KcCallNames names;
    KcError error;

    memset(call, 0, sizeof(*call));
    message->target = "/x";
    message->method = "GET";
    fill_message(message, 0, lines);
    g_assert_cmpint(KcPlatform_Current.dialect->parse_caller_request(
                        message, call, &names, &error),
                    ==, 0);
}

static void
check_key(const KcForwardCall *call, const char *key)
{
    KcKeyDigest digest;

    g_assert_cmpint(call->has_key, ==, key != NULL);
    if (key != NULL) {
        digest = make_digest(key);
        g_assert_cmpmem(call->key_digest.bytes, KC_KEY_DIGEST_BYTES,
                        digest.bytes, KC_KEY_DIGEST_BYTES);
    }
}

static void
test_key(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char **lines = g_strsplit(key_cases[index].headers, "|", 0);
    KcHttpMessage message = {.status = 0};
    KcForwardCall call;

    read_request(&message, lines, &call);
    check_key(&call, key_cases[index].key);
    g_strfreev(lines);
}

/* The longest key, and one that is longer. */
static void
test_long_keys(void)
{
    for (size_t size = 1024; size <= 1025; size++) {
        char *key = g_strnfill(size, 'k');
        char *line = g_strdup_printf("Credential: %s", key);
        char *lines[] = {line, NULL};
        KcHttpMessage message = {.status = 0};
        KcForwardCall call;

        read_request(&message, lines, &call);
        check_key(&call, size == 1024 ? key : NULL);
        g_free(line);
        g_free(key);
    }
}

/* What of these headers a worker gets.  Without customers both pass. */
static const struct {
    const char *name;
    const char *headers;
    bool has_customers;
    const char *customer;
    const char *passed; /* each followed by a bar */
} hidden_cases[] = {
    {"no customers", CUSTOMER_KEY "|Tenant-Name: t", false, NULL,
     CUSTOMER_KEY "|Tenant-Name: t|"},
    {"no customers, twice", "credential: a|Credential: b|Tenant-Name: t",
     false, NULL, "credential: a|Credential: b|Tenant-Name: t|"},
    {"a name without customers", CUSTOMER_KEY, false, "c", CUSTOMER_KEY "|"},
    {"a customer", CUSTOMER_KEY, true, "c", "Tenant-Name: c|"},
    {"no one's", CUSTOMER_KEY, true, NULL, ""},
    {"the client's name", CUSTOMER_KEY "|Tenant-Name: t", true, "c",
     "Tenant-Name: c|"},
    {"the client's name, no one's", "Tenant-Name: t", true, NULL, ""},
    {"the client's names",
     "tenant-name: c|TENANT-NAME: t|Tenant-Name: |" CUSTOMER_KEY, true, "c",
     "Tenant-Name: c|"},
    {"several keys", "credential: a|CREDENTIAL: b|" CUSTOMER_KEY, true, NULL,
     ""},
    {"named as headers of one connection",
     "Connection: Tenant-Name, Credential|" CUSTOMER_KEY "|Tenant-Name: t",
     true, "c", "Tenant-Name: c|"},
    {"others pass", "Credentials: a|X-Tenant-Name: b|" CUSTOMER_KEY, true, "c",
     "Credentials: a|X-Tenant-Name: b|Tenant-Name: c|"},
};

static void
test_hidden(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char **lines = g_strsplit(hidden_cases[index].headers, "|", 0);
    KcHttpMessage message = {.target = "/x", .method = "GET"};
    KcServer server = {.id = "s"};
    KcAttemptParams params = {.server = &server,
                              .time_left = KC_SECOND,
                              .has_customers =
                                  hidden_cases[index].has_customers,
                              .customer = hidden_cases[index].customer};
    struct evbuffer *out = evbuffer_new();
    GString *passed = g_string_new("");
    char **written;

    fill_message(&message, 0, lines);
    KcPlatform_Current.dialect->write_request_head(out, &message, 0, &params);
    evbuffer_add(out, "", 1);
    written = g_strsplit((char *)evbuffer_pullup(out, -1), "\r\n", 0);
    for (char **line = written + 1; **line != '\0'; line++) {
        if (!g_str_has_prefix(*line, "Deadline-Ms: ") &&
            !g_str_has_prefix(*line, "Expect-Instance: ") &&
            !g_str_has_prefix(*line, "Request-Priority: ")) {
            g_string_append_printf(passed, "%s|", *line);
        }
    }
    g_assert_cmpstr(passed->str, ==, hidden_cases[index].passed);
    g_strfreev(written);
    g_string_free(passed, TRUE);
    evbuffer_free(out);
    g_strfreev(lines);
}

/* Tokens that count for a quota: the hint does not. */
static const struct {
    const char *name;
    const char *headers;
    bool states_tokens;
    uint64_t tokens;
} token_cases[] = {
    {"none", "Host: h", false, 0},
    {"a hint alone", "Length-Hint: 5", false, 0},
    {"both", "Token-Count: 1460,80", true, 1540},
    {"with a smaller hint", "Token-Count: 1460,80|Length-Hint: 5", true, 1540},
    {"zeros", "Token-Count: 0,0", true, 0},
    {"no output", "Token-Count: 7,0", true, 7},
    {"at the end of the range", "Token-Count: 18446744073709551614,1", true,
     UINT64_MAX},
    {"beyond it", "Token-Count: 18446744073709551615,1", true, UINT64_MAX},
    {"far beyond it", "Token-Count: " HUGE_NUMBER "," HUGE_NUMBER, true,
     UINT64_MAX},
};

static void
test_tokens(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char **lines = g_strsplit(token_cases[index].headers, "|", 0);
    KcHttpMessage message = {.status = 0};
    KcForwardCall call;

    read_request(&message, lines, &call);
    g_assert_cmpint(call.states_tokens, ==, token_cases[index].states_tokens);
    g_assert_cmpuint(call.quota_tokens, ==, token_cases[index].tokens);
    g_strfreev(lines);
}

/* Refusals.  401 is no promise, but says more: it won't be served at all. */
static const struct {
    const char *name;
    int code;
    bool may_have_run;
    int status;
} refusal_cases[] = {
    {"unknown key", KC_ERR_UNKNOWN_KEY, false, 401},
    {"unknown key, may have run", KC_ERR_UNKNOWN_KEY, true, 502},
    {"unconfirmed", KC_ERR_UNCONFIRMED, false, 503},
    {"unconfirmed, may have run", KC_ERR_UNCONFIRMED, true, 502},
    {"limit", KC_ERR_LIMIT_EXCEEDED, false, 429},
    {"limit, may have run", KC_ERR_LIMIT_EXCEEDED, true, 502},
    {"busy", KC_ERR_BUSY, false, 503},
};

static void
test_refusal(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcForwardRefusal refusal = {
        .error = {.code = refusal_cases[index].code, .step = "key"},
        .may_have_run = refusal_cases[index].may_have_run,
        .retry_after = 1500 * KC_MS};
    struct evbuffer *out = evbuffer_new();
    char *expected =
        g_strdup_printf("HTTP/1.1 %d ", refusal_cases[index].status);
    const char *text;

    KcPlatform_Current.dialect->write_refusal(out, &refusal, true, 0);
    evbuffer_add(out, "", 1);
    text = (const char *)evbuffer_pullup(out, -1);
    g_assert_true(g_str_has_prefix(text, expected));
    g_assert_cmpint(strstr(text, "Retry-After: 1.500\r\n") != NULL, ==,
                    !refusal_cases[index].may_have_run);
    g_free(expected);
    evbuffer_free(out);
}

/* Random bytes as the values of both headers, and as a key. */
#define RANDOM_ROUNDS 20000

static void
test_random_keys(void)
{
    GRand *random = g_rand_new_with_seed(52);

    for (int round = 0; round < RANDOM_ROUNDS; round++) {
        static const char *const names[] = {"Credential", "credential", "X"};
        char values[3][40];
        KcHttpMessage message = {.target = "/x", .method = "GET"};
        int key_count = 0;
        KcForwardCall call;
        KcCallNames names_out;
        KcError error;

        memset(&call, 0, sizeof(call));
        for (int i = 0; i < 3; i++) {
            int size = g_rand_int_range(random, 0, 39);
            int name = g_rand_int_range(random, 0, 3);

            for (int j = 0; j < size; j++) {
                values[i][j] = (char)g_rand_int_range(random, 1, 256);
            }
            values[i][size] = '\0';
            key_count += name < 2 ? 1 : 0;
            message.fields[message.field_count++] =
                (KcHttpField){names[name], values[i]};
        }
        g_assert_cmpint(KcPlatform_Current.dialect->parse_caller_request(
                            &message, &call, &names_out, &error),
                        ==, 0);
        g_assert_true(!call.has_key || key_count == 1);
    }
    g_rand_free(random);
}

/* ---- start times --------------------------------------------------------- */

static const struct {
    const char *name;
    const char *body; /* with single quotes */
    int64_t started_at_ms;
} start_cases[] = {
    {"sound", "{'born':7}", 7},
    {"beside a number beyond 64 bits",
     "{'x':123456789012345678901234567890,'born':7}", 7},
    {"beside bytes that are no UTF-8", "{'born':7,'x':'\xff'}", 7},
    {"none", "{}", 0},
    {"text", "{'born':'7'}", 0},
    {"fraction", "{'born':7.5}", 0},
    {"beyond 64 bits", "{'born':123456789012345678901234567890}", 0},
    {"negative", "{'born':-7}", 0},
    {"as late as can be", "{'born':281474976710656}", 281474976710656},
    {"later", "{'born':281474976710657}", 0},
    {"2^63 - 1", "{'born':9223372036854775807}", 0},
    {"cut off", "{'born':7", 0},
    {"no JSON", "busy", 0},
    {"nothing", "", 0},
};

static void
test_start(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char *body = g_strdelimit(g_strdup(start_cases[index].body), "'", '"');

    g_assert_cmpint(KcPlatform_Current.dialect->parse_start_time(
                        (KcBytes){body, strlen(body)}),
                    ==, start_cases[index].started_at_ms);
    g_free(body);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/dialect/reply id", id_cases, G_N_ELEMENTS(id_cases),
                   sizeof(id_cases[0]), test_id);
    Steps_AddCases("/dialect/notice", notice_cases, G_N_ELEMENTS(notice_cases),
                   sizeof(notice_cases[0]), test_notice);
    Steps_AddCases("/dialect/load", load_cases, G_N_ELEMENTS(load_cases),
                   sizeof(load_cases[0]), test_load);
    Steps_AddCases("/dialect/parts", parts_cases, G_N_ELEMENTS(parts_cases),
                   sizeof(parts_cases[0]), test_parts);
    Steps_AddCases("/dialect/key", key_cases, G_N_ELEMENTS(key_cases),
                   sizeof(key_cases[0]), test_key);
    g_test_add_func("/dialect/key/long", test_long_keys);
    g_test_add_func("/dialect/key/random", test_random_keys);
    Steps_AddCases("/dialect/hidden", hidden_cases, G_N_ELEMENTS(hidden_cases),
                   sizeof(hidden_cases[0]), test_hidden);
    Steps_AddCases("/dialect/tokens", token_cases, G_N_ELEMENTS(token_cases),
                   sizeof(token_cases[0]), test_tokens);
    Steps_AddCases("/dialect/refusal", refusal_cases,
                   G_N_ELEMENTS(refusal_cases), sizeof(refusal_cases[0]),
                   test_refusal);
    Steps_AddCases("/dialect/start time", start_cases,
                   G_N_ELEMENTS(start_cases), sizeof(start_cases[0]),
                   test_start);
    return g_test_run();
}
