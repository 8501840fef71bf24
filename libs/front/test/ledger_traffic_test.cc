// Traffic to the disk hosts and memory that turns use, if the links are slow or the disk hosts
// report an outdated set.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>

#include "slow_disks.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace hawthornlane::front::slow_disks;

TEST_CASE("disks that refuse a set before they know the next one are retried with pauses") {
  // Members learn of a new set some 0.3 s after they start to refuse the previous one.
  constexpr int max_appends = 10;
  SECTION("a turn is admitted once the set is known") {
    stub_disks disks(reports_new_set_after(200ms));
    const turn_admission admission = disks.front.admit(kept_turn_request("t1"), 3s);
    CHECK(admission.kind == admission_kind::admitted);
    CHECK(disks.appends.size() == disk_names.size());
    CHECK(disks.max_appends() < max_appends);
  }
  SECTION("a turn is stored once the set is known") {
    stub_disks disks(reports_new_set_after(300ms));
    CHECK(disks.front.settle(kept_turn_request("t1"), whole_result(2600), 3s));
    CHECK(disks.appends.size() == disk_names.size());
    CHECK(disks.max_appends() < max_appends);
  }
}

TEST_CASE("a turn of any size is sent once to each disk over a slow link") {
  // 30 Mbit/s. Five copies of 400,000 bytes take 0.53 s, of 1,000,000 bytes 1.33 s.
  constexpr double rate = 3.75e6;
  const std::size_t sizes[] = {20 * kilobyte, 200 * kilobyte, 400 * kilobyte, 1000 * kilobyte};
  for (const std::size_t size : sizes) {
    INFO("body of " << size << " bytes");
    stub_disks disks(taken, rate);
    CHECK(disks.front.settle(kept_turn_request("t1"), whole_result(size), 3s));
    // The turn is stored at a majority; the other disks follow.
    disks.front.run_for(200ms);
    CHECK(disks.appends.size() == disk_names.size());
    CHECK(disks.max_appends() == 1);
    CHECK(disks.front.ledger.reached() == disk_names.size());
    CHECK(disks.link.carried_up() < (size + 2 * kilobyte) * disk_names.size());
  }
}

TEST_CASE("a small request queued behind large ones on a slow link does not time out") {
  constexpr double rate = 3.75e6;
  stub_disks disks(taken, rate);
  bool kept = false;
  turn_admission admission;
  disks.front.begin_settle(kept_turn_request("t1"), whole_result(400 * kilobyte), 3s, kept);
  disks.front.begin_admit(kept_turn_request("t2"), 3s, admission);
  disks.front.run_all();
  CHECK(kept);
  CHECK(admission.kind == admission_kind::admitted);
  disks.front.run_for(200ms);
  // One append per turn.
  CHECK(disks.max_appends() == 2);
  CHECK(disks.front.ledger.reached() == disk_names.size());
}

TEST_CASE("a disk is not sent a turn again while its answer to the first send is pending") {
  // Three disks refuse, so that there is no majority; the other two never answer.
  class refusing_disks {
  public:
    refusing_disks() {
      this->servers.reserve(disk_names.size());
      this->places.reserve(disk_names.size());
      for (std::size_t at = 0; at < disk_names.size(); ++at) {
        this->servers.push_back(std::make_unique<net::rpc_server>(
            this->front.context, this->front.sweeper, any_port,
            [this, at](std::uint16_t, const std::string&, const net::rpc_reply& reply) {
              ++this->asked[at];
              if (at < 3) {
                reply(std::nullopt);
              }
            }));
        this->places.push_back(this->servers.back()->where());
      }
      this->front.list_disks(this->places);
    }

    ledger_host front;
    std::vector<std::unique_ptr<net::rpc_server>> servers;
    std::vector<http::endpoint> places;
    std::map<std::size_t, int> asked;
  };
  refusing_disks disks;
  CHECK_FALSE(disks.front.settle(kept_turn_request("t1"), whole_result(2600), 180ms));
  CHECK(disks.asked[0] > 2);
  CHECK(disks.asked[3] == 1);
  CHECK(disks.asked[4] == 1);
}

TEST_CASE("a turn that waits for its disks keeps only a few copies of its body") {
  // Listening sockets that are never read. One body in the record, one encoded for all disks, one
  // in each link's queue, and part of one for the rest.
  constexpr std::size_t body = 4000 * kilobyte;
  constexpr std::size_t max_bodies = 8;
  constexpr int small_kernel_buffer = 65536;
  ledger_host front;
  std::vector<tcp::acceptor> silent;
  std::vector<http::endpoint> places;
  for (std::size_t at = 0; at < disk_names.size(); ++at) {
    tcp::acceptor& one = silent.emplace_back(front.context, tcp::v4());
    one.set_option(asio::socket_base::receive_buffer_size(small_kernel_buffer));
    one.bind({asio::ip::make_address(any_port.address), 0});
    one.listen();
    places.push_back({any_port.address, one.local_endpoint().port()});
  }
  front.list_disks(places);
  const std::size_t before = bytes_in_use();
  bool kept = false;
  front.begin_settle(kept_turn_request("t1"), whole_result(body), 1000ms, kept);
  // The largest of many samples: a single one at a fixed time may come after the turn is over.
  std::size_t held = 0;
  asio::steady_timer timer(front.context);
  std::function<void()> sample = [&] {
    held = std::max(held, std::max(bytes_in_use(), before) - before);
    timer.expires_after(5ms);
    timer.async_wait([&sample](const boost::system::error_code&) { sample(); });
  };
  asio::post(front.context, sample);
  front.run_all();
  timer.cancel();
  CHECK_FALSE(kept);
  INFO("held " << held << " bytes");
  // Otherwise the measurement missed the turn.
  CHECK(held > body);
  CHECK(held < max_bodies * body);
}

