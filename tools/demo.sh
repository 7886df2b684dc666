#!/usr/bin/env bash
# Runs three instances with stand-ins for the platform and for upstreams on loopback, sends reads and orders, makes two
# upstreams fail partially (gray failure), publishes a changed contract and restarts an instance. Prints the callers'
# results; exits with 1 when an order ran twice or a request was lost. Terminates only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build}")
folder=$(mktemp -d)
pids=()

finish() {
    local status=$?
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    # The last instance waits 10 s for a witness to take over its keys. One that hangs is killed, so that the demo ends.
    for pid in "${pids[@]}"; do
        for _ in $(seq 120); do
            kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$status" -eq 0 ] && [ -z "${KEEP_FOLDER:-}" ]; then
        rm -rf "$folder"
    else
        echo "logs: $folder"
    fi
    exit "$status"
}
trap finish EXIT

# start_process NAME COMMAND...: starts a process and waits for its first line on stdout, which means that it listens.
start_process() {
    local name=$1
    shift
    : >"$folder/$name.out"
    "$@" >"$folder/$name.out" 2>>"$folder/$name.log" &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
    for _ in $(seq 100); do
        [ -s "$folder/$name.out" ] && return
        sleep 0.1
    done
    echo "start $name: no address printed within 10 s" >&2
    exit 1
}

# forget PID: removes a process that has ended from the list, because its id may be reused.
forget() {
    local kept=() pid
    for pid in "${pids[@]}"; do
        [ "$pid" = "$1" ] || kept+=("$pid")
    done
    pids=("${kept[@]}")
}

standin_address() { echo "127.0.0.1:$(awk '{print $2}' "$folder/$1.out")"; }
instance_address() { awk -v kind="$2" '{for (i = 1; i < NF; ++i) if ($i == kind) print $(i + 1)}' "$folder/$1.out"; }

write_list() {
    local entries=""
    for name in entry-1 entry-2 entry-3; do
        local state=live
        [ "$name" = "${1:-}" ] && state=leaving
        entries+="{\"id\":\"$name\",\"address\":\"$(instance_address $name peers)\",\"data_centre\":\"dc-${name#entry-}\",\"state\":\"$state\"},"
    done
    curl -sf -o "$folder/list.answer" -X PUT "http://$list/instances" -d "{\"instances\":[${entries%,}]}"
}

start_instance() {
    cat >"$folder/$1.settings.json" <<SETTINGS
{ "instance": "$1", "data_centre": "dc-${1#entry-}",
  "listen": { "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0" },
  "platform": { "log_service": "http://$log", "instance_list": "http://$list/instances" },
  "fleet_key": "only-for-the-demo-0123456789" }
SETTINGS
    start_process "$1" "$build/jackdawdoor" serve --settings="$folder/$1.settings.json"
}

upstream_lines() {
    local line="" name
    for name in "$@"; do
        line+="{ \"name\": \"$name\", \"address\": \"$(standin_address "$name")\", \"dataCentre\": \"dc-1\" },"
    done
    echo "${line%,}"
}

# write_contract FLOOR: writes the contract with the given healthy floor, the value that the demo changes.
write_contract() {
    cat >"$folder/demo.contract.json" <<CONTRACT
{
  "customer": "demo",
  "weight": "detection-time",
  "services": [
    { "name": "catalogue", "peakRequestsPerSecond": 120, "healthyFloor": $1,
      "upstreamDefaults": { "slots": 6, "connections": 400 },
      "upstreams": [ $(upstream_lines "${catalogue[@]}") ],
      "operations": [
        { "name": "read", "method": "GET", "pathPrefix": "/products", "idempotent": true, "usefulWithin": "2s",
          "largestRequest": "8KiB", "largestAnswer": "1MiB" } ] },
    { "name": "orders", "peakRequestsPerSecond": 30, "healthyFloor": "50%",
      "upstreamDefaults": { "slots": 6, "connections": 400 },
      "upstreams": [ $(upstream_lines "${orders[@]}") ],
      "operations": [
        { "name": "place-order", "method": "POST", "pathPrefix": "/orders", "idempotent": false, "usefulWithin": "8s",
          "largestRequest": "64KiB", "largestAnswer": "64KiB" } ] }
  ]
}
CONTRACT
}

publish() {
    "$build/jackdawdoor" publish "$folder/demo.contract.json" --instance="http://$(instance_address entry-1 operators)" \
        --log="http://$log" --wait=15 --fleet="$(fleet)"
}

fleet() {
    local urls=""
    for name in entry-1 entry-2 entry-3; do
        urls+="http://$(instance_address $name operators),"
    done
    echo "${urls%,}"
}

# Prints the number of live members known to an instance, including itself.
live_members() {
    "$build/jackdawdoor" status --instance="http://$(instance_address "$1" operators)" | awk '$1 ~ /^entry-/ && $2 == "live"' | wc -l
}

catalogue=(catalogue-1 catalogue-2 catalogue-3 catalogue-4 catalogue-5 catalogue-6)
orders=(orders-1 orders-2 orders-3 orders-4)
start_process log "$build/logservice"
start_process list "$build/instancelist"
log=$(standin_address log)
list=$(standin_address list)
upstreams=""
for name in "${catalogue[@]}" "${orders[@]}"; do
    start_process "$name" "$build/upstream"
    curl -sf -o "$folder/control.answer" -X POST "http://$(standin_address "$name")/control?fault=none&delay_ms=20"
    upstreams+="$(standin_address "$name"),"
done
start_instance entry-1
start_instance entry-2
start_instance entry-3
write_list
instances="$(instance_address entry-1 callers),$(instance_address entry-2 callers),$(instance_address entry-3 callers)"
for name in entry-1 entry-2 entry-3; do
    # Instances read the list every 5 s; one that knows no other instance issues no tickets.
    for _ in $(seq 100); do
        [ "$(live_members $name)" -eq 3 ] && continue 2
        sleep 0.1
    done
    echo "start $name: it did not find the other instances within 10 s" >&2
    exit 1
done

echo "== publish a contract for $(echo "$upstreams" | tr ',' '\n' | grep -c .) upstreams on three instances"
write_contract 2
publish

echo "== 20 s of reads and orders; two upstreams turn gray, a contract changes, an instance is restarted"
gray="http://$(standin_address catalogue-1)@3@fault=error&delay_ms=20,http://$(standin_address catalogue-2)@9@fault=slow&delay_ms=100"
"$build/callers" "$instances" "$upstreams" "$gray" 20 >"$folder/callers.out" 2>"$folder/callers.log" &
callers=$!
pids+=("$callers")
sleep 7
write_contract 3
echo "-- a changed contract:"
publish
sleep 6
echo "-- entry-3 is restarted:"
write_list entry-3
kill -TERM "$pid_entry_3"
stopped=0
wait "$pid_entry_3" || stopped=$?
forget "$pid_entry_3"
echo "entry-3 ended with exit code $stopped"
start_instance entry-3
write_list

status=0
wait "$callers" || status=$?
forget "$callers"
echo "== what callers saw"
cat "$folder/callers.out" "$folder/callers.log"
"$build/jackdawdoor" status --instance="http://$(instance_address entry-3 operators)" >"$folder/status.out"
grep -q 'ready$' "$folder/status.out" || { echo "the restarted instance is not ready"; status=1; }
[ "$stopped" -eq 0 ] || status=1
exit "$status"
