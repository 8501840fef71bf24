// The client accounts of a configuration, and look-up of an account by its key. No I/O, clock or
// randomness.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// Limit of an account's calls, over all hosts together.
struct account_limit {
  /// Calls a second; 0: unlimited.
  double calls_per_second = 0;
  /// Calls that may be made at once in addition to the rate.
  double burst = 0;

  /// True if the account is limited.
  [[nodiscard]] bool limits() const { return this->calls_per_second > 0; }
  friend bool operator==(const account_limit&, const account_limit&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->calls_per_second, this->burst);
  }
};

/// One account as hosts use it. Its keys are stored only in the table.
struct account {
  client_account name;
  /// Overrides the route's priority; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  account_limit limit;

  friend bool operator==(const account&, const account&) = default;
};

/// One account as the operator configures it.
struct account_entry {
  account terms;
  /// Secrets: never log them or include them in an error.
  std::vector<std::string> keys;
};

/// Maps keys to accounts. Immutable.
///
/// A key is found by a hash with an unpredictable seed and then compared in constant time, so the
/// duration of a look-up does not reveal how much of a wrong key is right. A look-up takes the same
/// few steps for any number of accounts.
class account_table {
public:
  /// Null if an account has no name or is listed twice, if a key is empty or belongs to two
  /// accounts, or if the keys exceed the table's capacity. `reason` then names the account and
  /// never the key. `seed`: seed of the hash; must differ between processes.
  static std::shared_ptr<const account_table> make(std::vector<account_entry> entries,
                                                   std::uint64_t seed, failure& reason);

  /// Returns the account with this key, null when there is none.
  [[nodiscard]] const account* find(std::string_view key) const;
  [[nodiscard]] const std::vector<account>& accounts() const { return this->all; }
  [[nodiscard]] std::size_t key_count() const { return this->keys; }

private:
  /// One key: its position in `text` and its account.
  struct slot {
    std::uint64_t hash = 0;
    std::uint32_t offset = 0;
    /// 0: the slot is free.
    std::uint32_t length = 0;
    /// Index of the key's account in `all`.
    std::uint32_t owner = 0;
  };

  account_table() = default;
  bool add_key(const std::string& key, std::uint32_t owner, failure& reason);
  [[nodiscard]] const slot* find_slot(std::string_view key) const;
  [[nodiscard]] std::uint64_t hash_of(std::string_view key) const;

  std::vector<account> all;
  /// All keys, concatenated: 3 MB for 39,000 accounts with two keys each.
  std::string text;
  /// Hash table with open addressing. Invariant: the size is a power of two, and at most half of
  /// the slots are taken.
  std::vector<slot> slots;
  std::size_t keys = 0;
  std::uint64_t seed = 0;
};

using account_table_ptr = std::shared_ptr<const account_table>;

}  // namespace hawthornlane
