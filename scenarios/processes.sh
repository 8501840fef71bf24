#!/usr/bin/env bash
# Real processes under faults: five hosts on loopback run programs with claims that may not be
# repeated, while one host is killed, one is paused and resumed, and one is stopped as planned.
# The stand-in counts how often each claim arrived.
#
# usage: processes.sh BUILD_FOLDER [PROGRAMS]
set -eu
build=$1
programs=${2:-12}
here=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scenarios/cluster.sh
. "$here/scenarios/cluster.sh"

start_stand_ins 2
start_hosts a b c d e
$operator document apply "$here/samples/diagnosis.ini"

for number in $(seq 1 "$programs"); do
  call_programs >"$run/program-$number" 2>"$run/program-$number.err" &
  eval "call_$number=$!"
done
sleep 0.7
echo "killing host b; pausing host c"
kill -KILL "$pid_b"
kill -STOP "$pid_c"
sleep 6
kill -CONT "$pid_c"
echo "host c resumed; planned stop of host d"
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
  echo "FAILED: a program or the planned stop failed"
  exit 1
fi
echo "PASSED"
