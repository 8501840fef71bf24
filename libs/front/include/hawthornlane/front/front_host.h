// A front host: its listeners, its state and its planned stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "hawthornlane/front/front_settings.h"

namespace hawthornlane::front {

/// Runs on the io_context of one thread; calls `stopped` when it may end.
class front_host {
public:
  /// Starts to listen; throws `boost::system::system_error` on failure.
  front_host(boost::asio::io_context& context, front_settings settings,
             std::function<void()> stopped);
  front_host(const front_host&) = delete;
  front_host& operator=(const front_host&) = delete;
  ~front_host();

  /// Begins a planned stop: the host is no longer ready and is left out of address answers at once.
  /// It keeps serving until no caller can still hold its address.
  void stop();

  struct state;

private:
  std::shared_ptr<state> inner;
};

}  // namespace hawthornlane::front
