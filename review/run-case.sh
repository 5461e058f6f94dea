#!/bin/sh
# Runs case $1: starts its stand-ins, which start the sidecar with the command of the deploy file, and ends what they leave.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
PROJECT_ROOT=$(cd "$here/.." && pwd)
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$PROJECT_ROOT/deploy/balancer.toml")
CASE_DIR=$here/$1
if ! { test -n "$RUN_COMMAND" && test -x "$here/bin/case$1" && test -x "$PROJECT_ROOT/bin/kitewood"; }; then
	echo "build the project and run review/build.sh first" >&2
	exit 2
fi
PIDS_FILE=$(mktemp)
export PROJECT_ROOT RUN_COMMAND CASE_DIR PIDS_FILE
code=0
timeout -k 2 110 "$here/bin/case$1" &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child" || code=$?
wait "$child" 2>/dev/null || true # once more, as a signal ends the first wait
while read -r pid; do # only what this case has started and is still that
	if cat "/proc/$pid/cmdline" 2>/dev/null | tr '\0' ' ' | grep -qE 'kitewood serve|bin/case'; then
		kill -9 "$pid" 2>/dev/null || true
	fi
done <"$PIDS_FILE"
rm -f "$PIDS_FILE"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
