// Tests the directory entries that one host holds for all hosts.
#include "hawthornlane/placement/placement_directory.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

timestamp at(duration since) { return timestamp(since); }

const server_key server(7);

}  // namespace

TEST_CASE("a server's load is the sum of the other hosts' latest counts") {
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

TEST_CASE("the count of a dead host expires") {
  placement_directory directory;
  directory.set_load(host_id("dead"), {server, 16}, at(1s));
  CHECK(directory.load_of_others(server, host_id("a"), at(4s)) == 16);
  CHECK(directory.load_of_others(server, host_id("a"), at(5s)) == 0);
}

TEST_CASE("a session's location is the latest one, and the oldest sessions are removed") {
  placement_directory directory;
  const prompt_part_key line(1);
  CHECK_FALSE(directory.find(line));
  directory.set_location({line, server, token_count(100)});
  directory.set_location({line, server_key(8), token_count(300)});
  REQUIRE(directory.find(line));
  CHECK(directory.find(line)->server == server_key(8));
  for (std::uint64_t key = 2; key < 2 + placement_directory::max_sessions; ++key) {
    directory.set_location({prompt_part_key(key), server, token_count(1)});
  }
  CHECK_FALSE(directory.find(line));
}

TEST_CASE("directory entries are spread evenly and stay at their host if another host leaves") {
  std::vector<host_id> hosts;
  for (int number = 0; number < 20; ++number) {
    hosts.emplace_back("front-" + std::to_string(number));
  }
  std::map<host_id, int> kept;
  int moved = 0;
  constexpr int entries = 2000;
  std::vector<host_id> fewer(hosts.begin(), hosts.end() - 1);
  for (std::uint64_t key = 0; key < entries; ++key) {
    const auto directory_host = directory_host_for(key * 7919, hosts);
    REQUIRE(directory_host);
    ++kept[*directory_host];
    moved += directory_host_for(key * 7919, fewer) != directory_host ? 1 : 0;
  }
  for (const auto& [host, count] : kept) {
    CHECK(count > entries / 20 / 2);
    CHECK(count < entries / 20 * 2);
  }
  // Only the entries of the host that has left move.
  CHECK(moved == kept[hosts.back()]);
  CHECK_FALSE(directory_host_for(1, {}));
}
