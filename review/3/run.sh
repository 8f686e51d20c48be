#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1} exec "$here/../run-case.sh" left "$here/record.txt"
