/*
 * Tests of a gateway: servers that say that they leave or ask to wait.
 */
#include <glib.h>

#include "gateway_steps.h"

static const GatewayCase cases[] = {
    /* a server that says that it leaves */
    {"a server that says that it leaves is not chosen, and finishes its work",
     PLAIN "request 1 /u/x;notice a leaving;request 2 /u/x;reply 1 200",
     "1>a; a:leaving; 2>b; 1:200; 1:end; "},
    {"a later answer does not end a server's leaving",
     PLAIN "request 1 /u/x;request 2 /u/x;notice a leaving;reply 1 200;"
           "load a 1 0 4;reply 2 200;request 3 /u/x",
     "1>a; 2>a; a:leaving; 1:200; 1:end; 2:200; 2:end; 3>b; "},
    {"a server says only once that it leaves",
     PLAIN "notice a leaving;notice a leaving", "a:leaving; "},
    {"a repeated request does not go to a server that leaves",
     PLAIN "server c plain 4 at=far;request 1 /s/x;notice b leaving;lost 1",
     "1>a; b:leaving; 1>c; "},
    {"a resumed stream does not go to a server that leaves",
     LLM "server b llm 4 at=near m x@1;server c llm 4 at=far m x@1;"
         "request 1 /r/x m/x;begin 1;event 1 0;notice b leaving;lost 1",
     "1>a; 1:begin; 1:0; b:leaving; 1>c+0; "},
    {"a request does not leave a silent server for one that leaves",
     PLAIN "request 1 /s/x;notice b leaving;wait 1000;reply 1 200",
     "1>a; b:leaving; 1:200; 1:end; "},
    {"a request does not leave a silent server for one to be tried again",
     PLAIN "notice b wait 500;request 1 /s/x;wait 1000;reply 1 200",
     "b:closed 500; 1>a; 1:200; 1:end; "},
    {"a stream is not ended at a server that may not be checked",
     LLM "request 1 /t/x m/x;notice a wait 1000;wait 2900;begin 1;event 1 0;"
         "end 1",
     "1>a; a:closed 1000; 1:begin; 1:0; 1:end; "},
    {"a server that asked to wait is not checked",
     LLM "checks;request 1 /t/x m/x;notice a wait 3000;wait 2700",
     "1>a; a:closed 3000; "},
    {"a queued request does not go to a server that leaves",
     "config 1;server a plain 1;server b plain 1 at=near;load b 2 0 1;"
     "request 1 /u/x;request 2 /u/x;notice a leaving;reply 1 200;"
     "load b 0 0 1;server b plain 1 at=near",
     "1>a; a:leaving; 1:200; 1:end; 2>b; "},
    {"a request does not wait for a load at a server that leaves",
     "config 1;server a llm 4 m;server b llm 4 at=near m;nokeeper b;"
     "request 1 /t/x m/q;nokeeper none;notice a leaving;report a q 1 loaded;"
     "report b q 1 loaded",
     "?a q@0; a:leaving; ?b q@0; 1>b; "},
    {"no adapter is loaded at a server that leaves",
     LLM "notice a leaving;request 1 /t/x m/q;notice b leaving;"
         "server c llm 4 m",
     "a:leaving; ?b q@0; b:leaving; 1:not run no_backend; "},
    {"the base model of a server that leaves does not count",
     "config 1;server a llm 4 m;server b llm 4 at=near;notice a leaving;"
     "request 1 /t/x m/q",
     "a:leaving; ?b q@0; "},
    {"a request that is not yet written leaves a server that leaves",
     PLAIN "request 1 /u/x;notice a leaving;written 1;written 1",
     "1>a; a:leaving; 1>b; 1 written; "},
    {"a record and a list do not end a server's leaving",
     PLAIN "server a plain 4 born=5;notice a leaving;server a plain 4 born=5;"
           "request 1 /s/x;list a b;request 2 /s/x",
     "a:leaving; 1>b; 2>b; "},
    {"a keeper's report does not end a server's leaving",
     LLM "server b llm 4 at=near m x@1;notice a leaving;"
         "report a x 1 restarted;report a x 1 loaded;request 1 /t/x m/x",
     "a:leaving; 1>b; "},
    {"a record that was missing does not end a server's leaving",
     PLAIN "server a plain 4 born=5;notice a leaving;missing a;wait 1000;"
           "server a plain 4 born=5;request 1 /s/x",
     "a:leaving; 1>b; "},
    {"a record that returns late does not end a server's leaving",
     PLAIN "server a plain 4 born=5;notice a leaving;missing a deleted;"
           "wait 60000;server a plain 4 born=5;request 1 /s/x",
     "a:leaving; 1>b; "},
    {"a leaving said before the record of the instance was read stays",
     PLAIN "server a plain 4 born=5;wait 3000;notice a leaving;"
           "server a plain 4 born=1500;request 1 /s/x",
     "a:leaving; 1>b; "},
    {"a wait said before the record of the instance was read stays",
     PLAIN "server a plain 4 born=5;wait 3000;notice a wait 5000;"
           "server a plain 4 born=1500;request 1 /s/x",
     "a:closed 5000; 1>b; "},
    {"a later instance ends a server's leaving",
     PLAIN "server a plain 4 born=5;notice a leaving;server a plain 4 born=6;"
           "request 1 /s/x",
     "a:leaving; 1>a; "},
    {"a later instance ends a leaving after its record was missing",
     PLAIN "server a plain 4 born=5;notice a leaving;missing a deleted;"
           "wait 60000;server a plain 4 born=6;request 1 /s/x",
     "a:leaving; 1>a; "},
    {"an earlier instance does not end a server's leaving",
     PLAIN "server a plain 4 born=5;notice a leaving;server a plain 4 born=4;"
           "request 1 /s/x;server a plain 4 born=5;request 2 /s/x",
     "a:leaving; 1>b; 2>b; "},
    {"an unknown start time is not an earlier instance",
     PLAIN "notice a leaving;server a plain 4 born=2;request 1 /s/x",
     "a:leaving; 1>b; "},
    {"another server at the address of one that leaves is chosen",
     PLAIN "notice a leaving;server c plain 4 port=97;request 1 /s/x",
     "a:leaving; 1>c; "},
    {"a late answer of an earlier instance does not concern the later one",
     PLAIN "server a plain 4 born=6;notice a leaving 5;request 1 /s/x;"
           "notice a leaving 6;request 2 /s/x",
     "1>a; a:leaving; 2>b; "},
    {"a request is refused at once when every server leaves",
     PLAIN "notice a leaving;notice b leaving;request 1 /u/x",
     "a:leaving; b:leaving; 1:not run no_backend; "},
    {"queued requests are refused at once when every server leaves",
     "config 1;server a plain 1;request 1 /u/x;request 2 /u/x;"
     "request 3 /u/x;request 4 /u/x;notice a leaving;reply 1 200",
     "1>a; 2>a; a:leaving; 3:not run busy; 4:not run busy; 1:200; 1:end; "},
    {"requests that wait for a load are refused when every server leaves",
     "config 1;server a llm 4 m;request 1 /t/x m/q;request 2 /t/x m/q;"
     "notice a leaving",
     "?a q@0; a:leaving; 1:not run no_backend; 2:not run no_backend; "},
    {"a broken stream waits for a server although every one leaves",
     LLM "request 1 /r/x m/x;begin 1;event 1 0;notice a leaving;"
         "notice b leaving;lost 1;wait 300;server c llm 4 m x@1;begin 1;"
         "event 1 1;end 1",
     "1>a; 1:begin; 1:0; a:leaving; b:leaving; 1>c+0; 1:1; 1:end; "},
    /* a server that asks to wait */
    {"a server that asks to wait gets nothing until then",
     PLAIN "notice a wait 1000;request 1 /u/x;wait 990;request 2 /u/x;"
           "wait 10;request 3 /u/x",
     "a:closed 1000; 1>b; 2>b; 3>a; "},
    {"a repeated request does not go to a server that asked to wait",
     PLAIN "server c plain 4 at=far;request 1 /s/x;notice b wait 3000;lost 1",
     "1>a; b:closed 3000; 1>c; "},
    {"a resumed stream does not go to a server that asked to wait",
     LLM "server b llm 4 at=near m x@1;server c llm 4 at=far m x@1;"
         "request 1 /r/x m/x;begin 1;event 1 0;notice b wait 3000;lost 1",
     "1>a; 1:begin; 1:0; b:closed 3000; 1>c+0; "},
    {"a request does not leave a silent server for one that asked to wait",
     PLAIN "request 1 /s/x;notice b wait 3000;wait 1000;reply 1 200",
     "1>a; b:closed 3000; 1:200; 1:end; "},
    {"a request that is not yet written leaves a server that asks to wait",
     PLAIN "request 1 /u/x;notice a wait 1000;written 1;written 1",
     "1>a; a:closed 1000; 1>b; 1 written; "},
    {"a request that is written after a wait is not a second one",
     "config 1;server a plain 4;request 1 /u/x;notice a wait 100;wait 100;"
     "request 2 /u/x;written 2;written 1;reply 2 200",
     "1>a; a:closed 100; 2>a; 2 written; a:open; 2:200; 1>a; 2:end; "},
    {"no adapter is loaded at a server that asks to wait",
     LLM "notice a wait 1000;request 1 /t/x m/q", "a:closed 1000; ?b q@0; "},
    {"a request does not wait for a load at a server that asks to wait",
     "config 1;server a llm 4 m;server b llm 4 at=near m;nokeeper b;"
     "request 1 /t/x m/q;nokeeper none;notice a wait 1000;"
     "report a q 1 loaded;report b q 1 loaded",
     "?a q@0; a:closed 1000; ?b q@0; 1>b; "},
    {"a request waits for the first server that opens",
     PLAIN "notice a wait 2000;notice b wait 1000;request 1 /u/x;wait 990;"
           "inforce;wait 10",
     "a:closed 2000; b:closed 1000; v1; 1>b; "},
    {"a request is refused when no server opens before its deadline",
     PLAIN "notice a wait 9000;notice b wait 4000;request 1 /u/x;"
           "notice b wait 8000;request 2 /u/x",
     "a:closed 9000; b:closed 4000; 1:not run busy after 4000; "
     "b:closed 8000; 2:not run busy after 8000; "},
    {"queued requests wait for a server that asks to wait",
     "config 1;server a plain 1;request 1 /u/x;request 2 /u/x;"
     "request 3 /u/x;wait 100;notice a wait 1000;notrun 1;abandon 2;"
     "wait 1000;reply 3 200;wait 10",
     "1>a; 2>a; a:closed 1000; 2x; 3>a; a:open; 3:200; 1>a; 3:end; "},
    {"queued requests are refused when a wait ends after their deadline",
     "config 1;server a plain 1;request 1 /u/x;request 2 /u/x;"
     "request 3 /u/x;notice a wait 5000;reply 1 200",
     "1>a; 2>a; a:closed 5000; 3:not run busy after 5000; 1:200; 1:end; "},
    {"a refused request goes back to the only server after its wait",
     "config 1;server a plain 4;request 1 /u/x;notice a wait 1000;notrun 1;"
     "wait 1000;reply 1 200",
     "1>a; a:closed 1000; 1>a; a:open; 1:200; 1:end; "},
    {"a request waits for the only server that has its base model",
     "config 1;server a llm 4 m x@1;server b llm 4 at=near;"
     "notice a wait 1000;request 1 /t/x m/x;wait 990;inforce;wait 10",
     "a:closed 1000; v1; 1>a; "},
    {"after a wait one request goes to the server until it is answered",
     "config 1;server a plain 4;notice a wait 1000;request 1 /u/x;"
     "request 2 /u/x;request 3 /u/x;wait 1100;reply 1 200;wait 10",
     "a:closed 1000; 1>a; a:open; 1:200; 2>a; 3>a; 1:end; "},
    {"requests that waited for a server wait for the one that tries it",
     "config 1;server a plain 4;notice a wait 1000;request 1 /u/x;"
     "request 2 /u/x;request 3 /u/x;wait 1900;reply 1 200;wait 10",
     "a:closed 1000; 1>a; a:open; 1:200; 2>a; 3>a; 1:end; "},
    {"requests that waited for a server do not wait for ever",
     "config 1;server a plain 4;notice a wait 1000;request 1 /u/x;"
     "request 2 /u/x;wait 2010",
     "a:closed 1000; 1>a; 2:not run busy; "},
    {"the beginning of a stream is an answer after a wait",
     "config 1;server a llm 4 m x@1;notice a wait 1000;request 1 /t/x m/x;"
     "request 2 /t/x m/x;wait 1100;begin 1;wait 10",
     "a:closed 1000; 1>a; a:open; 2>a; "},
    {"a refusal that does not ask to wait is an answer after a wait",
     "config 1;server a plain 4;notice a wait 1000;request 1 /u/x;"
     "request 2 /u/x;request 3 /u/x;wait 1100;notrun 1;wait 10",
     "a:closed 1000; 1>a; a:open; 2>a; 3>a; "},
    {"an answer to an earlier request does not end a wait",
     "config 1;server a plain 4;request 1 /u/x;notice a wait 1000;"
     "request 2 /u/x;request 3 /u/x;wait 500;reply 1 200;wait 510",
     "1>a; a:closed 1000; 1:200; 1:end; 2>a; "},
    {"after a wait another request follows one without an answer",
     "config 1;server a plain 4;notice a wait 1000;request 1 /u/x;"
     "request 2 /u/x;request 3 /u/x;wait 1100;lost 1;wait 10",
     "a:closed 1000; 1>a; 2>a; 1:unknown peer_lost; "},
    {"after a wait another request follows one that was abandoned",
     "config 1;server a plain 4;notice a wait 1000;request 1 /u/x;"
     "request 2 /u/x;wait 1100;abandon 1;wait 10",
     "a:closed 1000; 1>a; 1x; 2>a; "},
    {"a server may ask to wait again",
     "config 1;server a plain 4;notice a wait 1000;request 1 /u/x;wait 10;"
     "request 2 /u/x;wait 990;notice a wait 1000;notrun 1;wait 990;inforce;"
     "wait 10;reply 1 200;wait 10",
     "a:closed 1000; 1>a; a:closed 1000; v1; 1>a; a:open; 1:200; 2>a; "
     "1:end; "},
    {"a longer wait replaces a shorter one",
     PLAIN "notice a wait 1000;notice a wait 3000;wait 2900;request 1 /u/x;"
           "wait 100;request 2 /u/x",
     "a:closed 1000; a:closed 3000; 1>b; 2>a; "},
    {"a shorter wait does not replace a longer one",
     PLAIN "notice a wait 3000;notice a wait 1000;wait 2900;request 1 /u/x;"
           "wait 100;request 2 /u/x",
     "a:closed 3000; 1>b; 2>a; "},
    {"a record that returns late does not end a wait",
     PLAIN "notice a wait 9000;missing a;wait 5000;server a plain 4;"
           "request 1 /u/x",
     "a:closed 9000; 1>b; "},
    {"a later instance ends a wait",
     PLAIN "server a plain 4 born=5;notice a wait 9000;"
           "server a plain 4 born=6;request 1 /u/x;request 2 /u/x",
     "a:closed 9000; 1>a; 2>a; "},
    {"a refusal that does not ask to wait leaves a server open",
     PLAIN "request 1 /u/x;notrun 1;request 2 /u/x", "1>a; 1>b; 2>a; "},
    {"a notice that was not readable changes nothing and is noted once",
     PLAIN "notice a unread;notice a unread;request 1 /u/x;wait 60000;"
           "notice a unread",
     "a:unread; 1>a; 1x; 1:unknown deadline_exceeded; a:unread; "},
};

int
main(int argc, char **argv)
{
    return GatewaySteps_Main(argc, argv, "/gateway", cases,
                             G_N_ELEMENTS(cases));
}
