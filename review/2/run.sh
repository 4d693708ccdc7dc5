#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" stale-fleet "review/2"
