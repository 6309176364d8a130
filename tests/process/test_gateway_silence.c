/*
 * Tests of a gateway: streams, and requests at servers that are silent.
 */
#include <glib.h>

#include "gateway_steps.h"

static const GatewayCase cases[] = {
    /* streams */
    {"a stream", LLM "request 1 /t/x m/x;begin 1;event 1 0;event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    {"a stream that breaks", LLM "request 1 /t/x m/x;begin 1;event 1 0;lost 1",
     "1>a; 1:begin; 1:0; 1:broken; "},
    {"a stream that breaks before its first event",
     LLM "request 1 /t/x m/x;begin 1;lost 1", "1>a; 1:unknown peer_lost; "},
    {"a stream is resumed elsewhere",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;begin 1;event 1 0;"
         "event 1 1;lost 1;begin 1;event 1 2;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1>b+1; 1:2; 1:end; "},
    {"a stream is resumed while events may still come",
     LLM "server b llm 4 at=near m x@1;request 1 /r/x m/x 3;begin 1;"
         "event 1 0;event 1 1;lost 1",
     "1>a; 1:begin; 1:0; 1:1; 1>b+1; "},
    {"a stream that has had all its events is not resumed",
     LLM "server b llm 4 at=near m x@1;request 1 /r/x m/x 3;begin 1;"
         "event 1 0;event 1 1;event 1 2;lost 1",
     "1>a; 1:begin; 1:0; 1:1; 1:2; 1:broken; "},
    {"a resumed stream that skips an event is broken",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;begin 1;event 1 0;"
         "lost 1;begin 1;event 1 2",
     "1>a; 1:begin; 1:0; 1>b+0; 1x; 1:broken; "},
    {"a stream that repeats an event is broken",
     LLM "request 1 /t/x m/x;begin 1;event 1 0;event 1 0",
     "1>a; 1:begin; 1:0; 1x; 1:broken; "},
    {"a refused resumption goes to another server",
     LLM "server b llm 4 m x@1;server c llm 4 m x@1 at=far;"
         "request 1 /r/x m/x;begin 1;event 1 0;lost 1;notrun 1;begin 1;"
         "event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1>b+0; 1>c+0; 1:1; 1:end; "},
    {"a stream ends at its timeout",
     LLM "request 1 /t/x m/x;begin 1;event 1 0;wait 4100",
     "1>a; 1:begin; 1:0; 1x; 1:broken; "},
    /* streams at silent servers */
    {"a stream at a silent server ends before its caller leaves",
     LLM "request 1 /t/x m/x;begin 1;event 1 0;wait 2600;event 1 1;wait 2900",
     "1>a; 1:begin; 1:0; 1:1; 1x; 1:broken; "},
    {"a stream that has not begun ends before its caller leaves",
     LLM "request 1 /t/x m/x;wait 2900",
     "1>a; 1x; 1:unknown deadline_exceeded; "},
    {"a stream stays while its server answers other requests",
     LLM "request 1 /t/x m/x;request 2 /t/x m/x;begin 1;event 1 0;begin 2;"
         "event 2 0;wait 1300;event 2 1;wait 1300;event 2 2;wait 250;"
         "event 1 1;end 1",
     "1>a; 2>a; 1:begin; 1:0; 2:begin; 2:0; 2:1; 2:2; 1:1; 1:end; "},
    {"a lost server without a record keeps its streams while callers wait",
     LLM "request 1 /t/x m/x;begin 1;event 1 0;request 2 /t/x m/x;missing a;"
         "wait 2700;inforce;wait 100",
     "1>a; 1:begin; 1:0; 2>a; v1; 1x; 1:broken; 2x; "
     "2:unknown deadline_exceeded; "},
    {"a server is lost after two seconds of silence",
     LLM "request 1 /t/x m/x;request 2 /t/x m/x;begin 1;event 1 0;begin 2;"
         "wait 900;event 2 0;wait 1900;inforce;wait 300",
     "1>a; 2>a; 1:begin; 1:0; 2:begin; 2:0; v1; 1x; 1:broken; "},
    {"a server without a record keeps streams that go on",
     LLM "request 1 /t/x m/x;begin 1;event 1 0;missing a;wait 800;"
         "event 1 1;wait 800;event 1 2;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:2; 1:end; "},
    {"a stream is resumed elsewhere when its server falls silent",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;begin 1;event 1 0;"
         "wait 1900;inforce;wait 200;begin 1;event 1 1;end 1",
     "1>a; 1:begin; 1:0; v1; 1x; 1>b+0; 1:1; 1:end; "},
    {"a stream that has not begun leaves a silent server before that",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;wait 700;inforce;wait 100;"
         "begin 1;event 1 0;end 1",
     "1>a; v1; 1>b; 1x a; 1:begin; 1:0; 1:end; "},
    {"a silent stream is not resumed beyond the budget",
     LLM "server b llm 4 m x@1;gateways 100;request 1 /r/x m/x;begin 1;"
         "event 1 0;wait 2900",
     "1>a; 1:begin; 1:0; 1x; 1:broken; "},
    {"a stream is not broken by a pause of its server",
     LLM "request 1 /t/x m/x;request 2 /t/x m/x;begin 1;event 1 0;begin 2;"
         "event 2 0;wait 1800;event 2 1;wait 1050;event 1 1;end 1",
     "1>a; 2>a; 1:begin; 1:0; 2:begin; 2:0; 2:1; 1:1; 1:end; "},
    {"a stream that has not begun is not refused for a pause of its server",
     LLM "request 1 /t/x m/x;request 2 /t/x m/x;begin 2;wait 1800;event 2 0;"
         "wait 1050;begin 1;event 1 0;end 1",
     "1>a; 2>a; 2:begin; 2:0; 1:begin; 1:0; 1:end; "},
    {"a stream is not broken while its server has no record",
     LLM "request 1 /t/x m/x;begin 1;event 1 0;wait 2200;missing a;wait 300;"
         "event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    {"a stream is not broken for want of a server to resume it",
     LLM "load b 9 0 4;request 1 /r/x m/x;begin 1;event 1 0;wait 1200;"
         "event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    {"a safe request is not failed for want of a second server",
     PLAIN "load b 9 0 4;request 1 /s/x;wait 1000;reply 1 200",
     "1>a; 1:200; 1:end; "},
    {"an adapter is loaded elsewhere before its stream leaves a silent server",
     LLM "request 1 /r/x m/x;begin 1;event 1 0;wait 2200;report b x 1 loaded;"
         "wait 100;begin 1;event 1 1;end 1",
     "1>a; 1:begin; 1:0; ?b x@0; 1x; 1>b+0; 1:1; 1:end; "},
    {"a refused resumption waits for a server",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;begin 1;event 1 0;lost 1;"
         "notrun 1;wait 300;server c llm 4 m x@1;begin 1;event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1>b+0; 1>c+0; 1:1; 1:end; "},
    {"a stream waits on at a silent server that answers a check",
     LLM
     "checks;request 1 /t/x m/x;wait 800;alive a;wait 1400;alive a;wait 700;"
     "begin 1;event 1 0;end 1",
     "1>a; check a; check a; check a; 1:begin; 1:0; 1:end; "},
    {"a server is asked again before a sound pause could make it lost",
     LLM "checks;request 1 /t/x m/x;wait 750;alive a;wait 400;inforce;"
         "begin 1;event 1 0;end 1",
     "1>a; check a; check a; v1; 1:begin; 1:0; 1:end; "},
    {"a server that answers others is not checked",
     LLM "checks;request 1 /t/x m/x;request 2 /t/x m/x;begin 2;wait 700;"
         "event 2 0;wait 300;event 2 1;wait 300;event 2 2;wait 300;end 2;"
         "begin 1;event 1 0;end 1",
     "1>a; 2>a; 2:begin; 2:0; 2:1; 2:2; 2:end; 1:begin; 1:0; 1:end; "},
    {"an answer to a check counts for two seconds",
     LLM
     "checks;request 1 /t/x m/x;wait 800;alive a;wait 1900;inforce;wait 200",
     "1>a; check a; check a; v1; 1x; 1:unknown deadline_exceeded; "},
    {"the end of a stream is a sign of life of its server",
     LLM "request 1 /t/x m/x;request 2 /t/x m/x;begin 1;event 1 0;begin 2;"
         "event 2 0;wait 1800;end 2;wait 1050;event 1 1;end 1",
     "1>a; 2>a; 1:begin; 1:0; 2:begin; 2:0; 2:end; 1:1; 1:end; "},
    {"a stream that has had all its events waits for its end",
     LLM "server b llm 4 at=near m x@1;request 1 /r/x m/x 2;begin 1;"
         "event 1 0;event 1 1;wait 1200;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    {"a refused resumption waits for the retry budget",
     LLM "server b llm 4 m x@1;gateways 20;request 1 /r/x m/x;begin 1;"
         "event 1 0;wait 2100;notrun 1;wait 100;request 2 /t/x m/x;"
         "request 3 /t/x m/x;request 4 /t/x m/x;request 5 /t/x m/x;"
         "request 6 /t/x m/x;wait 300;begin 1;event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1x; 1>b+0; 2>b; 3>b; 4>b; 5>b; 6>a; 1>a+0; 1:1; "
     "1:end; "},
    {"a refused resumption is not sent beyond the budget",
     LLM "server b llm 4 m x@1;gateways 20;request 1 /r/x m/x;begin 1;"
         "event 1 0;wait 2100;notrun 1;wait 600;inforce;wait 100",
     "1>a; 1:begin; 1:0; 1x; 1>b+0; v1; 1:broken; "},
    {"a resumption that all servers refused is offered again",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;begin 1;event 1 0;lost 1;"
         "notrun 1;wait 300;inforce;wait 200;begin 1;event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1>b+0; v1; 1>b+0; 1:1; 1:end; "},
    {"a safe request is not failed for the refusal of a second server",
     PLAIN "request 1 /s/x;wait 800;notrun 1;wait 300;inforce;wait 200;"
           "reply 1 200",
     "1>a; 1>b; v1; 1>b; 1x a; 1:200; 1:end; "},
    {"requests that are kept do not hold up those after them",
     "config 1;server a plain 80;each 30 61 request /s/x;"
     "each 30 61 reply 200;each 1 17 request /s/x;"
     "server b plain 80 at=near;wait 800;each 1 17 notrun;cleartrace;"
     "load a 100 0 80;load b 100 0 80;request 20 /s/x;load a 0 0 80;"
     "server a plain 80",
     "20>a; "},
    /* two attempts, as the first one's server is silent */
    {"a request stays at a silent server when another one refuses it",
     PLAIN "request 1 /s/x;wait 800;notrun 1;reply 1 200",
     "1>a; 1>b; 1:200; 1:end; "},
    {"a stream stays at a silent server when another one refuses it",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;wait 800;notrun 1;begin 1;"
         "event 1 0;end 1",
     "1>a; 1>b; 1:begin; 1:0; 1:end; "},
    {"a stream that its caller resumes is at one server at a time",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x 0 5;wait 800;begin 1;"
         "event 1 6;end 1",
     "1>a+5; 1x; 1>b+5; 1:begin; 1:6; 1:end; "},
    {"a request goes on at a silent server when the other one is lost",
     PLAIN "request 1 /s/x;wait 800;lost 1;reply 1 200",
     "1>a; 1>b; 1:200; 1:end; "},
    {"a request goes on at the other server when the silent one is lost",
     PLAIN "request 1 /s/x;wait 800;lost 1@a;reply 1 200",
     "1>a; 1>b; 1:200; 1:end; "},
    {"a silent server that answers first ends the other attempt",
     PLAIN "request 1 /s/x;wait 800;reply 1@a 200",
     "1>a; 1>b; 1x b; 1:200; 1:end; "},
    {"a silent server whose stream begins first ends the other attempt",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;wait 800;begin 1@a;"
         "event 1 0;end 1",
     "1>a; 1>b; 1x b; 1:begin; 1:0; 1:end; "},
    {"a server error waits for the answer of the other server",
     PLAIN "request 1 /s/x;wait 800;reply 1 500;reply 1 200",
     "1>a; 1>b; 1:200; 1:end; "},
    {"a request that both servers refused is kept",
     PLAIN "request 1 /s/x;wait 800;notrun 1;notrun 1;wait 300;inforce;"
           "wait 200;reply 1 200",
     "1>a; 1>b; v1; 1>a; 1:200; 1:end; "},
    {"both attempts end with their caller",
     PLAIN "request 1 /s/x;wait 800;abandon 1", "1>a; 1>b; 1x a; 1x; "},
    {"both attempts end at the request's deadline",
     PLAIN "request 1 /s/x;wait 4100",
     "1>a; 1>b; 1x a; 1x; 1:unknown deadline_exceeded; "},
    {"both attempts of a stream end before its caller leaves",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;wait 2900;inforce",
     "1>a; 1>b; 1x a; 1x; 1:unknown deadline_exceeded; v1; "},
    {"a stream stays while one of its two servers gives a sign of life",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;wait 1800;alive b;"
         "wait 1100;begin 1;event 1 0;end 1",
     "1>a; 1>b; 1x a; 1:begin; 1:0; 1:end; "},
    {"a request has no more attempts than its route allows",
     PLAIN "server c plain 4;request 1 /s/x;wait 3000;reply 1 200",
     "1>a; 1>c; 1x a; 1:200; 1:end; "},
    {"a request that may not be repeated stays at a silent server",
     PLAIN "request 1 /u/x;wait 3000;reply 1 200", "1>a; 1:200; 1:end; "},
    {"a second attempt is not made beyond the retry budget",
     PLAIN "gateways 100;request 1 /s/x;wait 3000;reply 1 200",
     "1>a; 1:200; 1:end; "},
    {"a second attempt takes from the retry budget",
     PLAIN "gateways 20;request 1 /s/x;request 2 /s/x;wait 800;lost 1@a;"
           "lost 1@b",
     "1>a; 2>a; 1>b; 1:unknown peer_lost; "},
    {"a second attempt is not written to a server that leaves meanwhile",
     PLAIN "request 1 /s/x;wait 800;notice b leaving;written 1@a;written 1@b;"
           "reply 1 200",
     "1>a; 1>b; b:leaving; 1@a written; 1:200; 1:end; "},
    {"a misdirected second attempt does not drop the first one's adapter",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;wait 800;misdirected 1;"
         "begin 1;event 1 0;end 1;request 2 /t/x m/x",
     "1>a; 1>b; refresh; 1:begin; 1:0; 1:end; 2>a; "},
    /* pauses of this process: what its servers sent is not read yet */
    {"a safe request is not sent again for a pause of this process",
     PLAIN "request 1 /s/x;wait 700;pause 200;reply 1 200",
     "1>a; 1:200; 1:end; "},
    {"a safe request is sent again some time after a pause of this process",
     PLAIN "request 1 /s/x;wait 700;pause 200;wait 200;reply 1 200",
     "1>a; 1>b; 1x a; 1:200; 1:end; "},
    {"a stream is not resumed elsewhere for a pause of this process",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;begin 1;wait 50;event 1 0;"
         "wait 750;pause 200;event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    {"a stream is not broken for a pause of this process",
     LLM "request 1 /t/x m/x;begin 1;event 1 0;wait 2710;pause 200;event 1 1;"
         "end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    /* reading is paused, as a caller does not read: its server is not silent
     */
    {"a stream that its caller does not read stays where it is",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;begin 1;event 1 0;unread 1;"
         "wait 3900;read 1;event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    {"a stream that its caller does not read is not ended before its timeout",
     LLM "checks;request 1 /t/x m/x;begin 1;event 1 0;unread 1;wait 3900;"
         "cleartrace;wait 100",
     "1x; 1:broken; "},
    {"a stream that its caller does not read causes no checks",
     LLM "checks;request 1 /t/x m/x;begin 1;event 1 0;unread 1;wait 3900",
     "1>a; 1:begin; 1:0; "},
    {"requests do not avoid a server whose answer is not read",
     LLM "server b llm 4 at=near m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "unread 1;wait 2000;request 2 /t/x m/x",
     "1>a; 1:begin; 1:0; 2>a; "},
    {"a stream does not leave a server whose other answer is not read",
     LLM "server b llm 4 at=near m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "request 2 /r/x m/x;unread 1;wait 1500",
     "1>a; 1:begin; 1:0; 2>a; "},
    {"it is ended if its server does not answer a check",
     LLM "checks;request 1 /t/x m/x;begin 1;event 1 0;request 2 /t/x m/x;"
         "unread 1;wait 2750",
     "1>a; 1:begin; 1:0; 2>a; check a; 2x; 2:unknown deadline_exceeded; "},
    {"a server whose answer is read again is silent only later",
     LLM "server b llm 4 at=near m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "unread 1;wait 1000;read 1;wait 400;request 2 /t/x m/x;wait 10;"
         "request 3 /t/x m/x",
     "1>a; 1:begin; 1:0; 2>a; 3>b; "},
    {"a stream that is read again is lost only later",
     LLM "request 1 /t/x m/x;begin 1;event 1 0;unread 1;wait 1100;read 1;"
         "wait 2700;event 1 1;end 1",
     "1>a; 1:begin; 1:0; 1:1; 1:end; "},
    {"a server is not silent for an answer that nobody reads any more",
     LLM "server b llm 4 at=far m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "request 2 /t/x m/x;unread 1;wait 1000;abandon 1;request 3 /t/x m/x;"
         "wait 410;request 4 /t/x m/x",
     "1>a; 1:begin; 1:0; 2>a; 1x; 3>a; 4>b; "},
    {"one that is still not read counts after another is read",
     LLM "server b llm 4 at=far m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "request 2 /t/x m/x;begin 2;event 2 0;unread 1;unread 2;wait 1000;"
         "read 1;event 1 1;end 1;wait 1000;request 3 /t/x m/x",
     "1>a; 1:begin; 1:0; 2>a; 2:begin; 2:0; 1:1; 1:end; 3>a; "},
    {"an answer that is not read hides a silent server from a stream",
     LLM "server b llm 4 at=far m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "request 2 /r/x m/x;begin 2;event 2 0;unread 1;wait 2100",
     "1>a; 1:begin; 1:0; 2>a; 2:begin; 2:0; 2x; 2>b+0; "},
    {"an answer that is not read hides a silent server from requests",
     LLM "server b llm 4 at=far m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "request 2 /t/x m/x;begin 2;event 2 0;unread 1;wait 500;"
         "request 3 /t/x m/x",
     "1>a; 1:begin; 1:0; 2>a; 2:begin; 2:0; 3>b; "},
    {"a stream that is read shows that a server lives",
     LLM "server b llm 4 at=far m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "request 2 /t/x m/x;begin 2;event 2 0;unread 1;wait 300;event 2 1;"
         "wait 300;request 3 /t/x m/x",
     "1>a; 1:begin; 1:0; 2>a; 2:begin; 2:0; 2:1; 3>a; "},
    {"a stream that has ended shows nothing of a server",
     LLM "server b llm 4 at=far m x@1;request 1 /t/x m/x;begin 1;event 1 0;"
         "request 2 /t/x m/x;begin 2;event 2 0;unread 1;end 2;wait 1000;"
         "request 3 /t/x m/x",
     "1>a; 1:begin; 1:0; 2>a; 2:begin; 2:0; 2:end; 3>a; "},
    {"a stream that is resumed elsewhere is read there",
     LLM "checks;server b llm 4 m x@1;request 1 /r/x m/x;begin 1;event 1 0;"
         "unread 1;lost 1;wait 1500",
     "1>a; 1:begin; 1:0; 1>b+0; check b; "},
};

int
main(int argc, char **argv)
{
    return GatewaySteps_Main(argc, argv, "/gateway", cases,
                             G_N_ELEMENTS(cases));
}
