// Reads a response from the bytes of a connection, on Boost.Beast.
#include "hawthornlane/http/response_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include "hawthornlane/http/response_checker.h"

namespace hawthornlane::http {
namespace bhttp = boost::beast::http;
using boost::system::error_code;

/// The parser passes over some of what the grammar does not allow, so the checker sees the bytes
/// first.
struct response_reader::message {
  message(const response_sizes& limits, bool has_no_body) : checker(has_no_body) {
    this->parser.eager(true);
    this->parser.header_limit(limits.head);
    this->parser.body_limit(limits.body);
    this->parser.skip(has_no_body);
  }

  bhttp::response_parser<bhttp::string_body> parser;
  response_checker checker;
  /// Bytes at the begin of the buffer that the checker has seen.
  std::size_t checked = 0;
  std::size_t parsed = 0;
};

response_reader::response_reader(const response_sizes& limits, bool has_no_body)
    : sizes(limits),
      is_to_head(has_no_body),
      current(std::make_unique<message>(limits, has_no_body)) {}

response_reader::~response_reader() = default;

std::optional<std::string> response_reader::feed(std::string& buffer) {
  while (!buffer.empty() && !this->is_done()) {
    message& one = *this->current;
    const auto invalid = one.checker.add(std::string_view(buffer).substr(one.checked));
    if (invalid) {
      return std::string(*invalid);
    }
    error_code error;
    const std::size_t ready = buffer.size() - one.checker.incomplete_end();
    const std::size_t taken = one.parser.put(boost::asio::buffer(buffer.data(), ready), error);
    one.checked = buffer.size() - taken;
    one.parsed += taken;
    buffer.erase(0, taken);
    if (error && error != bhttp::error::need_more) {
      return error.message();
    }
    if (auto too_many = this->skip_interim()) {
      return too_many;
    }
    if (error || taken == 0) {
      break;
    }
  }
  return this->check_size(buffer);
}

std::optional<std::string> response_reader::skip_interim() {
  constexpr unsigned first_final_status = 200;
  const message& one = *this->current;
  if (!one.parser.is_header_done() || one.parser.get().result_int() >= first_final_status) {
    return std::nullopt;
  }
  this->interim_bytes += one.parsed;
  this->current = std::make_unique<message>(this->sizes, this->is_to_head);
  return this->interim_bytes > this->sizes.head
             ? std::optional<std::string>("the interim responses are too large")
             : std::nullopt;
}

/// The parser limits heads and bodies, but not the framing of a body in chunks.
std::optional<std::string> response_reader::check_size(const std::string& buffer) const {
  const message& one = *this->current;
  const bool in_chunks = one.parser.is_header_done() && !one.parser.is_done();
  const bool is_too_large =
      in_chunks && (buffer.size() > this->sizes.chunk_framing || one.parsed > this->sizes.framed());
  return is_too_large ? std::optional<std::string>("the framing of the body is too large")
                      : std::nullopt;
}

std::optional<std::string> response_reader::end() {
  error_code error;
  this->current->parser.put_eof(error);
  return error ? std::optional<std::string>(error.message()) : std::nullopt;
}

bool response_reader::has_head() const { return this->current->parser.is_header_done(); }

bool response_reader::is_done() const { return this->current->parser.is_done(); }

bool response_reader::ends_with_connection() const { return this->current->parser.need_eof(); }

bool response_reader::keeps_connection() const {
  return this->current->parser.keep_alive() && !this->ends_with_connection();
}

int response_reader::status() const {
  return static_cast<int>(this->current->parser.get().result_int());
}

std::vector<header> response_reader::headers() const {
  std::vector<header> all;
  for (const auto& item : this->current->parser.get()) {
    all.push_back({std::string(item.name_string()), std::string(item.value())});
  }
  return all;
}

std::string response_reader::take_body() {
  std::string body = std::move(this->current->parser.get().body());
  this->current->parser.get().body().clear();
  return body;
}

}  // namespace hawthornlane::http
