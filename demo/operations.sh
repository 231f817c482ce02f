#!/usr/bin/env bash
# Runs the deployment of docs/OPERATIONS.md on loopback until SIGTERM or SIGINT:
# the log stand-in; entry-a, agent-1 and agent-2 in zone-1; entry-b, agent-3 and
# agent-4 in zone-2; and a target stand-in for each agent. DIR has the settings,
# keys, logs (NAME.log) and process ids (NAME.pid).
# usage: demo/operations.sh DIR [BASE-PORT]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin/azurerouter
mkdir -p "${1:?usage: demo/operations.sh DIR [BASE-PORT]}"
dir=$(cd "$1" && pwd)
base=${2:-27000}

cleanup() { # ends only the children of this shell; a suspended child handles SIGTERM only after SIGCONT
  for pid in $(jobs -p); do kill -CONT "$pid" 2>/dev/null && kill "$pid" 2>/dev/null || true; done
  wait
}
trap cleanup EXIT
trap 'exit 0' TERM INT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$bin" "$@" >>"$dir/$name.out" 2>>"$dir/$name.log" &
  echo $! >"$dir/$name.pid"
}

addr() { echo "127.0.0.1:$((base + $1))"; }
seeds="[\"$(addr 201)\", \"$(addr 202)\"]"

write() { # NAME ZONE ADMIN-PORT MEMBERS: writes the settings of a process
  cat >"$dir/$1.json" <<JSON
{
  "name": "$1", "zone": "zone-$2", "admin_addr": "$(addr "$3")", "seeds": $seeds,
  "keys": {"authority": "$dir/keys/authority.pem", "certificate": "$dir/keys/$1.pem", "key": "$dir/keys/$1-key.pem"},
  $4
}
JSON
}

[ -d "$dir/keys" ] || "$bin" keys -dir "$dir/keys" entry-a entry-b agent-1 agent-2 agent-3 agent-4 >/dev/null
start log standin log -listen "$(addr 300)"
for e in a:1 b:2; do
  name=entry-${e%:*} n=${e#*:}
  write "$name" "$n" "50$n" "\"http_addr\": \"$(addr "10$n")\", \"peer_addr\": \"$(addr "20$n")\", \"log_url\": \"http://$(addr 300)\""
  start "$name" entry -settings "$dir/$name.json"
done
for n in 1 2 3 4; do
  start "target-$n" standin target -listen "$(addr "40$n")"
  write "agent-$n" "$(((n + 1) / 2))" "60$n" "\"service\": \"card\", \"target_url\": \"http://$(addr "40$n")\", \"slots\": 8"
  start "agent-$n" agent -settings "$dir/agent-$n.json"
done
for _ in $(seq 50); do
  if curl -s -o /dev/null "http://$(addr 300)/control"; then break; fi
  sleep 0.1
done
cp -r examples/settings "$dir/settings"
"$bin" publish -log "http://$(addr 300)" "$dir/settings"
cat <<TEXT
status:  $bin status -admin $(addr 501),$(addr 502),$(addr 601),$(addr 602),$(addr 603),$(addr 604)
entries: http://$(addr 101) http://$(addr 102)
log:     http://$(addr 300)
targets: $(addr 401) $(addr 402) $(addr 403) $(addr 404)
start a process again (and end it yourself): $bin entry|agent -settings $dir/NAME.json
TEXT
while true; do sleep 1; done
