// One host: decisions wired to edges.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "hawthornlane/node/admin_routes.h"
#include "hawthornlane/node/front_routes.h"
#include "hawthornlane/node/node_settings.h"
#include "hawthornlane/node/ownership_manager.h"
#include "hawthornlane/node/shard_map_store.h"

namespace hawthornlane {

/// A whole daemon, apart from its process: its threads, signals and settings
/// file belong to the program round it.
///
/// Lock order: a shard's lock, then one of: call table, prepared calls, host
/// view, map keeper, backend table, audit log. The latter are leaves.
class node {
public:
  /// Listens at once; throws when it cannot. `on_stopped` is called once from a
  /// worker when a planned stop has ended.
  node(boost::asio::io_context& context, node_settings settings, std::function<void()> on_stopped);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Begins a planned stop: no new programs, shards handed over, calls under way
  /// served to their end.
  void stop(const std::string& who);

  [[nodiscard]] http::endpoint front_address() const;
  [[nodiscard]] std::string peer_address() const;
  [[nodiscard]] bool ready() const;

private:
  void connect_hooks();
  peer_handlers make_peer_handlers();
  boost::asio::awaitable<void> serve(const http::request& ask, http::exchange& reply);
  boost::asio::awaitable<void> serve_forwarded(forwarded_request request, forward_reply to);
  http::response health(const std::string& path);
  std::string metrics() const;
  void record_role_change(shard_id shard, const role_changed& change);
  void take_probe(const probe_message& message);
  void carry_out(const membership_actions& todo);
  void send_documents(const probe_message& asked);

  /// Starts the coroutines that talk to the platform.
  void follow_platform();
  boost::asio::awaitable<void> follow(std::string prefix);
  boost::asio::awaitable<void> announce();
  boost::asio::awaitable<void> probe_hosts();
  boost::asio::awaitable<void> maintain_shards();
  boost::asio::awaitable<void> store_audit();
  boost::asio::awaitable<void> end_idle_programs();
  boost::asio::awaitable<void> leave();
  boost::asio::awaitable<void> wait(duration time);
  void apply_object(const std::string& prefix, const stored_object& object);

  node_settings settings;
  runtime time;
  host_incarnation self;
  object_store platform;
  audit_log audit;
  call_table calls;
  shard_table shards;
  document_registry documents;
  backend_table backends;
  shard_map_store map;
  std::unique_ptr<peer_network> peers;
  std::unique_ptr<http::server> server;
  std::unique_ptr<host_view> hosts;
  std::unique_ptr<call_runner> runner;
  std::unique_ptr<ownership_manager> duty;
  std::unique_ptr<front_routes> front;
  std::unique_ptr<admin_routes> admin;
  std::function<void()> on_stopped;
  std::atomic<bool> leaving{false};
  std::atomic<bool> stopped{false};
  std::atomic<std::uint64_t> takeovers{0};
  std::atomic<std::uint64_t> broken{0};
  /// Progress of each program and since when it stands there; one duty's own.
  std::map<program_id, std::pair<std::size_t, timestamp>> activity;
};

}  // namespace hawthornlane
