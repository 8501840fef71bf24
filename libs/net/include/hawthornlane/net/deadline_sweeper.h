// A shared timer for the timeouts of many sockets and calls.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace hawthornlane::net {

using steady_time = std::chrono::steady_clock::time_point;

/// Deadline that never expires.
constexpr steady_time never = steady_time::max();

/// Base class of the items that a `deadline_sweeper` checks: an item with a deadline.
class deadline_item {
public:
  deadline_item() = default;
  deadline_item(const deadline_item&) = delete;
  deadline_item& operator=(const deadline_item&) = delete;
  virtual ~deadline_item() = default;

  /// Called once after `expires_at` has passed. `expires_at` has been reset to `never` by then.
  virtual void on_expired() = 0;

  /// May be changed at any time; takes effect at the next sweep.
  steady_time expires_at = never;
};

/// Checks all registered items at a fixed interval. A timer per socket would cost a
/// system call for each read and write; a sweep over some hundred items costs a few
/// microseconds. A timeout fires at most one interval late.
class deadline_sweeper {
public:
  /// The registered items. Shared, because sockets in coroutines that are destroyed
  /// with the io_context may outlive the sweeper.
  using registry = std::set<deadline_item*>;

  /// Time between two sweeps; short compared with the shortest timeout in use (200 ms).
  static constexpr std::chrono::milliseconds interval{25};

  explicit deadline_sweeper(boost::asio::io_context& context);

  void add(deadline_item& item) { this->items->insert(&item); }
  void remove(deadline_item& item) { this->items->erase(&item); }
  [[nodiscard]] const std::shared_ptr<registry>& registered() const { return this->items; }
  /// Adds a hook that is called at each sweep, for periodic work without a timer of its own.
  void on_sweep(std::function<void()> hook) { this->hooks.push_back(std::move(hook)); }

private:
  void schedule();
  void sweep();

  boost::asio::steady_timer timer;
  std::shared_ptr<registry> items = std::make_shared<registry>();
  std::vector<std::function<void()>> hooks;
};

}  // namespace hawthornlane::net
