#!/usr/bin/env bash
# Kills or pauses the processes of the demo's topology one at a time under the demo's load, checks
# the histories of the backend servers, and prints a row for each fault.
#
#   scripts/faults.sh fencing|mixed [FAULT...]
#
# With mixed, two of the four backend servers do not check fencing tokens. FAULT is one of
#   kill:NAME   SIGKILL, restart after 2 s
#   pause:NAME  SIGSTOP, SIGCONT after 3 s
#   disk:NAME   a control host is killed and restarted with its data folder deleted; when it is a
#               full member again, another control host is killed
# Without FAULT, each process is killed and paused, and one control host loses its disk.
set -euo pipefail
cd "$(dirname "$0")/.."
lib_folder=.faults/${1:-}
source scripts/lib.sh
first_fault_after=2        # seconds of load before the first fault
restart_delay_seconds=2    # from the kill to the restart
pause_seconds=3
recovery_seconds=2.5       # from the end of a fault to the next fault
replace_timeout_seconds=30 # longest wait for a host with a new disk to become a full member
max_load_seconds=115       # the load is stopped earlier, after the last fault
# Requests in flight to a paused server wait until their deadlines. Each entry host limits them: the
# limit starts at the server's slots (6 by default) and can grow to maxRequestsPerSlot (4, in
# internal/entry) times the slots; further requests queue at the entry host. 64 workers keep the load
# on the other servers going; with 16, all of them waited, and the report showed the waiting workers
# rather than the keys. The longer think time limits the total rate.
workers=64
think=25ms

pass=${1:-}
case "$pass" in
  fencing) ;;
  mixed) server_fencing=(true false false true) ;;
  *) echo "usage: $0 fencing|mixed [FAULT...]" >&2; exit 2 ;;
esac
shift
faults=("$@")
if [ "${#faults[@]}" = 0 ]; then
  for name in "${control_names[@]}" "${entry_names[@]}" "${server_names[@]}"; do
    faults+=("kill:$name" "pause:$name")
  done
  faults+=("disk:${control_names[1]}")
fi

# Records the time and name of a fault, for the rows of the report.
record_mark() { echo "$EPOCHREALTIME $1" >>"$dir/marks"; }

run_process() { # name
  case "$1" in
    control-*) run_control "$1" ;;
    entry-*) run_entry "$1" ;;
    *) run_server "$1" ;;
  esac
}

kill_and_restart() { # name
  kill_process "$1"
  sleep "$restart_delay_seconds"
  run_process "$1"
}

pause_and_resume() { # name
  kill -STOP "${pids[$1]}"
  sleep "$pause_seconds"
  kill -CONT "${pids[$1]}"
}

# Succeeds if host $1 is a member of each group that it reports, every group has a leader and no
# learner, and every control host responds.
is_member_everywhere() {
  ctl control status 2>/dev/null | awk '
    NR == 1 {next}
    $4 == "-" || /learner/ || /no answer/ {bad = 1}
    $2 == "'"$1"'" {seen = 1; if ($6 !~ /'"$1"'/) bad = 1}
    END {exit bad || !seen}'
}

replace_disk() { # name
  kill_process "$1"
  rm -rf "${dir:?}/$1"
  sleep "$restart_delay_seconds"
  run_process "$1"
  retry "$replace_timeout_seconds" is_member_everywhere "$1"
  echo "$1 is a full member again, with a new disk"
  local other=${control_names[0]}
  if [ "$other" = "$1" ]; then other=${control_names[1]}; fi
  record_mark "kill:$other after disk:$1"
  kill_and_restart "$other"
}

prepare
start_topology
start_load "$max_load_seconds" --marks "$dir/marks" --workers "$workers" --think "$think"
sleep "$first_fault_after"
for fault in "${faults[@]}"; do
  echo "$fault"
  name=${fault#*:}
  record_mark "$fault"
  case "$fault" in
    kill:*) kill_and_restart "$name" ;;
    pause:*) pause_and_resume "$name" ;;
    disk:*) replace_disk "$name" ;;
    *) echo "unknown fault $fault" >&2; exit 2 ;;
  esac
  sleep "$recovery_seconds"
done
if ! alive load; then echo "the load ended before the last fault; run fewer faults at once" >&2; fi
for name in "${!pids[@]}"; do
  if ! alive "$name"; then
    echo "$name exited unexpectedly" >&2
    tail -n 5 "$dir/$name.log" >&2
    exit 1
  fi
done
kill -TERM "${pids[load]}"
end_load
