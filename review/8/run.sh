#!/bin/sh
# Runs the case; the exit code is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program="$root/target/review-2/memory_limit"
[ -x "$program" ] || { echo "review/build-2.sh has not been run"; exit 2; }
exec "$program" "$root" "$folder"
