// Checks what callers and backend servers observe against the promises to callers.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/stand_ins/scripted_backend.h"
#include "stream_promises.h"
#include "test_caller.h"

namespace hawthornlane::scenarios {

/// Begins the body of a request that ends the servers that run it. The rest of the body up to the
/// next semicolon names the request.
inline constexpr const char* fatal_mark = "fatal-request-";

/// The name of a fatal request in a body that a server received; empty if there is none.
std::string fatal_request_in(const std::string& body);

/// Begins the body of a request for a server of the service "batches"; the time follows that the
/// server works on it, ms.
inline constexpr const char* work_mark = "work-";

/// How often a call may run.
enum class repetition : std::uint8_t {
  /// Runs at most once.
  once,
  /// May run at two servers.
  idempotent,
  /// A stream that another server may resume.
  resumable,
};

/// A call as its caller sent it.
struct sent_call {
  call_request request;
  repetition repeats = repetition::once;
  /// Body that a server must receive: the history and the new input.
  std::string body_at_server;
  std::string program;
  /// Account whose key the call carries; empty: none.
  std::string account;
  /// Tokens that the program may generate; 0: no limit.
  int budget = 0;
  /// Continues a turn that was answered completely and is still stored.
  bool continues_turn = false;
  bool is_stream = false;
  /// Takes up a stream: the attempt that brought its first event, and the last event received.
  std::string resumes;
  int last_event = 0;
  /// The caller leaves after this number of events; 0: it does not.
  int leave_after = 0;
  /// Every configuration that may be in force contains the call's route.
  bool route_is_certain = true;
  /// The request ends the servers that run it.
  bool is_fatal = false;
  /// Sent as `X-Deadline-Ms`.
  std::chrono::milliseconds time_limit = std::chrono::seconds(3);
};

inline constexpr std::uint64_t kb_per_mb = 1024;

/// Resident memory, KB of 1024 bytes.
struct memory_use {
  std::uint64_t peak_kb = 0;
  std::uint64_t limit_kb = 0;

  friend bool operator==(const memory_use&, const memory_use&) = default;
};

/// Collects broken promises. Uses no network and no clock.
class promise_checker {
public:
  void on_sent(const sent_call& call);
  /// Records a request that reached a server.
  void on_arrival(const std::string& server, const stand_ins::backend_arrival& arrival);
  /// Records that a server has ended under a fatal request.
  void on_server_end(const std::string& fatal_request);
  /// Records the response to a call, complete or not. `calm`: the call ended before its
  /// deadline, and no fault but planned maintenance was active during it or in the 3 s before it.
  void on_answer(const std::string& id, const call_result& result, bool calm);
  /// Records the peak memory so far and the limit of a process of that kind.
  void on_memory(const std::string& kind, const std::string& process, memory_use use);
  /// Records another broken promise.
  void note(const std::string& what);

  [[nodiscard]] const std::vector<std::string>& broken() const { return this->found; }
  /// Number of calls that ended with each status; 0: no response.
  [[nodiscard]] const std::map<int, std::uint64_t>& statuses() const { return this->counts; }
  /// Of each kind, the process that came closest to its limit.
  [[nodiscard]] const std::map<std::string, memory_use>& memory() const { return this->largest; }
  /// Fatal requests under which as many servers have ended as may, and all servers ended.
  [[nodiscard]] int fatal_requests_stopped() const;
  [[nodiscard]] int servers_ended() const;
  [[nodiscard]] int runs(const std::string& id) const;
  [[nodiscard]] bool was_sent(const std::string& id) const { return this->calls.contains(id); }
  [[nodiscard]] stream_promises& of_streams() { return this->streams; }

private:
  struct known_call {
    sent_call sent;
    int runs = 0;
    /// Servers that ran it, with the number of runs at each.
    std::map<std::string, int> servers;
    /// Status that promised the caller that the call has not run and never will; 0: none.
    int refused = 0;
  };

  void check_success(const known_call& call, const call_result& result);
  void check_stream(const known_call& call, const call_result& result);

  stream_promises streams;
  std::map<std::string, known_call> calls;
  /// Servers that have ended under each fatal request.
  std::map<std::string, int> ends;
  std::map<std::string, int> tokens;
  std::map<int, std::uint64_t> counts;
  std::map<std::string, memory_use> largest;
  /// Processes that were already reported as over their limit.
  std::set<std::string> too_large;
  std::vector<std::string> found;
};

}  // namespace hawthornlane::scenarios
