#!/usr/bin/env bash
# Runs clang-format in check mode and clang-tidy over the project's sources. A source that passed clang-tidy is skipped
# until it, any header or chart of the project, or .clang-tidy changes; build/lint holds a stamp file per checked source.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cc' '*.h')
clang-format --dry-run --Werror "${files[@]}"
# src/ does not depend on the platform: only platform/ and deploy/ may contain its names.
platform_words='platform/|heartbeatAddr|coldLeftMs|contactWindowMs|rollbackSlackMs|pathPrefix|routeType|Response-Stamp|Not-Executed|Target-Instance|ENDIVECLEAT_SETTINGS"|targetVersion|durationS'
if git ls-files --cached --others --exclude-standard -- src | xargs grep -nE "$platform_words"; then
  echo "src/ names words of the platform" >&2
  exit 1
fi
mkdir -p build/lint
headers=$(git ls-files --cached --others --exclude-standard -- '*.h' '*.chart' .clang-tidy | xargs cat | sha256sum | cut -c1-16)
lint_one() {
  local file=$1 stamp
  stamp="build/lint/$(cat "$file" <(echo "$2 $file") | sha256sum | cut -c1-32)"
  [ -e "$stamp" ] && return 0
  clang-tidy -p build --quiet "$file" 2> >(grep -v 'warnings generated' >&2) || return 1
  touch "$stamp"
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep '\.cc$' | xargs -P "$(nproc)" -I{} bash -c 'lint_one "$1" "$2"' _ {} "$headers"
