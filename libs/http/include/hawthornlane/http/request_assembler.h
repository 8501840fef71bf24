// Assembles one request from the bytes of a connection, within limits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/overload/client_registry.h"

namespace hawthornlane::http {

/// Limits of one request.
struct request_limits {
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
};

/// How far a request has been assembled.
enum class assembly : std::uint8_t {
  incomplete,
  /// Incomplete, and the client waits for "100 Continue" before it sends the body.
  expects_continue,
  complete,
  /// The request is refused; `reason` says why.
  refused,
  /// The connection ended; no response is due.
  closed,
};

/// Returns why the head of a request is not acceptable; nothing if it is.
using head_check = std::function<std::optional<std::string>(std::string_view head)>;

/// Length of the head including the empty line; nothing while the head is incomplete.
std::optional<std::size_t> head_length(std::string_view bytes);

/// Parses the requests of one connection, one after the other. All that it allocates for a request
/// is counted in the client's slot before it is allocated. Not thread-safe.
class request_assembler {
public:
  /// `slot` must outlive the assembler; it may be null.
  explicit request_assembler(overload::client_slot* slot);
  request_assembler(const request_assembler&) = delete;
  request_assembler& operator=(const request_assembler&) = delete;
  ~request_assembler();

  /// Begins the next request with the bytes that are left of the last read.
  assembly begin(request_limits limits, head_check check);
  /// Adds bytes that were read from the connection.
  assembly add(std::string_view bytes);
  /// Adds the end of the connection; an incomplete request is refused as malformed.
  assembly add_end();

  [[nodiscard]] const failure& reason() const { return this->why; }
  /// Whether bytes of a request have arrived that has not been taken.
  [[nodiscard]] bool has_begun() const;
  [[nodiscard]] bool is_head_complete() const { return this->state != nullptr; }
  /// Bytes that the client may still send of a refused request before it reads the response.
  [[nodiscard]] std::size_t bytes_due() const;
  [[nodiscard]] bool keep_alive() const;
  /// False for HTTP/1.0, which has no chunks.
  [[nodiscard]] bool may_use_chunks() const;

  /// Takes the complete request. Its path is the target without the query. What it holds stays
  /// counted until `release`.
  request take();
  /// Counts `more` bytes that the taken request holds in addition. Returns false if they are too
  /// much beside other requests. A request alone may always take all that there is.
  [[nodiscard]] bool hold_also(std::size_t more);
  /// The taken request is over.
  void release();
  /// Frees all that has arrived, since the client has to yield its memory.
  void drop();

private:
  struct parsing;

  assembly refuse(error_kind kind, std::string detail);
  assembly refuse_for_memory();
  assembly add_head(std::string_view bytes);
  assembly begin_body(std::size_t length);
  assembly parse(std::string_view bytes);
  /// Counts what is held with `pending_bytes` and `body_bytes` allocated.
  [[nodiscard]] bool hold(std::size_t pending_bytes, std::size_t body_bytes);
  [[nodiscard]] bool append_pending(std::string_view bytes);

  overload::client_slot* slot;
  request_limits limits;
  head_check check;
  failure why;
  /// Bytes that have not been parsed: the begin of a head, of the framing of a chunk, or of the
  /// next request.
  std::string pending;
  /// Bytes of `pending` that contain no end of a head.
  std::size_t searched = 0;
  /// What the parsed head takes.
  std::size_t head_bytes = 0;
  std::size_t body_bytes = 0;
  /// The sum that was last asked for.
  std::size_t wanted = 0;
  std::unique_ptr<parsing> state;
};

}  // namespace hawthornlane::http
