// Client of backend servers: model engines and plain services.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "hawthornlane/http/client.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A call as a backend server gets it.
struct backend_call {
  /// The ticket's text; a backend server that keeps ids can drop duplicates.
  std::string request_id;
  program_id program;
  /// Model calls.
  model_name model;
  /// The whole conversation, a JSON array.
  std::string messages;
  token_count max_tokens{0};
  /// Tool calls: the path and body to post.
  std::string path;
  std::string body;
  /// Longest silence of a model, or time for a whole tool call.
  duration response_timeout{};
};

/// What a backend server made of a call.
struct backend_result {
  enum class kind : std::uint8_t {
    finished,
    /// It answered with an error status; the call counts as run.
    failed,
    /// It never took the call: no connection was made.
    never_started,
    /// The connection broke or fell silent: nobody knows whether it ran.
    broken,
  };
  kind outcome = kind::broken;
  std::string answer;
  token_count prompt_tokens{0};
  token_count cached_tokens{0};
  token_count answer_tokens{0};
  /// From the send to the first text; zero when there was none.
  duration first_token{};
  duration whole{};
  std::string detail;
};

/// Takes each piece of an answer's text as it arrives.
using text_sink = std::function<void(std::string_view)>;

/// Talks to backend servers. Coroutines; safe from any executor.
class backend_client {
public:
  /// Streams a chat completion.
  boost::asio::awaitable<backend_result> complete(http::endpoint server, backend_call call,
                                                  text_sink sink);
  /// Posts a tool call and reads the whole answer.
  boost::asio::awaitable<backend_result> call_tool(http::endpoint server, backend_call call);
  /// Gives back the engine memory of a program; true once the server confirmed.
  boost::asio::awaitable<bool> release(http::endpoint server, program_id program);

private:
  http::client client;
};

}  // namespace hawthornlane
