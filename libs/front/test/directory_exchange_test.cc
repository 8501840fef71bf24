// Hosts that report and query loads, locations of prompt parts and speeds over a network in memory.
#include "hawthornlane/front/directory_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

/// Hosts with one exchange each; messages arrive at once, or never.
class exchange_network {
public:
  explicit exchange_network(int hosts) {
    for (int number = 0; number < hosts; ++number) {
      this->names.emplace_back("front-" + std::to_string(number));
    }
    for (const host_id& name : this->names) {
      this->members.emplace(
          name, std::make_unique<directory_exchange>(this->context, name, this->hooks_of(name)));
    }
  }

  void report(int host, const directory_update& update) {
    this->members.at(this->names[host])->report(update);
  }

  /// All answers that `host` got.
  directory_response query(int host, const directory_request& request) {
    const host_id name = this->names[host];
    this->taken[name] = {};
    boost::asio::co_spawn(this->context, this->members.at(name)->query(request),
                          boost::asio::detached);
    this->context.run();
    this->context.restart();
    return this->taken[name];
  }

  /// From now on this host receives and answers nothing.
  void silence(int host) { this->silent = this->names[host]; }
  directory_exchange& member(int host) { return *this->members.at(this->names[host]); }

private:
  directory_hooks hooks_of(const host_id& own) {
    directory_hooks hooks;
    hooks.hosts = [this, own] {
      std::vector<host_id> others;
      for (const host_id& name : this->names) {
        if (name != own) {
          others.push_back(name);
        }
      }
      return others;
    };
    hooks.send = [this](const host_id& to, const std::string& payload, const net::rpc_done& done) {
      if (to == this->silent) {
        this->unanswered.push_back(done);
        return;
      }
      const auto answer = this->members.at(to)->serve(payload);
      done(answer ? net::rpc_failure::none : net::rpc_failure::refused, answer.value_or(""));
    };
    hooks.on_response = [this, own](const directory_response& answer) {
      directory_response& all = this->taken[own];
      all.loads.insert(all.loads.end(), answer.loads.begin(), answer.loads.end());
      all.locations.insert(all.locations.end(), answer.locations.begin(), answer.locations.end());
      all.speeds.insert(all.speeds.end(), answer.speeds.begin(), answer.speeds.end());
    };
    return hooks;
  }

  boost::asio::io_context context;
  std::vector<host_id> names;
  std::optional<host_id> silent;
  std::vector<net::rpc_done> unanswered;
  std::map<host_id, directory_response> taken;
  std::map<host_id, std::unique_ptr<directory_exchange>> members;
};

const server_key server(7);
const prompt_part_key line(42);

}  // namespace

TEST_CASE("a host gets the entries that another one reported") {
  const int hosts = GENERATE(1, 2, 7, 57);
  INFO(hosts << " hosts");
  exchange_network network(hosts);
  const part_location location{line, server, token_count(900)};
  network.report(0, {{{server, 5}}, {location}, {}});
  const directory_response answer = network.query(hosts - 1, {{server}, {line}});
  REQUIRE(answer.loads.size() == 1);
  // A host's own calls are not in its answer.
  CHECK(answer.loads.front() == server_load{server, hosts == 1 ? 0U : 5U});
  REQUIRE(answer.locations.size() == 1);
  CHECK(answer.locations.front() == location);
}

TEST_CASE("loads of an earlier incarnation of a server do not count for the new one") {
  exchange_network network(3);
  const backend_server_id id("s1");
  const server_key former = server_key_of(id, incarnation(100));
  network.report(0, {{{former, 5}}, {}, {}});
  const server_key restarted = server_key_of(id, incarnation(200));
  const directory_response answer = network.query(2, {{restarted}, {}});
  REQUIRE(answer.loads.size() == 1);
  CHECK(answer.loads.front() == server_load{restarted, 0});
}

TEST_CASE("a prompt part without a reported location is missing from the answer") {
  exchange_network network(3);
  CHECK(network.query(1, {{}, {line}}).locations.empty());
}

TEST_CASE("a directory host that does not answer delays a placement only briefly") {
  exchange_network network(2);
  network.silence(1);
  directory_request all;
  for (std::uint64_t key = 1; key <= 20; ++key) {
    all.parts.emplace_back(key * 7919);
  }
  const auto began = std::chrono::steady_clock::now();
  network.query(0, all);
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(500));
}

TEST_CASE("a malformed directory message is refused") {
  exchange_network network(1);
  CHECK_FALSE(network.member(0).serve("short"));
  CHECK_FALSE(network.member(0).serve(std::string(64, '\xff')));
}

TEST_CASE("an answer with loads includes the speeds that other hosts reported") {
  exchange_network network(3);
  const speed_report speed{server, {700, 80, 0, 0}};
  network.report(0, {{{server, 5}}, {}, {speed}});
  CHECK(network.query(0, {{server}, {}}).speeds.empty());
  const directory_response answer = network.query(2, {{server}, {}});
  REQUIRE(answer.speeds.size() == 1);
  CHECK(answer.speeds.front().server == server);
  CHECK(answer.speeds.front().word.slow == 700);
}

TEST_CASE("messages without speeds keep the wire format of the first version") {
  // The fields of the first version.
  struct first_answer {
    std::vector<server_load> loads;
    std::vector<part_location> locations;
    void serialize(cereal::BinaryOutputArchive& archive) { archive(loads, locations); }
    void serialize(cereal::BinaryInputArchive& archive) { archive(loads, locations); }
  };
  directory_response answer;
  answer.loads = {{server, 5}};
  answer.locations = {{line, server, token_count(900)}};
  first_answer first{answer.loads, answer.locations};
  CHECK(bytes_of(answer) == to_bytes(first));
  const auto read_short = directory_answer_from(to_bytes(first));
  REQUIRE(read_short);
  CHECK(read_short->speeds.empty());

  answer.speeds = {{server, {700, 80, 20, 8}}};
  const auto read = directory_answer_from(bytes_of(answer));
  REQUIRE(read);
  CHECK(read->speeds == answer.speeds);
  const auto by_first = from_bytes<first_answer>(bytes_of(answer));
  REQUIRE(by_first);
  CHECK(by_first->loads == answer.loads);
  CHECK_FALSE(directory_answer_from(bytes_of(answer).substr(0, 5)));

  directory_message message;
  message.from = host_id("front-0");
  message.asked_servers = {server};
  CHECK(bytes_of(message) == to_bytes(message));
  message.speeds = answer.speeds;
  CHECK(directory_message_from(bytes_of(message))->speeds == message.speeds);
  CHECK(from_bytes<directory_message>(bytes_of(message))->asked_servers == message.asked_servers);
}
