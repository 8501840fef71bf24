// Tables over the entries that one host keeps for all.
#include "hawthornlane/placement/placement_directory.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

timestamp at(duration since) { return timestamp(since); }

const server_key server(7);

}  // namespace

TEST_CASE("a server's load is what the other hosts told last") {
  placement_directory directory;
  directory.set_load(host_id("a"), {server, 3}, at(1s));
  directory.set_load(host_id("b"), {server, 2}, at(1s));
  directory.set_load(host_id("b"), {server, 4}, at(2s));
  CHECK(directory.load_of_others(server, host_id("a"), at(2s)) == 4);
  CHECK(directory.load_of_others(server, host_id("b"), at(2s)) == 3);
  CHECK(directory.load_of_others(server, host_id("c"), at(2s)) == 7);
  directory.set_load(host_id("a"), {server, 0}, at(2s));
  CHECK(directory.load_of_others(server, host_id("c"), at(2s)) == 4);
  CHECK(directory.load_of_others(server_key(8), host_id("c"), at(2s)) == 0);
}

TEST_CASE("the count of a host that died does not stay") {
  placement_directory directory;
  directory.set_load(host_id("dead"), {server, 16}, at(1s));
  CHECK(directory.load_of_others(server, host_id("a"), at(4s)) == 16);
  CHECK(directory.load_of_others(server, host_id("a"), at(5s)) == 0);
}

TEST_CASE("a line is where it was read last, and old lines are forgotten") {
  placement_directory directory;
  const prompt_part_key line(1);
  CHECK_FALSE(directory.find(line));
  directory.set_location({line, server, token_count(100)});
  directory.set_location({line, server_key(8), token_count(300)});
  REQUIRE(directory.find(line));
  CHECK(directory.find(line)->server == server_key(8));
  for (std::uint64_t key = 2; key < 2 + placement_directory::most_lines; ++key) {
    directory.set_location({prompt_part_key(key), server, token_count(1)});
  }
  CHECK_FALSE(directory.find(line));
}

TEST_CASE("hosts agree on the keeper of an entry, and keepers share the entries") {
  std::vector<host_id> hosts;
  for (int number = 0; number < 20; ++number) {
    hosts.emplace_back("front-" + std::to_string(number));
  }
  std::map<host_id, int> kept;
  int moved = 0;
  constexpr int entries = 2000;
  std::vector<host_id> fewer(hosts.begin(), hosts.end() - 1);
  for (std::uint64_t key = 0; key < entries; ++key) {
    const auto keeper = directory_host_for(key * 7919, hosts);
    REQUIRE(keeper);
    ++kept[*keeper];
    moved += directory_host_for(key * 7919, fewer) != keeper ? 1 : 0;
  }
  for (const auto& [host, count] : kept) {
    CHECK(count > entries / 20 / 2);
    CHECK(count < entries / 20 * 2);
  }
  // Only the entries of the host that is gone move.
  CHECK(moved == kept[hosts.back()]);
  CHECK_FALSE(directory_host_for(1, {}));
}
