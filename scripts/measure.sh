#!/usr/bin/env bash
# Runs the benchmarks and the measurements of real processes on loopback, and prints one JSON object
# per line: measure.sh [benchmarks] [calls] [throughput] [once] [change]; without arguments, all of
# them. Environment, with defaults: ROUNDS (3) is the number of repetitions of each measurement of
# processes, with seeds 1, 2, ...; SECONDS_EACH (6) is the duration of each. Uses ports 25000 to
# 25299. Build first: the script measures the binaries in build/.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$root/build
rounds=${ROUNDS:-3} seconds=${SECONDS_EACH:-6}
work=$(mktemp -d "$build/measure.XXXXXX")
folder=

stop() {
  [ -z "$folder" ] || "$root/scripts/run_deployment.sh" stop "$folder"
  folder=
}
trap 'stop; rm -rf "$work"' EXIT

print() { # NAME VALUE UNIT N SEED
  jq -cn --arg name "$1" --argjson value "$2" --arg unit "$3" --argjson n "$4" --argjson seed "$5" \
    '{name: $name, value: $value, unit: $unit, n: $n, seed: $seed}'
}

# Prints a port of an instance; columns 6 to 9 of FOLDER/processes are ports, see make_deployment.sh.
port() { awk -v instance="$1" -v column="$2" '$2 == instance {print $column}' "$folder/processes"; }

wait_for() { # SECONDS COMMAND...
  local tries=$(($1 * 10))
  shift
  for _ in $(seq "$tries"); do
    "$@" > /dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "measure.sh: timed out waiting for: $*" >&2
  return 1
}

ready() { curl -sf "127.0.0.1:$(port "$1" 8)/healthz" | jq -e '.target == "ready"'; }

start() { # APP PORT CONFIGURATION
  stop
  folder=$work/$2
  "$root/scripts/make_deployment.sh" "$1" "$folder" "$2"
  "$root/scripts/run_deployment.sh" start "$folder"
  wait_for 30 "$build/endivecleat" submit --settings "$folder/client.json" --timeout 2 "$3"
  local kind instance
  while read -r kind instance _; do
    [ "$kind" = control ] || wait_for 30 ready "$instance"
  done < "$folder/processes"
  sleep 2 # time for gossip to disseminate the targets
}

load() { "$build/call-load" --seconds "$seconds" "$@"; }

# CPU time of the process in microseconds, with the resolution of a clock tick (10 ms).
processor_us() { awk -v tick="$(getconf CLK_TCK)" '{printf "%d\n", ($14 + $15) * 1000000 / tick}' "/proc/$(cat "$folder/$1.pid")/stat"; }

measure_benchmarks() {
  local program
  for program in delta_benchmark once_ledger_benchmark policy_benchmark distribution_benchmark; do
    [ ! -x "$build/$program" ] || "$build/$program"
  done
  "$build/log_store_benchmark" "$work/log_store"
}

# Every second call goes directly to the target, as the baseline. 315 calls/s of 20 ms each use 70%
# of 9 slots; evenly spaced arrivals never wait for a slot, Poisson arrivals sometimes do.
measure_calls() {
  SERVICE_TIME_US=20000 start measurement 25000 "$root/apps/measurement/configuration.json"
  local target seed far near
  target=127.0.0.1:$(port portal-ayto-1 9)
  far=127.0.0.1:$(port ruta-cuadrilla-1 6)
  near=127.0.0.1:$(port portal-ayto-1 6)
  for seed in $(seq "$rounds"); do
    local common=(--baseline "$target" --method GET --path /bins/1 --seed "$seed")
    load --name calls/two_daemons/rest --address "$far" --rate 50 "${common[@]}"
    load --name calls/two_daemons/70_percent_even --address "$far" --rate 315 --even "${common[@]}"
    load --name calls/two_daemons/70_percent_random --address "$far" --rate 315 "${common[@]}"
    load --name calls/own_target/rest --address "$near" --rate 50 "${common[@]}"
    load --name calls/own_target/70_percent_even --address "$near" --rate 315 --even "${common[@]}"
  done
  stop
}

start_wide() { # PORT; 64 slots, so that admission does not limit the throughput
  jq '.presets.ordinary.services[] += {slots: 64, queue_length: 64}' \
    "$root/apps/measurement/configuration.json" > "$work/wide.json"
  TARGET_SLOTS=64 start measurement "$1" "$work/wide.json"
}

print_cost() { # NAME PROCESSOR_US CALLS SEED
  print "$1" "$(awk -v u="$2" -v n="$3" 'BEGIN {print u / n}')" "processor us/call" "$3" "$4"
  print "$1/per_core" "$(awk -v u="$2" -v n="$3" 'BEGIN {print int(1e6 * n / u)}')" "calls/s per core" "$3" "$4"
}

