# Sourced by the scenarios: starts a cluster of real processes on loopback and stops it at exit.
#
# Sets: run (scratch folder), platform, claims, operator, HAWTHORNLANE_HOSTS, and
# pid_NAME for each process that `start` began.
run=$(mktemp -d)
pids=""
stop_all() {
  local pid
  for pid in $pids; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$run"
}
trap stop_all EXIT

# wait_for SECONDS COMMAND...: waits until the command succeeds; fails the scenario at the limit.
wait_for() {
  local tries=$(($1 * 20))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "FAILED: gave up waiting for: $*"
      exit 1
    fi
    sleep 0.05
  done
}

# start NAME COMMAND...: runs it in the background, with output in $run/NAME.out and .log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids="$pids $!"
  eval "pid_$name=$!"
}
address_of() {
  wait_for 10 test -s "$run/$1.out"
  head -n 1 "$run/$1.out"
}
put_object() {
  curl -sf -X PUT "http://$platform/objects/$1?version=0" -d "$2" >/dev/null
}
front_of() { sed -n 's/.* front="\([^"]*\)".*/\1/p' "$run/$1.log" | head -n 1; }
peer_of() { sed -n 's/.* peer="\([^"]*\)".*/\1/p' "$run/$1.log" | head -n 1; }

# start_stand_ins ENGINES: starts the platform, ENGINES model engines and one claims service.
start_stand_ins() {
  local number
  start platform "$build/stand_ins/stand_in_platform"
  platform=$(address_of platform)
  for number in $(seq 1 "$1"); do
    start "engine$number" "$build/stand_ins/stand_in_engine"
    put_object "servers%2Fengine-$number" \
      "{\"model\":\"small\",\"address\":\"$(address_of "engine$number")\"}"
  done
  start claims "$build/stand_ins/stand_in_plain_service"
  claims=$(address_of claims)
  put_object servers%2Fclaims-1 "{\"tool\":\"claims\",\"address\":\"$claims\"}"
}

# start_host NAME ZONE [SEEDS]
start_host() {
  sed -e "s/@NAME@/$1/" -e "s/@ZONE@/$2/" -e "s/@PLATFORM@/$platform/" \
    "$here/samples/host.ini" >"$run/$1.ini"
  if [ -n "${3:-}" ]; then
    printf '[peers]\nseeds = %s\n' "$3" >>"$run/$1.ini"
  fi
  start "$1" "$build/programs/hawthornlaned" --config "$run/$1.ini"
  wait_for 10 grep -q 'front="' "$run/$1.log"
}

# start_hosts NAME...: starts hosts in three zones in turn and waits until all are ready, see
# each other and together own every shard.
start_hosts() {
  local name hosts="" zones="x y z x y z x y z"
  for name in "$@"; do
    start_host "$name" "${zones%% *}"
    zones=${zones#* }
    hosts="$hosts,$(front_of "$name")"
  done
  export HAWTHORNLANE_HOSTS=${hosts#,}
  operator="$build/programs/hawthornlane --credential operators-of-the-samples --as scenario"
  for name in "$@"; do
    wait_for 20 curl -sf "http://$(front_of "$name")/readyz"
  done
  wait_for 20 sh -c "$operator hosts | grep -c alive | grep -qx $#"
  wait_for 20 all_owned
}
all_owned() {
  local owned
  owned=$($operator --json hosts | tr '{' '\n' |
    sed -n 's/.*"shards_owned":\([0-9]*\).*/\1/p' | awk '{sum += $1} END {print sum}')
  [ "$owned" = 16 ]
}
call_programs() {
  "$build/programs/hawthornlane" --credential north-workshop-secret --json \
    call "$here/samples/diagnosis.calls"
}
