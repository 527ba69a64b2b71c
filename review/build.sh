#!/bin/sh
# Builds the stand-in that the scripts of the cases start. It has no dependencies.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off go build -o ../bin/standin .
