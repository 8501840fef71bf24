// Checks the head, the lines before chunks and the trailer of a response by the grammar of HTTP.
#include "hawthornlane/http/response_checker.h"

#include <algorithm>
#include <charconv>

namespace hawthornlane::http {

namespace {

/// The begin of a status line; 'd' stands for a digit.
constexpr std::string_view status_pattern = "HTTP/1.d ddd ";
constexpr std::size_t version_at = 7;
constexpr std::size_t status_at = 9;
constexpr std::size_t status_size = 3;

constexpr int first_status = 100;
constexpr int last_status = 599;
constexpr int switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int no_content = 204;
constexpr int not_modified = 304;

/// Whether the line, or what has arrived of it, has the form of a status line.
bool begins_status_line(std::string_view line) {
  const std::string_view begin = line.substr(0, status_pattern.size());
  return std::equal(begin.begin(), begin.end(), status_pattern.begin(),
                    [](char character, char expected) {
                      const bool is_digit = character >= '0' && character <= '9';
                      return expected == 'd' ? is_digit : character == expected;
                    });
}

}  // namespace

std::optional<std::string_view> response_checker::add(std::string_view bytes) {
  while (!bytes.empty() && this->at != part::rest) {
    if (this->at == part::chunks) {
      return this->chunks.add(bytes);
    }
    std::optional<std::string_view> error;
    const bool is_whole = this->line.add(bytes, error);
    if (!error && this->at == part::status_line && !begins_status_line(this->line.text())) {
      error = "the status line does not have the form VERSION STATUS REASON";
    }
    if (is_whole && !error) {
      error = this->check_line();
      this->line.clear();
    }
    if (error) {
      return error;
    }
  }
  return std::nullopt;
}

std::optional<std::string_view> response_checker::check_line() {
  if (this->at == part::status_line) {
    return this->check_status_line();
  }
  return this->line.text().empty() ? this->finish_head() : this->check_header_line();
}

std::optional<std::string_view> response_checker::check_status_line() {
  const std::string_view text = this->line.text();
  if (text.size() < status_pattern.size()) {
    return "the status line does not have the form VERSION STATUS REASON";
  }
  this->is_http_1_0 = text.at(version_at) == '0';
  const std::string_view digits = text.substr(status_at, status_size);
  std::from_chars(digits.data(), digits.data() + digits.size(), this->status);
  if (this->status < first_status || this->status > last_status) {
    return "the status is not between 100 and 599";
  }
  if (this->status == switching_protocols) {
    return "status 101, though no other protocol was requested";
  }
  this->at = part::header_line;
  return std::nullopt;
}

std::optional<std::string_view> response_checker::check_header_line() {
  std::string_view error;
  const auto field = parse_field_line(this->line.text(), error);
  return field ? this->framing.add(*field) : error;
}

std::optional<std::string_view> response_checker::finish_head() {
  const auto conflict = this->framing.find_conflict();
  if (conflict) {
    return conflict;
  }
  if (this->is_http_1_0 && this->framing.is_chunked()) {
    return "Transfer-Encoding in a response of HTTP/1.0";
  }
  const bool never_has_body = this->status < first_final_status || this->status == no_content;
  if (never_has_body && (this->framing.is_chunked() || this->framing.announces_bytes())) {
    return "a response that has no body announces one";
  }
  const bool has_no_body = never_has_body || this->is_to_head || this->status == not_modified;
  this->at = this->framing.is_chunked() && !has_no_body ? part::chunks : part::rest;
  return std::nullopt;
}

}  // namespace hawthornlane::http
