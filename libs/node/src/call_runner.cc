// Running calls at backend servers.
#include "hawthornlane/node/call_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "hawthornlane/telemetry/log.h"

namespace hawthornlane {
namespace asio = boost::asio;

namespace {

constexpr std::size_t most_servers_per_call = 3;
constexpr int release_attempts = 20;
constexpr auto release_wait = std::chrono::milliseconds(500);

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
                         call_table& open_calls)
    : time(clock), shards(table), backends(servers), calls(open_calls) {}

std::optional<backend_server_id> call_runner::prepare(prepared_call call) {
  call.server = this->backends.take(call.need, {}, this->time.now());
  if (!call.server) {
    return std::nullopt;
  }
  const backend_server_id id = call.server->id;
  const std::lock_guard lock(this->mutex);
  const call_id key = call.request.call;
  this->prepared[key] = std::make_shared<prepared_call>(std::move(call));
  return id;
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
  backend_result unused;
  unused.outcome = backend_result::kind::finished;
  this->backends.give_back(dropped->server->id, unused, this->time.now());
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
  bool go = false;
  this->shards.change(call->shard, [&](shard_core& core) {
    actions out;
    go = core.may_send(order.call, this->time.now(), out);
    return out;
  });
  if (!go) {
    co_return;
  }
  ++this->active;
  const backend_result result = co_await this->try_servers(*call);
  --this->active;
  {
    const std::lock_guard lock(this->mutex);
    this->prepared.erase(order.call);
  }
  this->shards.change(call->shard, [&](shard_core& core) {
    return core.finish_call(to_call_result(*call, result), this->time.random(), this->time.now());
  });
}

/// Goes on to another server only while it is certain that none took the call, or
/// when the call may run twice and nothing of it was passed on yet.
asio::awaitable<backend_result> call_runner::try_servers(prepared_call& call) {
  std::vector<backend_server_id> tried;
  while (true) {
    const backend_result result = co_await this->send_once(call);
    this->backends.give_back(call.server->id, result, this->time.now());
    tried.push_back(call.server->id);
    const bool untouched = result.outcome == backend_result::kind::never_started;
    const bool silent = result.outcome == backend_result::kind::broken && result.answer.empty();
    const bool again = untouched || (silent && call.request.repeatable);
    if (!again || tried.size() >= most_servers_per_call) {
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

asio::awaitable<backend_result> call_runner::send_once(const prepared_call& call) {
  if (!call.need.tool.empty()) {
    co_return co_await this->client.call_tool(call.server->address, call.call);
  }
  const call_id id = call.request.call;
  const auto take = [this, id](std::string_view text) {
    ++this->relayed;
    this->calls.push_text(id, std::string(text));
  };
  co_return co_await this->client.complete(call.server->address, call.call, take);
}

void call_runner::release(const program_id& program) {
  if (auto server = this->backends.forget_program(program)) {
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
    timer.expires_after(release_wait * (attempt + 1));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace hawthornlane
