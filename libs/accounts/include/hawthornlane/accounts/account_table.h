// The client accounts of a configuration, and whose key a caller shows. No I/O, clock or
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

/// How many calls an account may make, over all hosts together.
struct account_limit {
  /// Calls a second; 0: as many as it likes.
  double calls_per_second = 0;
  /// On top of the rate, at any one moment.
  double burst = 0;

  [[nodiscard]] bool limits() const { return this->calls_per_second > 0; }
  friend bool operator==(const account_limit&, const account_limit&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->calls_per_second, this->burst);
  }
};

/// One account as hosts use it. Its keys lie in the table alone.
struct account {
  client_account name;
  /// Goes before a route's own; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  account_limit limit;

  friend bool operator==(const account&, const account&) = default;
};

/// One account as the operator writes it.
struct account_entry {
  account terms;
  /// Secrets: never to be logged or named in an error.
  std::vector<std::string> keys;
};

/// Accounts by their keys. Immutable.
///
/// A key is found by a hash that outsiders cannot foresee and then compared as a whole, so the
/// time of a look-up tells nothing of how much of a wrong key is right. A look-up takes the same
/// few steps for any number of accounts.
class account_table {
public:
  /// Nothing when an account has no name or comes twice, when a key is empty or belongs to two
  /// accounts, or when there are more keys than a table holds; `reason` names the account and
  /// never the key. `seed`: of the hash; differs from process to process.
  static std::shared_ptr<const account_table> make(std::vector<account_entry> entries,
                                                   std::uint64_t seed, failure& reason);

  /// The account that holds this key; null when none does.
  [[nodiscard]] const account* find(std::string_view key) const;
  [[nodiscard]] const std::vector<account>& accounts() const { return this->all; }
  [[nodiscard]] std::size_t key_count() const { return this->keys; }

private:
  /// One key: where it lies in `text`, and whose it is.
  struct slot {
    std::uint64_t hash = 0;
    std::uint32_t begins = 0;
    /// 0: the slot is free.
    std::uint32_t length = 0;
    std::uint32_t owner = 0;
  };

  account_table() = default;
  bool add_key(const std::string& key, std::uint32_t owner, failure& reason);
  [[nodiscard]] const slot* find_slot(std::string_view key) const;
  [[nodiscard]] std::uint64_t hash_of(std::string_view key) const;

  std::vector<account> all;
  /// All keys one behind the other: 39,000 accounts with two keys each take 3 MB so.
  std::string text;
  /// Open addressing. Invariant: a power of two, at most half of it taken.
  std::vector<slot> slots;
  std::size_t keys = 0;
  std::uint64_t seed = 0;
};

using account_table_ptr = std::shared_ptr<const account_table>;

}  // namespace hawthornlane
