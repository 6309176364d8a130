/*
 * Tests of the hub that adds up customers' use at the gateways.
 */
#include <glib.h>

#include <kcc.h>

#include "../steps.h"

/* A report to a hub, and what the answer says of one customer. */
typedef struct Report {
    int at_ms;
    const char *gateway; /* NULL: the end */
    uint64_t incarnation;
    uint32_t joined; /* 0: none yet; else that of the gateway's number */
    int64_t used;
    double asked;
    bool leaves;
    uint32_t group_size; /* of the answer */
    int64_t others_used;
    double all_asked;
} Report;

static const struct {
    const char *name;
    Report reports[8];
} cases[] = {
    {"sums of two gateways",
     {{0, "a", 1, 0, 0, 5, false, 1, 0, 5},
      {10, "b", 1, 0, 0, 6, false, 2, 0, 11},
      {20, "a", 1, 1, 100, 7, false, 2, 0, 13},
      {30, "b", 1, 2, 50, 6, false, 2, 100, 13},
      {40, "a", 1, 1, 100, 7, false, 2, 50, 13}}},
    {"a report that comes twice counts once",
     {{0, "a", 1, 0, 0, 0, false, 1, 0, 0},
      {0, "b", 1, 0, 0, 0, false, 2, 0, 0},
      {10, "a", 1, 1, 100, 0, false, 2, 0, 0},
      {20, "a", 1, 1, 100, 0, false, 2, 0, 0},
      {30, "b", 1, 2, 0, 0, false, 2, 100, 0}}},
    {"counts of a gateway that begins anew are its new ones",
     {{0, "a", 1, 0, 0, 0, false, 1, 0, 0},
      {0, "b", 1, 0, 0, 0, false, 2, 0, 0},
      {10, "a", 2, 0, 7000, 0, false, 2, 0, 0},
      {20, "a", 2, 3, 10, 0, false, 2, 0, 0},
      {30, "b", 1, 2, 0, 0, false, 2, 10, 0}}},
    {"use that is given back",
     {{0, "a", 1, 0, 0, 0, false, 1, 0, 0},
      {0, "b", 1, 0, 0, 0, false, 2, 0, 0},
      {10, "a", 1, 1, 100, 0, false, 2, 0, 0},
      {20, "a", 1, 1, 40, 0, false, 2, 0, 0},
      {30, "b", 1, 2, 0, 0, false, 2, 40, 0}}},
    {"a silent gateway is taken to have used on until its lease ends",
     {{0, "a", 1, 0, 0, 100, false, 1, 0, 100},
      {0, "b", 1, 0, 0, 0, false, 2, 0, 100},
      {500, "a", 1, 1, 100, 100, false, 2, 0, 100},
      {1499, "b", 1, 2, 0, 0, false, 2, 100, 100},
      {1500, "b", 1, 2, 0, 0, false, 1, 200, 0}}},
    {"one that leaves is not",
     {{0, "a", 1, 0, 0, 100, false, 1, 0, 100},
      {0, "b", 1, 0, 0, 0, false, 2, 0, 100},
      {500, "a", 1, 1, 100, 100, false, 2, 0, 100},
      {600, "a", 1, 1, 100, 0, true, 0, 0, 0},
      {700, "b", 1, 2, 0, 0, false, 1, 100, 0}}},
};

static void
check_answer(const KcMsg *answer, uint32_t group_size, int64_t used,
             double asked)
{
    const KcMsgTotals *totals = &answer->u.totals;
    KcQuotaRow row = {0};

    g_assert_cmpint(answer->type, ==, KC_MSG_TOTALS);
    g_assert_cmpuint(totals->group_size, ==, group_size);
    g_assert_cmpuint(totals->gateway_count, ==, 9);
    if (KcQuotaRow_Count(totals->rows) > 0) {
        KcQuotaRow_Read(totals->rows, 0, &row);
    }
    g_assert_cmpint(row.used, ==, used);
    g_assert_cmpfloat(row.asked_rate, ==, asked);
}

static void
test_case(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcQuotaHub *hub = KcQuotaHub_Create();

    for (int i = 0; cases[index].reports[i].gateway != NULL; i++) {
        const Report *report = &cases[index].reports[i];
        KcQuotaRow row = {
            .customer = 5, .used = report->used, .asked_rate = report->asked};
        KcBuffer rows = {0};
        KcMsg msg = {.type = KC_MSG_USAGE};
        KcMsg answer;

        KcQuotaRow_Append(&row, &rows);
        msg.u.usage =
            (KcMsgUsage){.sequence = 1,
                         .joined = report->joined,
                         .gateway_count = 9,
                         .lease_ms = 1000,
                         .is_leaving = report->leaves,
                         .rows = {KcBuffer_Data(&rows), KcBuffer_Size(&rows)}};
        g_assert_cmpint(KcQuotaHub_OnReport(hub, report->gateway,
                                            report->incarnation, &msg, &answer,
                                            KC_SECOND + report->at_ms * KC_MS),
                        ==, 0);
        if (report->leaves) {
            g_assert_cmpint(answer.type, ==, KC_MSG_COUNT);
        }
        else {
            check_answer(&answer, report->group_size, report->others_used,
                         report->all_asked);
        }
        KcBuffer_Clear(&rows);
    }
    KcQuotaHub_Free(hub);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/quota hub", cases, G_N_ELEMENTS(cases), sizeof(cases[0]),
                   test_case);
    return g_test_run();
}
