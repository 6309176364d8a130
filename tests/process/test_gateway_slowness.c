/*
 * Tests of a gateway: second attempts against slow answers.
 */
#include <glib.h>

#include "gateway_steps.h"

/* Two servers each, and 40 answers that began after 50 ms: in the last of
 * their buckets, which ends at 56 ms. */
#define SEEN                                                                  \
    "each 30 69 request /s/x;wait 50;each 30 69 reply 200;wait "              \
    "10;cleartrace;"
#define SERVERS "config 1;server a plain 80;server b plain 80;"
#define FIVE SERVERS "extra 5;" SEEN
#define STREAMS                                                               \
    "config 1;server a llm 80 m x@1;server b llm 80 m x@1;extra 5;"           \
    "each 30 69 request /r/x m/x;wait 50;each 30 69 begin;"                   \
    "each 30 69 event 0;each 30 69 end;wait 10;cleartrace;"

static const GatewayCase cases[] = {
    {"a slow answer is asked for a second time",
     FIVE "request 1 /s/x;wait 60;reply 1@b 200",
     "1>a; 1>b; 1x a; 1:200; 1:end; "},
    {"the first one may still answer first",
     FIVE "request 1 /s/x;wait 60;reply 1@a 200",
     "1>a; 1>b; 1x b; 1:200; 1:end; "},
    {"an answer in the usual time gets none",
     FIVE "request 1 /s/x;wait 50;reply 1 200", "1>a; 1:200; 1:end; "},
    {"without a limit there is none",
     SERVERS SEEN "request 1 /s/x;wait 60;reply 1 200", "1>a; 1:200; 1:end; "},
    {"there is none before enough answers were seen",
     SERVERS "extra 5;each 30 60 request /s/x;wait 50;each 30 60 reply 200;"
             "wait 10;cleartrace;request 1 /s/x;wait 60;reply 1 200",
     "1>b; 1:200; 1:end; "},
    {"a request that may run once gets none",
     FIVE "request 1 /u/x;wait 60;reply 1 200", "1>a; 1:200; 1:end; "},
    {"a refusal by the second server leaves the first attempt",
     FIVE "request 1 /s/x;wait 60;notrun 1@b;reply 1 200",
     "1>a; 1>b; 1:200; 1:end; "},
    {"the loss of the first attempt leaves the second one",
     FIVE "request 1 /s/x;wait 60;lost 1@a;reply 1 200",
     "1>a; 1>b; 1:200; 1:end; "},
    {"both end with their caller", FIVE "request 1 /s/x;wait 60;abandon 1",
     "1>a; 1>b; 1x a; 1x; "},
    {"there is one for each request",
     FIVE "server c plain 80 at=far;request 1 /s/x;wait 600;reply 1@a 200",
     "1>a; 1>b; 1x b; 1:200; 1:end; "},
    {"the slow server does not count as failing",
     FIVE "request 1 /s/x;wait 60;reply 1@b 200;wait 2000;cleartrace;"
          "request 2 /s/x",
     "2>a; "},
    /* the times that are noted */
    {"of a request that another server refused: that of its last attempt",
     SERVERS "extra 5;each 1 24 request /s/x;wait 50;each 1 24 reply 200;"
             "each 30 45 request /s/x;wait 50;each 30 45 notrun;wait 50;"
             "each 30 45 reply 200;wait 1000;cleartrace;"
             "request 50 /s/x;wait 60;reply 50@b 200",
     "50>a; 50>b; 50x a; 50:200; 50:end; "},
    {"of a request with a second attempt: that of both",
     SERVERS "extra 20;" SEEN "each 1 16 request /s/x;wait 100;"
             "each 1 16 reply 200;wait 1000;cleartrace;"
             "request 20 /s/x;wait 90;reply 20 200",
     "20>a; 20:200; 20:end; "},
    /* the limits */
    {"as many as the limit allows",
     FIVE "each 1 5 request /s/x;wait 60;each 1 5 reply 200",
     "1>a; 2>b; 3>a; 4>b; 5>a; 1>b; 2>a; 1x a; 1:200; 1:end; 2x b; 2:200; "
     "2:end; 3:200; 3:end; 4:200; 4:end; 5:200; 5:end; "},
    {"none beyond the retry budget",
     FIVE "gateways 100;request 1 /s/x;wait 60;reply 1 200",
     "1>a; 1:200; 1:end; "},
    {"none while the servers are loaded",
     FIVE "load a 70 0 80;load b 70 0 80;request 1 /s/x;wait 60;reply 1 200",
     "1>a; 1:200; 1:end; "},
    {"none at a server that would begin later",
     FIVE "load b 50 0 80;request 1 /s/x;wait 60;reply 1 200",
     "1>a; 1:200; 1:end; "},
    {"none at a server that leaves",
     FIVE "notice b leaving;request 1 /s/x;wait 60;reply 1 200",
     "b:leaving; 1>a; 1:200; 1:end; "},
    /* streams */
    {"a stream that has not begun",
     STREAMS "request 1 /r/x m/x;wait 60;begin 1@b;event 1 0;end 1",
     "1>a; 1>b; 1x a; 1:begin; 1:0; 1:end; "},
    {"a stream that may not be resumed gets none",
     STREAMS "request 1 /t/x m/x;wait 60;begin 1;event 1 0;end 1",
     "1>a; 1:begin; 1:0; 1:end; "},
    {"a stream that has begun gets none",
     STREAMS "request 1 /r/x m/x;begin 1;event 1 0;wait 100;event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    {"a stream that its caller resumes gets none",
     STREAMS "request 1 /r/x m/x 0 5;wait 60;begin 1;event 1 6;end 1",
     "1>a+5; 1:begin; 1:6; 1:end; "},
    {"no adapter is loaded for it",
     "config 1;server a llm 80 m x@1;server b llm 80 m;extra 5;"
     "each 30 69 request /r/x m/x;wait 50;each 30 69 begin;"
     "each 30 69 event 0;each 30 69 end;wait 3000;cleartrace;"
     "request 1 /r/x m/x;wait 60;begin 1;event 1 0;end 1",
     "1>a; 1:begin; 1:0; 1:end; "},
    /* the silent server, which needs no limit, is the same mechanism */
    {"a request that was doubled is not tried a third time for silence",
     FIVE "server c plain 80 at=far;request 1 /s/x;wait 1000;reply 1@b 200",
     "1>a; 1>b; 1x a; 1:200; 1:end; "},
};

int
main(int argc, char **argv)
{
    return GatewaySteps_Main(argc, argv, "/slowness", cases,
                             G_N_ELEMENTS(cases));
}
