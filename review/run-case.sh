#!/usr/bin/env bash
# Runs one case: run-case.sh CASE RECORD. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.."
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
template=$(sed -n 's/^template = "\(.*\)"$/\1/p' deploy/system.toml)
standins=target/review/review-standins
for it in "$program" "$standins"; do
  [ -x "$it" ] || { echo "$it is missing: build the system, then run review/build.sh" >&2; exit 2; }
done
dir=$(mktemp -d) || exit 2
end() {
  # Processes that the stand-ins could not end themselves, as when they were stopped early.
  while read -r pid; do
    grep -qzs "^POMELOHILL_SETTINGS=$dir/" "/proc/$pid/environ" && kill -9 "$pid"
  done < "$dir/pids"
  rm -rf "$dir"
}
trap end EXIT
touch "$dir/pids"
timeout 110 "$standins" "$1" "$program" "$template" "$dir" "$2" "${TROUBLE:-1}"
status=$?
case $status in 0 | 1 | 2) exit $status ;; *) exit 2 ;; esac
