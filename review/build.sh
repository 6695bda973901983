#!/bin/bash
# Builds the stand-ins and the drivers of the scripts below build/review/.
# The daemon is the one that the deploy file's command builds in target/.
set -eu
cd "$(dirname "$0")/.."
make -j8 deploy BUILD=target
make -j8 build/review/standin-site build/review/libazurewind.a \
  build/review/tests/relay_site.o build/review/tests/process.o BUILD=build/review
ln -sf ../../target/azurewind-sessiond build/review/azurewind-sessiond
packages="talloc tevent libzmq popt log4c libmicrohttpd jansson libcurl libpq sqlite3 libsodium msgpack zlib"
for main in review/[1-5]/case.c; do
  [ -e "$main" ] || continue
  n=$(basename "$(dirname "$main")")
  gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -I. $(pkg-config --cflags $packages) \
    -o "build/review/case-$n" "$main" review/lib/*.c build/review/tests/relay_site.o \
    build/review/tests/process.o build/review/libazurewind.a \
    $(pkg-config --libs $packages) -lstdc++ -lm -lpthread
done
