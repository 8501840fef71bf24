// Assembles one request from the bytes of a connection, within limits.
#include "hawthornlane/http/request_assembler.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>

#include "hawthornlane/http/chunk_checker.h"

namespace hawthornlane::http {
namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using boost::system::error_code;

namespace {

/// Limit of the line before a chunk of a body, and of the fields after the last one.
constexpr std::size_t max_chunk_framing_bytes = std::size_t{16} * 1024;
/// Limit of the framing of a body, as a multiple of the largest body: chunks of one byte take five
/// bytes each.
constexpr std::size_t max_framing_factor = 16;
/// A parsed head takes its bytes twice, and this for each field: an element of the parser's list,
/// one of the request's and one of the request to the server.
constexpr std::size_t bytes_per_field = 256;
/// First allocation for a body, unless it is shorter.
constexpr std::size_t first_body_bytes = 4096;
/// HTTP/1.0 in Beast's version numbers.
constexpr unsigned http_1_0 = 10;
constexpr std::string_view head_end = "\r\n\r\n";

/// A body whose growth is counted. In contrast to Beast's string body it allocates nothing for an
/// announced length.
struct counted_body {
  struct value_type {
    std::string bytes;
    /// Largest size that the body can have: its announced length, or the limit.
    std::size_t most = 0;
    /// Counts that the body's allocation grows to this many bytes; false if it may not.
    std::function<bool(std::size_t capacity)> may_hold;
  };

  class reader {
  public:
    template <bool is_request, class Fields>
    reader(bhttp::header<is_request, Fields>& /*head*/, value_type& into) : body(into) {}

    void init(const boost::optional<std::uint64_t>& length, error_code& error) {
      error = {};
      if (length) {
        this->body.most = static_cast<std::size_t>(*length);
      }
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, error_code& error) {
      error = {};
      std::string& bytes = this->body.bytes;
      const std::size_t size = bytes.size() + boost::beast::buffer_bytes(buffers);
      if (size > bytes.capacity() && !this->grow(size)) {
        error = make_error_code(boost::system::errc::not_enough_memory);
        return 0;
      }
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return boost::beast::buffer_bytes(buffers);
    }

    void finish(error_code& error) { error = {}; }

  private:
    bool grow(std::size_t size) {
      std::string& bytes = this->body.bytes;
      const std::size_t doubled = std::max(2 * bytes.capacity(), first_body_bytes);
      const std::size_t capacity = std::max(size, std::min(doubled, this->body.most));
      if (!this->body.may_hold(capacity)) {
        return false;
      }
      // `reserve` of a string that has bytes may allocate more than it is asked for.
      std::string larger;
      larger.reserve(capacity);
      larger.append(bytes);
      bytes.swap(larger);
      return true;
    }

