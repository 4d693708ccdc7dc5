#!/usr/bin/env bash
# Runs a case of the review: run-case.sh CASE FOLDER. Ends all processes that the case started, also when it is
# interrupted. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/.."
program=target/review/release/review-standins
if [ ! -x target/release/foldlockd ] || [ ! -x "$program" ]; then
  echo "not built: cargo build --release --locked --package foldlockd; review/build.sh" >&2
  exit 2
fi
work=$(mktemp -d)
export TMPDIR=$work REVIEW_PIDS=$work/pids
: > "$REVIEW_PIDS"
stop() {
  local pid
  for pid in "${child:-}" $(cat "$REVIEW_PIDS"); do
    case "$(readlink "/proc/$pid/exe" 2>/dev/null)" in
      "$PWD"/target/release/foldlockd* | "$PWD/$program"*) kill -KILL "$pid" 2>/dev/null ;;
    esac
  done
  if [ -z "${KEEP_LOGS:-}" ]; then rm -rf "$work"; fi
}
trap stop EXIT
trap 'exit 2' INT TERM
"$program" "$1" "$2" &
child=$!
wait "$child"
