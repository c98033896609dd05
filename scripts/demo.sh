#!/usr/bin/env bash
# Installs, builds and runs one deployment on loopback: demo.sh [APP [FOLDER]]. APP is recogida
# (default) or housing-match. Sends reads and confirmations while the preset is switched twice, the
# leading control instance and a daemon are killed and a target leaves; then prints a table.
# Exit status: 0 all guarantees held, 1 a guarantee was violated, 2 the run could not be completed.
# Environment, with defaults: DEMO_SECONDS (20), DEMO_SEED (current time), DEMO_PORT (21000),
# DEMO_SKIP_BUILD (unset).
set -euo pipefail
app=${1:-recogida}
root=$(cd "$(dirname "$0")/.." && pwd)
folder=${2:-$(mktemp -d "${TMPDIR:-/tmp}/endivecleat-demo.XXXXXX")}
seconds=${DEMO_SECONDS:-20} seed=${DEMO_SEED:-$(date +%s)} port=${DEMO_PORT:-21000}
build=$root/build
convergence_limit_s=17  # limit for a change to take effect at the planned two-year scale
leave_grace_ms=5000
export TARGET_LINGER_MS=7000  # keeps a drained target listening, so that late requests are recorded

case $app in
  recogida) reads=/bins,/routes confirmations=/confirmations,/invoices ;;
  housing-match) reads=/listings,/eligibility confirmations=/acceptances,/tenancies ;;
  *) echo "demo: no deployment named $app; recogida and housing-match exist" >&2; exit 2 ;;
esac

now_ms() { date +%s%3N; }
log() { printf '%s  %s\n' "$(date +%T)" "$*"; }
client() { "$build/endivecleat" "$@" --settings "$folder/client.json"; }
kill_process() { kill -KILL "$(cat "$folder/$1.pid")" && rm "$folder/$1.pid"; }

# Prints a port of a process: port_of INSTANCE FIELD. Fields of FOLDER/processes: 6 is the
# operators' port of a control instance or the callers' port of a daemon, 8 the local port of a daemon.
port_of() { awk -v name="$1" -v field="$2" '$2 == name {print $field}' "$folder/processes"; }

http_get() {
  local descriptor
  exec {descriptor}<> "/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' "$2" >&"$descriptor"
  timeout 5 cat <&"$descriptor" || true
  exec {descriptor}>&-
}

save_metrics() {
  local name=$1 field=6
  grep -q "^target $name " "$folder/processes" && field=8
  (http_get "$(port_of "$name" "$field")" /metrics) > "$folder/$name.metrics" 2> /dev/null || true
}

