# Functions that start and stop stand-ins and daemons on loopback; sourced by the other scripts.
# The caller sets: bin (build folder), work (empty folder), base (first port), vms (number of VMs),
# domains (failure domains, space separated), document (YAML file).

declare -A pids=()

platform_address() { echo "127.0.0.1:$((base + 400))"; }
entry_http() { echo "127.0.0.1:$((base + $1))"; }
entry_peer() { echo "127.0.0.1:$((base + 100 + $1))"; }
scheduler_http() { echo "127.0.0.1:$((base + 200 + $1))"; }
scheduler_peer() { echo "127.0.0.1:$((base + 300 + $1))"; }

write_settings() {
  local vm=$1 list i
  read -r -a list <<<"$domains"
  {
    echo "vm: vm$vm"
    echo "failure_domain: ${list[$(((vm - 1) % ${#list[@]}))]}"
    echo "environment: production"
    echo "entry_http: $(entry_http "$vm")"
    echo "entry_peer: $(entry_peer "$vm")"
    echo "scheduler_http: $(scheduler_http "$vm")"
    echo "scheduler_peer: $(scheduler_peer "$vm")"
    echo "store: $(platform_address)"
    echo "log_level: info"
    echo "peers:"
    for ((i = 1; i <= vms; i++)); do
      [ "$i" = "$vm" ] ||
        echo "  - {vm: vm$i, entry: $(entry_peer "$i"), scheduler: $(scheduler_peer "$i")}"
    done
  } >"$work/vm$vm.yaml"
}

# start NAME PROGRAM ARGUMENTS...: runs a program in the background with its log in the work folder.
start() {
  local name=$1
  shift
  "$@" 2>>"$work/$name.log" >&2 &
  pids[$name]=$!
}

start_platform() {
  start platform "$bin/rhubarb-standin" --document "$document" --port "$((base + 400))" "$@"
  wait_for "the stand-ins" "curl -sf http://$(platform_address)/history"
}

start_entry() { start "entry$1" "$bin/rhubarb-entry" --settings "$work/vm$1.yaml"; }
start_scheduler() { start "scheduler$1" "$bin/rhubarb-scheduler" --settings "$work/vm$1.yaml"; }

start_vms() {
  local i
  # shellcheck disable=SC2046
  set_vm_list $(seq "$vms")
  for ((i = 1; i <= vms; i++)); do
    write_settings "$i"
    start_scheduler "$i"
    start_entry "$i"
  done
}

# set_vm_list VM...: tells the platform which VMs exist; the others are gone from its list.
set_vm_list() {
  local vm list=""
  for vm in "$@"; do
    list+="{\"id\":\"vm$vm\",\"state\":\"live\",\"entry\":\"$(entry_peer "$vm")\",\"scheduler\":\"$(scheduler_peer "$vm")\"},"
  done
  curl -sf -X POST -d "[${list%,}]" "http://$(platform_address)/vms" >/dev/null
}

# signal NAME SIGNAL: sends a signal to a process that `start` started.
signal() { kill "-$2" "${pids[$1]}" 2>/dev/null || true; }

# wait_for TEXT COMMAND [SECONDS]: repeats a command until it succeeds.
wait_for() {
  local limit=${3:-20} tries=0
  until eval "$2" >/dev/null 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -gt $((limit * 10)) ]; then
      echo "timed out while waiting for $1" >&2
      return 1
    fi
    sleep 0.1
  done
}

wait_ready() {
  local i
  for ((i = 1; i <= vms; i++)); do
    wait_for "entry VM $i to be ready" "curl -sf http://$(entry_http "$i")/readyz" 30
  done
}

# all_owned: succeeds when every failure domain has an owner known to entry VM 1.
all_owned() {
  local status count
  status=$(curl -sf "http://$(entry_http 1)/v1/status") || return 1
  count=$(wc -w <<<"$domains")
  [ "$(grep -o '"owner":"[^"]' <<<"$status" | wc -l)" -ge "$count" ]
}

set_faults() { curl -sf -X POST -d "$1" "http://$(platform_address)/faults" >/dev/null; }

promote_document() {
  local digest
  digest=$(sha256sum "$document" | cut -c1-64)
  "$bin/rhubarbctl" trial "$document" --store "$(platform_address)"
  "$bin/rhubarbctl" promote --store "$(platform_address)" --digest "$digest" --expected-version 0
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
