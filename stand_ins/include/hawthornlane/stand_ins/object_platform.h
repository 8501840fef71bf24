// Stand-in for the users' platform store: objects by kind and name, one revision
// counter, conditional updates, watches, and the faults that it has.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "hawthornlane/http/server.h"

namespace hawthornlane::stand_ins {

/// How the store treats the calls that reach it.
enum class store_behavior : std::uint8_t {
  serving,
  /// Every call gets 503; nothing is done.
  busy,
  /// Calls are taken and never answered; nothing is done.
  silent,
  /// Writes are done, but their answers are lost.
  dropping_responses,
};

/// Serves until destroyed. For the thread that runs the io_context.
class object_platform {
public:
  object_platform(boost::asio::io_context& context, const http::endpoint& listen_at);
  ~object_platform();
  object_platform(const object_platform&) = delete;
  object_platform& operator=(const object_platform&) = delete;

  [[nodiscard]] http::endpoint where() const;
  void set_behavior(store_behavior mood);
  /// Watches hear nothing, and then lose their place in the history.
  void set_stalled_watches(bool deaf);
  /// Writes an object as the operator or a server would; `spec` is JSON.
  void put(const std::string& kind, const std::string& name, const std::string& spec);
  /// Puts `item` as it is into each listing of the kind, first of all its items.
  void add_raw_listing_item(const std::string& kind, const std::string& item);
  void remove(const std::string& kind, const std::string& name);
  /// The spec of an object, or an empty text.
  [[nodiscard]] std::string spec_of(const std::string& kind, const std::string& name) const;
  [[nodiscard]] std::string status_of(const std::string& kind, const std::string& name) const;
  /// Calls served so far.
  [[nodiscard]] std::uint64_t calls() const;

  struct state;

private:
  std::shared_ptr<state> shared;
  std::unique_ptr<http::server> server;
};

}  // namespace hawthornlane::stand_ins