    value_type& body;
  };
};

using parser_type = bhttp::request_parser<counted_body>;

failure failure_from(const error_code& error) {
  if (error == boost::system::errc::not_enough_memory) {
    return {error_kind::overloaded, "the requests in memory are too large"};
  }
  if (error == bhttp::error::header_limit) {
    return {error_kind::header_too_large, error.message()};
  }
  const bool large = error == bhttp::error::body_limit;
  return {large ? error_kind::body_too_large : error_kind::bad_request, error.message()};
}

overload::refusal_cause cause_of(error_kind kind) {
  using overload::refusal_cause;
  if (kind == error_kind::header_too_large) {
    return refusal_cause::head_too_large;
  }
  return kind == error_kind::body_too_large ? refusal_cause::body_too_large
                                            : refusal_cause::malformed;
}

/// What a text has allocated; a short one lies within its object.
std::size_t allocated(const std::string& text) {
  return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

/// Frees a text's memory, which an assignment would keep.
void free_text(std::string& text) { std::string().swap(text); }

}  // namespace

/// The parser of one request, from the end of its head on.
struct request_assembler::parsing {
  parser_type parser;
  std::size_t framed_bytes = 0;
  /// Only for a body in chunks.
  std::optional<chunk_checker> chunks;
  /// Bytes that the checker has seen and the parser has not.
  std::size_t checked = 0;
};

std::optional<std::size_t> head_length(std::string_view bytes) {
  const std::size_t end = bytes.find(head_end);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  return end + head_end.size();
}

request_assembler::request_assembler(overload::client_slot* client) : slot(client) {}

request_assembler::~request_assembler() = default;

bool request_assembler::hold(std::size_t pending_bytes, std::size_t new_body_bytes) {
  const std::size_t sum = pending_bytes + this->head_bytes + new_body_bytes;
  this->wanted = sum;
  return this->slot == nullptr || this->slot->hold(sum, std::chrono::steady_clock::now());
}

bool request_assembler::append_pending(std::string_view bytes) {
  const std::size_t size = this->pending.size() + bytes.size();
  if (size > this->pending.capacity()) {
    const std::size_t capacity = std::max(size, 2 * this->pending.capacity());
    if (!this->hold(capacity, this->body_bytes)) {
      return false;
    }
    this->pending.reserve(capacity);
  }
  this->pending.append(bytes);
  return true;
}

assembly request_assembler::refuse(error_kind kind, std::string detail) {
  this->why = {kind, std::move(detail)};
  if (this->slot != nullptr && kind != error_kind::overloaded) {
    this->slot->count_refusal(cause_of(kind));
  }
  return assembly::refused;
}

assembly request_assembler::refuse_for_memory() {
  if (this->slot != nullptr && this->wanted > this->slot->largest_request()) {
    return this->refuse(error_kind::body_too_large, "the request exceeds the memory for requests");
  }
  return this->refuse(error_kind::overloaded, "the requests in memory are too large");
}

assembly request_assembler::begin(request_limits new_limits, head_check new_check) {
  this->limits = new_limits;
  this->check = std::move(new_check);
  this->state.reset();
  this->searched = 0;
  this->head_bytes = 0;
  this->body_bytes = 0;
  if (this->pending.empty()) {
    return assembly::incomplete;
  }
  if (this->slot != nullptr) {
    this->slot->received(this->pending.size(), std::chrono::steady_clock::now());
  }
  if (!this->hold(allocated(this->pending), 0)) {
    return this->refuse_for_memory();
  }
  return this->add_head({});
}

assembly request_assembler::add(std::string_view bytes) {
  if (this->slot != nullptr) {
    this->slot->received(bytes.size(), std::chrono::steady_clock::now());
  }
  if (!this->state) {
    return this->add_head(bytes);
  }
  if (this->pending.empty()) {
    return this->parse(bytes);
  }
  if (!this->append_pending(bytes)) {
    return this->refuse_for_memory();
  }
  std::string all;
  all.swap(this->pending);
  return this->parse(all);
}

assembly request_assembler::add_end() {
  return this->refuse(error_kind::bad_request, "the connection ended inside a request");
}

assembly request_assembler::add_head(std::string_view bytes) {
  if (!this->append_pending(bytes)) {
    return this->refuse_for_memory();
  }
  const std::size_t overlap = std::min(this->searched, head_end.size() - 1);
  const std::size_t from = this->searched - overlap;
  const auto found = head_length(std::string_view(this->pending).substr(from));
  this->searched = this->pending.size();
  if (!found && this->pending.size() <= this->limits.header_bytes) {
    return assembly::incomplete;
  }
  const std::size_t length = found ? from + *found : this->pending.size();
  if (length > this->limits.header_bytes) {
    return this->refuse(error_kind::header_too_large, "the request head exceeds the limit");
  }
  const std::string_view head = std::string_view(this->pending).substr(0, length);
  if (const auto invalid = this->check ? this->check(head) : std::nullopt) {
    return this->refuse(error_kind::bad_request, *invalid);
  }
  return this->begin_body(length);
}

assembly request_assembler::begin_body(std::size_t length) {
  const auto lines = std::count(this->pending.begin(),
                                this->pending.begin() + static_cast<std::ptrdiff_t>(length), '\n');
  this->head_bytes = 2 * length + static_cast<std::size_t>(lines) * bytes_per_field;
  if (!this->hold(allocated(this->pending), 0)) {
    return this->refuse_for_memory();
  }
  this->state = std::make_unique<parsing>();
  parser_type& parser = this->state->parser;
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(length + 1));
  parser.body_limit(this->limits.body_bytes);
  auto& body = parser.get().body();
  body.most = this->limits.body_bytes;
  body.may_hold = [this](std::size_t capacity) {
    if (!this->hold(allocated(this->pending), capacity)) {
      return false;
    }
    this->body_bytes = capacity;
    return true;
  };
  std::string all;
  all.swap(this->pending);
  const std::string_view rest = std::string_view(all).substr(length);
  assembly outcome = this->parse(std::string_view(all).substr(0, length));
  if (outcome == assembly::complete && !this->append_pending(rest)) {
    return this->refuse_for_memory();
  }
  if (outcome == assembly::incomplete && parser.chunked()) {
    this->state->chunks.emplace();
  }
  if (outcome == assembly::incomplete && !rest.empty()) {
    outcome = this->parse(rest);
  }
  if (outcome != assembly::incomplete) {
    return outcome;
  }
  const std::uint64_t announced = parser.content_length().value_or(0);
  if (this->slot != nullptr && announced + this->head_bytes > this->slot->largest_request()) {
    return this->refuse(error_kind::body_too_large, "the request exceeds the memory for requests");
  }
  const bool waits = boost::beast::iequals(parser.get()[bhttp::field::expect], "100-continue");
  return waits ? assembly::expects_continue : outcome;
}

assembly request_assembler::parse(std::string_view bytes) {
  parsing& now = *this->state;
  while (!bytes.empty() && !now.parser.is_done()) {
    if (now.chunks) {
      const auto invalid = now.chunks->add(bytes.substr(now.checked));
      if (invalid) {
        return this->refuse(error_kind::bad_request, std::string(*invalid));
      }
      now.checked = bytes.size();
    }
    const std::size_t held_back = now.chunks ? now.chunks->incomplete_end() : 0;
    error_code error;
    const std::size_t taken =
        now.parser.put(asio::buffer(bytes.data(), bytes.size() - held_back), error);
    bytes.remove_prefix(taken);
    now.checked -= std::min(taken, now.checked);
    now.framed_bytes += taken;
    if (error && error != bhttp::error::need_more) {
      failure found = failure_from(error);
      return found.kind == error_kind::overloaded
                 ? this->refuse_for_memory()
                 : this->refuse(found.kind, std::move(found.detail));
    }
    if (error || taken == 0) {
      break;
    }
  }
  const bool done = now.parser.is_done();
  const std::size_t max_framed =
      max_framing_factor * std::max(this->limits.body_bytes, max_chunk_framing_bytes);
  if (!done && (bytes.size() > max_chunk_framing_bytes || now.framed_bytes > max_framed)) {
    return this->refuse(error_kind::body_too_large, "the framing of the body exceeds its limit");
  }
  if (!bytes.empty() && !this->append_pending(bytes)) {
    return this->refuse_for_memory();
  }
  // Less than before, so it is not refused.
  (void)this->hold(allocated(this->pending), this->body_bytes);
  return done ? assembly::complete : assembly::incomplete;
}

bool request_assembler::has_begun() const { return this->state || !this->pending.empty(); }

std::size_t request_assembler::bytes_due() const {
  const std::size_t any = this->limits.header_bytes + this->limits.body_bytes;
  if (!this->state || !this->state->parser.is_header_done()) {
    return any;
  }
  const auto left = this->state->parser.content_length_remaining();
  return left ? static_cast<std::size_t>(std::min<std::uint64_t>(*left, any)) : any;
}

bool request_assembler::keep_alive() const {
  return this->state && this->state->parser.keep_alive();
}

bool request_assembler::may_use_chunks() const {
  return !this->state || this->state->parser.get().version() > http_1_0;
}

request request_assembler::take() {
  auto& message = this->state->parser.get();
  request whole;
  whole.method = std::string(message.method_string());
  whole.target = std::string(message.target());
  whole.path = whole.target.substr(0, whole.target.find('?'));
  for (const auto& item : message) {
    whole.headers.push_back({std::string(item.name_string()), std::string(item.value())});
  }
  whole.body = std::move(message.body().bytes);
  this->state.reset();
  if (this->slot != nullptr) {
    this->slot->enter(overload::client_phase::running, std::chrono::steady_clock::now());
  }
  return whole;
}

bool request_assembler::hold_also(std::size_t more) {
  const std::size_t own = allocated(this->pending) + this->head_bytes + this->body_bytes;
  const std::size_t most = this->slot == nullptr ? own : this->slot->largest_request();
  const std::size_t left = most > own ? most - own : 0;
  return this->hold(allocated(this->pending), this->body_bytes + std::min(more, left));
}

void request_assembler::release() {
  this->head_bytes = 0;
  this->body_bytes = 0;
  if (this->slot == nullptr) {
    return;
  }
  // Giving back is never refused.
  (void)this->hold(allocated(this->pending), 0);
  this->slot->enter(overload::client_phase::idle, std::chrono::steady_clock::now());
}

void request_assembler::drop() {
  free_text(this->pending);
  if (this->state) {
    free_text(this->state->parser.get().body().bytes);
  }
}

}  // namespace hawthornlane::http
