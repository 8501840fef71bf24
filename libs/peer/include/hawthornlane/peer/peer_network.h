// The network between hosts: shard messages, probes and forwarded requests.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "hawthornlane/membership/messages.h"
#include "hawthornlane/ownership/messages.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A caller's request on its way to the host that owns the program.
struct forwarded_request {
  std::string method;
  std::string target;
  std::string authorization;
  std::string body;
};

/// The answer to a forwarded request, piece by piece; calls come from any thread.
struct forward_reply {
  /// Status and content type; first, once.
  std::function<void(int status, const std::string& content_type)> head;
  std::function<void(std::string_view chunk)> chunk;
  /// Last, once; false when the other host broke off.
  std::function<void(bool whole)> end;
};

/// What arrives from other hosts; called on the network's threads.
struct peer_handlers {
  std::function<void(const host_incarnation& from, shard_id, const shard_message&)> on_shard;
  std::function<void(const probe_message&)> on_probe;
  std::function<void(const forwarded_request&, const forward_reply&)> on_forward;
};

/// Sends without waiting and without promise: a message may be lost, late or
/// doubled, which the decision libraries allow for.
class peer_network {
public:
  /// Listens at "IP:port"; port 0 lets the kernel choose. Throws
  /// `std::runtime_error` when it cannot.
  peer_network(const std::string& listen_at, peer_handlers handlers);
  ~peer_network();
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  [[nodiscard]] std::string where() const;
  void send_shard(const std::string& address, const host_incarnation& from,
                  const host_incarnation& to, shard_id shard, const shard_message& message);
  void send_probe(const std::string& address, const probe_message& message);
  /// Passes a request on and hands the answer back.
  void forward(const std::string& address, const forwarded_request& request, duration limit,
               forward_reply reply);
  /// Tells this host's incarnation, so that messages for an earlier one are dropped.
  void set_self(const host_incarnation& self);

  /// Bytes of control messages sent so far.
  [[nodiscard]] std::uint64_t control_bytes_sent() const;
  [[nodiscard]] std::uint64_t shard_bytes_sent() const;
  [[nodiscard]] std::uint64_t shard_messages_sent() const;

private:
  struct state;
  std::unique_ptr<state> inner;
};

}  // namespace hawthornlane
