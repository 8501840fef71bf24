// A TCP forwarder on loopback that harms the connections it carries.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "hawthornlane/http/message.h"

namespace hawthornlane::scenarios {

/// What happens to bytes and connections from now on.
struct link_fault {
  /// Each batch of bytes arrives this much later.
  std::chrono::milliseconds delay{0};
  /// Bytes towards the target, or back from it, wait until the fault ends.
  bool hold_forward = false;
  bool hold_back = false;
  /// New connections are reset.
  bool refuse = false;
};

/// Forwards until destroyed. For the thread that runs the io_context.
class fault_proxy {
public:
  fault_proxy(boost::asio::io_context& context, const http::endpoint& target);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// Where to connect in place of the target.
  [[nodiscard]] http::endpoint where() const;
  void set_fault(const link_fault& fault);
  /// What all connections together carry back from the target, bytes a second, as if
  /// the target's link were that slow. For connections from now on; 0: no limit.
  void limit_rate(std::uint64_t bytes_a_second);
  /// Resets every connection that is open now, on both sides.
  void reset_connections();
  /// Connections that are open now carry nothing any more and stay open; new ones work.
  void silence_connections();

  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::scenarios
