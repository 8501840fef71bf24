// How a front host asks the keepers of quotas: whom next, how long, and what it concludes.
#include "hawthornlane/front/quota_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "hawthornlane/net/message_bytes.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// What a keeper does with a question.
enum class reply { grant, refuse, not_kept, fail, silence };

/// Keepers that answer as a test says, and a client that asks them.
class asked_keepers {
public:
  /// The replies of each keeper in turn; the last one goes on for ever.
  explicit asked_keepers(std::vector<std::vector<reply>> by_keeper)
      : replies(std::move(by_keeper)), client(context, make_hooks()) {}

  quota_admission admit(std::chrono::milliseconds time = 2s) {
    quota_admission result;
    const auto began = std::chrono::steady_clock::now();
    const auto ask = [&]() -> asio::awaitable<void> {
      const auto until = std::chrono::steady_clock::now() + time;
      quota_request question;
      question.account = client_account("north");
      result = co_await this->client.admit(question, 7, until);
      // Questions to silent keepers may still be under way.
      this->took = std::chrono::steady_clock::now() - began;
    };
    asio::co_spawn(this->context, ask(), asio::detached);
    this->context.run();
    return result;
  }

  std::chrono::steady_clock::duration took{};
  /// Keepers that are known not to answer.
  std::set<std::size_t> unreached;
  std::vector<std::size_t> asked;

private:
  quota_hooks make_hooks() {
    quota_hooks hooks;
    hooks.keepers = [this] {
      std::vector<disk_id> keepers;
      for (std::size_t number = 0; number < this->replies.size(); ++number) {
        keepers.emplace_back(std::to_string(number));
      }
      return keepers;
    };
    hooks.reaches = [this](const disk_id& keeper) {
      return !this->unreached.contains(std::stoul(keeper.get()));
    };
    hooks.ask = [this](const disk_id& keeper, const std::string&, duration limit,
                       net::rpc_done done) { this->answer(keeper, limit, std::move(done)); };
    return hooks;
  }

  void answer(const disk_id& keeper, duration limit, net::rpc_done done) {
    const std::size_t number = std::stoul(keeper.get());
    std::size_t& next = this->next_reply[number];
    const std::vector<reply>& script = this->replies[number];
    const reply what = script[std::min(next++, script.size() - 1)];
    this->asked.push_back(number);
    // A silent keeper's question ends when its time is over.
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(what == reply::silence ? limit : duration(1ms));
    timer->async_wait([timer, what, done = std::move(done)](const boost::system::error_code&) {
      switch (what) {
        case reply::grant:
          done(net::rpc_failure::none, to_bytes(quota_response{quota_outcome::granted, {}}));
          break;
        case reply::refuse:
          done(net::rpc_failure::none, to_bytes(quota_response{quota_outcome::refused, 70ms}));
          break;
        case reply::not_kept:
          done(net::rpc_failure::none, to_bytes(quota_response{quota_outcome::not_kept, {}}));
          break;
        case reply::fail:
        case reply::silence:
          done(net::rpc_failure::unreachable, {});
          break;
      }
    });
  }

  asio::io_context context;
  std::vector<std::vector<reply>> replies;
  std::map<std::size_t, std::size_t> next_reply;
  quota_client client;
};

}  // namespace

TEST_CASE("what the answers of the keepers come to, and how soon") {
  using enum reply;
  struct row {
    std::string what;
    std::vector<std::vector<reply>> replies;
    quota_decision decision;
    std::chrono::milliseconds at_most;
  };
  const row item = GENERATE(values<row>({
      {"all have room", {{grant}, {grant}, {grant}}, quota_decision::granted, 35ms},
      {"one has room", {{refuse}, {refuse}, {grant}}, quota_decision::granted, 100ms},
      {"none has room", {{refuse}, {refuse}, {refuse}}, quota_decision::over_limit, 100ms},
      {"the others do not answer", {{fail}, {refuse}, {fail}}, quota_decision::over_limit, 100ms},
      {"the others are silent", {{silence}, {grant}, {silence}}, quota_decision::granted, 200ms},
      {"they have just started",
       {{fail, not_kept, grant}, {fail, not_kept, grant}, {fail, not_kept, grant}},
       quota_decision::granted,
       300ms},
      {"none can tell", {{not_kept}, {not_kept}, {fail}}, quota_decision::unknown, 600ms},
      {"all are silent", {{silence}, {silence}, {silence}}, quota_decision::unknown, 900ms},
  }));
  INFO(item.what);
  asked_keepers keepers(item.replies);
  const quota_admission result = keepers.admit();
  CHECK(result.decision == item.decision);
  CHECK(keepers.took < item.at_most);
  if (result.decision == quota_decision::over_limit) {
    CHECK(result.retry_after == duration(70ms));
  }
}

TEST_CASE("a call asks no longer than its caller waits") {
  asked_keepers keepers({{reply::not_kept}, {reply::not_kept}});
  CHECK(keepers.admit(60ms).decision == quota_decision::unknown);
  CHECK(keepers.took < 200ms);
}

TEST_CASE("keepers that do not answer are asked last") {
  asked_keepers keepers({{reply::grant}, {reply::grant}, {reply::grant}});
  keepers.unreached = {0, 2};
  keepers.admit();
  REQUIRE_FALSE(keepers.asked.empty());
  CHECK(keepers.asked.front() == 1);
}
