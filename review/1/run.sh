#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -d target/deps ] || { echo "target/deps is missing: run the build of the deploy file" >&2; exit 2; }
timeout --kill-after=5 110 python3 review/1/case.py &
case_process=$!
# A script that is ended ends the case, which ends its nodes.
trap 'kill -TERM "$case_process" 2>/dev/null' TERM INT HUP
wait "$case_process"
status=$?
while kill -0 "$case_process" 2>/dev/null; do
    wait "$case_process"
    status=$?
done
case $status in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
