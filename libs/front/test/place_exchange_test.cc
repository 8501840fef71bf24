// Calls that claim places over a network in memory, and what happens when it loses messages.
#include "hawthornlane/front/place_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>

#include "hawthornlane/discovery/fleet_state.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;
using kind = claim_result::kind;

namespace {

constexpr std::uint32_t places = 2;
const host_id busy_host("busy");

place_target target_of(const std::string& name) {
  place_target target;
  target.server = backend_server_id(name);
  target.key = server_key_of(target.server);
  target.places = places;
  target.full = true;
  return target;
}

const place_target first_server = target_of("s1");
const place_target second_server = target_of("s2");

/// A call's claims, and how they ended.
struct claimed_call {
  place_wait wait;
  std::optional<claim_result> result;
  std::chrono::steady_clock::duration took{};
};

/// Some hosts with an exchange each; messages arrive at once, or are lost.
class place_network {
public:
  explicit place_network(int hosts) {
    for (int number = 0; number < hosts; ++number) {
      this->names.emplace_back("front-" + std::to_string(number));
      this->live.insert(this->names.back());
    }
    for (const host_id& name : this->names) {
      member& item = this->members[name];
      item.exchange = std::make_unique<place_exchange>(this->context, name, item.directory,
                                                       this->metrics, this->hooks_of(name));
    }
  }

  /// All hosts know both servers as full, whoever keeps them.
  void fill() {
    this->tell(places);
    this->run(place_queue::warm_up_time + 20ms);
    this->tell(places);
  }
  void tell(std::uint32_t calls) {
    for (const place_target& target : {first_server, second_server}) {
      this->tell(target, calls);
    }
  }
  void tell(const place_target& target, std::uint32_t calls) {
    for (auto& [name, item] : this->members) {
      const server_load load{target.key, calls};
      const std::uint32_t before =
          item.directory.set_load(busy_host, load, discovery::scheduler_now());
      item.exchange->count_changed(busy_host, load, before);
    }
  }

  std::shared_ptr<claimed_call> claim(const host_id& host, std::vector<place_target> targets) {
    const auto call = std::make_shared<claimed_call>();
    placement_request request;
    request.id = placement_id(++this->calls);
    request.wanted_by = discovery::scheduler_now() + 2s;
    request.give_up_at = discovery::scheduler_now() + 5s;
    boost::asio::co_spawn(this->context,
                          run_claim(*this->members.at(host).exchange, request, targets, call),
                          boost::asio::detached);
    this->run(1ms);
    return call;
  }

  void run(duration time) {
    boost::asio::steady_timer end(this->context, time);
    bool over = false;
    this->context.restart();
    end.async_wait([&over](const boost::system::error_code&) { over = true; });
    while (!over) {
      this->context.run_one();
    }
  }
  void tick() {
    for (auto& [name, item] : this->members) {
      item.exchange->tick();
    }
  }

  [[nodiscard]] host_id keeper(const place_target& target) const {
    return directory_host_for(target.key.get(), {this->live.begin(), this->live.end()}).value();
  }
  /// A host that keeps neither server.
  [[nodiscard]] host_id other_host(const std::set<host_id>& not_these = {}) const {
    for (const host_id& name : this->names) {
      if (name != this->keeper(first_server) && name != this->keeper(second_server) &&
          !not_these.contains(name)) {
        return name;
      }
    }
    FAIL("no such host");
    return {};
  }
  place_exchange& exchange(const host_id& host) { return *this->members.at(host).exchange; }
  [[nodiscard]] std::string counters() const { return this->metrics.text(); }

  boost::asio::io_context context;
  std::set<host_id> live;
  /// These get and answer nothing, and nobody knows yet.
  std::set<host_id> silent;
  /// Hosts that refuse connections, though others believe that they live.
  std::set<host_id> refusing;
  /// Messages of this kind get lost.
  std::optional<gossip_method> lost;

private:
  struct member {
    placement_directory directory;
    std::unique_ptr<place_exchange> exchange;
  };

  static boost::asio::awaitable<void> run_claim(place_exchange& exchange, placement_request request,
                                                std::vector<place_target> targets,
                                                std::shared_ptr<claimed_call> call) {
    const auto began = std::chrono::steady_clock::now();
    call->result = co_await exchange.claim(request, targets, call->wait);
    call->took = std::chrono::steady_clock::now() - began;
  }

  place_hooks hooks_of(const host_id& own) {
    place_hooks hooks;
    hooks.hosts = [this, own] {
      std::vector<host_id> others(this->live.begin(), this->live.end());
      std::erase(others, own);
      return others;
    };
    hooks.send = [this, own](const host_id& to, gossip_method method, const std::string& payload,
                             const net::rpc_done& done) {
      if (!this->live.contains(to) || this->refusing.contains(to)) {
        done(net::rpc_failure::unreachable, "");
        return;
      }
      if (this->silent.contains(to) || this->silent.contains(own) || method == this->lost) {
        this->unanswered.push_back(done);
        return;
      }
      const auto answer = this->members.at(to).exchange->serve(method, payload);
      done(answer ? net::rpc_failure::none : net::rpc_failure::refused, answer.value_or(""));
    };
    return hooks;
  }

  call_metrics metrics;
  std::vector<host_id> names;
  std::vector<net::rpc_done> unanswered;
  std::map<host_id, member> members;
  std::uint64_t calls = 0;
};

}  // namespace

