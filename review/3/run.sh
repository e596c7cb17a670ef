#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
number="$(basename "$folder")"
cd "$folder/../.." || exit 2
if [ ! -x target/bin/burdockrock ] || [ ! -x "target/review/case-$number" ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -s TERM -k 2 115 "target/review/case-$number" "$folder/record.txt" "$temporary"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$temporary"/*.log "$KEEP_LOGS"/
[ "$status" -le 2 ] || status=2
exit "$status"
