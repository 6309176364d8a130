#!/bin/sh
# Runs the test programs and the test scripts, and counts the cases of their
# TAP output: run-tests.sh BUILD PROGRAM...
# A case that KNOWN-RED.txt lists, in a line "PROGRAM /PATH OF THE CASE:", is
# run by itself and must fail.
# The last line is "N passed, N failed"; exit status 1 if any failed.
BUILD=$1
shift
export BUILD
cd "$(dirname "$0")" || exit 1
passed_total=0
failed_total=0

# add_results NAME EXIT-STATUS TAP-OUTPUT
add_results() {
    ok_count=$(printf '%s\n' "$3" | grep '^ok ' | grep -vc '# SKIP')
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

# run_program PROGRAM
run_program() {
    name=$(basename "$1")
    known_red=$(sed -n "s|^$name \(/[^:]*\):.*|\1|p" ../KNOWN-RED.txt)
    set -- "$1" --tap
    while IFS= read -r path; do
        [ -n "$path" ] && set -- "$@" -s "$path"
    done <<EOF
$known_red
EOF
    out=$("$@" 2>&1)
    add_results "$name" $? "$out"
    while IFS= read -r path; do
        [ -n "$path" ] || continue
        if "$1" --tap -p "$path" >/dev/null 2>&1; then
            add_results "$name" 1 "not ok $path is in KNOWN-RED.txt and passes"
        else
            echo "known red: $name $path"
        fi
    done <<EOF
$known_red
EOF
}

for program in "$@"; do
    run_program "$program"
done
for script in check-docs check-apply; do
    out=$(sh ./$script.sh "$BUILD" .. 2>&1)
    add_results $script $? "$out"
done
echo "$passed_total passed, $failed_total failed"
[ "$failed_total" -eq 0 ]
