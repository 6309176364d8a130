/*
 * Tests of a gateway: what it says of a request that is not sent.  That it
 * comes true is checked with each request of the other cases, see
 * GatewaySteps_Main().
 */
#include <glib.h>

#include "gateway_steps.h"

static const GatewayCase cases[] = {
    {"no configuration", "explain 1 /s/x",
     "[refuse route no_document after 400] "},
    {"no route", PLAIN "explain 1 /none",
     "[refuse route not_found after 400] "},
    {"no server", "config 1;explain 1 /s/x", "[queue 0 wait - for 125] "},
    {"an idle server", PLAIN "explain 1 /s/x",
     "[send a | a chosen | b costs more: distance 10] "},
    {"load", PLAIN "request 1 /s/x;request 2 /s/x;explain 3 /s/x",
     "1>a; 2>a; [send b | a costs more: load 37 | b chosen: distance 10] "},
    {"a server that leaves, one that is closed",
     PLAIN "notice a leaving;notice b wait 90;explain 1 /s/x",
     "a:leaving; b:closed 90; [queue 0 wait - for 1090 | a leaving | b closed "
     "90: distance 10] "},
    {"every server leaves",
     PLAIN "notice a leaving;notice b leaving;explain 1 /s/x",
     "a:leaving; b:leaving; [refuse choose no_backend after 400 | a leaving | "
     "b leaving: distance 10] "},
    {"a server whose record is missing, one that failed",
     PLAIN "request 1 /s/x;lost 1;cleartrace;missing b;explain 2 /s/x",
     "[send b | a costs more: failures 100, avoided 1100 | b chosen: distance "
     "10, load 9, record missing 500] "},
    {"full servers",
     "config 1;server a plain 1;request 1 /s/x;request 2 /s/x;explain 3 /s/x",
     "1>a; 2>a; [queue 0 wait - for 125 | a full: requests: load 950] "},
    {"a queue that moves",
     "config 1;server a plain 1;each 1 9 request /s/x;wait 30;reply 1 "
     "200;wait 30;reply 2 200;cleartrace;explain 10 /s/x",
     "[queue 5 wait 177 for 354 | a full: requests: first byte 16, load "
     "950] "},
    {"connections in use",
     "config 1 1;server a plain 4;request 1 /s/x;cleartrace;explain 2 /s/x",
     "[queue 0 wait - for 125 | a full: connections: load 9] "},
    {"an adapter that is loaded", LLM "explain 1 /t/x m/x",
     "[send a | a chosen, loaded@1 | b not loaded there, absent: distance "
     "10] "},
    {"an adapter that is nowhere", LLM "explain 1 /t/x m/y",
     "[load b | a not loaded there, absent | b chosen: loads the adapter, "
     "absent: distance 10] "},
    {"an adapter on its way",
     LLM "request 1 /t/x m/y;cleartrace;explain 2 /t/x m/y",
     "[await_load b | a not loaded there, absent | b chosen: is loading the "
     "adapter, loading: distance 10] "},
    {"an older version", LLM "version x 2;explain 1 /t/x m/x",
     "[send a+b | a chosen, loaded@1 | b gets a further replica, absent: "
     "distance 10] "},
    {"a further replica",
     LLM "each 1 5 request /t/x m/x;cleartrace;explain 6 /t/x m/x",
     "[await_load b | a full: requests, loaded@1: load 353 | b chosen: is "
     "loading the adapter, loading: distance 10] "},
    {"a replica on its way beside one that serves",
     LLM "version x 2;request 1 /t/x m/x;cleartrace;explain 2 /t/x m/x",
     "[send a | a chosen, loaded@1: load 9 | b not loaded there yet, "
     "loading@2: distance "
     "10] "},
    {"a base model", LLM "explain 1 /t/x m",
     "[send a | a chosen, loaded@1 | b costs more, loaded@1: distance 10] "},
    {"a blocked part", LLM "news a blocked 5 1;explain 1 /t/x m/x parts=5",
     "5 blocked; [refuse prompt part blocked for good | a not asked, loaded@1 "
     "| b not asked, absent: distance 10] "},
    {"a customer", "config 1 c:k:3;server a plain 4;explain 1 /s/x key=k",
     "[send a c 3 cost 1 | a chosen] "},
    {"a quota that is not in force yet",
     "config 1 c:k:3:10;server a plain 4;explain 1 /s/x key=k",
     "[send a c 3 cost 1? | a chosen] "},
    {"a quota with room",
     "config 1 c:k:3:10;server a plain 4;request 1 /s/x key=k;reply 1 "
     "200;wait 900;"
     "cleartrace;explain 2 /s/x key=k;request 3 /s/x key=k",
     "[send a c 3 cost 1 | a chosen] 3>a c 3; "},
    {"a quota without room",
     "config 1 c:k:3:10;server a plain 4;request 1 /s/x key=k;reply 1 "
     "200;wait 900;"
     "each 2 30 request /s/x key=k;cleartrace;explain 31 /s/x key=k;"
     "explain 31 /s/x key=k;request 32 /s/x key=k",
     "[refuse quota limit_exceeded after 2156 c 3 cost 1] [refuse quota "
     "limit_exceeded after 2156 c 3 cost 1] 32:not run limit_exceeded after "
     "2156; "},
    {"no customer", "config 1 c:k:3;server a plain 4;explain 1 /s/x",
     "[refuse key unknown_key after 400] "},
    {"the other key of the customer",
     "config 1 c:kl:3 d:m:4;server a plain 4;explain 1 /s/x key=l",
     "[send a c 3 cost 1 | a chosen] "},
    {"the key of another customer",
     "config 1 c:kl:3 d:m:4;server a plain 4;explain 1 /s/x key=m",
     "[send a d 4 cost 1 | a chosen] "},
    {"an unknown key",
     "config 1 c:k:3;server a plain 4;explain 1 /s/x key=z;request 2 /s/x "
     "key=z",
     "[refuse key unknown_key after 400] 2:not run unknown_key; "},
    {"a key that is taken away",
     "config 1 c:k:3;server a plain 4;explain 1 /s/x key=k;config 2 "
     "c:j:3;explain 2 /s/x key=k;explain 3 /s/x key=j",
     "[send a c 3 cost 1 | a chosen] [refuse key unknown_key after 400] [send "
     "a c 3 cost 1 | a chosen] "},
    {"a key that is added",
     "config 1 c:k:3;server a plain 4;explain 1 /s/x key=j;config 2 "
     "c:kj:3;explain 2 /s/x key=j",
     "[refuse key unknown_key after 400] [send a c 3 cost 1 | a chosen] "},
    {"an unknown key at the last moment",
     "config 1 c:k:3;server a plain 4;age 3999;explain 1 /s/x key=z",
     "[refuse key unknown_key after 400] "},
    {"a newer configuration may know the key",
     "config 1 c:k:3;server a plain 4;age 4000;explain 1 /s/x key=z",
     "[refuse key unconfirmed after 400] "},
    {"a known key at the last moment",
     "config 1 c:k:3;server a plain 4;age 4999;explain 1 /s/x key=k",
     "[send a c 3 cost 1 | a chosen] "},
    {"no customers, a key", "config 1;server a plain 4;explain 1 /s/x key=k",
     "[send a | a chosen] "},
    {"no customers, a key that may have come and gone",
     "config 1;server a plain 4;age 5000;explain 1 /s/x key=k",
     "[refuse key unconfirmed after 400] "},
    {"a route that needs no key",
     "config 1 c:k:3;server a plain 4;age -1;explain 1 /k/x key=z",
     "[send a | a chosen] "},
    {"a configuration that is not certain",
     "config 1 c:k:3;server a plain 4;age 5000;explain 1 /s/x key=k",
     "[refuse key unconfirmed after 400] "},
    {"a planned stop", LLM "drain;wait 6000;explain 1 /t/x m",
     "[refuse route leaving after 400] "},
    {"a silent server",
     PLAIN "request 1 /s/x;cleartrace;wait 500;explain 2 /s/x",
     "[send b | a costs more: load 9, silence 2000 | b chosen: distance 10] "},
};

int
main(int argc, char **argv)
{
    return GatewaySteps_Main(argc, argv, "/gateway/explain", cases,
                             G_N_ELEMENTS(cases));
}
