#!/bin/sh
# Runs both example deployments on loopback: stand-ins for the platform, the
# engines and the plain services, and two entries and three agents in two
# regions.  Sends the main kinds of requests, prints the adapter and version
# that answered each, and the time line of one request.  BIN is the folder of
# the programs.  Exit status 1 if any answer was wrong.
set -u

cd "$(dirname "$0")/.." || exit 1
BIN=${BIN:-build/plain}
DIR=$(mktemp -d)
# A loopback host of this process alone, as it has its number.
HOST=127.$(($$ / 62500 % 60)).$(($$ / 250 % 250)).$(($$ % 250 + 1))
PIDS=""
FAILED=0

stop_all() {
    for pid in $PIDS; do kill "$pid" 2>/dev/null; done
    for pid in $PIDS; do wait "$pid" 2>/dev/null; done
    PIDS=""
}
trap 'stop_all; rm -rf "$DIR"' EXIT
trap 'exit 1' INT TERM

# start_process NAME COMMAND...: in the background, output to NAME.log
start_process() {
    log="$DIR/$1.log"
    shift
    "$@" >"$log" 2>&1 &
    PIDS="$PIDS $!"
}

record_failure() {
    echo "FAILED: $*"
    FAILED=1
}

# start_entry NAME DATACENTRE CALLERS_PORT ADMIN_PORT
start_entry() {
    cat >"$DIR/$1.ini" <<EOF
[process]
role = entry
name = $1
datacentre = $2
log_level = info
[listen]
callers = $HOST:$3
admin = $HOST:$4
[platform]
objects = $HOST:$OBJECTS
instances = $HOST:$INSTANCES
instances_poll_ms = 200
[lease]
confirm_spread_ms = 200
EOF
    start_process "$1" "$BIN/kccd" "$DIR/$1.ini"
}

# start_agent NAME DATACENTRE LINKS_PORT ADMIN_PORT BACKEND_PORT SERVICE
start_agent() {
    cat >"$DIR/$1.ini" <<EOF
[process]
role = agent
name = $1
datacentre = $2
[listen]
links = $HOST:$3
admin = $HOST:$4
[platform]
objects = $HOST:$OBJECTS
[lease]
confirm_spread_ms = 200
[backend]
address = $HOST:$5
service = $6
EOF
    start_process "$1" "$BIN/kccd" "$DIR/$1.ini"
}

# wait_until SECONDS COMMAND...: exit status 1 if it does not succeed in time
wait_until() {
    tries_left=$(($1 * 10))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries_left=$((tries_left - 1))
        [ "$tries_left" -le 0 ] && return 1
        sleep 0.1
    done
}

# answered_model HEADERS-FILE: prints the adapter and version that answered
answered_model() {
    sed -n 's/^X-Kcc-Model: *\([^\r]*\).*/\1/p' "$1"
}

# request_id_of HEADERS-FILE: prints the request's id
request_id_of() {
    sed -n 's/^X-Kcc-Request-Id: *\([^\r]*\).*/\1/p' "$1"
}

# call_model LABEL PORT PATH EXPECTED-MODEL BODY: checks that 8 tokens came
# from the expected model; a streamed answer also in at least 8 events
call_model() {
    curl -sN -D "$DIR/head" -o "$DIR/body" -H 'Content-Type: application/json' \
        -H 'X-Kcc-Customer: demo' "http://$HOST:$2$3" -d "$5"
    echo "$1"
    case "$5" in
    *'"stream":true'*)
        event_count=$(grep -c '^data: {' "$DIR/body")
        grep -q '^data: \[DONE\]' "$DIR/body" ||
            record_failure "$1: stream ended without [DONE]"
        echo "    streamed in $event_count events"
        [ "$event_count" -ge 8 ] ||
            record_failure "$1: expected at least 8 events, got $event_count"
        models=$(sed -n 's/.*"model":"\([^"]*\)".*/\1/p' "$DIR/body" | sort -u)
        ;;
    *) models=$(answered_model "$DIR/head") ;;
    esac
    echo "    answered by $models"
    [ "$models" = "$4" ] ||
        record_failure "$1: expected an answer by $4, got $models"
    token_count=$(grep -o "$4/" "$DIR/body" | wc -l)
    [ "$token_count" -eq 8 ] ||
        record_failure "$1: expected 8 tokens by $4, got $token_count"
    LAST_REQUEST_ID=$(request_id_of "$DIR/head")
}

# call_plain_service LABEL PORT PATH IDEMPOTENCY-KEY BODY EXPECTED-STATUS \
#     EXPECTED-TEXT
call_plain_service() {
    status=$(curl -s -o "$DIR/body" -w '%{http_code}' -H "Idempotency-Key: $4" \
        -H 'X-Kcc-Customer: demo' -H 'Content-Type: text/plain' \
        "http://$HOST:$2$3" -d "$5")
    echo "$1"
    echo "    $status $(cat "$DIR/body")"
    [ "$status" = "$6" ] || record_failure "$1: expected status $6, got $status"
    grep -q "$7" "$DIR/body" || record_failure "$1: expected $7 in the body"
}

