// What one turn costs on the links to the disk hosts when these are slow or tell old news.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "hawthornlane/front/ledger_client.h"
#include "hawthornlane/net/message_bytes.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

const std::vector<disk_id> disk_names = {disk_id("a"), disk_id("b"), disk_id("c"), disk_id("d"),
                                         disk_id("e")};

/// Five disk hosts on real connections, and a front host's side of the ledger. No other
/// front host passes questions on.
class stub_disks {
public:
  /// Answers one append or collect of a disk. Called for each question.
  using answer_hook = std::function<program_answer(const disk_id&, const append_request&)>;

  explicit stub_disks(answer_hook answer_with)
      : answer(std::move(answer_with)),
        sweeper(context),
        ledger(context, sweeper, fleet, availability_zone("zone-a"), 64 * 1024 * 1024) {
    std::vector<host_entry> hosts;
    for (const disk_id& disk : disk_names) {
      hosts.push_back(this->open(disk));
    }
    this->fleet.list_hosts(store_revision(1), hosts);
    this->ledger.refresh_hosts();
    this->ledger.take_set({set_epoch(1), disk_names, {}}, "test");
    this->ledger.set_relay([](const relayed_question&, duration, const net::rpc_done& done) {
      done(net::rpc_failure::refused, {});
    });
  }

  turn_admission admit(const turn_request& turn, duration limit) {
    turn_admission result;
    this->run([&]() -> asio::awaitable<void> {
      result = co_await this->ledger.admit(turn, steady::now() + limit);
    });
    return result;
  }

  bool settle(const turn_request& turn, turn_result result, duration limit) {
    bool kept = false;
    this->run([&]() -> asio::awaitable<void> {
      kept = co_await this->ledger.settle(turn, std::move(result), steady::now() + limit);
    });
    return kept;
  }

  /// Appends that reached each disk.
  std::map<disk_id, int> appends;

private:
  host_entry open(const disk_id& disk) {
    this->servers.push_back(std::make_unique<net::rpc_server>(
        this->context, this->sweeper, http::endpoint{"127.0.0.1", 0},
        [this, disk](std::uint16_t method, const std::string& payload,
                     const net::rpc_reply& reply) { this->serve(disk, method, payload, reply); }));
    host_entry entry;
    entry.name = host_id("host-" + disk.get());
    entry.role = host_role::disk;
    entry.disk = disk.get();
    entry.peers_at = this->servers.back()->where();
    entry.zone = availability_zone("zone-" + disk.get());
    return entry;
  }

  void serve(const disk_id& disk, std::uint16_t method, const std::string& payload,
             const net::rpc_reply& reply) {
    const auto asked = static_cast<ledger_method>(method);
    const auto request =
        asked == ledger_method::append ? from_bytes<append_request>(payload) : std::nullopt;
    if (!request) {
      reply(std::nullopt);
      return;
    }
    ++this->appends[disk];
    // As long as a sync takes.
    const auto timer = std::make_shared<asio::steady_timer>(this->context, 2ms);
    timer->async_wait([timer, reply, bytes = to_bytes(this->answer(disk, *request))](
                          const boost::system::error_code&) { reply(bytes); });
  }

  template <class Work>
  void run(const Work& work) {
    bool done = false;
    asio::co_spawn(
        this->context,
        [&]() -> asio::awaitable<void> {
          co_await work();
          done = true;
        },
        asio::detached);
    while (!done) {
      this->context.run_one();
    }
  }

  answer_hook answer;
  asio::io_context context;
  net::deadline_sweeper sweeper;
  discovery::fleet_state fleet;
  std::vector<std::unique_ptr<net::rpc_server>> servers;
  ledger_client ledger;
};

turn_request kept_turn_request() {
  turn_request request;
  request.id = request_id("t1");
  request.program = program_id("p");
  request.most = token_count(30);
  request.budget = token_count(70);
  request.kept = true;
  request.retention = 60s;
  return request;
}

turn_result whole_result(std::size_t input_bytes) {
  turn_result result;
  result.used = token_count(5);
  result.whole = true;
  result.input = std::string(input_bytes, 'x');
  return result;
}

/// Refuses epoch 1; tells of epoch 2 only after a while.
stub_disks::answer_hook late_with_the_news(duration late) {
  return [late, began = steady::now()](const disk_id& disk, const append_request& request) {
    program_answer answer;
    answer.disk = disk;
    answer.stale = request.epoch < set_epoch(2);
    const bool knows = steady::now() - began >= late;
    answer.newest = ledger_set{set_epoch(knows ? 2 : 1), disk_names, {}};
    return answer;
  };
}

}  // namespace

TEST_CASE("disks that refuse a set before they can tell the next one are asked with pauses") {
  // Members learn of a set some 0.3 s after they were told to refuse the one before.
  constexpr int most_appends = 10;
  SECTION("a turn is admitted once the set is known") {
    stub_disks disks(late_with_the_news(200ms));
    CHECK(disks.admit(kept_turn_request(), 3s).kind == admission_kind::admitted);
    CHECK(disks.appends.size() == disk_names.size());
    for (const auto& [disk, count] : disks.appends) {
      CHECK(count < most_appends);
    }
  }
  SECTION("a turn is kept once the set is known") {
    stub_disks disks(late_with_the_news(300ms));
    CHECK(disks.settle(kept_turn_request(), whole_result(2600), 3s));
    CHECK(disks.appends.size() == disk_names.size());
    for (const auto& [disk, count] : disks.appends) {
      CHECK(count < most_appends);
    }
  }
}
