#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Build with review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
target/review/foreign review/4/record.txt &
pid=$!
trap 'pkill -KILL -P $pid; kill -KILL $pid; exit 2' INT TERM HUP
wait $pid