# start_deployment NAME BASE-PORT DATACENTRE-A DATACENTRE-B MODEL-SERVICE PLAIN-SERVICE
start_deployment() {
    echo "== $1"
    OBJECTS=$2
    INSTANCES=$(($2 + 1))
    cat >"$DIR/instances.json" <<EOF
[{"name":"$1-entry-1","service":"kcc-entry","datacentre":"$3","address":"$HOST:$(($2 + 30))","state":"live"},
 {"name":"$1-entry-2","service":"kcc-entry","datacentre":"$4","address":"$HOST:$(($2 + 31))","state":"live"},
 {"name":"$5-1","service":"$5","datacentre":"$3","address":"$HOST:$(($2 + 20))","state":"live"},
 {"name":"$5-2","service":"$5","datacentre":"$4","address":"$HOST:$(($2 + 21))","state":"live"},
 {"name":"$6-1","service":"$6","datacentre":"$3","address":"$HOST:$(($2 + 22))","state":"live"}]
EOF
    start_process objects "$BIN/standin-objects" -l "$HOST:$OBJECTS"
    start_process instances "$BIN/standin-instances" -l "$HOST:$INSTANCES" \
        "$DIR/instances.json"
    start_process engine1 "$BIN/standin-engine" -l "$HOST:$(($2 + 10))" -s load_ms=250
    start_process engine2 "$BIN/standin-engine" -l "$HOST:$(($2 + 11))" -s load_ms=250
    start_process service "$BIN/standin-service" -l "$HOST:$(($2 + 12))"
    export KCC_OBJECTS="$HOST:$OBJECTS"
    wait_until 5 curl -s "http://$KCC_OBJECTS/standin/state" ||
        record_failure "the object API stand-in did not start"
    "$BIN/kcc" apply --all "examples/$1/document" --author demo ||
        record_failure "kcc apply"
    start_agent "$5-1" "$3" $(($2 + 20)) $(($2 + 50)) $(($2 + 10)) "$5"
    start_agent "$5-2" "$4" $(($2 + 21)) $(($2 + 51)) $(($2 + 11)) "$5"
    start_agent "$6-1" "$3" $(($2 + 22)) $(($2 + 52)) $(($2 + 12)) "$6"
    start_entry "$1-entry-1" "$3" $(($2 + 30)) $(($2 + 40))
    start_entry "$1-entry-2" "$4" $(($2 + 31)) $(($2 + 41))
    wait_until 15 is_document_in_force ||
        record_failure "the document did not come into force"
    "$BIN/kcc" status
}

# All five processes have confirmed the document.
is_document_in_force() {
    [ "$("$BIN/kcc" status | grep -c 'confirmed 2')" -eq 5 ] &&
        "$BIN/kcc" status
}

# show_request_and_stop REQUEST-ID: its time line, then ends the deployment
show_request_and_stop() {
    echo "Time line of one request"
    "$BIN/kcc" timeline --request "$1" ||
        record_failure "kcc timeline printed no events"
    echo "How that request was routed"
    "$BIN/kcc" explain --request "$1" ||
        record_failure "kcc explain printed no events"
    stop_all
}

start_deployment association 17100 seoul-a busan-a wording-llm printdesk
call_model "Wording check, whole" 17130 /v1/completions shop-0001@2 \
    '{"model":"shop-0001@2","prompt":"Check: net pay 2,100,000 won"}'
call_model "Wording check, streamed" 17131 /v1/chat/completions shop-0002@1 \
    '{"model":"shop-0002@1","stream":true,"messages":[{"role":"user","content":"Check the wording"}]}'
call_model "Year-end draft, default version" 17130 /v1/completions shop-0003@2 \
    '{"model":"shop-0003","prompt":"Draft a year-end tax note"}'
REQUEST_ID=$LAST_REQUEST_ID
call_plain_service "Print submission" 17130 /print/jobs job-77 "print 40 payslips" 200 accepted
call_plain_service "The same submission by the other entry" 17131 /print/jobs job-77 \
    "print 40 payslips" 409 '"earlier_call":"answered"'
show_request_and_stop "$REQUEST_ID"

start_deployment bombalerta 17200 lima-a arequipa-a alarm-llm alarm-api
call_model "Pump-fault summary, whole" 17230 /v1/completions installer-0042@2 \
    '{"model":"installer-0042","prompt":"Summarise: pump 3 float stuck"}'
call_model "Pump-fault summary, streamed" 17231 /v1/completions installer-2999@1 \
    '{"model":"installer-2999@1","stream":true,"prompt":"Summarise: cellar water rising"}'
call_plain_service "Silence" 17230 /alarm/silence silence-9 "silence pump 3" 200 accepted
call_plain_service "Dispatch" 17231 /alarm/dispatch dispatch-9 "send guard to pump 3" 200 accepted
call_plain_service "The same dispatch again" 17230 /alarm/dispatch dispatch-9 \
    "send guard to pump 3" 409 '"earlier_call":"answered"'
SERVICE_STATE=$(curl -s "http://$HOST:17212/standin/state")
echo "    state of the service: $SERVICE_STATE"
echo "$SERVICE_STATE" | grep -q '"executions":2' ||
    record_failure "expected 2 executions by the service"
call_model "Pump-fault summary, in the other region" 17231 /v1/completions \
    installer-0042@2 '{"model":"installer-0042@2","prompt":"Summarise: all quiet"}'
show_request_and_stop "$LAST_REQUEST_ID"

if [ "$FAILED" -ne 0 ]; then
    echo "demo: some answers were wrong"
    exit 1
fi
echo "demo: every answer was right"
