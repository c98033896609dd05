#!/usr/bin/env bash
# Writes settings and tokens for one deployment on loopback: make_deployment.sh APP FOLDER [PORT].
# APP is a folder below apps/ with a places.txt. Each process gets four consecutive ports, starting
# at PORT (default 21000). Writes FOLDER/processes with one line per process: kind, instance, region,
# data centre, service and the four ports.
set -euo pipefail
app=$1 folder=$2 port=${3:-21000}
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$folder"
for token in mesh operator announce; do
  [ -e "$folder/$token.token" ] || od -An -N16 -tx1 /dev/urandom | tr -d ' \n' > "$folder/$token.token"
done
: > "$folder/processes"
while read -r kind instance region data_centre service; do
  case $kind in '#'*|'') continue ;; esac
  echo "$kind $instance $region $data_centre $service $port $((port + 1)) $((port + 2)) $((port + 3))" >> "$folder/processes"
  port=$((port + 4))
done < "$root/apps/$app/places.txt"
control=$(awk '$1 == "control" {
  printf "%s{\"instance\": \"%s\", \"region\": \"%s\", \"data_centre\": \"%s\", \"peers\": \"127.0.0.1:%s\", \"operators\": \"127.0.0.1:%s\"}", n++ ? ",\n    " : "", $2, $3, $4, $7, $6
}' "$folder/processes")
write_settings() {
  local kind=$1 instance=$2 region=$3 data_centre=$4 first=$6 second=$7 third=$8
  if [ "$kind" = control ]; then
    cat <<JSON
{
  "instance": "$instance", "region": "$region", "data_centre": "$data_centre",
  "data_folder": "$instance.data",
  "listen": {"operators": "127.0.0.1:$first", "peers": "127.0.0.1:$second"},
  "control": [$control],
  "mesh_token_file": "mesh.token", "operator_token_file": "operator.token",
  "log": {"level": "info", "target": "$instance.log"}
}
JSON
  else
    cat <<JSON
{
  "instance": "daemon-$instance", "region": "$region", "data_centre": "$data_centre",
  "listen": {"callers": "127.0.0.1:$first", "peers": "127.0.0.1:$second", "local": "127.0.0.1:$third"},
  "control": [$control],
  "mesh_token_file": "mesh.token", "announce_token_file": "announce.token",
  "log": {"level": "info", "target": "$instance.log"},
  "trace_file": "$instance.trace"
}
JSON
  fi
}
while read -r kind instance rest; do
  # shellcheck disable=SC2086
  write_settings "$kind" "$instance" $rest > "$folder/$instance.json"
done < "$folder/processes"
awk 'BEGIN {printf "{\"control\": ["} $1 == "control" {printf "%s\"127.0.0.1:%s\"", n++ ? ", " : "", $6}
     END {print "], \"operator_token_file\": \"operator.token\"}"}' "$folder/processes" > "$folder/client.json"
