#!/usr/bin/env bash
# Runs a deployment on loopback under a bounded load, takes a failure domain out and returns it.
# Usage: npm run demo -- [--deployment hakata|gangasagar] [--instances N] [--report]
# --report runs both deployments and writes JSON reports and plots to reports/.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=hakata
instance_count=6
report=false
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=$2; shift 2 ;;
    --instances) instance_count=$2; shift 2 ;;
    --report) report=true; shift ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
done

if $report; then
  status=0
  for name in hakata gangasagar; do
    CAROBPITCH_REPORTS=reports bash scripts/demo.sh --deployment "$name" --instances "$instance_count" || status=1
  done
  exit $status
fi

programs=packages/testbed/dist/programs
file=deployments/$deployment.json
directory=$(mktemp -d)
events=$directory/events
touch "$events"
pids=()
names=()

# Stops all started processes by id: SIGTERM first, SIGKILL for those that are still alive after 5 s.
stop_all () {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 50); do
    local alive=false
    for pid in "${pids[@]}"; do if kill -0 "$pid" 2>/dev/null; then alive=true; fi; done
    $alive || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$directory"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start <name> <command...>: runs a command in the background with its output in a log.
start () {
  local name=$1
  shift
  "$@" >"$directory/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# wait_for <urls...>: waits until all URLs respond, or else prints the logs and exits.
wait_for () {
  if node $programs/waitUntilUp.js "$@"; then return; fi
  tail -n 20 "$directory"/*.log >&2
  exit 1
}

eval "$(node $programs/prepare.js --deployment "$file" --instances "$instance_count" --directory "$directory")"

echo "== starting $deployment: store, instance list, targets in $failure_domains, $instance_count instances"
start store node $programs/store.js --port "$store_port"
start instance-list node $programs/instanceList.js --deployment "$file" --instances "$instance_count"
for domain in $failure_domains; do
  start "targets-$domain" node $programs/targets.js --deployment "$file" --failure-domain "$domain"
done
wait_for "http://127.0.0.1:$store_port/" $control_urls
node $programs/prepare.js --deployment "$file" --instances "$instance_count" --directory "$directory" --seed
for instance in $instances; do
  start "$instance" node packages/daemon/dist/main.js --settings "$directory/$instance.json"
done
health_urls=()
for url in $operator_urls; do health_urls+=("$url/readyz"); done
wait_for "${health_urls[@]}"

CAROBPITCH_TOKEN=$(cat "$directory/operator-token")
export CAROBPITCH_TOKEN
first_operator_url=${operator_urls%% *}
tool () { node packages/cli/dist/main.js --instance "$first_operator_url" "$@"; }

load_s=24
echo "== caller load for $load_s s"
start load node $programs/load.js --deployment "$file" --instances "$instance_count" --duration-s "$load_s" --events "$events" --output "$directory/evidence.json"
load_pid=${pids[-1]}
sleep 5

# change <intent> <event>: plans and confirms a change of the demo's failure domain.
change () {
  local output plan at
  echo "== carobpitch plan $1 $demo_failure_domain"
  if ! output=$(tool plan "$1" "$demo_failure_domain"); then
    echo "$output"
    echo "no plan was made; the failure domain is unchanged"
    return 1
  fi
  echo "$output"
  plan=$(echo "$output" | grep -oE 'carobpitch confirm [A-Za-z0-9._-]+' | head -1 | cut -d' ' -f3)
  echo "== carobpitch confirm $plan"
  # Status 7: accepted, not yet in force everywhere.
  local confirm_status=0
  tool confirm "$plan" --wait 5 || confirm_status=$?
  if [ $confirm_status -ne 0 ] && [ $confirm_status -ne 7 ]; then
    echo "not accepted; the failure domain is unchanged"
    return 1
  fi
  # Records the time of acceptance, because starting the tool can take seconds on a busy machine.
  at=$(tool --json history | grep -oE '"acceptedAtEpochMs": *[0-9]+' | head -n 1 | grep -oE '[0-9]+$')
  echo "$at $2 $demo_failure_domain" >>"$events"
}

status=0
if change take-domain-out domain-out; then
  sleep 4
  echo "== targets in $demo_failure_domain restart and are cold"
  node $programs/controlTargets.js --deployment "$file" --failure-domain "$demo_failure_domain" --action cold
  sleep 3
  change return-domain domain-in || status=1
else
  status=1
fi

wait "$load_pid"
for index in "${!pids[@]}"; do
  [ "${pids[$index]}" = "$load_pid" ] && continue
  if ! kill -0 "${pids[$index]}" 2>/dev/null; then
    echo "process ${names[$index]} has exited; its log:"
    tail -n 20 "$directory/${names[$index]}.log"
    status=1
  fi
done
echo "== summary"
node packages/testbed/dist/bench/domainOut.js --evidence "$directory/evidence.json" --name "$deployment" ${CAROBPITCH_REPORTS:+--reports "$CAROBPITCH_REPORTS"} || status=$?
echo "== stopping ${#pids[@]} processes by their ids"
exit $status
