// The clients of a process: their registry, the limits, and what is reported of them.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "hawthornlane/overload/allocator.h"
#include "hawthornlane/overload/client_limits.h"
#include "hawthornlane/overload/client_registry.h"

namespace hawthornlane::overload {

/// One for each process. Not thread-safe, but for the registry.
class process_clients {
public:
  /// `memory_divisor`: see `client_limits_for`.
  explicit process_clients(process_bounds bounds, std::size_t memory_divisor = 4)
      : bounds_of_clients(client_limits_for(bounds, memory_divisor)),
        clients(std::make_shared<client_registry>(bounds_of_clients.request_bytes)) {}

  [[nodiscard]] const client_limits& limits() const { return this->bounds_of_clients; }
  [[nodiscard]] const std::shared_ptr<client_registry>& registry() const { return this->clients; }

  /// Call it once a second: logs each cause of refusals in one line, however many there were, and
  /// returns free memory to the machine.
  void tick();
  /// Calls `add` with each metric.
  void add_metrics(
      const std::function<void(const std::string& name, std::uint64_t value)>& add) const;

private:
  client_limits bounds_of_clients;
  std::shared_ptr<client_registry> clients;
  refusal_counts logged{};
  free_memory_release memory_release;
};

}  // namespace hawthornlane::overload
