// HTTP client of backend servers: model engines and plain services.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornlane/http/client.h"
#include "hawthornlane/overload/byte_budget.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A call to a backend server.
struct backend_call {
  /// The text of the call's ticket; a backend server that remembers ids can drop duplicates.
  std::string request_id;
  program_id program;
  /// Only for model calls.
  model_name model;
  /// Only for model calls: the whole conversation, a JSON array.
  std::string messages;
  /// Only for model calls.
  token_count max_tokens{0};
  /// Only for tool calls: the path to post to.
  std::string path;
  /// Only for tool calls: the body to post.
  std::string body;
  /// Longest time without bytes from a model, or the timeout of a whole tool call.
  duration response_timeout{};
  /// Limit of a model's whole answer, from its head on.
  std::optional<duration> answer_timeout;
};

/// Outcome of a call to a backend server.
struct backend_result {
  enum class kind : std::uint8_t {
    finished,
    /// The response has a status other than 2xx; the call counts as run.
    failed,
    /// Not connected, so the server never received the call.
    never_started,
    /// The connection failed or timed out: the call may have run.
    broken,
  };
  kind outcome = kind::broken;
  std::string answer;
  token_count prompt_tokens{0};
  token_count cached_tokens{0};
  token_count answer_tokens{0};
  /// Time from sending to the first text; zero when there was none.
  duration first_token{};
  duration whole{};
  std::string detail;
  /// The response is not valid HTTP, or exceeds its limits.
  bool is_malformed = false;
  /// What the answer takes of the memory for answers.
  std::shared_ptr<overload::byte_share> memory;
};

/// Receives each piece of the response text as it arrives.
using text_sink = std::function<void(std::string_view)>;

/// Calls backend servers. The coroutines may run on any executor.
class backend_client {
public:
  /// Limit of one answer, bytes.
  static constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;

  /// `memory_bytes`: all answers that are in memory at once; a call whose answer does not fit is
  /// broken.
  explicit backend_client(std::size_t memory_bytes = 8 * max_answer_bytes);

  /// Streams a chat completion.
  boost::asio::awaitable<backend_result> complete(http::endpoint server, backend_call call,
                                                  text_sink sink);
  /// Posts a tool call and reads the whole response.
  boost::asio::awaitable<backend_result> call_tool(http::endpoint server, backend_call call);
  /// Releases the engine's cache memory of a program. True when the server confirmed it.
  boost::asio::awaitable<bool> release(http::endpoint server, program_id program);

private:
  std::shared_ptr<overload::byte_budget> answers;
  http::client client;
};

}  // namespace hawthornlane
