// How a front host asks the quota managers: their order, the time limits and the decision.
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

/// A manager's reaction to a request.
enum class reply { grant, refuse, not_kept, fail, silence };

/// Managers with scripted replies, and a client that asks them.
class scripted_managers {
public:
  /// The successive replies of each manager; the last one repeats.
  explicit scripted_managers(std::vector<std::vector<reply>> by_manager)
      : replies(std::move(by_manager)), client(context, make_hooks()) {}

  quota_admission admit(std::chrono::milliseconds time = 2s) {
    quota_admission result;
    const auto began = std::chrono::steady_clock::now();
    const auto ask = [&]() -> asio::awaitable<void> {
      const auto until = std::chrono::steady_clock::now() + time;
      quota_request request;
      request.account = client_account("north");
      result = co_await this->client.admit(request, 7, until);
      // Requests to silent managers may still be in flight.
      this->took = std::chrono::steady_clock::now() - began;
    };
    asio::co_spawn(this->context, ask(), asio::detached);
    this->context.run();
    return result;
  }

  std::chrono::steady_clock::duration took{};
  /// Managers that the client believes to be unreachable.
  std::set<std::size_t> unreachable_managers;
  std::vector<std::size_t> asked;

private:
  quota_hooks make_hooks() {
    quota_hooks hooks;
    hooks.managers = [this] {
      std::vector<disk_id> managers;
      for (std::size_t number = 0; number < this->replies.size(); ++number) {
        managers.emplace_back(std::to_string(number));
      }
      return managers;
    };
    hooks.reaches = [this](const disk_id& manager) {
      return !this->unreachable_managers.contains(std::stoul(manager.get()));
    };
    hooks.ask = [this](const disk_id& manager, const std::string&, duration limit,
                       net::rpc_done done) { this->answer(manager, limit, std::move(done)); };
    return hooks;
  }

  void answer(const disk_id& manager, duration limit, net::rpc_done done) {
    const std::size_t number = std::stoul(manager.get());
    std::size_t& next = this->next_reply[number];
    const std::vector<reply>& script = this->replies[number];
    const reply what = script[std::min(next++, script.size() - 1)];
    this->asked.push_back(number);
    // A request to a silent manager ends at its time limit.
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

TEST_CASE("the managers' answers lead to the right decision in time") {
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
      {"none can decide", {{not_kept}, {not_kept}, {fail}}, quota_decision::unknown, 600ms},
      {"all are silent", {{silence}, {silence}, {silence}}, quota_decision::unknown, 900ms},
  }));
  INFO(item.what);
  scripted_managers managers(item.replies);
  const quota_admission result = managers.admit();
  CHECK(result.decision == item.decision);
  CHECK(managers.took < item.at_most);
  if (result.decision == quota_decision::over_limit) {
    CHECK(result.retry_after == duration(70ms));
  }
}

TEST_CASE("a call stops asking managers at its deadline") {
  scripted_managers managers({{reply::not_kept}, {reply::not_kept}});
  CHECK(managers.admit(60ms).decision == quota_decision::unknown);
  CHECK(managers.took < 200ms);
}

TEST_CASE("managers believed unreachable are asked last") {
  scripted_managers managers({{reply::grant}, {reply::grant}, {reply::grant}});
  managers.unreachable_managers = {0, 2};
  managers.admit();
  REQUIRE_FALSE(managers.asked.empty());
  CHECK(managers.asked.front() == 1);
}
