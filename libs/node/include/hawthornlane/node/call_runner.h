// Sending dispatched calls to backend servers and bringing their results back.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "hawthornlane/engine/backend_client.h"
#include "hawthornlane/node/backend_table.h"
#include "hawthornlane/node/call_table.h"
#include "hawthornlane/node/runtime.h"
#include "hawthornlane/node/shard_table.h"

namespace hawthornlane {

/// A call with everything that its dispatch needs.
struct prepared_call {
  shard_id shard;
  call_request request;
  backend_need need;
  backend_call call;
  /// What the call adds to the history, as the log keeps it.
  std::string history_request;
  token_count prompt_growth{0};
  std::optional<backend_server> server;
};

/// Keeps prepared calls until their intent is logged, then runs them.
class call_runner {
public:
  call_runner(runtime& time, shard_table& shards, backend_table& backends, call_table& calls);

  /// Takes a server and keeps the call; nothing when no server can take it.
  std::optional<backend_server_id> prepare(prepared_call call);
  /// The call was answered before it was dispatched.
  void drop(call_id call);
  /// Starts a dispatch; never waits.
  void dispatch(shard_id shard, const dispatch_call& order);
  /// Gives back the engine memory of a program, with retries; never waits.
  void release(const program_id& program);

  [[nodiscard]] std::uint64_t tokens_relayed() const { return this->relayed; }
  [[nodiscard]] std::size_t running() const { return this->active; }

private:
  boost::asio::awaitable<void> run(dispatch_call order);
  boost::asio::awaitable<backend_result> try_servers(prepared_call& call);
  boost::asio::awaitable<backend_result> send_once(const prepared_call& call);
  boost::asio::awaitable<void> release_with_retries(backend_server server, program_id program);
  std::shared_ptr<prepared_call> find(call_id call) const;

  runtime& time;
  shard_table& shards;
  backend_table& backends;
  call_table& calls;
  backend_client client;
  mutable std::mutex mutex;
  std::map<call_id, std::shared_ptr<prepared_call>> prepared;
  std::atomic<std::uint64_t> relayed{0};
  std::atomic<std::size_t> active{0};
};

}  // namespace hawthornlane
