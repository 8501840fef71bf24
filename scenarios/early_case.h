// Responses that a server sends before, or after, it has read the request, as rows of a table.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>

#include "hawthornlane/stand_ins/early_response.h"
#include "hawthornlane/stand_ins/invalid_response.h"

namespace hawthornlane::scenarios {

inline constexpr stand_ins::unusual_response http_1_1{
    .name = "HTTP/1.1", .header = "", .trailer = ""};
inline constexpr stand_ins::unusual_response http_1_0{
    .name = "HTTP/1.0", .begin = "HTTP/1.0 200 OK", .header = "", .trailer = ""};

/// One response, and the size of the request that it is sent to.
struct early_case {
  std::size_t upload = 0;
  stand_ins::early_ending ending = stand_ins::early_ending::reset;
  std::chrono::milliseconds pause{0};
  /// Bytes of the body that are sent; all of them if it is empty.
  std::optional<std::size_t> part = std::nullopt;
  stand_ins::response_framing framing = stand_ins::response_framing::connection_end;
  stand_ins::unusual_response what = http_1_1;
  /// The server reads the whole request first.
  bool is_late = false;

  [[nodiscard]] std::string text() const {
    return fmt::format(
        "{}, request of {} bytes{}, {} bytes of the response, its end marked by {}, "
        "{} after {} ms",
        this->what.name, this->upload, this->is_late ? " (read)" : "",
        this->part ? std::to_string(*this->part) : "all", name_of(this->framing),
        name_of(this->ending), this->pause.count());
  }

  /// `headers`: those that the receiver expects, a CR LF after each; `body`: the whole one.
  [[nodiscard]] stand_ins::early_response response(const std::string& headers,
                                                   const std::string& body) const {
    std::string bytes = bytes_of(this->what, this->framing, headers, body);
    if (this->part) {
      constexpr std::string_view head_end = "\r\n\r\n";
      bytes.resize(bytes.find(head_end) + head_end.size() + *this->part);
    }
    return {bytes, this->ending, this->pause, this->is_late};
  }
};

}  // namespace hawthornlane::scenarios
