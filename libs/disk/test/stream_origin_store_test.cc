// The origins of streams on one disk: kept over restarts, copied, and understood beside logs and
// hosts of the version that had none.
#include <catch2/catch.hpp>

#include "open_store.h"
#include "scratch_folder.h"

using namespace hawthornlane;
using namespace hawthornlane::disk;
using disk_tests::open_store;
using test_support::scratch_folder;

namespace {

append_request append(const std::string& id) {
  append_request request;
  request.epoch = set_epoch(1);
  request.record.program = program_id("p");
  request.record.state = {request_id(id), token_count(30), token_count(0), reservation_phase::open};
  request.record.expires_at = wall_ms(std::int64_t{1} << 60);
  return request;
}

stream_origin origin(const std::string& version, std::uint32_t write) {
  return {service_name("models"), software_version(version), write, backend_server_id("s1")};
}

/// Appends as a host that stores and asks for origins, and returns the report.
origin_report append_and_ask(open_store& disk, const std::string& id,
                             const std::optional<stream_origin>& stored, const std::string& asked) {
  const auto bytes =
      disk.ask_bytes(ledger_method::append,
                     to_bytes(append(id)) + to_bytes(origin_request{stored, request_id(asked)}));
  REQUIRE(bytes);
  const auto both = from_bytes_with_tail<program_response, origin_report>(*bytes);
  REQUIRE(both);
  return both->second;
}

}  // namespace

TEST_CASE("the version that began a stream is not lost in a restart, a settlement or a copy") {
  scratch_folder folder("origin-source");
  scratch_folder other_folder("origin-target");
  {
    open_store disk(folder.path());
    CHECK(append_and_ask(disk, "a", origin("v1", 1), "a").origin == origin("v1", 1));
    CHECK(append_and_ask(disk, "a", origin("v2", 2), "a").origin == origin("v2", 2));
    // A late write of the same attempt.
    CHECK(append_and_ask(disk, "a", origin("v1", 1), "a").origin == origin("v2", 2));
    append_request settled = append("a");
    settled.record.state.phase = reservation_phase::settled;
    CHECK(disk.ask<program_response>(ledger_method::append, settled));
  }
  open_store disk(folder.path());
  CHECK(append_and_ask(disk, "b", std::nullopt, "a").origin == origin("v2", 2));
  const auto copied = disk.ask_bytes(ledger_method::copy, to_bytes(copy_request{}));
  REQUIRE(copied);
  auto parts = from_bytes_with_tails<copy_page, copy_progress, page_origins>(*copied);
  REQUIRE(parts);
  add_origins(std::get<page_origins>(*parts), std::get<copy_page>(*parts));
  open_store target(other_folder.path());
  target.store.adopt(std::get<copy_page>(*parts).records, [](bool) {});
  const origin_report report = append_and_ask(target, "c", std::nullopt, "a");
  CHECK(report.keeps_origins);
  CHECK(report.origin == origin("v2", 2));
  CHECK_FALSE(append_and_ask(target, "c", std::nullopt, "b").origin);
}

TEST_CASE("contradictory writes of two hosts yield no version, in either order") {
  scratch_folder folder("origin-order");
  open_store disk(folder.path());
  for (const auto& [first, second] : {std::pair("v1", "v2"), std::pair("v2", "v1")}) {
    const std::string id = std::string("a-") + first;
    append_and_ask(disk, id, origin(first, 1), id);
    const auto known = append_and_ask(disk, id, origin(second, 1), id).origin;
    REQUIRE(known);
    CHECK_FALSE(known->is_known());
  }
}

TEST_CASE("a log and requests of the version without origins are read, and yield none") {
  scratch_folder folder("origin-older");
  {
    open_store disk(folder.path());
    const auto answer = disk.ask_bytes(ledger_method::append, to_bytes(append("a")));
    REQUIRE(answer);
    // What an older host reads has nothing behind it.
    CHECK(*answer == to_bytes(*from_bytes<program_response>(*answer)));
  }
  open_store disk(folder.path());
  const origin_report report = append_and_ask(disk, "b", std::nullopt, "a");
  CHECK(report.keeps_origins);
  CHECK_FALSE(report.origin);
  CHECK(disk.store.held().reservations_of(program_id("p")).size() == 2);
}

TEST_CASE("hosts of the version without origins read records, requests and pages that have them") {
  append_request request = append("a");
  const std::string tail = to_bytes(origin_request{origin("v1", 1), request_id("a")});
  const auto at_older_disk = from_bytes<append_request>(to_bytes(request) + tail);
  REQUIRE(at_older_disk);
  CHECK(at_older_disk->record == request.record);
  const auto in_older_log = from_bytes<ledger_record>(to_bytes(request.record) +
                                                      to_bytes(std::optional(origin("v1", 1))));
  REQUIRE(in_older_log);
  CHECK(*in_older_log == request.record);
  copy_page page{{request.record}, true};
  const auto at_older_reader = from_bytes_with_tail<copy_page, copy_progress>(
      to_bytes(page) + to_bytes(copy_progress{7, change_number(3)}) +
      to_bytes(page_origins{true, {{0, origin("v1", 1)}}}));
  REQUIRE(at_older_reader);
  CHECK(at_older_reader->first.records == page.records);
  CHECK(at_older_reader->second.source_process == 7);
}

TEST_CASE("a disk that copied from a host without origins does not report that there are none") {
  scratch_folder folder("origin-incomplete");
  open_store disk(folder.path());
  CHECK(append_and_ask(disk, "a", origin("v1", 1), "a").keeps_origins);
  disk.store.note_missing_origins();
  CHECK_FALSE(append_and_ask(disk, "b", std::nullopt, "a").keeps_origins);
}
