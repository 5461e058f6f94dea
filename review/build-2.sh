#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
set -eu
cd "$(dirname "$0")/rig-2"
go build -o ../../bin/review-2 .
