// Client of the platform's object API: versions, conditional updates, watches.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/http/client.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// One object in the platform's store.
struct stored_object {
  std::string key;
  /// Rises by one with each write of this object, from 1.
  std::uint64_t version = 0;
  std::string value;
};

/// Objects under a prefix, and the revision of the whole store at which they were read.
struct object_listing {
  std::uint64_t revision = 0;
  std::vector<stored_object> objects;
};

/// Result of a conditional update.
struct write_result {
  enum class kind : std::uint8_t {
    applied,
    /// The object has another version than expected.
    conflict,
    /// Rejected without effect (too large, over the rate, malformed), or never sent.
    refused,
    /// The response was lost: the write may have taken effect.
    unknown,
  };
  kind outcome = kind::unknown;
  std::uint64_t version = 0;
  std::string detail;
};

/// Client of one platform. All calls are coroutines with a time limit.
class object_store {
public:
  explicit object_store(http::endpoint platform);

  /// Reads an object; an absent one has version 0. Returns nothing if the platform gives no
  /// valid response.
  boost::asio::awaitable<std::optional<stored_object>> get(std::string key, failure& reason);
  boost::asio::awaitable<std::optional<object_listing>> list(std::string prefix, failure& reason);
  /// Writes the object if its version is still `expected` (0: it does not exist yet).
  boost::asio::awaitable<write_result> put(std::string key, std::uint64_t expected,
                                           std::string value);
  /// Waits for changes under `prefix` after `revision`. Returns an empty listing if there were
  /// none before the platform ended the wait.
  boost::asio::awaitable<std::optional<object_listing>> watch(std::string prefix,
                                                              std::uint64_t revision,
                                                              failure& reason);

  /// Whether the last call got a response.
  [[nodiscard]] bool reachable() const { return this->got_response; }

private:
  boost::asio::awaitable<std::optional<object_listing>> fetch_listing(std::string target,
                                                                      duration timeout,
                                                                      failure& reason);
  http::endpoint platform;
  http::client client;
  std::atomic<bool> got_response{false};
};

}  // namespace hawthornlane
