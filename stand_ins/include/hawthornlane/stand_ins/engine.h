// Stand-in for a model engine: continuous batching, a prefix cache of limited size, and
// the OpenAI chat-completions API with server-sent events.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "hawthornlane/http/server.h"

namespace hawthornlane::stand_ins {

/// Speeds and sizes of one simulated engine.
struct engine_profile {
  double prefill_tokens_per_second = 8000;
  /// Time between two tokens with a batch of one, seconds.
  double decode_seconds = 0.010;
  /// Added to `decode_seconds` for each further call in the batch, seconds.
  double decode_seconds_per_call = 0.0005;
  /// Capacity of the prefix cache, tokens; beyond it the least recently used prefix is evicted.
  std::int64_t cache_tokens = 200'000;
};

/// Serves POST /v1/chat/completions, POST /cache/release {"program"},
/// GET /cache (cached tokens by program), GET /load, GET /arrivals (requests by id).
class engine {
public:
  engine(boost::asio::io_context& context, const http::endpoint& listen_at, engine_profile profile);
  ~engine();
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;

  [[nodiscard]] http::endpoint where() const;
  /// Number of requests with that id that arrived.
  [[nodiscard]] int arrivals(const std::string& request_id) const;
  /// Tokens that are cached for that program.
  [[nodiscard]] std::int64_t cached_tokens(const std::string& program) const;
  /// While set, calls are accepted but get no response.
  void set_hang(bool hang);

  /// State shared by the requests; defined in the source file.
  struct state;

private:
  std::shared_ptr<state> shared;
  std::unique_ptr<http::server> server;
};

}  // namespace hawthornlane::stand_ins
