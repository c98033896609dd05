#!/usr/bin/env bash
# Takes the measurements behind docs/CAPACITY.md: measure_capacity.sh FOLDER [PART...]. Writes
# FOLDER/PART.jsonl for each part, one JSON object per line, and prints the linear fits of each. Without
# PART it runs all parts. The environment variable SEED (default 1) sets the seed. The part "processes"
# starts a deployment on loopback ports from 24000 on.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$root/build
folder=$1
shift
mkdir -p "$folder"
seed=${SEED:-1}
work=$(mktemp -d "$folder/work.XXXXXX")
trap 'rm -rf "$work"' EXIT

run_membership() {  # members of one data centre; measures the last member
  local load=$1
  for members in 65 130 260 520; do
    "$build/capacity_membership_benchmark" record "$members" "$load" "$work/datagrams" "$seed"
    "$build/capacity_membership_benchmark" replay "$work/datagrams"
    rm "$work/datagrams"
  done
}

run_services() {  # services in each other data centre, with 260 members
  for services in 2 5 10 35 70 140; do
    "$build/capacity_membership_benchmark" record 260 "$services" "$work/datagrams" "$seed"
    "$build/capacity_membership_benchmark" replay "$work/datagrams"
    rm "$work/datagrams"
  done
}

run_configuration() {
  for services in 10 35 70 140; do
    "$build/capacity_configuration_benchmark" "$services" "$seed"
  done
}

run_log() {
  for batch in 1 4 16 64 256; do
    "$build/capacity_log_benchmark" "$batch" "$work/log-$batch" "$seed"
  done
}

run_ledger() {
  for records in 10000 100000 300000 1000000; do
    "$build/capacity_ledger_benchmark" "$records" "$work/ledger-$records" "$seed"
    rm -r "$work/ledger-$records"
  done
}

run_failure() {
  for members in 65 130 260 520; do
    "$build/capacity_failure_benchmark" "$members" "$seed"
  done
}

run_distribution() {
  "$build/distribution_benchmark" "$seed"
}

print_figure() {
  printf '{"name":"%s","value":%s,"unit":"%s","n":1,"seed":%s}\n' "$1" "$2" "$3" "$seed"
}

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk -v page="$(getconf PAGESIZE)" '{print $2 * page}' "/proc/$1/statm"; }
peer_bytes() {  # PORT DIRECTION; the sum over all channels
  curl -s "http://127.0.0.1:$1/metrics" |
    awk -v direction="direction=\"$2\"" '/^endivecleat_peer_bytes/ && index($0, direction) {sum += $2} END {print sum + 0}'
}

# Measures idle processes of the example deployment: 5 control instances, 13 daemons with one target
# each.
run_processes() {
  local deployment=$work/deployment seconds=60
  "$root/scripts/make_deployment.sh" recogida "$deployment" 24000
  (cd "$deployment" && "$root/scripts/run_deployment.sh" start .) >&2
  trap '(cd "$work/deployment" && "$root/scripts/run_deployment.sh" stop .) >&2; rm -rf "$work"' EXIT
  sleep 10
  (cd "$deployment" && "$build/endivecleat" submit --settings client.json "$root/apps/recogida/configuration.json") >&2
  sleep 10
  local names="control-cant-a1 control-cant-a2 control-cant-b control-ebro-a control-ebro-b portal-ayto-1 portal-ayto-6"
  declare -A cpu sent received port
  for name in $names; do
    port[$name]=$(awk -v name="$name" '$2 == name {print $1 == "control" ? $6 : $8}' "$deployment/processes")
    cpu[$name]=$(ticks "$(cat "$deployment/$name.pid")")
    sent[$name]=$(peer_bytes "${port[$name]}" sent)
    received[$name]=$(peer_bytes "${port[$name]}" received)
  done
  sleep "$seconds"
  for name in $names; do
    local pid
    pid=$(cat "$deployment/$name.pid")
    print_figure "process/$name/resident" "$(resident "$pid")" bytes
    print_figure "process/$name/idle_processor" \
      "$(awk -v used=$(($(ticks "$pid") - ${cpu[$name]})) -v s=$seconds -v hz="$(getconf CLK_TCK)" 'BEGIN {print used / hz / s * 1e6}')" us/s
    for direction in sent received; do
      local -n before=$direction
      print_figure "process/$name/idle_$direction" \
        "$(awk -v b="${before[$name]}" -v a="$(peer_bytes "${port[$name]}" $direction)" -v s=$seconds 'BEGIN {print (a - b) / s}')" bytes/s
    done
  done
  (cd "$deployment" && "$root/scripts/run_deployment.sh" stop .) >&2
  trap 'rm -rf "$work"' EXIT
}

[ $# -gt 0 ] || set -- configuration log ledger members summaries services failure distribution processes
for part in "$@"; do
  case $part in
    members | summaries) run_membership "$part" > "$folder/$part.jsonl" ;;
    *) "run_$part" > "$folder/$part.jsonl" ;;
  esac
  awk -f "$root/scripts/fit_line.awk" "$folder/$part.jsonl"
done
