// Backend servers that a marked request ends, and what their callers and they observe.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "deployment.h"
#include "deployment_calls.h"

namespace hawthornlane::scenarios {

/// Text that marks the body of a request that ends servers.
inline constexpr const char* fatal_mark = "fatal";
/// Servers that may end under one request.
inline constexpr int max_ends = 3;

/// Sets up the servers of a deployment so that each request with the mark in its body ends its
/// server. A new server with another id starts in place of each one, and the store drops the entry
/// of the old one later, as it drops those of crashed servers.
class fatal_requests {
public:
  fatal_requests(deployment& all, stand_ins::fatal_effect effect);
  fatal_requests(const fatal_requests&) = delete;
  fatal_requests& operator=(const fatal_requests&) = delete;
  ~fatal_requests() = default;

  /// Marked requests that reached a server; servers that have ended; and marked requests that
  /// reached a server after `max_ends` servers had ended.
  [[nodiscard]] int arrivals() const { return this->counts.arrivals; }
  [[nodiscard]] int ends() const { return this->counts.ends; }
  [[nodiscard]] int late_arrivals() const { return this->counts.late; }
  /// Makes a call at that front host, and waits for `pause` after its answer.
  call_result attempt(int front, const call_request& what, std::chrono::milliseconds pause);
  /// Starts the servers that are due.
  void step();
  /// The server that runs the request as the n-th one, from 1, ends this long after its arrival.
  void delay_end(int run, std::chrono::milliseconds delay);
  /// Only servers for which this returns true end.
  void limit_to(std::function<bool(const stand_ins::scripted_backend&)> may_end);
  /// Ends one server like a crash that no request has caused.
  void crash(stand_ins::scripted_backend& server);

private:
  struct successor {
    std::string replaced;
    std::string service;
    net::steady_time start_at;
    net::steady_time unlist_at;
    bool started = false;
  };
  struct totals {
    int arrivals = 0;
    int ends = 0;
    int late = 0;
  };

  void watch(stand_ins::scripted_backend& server, const std::string& service);

  deployment& fleet;
  stand_ins::fatal_effect effect;
  std::map<int, std::chrono::milliseconds> delays;
  std::function<bool(const stand_ins::scripted_backend&)> may_end;
  std::vector<successor> successors;
  totals counts;
};

/// Calls of other programs, one after the other at all front hosts, while a test goes on.
class bystander_calls {
public:
  explicit bystander_calls(deployment& all, int fronts) : fleet(all), hosts(fronts) {}
  /// Keeps this many calls in flight. Call it often.
  void step(int in_flight);
  /// Waits for the calls in flight.
  void finish();
  [[nodiscard]] int sent() const { return this->count; }
  /// Calls that were refused although no server had ended under them, by status.
  [[nodiscard]] const std::map<int, int>& failures() const { return this->failed; }

private:
  void collect();

  deployment& fleet;
  int hosts;
  int count = 0;
  std::map<int, int> failed;
  std::vector<std::shared_ptr<std::optional<call_result>>> open;
};

}  // namespace hawthornlane::scenarios
