#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They are a module of their own, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -buildvcs=false -o ../../target/review-2/standin-2 .
