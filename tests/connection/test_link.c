/*
 * Tests of the encoding of messages and of the protocol rules of a link.
 */
#include <glib.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"

/* ---- encoding ----------------------------------------------------------- */

/* Sets the fields of a message to values that are not zero. */
static void
fill_message(KcMsg *msg, KcMsgType type)
{
    memset(msg, 0, sizeof(*msg));
    msg->type = type;
    msg->generation = 1 + (uint64_t)type;
    msg->clock = UINT64_MAX - 5;
    msg->stream_id = 77;
    switch (type) {
    case KC_MSG_HELLO:
        msg->u.hello = (KcMsgHello){"peer-1", 99, KC_PROTOCOL_VERSION};
        break;
    case KC_MSG_PROPOSE:
        msg->u.propose = (KcMsgPropose){.request = {1, 2},
                                        .attempt = 3,
                                        .service = "s",
                                        .adapter = "a",
                                        .version = 4,
                                        .customer = "c",
                                        .priority = 5,
                                        .time_left_us = 6,
                                        .repeatable = true,
                                        .offset = 7,
                                        .tokens = 8,
                                        .method = "POST",
                                        .path = "/p",
                                        .content_type = "t",
                                        .body = {"body", 4},
                                        .delivered_text = {"dd", 2}};
        break;
    case KC_MSG_RESUME:
        msg->u.resume = (KcMsgResume){{1, 2}, 3, 4};
        break;
    case KC_MSG_CREDIT:
        msg->u.credit = (KcMsgCredit){55, true};
        break;
    case KC_MSG_ADMIT:
        msg->u.admit.load = (KcAgentLoad){1, 2, 3, true};
        break;
    case KC_MSG_REFUSE:
        msg->u.refuse = (KcMsgRefuse){-9, 10, {1, 2, 3, false}};
        break;
    case KC_MSG_STARTED:
        msg->u.started = (KcMsgStarted){"a", 2, 200, "text/plain"};
        break;
    case KC_MSG_DATA:
        msg->u.data = (KcMsgData){9, 8, {"\0bytes", 6}};
        break;
    case KC_MSG_END:
        msg->u.end = (KcMsgEnd){-3, true, 4, 5, "stop", {1, 2, 3, true}};
        break;
    case KC_MSG_HEAD:
        msg->u.head.json = (KcBytes){"{}", 2};
        break;
    case KC_MSG_PART:
    case KC_MSG_PART_REQUEST:
        KcText_Copy(msg->u.part.hash, "0123", sizeof(msg->u.part.hash));
        msg->u.part.bytes = (KcBytes){"x", 1};
        break;
    case KC_MSG_USAGE:
        msg->u.usage =
            (KcMsgUsage){1, 2, 3, 4, true, {"12345678901234567890", 20}};
        break;
    case KC_MSG_TOTALS:
        msg->u.totals =
            (KcMsgTotals){1, 2, 3, 4, {"12345678901234567890", 20}};
        break;
    default:
        break;
    }
}

/* A decoded message of each type encodes to the same bytes again. */
static void
test_round_trip(void)
{
    KcEncoder *encoder = KcEncoder_Create();
    KcEncoder *second_encoder = KcEncoder_Create();
    KcDecoder *decoder = KcDecoder_Create();

    for (int type = 0; type < KC_MSG_COUNT; type++) {
        KcMsg msg;
        KcMsg decoded;
        KcBytes bytes;
        KcBytes second_bytes;

        fill_message(&msg, (KcMsgType)type);
        g_assert_cmpint(KcEncoder_Encode(encoder, &msg, &bytes), ==, 0);
        g_assert_cmpint(KcDecoder_Decode(decoder, bytes.data + 4,
                                         bytes.size - 4, &decoded),
                        ==, 0);
        g_assert_cmpint(decoded.type, ==, type);
        g_assert_cmpint(
            KcEncoder_Encode(second_encoder, &decoded, &second_bytes), ==, 0);
        g_assert_cmpmem(bytes.data, bytes.size, second_bytes.data,
                        second_bytes.size);
    }
    KcEncoder_Free(encoder);
    KcEncoder_Free(second_encoder);
    KcDecoder_Free(decoder);
}

