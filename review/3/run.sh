#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" left "$(cd "$(dirname "$0")" && pwd)"
