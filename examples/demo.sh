#!/bin/sh
# Runs both example deployments on loopback: stand-ins for the platform, the
# engines and the plain services, two entries and the agents in two regions.
# Sends the main kinds of requests, prints each answer's adapter and version
# and the time line of one request.  Exit status 1 if any answer was wrong.
set -u

cd "$(dirname "$0")/.." || exit 1
BIN=${BIN:-build/plain}
DIR=$(mktemp -d)
PIDS=""
FAILED=0

stop_all() {
    for pid in $PIDS; do kill "$pid" 2>/dev/null; done
    for pid in $PIDS; do wait "$pid" 2>/dev/null; done
    PIDS=""
}
trap 'stop_all; rm -rf "$DIR"' EXIT
trap 'exit 1' INT TERM

start() { # LOG COMMAND...
    log="$DIR/$1.log"
    shift
    "$@" >"$log" 2>&1 &
    PIDS="$PIDS $!"
}

fail() {
    echo "WRONG: $*"
    FAILED=1
}

# entry_settings NAME DATACENTRE CALLERS_PORT ADMIN_PORT
entry_settings() {
    cat >"$DIR/$1.ini" <<EOF
[process]
role = entry
name = $1
datacentre = $2
log_level = info
[listen]
callers = 127.0.0.1:$3
admin = 127.0.0.1:$4
[platform]
objects = 127.0.0.1:$OBJECTS
instances = 127.0.0.1:$INSTANCES
instances_poll_ms = 200
[lease]
confirm_spread_ms = 200
EOF
    start "$1" "$BIN/kccd" "$DIR/$1.ini"
}

# agent_settings NAME DATACENTRE LINKS_PORT ADMIN_PORT BACKEND_PORT SERVICE
agent_settings() {
    cat >"$DIR/$1.ini" <<EOF
[process]
role = agent
name = $1
datacentre = $2
[listen]
links = 127.0.0.1:$3
admin = 127.0.0.1:$4
[platform]
objects = 127.0.0.1:$OBJECTS
[lease]
confirm_spread_ms = 200
[backend]
address = 127.0.0.1:$5
service = $6
EOF
    start "$1" "$BIN/kccd" "$DIR/$1.ini"
}

# wait_for SECONDS COMMAND...: until the command succeeds
wait_for() {
    tries=$(($1 * 10))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -le 0 ] && return 1
        sleep 0.1
    done
}

served_by() { # HEADERS-FILE: the answer's adapter and version
    sed -n 's/^X-Kcc-Model: *\([^\r]*\).*/\1/p' "$1"
}

request_of() {
    sed -n 's/^X-Kcc-Request-Id: *\([^\r]*\).*/\1/p' "$1"
}

# model_call LABEL PORT PATH WANTED BODY
model_call() {
    curl -sN -D "$DIR/head" -o "$DIR/body" -H 'Content-Type: application/json' \
        -H 'X-Kcc-Customer: demo' "http://127.0.0.1:$2$3" -d "$5"
    echo "$1"
    case "$5" in
    *'"stream":true'*)
        pieces=$(grep -c '^data: {' "$DIR/body")
        grep -q '^data: \[DONE\]' "$DIR/body" || fail "$1: cut"
        echo "    streamed in $pieces events"
        [ "$pieces" -ge 8 ] || fail "$1: only $pieces events"
        found=$(sed -n 's/.*"model":"\([^"]*\)".*/\1/p' "$DIR/body" | sort -u)
        ;;
    *) found=$(served_by "$DIR/head") ;;
    esac
    echo "    answered by $found"
    [ "$found" = "$4" ] || fail "$1: wanted $4, got $found"
    count=$(grep -o "$4/" "$DIR/body" | wc -l)
    [ "$count" -eq 8 ] || fail "$1: $count of 8 tokens by $4"
    LAST_REQUEST=$(request_of "$DIR/head")
}

# plain_call LABEL PORT PATH KEY BODY WANTED-STATUS WANTED-TEXT
plain_call() {
    status=$(curl -s -o "$DIR/body" -w '%{http_code}' -H "Idempotency-Key: $4" \
        -H 'X-Kcc-Customer: demo' -H 'Content-Type: text/plain' \
        "http://127.0.0.1:$2$3" -d "$5")
    echo "$1"
    echo "    $status $(cat "$DIR/body")"
    [ "$status" = "$6" ] || fail "$1: wanted status $6"
    grep -q "$7" "$DIR/body" || fail "$1: wanted $7"
}

