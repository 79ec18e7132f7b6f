#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves out the disruption.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
classes=$root/review/stand-ins-2/target/classes
if [ ! -f "$classes/ReloadsInSuccession.class" ] || [ ! -f "$root/daemon/target/wheelroute.jar" ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build-2.sh" >&2
    exit 2
fi
cd "$root" && exec java -Xmx512m -cp "$classes" ReloadsInSuccession "$root" "$folder"
