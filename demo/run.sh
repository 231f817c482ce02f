#!/usr/bin/env bash
# Runs a whole deployment on loopback in separate processes: the log stand-in, two
# entries, three target stand-ins with their agents. Publishes the example
# settings, sends a job through each entry and resubmits each through the other,
# and prints how often the targets started each task. Stops all its processes.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin/azurerouter
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$bin" "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
}

await() { # ADMIN-ADDRESS: waits until the process is ready, 10 s at most
  for _ in $(seq 100); do
    if "$bin" ready "$1" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "process at $1 is not ready; its log:" >&2
  cat "$dir"/*.log >&2
  exit 1
}

"$bin" keys -dir "$dir/keys" entry-a entry-b agent-1 agent-2 agent-3 >/dev/null
start log standin log -listen 127.0.0.1:9300
for n in 1 2 3; do start "target-$n" standin target -listen "127.0.0.1:940$n"; done

for e in a:1 b:2; do
  name=entry-${e%:*} n=${e#*:}
  cat >"$dir/$name.json" <<JSON
{
  "name": "$name", "zone": "zone-$n",
  "http_addr": "127.0.0.1:910$n", "peer_addr": "127.0.0.1:920$n", "admin_addr": "127.0.0.1:950$n",
  "log_url": "http://127.0.0.1:9300", "seeds": ["127.0.0.1:9201", "127.0.0.1:9202"],
  "keys": {"authority": "$dir/keys/authority.pem", "certificate": "$dir/keys/$name.pem", "key": "$dir/keys/$name-key.pem"}
}
JSON
  start "$name" entry -settings "$dir/$name.json"
done
for n in 1 2 3; do
  cat >"$dir/agent-$n.json" <<JSON
{
  "name": "agent-$n", "zone": "zone-$n", "admin_addr": "127.0.0.1:960$n",
  "seeds": ["127.0.0.1:9201", "127.0.0.1:9202"], "service": "card",
  "target_url": "http://127.0.0.1:940$n", "slots": 8,
  "keys": {"authority": "$dir/keys/authority.pem", "certificate": "$dir/keys/agent-$n.pem", "key": "$dir/keys/agent-$n-key.pem"}
}
JSON
  start "agent-$n" agent -settings "$dir/agent-$n.json"
done

cp -r examples/settings "$dir/settings" # a copy, because publish writes the published versions to the folder
"$bin" publish -log http://127.0.0.1:9300 "$dir/settings"
await 127.0.0.1:9501
await 127.0.0.1:9502
for n in 1 2 3; do await "127.0.0.1:960$n"; done
sleep 1 # agents receive the address of the second entry from the first

now=$(date -u +%Y-%m-%dT%H:%M:%SZ)
job() { # KEY
  printf '{"service":"card","team":"flores-shop","key":"%s","submitted_at":"%s","deadline_ms":10000,"tasks":[' "$1" "$now"
  for i in $(seq 0 19); do
    [ "$i" -eq 0 ] || printf ','
    printf '{"sleep_ms":%d,"output":"proof %s/%d"}' $((50 + i * 10)) "$1" "$i"
  done
  printf ']}'
}
job order-1 >"$dir/order-1.json"
job order-2 >"$dir/order-2.json"
echo "-- job order-1 through entry-a, job order-2 through entry-b"
"$bin" submit -entry http://127.0.0.1:9101 -file "$dir/order-1.json" | cut -c1-160
"$bin" submit -entry http://127.0.0.1:9102 -file "$dir/order-2.json" | cut -c1-160
echo "-- each resubmitted through the other entry"
"$bin" submit -entry http://127.0.0.1:9102 -file "$dir/order-1.json" | cut -c1-160
"$bin" submit -entry http://127.0.0.1:9101 -file "$dir/order-2.json" | cut -c1-160
echo "-- task starts recorded by the targets (tasks started, and starts of the task started most often)"
"$bin" starts 127.0.0.1:9401 127.0.0.1:9402 127.0.0.1:9403
echo "-- state of the processes"
"$bin" status -admin 127.0.0.1:9501,127.0.0.1:9502,127.0.0.1:9601,127.0.0.1:9602,127.0.0.1:9603
