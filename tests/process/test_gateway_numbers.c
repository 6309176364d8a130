/*
 * Tests of a gateway with the numbers that callers and servers state: however
 * large they are, requests go where they would with the largest ones that make
 * sense, and the sums over a server's requests hold.
 */
#include <glib.h>
#include <string.h>

#include "gateway_steps.h"

/* Two engines with a memory of so many tokens; none: it is not known. */
#define ENGINES(memory) "config 1" memory ";server a llm 4 m;server b llm 4 m;"
#define KNOWN ENGINES(" memory=60000")
#define UNKNOWN ENGINES("")

/* ---- tokens of requests --------------------------------------------------- */

/* Each is beyond the memory of an engine. */
static const char *const widths[] = {
    "60001",
    "2147483647",           /* 2^31 - 1 */
    "2147483648",           /* 2^31 */
    "4294967295",           /* 2^32 - 1 */
    "4294967296",           /* 2^32 */
    "9223372036854775807",  /* 2^63 - 1 */
    "9223372036854775808",  /* 2^63 */
    "18446744073709551125", /* with 491: 2^64 */
    "18446744073709551615", /* 2^64 - 1 */
    "99999999999999999999999999999999",
};

/* Which of both numbers is so large. */
static const struct {
    const char *name;
    const char *format;
} places[] = {
    {"answer", "tokens=491,%s"},
    {"prompt", "tokens=%s,70"},
    {"both", "tokens=%s,%s"},
};

/* Steps and trace of requests that are each larger than a server's memory, or
 * than any number; TOKENS stands for their words. */
static const GatewayCase plays[] = {
    {"a server has one at a time",
     KNOWN "request 1 /t/x m TOKENS;request 2 /t/x m TOKENS;"
           "request 3 /t/x m TOKENS;begin 1;end 1;begin 3;end 3;begin 2;end 2",
     "1>a; 2>b; 1:begin; 3>a; 1:end; 3:begin; 3:end; 2:begin; 2:end; "},
    {"a server that has one gets no small one",
     KNOWN "request 1 /t/x m TOKENS;request 2 /t/x m tokens=491,70;"
           "request 3 /t/x m tokens=491,70;begin 1;end 1;begin 2;end 2;"
           "begin 3;end 3",
     "1>a; 2>b; 3>b; 1:begin; 1:end; 2:begin; 2:end; 3:begin; 3:end; "},
    {"a server that has a small one gets none",
     KNOWN "request 1 /t/x m tokens=491,70;request 2 /t/x m TOKENS;"
           "request 3 /t/x m TOKENS;begin 1;end 1;begin 3;end 3;begin 2;end 2",
     "1>a; 2>b; 1:begin; 3>a; 1:end; 3:begin; 3:end; 2:begin; 2:end; "},
    {"several at a server of unknown memory",
     UNKNOWN "each 1 6 request /t/x m TOKENS;request 7 /t/x m tokens=491,70;"
             "each 1 7 begin;each 1 7 end",
     "1>a; 2>b; 3>a; 4>b; 5>a; 6>b; 7>a; 1:begin; 1:end; 2:begin; 2:end; "
     "3:begin; 3:end; 4:begin; 4:end; 5:begin; 5:end; 6:begin; 6:end; "
     "7:begin; 7:end; "},
    {"beside others' requests",
     UNKNOWN "load a 1000 1000 4;load b 1 0 4;each 1 3 request /t/x m TOKENS;"
             "each 1 3 begin;each 1 3 end",
     "1>b; 2>b; 3>b; 1:begin; 1:end; 2:begin; 2:end; 3:begin; 3:end; "},
    {"one that is lost is sent again",
     KNOWN "request 1 /t/x m TOKENS;request 2 /t/x m TOKENS;neversent 1;"
           "begin 2;end 2;begin 1;end 1",
     "1>a; 2>b; 2:begin; 1>b; 2:end; 1:begin; 1:end; "},
    {"one that is abandoned leaves its place",
     KNOWN "request 1 /t/x m TOKENS;request 2 /t/x m TOKENS;"
           "request 3 /t/x m TOKENS;abandon 1;abandon 2;begin 3;end 3",
     "1>a; 2>b; 1x; 3>a; 2x; 3:begin; 3:end; "},
};

/* ---- figures of servers' loads --------------------------------------------- */

/* Server a is the nearer one.  What can't be is not believed. */
static const GatewayCase load_cases[] = {
    {"load: as many as can be", PLAIN "load a 65535 0 4;request 1 /s/x", ""},
    {"load: one more runs", PLAIN "load a 65536 0 4;request 1 /s/x", "1>a; "},
    {"load: one more runs and waits", PLAIN "load a 65535 1 4;request 1 /s/x",
     "1>a; "},
    {"load: 2^31 run and wait",
     PLAIN "load a 2147483648 2147483648 4;request 1 /s/x", "1>a; "},
    {"load: 2^32 - 1 run", PLAIN "load a 4294967295 0 4;request 1 /s/x",
     "1>a; "},
    {"load: 2^32 - 1 wait", PLAIN "load a 0 4294967295 4;request 1 /s/x",
     "1>a; "},
    {"load: 2^32 - 1 run and wait",
     PLAIN "load a 4294967295 4294967295 4;request 1 /s/x", "1>a; "},
    {"load: 2^32 - 1 at each server",
     PLAIN "load a 4294967295 0 4;load b 4294967295 0 4;request 1 /s/x",
     "1>a; "},
    {"load: the report before stays",
     PLAIN "load a 4 1 4;load b 0 0 4;load a 2147483648 2147483648 4;"
           "request 1 /s/x",
     "1>b; "},
    {"load: a limit that a percentage can't hold",
     "config 1;server a plain 4;load a 3 0 34359739;request 1 /s/x", "1>a; "},
    {"load: a limit of 2^32 - 1",
     "config 1;server a plain 4;load a 9 0 4;load a 0 0 4294967295;"
     "request 1 /s/x",
     ""},
};

#define PLAY_CASES                                                            \
    (G_N_ELEMENTS(plays) * G_N_ELEMENTS(places) * G_N_ELEMENTS(widths))

/* Replaces TOKENS in the steps of a play. */
static char *
make_steps(const char *steps, const char *format, const char *width)
{
    char *tokens = g_strdup_printf(format, width, width);
    char **pieces = g_strsplit(steps, "TOKENS", 0);
    char *joined = g_strjoinv(tokens, pieces);

    g_strfreev(pieces);
    g_free(tokens);
    return joined;
}

int
main(int argc, char **argv)
{
    static GatewayCase cases[G_N_ELEMENTS(load_cases) + PLAY_CASES];
    size_t count = G_N_ELEMENTS(load_cases);

    memcpy(cases, load_cases, sizeof(load_cases));
    for (size_t i = 0; i < G_N_ELEMENTS(plays); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(places); j++) {
            for (size_t k = 0; k < G_N_ELEMENTS(widths); k++) {
                cases[count].name = g_strdup_printf(
                    "%s: %s of %s", plays[i].name, places[j].name, widths[k]);
                cases[count].steps =
                    make_steps(plays[i].steps, places[j].format, widths[k]);
                cases[count++].trace = plays[i].trace;
            }
        }
    }
    return GatewaySteps_Main(argc, argv, "/process/gateway_numbers", cases,
                             count);
}
