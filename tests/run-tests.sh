#!/bin/sh
# Runs the test programs and the test scripts, and counts the cases of their
# TAP output: run-tests.sh BUILD PROGRAM...
# The last line is "N passed, N failed"; exit status 1 if any failed.
BUILD=$1
shift
export BUILD
cd "$(dirname "$0")" || exit 1
passed_total=0
failed_total=0

# add_results NAME EXIT-STATUS TAP-OUTPUT
add_results() {
    ok_count=$(printf '%s\n' "$3" | grep -c '^ok ')
    not_ok_count=$(printf '%s\n' "$3" | grep -c '^not ok ')
    if [ "$2" -ne 0 ] && [ "$not_ok_count" -eq 0 ]; then
        not_ok_count=1 # it ended abnormally, without naming a failed case
    fi
    if [ "$not_ok_count" -ne 0 ]; then
        printf '%s\n' "$3" | tail -40
    fi
    echo "$1: $ok_count passed, $not_ok_count failed"
    passed_total=$((passed_total + ok_count))
    failed_total=$((failed_total + not_ok_count))
}

for program in "$@"; do
    out=$("$program" --tap 2>&1)
    add_results "$(basename "$program")" $? "$out"
done
for script in check-docs check-apply; do
    out=$(sh ./$script.sh "$BUILD" .. 2>&1)
    add_results $script $? "$out"
done
echo "$passed_total passed, $failed_total failed"
[ "$failed_total" -eq 0 ]