/* Numbers of messages that are added to others: each has a maximum. */
static const struct {
    const char *name;
    KcMsgType type;
    size_t offset;
} amounts[] = {
    {"time left", KC_MSG_PROPOSE, offsetof(KcMsg, u.propose.time_left_us)},
    {"offset of a proposal", KC_MSG_PROPOSE,
     offsetof(KcMsg, u.propose.offset)},
    {"tokens of a proposal", KC_MSG_PROPOSE,
     offsetof(KcMsg, u.propose.tokens)},
    {"offset of a resume", KC_MSG_RESUME, offsetof(KcMsg, u.resume.offset)},
    {"offset of a credit", KC_MSG_CREDIT, offsetof(KcMsg, u.credit.offset)},
    {"retry after", KC_MSG_REFUSE, offsetof(KcMsg, u.refuse.retry_after_ms)},
    {"offset of data", KC_MSG_DATA, offsetof(KcMsg, u.data.offset)},
    {"tokens of data", KC_MSG_DATA, offsetof(KcMsg, u.data.tokens)},
    {"offset of an end", KC_MSG_END, offsetof(KcMsg, u.end.offset)},
    {"tokens of an end", KC_MSG_END, offsetof(KcMsg, u.end.tokens)},
    {"start of a lost instance", KC_MSG_LOST,
     offsetof(KcMsg, u.ended.started_at_ms)},
    {"age of a lost attempt", KC_MSG_LOST, offsetof(KcMsg, u.ended.age_ms)},
    {"start of an ended instance", KC_MSG_ENDED,
     offsetof(KcMsg, u.ended.started_at_ms)},
    {"age of an end", KC_MSG_ENDED, offsetof(KcMsg, u.ended.age_ms)},
    {"age of news", KC_MSG_SUSPECT, offsetof(KcMsg, u.suspect.age_ms)},
};

static void
test_amount(gconstpointer data)
{
    static const struct {
        uint64_t amount;
        int code;
    } values[] = {
        {0, 0},
        {UINT32_MAX, 0},
        {KC_MSG_AMOUNT_MAX, 0},
        {KC_MSG_AMOUNT_MAX + 1, KC_ERR_PARSE},
        {INT64_MAX / KC_MS, KC_ERR_PARSE},
        {INT64_MAX, KC_ERR_PARSE},
        {(uint64_t)INT64_MAX + 1, KC_ERR_PARSE},
        {UINT64_MAX, KC_ERR_PARSE},
    };
    size_t index = GPOINTER_TO_SIZE(data);
    KcEncoder *encoder = KcEncoder_Create();
    KcDecoder *decoder = KcDecoder_Create();

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        KcMsg msg;
        KcMsg decoded;
        KcBytes bytes;

        fill_message(&msg, amounts[index].type);
        *(uint64_t *)((char *)&msg + amounts[index].offset) = values[i].amount;
        g_assert_cmpint(KcEncoder_Encode(encoder, &msg, &bytes), ==, 0);
        g_assert_cmpint(KcDecoder_Decode(decoder, bytes.data + 4,
                                         bytes.size - 4, &decoded),
                        ==, values[i].code);
    }
    KcEncoder_Free(encoder);
    KcDecoder_Free(decoder);
}

/* No truncated frame is accepted, and no inverted byte crashes the decoder. */
static void
test_damaged_frames(void)
{
    KcEncoder *encoder = KcEncoder_Create();
    KcDecoder *decoder = KcDecoder_Create();

    for (int type = 0; type < KC_MSG_COUNT; type++) {
        KcMsg msg;
        KcBytes bytes;
        char *payload;

        fill_message(&msg, (KcMsgType)type);
        KcEncoder_Encode(encoder, &msg, &bytes);
        payload = g_memdup2(bytes.data + 4, bytes.size - 4);
        for (size_t i = 0; i < bytes.size - 4; i++) {
            g_assert_cmpint(KcDecoder_Decode(decoder, payload, i, &msg), ==,
                            KC_ERR_PARSE);
            payload[i] ^= (char)0xff;
            KcDecoder_Decode(decoder, payload, bytes.size - 4, &msg);
            payload[i] ^= (char)0xff;
        }
        g_free(payload);
    }
    KcEncoder_Free(encoder);
    KcDecoder_Free(decoder);
}

/* Frames that must not be taken for a message, as msgpack without the size
 * prefix. */
