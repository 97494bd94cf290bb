#!/usr/bin/env bash
# Kills or pauses one process of the demo's topology after another under the
# demo's load, checks the histories, and prints a row for each fault.
#
#   scripts/faults.sh fencing|mixed [FAULT...]
#
# With mixed, two of the four backend servers don't check fencing tokens. FAULT is
# kill:NAME (SIGKILL, started again after 2 s), pause:NAME (SIGSTOP, SIGCONT after
# 3 s) or disk:NAME (a control host killed, its data folder deleted, started again;
# once it counts as a member, another control host is killed). Without FAULT: kill
# and pause of each process, and one disk.
set -euo pipefail
cd "$(dirname "$0")/.."
lib_folder=.faults/${1:-}
source scripts/lib.sh
first_fault_after=2 # seconds of load
down_seconds=2      # from a kill to the new start
pause_seconds=3
settle_seconds=2.5  # from the end of a fault to the next one
replace_seconds=30  # longest wait for a new disk to count
load_limit=115      # seconds; the load is ended after the last fault
# A frozen server holds up to 6 requests of each entry host until their deadlines, so
# there are more callers than that; they send a little slower.
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

mark() { echo "$EPOCHREALTIME $1" >>"$dir/marks"; }

run_process() { # name
  case "$1" in
    control-*) run_control "$1" ;;
    entry-*) run_entry "$1" ;;
    *) run_server "$1" ;;
  esac
}

kill_and_start() { # name
  kill_process "$1"
  sleep "$down_seconds"
  run_process "$1"
}

pause_and_wake() { # name
  kill -STOP "${pids[$1]}"
  sleep "$pause_seconds"
  kill -CONT "${pids[$1]}"
}

# counts_everywhere: whether no group has a learner or lacks a leader.
counts_everywhere() {
  ctl control status 2>/dev/null | awk '
    NR == 1 {next}
    $4 == "-" || /learner/ || /no answer/ {bad = 1}
    $2 == "'"$1"'" {seen = 1; if ($6 !~ /'"$1"'/) bad = 1}
    END {exit bad || !seen}'
}

lose_disk() { # name
  kill_process "$1"
  rm -rf "${dir:?}/$1"
  sleep "$down_seconds"
  run_process "$1"
  retry "$replace_seconds" counts_everywhere "$1"
  echo "the new disk of $1 counts as a member"
  local other=${control_names[0]}
  if [ "$other" = "$1" ]; then other=${control_names[1]}; fi
  mark "kill:$other after disk:$1"
  kill_and_start "$other"
}

prepare
start_topology
start_load "$load_limit" --marks "$dir/marks" --workers "$workers" --think "$think"
sleep "$first_fault_after"
for fault in "${faults[@]}"; do
  echo "$fault"
  name=${fault#*:}
  mark "$fault"
  case "$fault" in
    kill:*) kill_and_start "$name" ;;
    pause:*) pause_and_wake "$name" ;;
    disk:*) lose_disk "$name" ;;
    *) echo "unknown fault $fault" >&2; exit 2 ;;
  esac
  sleep "$settle_seconds"
done
if ! alive load; then echo "the load ended before the last fault; name fewer faults" >&2; fi
for name in "${!pids[@]}"; do
  if ! alive "$name"; then
    echo "$name ended by itself" >&2
    tail -n 5 "$dir/$name.log" >&2
    exit 1
  fi
done
kill -TERM "${pids[load]}"
end_load
