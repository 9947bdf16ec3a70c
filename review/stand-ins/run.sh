#!/bin/sh
# Usage: run.sh CASE PROGRAM. Runs the program of a case; if it is ended from outside, ends the processes that it started.
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
[ -x "target/review/$2" ] && [ -x target/release/leadrelay ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
export TMPDIR="$folder" PIDS="$folder/pids"
end() {
    kill -KILL "$program" 2>/dev/null
    [ -f "$PIDS" ] && while read -r pid; do [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null; done <"$PIDS"
    rm -rf "$folder"
    exit 2
}
trap end INT TERM HUP
"target/review/$2" "$root" "$root/review/$1" &
program=$!
wait "$program"
code=$?
case $code in 0 | 1 | 2) rm -rf "$folder"; exit $code ;; *) end ;; esac
