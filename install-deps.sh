#!/bin/sh
# Installs the Debian packages that the build and the tests need and that are
# not installed yet.
set -e
PACKAGES="gcc make pkg-config curl clang clang-format clang-tidy cppcheck valgrind \
libevent-dev libevhtp-dev libhttp-parser-dev libmsgpack-dev libinih-dev liblog4c-dev \
libglib2.0-dev libjansson-dev libxxhash-dev uthash-dev libssl-dev \
libclang-rt-14-dev"
missing=""
for package in $PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
