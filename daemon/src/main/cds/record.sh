#!/usr/bin/env bash
# Runs the program once in each of its ways and leaves the class-data archives of both beside the jar.
# Called by the build, from the root, with the java to use.
set -eu
java=$1
options="-Xlog:disable -XX:+UseSerialGC -Djava.locale.providers=COMPAT"

# shellcheck disable=SC2086
"$java" -XX:ArchiveClassesAtExit=daemon/target/wheelroute.jsa $options -jar daemon/target/wheelroute.jar adapter \
    < daemon/src/main/cds/start.txt > daemon/target/cds.out

# The service is its own worker and its own discovery here: so a message's whole way is in the archive.
port=$((20000 + RANDOM % 20000))
sed "s/PORT/$port/g" daemon/src/main/cds/serve.json > daemon/target/serve.json
# With a door and a place to meet: a process that takes another's place has to start as fast as any.
mkdir -p daemon/target/meet
TMPDIR=$PWD/daemon/target/meet LB_CONFIG=daemon/target/serve.json \
    "$java" -XX:ArchiveClassesAtExit=daemon/target/serve.jsa $options \
    -jar daemon/target/wheelroute.jar serve 2> daemon/target/serve.out &
pid=$!
tries=0
until grep -q "listens on" daemon/target/serve.out; do
    tries=$((tries + 1))
    # It only costs the archive, and so some start-up time, if a slow machine is given up on.
    [ "$tries" -lt 100 ] && kill -0 "$pid" || break
    sleep 0.1
done
for message in "GET /healthz" "POST /render"; do
    # Whatever the answer: it is the way there that counts.
    { printf '%s HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout: 1\r\nX-Cost: 1000\r\nConnection: close\r\n' \
        "$message"; printf 'Content-Length: 2\r\n\r\nhi'; cat <&3 > daemon/target/cds.out; } \
        3<> "/dev/tcp/127.0.0.1/$port" >&3 || true
done
door=$(sed -n 's/.*operators call [^:]*:\([0-9]*\).*/\1/p' daemon/target/serve.out)
for call in READY STATS; do
    { printf '%s\n' "$call"; cat <&3 > daemon/target/cds.out; } 3<> "/dev/tcp/127.0.0.1/$door" >&3 || true
done
kill -HUP "$pid" || true
kill -TERM "$pid" || true
wait "$pid" || true
