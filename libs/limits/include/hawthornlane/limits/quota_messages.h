// What front hosts and the hosts that keep quotas tell each other.
#pragma once

#include <cstdint>
#include <optional>

#include "hawthornlane/accounts/account_table.h"
#include "hawthornlane/limits/active_programs.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Number of the configuration that holds a limit; of two limits the one with the higher
/// number is in force.
using limit_version = strong_value<struct limit_version_tag, std::uint64_t>;

/// The program that a call belongs to, as a keeper needs to know it.
struct quota_program {
  program_key key;
  /// The call may be its first one.
  bool begins = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->begins);
  }
};

/// Asks for one call out of an account's quota.
struct quota_request {
  client_account account;
  account_limit limit;
  limit_version version;
  /// A call without a program takes whatever is there. Told behind the rest where there is one.
  std::optional<quota_program> program = std::nullopt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->account, this->limit, this->version);
  }
};

enum class quota_outcome : std::uint8_t {
  /// The call may run, once, at any time from now on.
  granted,
  /// The keeper's part of the quota is used up.
  refused,
  /// That host does not keep quotas now, or cannot be sure that it still does.
  not_kept,
};

struct quota_response {
  quota_outcome outcome = quota_outcome::not_kept;
  /// When refused: how long until the keeper has room again, if nobody asks before.
  duration retry_after{};

  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t wait = this->retry_after.count();
    archive(this->outcome, wait);
    this->retry_after = duration(wait);
  }
};

}  // namespace hawthornlane
