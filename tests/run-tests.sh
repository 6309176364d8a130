#!/bin/sh
# Runs test programs and counts their cases: run-tests.sh BUILD PROGRAM...
# The last line is "N passed, N failed".
BUILD=$1
shift
export BUILD
passed=0
failed=0
for program in "$@"; do
    out=$("$program" --tap 2>&1)
    status=$?
    good=$(printf '%s\n' "$out" | grep -c '^ok ')
    bad=$(printf '%s\n' "$out" | grep -c '^not ok ')
    if [ "$status" -ne 0 ] && [ "$bad" -eq 0 ]; then
        bad=1 # it ended before it could say what failed
    fi
    if [ "$bad" -ne 0 ]; then
        printf '%s\n' "$out" | tail -40
    fi
    echo "$(basename "$program"): $good passed, $bad failed"
    passed=$((passed + good))
    failed=$((failed + bad))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
