// An HTTP client that keeps connections open for reuse.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::http {

/// How far a failed request got; decides whether it may have been acted on.
enum class progress : std::uint8_t { not_connected, sent_in_part, answered_in_part };

/// Why a fetch returned nothing.
struct fetch_failure {
  progress reached = progress::not_connected;
  std::string detail;
};

/// Takes the next part of a body; false ends the transfer.
using body_sink = std::function<bool(std::string_view)>;

/// Sends requests; safe to use from coroutines on any executor at once.
class client {
public:
  client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  ~client();

  /// Sends one request and reads the whole answer. `limit` bounds all of it.
  boost::asio::awaitable<std::optional<response>> fetch(endpoint where, request what,
                                                        duration limit, fetch_failure& reason);
  /// Sends one request and hands the body on as it arrives. `silence` bounds the
  /// time between two parts. The returned response has an empty body, unless its
  /// status is an error: then the body stands in it and `sink` is not called.
  boost::asio::awaitable<std::optional<response>> fetch_stream(endpoint where, request what,
                                                               duration silence, body_sink sink,
                                                               fetch_failure& reason);

private:
  struct pool;
  std::shared_ptr<pool> idle;
};

}  // namespace hawthornlane::http
