// Messages between front hosts and quota managers.
#pragma once

#include <cstdint>
#include <optional>

#include "hawthornlane/accounts/account_table.h"
#include "hawthornlane/limits/active_programs.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Version of the configuration that a limit comes from; the limit with the highest version is in
/// force.
using limit_version = strong_value<struct limit_version_tag, std::uint64_t>;

/// The program that a call belongs to.
struct quota_program {
  program_key key;
  /// This may be the program's first call.
  bool begins = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->begins);
  }
};

/// Requests one call from an account's quota.
struct quota_request {
  client_account account;
  account_limit limit;
  limit_version version;
  /// A call without a program is granted whenever the bucket holds one call. Not part of
  /// `serialize`: front hosts append it to the encoded request, and requests of older versions end
  /// before it.
  std::optional<quota_program> program = std::nullopt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->account, this->limit, this->version);
  }
};

enum class quota_outcome : std::uint8_t {
  /// The call may run, once, at any time from now on.
  granted,
  /// The bucket holds too few calls, or those that it holds are reserved for programs in progress.
  refused,
  /// The host is not a quota manager now, or cannot be sure that it still is.
  not_kept,
};

struct quota_response {
  quota_outcome outcome = quota_outcome::not_kept;
  /// When refused: time until the manager can grant the call, if no other request comes before.
  duration retry_after{};

  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t wait = this->retry_after.count();
    archive(this->outcome, wait);
    this->retry_after = duration(wait);
  }
};

}  // namespace hawthornlane
