#!/bin/bash
# Plays the case service-returns; see claim.txt. It needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/galena-control ] && [ -x target/galena-entry ] && [ -x review/bin/standin ] || exit 2
exec review/bin/standin service-returns review/4