static const struct {
    const char *name;
    const char *bytes;
    size_t size;
    int code;
} bad_frames[] = {
    {"empty", "", 0, KC_ERR_PARSE},
    {"not an array", "\x05", 1, KC_ERR_PARSE},
    {"too few fields", "\x93\x00\x00\x00", 4, KC_ERR_PARSE},
    {"unknown type", "\x94\x7f\x00\x00\x00", 5, KC_ERR_UNKNOWN_MESSAGE},
    {"unknown type with fields", "\x96\x7f\x00\x00\x00\xa1x\xc0", 8,
     KC_ERR_UNKNOWN_MESSAGE},
    {"unknown type, truncated", "\x96\x7f\x00\x00\x00\xa1", 6, KC_ERR_PARSE},
    {"unknown type, no header", "\x91\x7f", 2, KC_ERR_PARSE},
    {"type too large", "\x94\xce\xff\xff\xff\xff\x00\x00\x00", 9,
     KC_ERR_PARSE},
    {"negative type", "\x94\xff\x00\x00\x00", 5, KC_ERR_PARSE},
    {"negative generation", "\x94\x03\xff\x00\x00", 5, KC_ERR_PARSE},
    {"missing field", "\x94\x04\x00\x00\x01", 5, KC_ERR_PARSE},
    {"text for a number", "\x96\x04\x00\x00\x01\xc4\x01x\xc2", 9,
     KC_ERR_PARSE},
    {"number for a flag", "\x96\x04\x00\x00\x01\x05\x05", 7, KC_ERR_PARSE},
    {"trailing bytes", "\x94\x03\x00\x00\x01\x00", 6, KC_ERR_PARSE},
    {"stream id too large",
     "\x94\x03\x00\x00\xcf\x01\x00\x00\x00\x00\x00\x00"
     "\x00",
     13, KC_ERR_PARSE},
    {"an array of 4 G elements", "\xdd\xff\xff\xff\xff\x00", 6, KC_ERR_PARSE},
    {"an array of 10 M elements", "\xdd\x00\x98\x96\x80\x00", 6, KC_ERR_PARSE},
    {"an array of 65,535 elements", "\xdc\xff\xff\x00", 4, KC_ERR_PARSE},
    {"a field with 10 M elements", "\x95\x7f\x00\x00\x00\xdd\x00\x98\x96\x80",
     10, KC_ERR_PARSE},
    {"a field with a map of 10 M pairs",
     "\x95\x7f\x00\x00\x00\xdf\x00\x98\x96\x80", 10, KC_ERR_PARSE},
    {"a text of 4 GB", "\x95\x7f\x00\x00\x00\xdb\xff\xff\xff\xff", 10,
     KC_ERR_PARSE},
    {"unknown type with fields of all kinds",
     "\xdc\x00\x0c\x7f\x00\x00\x00\xd1\x00\x00\xc7\x01\x05x"
     "\xd4\x05x\x81\xa1x\xc3\xde\x00\x00\xca\x00\x00\x00\x00"
     "\xd9\x02xx\xc5\x00\x01x",
     37, KC_ERR_UNKNOWN_MESSAGE},
    {"name with a NUL",
     "\x97\x00\x00\x00\x00\xc4\x02"
     "a\x00\x01\x01",
     11, KC_ERR_PARSE},
};

/* That the decoder may take for a small frame. */
#define FRAME_MEMORY_MAX ((size_t)64 * 1024)

static void
test_bad_frames(void)
{
    KcDecoder *decoder = KcDecoder_Create();
    size_t used_bytes = mallinfo2().hblkhd + mallinfo2().uordblks;
    KcMsg msg;

    for (size_t i = 0; i < G_N_ELEMENTS(bad_frames); i++) {
        g_test_message("%s", bad_frames[i].name);
        g_assert_cmpint(KcDecoder_Decode(decoder, bad_frames[i].bytes,
                                         bad_frames[i].size, &msg),
                        ==, bad_frames[i].code);
        /* What it decoded stays until the next frame. */
        g_assert_cmpuint(mallinfo2().hblkhd + mallinfo2().uordblks, <,
                         used_bytes + FRAME_MEMORY_MAX);
    }
    KcDecoder_Free(decoder);
}

