#!/bin/sh
# Operators who race each other, against the object API stand-in:
# check-apply.sh BUILD ROOT.  One TAP line per case.
BUILD=$1
ROOT=$2
DIR=$(mktemp -d)
PORT=24700
export KCC_OBJECTS=127.0.0.1:$PORT
number=0
failed=0

"$BUILD/standin-objects" -l "$KCC_OBJECTS" >/dev/null 2>&1 &
STANDIN=$!
trap 'kill "$STANDIN" 2>/dev/null; wait "$STANDIN" 2>/dev/null; rm -rf "$DIR"' EXIT
for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
    curl -s "http://$KCC_OBJECTS/standin/state" >/dev/null && break
    sleep 0.1
done

# expect NAME STATUS TEXT COMMAND...: exit status, and text in what is printed
expect() {
    name=$1
    wanted=$2
    text=$3
    shift 3
    number=$((number + 1))
    out=$("$@" 2>&1)
    status=$?
    if [ "$status" -eq "$wanted" ] &&
        { [ -z "$text" ] || printf "%s" "$out" | grep -q "$text"; }; then
        echo "ok $number $name"
    else
        echo "not ok $number $name: status $status: $out"
        failed=1
    fi
}

knob() {
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

expect "first document" 0 "generation 1" \
    "$kcc" apply --all "$DIR" --author ana
expect "one section" 0 "generation 2" \
    "$kcc" apply limits "$DIR/limits-a.ini" --author ana
expect "same section from an older base" 3 "ana changed section limits" \
    "$kcc" apply limits "$DIR/limits-b.ini" --author ben --base 1
expect "what the other edit was is shown" 3 "burst = 7" \
    "$kcc" apply limits "$DIR/limits-b.ini" --author ben --base 1
expect "nothing was applied" 0 "burst = 7" "$kcc" get limits
expect "from the newest base" 0 "generation 3" \
    "$kcc" apply limits "$DIR/limits-b.ini" --author ben --base 2
expect "invalid alone" 1 "default version" \
    "$kcc" apply retirements "$DIR/retire-default.ini" --author ana
expect "one team's edit, fine alone" 0 "generation 4" \
    "$kcc" apply adapters "$DIR/adapters-5.ini" --author ana
expect "another team's, fine alone, not together" 1 "not valid" \
    "$kcc" apply retirements "$DIR/retire-5.ini" --author ben
knob lose_replies=1
expect "reply lost after the write" 0 "accepted" \
    "$kcc" apply limits "$DIR/limits-a.ini" --author ana
expect "applied once" 0 "generation 5" "$kcc" get limits
expect "difference" 1 "^+ burst = 9" "$kcc" diff limits "$DIR/limits-b.ini"
expect "no difference" 0 "" "$kcc" diff limits "$DIR/limits-a.ini"
knob outage=1
expect "outage" 1 "unavailable" \
    "$kcc" apply limits "$DIR/limits-b.ini" --author ben
knob outage=0
expect "nothing in force without processes" 1 "nothing is in force" \
    "$kcc" status
exit $failed