# CPU time of the idle daemons, including the probes of the target, is below 1% of a core and is not
# subtracted.
measure_throughput() {
  start_wide 25100
  local seed connections calls before_caller before_target used
  for seed in $(seq "$rounds"); do
    before_caller=$(processor_us ruta-cuadrilla-1)
    sleep "$seconds"
    used=$(awk -v u="$(($(processor_us ruta-cuadrilla-1) - before_caller))" -v s="$seconds" 'BEGIN {print u / s / 10000}')
    print throughput/idle_daemon "$used" "% of a core" "$seconds" "$seed"
    for connections in 1 8 32; do
      before_caller=$(processor_us ruta-cuadrilla-1)
      before_target=$(processor_us portal-ayto-1)
      load --name "throughput/$connections" --address "127.0.0.1:$(port ruta-cuadrilla-1 6)" \
        --method GET --path /bins/1 --connections "$connections" --warm-up 0 --seed "$seed" > "$work/load"
      used=$(($(processor_us portal-ayto-1) - before_target))
      before_caller=$(($(processor_us ruta-cuadrilla-1) - before_caller))
      cat "$work/load"
      calls=$(jq -r 'select(.name | endswith("/rate")) | .n' "$work/load")
      print_cost "throughput/$connections/caller_side" "$before_caller" "$calls" "$seed"
      print_cost "throughput/$connections/target_side" "$used" "$calls" "$seed"
    done
  done
  stop
}

measure_once() {
  start_wide 25200
  local seed connections
  for seed in $(seq "$rounds"); do
    for connections in 1 4 16 48; do
      # Each load has a distinct seed and so distinct keys: a key that ran before is only replayed.
      load --name "once/$connections" --address "127.0.0.1:$(port ruta-cuadrilla-1 6)" --method POST \
        --path /confirmations --new-keys --connections "$connections" --seed "$((seed * 100 + connections))"
    done
    "$build/log_store_benchmark" "$work/log_store.$seed"
  done
  stop
}

# Total bytes that all processes have sent to peers. CHANNELS and CROSSES are regular expressions of
# the metric's labels.
sent_bytes() { # CHANNELS CROSSES
  local kind instance first third
  while read -r kind instance _ _ _ first _ third _; do
    [ "$kind" = control ] || first=$third
    curl -sf "127.0.0.1:$first/metrics"
  done < "$folder/processes" |
    grep -E "^endivecleat_peer_bytes\{channel=\"($1)\",crosses_regions=\"($2)\",direction=\"sent\"" |
    awk '{sum += $2} END {printf "%d\n", sum}'
}

in_force() { # VERSION
  [ "$(cat "$folder"/*.log | jq -r --argjson v "$1" 'select(.event == "version_in_force" and .version == $v) | .instance' | sort -u | wc -l)" = "$daemons" ]
}

measure_one_change() { # NAME SEED COMMAND...
  local name=$1 seed=$2 version before crossing after config='config_log|distribution'
  shift 2
  # An interval of equal length without a change measures the background traffic to subtract.
  local idle_before idle_crossing_before idle idle_crossing_bytes
  idle_before=$(sent_bytes "$config" 'true|false')
  idle_crossing_before=$(sent_bytes "$config" true)
  sleep 5
  before=$(sent_bytes "$config" 'true|false')
  crossing=$(sent_bytes "$config" true)
  idle=$((before - idle_before)) idle_crossing_bytes=$((crossing - idle_crossing_before))
  version=$("$build/endivecleat" "$@" --settings "$folder/client.json" --json | jq .version)
  sleep 5
  after=$(sent_bytes "$config" 'true|false')
  print "change/$name/bytes" "$((after - before - idle))" "bytes sent, all processes" "$daemons" "$seed"
  print "change/$name/bytes_across_regions" "$(($(sent_bytes "$config" true) - crossing - idle_crossing_bytes))" \
    "bytes sent, all processes" "$daemons" "$seed"
  print "change/$name/idle_bytes" "$idle" "bytes sent in 5 s, all processes" "$daemons" "$seed"
  wait_for 20 in_force "$version"
  cat "$folder"/*.log | jq -s --argjson v "$version" '
    ([.[] | select(.event == "version_accepted" and .version == $v) | .time_ms] | min) as $accepted |
    ([.[] | select(.event == "version_in_force" and .version == $v) | .time_ms] | max) - $accepted' > "$work/convergence"
  print "change/$name/convergence" "$(cat "$work/convergence")" ms "$daemons" "$seed"
}

measure_change() {
  start recogida 25220 "$root/apps/recogida/configuration.json"
  daemons=$(grep -c ^target "$folder/processes")
  local seed text gossip
  text=$(jq -cSj . "$root/apps/recogida/configuration.json" | wc -c)
  print change/full_text "$text" bytes 1 1
  print change/full_resend "$((text * daemons))" bytes "$daemons" 1
  for seed in $(seq "$rounds"); do
    gossip=$(sent_bytes gossip 'true|false')
    sleep "$seconds"
    gossip=$((($(sent_bytes gossip 'true|false') - gossip) / seconds))
    print change/gossip_at_rest "$gossip" "bytes/s, all processes" "$daemons" "$seed"
    measure_one_change preset_switch "$seed" preset "$([ $((seed % 2)) = 1 ] && echo peak || echo ordinary)"
    jq --argjson slots "$((9 + seed))" --arg preset "$([ $((seed % 2)) = 1 ] && echo peak || echo ordinary)" \
      '.preset_in_force = $preset | .presets.ordinary.services["portal-ayto"].queue_length = $slots' \
      "$root/apps/recogida/configuration.json" > "$work/changed.json"
    measure_one_change one_figure "$seed" submit "$work/changed.json"
  done
  stop
}

if [ $# = 0 ]; then
  set -- benchmarks calls throughput once change
fi
for part in "$@"; do
  "measure_$part"
done
