/*
 * Decoders of quotas: rows of messages, and the messages at a gateway and at a
 * hub.
 */
#include <kcc.h>
#include <string.h>

#include "decoders.h"

#define ROW_BYTES 20
#define ROWS_MAX 4
#define STEPS_MAX 24
#define RATE 1000
#define BURST 1000
/* Steps are that long at most, all of a run shorter than the window. */
#define STEP_TIME_MAX_MS 255
#define HUB 7

/* Takes so many bytes, or what is left. */
static KcBytes
take_bytes(FuzzInput *input, size_t size)
{
    KcBytes bytes = {(const char *)input->data,
                     size < input->size ? size : input->size};

    input->data += bytes.size;
    input->size -= bytes.size;
    return bytes;
}

static KcBytes
take_rows(FuzzInput *input)
{
    size_t count = FuzzInput_TakeBelow(input, ROWS_MAX);
    size_t odd = FuzzInput_TakeBelow(input, 8) == 0 ? 1 : 0;

    return take_bytes(input, count * ROW_BYTES + odd);
}

/* A row that was read and is written again has the same bytes. */
const char *
Decoders_RunRows(FuzzInput *input)
{
    KcBytes bytes = take_rows(input);
    int64_t count = KcQuotaRow_Count(bytes);
    KcBuffer again = {0};
    const char *finding = NULL;

    if ((count < 0) != (bytes.size % ROW_BYTES != 0)) {
        return "a number of rows";
    }
    for (int64_t i = 0; i < count; i++) {
        KcQuotaRow row;

        KcQuotaRow_Read(bytes, i, &row);
        KcQuotaRow_Append(&row, &again);
    }
    if (count > 0 &&
        memcmp(KcBuffer_Data(&again), bytes.data, bytes.size) != 0) {
        finding = "a row that is written otherwise";
    }
    KcBuffer_Clear(&again);
    return finding;
}

/* ---- messages -------------------------------------------------------------- */

/* A gateway with one customer, a hub, and what passes between them. */
typedef struct QuotaRun {
    KcQuotas *quotas;
    KcRouting *routing;
    const KcRoutedCustomer *customer;
    KcQuotaHub *hub;
    KcEncoder *encoder;
    KcDecoder *decoder;
    KcQuotaOptions options;
    KcTime now;
    int64_t passed; /* units */
} QuotaRun;

static void
begin_run(QuotaRun *run)
{
    KcRoutedCustomer *customer;

    KcQuotaOptions_Init(&run->options);
    run->quotas = KcQuotas_Create(&run->options);
    run->hub = KcQuotaHub_Create();
    run->encoder = KcEncoder_Create();
    run->decoder = KcDecoder_Create();
    run->now = KC_SECOND;
    run->routing = KcRouting_Create(1);
    customer = KcRouting_AddCustomer(run->routing, "c");
    customer->rate_per_s = RATE;
    customer->burst = BURST;
    customer->unit = KC_QUOTA_TOKENS;
    run->customer = customer;
    KcQuotas_SetCustomers(run->quotas, run->routing, run->now);
}

static void
end_run(QuotaRun *run)
{
    KcQuotas_Free(run->quotas);
    KcRouting_Release(run->routing);
    KcQuotaHub_Free(run->hub);
    KcEncoder_Free(run->encoder);
    KcDecoder_Free(run->decoder);
}

/* Rows of which one may be of the customer that the gateway has. */
static KcBytes
make_rows(FuzzInput *input, char copy[ROWS_MAX * ROW_BYTES + 1])
{
    KcBytes rows = take_rows(input);
    uint64_t id = KcQuota_HashCustomer("c");

    memcpy(copy, rows.data, rows.size);
    for (int i = 0; rows.size >= 8 && i < 8; i++) {
        copy[i] = (char)(id >> (8 * (7 - i)));
    }
    return (KcBytes){copy, rows.size};
}

/* Encodes a message and decodes it again, with a byte changed in one of four
 * cases.  False: the decoder refused it. */
static bool
pass_message(QuotaRun *run, FuzzInput *input, const KcMsg *msg,
             KcMsg *received)
{
    KcBytes frame;

    if (KcEncoder_Encode(run->encoder, msg, &frame) != 0) {
        return false;
    }
    if (FuzzInput_TakeBelow(input, 4) == 0) {
        size_t place = 4 + FuzzInput_Take(input) % (frame.size - 4);

        ((char *)frame.data)[place] = (char)FuzzInput_Take(input);
    }
    return KcDecoder_Decode(run->decoder, frame.data + 4, frame.size - 4,
                            received) == 0;
}

