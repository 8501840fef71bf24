// One host: connects the decision libraries to network, clock and platform.
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
#include "hawthornlane/overload/process_clients.h"

namespace hawthornlane {

/// The daemon without what belongs to its process: the program that contains it provides the
/// threads, handles signals and reads the settings file.
///
/// Lock order: first a shard's lock, then one of the call table, the prepared calls, the host
/// view, the shard map, the backend table or the audit log. While one of these latter locks
/// is held, no further lock is taken.
class node {
public:
  /// Starts to listen; throws if that fails. `on_stopped` is called once, on a worker
  /// thread, when a planned shutdown is complete.
  node(boost::asio::io_context& context, node_settings settings, std::function<void()> on_stopped);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Starts a planned shutdown: the host accepts no new programs, hands its shards over and
  /// serves the calls in flight to their end. `who` goes into the audit trail.
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
  void handle_probe(const probe_message& message);
  void carry_out(const membership_actions& todo);
  void send_documents(const probe_message& document_request);

  /// Starts the coroutines that read from and write to the platform.
  void start_platform_tasks();
  /// Lists the objects below `prefix`, then watches them for changes.
  boost::asio::awaitable<void> watch_prefix(std::string prefix);
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
  overload::process_clients clients;
  std::unique_ptr<peer_network> peers;
  std::unique_ptr<http::server> server;
  std::unique_ptr<host_view> hosts;
  std::unique_ptr<call_runner> runner;
  std::unique_ptr<ownership_manager> ownership;
  std::unique_ptr<front_routes> front;
  std::unique_ptr<admin_routes> admin;
  std::function<void()> on_stopped;
  std::atomic<bool> leaving{false};
  std::atomic<bool> stopped{false};
  std::atomic<std::uint64_t> takeovers{0};
  std::atomic<std::uint64_t> broken{0};
  /// The progress of each program, and when it last changed; used only by `end_idle_programs`.
  std::map<program_id, std::pair<std::size_t, timestamp>> activity;
};

}  // namespace hawthornlane
