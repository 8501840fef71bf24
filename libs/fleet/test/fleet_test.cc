// Tests of route selection, of a host's view after listings, events and outages of the store, and
// of the schedule of reads.
#include <catch2/catch.hpp>

#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/fleet/store_read_schedule.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
  route item;
  item.name = route_name(name);
  item.host_name = host;
  item.path_prefix = prefix;
  item.services = {{service_name("a"), 90}, {service_name("b"), 10}};
  return item;
}

backend_entry server(const std::string& id, bool draining = false, std::uint64_t start = 0) {
  backend_entry entry;
  entry.id = backend_server_id(id);
  entry.start = incarnation(start);
  entry.draining = draining;
  return entry;
}

timestamp at(duration since) { return timestamp(since); }

}  // namespace

TEST_CASE("a shorter or partial prefix does not win over the longest matching one") {
  configuration config;
  config.routes = {make_route("root", "One.example", "/"), make_route("a", "one.example", "/a/"),
                   make_route("ab", "one.example", "/a/b/"),
                   make_route("other", "two.example", "/x/")};
  const route_table table(config);
  const auto [host, path, expected] =
      GENERATE(Catch::Generators::table<std::string, std::string, std::string>({
          {"one.example", "/a/b/c", "ab"},
          {"ONE.example", "/a/b", "a"},
          {"one.example", "/a/bc/", "a"},
          {"one.example", "/a", "root"},
          {"one.example", "/a/?q=/a/b/", "a"},
          {"two.example", "/x/1", "other"},
          {"two.example", "/y/1", ""},
          {"three.example", "/a/", ""},
          {"one.example", "no-slash", ""},
      }));
  INFO(host << path);
  const route* found = table.find(host, path);
  CHECK((found == nullptr ? "" : found->name.get()) == expected);
}

TEST_CASE("services are not selected against their weights") {
  const route split = make_route("r", "h", "/");
  int second = 0;
  for (std::uint64_t group_hash = 0; group_hash < 1000; ++group_hash) {
    second += route_table::choose_service(split, group_hash) == service_name("b") ? 1 : 0;
  }
  CHECK(second == 100);
}

TEST_CASE("an older configuration does not replace a newer one") {
  configuration_in_force in_force;
  configuration config;
  config.version = config_version(7);
  CHECK(in_force.offer(config));
  config.version = config_version(5);
  CHECK_FALSE(in_force.offer(config));
  config.version = config_version(7);
  CHECK_FALSE(in_force.offer(config));
  CHECK(in_force.current()->version() == config_version(7));
}

TEST_CASE("an older state of the registry does not replace a newer one") {
  backend_registry servers;
  CHECK(servers.apply_listing(store_revision(10), {server("s1")}, at(0s)));
  CHECK_FALSE(servers.apply_listing(store_revision(9), {}, at(1s)));
  CHECK_FALSE(servers.apply_changes(store_revision(9), {{server("s1"), true}}, at(1s)));
  CHECK(servers.listed().size() == 1);
  CHECK(servers.apply_changes(store_revision(11), {{server("s1", true), false}}, at(1s)));
  CHECK(servers.listed().begin()->second.draining);
}

TEST_CASE("a late write of an ended process does not replace its server's new entry") {
  struct row {
    const char* what;
    std::uint64_t known;
    std::uint64_t reported_start;
    std::uint64_t resulting;
  };
  const row rows[] = {
      {"the server restarted", 100, 200, 200},
      {"the write of the earlier process arrives late", 200, 100, 200},
      {"the same process updates its entry", 200, 200, 200},
      {"servers that do not report their start", 0, 0, 0},
      {"a server that starts to report it", 0, 200, 200},
  };
  const auto reported_by = GENERATE("listing", "change", "listing after it lapsed");
  for (const row& item : rows) {
    INFO(reported_by << ": " << item.what);
    backend_registry servers;
    servers.apply_listing(store_revision(10), {server("s1", false, item.known)}, at(0s));
    const backend_entry entry = server("s1", true, item.reported_start);
    if (std::string(reported_by) == "change") {
      CHECK(servers.apply_changes(store_revision(11), {{entry, false}}, at(1s)));
    } else if (std::string(reported_by) == "listing") {
      CHECK(servers.apply_listing(store_revision(11), {entry}, at(1s)));
    } else {
      servers.defer_removals_until(at(9s));
      servers.apply_listing(store_revision(11), {}, at(1s));
      CHECK(servers.apply_listing(store_revision(12), {entry}, at(2s)));
    }
    REQUIRE(servers.listed().size() == 1);
    const backend_entry& resulting = servers.listed().begin()->second;
    CHECK(resulting.start == incarnation(item.resulting));
    CHECK(resulting.draining == (item.reported_start >= item.known));
  }
}

