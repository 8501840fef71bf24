// Tables of routes and of what a host believes after listings, events, outages.
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

TEST_CASE("the longest prefix that begins the path selects the route") {
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

TEST_CASE("a route's services are chosen by weight and stay for the same draw") {
  const route split = make_route("r", "h", "/");
  int second = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    second += route_table::choose_service(split, draw) == service_name("b") ? 1 : 0;
  }
  CHECK(second == 100);
}

TEST_CASE("a configuration in force is never replaced by an older one") {
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

TEST_CASE("an older state of the registry is refused, whoever tells it") {
  backend_registry servers;
  CHECK(servers.apply_listing(store_revision(10), {server("s1")}, at(0s)));
  CHECK_FALSE(servers.apply_listing(store_revision(9), {}, at(1s)));
  CHECK_FALSE(servers.apply_changes(store_revision(9), {{server("s1"), true}}, at(1s)));
  CHECK(servers.listed().size() == 1);
  CHECK(servers.apply_changes(store_revision(11), {{server("s1", true), false}}, at(1s)));
  CHECK(servers.listed().begin()->second.draining);
}

TEST_CASE("an entry of a former incarnation changes nothing, in whatever order it comes") {
  struct row {
    const char* what;
    std::uint64_t known;
    std::uint64_t told;
    std::uint64_t believed;
  };
  const row rows[] = {
      {"it started again", 100, 200, 200},
      {"the former process's write comes late", 200, 100, 200},
      {"the same process tells more", 200, 200, 200},
      {"servers that do not say when they started", 0, 0, 0},
      {"a server that says so from now on", 0, 200, 200},
  };
  const auto told_as = GENERATE("listing", "change", "listing after it lapsed");
  for (const row& item : rows) {
    INFO(told_as << ": " << item.what);
    backend_registry servers;
    servers.apply_listing(store_revision(10), {server("s1", false, item.known)}, at(0s));
    const backend_entry entry = server("s1", true, item.told);
    if (std::string(told_as) == "change") {
      CHECK(servers.apply_changes(store_revision(11), {{entry, false}}, at(1s)));
    } else if (std::string(told_as) == "listing") {
      CHECK(servers.apply_listing(store_revision(11), {entry}, at(1s)));
    } else {
      servers.defer_removals_until(at(9s));
      servers.apply_listing(store_revision(11), {}, at(1s));
      CHECK(servers.apply_listing(store_revision(12), {entry}, at(2s)));
    }
    REQUIRE(servers.listed().size() == 1);
    const backend_entry& believed = servers.listed().begin()->second;
    CHECK(believed.start == incarnation(item.believed));
    CHECK(believed.draining == (item.told >= item.known));
  }
}

TEST_CASE("a snapshot from a host that knows less does not bring a former incarnation back") {
  backend_registry servers;
  servers.apply_listing(store_revision(20), {server("s1", false, 200)}, at(0s));
  CHECK_FALSE(servers.apply_listing(store_revision(19), {server("s1", false, 100)}, at(1s)));
  CHECK(servers.apply_listing(store_revision(20), {server("s1", false, 100)}, at(1s)));
  CHECK(servers.listed().begin()->second.start == incarnation(200));
}

TEST_CASE("a host whose clock was set back is believed when it starts again") {
  host_registry hosts;
  host_entry entry;
  entry.name = host_id("h");
  entry.start = incarnation(200);
  hosts.apply_listing(store_revision(1), {entry}, at(0s));
  entry.start = incarnation(100);
  hosts.apply_listing(store_revision(2), {entry}, at(1s));
  CHECK(hosts.listed().begin()->second.start == incarnation(100));
}

TEST_CASE("an entry that lapsed while the store was away is kept until the doubt ends") {
  backend_registry servers;
  servers.apply_listing(store_revision(10), {server("s1"), server("s2")}, at(0s));
  servers.defer_removals_until(at(7s));
  servers.apply_listing(store_revision(12), {server("s1")}, at(5s));
  CHECK(servers.listed().size() == 1);
  CHECK(servers.pending_removals().contains(backend_server_id("s2")));

  SECTION("it is written again in time") {
    servers.apply_changes(store_revision(13), {{server("s2"), false}}, at(6s));
    CHECK(servers.pending_removals().empty());
    CHECK(servers.listed().size() == 2);
  }
  SECTION("it stays missing") {
    servers.drop_expired_removals(at(7s));
    CHECK(servers.pending_removals().empty());
    CHECK(servers.listed().size() == 1);
  }
}

TEST_CASE("without an outage a missing entry is gone at once") {
  backend_registry servers;
  servers.apply_listing(store_revision(10), {server("s1"), server("s2")}, at(0s));
  servers.apply_changes(store_revision(11), {{server("s2"), true}}, at(1s));
  CHECK(servers.pending_removals().empty());
  CHECK(servers.listed().size() == 1);
}

TEST_CASE("one host reads the store for all, and the next rank takes over when it fails") {
  const host_id a("a");
  const host_id b("b");
  store_read_schedule first(a, at(0s));
  store_read_schedule second(b, at(0s));
  first.record_read(a, at(10s));
  second.record_read(a, at(10s));
  CHECK_FALSE(first.due(at(10s + 800ms), 0));
  CHECK(first.due(at(10s + 900ms), 0));
  CHECK_FALSE(second.due(at(10s + 900ms), 1));

  SECTION("the first one's read keeps the second quiet") {
    second.record_read(a, at(10s + 900ms));
    CHECK_FALSE(second.due(at(11s + 500ms), 1));
  }
  SECTION("the first one is turned away: it pauses, the second reads and goes on reading") {
    first.began(at(10s + 900ms));
    CHECK_FALSE(first.due(at(11s), 0));
    CHECK(second.due(at(11s + 100ms), 1));
    second.record_read(b, at(11s + 100ms));
    first.record_read(b, at(11s + 100ms));
    CHECK(second.due(at(12s), 1));
    CHECK_FALSE(first.due(at(12s), 0));
  }
  SECTION("the last rank still takes over within the bound") {
    CHECK(second.due(at(11s + 500ms), 57));
  }
}

TEST_CASE("a host that knows nothing reads for itself, in the order of ranks") {
  store_read_schedule alone(host_id("a"), at(5s));
  CHECK_FALSE(alone.due(at(5s + 50ms), 0));
  CHECK(alone.due(at(5s + 130ms), 0));
  CHECK_FALSE(alone.due(at(5s + 130ms), 3));
  alone.began(at(5s + 130ms));
  CHECK_FALSE(alone.due(at(5s + 500ms), 0));
  CHECK(alone.due(at(6s), 0));
}

TEST_CASE("news of an older read change nothing") {
  store_read_schedule schedule(host_id("a"), at(0s));
  schedule.record_read(host_id("b"), at(10s));
  schedule.record_read(host_id("c"), at(9s));
  CHECK(schedule.last_reader() == host_id("b"));
  CHECK(schedule.age(at(12s)) == 2s);
}