# deployment NAME BASE-PORT DATACENTRE-A DATACENTRE-B MODEL-SERVICE PLAIN-SERVICE
deployment() {
    echo "== $1"
    OBJECTS=$2
    INSTANCES=$(($2 + 1))
    cat >"$DIR/instances.json" <<EOF
[{"name":"$1-entry-1","service":"kcc-entry","datacentre":"$3","address":"127.0.0.1:$(($2 + 30))","state":"live"},
 {"name":"$1-entry-2","service":"kcc-entry","datacentre":"$4","address":"127.0.0.1:$(($2 + 31))","state":"live"},
 {"name":"$5-1","service":"$5","datacentre":"$3","address":"127.0.0.1:$(($2 + 20))","state":"live"},
 {"name":"$5-2","service":"$5","datacentre":"$4","address":"127.0.0.1:$(($2 + 21))","state":"live"},
 {"name":"$6-1","service":"$6","datacentre":"$3","address":"127.0.0.1:$(($2 + 22))","state":"live"}]
EOF
    start objects "$BIN/standin-objects" -l 127.0.0.1:"$OBJECTS"
    start instances "$BIN/standin-instances" -l 127.0.0.1:"$INSTANCES" \
        "$DIR/instances.json"
    start engine1 "$BIN/standin-engine" -l 127.0.0.1:$(($2 + 10)) -s load_ms=250
    start engine2 "$BIN/standin-engine" -l 127.0.0.1:$(($2 + 11)) -s load_ms=250
    start service "$BIN/standin-service" -l 127.0.0.1:$(($2 + 12))
    export KCC_OBJECTS=127.0.0.1:$OBJECTS
    wait_for 5 curl -s "http://$KCC_OBJECTS/standin/state" ||
        fail "the object API stand-in does not start"
    "$BIN/kcc" apply --all "examples/$1/document" --author demo || fail apply
    agent_settings "$5-1" "$3" $(($2 + 20)) $(($2 + 50)) $(($2 + 10)) "$5"
    agent_settings "$5-2" "$4" $(($2 + 21)) $(($2 + 51)) $(($2 + 11)) "$5"
    agent_settings "$6-1" "$3" $(($2 + 22)) $(($2 + 52)) $(($2 + 12)) "$6"
    entry_settings "$1-entry-1" "$3" $(($2 + 30)) $(($2 + 40))
    entry_settings "$1-entry-2" "$4" $(($2 + 31)) $(($2 + 41))
    wait_for 15 in_force || fail "the document did not come into force"
    "$BIN/kcc" status
}

in_force() {
    [ "$("$BIN/kcc" status | grep -c 'confirmed 2')" -eq 5 ] &&
        "$BIN/kcc" status
}

finish_deployment() { # REQUEST
    echo "Time line of one request"
    "$BIN/kcc" timeline --request "$1" || fail "no time line"
    echo "Why it went where it went"
    "$BIN/kcc" explain --request "$1" || fail "no explanation"
    stop_all
}

deployment association 17100 seoul-a busan-a wording-llm printdesk
model_call "Wording check, whole" 17130 /v1/completions shop-0001@2 \
    '{"model":"shop-0001@2","prompt":"Check: net pay 2,100,000 won"}'
model_call "Wording check, streamed" 17131 /v1/chat/completions shop-0002@1 \
    '{"model":"shop-0002@1","stream":true,"messages":[{"role":"user","content":"Check the wording"}]}'
model_call "Year-end draft, default version" 17130 /v1/completions shop-0003@2 \
    '{"model":"shop-0003","prompt":"Draft a year-end tax note"}'
REQUEST=$LAST_REQUEST
plain_call "Print submission" 17130 /print/jobs job-77 "print 40 payslips" 200 accepted
plain_call "The same submission by the other entry" 17131 /print/jobs job-77 \
    "print 40 payslips" 409 '"earlier_call":"answered"'
finish_deployment "$REQUEST"

deployment bombalerta 17200 lima-a arequipa-a alarm-llm alarm-api
model_call "Pump-fault summary, whole" 17230 /v1/completions installer-0042@2 \
    '{"model":"installer-0042","prompt":"Summarise: pump 3 float stuck"}'
model_call "Pump-fault summary, streamed" 17231 /v1/completions installer-2999@1 \
    '{"model":"installer-2999@1","stream":true,"prompt":"Summarise: cellar water rising"}'
plain_call "Silence" 17230 /alarm/silence silence-9 "silence pump 3" 200 accepted
plain_call "Dispatch" 17231 /alarm/dispatch dispatch-9 "send guard to pump 3" 200 accepted
plain_call "The same dispatch again" 17230 /alarm/dispatch dispatch-9 \
    "send guard to pump 3" 409 '"earlier_call":"answered"'
EXECUTIONS=$(curl -s http://127.0.0.1:17212/standin/state)
echo "    the service executed: $EXECUTIONS"
echo "$EXECUTIONS" | grep -q '"executions":2' || fail "not two executions"
model_call "Pump-fault summary, in the other region" 17231 /v1/completions \
    installer-0042@2 '{"model":"installer-0042@2","prompt":"Summarise: all quiet"}'
finish_deployment "$LAST_REQUEST"

if [ "$FAILED" -ne 0 ]; then
    echo "demo: some answers were wrong"
    exit 1
fi
echo "demo: every answer was right"
