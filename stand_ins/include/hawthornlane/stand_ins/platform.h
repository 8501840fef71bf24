// Stand-in for the platform's object API, with injected faults.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "hawthornlane/http/server.h"

namespace hawthornlane::stand_ins {

/// Serves objects over HTTP until destroyed:
///   GET /objects/KEY, PUT /objects/KEY?version=N, GET /objects?prefix=P,
///   GET /watch?prefix=P&after=R, POST /faults {"down":b,"lose_answers":n}.
/// Guarantees: each write increments the object's version by one; a conditional write
/// applies once or not at all; values above 1 MB are refused.
class platform {
public:
  platform(boost::asio::io_context& context, const http::endpoint& listen_at);
  ~platform();
  platform(const platform&) = delete;
  platform& operator=(const platform&) = delete;

  [[nodiscard]] http::endpoint where() const;
  /// While down, every connection is closed without a response.
  void set_down(bool down);
  /// The next `count` writes take effect, but their responses are lost.
  void lose_answers(int count);
  /// Writes an object unconditionally, as another tool of the platform would.
  void put(const std::string& key, const std::string& value);
  /// The value, or an empty string.
  [[nodiscard]] std::string get(const std::string& key) const;
  /// Number of requests served so far.
  [[nodiscard]] std::uint64_t requests() const;

  /// State shared by the requests; defined in the source file.
  struct state;

private:
  std::shared_ptr<state> shared;
  std::unique_ptr<http::server> server;
};

}  // namespace hawthornlane::stand_ins
