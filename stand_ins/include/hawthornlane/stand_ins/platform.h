// Stand-in for the platform's object API, with the faults that it has.
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
/// Promises: versions rise by one a write; a conditional write applies once or
/// not at all; values above 1 MB are refused.
class platform {
public:
  platform(boost::asio::io_context& context, const http::endpoint& listen_at);
  ~platform();
  platform(const platform&) = delete;
  platform& operator=(const platform&) = delete;

  [[nodiscard]] http::endpoint where() const;
  /// While down, every request is cut off without an answer.
  void set_down(bool down);
  /// The next `count` writes take effect, but their answers are lost.
  void lose_answers(int count);
  /// Writes an object directly, as another tool of the platform would.
  void put(const std::string& key, const std::string& value);
  /// The value, or an empty text.
  [[nodiscard]] std::string get(const std::string& key) const;
  /// Requests served so far.
  [[nodiscard]] std::uint64_t requests() const;

  /// What the requests share; defined with the implementation.
  struct state;

private:
  std::shared_ptr<state> shared;
  std::unique_ptr<http::server> server;
};

}  // namespace hawthornlane::stand_ins
