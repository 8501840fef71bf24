// Follows the platform's store.
#include "hawthornlane/discovery/store_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hawthornlane::discovery {
namespace asio = boost::asio;
using platform_adapter::object_page;
using platform_adapter::store_outcome;

namespace {

/// Wait per watch call. The store allows at most 30 s, and each call is paid for.
constexpr duration watch_wait = std::chrono::seconds(28);
/// Backoff between retries while the store does not answer. Each retry is a call that is paid
/// for, and peers pass on changes meanwhile.
constexpr auto min_backoff = std::chrono::milliseconds(200);
constexpr auto max_backoff = std::chrono::milliseconds(1000);

/// Delay after a change before the next watch: further changes usually follow within it.
constexpr auto batching_delay = std::chrono::milliseconds(400);

}  // namespace

struct store_follower::state {
  state(asio::io_context& context, platform_adapter::store_client& client,
        platform_adapter::object_kind what, follower_hooks callbacks)
      : store(client), kind(what), hooks(std::move(callbacks)), timer(context) {}

  platform_adapter::store_client& store;
  platform_adapter::object_kind kind;
  follower_hooks hooks;
  asio::steady_timer timer;
  bool stopped = false;
  bool reachable = true;
  std::chrono::milliseconds backoff = min_backoff;

  void note(store_outcome outcome, const failure& reason) {
    const bool answers = outcome != store_outcome::refused && outcome != store_outcome::unknown;
    if (answers) {
      this->backoff = min_backoff;
    }
    if (answers != this->reachable) {
      this->reachable = answers;
      this->hooks.on_reachable(answers, reason.detail);
    }
  }

  static asio::awaitable<void> sleep_for(std::shared_ptr<state> self,
                                         std::chrono::milliseconds time) {
    self->timer.expires_after(time);
    boost::system::error_code ignored;
    co_await self->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  static asio::awaitable<void> back_off(std::shared_ptr<state> self) {
    const std::chrono::milliseconds time = self->backoff;
    self->backoff = std::min(self->backoff * 2, max_backoff);
    co_await sleep_for(self, time);
  }

  /// Lists, with retries; returns the revision to watch from.
  static asio::awaitable<store_revision> list(std::shared_ptr<state> self) {
    while (!self->stopped) {
      object_page page;
      failure reason;
      const store_outcome outcome = co_await self->store.list(self->kind, page, reason);
      if (self->stopped) {
        break;
      }
      self->note(outcome, reason);
      if (outcome == store_outcome::done) {
        self->hooks.on_listing(page);
        co_return page.at;
      }
      co_await back_off(self);
    }
    co_return store_revision();
  }

  static asio::awaitable<void> run(std::shared_ptr<state> self) {
    store_revision from = co_await list(self);
    while (!self->stopped) {
      object_page page;
      failure reason;
      const store_outcome outcome =
          co_await self->store.watch(self->kind, from, watch_wait, page, reason);
      if (self->stopped) {
        break;
      }
      const bool was_reachable = self->reachable;
      self->note(outcome, reason);
      if (outcome == store_outcome::done && was_reachable) {
        from = std::max(from, page.at);
        if (!page.items.empty()) {
          self->hooks.on_changes(page);
          // Changes come in bursts when many hosts start: fetch them all with one call.
          co_await sleep_for(self, batching_delay);
        }
        continue;
      }
      if (outcome == store_outcome::refused) {
        co_await back_off(self);
        continue;
      }
      // The history after `from` is gone, or entries may have lapsed during an outage.
      from = co_await list(self);
    }
  }
};

store_follower::store_follower(asio::io_context& context, platform_adapter::store_client& store,
                               platform_adapter::object_kind kind, follower_hooks hooks)
    : shared(std::make_shared<state>(context, store, kind, std::move(hooks))) {
  asio::co_spawn(context, state::run(this->shared), asio::detached);
}

store_follower::~store_follower() {
  this->shared->stopped = true;
  this->shared->timer.cancel();
}

}  // namespace hawthornlane::discovery
