#!/bin/sh
# Checks docs/ and examples/ against the programs, and that the programs report
# errors: check-docs.sh BUILD ROOT.  Prints one TAP line per check.
BUILD=$1
ROOT=$2
check_number=0
exit_status=0

# check NAME COMMAND...: passes when the command succeeds
check() {
    name=$1
    shift
    check_number=$((check_number + 1))
    if "$@" >/dev/null 2>&1; then
        echo "ok $check_number $name"
    else
        echo "not ok $check_number $name"
        exit_status=1
    fi
}

# Each line of the settings reference is in docs/SETTINGS.md, in order.
settings_page_is_current() {
    "$BUILD/kccd" --reference | diff - "$ROOT/docs/SETTINGS.md" | grep -q '^<' &&
        return 1
    return 0
}

# Each line of the capacity table is in docs/CAPACITY.md.
capacity_page_is_current() {
    "$BUILD/kcc" capacity "$ROOT/docs/capacity.ini" | while IFS= read -r line; do
        grep -qxF "$line" "$ROOT/docs/CAPACITY.md" || exit 1
    done
}

capacity_depends_on_slopes() {
    slope_file=$(mktemp)
    sed 's/^entry_ns_per_token = .*/entry_ns_per_token = 1/' \
        "$ROOT/docs/capacity.ini" >"$slope_file"
    changed_table=$("$BUILD/kcc" capacity "$slope_file")
    rm -f "$slope_file"
    [ "$changed_table" != "$("$BUILD/kcc" capacity "$ROOT/docs/capacity.ini")" ]
}

# fails_with_message COMMAND...: exit status 1 to 3 and some output
fails_with_message() {
    message=$("$@" 2>&1)
    status=$?
    [ "$status" -ne 0 ] && [ "$status" -lt 4 ] && [ -n "$message" ]
}

# Each command that kcc --help lists is shown on a page of docs/.
every_command_is_documented() {
    "$BUILD/kcc" --help | sed -n '/^Commands:/,/^$/s/^  \([a-z]*\) .*/\1/p' |
        while read -r command; do
            grep -qE "kcc( -o OBJECTS)? $command" "$ROOT"/docs/*.md || exit 1
        done
}

# Each counter that docs/OPERATIONS.md names is in the sources.
every_counter_is_defined() {
    grep -oh 'kcc_[a-z_]*_total' "$ROOT/docs/OPERATIONS.md" | sort -u |
        while read -r counter; do
            # The counter of dropped log lines is written by admin_http.c, those
            # of customers by gateway_quotas.c.
            grep -q "\"$counter\"" "$ROOT/lib/process/counters.c" \
                "$ROOT/programs/process/gateway_quotas.c" ||
                grep -q "# TYPE $counter counter" \
                    "$ROOT/programs/process/admin_http.c" || exit 1
        done
}

check "docs/SETTINGS.md lists all settings" settings_page_is_current
check "docs/CAPACITY.md has the table of docs/capacity.ini" capacity_page_is_current
check "kcc capacity depends on the slopes" capacity_depends_on_slopes
check "every command is documented" every_command_is_documented
check "every documented counter exists" every_counter_is_defined
check "example association is valid" "$BUILD/kcc" check "$ROOT/examples/association/document"
check "example bombalerta is valid" "$BUILD/kcc" check "$ROOT/examples/bombalerta/document"
check "kcc rejects an unknown command" fails_with_message "$BUILD/kcc" frobnicate
check "kccd reports a missing settings file" \
    fails_with_message "$BUILD/kccd" /nonexistent.ini
check "kcc check reports a missing directory" \
    fails_with_message "$BUILD/kcc" check /nonexistent
check "kcc status reports an unreachable object API" \
    fails_with_message "$BUILD/kcc" -o 127.0.0.1:9 status
exit $exit_status
