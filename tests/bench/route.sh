#!/bin/sh
# Instructions per routing decision, by callgrind: route.sh BUILD
# The difference of two runs leaves out set-up and the first use of buckets.
BUILD=$1
count() { # WORKERS ADAPTERS DECISIONS
    valgrind --tool=callgrind --callgrind-out-file=/dev/null \
        "$BUILD/bench-route" "$1" "$2" "$3" 2>&1 |
        sed -n 's/.*Collected : \([0-9]*\).*/\1/p'
}
for workers in 10 100 600; do
    for adapters in 1000 10000 100000; do
        few=$(count $workers $adapters 10000)
        many=$(count $workers $adapters 30000)
        echo "{\"bench\":\"route\",\"scenario\":\"workers${workers}_adapters${adapters}\",\"policy\":\"kcc\",\"seed\":1,\"instructions_per_decision\":$(((many - few) / 20000))}"
    done
done
