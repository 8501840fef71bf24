// Tables over what servers are believed to hold of a prompt.
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

TEST_CASE("a server holds a prompt up to the last part that it has read") {
  prefix_cache_view view;
  view.note({piece(1, 500), piece(2, 1000)}, one);
  view.note({piece(1, 500), piece(3, 300)}, other);
  struct row {
    const char* what;
    std::vector<prompt_piece> prompt;
    backend_server_id server;
    std::int64_t held;
  };
  const auto [what, prompt, server, held] = GENERATE(values<row>({
      {"nothing of an unknown prompt", {piece(9, 100)}, one, 0},
      {"the whole prompt", {piece(1, 500), piece(2, 1000)}, one, 1500},
      {"what was there before the line grew", {piece(1, 500), piece(2, 1400)}, one, 1500},
      {"no more than the prompt has", {piece(1, 200)}, one, 200},
      {"a helper's parent", {piece(1, 500), piece(2, 1000), piece(7, 200)}, one, 1500},
      {"what stands before a part that it has read", {piece(8, 10), piece(2, 1000)}, one, 1010},
      {"nothing behind the last known part", {piece(2, 1000), piece(8, 700)}, one, 1000},
      {"the shared part alone", {piece(1, 500), piece(2, 1000)}, other, 500},
  }));
  INFO(what);
  CHECK(view.held(prompt, server) == token_count(held));
}

TEST_CASE("a server that is gone holds nothing") {
  prefix_cache_view view;
  view.note({piece(1, 500)}, one);
  view.note({piece(1, 500)}, other);
  view.forget(one);
  CHECK(view.held({piece(1, 500)}, one) == token_count(0));
  CHECK(view.held({piece(1, 500)}, other) == token_count(500));
}

TEST_CASE("the view is bounded, and forgets what was not used for longest") {
  prefix_cache_view view;
  constexpr std::uint64_t many = 20'000;
  for (std::uint64_t key = 1; key <= many; ++key) {
    view.note({piece(1, 500), piece(key, 10)}, one);
  }
  CHECK_FALSE(view.has_prompt_part(prompt_part_key(2)));
  CHECK(view.has_prompt_part(prompt_part_key(1)));
  CHECK(view.has_prompt_part(prompt_part_key(many)));
}

TEST_CASE("absurd token counts never make a sum of held tokens negative") {
  prefix_cache_view view;
  constexpr std::int64_t huge = std::numeric_limits<std::int64_t>::max();
  view.note({piece(1, huge), piece(2, huge)}, one);
  CHECK(view.held({piece(1, huge), piece(2, huge)}, one) >= token_count(0));
  CHECK(view.missing({piece(8, huge), piece(9, huge)}, one) > token_count(0));
}
