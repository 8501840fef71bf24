// Numbered log events on standard error.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlane {

/// The closed list of events; numbers never change their meaning. The catalogue
/// is docs/EVENTS.md.
enum class event : std::uint16_t {
  started = 100,
  settings_rejected = 101,
  ready = 102,
  stopping = 103,
  stopped = 104,
  signal_explained = 105,
  stopped_with_shards = 106,
  shard_serving = 200,
  shard_serving_incomplete = 201,
  shard_completed = 202,
  shard_deposed = 203,
  shard_degraded = 204,
  shard_restored = 205,
  shard_claimed = 206,
  shard_proposal_unknown = 207,
  invariant_broken = 210,
  peer_suspected = 300,
  peer_alive = 301,
  peer_unreachable = 302,
  document_accepted = 400,
  document_refused = 401,
  document_in_force = 402,
  document_older_ignored = 403,
  platform_unreachable = 500,
  platform_reachable = 501,
  backend_failed = 600,
  backend_excluded = 601,
  backend_restored = 602,
  cache_release_retried = 610,
  call_refused = 700,
};

/// How grave an event is.
enum class severity : std::uint8_t { info, warning, error };

/// One row of the catalogue.
struct event_entry {
  event number;
  std::string_view name;
  severity grade;
  std::string_view meaning;
};

/// All events in order of their numbers.
std::span<const event_entry> event_catalogue();

/// One named value of a log line.
struct log_field {
  std::string_view name;
  std::string value;
};

enum class log_format : std::uint8_t { text, json };

/// Sets the form of all later lines of this process; before threads start.
void set_log_format(log_format format);
/// Sets the name of this host as it stands in each line; before threads start.
void set_log_host(std::string name);

/// Writes one line. Safe from any thread.
void log(event number, const std::vector<log_field>& fields = {});

}  // namespace hawthornlane