TEST_CASE("a host counts the disks of the set that have answered it as reached") {
  stub_disks disks(taken);
  ledger_client& ledger = disks.front.ledger;
  SECTION("a host that has just started has reached none") { CHECK(ledger.reached() == 0); }
  SECTION("an idle host finds out by probes") {
    disks.silent = {disk_id("b")};
    ledger.tick();
    disks.front.run_for(100ms);
    CHECK(ledger.reached() == disk_names.size() - 1);
  }
  SECTION("a busy host finds out by its requests") {
    disks.front.admit(kept_turn_request("t1"), 3s);
    disks.front.run_for(100ms);
    CHECK(ledger.reached() == disk_names.size());
  }
  SECTION("disks that left the set do not count") {
    disks.front.admit(kept_turn_request("t1"), 3s);
    disks.front.run_for(100ms);
    ledger.adopt_ledger_set({set_epoch(2), {disk_id("a"), disk_id("b"), disk_id("c")}, {}}, "test");
    CHECK(ledger.reached() == 3);
  }
  SECTION("a relayed request to a silent disk counts too") {
    disks.front.admit(kept_turn_request("t1"), 3s);
    disks.front.run_for(100ms);
    disks.silent = {disk_id("b")};
    CHECK_FALSE(disks.front.relays_to(disk_id("b")));
    CHECK(ledger.reached() == disk_names.size() - 1);
  }
}

TEST_CASE("links to disks that are neither listed nor in the set are dropped") {
  stub_disks disks(taken);
  const std::vector<disk_id> first_four(disk_names.begin(), disk_names.end() - 1);
  const std::vector<http::endpoint> four_places(disks.places.begin(), disks.places.end() - 1);
  CHECK(disks.front.relays_to(disk_id("e")));
  SECTION("no longer listed, but still in the set: turns may depend on it") {
    disks.front.list_disks(four_places);
    CHECK(disks.front.relays_to(disk_id("e")));
    disks.front.ledger.adopt_ledger_set({set_epoch(2), first_four, {}}, "test");
    CHECK_FALSE(disks.front.relays_to(disk_id("e")));
  }
  SECTION("no longer in the set, but still listed: it may join") {
    disks.front.ledger.adopt_ledger_set({set_epoch(2), first_four, {}}, "test");
    CHECK(disks.front.relays_to(disk_id("e")));
    disks.front.list_disks(four_places);
    CHECK_FALSE(disks.front.relays_to(disk_id("e")));
  }
  SECTION("requests in flight end") {
    disks.silent = {disk_id("e")};
    bool kept = false;
    disks.front.begin_settle(kept_turn_request("t1"), whole_result(2600), 3s, kept);
    disks.front.ledger.adopt_ledger_set({set_epoch(2), first_four, {}}, "test");
    disks.front.list_disks(four_places);
    disks.front.run_all();
    disks.front.run_for(100ms);
    CHECK(kept);
    CHECK_FALSE(disks.front.relays_to(disk_id("e")));
  }
}

TEST_CASE("a history of any size is read from at most two disks over a slow link") {
  // 30 Mbit/s: 1,000,000 bytes take 0.27 s.
  constexpr double rate = 3.75e6;
  struct row {
    std::size_t bytes;
    int max_reads;
  };
  const row rows[] = {
      {20 * kilobyte, 1}, {200 * kilobyte, 2}, {400 * kilobyte, 2}, {1000 * kilobyte, 2}};
  for (const row& item : rows) {
    INFO("history of " << item.bytes << " bytes");
    stub_disks disks(taken, rate);
    // Opens the connections.
    disks.front.admit(kept_turn_request("t1"), 3s);
    disks.history_bytes = item.bytes;
    turn_request next = kept_turn_request("t2");
    next.previous = request_id("t0");
    const turn_admission admission = disks.front.admit(next, 2s);
    CHECK(admission.kind == admission_kind::admitted);
    CHECK(admission.history.size() == item.bytes);
    disks.front.run_for(300ms);
    const auto max_reads = static_cast<std::size_t>(item.max_reads);
    CHECK(disks.chain_reads <= item.max_reads);
    CHECK(disks.link.carried_down() < max_reads * item.bytes + 10 * kilobyte);
  }
}

TEST_CASE("a history is read although the first two disks that are asked for it are silent") {
  // The disk of this zone, and the one that is asked second.
  for (const char* second : {"b", "c", "d", "e"}) {
    INFO("silent: a and " << second);
    stub_disks disks(taken);
    disks.front.admit(kept_turn_request("t1"), 3s);
    disks.front.run_for(50ms);
    disks.history_bytes = 20 * kilobyte;
    disks.silent = {disk_id("a"), disk_id(second)};
    turn_request next = kept_turn_request("t2");
    next.previous = request_id("t0");
    const auto began = steady::now();
    CHECK(disks.front.admit(next, 3s).kind == admission_kind::admitted);
    // Silence is detected after 0.2 s; the time limit for a long history is 4 s.
    CHECK(steady::now() - began < 800ms);
  }
}
