#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start. It needs a Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../bin
GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -buildvcs=false -o ../../bin/review-standin-2 .
