#!/usr/bin/env bash
# Runs one case of the second review: run-case-2.sh CASE RECORD. Exit status: 0 the rule held, 1 it was broken, 2 the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
record=$2
: > "$record" || exit 2
cd "$(dirname "$0")/.." || exit 2
for it in target/release/pomelohill-mesh target/review-2/standin-2; do
  if [ ! -x "$it" ]; then
    echo "$it is missing: build the system, then run review/build-2.sh" | tee -a "$record" >&2
    exit 2
  fi
done
dir=$(mktemp -d) || exit 2
# The case has a process group of its own, so that all that it started can be ended.
set -m
TMPDIR=$dir timeout 115 target/review-2/standin-2 "$1" --record "$record" &
case=$!
trap 'kill -KILL -- -$case 2>/dev/null; rm -rf "$dir"' EXIT
trap 'exit 2' INT TERM HUP
wait $case
status=$?
case $status in 0 | 1 | 2) exit $status ;; *) exit 2 ;; esac
