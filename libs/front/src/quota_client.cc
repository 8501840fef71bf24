// The front host's client of the quotas.
#include "hawthornlane/front/quota_client.h"

#include <algorithm>
#include <memory>

#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/placement/rendezvous.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Delay after which the next manager is asked too. A healthy manager answers within a few
/// milliseconds.
constexpr auto next_manager_delay = std::chrono::milliseconds(40);
/// Time limit for the answer of one manager, also if relayed through another front host.
constexpr duration answer_timeout = std::chrono::milliseconds(250);
/// Time limit for the decision. After it the caller should rather try another host.
constexpr auto decision_timeout = std::chrono::milliseconds(400);
/// Pause before the managers are asked again if none could decide.
constexpr auto round_interval = std::chrono::milliseconds(40);

}  // namespace

/// Shared with the answer callbacks, which may run after the call has continued.
struct quota_client::round_state {
  round_state(asio::io_context& context, std::vector<disk_id> asked, std::string request)
      : managers(std::move(asked)),
        payload(std::move(request)),
        round(managers.size()),
        signal(context) {}

  std::vector<disk_id> managers;
  std::string payload;
  quota_round round;
  net::async_signal signal;
};

std::vector<disk_id> quota_client::ordered_managers(std::uint64_t program_hash) const {
  struct ranked_manager {
    bool silent = false;
    std::uint64_t weight = 0;
    disk_id manager;
    auto operator<=>(const ranked_manager&) const = default;
  };
  std::vector<disk_id> managers = this->hooks.managers();
  std::vector<ranked_manager> ranked;
  ranked.reserve(managers.size());
  for (disk_id& manager : managers) {
    const bool silent = !this->hooks.reaches(manager);
    const std::uint64_t weight = rendezvous_weight(manager.get(), program_hash);
    ranked.push_back({silent, weight, std::move(manager)});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<disk_id> order;
  order.reserve(ranked.size());
  for (ranked_manager& item : ranked) {
    order.push_back(std::move(item.manager));
  }
  return order;
}

void quota_client::ask(const std::shared_ptr<round_state>& state, std::size_t manager) {
  this->hooks.ask(state->managers[manager], state->payload, answer_timeout,
                  [state](net::rpc_failure why, const std::string& bytes) {
                    const bool good = why == net::rpc_failure::none;
                    const auto answer = good ? from_bytes<quota_response>(bytes) : std::nullopt;
                    if (answer) {
                      state->round.answered(*answer);
                    } else {
                      state->round.failed();
                    }
                    state->signal.wake();
                  });
}

asio::awaitable<quota_admission> quota_client::admit(quota_request request,
                                                     std::uint64_t program_hash,
                                                     net::steady_time until) {
  std::string payload = to_bytes(request);
  if (request.program) {
    payload += to_bytes(request.program);
  }
  const net::steady_time give_up_at = std::min(until, steady::now() + decision_timeout);
  quota_admission result = co_await this->ask_round(payload, program_hash, give_up_at);
  while (result.decision == quota_decision::unknown &&
         steady::now() + round_interval < give_up_at) {
    net::async_signal pause(this->context);
    co_await pause.wait_until(steady::now() + round_interval);
    result = co_await this->ask_round(payload, program_hash, give_up_at);
  }
  co_return result;
}

asio::awaitable<quota_admission> quota_client::ask_round(const std::string& payload,
                                                         std::uint64_t program_hash,
                                                         net::steady_time give_up_at) {
  const std::vector<disk_id> managers = this->ordered_managers(program_hash);
  const auto state = std::make_shared<round_state>(this->context, managers, payload);
  net::steady_time next_request_at = steady::now();
  while (state->round.decision() == quota_decision::undecided) {
    const net::steady_time now = steady::now();
    if (now >= give_up_at) {
      break;
    }
    if (now >= next_request_at || !state->round.waits()) {
      const auto next = state->round.ask_next();
      next_request_at = next ? now + next_manager_delay : net::never;
      if (next) {
        this->ask(state, *next);
        continue;
      }
    }
    co_await state->signal.wait_until(std::min(next_request_at, give_up_at));
  }
  quota_admission result;
  result.decision = state->round.final_decision();
  result.retry_after = state->round.retry_after();
  co_return result;
}

}  // namespace hawthornlane::front
