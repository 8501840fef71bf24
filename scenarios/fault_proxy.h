// A TCP proxy on loopback that injects faults into the connections it forwards.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "hawthornlane/http/message.h"

namespace hawthornlane::scenarios {

/// Faults applied to bytes and connections from now on.
struct link_fault {
  /// Added to the delivery of each batch of bytes.
  std::chrono::milliseconds delay{0};
  /// Bytes towards the target, or back from it, are held until the fault ends.
  bool hold_forward = false;
  bool hold_back = false;
  /// New connections are reset.
  bool refuse = false;
};

/// Forwards until destroyed. Use it only on the thread that runs the io_context.
class fault_proxy {
public:
  fault_proxy(boost::asio::io_context& context, const http::endpoint& target);
  /// Takes connections from `listener`, a listening IPv4 socket, which it owns from now on.
  fault_proxy(boost::asio::io_context& context, int listener, const http::endpoint& target);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// Endpoint to connect to instead of the target.
  [[nodiscard]] http::endpoint where() const;
  void set_fault(const link_fault& fault);
  /// Limits the total rate of all connections from the target, bytes per second, as if the
  /// target's link were that slow; 0: no limit. To be set before connections are opened: only
  /// new ones get the small receive buffer that makes the target queue the excess.
  void limit_rate(std::uint64_t bytes_per_second);
  /// Resets every open connection on both sides.
  void reset_connections();
  /// Ends like a crashed process: refuses new connections and resets all others.
  void close();
  /// Open connections stay open but deliver nothing any more; new ones work.
  void silence_connections();

  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::scenarios
