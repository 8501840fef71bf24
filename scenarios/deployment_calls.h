// Requests of the deployment tests, and retries of turns that have not run.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "deployment.h"

namespace hawthornlane::scenarios {

inline call_request plain(const std::string& path, const std::string& id) {
  call_request call;
  call.path = path;
  call.id = id;
  call.body = "input";
  return call;
}

inline call_request turn(const std::string& path, const std::string& id, const std::string& program,
                         const std::string& previous = "", int budget = 1000) {
  return turn_request_of(path, id, program, previous, budget);
}

inline bool is_up(deployment& all) {
  return all.run_until([&all] {
    return all.ready(0) && all.store().spec_of("hawthornlane-hosts", "ledger-set") != "";
  });
}

constexpr const char* three_events =
    "id: 1\ndata: piece 1 of v1\n\nid: 2\ndata: piece 2 of v1\n\nid: 3\ndata: piece 3 of v1\n\n";
constexpr const char* three_data = "piece 1 of v1\npiece 2 of v1\npiece 3 of v1\n";

inline int runs_of(const deployment& all, const std::string& id) {
  int runs = 0;
  for (const auto& server : all.apps) {
    runs += server->runs(id);
  }
  for (const auto& server : all.engines) {
    runs += server->runs(id);
  }
  return runs;
}

/// The last attempt at a turn and its result.
struct decided_turn {
  std::string id;
  call_result result;
};

/// Sends a turn, and repeats it under a new id while the response is 503 (not run). Other
/// programs' writes can make a sync take longer than a front host waits for the disk hosts.
inline decided_turn retry_until_decided(
    deployment& all, const std::string& name,
    const std::function<call_request(const std::string& id)>& make) {
  constexpr int max_attempts = 8;
  decided_turn decided;
  int tries = 0;
  do {
    decided.id = name + "-" + std::to_string(++tries);
    decided.result = all.call(0, make(decided.id));
    if (decided.result.status == 503) {
      CHECK(runs_of(all, decided.id) == 0);
    }
  } while (decided.result.status == 503 && tries < max_attempts);
  return decided;
}

/// Runs a turn that continues `previous` and is stored; returns its id.
inline std::string store_turn(deployment& all, const std::string& name,
                              const std::string& previous = "", int budget = 1000) {
  const decided_turn kept = retry_until_decided(
      all, name, [&](const std::string& id) { return turn("/kept/x", id, "p", previous, budget); });
  CHECK(kept.result.status == 200);
  CHECK(kept.result.whole);
  CHECK(runs_of(all, kept.id) == 1);
  return kept.id;
}

}  // namespace hawthornlane::scenarios
