#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -f ../build/LongAnswers.class ] || { echo "could not run: review/build.sh has not been run"; exit 2; }
exec java -cp ../build LongAnswers
