// Identifies what a request asks for, whatever attempt carries it.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlane {

/// Hash of a request's content. Attempts at the same request have the same fingerprint, through
/// any host.
struct request_fingerprint {
  /// Hash of the client account's name. It is kept apart, so that no content that one account
  /// sends can have the fingerprint of another account's request.
  std::uint64_t account = 0;
  std::uint64_t content_high = 0;
  std::uint64_t content_low = 0;

  friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->account, this->content_high, this->content_low);
  }
};

/// 48 hexadecimal digits.
std::string text_of(const request_fingerprint& request);
/// Nothing if the text has another form.
std::optional<request_fingerprint> fingerprint_from(std::string_view text);

}  // namespace hawthornlane
