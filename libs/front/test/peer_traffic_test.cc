// Guards against bytes between hosts that are counted for the wrong purpose or direction.
#include "hawthornlane/front/peer_traffic.h"

#include <catch2/catch.hpp>
#include <set>

using namespace hawthornlane;
using namespace hawthornlane::front;

TEST_CASE("bytes of requests and answers count only for their kind and direction") {
  struct row {
    const char* what;
    bool serves;
    std::optional<std::string> answer;
    std::uint64_t sent;
    std::uint64_t received;
  };
  const row rows[] = {
      {"an own request that is answered", false, "12345", 3, 5},
      {"an own request without an answer", false, std::nullopt, 3, 0},
      {"a peer's request that is served", true, "12345", 5, 3},
      {"a peer's request that is refused", true, std::nullopt, 0, 3},
  };
  constexpr std::size_t request = 3;
  for (const traffic_kind kind : all_traffic_kinds) {
    for (const row& item : rows) {
      INFO(name_of(kind) << ": " << item.what);
      const peer_traffic traffic;
      std::optional<std::string> passed_on;
      if (item.serves) {
        const auto reply = traffic.count_received_request(
            kind, request, [&](std::optional<std::string> answer) { passed_on = answer; });
        reply(item.answer);
      } else {
        const auto done = traffic.count_sent_request(
            kind, request, [&](net::rpc_failure why, const std::string& answer) {
              passed_on = why == net::rpc_failure::none ? std::optional(answer) : std::nullopt;
            });
        const bool answered = item.answer.has_value();
        done(answered ? net::rpc_failure::none : net::rpc_failure::unknown,
             item.answer.value_or(""));
      }
      CHECK(passed_on == item.answer);
      for (const traffic_kind other : all_traffic_kinds) {
        CHECK(traffic.of(other).sent == (other == kind ? item.sent : 0));
        CHECK(traffic.of(other).received == (other == kind ? item.received : 0));
      }
    }
  }
}

TEST_CASE("copies share the counters, and an answer may arrive after all of them are destroyed") {
  net::rpc_done late;
  {
    const peer_traffic one;
    const peer_traffic other = one;
    late = other.count_sent_request(traffic_kind::disks, 7,
                                    [](net::rpc_failure, const std::string&) {});
    CHECK(one.of(traffic_kind::disks).sent == 7);
  }
  late(net::rpc_failure::none, "answer");
}

TEST_CASE("every method maps to its traffic kind, and every kind has a distinct name") {
  struct row {
    gossip_method method;
    traffic_kind kind;
  };
  const row rows[] = {{gossip_method::digest, traffic_kind::probes},
                      {gossip_method::relay, traffic_kind::relays},
                      {gossip_method::directory, traffic_kind::directory},
                      {gossip_method::copy, traffic_kind::copies},
                      {gossip_method::copy_received, traffic_kind::copies},
                      {gossip_method::copy_taken, traffic_kind::copies}};
  for (const row& item : rows) {
    CHECK(kind_of(item.method) == item.kind);
  }
  std::set<std::string_view> names;
  for (const traffic_kind kind : all_traffic_kinds) {
    names.insert(name_of(kind));
  }
  CHECK(names.size() == all_traffic_kinds.size());
}
