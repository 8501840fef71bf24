// Builds responses to callers.
#include "front_answers.h"

#include <fmt/format.h>

#include <charconv>

#include "hawthornlane/node/front_routes.h"

namespace hawthornlane {
namespace json = boost::json;

namespace {
constexpr int retry_after_ms = 500;
}

std::string hex(std::uint64_t value) { return fmt::format("{:016x}", value); }

std::optional<std::uint64_t> from_hex(const std::string& text) {
  std::uint64_t value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.empty() || read.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

http::response json_response(const json::object& body, int status) {
  http::response answer;
  answer.status = status;
  answer.body = json::serialize(body) + "\n";
  return answer;
}

void put_error(json::object& body, error_kind kind, std::string_view detail) {
  const error_answer& row = answer_for(kind);
  body["error"] = row.name;
  body["outcome"] = outcome_name(row.outcome);
  body["meaning"] = row.meaning;
  if (!detail.empty()) {
    body["detail"] = detail;
  }
  if (row.retry_later) {
    body["retry_after_ms"] = retry_after_ms;
  }
}

json::object to_json(const call_answer& answer) {
  json::object body;
  if (answer.error) {
    put_error(body, *answer.error, answer.detail);
  } else {
    body["outcome"] = "kept";
  }
  if (answer.turn) {
    body["turn"] = answer.turn->call_ticket.turn.get();
    body["answer"] = answer.turn->answer;
    body["used_tokens"] = answer.turn->used.get();
    body["backend_failed"] = answer.turn->failed;
  }
  if (answer.next) {
    body["ticket"] = to_string(*answer.next);
    body["digest"] = hex(answer.digest);
    body["budget_left"] = answer.budget_left.get();
  }
  if (!answer.error) {
    body["copies"] = answer.copies;
    body["replayed"] = answer.replayed;
  }
  return body;
}

http::response to_response(const call_answer& answer) {
  constexpr int good_status = 200;
  const int status = answer.error ? answer_for(*answer.error).http_status : good_status;
  http::response http_response = json_response(to_json(answer), status);
  if (answer.error && answer_for(*answer.error).retry_later) {
    http_response.headers.push_back({"Retry-After", "1"});
  }
  return http_response;
}

std::string server_sent_event(std::string_view name, const json::object& data) {
  return fmt::format("event: {}\ndata: {}\n\n", name, json::serialize(data));
}

http::response error_response(error_kind kind, std::string_view detail) {
  json::object body;
  put_error(body, kind, detail);
  return json_response(body, answer_for(kind).http_status);
}

}  // namespace hawthornlane
