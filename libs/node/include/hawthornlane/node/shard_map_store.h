// Reads and writes the shard map in the platform.
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

/// Stores the shard map as a few objects "shard-map/NUMBER", each with the entries of
/// `shards_per_block` shards. Proposals for one block that arrive close together share one
/// conditional update.
class shard_map_store {
public:
  static constexpr std::uint32_t shards_per_block = 16;

  using entry_hook = std::function<void(shard_id, const assignment&)>;
  /// Gets the entry that the proposal expected, its outcome, and the current entry if it is known.
  using proposal_hook = std::function<void(shard_id, const assignment&, proposal_outcome,
                                           const std::optional<assignment>&)>;

  shard_map_store(runtime& time, object_store& platform, std::uint32_t shards);

  /// Set both hooks once, before the first use.
  void on_entry(entry_hook hook) { this->entry_callback = std::move(hook); }
  void on_proposal(proposal_hook hook) { this->proposal_callback = std::move(hook); }

  /// Reports the entries of a block that was read or watched to the `on_entry` hook.
  void apply_object(const stored_object& object);
  /// Queues the proposal for writing; the result goes to the `on_proposal` hook. Does not block.
  void propose(shard_id shard, const propose_assignment& proposal);
  /// Whether the whole map has been read at least once.
  [[nodiscard]] bool has_read() const;
  void mark_read();

private:
  using block_proposals = std::map<shard_id, propose_assignment>;

  boost::asio::awaitable<void> write_block(std::uint32_t block);
  boost::asio::awaitable<bool> try_block(std::uint32_t block, block_proposals& batch);
  block_proposals take_pending(std::uint32_t block);
  void finish(block_proposals& batch, const std::map<shard_id, assignment>& current);

  runtime& time;
  object_store& platform;
  std::uint32_t shards;
  entry_hook entry_callback;
  proposal_hook proposal_callback;
  mutable std::mutex mutex;
  std::map<std::uint32_t, block_proposals> pending;
  std::map<std::uint32_t, bool> writing;
  bool read_completed = false;
};

/// Converts the entries of one block to JSON and back; nothing when the text is not a block.
std::string block_to_json(const std::map<shard_id, assignment>& entries);
std::optional<std::map<shard_id, assignment>> block_from_json(const std::string& text);

}  // namespace hawthornlane
