// Follows the platform's store: lists, then watches, and starts anew when a watch
// has lost its place.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/platform_adapter/store_client.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::discovery {

/// What a follower tells.
struct follower_hooks {
  /// A whole listing as of its revision.
  std::function<void(const platform_adapter::object_page&)> on_listing;
  /// Changes up to the page's revision.
  std::function<void(const platform_adapter::object_page&)> on_changes;
  /// The store stopped answering, or answers again.
  std::function<void(bool reachable, const std::string& detail)> on_reachable;
};

/// Follows one kind of object for as long as it lives.
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
