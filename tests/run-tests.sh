#!/bin/sh
# Runs test programs and counts their cases: run-tests.sh BUILD PROGRAM...
# The last line is "N passed, N failed".
BUILD=$1
shift
export BUILD
cd "$(dirname "$0")" || exit 1
passed=0
failed=0

count() { # NAME STATUS OUTPUT
    good=$(printf '%s\n' "$3" | grep -c '^ok ')
    bad=$(printf '%s\n' "$3" | grep -c '^not ok ')
    if [ "$2" -ne 0 ] && [ "$bad" -eq 0 ]; then
        bad=1 # it ended before it could say what failed
    fi
    if [ "$bad" -ne 0 ]; then
        printf '%s\n' "$3" | tail -40
    fi
    echo "$1: $good passed, $bad failed"
    passed=$((passed + good))
    failed=$((failed + bad))
}

for program in "$@"; do
    out=$("$program" --tap 2>&1)
    count "$(basename "$program")" $? "$out"
done
for script in check-docs check-apply; do
    out=$(sh ./$script.sh "$BUILD" .. 2>&1)
    count $script $? "$out"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
