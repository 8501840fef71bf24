// Follows the platform's store: lists, then watches, and lists again when the history that
// the watch needs is gone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/platform_adapter/store_client.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::discovery {

/// Callbacks of a follower.
struct follower_hooks {
  /// A complete listing as of its revision.
  std::function<void(const platform_adapter::object_page&)> on_listing;
  /// The changes up to the page's revision.
  std::function<void(const platform_adapter::object_page&)> on_changes;
  /// The store stopped answering (false) or answers again (true).
  std::function<void(bool reachable, const std::string& detail)> on_reachable;
};

/// Follows one kind of object from construction to destruction.
class store_follower {
public:
  store_follower(boost::asio::io_context& context, platform_adapter::store_client& store,
                 platform_adapter::object_kind kind, follower_hooks hooks);
  store_follower(const store_follower&) = delete;
  store_follower& operator=(const store_follower&) = delete;
  ~store_follower();

  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::discovery
