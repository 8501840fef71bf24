#!/usr/bin/env bash
# Runs the sample caller against real hosts: two dependent calls must both be answered.
#
# usage: sample_caller.sh BUILD_FOLDER
set -eu
build=$1
here=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scenarios/cluster.sh
. "$here/scenarios/cluster.sh"

start_stand_ins 1
start_hosts a b c
$operator document apply "$here/samples/diagnosis.ini"
"$build/samples/sample_caller" "$(front_of a)" north-workshop-secret | tee "$run/said"
answers=$(grep -c 'word8' "$run/said")
if [ "$answers" -ne 2 ]; then
  echo "FAILED: $answers of 2 calls were answered"
  exit 1
fi
echo "PASSED"