load_pid=
stop_all() {
  if [ -n "$load_pid" ]; then kill -TERM "$load_pid" 2> /dev/null || true; fi
  [ ! -e "$folder/processes" ] || "$root/scripts/run_deployment.sh" stop "$folder" || true
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# Waits until a command succeeds: wait_for SECONDS WHAT COMMAND...
wait_for() {
  local limit=$(($(now_ms) + $1 * 1000)) what=$2
  shift 2
  until "$@"; do
    if [ "$(now_ms)" -gt "$limit" ]; then
      echo "demo: timed out waiting for $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

leader_is_known() { client show --json > "$folder/show.json" 2> /dev/null; }
has_version() { grep -q "\"event\":\"version_in_force\",\"version\":$2[,}]" "$folder/$1.log"; }
running_daemons() { awk -v dead="${killed_daemon:-}" '$1 == "target" && $2 != dead {print $2}' "$folder/processes"; }
all_have_version() {
  local name
  for name in $(running_daemons); do has_version "$name" "$1" || return 1; done
}
targets_ready() {
  local name
  for name in $(running_daemons); do grep -q '"state":"ready"' "$folder/$name.log" || return 1; done
}

# Submits a change and retries it under the same operation id until it is accepted:
# change WHAT COMMAND...
versions=()
change() {
  local what=$1 answer operation version
  shift
  operation="demo-$(now_ms)"
  local limit=$(($(now_ms) + 20000))
  until answer=$(client "$@" --operation "$operation" --json 2>> "$folder/changes.err"); do
    [ "$(now_ms)" -lt "$limit" ] || { echo "demo: $what was not accepted: $answer" >&2; exit 2; }
    sleep 0.2
  done
  version=$(sed -n 's/.*"version":\([0-9]*\).*/\1/p' <<< "$answer")
  log "$what: version $version"
  versions+=("$version $what")
}

"$root/scripts/install.sh"
if [ -z "${DEMO_SKIP_BUILD:-}" ]; then
  log "building"
  "$root/scripts/build.sh" --target endivecleat standin-target demo-load > "${folder}.build" 2>&1 ||
    { tail -20 "${folder}.build" >&2; exit 2; }
fi
mkdir -p "$folder"
rm -f "$folder"/*.log "$folder"/*.journal "$folder"/*.requests "$folder"/*.metrics "$folder"/*.pid
rm -rf "$folder"/*.data
log "starting $app in $folder, seed $seed"
"$root/scripts/make_deployment.sh" "$app" "$folder" "$port"
"$root/scripts/run_deployment.sh" start "$folder"
wait_for 30 "an election" leader_is_known || exit 2
change "first configuration" submit "$root/apps/$app/configuration.json"
wait_for "$convergence_limit_s" "the first configuration on every daemon" all_have_version 1 || exit 1
wait_for 30 "every target to be ready" targets_ready || exit 2

daemons=$(awk '$1 == "target" {printf "%s127.0.0.1:%s", n++ ? "," : "", $6}' "$folder/processes")
log "sending load for $seconds s"
"$build/demo-load" --daemons "$daemons" --reads "$reads" --confirmations "$confirmations" \
  --seconds "$seconds" --seed "$seed" --answers "$folder/answers" \
  > "$folder/load.json" 2> "$folder/load.err" &
load_pid=$!

step=$(awk -v s="$seconds" 'BEGIN {print s / 7}')
sleep "$step"
change "preset peak" preset peak
sleep "$step"
client show --json > "$folder/show.json"
leader=$(sed -n 's/.*"leader":"\([^"]*\)".*/\1/p' "$folder/show.json")
save_metrics "$leader"
log "SIGKILL to the leading control instance $leader"
kill_process "$leader"
sleep "$step"
mapfile -t targets < <(awk '$1 == "target" {print $2}' "$folder/processes")
leaving_target=${targets[$((seed % ${#targets[@]}))]}
killed_daemon=${targets[$(((seed + 5) % ${#targets[@]}))]}
log "target $leaving_target leaves (SIGTERM)"
left_at=$(now_ms)
kill -TERM "$(cat "$folder/$leaving_target.target.pid")"
sleep "$step"
save_metrics "$killed_daemon"
log "SIGKILL to the daemon of $killed_daemon"
kill_process "$killed_daemon"
sleep "$step"
change "preset ordinary, after the kills" preset ordinary
load_status=0
wait "$load_pid" || load_status=$?
load_pid=
[ "$load_status" -eq 0 ] || { cat "$folder/load.err" >&2; exit 2; }
last_version=${versions[-1]%% *}
converged=0
wait_for "$convergence_limit_s" "version $last_version on every daemon" all_have_version "$last_version" || converged=1
while read -r _ name _; do
  if [ "$name" != "$leader" ] && [ "$name" != "$killed_daemon" ]; then save_metrics "$name"; fi
done < "$folder/processes"
stop_all
trap - EXIT

# --- Report --------------------------------------------------------------------------------------

load_result() { sed -n "s/^  \"$1\": \([0-9]*\),*$/\1/p" "$folder/load.json"; }
cat "$folder"/*.journal | sort > "$folder/ran"
sort "$folder/answers" > "$folder/answers.sorted"
join -a 1 "$folder/answers.sorted" <(uniq -c "$folder/ran" | awk '{print $2, $1}') |
  awk '{print $1, $2, $3 + 0}' > "$folder/outcomes"
count_outcomes() { awk "$1 {n++} END {print n + 0}" "$folder/outcomes"; }
run_once=$(count_outcomes '$3 == 1')
run_twice=$(count_outcomes '$3 > 1')
false_not_run=$(count_outcomes '($2 == "not_run" || $2 == "both") && $3 > 0')
false_ran=$(count_outcomes '($2 == "ran" || $2 == "both") && $3 == 0')
unknown=$(count_outcomes '$2 == "unknown"')
late_requests=$(awk -v from=$((left_at + leave_grace_ms)) '$1 > from' "$folder/$leaving_target.requests" | wc -l)

time_of() { grep -h "\"event\":\"$1\",\"version\":$2[,}]" "${@:3}" | sed 's/.*"time_ms":\([0-9]*\).*/\1/' | sort -n; }
convergence_ms() {
  local from to logs=()
  from=$(time_of version_accepted "$1" "$folder"/control-*.log | head -1)
  for name in $(running_daemons); do logs+=("$folder/$name.log"); done
  to=$(time_of version_in_force "$1" "${logs[@]}" | tail -1)
  echo $((to - from))
}
# Counts how often a process put a version in force that is older than its previous one.
reversions=$(for log in "$folder"/*.log; do
  sed -n 's/.*"event":"version_in_force","version":\([0-9]*\).*/\1/p' "$log" |
    awk '$1 < last {n++} {last = $1} END {print n + 0}'
done | awk '{n += $1} END {print n + 0}')
# Sums the bytes sent on the channels that match a pattern: bytes CHANNELS CROSSES_REGIONS.
# An empty CROSSES_REGIONS includes traffic within and across regions.
bytes() {
  cat "$folder"/*.metrics | awk -v channels="$1" -v crosses="$2" '
    /^endivecleat_peer_bytes/ && /direction="sent"/ {
      match($0, /channel="[a-z_]*"/)
      channel = substr($0, RSTART + 9, RLENGTH - 10)
      if (channel ~ channels && (crosses == "" || index($0, "crosses_regions=\"" crosses "\""))) n += $NF
    } END {printf "%d", n}'
}
control_channels='^(config_log|distribution|summary|gossip|operations)$'
once_channels='^(once_log|ledger)$'

violated=$converged
row() { printf '%-52s %12s\n' "$1" "$2"; }
guarantee() {
  local mark=
  if [ "$2" -ne 0 ]; then mark="  BROKEN" violated=1; fi
  printf '%-52s %12s%s\n' "$1" "$2" "$mark"
}
echo
row "requests" "$(load_result requests)"
guarantee "wrong answers" "$(load_result wrong_answers)"
row "reads sent" "$(load_result reads)"
row "reads answered" "$(load_result reads_answered)"
row "reads not answered" "$(($(load_result reads) - $(load_result reads_answered)))"
row "read latency p50, microseconds" "$(load_result read_p50_us)"
row "read latency p99, microseconds" "$(load_result read_p99_us)"
row "confirmations (keys)" "$(load_result confirmations)"
row "confirmation copies sent" "$(load_result copies)"
row "confirmations run once" "$run_once"
guarantee "confirmations run twice" "$run_twice"
guarantee "reported \"not run\" that ran" "$false_not_run"
guarantee "reported \"ran\" that did not run" "$false_ran"
row "reported \"not run\"" "$(load_result not_run)"
row "outcome unknown" "$unknown"
for entry in "${versions[@]}"; do
  row "convergence, ms: ${entry#* }" "$(convergence_ms "${entry%% *}")"
done
guarantee "daemons that lack the last version" "$(for name in $(running_daemons); do has_version "$name" "$last_version" || echo; done | wc -l)"
guarantee "reversions to an older version" "$reversions"
guarantee "requests to the leaving target after 5 s" "$late_requests"
row "control bytes" "$(bytes "$control_channels" "")"
row "control bytes across regions" "$(bytes "$control_channels" true)"
row "at-most-once log bytes" "$(bytes "$once_channels" "")"
row "at-most-once log bytes across regions" "$(bytes "$once_channels" true)"
echo
echo "Logs, traces and settings are in $folder."
exit "$violated"
