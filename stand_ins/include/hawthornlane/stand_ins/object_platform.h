// Stand-in for the platform's object store: objects by kind and name, one revision
// counter, conditional updates, watches, and injected faults.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "hawthornlane/http/server.h"

namespace hawthornlane::stand_ins {

/// How the store treats requests.
enum class store_behavior : std::uint8_t {
  serving,
  /// Every request gets status 503; nothing is executed.
  busy,
  /// Requests are accepted but get no response; nothing is executed.
  silent,
  /// Writes are executed, but their responses are lost.
  dropping_responses,
};

/// Serves until destroyed. To be used only on the thread that runs the io_context.
class object_platform {
public:
  object_platform(boost::asio::io_context& context, const http::endpoint& listen_at);
  ~object_platform();
  object_platform(const object_platform&) = delete;
  object_platform& operator=(const object_platform&) = delete;

  [[nodiscard]] http::endpoint where() const;
  void set_behavior(store_behavior behavior);
  /// Sets the time from a request to its response; the request is executed at once.
  void set_response_delay(std::chrono::milliseconds delay);
  /// While true, watches get no events. Setting it to false discards the history, so that watches
  /// get status 410 and must list again.
  void set_stalled_watches(bool stalled);
  /// Writes an object without a revision check. `spec` is JSON.
  void put(const std::string& kind, const std::string& name, const std::string& spec);
  /// Inserts the text `item` unchanged as the first item of each listing of the kind.
  void add_raw_listing_item(const std::string& kind, const std::string& item);
  void remove(const std::string& kind, const std::string& name);
  /// The spec of an object as JSON, or an empty string.
  [[nodiscard]] std::string spec_of(const std::string& kind, const std::string& name) const;
  [[nodiscard]] std::string status_of(const std::string& kind, const std::string& name) const;
  /// Number of requests so far.
  [[nodiscard]] std::uint64_t calls() const;

  struct state;

private:
  std::shared_ptr<state> shared;
  std::unique_ptr<http::server> server;
};

}  // namespace hawthornlane::stand_ins
