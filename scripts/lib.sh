# Shell functions that start the demo's processes: three control hosts, two entry hosts and four
# backend servers on loopback. Their settings and logs are in a folder that is removed at the end
# unless the script fails. Scripts set the folder, for example lib_folder=.demo, before they source
# this file. Needs bin/ (make build).
root=$PWD
dir=$root/$lib_folder
bin=$dir/bin

control_names=(control-hai-chau control-son-tra control-thu-duc)
control_regions=(mien-trung mien-trung mien-nam)
control_domains=(hai-chau son-tra thu-duc)
entry_names=(entry-hai-chau entry-thu-duc)
entry_regions=(mien-trung mien-nam)
entry_domains=(hai-chau thu-duc)
server_names=(wheel-swap-1 wheel-swap-2 wheel-swap-3 wheel-swap-4)
server_regions=(mien-trung mien-trung mien-nam mien-nam)
server_domains=(hai-chau son-tra thu-duc binh-thanh)
server_fencing=(true true true true) # scripts may override it before prepare

declare -A pids # process ids by process name

start() { # name, program, arguments...
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

alive() { # name
  [ -n "${pids[$1]:-}" ] && kill -0 "${pids[$1]}" 2>/dev/null
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for _ in $(seq 50); do
    local left=0
    for name in "${!pids[@]}"; do if alive "$name"; then left=1; fi; done
    if [ "$left" = 0 ]; then return; fi
    sleep 0.1
  done
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
}

finish() {
  local code=$?
  trap - EXIT INT TERM
  stop_all
  wait 2>/dev/null || true
  if [ "$code" = 0 ]; then
    rm -rf "$dir"
  else
    echo "$0 failed with exit code $code; settings and logs are kept in ${dir#"$root"/}/" >&2
  fi
  exit "$code"
}

# Creates the folder, the secrets and all settings, and picks free ports.
prepare() {
  rm -rf "$dir"
  mkdir -p "$dir"
  trap finish EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM

  cp -r "$root/bin" "$bin" # a build during the run must not mix versions
  go build -o "$dir/demoload" ./scripts/demoload
  mapfile -t port < <("$dir/demoload" ports 14)

  (
    umask 077
    for secret in peer server operator; do head -c 24 /dev/urandom | base64 >"$dir/$secret.secret"; done
  )

  controls=""
  for i in 0 1 2; do
    controls+="- {name: ${control_names[i]}, region: ${control_regions[i]}, domain: ${control_domains[i]}, address: \"127.0.0.1:${port[i]}\"}"$'\n'
  done
  admins="127.0.0.1:${port[3]}, 127.0.0.1:${port[4]}, 127.0.0.1:${port[5]}"
  entries=("127.0.0.1:${port[6]}" "127.0.0.1:${port[7]}")

  for i in 0 1 2; do
    cat >"$dir/${control_names[i]}.yaml" <<EOF
name: ${control_names[i]}
peer_listen: 127.0.0.1:${port[i]}
admin_listen: 127.0.0.1:${port[i + 3]}
data_dir: $dir/${control_names[i]}
peer_secret_file: $dir/peer.secret
operator_secret_file: $dir/operator.secret
slots_per_service: 256
controls:
$controls
EOF
  done

  for i in 0 1; do
    cat >"$dir/${entry_names[i]}.yaml" <<EOF
name: ${entry_names[i]}
region: ${entry_regions[i]}
domain: ${entry_domains[i]}
listen: ${entries[i]}
admin_listen: 127.0.0.1:${port[i + 8]}
peer_secret_file: $dir/peer.secret
server_secret_file: $dir/server.secret
operator_secret_file: $dir/operator.secret
unready_seconds: 0
drain_seconds: 3
controls:
$controls
EOF
  done

  for i in 0 1 2 3; do
    near=$((i / 2)) # the entry host in the server's region comes first
    cat >"$dir/${server_names[i]}.yaml" <<EOF
name: ${server_names[i]}
service: wheel-swap
region: ${server_regions[i]}
domain: ${server_domains[i]}
listen: 127.0.0.1:${port[i + 10]}
entries: ["${entries[near]}", "${entries[1 - near]}"]
server_secret_file: $dir/server.secret
fencing: ${server_fencing[i]}
history_file: $dir/${server_names[i]}.history
EOF
  done

  cat >"$dir/ctl.yaml" <<EOF
controls: [$admins]
operator_secret_file: $dir/operator.secret
EOF
  cat >"$dir/allowances.yaml" <<EOF
version: 1
allowances:
- plan: city
  limits:
  - {service: wheel-swap, requests_per_second: 100000, burst: 100000}
EOF
  cat >"$dir/plans.yaml" <<EOF
version: 1
plans:
- {customer: depot-hai-chau, plan: city}
EOF
}

ctl() { "$bin/galenactl" --settings "$dir/ctl.yaml" "$@"; }

retry() { # seconds, command...: repeats the command until it succeeds, for at most that time
  local end=$((SECONDS + $1))
  shift
  until "$@" >"$dir/retry.log" 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "command did not succeed in time: $*" >&2
      cat "$dir/retry.log" >&2
      return 1
    fi
    sleep 0.2
  done
}

leader() { # prints the host that leads the global group
  ctl control status 2>/dev/null | awk '$3 == "global" && $5 == "true" {print $2; exit}'
}

has_leader() { [ -n "$(leader)" ]; }

run_control() { start "$1" "$bin/galena-control" --settings "$dir/$1.yaml"; }
run_entry() { start "$1" "$bin/galena-entry" --settings "$dir/$1.yaml"; }
run_server() { start "$1" "$bin/galena-backend" --settings "$dir/$1.yaml"; }

# Starts every process, with new data folders.
start_topology() {
  echo "starting 3 control hosts, 2 entry hosts and 4 backend servers"
  for name in "${control_names[@]}"; do
    "$bin/galena-control" init --settings "$dir/$name.yaml"
    run_control "$name"
  done
  retry 15 has_leader
  retry 15 ctl allowances set "$dir/allowances.yaml"
  retry 15 ctl plans set "$dir/plans.yaml"
  for name in "${entry_names[@]}"; do run_entry "$name"; done
  for name in "${server_names[@]}"; do run_server "$name"; done
}

# Starts demoload in the background and waits until it sends load; see end_load.
start_load() { # seconds, more arguments of demoload...
  local seconds=$1 histories
  shift
  histories=$(printf "$dir/%s.history," "${server_names[@]}")
  "$dir/demoload" run --entries "${entries[0]},${entries[1]}" --history "${histories%,}" \
    --duration "${seconds}s" "$@" >"$dir/load.log" 2>"$dir/load.err" &
  pids[load]=$!
  load_started() { grep -q "load starts" "$dir/load.log"; }
  retry 25 load_started || { cat "$dir/load.err" >&2; exit 1; }
}

# Waits for the end of the load, prints its tables and returns its exit code.
end_load() {
  local code=0
  wait "${pids[load]}" || code=$?
  unset "pids[load]"
  cat "$dir/load.log"
  cat "$dir/load.err" >&2
  return "$code"
}

kill_process() { # name
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}
