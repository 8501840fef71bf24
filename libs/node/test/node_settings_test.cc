// Tests of the daemon's settings and of the shard map's text form.
#include "hawthornlane/node/node_settings.h"

#include <catch2/catch.hpp>

#include "hawthornlane/node/shard_map_store.h"

using namespace hawthornlane;

namespace {

const std::string good =
    "[host]\nname = a\navailability_zone = z\nlisten = 127.0.0.1:0\n"
    "peer_listen = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n"
    "[operators]\ncredential = operators-secret-text\n";

}  // namespace

TEST_CASE("good settings are read with their defaults") {
  std::vector<ini_problem> problems;
  const auto settings = read_node_settings(good, problems);
  INFO(to_string(problems));
  REQUIRE(settings);
  CHECK(settings->shards == 64);
  CHECK(settings->replicas == 2);
  CHECK(settings->address_time == std::chrono::seconds(30));
}

TEST_CASE("each wrong setting is named with its line") {
  struct mistake {
    std::string added;
    std::string reason;
  };
  const auto row = GENERATE(values<mistake>({
      {"[shards]\ncuont = 4\n", "line 11: [shards] key 'cuont' is unknown; did you mean 'count'?"},
      {"[shards]\ncount = 0\n", "line 11: [shards] count: '0' is outside 1 to 4096"},
      {"[log]\nformat = xml\n", "line 11: [log] format: 'xml' is neither text nor json"},
      {"[callers]\naddress_time = 5\n", "line 11: [callers] address_time: '5' is not a time"},
      {"[shard]\ncount = 4\n", "line 11: section 'shard' is unknown; did you mean 'shards'?"},
  }));
  std::vector<ini_problem> problems;
  const auto settings = read_node_settings(good + row.added, problems);
  INFO("expected: " << row.reason << "\nactual: " << to_string(problems));
  CHECK_FALSE(settings.has_value());
  CHECK(to_string(problems).find(row.reason) != std::string::npos);
}

TEST_CASE("a block of the shard map reads back as it was written") {
  assignment entry;
  entry.at = epoch(7);
  entry.owner = {host_id("a"), incarnation(1796234949575734)};
  entry.replicas = {{host_id("b"), incarnation(~std::uint64_t{0})}};
  entry.nonce = ~std::uint64_t{0} - 5;
  const std::map<shard_id, assignment> block{{shard_id(3), entry}, {shard_id(4), {}}};
  const auto read = block_from_json(block_to_json(block));
  REQUIRE(read);
  CHECK(*read == block);
  CHECK(block_from_json("")->empty());
  const auto bad = GENERATE(as<std::string>{}, "[]", "{\"x\":1}", "{\"1\":{}}", "nonsense");
  INFO("text '" << bad << "'");
  CHECK_FALSE(block_from_json(bad).has_value());
}
