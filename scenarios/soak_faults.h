// Random faults and planned work against a soaked deployment.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "soak_fleet.h"

namespace hawthornlane::scenarios {

/// Begins faults and ends them, several at a time and some in series, in an order
/// that the seed decides. Planned work comes with them and in spells of its own.
class soak_faults {
public:
  soak_faults(soak_fleet& fleet, std::uint64_t seed);

  /// Goes on to that moment.
  void tick(net::steady_time now);
  /// Ends every fault that is under way and begins no other.
  void end_all();
  /// Nothing has been harmed since some seconds before that moment.
  [[nodiscard]] bool calm_since(net::steady_time then) const;
  [[nodiscard]] const std::map<std::string, std::uint64_t>& counts() const { return this->begun; }
  /// One line a fault, for following a seed.
  [[nodiscard]] const std::vector<std::string>& history() const { return this->lines; }

private:
  using undo = std::function<void()>;
  struct fault_kind {
    const char* name;
    /// Planned work harms nothing that callers may see.
    bool planned;
    std::function<undo()> begin;
  };
  struct under_way {
    const char* name;
    bool planned;
    net::steady_time until;
    undo end;
  };

  [[nodiscard]] std::vector<fault_kind> process_faults();
  [[nodiscard]] std::vector<fault_kind> link_faults();
  [[nodiscard]] std::vector<fault_kind> outside_faults();
  [[nodiscard]] std::vector<fault_kind> planned_work();
  void begin_one(net::steady_time now);
  void end_due(net::steady_time now);
  /// A random fault for a link, set at the proxy until undone.
  undo harm(fault_proxy& proxy);
  /// Goes on with the configuration's growth, or begins one anew.
  void grow(net::steady_time now);
  void note(net::steady_time now, const std::string& what);
  undo script(const std::shared_ptr<stand_ins::behavior_script>& acts);
  undo freeze(soak_host& host);
  soak_host& any(std::vector<soak_host>& hosts);
  std::chrono::milliseconds between(int least_ms, int most_ms);
  std::size_t below(std::size_t count);

  soak_fleet& fleet;
  std::mt19937_64 random;
  std::vector<fault_kind> kinds;
  std::vector<under_way> active;
  net::steady_time next{};
  net::steady_time spell_ends{};
  bool planned_spell = false;
  net::steady_time began;
  net::steady_time harmed_until{};
  bool ended = false;
  /// Growth comes beside all else; with a source of its own, so that a seed's other
  /// faults are the same whatever it does.
  std::mt19937_64 growth_random;
  net::steady_time next_growth{};
  int growth_step = 0;
  std::map<std::string, std::uint64_t> begun;
  std::vector<std::string> lines;
};

}  // namespace hawthornlane::scenarios
