// Sends calls to backend servers.
#include "hawthornlane/node/call_runner.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "hawthornlane/telemetry/log.h"

namespace hawthornlane {
namespace asio = boost::asio;

namespace {

constexpr std::size_t max_servers_per_call = 3;
constexpr int release_attempts = 20;
constexpr auto release_retry_interval = std::chrono::milliseconds(500);

call_result to_call_result(const prepared_call& call, const backend_result& result) {
  call_result ended;
  ended.call = call.request.call;
  ended.request = call.history_request;
  ended.answer = result.answer;
  ended.used = call.prompt_growth + result.answer_tokens;
  ended.failed = result.outcome == backend_result::kind::failed;
  ended.never_started = result.outcome == backend_result::kind::never_started;
  ended.unknown = result.outcome == backend_result::kind::broken;
  return ended;
}

}  // namespace

call_runner::call_runner(runtime& clock, shard_table& table, backend_table& servers,
                         call_table& open_calls, std::size_t answer_bytes)
    : time(clock),
      shards(table),
      backends(servers),
      calls(open_calls),
      client(answer_bytes),
      queue(
          [this](const schedule_decision& decision) {
            // Posted and not called directly, since the scheduler may decide while another shard's
            // lock is held.
            asio::post(this->time.context, [this, decision] {
              this->start(call_id(decision.id.get()), decision.server);
            });
          },
          [this](waiting_id id) { this->give_up(call_id(id.get())); }) {}

void call_runner::server_listed(const backend_server& server) {
  if (!server.model.get().empty()) {
    this->queue.server_listed(server.model, server.id, !server.leaving, this->time.now());
  }
}

std::optional<failure> call_runner::refusal(const prepared_call& call) const {
  if (!call.need.tool.empty()) {
    return std::nullopt;
  }
  if (!this->queue.has_servers(call.need.model)) {
    return failure{error_kind::no_backend_server, "no backend server holds the model"};
  }
  const double wait = this->queue.predicted_wait(call.need.model);
  if (wait > to_seconds(call.deadline)) {
    return failure{error_kind::over_limit, "predicted wait of " +
                                               std::to_string(static_cast<int>(wait)) +
                                               " s exceeds the call's deadline"};
  }
  return std::nullopt;
}

schedule_request call_runner::schedule_request_of(const prepared_call& call) {
  schedule_request request;
  request.id = waiting_id(call.request.call.get());
  request.program = call.request.program;
  request.account = call.request.account;
  request.weight = call.weight;
  request.history = call.history;
  request.prompt = call.history + call.prompt_growth;
  request.expected_answer = call.call.max_tokens;
  request.arrived = call.arrived;
  const std::lock_guard lock(this->mutex);
  const auto [at, added] =
      this->programs.try_emplace(call.request.program, program_record{0, call.arrived});
  request.attained = at->second.attained;
  request.began = at->second.began;
  return request;
}

void call_runner::enqueue(prepared_call call) {
  call.arrived = this->time.now();
  const schedule_request request = this->schedule_request_of(call);
  const call_id id = call.request.call;
  const backend_requirement need = call.need;
  {
    const std::lock_guard lock(this->mutex);
    this->prepared[id] = std::make_shared<prepared_call>(std::move(call));
  }
  if (need.tool.empty()) {
    this->queue.submit(need.model, request, this->time.now());
    return;
  }
  const auto server = this->backends.take(need, {}, this->time.now());
  if (!server) {
    this->give_up(id);
    return;
  }
  const auto kept = this->find(id);
  kept->server = server;
  kept->request.server = server->id;
  this->shards.change(kept->shard, [&](shard_core& core) {
    return core.begin_call(kept->request, this->time.random(), this->time.now());
  });
}

/// Called when the scheduler has assigned the call to a server. Records in the shard's log, before
/// the call is sent, that it is about to be sent.
void call_runner::start(call_id id, const backend_server_id& chosen) {
  const auto call = this->find(id);
  if (!call) {
    return;
  }
  call->server = this->backends.acquire_chosen(chosen);
  call->request.server = chosen;
  this->shards.change(call->shard, [&](shard_core& core) {
    return core.begin_call(call->request, this->time.random(), this->time.now());
  });
}

/// Refuses a queued call. Does nothing for a call that is already assigned to a server, since that
/// call ends with its connection.
void call_runner::give_up(call_id id) {
  const auto call = this->find(id);
  if (!call || call->server) {
    return;
  }
  call_answer refused;
  this->shards.change(call->shard, [&](shard_core& core) {
    refused = core.refuse_call(call->request, error_kind::no_backend_server,
                               "no backend server was available in time", this->time.random());
    return actions{};
  });
  this->drop(id);
  this->calls.complete(id, std::move(refused));
}

void call_runner::tick() {
  const timestamp now = this->time.now();
  this->queue.tick(now);
  std::vector<call_id> expired;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, call] : this->prepared) {
      if (!call->server && now - call->arrived > call->deadline) {
        expired.push_back(id);
      }
    }
  }
  for (const call_id id : expired) {
    this->give_up(id);
  }
}

std::shared_ptr<prepared_call> call_runner::find(call_id call) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->prepared.find(call);
  return found == this->prepared.end() ? nullptr : found->second;
}

