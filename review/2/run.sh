#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" refused "$(cd "$(dirname "$0")" && pwd)"
