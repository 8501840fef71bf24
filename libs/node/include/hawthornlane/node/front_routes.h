// The HTTP interface for callers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "hawthornlane/http/server.h"
#include "hawthornlane/node/call_runner.h"
#include "hawthornlane/node/document_registry.h"
#include "hawthornlane/node/host_view.h"
#include "hawthornlane/peer/peer_network.h"

namespace hawthornlane {

/// What the callers' interface needs from its host.
struct front_dependencies {
  runtime& time;
  shard_table& shards;
  host_view& hosts;
  document_registry& documents;
  call_runner& runner;
  call_table& calls;
  /// How long callers may use an address that this host gave them; see
  /// `node_settings::address_time`.
  duration address_time;
  /// Forwards a request to the owner of its shard.
  std::function<void(const std::string& address, const forwarded_request&, forward_reply)> forward;
  /// Whether the host accepts new programs.
  std::function<bool()> accepting;
};

/// Handles callers' requests. Every error response comes from the error table.
class front_routes {
public:
  explicit front_routes(front_dependencies dependencies);

  /// Whether the path belongs to the callers' interface.
  [[nodiscard]] static bool handles_path(const std::string& path);
  /// `forwarded`: the request came from another host and is not forwarded again.
  boost::asio::awaitable<void> handle(const http::request& http_request, http::exchange& reply,
                                      bool forwarded);

private:
  boost::asio::awaitable<void> addresses(const http::request& http_request, http::exchange& reply);
  boost::asio::awaitable<void> open(http::exchange& reply, const caller_identity& caller);
  boost::asio::awaitable<void> call(const http::request& http_request, http::exchange& reply,
                                    const caller_identity& caller, const program_id& program);
  boost::asio::awaitable<void> close(http::exchange& reply, const caller_identity& caller,
                                     const program_id& program);
  boost::asio::awaitable<void> show(http::exchange& reply, const caller_identity& caller,
                                    const program_id& program);
  boost::asio::awaitable<void> fetch(http::exchange& reply, const caller_identity& caller,
                                     const program_id& program, const std::string& ticket_text);
  boost::asio::awaitable<void> forward_to_owner(const http::request& http_request,
                                                http::exchange& reply, shard_id shard);
  boost::asio::awaitable<void> relay(http::exchange& reply, call_channel& channel, bool stream);
  boost::asio::awaitable<void> route_program(const http::request& http_request,
                                             http::exchange& reply, const caller_identity& caller,
                                             bool forwarded);

  bool read_program(const program_id& program, const caller_identity& caller,
                    const std::function<void(const shard_core&, const program_state&)>& read);
  std::optional<prepared_call> prepare(const http::request& http_request,
                                       const caller_identity& caller, const program_id& program,
                                       bool& stream, failure& reason);
  bool prepare_model_call(const service_document& document, prepared_call& call,
                          const struct call_fields& fields, failure& reason);
  bool prepare_tool_call(const service_document& document, prepared_call& call,
                         const struct call_fields& fields, failure& reason);
  std::optional<std::string> conversation(const program_id& program,
                                          const std::string& new_messages);
  /// A random shard served by this host that has a replica in sync and so can take a new
  /// program; nothing when there is none.
  std::optional<shard_id> pick_local_shard();
  std::optional<member> owner_of(shard_id shard);

  front_dependencies dependencies;
};

/// The response that the error table defines for `kind`.
http::response error_response(error_kind kind, std::string_view detail);
/// The bearer token of a request, or an empty string.
std::string credential_of(const http::request& http_request);

}  // namespace hawthornlane
