// Calls to backend servers over HTTP and server-sent events.
#include "hawthornlane/engine/backend_client.h"

#include <boost/json.hpp>
#include <chrono>

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration release_timeout = std::chrono::seconds(2);
/// Limit of one line of a stream.
constexpr std::size_t max_line_bytes = std::size_t{256} * 1024;
/// Limit of a stream of which events make the answer, with all that it has beside the text.
constexpr std::size_t max_stream_bytes = 8 * backend_client::max_answer_bytes;
/// Divisor of the memory for answers: what small ones may take in addition.
constexpr std::size_t small_share = 4;

duration elapsed_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - start);
}

/// Whether an answer of `size` bytes, for which `allocated` bytes are held, is within the limits.
/// If not, the result says why.
bool fits(backend_result& result, std::size_t size, std::size_t allocated) {
  if (size > backend_client::max_answer_bytes) {
    result.detail = "the answer is too large";
    return false;
  }
  if (!result.memory->grow_to(allocated)) {
    result.detail = "the answers in memory are too large";
    return false;
  }
  return true;
}

/// Parses a stream of server-sent events into a result.
class event_parser {
public:
  event_parser(backend_result& into, text_sink on_text, std::chrono::steady_clock::time_point began)
      : result(into), sink(std::move(on_text)), start(began) {}

  /// Returns false once the stream is too large.
  bool feed(std::string_view part) {
    this->pending += part;
    std::size_t end = this->pending.find('\n');
    std::size_t begin = 0;
    while (end != std::string::npos) {
      this->parse_line(std::string_view(this->pending).substr(begin, end - begin));
      begin = end + 1;
      end = this->pending.find('\n', begin);
    }
    this->pending.erase(0, begin);
    if (this->pending.size() > max_line_bytes) {
      this->result.detail = "a line of the stream is too long";
      return false;
    }
    const std::string& answer = this->result.answer;
    return fits(this->result, answer.size(), this->pending.capacity() + answer.capacity());
  }

  [[nodiscard]] bool done() const { return this->finished; }

private:
  void parse_line(std::string_view line) {
    constexpr std::string_view prefix = "data: ";
    if (!line.starts_with(prefix)) {
      return;
    }
    line.remove_prefix(prefix.size());
    if (line == "[DONE]" || line == "[DONE]\r") {
      this->finished = true;
      return;
    }
    boost::system::error_code error;
    const json::value data = json::parse(boost::json::string_view(line.data(), line.size()), error);
    if (error || !data.is_object()) {
      return;
    }
    this->parse_choices(data.as_object());
    this->parse_usage(data.as_object());
  }

  void parse_choices(const json::object& data) {
    const json::value* choices = data.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->as_array().empty()) {
      return;
    }
    const json::object* choice = choices->as_array().front().if_object();
    const json::value* delta = choice == nullptr ? nullptr : choice->if_contains("delta");
    const json::object* fields = delta == nullptr ? nullptr : delta->if_object();
    const json::value* content = fields == nullptr ? nullptr : fields->if_contains("content");
    if (content == nullptr || !content->is_string()) {
      return;
    }
    const json::string& text = content->as_string();
    if (this->result.answer.empty()) {
      this->result.first_token = elapsed_since(this->start);
    }
    this->result.answer.append(text.data(), text.size());
    this->result.answer_tokens = this->result.answer_tokens.next();
    this->sink(std::string_view(text.data(), text.size()));
  }

  void parse_usage(const json::object& data) {
    const json::value* usage = data.if_contains("usage");
    if (usage == nullptr || !usage->is_object()) {
      return;
    }
    const auto number = [](const json::object& fields, const char* name) {
      const json::value* value = fields.if_contains(name);
      boost::system::error_code error;
      const auto read = value == nullptr ? 0 : value->to_number<std::int64_t>(error);
      return token_count(error ? 0 : read);
    };
    const json::object& fields = usage->as_object();
    this->result.prompt_tokens = number(fields, "prompt_tokens");
    this->result.answer_tokens = number(fields, "completion_tokens");
    const json::value* details = fields.if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object()) {
      this->result.cached_tokens = number(details->as_object(), "cached_tokens");
    }
  }

  backend_result& result;
  text_sink sink;
  std::chrono::steady_clock::time_point start;
  std::string pending;
  bool finished = false;
};

