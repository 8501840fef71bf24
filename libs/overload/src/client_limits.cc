// Limits for all clients of a process, from the limits of the process.
#include "hawthornlane/overload/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace hawthornlane::overload {
namespace {

/// Descriptors that are reserved for files and the process itself.
constexpr std::size_t reserved_descriptors = 200;
/// Memory that a connection takes while no request is there: the frames of its coroutines, its
/// socket and its place in lists.
constexpr std::size_t connection_bytes = std::size_t{8} * 1024;
/// Divisor of the memory: what the connections of calls may take.
constexpr std::size_t connection_memory_divisor = 8;
/// Each listener can have at least this many connections, and one of metrics no more than the
/// second number.
constexpr std::size_t min_connections = 4;
constexpr std::size_t max_auxiliary_connections = 64;

/// What both the settings and the kernel allow; `set` is 0 if the settings allow all.
std::size_t descriptors_of_process(std::size_t set) {
  constexpr std::size_t if_unlimited = 4096;
  rlimit limit{};
  const bool is_limited =
      ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const std::size_t allowed =
      is_limited ? static_cast<std::size_t>(limit.rlim_cur) : std::max(set, if_unlimited);
  return set > 0 ? std::min(set, allowed) : allowed;
}

}  // namespace

client_limits client_limits_for(process_bounds bounds, std::size_t memory_divisor) {
  const std::size_t all = descriptors_of_process(bounds.max_descriptors);
  const std::size_t sockets = all > 2 * reserved_descriptors ? all - reserved_descriptors : all / 2;
  const std::size_t by_memory = bounds.memory_bytes / connection_memory_divisor / connection_bytes;
  client_limits limits;
  limits.request_bytes = bounds.memory_bytes / memory_divisor;
  limits.call_connections = std::max(std::min(sockets / 8 * 5, by_memory), min_connections);
  limits.directory_connections = std::max(std::min(sockets, by_memory) / 16, min_connections);
  limits.auxiliary_connections =
      std::clamp(sockets / 32, min_connections, max_auxiliary_connections);
  return limits;
}

}  // namespace hawthornlane::overload
