// Callers that leave while a server is looked for, calls for servers that are full, and what hosts
// tell of calls without a prompt.
#include "hawthornlane/front/call_placer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

/// Another host that never answers: each question then takes its full time.
directory_hooks silent_host(std::vector<net::rpc_done>& unanswered) {
  directory_hooks hooks;
  hooks.hosts = [] { return std::vector<host_id>{host_id("silent")}; };
  hooks.send = [&unanswered](const host_id&, const std::string&, const net::rpc_done& done) {
    unanswered.push_back(done);
  };
  hooks.take = [](const directory_response&) {};
  return hooks;
}

backend_entry engine_entry() {
  backend_entry entry;
  entry.id = backend_server_id("s1");
  entry.service = service_name("models");
  entry.slots = 4;
  return entry;
}

placement_request turn_request() {
  placement_request request;
  request.affinity = 7;
  for (std::uint64_t key = 1; key <= 20; ++key) {
    request.prompt.push_back({prompt_part_key(key * 7919), token_count(100)});
  }
  request.give_up_at = discovery::scheduler_now() + std::chrono::seconds(5);
  return request;
}

/// Another host, named so that it keeps the server's entry.
std::vector<host_id> others_that_keep(server_key server) {
  for (int number = 0;; ++number) {
    host_id name("other-" + std::to_string(number));
    if (directory_host_for(server.get(), {host_id("own"), name}) == name) {
      return {std::move(name)};
    }
  }
}

/// A host that knows one server.
struct one_server_host {
  explicit one_server_host(pool_rules rules = {})
      : placer(this->context, host_id("own"), availability_zone("z"), this->fleet, this->metrics,
               rules) {
    this->fleet.list_backends(store_revision(1), {engine_entry()}, "test");
  }

  boost::asio::io_context context;
  discovery::fleet_state fleet;
  call_metrics metrics;
  call_placer placer;
};

}  // namespace

TEST_CASE("a call whose caller leaves while other hosts are asked gets no server") {
  one_server_host host;
  boost::asio::io_context& context = host.context;
  call_placer& placer = host.placer;
  std::vector<net::rpc_done> unanswered;
  directory_exchange exchange(context, host_id("own"), silent_host(unanswered));
  placer.set_directory_exchange(exchange);

  placement_wait wait;
  acquired_server got;
  const auto acquire = [&]() -> boost::asio::awaitable<void> {
    got = co_await placer.acquire(service_name("models"), turn_request(), wait);
  };
  boost::asio::co_spawn(context, acquire(), boost::asio::detached);
  boost::asio::steady_timer leaves(context, std::chrono::milliseconds(2));
  leaves.async_wait([&wait](const boost::system::error_code&) { wait.leave(); });
  context.run();

  CHECK_FALSE(unanswered.empty());
  CHECK(got.caller_left);
  CHECK_FALSE(got.server);
}

TEST_CASE("only a call for a full server claims a place, and only where places are claimed") {
  constexpr std::uint32_t slots = 4;
  struct row {
    const char* what;
    bool claims_places;
    bool has_prompt;
    std::uint32_t calls;
    std::size_t claims;
  };
  const row rows[] = {
      {"an idle server", true, true, 0, 0},
      {"a server with a place", true, true, slots, 0},
      {"a full server", true, true, slots + 1, 1},
      {"a full server, without a prompt", true, false, slots + 1, 0},
      {"a full server, places not claimed", false, true, slots + 1, 0},
  };
  for (const row& item : rows) {
    INFO(item.what);
    pool_rules rules;
    rules.claims_places = item.claims_places;
    one_server_host host(rules);
    boost::asio::io_context& context = host.context;
    call_placer& placer = host.placer;
    placement_directory counts;
    std::vector<gossip_method> sent;
    place_hooks hooks;
    const server_key key = server_key_of(backend_server_id("s1"));
    hooks.hosts = [key] { return others_that_keep(key); };
    hooks.send = [&sent](const host_id&, gossip_method method, const std::string&,
                         const net::rpc_done& done) {
      sent.push_back(method);
      done(net::rpc_failure::none,
           to_bytes(claim_response{claim_outcome::refused, std::chrono::seconds(7), 9}));
    };
    place_exchange places(context, host_id("own"), counts, host.metrics, hooks);
    placer.set_place_exchange(places);

    placement_request request = turn_request();
    request.prompt.resize(item.has_prompt ? request.prompt.size() : 0);
    placement_wait wait;
    acquired_server got;
    const auto acquire = [&]() -> boost::asio::awaitable<void> {
      got = co_await placer.acquire(service_name("models"), request, wait);
    };
    REQUIRE(placer.lists_servers(service_name("models")));
    directory_response loads;
    loads.loads.push_back({key, item.calls});
    placer.apply_directory_response(loads);
    boost::asio::co_spawn(context, acquire(), boost::asio::detached);
    context.run();

    CHECK(sent == std::vector<gossip_method>(item.claims, gossip_method::claim));
    // What is refused a place is refused at once, with the time to come again.
    CHECK(got.server.has_value() == (item.claims == 0));
    CHECK(got.retry_in == std::chrono::seconds(item.claims == 0 ? 0 : 7));
    CHECK(got.waited < std::chrono::milliseconds(100));
  }
}

TEST_CASE("calls without a prompt are told only by hosts that learn speeds, and under load") {
  struct row {
    const char* what;
    bool learns_speed;
    int calls_before;
    bool told;
  };
  // At four places.
  const row rows[] = {
      {"not learning", false, 3, false},
      {"little load", true, 0, false},
      {"three calls at four places", true, 3, true},
  };
  for (const row& item : rows) {
    INFO(item.what);
    pool_rules rules;
    rules.learns_speed = item.learns_speed;
    one_server_host host(rules);
    boost::asio::io_context& context = host.context;
    call_placer& placer = host.placer;
    std::vector<net::rpc_done> unanswered;
    // The server's keeper is the silent host or this one, by hash.
    std::size_t told = 0;
    directory_hooks hooks = silent_host(unanswered);
    hooks.take = [&told](const directory_response& answer) { told += answer.loads.size(); };
    directory_exchange exchange(context, host_id("own"), hooks);
    placer.set_directory_exchange(exchange);

    placement_wait wait;
    const auto acquire = [&]() -> boost::asio::awaitable<void> {
      placement_request request = turn_request();
      request.prompt.clear();
      const acquired_server got = co_await placer.acquire(service_name("models"), request, wait);
      CHECK(got.server.has_value());
    };
    const auto call = [&] {
      boost::asio::co_spawn(context, acquire(), boost::asio::detached);
      context.run();
      context.restart();
    };
    for (int number = 0; number < item.calls_before; ++number) {
      call();
    }
    constexpr int looks = 20;
    for (int number = 0; number < looks; ++number) {
      placer.apply_demand({});
    }
    call();
    CHECK((unanswered.size() + told > 0) == item.told);
  }
}
