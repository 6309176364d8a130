#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/kccd ] && [ -x "review/build/case-$(basename "$folder")" ] || exit 2
exec "review/build/case-$(basename "$folder")" "review/$(basename "$folder")"
