#!/bin/sh
# Mutation test: plants each fault of mutants.txt in a copy of the sources, and
# runs the fuzzer with fixed seeds, then the unit tests, until one fails.  Exit
# status 1 if a fault is not caught, its text is not found or it does not
# compile.  ONLY=PATTERN selects lines of mutants.txt, JOBS is how many faults
# are tested at once, OPERATIONS how many operations the fuzzer runs per seed.
set -u
cd "$(dirname "$0")/../.." || exit 1
ROOT=$(pwd)
WORK=$(mktemp -d)
JOBS=${JOBS:-6}
OPERATIONS=${OPERATIONS:-40000}
trap 'rm -rf "$WORK"' EXIT

# list_skipped PROGRAM: the options that pass over its cases in KNOWN-RED.txt,
# which fail without any fault, one a line
list_skipped() {
    sed -n "s|^$(basename "$1") \(/[^:]*\):.*|-s\n\1|p" KNOWN-RED.txt
}

# test_fault NUMBER NAME FILE BEFORE AFTER: prints the result, and adds the file
# survived.NUMBER to $WORK unless the fault is caught
test_fault() {
    dir=$WORK/$1
    mkdir -p "$dir"
    (cd "$ROOT" && git ls-files -z --cached --others --exclude-standard \
        lib programs platform tests config.mk Makefile | xargs -0 cp --parents -t "$dir")
    BEFORE=$4 AFTER=$5 perl -0pi -e '
        BEGIN { $b = $ENV{BEFORE}; $a = $ENV{AFTER};
                $b =~ s/\\n/\n/g; $a =~ s/\\n/\n/g;
                $b = join "\\s*", map { quotemeta } ($b =~ /\w+|[^\w\s]/g); }
        $n += s/$b/$a/; END { exit($n ? 0 : 9) }' "$dir/$3" || {
        echo "NOT PLANTED $2"
        echo "$2" >"$WORK/survived.$1"
        return
    }
    if ! make -s -C "$dir" lib CFLAGS=-Wno-error >"$dir/log" 2>&1 ||
        ! make -s -C "$dir/tests" BUILD="$dir/build/plain" CFLAGS=-Wno-error \
            mutant-tests >>"$dir/log" 2>&1; then
        echo "NOT BUILT   $2"
        tail -3 "$dir/log"
        echo "$2" >"$WORK/survived.$1"
        return
    fi
    for seed in 1 2 3; do
        (cd "$dir" && timeout 120 build/plain/fuzz-seeds $seed \
            "$OPERATIONS" >fuzz.out 2>&1) || {
            echo "caught      $2: fuzzer, seed $seed: $(tail -1 "$dir/fuzz.out" |
                cut -c1-90)"
            rm -rf "$dir"
            return
        }
    done
    for test in "$dir"/build/plain/tests/*/test_*; do
        [ -x "$test" ] && [ -f "$test" ] || continue
        case $test in *.o | *.d) continue ;; esac
        list_skipped "$test" | tr '\n' '\0' |
            timeout 120 xargs -0 "$test" >"$dir/test.out" 2>&1 || {
            echo "caught      $2: $(basename "$test"): $(grep -a 'ERROR\|Assert' \
                "$dir/test.out" | head -1 | sed 's/.*: //' | cut -c1-90)"
            rm -rf "$dir"
            return
        }
    done
    echo "SURVIVED    $2"
    echo "$2" >"$WORK/survived.$1"
    rm -rf "$dir"
}

fault_number=0
grep -v '^#' tests/mutants/mutants.txt | grep -e "${ONLY:-.}" >"$WORK/list"
while IFS= read -r line; do
    fault_number=$((fault_number + 1))
    # "\|" is a bar in a text; a plain bar separates the fields.
    fields=$(printf '%s' "$line" | sed 's/\\|/\x01/g; s/\\&/\&/g')
    name=$(printf '%s' "$fields" | cut -d'|' -f1)
    file=$(printf '%s' "$fields" | cut -d'|' -f2)
    before=$(printf '%s' "$fields" | cut -d'|' -f3 | tr '\001' '|')
    after=$(printf '%s' "$fields" | cut -d'|' -f4 | tr '\001' '|')
    test_fault "$fault_number" "$name" "$file" "$before" "$after" &
    if [ $((fault_number % JOBS)) -eq 0 ]; then wait; fi
done <"$WORK/list"
wait
survived=$(ls "$WORK" | grep -c '^survived')
echo "mutants: $fault_number planted, $((fault_number - survived)) caught, $survived not caught"
[ "$survived" -eq 0 ]
