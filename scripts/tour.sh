#!/usr/bin/env bash
# Shows foldlock at work on loopback: builds, starts stand-ins and three foldlockd as separate
# processes, sends requests through different VMs, prints the answers and why each ran where it did,
# and ends all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --bins --example standin --example load
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM

is_taken() { (: < "/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
free_base() { # a port from which on 30 are free
  local base port
  for base in $(seq 17100 40 19900 | shuf); do
    for port in $(seq "$base" $((base + 29))); do
      if is_taken "$port"; then continue 2; fi
    done
    echo "$base"
    return
  done
  echo "no 30 free ports between 17100 and 19930" >&2
  exit 1
}
base=$(free_base)
kv=127.0.0.1:$base
list=127.0.0.1:$((base + 1))
caller() { echo "127.0.0.1:$((base + 10 + $1))"; }
control() { echo "127.0.0.1:$((base + 20 + $1))"; }

wait_for() { # what, then a command that succeeds once it is there
  local what=$1
  shift
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.05
  done
  echo "waited in vain for $what; is a port from $base to $((base + 29)) in use?" >&2
  exit 1
}

cp -r examples/tour "$work/settings"
for i in 2 3 4 5 6; do
  sed -i "s/127\.0\.0\.1:710$i/127.0.0.1:$((base + i))/" "$work"/settings/*.jsonc
done
echo '{"memory": 40000, "speed": 10.0}' > "$work/engine.json"
vm() { echo "vm-$1=$(control "$1")@$2"; }
"$bin/examples/standin" all --first "$kv" --settings "$work/engine.json" --lag-ms 100 \
  --vm "$(vm 1 charguia)" --vm "$(vm 2 lac-deux)" --vm "$(vm 3 ariana)" > "$work/standin.log" 2>&1 &
pids+=($!)
wait_for "the stand-ins" grep -q serving "$work/standin.log"

halls=(charguia lac-deux ariana)
vms=()
for i in 1 2 3; do
  "$bin/foldlockd" --vm "vm-$i" --hall "${halls[$((i - 1))]}" --listen "$(caller "$i")" \
    --control "$(control "$i")" --kv "$kv" --vms "$list" --drain-ms 200 \
    > "$work/vm-$i.out" 2> "$work/vm-$i.log" &
  pids+=($!)
  vms+=(--vm "$(control "$i")")
done
for i in 1 2 3; do wait_for "vm-$i" grep -q listen "$work/vm-$i.out"; done

echo "== apply the settings in examples/tour"
"$bin/foldlock" check "$work/settings"
"$bin/foldlock" apply "$work/settings" --kv "$kv" --author tour "${vms[@]}"
"$bin/foldlock" status "${vms[@]}"

say() { # title, VM, then arguments for the request
  local title=$1 vm=$2
  shift 2
  echo
  echo "== $title, through vm-$vm"
  "$bin/examples/load" ask "$(caller "$vm")" --key tour-key --id "$@" > "$work/id"
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
