#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts into review/build.
set -e
cd "$(dirname "$0")/.."
build=$PWD/review/build
mkdir -p "$build"
make -j4 BUILD="$build" programs
make -j4 -C tests BUILD="$build" "$build/standin-store"
flags="-std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror -O2 -g"
${CC:-gcc} $flags review/common/worker.c -o "$build/review-worker" -lpthread
for source in review/[1-5]/case.c; do
    number=$(basename "$(dirname "$source")")
    ${CC:-gcc} $flags "$source" review/common/harness.c \
        -o "$build/case-$number" -lpthread
done