static const char *
send_usage(QuotaRun *run, FuzzInput *input)
{
    char rows[ROWS_MAX * ROW_BYTES + 1];
    KcMsg msg = {.type = KC_MSG_USAGE};
    KcMsg received;
    KcMsg answer;

    msg.u.usage =
        (KcMsgUsage){.sequence = FuzzInput_TakeNumber(input),
                     .joined = FuzzInput_TakeNumber(input),
                     .gateway_count = FuzzInput_TakeNumber(input),
                     .lease_ms = FuzzInput_TakeNumber(input),
                     .is_leaving = FuzzInput_TakeBelow(input, 8) == 0,
                     .rows = make_rows(input, rows)};
    if (!pass_message(run, input, &msg, &received) ||
        received.type != KC_MSG_USAGE) {
        return NULL;
    }
    if (KcQuotaHub_OnReport(run->hub,
                            FuzzInput_TakeBelow(input, 2) ? "a" : "b",
                            FuzzInput_TakeBelow(input, 2), &received, &answer,
                            run->now) == 0 &&
        answer.type == KC_MSG_TOTALS &&
        KcQuotaRow_Count(answer.u.totals.rows) < 0) {
        return "an answer of the hub without whole rows";
    }
    return KcQuotaHub_Size(run->hub) > 2 ? "gateways that never reported"
                                         : NULL;
}

static const char *
send_totals(QuotaRun *run, FuzzInput *input)
{
    char rows[ROWS_MAX * ROW_BYTES + 1];
    KcMsg report = {.type = KC_MSG_COUNT};
    KcMsg msg = {.type = KC_MSG_TOTALS};
    KcMsg received;

    KcQuotas_WriteReport(run->quotas, HUB, &report, run->now);
    msg.u.totals = (KcMsgTotals){.sequence = report.type == KC_MSG_USAGE
                                                 ? report.u.usage.sequence
                                                 : FuzzInput_TakeNumber(input),
                                 .joined = FuzzInput_TakeNumber(input),
                                 .group_size = FuzzInput_TakeNumber(input),
                                 .gateway_count = FuzzInput_TakeNumber(input),
                                 .rows = make_rows(input, rows)};
    if (pass_message(run, input, &msg, &received) &&
        received.type == KC_MSG_TOTALS) {
        KcQuotas_OnTotals(run->quotas, HUB, FuzzInput_TakeBelow(input, 2),
                          &received, run->now);
    }
    return NULL;
}

static const char *
take_units(QuotaRun *run, FuzzInput *input)
{
    int count = FuzzInput_TakeBelow(input, 64);

    for (int i = 0; i < count; i++) {
        uint64_t cost = FuzzInput_TakeNumber(input) % 2000;
        KcTime retry_after = 0;

        if (KcQuotas_Take(run->quotas, run->customer, cost, &retry_after,
                          run->now) == 0) {
            run->passed += (int64_t)cost;
        }
        else if (retry_after < 0) {
            return "a time to come back in the past";
        }
    }
    return NULL;
}

static const char *
wait_and_review(QuotaRun *run, FuzzInput *input)
{
    KcTime interval;

    run->now += FuzzInput_TakeBelow(input, STEP_TIME_MAX_MS) * KC_MS;
    KcQuotas_Review(run->quotas, run->now);
    interval = KcQuotas_Interval(run->quotas);
    return interval <= 0 || interval > 3 * KC_SECOND ||
                   KcQuotas_EarlyInterval(run->quotas) <= 0
               ? "an interval of reports"
               : NULL;
}

static const char *
count_gateways(QuotaRun *run, FuzzInput *input)
{
    KcQuotas_SetGatewayCount(run->quotas, FuzzInput_TakeNumber(input),
                             run->now);
    return NULL;
}

static const char *(*const steps[])(QuotaRun *run, FuzzInput *input) = {
    send_usage, send_totals,     send_totals,
    take_units, wait_and_review, count_gateways};

/* With whatever it is told, a gateway admits no more than the promise. */
const char *
Decoders_RunQuotaMessages(FuzzInput *input)
{
    QuotaRun run = {.passed = 0};
    const char *finding = NULL;
    double units_max;

    begin_run(&run);
    units_max = (RATE * ((double)run.options.window / KC_SECOND) + BURST) *
                    (1 + run.options.excess) +
                run.options.slack;
    for (int i = 0; i < STEPS_MAX && input->size > 0 && finding == NULL; i++) {
        finding = steps[FuzzInput_TakeBelow(
            input, sizeof(steps) / sizeof(steps[0]))](&run, input);
    }
    if (finding == NULL && (double)run.passed > units_max) {
        finding = "more than a quota by messages";
    }
    end_run(&run);
    return finding;
}
