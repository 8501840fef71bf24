// Look-up of accounts by key, and validation of the account list.
#include "hawthornlane/accounts/account_table.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;

namespace {

constexpr std::uint64_t seed = 7;

account_entry entry_of(const std::string& name, std::vector<std::string> keys) {
  account_entry entry;
  entry.terms.name = client_account(name);
  entry.keys = std::move(keys);
  return entry;
}

account_table_ptr table_of(std::vector<account_entry> entries) {
  failure reason;
  auto table = account_table::make(std::move(entries), seed, reason);
  INFO(reason.detail);
  REQUIRE(table);
  return table;
}

}  // namespace

TEST_CASE("a key is not attributed to an account that does not list it") {
  struct row {
    std::string key;
    std::string account;
  };
  const auto table = table_of({entry_of("north", {"n-1", "n-2"}), entry_of("south", {"s-1"}),
                               entry_of("without keys", {})});
  const auto [key, account] = GENERATE(values<row>({{"n-1", "north"},
                                                    {"n-2", "north"},
                                                    {"s-1", "south"},
                                                    {"n-3", ""},
                                                    {"n-", ""},
                                                    {"n-11", ""},
                                                    {"", ""},
                                                    {"north", ""}}));
  INFO(key);
  const hawthornlane::account* found = table->find(key);
  CHECK((found == nullptr ? "" : found->name.get()) == account);
}

TEST_CASE("an empty table accepts no key") {
  CHECK(table_of({})->find("any") == nullptr);
  CHECK(table_of({entry_of("without keys", {})})->find("any") == nullptr);
}

TEST_CASE("an inconsistent account list is refused without revealing its keys") {
  struct row {
    std::string what;
    std::vector<account_entry> entries;
    std::string expected_detail;
  };
  const row bad = GENERATE(values<row>({
      {"no name", {entry_of("", {"secret"})}, "no name"},
      {"an account twice", {entry_of("north", {"secret"}), entry_of("north", {})}, "twice"},
      {"a key of two accounts",
       {entry_of("north", {"secret"}), entry_of("south", {"secret"})},
       "north"},
      {"an empty key", {entry_of("north", {"secret", ""})}, "empty key"},
  }));
  failure reason;
  INFO(bad.what);
  CHECK_FALSE(account_table::make(bad.entries, seed, reason));
  CHECK(reason.detail.find(bad.expected_detail) != std::string::npos);
  CHECK(reason.detail.find("secret") == std::string::npos);
}

TEST_CASE("a key listed twice by one account is not an error") {
  const auto table = table_of({entry_of("north", {"n-1", "n-1"})});
  CHECK(table->key_count() == 1);
  CHECK(table->find("n-1") != nullptr);
}

TEST_CASE("no key of a large list is missing") {
  constexpr int accounts = 39000;
  std::vector<account_entry> entries;
  for (int number = 0; number < accounts; ++number) {
    const std::string name = "account-" + std::to_string(number);
    entries.push_back(entry_of(name, {name + "-first-key", name + "-second-key"}));
  }
  const auto table = table_of(std::move(entries));
  CHECK(table->key_count() == std::size_t{2} * accounts);
  for (int number = 0; number < accounts; ++number) {
    const std::string name = "account-" + std::to_string(number);
    const account* found = table->find(name + "-second-key");
    REQUIRE(found != nullptr);
    REQUIRE(found->name.get() == name);
    REQUIRE(table->find(name + "-third-key") == nullptr);
  }
}
