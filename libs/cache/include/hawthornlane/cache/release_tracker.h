// Which programs hold engine memory where, and the releases not yet confirmed.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Ask that server to give back the program's memory.
struct release_request {
  program_id program;
  backend_server_id server;
};

/// What a server says that it holds; late and possibly with gaps.
struct cache_report {
  backend_server_id server;
  /// When the report was true, at the server.
  timestamp as_of;
  std::set<program_id> holding;
};

struct release_settings {
  duration retry_after = std::chrono::seconds(1);
  duration longest_retry = std::chrono::seconds(30);
  /// Reports may be this old; what was sent since is not judged by them.
  duration report_lag = std::chrono::seconds(5);
};

/// Residency by call and by report, and the orders that are due. No I/O or clock.
///
/// Promise: a program that has ended and was ever sent to a server, or was ever
/// reported by one, is ordered to be released there until the server confirms or
/// a later report no longer names it, whatever is lost on the way.
class release_tracker {
public:
  explicit release_tracker(release_settings timing) : times(timing) {}

  /// A call of the program went to the server.
  void sent(const program_id& program, const backend_server_id& server, timestamp now);
  /// The program has ended, failed, used its budget up or been idle too long.
  std::vector<release_request> ended(const program_id& program, timestamp now);
  void confirmed(const program_id& program, const backend_server_id& server);
  /// Compares a report with the programs that live; orphans are ordered out.
  std::vector<release_request> reported(const cache_report& report, timestamp now,
                                        const std::set<program_id>& living);
  /// Orders that are due again.
  std::vector<release_request> tick(timestamp now);
  [[nodiscard]] std::size_t open_releases() const { return this->releasing.size(); }

private:
  struct pending {
    timestamp since;
    timestamp last;
    duration wait;
  };
  using place = std::pair<program_id, backend_server_id>;
  void order(const place& where, timestamp now, std::vector<release_request>& out);

  release_settings times;
  std::map<program_id, std::map<backend_server_id, timestamp>> resident;
  std::map<place, pending> releasing;
};

}  // namespace hawthornlane
