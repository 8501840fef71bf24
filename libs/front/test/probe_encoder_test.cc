// Guards against a cached probe message that differs from one encoded freshly for each probe.
#include "hawthornlane/front/probe_encoder.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::front;
using namespace std::chrono_literals;

namespace {

timestamp at(duration since) { return timestamp(1h + since); }

probe_message message_with(const host_id& reader, std::vector<service_demand> demand,
                           std::vector<host_key> suspected) {
  probe_message message;
  message.digest.self.name = host_id("front-1");
  message.digest.self.zone = availability_zone("a");
  message.digest.configuration = config_version(9);
  message.digest.store_read_by = reader;
  message.digest.store_read_age = reader.get().empty() ? 0ms : 40ms;
  message.digest.store_read_id =
      reader.get().empty() ? store_read_number() : store_read_number{5, 17};
  message.digest.demand = std::move(demand);
  message.suspected = std::move(suspected);
  return message;
}

}  // namespace

TEST_CASE("a cached message equals a fresh one, including the age of the newest store read") {
  const host_id nobody;
  const host_id reader("front-2");
  struct row {
    const char* what;
    probe_message message;
  };
  const row rows[] = {
      {"no store read yet", message_with(nobody, {}, {})},
      {"a store read", message_with(reader, {}, {})},
      {"demand", message_with(reader, {{service_name("models"), 7}}, {})},
      {"suspected hosts", message_with(reader, {}, {host_key(3), host_key(5)})},
      {"all of it", message_with(reader, {{service_name("m"), 7}}, {host_key(3)})},
  };
  for (const row& item : rows) {
    INFO(item.what);
    probe_encoder encoder;
    CHECK(encoder.is_stale());
    encoder.update(item.message, at(0ms));
    REQUIRE_FALSE(encoder.is_stale());
    for (const duration later : {0ms, 25ms, 99ms, 5ms}) {
      probe_message fresh = item.message;
      if (!fresh.digest.store_read_by.get().empty()) {
        fresh.digest.store_read_age += later;
      }
      CHECK(encoder.encoded(at(later)) == bytes_of(fresh));
    }
    encoder.mark_stale();
    CHECK(encoder.is_stale());
  }
}
