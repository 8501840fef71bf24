// A front host: its listeners, its beliefs and its planned stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "hawthornlane/front/front_settings.h"

namespace hawthornlane::front {

/// Runs on the io_context of one thread until `stopped` is called.
class front_host {
public:
  /// Listens at once; throws `boost::system::system_error` when it cannot.
  front_host(boost::asio::io_context& context, front_settings settings,
             std::function<void()> stopped);
  front_host(const front_host&) = delete;
  front_host& operator=(const front_host&) = delete;
  ~front_host();

  /// Begins a planned stop: not ready at once, out of address answers, serving
  /// until callers cannot know this host any more.
  void stop();

  struct state;

private:
  std::shared_ptr<state> inner;
};

}  // namespace hawthornlane::front
