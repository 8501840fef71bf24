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

/// A caller's request that is forwarded to the host that owns the program.
struct forwarded_request {
  std::string method;
  std::string target;
  std::string authorization;
  std::string body;
};

/// Callbacks for the streamed response to a forwarded request; they are called on any thread.
struct forward_reply {
  /// Called first, once.
  std::function<void(int status, const std::string& content_type)> head;
  std::function<void(std::string_view chunk)> chunk;
  /// Called last, once; `whole` is false when the response is incomplete.
  std::function<void(bool whole)> end;
};

/// Handlers of messages from other hosts; they are called on the network's threads.
struct peer_handlers {
  std::function<void(const host_incarnation& from, shard_id, const shard_message&)> on_shard;
  std::function<void(const probe_message&)> on_probe;
  std::function<void(const forwarded_request&, const forward_reply&)> on_forward;
};

/// Sends messages without blocking and without a delivery guarantee: a message may be lost,
/// delayed or duplicated. The decision libraries tolerate this.
class peer_network {
public:
  /// Listens at "IP:port"; port 0 lets the kernel choose the port. Throws
  /// `std::runtime_error` when it cannot listen.
  peer_network(const std::string& listen_at, peer_handlers handlers);
  ~peer_network();
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  /// The listening address, with the port in use.
  [[nodiscard]] std::string where() const;
  void send_shard(const std::string& address, const host_incarnation& from,
                  const host_incarnation& to, shard_id shard, const shard_message& message);
  void send_probe(const std::string& address, const probe_message& message);
  /// Forwards a request and passes the response to `reply`; fails after `limit`.
  void forward(const std::string& address, const forwarded_request& request, duration limit,
               forward_reply reply);
  /// Sets this host's incarnation; messages for another incarnation are dropped.
  void set_self(const host_incarnation& self);

  /// Bytes of gossip probes sent so far.
  [[nodiscard]] std::uint64_t control_bytes_sent() const;
  [[nodiscard]] std::uint64_t shard_bytes_sent() const;
  [[nodiscard]] std::uint64_t shard_messages_sent() const;

private:
  struct state;
  std::unique_ptr<state> impl;
};

}  // namespace hawthornlane
