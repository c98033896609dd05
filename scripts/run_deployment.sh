#!/usr/bin/env bash
# Starts or stops the processes of a deployment folder that make_deployment.sh wrote:
# run_deployment.sh start|stop FOLDER. FOLDER/NAME.pid holds the pid of a control instance or daemon,
# FOLDER/NAME.target.pid that of a target.
set -euo pipefail
action=$1 folder=$2
build=$(cd "$(dirname "$0")/.." && pwd)/build

launch() {
  local name=$1
  shift
  "$@" > "$folder/$name.out" 2>&1 &
  echo $! > "$folder/$name.pid"
}

start_control() {
  "$build/endivecleat" init --settings "$folder/$1.json" > /dev/null
  launch "$1" "$build/endivecleat" control --settings "$folder/$1.json"
}

start_target() {
  local instance=$1 service=$2 local_port=$3 target_port=$4
  launch "$instance" "$build/endivecleat" daemon --settings "$folder/$instance.json"
  launch "$instance.target" "$build/standin-target" --listen "127.0.0.1:$target_port" \
    --daemon "127.0.0.1:$local_port" --service "$service" --target "$instance" \
    --token-file "$folder/announce.token" --journal "$folder/$instance.journal" \
    --requests "$folder/$instance.requests" --slots "${TARGET_SLOTS:-9}" \
    --service-time "${SERVICE_TIME_US:-1000}" --linger "${TARGET_LINGER_MS:-2000}"
}

if [ "$action" = start ]; then
  while read -r kind instance _ _ service _ _ third fourth; do
    if [ "$kind" = control ]; then
      start_control "$instance"
    else
      start_target "$instance" "$service" "$third" "$fourth"
    fi
  done < "$folder/processes"
else
  for file in "$folder"/*.pid; do
    kill -TERM "$(cat "$file")" 2> /dev/null || true
  done
  for file in "$folder"/*.pid; do
    for _ in $(seq 150); do
      kill -0 "$(cat "$file")" 2> /dev/null || break
      sleep 0.1
    done
    kill -KILL "$(cat "$file")" 2> /dev/null || true
    rm -f "$file"  # the kernel may reuse the pid
  done
fi
