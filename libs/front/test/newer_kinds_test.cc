// What a host fetches from another one that tells how far it is.
#include "hawthornlane/front/newer_kinds.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;

namespace {

gossip_digest digest(std::uint64_t configuration, std::uint64_t backends, std::uint64_t hosts,
                     std::uint64_t ledger) {
  gossip_digest told;
  told.configuration = config_version(configuration);
  told.backends_changed_at = store_revision(backends);
  told.hosts_revision = store_revision(hosts);
  told.ledger_epoch = set_epoch(ledger);
  return told;
}

std::string text_of(const newer_kinds& news) {
  std::string text;
  text += news.configuration ? 'c' : '-';
  text += news.backends ? 'b' : '-';
  text += news.hosts ? 'h' : '-';
  text += news.ledger ? 'l' : '-';
  return text;
}

}  // namespace

TEST_CASE("only what is newer is fetched") {
  known_versions own;
  own.configuration = config_version(5);
  own.backends_changed_at = store_revision(100);
  own.hosts_revision = store_revision(90);
  own.ledger = set_epoch(3);
  struct row {
    const char* what;
    gossip_digest told;
    const char* fetched;
  };
  const row rows[] = {
      {"the same", digest(5, 100, 90, 3), "----"},
      {"older", digest(4, 99, 89, 2), "----"},
      {"a server has changed", digest(5, 101, 90, 3), "-b--"},
      {"a host has changed", digest(5, 100, 91, 3), "--h-"},
      {"a new configuration and older servers", digest(6, 99, 90, 3), "c---"},
      {"another set of disks", digest(5, 100, 90, 4), "---l"},
      {"a host that knows nothing", digest(0, 0, 0, 0), "----"},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK(text_of(find_newer_kinds(item.told, own)) == item.fetched);
  }
}

TEST_CASE("a host that knows nothing fetches all that there is") {
  CHECK(text_of(find_newer_kinds(digest(1, 1, 1, 1), known_versions{})) == "cbhl");
  CHECK(text_of(find_newer_kinds(digest(0, 7, 0, 0), known_versions{})) == "-b--");
}
