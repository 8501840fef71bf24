// Callers of a fault soak whose calls take long, on connections that stay open.
#include <fmt/format.h>

#include "soak_caller.h"

namespace hawthornlane::scenarios {
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

/// Of a call of a batch caller; longer than the grace period less the time in which calls are
/// rejected, so that a call may end after the process of a stopping host.
constexpr auto batch_limit = 6000ms;
/// Work of a server on such a call, up to the longest one of the deployments.
constexpr int min_batch_ms = 300;
constexpr int max_batch_ms = 1500;

}  // namespace

asio::awaitable<void> soak_callers::run_batch_caller(std::uint64_t seed) {
  std::vector<std::unique_ptr<caller>> connections;
  for (const soak_host& host : this->fleet.fronts) {
    connections.push_back(std::make_unique<caller>(this->context, this->sweeper, seed++));
    connections.back()->addresses = {http::to_string(host.callers->where())};
    connections.back()->addresses_until = net::never;
  }
  caller& choice = *connections.front();
  while (!this->stopping) {
    for (const auto& idle : connections) {
      co_await this->connect(*idle);
    }
    sent_call call;
    call.request.path = "/batch/x";
    call.request.id = this->fresh_id();
    const auto work = static_cast<int>(choice.random_index(max_batch_ms - min_batch_ms));
    call.request.body = fmt::format("{}{};", work_mark, min_batch_ms + work);
    call.body_at_server = call.request.body;
    call.time_limit = batch_limit;
    co_await this->attempt(*connections[choice.random_index(connections.size())], call);
    co_await pause(std::chrono::milliseconds(choice.random_index(200)));
  }
  --this->active_tasks;
}

}  // namespace hawthornlane::scenarios
