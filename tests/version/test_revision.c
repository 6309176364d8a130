/*
 * Tests of the order of a store's revisions, as such and as numbers.
 */
#include <glib.h>

#include <kcc.h>

#include "../steps.h"

#define LAST_ERA (((uint64_t)1 << 23) - 1)
#define LAST_REVISION (((uint64_t)1 << 40) - 1)

static const struct {
    const char *name;
    KcRevision earlier;
    KcRevision later;
} order_cases[] = {
    {"in one era", {1, 126}, {1, 127}},
    {"without eras", {0, 126}, {0, 127}},
    {"a lower number in the next era", {1, 126}, {2, 122}},
    {"the same number in the next era", {1, 126}, {2, 126}},
    {"the first one of the next era", {1, LAST_REVISION}, {2, 1}},
    {"several eras later", {3, 900}, {40, 5}},
    {"the store begins to name eras", {0, 126}, {1, 1}},
    {"the last number of all", {LAST_ERA, 1}, {LAST_ERA, LAST_REVISION}},
};

static void
test_order(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    KcRevision earlier = order_cases[index].earlier;
    KcRevision later = order_cases[index].later;

    g_assert_cmpint(KcRevision_Compare(earlier, later), <, 0);
    g_assert_cmpint(KcRevision_Compare(later, earlier), >, 0);
    g_assert_cmpint(KcRevision_Compare(later, later), ==, 0);
    g_assert_cmpuint(KcRevision_ToNumber(earlier), <,
                     KcRevision_ToNumber(later));
    g_assert_cmpuint(KcRevision_ToNumber(later), <=, INT64_MAX);
}

/* Revisions that a number can't tell from another one. */
static const struct {
    const char *name;
    KcRevision revision;
    KcRevision counts_as;
} limit_cases[] = {
    {"too large a revision", {7, LAST_REVISION + 1}, {7, LAST_REVISION}},
    {"the largest revision", {7, UINT64_MAX}, {7, LAST_REVISION}},
    {"too late an era", {LAST_ERA + 1, 5}, {LAST_ERA, 5}},
    {"the latest era", {UINT64_MAX, 5}, {LAST_ERA, 5}},
};

static void
test_limit(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);

    g_assert_cmpuint(KcRevision_ToNumber(limit_cases[index].revision), ==,
                     KcRevision_ToNumber(limit_cases[index].counts_as));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/revision/order", order_cases, G_N_ELEMENTS(order_cases),
                   sizeof(order_cases[0]), test_order);
    Steps_AddCases("/revision/limit", limit_cases, G_N_ELEMENTS(limit_cases),
                   sizeof(limit_cases[0]), test_limit);
    return g_test_run();
}
