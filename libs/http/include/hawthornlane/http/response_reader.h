// Reads a response from the bytes of a connection. All code that receives responses uses it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/http/message.h"

namespace hawthornlane::http {

/// Limits of one response, bytes.
struct response_sizes {
  /// Of its head, and of all interim responses before it.
  std::uint32_t head = 64 * 1024;
  std::size_t body = std::size_t{8} * 1024 * 1024;
  /// Of the line before a chunk, and of the trailer.
  std::size_t chunk_framing = std::size_t{16} * 1024;

  /// Limit of a body in chunks with its framing.
  [[nodiscard]] std::size_t framed() const { return 2 * this->body; }
};

/// Parses one response. Interim responses before it are skipped.
class response_reader {
public:
  /// `has_no_body`: the response is to a HEAD request.
  response_reader(const response_sizes& limits, bool has_no_body);
  response_reader(const response_reader&) = delete;
  response_reader& operator=(const response_reader&) = delete;
  ~response_reader();

  /// Consumes bytes from `buffer`; those behind the response are left. Returns why the bytes are no
  /// valid response, or exceed the limits; then the connection must be closed.
  [[nodiscard]] std::optional<std::string> feed(std::string& buffer);
  /// The connection has ended in order. Returns why the response is incomplete.
  [[nodiscard]] std::optional<std::string> end();

  [[nodiscard]] bool has_head() const;
  [[nodiscard]] bool is_done() const;
  /// The body has neither a length nor chunks.
  [[nodiscard]] bool ends_with_connection() const;
  /// Whether another response may follow on the connection.
  [[nodiscard]] bool keeps_connection() const;
  /// Only once there is a head, like the next one.
  [[nodiscard]] int status() const;
  [[nodiscard]] std::vector<header> headers() const;
  /// Returns the bytes of the body that have arrived since the last call.
  [[nodiscard]] std::string take_body();

private:
  struct message;

  /// Skips an interim response, if that is what has been read.
  [[nodiscard]] std::optional<std::string> skip_interim();
  [[nodiscard]] std::optional<std::string> check_size(const std::string& buffer) const;

  response_sizes sizes;
  bool is_to_head;
  std::unique_ptr<message> current;
  std::size_t interim_bytes = 0;
};

}  // namespace hawthornlane::http
