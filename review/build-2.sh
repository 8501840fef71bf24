#!/bin/bash
# Builds the programs of the review's scripts and the stand-ins that they contain, into
# target/review-2. Needs the packages of the deploy file only.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -w -Ireview/4 -Istand_ins/include -Ilibs/units/include -Ilibs/errors/include -Ilibs/http/include -Ilibs/overload/include"
common=""
for source in stand_ins/src/object_platform.cc libs/errors/src/error_kind.cc libs/http/src/message.cc libs/http/src/server.cc libs/http/src/request_assembler.cc libs/http/src/read_scratch.cc libs/overload/src/client_registry.cc; do
  object="$out/$(basename "$source" .cc).o"
  ${CXX:-g++} $flags -c "$source" -o "$object"
  common="$common $object"
done
for number in 4 5 6; do
  [ -f "review/$number/case.cpp" ] || continue
  ${CXX:-g++} $flags "review/$number/case.cpp" $common -o "$out/case-$number" -lboost_json -lboost_url -lfmt -lpthread
done
