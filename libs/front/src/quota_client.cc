// The front host's side of the quotas.
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

/// A healthy keeper answers within a few milliseconds; then the next one is asked beside it.
constexpr auto patience = std::chrono::milliseconds(40);
/// For the answer of one keeper, also by way of another front host.
constexpr duration answer_limit = std::chrono::milliseconds(250);
/// A caller that learns nothing within this time does better at another host.
constexpr auto longest_wait = std::chrono::milliseconds(400);
/// Before keepers are asked again, none of which could tell.
constexpr auto pause_between_rounds = std::chrono::milliseconds(40);

}  // namespace

/// Shared with the answers that are still on their way when the call has gone on.
struct quota_client::asking {
  asking(asio::io_context& context, std::vector<disk_id> asked, std::string question)
      : keepers(std::move(asked)),
        payload(std::move(question)),
        round(keepers.size()),
        signal(context) {}

  std::vector<disk_id> keepers;
  std::string payload;
  quota_round round;
  net::async_signal signal;
};

std::vector<disk_id> quota_client::order_of(std::uint64_t spread) const {
  struct ranked_keeper {
    bool silent = false;
    std::uint64_t weight = 0;
    disk_id keeper;
    auto operator<=>(const ranked_keeper&) const = default;
  };
  std::vector<disk_id> keepers = this->hooks.keepers();
  std::vector<ranked_keeper> ranked;
  ranked.reserve(keepers.size());
  for (disk_id& keeper : keepers) {
    const bool silent = !this->hooks.reaches(keeper);
    const std::uint64_t weight = rendezvous_weight(keeper.get(), spread);
    ranked.push_back({silent, weight, std::move(keeper)});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<disk_id> order;
  order.reserve(ranked.size());
  for (ranked_keeper& item : ranked) {
    order.push_back(std::move(item.keeper));
  }
  return order;
}

void quota_client::ask(const std::shared_ptr<asking>& state, std::size_t keeper) {
  this->hooks.ask(state->keepers[keeper], state->payload, answer_limit,
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

asio::awaitable<quota_admission> quota_client::admit(quota_request question, std::uint64_t spread,
                                                     net::steady_time until) {
  std::string payload = to_bytes(question);
  if (question.program) {
    payload += to_bytes(question.program);
  }
  const net::steady_time give_up_at = std::min(until, steady::now() + longest_wait);
  quota_admission result = co_await this->ask_round(payload, spread, give_up_at);
  while (result.decision == quota_decision::unknown &&
         steady::now() + pause_between_rounds < give_up_at) {
    net::async_signal pause(this->context);
    co_await pause.wait_until(steady::now() + pause_between_rounds);
    result = co_await this->ask_round(payload, spread, give_up_at);
  }
  co_return result;
}

asio::awaitable<quota_admission> quota_client::ask_round(const std::string& payload,
                                                         std::uint64_t spread,
                                                         net::steady_time give_up_at) {
  const std::vector<disk_id> keepers = this->order_of(spread);
  const auto state = std::make_shared<asking>(this->context, keepers, payload);
  net::steady_time ask_next_at = steady::now();
  while (state->round.decision() == quota_decision::undecided) {
    const net::steady_time now = steady::now();
    if (now >= give_up_at) {
      break;
    }
    if (now >= ask_next_at || !state->round.waits()) {
      const auto next = state->round.ask_next();
      ask_next_at = next ? now + patience : net::never;
      if (next) {
        this->ask(state, *next);
        continue;
      }
    }
    co_await state->signal.wait_until(std::min(ask_next_at, give_up_at));
  }
  quota_admission result;
  result.decision = state->round.final_decision();
  result.retry_after = state->round.retry_after();
  co_return result;
}

}  // namespace hawthornlane::front
