#!/usr/bin/env bash
# Shows foldlock at work on loopback: builds, starts stand-ins and three foldlockd as separate
# processes, sends requests through different VMs, prints the answers and why each ran where it did,
# and ends all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --bins --example standin --example load
bin=target/release
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM

wait_for() { # what, then a command that succeeds once it is there
  local what=$1
  shift
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.05
  done
  echo "waited in vain for $what; is a port from 7100 to 7106 or 8101 to 8203 in use?" >&2
  exit 1
}

cp -r examples/tour "$work/settings"
echo '{"memory": 40000, "speed": 10.0}' > "$work/engine.json"
vm() { echo "vm-$1=127.0.0.1:820$1@$2"; }
"$bin/examples/standin" all --settings "$work/engine.json" --lag-ms 100 \
  --vm "$(vm 1 charguia)" --vm "$(vm 2 lac-deux)" --vm "$(vm 3 ariana)" > "$work/standin.log" 2>&1 &
pids+=($!)
wait_for "the stand-ins" grep -q serving "$work/standin.log"

halls=(charguia lac-deux ariana)
vms=()
for i in 1 2 3; do
  "$bin/foldlockd" --vm "vm-$i" --hall "${halls[$((i - 1))]}" --listen "127.0.0.1:810$i" \
    --control "127.0.0.1:820$i" --kv 127.0.0.1:7100 --vms 127.0.0.1:7101 --drain-ms 200 \
    > "$work/vm-$i.out" 2> "$work/vm-$i.log" &
  pids+=($!)
  vms+=(--vm "127.0.0.1:820$i")
done
for i in 1 2 3; do wait_for "vm-$i" grep -q listen "$work/vm-$i.out"; done

echo "== apply the settings in examples/tour"
"$bin/foldlock" check "$work/settings"
"$bin/foldlock" apply "$work/settings" --kv 127.0.0.1:7100 --author tour "${vms[@]}"
"$bin/foldlock" status "${vms[@]}"

say() { # title, VM, then arguments for the request
  local title=$1 vm=$2
  shift 2
  echo
  echo "== $title, through vm-$vm"
  "$bin/examples/load" ask "127.0.0.1:810$vm" --key tour-key --id "$@" > "$work/id"
  "$bin/foldlock" why "$(cat "$work/id")" "${vms[@]}"
}
say "a short prompt" 1 --kind hint --tokens 300
say "a long prompt" 2 --tokens 20000
say "a prompt longer than an engine" 3 --tokens 70000
say "a paid job, at most once" 1 --kind textbook --tokens 2000 --once book-1
sleep 0.3 # the end of the first is written a moment later
say "the same job again" 2 --kind textbook --tokens 2000 --once book-1
say "a plain call that counts" 3 --plain /registry/pulls --once pull-1
echo
echo "== done; stopping all"
