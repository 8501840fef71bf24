// Decoding of store pages, some of whose entries are unreadable.
#include "hawthornlane/discovery/registration.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>

using namespace hawthornlane;
using namespace hawthornlane::discovery;
using platform_adapter::object_fault;
using platform_adapter::object_kind;
using platform_adapter::object_page;

namespace {

constexpr const char* valid_server = R"({"service":"s","address":"10.0.0.9:8080","zone":"z",
  "version":"v1","slots":12,"state":"ready","cold-remaining-ms":0,"seq":4})";
constexpr const char* valid_host = R"({"role":"disk","start":7,"availability_zone":"z",
  "region":"r","callers_at":"","peers_at":"10.0.0.1:81","disk":"d"})";

object_page::item item(const std::string& name, const std::string& spec, bool removed = false) {
  object_page::item made;
  made.object.name = name;
  made.object.revision = store_revision(5);
  made.object.spec = spec;
  made.removed = removed;
  return made;
}

object_page page_of(std::vector<object_page::item> items) {
  object_page page;
  page.items = std::move(items);
  return page;
}

}  // namespace

TEST_CASE("an unreadable entry is skipped without losing the others of its page") {
  const char* spec =
      GENERATE("", "null", "[]", "{}", R"({"service":"s"})", "\"\xff\"", "{\"slots\":");
  INFO(spec);
  object_faults faults;
  const object_page page =
      page_of({item("a", valid_server), item("b", spec), item("c", valid_server)});
  const std::vector<backend_entry> entries = backend_entries_of(page, faults);
  REQUIRE(entries.size() == 2);
  CHECK(entries[0].id == backend_server_id("a"));
  CHECK(entries[1].id == backend_server_id("c"));
  CHECK(faults.count() == 1);

  const object_page hosts = page_of({item("a", valid_host), item("b", spec)});
  CHECK(host_entries_of(hosts, faults).size() == 1);
  CHECK(faults.count() == 2);
}

TEST_CASE("a host whose entry becomes unreadable counts as removed") {
  object_faults faults;
  const auto changes = host_changes_of(page_of({item("a", "{}")}), faults);
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().removed);
  CHECK(changes.front().entry.name == host_id("a"));
}

TEST_CASE("an unreadable ledger set is logged once and is not taken for a host") {
  object_faults faults;
  const object_page page =
      page_of({item(platform_adapter::ledger_object_name, "{}"), item("a", valid_host)});
  CHECK(host_entries_of(page, faults).size() == 1);
  CHECK(host_entries_of(page, faults).size() == 1);
  CHECK(faults.count() == 1);
}

TEST_CASE("a configuration is taken only from its own object, and only if readable") {
  constexpr const char* valid = R"({"version":7,"routes":[],"services":[]})";
  object_faults faults;
  CHECK(configurations_of(page_of({item("main", valid)}), faults).size() == 1);
  CHECK(configurations_of(page_of({item("other", valid)}), faults).empty());
  CHECK(configurations_of(page_of({item("main", valid, true)}), faults).empty());
  CHECK(faults.count() == 0);
  CHECK(configurations_of(page_of({item("main", R"({"version":8})")}), faults).empty());
  CHECK(faults.count() == 1);
}

TEST_CASE("another object's revision does not hide newer configurations") {
  object_page page = page_of({item("main", "{}"), item("odd", "{}")});
  page.items[1].object.revision = store_revision(std::numeric_limits<std::uint64_t>::max());
  CHECK(configuration_revision_of(page) == store_revision(5));
  page.items[0].object.revision = store_revision(6);
  CHECK(configuration_revision_of(page) == store_revision(6));
  CHECK(configuration_revision_of(page_of({item("odd", "{}")})) == store_revision());
}

TEST_CASE("an unreadable object is logged once, and again when its fault changes") {
  const auto kind = object_kind::backend_servers;
  const auto fault = [](std::uint64_t revision, const std::string& detail) {
    return object_fault{"b", store_revision(revision), detail};
  };
  object_faults faults;
  faults.note(kind, {fault(1, "no slots")});
  CHECK(faults.count() == 1);
  SECTION("not at each read, nor if it is written again with the same fault") {
    faults.note(kind, {fault(1, "no slots")});
    faults.note(kind, {fault(2, "no slots")});
    CHECK(faults.count() == 1);
  }
  SECTION("again with another fault") {
    faults.note(kind, {fault(2, "no state")});
    CHECK(faults.count() == 2);
  }
  SECTION("again if it was readable in between") {
    faults.note(kind, {});
    faults.note(kind, {fault(3, "no slots")});
    CHECK(faults.count() == 2);
  }
  SECTION("again for an object of another kind with the same name") {
    faults.note(object_kind::hosts, {fault(1, "no slots")});
    CHECK(faults.count() == 2);
  }
}

TEST_CASE("many unreadable objects do not flood the log") {
  object_faults faults;
  std::vector<object_fault> found;
  for (std::size_t number = 0; number < 2 * object_faults::max_tracked; ++number) {
    found.push_back({std::to_string(number), store_revision(1), "no slots"});
  }
  for (int read = 0; read < 3; ++read) {
    faults.note(object_kind::backend_servers, found);
  }
  CHECK(faults.count() == object_faults::max_tracked);
}