http::request post(std::string target, const std::string& request_id, std::string body) {
  http::request ask;
  ask.method = "POST";
  ask.target = std::move(target);
  ask.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", request_id}};
  ask.body = std::move(body);
  return ask;
}

std::string completion_body(const backend_call& call) {
  json::object body;
  body["model"] = call.model.get();
  body["messages"] = json::parse(call.messages);
  body["max_tokens"] = call.max_tokens.get();
  body["stream"] = true;
  body["stream_options"] = {{"include_usage", true}};
  body["user"] = call.program.get();
  return json::serialize(body);
}

void set_outcome(backend_result& result, const std::optional<http::response>& head,
                 const http::fetch_failure& why, bool whole) {
  using kind = backend_result::kind;
  if (!head) {
    const bool never_sent = why.reached == http::progress::not_connected;
    result.outcome = never_sent ? kind::never_started : kind::broken;
    result.detail = result.detail.empty() ? why.detail : result.detail;
    result.is_malformed = why.is_malformed;
    return;
  }
  if (!head->is_success()) {
    result.outcome = kind::failed;
    result.detail = "status " + std::to_string(head->status);
    result.answer = head->body;
    return;
  }
  result.outcome = whole ? kind::finished : kind::broken;
}

}  // namespace

backend_client::backend_client(std::size_t memory_bytes)
    : answers(std::make_shared<overload::byte_budget>(memory_bytes, memory_bytes / small_share)),
      client(max_stream_bytes) {}

asio::awaitable<backend_result> backend_client::complete(http::endpoint server, backend_call call,
                                                         text_sink sink) {
  backend_result result;
  result.memory = std::make_shared<overload::byte_share>(this->answers);
  const auto start = std::chrono::steady_clock::now();
  event_parser reader(result, std::move(sink), start);
  http::fetch_failure why;
  http::request ask = post("/v1/chat/completions", call.request_id, completion_body(call));
  const auto feed = [&reader](std::string_view part) { return reader.feed(part); };
  // The stream has an end mark of its own, "[DONE]".
  const auto head =
      co_await this->client.fetch_stream(server, std::move(ask), call.response_timeout, feed, why,
                                         http::accepted_end::connection, call.answer_timeout);
  set_outcome(result, head, why, reader.done());
  result.whole = elapsed_since(start);
  co_return result;
}

asio::awaitable<backend_result> backend_client::call_tool(http::endpoint server,
                                                          backend_call call) {
  backend_result result;
  result.memory = std::make_shared<overload::byte_share>(this->answers);
  const auto start = std::chrono::steady_clock::now();
  http::fetch_failure why;
  http::request ask = post(call.path, call.request_id, call.body);
  std::string body;
  const auto append = [&body, &result](std::string_view part) {
    body += part;
    return fits(result, body.size(), body.capacity());
  };
  const duration body_time = call.response_timeout * http::client::body_time_factor;
  const auto head =
      co_await this->client.fetch_stream(server, std::move(ask), call.response_timeout, append, why,
                                         http::accepted_end::framing, body_time);
  set_outcome(result, head, why, true);
  if (result.outcome == backend_result::kind::finished) {
    result.answer = std::move(body);
  }
  result.whole = elapsed_since(start);
  co_return result;
}

asio::awaitable<bool> backend_client::release(http::endpoint server, program_id program) {
  json::object body;
  body["program"] = program.get();
  http::fetch_failure why;
  http::request ask = post("/cache/release", "", json::serialize(body));
  const auto head = co_await this->client.fetch(server, std::move(ask), release_timeout, why);
  co_return head.has_value() && head->is_success();
}

}  // namespace hawthornlane
