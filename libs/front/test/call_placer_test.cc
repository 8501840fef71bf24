// Callers that disconnect during placement, calls for full servers, and the reporting of calls
// without a prompt.
#include "hawthornlane/front/call_placer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

/// Hooks with one other host that never answers, so that each query runs into its time limit.
directory_hooks silent_host(std::vector<net::rpc_done>& unanswered) {
  directory_hooks hooks;
  hooks.hosts = [] { return std::vector<host_id>{host_id("silent")}; };
  hooks.send = [&unanswered](const host_id&, const std::string&, const net::rpc_done& done) {
    unanswered.push_back(done);
  };
  hooks.on_response = [](const directory_response&) {};
  return hooks;
}

backend_entry engine_entry() {
  backend_entry entry;
  entry.id = backend_server_id("s1");
  entry.service = service_name("models");
  entry.slots = 4;
  return entry;
}

placement_request make_request() {
  placement_request request;
  request.affinity = 7;
  for (std::uint64_t key = 1; key <= 20; ++key) {
    request.prompt.push_back({prompt_part_key(key * 7919), token_count(100)});
  }
  request.give_up_at = discovery::scheduler_now() + std::chrono::seconds(5);
  return request;
}

/// One other host, named so that it is the server's directory host.
std::vector<host_id> host_that_stores(server_key server) {
  for (int number = 0;; ++number) {
    host_id name("other-" + std::to_string(number));
    if (directory_host_for(server.get(), {host_id("own"), name}) == name) {
      return {std::move(name)};
    }
  }
}

/// A host with one listed server.
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

TEST_CASE("a call whose caller disconnects while directory hosts are queried gets no server") {
  one_server_host host;
  boost::asio::io_context& context = host.context;
  call_placer& placer = host.placer;
  std::vector<net::rpc_done> unanswered;
  directory_exchange exchange(context, host_id("own"), silent_host(unanswered));
  placer.set_directory_exchange(exchange);

  server_wait wait;
  acquired_server acquired;
  const auto acquire = [&]() -> boost::asio::awaitable<void> {
    acquired = co_await placer.acquire(service_name("models"), make_request(), wait);
  };
  boost::asio::co_spawn(context, acquire(), boost::asio::detached);
  boost::asio::steady_timer disconnects(context, std::chrono::milliseconds(2));
  disconnects.async_wait([&wait](const boost::system::error_code&) { wait.cancel(); });
  context.run();

  CHECK_FALSE(unanswered.empty());
  CHECK(acquired.caller_left);
  CHECK_FALSE(acquired.server);
}

TEST_CASE("only a call for a full server claims a place, and only if claims are enabled") {
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
      {"a server with a free place", true, true, slots, 0},
      {"a full server", true, true, slots + 1, 1},
      {"a full server, call without a prompt", true, false, slots + 1, 0},
      {"a full server, claims disabled", false, true, slots + 1, 0},
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
    hooks.hosts = [key] { return host_that_stores(key); };
    hooks.send = [&sent](const host_id&, gossip_method method, const std::string&,
                         const net::rpc_done& done) {
      sent.push_back(method);
      done(net::rpc_failure::none,
           to_bytes(claim_response{claim_outcome::refused, std::chrono::seconds(7), 9}));
    };
    place_exchange places(context, host_id("own"), counts, host.metrics, hooks);
    placer.set_place_exchange(places);

    placement_request request = make_request();
    request.prompt.resize(item.has_prompt ? request.prompt.size() : 0);
    server_wait wait;
    acquired_server acquired;
    const auto acquire = [&]() -> boost::asio::awaitable<void> {
      acquired = co_await placer.acquire(service_name("models"), request, wait);
    };
    REQUIRE(placer.has_listed_servers(service_name("models")));
    directory_response loads;
    loads.loads.push_back({key, item.calls});
    placer.apply_directory_response(loads);
    boost::asio::co_spawn(context, acquire(), boost::asio::detached);
    context.run();

    CHECK(sent == std::vector<gossip_method>(item.claims, gossip_method::claim));
    // A refused claim ends the call at once, with the time after which to retry.
    CHECK(acquired.server.has_value() == (item.claims == 0));
    CHECK(acquired.retry_in == std::chrono::seconds(item.claims == 0 ? 0 : 7));
    CHECK(acquired.waited < std::chrono::milliseconds(100));
  }
}

TEST_CASE("calls without a prompt are reported only under load, by hosts that learn speeds") {
  struct row {
    const char* what;
    bool learns_speed;
    int calls_before;
    bool reported;
  };
  // The server has four places.
  const row rows[] = {
      {"speeds are not learned", false, 3, false},
      {"low load", true, 0, false},
      {"three calls before this one", true, 3, true},
  };
  for (const row& item : rows) {
    INFO(item.what);
    pool_rules rules;
    rules.learns_speed = item.learns_speed;
    one_server_host host(rules);
    boost::asio::io_context& context = host.context;
    call_placer& placer = host.placer;
    std::vector<net::rpc_done> unanswered;
    // The server's directory host is the silent host or this one, depending on the hash.
    std::size_t reported = 0;
    directory_hooks hooks = silent_host(unanswered);
    hooks.on_response = [&reported](const directory_response& answer) {
      reported += answer.loads.size();
    };
    directory_exchange exchange(context, host_id("own"), hooks);
    placer.set_directory_exchange(exchange);

    server_wait wait;
    const auto acquire = [&]() -> boost::asio::awaitable<void> {
      placement_request request = make_request();
      request.prompt.clear();
      const acquired_server acquired =
          co_await placer.acquire(service_name("models"), request, wait);
      CHECK(acquired.server.has_value());
    };
    const auto call = [&] {
      boost::asio::co_spawn(context, acquire(), boost::asio::detached);
      context.run();
      context.restart();
    };
    for (int number = 0; number < item.calls_before; ++number) {
      call();
    }
    constexpr int repeats = 20;
    for (int number = 0; number < repeats; ++number) {
      placer.apply_demand({});
    }
    call();
    CHECK((unanswered.size() + reported > 0) == item.reported);
  }
}
