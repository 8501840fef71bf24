// Event queue with virtual time for simulated loads.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "hawthornlane/units/quantities.h"

namespace hawthornlane::simulate {

/// Runs events in order of time. Events at the same time run in the order in which they were added.
class event_queue {
public:
  /// Schedules `act` to run `after` from now.
  void at(duration after, std::function<void()> act) {
    this->events.push({this->time + after, ++this->last_order, std::move(act)});
  }
  /// Runs until no events are left.
  void run() {
    while (!this->events.empty()) {
      const event next = this->events.top();
      this->events.pop();
      this->time = next.when;
      next.act();
    }
  }
  [[nodiscard]] duration now() const { return this->time; }

private:
  struct event {
    duration when;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const event& other) const {
      return std::tie(this->when, this->order) > std::tie(other.when, other.order);
    }
  };

  duration time{};
  std::uint64_t last_order = 0;
  std::priority_queue<event> events;
};

}  // namespace hawthornlane::simulate
