/*
 * Cases on customers and their keys: in whose name a request is sent, and
 * what is refused, also when the configuration changes on the way, or is not
 * certain to be the newest.  gateway_steps.c describes the steps; the
 * configuration must be certain within 4 s to deny a key, and within 5 s to
 * know one.
 */
#include <glib.h>

#include "gateway_steps.h"

#define SERVERS "server a plain 4;server b plain 4 at=near;"
/* Customer c has keys x and y, customer d key z and priority 2. */
#define CUSTOMERS SERVERS "config 1 c:xy d:z:2;"
#define STREAMS                                                               \
    "server a llm 4 m x@1;server b llm 4 at=near m x@1;config 1 c:xy;"
/* The only server's place is taken, until PLACE. */
#define FULL                                                                  \
    "server a plain 1;config 1 c:xy d:z:2;request 8 /k/x;request 9 /k/x;"     \
    "cleartrace;"
#define PLACE "reply 9 200"
#define PLACED(trace) "9:200; " trace "9:end; "
#define LEFT "1:not run unknown_key; "

static const GatewayCase cases[] = {
    /* in whose name */
    {"without customers nothing is asked", SERVERS "config 1;request 1 /s/x",
     "1>a; "},
    {"without customers a key says nothing",
     SERVERS "config 1;request 1 /s/x key=x", "1>a; "},
    {"also while the configuration may be out of date",
     SERVERS "config 1;age -1;request 1 /s/x", "1>a; "},
    {"but a newer one may know a key, and have taken it away",
     SERVERS "config 1;age 5000;request 1 /s/x key=x",
     "1:not run unconfirmed; "},
    {"a key at the last moment",
     SERVERS "config 1;age 4999;request 1 /s/x key=x", "1>a; "},
    {"the holder of a key", CUSTOMERS "request 1 /s/x key=x", "1>a c 7; "},
    {"by another key", CUSTOMERS "request 1 /s/x key=y", "1>a c 7; "},
    {"its priority goes before the route's", CUSTOMERS "request 1 /s/x key=z",
     "1>a d 2; "},
    {"also priority 0", SERVERS "config 1 c:x:0;request 1 /s/x key=x",
     "1>a c 0; "},
    {"a key that no one has", CUSTOMERS "request 1 /s/x key=q", LEFT},
    {"no key", CUSTOMERS "request 1 /s/x", LEFT},
    {"a key of two customers", SERVERS "config 1 c:x d:x;request 1 /s/x key=x",
     LEFT},
    {"no customer that can be read", SERVERS "config 1 -;request 1 /s/x key=x",
     LEFT},
    {"a customer that can't be read hides no other",
     SERVERS "config 1 - c:x;request 1 /s/x key=x", "1>a c 7; "},
    {"no route comes before no key", CUSTOMERS "request 1 /z/x",
     "1:not run not_found; "},
    {"a planned stop comes before no key",
     CUSTOMERS "drain 1000;wait 1010;request 1 /s/x", "1:not run leaving; "},
    /* a route without keys */
    {"a route that needs no key", CUSTOMERS "request 1 /k/x", "1>a - 7; "},
    {"a key names no one there", CUSTOMERS "request 1 /k/x key=z",
     "1>a - 7; "},
    {"nor does an unknown key matter", CUSTOMERS "request 1 /k/x key=q",
     "1>a - 7; "},
    {"nor the age of the configuration", CUSTOMERS "age -1;request 1 /k/x",
     "1>a - 7; "},
    /* how certain the configuration is */
    {"an unknown key at the last moment",
     CUSTOMERS "age 3999;request 1 /s/x key=q", LEFT},
    {"a newer configuration may know the key",
     CUSTOMERS "age 4000;request 1 /s/x key=q", "1:not run unconfirmed; "},
    {"or need none", CUSTOMERS "age 4000;request 1 /s/x",
     "1:not run unconfirmed; "},
    {"a known key at the last moment",
     CUSTOMERS "age 4999;request 1 /s/x key=x", "1>a c 7; "},
    {"a known key may have been taken away",
     CUSTOMERS "age 5000;request 1 /s/x key=x", "1:not run unconfirmed; "},
    {"a configuration that was never certain",
     CUSTOMERS "age -1;request 1 /s/x key=x", "1:not run unconfirmed; "},
    {"one that is certain again",
     CUSTOMERS "age 5000;request 1 /s/x key=x;age 10;request 2 /s/x key=x",
     "1:not run unconfirmed; 2>a c 7; "},
    {"without customers its age does not matter",
     SERVERS "config 1;age -1;request 1 /s/x", "1>a; "},
    /* changes of the configuration */
    {"a key that is taken away",
     CUSTOMERS "request 1 /s/x key=x;config 2 c:y d:z;request 2 /s/x key=x;"
               "request 3 /s/x key=y",
     "1>a c 7; 2:not run unknown_key; 3>a c 7; "},
    {"a key that is added",
     CUSTOMERS "request 1 /s/x key=q;config 2 c:q;request 2 /s/x key=q",
     LEFT "2>a c 7; "},
    {"a customer that goes", CUSTOMERS "config 2 d:z;request 1 /s/x key=x",
     LEFT},
    {"customers that come",
     SERVERS "config 1;request 1 /s/x key=x;config 2 c:x;"
             "request 2 /s/x key=x;request 3 /s/x",
     "1>a; 2>a c 7; 3:not run unknown_key; "},
    {"customers that go",
     CUSTOMERS "config 2;request 1 /s/x key=q;request 2 /s/x", "1>a; 2>a; "},
    {"an older configuration gives no key back",
     CUSTOMERS "config 3 c:y;config 2 c:xy;request 1 /s/x key=x", LEFT},
    /* requests that wait */
    {"one that waits is sent", FULL "request 1 /s/x key=x;" PLACE,
     PLACED("1>a c 7; ")},
    {"its key is taken away", FULL "request 1 /s/x key=x;config 2 c:y;" PLACE,
     PLACED(LEFT)},
    {"its key moves to another customer",
     FULL "request 1 /s/x key=x;config 2 c:y d:x;" PLACE,
     PLACED("1:not run unconfirmed; ")},
    {"its customer gets another priority",
     FULL "request 1 /s/x key=x;config 2 c:x:3;" PLACE, PLACED("1>a c 7; ")},
    {"the configuration becomes uncertain",
     FULL "request 1 /s/x key=x;age 5000;" PLACE,
     PLACED("1:not run unconfirmed; ")},
    {"its key is taken away, which is not certain",
     FULL "request 1 /s/x key=x;config 2 c:y;age 4500;" PLACE,
     PLACED("1:not run unconfirmed; ")},
    {"customers come",
     "server a plain 1;config 1;request 8 /k/x;request 9 /k/x;cleartrace;"
     "request 1 /s/x key=x;config 2 c:x;" PLACE,
     PLACED("1:not run unconfirmed; ")},
    {"customers go", FULL "request 1 /s/x key=x;config 2;" PLACE,
     PLACED("1>a c 7; ")},
    {"one without a key waits on",
     FULL "request 1 /k/x;config 2 d:z;age -1;" PLACE, PLACED("1>a - 7; ")},
    {"one that waits for its adapter",
     "server a llm 4 m;config 1 c:x;request 1 /t/x m/q key=x;config 2 c:y;"
     "report a q 1 loaded",
     "?a q@0; " LEFT},
    /* connections */
    {"the key is taken away while the connection is made",
     CUSTOMERS "connecting;request 1 /u/x key=x;config 2 c:y;written 1",
     "1>a c 7; " LEFT},
    {"the configuration becomes uncertain meanwhile",
     CUSTOMERS "connecting;request 1 /u/x key=x;age 5000;written 1",
     "1>a c 7; 1:not run unconfirmed; "},
    {"the server is not to blame",
     CUSTOMERS "connecting;request 1 /u/x key=x;config 2 c:y;written 1;"
               "request 2 /u/x key=y",
     "1>a c 7; " LEFT "2>a c 7; "},
    {"customers come meanwhile",
     SERVERS "config 1;connecting;request 1 /u/x key=x;config 2 c:x;written 1",
     "1>a; 1:not run unconfirmed; "},
    /* sent once more */
    {"a refused request is not sent again",
     CUSTOMERS "request 1 /u/x key=x;config 2 c:y;notrun 1", "1>a c 7; " LEFT},
    {"a lost request is not sent again, and may have run",
     CUSTOMERS "request 1 /s/x key=x;config 2 c:y;lost 1",
     "1>a c 7; 1:unknown unknown_key; "},
    {"nor if the configuration became uncertain",
     CUSTOMERS "request 1 /s/x key=x;age 5000;lost 1",
     "1>a c 7; 1:unknown unconfirmed; "},
    {"a request at a silent server is sent to no other one",
     CUSTOMERS "request 1 /s/x key=x;config 2 c:y;wait 800;reply 1 200",
     "1>a c 7; 1:200; 1:end; "},
    {"what was sent ends as it would",
     CUSTOMERS "request 1 /u/x key=x;config 2 c:y;age -1;reply 1 200",
     "1>a c 7; 1:200; 1:end; "},
    /* streams */
    {"a stream that has begun is resumed",
     STREAMS "request 1 /r/x m/x key=x;begin 1;event 1 0;config 2 c:y;lost 1",
     "1>a c 7; 1:begin; 1:0; 1>b+0 c 7; "},
    {"and keeps its key from the server where customers come",
     "server a llm 4 m x@1;server b llm 4 at=near m x@1;config 1;"
     "request 1 /r/x m/x key=x;begin 1;event 1 0;config 2 c:x;lost 1",
     "1>a; 1:begin; 1:0; 1>b+0 - 7; "},
    {"a stream that has not begun is not",
     STREAMS "request 1 /r/x m/x key=x;begin 1;config 2 c:y;lost 1",
     "1>a c 7; 1:unknown unknown_key; "},
    {"nor one that its caller resumes",
     STREAMS "request 1 /r/x m/x 5 3 key=x;config 2 c:y;lost 1",
     "1>a+3 c 7; 1:unknown unknown_key; "},
};

int
main(int argc, char **argv)
{
    return GatewaySteps_Main(argc, argv, "/gateway/customers", cases,
                             G_N_ELEMENTS(cases));
}
