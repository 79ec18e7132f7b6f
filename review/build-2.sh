#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into review/stand-ins-2/target. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
out=stand-ins-2/target/classes
rm -rf "$out"
mkdir -p "$out"
shopt -s nullglob
javac -encoding UTF-8 -proc:none -d "$out" stand-ins-2/src/rig/*.java {6,7,8,9,10}/src/*.java
