// One disk's ledger over its log: what is acknowledged is there after a restart, and
// askers of an older set are refused and told of the newest.
#include "hawthornlane/disk/ledger_store.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "hawthornlane/net/message_bytes.h"
#include "scratch_folder.h"

using namespace hawthornlane;
using namespace hawthornlane::disk;
using test_support::scratch_folder;

namespace {

/// A ledger store and the event loop that brings its answers.
class open_store {
public:
  explicit open_store(const std::string& folder, std::uint64_t disk_bytes = 1 << 20)
      : store(context, folder, disk_bytes) {}

  template <class Answer, class Request>
  std::optional<Answer> ask(ledger_method method, const Request& request) {
    std::optional<std::string> bytes;
    bool answered = false;
    this->store.serve(method, to_bytes(request), [&](std::optional<std::string> reply) {
      bytes = std::move(reply);
      answered = true;
    });
    while (!answered) {
      // The log's thread posts its answers; until then there is no work.
      this->context.restart();
      this->context.poll();
    }
    return bytes ? from_bytes<Answer>(*bytes) : std::nullopt;
  }

  boost::asio::io_context context;
  ledger_store store;
};

append_request append(std::uint64_t epoch, const std::string& id, std::size_t text = 10) {
  append_request request;
  request.epoch = set_epoch(epoch);
  request.record.program = program_id("p");
  request.record.state = {request_id(id), token_count(30), token_count(10),
                          reservation_phase::settled};
  request.record.turn =
      kept_turn{request_id(id), std::nullopt, std::string(text, 'i'), std::string(text, 'o')};
  request.record.expires_at = wall_ms(std::int64_t{1} << 60);
  return request;
}

}  // namespace

TEST_CASE("what was acknowledged is there after a restart, with the same identity") {
  const scratch_folder folder("ledger-store");
  disk_id first;
  {
    open_store disk(folder.name());
    first = disk.store.identity();
    CHECK(disk.ask<program_answer>(ledger_method::append, append(1, "t1")));
    CHECK(disk.ask<probe_answer>(ledger_method::fence, fence_request{set_epoch(4)}));
  }
  open_store disk(folder.name());
  CHECK(disk.store.identity() == first);
  CHECK(disk.store.held().turns() == 1);
  CHECK(disk.ask<program_answer>(ledger_method::append, append(3, "t2"))->stale);
  CHECK_FALSE(disk.ask<program_answer>(ledger_method::append, append(4, "t2"))->stale);
}

TEST_CASE("an empty folder is another disk") {
  disk_id first;
  {
    const scratch_folder folder("ledger-store");
    first = open_store(folder.name()).store.identity();
  }
  const scratch_folder folder("ledger-store");
  CHECK(open_store(folder.name()).store.identity() != first);
}

TEST_CASE("once a newer set is known, askers of an older one learn of it") {
  const scratch_folder folder("ledger-store");
  open_store disk(folder.name());
  const ledger_set alone{set_epoch(9), {disk.store.identity()}, {}};
  CHECK_FALSE(disk.ask<program_answer>(ledger_method::append, append(8, "t1"))->stale);
  disk.store.set_newest(alone);
  const auto append_answer = disk.ask<program_answer>(ledger_method::append, append(8, "t2"));
  CHECK(append_answer->stale);
  CHECK(append_answer->newest == alone);
  const collect_request collect{set_epoch(8), program_id("p")};
  CHECK(disk.ask<program_answer>(ledger_method::collect, collect)->stale);
  const chain_request chain{set_epoch(8), request_id("t1")};
  CHECK(disk.ask<chain_answer>(ledger_method::chain, chain)->newest == alone);
  CHECK_FALSE(disk.ask<program_answer>(ledger_method::append, append(9, "t2"))->stale);
}

TEST_CASE("a log that grows long is shortened without losing what lives") {
  const scratch_folder folder("ledger-store");
  constexpr std::uint64_t disk_bytes = 200'000;
  {
    open_store disk(folder.name(), disk_bytes);
    for (int number = 0; number < 200; ++number) {
      append_request request = append(1, "t" + std::to_string(number), 500);
      // Every tenth turn lives on; the others have long expired.
      request.record.program = program_id("p" + std::to_string(number));
      request.record.expires_at = wall_ms(number % 10 == 0 ? std::int64_t{1} << 60 : 1);
      CHECK(disk.ask<program_answer>(ledger_method::append, request));
      disk.store.tick();
    }
    disk.store.tick();
    CHECK(disk.ask<program_answer>(ledger_method::append, append(1, "last")));
    // Old segments go after the records written with their removal are acknowledged,
    // and before any later record is.
    CHECK(disk.ask<program_answer>(ledger_method::append, append(1, "later")));
    CHECK(disk.store.log_bytes() < disk_bytes / 2);
  }
  open_store disk(folder.name(), disk_bytes);
  CHECK(disk.store.held().turns() >= 22);
  CHECK(disk.store.held().chain_of(request_id("t190")).turns.size() == 1);
}

TEST_CASE("what is no request of the ledger is refused") {
  const scratch_folder folder("ledger-store");
  open_store disk(folder.name());
  for (const ledger_method method :
       {ledger_method::append, ledger_method::collect, ledger_method::chain, ledger_method::fence,
        ledger_method::copy, static_cast<ledger_method>(7)}) {
    bool refused = false;
    disk.store.serve(method, "abc", [&](const std::optional<std::string>& reply) {
      refused = !reply.has_value();
    });
    INFO(static_cast<int>(method));
    CHECK(refused);
  }
}

TEST_CASE("a log of turns that have expired stays short on a large disk") {
  constexpr std::uint64_t disk_bytes = 340'000'000;
  constexpr std::uint64_t turn_bytes = 1'000'000;
  constexpr std::uint64_t most_log_bytes = 40'000'000;
  const scratch_folder folder("ledger-store");
  open_store disk(folder.name(), disk_bytes);
  std::uint64_t most = 0;
  for (int number = 0; number < 100; ++number) {
    append_request request = append(1, "t" + std::to_string(number), turn_bytes / 2);
    request.record.program = program_id("p" + std::to_string(number));
    request.record.expires_at = wall_ms(1);
    REQUIRE(disk.ask<program_answer>(ledger_method::append, request));
    disk.store.tick();
    most = std::max(most, disk.store.log_bytes());
  }
  CHECK(most < most_log_bytes);
}
