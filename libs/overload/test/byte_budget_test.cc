// Guards against messages, large or small, that together take more memory than their budget, and
// against small ones that are refused because of large ones.
#include "hawthornlane/overload/byte_budget.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

using namespace hawthornlane::overload;

TEST_CASE("shares of a budget are limited together and returned when they end") {
  constexpr std::size_t large = 2 * byte_budget::small_bytes;
  const auto budget = std::make_shared<byte_budget>(3 * large / 2, byte_budget::small_bytes);
  std::optional<byte_share> first(budget);
  byte_share second(budget);
  CHECK(first->grow_to(large));
  CHECK_FALSE(second.grow_to(large));
  CHECK(second.grow_to(byte_budget::small_bytes));
  CHECK(budget->used() == large + byte_budget::small_bytes);
  first.reset();
  CHECK(budget->used() == byte_budget::small_bytes);
  CHECK(second.grow_to(large));
}

TEST_CASE("a small share fits beside large ones, and many small ones have a limit too") {
  constexpr std::size_t small = byte_budget::small_bytes;
  const auto budget = std::make_shared<byte_budget>(4 * small, 2 * small);
  byte_share large(budget);
  REQUIRE(large.grow_to(4 * small));
  std::vector<byte_share> others;
  for (int number = 0; number < 2; ++number) {
    others.emplace_back(budget);
    CHECK(others.back().grow_to(small));
  }
  byte_share one_more(budget);
  CHECK_FALSE(one_more.grow_to(small));
  CHECK(budget->used() == 6 * small);
}

TEST_CASE("a share that is moved or replaced is counted once") {
  constexpr std::size_t large = 2 * byte_budget::small_bytes;
  const auto budget = std::make_shared<byte_budget>(4 * large, large);
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
