// Limits for all clients of a process, from the limits of the process.
#pragma once

#include <cstddef>

namespace hawthornlane::overload {

/// What the machine allows a process.
struct process_bounds {
  std::size_t memory_bytes = 0;
  /// Descriptors, those for files included; 0: as many as the kernel's limit of the process.
  std::size_t max_descriptors = 0;
};

/// What the clients of a process may make it hold.
struct client_limits {
  /// Heads, bodies and copies of bodies of all requests together.
  std::size_t request_bytes = 0;
  /// Connections of those who send calls, who ask for addresses, and who read readiness or metrics.
  /// The other descriptors are for servers, other hosts, the store and files.
  std::size_t call_connections = 0;
  std::size_t directory_connections = 0;
  std::size_t auxiliary_connections = 0;
};

/// Limits of a process that serves calls; of one that serves only metrics, those for calls are
/// unused and it has `memory_divisor` 32.
client_limits client_limits_for(process_bounds bounds, std::size_t memory_divisor = 4);

}  // namespace hawthornlane::overload
