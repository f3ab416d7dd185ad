# Functions that start and stop a small site on loopback, with the stand-ins of
# review/standins and the program of the deploy file. To be sourced by the run.sh of a
# case.
#
# Addresses, all in one random /24 of 127.0.0.0/8: the log .1, the advice service .2,
# entry instances .11 and up, workers .101 and up.

review_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
standin=$review_root/review/out/standin
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
log_address=$net.1:8169
advice_address=$net.2:8169
work=$(mktemp -d)
declare -A pids=()

# could_not_run TEXT: the case could not run.
could_not_run() {
  echo "could not run: $*" >&2
  exit 2
}

# stop_site: ends everything that this script has started.
stop_site() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2> /dev/null
    kill -KILL "${pids[$name]}" 2> /dev/null
  done
  sleep 0.1
  rm -rf "$work"
}
trap stop_site EXIT
trap 'exit 2' INT TERM

# kill_process NAME: kills a process of the site and waits until it has ended.
kill_process() {
  local n
  kill -KILL "${pids[$1]}" 2> /dev/null
  for n in $(seq 50); do
    kill -0 "${pids[$1]}" 2> /dev/null || return 0
    sleep 0.02
  done
}

# begin_record FILE: starts an empty record.
begin_record() {
  record=$1
  : > "$record"
}

# note TEXT: adds a line to the record.
note() {
  echo "$(date +%s%3N) $*" >> "$record"
}

# start_log: starts the log and writes the configuration of the file $1 into it.
start_log() {
  "$standin" log --listen "$log_address" --heartbeat-ms 1000 > "$work/log.out" 2>&1 &
  pids[log]=$!
  disown
  local n
  for n in $(seq 50); do
    "$standin" put "$log_address" keyed.op config "$1" 2> /dev/null && return
    sleep 0.1
  done
  could_not_run "the log does not listen"
}

# start_worker N [OPTIONS]: starts worker i-N.
start_worker() {
  local n=$1
  shift
  "$standin" worker --listen "$net.$((100 + n)):8080" --id "i-$n" --log "$log_address" \
    --service pool --zone zone-a --labels "a,r1-$n" --record "$record" "$@" \
    > "$work/worker-$n.out" 2>&1 &
  pids[worker-$n]=$!
  disown
}

# start_node N: starts entry instance N as the deploy file says.
start_node() {
  local n=$1 ip=$net.$((10 + $1)) settings=$work/node-$1.json
  cat > "$settings" << JSON
{"node_name":"edge-zone-a-$n","role":"entry","machine_class":"edge","serves":["edge"],
"ip":"$ip","zone":"zone-a","region":"region","zones":{"zone-a":"region"},
"listen":{"front":"$ip:8161","ready":"$ip:8167","control":"$ip:8166"},
"port_range":[7720,7735],"seeds":[],"bootstrap":true,"loss_counts":false,
"limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1000,
"contracts":["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"],
"fault_tolerance":{"machines":2,"zones":1,"regions":0},
"bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,
"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,
"max_stretch_ms":5000,"recover_s":12,"hold_max_ms":6000,"stop_ms":200,"gang_ms":3000,
"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,
"remote_factor":3,"checkpoint_s":1,"restore_ms":600,"notice_ms":4500,"move_s":1.5,
"maintenance_s":2,"fencing":true,"lease_ms":3000,"thaw_ms":300,"pace_ms":100,"harm_ms":4000},
"commands":"call","hint":"$advice_address",
"platform":{"address":"$log_address","form":"log","writes_per_s":600,"reads_per_s":2000,
"parts":24,"append_ms":1.0,"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,
"call_bytes":2097152,"keep_s":300,"part_mb":200,"ttl_min_ms":1000},
"cloud_api":{"address":"$net.3:8169","rate_per_s":60.0,"duties":[],"duty_per_s":60.0}}
JSON
  (cd "$review_root" && SKYLARKHILL_SETTINGS=$settings exec target/skylarkhill node --metrics-port 9109) \
    >> "$work/node-$n.log" 2>&1 &
  pids[node-$n]=$!
  disown
}

# request N METHOD PATH [FILE]: a request of a client to instance N; prints the status
# and the body.
request() {
  local n=$1
  shift
  "$standin" call "$1" "$net.$((10 + n)):8161" "$2" host.example ${3:+"$3"}
}

# await_ready N: waits until instance N says that it is ready.
await_ready() {
  local n
  for n in $(seq 200); do
    [[ $("$standin" call GET "$net.$((10 + $1)):8167" /api/readyz host.example) == 200* ]] && return
    sleep 0.1
  done
  could_not_run "instance $1 is not ready"
}

# judge_twice: judges TWICE by the record: a start of a task after a run of it has ended
# `done`, where the worker forgot that end then or later, because ack_cursor had reached it.
judge_twice() {
  awk '
    NR == FNR { if (/ forgets end .*: done, /) noted[$8 " " $10] = 1; next }
    / ends .*: done$/ && ($5 " " $7) in noted { done[$5] = 1 }
    / ends .*: lapsed$/ { ++lapsed }
    / starts / && $5 in done { ++starts; if (++again[$5] == 1) ++tasks; if (again[$5] > most) most = again[$5] }
    END { print tasks + 0 " tasks were started again after a done end that was taken note of, " starts + 0 " starts, up to " most + 0 " for one task; leases that lapsed: " lapsed + 0 }' \
    "$record" "$record" > "$work/verdict"
  cat "$work/verdict" >> "$record"
  cat "$work/verdict"
  if grep -q "^0 tasks" "$work/verdict"; then
    echo "held"
    exit 0
  fi
  echo "broken: TWICE"
  exit 1
}

[ -x "$standin" ] || could_not_run "review/build.sh has not run"
[ -x "$review_root/target/skylarkhill" ] || could_not_run "the build of the deploy file has not run"
