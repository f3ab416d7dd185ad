#!/usr/bin/env bash
# A job whose queue needs tickets runs on the only worker that its policy allows. The
# worker crashes and is back 2.2 s later under the same id.
# Exit status: 1 broken, 0 held, 2 could not run. TROUBLE=0: the worker does not crash.
cd "$(dirname "$0")" || exit 2
source ../site.sh
begin_record "$PWD/record.txt"
valid_ms=10000

cat > "$work/config.json" << 'JSON'
{"version":1,"routes":[{"name":"r-1","host":"host.example","path_prefix":"/queue/","type":"unsafe",
"timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"pool","attempts":3,"slack_factor":1.5,
"hint":{"decide_ms":20,"each_ms":0,"valid_ms":10000}}],
"services":[{"name":"pool","health_path":"/healthz","max_connections":64,"protocol":"h1","tls":false,
"preconditions":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
cat > "$work/job.json" << 'JSON'
{"spec":"run 6000 0","phases":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":6000}]}
JSON

start_log "$work/config.json"
for n in 1 2 3 4 5 6 7; do
  start_worker "$n" --tickets 1
done
"$standin" advice --listen "$advice_address" --good i-1 --worker "i-1=$net.101:8080" \
  --valid-ms "$valid_ms" --record "$record" > "$work/advice.out" 2>&1 &
pids[advice]=$!
disown
for n in 1 2 3; do
  start_node "$n"
done
for n in 1 2 3; do
  await_ready "$n"
done

job=/queue/00000000000000a1
answer=$(request 1 POST $job "$work/job.json")
note "client POST $job: $answer"
[[ $answer == 200* ]] || could_not_run "the job was not accepted: $answer"
for n in $(seq 100); do
  [ "$(grep -c ' starts ' "$record")" -ge 4 ] && break
  sleep 0.05
done
[ "$(grep -c ' starts ' "$record")" -ge 4 ] || could_not_run "the tasks did not start"

if [ "${TROUBLE:-1}" != 0 ]; then
  note "worker i-1 is killed"
  kill_process worker-1
  sleep 2.2
  start_worker 1 --tickets 1
fi

# One chain of work takes 6 s. 14 s (finish_s) after the end of the traffic, jobs are
# asked for: from then on, no task may wait for 3 s while there is room.
sleep 14
for n in $(seq 60); do
  answer=$(request 2 GET $job)
  [[ $answer == *completed* ]] && break
  sleep 0.5
done
note "client GET $job: $answer"
if [[ $answer == *completed* ]]; then
  echo "held: the job is completed"
  exit 0
fi
last=$(grep ' starts ' "$record" | tail -n 1 | cut -d ' ' -f 1)
idle=$(($(date +%s%3N) - last))
note "the last start of a task was $idle ms ago; worker i-1 is up and has room for the four tasks eight times"
echo "broken: LOST, the job has run nothing for $idle ms"
exit 1
