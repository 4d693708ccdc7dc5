#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" spoiled-event "review/2"