TEST_CASE("a snapshot from an outdated host does not restore an earlier incarnation") {
  backend_registry servers;
  servers.apply_listing(store_revision(20), {server("s1", false, 200)}, at(0s));
  CHECK_FALSE(servers.apply_listing(store_revision(19), {server("s1", false, 100)}, at(1s)));
  CHECK(servers.apply_listing(store_revision(20), {server("s1", false, 100)}, at(1s)));
  CHECK(servers.listed().begin()->second.start == incarnation(200));
}

TEST_CASE(
    "a server's known version is not lost to an entry without one, nor taken after a restart") {
  backend_registry registry;
  backend_entry known = server("i", false, 5);
  known.version = software_version("v1");
  registry.apply_listing(store_revision(1), {known}, at(0ms));
  registry.apply_listing(store_revision(2), {server("i", true, 5)}, at(0ms));
  CHECK(registry.listed().begin()->second.version == software_version("v1"));
  CHECK(registry.listed().begin()->second.draining);
  registry.apply_listing(store_revision(3), {server("i", false, 6)}, at(0ms));
  CHECK(registry.listed().begin()->second.version == software_version());
}

TEST_CASE("a host whose clock was set back is not ignored after its restart") {
  host_registry hosts;
  host_entry entry;
  entry.name = host_id("h");
  entry.start = incarnation(200);
  hosts.apply_listing(store_revision(1), {entry}, at(0s));
  entry.start = incarnation(100);
  hosts.apply_listing(store_revision(2), {entry}, at(1s));
  CHECK(hosts.listed().begin()->second.start == incarnation(100));
}

// Registrations expire while the store is unavailable, although their owners are alive.
TEST_CASE("an entry that expired during an outage of the store is not dropped at once") {
  backend_registry servers;
  servers.apply_listing(store_revision(10), {server("s1"), server("s2")}, at(0s));
  servers.defer_removals_until(at(7s));
  servers.apply_listing(store_revision(12), {server("s1")}, at(5s));
  CHECK(servers.listed().size() == 1);
  CHECK(servers.pending_removals().contains(backend_server_id("s2")));

  SECTION("it is registered again in time") {
    servers.apply_changes(store_revision(13), {{server("s2"), false}}, at(6s));
    CHECK(servers.pending_removals().empty());
    CHECK(servers.listed().size() == 2);
  }
  SECTION("it is not registered again") {
    servers.drop_expired_removals(at(7s));
    CHECK(servers.pending_removals().empty());
    CHECK(servers.listed().size() == 1);
  }
}

TEST_CASE("a removed entry is not kept when the store had no outage") {
  backend_registry servers;
  servers.apply_listing(store_revision(10), {server("s1"), server("s2")}, at(0s));
  servers.apply_changes(store_revision(11), {{server("s2"), true}}, at(1s));
  CHECK(servers.pending_removals().empty());
  CHECK(servers.listed().size() == 1);
}

// Each read costs money, and without reads all hosts continue with old state.
TEST_CASE("hosts do not all read the store, and reads do not stop when the reader fails") {
  const host_id a("a");
  const host_id b("b");
  store_read_schedule first(a, at(0s));
  store_read_schedule second(b, at(0s));
  first.record_read({a, {}, at(10s)});
  second.record_read({a, {}, at(10s)});
  CHECK_FALSE(first.due(at(10s + 800ms), 0));
  CHECK(first.due(at(10s + 900ms), 0));
  CHECK_FALSE(second.due(at(10s + 900ms), 1));

  SECTION("a read by the first host delays the second") {
    second.record_read({a, {}, at(10s + 900ms)});
    CHECK_FALSE(second.due(at(11s + 500ms), 1));
  }
  SECTION("the store refuses the first host: it pauses, and the second takes over for good") {
    first.began(at(10s + 900ms));
    CHECK_FALSE(first.due(at(11s), 0));
    CHECK(second.due(at(11s + 100ms), 1));
    second.record_read({b, {}, at(11s + 100ms)});
    first.record_read({b, {}, at(11s + 100ms)});
    CHECK(second.due(at(12s), 1));
    CHECK_FALSE(first.due(at(12s), 0));
  }
  SECTION("the last rank still takes over within the bound") {
    CHECK(second.due(at(11s + 500ms), 57));
  }
}

TEST_CASE("a host without state does not wait forever for its peers") {
  store_read_schedule alone(host_id("a"), at(5s));
  CHECK_FALSE(alone.due(at(5s + 50ms), 0));
  CHECK(alone.due(at(5s + 130ms), 0));
  CHECK_FALSE(alone.due(at(5s + 130ms), 3));
  alone.began(at(5s + 130ms));
  CHECK_FALSE(alone.due(at(5s + 500ms), 0));
  CHECK(alone.due(at(6s), 0));
}

TEST_CASE("a report of an older read does not replace a newer one") {
  store_read_schedule schedule(host_id("a"), at(0s));
  schedule.record_read({host_id("b"), {}, at(10s)});
  schedule.record_read({host_id("c"), {}, at(9s)});
  CHECK(schedule.last_reader() == host_id("b"));
  CHECK(schedule.age(at(12s)) == 2s);
}
