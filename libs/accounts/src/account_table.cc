// Look-up of client accounts by key.
#include "hawthornlane/accounts/account_table.h"

#include <xxhash.h>

#include <bit>
#include <limits>
#include <set>

namespace hawthornlane {
namespace {

/// Compares all bytes, so that the time does not depend on where the first difference is.
bool constant_time_equal(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (std::size_t at = 0; at < a.size(); ++at) {
    difference |= static_cast<unsigned char>(a[at]) ^ static_cast<unsigned char>(b[at]);
  }
  return difference == 0;
}

failure account_error(const client_account& name, std::string_view what) {
  return {error_kind::document_invalid,
          "client account '" + name.get() + "': " + std::string(what)};
}

/// False if an account has no name or is listed twice.
bool check_names(const std::vector<account_entry>& entries, failure& reason) {
  std::set<std::string_view> names;
  for (const account_entry& entry : entries) {
    if (entry.terms.name.get().empty()) {
      reason = account_error(entry.terms.name, "has no name");
      return false;
    }
    if (!names.insert(entry.terms.name.get()).second) {
      reason = account_error(entry.terms.name, "is listed twice");
      return false;
    }
  }
  return true;
}

}  // namespace

std::shared_ptr<const account_table> account_table::make(std::vector<account_entry> entries,
                                                         std::uint64_t seed, failure& reason) {
  if (!check_names(entries, reason)) {
    return nullptr;
  }
  std::size_t keys = 0;
  std::size_t bytes = 0;
  for (const account_entry& entry : entries) {
    keys += entry.keys.size();
    for (const std::string& key : entry.keys) {
      bytes += key.size();
    }
  }
  if (bytes > std::numeric_limits<std::uint32_t>::max()) {
    reason = {error_kind::document_invalid,
              "the keys of all client accounts together are longer than 4 GiB"};
    return nullptr;
  }
  const std::shared_ptr<account_table> table(new account_table);
  table->seed = seed;
  table->slots.resize(std::bit_ceil(2 * keys + 1));
  table->text.reserve(bytes);
  table->all.reserve(entries.size());
  for (account_entry& entry : entries) {
    const auto owner = static_cast<std::uint32_t>(table->all.size());
    table->all.push_back(std::move(entry.terms));
    for (const std::string& key : entry.keys) {
      if (!table->add_key(key, owner, reason)) {
        return nullptr;
      }
    }
  }
  return table;
}

bool account_table::add_key(const std::string& key, std::uint32_t owner, failure& reason) {
  if (key.empty()) {
    reason = account_error(this->all[owner].name, "has an empty key");
    return false;
  }
  if (const slot* known = this->find_slot(key)) {
    if (known->owner == owner) {
      return true;
    }
    reason = account_error(this->all[owner].name, "holds a key of client account '" +
                                                      this->all[known->owner].name.get() + "'");
    return false;
  }
  const std::uint64_t hash = this->hash_of(key);
  const std::size_t mask = this->slots.size() - 1;
  std::size_t at = hash & mask;
  while (this->slots[at].length != 0) {
    at = (at + 1) & mask;
  }
  this->slots[at] = {hash, static_cast<std::uint32_t>(this->text.size()),
                     static_cast<std::uint32_t>(key.size()), owner};
  this->text += key;
  ++this->keys;
  return true;
}

const account* account_table::find(std::string_view key) const {
  const slot* found = this->find_slot(key);
  return found == nullptr ? nullptr : &this->all[found->owner];
}

const account_table::slot* account_table::find_slot(std::string_view key) const {
  const std::uint64_t hash = this->hash_of(key);
  const std::size_t mask = this->slots.size() - 1;
  for (std::size_t at = hash & mask; this->slots[at].length != 0; at = (at + 1) & mask) {
    const slot& candidate = this->slots[at];
    if (candidate.hash != hash) {
      continue;
    }
    const std::string_view stored_key =
        std::string_view(this->text).substr(candidate.offset, candidate.length);
    if (constant_time_equal(stored_key, key)) {
      return &candidate;
    }
  }
  return nullptr;
}

std::uint64_t account_table::hash_of(std::string_view key) const {
  return XXH3_64bits_withSeed(key.data(), key.size(), this->seed);
}

}  // namespace hawthornlane
