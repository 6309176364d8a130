#!/bin/sh
# Tests kcc apply, get and diff with concurrent edits and failures of the
# object API, against its stand-in: check-apply.sh BUILD ROOT.
# Prints one TAP line per case.
BUILD=$1
ROOT=$2
DIR=$(mktemp -d)
# A loopback host of this process alone, as it has its number.
HOST=127.$(($$ / 62500 % 60)).$(($$ / 250 % 250)).$(($$ % 250 + 1))
export KCC_OBJECTS=$HOST:24700
case_number=0
exit_status=0

"$BUILD/standin-objects" -l "$KCC_OBJECTS" >/dev/null 2>&1 &
STANDIN_PID=$!
trap 'kill "$STANDIN_PID" 2>/dev/null; wait "$STANDIN_PID" 2>/dev/null; rm -rf "$DIR"' EXIT
for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
    curl -s "http://$KCC_OBJECTS/standin/state" >/dev/null && break
    sleep 0.1
done

# check_command NAME STATUS TEXT COMMAND...: a case that passes when the command
# ends with exit status STATUS and its output matches the pattern TEXT, if any
check_command() {
    name=$1
    expected_status=$2
    expected_text=$3
    shift 3
    case_number=$((case_number + 1))
    out=$("$@" 2>&1)
    status=$?
    if [ "$status" -eq "$expected_status" ] &&
        { [ -z "$expected_text" ] || printf "%s" "$out" | grep -q "$expected_text"; }; then
        echo "ok $case_number $name"
    else
        echo "not ok $case_number $name: status $status: $out"
        exit_status=1
    fi
}

# set_knob NAME=VALUE: sets a fault of the stand-in
set_knob() {
    curl -s -X POST "http://$KCC_OBJECTS/standin/set?$1" >/dev/null
}

kcc="$BUILD/kcc"
cp "$ROOT"/examples/association/document/*.ini "$DIR"
printf '[customer a]\nburst = 7\n' >"$DIR/limits-a.ini"
printf '[customer b]\nburst = 9\n' >"$DIR/limits-b.ini"
printf '[retired]\nshop-0001 = 2\n' >"$DIR/retire-default.ini"
sed 's/^shop-0005 = .*/shop-0005 = wording-llm 1* 2/' "$DIR/adapters.ini" \
    >"$DIR/adapters-5.ini"
printf '[retired]\nshop-0005 = 1\n' >"$DIR/retire-5.ini"

check_command "all sections of the first document" 0 "generation 1" \
    "$kcc" apply --all "$DIR" --author ana
check_command "one section" 0 "generation 2" \
    "$kcc" apply limits "$DIR/limits-a.ini" --author ana
check_command "conflict: the section changed after the base generation" 3 \
    "ana changed section limits" \
    "$kcc" apply limits "$DIR/limits-b.ini" --author ben --base 1
check_command "conflict: the other edit is printed" 3 "burst = 7" \
    "$kcc" apply limits "$DIR/limits-b.ini" --author ben --base 1
check_command "conflict: the section is unchanged" 0 "burst = 7" "$kcc" get limits
check_command "base is the latest generation of the section" 0 "generation 3" \
    "$kcc" apply limits "$DIR/limits-b.ini" --author ben --base 2
check_command "an edit that is not valid by itself" 1 "default version" \
    "$kcc" apply retirements "$DIR/retire-default.ini" --author ana
check_command "adapters edit that is valid by itself" 0 "generation 4" \
    "$kcc" apply adapters "$DIR/adapters-5.ini" --author ana
check_command "retirements edit that is not valid with that one" 1 "not valid" \
    "$kcc" apply retirements "$DIR/retire-5.ini" --author ben
set_knob lose_replies=1
check_command "the reply to the write is lost" 0 "accepted" \
    "$kcc" apply limits "$DIR/limits-a.ini" --author ana
check_command "the write with the lost reply was applied once" 0 "generation 5" \
    "$kcc" get limits
check_command "diff prints a difference" 1 "^+ burst = 9" \
    "$kcc" diff limits "$DIR/limits-b.ini"
check_command "diff of equal texts" 0 "" "$kcc" diff limits "$DIR/limits-a.ini"
set_knob outage=1
check_command "the object API is unavailable" 1 "unavailable" \
    "$kcc" apply limits "$DIR/limits-b.ini" --author ben
set_knob outage=0
check_command "status without any process" 1 "nothing is in force" \
    "$kcc" status
exit $exit_status
