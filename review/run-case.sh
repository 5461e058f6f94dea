#!/bin/sh
# Runs case $1: starts its stand-ins, which start the sidecar with the command of the deploy file.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
PROJECT_ROOT=$(cd "$here/.." && pwd)
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$PROJECT_ROOT/deploy/balancer.toml")
CASE_DIR=$here/$1
export PROJECT_ROOT RUN_COMMAND CASE_DIR
test -n "$RUN_COMMAND" && test -x "$here/bin/case$1" && test -x "$PROJECT_ROOT/bin/kitewood" || {
	echo "build the project and run review/build.sh first" >&2
	exit 2
}
code=0
timeout -k 2 110 "$here/bin/case$1" || code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
