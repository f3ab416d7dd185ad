#!/usr/bin/env bash
# 64 services and 64 batch jobs that fill beside them, each with an image of its own.
# Then one plain job.
# Exit status: 1 broken, 0 held, 2 could not run. TROUBLE=0: the same jobs with 5 images
# of services and 9 of batch jobs.
cd "$(dirname "$0")" || exit 2
source ../site.sh
begin_record "$PWD/record.txt"

cat > "$work/config.json" << 'JSON'
{"version":1,"routes":[{"name":"r-1","host":"host.example","path_prefix":"/batch/","type":"unsafe",
"timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"pool","attempts":2,"slack_factor":2.0},
{"name":"r-2","host":"host.example","path_prefix":"/serve/","type":"unsafe",
"timeout_ms":3000,"target_latency_ms":2500,"priority":0,"service":"pool","attempts":4,"slack_factor":2.2}],
"services":[{"name":"pool","health_path":"/healthz","max_connections":64,"protocol":"h1","tls":false,
"preconditions":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
services=64 batches=64 service_images=64 batch_images=64
if [ "${TROUBLE:-1}" = 0 ]; then
  service_images=5 batch_images=9
fi

start_log "$work/config.json"
for n in 1 2 3; do
  start_worker "$n"
done
for n in 1 2 3; do
  start_node "$n"
done
for n in 1 2 3; do
  await_ready "$n"
done

# submit ID PATH: hands the job in $work/job.json in, with up to three retries.
submit() {
  local n answer
  for n in 1 2 3 1; do
    answer=$(request "$n" POST "$2$1" "$work/job.json")
    note "client POST $2$1: $answer"
    [[ $answer == 200* ]] && return
  done
  could_not_run "a job was not accepted: $answer"
}

for n in $(seq "$services"); do
  image=registry.example/ropewalk/service-$((n % service_images)):2026.12.05
  cat > "$work/job.json" << JSON
{"spec":"serve 4","phases":[{"count":3,"cpu":100,"mem_mb":64,"estimate_ms":270,"long_running":true,"anti_affinity":1,"image":"$image","target_ms":50}]}
JSON
  submit "$(printf 5e%014x "$n")" /serve/
done
for n in $(seq "$batches"); do
  image=registry.example/ropewalk/batch-$((n % batch_images)):2026.12.05
  cat > "$work/job.json" << JSON
{"spec":"run 20000 100","phases":[{"count":3,"cpu":100,"mem_mb":64,"estimate_ms":20000,"fills":true,"image":"$image"}]}
JSON
  submit "$(printf ba%014x "$n")" /batch/
done
sleep 15

cat > "$work/job.json" << 'JSON'
{"spec":"run 500 0","phases":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":500}]}
JSON
job=00000000000000a1
submit $job /batch/
# 14 s (finish_s) after the end of the traffic, jobs are asked for.
sleep 17
for n in $(seq 10); do
  answer=$(request 2 GET /batch/$job)
  [[ $answer == *completed* ]] && break
  sleep 0.5
done
note "client GET /batch/$job: $answer"
for try in $(seq 15); do
  batches_done=0
  for n in $(seq "$batches"); do
    [[ $(request 3 GET "/batch/$(printf ba%014x "$n")") == *completed* ]] && batches_done=$((batches_done + 1))
  done
  [ "$batches_done" = "$batches" ] && break
  sleep 1
done
ended=$(grep -c ' ends ba.*done' "$record")
note "client: $batches_done of $batches batch jobs are shown as completed; $ended of their $((3 * batches)) tasks have ended done"
grep -h log_append_status "$work"/node-*.log | tail -n 1 | cut -c 1-200 >> "$record"
if [[ $answer == *completed* && $batches_done == "$batches" ]]; then
  echo "held: all jobs are completed"
  exit 0
fi
starts=$(grep -c " starts $job" "$record")
note "the plain job has had $starts starts in more than 30 s, on workers with room for it"
echo "broken: LOST, the plain job: $answer, $starts starts; $batches_done of $batches batch jobs completed, $ended of $((3 * batches)) tasks done"
[ -z "${KEEP:-}" ] || cp "$work"/node-*.log "$KEEP"
exit 1
