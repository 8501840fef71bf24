// Callers that leave while their calls' servers are looked for, and what hosts tell of calls.
#include "hawthornlane/front/call_placer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

/// Another host that never answers: each question then takes its full time.
exchange_hooks silent_host(std::vector<net::rpc_done>& unanswered) {
  exchange_hooks hooks;
  hooks.hosts = [] { return std::vector<host_id>{host_id("silent")}; };
  hooks.send = [&unanswered](const host_id&, const std::string&, const net::rpc_done& done) {
    unanswered.push_back(done);
  };
  hooks.take = [](const directory_answer&) {};
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

}  // namespace

TEST_CASE("a call whose caller leaves while other hosts are asked gets no server") {
  boost::asio::io_context context;
  discovery::fleet_state fleet;
  fleet.list_backends(store_revision(1), {engine_entry()}, "test");
  call_metrics metrics;
  call_placer placer(context, host_id("own"), availability_zone("z"), fleet, metrics);
  std::vector<net::rpc_done> unanswered;
  directory_exchange exchange(context, host_id("own"), silent_host(unanswered));
  placer.share_by(exchange);

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
    boost::asio::io_context context;
    discovery::fleet_state fleet;
    fleet.list_backends(store_revision(1), {engine_entry()}, "test");
    call_metrics metrics;
    pool_rules rules;
    rules.learns_speed = item.learns_speed;
    call_placer placer(context, host_id("own"), availability_zone("z"), fleet, metrics, rules);
    std::vector<net::rpc_done> unanswered;
    // The server's keeper is the silent host or this one, by hash.
    std::size_t told = 0;
    exchange_hooks hooks = silent_host(unanswered);
    hooks.take = [&told](const directory_answer& answer) { told += answer.loads.size(); };
    directory_exchange exchange(context, host_id("own"), hooks);
    placer.share_by(exchange);

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
      placer.take_demand({});
    }
    call();
    CHECK((unanswered.size() + told > 0) == item.told);
  }
}
