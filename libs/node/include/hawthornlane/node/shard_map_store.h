// Reading and writing the shard map in the platform.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornlane/node/runtime.h"
#include "hawthornlane/ownership/actions.h"
#include "hawthornlane/platform/object_store.h"

namespace hawthornlane {

/// The shard map as a few objects "shard-map/NUMBER", each with the entries of
/// `shards_per_block` shards. Writes of one block that fall together are one
/// conditional update.
class shard_map_store {
public:
  static constexpr std::uint32_t shards_per_block = 16;

  using entry_seen = std::function<void(shard_id, const assignment&)>;
  using proposal_done =
      std::function<void(shard_id, proposal_outcome, const std::optional<assignment>&)>;

  shard_map_store(runtime& time, object_store& platform, std::uint32_t shards);

  /// Set once, before the first use.
  void on_entry(entry_seen hook) { this->seen = std::move(hook); }
  void on_proposal(proposal_done hook) { this->done = std::move(hook); }

  /// Takes a block as read or watched.
  void apply_object(const stored_object& object);
  /// Writes the proposal; the result comes through `on_proposal`. Never waits.
  void propose(shard_id shard, const propose_assignment& proposal);
  /// Whether the map has been read at least once.
  [[nodiscard]] bool has_read() const;
  void mark_read();

private:
  using block_proposals = std::map<shard_id, propose_assignment>;

  boost::asio::awaitable<void> write_block(std::uint32_t block);
  boost::asio::awaitable<bool> try_block(std::uint32_t block, block_proposals& todo);
  block_proposals take_waiting(std::uint32_t block);
  void finish(block_proposals& todo, const std::map<shard_id, assignment>& current);

  runtime& time;
  object_store& platform;
  std::uint32_t shards;
  entry_seen seen;
  proposal_done done;
  mutable std::mutex mutex;
  std::map<std::uint32_t, block_proposals> waiting;
  std::map<std::uint32_t, bool> writing;
  bool read_once = false;
};

/// Entries of one block as text, and back; nothing when it is not a block.
std::string block_to_json(const std::map<shard_id, assignment>& entries);
std::optional<std::map<shard_id, assignment>> block_from_json(const std::string& text);

}  // namespace hawthornlane
