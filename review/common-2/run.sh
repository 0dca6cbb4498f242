# Plays one case; called by review/N/run.sh with the case's folder. Exit code: 1 the rule was broken, 0 it
# held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/build-review-2/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x "$root/build/brasswood" ]; then
  echo "could not run: build the deploy file's build and review/build-2.sh first" >&2
  exit 2
fi
# The operators' command, as the deploy file has it.
REVIEW_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
export REVIEW_RUN
export TROUBLE=${TROUBLE:-1}
temporary=$(mktemp -d)
# A process group of its own, so that everything that the case started ends with it.
set -m
timeout --kill-after=2 "${LIMIT:-110}" "$program" "$root" "$temporary" "$folder/record.txt" &
child=$!
trap 'kill -KILL -- -$child 2>/dev/null; rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM
wait $child
code=$?
for log in "$temporary"/*.log; do
  [ -f "$log" ] && { echo "---- $(basename "$log")"; tail -n ${LOG_LINES:-60} "$log"; } >> "$folder/record.txt"
done
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
