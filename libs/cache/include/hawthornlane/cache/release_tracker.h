// Tracks which programs hold engine memory at which servers, and the releases that are not
// confirmed yet.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Asks the server to release the program's memory.
struct release_request {
  program_id program;
  backend_server_id server;
};

/// A server's report of the programs that it holds; may be late and have gaps.
struct cache_report {
  backend_server_id server;
  /// Time at which the server held these programs, by the clock that also gives `now`.
  timestamp as_of;
  std::set<program_id> holding;
};

struct release_settings {
  duration retry_after = std::chrono::seconds(1);
  duration longest_retry = std::chrono::seconds(30);
  /// A program that a report lacks is taken off the server only if its last call there was sent
  /// more than this long before the report's `as_of`.
  duration report_lag = std::chrono::seconds(5);
};

/// Tracks which programs are at which servers, by calls and by reports, and which release requests
/// are due. No I/O or clock.
///
/// Guarantee: if a program has ended, its release is requested at each server that it was sent to
/// or that reported it, until the server confirms or a later report no longer contains the program,
/// whatever messages are lost.
class release_tracker {
public:
  explicit release_tracker(release_settings timing) : settings(timing) {}

  /// A call of the program was sent to the server.
  void sent(const program_id& program, const backend_server_id& server, timestamp now);
  /// The program has ended, failed, used up its budget or been idle too long.
  std::vector<release_request> ended(const program_id& program, timestamp now);
  void confirmed(const program_id& program, const backend_server_id& server);
  /// Compares a report with the live programs; requests the release of all others.
  std::vector<release_request> reported(const cache_report& report, timestamp now,
                                        const std::set<program_id>& live_programs);
  /// Returns the release requests that are due again.
  std::vector<release_request> tick(timestamp now);
  [[nodiscard]] std::size_t open_releases() const { return this->releasing.size(); }

private:
  struct pending {
    timestamp since;
    timestamp last;
    duration wait;
  };
  using residency = std::pair<program_id, backend_server_id>;
  void request_release(const residency& location, timestamp now, std::vector<release_request>& out);

  release_settings settings;
  std::map<program_id, std::map<backend_server_id, timestamp>> resident;
  std::map<residency, pending> releasing;
};

}  // namespace hawthornlane
