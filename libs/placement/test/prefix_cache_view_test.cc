// Tests the estimate of the tokens of a prompt that a server has cached.
#include "hawthornlane/placement/prefix_cache_view.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace hawthornlane;

namespace {

prompt_piece piece(std::uint64_t key, std::int64_t tokens) {
  return {prompt_part_key(key), token_count(tokens)};
}

const backend_server_id one("one");
const backend_server_id other("other");

}  // namespace

TEST_CASE("a prompt counts as cached up to the last part that the server has read") {
  prefix_cache_view view;
  view.add_prompt({piece(1, 500), piece(2, 1000)}, one);
  view.add_prompt({piece(1, 500), piece(3, 300)}, other);
  struct row {
    const char* what;
    std::vector<prompt_piece> prompt;
    backend_server_id server;
    std::int64_t cached;
  };
  const auto [what, prompt, server, cached] = GENERATE(values<row>({
      {"an unknown prompt", {piece(9, 100)}, one, 0},
      {"the whole prompt", {piece(1, 500), piece(2, 1000)}, one, 1500},
      {"the session has grown since", {piece(1, 500), piece(2, 1400)}, one, 1500},
      {"no more tokens than the prompt has", {piece(1, 200)}, one, 200},
      {"a sub-agent's parent", {piece(1, 500), piece(2, 1000), piece(7, 200)}, one, 1500},
      {"an unknown part before a cached one", {piece(8, 10), piece(2, 1000)}, one, 1010},
      {"an unknown part after the last cached one", {piece(2, 1000), piece(8, 700)}, one, 1000},
      {"only the shared part", {piece(1, 500), piece(2, 1000)}, other, 500},
  }));
  INFO(what);
  CHECK(view.cached(prompt, server) == token_count(cached));
}

TEST_CASE("a removed server has no cached tokens") {
  prefix_cache_view view;
  view.add_prompt({piece(1, 500)}, one);
  view.add_prompt({piece(1, 500)}, other);
  view.drop_server(one);
  CHECK(view.cached({piece(1, 500)}, one) == token_count(0));
  CHECK(view.cached({piece(1, 500)}, other) == token_count(500));
}

TEST_CASE("the number of parts is bounded, and the least recently used are removed") {
  prefix_cache_view view;
  constexpr std::uint64_t many = 20'000;
  for (std::uint64_t key = 1; key <= many; ++key) {
    view.add_prompt({piece(1, 500), piece(key, 10)}, one);
  }
  CHECK_FALSE(view.has_prompt_part(prompt_part_key(2)));
  CHECK(view.has_prompt_part(prompt_part_key(1)));
  CHECK(view.has_prompt_part(prompt_part_key(many)));
}

TEST_CASE("huge token counts don't overflow to negative sums") {
  prefix_cache_view view;
  constexpr std::int64_t huge = std::numeric_limits<std::int64_t>::max();
  view.add_prompt({piece(1, huge), piece(2, huge)}, one);
  CHECK(view.cached({piece(1, huge), piece(2, huge)}, one) >= token_count(0));
  CHECK(view.uncached({piece(8, huge), piece(9, huge)}, one) > token_count(0));
}
