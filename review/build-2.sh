#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs the Go toolchain only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin-2 .