void call_runner::drop(call_id call) {
  std::shared_ptr<prepared_call> dropped;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->prepared.find(call);
    if (found == this->prepared.end()) {
      return;
    }
    dropped = found->second;
    this->prepared.erase(found);
  }
  if (dropped->need.tool.empty()) {
    this->queue.cancel(dropped->need.model, waiting_id(call.get()), this->time.now());
  }
  if (dropped->server) {
    backend_result unused;
    unused.outcome = backend_result::kind::finished;
    this->backends.release_server(dropped->server->id, unused, this->time.now());
  }
}

void call_runner::record_result(const prepared_call& call, const backend_result& result) {
  const bool succeeded = result.outcome == backend_result::kind::finished;
  {
    const std::lock_guard lock(this->mutex);
    const auto program = this->programs.find(call.request.program);
    if (program != this->programs.end()) {
      program->second.attained += to_seconds(result.whole);
    }
  }
  if (!call.need.tool.empty()) {
    return;
  }
  schedule_outcome outcome;
  outcome.id = waiting_id(call.request.call.get());
  outcome.failed = !succeeded;
  outcome.sample.prefilled = result.prompt_tokens - result.cached_tokens;
  outcome.sample.answered = result.answer_tokens;
  outcome.sample.first_token = result.first_token;
  outcome.sample.whole = result.whole;
  this->queue.finished(call.need.model, outcome, this->time.now());
}

void call_runner::dispatch(shard_id /*shard*/, const dispatch_call& order) {
  asio::co_spawn(asio::make_strand(this->time.context), this->run(order), asio::detached);
}

asio::awaitable<void> call_runner::run(dispatch_call order) {
  const auto call = this->find(order.call);
  if (!call) {
    co_return;
  }
  if (order.not_before > this->time.now()) {
    asio::steady_timer timer(this->time.context);
    timer.expires_after(order.not_before - this->time.now());
    co_await timer.async_wait(asio::use_awaitable);
  }
  bool allowed = false;
  this->shards.change(call->shard, [&](shard_core& core) {
    actions out;
    allowed = core.may_send(order.call, this->time.now(), out);
    return out;
  });
  if (!allowed) {
    co_return;
  }
  ++this->active;
  const backend_result result = co_await this->try_servers(*call);
  --this->active;
  this->record_result(*call, result);
  {
    const std::lock_guard lock(this->mutex);
    this->prepared.erase(order.call);
  }
  this->shards.change(call->shard, [&](shard_core& core) {
    return core.finish_call(to_call_result(*call, result), this->time.random(), this->time.now());
  });
}

/// Retries at another server only in two cases: it is certain that no server has started the call,
/// or the call may run twice and no part of its answer has been relayed yet.
asio::awaitable<backend_result> call_runner::try_servers(prepared_call& call) {
  std::vector<backend_server_id> tried;
  {
    const std::lock_guard lock(this->mutex);
    this->retries.on_call();
  }
  while (true) {
    const backend_result result = co_await this->send_once(call);
    this->backends.release_server(call.server->id, result, this->time.now());
    if (result.is_malformed) {
      ++this->malformed;
      log(event::response_malformed, {{"request", call.call.request_id},
                                      {"server", call.server->id.get()},
                                      {"detail", result.detail}});
    }
    tried.push_back(call.server->id);
    const bool not_started = result.outcome == backend_result::kind::never_started;
    const bool no_output = result.outcome == backend_result::kind::broken && result.answer.empty();
    const bool retryable = not_started || (no_output && call.request.repeatable);
    if (!retryable || this->time_left(call).count() == 0 || tried.size() >= max_servers_per_call ||
        !this->may_retry()) {
      co_return result;
    }
    log(event::backend_failed, {{"server", call.server->id.get()}, {"detail", result.detail}});
    auto next = this->backends.take(call.need, tried, this->time.now());
    if (!next) {
      co_return result;
    }
    call.server = std::move(next);
  }
}

duration call_runner::time_left(const prepared_call& call) const {
  return std::max(call.deadline - (this->time.now() - call.arrived), duration{});
}

bool call_runner::may_retry() {
  const std::lock_guard lock(this->mutex);
  return this->retries.try_spend();
}

asio::awaitable<backend_result> call_runner::send_once(const prepared_call& call) {
  if (!call.need.tool.empty()) {
    co_return co_await this->client.call_tool(call.server->address, call.call);
  }
  const call_id id = call.request.call;
  const auto first = std::make_shared<bool>(true);
  const auto take = [this, id, first, model = call.need.model](std::string_view text) {
    if (std::exchange(*first, false)) {
      this->queue.first_token(model, waiting_id(id.get()));
    }
    ++this->relayed;
    this->calls.push_text(id, std::string(text));
  };
  backend_call sent = call.call;
  sent.answer_timeout = this->time_left(call);
  co_return co_await this->client.complete(call.server->address, std::move(sent), take);
}

void call_runner::release(const program_id& program) {
  const auto holder = this->queue.forget(program);
  {
    const std::lock_guard lock(this->mutex);
    this->programs.erase(program);
  }
  if (auto server = holder ? this->backends.find(*holder) : std::nullopt) {
    asio::co_spawn(asio::make_strand(this->time.context),
                   this->release_with_retries(std::move(*server), program), asio::detached);
  }
}

asio::awaitable<void> call_runner::release_with_retries(backend_server server, program_id program) {
  asio::steady_timer timer(this->time.context);
  for (int attempt = 0; attempt < release_attempts; ++attempt) {
    const bool confirmed = co_await this->client.release(server.address, program);
    if (confirmed) {
      co_return;
    }
    log(event::cache_release_retried, {{"server", server.id.get()}, {"program", program.get()}});
    timer.expires_after(release_retry_interval * (attempt + 1));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace hawthornlane
