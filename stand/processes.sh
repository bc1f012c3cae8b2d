#!/usr/bin/env bash
# Starts the whole system as separate processes on loopback, calls it, kills an
# entry with SIGKILL, stops and continues an agent, and ends with the result
# line of "stand load". Ports from BASE (default 7000) on must be free.
# Usage: [BASE=PORT] stand/processes.sh [fraser|easement] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
firm=${1:-fraser} seconds=${2:-20} base=${BASE:-7000}
host=127.0.0.1
pool=ledger domains=3
if [ "$firm" = easement ]; then pool=easements domains=4; fi
dir=$(mktemp -d)
pids=()
cleanup() {
  kill -CONT "${pids[@]}" 2>/dev/null || true
  kill -TERM "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT
for program in stand entry agent cowslip; do go build -o "$dir/$program" "./$program"; done
run() { # NAME COMMAND...: leaves the process id in $!
  local name=$1
  shift
  "$@" 2>"$dir/$name.log" &
  pids+=($!)
}
ready() { # URL
  for _ in $(seq 100); do
    if curl -sf -o /dev/null "$1/livez"; then return; fi
    sleep 0.1
  done
  echo "$1 did not become ready within 10 s" >&2
  exit 1
}
store="http://$host:$base"
run platform "$dir/stand" platform --listen "$host:$base"
ready "$store"
entries=()
for i in 1 2 3; do
  run "entry$i" "$dir/entry" --id "e$i" --domain "d$i" --listen "$host:$((base + i))" --store "$store"
  entry_pid[i]=$!
  entries+=(--entry "http://$host:$((base + i))")
  ready "http://$host:$((base + i))"
done
for i in $(seq 11); do
  port=$((base + 100 + 10 * i))
  domain="d$(((i - 1) % domains + 1))"
  name=$(printf 'w%02d' "$i")
  run "worker$i" "$dir/stand" worker --id "$name" --firm "$firm" --store "$store" \
    --listen "$host:$((port + 2))" --agent "http://$host:$((port + 1))"
  run "agent$i" "$dir/agent" --id "$name" --pool "$pool" --domain "$domain" --rack "$domain-r1" \
    --listen "$host:$port" --local "$host:$((port + 1))" --worker "http://$host:$((port + 2))" "${entries[@]}"
  agent_pid[i]=$!
done
"$dir/cowslip" --entry "http://$host:$((base + 1))" publish "examples/$firm" >&2
sleep 6
echo "idle agents:" >&2
"$dir/stand" idle --for 10s --pid "${agent_pid[1]}" --pid "${agent_pid[2]}" >&2
"$dir/stand" load --firm "$firm" --judge "$store" --for "${seconds}s" "${entries[@]}" &
load=$!
sleep 4
echo "kill -KILL entry e2" >&2
kill -KILL "${entry_pid[2]}"
sleep 2
echo "kill -STOP, and after 4 s -CONT, the agent of w05" >&2
kill -STOP "${agent_pid[5]}"
sleep 4
kill -CONT "${agent_pid[5]}"
wait "$load"
