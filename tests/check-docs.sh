#!/bin/sh
# Checks that the pages say what the programs say: check-docs.sh BUILD ROOT
# One TAP line per check.
BUILD=$1
ROOT=$2
number=0
failed=0

check() { # NAME COMMAND...
    name=$1
    shift
    number=$((number + 1))
    if "$@" >/dev/null 2>&1; then
        echo "ok $number $name"
    else
        echo "not ok $number $name"
        failed=1
    fi
}

settings_page() {
    "$BUILD/kccd" --reference | diff - "$ROOT/docs/SETTINGS.md" | grep -q '^<' &&
        return 1
    return 0
}

capacity_page() {
    "$BUILD/kcc" capacity "$ROOT/docs/capacity.ini" | while IFS= read -r line; do
        grep -qxF "$line" "$ROOT/docs/CAPACITY.md" || exit 1
    done
}

capacity_follows_slopes() {
    file=$(mktemp)
    sed 's/^entry_ns_per_token = .*/entry_ns_per_token = 1/' \
        "$ROOT/docs/capacity.ini" >"$file"
    changed=$("$BUILD/kcc" capacity "$file")
    rm -f "$file"
    [ "$changed" != "$("$BUILD/kcc" capacity "$ROOT/docs/capacity.ini")" ]
}

refuses() { # COMMAND...: exit status 1 or 2, and a message
    message=$("$@" 2>&1)
    status=$?
    [ "$status" -ne 0 ] && [ "$status" -lt 4 ] && [ -n "$message" ]
}

every_command_documented() {
    "$BUILD/kcc" --help | sed -n '/^Commands:/,/^$/s/^  \([a-z]*\) .*/\1/p' |
        while read -r command; do
            grep -qE "kcc( -o OBJECTS)? $command" "$ROOT"/docs/*.md || exit 1
        done
}

every_counter_defined() {
    grep -oh 'kcc_[a-z_]*_total' "$ROOT/docs/OPERATIONS.md" | sort -u |
        while read -r counter; do
            # The log's own counter is beside the page that shows it.
            grep -q "\"$counter\"" "$ROOT/lib/process/counters.c" ||
                grep -q "# TYPE $counter counter" \
                    "$ROOT/programs/process/admin_http.c" || exit 1
        done
}

check "settings page" settings_page
check "capacity page" capacity_page
check "capacity follows its slopes" capacity_follows_slopes
check "every command documented" every_command_documented
check "every counter defined" every_counter_defined
check "example association" "$BUILD/kcc" check "$ROOT/examples/association/document"
check "example bombalerta" "$BUILD/kcc" check "$ROOT/examples/bombalerta/document"
check "unknown command" refuses "$BUILD/kcc" frobnicate
check "missing settings" refuses "$BUILD/kccd" /nonexistent.ini
check "missing directory" refuses "$BUILD/kcc" check /nonexistent
check "no object API" refuses "$BUILD/kcc" -o 127.0.0.1:9 status
exit $failed
