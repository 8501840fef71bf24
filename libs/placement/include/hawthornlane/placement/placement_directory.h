// One host's part of what all hosts share about placing calls: how many calls each
// server has, and which server holds a line of turns. No I/O, clock or randomness.
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

/// Short name of one incarnation of a server between hosts; unlike its id it takes four
/// bytes. What hosts told of another incarnation is under another key and never found.
using server_key = strong_value<struct server_key_tag, std::uint32_t>;
server_key server_key_of(const backend_server_id& server, incarnation start = {});

/// Calls at one server.
struct server_load {
  server_key server;
  std::uint32_t calls = 0;

  friend bool operator==(const server_load&, const server_load&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->calls);
  }
};

/// A server that has read a part of a prompt, and how much of it.
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

/// What is believed of a server's speed.
struct speed_report {
  server_key server;
  speed_word word;

  friend bool operator==(const speed_report&, const speed_report&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->word);
  }
};

/// What changed at one host.
struct directory_update {
  std::vector<server_load> loads;
  std::vector<part_location> locations;
  /// By this host's own calls.
  std::vector<speed_report> speeds;

  [[nodiscard]] bool empty() const {
    return this->loads.empty() && this->locations.empty() && this->speeds.empty();
  }
};

/// What one host wants to know before it places a call.
struct directory_request {
  std::vector<server_key> servers;
  std::vector<prompt_part_key> parts;

  [[nodiscard]] bool empty() const { return this->servers.empty() && this->parts.empty(); }
};

/// Each server and each line has one host that keeps its entry, chosen by hash among
/// the hosts that live. An entry lost with its host costs a placement by hash alone, or
/// a prompt read twice; the next call of each host writes it again.
class placement_directory {
public:
  /// A host's count that has not been told again for this long no longer counts: hosts
  /// tell each count above 0 once a second, so a host that missed three is gone.
  static constexpr duration count_lifetime = std::chrono::milliseconds(3200);
  /// What a host told of a server's speed is dropped after this time, when it weighs less than
  /// a hundredth of what it did.
  static constexpr duration speed_lifetime = std::chrono::seconds(75);
  /// Lines that one host keeps entries of; some 100 bytes each.
  static constexpr std::size_t most_lines = 16384;

  /// `host` has so many calls at the server now. Returns how many it had told before.
  std::uint32_t set_load(const host_id& host, const server_load& load, timestamp now);
  void set_location(const part_location& location);
  /// What `host` believes of the server now; it takes the place of what it told before.
  void set_speed(const host_id& host, const speed_report& speed, timestamp now);
  /// The mean of what all hosts but `asker` have told. Nothing: they have told nothing that
  /// still counts.
  [[nodiscard]] std::optional<speed_report> speed_of_others(server_key server, const host_id& asker,
                                                            timestamp now) const;
  /// Calls at the server of all hosts but `asker`.
  [[nodiscard]] std::uint32_t load_of_others(server_key server, const host_id& asker,
                                             timestamp now) const;
  /// Calls at the server of all hosts.
  [[nodiscard]] std::uint32_t load_of_all(server_key server, timestamp now) const;
  [[nodiscard]] std::optional<part_location> find(prompt_part_key part) const;

private:
  struct told_count {
    std::uint32_t calls = 0;
    timestamp told{};
  };
  struct told_word {
    speed_word word;
    timestamp told{};
  };
  struct line_entry {
    part_location location;
    std::list<prompt_part_key>::iterator used;
  };
  /// Drops what dead hosts told, and of servers that are gone.
  void drop_old_speeds(timestamp now);

  speed_rules rules;
  std::map<server_key, std::map<host_id, told_count>> loads;
  std::map<server_key, std::map<host_id, told_word>> speeds;
  timestamp next_drop{};
  /// Most recently written first. Invariant: names every entry of `lines` once.
  std::list<prompt_part_key> by_use;
  std::unordered_map<prompt_part_key, line_entry> lines;
};

/// The host that keeps the entry of `key`: each host that knows the same hosts says the
/// same. Nothing when `hosts` is empty.
std::optional<host_id> directory_host_for(std::uint64_t key, const std::vector<host_id>& hosts);

}  // namespace hawthornlane
