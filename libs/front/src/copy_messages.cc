// Bytes of the messages about whole copies.
#include "hawthornlane/front/copy_messages.h"

#include <algorithm>

#include "hawthornlane/net/message_bytes.h"

namespace hawthornlane::front {
namespace {

constexpr char copy_mark = '+';
constexpr char busy_mark = '-';

}  // namespace

std::optional<copy_request> copy_request_from(const std::string& bytes) {
  auto request = from_bytes<copy_request>(bytes);
  const auto& kinds = all_copy_kinds;
  const bool known = request && std::find(kinds.begin(), kinds.end(), request->kind) != kinds.end();
  return known ? std::move(request) : std::nullopt;
}

std::string to_answer_bytes(copy_response answer) {
  if (answer.copy) {
    std::string bytes = *std::move(answer.copy);
    bytes += copy_mark;
    return bytes;
  }
  return to_bytes(answer.holders) + busy_mark;
}

std::optional<copy_response> copy_answer_from(std::string bytes) {
  if (bytes.empty()) {
    return std::nullopt;
  }
  const char mark = bytes.back();
  bytes.pop_back();
  copy_response answer;
  if (mark == copy_mark) {
    answer.copy = std::move(bytes);
    return answer;
  }
  auto holders = from_bytes<std::vector<host_id>>(bytes);
  if (mark != busy_mark || !holders) {
    return std::nullopt;
  }
  answer.holders = *std::move(holders);
  return answer;
}

}  // namespace hawthornlane::front