TEST_CASE("a call waits at full servers, and the first grant wins") {
  const int hosts = GENERATE(1, 2, 7, 57);
  INFO(hosts << " hosts");
  place_network network(hosts);
  network.fill();
  const host_id host = hosts < 7 ? network.keeper(second_server) : network.other_host();
  const auto call = network.claim(host, {first_server, second_server});
  network.run(20ms);
  CHECK_FALSE(call->result);
  network.tell(second_server, places - 1);
  network.run(5ms);
  REQUIRE(call->result);
  CHECK(call->result->outcome == kind::granted);
  CHECK(call->result->server == second_server.server);
  // The other claim is withdrawn: a call that comes later has nobody before it.
  CHECK(network.exchange(network.keeper(first_server)).waiting(first_server.key) == 0);
  const auto later = network.claim(host, {first_server});
  network.tell(first_server, places - 1);
  network.run(5ms);
  REQUIRE(later->result);
  CHECK(later->result->outcome == kind::granted);
  CHECK_FALSE(network.counters().empty());
}

TEST_CASE("a claim that no keeper answers ends within 10 ms") {
  struct row {
    const char* what;
    bool learned;
    bool silent;
  };
  const row rows[] = {
      {"the keeper is cut off", true, true},
      {"the keeper has just become one", false, false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    place_network network(7);
    if (item.learned) {
      network.fill();
    }
    if (item.silent) {
      network.silent = {network.keeper(first_server)};
    }
    const auto call = network.claim(network.other_host(), {first_server});
    network.run(50ms);
    REQUIRE(call->result);
    CHECK(call->result->outcome == kind::unknown);
    CHECK(call->took < 40ms);
  }
}

TEST_CASE("a keeper that dies costs a pause, and its claims go to the next") {
  struct row {
    const char* what;
    /// It is cut off before the others know, and they know after this.
    duration known_after;
    /// Its process is gone: connections are refused at once.
    bool refuses;
  };
  const row rows[] = {{"known at once", 0ms, false},
                      {"known later", 100ms, false},
                      {"refuses connections, known later", 200ms, true}};
  for (const row& item : rows) {
    INFO(item.what);
    place_network network(7);
    network.fill();
    const host_id dead = network.keeper(first_server);
    const host_id host = network.other_host();
    const auto call = network.claim(host, {first_server});
    (item.refuses ? network.refusing : network.silent) = {dead};
    network.run(item.known_after);
    network.live.erase(dead);
    network.run(2 * place_queue::repeat_interval + 20ms);
    CHECK_FALSE(call->result);
    CHECK(network.exchange(network.keeper(first_server)).waiting(first_server.key) == 1);
    network.tell(first_server, places - 1);
    network.run(5ms);
    REQUIRE(call->result);
    CHECK(call->result->outcome == kind::granted);
  }
}

TEST_CASE("a grant that is lost is given again with the next repeat") {
  place_network network(7);
  network.fill();
  const auto call = network.claim(network.other_host(), {first_server});
  network.lost = gossip_method::grant;
  network.tell(first_server, places - 1);
  network.run(place_queue::repeat_interval + 30ms);
  REQUIRE(call->result);
  CHECK(call->result->outcome == kind::granted);
}

TEST_CASE("the places of a host that is gone go to the next claim") {
  struct row {
    const char* what;
    bool known;
    bool left;
    duration within;
  };
  const row rows[] = {
      {"a host known as dead", true, false, 5ms},
      {"a host that is cut off", false, false, place_queue::grant_lifetime + 30ms},
      {"a caller that has left", false, true, 5ms},
  };
  for (const row& item : rows) {
    INFO(item.what);
    place_network network(7);
    network.fill();
    const host_id gone = network.other_host();
    const auto first = network.claim(gone, {first_server});
    const auto second = network.claim(network.other_host({gone}), {first_server});
    if (item.left) {
      first->wait.leave();
    } else if (item.known) {
      network.live.erase(gone);
    } else {
      network.silent = {gone};
    }
    network.tell(first_server, places - 1);
    for (duration waited{}; waited < item.within; waited += 5ms) {
      network.run(5ms);
      network.tick();
    }
    network.run(5ms);
    REQUIRE(second->result);
    CHECK(second->result->outcome == kind::granted);
    CHECK((first->result && first->result->outcome == kind::caller_left) == item.left);
  }
}

TEST_CASE("a call that cannot get a place in its time is refused at once with the wait") {
  place_network network(7);
  network.fill();
  const host_id host = network.other_host();
  std::vector<std::shared_ptr<claimed_call>> before;
  std::shared_ptr<claimed_call> refused;
  // 5 s at 2 places a second, and half of those before wait elsewhere too.
  for (int number = 0; number < 30 && !refused; ++number) {
    const auto call = network.claim(host, {first_server, second_server});
    if (call->result) {
      refused = call;
    }
    before.push_back(call);
  }
  REQUIRE(refused);
  CHECK(refused->result->outcome == kind::refused);
  CHECK(refused->result->wait > 4s);
  CHECK(refused->took < 20ms);
  for (const auto& call : before) {
    call->wait.leave();
  }
  network.run(5ms);
}

TEST_CASE("a message about places that is none is refused") {
  place_network network(1);
  const auto method = GENERATE(gossip_method::claim, gossip_method::withdraw, gossip_method::grant);
  place_exchange& exchange = network.exchange(host_id("front-0"));
  CHECK_FALSE(exchange.serve(method, "short"));
  CHECK_FALSE(exchange.serve(method, std::string(64, '\xff')));
}
