#!/usr/bin/env bash
# Runs the case in the folder $1 against the router that the deploy file starts. Used by each run.sh.
set -u
folder=$(cd "$1" && pwd)
number=$(basename "$folder")
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN
if [ -z "$RUN" ] || [ ! -x build/brasswood ] || [ ! -x "review/bin/case$number" ]; then
  echo "not built: the deploy file's build first, then review/build.sh" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
# Ends what is left if this script is ended early. The router is killed by the system with its parent.
child=
trap '[ -n "$child" ] && kill -KILL "$child" 2>/dev/null; rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM HUP
"review/bin/case$number" "$temporary" "$folder/record.txt" &
child=$!
wait "$child"
code=$?
child=
{ echo; echo "The router's log (warnings and counters):"; grep -hvE '^(debug|info server)' "$temporary"/*.log | tail -40; } \
  >>"$folder/record.txt" 2>/dev/null
[ -n "${KEEP:-}" ] && cp "$temporary"/*.log "$KEEP"/
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
