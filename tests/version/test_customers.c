/*
 * Tests of the customers of a routing configuration: who holds which key.
 */
#include <glib.h>
#include <string.h>

#include <kcc.h>

#include "../steps.h"

/* A digest that is told from others by its last byte alone. */
static KcKeyDigest
make_digest(char key)
{
    KcKeyDigest digest = {{0}};

    digest.bytes[KC_KEY_DIGEST_BYTES - 1] = (uint8_t)key;
    return digest;
}

/* Keys are letters: "a:xy b:z" are customers a with keys x and y, b with z. */
static const struct {
    const char *name;
    const char *customers;
    const char *conflicts; /* keys whose adding is a conflict, in order */
    const char *holders;   /* "x:a" for each key of w to z with a holder */
    int customer_count;
} cases[] = {
    {"none", "", "", "", 0},
    {"no key", "a:", "", "", 1},
    {"one", "a:x", "", "x:a ", 1},
    {"two keys", "a:xy", "", "x:a y:a ", 1},
    {"two customers", "a:xy b:z", "", "x:a y:a z:b ", 2},
    {"a key twice", "a:xx", "", "x:a ", 1},
    {"a name twice", "a:x a:y", "", "x:a y:a ", 1},
    {"a name twice with one key", "a:x a:x", "", "x:a ", 1},
    {"a key of two is no one's", "a:xy b:xz", "x", "y:a z:b ", 2},
    {"nor does it come back", "a:x b:x a:x b:x", "xxx", "", 2},
    {"a key of three", "a:xw b:x c:xz", "xx", "w:a z:c ", 3},
};

static void
test_holders(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    char **entries = g_strsplit(cases[index].customers, " ", 0);
    KcRouting *routing = KcRouting_Create(1);
    GString *conflicts = g_string_new("");
    GString *holders = g_string_new("");
    const KcRoutedCustomer *listed;
    int customer_count = 0;

    for (char **entry = entries; *entry != NULL && **entry != '\0'; entry++) {
        char name[] = {**entry, '\0'};
        KcRoutedCustomer *customer = KcRouting_AddCustomer(routing, name);

        for (const char *key = *entry + 2; *key != '\0'; key++) {
            KcKeyDigest digest = make_digest(*key);

            if (KcRouting_AddKey(routing, customer, &digest) != 0) {
                g_string_append_c(conflicts, *key);
            }
        }
    }
    for (const char *key = "wxyz"; *key != '\0'; key++) {
        KcKeyDigest digest = make_digest(*key);
        const KcRoutedCustomer *holder =
            KcRouting_FindCustomer(routing, &digest);

        if (holder != NULL) {
            g_string_append_printf(holders, "%c:%s ", *key, holder->name);
        }
    }
    TAILQ_FOREACH (listed, &routing->customer_list, link) {
        customer_count++;
    }
    g_assert_cmpstr(conflicts->str, ==, cases[index].conflicts);
    g_assert_cmpstr(holders->str, ==, cases[index].holders);
    g_assert_cmpint(customer_count, ==, cases[index].customer_count);
    g_string_free(conflicts, TRUE);
    g_string_free(holders, TRUE);
    KcRouting_Release(routing);
    g_strfreev(entries);
}

/* Each bit of a digest counts. */
static void
test_bits(void)
{
    KcRouting *routing = KcRouting_Create(1);
    KcKeyDigest digest = make_digest('x');

    g_assert_cmpint(KcRouting_AddKey(
                        routing, KcRouting_AddCustomer(routing, "a"), &digest),
                    ==, 0);
    for (int bit = 0; bit < KC_KEY_DIGEST_BYTES * 8; bit++) {
        digest.bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
        g_assert_null(KcRouting_FindCustomer(routing, &digest));
        digest.bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
    g_assert_nonnull(KcRouting_FindCustomer(routing, &digest));
    KcRouting_Release(routing);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    Steps_AddCases("/customers/holders", cases, G_N_ELEMENTS(cases),
                   sizeof(cases[0]), test_holders);
    g_test_add_func("/customers/bits", test_bits);
    return g_test_run();
}
