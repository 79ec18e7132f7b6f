#!/usr/bin/env bash
# Builds the stand-ins of all cases with the JDK alone, into review/build. The dispatcher itself is built
# by the line `build` of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:-options --release 17 -d build lib/*.java [1-9]/*.java