static const struct {
    unsigned char prefix[4];
    int code;
    size_t size;
} frame_size_cases[] = {
    {{0, 0, 0, 0}, KC_ERR_PARSE, 0},
    {{0, 0, 0, 1}, 0, 1},
    {{0, 0x40, 0, 0}, 0, KC_FRAME_BYTES_MAX},
    {{0, 0x40, 0, 1}, KC_ERR_TOO_LARGE, 0},
    {{0xff, 0xff, 0xff, 0xff}, KC_ERR_TOO_LARGE, 0},
};

static void
test_frame_sizes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(frame_size_cases); i++) {
        size_t size = 0;

        g_assert_cmpint(
            KcDecoder_ReadFrameSize(frame_size_cases[i].prefix, &size), ==,
            frame_size_cases[i].code);
        g_assert_cmpuint(size, ==, frame_size_cases[i].size);
    }
}

/* A message larger than a frame may be is refused by the encoder. */
static void
test_oversized_message(void)
{
    KcEncoder *encoder = KcEncoder_Create();
    char *body = g_malloc0(KC_FRAME_BYTES_MAX);
    KcMsg msg;
    KcBytes bytes;

    fill_message(&msg, KC_MSG_DATA);
    msg.u.data.bytes = (KcBytes){body, KC_FRAME_BYTES_MAX};
    g_assert_cmpint(KcEncoder_Encode(encoder, &msg, &bytes), ==,
                    KC_ERR_TOO_LARGE);
    g_free(body);
    KcEncoder_Free(encoder);
}

/* ---- protocol rules ----------------------------------------------------- */

#define MESSAGE_COUNT_MAX 6

/* Messages received by one side, of which the last breaks a rule or none. */
static const struct {
    const char *name;
    bool is_initiator; /* the receiving side opened the connection */
    uint32_t opened_stream_count; /* opened before by the receiving side */
    const char *error_step;       /* NULL: no rule is broken */
    struct {
        KcMsgType type;
        uint32_t stream_id;
        uint64_t offset;
    } messages[MESSAGE_COUNT_MAX];
} rule_cases[] = {
    {"message before hello",
     false,
     0,
     "message before hello",
     {{KC_MSG_PING, 0, 0}}},
    {"hello twice",
     false,
     0,
     "hello twice",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_HELLO, 0, 0}}},
    {"hello on a stream", false, 0, "hello twice", {{KC_MSG_HELLO, 1, 0}}},
    {"proposals in order",
     false,
     0,
     NULL,
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_PROPOSE, 1, 0}, {KC_MSG_PROPOSE, 5, 0}}},
    {"stream id used twice",
     false,
     0,
     "stream id not increasing",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_PROPOSE, 2, 0}, {KC_MSG_RESUME, 2, 0}}},
    {"stream id going back",
     false,
     0,
     "stream id not increasing",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_PROPOSE, 2, 0}, {KC_MSG_PROPOSE, 1, 0}}},
    {"stream zero",
     false,
     0,
     "stream id not increasing",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_PROPOSE, 0, 0}}},
    {"cancel of an unopened stream",
     false,
     0,
     "message on an unopened stream",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_CANCEL, 3, 0}}},
    {"data sent to the agent",
     false,
     0,
     "message from the wrong side",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_PROPOSE, 1, 0}, {KC_MSG_DATA, 1, 0}}},
    {"proposal sent to the entry",
     true,
     0,
     "stream opened by acceptor",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_PROPOSE, 1, 0}}},
    {"proposal after leaving",
     false,
     0,
     "stream opened after leaving",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_LEAVING, 0, 0}, {KC_MSG_PROPOSE, 1, 0}}},
    {"answer in order",
     true,
     1,
     NULL,
     {{KC_MSG_HELLO, 0, 0},
      {KC_MSG_ADMIT, 1, 0},
      {KC_MSG_STARTED, 1, 0},
      {KC_MSG_DATA, 1, 0},
      {KC_MSG_DATA, 1, 4},
      {KC_MSG_END, 1, 8}}},
    {"data with a gap",
     true,
     1,
     "data out of order",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_DATA, 1, 0}, {KC_MSG_DATA, 1, 5}}},
    {"data twice",
     true,
     1,
     "data out of order",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_DATA, 1, 0}, {KC_MSG_DATA, 1, 0}}},
    {"end before the last byte",
     true,
     1,
     "end before the last byte",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_DATA, 1, 0}, {KC_MSG_END, 1, 5}}},
    {"data after the end",
     true,
     1,
     "message after the end of a stream",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_END, 1, 0}, {KC_MSG_DATA, 1, 0}}},
    {"end after a refusal",
     true,
     1,
     "message after the end of a stream",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_REFUSE, 1, 0}, {KC_MSG_END, 1, 0}}},
    {"answer on an unopened stream",
     true,
     1,
     "message on an unopened stream",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_DATA, 2, 0}}},
    {"cancel sent to the entry",
     true,
     1,
     "message from the wrong side",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_CANCEL, 1, 0}}},
    {"ping on a stream",
     false,
     0,
     "stream not zero",
     {{KC_MSG_HELLO, 0, 0}, {KC_MSG_PING, 4, 0}}},
};

