#!/usr/bin/env bash
# Starts three control hosts, two entry hosts and four backend servers on loopback, and sends load
# through both entry hosts. Under load it stops one backend server and kills the control leader, and
# prints a table at the end. Needs bin/ (make build).
set -euo pipefail
cd "$(dirname "$0")/.."
lib_folder=.demo
source scripts/lib.sh
load_seconds=16
stop_after=3 # seconds of load before the graceful stop
kill_after=4 # seconds between the graceful stop and the kill

prepare
start_topology
start_load "$load_seconds"

sleep "$stop_after"
stopped=${server_names[1]}
echo "stopping backend server $stopped (SIGTERM)"
kill -TERM "${pids[$stopped]}"
stop_code=0
wait "${pids[$stopped]}" || stop_code=$?
unset "pids[$stopped]"
if [ "$stop_code" != 0 ]; then
  echo "$stopped ended with exit code $stop_code" >&2
  exit 1
fi

sleep "$kill_after"
victim=$(leader)
if [ -z "$victim" ]; then
  echo "no control leader found" >&2
  exit 1
fi
echo "killing the control leader $victim (SIGKILL)"
kill_process "$victim"

end_load
