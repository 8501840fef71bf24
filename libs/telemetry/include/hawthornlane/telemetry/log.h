// Numbered log events, on standard error or, buffered, on standard output.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// The closed list of events; a number never changes its meaning. Documented in
/// docs/EVENTS.md.
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
  object_malformed = 502,
  platform_outage_ended = 503,
  store_checked = 504,
  backend_failed = 600,
  backend_excluded = 601,
  backend_restored = 602,
  cache_release_retried = 610,
  call_refused = 700,
  call_ended = 701,
  resumption_decided = 702,
  attempt_failed = 703,
  clients_refused = 704,
  response_malformed = 705,
  request_blocked = 710,
  request_unblocked = 711,
  configuration_in_force = 800,
  backend_listed = 810,
  backend_draining = 811,
  backend_doubted = 812,
  backend_gone = 813,
  backend_set_aside = 814,
  backend_trusted = 815,
  places_shared = 816,
  backend_restarted = 817,
  place_refused = 818,
  backend_slow = 819,
  host_reachable = 820,
  host_silent = 821,
  backend_crashed = 822,
  copy_applied = 823,
  settings_reread = 830,
  lines_dropped = 840,
  ledger_set_changed = 850,
  ledger_set_change_failed = 851,
  ledger_copy_started = 852,
  ledger_copy_finished = 853,
  ledger_set_waiting = 854,
  missed_turns_fetched = 855,
  disk_opened = 860,
  disk_failed = 861,
  turn_refused = 870,
  memory_high = 880,
};

/// Severity of an event.
enum class severity : std::uint8_t { info, warning, error };

/// One row of the event catalogue.
struct event_entry {
  event number;
  std::string_view name;
  severity level;
  std::string_view meaning;
};

/// All events, ordered by number.
std::span<const event_entry> event_catalogue();

/// A duration as whole milliseconds, for a log line.
std::string milliseconds_text(duration time);

/// A named value in a log line.
struct log_field {
  std::string_view name;
  std::string value;
};

enum class log_format : std::uint8_t { text, json };

/// Sets the format of all later lines of this process. Call it before threads start.
void set_log_format(log_format format);
/// Sets the host name in each line. Call it before threads start.
void set_log_host(std::string name);

/// Redirects all later lines to standard output through a bounded buffer: `log` never waits for
/// the reader, and lines that do not fit are dropped and counted.
void log_to_buffered_stdout();
/// Writes as much of the buffer as standard output accepts without blocking. Call it regularly.
void flush_log();

/// Writes one line. Thread-safe.
void log(event number, const std::vector<log_field>& fields = {});

}  // namespace hawthornlane
