// Encoding of the copy messages.
#include "hawthornlane/front/copy_messages.h"

#include <algorithm>

#include "hawthornlane/net/message_bytes.h"

namespace hawthornlane::front {
namespace {

constexpr char copy_tag = '+';
constexpr char busy_tag = '-';

}  // namespace

std::string_view name_of(copy_kind kind) {
  switch (kind) {
    case copy_kind::configuration:
      return "configuration";
    case copy_kind::backends:
      return "backends";
    case copy_kind::hosts:
      return "hosts";
    case copy_kind::ledger:
      return "ledger";
  }
  return "";
}

std::optional<copy_request> copy_request_from(const std::string& bytes) {
  auto request = from_bytes<copy_request>(bytes);
  const auto& kinds = all_copy_kinds;
  const bool known = request && std::find(kinds.begin(), kinds.end(), request->kind) != kinds.end();
  return known ? std::move(request) : std::nullopt;
}

std::string to_response_bytes(copy_response answer) {
  if (answer.copy) {
    std::string bytes = *std::move(answer.copy);
    bytes += copy_tag;
    return bytes;
  }
  return to_bytes(answer.holders) + busy_tag;
}

std::optional<copy_response> copy_response_from(std::string bytes) {
  if (bytes.empty()) {
    return std::nullopt;
  }
  const char tag = bytes.back();
  bytes.pop_back();
  copy_response answer;
  if (tag == copy_tag) {
    answer.copy = std::move(bytes);
    return answer;
  }
  auto holders = from_bytes<std::vector<host_id>>(bytes);
  if (tag != busy_tag || !holders) {
    return std::nullopt;
  }
  answer.holders = *std::move(holders);
  return answer;
}

}  // namespace hawthornlane::front
