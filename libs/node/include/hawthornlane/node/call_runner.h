// Sends dispatched calls to backend servers and returns their results to the shard.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "hawthornlane/engine/backend_client.h"
#include "hawthornlane/limits/retry_budget.h"
#include "hawthornlane/node/backend_table.h"
#include "hawthornlane/node/call_table.h"
#include "hawthornlane/node/model_queue.h"
#include "hawthornlane/node/runtime.h"
#include "hawthornlane/node/shard_table.h"

namespace hawthornlane {

/// A call with everything needed to dispatch it.
struct prepared_call {
  shard_id shard;
  call_request request;
  backend_requirement need;
  backend_call call;
  /// What the call adds to the program's history, in the form that the log stores.
  std::string history_request;
  token_count prompt_growth{0};
  /// Estimated tokens of the history that the prompt starts with.
  token_count history{0};
  /// Weight of the account, relative to other accounts, when servers are scarce.
  double weight = 1;
  /// Time from arrival after which a queued call is refused, and a model's answer is cut off.
  duration deadline{};
  timestamp arrived;
  std::optional<backend_server> server;
};

/// Queues calls for servers. When the scheduler assigns a server to a call, records in the shard's
/// log that the call is about to be sent, and sends it after that record is stored.
class call_runner {
public:
  /// `answer_bytes`: all answers of servers that are in memory at once.
  call_runner(runtime& time, shard_table& shards, backend_table& backends, call_table& calls,
              std::size_t answer_bytes);

  /// The reason why the call cannot be queued; nothing when it can.
  std::optional<failure> refusal(const prepared_call& call) const;
  /// Queues the call; its result is delivered through the call table.
  void enqueue(prepared_call call);
  void server_listed(const backend_server& server);
  /// Refuses queued calls whose deadline has passed; lets the scheduler check for hung servers.
  void tick();
  /// Removes a call that was answered before it was dispatched.
  void drop(call_id call);
  /// Starts sending a call; does not block.
  void dispatch(shard_id shard, const dispatch_call& order);
  /// Releases a program's cache at the engine that holds it, with retries; does not block.
  void release(const program_id& program);

  [[nodiscard]] std::uint64_t tokens_relayed() const { return this->relayed; }
  [[nodiscard]] std::size_t running() const { return this->active; }
  /// Responses of servers that were not valid HTTP.
  [[nodiscard]] std::uint64_t malformed_responses() const { return this->malformed; }

private:
  void start(call_id call, const backend_server_id& server);
  void give_up(call_id call);
  void record_result(const prepared_call& call, const backend_result& result);
  schedule_request schedule_request_of(const prepared_call& call);
  boost::asio::awaitable<void> run(dispatch_call order);
  boost::asio::awaitable<backend_result> try_servers(prepared_call& call);
  bool may_retry();
  /// Until an answer is no longer useful; zero afterwards.
  [[nodiscard]] duration time_left(const prepared_call& call) const;
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
  /// What this host knows of a live program: the server time that the program has used, seconds,
  /// and when this host first saw it.
  struct program_record {
    double attained = 0;
    timestamp began;
  };
  std::map<program_id, program_record> programs;
  retry_budget retries;
  model_queue queue;
  std::atomic<std::uint64_t> relayed{0};
  std::atomic<std::size_t> active{0};
  std::atomic<std::uint64_t> malformed{0};
};

}  // namespace hawthornlane
