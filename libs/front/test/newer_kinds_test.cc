// Guards against fetching state that a peer does not have in a newer version: fetching all kinds
// for one change overloads the link of the peer.
#include "hawthornlane/front/newer_kinds.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

gossip_digest digest(std::uint64_t configuration, std::uint64_t backends, std::uint64_t hosts,
                     std::uint64_t ledger) {
  gossip_digest peer_digest;
  peer_digest.configuration = config_version(configuration);
  peer_digest.backends_changed_at = store_revision(backends);
  peer_digest.hosts_revision = store_revision(hosts);
  peer_digest.ledger_epoch = set_epoch(ledger);
  return peer_digest;
}

std::string text_of(const newer_kinds& newer) {
  std::string text;
  text += newer.configuration ? 'c' : '-';
  text += newer.backends ? 'b' : '-';
  text += newer.hosts ? 'h' : '-';
  text += newer.ledger ? 'l' : '-';
  return text;
}

}  // namespace

TEST_CASE("only kinds with a newer version are fetched") {
  known_versions own;
  own.configuration = config_version(5);
  own.backends_changed_at = store_revision(100);
  own.hosts_revision = store_revision(90);
  own.ledger = set_epoch(3);
  struct row {
    const char* what;
    gossip_digest peer_digest;
    const char* fetched;
  };
  const row rows[] = {
      {"the same versions", digest(5, 100, 90, 3), "----"},
      {"older versions", digest(4, 99, 89, 2), "----"},
      {"a backend server has changed", digest(5, 101, 90, 3), "-b--"},
      {"a host has changed", digest(5, 100, 91, 3), "--h-"},
      {"a new configuration and older servers", digest(6, 99, 90, 3), "c---"},
      {"another set of disks", digest(5, 100, 90, 4), "---l"},
      {"a peer without any state", digest(0, 0, 0, 0), "----"},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK(text_of(find_newer_kinds(item.peer_digest, own)) == item.fetched);
  }
}

TEST_CASE("a host without any state fetches every kind that the peer has") {
  CHECK(text_of(find_newer_kinds(digest(1, 1, 1, 1), known_versions{})) == "cbhl");
  CHECK(text_of(find_newer_kinds(digest(0, 7, 0, 0), known_versions{})) == "-b--");
}
