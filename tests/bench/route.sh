#!/bin/sh
# Counts instructions per routing decision with callgrind: route.sh BUILD
# The difference between two runs leaves out set-up and the first choice in
# each bucket of adapters.
BUILD=$1
# Prints the instructions of one run.
count_instructions() { # WORKERS ADAPTERS DECISIONS
    valgrind --tool=callgrind --callgrind-out-file=/dev/null \
        "$BUILD/bench-route" "$1" "$2" "$3" 2>&1 |
        sed -n 's/.*Collected : \([0-9]*\).*/\1/p'
}
for workers in 10 100 600; do
    for adapters in 1000 10000 100000; do
        few=$(count_instructions $workers $adapters 10000)
        many=$(count_instructions $workers $adapters 30000)
        echo "{\"bench\":\"route\",\"scenario\":\"workers${workers}_adapters${adapters}\",\"policy\":\"kcc\",\"seed\":1,\"instructions_per_decision\":$(((many - few) / 20000))}"
    done
done
