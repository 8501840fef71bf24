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

/// Number of a configuration; rises in uneven steps.
using config_version = strong_value<struct config_version_tag, std::uint64_t>;
/// Name of a route, unique in a configuration.
using route_name = strong_value<struct route_name_tag, std::string>;

/// What may be done with a call whose answer did not come.
enum class call_kind : std::uint8_t {
  /// Idempotent: may run more than once.
  idempotent,
  /// Runs at most once.
  once,
  /// Runs at most once and is answered by events.
  stream,
};

/// One service that a route sends to, and its part of the traffic.
struct weighted_service {
  service_name service;
  std::uint32_t weight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// One route: which calls it takes and how they are served.
struct route {
  route_name name;
  std::string host_name;
  /// Begins and ends with a slash.
  std::string path_prefix;
  call_kind kind = call_kind::once;
  /// The longest time that a call may be kept waiting.
  duration timeout{};
  /// The time within which an answer, or a stream's first event, is wanted.
  duration latency_objective{};
  /// The longest wanted pause between two events.
  duration gap_objective{};
  /// Backend servers that one call may be sent to.
  std::uint32_t max_attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Needs no key, also where there are client accounts.
  bool open_to_all = false;
  /// Servers work faster on an object that they have handled lately.
  bool sticky = false;
  /// A broken stream may go on at another server after the last whole event.
  bool resumable = false;
  /// The hosts keep what was said and put it before the next turn.
  bool keeps_turns = false;
  /// How long a turn and a budget are kept.
  duration retention{};
  std::vector<weighted_service> services;

  friend bool operator==(const route&, const route&) = default;
};

/// What a service's model engines are.
struct engine_terms {
  std::uint32_t slots = 1;
  token_count cache_capacity{0};
  /// Tokens that one event carries.
  token_count tokens_per_event{1};
  duration max_pin{};

  friend bool operator==(const engine_terms&, const engine_terms&) = default;
};

/// One service: a pool of backend servers.
struct service {
  service_name name;
  /// Connections that one backend server takes from all hosts together.
  std::uint32_t max_connections = 0;
  /// Present when the servers are model engines.
  std::optional<engine_terms> engine;

  friend bool operator==(const service&, const service&) = default;
};

/// What a caller may send, and how slowly.
struct caller_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  /// For a whole head, from its first byte.
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
