// One host's shard of the placement directory, which all hosts share: the number of calls at each
// server, the server that has cached a session's prompt, and servers' speeds. No I/O, clock or
// randomness.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hawthornlane/placement/prefix_cache_view.h"
#include "hawthornlane/placement/server_speed.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Four-byte hash of a server's id and incarnation, used between hosts in place of the longer id.
/// Reports about another incarnation have another key, so they are never applied to this one.
using server_key = strong_value<struct server_key_tag, std::uint32_t>;
server_key server_key_of(const backend_server_id& server, incarnation start = {});

/// Number of calls at one server.
struct server_load {
  server_key server;
  std::uint32_t calls = 0;

  friend bool operator==(const server_load&, const server_load&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->calls);
  }
};

/// A server that has read a part of a prompt, and how many tokens of the part it has read.
struct part_location {
  prompt_part_key part;
  server_key server;
  token_count tokens{0};

  friend bool operator==(const part_location&, const part_location&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->part, this->server, this->tokens);
  }
};

/// An estimate of a server's speed, as hosts report it to each other.
struct speed_report {
  server_key server;
  speed_estimate word;

  friend bool operator==(const speed_report&, const speed_report&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->word);
  }
};

/// Changes that one host reports to the directory.
struct directory_update {
  std::vector<server_load> loads;
  std::vector<part_location> locations;
  /// Estimates from this host's own calls only.
  std::vector<speed_report> speeds;

  [[nodiscard]] bool empty() const {
    return this->loads.empty() && this->locations.empty() && this->speeds.empty();
  }
};

/// Entries that a host requests before it places a call.
struct directory_request {
  std::vector<server_key> servers;
  std::vector<prompt_part_key> parts;

  [[nodiscard]] bool empty() const { return this->servers.empty() && this->parts.empty(); }
};

/// The entry of each server and each session is held by one host, chosen among the live hosts by
/// rendezvous hashing. If a host fails, its entries are lost: calls are placed by hash alone or
/// prompts are read twice, until the next call of each host writes the entries again.
class placement_directory {
public:
  /// A host's count is ignored if it has not been repeated for this long. Hosts report each count
  /// above 0 once a second, so a host that has missed three reports is down.
  static constexpr duration count_lifetime = std::chrono::milliseconds(3200);
  /// A host's report of a server's speed is dropped after this time, when its weight has decayed to
  /// less than 1%.
  static constexpr duration speed_lifetime = std::chrono::seconds(75);
  /// Upper bound of the session entries that one host holds, of about 100 bytes each. The least
  /// recently written entry is removed first.
  static constexpr std::size_t max_sessions = 16384;

  /// Sets the number of calls that `host` has at the server. Returns the previous number.
  std::uint32_t set_load(const host_id& host, const server_load& load, timestamp now);
  void set_location(const part_location& location);
  /// Sets the estimate that `host` reports, replacing its previous one.
  void set_speed(const host_id& host, const speed_report& speed, timestamp now);
  /// Weighted mean of the estimates of all hosts but `requester`. Empty if no other host has
  /// reported one that still has weight.
  [[nodiscard]] std::optional<speed_report> speed_of_others(server_key server,
                                                            const host_id& requester,
                                                            timestamp now) const;
  /// Number of calls that all hosts but `requester` have at the server.
  [[nodiscard]] std::uint32_t load_of_others(server_key server, const host_id& requester,
                                             timestamp now) const;
  /// Number of calls that all hosts have at the server.
  [[nodiscard]] std::uint32_t load_of_all(server_key server, timestamp now) const;
  /// The latest location of the part. Empty if there is no entry.
  [[nodiscard]] std::optional<part_location> find(prompt_part_key part) const;

private:
  struct reported_count {
    std::uint32_t calls = 0;
    timestamp reported_at{};
  };
  struct reported_speed {
    speed_estimate word;
    timestamp reported_at{};
  };
  struct session_entry {
    part_location location;
    std::list<prompt_part_key>::iterator recency_position;
  };
  /// Drops outdated reports: those of hosts that are down, and those about removed servers.
  void drop_expired_speeds(timestamp now);

  speed_rules rules;
  std::map<server_key, std::map<host_id, reported_count>> loads;
  std::map<server_key, std::map<host_id, reported_speed>> speeds;
  timestamp next_drop{};
  /// Most recently written first. Invariant: contains the key of each entry of `lines` once.
  std::list<prompt_part_key> recency;
  /// Sessions by the key of their last prompt part, which belongs to one session only.
  std::unordered_map<prompt_part_key, session_entry> lines;
};

/// The host that holds the directory entry of `key`. All hosts that have the same list of hosts get
/// the same result. Empty if `hosts` is empty.
std::optional<host_id> directory_host_for(std::uint64_t key, const std::vector<host_id>& hosts);

}  // namespace hawthornlane
