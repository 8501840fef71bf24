#!/usr/bin/env bash
# Real processes under faults: five hosts on loopback, programs with claims that
# may not be repeated, while one host is killed, one is paused and woken, and one
# is stopped as planned. Counts at the stand-in how often each claim arrived.
#
# usage: processes.sh BUILD_FOLDER [PROGRAMS]
set -eu
build=$1
programs=${2:-12}
here=$(cd "$(dirname "$0")/.." && pwd)
run=$(mktemp -d)
pids=""
stop_all() {
  for pid in $pids; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$run"
}
trap stop_all EXIT

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

start platform "$build/stand_ins/stand_in_platform"
start engine1 "$build/stand_ins/stand_in_engine"
start engine2 "$build/stand_ins/stand_in_engine"
start claims "$build/stand_ins/stand_in_plain_service"
platform=$(address_of platform)
claims=$(address_of claims)
put_object servers%2Fengine-1 "{\"model\":\"small\",\"address\":\"$(address_of engine1)\"}"
put_object servers%2Fengine-2 "{\"model\":\"small\",\"address\":\"$(address_of engine2)\"}"
put_object servers%2Fclaims-1 "{\"tool\":\"claims\",\"address\":\"$claims\"}"

front_of() { sed -n 's/.* front="\([^"]*\)".*/\1/p' "$run/$1.log" | head -n 1; }
hosts=""
for name in a b c d e; do
  zone=$(echo "$name" | tr abcde xyzxy)
  sed -e "s/@NAME@/$name/" -e "s/@ZONE@/$zone/" -e "s/@PLATFORM@/$platform/" \
    "$here/samples/host.ini" >"$run/$name.ini"
  start "$name" "$build/programs/hawthornlaned" --config "$run/$name.ini"
done
for name in a b c d e; do
  wait_for 10 grep -q 'front="' "$run/$name.log"
  hosts="$hosts,$(front_of $name)"
done
export HAWTHORNLANE_HOSTS=${hosts#,}
operator="$build/programs/hawthornlane --credential operators-of-the-samples --as processes"
for name in a b c d e; do
  wait_for 20 curl -sf "http://$(front_of $name)/readyz"
done
wait_for 20 sh -c "$operator hosts | grep -c alive | grep -qx 5"
$operator document apply "$here/samples/diagnosis.ini"
# Every shard has an owner before the faults begin.
wait_for 20 sh -c "$operator --json hosts | tr '{' '\n' | sed -n 's/.*\"shards_owned\":\([0-9]*\).*/\1/p' | paste -sd+ | bc | grep -qx 16"

for number in $(seq 1 "$programs"); do
  "$build/programs/hawthornlane" --credential north-workshop-secret --json \
    call "$here/samples/diagnosis.calls" >"$run/program-$number" 2>"$run/program-$number.err" &
  eval "call_$number=$!"
done
sleep 0.7
echo "killing host b; pausing host c"
kill -KILL "$pid_b"
kill -STOP "$pid_c"
sleep 6
kill -CONT "$pid_c"
echo "host c woken; planned stop of host d"
kill -TERM "$pid_d"

finished=0
unknown=0
failed=0
for number in $(seq 1 "$programs"); do
  eval "pid=\$call_$number"
  code=0
  wait "$pid" || code=$?
  case $code in
    0) finished=$((finished + 1)) ;;
    5) unknown=$((unknown + 1)) ;;
    *)
      failed=$((failed + 1))
      echo "program $number ended with $code: $(tail -n 1 "$run/program-$number.err")"
      ;;
  esac
done
code=0
wait "$pid_d" || code=$?
counts=$(curl -s "http://$claims/counts")
most=$(echo "$counts" | tr ',{}' '\n' | sed -n 's/.*:\([0-9]*\)$/\1/p' | sort -n | tail -n 1)
taken=$(grep -h 'shard_serving' "$run"/?.log | wc -l)
echo "programs finished $finished, with a call that may have run $unknown, failed $failed"
echo "claims arrived: $(echo "$counts" | tr ',' '\n' | wc -l), most often $most; takeovers $taken"
echo "planned stop exit code $code"
for name in a e; do
  tokens=$(curl -s "http://$(front_of $name)/metrics" | sed -n 's/^hawthornlane_tokens_relayed_total //p')
  eval "pid=\$pid_$name"
  ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat")
  rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
  echo "host $name: $tokens tokens relayed, ${ticks}0 ms of processor, $rss kB resident"
done
if [ "${most:-0}" -gt 1 ]; then
  echo "FAILED: a claim arrived more than once"
  exit 1
fi
if [ "$failed" -gt 0 ] || [ "$code" -ne 0 ]; then
  echo "FAILED: a program or the planned stop"
  exit 1
fi
echo "PASSED"
