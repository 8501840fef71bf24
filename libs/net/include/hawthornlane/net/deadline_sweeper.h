// One timer for the timeouts of many sockets and calls.
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

/// No timeout.
constexpr steady_time never = steady_time::max();

/// Something that wants to hear when a moment has passed.
class expiring {
public:
  expiring() = default;
  expiring(const expiring&) = delete;
  expiring& operator=(const expiring&) = delete;
  virtual ~expiring() = default;

  /// Called once after `expires_at` has passed; the moment is `never` again by then.
  virtual void on_expired() = 0;

  /// Set freely; read at the sweeper's next pass.
  steady_time expires_at = never;
};

/// Looks at all registered items at a fixed pace. A timer for each socket would
/// cost a system call for each read and write; a pass over some hundred items
/// costs a few microseconds. Timeouts are late by one pass at most.
class deadline_sweeper {
public:
  /// The registered items. Shared, since sockets of coroutines that are destroyed
  /// with the io_context may outlive the sweeper.
  using registry = std::set<expiring*>;

  /// Between two passes; short against the shortest timeout in use (200 ms).
  static constexpr std::chrono::milliseconds pace{25};

  explicit deadline_sweeper(boost::asio::io_context& context);

  void add(expiring& item) { this->items->insert(&item); }
  void remove(expiring& item) { this->items->erase(&item); }
  [[nodiscard]] const std::shared_ptr<registry>& registered() const { return this->items; }
  /// Called at each pass, for work that needs no timer of its own.
  void on_sweep(std::function<void()> hook) { this->hooks.push_back(std::move(hook)); }

private:
  void schedule();
  void sweep();

  boost::asio::steady_timer timer;
  std::shared_ptr<registry> items = std::make_shared<registry>();
  std::vector<std::function<void()>> hooks;
};

}  // namespace hawthornlane::net
