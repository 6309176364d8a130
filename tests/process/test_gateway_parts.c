/*
 * Cases on prompts that end the servers that answer them: what a gateway takes
 * as a sign of that, and which requests it refuses.  gateway_steps.c describes
 * the steps.
 */
#include <glib.h>

#include "gateway_steps.h"

/* Part 3 is blocked, as another gateway says. */
#define BLOCK_3 "news a blocked 3 0;cleartrace;"

static const GatewayCase cases[] = {
    /* evidence */
    {"a lost attempt asks the keeper for the parts of its prompt",
     LLM "request 1 /t/ m/x parts=1,3;lost 1",
     "1>a; ask a 1,3; 1:unknown peer_lost; "},
    {"a request without shared parts asks nothing",
     LLM "request 1 /t/ m/x;lost 1", "1>a; 1:unknown peer_lost; "},
    {"an attempt that was never sent asks nothing",
     LLM "request 1 /t/ m/x parts=1;neversent 1", "1>a; ?b x@0; "},
    {"an attempt whose answer had begun asks nothing",
     LLM "request 1 /t/ m/x parts=1;begin 1;event 1 0;lost 1",
     "1>a; 1:begin; 1:0; 1:broken; "},
    {"an attempt that had the head only asks",
     LLM "request 1 /t/ m/x parts=1;begin 1;lost 1",
     "1>a; ask a 1; 1:unknown peer_lost; "},
    {"an attempt at a server that was leaving asks nothing",
     LLM "request 1 /t/ m/x parts=1;server a llm 4 m x@1 leaving;lost 1",
     "1>a; 1:unknown peer_lost; "},
    {"an attempt at a server whose record was deleted asks nothing",
     LLM "request 1 /t/ m/x parts=1;missing a deleted;lost 1",
     "1>a; 1:unknown peer_lost; "},
    {"an attempt at a server that said that it leaves asks nothing",
     LLM "request 1 /t/ m/x parts=1;notice a leaving;cleartrace;lost 1",
     "1:unknown peer_lost; "},
    {"parts that were answered since the attempt began are left out",
     LLM "request 1 /t/ m/x parts=1,2,3;wait 10;request 2 /t/ m/x parts=1,2;"
         "begin 2;event 2 0;end 2;lost 1",
     "1>a; 2>a; 2:begin; 2:0; 2:end; ask a 3; 1:unknown peer_lost; "},
    {"parts that were answered before are not",
     LLM "request 2 /t/ m/x parts=1;begin 2;event 2 0;end 2;wait 10;"
         "request 1 /t/ m/x parts=1;lost 1",
     "2>a; 2:begin; 2:0; 2:end; 1>a; ask a 1; 1:unknown peer_lost; "},
    {"an answer with a failure clears nothing",
     LLM "request 1 /t/ m/x parts=1;wait 10;request 2 /t/ m/x parts=1;"
         "reply 2 400;lost 1",
     "1>a; 2>a; 2:400; 2:end; ask a 1; 1:unknown peer_lost; "},
    {"a whole answer clears",
     LLM "request 1 /t/ m/x parts=1;wait 10;request 2 /t/ m/x parts=1;"
         "reply 2 200;lost 1",
     "1>a; 2>a; 2:200; 2:end; 1:unknown peer_lost; "},
    {"an answer clears a suspected part, and others are told",
     LLM "ended a 1 3;request 1 /t/ m/x parts=3;begin 1;event 1 0",
     "3 suspected; say end 3; 1>a; 3 cleared; say cleared 3; 1:begin; 1:0; "},
    /* Guards against an end that is held against sound parts only, as the
     * attempt with the deadly one was withdrawn before. */
    {"an attempt that was withdrawn counts when its server ends",
     LLM "request 1 /t/ m/x parts=1,3;news a blocked 1 0 with=3;"
         "news a blocked 3 0 with=1;cleartrace;ended a 0 1",
     "say end 1; say end 3; "},
    {"the same if another gateway tells of the end",
     LLM
     "request 1 /t/ m/x parts=1,3;abandon 1;cleartrace;news a end 1 0 of=a",
     "1 suspected; 3 suspected; say end 3; "},
    {"an attempt whose caller left counts when its server ends",
     LLM "request 1 /t/ m/x parts=1,3;abandon 1;cleartrace;ended a 0 1",
     "1 suspected; say end 1; 3 suspected; say end 3; "},
    {"an attempt that was withdrawn does not count at another instance",
     LLM "request 1 /t/ m/x parts=1,3;abandon 1;cleartrace;ended a 5 1",
     "1 suspected; say end 1; "},
    {"an attempt that was withdrawn long ago does not count",
     LLM "request 1 /t/ m/x parts=1,3;abandon 1;wait 10000;cleartrace;"
         "ended a 0 1",
     "1 suspected; say end 1; "},
    {"parts that were answered since an attempt was withdrawn don't count",
     LLM "request 1 /t/ m/x parts=1,3;abandon 1;wait 10;"
         "request 2 /t/ m/x parts=3;begin 2;event 2 0;end 2;cleartrace;"
         "ended a 0 1",
     "1 suspected; say end 1; "},
    /* the decision */
    {"three ends of servers block a part",
     LLM "ended a 1 3;wait 200;ended b 1 3;wait 200;ended a 2 3;"
         "request 1 /t/ m/x parts=3;wait 200;cleartrace;"
         "each 2 4 request /t/ m/x parts=2;each 2 4 begin;each 2 4 event 0;"
         "cleartrace;wait 50;request 5 /t/ m/x parts=3",
     "3 blocked; 1x; 1:unknown blocked; say blocked 3; "
     "5:not run blocked for good; "},
    {"a part is not blocked while no other prompt is answered",
     LLM "ended a 1 3;wait 200;ended b 1 3;wait 200;ended a 2 3;wait 200;"
         "ended b 2 3;cleartrace;wait 1000;request 1 /t/ m/x parts=3",
     "1>a; "},
    {"the end of one instance counts once",
     LLM "ended a 1 3;ended a 1 3;ended a 1 3;request 1 /t/ m/x parts=3",
     "3 suspected; say end 3; 1>a; "},
    {"news of other gateways block a part",
     LLM BLOCK_3 "request 1 /t/ m/x parts=1,3,4",
     "1:not run blocked for good; "},
    {"a request with a blocked part is refused also without servers",
     LLM BLOCK_3 "list;wait 3000;request 1 /t/ m/x parts=3",
     "1:not run blocked for good; "},
    {"a request that waits for its adapter is refused",
     LLM "request 1 /t/ m/y parts=3;request 2 /t/ m/y parts=2;" BLOCK_3
         "report a y 1 loaded",
     "2>a; "},
    {"a request in the queue is refused",
     "config 1;server a llm 1 m x@1;request 1 /t/ m/x;request 2 /t/ m/x;"
     "request 3 /t/ m/x parts=3;request 4 /t/ m/x parts=2;cleartrace;"
     "news a blocked 3 0;"
     "begin 1;event 1 0;end 1",
     "3 blocked; 3:not run blocked for good; 1:begin; 1:0; "
     "4>a; 1:end; "},
    {"an attempt that is not answered yet is ended",
     LLM "request 1 /t/ m/x parts=3;request 2 /t/ m/x parts=2;cleartrace;"
         "news a blocked 3 0",
     "3 blocked; 1x; 1:unknown blocked; "},
    {"an attempt that is being answered goes on",
     LLM "request 1 /t/ m/x parts=3;begin 1;event 1 0;" BLOCK_3
         "event 1 1;end 1",
     "1:1; 1:end; "},
    {"an answer that broke off is not resumed",
     LLM "server b llm 4 at=near m x@1;request 1 /r/ m/x parts=3;begin 1;"
         "event 1 0;" BLOCK_3 "lost 1",
     "1:broken; "},
    {"a repeat is refused",
     LLM "server b llm 4 at=near m x@1;request 1 /r/ m/x parts=3;"
         "cleartrace;lost 1;news a blocked 3 0",
     "ask a 3; 1>b; 3 blocked; 1x; 1:unknown blocked; "},
    {"a request that is being connected is not written",
     LLM "request 1 /t/ m/x parts=3;written 1;" BLOCK_3
         "request 2 /t/ m/x parts=2;written 2",
     "2>a; 2 written; "},
    {"the part alone is blocked, not those beside it",
     LLM "news a blocked 2 0;" BLOCK_3 "news a cleared 2 1;cleartrace;"
         "request 1 /t/ m/x parts=2;begin 1;event 1 0;"
         "request 2 /t/ m/x parts=2,3",
     "1>a; 1:begin; 1:0; 2:not run blocked for good; "},
    {"a companion of which nothing is known yet excuses the part",
     LLM "news a blocked 3 0 with=4;cleartrace;request 1 /t/ m/x parts=3;"
         "request 2 /t/ m/x parts=3,4",
     "1>a; 2:not run blocked for good; "},
    {"a part is blocked for the servers of one service only",
     PLAIN "server c llm 4 m x@1;news c blocked 3 0;cleartrace;request 1 /s/ "
           "parts=3",
     "1>a; "},
    /* the way back */
    {"a trial is asked for when it is due, once a second",
     LLM BLOCK_3 "request 1 /t/ m/x parts=3;wait 60000;"
                 "request 2 /t/ m/x parts=3;request 3 /t/ m/x parts=3;"
                 "wait 1000;request 4 /t/ m/x parts=3",
     "1:not run blocked for good; say ask 3; 2:not run blocked for good; "
     "3:not run blocked for good; say ask 3; 4:not run blocked for good; "},
    {"the one request that tries a part is sent",
     LLM BLOCK_3 "news a try 3 0;request 1 /t/ m/x parts=3;"
                 "request 2 /t/ m/x parts=3",
     "1>a; 2:not run blocked for good; "},
    {"a trial that is answered clears the part",
     LLM BLOCK_3 "news a try 3 0;request 1 /t/ m/x parts=3;begin 1;event 1 0;"
                 "request 2 /t/ m/x parts=3",
     "1>a; 3 cleared; say cleared 3; 1:begin; 1:0; 2>a; "},
    {"a trial is not repeated",
     LLM "server b llm 4 at=near m x@1;" BLOCK_3
         "news a try 3 0;request 1 /r/ m/x parts=3;lost 1;"
         "request 2 /t/ m/x parts=3",
     "1>a; ask a 3; 1:unknown blocked; 2:not run blocked for good; "},
    {"a trial of an earlier block is not made",
     LLM "news a blocked 3 1;cleartrace;news a try 3 0;"
         "request 1 /t/ m/x parts=3",
     "1:not run blocked for good; "},
    {"evidence that was cleared is answered",
     LLM "news a cleared 3 1;news a end 3 0 1", "say cleared 3; "},
};

int
main(int argc, char **argv)
{
    return GatewaySteps_Main(argc, argv, "/gateway_parts", cases,
                             G_N_ELEMENTS(cases));
}
