// Guards against large messages that together take more memory than their budget, and against small
// ones that are refused because of them.
#include "hawthornlane/net/byte_budget.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace hawthornlane::net;

TEST_CASE("shares of a budget are limited together and returned when they end") {
  constexpr std::size_t large = 2 * byte_share::free_bytes;
  const auto budget = std::make_shared<byte_budget>(3 * large / 2);
  std::optional<byte_share> first(budget);
  byte_share second(budget);
  CHECK(first->grow_to(large));
  CHECK_FALSE(second.grow_to(large));
  CHECK(second.grow_to(byte_share::free_bytes));
  CHECK(budget->used() == large);
  first.reset();
  CHECK(budget->used() == 0);
  CHECK(second.grow_to(large));
}

TEST_CASE("a share that is moved or replaced is counted once") {
  constexpr std::size_t large = 2 * byte_share::free_bytes;
  const auto budget = std::make_shared<byte_budget>(4 * large);
  byte_share first(budget);
  REQUIRE(first.grow_to(large));
  byte_share second(std::move(first));
  CHECK(budget->used() == large);
  byte_share third(budget);
  REQUIRE(third.grow_to(2 * large));
  second = std::move(third);
  CHECK(second.grow_to(2 * large));
  third = byte_share();
  CHECK(budget->used() == 2 * large);
  second = byte_share();
  CHECK(budget->used() == 0);
}
