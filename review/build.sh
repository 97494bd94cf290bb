#!/bin/bash
# Builds the stand-ins of the scripted cases into review/bin. It uses the standard library only.
set -e
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../bin/standin .
