// Compares what callers and backend servers see with what callers are promised.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/stand_ins/scripted_backend.h"
#include "test_caller.h"

namespace hawthornlane::scenarios {

/// What may be repeated of a call.
enum class repetition : std::uint8_t {
  /// Runs once at most.
  once,
  /// May run at two servers.
  idempotent,
  /// A stream that another server may go on with.
  resumable,
};

/// A call as its caller sent it.
struct sent_call {
  call_request request;
  repetition repeats = repetition::once;
  /// What a server has to receive: the history and the new input.
  std::string body_at_server;
  std::string program;
  /// Whose key it bears; empty: none.
  std::string account;
  /// Tokens that the program may generate; 0: no limit.
  int budget = 0;
  /// It goes on from a turn that was answered whole and is still kept.
  bool goes_on = false;
  bool is_stream = false;
  /// Every configuration that may be in force has its route.
  bool route_is_certain = true;
};

inline constexpr std::uint64_t kb_each_mb = 1024;

/// Resident memory, KB of 1024 bytes.
struct memory_use {
  std::uint64_t peak_kb = 0;
  std::uint64_t limit_kb = 0;

  friend bool operator==(const memory_use&, const memory_use&) = default;
};

/// Collects broken promises. Knows no network and no clock.
class promise_checker {
public:
  void on_sent(const sent_call& call);
  /// A request reached a server.
  void on_arrival(const std::string& server, const stand_ins::backend_arrival& arrival);
  /// The caller has its answer, or what there is of it. `calm`: nothing was harmed
  /// from some seconds before the call to its end.
  void on_answer(const std::string& id, const call_result& result, bool calm);
  /// What a process of that kind has had at most so far, and what it may have.
  void on_memory(const std::string& kind, const std::string& process, memory_use use);
  /// Something else that was promised does not hold.
  void note(const std::string& what);

  [[nodiscard]] const std::vector<std::string>& broken() const { return this->found; }
  /// How often calls ended with each status; 0: without an answer.
  [[nodiscard]] const std::map<int, std::uint64_t>& statuses() const { return this->counts; }
  /// The process of each kind that came nearest to its limit.
  [[nodiscard]] const std::map<std::string, memory_use>& memory() const { return this->largest; }
  [[nodiscard]] int runs(const std::string& id) const;

private:
  struct known_call {
    sent_call sent;
    int runs = 0;
    /// The status that told the caller that it has not run and never will; 0: none.
    int refused = 0;
  };

  void check_success(const known_call& call, const call_result& result);
  void check_stream(const known_call& call, const call_result& result);

  std::map<std::string, known_call> calls;
  std::map<std::string, int> tokens;
  std::map<int, std::uint64_t> counts;
  std::map<std::string, memory_use> largest;
  /// Processes that were noted as over their limit.
  std::set<std::string> too_large;
  std::vector<std::string> found;
};

/// The answer of a stand-in's model server, and what is kept of it.
std::string events_of_turn();
std::string output_of_turn();

}  // namespace hawthornlane::scenarios
