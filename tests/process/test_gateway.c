/*
 * Tests of a gateway: routes, servers, limits, retries, adapters, stops.
 */
#include <glib.h>

#include "gateway_steps.h"

/* Two engines without adapters. */
#define BOTH "config 1;server a llm 4 m;server b llm 4 m;"

static const GatewayCase cases[] = {
    /* routes */
    {"a request without a configuration is refused", "request 1 /s/x",
     "1:not run no_document; "},
    {"no route", PLAIN "request 1 /z/x", "1:not run not_found; "},
    {"an older configuration is ignored",
     "config 2;config 1;inforce;config 3;inforce;server a plain 4;"
     "request 1 /s/x",
     "v2; v3; 1>a; "},
    /* plain services */
    {"the nearest server is chosen first", PLAIN "request 1 /s/x;reply 1 200",
     "1>a; 1:200; 1:end; "},
    {"a fully loaded server is passed over",
     PLAIN "load a 4 1 4;request 1 /s/x", "1>b; "},
    {"a load report expires", PLAIN "load a 4 1 4;wait 3000;request 1 /s/x",
     "1>a; "},
    {"a refused request goes to another server",
     PLAIN "request 1 /u/x;notrun 1;reply 1 200", "1>a; 1>b; 1:200; 1:end; "},
    {"a request lost before it was sent goes to another server",
     PLAIN "request 1 /u/x;neversent 1;reply 1 200",
     "1>a; 1>b; 1:200; 1:end; "},
    {"a request that cannot be sent goes to another server",
     PLAIN "nosend a;request 1 /u/x;reply 1 200", "1>b; 1:200; 1:end; "},
    {"a lost unsafe request is not sent again", PLAIN "request 1 /u/x;lost 1",
     "1>a; 1:unknown peer_lost; "},
    {"a lost safe request is sent again",
     PLAIN "request 1 /s/x;lost 1;reply 1 200", "1>a; 1>b; 1:200; 1:end; "},
    {"a safe request is sent twice at the most",
     PLAIN "server c plain 4;request 1 /s/x;lost 1;lost 1",
     "1>a; 1>c; 1:unknown peer_lost; "},
    {"a safe request is sent again after status 500",
     PLAIN "request 1 /s/x;reply 1 500;reply 1 200",
     "1>a; 1>b; 1:200; 1:end; "},
    {"status 500 of an unsafe request is passed on",
     PLAIN "request 1 /u/x;reply 1 500", "1>a; 1:500; 1:end; "},
    {"an unanswered safe request goes to another server",
     PLAIN "request 1 /s/x;wait 800;reply 1 200",
     "1>a; 1>b; 1x a; 1:200; 1:end; "},
    {"an unanswered unsafe request stays where it is",
     PLAIN "request 1 /u/x;wait 800;reply 1 200", "1>a; 1:200; 1:end; "},
    {"an unanswered unsafe request ends at its timeout",
     PLAIN "request 1 /u/x;wait 4100",
     "1>a; 1x; 1:unknown deadline_exceeded; "},
    {"a request that was not sent by its timeout has not run",
     PLAIN "connecting;request 1 /u/x;wait 4100",
     "1>a; 1x; 1:not run deadline_exceeded; "},
    {"a request that was sent by its timeout may have run",
     PLAIN "connecting;request 1 /u/x;written 1;wait 4100",
     "1>a; 1 written; 1x; 1:unknown deadline_exceeded; "},
    {"a request whose connection is made after its timeout is not sent",
     PLAIN "connecting;request 1 /u/x;freeze 4100;written 1;wait 100",
     "1>a; 1:not run deadline_exceeded; "},
    {"a request that is refused after its timeout has not run",
     PLAIN "request 1 /u/x;freeze 4100;notrun 1", "1>a; 1:not run busy; "},
    {"a safe request that was refused by one of two servers may have run",
     PLAIN "request 1 /s/x;wait 800;notrun 1@b;wait 3300",
     "1>a; 1>b; 1>b; 1x a; 1x; 1:unknown deadline_exceeded; "},
    {"a safe request that is refused by both of two servers has not run",
     PLAIN "request 1 /s/x;wait 800;notrun 1@b;freeze 3300;notrun 1@a",
     "1>a; 1>b; 1:not run busy; "},
    {"a safe request at two servers that was sent to neither has not run",
     PLAIN "connecting;request 1 /s/x;wait 4100",
     "1>a; 1>b; 1x a; 1x; 1:not run deadline_exceeded; "},
    {"a safe request at two servers that was sent to one may have run",
     PLAIN "connecting;request 1 /s/x;wait 800;written 1@a;wait 3300",
     "1>a; 1>b; 1@a written; 1x a; 1x; 1:unknown deadline_exceeded; "},
    {"the attempt of an abandoned request is cancelled",
     PLAIN "request 1 /u/x;abandon 1", "1>a; 1x; "},
    {"a leaving server is not chosen",
     PLAIN "server a plain 4 leaving;request 1 /s/x", "1>b; "},
    {"an unavailable server is the last choice",
     PLAIN "missing a;request 1 /s/x;missing b;request 2 /s/x", "1>b; 2>a; "},
    {"a server whose record was deleted is not chosen",
     PLAIN "missing a deleted;missing b;request 1 /s/x", "1>b; "},
    {"a server whose deleted record returns is chosen",
     PLAIN "missing a deleted;server a plain 4;request 1 /s/x", "1>a; "},
    {"unavailable servers are not chosen after a time",
     PLAIN "missing a;missing b;wait 2500;request 1 /s/x;wait 200",
     "1:not run no_backend; "},
    {"a server missing from two lists is not chosen",
     PLAIN "list b;wait 2500;list b;request 1 /s/x", "1>b; "},
    {"a server whose record returns in time stays",
     PLAIN "missing a;wait 1000;server a plain 4;wait 3000;request 1 /s/x",
     "1>a; "},
    {"a server that changed service is not chosen",
     PLAIN "server a llm 4;request 1 /s/x", "1>b; "},
    {"a server whose address has a later one is not chosen",
     "config 1;server a plain 4;server c plain 4 at=near port=97;"
     "request 1 /s/x",
     "1>c; "},
    {"an earlier server does not come back by its old record",
     "config 1;server a plain 4;server b plain 4 at=near;"
     "server c plain 4 at=far port=97;list a b c;request 1 /s/x",
     "1>b; "},
    {"an old record after the later one does not bring a server back",
     "config 1;server a plain 4;server b plain 4 at=near;"
     "server c plain 4 at=far port=97;list c b a;request 1 /s/x",
     "1>b; "},
    /* a store that was restored from a copy, and has lost records since */
    {"a server that registers again with a lower revision stays",
     PLAIN "server a plain 4;restore 3;list;wait 1000;server a plain 4;"
           "wait 3000;request 1 /s/x",
     "1>a; "},
    {"a server that registers again with the same revision stays",
     PLAIN "server a plain 4;restore 1;list b;wait 1000;server a plain 4;"
           "wait 3000;request 1 /s/x",
     "1>a; "},
    {"a server that registers again after each of two restores stays",
     PLAIN "server a plain 4;restore 2;list;wait 500;server a plain 4;"
           "restore 2;list;wait 500;server a plain 4;wait 3000;request 1 /s/x",
     "1>a; "},
    {"a server that does not register again is gone",
     PLAIN "restore 2;list b;wait 2500;request 1 /s/x", "1>b; "},
    {"a server that announces its end with a lower revision leaves",
     PLAIN "server a plain 4;restore 3;server a plain 4;server a plain 4 "
           "leaving;request 1 /s/x",
     "1>b; "},
    {"a server that has announced its end leaves, though its copied record is "
     "older",
     PLAIN "server a plain 4 leaving;restore 1;list a b;request 1 /s/x",
     "1>b; "},
    {"a server that announces its end no more is chosen",
     PLAIN "server a plain 4 leaving;restore 1;list a b;wait 3000;list a b;"
           "request 1 /s/x",
     "1>a; "},
    {"a server whose address has a later one does not come back by its copied "
     "record",
     "config 1;server a plain 4 born=100;server c plain 4 born=200 port=97;"
     "restore 1;list a;wait 500;server c plain 4 born=200 port=97;"
     "request 1 /s/x",
     "1>c; "},
    {"an earlier instance does not come back by its copied record",
     "config 1;server a llm 4 born=100 m;server a llm 4 born=200 port=7 m x@1;"
     "restore 1;server a llm 4 born=100 m;request 1 /t/x m/x",
     "1>a; "},
    {"an earlier instance is used if the later one does not register again",
     "config 1;server a plain 4 born=100;server a plain 4 born=200 port=7;"
     "restore 2;server a plain 4 born=100;wait 3000;"
     "server a plain 4 born=100;request 1 /s/x",
     "1>a; "},
    {"a copied record takes no replica away",
     "config 1;server a llm 4;server a llm 4 m x@1;restore 2;"
     "server a llm 4;request 1 /t/x m/x",
     "1>a; "},
    {"a record that is written again does",
     LLM "restore 2;server a llm 4 m x@1;server a llm 4;request 1 /t/x m/x;"
         "report b x 1 loaded",
     "?b x@0; 1>b; "},
    {"a server that moved away leaves its address",
     "config 1;server a plain 4;server a plain 4 port=7;"
     "server b plain 4 at=near port=97;request 1 /s/x",
     "1>a; "},
    {"after the end of a later server its address can be used",
     "config 1;server a plain 4;server c plain 4 port=97;missing c deleted;"
     "wait 10000;server d plain 4 port=97;request 1 /s/x",
     "1>d; "},
    {"requests that wait for a load at a server that ended go elsewhere",
     "config 1;server a llm 4 m;server b llm 4 at=near m;"
     "request 1 /t/x m/q;server c llm 4 at=far m port=97;report b q 1 loaded",
     "?a q@0; ?b q@0; 1>b; "},
    {"replicas at a server that ended are not used",
     "config 1;server a llm 4 m x@1;server c llm 4 m port=97;"
     "request 1 /t/x m/x;report c x 1 loaded",
     "?c x@0; 1>c; "},
    {"a suspect server is avoided",
     PLAIN "request 1 /u/x;lost 1;request 2 /u/x",
     "1>a; 1:unknown peer_lost; 2>b; "},
    {"a server suspected of failure is chosen again later",
     PLAIN "request 1 /u/x;neversent 1;reply 1 200;wait 5000;request 2 /u/x",
     "1>a; 1>b; 1:200; 1:end; 2>a; "},
    {"a silent server is avoided",
     PLAIN "request 1 /u/x;wait 450;request 2 /u/x", "1>a; 2>b; "},
    /* concurrency limits */
    {"a request waits while its server is full",
     "config 1;server a plain 1;request 1 /u/x;request 2 /u/x;"
     "request 3 /u/x;reply 1 200",
     "1>a; 2>a; 1:200; 3>a; 1:end; "},
    {"a waiting request is refused before its objective",
     "config 1;server a plain 2;load a 3 0 2;request 1 /u/x;wait 130",
     "1:not run busy; "},
    {"before its wait ends a waiting request looks for a server again",
     "config 1;server a plain 2;load a 3 0 2;request 1 /u/x;wait 120;"
     "load a 0 0 2;wait 10",
     "1>a; "},
    {"a waiting request is sent when another ends",
     "config 1;server a plain 2;load a 1 0 2;request 1 /u/x;"
     "request 2 /u/x;request 3 /u/x;reply 1 200",
     "1>a; 2>a; 1:200; 3>a; 1:end; "},
    /* connections that a server accepts from all gateways together */
    {"a gateway keeps to its part of the connections of a server that does "
     "not tell its load",
     "config 1 10;gateways 4;server a plain 9;request 1 /u/x;request 2 /u/x;"
     "request 3 /u/x;reply 1 200",
     "1>a; 2>a; 1:200; 3>a; 1:end; "},
    {"a gateway uses the connections that the others leave",
     "config 1 10;gateways 4;server a plain 9;request 1 /u/x;request 2 /u/x;"
     "load a 2 0 9;request 3 /u/x;request 4 /u/x",
     "1>a; 2>a; 3>a; 4>a; "},
    {"a gateway leaves the connections that the others use",
     "config 1 10;gateways 4;server a plain 9;request 1 /u/x;"
     "load a 8 0 9;request 2 /u/x;reply 1 200",
     "1>a; 1:200; 2>a; 1:end; "},
    {"one connection is always opened",
     "config 1 1;gateways 40;server a plain 4;request 1 /u/x;request 2 /u/x",
     "1>a; "},
    /* the retry budget: 20 retries at the start, shared by all gateways */
    {"the retry budget limits further attempts",
     PLAIN "gateways 10;request 1 /u/x;notrun 1;request 2 /u/x;notrun 2;"
           "request 3 /u/x;notrun 3",
     "1>a; 1>b; 2>a; 2>b; 3>a; 3:not run busy; "},
    {"a plain service ignores the model", PLAIN "request 1 /s/x m/x", "1>a; "},
    /* adapters */
    {"a loaded adapter", LLM "request 1 /t/x m/x", "1>a; "},
    {"the base model", LLM "request 1 /t/x m", "1>a; "},
    {"an adapter is loaded first",
     "config 1;server a llm 4 m;request 1 /t/x m/y;"
     "report a y 1 loading;request 2 /t/x m/y;report a y 1 loaded",
     "?a y@0; 1>a; 2>a; "},
    /* Both servers, as one of them is the adapter's home anyhow. */
    {"an adapter is loaded again at a, where it was",
     BOTH "report a y 1 loaded;report a y 1 not_loaded;request 1 /t/x m/y",
     "?a y@0; "},
    {"an adapter is loaded again at b, where it was",
     BOTH "report b y 1 loaded;report b y 1 not_loaded;request 1 /t/x m/y",
     "?b y@0; "},
    {"an adapter is loaded where it was though loads wait there",
     BOTH "report b y 1 loaded;report b y 1 not_loaded;report b p 1 loading;"
          "report b q 1 loading;report b r 1 loading;request 1 /t/x m/y",
     "?b y@0; "},
    {"an adapter is not loaded at a while three loads are on their way there",
     BOTH "report a p 1 loading;report a q 1 loading;report a r 1 loading;"
          "request 1 /t/x m/y",
     "?b y@0; "},
    {"an adapter is not loaded at b while three loads are on their way there",
     BOTH "report b p 1 loading;report b q 1 loading;report b r 1 loading;"
          "request 1 /t/x m/y",
     "?a y@0; "},
    {"an adapter is loaded where the fewest loads wait",
     BOTH "report a p 1 loading;report a q 1 loading;report a r 1 loading;"
          "report a s 1 loading;report b p 1 loading;report b q 1 loading;"
          "report b r 1 loading;request 1 /t/x m/y",
     "?b y@0; "},
    {"an unreachable keeper gets no load request",
     LLM "nokeeper b;request 1 /t/x m/q;nokeeper a;request 2 /t/x m/q",
     "?a q@0; "},
    {"a load refused by a keeper is requested from another",
     "config 1;server a llm 4 m;server b llm 4 m;nokeeper b;"
     "request 1 /t/x m/q;nokeeper none;report a q 0 not_loaded;"
     "report b q 1 loaded",
     "?a q@0; ?b q@0; 1>b; "},
    {"a load at a lost keeper is requested from another",
     "config 1;server a llm 4 m;server b llm 4 m;nokeeper b;"
     "request 1 /t/x m/q;nokeeper none;keeperlost a;"
     "report b q 1 loaded",
     "?a q@0; ?b q@0; 1>b; "},
    {"loads fail when the only keeper is lost",
     "config 1;server a llm 4 m;nokeeper none;request 1 /t/x m/q;"
     "request 2 /t/x m/q;request 3 /t/x m/z;keeperlost a;wait 200",
     "?a q@0; ?a z@0; 1:not run load_failed; 2:not run load_failed; "
     "3:not run load_failed; "},
    {"a slow load is also requested from another keeper",
     "config 1;server a llm 4 m;server b llm 4 m;nokeeper b;"
     "request 1 /t/x m/q;nokeeper none;wait 1600;report b q 1 loaded",
     "?a q@0; ?b q@0; 1>b; "},
    {"a server without the base model gets no load request",
     "config 1;server a llm 4;server b llm 4 m at=near;request 1 /t/x m/q",
     "?b q@0; "},
    {"an adapter is requested even if no server has its model",
     "config 1;server a llm 4;request 1 /t/x m/q", "?a q@0; "},
    {"a misdirected attempt (421) drops the replica",
     LLM "request 1 /t/x m/x;misdirected 1;report b x 1 loaded",
     "1>a; refresh; ?b x@0; 1>b; "},
    {"without retry budget an adapter is loaded for the caller's return",
     LLM "gateways 100;request 1 /t/x m/x;misdirected 1;wait 200;"
         "report b x 1 loaded;request 2 /t/x m/x",
     "1>a; refresh; ?b x@0; 1:not run wrong_model; 2>b; "},
    {"the caller is told to return when such a load has ended by then",
     LLM "gateways 100;request 1 /t/x m/q;wait 200;report a q 1 loaded;"
         "misdirected 1",
     "?a q@0; 1>a; refresh; ?b q@0; 1:not run wrong_model after 250; "},
    {"a record that has not changed does not bring back what a 421 denied",
     LLM "nokeeper b;request 1 /t/x m/x;misdirected 1;"
         "server a llm 4 again m x@1;request 2 /t/x m/x;"
         "server a llm 4 m x@1;request 3 /t/x m/x",
     "1>a; refresh; ?a x@0; 2>a; 3>a; "},
    {"a record that comes back unchanged counts again",
     LLM "nokeeper b;notice a wait 90000;missing a;wait 60000;"
         "server a llm 4 again m x@1;wait 40000;cleartrace;"
         "request 1 /t/x m/x",
     "1>a; "},
    {"an older version is not served for ever",
     LLM "version x 2;wait 2500;request 1 /t/x m/x;report b x 2 loaded",
     "?b x@2; 1>b; "},
    /* Guards against an older version that begins requests too late, as its
     * time counted from when the gateway learned of the newer one. */
    {"an older version is not served longer as its gateway learns late",
     LLM "version x 2 3500;request 1 /t/x m/x;report b x 2 loaded",
     "?b x@2; 1>b; "},
    {"an older version is served for the rest of its time",
     LLM "version x 2 3000;wait 490;request 1 /t/x m/x;wait 10;"
         "request 2 /t/x m/x;report b x 2 loaded",
     "?b x@2; 1>a; 2>b; "},
    {"a further version does not prolong the time of the oldest",
     LLM "version x 2;wait 2400;version x 3;request 1 /t/x m/x;wait 100;"
         "request 2 /t/x m/x;report b x 3 loaded",
     "?b x@3; 1>a; 2>b; "},
    {"three versions in a row don't, either",
     LLM "version x 2;wait 1000;version x 3;wait 1000;version x 4;wait 490;"
         "request 1 /t/x m/x;wait 10;request 2 /t/x m/x;report b x 4 loaded",
     "?b x@4; 1>a; 2>b; "},
    {"a further version does not bring the oldest one back",
     LLM "version x 2;wait 3000;version x 3;request 1 /t/x m/x;"
         "report b x 3 loaded",
     "?b x@3; 1>b; "},
    {"two further versions don't, either",
     LLM "version x 2;wait 3000;version x 3;version x 4;request 1 /t/x m/x;"
         "report b x 4 loaded",
     "?b x@4; 1>b; "},
    {"a request that is being connected is not written on an older version",
     LLM "version x 2;request 1 /t/x m/x;cleartrace;wait 2500;written 1;"
         "report b x 2 loaded;written 1",
     "1>b; 1 written; "},
    {"the newest version is loaded though each server holds an older one",
     "config 1;server a llm 4 m x@1;server b llm 4 at=near m x@1;"
     "version x 2;request 1 /t/x m/x;request 2 /t/x m/x;"
     "report b x 2 loaded;request 3 /t/x m/x",
     "?b x@2; 1>a; 2>a; 3>b; "},
    {"the only server with an older version goes on until its time is over",
     "config 1;server a llm 4 m x@1;version x 2;wait 2490;request 1 /t/x m/x;"
     "wait 10;request 2 /t/x m/x;report a x 2 loaded",
     "1>a; ?a x@2; 2>a; "},
    {"an older version is served while the newest loads",
     LLM "version x 2;request 1 /t/x m/x;request 2 /t/x m/x;"
         "report b x 2 loaded;request 3 /t/x m/x",
     "?b x@2; 1>a; 2>a; 3>b; "},
    {"a restarted server has no adapters",
     LLM "server a llm 4 born=2 m;nokeeper b;request 1 /t/x m/x", "?a x@0; "},
    {"an adapter that is seldom asked for stays at a slow server alone",
     LLM "each 1 3 request /t/x m;wait 1900;each 1 3 begin;each 1 3 event 0;"
         "each 1 3 end;cleartrace;request 4 /t/x m/x",
     "4>a; "},
    {"one that is often asked for gets a second replica",
     LLM "each 1 3 request /t/x m/x;wait 1900;each 1 3 begin;"
         "each 1 3 event 0;each 1 3 end;cleartrace;request 4 /t/x m/x",
     "?b x@0; 4>a; "},
    {"an adapter that is seldom asked for stays at a busy server alone",
     LLM "load a 3 0 4;request 1 /t/x m/x", "1>a; "},
    {"one that is often asked for gets a second replica as its server is busy",
     "config 1;server a llm 8 m x@1;server b llm 8 at=near m;"
     "each 1 3 request /t/x m/x;cleartrace;load a 6 0 8;request 4 /t/x m/x",
     "?b x@0; 4>a; "},
    {"an adapter at a silent server is loaded elsewhere",
     LLM "request 1 /t/x m/x;wait 450;request 2 /t/x m/x;report b x 1 loaded",
     "1>a; ?b x@0; 2>b; "},
    {"a less loaded engine is preferred to a nearer one",
     "config 1;server a llm 40 m x@1;server b llm 40 at=near m x@1;"
     "load a 9 0 40;request 1 /t/x m/x",
     "1>b; "},
    {"an engine without a load report counts with the mean load",
     "config 1;server a llm 40 m x@1;server b llm 40 at=near m x@1;"
     "server c llm 40 at=near m x@1;load b 44 0 60;load c 1 0 40;"
     "request 1 /t/x m/x",
     "1>c; "},
    {"an adapter is not loaded at a busy engine",
     "config 1;server a llm 40 m;server b llm 40 m;load a 26 0 40;"
     "request 1 /t/x m/q",
     "?b q@0; "},
    {"replicas follow an adapter's share of the requests",
     "config 1;server a llm 40 m x@1;server b llm 40 at=near m;"
     "request 1 /t/x m/x;request 2 /t/x m/x;request 3 /t/x m/x;"
     "request 4 /t/x m/x;request 5 /t/x m/x;request 6 /t/x m/x;"
     "request 7 /t/x m/x;request 8 /t/x m/x;request 9 /t/x m/x;"
     "request 10 /t/x m/x;request 11 /t/x m/x;request 12 /t/x m/x",
     "1>a; 2>a; 3>a; 4>a; 5>a; 6>a; 7>a; 8>a; 9>a; 10>a; 11>a; "
     "?b x@0; 12>a; "},
    {"a server leaving by its keeper's report, until it restarts",
     "config 1;server a llm 4 m x@1;server b llm 4 at=near m x@1;"
     "report a x 1 leaving;request 1 /t/x m/x;server a llm 4 m x@1;"
     "request 2 /t/x m/x;server a llm 4 born=2 m x@1;"
     "request 3 /t/x m/x",
     "1>b; 2>b; 3>a; "},
    /* planned stops */
    {"a draining gateway goes on for a time",
     PLAIN "drain;request 1 /s/x;reply 1 200;wait 2000;request 2 /s/x;"
           "reply 2 200;wait 4000;request 3 /s/x",
     "1>a; 1:200; 1:end; 2>a; 2:200; 2:end; 3:not run leaving; "},
    {"a draining gateway soon refuses streams",
     LLM "drain;wait 2000;request 1 /t/x m/x", "1:not run leaving; "},
    /* the process is frozen */
    {"an answer that arrived in a freeze beyond its deadline is passed on",
     PLAIN "request 1 /u/x;freeze 20000;reply 1 200;wait 10",
     "1>a; 1:200; 1:end; "},
    {"a request is not written if its version was retired in a freeze",
     LLM "connecting;version x 2;request 1 /t/x m/x;cleartrace;freeze 2600;"
         "written 1;report b x 2 loaded",
     "1>b; "},
    /* a planned stop that ends while the process is frozen */
    {"an answer that arrived in a freeze beyond the stop is passed on",
     PLAIN "request 1 /u/x;drain 1000;freeze 1100;reply 1 200;wait 10",
     "1>a; 1:200; 1:end; "},
    {"a refused request is not sent on after a late stop",
     PLAIN "request 1 /u/x;drain 1000;freeze 1100;notrun 1;wait 10",
     "1>a; 1:not run leaving; "},
    {"a request that was never sent is not sent on after a late stop",
     PLAIN "request 1 /u/x;drain 1000;freeze 1100;neversent 1;wait 10",
     "1>a; 1:not run leaving; "},
    {"a lost request is not sent again after a late stop",
     PLAIN "request 1 /s/x;drain 1000;freeze 1100;lost 1;wait 10",
     "1>a; 1:unknown leaving; "},
    {"a server error is passed on after a late stop, not retried",
     PLAIN "request 1 /s/x;drain 1000;freeze 1100;reply 1 500;wait 10",
     "1>a; 1:500; 1:end; "},
    {"a stream is not resumed after a late stop",
     LLM "server b llm 4 m x@1;request 1 /r/x m/x;begin 1;event 1 0;"
         "drain 1000;freeze 1100;lost 1;wait 10",
     "1>a; 1:begin; 1:0; 1:broken; "},
    {"a request is not written after a late stop",
     PLAIN "connecting;request 1 /u/x;drain 1000;freeze 1100;written 1;"
           "wait 10",
     "1>a; 1:not run leaving; "},
    {"a request is not sent to a loaded adapter after a late stop",
     LLM "request 1 /t/x m/q;drain 1000;freeze 1100;report a q 1 loaded;"
         "wait 10",
     "?a q@0; 1:not run leaving; "},
    {"no adapter is loaded after a late stop",
     LLM "request 1 /t/x m/q;drain 1600;freeze 1700;wait 10",
     "?a q@0; 1:not run leaving; "},
    {"a request is not sent to a free server after a late stop",
     "config 1;server a plain 1;load a 9 0 1;request 1 /u/x;drain 100;"
     "freeze 200;load a 0 0 1;wait 10",
     "1:not run leaving; "},
    {"a request is not sent to a server that opens after a late stop",
     "config 1;server a plain 4;notice a wait 1050;request 1 /u/x;drain 1000;"
     "freeze 1100;wait 10",
     "a:closed 1050; 1:not run leaving; "},
    {"the end of a late stop comes before the end of a wait",
     "config 1;server a plain 1;load a 9 0 1;request 1 /u/x;drain 140;"
     "freeze 200;wait 10",
     "1:not run leaving; "},
    {"the end of a late stop comes before a deadline",
     LLM "request 1 /t/x m/x;drain 4050;freeze 4100;wait 10",
     "1>a; 1x; 1:unknown leaving; "},
};

int
main(int argc, char **argv)
{
    return GatewaySteps_Main(argc, argv, "/gateway", cases,
                             G_N_ELEMENTS(cases));
}
