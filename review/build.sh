#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need no packages besides Go's own.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS="" GOWORK=off go build -o ../bin/standin .
