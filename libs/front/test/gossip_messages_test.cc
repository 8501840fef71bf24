// Guards against fields that are lost when messages between front hosts are encoded and decoded,
// and against malformed messages that are accepted.
#include "hawthornlane/front/gossip_messages.h"

#include <catch2/catch.hpp>

#include "hawthornlane/front/copy_messages.h"

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

gossip_digest full_digest() {
  gossip_digest digest;
  digest.self.name = host_id("front-1");
  digest.self.start = incarnation(7);
  digest.self.role = host_role::front;
  digest.self.zone = availability_zone("a");
  digest.self.region = "r";
  digest.self.callers_at = "10.0.0.1:80";
  digest.self.peers_at = {"10.0.0.1", 81};
  digest.ready = true;
  digest.leaving = true;
  digest.disks_reached = 3;
  digest.configuration = config_version(9);
  digest.backends_changed_at = store_revision(11);
  digest.hosts_revision = store_revision(12);
  digest.ledger_epoch = set_epoch(13);
  digest.store_read_by = host_id("front-2");
  digest.store_read_age = 345ms;
  digest.demand = {{service_name("models"), 7}, {service_name("apps"), 2}};
  return digest;
}

}  // namespace

TEST_CASE("a digest loses no field on the wire") {
  const gossip_digest sent = full_digest();
  const auto read = from_bytes<gossip_digest>(to_bytes(sent));
  REQUIRE(read);
  CHECK(read->self == sent.self);
  CHECK(read->ready);
  CHECK(read->leaving);
  CHECK(read->disks_reached == 3);
  CHECK(read->configuration == sent.configuration);
  CHECK(read->backends_changed_at == sent.backends_changed_at);
  CHECK(read->hosts_revision == sent.hosts_revision);
  CHECK(read->ledger_epoch == sent.ledger_epoch);
  CHECK(read->store_read_by == sent.store_read_by);
  CHECK(read->store_read_age == sent.store_read_age);
  CHECK(read->demand == sent.demand);
}

TEST_CASE("a probe carries suspected hosts and stays compatible with the first message format") {
  const probe_message sent{full_digest(), {host_key_of(host_id("front-3")), host_key(5)}};
  const std::string bytes = to_bytes(sent);
  const auto read = probe_message_from(bytes);
  REQUIRE(read);
  CHECK(read->digest.self == sent.digest.self);
  CHECK(read->suspected == sent.suspected);
  CHECK(from_bytes<gossip_digest>(bytes)->demand == sent.digest.demand);
  const auto first_format = probe_message_from(to_bytes(full_digest()));
  REQUIRE(first_format);
  CHECK(first_format->suspected.empty());
  CHECK_FALSE(probe_message_from(to_bytes(full_digest()).substr(1)));
}

TEST_CASE("a digest truncated at any length is rejected") {
  const std::string whole = to_bytes(full_digest());
  for (std::size_t length = 0; length < whole.size(); ++length) {
    INFO("length " << length);
    CHECK_FALSE(from_bytes<gossip_digest>(whole.substr(0, length)));
  }
}

TEST_CASE("a backend server's entry loses no field on the wire") {
  backend_entry sent;
  sent.id = backend_server_id("s1");
  sent.start = incarnation(1'790'000'000'123);
  sent.service = service_name("models");
  sent.address = {"10.0.0.9", 8080};
  sent.zone = availability_zone("a");
  sent.slots = 12;
  sent.draining = true;
  const registry_snapshot<backend_entry> snapshot{store_revision(5), {sent}};
  const auto read = from_bytes<registry_snapshot<backend_entry>>(to_bytes(snapshot));
  REQUIRE(read);
  CHECK(read->at == store_revision(5));
  CHECK(read->entries == std::vector<backend_entry>{sent});
}

TEST_CASE("a copy request with an unknown kind is rejected") {
  const host_id requester("front-1");
  for (const copy_kind kind : all_copy_kinds) {
    const auto read = copy_request_from(to_bytes(copy_request{kind, requester}));
    REQUIRE(read);
    CHECK(read->kind == kind);
    CHECK(read->requester == requester);
  }
  const auto unknown = static_cast<copy_kind>(all_copy_kinds.size());
  CHECK_FALSE(copy_request_from(to_bytes(copy_request{unknown, requester})));
  CHECK_FALSE(copy_request_from(""));
}

TEST_CASE("a server's version is not lost between hosts, nor invented beside older hosts") {
  registry_snapshot<backend_entry> sent;
  sent.at = store_revision(3);
  for (const char* version : {"v1", "v1.1"}) {
    backend_entry entry;
    entry.id = backend_server_id(std::string("s-") + version);
    entry.version = software_version(version);
    sent.entries.push_back(entry);
  }
  const std::string bytes = backend_snapshot_bytes(sent);
  const auto read = backend_snapshot_from(bytes);
  REQUIRE(read);
  CHECK(read->entries == sent.entries);
  const auto from_older_host = backend_snapshot_from(to_bytes(sent));
  REQUIRE(from_older_host);
  CHECK(from_older_host->entries.back().version == software_version());
  const auto at_older_host = from_bytes<registry_snapshot<backend_entry>>(bytes);
  REQUIRE(at_older_host);
  CHECK(at_older_host->entries.size() == 2);
  CHECK_FALSE(backend_snapshot_from(bytes.substr(0, bytes.size() - 1)));
}
