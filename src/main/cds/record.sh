#!/bin/sh
# Runs the program once in each of its ways and leaves the class-data archives of both beside the jar.
# Called by the build, from the root, with the java to use.
set -eu
java=$1
options="-Xlog:disable -XX:+UseSerialGC"

# shellcheck disable=SC2086
"$java" -XX:ArchiveClassesAtExit=target/wheelroute.jsa $options -jar target/wheelroute.jar adapter \
    < src/main/cds/start.txt > target/cds.out

LB_CONFIG=src/main/cds/serve.json "$java" -XX:ArchiveClassesAtExit=target/serve.jsa $options \
    -jar target/wheelroute.jar serve 2> target/serve.out &
pid=$!
tries=0
until grep -q "listens on" target/serve.out; do
    tries=$((tries + 1))
    # It only costs the archive, and so some start-up time, if a slow machine is given up on.
    [ "$tries" -lt 100 ] && kill -0 "$pid" || break
    sleep 0.1
done
kill -TERM "$pid" || true
wait "$pid" || true
