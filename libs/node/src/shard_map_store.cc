// Writes the shard map by conditional updates and reads it back when a result is unknown.
#include "hawthornlane/node/shard_map_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "hawthornlane/telemetry/log.h"

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const std::string key_prefix = "shard-map/";
constexpr auto retry_interval = std::chrono::milliseconds(300);
/// Proposals that arrive within this time share one write.
constexpr auto batch_interval = std::chrono::milliseconds(20);

json::object to_json(const host_incarnation& host) {
  // 64-bit numbers are written as text, since other JSON readers may round them.
  return {{"host", host.host.get()}, {"start", std::to_string(host.start.get())}};
}

host_incarnation host_from(const json::value& value) {
  const json::object& fields = value.as_object();
  return {host_id(std::string(fields.at("host").as_string())),
          incarnation(std::stoull(std::string(fields.at("start").as_string())))};
}

json::object to_json(const assignment& entry) {
  json::array replicas;
  for (const host_incarnation& replica : entry.replicas) {
    replicas.push_back(to_json(replica));
  }
  return {{"epoch", entry.at.get()},
          {"owner", to_json(entry.owner)},
          {"replicas", replicas},
          {"nonce", std::to_string(entry.nonce)}};
}

assignment assignment_from(const json::value& value) {
  const json::object& fields = value.as_object();
  assignment entry;
  entry.at = epoch(fields.at("epoch").to_number<std::uint64_t>());
  entry.owner = host_from(fields.at("owner"));
  for (const json::value& replica : fields.at("replicas").as_array()) {
    entry.replicas.push_back(host_from(replica));
  }
  entry.nonce = std::stoull(std::string(fields.at("nonce").as_string()));
  return entry;
}

}  // namespace

std::string block_to_json(const std::map<shard_id, assignment>& entries) {
  json::object block;
  for (const auto& [shard, entry] : entries) {
    block[std::to_string(shard.get())] = to_json(entry);
  }
  return json::serialize(block);
}

std::optional<std::map<shard_id, assignment>> block_from_json(const std::string& text) {
  try {
    std::map<shard_id, assignment> entries;
    if (text.empty()) {
      return entries;
    }
    const json::value parsed = json::parse(text);
    for (const auto& item : parsed.as_object()) {
      const auto shard = static_cast<std::uint32_t>(std::stoul(std::string(item.key())));
      entries.emplace(shard_id(shard), assignment_from(item.value()));
    }
    return entries;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

shard_map_store::shard_map_store(runtime& clock, object_store& store, std::uint32_t count)
    : time(clock), platform(store), shards(count) {}

bool shard_map_store::has_read() const {
  const std::lock_guard lock(this->mutex);
  return this->read_completed;
}

void shard_map_store::mark_read() {
  const std::lock_guard lock(this->mutex);
  this->read_completed = true;
}

void shard_map_store::apply_object(const stored_object& object) {
  const auto entries = block_from_json(object.value);
  if (!object.key.starts_with(key_prefix) || !entries) {
    return;
  }
  for (const auto& [shard, entry] : *entries) {
    if (shard.get() < this->shards) {
      this->entry_callback(shard, entry);
    }
  }
}

void shard_map_store::propose(shard_id shard, const propose_assignment& proposal) {
  const std::uint32_t block = shard.get() / shards_per_block;
  const std::lock_guard lock(this->mutex);
  this->pending[block].insert_or_assign(shard, proposal);
  if (this->writing[block]) {
    return;
  }
  this->writing[block] = true;
  asio::co_spawn(this->time.context, this->write_block(block), asio::detached);
}

shard_map_store::block_proposals shard_map_store::take_pending(std::uint32_t block) {
  const std::lock_guard lock(this->mutex);
  block_proposals taken = std::move(this->pending[block]);
  this->pending[block].clear();
  if (taken.empty()) {
    this->writing[block] = false;
  }
  return taken;
}

asio::awaitable<void> shard_map_store::write_block(std::uint32_t block) {
  asio::steady_timer timer(this->time.context);
  timer.expires_after(batch_interval);
  co_await timer.async_wait(asio::use_awaitable);
  block_proposals batch = this->take_pending(block);
  while (!batch.empty()) {
    const bool completed = co_await this->try_block(block, batch);
    if (!completed) {
      timer.expires_after(retry_interval);
      co_await timer.async_wait(asio::use_awaitable);
      continue;
    }
    batch = this->take_pending(block);
  }
}

/// Makes one attempt to write a block. Returns true if every proposal in `batch` has its outcome
/// afterwards. If the response to a write was lost, the next attempt reads the block again: either
/// the block contains the proposal, or the proposal is written again under a newer version.
asio::awaitable<bool> shard_map_store::try_block(std::uint32_t block, block_proposals& batch) {
  failure reason;
  const std::string key = key_prefix + std::to_string(block);
  const auto object = co_await this->platform.get(key, reason);
  if (!object) {
    co_return false;
  }
  const auto read = block_from_json(object->value);
  if (!read) {
    log(event::platform_unreachable,
        {{"key", key}, {"detail", "the shard map block cannot be parsed"}});
    co_return false;
  }
  std::map<shard_id, assignment> entries = *read;
  bool changes = false;
  for (const auto& [shard, proposal] : batch) {
    if (entries[shard] == proposal.expected && proposal.expected != proposal.desired) {
      entries[shard] = proposal.desired;
      changes = true;
    }
  }
  if (!changes) {
    this->finish(batch, entries);
    co_return true;
  }
  const write_result result =
      co_await this->platform.put(key, object->version, block_to_json(entries));
  if (result.outcome == write_result::kind::unknown) {
    log(event::shard_proposal_unknown, {{"key", key}, {"detail", result.detail}});
  }
  if (result.outcome != write_result::kind::applied) {
    co_return false;
  }
  this->finish(batch, entries);
  co_return true;
}

void shard_map_store::finish(block_proposals& batch,
                             const std::map<shard_id, assignment>& current) {
  for (const auto& [shard, proposal] : batch) {
    const assignment& entry = current.at(shard);
    const bool is_applied = entry == proposal.desired;
    this->proposal_callback(shard, proposal.expected,
                            is_applied ? proposal_outcome::applied : proposal_outcome::rejected,
                            entry);
  }
  batch.clear();
}

}  // namespace hawthornlane