static void
ignore_send(void *transport, const KcMsg *msg)
{
    (void)transport;
    (void)msg;
}

static void
ignore_close(void *transport)
{
    (void)transport;
}

static const KcLinkOps ignoring_link_ops = {ignore_send, ignore_close};

static void
test_rules(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rule_cases); i++) {
        KcLink *link = KcLink_Create(&ignoring_link_ops, NULL,
                                     rule_cases[i].is_initiator, 0);
        KcError error = {0};
        int code = 0;

        g_test_message("%s", rule_cases[i].name);
        for (uint32_t j = 0; j < rule_cases[i].opened_stream_count; j++) {
            KcLink_OpenStream(link, NULL, 0);
        }
        for (int j = 0; j < MESSAGE_COUNT_MAX; j++) {
            KcStream *stream;
            KcMsg msg;

            if (j > 0 && rule_cases[i].messages[j].type == KC_MSG_HELLO &&
                rule_cases[i].messages[j - 1].type != KC_MSG_HELLO) {
                break; /* past the last message */
            }
            if (j > 1 && rule_cases[i].messages[j].type == KC_MSG_HELLO) {
                break;
            }
            fill_message(&msg, rule_cases[i].messages[j].type);
            msg.stream_id = rule_cases[i].messages[j].stream_id;
            if (msg.type == KC_MSG_DATA) {
                msg.u.data.offset = rule_cases[i].messages[j].offset;
                msg.u.data.bytes = (KcBytes){"four", 4};
            }
            if (msg.type == KC_MSG_END) {
                msg.u.end.code = 0;
                msg.u.end.offset = rule_cases[i].messages[j].offset;
            }
            code = KcLink_Receive(link, &msg, &stream, 1, &error);
            if (code != 0) {
                break;
            }
        }
        g_assert_cmpint(
            code, ==, rule_cases[i].error_step != NULL ? KC_ERR_PROTOCOL : 0);
        if (code != 0) {
            g_assert_cmpstr(error.step, ==, rule_cases[i].error_step);
        }
        KcLink_Free(link);
    }
}

/* A message for a stream that this side has closed is dropped. */
static void
test_late_message(void)
{
    KcLink *link = KcLink_Create(&ignoring_link_ops, NULL, true, 0);
    KcStream *stream = KcLink_OpenStream(link, NULL, 0);
    KcError error;
    KcMsg msg;

    fill_message(&msg, KC_MSG_HELLO);
    msg.stream_id = 0;
    g_assert_cmpint(KcLink_Receive(link, &msg, &stream, 1, &error), ==, 0);
    KcLink_CloseStream(TAILQ_FIRST(&link->stream_list), 1);
    fill_message(&msg, KC_MSG_DATA);
    msg.stream_id = 1;
    g_assert_cmpint(KcLink_Receive(link, &msg, &stream, 2, &error), ==, 0);
    g_assert_null(stream);
    KcLink_Free(link);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/connection/round_trip", test_round_trip);
    Steps_AddCases("/connection/amounts", amounts, G_N_ELEMENTS(amounts),
                   sizeof(amounts[0]), test_amount);
    g_test_add_func("/connection/damaged_frames", test_damaged_frames);
    g_test_add_func("/connection/bad_frames", test_bad_frames);
    g_test_add_func("/connection/frame_sizes", test_frame_sizes);
    g_test_add_func("/connection/oversized", test_oversized_message);
    g_test_add_func("/connection/rules", test_rules);
    g_test_add_func("/connection/late_message", test_late_message);
    return g_test_run();
}
