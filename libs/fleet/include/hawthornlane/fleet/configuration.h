// The operator's configuration as the hosts use it: routes, services, limits, client accounts.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/accounts/account_table.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Version of a configuration; increases in steps of varying size.
using config_version = strong_value<struct config_version_tag, std::uint64_t>;
/// Name of a route, unique in a configuration.
using route_name = strong_value<struct route_name_tag, std::string>;

/// How a call may be retried when its response was lost.
enum class call_kind : std::uint8_t {
  /// Idempotent: may run more than once.
  idempotent,
  /// Runs at most once.
  once,
  /// Runs at most once; the response is an event stream.
  stream,
};

/// One service that a route sends to, and its relative share of the traffic.
struct weighted_service {
  service_name service;
  std::uint32_t weight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// One route: the calls that it matches and how they are handled.
struct route {
  route_name name;
  std::string host_name;
  /// Starts and ends with a slash.
  std::string path_prefix;
  call_kind kind = call_kind::once;
  /// Longest time from a call's arrival to its end; a caller's deadline can only shorten it.
  duration timeout{};
  /// Target time to the response, or to a stream's first event.
  duration latency_objective{};
  /// Target for the longest time between two events.
  duration gap_objective{};
  /// Maximum number of backend servers that one call may be sent to.
  std::uint32_t max_attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Accepts calls without a key, even if there are client accounts.
  bool open_to_all = false;
  /// If set, the calls of a program, or else of a session, prefer one server: servers are faster on
  /// data that they have handled lately. If not set, only calls with the same affinity key do.
  bool sticky = false;
  /// A broken stream may continue at another server after the last complete event.
  bool resumable = false;
  /// The hosts store the turns of a program and prepend them to the next prompt.
  bool keeps_turns = false;
  /// How long a turn and a budget are stored.
  duration retention{};
  std::vector<weighted_service> services;

  friend bool operator==(const route&, const route&) = default;
};

/// Properties of a service's model engines.
struct engine_properties {
  std::uint32_t slots = 1;
  token_count cache_capacity{0};
  /// Tokens that one event carries.
  token_count tokens_per_event{1};
  /// Longest time for which an engine keeps what a call read and generated.
  duration max_pin{};

  friend bool operator==(const engine_properties&, const engine_properties&) = default;
};

/// One service: a pool of backend servers.
struct service {
  service_name name;
  /// Connections that one backend server accepts from all hosts together.
  std::uint32_t max_connections = 0;
  /// Path at which a server answers a liveness check; empty: none.
  std::string health_path;
  /// Set if the servers are model engines.
  std::optional<engine_properties> engine;

  friend bool operator==(const service&, const service&) = default;
};

/// Limits on the size of requests and on slow callers.
struct caller_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  /// For a complete request head, from its first byte.
  duration header_timeout = std::chrono::seconds(3);
  /// For a connection without a request.
  duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// One whole configuration.
struct configuration {
  config_version version;
  std::vector<route> routes;
  std::map<service_name, service> services;
  caller_limits limits;
  /// Null: calls need no key and have no account.
  account_table_ptr accounts;
};

}  // namespace hawthornlane
