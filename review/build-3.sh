#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The programs of the system are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../target/review-3/standin .
