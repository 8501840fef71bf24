// Stand-in for a model engine: continuous batching, a bounded prefix cache and
// the OpenAI chat-completions form over server-sent events.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "hawthornlane/http/server.h"

namespace hawthornlane::stand_ins {

/// Speeds and sizes of one engine.
struct engine_profile {
  double prefill_tokens_per_second = 8000;
  /// Time between two tokens with a batch of one.
  double decode_seconds = 0.010;
  /// How much each further call in the batch adds to that.
  double decode_seconds_per_call = 0.0005;
  /// Tokens that the prefix cache holds before the oldest prefix goes.
  std::int64_t cache_tokens = 200'000;
};

/// Serves POST /v1/chat/completions, POST /cache/release {"program"},
/// GET /cache (programs with cached tokens), GET /load, POST /faults {"hang"}.
class engine {
public:
  engine(boost::asio::io_context& context, const http::endpoint& listen_at, engine_profile profile);
  ~engine();
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;

  [[nodiscard]] http::endpoint where() const;
  /// How often the request of that id arrived.
  [[nodiscard]] int arrivals(const std::string& request_id) const;
  /// Tokens cached for that program.
  [[nodiscard]] std::int64_t cached_tokens(const std::string& program) const;
  /// Accept calls, but never answer them.
  void set_hang(bool hang);

  /// What the requests share; defined with the implementation.
  struct state;

private:
  std::shared_ptr<state> shared;
  std::unique_ptr<http::server> server;
};

}  // namespace hawthornlane::stand_ins
