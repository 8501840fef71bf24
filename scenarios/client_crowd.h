// Crowds of clients that send requests without an end, beyond the limits, or never whole.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>

#include "hawthornlane/http/message.h"
#include "hawthornlane/net/deadline_sweeper.h"

namespace hawthornlane::scenarios {

/// What the clients of a crowd send.
enum class crowd_kind : std::uint8_t {
  /// Announces 900 GB and sends on.
  announced_far_over_limit,
  /// Sends large chunks without an end.
  chunked_without_end,
  /// Sends bodies of the largest legal size, one after the other.
  whole_bodies,
  /// The same in small pieces.
  whole_bodies_in_pieces,
  /// Sends all but the last byte of a body of the largest legal size, and stays.
  stalled_bodies,
  /// The same in small pieces.
  stalled_bodies_in_pieces,
  /// Sends bodies of the largest legal size in large chunks.
  whole_large_chunks,
  /// The same without the last chunk, and stays.
  stalled_large_chunks,
  /// Sends bodies in chunks of one byte.
  whole_tiny_chunks,
  /// The same without the last chunk, and stays.
  stalled_tiny_chunks,
  /// Sends fields after the last chunk without an end.
  trailer_without_end,
  /// Sends all but the last byte of a small body, and stays.
  stalled_small_bodies,
  /// Sends all but the last byte of a head, and stays.
  stalled_heads,
  /// Sends all but the last byte of a head of many short fields with a body that stalls, and stays.
  stalled_behind_many_fields,
  /// Connects and sends nothing.
  silent,
};

/// All kinds, in the order of the enumeration.
std::span<const crowd_kind> all_crowd_kinds();
const char* name_of(crowd_kind kind);

/// How much a crowd sends.
struct crowd_size {
  /// Clients of a crowd that sends large bodies, and of one that sends little.
  int large = 96;
  int small = 700;
  /// A client without an end gives up after this many bytes.
  std::size_t endless_bytes = std::size_t{16} * 1024 * 1024;
};

/// Where a crowd connects, and what its requests are.
struct crowd_target {
  http::endpoint where;
  std::string path = "/safe/x";
  std::string host_name = "a.example";
  /// Limits of the target: a body and a head of these sizes are still legal.
  std::size_t body_bytes = 0;
  std::size_t head_bytes = 0;
  /// Each request is the turn of a program of its own.
  bool sends_turns = false;
};

/// Plays one crowd. The clients ignore refusals as far as they can: one that is refused or
/// disconnected comes again, up to a number of times that depends on the kind.
class client_crowd {
public:
  client_crowd(boost::asio::io_context& context, net::deadline_sweeper& sweeper, crowd_kind kind,
               crowd_target target, crowd_size size = {});
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;
  /// Closes all connections.
  ~client_crowd();

  /// Whether each client has sent all that it sends, and stays or has left.
  [[nodiscard]] bool has_sent() const;
  /// Ends the crowd: no client connects again, and all connections are closed.
  void leave();
  /// Statuses below 100 count connections that ended without a response.
  [[nodiscard]] const std::map<int, int>& responses() const;
  [[nodiscard]] std::uint64_t bytes_sent() const;

  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::scenarios
